//! A small JSON reader and writer. Numbers keep their text, so that large integers stay exact.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// The value of a field; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields
                .iter()
                .find(|f| f.0 == name)
                .map_or(&Json::Null, |f| &f.1),
            _ => &Json::Null,
        }
    }

    /// Replaces the value of a field that exists.
    pub fn set(&mut self, name: &str, value: Json) {
        if let Json::Obj(fields) = self {
            if let Some(field) = fields.iter_mut().find(|f| f.0 == name) {
                field.1 = value;
            }
        }
    }

    pub fn str(&self) -> Option<&str> {
        match self {
            Json::Str(text) => Some(text),
            _ => None,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::Arr(list) => list,
            _ => &[],
        }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Json {
        Json::Str(text.into())
    }
}
impl From<String> for Json {
    fn from(text: String) -> Json {
        Json::Str(text)
    }
}
impl From<u64> for Json {
    fn from(number: u64) -> Json {
        Json::Num(number.to_string())
    }
}
impl From<f64> for Json {
    fn from(number: f64) -> Json {
        Json::Num(format!("{number:?}"))
    }
}
impl From<bool> for Json {
    fn from(flag: bool) -> Json {
        Json::Bool(flag)
    }
}
impl From<Vec<Json>> for Json {
    fn from(list: Vec<Json>) -> Json {
        Json::Arr(list)
    }
}

/// An object of these fields.
pub fn obj<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Obj(
        fields
            .into_iter()
            .map(|(name, value)| (name.to_string(), value))
            .collect(),
    )
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(flag) => write!(out, "{flag}"),
            Json::Num(text) => write!(out, "{text}"),
            Json::Str(text) => write_text(out, text),
            Json::Arr(list) => {
                write!(out, "[")?;
                for (i, value) in list.iter().enumerate() {
                    write!(out, "{}{value}", if i > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Obj(fields) => {
                write!(out, "{{")?;
                for (i, (name, value)) in fields.iter().enumerate() {
                    write!(out, "{}", if i > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for c in text.chars() {
        match c {
            '"' => write!(out, "\\\"")?,
            '\\' => write!(out, "\\\\")?,
            c if (c as u32) < 0x20 => write!(out, "\\u{:04x}", c as u32)?,
            c => write!(out, "{c}")?,
        }
    }
    write!(out, "\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self
            .bytes
            .get(self.at)
            .is_some_and(|b| b.is_ascii_whitespace())
        {
            self.at += 1;
        }
    }

    fn eat(&mut self, token: &str) -> Option<()> {
        let found = self.bytes[self.at..].starts_with(token.as_bytes());
        self.at += if found { token.len() } else { 0 };
        found.then_some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.text().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                self.space();
                if self.eat("]").is_some() {
                    return Some(Json::Arr(list));
                }
                loop {
                    list.push(self.value()?);
                    self.space();
                    if self.eat("]").is_some() {
                        return Some(Json::Arr(list));
                    }
                    self.eat(",")?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                self.space();
                if self.eat("}").is_some() {
                    return Some(Json::Obj(fields));
                }
                loop {
                    self.space();
                    let name = self.text()?;
                    self.space();
                    self.eat(":")?;
                    fields.push((name, self.value()?));
                    self.space();
                    if self.eat("}").is_some() {
                        return Some(Json::Obj(fields));
                    }
                    self.eat(",")?;
                }
            }
            _ => {
                let start = self.at;
                let is_number = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.bytes.get(self.at).is_some_and(is_number) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Num(text.into()))
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut text: Vec<u8> = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    text.extend(c.to_string().as_bytes());
                }
                byte => text.push(byte),
            }
        }
    }
}

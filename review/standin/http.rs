//! A small HTTP/1.1 server and client on loopback.

use crate::json::Json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Json,
    pub bytes: usize,
}

impl Request {
    /// The value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|pair| pair.0 == name)
            .map(|pair| pair.1)
            .next()
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, Json),
    /// Closes the connection without an answer.
    Nothing,
}

pub fn answer(status: u16, body: Json) -> Reply {
    Reply::Answer(status, body)
}

type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// Serves on a free loopback port, a thread for each connection.
pub fn serve(handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler: Arc<Handler> = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let (mut reader, mut stream) = (BufReader::new(clone), stream);
    while let Some((request, close)) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Nothing => return,
            Reply::Answer(status, body) => {
                if write_message(
                    &mut stream,
                    &format!("HTTP/1.1 {status} X"),
                    &body.to_string(),
                    close,
                )
                .is_err()
                    || close
                {
                    return;
                }
            }
        }
    }
}

fn write_message(
    stream: &mut TcpStream,
    first: &str,
    body: &str,
    close: bool,
) -> std::io::Result<()> {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let text = format!(
        "{first}\r\nHost: localhost\r\nContent-Type: application/json\r\n{connection}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

struct Head {
    first: String,
    length: usize,
    chunked: bool,
    close: bool,
    retry_after: Option<f64>,
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut head = Head {
        first,
        length: 0,
        chunked: false,
        close: false,
        retry_after: None,
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return Some(head);
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            head.length = value.trim().parse().ok()?;
        }
        head.chunked |= line.starts_with("transfer-encoding:") && line.contains("chunked");
        head.close |= line.starts_with("connection:") && line.contains("close");
        if let Some(value) = line.strip_prefix("retry-after:") {
            head.retry_after = value.trim().parse().ok();
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Option<String> {
    let mut body = Vec::new();
    if head.chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend(&chunk[..size]);
        }
    } else {
        body = vec![0; head.length];
        reader.read_exact(&mut body).ok()?;
    }
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(Request, bool)> {
    let head = read_head(reader)?;
    let body = read_body(reader, &head)?;
    let mut parts = head.first.split_whitespace();
    let (method, target) = (parts.next()?.to_string(), parts.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request {
        method,
        path: path.to_string(),
        query: query.to_string(),
        bytes: body.len(),
        body: Json::parse(&body).unwrap_or(Json::Null),
    };
    Some((request, head.close))
}

/// An answer to a request of this client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Json,
    pub retry_after: Option<f64>,
}

/// Sends a request on a new connection; nothing if there is no answer within the timeout.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    body: &Json,
    timeout: Duration,
) -> Option<Answer> {
    let deadline = std::time::Instant::now() + timeout;
    let remote: SocketAddr = address.parse().ok()?;
    let mut stream =
        TcpStream::connect_timeout(&remote, timeout.min(Duration::from_millis(500))).ok()?;
    let _ = stream.set_nodelay(true);
    let left = deadline.saturating_duration_since(std::time::Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let text = if *body == Json::Null {
        String::new()
    } else {
        body.to_string()
    };
    write_message(
        &mut stream,
        &format!("{method} {path} HTTP/1.1"),
        &text,
        true,
    )
    .ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let text = read_body(&mut reader, &head)?;
    let status = head.first.split_whitespace().nth(1)?.parse().ok()?;
    Some(Answer {
        status,
        body: Json::parse(&text).unwrap_or(Json::Null),
        retry_after: head.retry_after,
    })
}

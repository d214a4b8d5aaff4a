//! A small HTTP/1.1 server and client over TCP.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    /// The path with its query.
    pub target: String,
    pub body: String,
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

pub fn reply(status: u16, body: impl Into<String>) -> Response {
    Response {
        status,
        body: body.into(),
    }
}

pub type Handler = dyn Fn(Request) -> Response + Send + Sync;

/// Serves connections on a free loopback port; returns its address.
pub fn serve(handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a local address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || connection(stream, &handler));
        }
    });
    address
}

fn connection(mut stream: TcpStream, handler: &Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let Some((head, body)) = read_message(&mut stream, &mut buffer, false) else {
            return;
        };
        let mut words = head.split_whitespace();
        let request = Request {
            method: words.next().unwrap_or("").to_string(),
            target: words.next().unwrap_or("").to_string(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let close = header(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let response = handler(request);
        let text = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{}",
            response.status,
            response.body.len(),
            if close { "Connection: close\r\n" } else { "" },
            response.body
        );
        if stream.write_all(text.as_bytes()).is_err() || close {
            return;
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads a message with its body; the rest stays in `buffer`.
fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    _response: bool,
) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 16 * 1024];
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let length: usize = header(&head, "content-length").map_or(Some(0), |v| v.parse().ok())?;
    while buffer.len() < end + length {
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some((head, body))
}

/// A client that keeps one connection to one address.
pub struct Client {
    address: SocketAddr,
    stream: Option<(TcpStream, Vec<u8>)>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            stream: None,
        }
    }

    /// Sends a request; `None` if no response arrived in time. The connection is then closed.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<Response> {
        let deadline = Instant::now() + timeout;
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, timeout).ok()?;
            let _ = stream.set_nodelay(true);
            self.stream = Some((stream, Vec::new()));
        }
        let (mut stream, mut buffer) = self.stream.take()?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        );
        let _ = stream.set_write_timeout(Some(timeout));
        stream.write_all(text.as_bytes()).ok()?;
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let (head, body) = read_message(&mut stream, &mut buffer, true)?;
        let status = head.split_whitespace().nth(1)?.parse().ok()?;
        if !header(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            self.stream = Some((stream, buffer));
        }
        Some(Response {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

//! Requests on an open connection.

use std::io::{Read, Write};
use std::net::TcpStream;

/// Sends a request, and returns the head of the response.
pub(crate) fn send(stream: &mut TcpStream, method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
    read_response(stream)
}

/// Reads the head of a response, with the part of the body that arrived with it, in lower case.
pub(crate) fn read_response(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut bytes = [0; 4096];
    while !text.contains("\r\n\r\n") {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&bytes[..n])),
        }
    }
    text.to_lowercase()
}

//! The HTTP front for users, workers and health checks.

use super::{Reply, Respond};
use crate::protocol::job::is_job_id;
use crate::protocol::BODY_LIMIT;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server};
use tracing::{debug, warn};

/// A request that the front has understood.
#[derive(Debug, PartialEq)]
pub enum Call {
    Submit(Vec<u8>),
    Query(String),
    Cancel(String),
    Report(Vec<u8>),
}

impl Call {
    /// For the log.
    pub fn name(&self) -> &'static str {
        match self {
            Call::Submit(_) => "submission",
            Call::Query(_) => "query",
            Call::Cancel(_) => "cancellation",
            Call::Report(_) => "report",
        }
    }
}

/// Takes a request on, or answers it at once.
pub type Handler = dyn Fn(Call, Respond) + Send + Sync;

/// Listens and hands requests on until the process ends.
pub fn serve(address: SocketAddr, handler: std::sync::Arc<Handler>) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    listen(listener, handler)
}

fn listen(listener: TcpListener, handler: std::sync::Arc<Handler>) -> std::io::Result<()> {
    let again = listener.try_clone()?;
    let server = Server::from_listener(listener, None).map_err(std::io::Error::other)?;
    std::thread::Builder::new()
        .name("front".into())
        .spawn(move || {
            let mut again = Some(again);
            loop {
                match server.recv() {
                    Ok(request) => take(request, &*handler),
                    Err(error) => {
                        // The server stops accepting for good after one failure, such as a want of
                        // sockets. Its open connections go on here; new ones get a new server.
                        warn!("accepting connections failed: {error}");
                        std::thread::sleep(Duration::from_millis(50));
                        if let Some(listener) = again.take() {
                            if let Err(error) = listen(listener, handler.clone()) {
                                warn!("cannot listen again: {error}");
                            }
                        }
                    }
                }
            }
        })?;
    Ok(())
}

fn take(mut request: Request, handler: &Handler) {
    let method = request.method().clone();
    let path = request.url().split('?').next().unwrap_or("").to_string();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let call = match (&method, &parts[..]) {
        (Method::Get, ["healthz"]) => return respond(request, Reply::json(200, &())),
        (Method::Post, ["v2", "runs"]) => read_body(&mut request).map(Call::Submit),
        (Method::Post, ["agent", "beat"]) => read_body(&mut request).map(Call::Report),
        (Method::Get, ["v2", "runs", id]) if is_job_id(id) => Ok(Call::Query(id.to_string())),
        (Method::Post, ["v2", "runs", id, "abort"]) if is_job_id(id) => {
            read_body(&mut request).map(|_| Call::Cancel(id.to_string()))
        }
        (Method::Get, ["v2", "runs", _]) | (Method::Post, ["v2", "runs", _, "abort"]) => {
            Err(Reply::error(404, "no such job"))
        }
        (_, ["healthz"] | ["v2", "runs"] | ["agent", "beat"] | ["v2", "runs", _])
        | (_, ["v2", "runs", _, "abort"]) => Err(Reply::error(405, "wrong method")),
        _ => Err(Reply::error(404, "no such path")),
    };
    match call {
        Ok(call) => handler(call, Box::new(move |reply| respond(request, reply))),
        Err(reply) => respond(request, reply),
    }
}

fn read_body(request: &mut Request) -> Result<Vec<u8>, Reply> {
    let too_long = || Reply::error(413, "the body is longer than 64 KiB");
    if request.body_length().is_some_and(|n| n > BODY_LIMIT) {
        return Err(too_long());
    }
    let mut body = Vec::new();
    let mut reader = request.as_reader().take(BODY_LIMIT as u64 + 1);
    match reader.read_to_end(&mut body) {
        Ok(n) if n <= BODY_LIMIT => Ok(body),
        Ok(_) => Err(too_long()),
        Err(_) => Err(Reply::error(400, "the body cannot be read")),
    }
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("plain text")
}

fn respond(request: Request, reply: Reply) {
    let mut response = Response::from_data(reply.body.into_owned())
        .with_status_code(reply.status)
        .with_header(header("Content-Type", "application/json"));
    if let Some(seconds) = reply.retry_after {
        response.add_header(header("Retry-After", &seconds.to_string()));
    }
    if reply.status == 413 {
        response.add_header(header("Connection", "close"));
    }
    if let Err(error) = request.respond(response) {
        debug!("an answer was not taken: {error}");
    }
}

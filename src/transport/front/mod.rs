//! The HTTP front for users, workers and health checks: bounded in connections, bytes and time.

use super::runtime::Runtime;
use super::{Reply, Respond};
use crate::protocol::job::is_job_id;
use crate::protocol::BODY_LIMIT;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
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
/// Whether the node can take requests.
pub type Health = dyn Fn() -> bool + Send + Sync;

/// How much of the machine the front may take. Workers and users have shares of their own, so that
/// neither can shut the other out.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections of all kinds.
    pub connections: usize,
    /// Workers' connections that stay open between reports. Further workers are answered all the
    /// same, on connections that close with the answer: a lease must not hang on a socket.
    pub workers: usize,
    pub users: usize,
    /// How long a connection may stay open without a request's head.
    pub idle: Duration,
    /// How long a request's body may take.
    pub body: Duration,
}

/// Connections that may be open only to be told that there is no room.
const REFUSALS: usize = 16;
const REFUSAL_PATIENCE: Duration = Duration::from_millis(250);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// What hyper keeps of a connection's input at most: a head, or a part of a body.
const BUFFER: usize = 16 * 1024;

struct Front {
    bounds: Bounds,
    handler: Arc<Handler>,
    health: Arc<Health>,
    open: AtomicUsize,
    refusals: AtomicUsize,
    workers: AtomicUsize,
    users: AtomicUsize,
}

/// Counts something for as long as it exists.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    /// `None` when there are `most` already.
    fn below(most: usize, counter: &'a AtomicUsize) -> Option<Counted<'a>> {
        if counter.fetch_add(1, Ordering::Relaxed) < most {
            return Some(Counted(counter));
        }
        counter.fetch_sub(1, Ordering::Relaxed);
        None
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Listens and hands requests on until the process ends; returns the address that it listens on.
pub fn serve(
    runtime: &Runtime,
    address: SocketAddr,
    bounds: Bounds,
    handler: Arc<Handler>,
    health: Arc<Health>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let local = listener.local_addr()?;
    let listener = {
        let _inside = runtime.enter();
        tokio::net::TcpListener::from_std(listener)?
    };
    let front = Arc::new(Front {
        bounds,
        handler,
        health,
        open: AtomicUsize::new(0),
        refusals: AtomicUsize::new(0),
        workers: AtomicUsize::new(0),
        users: AtomicUsize::new(0),
    });
    runtime.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(front.clone().connection(stream));
                }
                Err(error) => {
                    // Such as a want of sockets: those that are open go on meanwhile.
                    warn!("accepting a connection failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(local)
}

impl Front {
    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let Some(_open) = Counted::below(self.bounds.connections, &self.open) else {
            return self.refuse(stream).await;
        };
        let _ = stream.set_nodelay(true);
        // Whose connection it is shows with its first request.
        let class: OnceLock<Option<Counted>> = OnceLock::new();
        let service = service_fn(|request| self.answer(request, &class));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.bounds.idle)
            .max_buf_size(BUFFER)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = connection.await {
            debug!("a connection ended: {error}");
        }
    }

    /// Tells a client that there is no room for its connection, whatever it asks.
    async fn refuse(&self, mut stream: TcpStream) {
        let Some(_refusal) = Counted::below(REFUSALS, &self.refusals) else {
            return;
        };
        const ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
            Connection: close\r\nContent-Type: application/json\r\nContent-Length: 41\r\n\r\n\
            {\"error\":\"too many connections are open\"}";
        let exchange = async {
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(ANSWER).await;
            let _ = stream.shutdown().await;
        };
        let _ = tokio::time::timeout(REFUSAL_PATIENCE, exchange).await;
    }

    async fn answer<'a>(
        &'a self,
        request: Request<Incoming>,
        class: &OnceLock<Option<Counted<'a>>>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = request.uri().path().to_string();
        let worker = path.starts_with("/agent/");
        let class = class.get_or_init(|| {
            if worker {
                Counted::below(self.bounds.workers, &self.workers)
            } else {
                Counted::below(self.bounds.users, &self.users)
            }
        });
        let admitted = class.is_some();
        if !admitted && !worker {
            return Ok(response(
                Reply::later("too many connections are open"),
                true,
            ));
        }
        let reply = match self.call(request, &path).await {
            Ok(call) => {
                let (tx, rx) = tokio::sync::oneshot::channel();
                let respond = move |reply| {
                    let _ = tx.send(reply);
                };
                (self.handler)(call, Box::new(respond));
                rx.await
                    .unwrap_or_else(|_| Reply::later("the request was given up on"))
            }
            Err(reply) => reply,
        };
        let close = !admitted || reply.status == 413 || reply.status == 408;
        Ok(response(reply, close))
    }

    /// What is asked for, or the answer if that can be given at once.
    async fn call(&self, request: Request<Incoming>, path: &str) -> Result<Call, Reply> {
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), &parts[..]) {
            (&Method::GET, ["healthz"]) => Err(if (self.health)() {
                Reply::json(200, &())
            } else {
                Reply::later("this node is cut off")
            }),
            (&Method::POST, ["v2", "runs"]) => self.body(request).await.map(Call::Submit),
            (&Method::POST, ["agent", "beat"]) => self.body(request).await.map(Call::Report),
            (&Method::GET, ["v2", "runs", id]) if is_job_id(id) => Ok(Call::Query(id.to_string())),
            (&Method::POST, ["v2", "runs", id, "abort"]) if is_job_id(id) => {
                self.body(request).await?;
                Ok(Call::Cancel(id.to_string()))
            }
            (&Method::GET, ["v2", "runs", _]) | (&Method::POST, ["v2", "runs", _, "abort"]) => {
                Err(Reply::error(404, "no such job"))
            }
            (_, ["healthz"] | ["v2", "runs"] | ["agent", "beat"] | ["v2", "runs", _])
            | (_, ["v2", "runs", _, "abort"]) => Err(Reply::error(405, "wrong method")),
            _ => Err(Reply::error(404, "no such path")),
        }
    }

    async fn body(&self, request: Request<Incoming>) -> Result<Vec<u8>, Reply> {
        let too_long = || Reply::error(413, "the body is longer than 64 KiB");
        let length = request.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        if length.is_some_and(|n| n > BODY_LIMIT as u64) {
            return Err(too_long());
        }
        let body = Limited::new(request.into_body(), BODY_LIMIT).collect();
        match tokio::time::timeout(self.bounds.body, body).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_long()),
            Ok(Err(_)) => Err(Reply::error(400, "the body cannot be read")),
            Err(_) => Err(Reply::error(408, "the body did not come in time")),
        }
    }
}

fn response(reply: Reply, close: bool) -> Response<Full<Bytes>> {
    let mut builder = Response::builder()
        .status(reply.status)
        .header(CONTENT_TYPE, "application/json");
    if let Some(seconds) = reply.retry_after {
        builder = builder.header(RETRY_AFTER, seconds);
    }
    if close {
        builder = builder.header(CONNECTION, "close");
    }
    let body = match reply.body {
        std::borrow::Cow::Borrowed(b) => Bytes::from_static(b),
        std::borrow::Cow::Owned(b) => Bytes::from(b),
    };
    builder.body(Full::new(body)).expect("plain headers")
}

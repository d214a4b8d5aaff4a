//! Accepts connections, reads requests and writes responses.

use super::connection_limits::{ConnectionLimits, ConnectionSlot};
use super::routing::{is_worker_path, route};
use super::{ApiRequest, Bounds, Handler, Health};
use crate::protocol::BODY_LIMIT;
use crate::transport::runtime::Runtime;
use crate::transport::Reply;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::borrow::Cow;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tracing::{debug, warn};

/// How long rejecting a connection may take.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(250);
/// The pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The maximum size of a connection's read buffer, in bytes. The buffer holds a request's head or a part
/// of its body.
const MAX_READ_BUFFER: usize = 16 * 1024;
/// The complete response to a connection beyond the limit.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Connection: close\r\nContent-Type: application/json\r\nContent-Length: 41\r\n\r\n\
    {\"error\":\"too many connections are open\"}";

struct Server {
    limits: ConnectionLimits,
    body_timeout: Duration,
    idle_timeout: Duration,
    handler: Arc<Handler>,
    health: Arc<Health>,
}

/// Binds `address` and serves requests until the process exits; returns the bound address.
///
/// # Errors
/// If the address cannot be bound.
pub fn serve(
    runtime: &Runtime,
    address: SocketAddr,
    bounds: Bounds,
    handler: Arc<Handler>,
    health: Arc<Health>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let local_address = listener.local_addr()?;
    let listener = {
        let _entered = runtime.enter();
        tokio::net::TcpListener::from_std(listener)?
    };
    let server = Arc::new(Server {
        limits: ConnectionLimits::new(bounds),
        body_timeout: bounds.body_timeout,
        idle_timeout: bounds.idle_timeout,
        handler,
        health,
    });
    runtime.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(server.clone().serve_connection(stream));
                }
                Err(error) => {
                    // Connections that are already open are served during the pause.
                    warn!(%error, "cannot accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    });
    Ok(local_address)
}

impl Server {
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let Some(_slot) = self.limits.connection() else {
            return self.reject(stream).await;
        };
        let _ = stream.set_nodelay(true);
        // The first request determines whether the connection counts as a worker's or a user's.
        let class_slot: OnceLock<Option<ConnectionSlot>> = OnceLock::new();
        let service = service_fn(|request| self.respond(request, &class_slot));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.idle_timeout)
            .max_buf_size(MAX_READ_BUFFER)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = connection.await {
            debug!(%error, "connection closed with an error");
        }
    }

    /// Responds with a 503 without parsing the request.
    async fn reject(&self, mut stream: TcpStream) {
        let Some(_slot) = self.limits.rejection() else {
            return;
        };
        let exchange = async {
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await;
            let _ = stream.write_all(REJECTION).await;
            let _ = stream.shutdown().await;
        };
        let _ = tokio::time::timeout(REJECTION_TIMEOUT, exchange).await;
    }

    async fn respond<'a>(
        &'a self,
        request: Request<Incoming>,
        class_slot: &OnceLock<Option<ConnectionSlot<'a>>>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let from_worker = is_worker_path(request.uri().path());
        let class_slot = class_slot.get_or_init(|| {
            if from_worker {
                self.limits.worker()
            } else {
                self.limits.user()
            }
        });
        let within_limit = class_slot.is_some();
        if !within_limit && !from_worker {
            return Ok(response(
                Reply::unavailable("too many connections are open"),
                true,
            ));
        }
        let reply = match self.read_request(request).await {
            Ok(request) => self.handle(request).await,
            Err(reply) => reply,
        };
        let close = !within_limit || reply.status == 413 || reply.status == 408;
        Ok(response(reply, close))
    }

    /// Passes a request to the handler and waits for its reply.
    async fn handle(&self, request: ApiRequest) -> Reply {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let respond = move |reply| {
            let _ = sender.send(reply);
        };
        (self.handler)(request, Box::new(respond));
        receiver
            .await
            .unwrap_or_else(|_| Reply::unavailable("the request was dropped without a reply"))
    }

    /// Routes a request and reads its body.
    ///
    /// # Errors
    /// The reply, if the request does not reach the handler: a health check or an invalid request.
    async fn read_request(&self, request: Request<Incoming>) -> Result<ApiRequest, Reply> {
        let route = route(request.method(), request.uri().path())?;
        let body = if route.has_body() {
            self.read_body(request).await?
        } else {
            Vec::new()
        };
        route.into_request(body).ok_or_else(|| self.health_reply())
    }

    fn health_reply(&self) -> Reply {
        if (self.health)() {
            Reply::json(200, &())
        } else {
            Reply::unavailable("the controller reaches neither the state service nor a peer")
        }
    }

    async fn read_body(&self, request: Request<Incoming>) -> Result<Vec<u8>, Reply> {
        let too_long = || Reply::error(413, "the request body exceeds 64 KiB");
        let length = request.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if length.is_some_and(|length| length > BODY_LIMIT as u64) {
            return Err(too_long());
        }
        let body = Limited::new(request.into_body(), BODY_LIMIT).collect();
        match tokio::time::timeout(self.body_timeout, body).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_long()),
            Ok(Err(_)) => Err(Reply::error(400, "the request body cannot be read")),
            Err(_) => Err(Reply::error(408, "timeout while reading the request body")),
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
        Cow::Borrowed(body) => Bytes::from_static(body),
        Cow::Owned(body) => Bytes::from(body),
    };
    builder
        .body(Full::new(body))
        .expect("handlers reply with valid status codes, and the headers are constants or numbers")
}

//! Sends commands directly to workers. Requests run concurrently, so that an unresponsive worker does
//! not delay commands to the others.

use super::client::HttpOutcome;
use super::runtime::Runtime;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Sends each request on a new connection; a semaphore limits the number of open connections.
#[derive(Clone)]
pub struct DirectCommands {
    runtime: Runtime,
    connections: Arc<Semaphore>,
    /// The timeout of connecting, and likewise of the HTTP exchange on the connection.
    timeout: Duration,
    max_response_bytes: usize,
}

/// Receives the outcome of a request. While the receiver's queue is full, returns the outcome as an
/// error, and is called again later.
pub type OutcomeHandler = Box<dyn FnMut(HttpOutcome) -> Result<(), HttpOutcome> + Send>;

/// The pause before a handler whose queue was full is called again.
const FULL_QUEUE_PAUSE: Duration = Duration::from_millis(5);

impl DirectCommands {
    /// Creates a sender with at most `connections` open connections; 0 is raised to 1. `timeout` applies
    /// separately to connecting and to the HTTP exchange. A response longer than `max_response_bytes`
    /// makes the outcome indeterminate.
    pub fn new(
        runtime: &Runtime,
        connections: usize,
        timeout: Duration,
        max_response_bytes: usize,
    ) -> DirectCommands {
        DirectCommands {
            runtime: runtime.clone(),
            connections: Arc::new(Semaphore::new(connections.max(1))),
            timeout,
            max_response_bytes,
        }
    }

    /// Posts a JSON body to an address in the background and passes the outcome to `handler`.
    pub fn post(
        &self,
        address: &str,
        path: &'static str,
        body: Vec<u8>,
        mut handler: OutcomeHandler,
    ) {
        let (direct_commands, address) = (self.clone(), address.to_string());
        self.runtime.spawn(async move {
            let mut outcome = direct_commands.send(&address, path, body).await;
            while let Err(rejected) = handler(outcome) {
                outcome = rejected;
                tokio::time::sleep(FULL_QUEUE_PAUSE).await;
            }
        });
    }

    async fn send(&self, address: &str, path: &str, body: Vec<u8>) -> HttpOutcome {
        let Ok(remote) = address.parse::<SocketAddr>() else {
            return HttpOutcome::NotSent;
        };
        let Ok(_permit) = self.connections.acquire().await else {
            return HttpOutcome::NotSent;
        };
        // A connection attempt that times out is aborted, so the request has certainly not been sent.
        let connected = tokio::time::timeout(self.timeout, TcpStream::connect(remote)).await;
        let Ok(Ok(stream)) = connected else {
            return HttpOutcome::NotSent;
        };
        let exchange = self.exchange(stream, address, path, body);
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(Some((status, body))) => HttpOutcome::Response(status, body),
            _ => HttpOutcome::Indeterminate,
        }
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        host: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(u16, Vec<u8>)> {
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let request = Request::post(path)
            .header(HOST, host)
            .header(CONTENT_TYPE, "application/json")
            .header(CONNECTION, "close")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let call = async {
            let response = sender.send_request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), self.max_response_bytes);
            let bytes = body.collect().await.ok()?.to_bytes();
            Some((status, bytes.to_vec()))
        };
        tokio::pin!(call);
        tokio::select! {
            biased;
            response = &mut call => response,
            // The connection may close while its response is still in the buffer.
            _ = connection => call.await,
        }
    }
}

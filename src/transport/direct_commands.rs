//! Commands that are pushed to workers: requests run concurrently, so that a worker that hangs does not
//! delay the others.

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

/// Sends each request on a connection of its own; a semaphore limits the number of open connections.
#[derive(Clone)]
pub struct DirectCommands {
    runtime: Runtime,
    connections: Arc<Semaphore>,
    /// For connecting, and again for the exchange.
    timeout: Duration,
    max_response_bytes: usize,
}

/// Receives the outcome of a request, or returns it as the error while its queue is full.
pub type OutcomeHandler = Box<dyn FnMut(HttpOutcome) -> Result<(), HttpOutcome> + Send>;

/// Pause before an outcome is offered again to a handler whose queue was full.
const FULL_QUEUE_PAUSE: Duration = Duration::from_millis(5);

impl DirectCommands {
    /// At most `connections` are open at a time (at least one); `timeout` applies to connecting and to
    /// the exchange each; responses longer than `max_response_bytes` are not read.
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

    /// Posts a JSON body to an address in the background; `handler` receives the outcome.
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
        // A connection attempt that timed out is aborted, so that the request is certainly not sent.
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
            // The connection may close before its response has been read from the buffer.
            _ = connection => call.await,
        }
    }
}

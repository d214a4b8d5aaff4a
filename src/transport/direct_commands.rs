//! Requests straight to workers: many at a time, as those that hang must not hold up the others.

use super::client::Answer;
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

/// Sends requests, each on a connection of its own, of which there are at most so many.
#[derive(Clone)]
pub struct DirectCommands {
    runtime: Runtime,
    connections: Arc<Semaphore>,
    within: Duration,
    most_bytes: usize,
}

/// Takes an answer, or gives it back while it has no room for it.
pub type Taker = Box<dyn FnMut(Answer) -> Result<(), Answer> + Send>;

const FULL_PAUSE: Duration = Duration::from_millis(5);

impl DirectCommands {
    pub fn new(
        runtime: &Runtime,
        connections: usize,
        within: Duration,
        most: usize,
    ) -> DirectCommands {
        DirectCommands {
            runtime: runtime.clone(),
            connections: Arc::new(Semaphore::new(connections.max(1))),
            within,
            most_bytes: most,
        }
    }

    /// Posts a JSON body to an address; what becomes of it is handed to `taker`.
    pub fn post(&self, address: &str, path: &'static str, body: Vec<u8>, mut taker: Taker) {
        let (direct_commands, address) = (self.clone(), address.to_string());
        self.runtime.spawn(async move {
            let mut answer = direct_commands.send(&address, path, body).await;
            while let Err(back) = taker(answer) {
                answer = back;
                tokio::time::sleep(FULL_PAUSE).await;
            }
        });
    }

    async fn send(&self, address: &str, path: &str, body: Vec<u8>) -> Answer {
        let Ok(remote) = address.parse::<SocketAddr>() else {
            return Answer::NotSent;
        };
        let Ok(_permit) = self.connections.acquire().await else {
            return Answer::NotSent;
        };
        // An attempt to connect that is given up never completes later.
        let connected = tokio::time::timeout(self.within, TcpStream::connect(remote)).await;
        let Ok(Ok(stream)) = connected else {
            return Answer::NotSent;
        };
        let exchange = self.exchange(stream, address, path, body);
        match tokio::time::timeout(self.within, exchange).await {
            Ok(Some((status, body))) => Answer::Response(status, body),
            _ => Answer::Unknown,
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
            let body = Limited::new(response.into_body(), self.most_bytes);
            let bytes = body.collect().await.ok()?.to_bytes();
            Some((status, bytes.to_vec()))
        };
        tokio::pin!(call);
        tokio::select! {
            biased;
            answer = &mut call => answer,
            // The connection may end before the answer has been taken from it.
            _ = connection => call.await,
        }
    }
}

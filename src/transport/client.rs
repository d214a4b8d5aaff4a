//! A blocking HTTP client for the state service and the cloud, with a timeout per request and a limit on
//! the size of responses.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

/// The outcome of a request.
#[derive(Debug)]
pub enum HttpOutcome {
    /// The service responded with this status code and body.
    Response(u16, Vec<u8>),
    /// The request was not sent, because no connection could be established.
    NotSent,
    /// Unknown: the service may have processed the request, or may still process it later.
    Indeterminate,
}

impl HttpOutcome {
    /// The decoded body of a 200; `None` for any other outcome and for a body that cannot be decoded.
    pub fn ok<T: DeserializeOwned>(&self) -> Option<T> {
        match self {
            HttpOutcome::Response(200, body) => serde_json::from_slice(body).ok(),
            _ => None,
        }
    }
}

/// A client of one remote service, with a connection pool.
#[derive(Clone)]
pub struct Client {
    agent: ureq::Agent,
    base_url: String,
    max_response_bytes: u64,
}

impl Client {
    /// Creates a client of the service at `remote` that keeps at most `connections` idle connections. A
    /// response longer than `max_response_bytes` makes the outcome indeterminate.
    pub fn new(remote: SocketAddr, connections: usize, max_response_bytes: u64) -> Client {
        let agent = ureq::AgentBuilder::new()
            .max_idle_connections(connections)
            .max_idle_connections_per_host(connections)
            .redirects(0)
            .build();
        Client {
            agent,
            base_url: format!("http://{remote}"),
            max_response_bytes,
        }
    }

    /// Sends a GET request.
    pub fn get(&self, path: &str, timeout: Duration) -> HttpOutcome {
        self.outcome(self.agent.get(&self.url(path)).timeout(timeout).call())
    }

    /// Sends a DELETE request.
    pub fn delete(&self, path: &str, timeout: Duration) -> HttpOutcome {
        self.outcome(self.agent.delete(&self.url(path)).timeout(timeout).call())
    }

    /// Sends a POST request with a JSON body.
    pub fn post(&self, path: &str, body: &impl Serialize, timeout: Duration) -> HttpOutcome {
        let request = self.agent.post(&self.url(path)).timeout(timeout);
        self.outcome(request.send_json(body))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }

    #[allow(
        clippy::result_large_err,
        reason = "`ureq::Error` carries the response, and its size does not matter on this path"
    )]
    fn outcome(&self, result: Result<ureq::Response, ureq::Error>) -> HttpOutcome {
        match result {
            Ok(response) | Err(ureq::Error::Status(_, response)) => {
                let status = response.status();
                let mut body = Vec::new();
                let mut reader = response.into_reader().take(self.max_response_bytes + 1);
                match reader.read_to_end(&mut body) {
                    Ok(length) if length as u64 <= self.max_response_bytes => {
                        HttpOutcome::Response(status, body)
                    }
                    _ => HttpOutcome::Indeterminate,
                }
            }
            Err(ureq::Error::Transport(transport)) => match transport.kind() {
                ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns => HttpOutcome::NotSent,
                _ => HttpOutcome::Indeterminate,
            },
        }
    }
}

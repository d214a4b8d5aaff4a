//! HTTP requests to the state service and the cloud, bounded in time and size.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

/// How a request ended.
#[derive(Debug)]
pub enum Answer {
    /// A status and a body.
    Response(u16, Vec<u8>),
    /// The request was never sent: no connection was made.
    NotSent,
    /// Nothing is known: it may have been carried out, or may yet be.
    Unknown,
}

impl Answer {
    /// The body of a 200, if it can be read.
    pub fn ok<T: DeserializeOwned>(&self) -> Option<T> {
        match self {
            Answer::Response(200, body) => serde_json::from_slice(body).ok(),
            _ => None,
        }
    }
}

/// A client for one remote service, with a small pool of connections.
#[derive(Clone)]
pub struct Client {
    agent: ureq::Agent,
    base: String,
    most_bytes: u64,
}

impl Client {
    pub fn new(remote: SocketAddr, connections: usize, most_bytes: u64) -> Client {
        let agent = ureq::AgentBuilder::new()
            .max_idle_connections(connections)
            .max_idle_connections_per_host(connections)
            .redirects(0)
            .build();
        Client {
            agent,
            base: format!("http://{remote}"),
            most_bytes,
        }
    }

    pub fn get(&self, path: &str, within: Duration) -> Answer {
        self.finish(self.agent.get(&self.url(path)).timeout(within).call())
    }

    pub fn delete(&self, path: &str, within: Duration) -> Answer {
        self.finish(self.agent.delete(&self.url(path)).timeout(within).call())
    }

    pub fn post(&self, path: &str, body: &impl Serialize, within: Duration) -> Answer {
        let request = self.agent.post(&self.url(path)).timeout(within);
        self.finish(request.send_json(body))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    #[allow(clippy::result_large_err)]
    fn finish(&self, result: Result<ureq::Response, ureq::Error>) -> Answer {
        match result {
            Ok(response) | Err(ureq::Error::Status(_, response)) => {
                let status = response.status();
                let mut body = Vec::new();
                let mut reader = response.into_reader().take(self.most_bytes + 1);
                match reader.read_to_end(&mut body) {
                    Ok(n) if n as u64 <= self.most_bytes => Answer::Response(status, body),
                    _ => Answer::Unknown,
                }
            }
            Err(ureq::Error::Transport(t)) => match t.kind() {
                ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns => Answer::NotSent,
                _ => Answer::Unknown,
            },
        }
    }
}

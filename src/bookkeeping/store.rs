//! The state service's client.

use crate::protocol::store::*;
use crate::transport::client::{Answer, Client};
use serde::de::DeserializeOwned;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Answers normally take milliseconds and now and then a few hundred.
const WITHIN: Duration = Duration::from_millis(1200);
const MOST_BYTES: u64 = 8 * 1024 * 1024;
const PAGE: usize = 400;

/// What became of a transaction.
#[derive(Debug)]
pub enum Outcome {
    Applied(u64),
    /// The named keys had other versions.
    Conflict(Vec<String>),
    /// It was not carried out: the service refuses this node, or is overloaded, or is not reached.
    Refused,
    /// It never will be: a value or the whole is larger than the service takes.
    TooLarge,
    /// The leadership lease named in it is over.
    NoLease,
    /// It may have been carried out, or may yet be.
    Unknown,
}

/// The state service could not be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable;

/// What became of a lease's renewal.
#[derive(Debug, PartialEq, Eq)]
pub enum Renewal {
    Renewed,
    Over,
    Unavailable,
}

#[derive(Clone)]
pub struct Store {
    client: Client,
    /// When it last answered anything, in milliseconds since `begun`.
    answered_ms: Arc<AtomicU64>,
    begun: Instant,
    /// Whether it has ever refused a transaction for being one too many.
    limited: Arc<AtomicBool>,
}

impl Store {
    pub fn new(remote: SocketAddr, connections: usize) -> Store {
        Store {
            client: Client::new(remote, connections, MOST_BYTES),
            answered_ms: Arc::default(),
            begun: Instant::now(),
            limited: Arc::default(),
        }
    }

    /// Whether the service has refused a change, as it does beyond its rate.
    pub fn is_limited(&self) -> bool {
        self.limited.load(Ordering::Relaxed)
    }

    /// When the service last answered, by whatever it said but that it is out of order.
    pub fn last_answer(&self, epoch: Instant) -> Duration {
        let since_begun = Duration::from_millis(self.answered_ms.load(Ordering::Relaxed));
        self.begun.saturating_duration_since(epoch) + since_begun
    }

    fn noted(&self, answer: Answer) -> Answer {
        if matches!(answer, Answer::Response(status, _) if status != 503) {
            let now = self.begun.elapsed().as_millis() as u64;
            self.answered_ms.store(now, Ordering::Relaxed);
        }
        answer
    }

    pub fn get(&self, key: &str) -> Result<Option<Item>, Unavailable> {
        self.get_within(key, WITHIN)
    }

    fn get_within(&self, key: &str, timeout: Duration) -> Result<Option<Item>, Unavailable> {
        match self.noted(self.client.get(&format!("/store/{key}"), timeout)) {
            Answer::Response(404, _) => Ok(None),
            answer => answer.ok().map(Some).ok_or(Unavailable),
        }
    }

    /// Reads a key's value as `T`; what cannot be read as such counts as absent.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(T, u64)>, Unavailable> {
        self.read_within(key, WITHIN)
    }

    /// The same, for a caller that cannot wait as long as usual.
    pub fn read_within<T: DeserializeOwned>(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<(T, u64)>, Unavailable> {
        Ok(self.get_within(key, timeout)?.and_then(|item| {
            let value = serde_json::from_value(item.value).ok()?;
            Some((value, item.version))
        }))
    }

    /// Everything under a prefix, with the revision as of the first page.
    pub fn list(&self, prefix: &str) -> Result<(Vec<Item>, u64), Unavailable> {
        let mut items: Vec<Item> = Vec::new();
        let mut first = None;
        loop {
            let after = match items.last() {
                Some(item) => format!("&after={}", item.key),
                None => String::new(),
            };
            let path = format!("/store?under={prefix}{after}&limit={PAGE}");
            let answer = self.noted(self.client.get(&path, WITHIN));
            let page: Page = answer.ok().ok_or(Unavailable)?;
            let revision = *first.get_or_insert(page.revision);
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || empty {
                return Ok((items, revision));
            }
        }
    }

    pub fn commit(&self, transaction: &Transaction) -> Outcome {
        self.commit_within(transaction, WITHIN)
    }

    /// The same, for a caller that cannot wait as long as usual.
    pub fn commit_within(&self, transaction: &Transaction, timeout: Duration) -> Outcome {
        match self.noted(self.client.post("/txn", transaction, timeout)) {
            Answer::Response(200, body) => match serde_json::from_slice::<Applied>(&body) {
                Ok(applied) => Outcome::Applied(applied.revision),
                Err(_) => Outcome::Unknown,
            },
            Answer::Response(409, body) => match serde_json::from_slice::<Refused>(&body) {
                Ok(refused) => Outcome::Conflict(refused.failed),
                Err(_) => Outcome::Unknown,
            },
            Answer::Response(400, body) => {
                if String::from_utf8_lossy(&body).contains("no such lease") {
                    return Outcome::NoLease;
                }
                tracing::error!(
                    "the state service calls a transaction malformed: {}",
                    String::from_utf8_lossy(&body)
                );
                Outcome::TooLarge
            }
            Answer::Response(429, _) => {
                self.limited.store(true, Ordering::Relaxed);
                Outcome::Refused
            }
            Answer::Response(..) | Answer::NotSent => Outcome::Refused,
            Answer::Unknown => Outcome::Unknown,
        }
    }

    pub fn grant(&self, life: Duration) -> Result<u64, Unavailable> {
        let body = json!({"life_ms": life.as_millis() as u64});
        let granted: Option<Granted> = self.noted(self.client.post("/leases", &body, WITHIN)).ok();
        granted.map(|g| g.lease).ok_or(Unavailable)
    }

    pub fn renew(&self, lease: u64, within: Duration) -> Renewal {
        let path = format!("/leases/{lease}/extend");
        match self.noted(self.client.post(&path, &json!({}), within)) {
            Answer::Response(200, _) => Renewal::Renewed,
            Answer::Response(404, _) => Renewal::Over,
            _ => Renewal::Unavailable,
        }
    }

    pub fn release(&self, lease: u64) {
        let _ = self.client.delete(&format!("/leases/{lease}"), WITHIN);
    }

    /// Waits for changes under a prefix; `None` when the revision is too old to go on from.
    pub fn watch(
        &self,
        prefix: &str,
        after: u64,
        hold: Duration,
    ) -> Result<Option<Events>, Unavailable> {
        let hold_ms = hold.as_millis();
        let path = format!("/changes?under={prefix}&after={after}&hold_ms={hold_ms}");
        match self.noted(self.client.get(&path, hold + WITHIN)) {
            Answer::Response(410, _) => Ok(None),
            answer => answer.ok().map(Some).ok_or(Unavailable),
        }
    }
}

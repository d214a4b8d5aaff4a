//! The state service's client.

use super::request_counts::{RecentRequests, RequestCounts, RequestKind};
use crate::protocol::store::{
    Applied, Events, Granted, Page, Refused, Transaction, VersionedValue,
};
use crate::protocol::TOO_MANY_REQUESTS;
use crate::transport::client::{Answer, Client};
use serde::de::DeserializeOwned;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Answers normally take milliseconds and now and then a few hundred.
const WITHIN: Duration = Duration::from_millis(1200);
const MAX_BYTES: u64 = 8 * 1024 * 1024;
const PAGE: usize = 400;

/// What became of a transaction.
#[derive(Debug)]
pub enum CommitOutcome {
    Applied(u64),
    /// The named keys had other versions.
    Conflict(Vec<String>),
    /// It was not carried out: the service refuses this node, or is not reached.
    Refused,
    /// It was not carried out: it was one too many.
    Limited,
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
pub struct KeyValueStore {
    client: Client,
    /// When it last answered anything, in milliseconds since `begun`.
    answered_ms: Arc<AtomicU64>,
    begun: Instant,
    /// Whether it has ever refused a transaction for being one too many.
    limited: Arc<AtomicBool>,
    counts: Arc<RequestCounts>,
}

impl KeyValueStore {
    pub fn new(remote: SocketAddr, connections: usize) -> KeyValueStore {
        KeyValueStore {
            client: Client::new(remote, connections, MAX_BYTES),
            answered_ms: Arc::default(),
            begun: Instant::now(),
            limited: Arc::default(),
            counts: Arc::default(),
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

    /// The requests since the last call of this.
    pub fn take_request_counts(&self) -> RecentRequests {
        self.counts.take()
    }

    fn noted(&self, kind: RequestKind, answer: Answer) -> Answer {
        let status = match answer {
            Answer::Response(status, _) => Some(status),
            _ => None,
        };
        self.counts.count(kind, status);
        if matches!(answer, Answer::Response(status, _) if status != 503) {
            let now = self.begun.elapsed().as_millis() as u64;
            self.answered_ms.store(now, Ordering::Relaxed);
        }
        answer
    }

    pub fn get(&self, key: &str) -> Result<Option<VersionedValue>, Unavailable> {
        self.get_within(key, WITHIN)
    }

    fn get_within(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<VersionedValue>, Unavailable> {
        let answer = self.client.get(&format!("/store/{key}"), timeout);
        match self.noted(RequestKind::Read, answer) {
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

    /// The first keys under a prefix that come after another one, or the first of all.
    pub fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Page, Unavailable> {
        let after = after.map_or(String::new(), |key| format!("&after={key}"));
        let path = format!("/store?under={prefix}{after}&limit={limit}");
        let answer = self.noted(RequestKind::Page, self.client.get(&path, WITHIN));
        answer.ok().ok_or(Unavailable)
    }

    /// Everything under a prefix, with the revision as of the first page.
    pub fn list(&self, prefix: &str) -> Result<(Vec<VersionedValue>, u64), Unavailable> {
        let mut items: Vec<VersionedValue> = Vec::new();
        let mut first = None;
        loop {
            let page = self.page(prefix, items.last().map(|item| item.key.as_str()), PAGE)?;
            let revision = *first.get_or_insert(page.revision);
            let empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || empty {
                return Ok((items, revision));
            }
        }
    }

    pub fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        self.commit_within(transaction, WITHIN)
    }

    /// The same, for a caller that cannot wait as long as usual.
    pub fn commit_within(&self, transaction: &Transaction, timeout: Duration) -> CommitOutcome {
        let kind = if transaction.changes.is_empty() {
            RequestKind::Comparison
        } else {
            RequestKind::Change
        };
        let answer = self.client.post("/txn", transaction, timeout);
        match self.noted(kind, answer) {
            Answer::Response(200, body) => match serde_json::from_slice::<Applied>(&body) {
                Ok(applied) => CommitOutcome::Applied(applied.revision),
                Err(_) => CommitOutcome::Unknown,
            },
            Answer::Response(409, body) => match serde_json::from_slice::<Refused>(&body) {
                Ok(refused) => CommitOutcome::Conflict(refused.failed),
                Err(_) => CommitOutcome::Unknown,
            },
            Answer::Response(400, body) => {
                if String::from_utf8_lossy(&body).contains("no such lease") {
                    return CommitOutcome::NoLease;
                }
                tracing::error!(
                    "the state service calls a transaction malformed: {}",
                    String::from_utf8_lossy(&body)
                );
                CommitOutcome::TooLarge
            }
            Answer::Response(TOO_MANY_REQUESTS, _) => {
                self.limited.store(true, Ordering::Relaxed);
                CommitOutcome::Limited
            }
            Answer::Response(..) | Answer::NotSent => CommitOutcome::Refused,
            Answer::Unknown => CommitOutcome::Unknown,
        }
    }

    pub fn grant(&self, life: Duration) -> Result<u64, Unavailable> {
        let body = json!({"life_ms": life.as_millis() as u64});
        let answer = self.client.post("/leases", &body, WITHIN);
        let granted: Option<Granted> = self.noted(RequestKind::Lease, answer).ok();
        granted.map(|g| g.lease).ok_or(Unavailable)
    }

    pub fn renew(&self, lease: u64, within: Duration) -> Renewal {
        let path = format!("/leases/{lease}/extend");
        let answer = self.client.post(&path, &json!({}), within);
        match self.noted(RequestKind::Lease, answer) {
            Answer::Response(200, _) => Renewal::Renewed,
            Answer::Response(404, _) => Renewal::Over,
            _ => Renewal::Unavailable,
        }
    }

    pub fn release(&self, lease: u64) {
        let answer = self.client.delete(&format!("/leases/{lease}"), WITHIN);
        self.noted(RequestKind::Lease, answer);
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
        let answer = self.client.get(&path, hold + WITHIN);
        match self.noted(RequestKind::Watch, answer) {
            Answer::Response(410, _) => Ok(None),
            answer => answer.ok().map(Some).ok_or(Unavailable),
        }
    }
}

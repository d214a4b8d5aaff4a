//! The client of the state service.

use super::request_counts::{RecentRequests, RequestCounts, RequestKind};
use crate::protocol::store::{
    Events, LeaseGranted, LeaseId, Page, Transaction, TransactionApplied, TransactionConflict,
    VersionedValue,
};
use crate::protocol::TOO_MANY_REQUESTS;
use crate::transport::client::{Client, HttpOutcome};
use serde::de::DeserializeOwned;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use super::outcome::{CommitOutcome, Renewal, Unavailable};

/// The default timeout of a request. Responses normally take a few milliseconds, occasionally a few
/// hundred.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(1200);
/// The maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;
/// The number of keys requested in one page of a list.
const LIST_PAGE_SIZE: usize = 400;

/// The status of a request that was carried out.
const OK: u16 = 200;
/// The status of a malformed request, and of a write that names an expired lease.
const BAD_REQUEST: u16 = 400;
/// The status of a request for a key or a lease that does not exist.
const NOT_FOUND: u16 = 404;
/// The status of a transaction with a failed comparison.
const CONFLICT: u16 = 409;
/// The status of a watch from a revision whose later changes the service no longer retains.
const GONE: u16 = 410;
/// The status of a request that was not carried out because of an outage.
const SERVICE_UNAVAILABLE: u16 = 503;

/// A client of the state service. Clones share its connections and statistics.
#[derive(Clone)]
pub struct KeyValueStore {
    client: Client,
    created_at: Instant,
    /// When the service last responded, in milliseconds since `created_at`.
    last_response_ms: Arc<AtomicU64>,
    /// Whether the service has ever rejected a transaction because of its rate limit.
    rate_limited: Arc<AtomicBool>,
    counts: Arc<RequestCounts>,
}

impl KeyValueStore {
    /// Creates a client of the service at `remote` that keeps up to `connections` idle connections.
    pub fn new(remote: SocketAddr, connections: usize) -> KeyValueStore {
        KeyValueStore {
            client: Client::new(remote, connections, MAX_RESPONSE_BYTES),
            created_at: Instant::now(),
            last_response_ms: Arc::default(),
            rate_limited: Arc::default(),
            counts: Arc::default(),
        }
    }

    /// Whether the service has ever rejected a transaction of this client because of its rate limit.
    pub fn is_rate_limited(&self) -> bool {
        self.rate_limited.load(Ordering::Relaxed)
    }

    /// The time of the service's last response with a status other than 503, as the duration since
    /// `epoch`.
    pub fn last_response(&self, epoch: Instant) -> Duration {
        let since_creation = Duration::from_millis(self.last_response_ms.load(Ordering::Relaxed));
        self.created_at.saturating_duration_since(epoch) + since_creation
    }

    /// Returns the statistics of the requests since the last call of this method.
    pub fn take_request_counts(&self) -> RecentRequests {
        self.counts.take()
    }

    /// Counts a request and its outcome in the statistics.
    fn count(&self, kind: RequestKind, outcome: HttpOutcome) -> HttpOutcome {
        let status = match outcome {
            HttpOutcome::Response(status, _) => Some(status),
            _ => None,
        };
        self.counts.count(kind, status);
        if status.is_some_and(|status| status != SERVICE_UNAVAILABLE) {
            let now = self.created_at.elapsed().as_millis() as u64;
            self.last_response_ms.store(now, Ordering::Relaxed);
        }
        outcome
    }

    /// Reads a key; `None` if it is absent.
    ///
    /// # Errors
    /// [`Unavailable`] if no usable response was received.
    pub fn get(&self, key: &str) -> Result<Option<VersionedValue>, Unavailable> {
        self.get_within(key, DEFAULT_TIMEOUT)
    }

    fn get_within(
        &self,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<VersionedValue>, Unavailable> {
        let outcome = self.client.get(&format!("/store/{key}"), timeout);
        match self.count(RequestKind::Read, outcome) {
            HttpOutcome::Response(NOT_FOUND, _) => Ok(None),
            outcome => outcome.ok().map(Some).ok_or(Unavailable),
        }
    }

    /// Reads a key's value as a `T`, with its version. A value that cannot be decoded as a `T` counts as
    /// absent.
    ///
    /// # Errors
    /// [`Unavailable`] if no usable response was received.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(T, u64)>, Unavailable> {
        self.read_within(key, DEFAULT_TIMEOUT)
    }

    /// Like [`read`](Self::read), with a given timeout.
    ///
    /// # Errors
    /// [`Unavailable`] if no usable response was received.
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

    /// Reads up to `limit` keys under a prefix, starting after the key `after` if it is given.
    ///
    /// # Errors
    /// [`Unavailable`] if no usable response was received.
    pub fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Page, Unavailable> {
        let after = after.map_or(String::new(), |key| format!("&after={key}"));
        let path = format!("/store?under={prefix}{after}&limit={limit}");
        let outcome = self.count(RequestKind::Page, self.client.get(&path, DEFAULT_TIMEOUT));
        outcome.ok().ok_or(Unavailable)
    }

    /// Reads all keys under a prefix, with the revision of the first page. A watch from that revision
    /// reports all changes made while later pages were read.
    ///
    /// # Errors
    /// [`Unavailable`] if no usable response was received for any of the pages.
    pub fn list(&self, prefix: &str) -> Result<(Vec<VersionedValue>, u64), Unavailable> {
        let mut items: Vec<VersionedValue> = Vec::new();
        let mut first_revision = None;
        loop {
            let last_key = items.last().map(|item| item.key.as_str());
            let page = self.page(prefix, last_key, LIST_PAGE_SIZE)?;
            let revision = *first_revision.get_or_insert(page.revision);
            let is_empty = page.items.is_empty();
            items.extend(page.items);
            if !page.more || is_empty {
                return Ok((items, revision));
            }
        }
    }

    /// Commits a transaction.
    pub fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        self.commit_within(transaction, DEFAULT_TIMEOUT)
    }

    /// Like [`commit`](Self::commit), with a given timeout.
    pub fn commit_within(&self, transaction: &Transaction, timeout: Duration) -> CommitOutcome {
        let kind = if transaction.operations.is_empty() {
            RequestKind::Comparison
        } else {
            RequestKind::Write
        };
        let outcome = self.client.post("/txn", transaction, timeout);
        let outcome = commit_outcome(self.count(kind, outcome));
        if matches!(outcome, CommitOutcome::RateLimited) {
            self.rate_limited.store(true, Ordering::Relaxed);
        }
        outcome
    }

    /// Requests a lease that expires unless it is renewed within `ttl`; returns the lease's id.
    ///
    /// # Errors
    /// [`Unavailable`] if no usable response was received.
    pub fn grant(&self, ttl: Duration) -> Result<LeaseId, Unavailable> {
        let body = json!({"life_ms": ttl.as_millis() as u64});
        let outcome = self.client.post("/leases", &body, DEFAULT_TIMEOUT);
        let granted: Option<LeaseGranted> = self.count(RequestKind::Lease, outcome).ok();
        granted.map(|granted| granted.lease).ok_or(Unavailable)
    }

    /// Renews a lease for its full duration.
    pub fn renew(&self, lease: LeaseId, timeout: Duration) -> Renewal {
        let path = format!("/leases/{lease}/extend");
        let outcome = self.client.post(&path, &json!({}), timeout);
        match self.count(RequestKind::Lease, outcome) {
            HttpOutcome::Response(OK, _) => Renewal::Renewed,
            HttpOutcome::Response(NOT_FOUND, _) => Renewal::Expired,
            _ => Renewal::Unavailable,
        }
    }

    /// Releases a lease on a best-effort basis: if the request fails, the lease expires later.
    pub fn release(&self, lease: LeaseId) {
        let path = format!("/leases/{lease}");
        let outcome = self.client.delete(&path, DEFAULT_TIMEOUT);
        self.count(RequestKind::Lease, outcome);
    }

    /// Waits up to `hold` for changes under a prefix after the revision `after`. `None` if the service
    /// no longer retains the changes since that revision: the keys must be read again.
    ///
    /// # Errors
    /// [`Unavailable`] if no usable response was received.
    pub fn watch(
        &self,
        prefix: &str,
        after: u64,
        hold: Duration,
    ) -> Result<Option<Events>, Unavailable> {
        let hold_ms = hold.as_millis();
        let path = format!("/changes?under={prefix}&after={after}&hold_ms={hold_ms}");
        let outcome = self.client.get(&path, hold + DEFAULT_TIMEOUT);
        match self.count(RequestKind::Watch, outcome) {
            HttpOutcome::Response(GONE, _) => Ok(None),
            outcome => outcome.ok().map(Some).ok_or(Unavailable),
        }
    }
}

/// Maps the HTTP outcome of a transaction to a [`CommitOutcome`].
fn commit_outcome(outcome: HttpOutcome) -> CommitOutcome {
    match outcome {
        HttpOutcome::Response(OK, body) => {
            match serde_json::from_slice::<TransactionApplied>(&body) {
                Ok(applied) => CommitOutcome::Applied(applied.revision),
                Err(_) => CommitOutcome::Indeterminate,
            }
        }
        HttpOutcome::Response(CONFLICT, body) => {
            match serde_json::from_slice::<TransactionConflict>(&body) {
                Ok(conflict) => CommitOutcome::Conflict(conflict.failed),
                Err(_) => CommitOutcome::Indeterminate,
            }
        }
        HttpOutcome::Response(BAD_REQUEST, body) => {
            let reason = String::from_utf8_lossy(&body);
            if reason.contains("no such lease") {
                return CommitOutcome::LeaseExpired;
            }
            tracing::error!(%reason, "the state service rejected a transaction as malformed");
            CommitOutcome::TooLarge
        }
        HttpOutcome::Response(TOO_MANY_REQUESTS, _) => CommitOutcome::RateLimited,
        HttpOutcome::Response(..) | HttpOutcome::NotSent => CommitOutcome::Rejected,
        HttpOutcome::Indeterminate => CommitOutcome::Indeterminate,
    }
}

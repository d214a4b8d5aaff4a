//! Statistics of the requests that this process sends to the state service, by kind of request.

use crate::protocol::TOO_MANY_REQUESTS;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// The kind of a request.
#[derive(Clone, Copy, Debug)]
pub enum RequestKind {
    /// Reads one key.
    Read,
    /// Reads a page of keys.
    Page,
    /// A transaction that only compares.
    Comparison,
    /// A transaction with write operations.
    Write,
    /// Waits for changes.
    Watch,
    /// Grants, renews or releases a lease.
    Lease,
}

/// All kinds with their names in log lines, in the order of their discriminants.
const KINDS: [(RequestKind, &str); 6] = [
    (RequestKind::Read, "reads"),
    (RequestKind::Page, "pages"),
    (RequestKind::Comparison, "comparisons"),
    (RequestKind::Write, "writes"),
    (RequestKind::Watch, "watches"),
    (RequestKind::Lease, "lease requests"),
];

/// Request counters, shared by several threads.
#[derive(Debug, Default)]
pub struct RequestCounts {
    sent: [AtomicU64; KINDS.len()],
    /// Requests that the service rejected because of its rate limit.
    limited: AtomicU64,
}

impl RequestCounts {
    /// Counts a request with the status of its response, if there was one.
    pub fn count(&self, kind: RequestKind, status: Option<u16>) {
        self.sent[kind as usize].fetch_add(1, Ordering::Relaxed);
        if status == Some(TOO_MANY_REQUESTS) {
            self.limited.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the counts since the last call of this method, and resets them.
    pub fn take(&self) -> RecentRequests {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        RecentRequests {
            sent: std::array::from_fn(|kind| take(&self.sent[kind])),
            limited: take(&self.limited),
        }
    }
}

/// The requests sent within a period.
#[derive(Debug, PartialEq)]
pub struct RecentRequests {
    sent: [u64; KINDS.len()],
    limited: u64,
}

impl fmt::Display for RecentRequests {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let all: u64 = self.sent.iter().sum();
        write!(
            out,
            "{all} requests, {} of them rate-limited:",
            self.limited
        )?;
        for (kind, name) in KINDS {
            write!(out, " {} {name}", self.sent[kind as usize])?;
        }
        Ok(())
    }
}

//! How many requests this process has sent to the state service, by what they are for.

use crate::protocol::TOO_MANY_REQUESTS;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// What a request is for.
#[derive(Clone, Copy, Debug)]
pub enum RequestKind {
    /// Reads one key.
    Read,
    /// Reads a page of keys.
    Page,
    /// A transaction that only compares.
    Comparison,
    /// A transaction that changes something.
    Change,
    Watch,
    Lease,
}

const KINDS: [(RequestKind, &str); 6] = [
    (RequestKind::Read, "reads"),
    (RequestKind::Page, "pages"),
    (RequestKind::Comparison, "comparisons"),
    (RequestKind::Change, "changes"),
    (RequestKind::Watch, "watches"),
    (RequestKind::Lease, "of leases"),
];

/// Counts that several threads add to.
#[derive(Debug, Default)]
pub struct RequestCounts {
    sent: [AtomicU64; KINDS.len()],
    limited: AtomicU64,
}

impl RequestCounts {
    /// Counts a request and its answer, if there was one.
    pub fn count(&self, kind: RequestKind, status: Option<u16>) {
        self.sent[kind as usize].fetch_add(1, Ordering::Relaxed);
        if status == Some(TOO_MANY_REQUESTS) {
            self.limited.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The counts since the last call of this.
    pub fn take(&self) -> RecentRequests {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        RecentRequests {
            sent: std::array::from_fn(|kind| take(&self.sent[kind])),
            limited: take(&self.limited),
        }
    }
}

/// Requests of a period.
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
            "{all} requests, {} of them refused as too many:",
            self.limited
        )?;
        for (kind, name) in KINDS {
            write!(out, " {} {name}", self.sent[kind as usize])?;
        }
        Ok(())
    }
}

//! The outcomes of requests to the state service, as far as callers distinguish them.

/// The outcome of a transaction.
#[derive(Debug)]
pub enum CommitOutcome {
    /// Applied at this revision, which is the new version of every key that the transaction put.
    Applied(u64),
    /// Not applied: these keys have other versions than the transaction compared them with.
    Conflict(Vec<String>),
    /// Not applied: the service rejected the transaction because of an outage, either of the service or
    /// for this controller alone, or no connection was established. It may be retried unchanged.
    Rejected,
    /// Not applied: the transaction exceeded the service's rate limit. It may be retried later.
    RateLimited,
    /// Not applied, and a retry would fail as well: the service rejected the transaction as malformed,
    /// as it does when a value or the whole transaction exceeds a size limit.
    TooLarge,
    /// Not applied: a lease that the transaction names has expired.
    LeaseExpired,
    /// Unknown, as no usable response was received: the transaction may have been applied, or may still
    /// be applied at any later time.
    Indeterminate,
}

/// No usable response from the state service: it rejected the request, was unreachable, or did not
/// respond before the timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the state service is unavailable")]
pub struct Unavailable;

/// The outcome of a lease renewal.
#[derive(Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The lease was renewed for its full duration.
    Renewed,
    /// The lease has expired, and the keys attached to it are deleted.
    Expired,
    /// Unknown: no usable response was received.
    Unavailable,
}

//! How requests to the state service end, as far as its callers need to tell apart.

/// How a transaction ended.
#[derive(Debug)]
pub enum CommitOutcome {
    /// It was applied at this revision, which is the version of every key that it has put.
    Applied(u64),
    /// It was not applied: these keys have other versions than those compared with.
    Conflict(Vec<String>),
    /// It was not applied: the service refused it (an outage, of the service or of this node alone),
    /// or no connection was made. It may be retried as it is.
    Refused,
    /// It was not applied: it exceeded the service's rate limit. It may be retried later.
    Limited,
    /// It was not applied and never will be: the service calls it malformed, which it does if a value
    /// or the whole transaction exceeds a size limit.
    TooLarge,
    /// It was not applied: a lease that it names has expired.
    NoLease,
    /// No usable response came: it may have been applied, or may yet be at any later time.
    Indeterminate,
}

/// The state service gave no usable response: it refused the request, was not reached, or did not
/// respond in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the state service is unavailable")]
pub struct Unavailable;

/// How the renewal of a lease ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The lease has its full time again.
    Renewed,
    /// The lease has expired, and the keys attached to it are deleted.
    Expired,
    /// Nothing is known of the lease: no usable response came.
    Unavailable,
}

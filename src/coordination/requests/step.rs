//! The common interface of the steps of a request. Each is a state machine that makes one call to the
//! state service at a time.
//!
//! ```text
//!            begin                on_answer
//!   (input) -------> Step::Call ------------> Step::Call -> ... -> Step::Finished(result)
//!                        |                        |
//!                        +------------------------+--------------> StepError
//! ```
//!
//! `begin` returns the state machine and its first call. For each response, the caller passes the
//! response to `on_answer`, which returns a [`StepResult`]: the next call, the result, or the reason
//! why this controller can't continue. After a result or an error, `on_answer` is not called again.

use super::store_call::StoreCall;
use crate::storage::key_value_store::Unavailable;
use stairstage_upgrade::records::VERSION_KEY;
use thiserror::Error;

/// The next call of a state machine, or its result.
#[derive(Debug)]
pub(super) enum Step<T> {
    /// Make this call and pass its response to `on_answer`.
    Call(StoreCall),
    /// The state machine has finished with this result.
    Finished(T),
}

/// Why a state machine can't continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum StepError {
    /// The state service rejects the calls of this controller or is unreachable. A peer may have access.
    #[error("the state service is unavailable")]
    Unavailable,
    /// The controllers together exceed the rate limit of the state service.
    #[error("the rate limit of the state service is exceeded")]
    RateLimited,
    /// The active cluster version differs from the one that this controller has read.
    #[error("the cluster version has changed since this controller read it")]
    VersionChanged,
}

/// The outcome of `begin` or `on_answer`.
pub(super) type StepResult<T> = Result<Step<T>, StepError>;

/// Whether a transaction failed because the cluster version has changed.
pub(super) fn has_version_changed(failed_keys: &[String]) -> bool {
    failed_keys.iter().any(|key| key == VERSION_KEY)
}

impl From<Unavailable> for StepError {
    fn from(Unavailable: Unavailable) -> StepError {
        StepError::Unavailable
    }
}

impl<T> Step<T> {
    /// Converts the result, if there is one.
    pub(super) fn map<U>(self, convert: impl FnOnce(T) -> U) -> Step<U> {
        match self {
            Step::Call(call) => Step::Call(call),
            Step::Finished(result) => Step::Finished(convert(result)),
        }
    }
}

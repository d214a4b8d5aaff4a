//! How the parts of a request proceed: each is a state machine that makes one call to the state
//! service at a time.
//!
//! ```text
//!            begin                on_answer
//!   (input) -------> Step::Call ------------> Step::Call -> ... -> Step::Finished(result)
//!                        |                        |
//!                        +------------------------+--------------> StepError
//! ```
//!
//! `begin` returns the state machine with its first call. For every response the driver calls
//! `on_answer`, which consumes it and returns a [`StepResult`]: the next call, the result, or the
//! reason why the part can't continue at this node. After the latter two it is not called again.

use super::store_call::StoreCall;
use crate::storage::key_value_store::Unavailable;
use stairstage_upgrade::records::VERSION_KEY;
use thiserror::Error;

/// The next transition of a part of a request.
#[derive(Debug)]
pub(super) enum Step<T> {
    /// Make this call, and continue with its response.
    Call(StoreCall),
    /// The final state.
    Finished(T),
}

/// Why a part of a request can't continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum StepError {
    /// The state service refuses or does not reach this node; it may serve another.
    #[error("the state service does not serve this node")]
    Unavailable,
    /// All nodes together exceed the rate limit of the state service.
    #[error("the rate limit of the state service is exceeded")]
    RateLimited,
    /// The active cluster version is not the one that this node knows.
    #[error("the cluster version has changed since this node read it")]
    VersionChanged,
}

/// The outcome of one transition.
pub(super) type StepResult<T> = Result<Step<T>, StepError>;

/// Whether a transaction failed on its compare of the cluster version.
pub(super) fn has_version_changed(failed_keys: &[String]) -> bool {
    failed_keys.iter().any(|key| key == VERSION_KEY)
}

impl From<Unavailable> for StepError {
    fn from(Unavailable: Unavailable) -> StepError {
        StepError::Unavailable
    }
}

impl<T> Step<T> {
    /// Converts the result, if this is the final state.
    pub(super) fn map<U>(self, convert: impl FnOnce(T) -> U) -> Step<U> {
        match self {
            Step::Call(call) => Step::Call(call),
            Step::Finished(result) => Step::Finished(convert(result)),
        }
    }
}

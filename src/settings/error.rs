//! Errors in settings files.

use super::sockets::MIN_SOCKETS;
use super::state_limits::MIN_OPERATIONS;
use stairstage_upgrade::policy::PolicyError;

/// Why a settings file cannot be used. The message names the file and, for an invalid value, the field
/// and the value.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The syntax of the file, or the type of a value in it, is wrong.
    #[error("{file}: {what}")]
    Malformed {
        /// The path of the file.
        file: String,
        /// The parser's error message.
        what: String,
    },
    /// A value is not allowed.
    #[error("{file}: {invalid}")]
    Invalid {
        /// The path of the file.
        file: String,
        /// The field, its value and the violated rule.
        invalid: InvalidValue,
    },
}

/// A field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} = {value}: {rule}")]
pub struct InvalidValue {
    /// The path of the field in the file.
    pub field: String,
    /// The value, as text.
    pub value: String,
    /// The rule that the value violates.
    pub rule: Rule,
}

impl InvalidValue {
    pub(super) fn new(field: impl Into<String>, value: impl ToString, rule: Rule) -> InvalidValue {
        InvalidValue {
            field: field.into(),
            value: value.to_string(),
            rule,
        }
    }

    pub(super) fn in_file(self, file: &str) -> Error {
        Error::Invalid {
            file: file.to_string(),
            invalid: self,
        }
    }
}

/// A rule for a value; its text completes the error message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rule {
    /// A finite number above 0.
    #[error("must be above 0")]
    Positive,
    /// A finite number, 0 or above.
    #[error("must be 0 or more")]
    NotNegative,
    /// Write operations in a transaction: enough for the largest transaction that cannot be split.
    #[error("must be {MIN_OPERATIONS} or more")]
    EnoughOperations,
    /// Sockets: enough for the process itself.
    #[error("must be {MIN_SOCKETS} or more")]
    EnoughSockets,
    /// A worker's lease: long enough for the next heartbeat to renew it.
    #[error("must be longer than the longest time between two heartbeats, 1.25 times report_s")]
    LeaseOutlastsHeartbeats,
    /// The time within which a cancellation takes effect: longer than a worker's lease.
    #[error(
        "must be longer than lease_s: an unreachable worker runs its tasks until its lease expires"
    )]
    CancellationOutlastsLease,
    /// The list of the other controllers, without this one.
    #[error("must not list this controller itself")]
    OtherControllersOnly,
    /// A known field.
    #[error("is not a setting")]
    KnownField,
    /// A number.
    #[error("must be a number")]
    Number,
    /// A number in the field's range.
    #[error("is out of range")]
    InRange,
    /// A choice between yes and no.
    #[error("must be yes or no")]
    YesOrNo,
    /// A rule of the upgrade policy, with its error message.
    #[error("{0}")]
    UpgradePolicy(String),
}

impl Error {
    pub(super) fn upgrade_policy(file: String, error: PolicyError) -> Error {
        match error {
            PolicyError::Malformed { what } => Error::Malformed { file, what },
            PolicyError::Invalid { field, value, why } => {
                InvalidValue::new(field, value, Rule::UpgradePolicy(why)).in_file(&file)
            }
        }
    }
}

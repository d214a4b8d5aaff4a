//! Why a settings file cannot be used.

use super::sockets::MIN_SOCKETS;
use super::state_limits::MIN_OPERATIONS;
use stairstage_upgrade::policy::PolicyError;

/// A settings file that cannot be used: names the file and, where it is about a value, the field with
/// its value.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// What reading it failed with.
        source: std::io::Error,
    },
    /// The file's syntax, or the type of one of its values, is wrong.
    #[error("{file}: {what}")]
    Malformed {
        /// The path of the file.
        file: String,
        /// What the parser objects to.
        what: String,
    },
    /// A value is not allowed.
    #[error("{file}: {invalid}")]
    Invalid {
        /// The path of the file.
        file: String,
        /// The field, its value and the rule that it breaks.
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
    /// The rule that it breaks.
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

/// What a value has to satisfy; shown to operators as the reason of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rule {
    /// A finite number above 0.
    #[error("must be above 0")]
    Positive,
    /// A finite number, 0 or above.
    #[error("must be 0 or more")]
    NotNegative,
    /// Operations of a transaction, which must suffice for the largest indivisible one.
    #[error("must be {MIN_OPERATIONS} or more")]
    EnoughOperations,
    /// Sockets, which must suffice for the process itself.
    #[error("must be {MIN_SOCKETS} or more")]
    EnoughSockets,
    /// A worker's lease, which every heartbeat must renew in time.
    #[error("must outlast the longest time between two reports, 1.25 times report_s")]
    LeaseOutlastsHeartbeats,
    /// The time within which a cancellation takes effect.
    #[error(
        "must be longer than lease_s: a worker that is out of reach goes on until its lease ends"
    )]
    CancellationOutlastsLease,
    /// Other controllers, of which this one is none.
    #[error("names this node itself")]
    OtherControllersOnly,
    /// A field that exists.
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
    /// A rule of the upgrade policy, in its own words.
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

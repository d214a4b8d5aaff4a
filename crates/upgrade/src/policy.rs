//! The operators' upgrade policy, an S-expression that says who finalizes an upgrade, and when.

use crate::window::{Window, WindowError, Windows};
use lexpr::Value;

/// Who activates the next version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finalize {
    /// An operator, with `stairstage upgrade finalize`.
    ByHand,
    /// The controllers, once all have run for the soak time and a maintenance window is open.
    Automatic,
}

/// The settings of an upgrade policy. Durations are multiples of durations in the platform's settings, so
/// that one file fits any deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct UpgradePolicy {
    /// Who activates the next version.
    pub finalize: Finalize,
    /// The soak time: how long every controller must have run before the policy finalizes, as a multiple
    /// of the platform's `cancel_s`.
    pub soak: f64,
    /// The duration of the lease of a member record, in heartbeat intervals (`report_s`).
    pub member_lease: f64,
    /// The maintenance windows in which the policy may finalize; without any, it may do so at any time.
    pub windows: Windows,
}

impl Default for UpgradePolicy {
    fn default() -> UpgradePolicy {
        UpgradePolicy {
            finalize: Finalize::ByHand,
            soak: 10.0,
            member_lease: 5.0,
            windows: Windows::default(),
        }
    }
}

/// A policy file that cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum PolicyError {
    /// The text is not an upgrade policy.
    #[error("{what}")]
    Malformed {
        /// What is wrong with the text.
        what: String,
    },
    /// A value is not allowed.
    #[error("{field} = {value}: {why}")]
    Invalid {
        /// The name of the setting.
        field: String,
        /// Its value, as written.
        value: String,
        /// The rule that the value violates.
        why: String,
    },
}

/// The rule that a value violates.
#[derive(Debug, thiserror::Error)]
enum Rule {
    #[error("must have exactly one value")]
    OneValue,
    #[error("must be by-hand or automatic")]
    FinalizeChoice,
    #[error("is not a setting")]
    KnownField,
    #[error("must be a number")]
    Number,
    #[error("is out of range")]
    InRange,
    #[error(transparent)]
    Window(#[from] WindowError),
}

/// `(NAME VALUE ...)`
struct Entry<'a> {
    name: &'a str,
    values: Vec<&'a Value>,
}

impl Entry<'_> {
    fn parse(entry: &Value) -> Result<Entry<'_>, PolicyError> {
        let mut parts = entry
            .list_iter()
            .ok_or_else(|| malformed(format!("{entry}: must be (NAME VALUE ...)")))?;
        let name = parts.next().and_then(Value::as_symbol);
        Ok(Entry {
            name: name.ok_or_else(|| malformed(format!("{entry}: must begin with a name")))?,
            values: parts.collect(),
        })
    }

    fn invalid(&self, rule: &Rule) -> PolicyError {
        let values: Vec<String> = self.values.iter().map(|value| value.to_string()).collect();
        PolicyError::Invalid {
            field: self.name.to_string(),
            value: values.join(" "),
            why: rule.to_string(),
        }
    }
}

fn malformed(what: impl Into<String>) -> PolicyError {
    PolicyError::Malformed { what: what.into() }
}

impl UpgradePolicy {
    /// Parses `(upgrade (NAME VALUE ...) ...)`; omitted settings keep their defaults. `now_ms` is the time
    /// of day in milliseconds since the Unix epoch: whether windows in different time zones overlap depends
    /// on the daylight saving transitions of the coming year.
    ///
    /// # Errors
    /// When the text has another form, a setting is unknown, a value is invalid, or windows overlap.
    pub fn parse(text: &str, now_ms: u64) -> Result<UpgradePolicy, PolicyError> {
        let value = lexpr::from_str(text).map_err(|error| malformed(error.to_string()))?;
        let mut list = value
            .list_iter()
            .ok_or_else(|| malformed("must be one list, (upgrade ...)"))?;
        if list.next().and_then(Value::as_symbol) != Some("upgrade") {
            return Err(malformed("must begin with the word upgrade"));
        }
        let mut policy = UpgradePolicy::default();
        let mut windows = Vec::new();
        for entry in list {
            let entry = Entry::parse(entry)?;
            policy
                .apply(&entry, &mut windows)
                .map_err(|rule| entry.invalid(&rule))?;
        }
        policy.windows = Windows::new(windows, now_ms).map_err(|error| PolicyError::Invalid {
            field: "window".into(),
            value: error.window(),
            why: error.to_string(),
        })?;
        Ok(policy)
    }

    /// Applies an entry. Windows are only collected, because the check for overlaps needs all of them.
    fn apply(&mut self, entry: &Entry, windows: &mut Vec<Window>) -> Result<(), Rule> {
        if entry.name == "window" {
            windows.push(window(&entry.values)?);
            return Ok(());
        }
        let [value] = entry.values[..] else {
            return Err(Rule::OneValue);
        };
        let (field, min, max) = match entry.name {
            "finalize" => {
                self.finalize = match value.as_symbol() {
                    Some("by-hand") => Finalize::ByHand,
                    Some("automatic") => Finalize::Automatic,
                    _ => return Err(Rule::FinalizeChoice),
                };
                return Ok(());
            }
            "soak" => (&mut self.soak, 0.0, 10_000.0),
            "member-lease" => (&mut self.member_lease, 2.0, 100.0),
            _ => return Err(Rule::KnownField),
        };
        let number = value.as_f64().ok_or(Rule::Number)?;
        if !(min..=max).contains(&number) {
            return Err(Rule::InRange);
        }
        *field = number;
        Ok(())
    }
}

/// `(window FIRST-DAY LAST-DAY "OPENS" "CLOSES" "ZONE")`
fn window(values: &[&Value]) -> Result<Window, WindowError> {
    let texts: Option<Vec<&str>> = values
        .iter()
        .map(|value| value.as_symbol().or_else(|| value.as_str()))
        .collect();
    match texts.as_deref() {
        Some([first, last, opens, closes, zone]) => Window::new(first, last, opens, closes, zone),
        _ => Err(WindowError::Malformed),
    }
}

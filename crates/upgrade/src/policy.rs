//! The operators' file: who finalizes an upgrade, and when.

use crate::window::{Window, WindowError, Windows};
use lexpr::Value;

/// Who raises the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finalize {
    /// An operator, with `stairstage upgrade finalize`.
    ByHand,
    /// The leading controller, once all have run for the soak time and a window is open.
    Automatic,
}

/// What operators may set. Figures are ratios to the platform's settings, so that one file serves any
/// deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct UpgradePolicy {
    pub finalize: Finalize,
    /// How long every controller must have run before the version rises by itself, in `cancel_s`.
    pub soak: f64,
    /// The lease of a controller's record, in report intervals.
    pub member_lease: f64,
    /// When the version may rise by itself; without any, always.
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

/// A file that cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum PolicyError {
    #[error("{what}")]
    Malformed { what: String },
    #[error("{field} = {value}: {why}")]
    Invalid {
        field: String,
        value: String,
        why: String,
    },
}

fn malformed(what: impl Into<String>) -> PolicyError {
    PolicyError::Malformed { what: what.into() }
}

impl UpgradePolicy {
    /// Reads `(upgrade (NAME VALUE ...) ...)`; names not given keep their defaults. `now_ms` is the
    /// time of day: whether windows of several zones overlap depends on the rules of the coming year.
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
            let mut parts = entry
                .list_iter()
                .ok_or_else(|| malformed(format!("{entry}: must be (NAME VALUE ...)")))?;
            let name = parts.next().and_then(Value::as_symbol);
            let name = name.ok_or_else(|| malformed(format!("{entry}: must begin with a name")))?;
            let values: Vec<&Value> = parts.collect();
            let invalid = |why: String| PolicyError::Invalid {
                field: name.to_string(),
                value: values
                    .iter()
                    .map(|v| v.to_string())
                    .collect::<Vec<_>>()
                    .join(" "),
                why,
            };
            match name {
                "window" => windows.push(window(&values).map_err(|e| invalid(e.to_string()))?),
                _ => policy
                    .set(name, &values)
                    .map_err(|why| invalid(why.into()))?,
            }
        }
        policy.windows = Windows::new(windows, now_ms).map_err(|error| PolicyError::Invalid {
            field: "window".into(),
            value: error.window(),
            why: error.to_string(),
        })?;
        Ok(policy)
    }

    fn set(&mut self, name: &str, values: &[&Value]) -> Result<(), &'static str> {
        let [value] = values else {
            return Err("must have one value");
        };
        let (place, low, high) = match name {
            "finalize" => {
                self.finalize = match value.as_symbol() {
                    Some("by-hand") => Finalize::ByHand,
                    Some("automatic") => Finalize::Automatic,
                    _ => return Err("must be by-hand or automatic"),
                };
                return Ok(());
            }
            "soak" => (&mut self.soak, 0.0, 10_000.0),
            "member-lease" => (&mut self.member_lease, 2.0, 100.0),
            _ => return Err("is not a setting"),
        };
        let number = value.as_f64().ok_or("must be a number")?;
        if !(low..=high).contains(&number) {
            return Err("is out of range");
        }
        *place = number;
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

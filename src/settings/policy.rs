//! The operators' policy, an S-expression. Its values are ratios to values of the platform's file.

use super::error::{Error, InvalidValue, Rule};
use lexpr::Value;

/// The operators' policy. Every number is a ratio, so that one file fits any deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// The duration of the leadership lease, in heartbeat intervals (`report_s`).
    pub leader_lease: f64,
    /// The heartbeat timeout after which a machine is returned to the cloud, in heartbeat intervals
    /// (`report_s`).
    pub heartbeat_timeout: f64,
    /// How long a machine may be idle before it is returned to the cloud, in boot times of its type.
    pub idle_timeout: f64,
    /// Spare capacity for services, in standard deviations above the expected arrivals within a boot
    /// time.
    pub spare_deviations: f64,
    /// The boot timeout of a machine, in boot times of its type.
    pub boot_timeout: f64,
    /// Whether spot machines, which the cloud may reclaim, may be rented.
    pub spot: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            leader_lease: 0.8,
            heartbeat_timeout: 2.5,
            idle_timeout: 0.5,
            spare_deviations: 1.0,
            boot_timeout: 2.5,
            spot: true,
        }
    }
}

impl Policy {
    /// Parses `(policy (NAME VALUE) ...)`. Omitted names have their default values. Errors name the file
    /// as `file`.
    ///
    /// # Errors
    /// If the text has another form, or contains an unknown name or an invalid value.
    pub fn parse(file: &str, text: &str) -> Result<Policy, Error> {
        let malformed = |what: String| Error::Malformed {
            file: file.to_string(),
            what,
        };
        let value = lexpr::from_str(text).map_err(|error| malformed(error.to_string()))?;
        let mut list = value
            .list_iter()
            .ok_or_else(|| malformed("must be one list, (policy ...)".into()))?;
        if list.next().and_then(Value::as_symbol) != Some("policy") {
            return Err(malformed("must begin with the word policy".into()));
        }
        let mut policy = Policy::default();
        for entry in list {
            let parts: Vec<&Value> = entry.list_iter().map(Iterator::collect).unwrap_or_default();
            let [name, setting] = parts[..] else {
                return Err(malformed(format!(
                    "{entry}: must have the form (NAME VALUE)"
                )));
            };
            let name = name
                .as_symbol()
                .ok_or_else(|| malformed(format!("{name}: must be a name")))?;
            policy
                .set(name, setting)
                .map_err(|rule| InvalidValue::new(name, setting, rule).in_file(file))?;
        }
        Ok(policy)
    }

    fn set(&mut self, name: &str, value: &Value) -> Result<(), Rule> {
        if name == "spot" {
            self.spot = match (value.as_bool(), value.as_symbol()) {
                (Some(flag), _) => flag,
                (_, Some("yes")) => true,
                (_, Some("no")) => false,
                _ => return Err(Rule::YesOrNo),
            };
            return Ok(());
        }
        let (field, min, max) = match name {
            "leader-lease" => (&mut self.leader_lease, 0.5, 10.0),
            "silence" => (&mut self.heartbeat_timeout, 1.5, 100.0),
            "idle" => (&mut self.idle_timeout, 0.0, 1000.0),
            "warm" => (&mut self.spare_deviations, 0.0, 10.0),
            "boot-patience" => (&mut self.boot_timeout, 1.0, 100.0),
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

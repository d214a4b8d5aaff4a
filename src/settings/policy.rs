//! The operators' own settings, as S-expressions: ratios to figures of the platform's file.

use super::Error;
use lexpr::Value;

/// What operators may set. Every figure is a ratio, so that one file serves any deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// The leader's lease, in report intervals.
    pub leader_lease: f64,
    /// Silence after which a machine is returned, in report intervals.
    pub silence: f64,
    /// How long a machine may stand idle, in boot times of its type.
    pub idle: f64,
    /// Warm room for services: standard deviations above the arrivals expected in a boot time.
    pub warm: f64,
    /// How many boot times a machine may take to come up.
    pub boot_patience: f64,
    /// Whether machines may be rented that the cloud can take back.
    pub spot: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            leader_lease: 0.8,
            silence: 2.5,
            idle: 0.5,
            warm: 1.0,
            boot_patience: 2.5,
            spot: true,
        }
    }
}

impl Policy {
    /// Reads `(policy (NAME VALUE) ...)`; names not given keep their defaults.
    pub fn parse(file: &str, text: &str) -> Result<Policy, Error> {
        let malformed = |what: String| Error::Malformed {
            file: file.to_string(),
            what,
        };
        let value = lexpr::from_str(text).map_err(|e| malformed(e.to_string()))?;
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
                return Err(malformed(format!("{entry}: must be (NAME VALUE)")));
            };
            let name = name
                .as_symbol()
                .ok_or_else(|| malformed(format!("{name}: must be a name")))?;
            policy.set(name, setting).map_err(|why| Error::Invalid {
                file: file.to_string(),
                field: name.to_string(),
                value: setting.to_string(),
                why: why.to_string(),
            })?;
        }
        Ok(policy)
    }

    fn set(&mut self, name: &str, value: &Value) -> Result<(), &'static str> {
        if name == "spot" {
            self.spot = match (value.as_bool(), value.as_symbol()) {
                (Some(b), _) => b,
                (_, Some("yes")) => true,
                (_, Some("no")) => false,
                _ => return Err("must be yes or no"),
            };
            return Ok(());
        }
        let (place, low, high) = match name {
            "leader-lease" => (&mut self.leader_lease, 0.5, 10.0),
            "silence" => (&mut self.silence, 1.5, 100.0),
            "idle" => (&mut self.idle, 0.0, 1000.0),
            "warm" => (&mut self.warm, 0.0, 10.0),
            "boot-patience" => (&mut self.boot_patience, 1.0, 100.0),
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

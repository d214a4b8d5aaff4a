//! The settings: the platform's TOML file, and the operators' own S-expressions.

pub mod policy;
pub mod sockets;

use policy::Policy;
use serde::Deserialize;
use stairstage_upgrade::policy::PolicyError;
use stairstage_upgrade::UpgradePolicy;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    #[serde(rename = "host_name")]
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim that concerns jobs of a class; others have no use here.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For an aim about deadlines: how many times as late a job may be.
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    #[serde(default)]
    pub next: NextState,
}

/// Limits that the state service will have from some moment on, which it does not tell.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct NextState {
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

/// The share of the largest value that a record may fill as we write it. How the service counts
/// the bytes is not known: with a space behind each colon and comma they are a tenth more.
const VALUE_SHARE: f64 = 0.85;
/// A transaction may have so many conditions for each change that it may have.
pub const CONDITIONS_A_CHANGE: usize = 4;

impl State {
    /// Bytes that a record may have. What is written now must still be accepted when it is written
    /// anew under the limits to come, so the smaller ones always hold.
    pub fn record_bytes(&self) -> usize {
        let next = self.next.value_kb;
        let kb = next.map_or(self.value_kb, |kb| kb.min(self.value_kb));
        (kb * 1024.0 * VALUE_SHARE) as usize
    }

    /// Changes in one transaction, now and later.
    pub fn changes(&self) -> usize {
        let next = self.next.txn_ops;
        next.map_or(self.txn_ops, |ops| ops.min(self.txn_ops))
    }

    /// Conditions in one transaction, now and later.
    pub fn conditions(&self) -> usize {
        CONDITIONS_A_CHANGE * self.changes()
    }

    /// Changes a second once the limits to come hold.
    pub fn later_write_rps(&self) -> f64 {
        let next = self.next.write_rps;
        next.map_or(self.write_rps, |rate| rate.min(self.write_rps))
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    pub ram_mb: f64,
    pub max_sockets: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Cluster {
    /// How far the time of day of two machines may be apart.
    #[serde(default)]
    pub skew_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub limits: Limits,
}

/// A worker reports after so many report intervals at the latest.
pub const LONGEST_REPORT_INTERVAL: f64 = 1.25;

/// A transaction must take at least so many changes, and as many times more conditions.
const MIN_CHANGES: usize = 4;

/// What the platform hands over.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    #[serde(rename = "host_name")]
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub cluster_listen: SocketAddr,
    #[serde(default, rename = "others")]
    pub peers: Vec<Peer>,
    pub endpoints: Endpoints,
    #[serde(rename = "settings")]
    pub cluster: Cluster,
    #[serde(skip)]
    pub policy: Policy,
    /// How upgrades are staged; nothing if they are not.
    #[serde(skip)]
    pub upgrade: Option<UpgradePolicy>,
}

/// A settings file that cannot be used: which file, and which field with which value.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{file}: {source}")]
    Unreadable {
        file: String,
        source: std::io::Error,
    },
    #[error("{file}: {what}")]
    Malformed { file: String, what: String },
    #[error("{file}: {field} = {value}: {why}")]
    Invalid {
        file: String,
        field: String,
        value: String,
        why: String,
    },
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::Unreadable {
        file: path.display().to_string(),
        source,
    })
}

fn upgrade_policy(path: &Path) -> Result<UpgradePolicy, Error> {
    let file = path.display().to_string();
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = since.map_or(0, |since| since.as_millis() as u64);
    UpgradePolicy::parse(&read(path)?, now_ms).map_err(|error| match error {
        PolicyError::Malformed { what } => Error::Malformed { file, what },
        PolicyError::Invalid { field, value, why } => Error::Invalid {
            file,
            field,
            value,
            why,
        },
    })
}

impl Settings {
    /// Reads and checks the platform's file, and the operators' files where there are any.
    pub fn load(
        config: &Path,
        policy: Option<&Path>,
        upgrade: Option<&Path>,
    ) -> Result<Settings, Error> {
        let mut settings = Settings::parse(&config.display().to_string(), &read(config)?)?;
        if let Some(path) = policy {
            settings.policy = Policy::parse(&path.display().to_string(), &read(path)?)?;
        }
        if let Some(path) = upgrade {
            settings.upgrade = Some(upgrade_policy(path)?);
        }
        Ok(settings)
    }

    pub fn parse(file: &str, text: &str) -> Result<Settings, Error> {
        let settings: Settings = toml::from_str(text).map_err(|e| Error::Malformed {
            file: file.to_string(),
            what: e.to_string(),
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), Error> {
        let invalid = |field: &str, value: String, why: &str| {
            Err(Error::Invalid {
                file: file.to_string(),
                field: field.to_string(),
                value,
                why: why.to_string(),
            })
        };
        let c = &self.cluster;
        let positive = [
            ("settings.workers.report_s", c.workers.report_s),
            ("settings.workers.lease_s", c.workers.lease_s),
            ("settings.workers.gang_wait_s", c.workers.gang_wait_s),
            ("settings.workers.gang_peer_s", c.workers.gang_peer_s),
            ("settings.workers.cancel_s", c.workers.cancel_s),
            ("settings.state.rps", c.state.rps),
            ("settings.state.write_rps", c.state.write_rps),
            ("settings.state.value_kb", c.state.value_kb),
            ("settings.cloud.rps", c.cloud.rps),
            ("settings.limits.ram_mb", c.limits.ram_mb),
        ];
        let next = &c.state.next;
        let later = [
            ("settings.state.next.write_rps", next.write_rps),
            ("settings.state.next.value_kb", next.value_kb),
        ];
        let later = later.iter().filter_map(|(f, v)| v.map(|v| (*f, v)));
        for (field, value) in positive.into_iter().chain(later) {
            if !value.is_finite() || value <= 0.0 {
                return invalid(field, value.to_string(), "must be above 0");
            }
        }
        let w = &c.workers;
        if w.lease_s <= LONGEST_REPORT_INTERVAL * w.report_s {
            return invalid(
                "settings.workers.lease_s",
                w.lease_s.to_string(),
                "must outlast the longest time between two reports, 1.25 times report_s",
            );
        }
        if w.cancel_s <= w.lease_s {
            return invalid(
                "settings.workers.cancel_s",
                w.cancel_s.to_string(),
                "must be longer than lease_s: a worker that is out of reach goes on until its lease ends",
            );
        }
        let lag = c.cloud.list_lag_s;
        if !lag.is_finite() || lag < 0.0 {
            return invalid(
                "settings.cloud.list_lag_s",
                lag.to_string(),
                "must be 0 or more",
            );
        }
        let ops = [
            ("settings.state.txn_ops", Some(c.state.txn_ops)),
            ("settings.state.next.txn_ops", next.txn_ops),
        ];
        for (field, value) in ops {
            if let Some(value) = value.filter(|n| *n < MIN_CHANGES) {
                let why = format!("must be {MIN_CHANGES} or more");
                return invalid(field, value.to_string(), &why);
            }
        }
        if c.limits.max_sockets < 64 {
            let value = c.limits.max_sockets.to_string();
            return invalid("settings.limits.max_sockets", value, "must be 64 or more");
        }
        for (i, team) in c.teams.iter().enumerate() {
            for (name, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !value.is_finite() || value < 0.0 {
                    let field = format!("settings.teams[{i}].{name}");
                    return invalid(&field, value.to_string(), "must be 0 or more");
                }
            }
        }
        if self.peers.iter().any(|p| p.name == self.name) {
            return invalid("others", self.name.clone(), "names this node itself");
        }
        Ok(())
    }

    /// The teams' limit on processors and accelerators; `None` for a team that is not known.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|t| t.name == name)
    }
}

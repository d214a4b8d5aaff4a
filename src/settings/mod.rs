//! The settings: the platform's TOML file, and the operators' own S-expressions.

pub mod policy;

use policy::Policy;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

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
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub limits: Limits,
}

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

impl Settings {
    /// Reads and checks the platform's file, and the operators' file where there is one.
    pub fn load(config: &Path, policy: Option<&Path>) -> Result<Settings, Error> {
        let mut settings = Settings::parse(&config.display().to_string(), &read(config)?)?;
        if let Some(path) = policy {
            settings.policy = Policy::parse(&path.display().to_string(), &read(path)?)?;
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
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return invalid(field, value.to_string(), "must be above 0");
            }
        }
        let lag = c.cloud.list_lag_s;
        if !lag.is_finite() || lag < 0.0 {
            return invalid(
                "settings.cloud.list_lag_s",
                lag.to_string(),
                "must be 0 or more",
            );
        }
        // A launch changes a task record and a machine record in one transaction.
        if c.state.txn_ops < 4 {
            let value = c.state.txn_ops.to_string();
            return invalid("settings.state.txn_ops", value, "must be 4 or more");
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

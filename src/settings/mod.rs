//! The settings: the platform's settings file (TOML) and the operators' policy files (S-expressions).
//!
//! - [`platform`]: the types of the platform's file
//! - [`policy`]: the operators' policy
//! - [`state_limits`], [`sockets`]: limits derived from values of the platform's file
//! - [`error`]: errors in settings files

pub mod error;
pub mod platform;
pub mod policy;
pub mod sockets;
pub mod state_limits;
mod validation;

pub use error::Error;
pub use platform::{Peer, Team, WorkerTimings, LONGEST_HEARTBEAT_INTERVAL};
pub use state_limits::COMPARES_PER_OPERATION;

use platform::{ClusterSettings, Endpoints};
use policy::Policy;
use serde::Deserialize;
use stairstage_upgrade::UpgradePolicy;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// All settings of a controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's unique name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// The zone that this controller runs in.
    pub zone: String,
    /// The address of the API server, for users, workers and health checks.
    pub front: SocketAddr,
    /// The address of the peer server, for the other controllers.
    pub cluster_listen: SocketAddr,
    /// The other controllers.
    #[serde(default, rename = "others")]
    pub peers: Vec<Peer>,
    /// The addresses of the cloud's API and the state service.
    pub endpoints: Endpoints,
    /// The cluster-wide settings.
    #[serde(rename = "settings")]
    pub cluster: ClusterSettings,
    /// The operators' policy; the default policy if no file is given.
    #[serde(skip)]
    pub policy: Policy,
    /// The operators' upgrade policy; `None` if upgrades are not staged.
    #[serde(skip)]
    pub upgrade: Option<UpgradePolicy>,
}

impl Settings {
    /// Reads and validates the platform's file, and the operators' files if they are given.
    ///
    /// # Errors
    /// If a file cannot be read or parsed, or contains an invalid value.
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
            settings.upgrade = Some(load_upgrade_policy(path)?);
        }
        Ok(settings)
    }

    /// Parses and validates the text of the platform's file; errors name the file as `file`.
    ///
    /// # Errors
    /// If the text cannot be parsed, or contains an invalid value.
    pub fn parse(file: &str, text: &str) -> Result<Settings, Error> {
        let settings: Settings = toml::from_str(text).map_err(|error| Error::Malformed {
            file: file.to_string(),
            what: error.to_string(),
        })?;
        validation::check(&settings).map_err(|invalid| invalid.in_file(file))?;
        Ok(settings)
    }

    /// The team with this name, if any.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.cluster.teams.iter().find(|team| team.name == name)
    }
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::Unreadable {
        file: path.display().to_string(),
        source,
    })
}

fn load_upgrade_policy(path: &Path) -> Result<UpgradePolicy, Error> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64);
    UpgradePolicy::parse(&read(path)?, now_ms)
        .map_err(|error| Error::upgrade_policy(path.display().to_string(), error))
}

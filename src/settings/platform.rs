//! The types of the platform's settings file (TOML). Fields that are not listed are ignored.

use serde::Deserialize;
use std::net::SocketAddr;

/// Another controller of the cluster, an element of `others`.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its unique name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Where it listens for the other controllers.
    pub address: SocketAddr,
}

/// The addresses of the services that a controller uses.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    /// The cloud's API for renting machines.
    pub cloud: SocketAddr,
    /// The state service: the consensus-backed key-value store.
    pub state: SocketAddr,
}

/// A team's guaranteed resources and its limits; 0 means none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// The team's unique name.
    pub name: String,
    /// Guaranteed processors, in cores.
    #[serde(default)]
    pub cpus: f64,
    /// The most processors that its tasks may use at a time, in cores.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators, in devices.
    #[serde(default)]
    pub gpus: f64,
    /// The most accelerators that its tasks may use at a time, in devices.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective. Only those about a class of jobs are evaluated here.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is measured, such as `wait`, `finished` or `deadline`.
    pub kind: String,
    /// The class of jobs that it is about, if it is about one.
    #[serde(default)]
    pub class: Option<String>,
    /// The time within which a job satisfies it, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For deadlines: the multiple of its deadline, counted from submission, within which a job satisfies
    /// it.
    #[serde(default)]
    pub times: Option<f64>,
}

/// The timing of the workers.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// The nominal time between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// How long a worker's lease lasts since it sent the last heartbeat that was answered, in seconds.
    pub lease_s: f64,
    /// How long a task of a gang waits for the others to be launched, in seconds.
    pub gang_wait_s: f64,
    /// Within how many seconds the tasks of a running gang notice that one of them is gone.
    pub gang_peer_s: f64,
    /// Within how many seconds of its confirmation a cancellation must be complete on all machines.
    pub cancel_s: f64,
}

/// The limits of the state service. A *change* is one put or delete.
#[derive(Clone, Debug, Deserialize)]
pub struct StateServiceLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// The largest value, in KiB.
    pub value_kb: f64,
    /// The most changes in one transaction.
    pub txn_ops: usize,
    /// Limits that are announced for later.
    #[serde(default)]
    pub next: AnnouncedStateLimits,
}

/// Limits that the state service will have from a moment on that it does not announce; `None` for those
/// that stay.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct AnnouncedStateLimits {
    /// Changes per second.
    pub write_rps: Option<f64>,
    /// The largest value, in KiB.
    pub value_kb: Option<f64>,
    /// The most changes in one transaction.
    pub txn_ops: Option<usize>,
}

/// The limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// By how many seconds the list of machines nominally lags behind.
    pub list_lag_s: f64,
}

/// The resource limits of this process.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Memory, in MB.
    pub ram_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}

/// The cluster-wide settings, the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct ClusterSettings {
    /// How far a machine's time of day may be off, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// The teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The timing of the workers.
    pub workers: Workers,
    /// The limits of the state service.
    pub state: StateServiceLimits,
    /// The limits of the cloud's API.
    pub cloud: CloudLimits,
    /// The resource limits of this process.
    pub limits: ProcessLimits,
}

/// The longest time between two heartbeats of a worker, as a multiple of `report_s`.
pub const LONGEST_HEARTBEAT_INTERVAL: f64 = 1.25;

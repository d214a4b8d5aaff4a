//! The types of the platform's settings file (TOML). Unknown fields are ignored.

use serde::Deserialize;
use std::net::SocketAddr;

/// Another controller of the cluster, an element of `others`.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// The controller's unique name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// The zone that the controller runs in.
    pub zone: String,
    /// The address of the controller's peer server.
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

/// A team's quota: its guaranteed resources and its limits. 0 means no guarantee or no limit.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// The team's unique name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// The maximum number of CPUs that the team's tasks may use at a time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// The maximum number of GPUs that the team's tasks may use at a time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective. The scheduler evaluates only objectives for a class of jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// The measured quantity, such as `wait`, `finished` or `deadline`.
    pub kind: String,
    /// The class of jobs that the objective applies to, if any.
    #[serde(default)]
    pub class: Option<String>,
    /// The time within which a job meets the objective, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For deadlines: the multiple of a job's deadline, measured from submission, within which the job
    /// meets the objective.
    #[serde(default)]
    pub times: Option<f64>,
}

/// The workers' intervals and timeouts.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    /// The nominal time between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// The duration of a worker's lease, in seconds. It starts when the worker sends the last heartbeat
    /// that gets a response.
    pub lease_s: f64,
    /// How long a task of a gang waits for the gang's other tasks to start, in seconds.
    pub gang_wait_s: f64,
    /// The time within which the tasks of a running gang detect the loss of one of them, in seconds.
    pub gang_peer_s: f64,
    /// The time from the confirmation of a cancellation within which all tasks of the job must have
    /// stopped on all machines, in seconds.
    pub cancel_s: f64,
}

/// The limits of the state service. A *write operation* is one put or delete.
#[derive(Clone, Debug, Deserialize)]
pub struct StateServiceLimits {
    /// Requests per second.
    pub rps: f64,
    /// Write operations per second.
    pub write_rps: f64,
    /// The maximum size of a value, in KiB.
    pub value_kb: f64,
    /// The maximum number of write operations in one transaction.
    pub txn_ops: usize,
    /// The announced future limits.
    #[serde(default)]
    pub next: AnnouncedStateLimits,
}

/// Limits that the state service will have later, from an unannounced time on; `None` if a limit does not
/// change.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct AnnouncedStateLimits {
    /// Write operations per second.
    pub write_rps: Option<f64>,
    /// The maximum size of a value, in KiB.
    pub value_kb: Option<f64>,
    /// The maximum number of write operations in one transaction.
    pub txn_ops: Option<usize>,
}

/// The limits of the cloud's API.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// The nominal lag of the list of machines, in seconds.
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
    /// The maximum clock skew of a machine, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// The teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The workers' intervals and timeouts.
    pub workers: WorkerTimings,
    /// The limits of the state service.
    pub state: StateServiceLimits,
    /// The limits of the cloud's API.
    pub cloud: CloudLimits,
    /// The resource limits of this process.
    pub limits: ProcessLimits,
}

/// The longest time between two heartbeats of a worker, as a multiple of `report_s`.
pub const LONGEST_HEARTBEAT_INTERVAL: f64 = 1.25;

//! What workers and controllers say to each other.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    Waiting,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    Done,
    #[serde(rename = "halted")]
    Stopped,
    Peers,
    #[serde(rename = "incomplete")]
    Alone,
    Error,
    #[serde(rename = "full")]
    NoRoom,
    Busy,
    Unknown,
}

/// One task in a worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "leg")]
    pub task: String,
    #[serde(rename = "sailing")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    #[serde(default, rename = "kept", skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's report, sent by it or returned by a direct command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "vessel")]
    pub machine: String,
    pub endpoint: String,
    #[serde(rename = "hull")]
    pub kind: String,
    #[serde(rename = "berth")]
    pub zone: String,
    #[serde(rename = "driftwood")]
    pub spot: bool,
    #[serde(rename = "watch")]
    pub incarnation: u64,
    #[serde(rename = "log_no")]
    pub sequence: u64,
    #[serde(rename = "helm")]
    pub token: u64,
    #[serde(default, rename = "recall_s")]
    pub notice_s: Option<f64>,
    #[serde(default, rename = "legs")]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "signal", rename_all = "lowercase")]
pub enum Command {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "leg")]
        task: String,
        #[serde(rename = "sailing")]
        attempt: u64,
    },
    Stop {
        #[serde(rename = "leg")]
        task: String,
        #[serde(rename = "sailing")]
        attempt: u64,
        #[serde(rename = "heave_s")]
        grace_s: f64,
    },
    Forget {
        #[serde(rename = "leg")]
        task: String,
        #[serde(rename = "sailing")]
        attempt: u64,
    },
}

impl Command {
    pub fn is_start(&self) -> bool {
        matches!(self, Command::Start { .. })
    }
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "helm")]
    pub token: u64,
    #[serde(rename = "signals")]
    pub commands: Vec<Command>,
}

/// Commands sent straight to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    #[serde(rename = "helm")]
    pub token: u64,
    #[serde(rename = "watch")]
    pub incarnation: u64,
    #[serde(rename = "signals")]
    pub commands: Vec<Command>,
}

/// Where a worker is sent that reported to a node that does not lead.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    #[serde(rename = "harbour_master", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

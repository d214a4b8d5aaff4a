//! Messages between workers and controllers: heartbeats, their responses, and direct commands.

use super::ids::{FencingToken, HeartbeatSequence, Incarnation};
use serde::{Deserialize, Serialize};

/// The state of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waits for its image.
    Fetching,
    /// A task of a gang that waits for the other tasks of its attempt.
    Waiting,
    /// Runs. Also reported for tasks of a gang that has lost a task, until they exit.
    Running,
    /// Was stopped and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// Has exited; see [`Cause`].
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// It has completed. The worker keeps the result.
    Done,
    /// It was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its running gang is gone.
    #[serde(rename = "peers")]
    GangTaskLost,
    /// Its gang was not complete within the time limit.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// It has failed, mostly because the machine is faulty.
    Error,
    /// The start was refused: the machine lacks free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The start was refused: the task is on this machine with another attempt.
    Busy,
    /// The start was refused: the worker finds no such job or task.
    Unknown,
}

/// One task in a worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task's name, `JOB/NUMBER`.
    #[serde(rename = "leg")]
    pub task: String,
    /// The attempt that the task was started with.
    #[serde(rename = "sailing")]
    pub attempt: u64,
    /// The task's state.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it exited, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether its progress was saved, if it was stopped.
    #[serde(default, rename = "kept", skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat with the status of all its tasks. Workers send it periodically and on every
/// change; it is also the response to a direct command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "vessel")]
    pub machine: String,
    /// The worker's address.
    pub endpoint: String,
    /// The machine type.
    #[serde(rename = "hull")]
    pub kind: String,
    /// The zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The worker's incarnation: it begins at 1 and increments each time that the worker's lease
    /// expires, when the worker kills and forgets all of its tasks.
    #[serde(rename = "watch")]
    pub incarnation: Incarnation,
    /// The sequence number. Of two heartbeats, the one with the larger (incarnation, sequence) is
    /// the newer.
    #[serde(rename = "log_no")]
    pub sequence: HeartbeatSequence,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine, if it has given notice.
    #[serde(default, rename = "recall_s")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones that are not forgotten yet.
    #[serde(default, rename = "legs")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker. Commands are idempotent, except that a start after a forget starts the
/// attempt anew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "signal", rename_all = "lowercase")]
pub enum Command {
    /// Starts an attempt of a task, unless the worker already knows the attempt in any state.
    #[serde(rename = "launch")]
    Start {
        /// The task's name, `JOB/NUMBER`.
        #[serde(rename = "leg")]
        task: String,
        /// The attempt.
        #[serde(rename = "sailing")]
        attempt: u64,
    },
    /// Stops a task. A task that is saving is ended by a second stop without grace.
    Stop {
        /// The task's name, `JOB/NUMBER`.
        #[serde(rename = "leg")]
        task: String,
        /// The attempt.
        #[serde(rename = "sailing")]
        attempt: u64,
        /// Seconds that the task may take to save a checkpoint.
        #[serde(rename = "heave_s")]
        grace_s: f64,
    },
    /// Removes an exited task from the heartbeats.
    Forget {
        /// The task's name, `JOB/NUMBER`.
        #[serde(rename = "leg")]
        task: String,
        /// The attempt.
        #[serde(rename = "sailing")]
        attempt: u64,
    },
}

impl Command {
    /// Whether the command starts a task.
    pub fn is_start(&self) -> bool {
        matches!(self, Command::Start { .. })
    }
}

/// The response to a heartbeat. It renews the worker's lease and carries commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token of the sender; a worker drops what bears a lower token than it has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// The commands, carried out in order.
    #[serde(rename = "signals")]
    pub commands: Vec<Command>,
}

/// Commands sent directly to a worker. They do not renew its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The fencing token of the sender; a worker drops what bears a lower token than it has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// The incarnation of the worker that the commands are meant for; another one rejects them.
    #[serde(rename = "watch")]
    pub incarnation: Incarnation,
    /// The commands, carried out in order.
    #[serde(rename = "signals")]
    pub commands: Vec<Command>,
}

/// The response to a heartbeat that reached a controller other than the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// The leader's name, if it is known.
    #[serde(rename = "harbour_master", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

//! Messages between workers and controllers: heartbeats, their responses, and direct commands.

use super::ids::{FencingToken, HeartbeatSequence, Incarnation};
use super::BODY_LIMIT;
use serde::{Deserialize, Serialize};

/// Bytes of a heartbeat besides the list of tasks, at most.
const HEARTBEAT_HEADER_BYTES: usize = 1024;
/// The bytes that the statuses of all tasks on a machine may take in its heartbeat. A worker cannot send a
/// longer heartbeat.
pub const MAX_TASK_STATUS_BYTES: usize = BODY_LIMIT - HEARTBEAT_HEADER_BYTES;

/// The bytes of a task's longest status besides the id of its job: the JSON text with a number of five digits,
/// an attempt of 20 digits and the longest cause, and a space for each separator.
const STATUS_BYTES_WITHOUT_JOB: usize = 110;

/// The bytes that the status of one of a job's tasks takes in a heartbeat, at most.
pub fn max_task_status_bytes(job: &str) -> usize {
    job.len() + STATUS_BYTES_WITHOUT_JOB
}

/// The state of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for the machine to fetch its image.
    Fetching,
    /// Waiting for the other tasks of its gang's attempt.
    Waiting,
    /// Running. A task of a gang that has lost another task is also reported as running until it exits.
    Running,
    /// Saving a checkpoint after a stop command.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited; see [`Cause`].
    Exited,
}

/// Why a task exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// Completed. The worker keeps the result.
    Done,
    /// Stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// Another task of its running gang was lost.
    #[serde(rename = "peers")]
    GangBroken,
    /// Its gang was not complete before the timeout.
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// Failed, in most cases because the machine is faulty.
    Error,
    /// The start was rejected: the machine lacks free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The start was rejected: another attempt of the task is on the machine.
    Busy,
    /// The start was rejected: the worker does not know the job or the task.
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
    /// Why the task exited, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// Whether the task's progress was saved, if it was stopped.
    #[serde(default, rename = "kept", skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat with the status of all its tasks. Workers send heartbeats periodically and on
/// every change, and respond with one to a direct command batch.
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
    /// Whether the machine is a spot machine.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The worker's incarnation. It starts at 1 and is incremented each time that the worker's lease
    /// expires; the worker then kills and forgets all of its tasks.
    #[serde(rename = "watch")]
    pub incarnation: Incarnation,
    /// The sequence number. Heartbeats are ordered by (incarnation, sequence).
    #[serde(rename = "log_no")]
    pub sequence: HeartbeatSequence,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine, if the cloud has given notice.
    #[serde(default, rename = "recall_s")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, including exited tasks that the worker has not been told to forget.
    #[serde(default, rename = "legs")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker. Commands are idempotent, except that a start command repeated after a forget
/// command starts the attempt again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "signal", rename_all = "lowercase")]
pub enum Command {
    /// Starts an attempt of a task, unless the worker already has that attempt in any state.
    #[serde(rename = "launch")]
    Start {
        /// The task's name, `JOB/NUMBER`.
        #[serde(rename = "leg")]
        task: String,
        /// The attempt.
        #[serde(rename = "sailing")]
        attempt: u64,
    },
    /// Stops a task. A second stop command, with no grace period, kills a task that is saving.
    Stop {
        /// The task's name, `JOB/NUMBER`.
        #[serde(rename = "leg")]
        task: String,
        /// The attempt.
        #[serde(rename = "sailing")]
        attempt: u64,
        /// The grace period: seconds that the task may take to save a checkpoint.
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
    /// The leader's fencing token. A worker ignores a response with a lower token than it has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// The commands, to be executed in order.
    #[serde(rename = "signals")]
    pub commands: Vec<Command>,
}

/// A batch of commands sent directly to a worker. It does not renew the worker's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token. A worker ignores a batch with a lower token than it has seen.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// The target worker's incarnation. A worker in another incarnation rejects the batch.
    #[serde(rename = "watch")]
    pub incarnation: Incarnation,
    /// The commands, to be executed in order.
    #[serde(rename = "signals")]
    pub commands: Vec<Command>,
}

/// The response of a controller that is not the leader to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRedirect {
    /// The leader's name, if known.
    #[serde(rename = "harbour_master", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

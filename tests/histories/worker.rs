//! A simulated machine and its worker, which follow the worker protocol.

use super::common::AttemptId;
use stairstage::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use stairstage::protocol::worker::{
    Cause, Command, CommandBatch, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use std::collections::BTreeMap;

/// CPUs of a machine.
pub(crate) const CPUS: f64 = 4.0;
/// A worker ignores a response to a heartbeat after this time.
pub(crate) const RESPONSE_TIMEOUT_S: f64 = 4.0;
/// Seconds until a worker retries with another controller.
pub(crate) const RETRY_S: f64 = 1.0;
/// Minimum time between two heartbeats of a worker.
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.5;

/// A task on a machine.
#[derive(Clone)]
pub(crate) struct TaskOnWorker {
    pub state: TaskState,
    pub cause: Option<Cause>,
    /// When the task started.
    pub since: f64,
}

/// A heartbeat whose response the worker is waiting for.
#[derive(Clone, Copy)]
pub(crate) struct AwaitedResponse {
    pub sequence: u64,
    pub sent: f64,
}

/// A machine with its worker, and the faults that apply to it.
pub(crate) struct Worker {
    pub name: String,
    pub kind: &'static str,
    pub zone: &'static str,
    pub spot: bool,
    /// When the machine has booted and its worker starts to send heartbeats.
    pub up_at: f64,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: u64,
    pub tasks: BTreeMap<AttemptId, TaskOnWorker>,
    /// When the last answered heartbeat was sent; infinite if the lease has expired during a hang.
    pub lease_renewed_at: f64,
    /// The worker and the controllers do not reach each other.
    pub partitioned: bool,
    /// During a partition, the worker still reaches the former leader, which is in the same zone.
    pub with_former_leader: bool,
    /// The worker's heartbeats arrive; responses to them and direct commands are lost.
    pub inbound_lost: bool,
    /// Direct commands arrive and are answered; the worker's own heartbeats are lost.
    pub heartbeats_lost: bool,
    /// The machine hangs; incoming commands are held back.
    pub hung: bool,
    /// The machine no longer exists.
    pub terminated: bool,
    /// Direct commands that are delivered once the machine resumes or is reachable again.
    pub held_commands: Vec<CommandBatch>,
    pub next_heartbeat_at: f64,
    last_heartbeat_at: f64,
    pub awaited_response: Option<AwaitedResponse>,
}

impl Worker {
    pub(crate) fn new(number: usize, now: f64) -> Worker {
        Worker {
            name: format!("m-{number}"),
            kind: "m4",
            zone: "z",
            spot: false,
            up_at: now,
            incarnation: 1,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            lease_renewed_at: now,
            partitioned: false,
            with_former_leader: false,
            inbound_lost: false,
            heartbeats_lost: false,
            hung: false,
            terminated: false,
            held_commands: Vec::new(),
            next_heartbeat_at: now,
            last_heartbeat_at: f64::NEG_INFINITY,
            awaited_response: None,
        }
    }

    /// Restarts the worker's process, with its counters reset and without tasks.
    pub(crate) fn restart(&mut self, now: f64) {
        self.incarnation = 1;
        self.sequence = 0;
        self.token = 0;
        self.tasks.clear();
        self.lease_renewed_at = now;
    }

    /// Terminates the machine with all tasks on it.
    pub(crate) fn terminate(&mut self) {
        self.terminated = true;
        self.tasks.clear();
    }

    /// Whether the machine has booted and is not terminated.
    pub(crate) fn is_up(&self, now: f64) -> bool {
        !self.terminated && now >= self.up_at
    }

    /// Expires the worker's lease: the worker kills and forgets every task. A hung worker does so
    /// as soon as it resumes; until then its tasks make no progress.
    pub(crate) fn expire_lease(&mut self, now: f64) {
        self.incarnation += 1;
        self.tasks.clear();
        self.awaited_response = None;
        self.lease_renewed_at = if self.hung { f64::INFINITY } else { now };
        self.schedule_heartbeat_soon(now);
    }

    /// Resumes a hung machine; returns the commands that were held back.
    pub(crate) fn resume(&mut self, now: f64) -> Vec<CommandBatch> {
        self.hung = false;
        if self.lease_renewed_at == f64::INFINITY {
            self.lease_renewed_at = now;
        }
        self.next_heartbeat_at = now;
        std::mem::take(&mut self.held_commands)
    }

    /// Schedules the next heartbeat as early as allowed, to report a change.
    pub(crate) fn schedule_heartbeat_soon(&mut self, now: f64) {
        let soon = now.max(self.last_heartbeat_at + MIN_HEARTBEAT_INTERVAL_S);
        self.next_heartbeat_at = self.next_heartbeat_at.min(soon);
    }

    /// Applies the response to the heartbeat sent at `sent`; returns the tasks that started.
    pub(crate) fn apply_response(
        &mut self,
        response: &HeartbeatResponse,
        sent: f64,
        now: f64,
    ) -> Vec<String> {
        self.token = response.token.0;
        self.lease_renewed_at = sent;
        self.execute(&response.commands, now)
    }

    /// Whether the worker executes these direct commands.
    pub(crate) fn accepts(&self, batch: &CommandBatch) -> bool {
        batch.token.0 >= self.token && batch.incarnation.0 == self.incarnation
    }

    /// A heartbeat that the worker sends on schedule, rather than in answer to a direct command.
    pub(crate) fn scheduled_heartbeat(&mut self, now: f64) -> Heartbeat {
        self.last_heartbeat_at = now;
        self.next_heartbeat()
    }

    /// A heartbeat with the next sequence number.
    pub(crate) fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            endpoint: "127.0.0.1:9".into(),
            kind: self.kind.into(),
            zone: self.zone.into(),
            spot: self.spot,
            incarnation: Incarnation(self.incarnation),
            sequence: HeartbeatSequence(self.sequence),
            token: FencingToken(self.token),
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|(id, t)| TaskStatus {
                    task: id.task.clone(),
                    attempt: id.attempt,
                    state: t.state,
                    cause: t.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    /// The tasks that have not exited.
    pub(crate) fn live_tasks(&self) -> impl Iterator<Item = &String> {
        let live = self
            .tasks
            .iter()
            .filter(|(_, t)| t.state != TaskState::Exited);
        live.map(|(id, _)| &id.task)
    }

    /// Marks a task as exited, to be reported in the next heartbeat.
    pub(crate) fn exit(&mut self, id: &AttemptId, cause: Cause, now: f64) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.state = TaskState::Exited;
            task.cause = Some(cause);
            self.schedule_heartbeat_soon(now);
        }
    }

    /// Executes commands; returns the tasks that started.
    pub(crate) fn execute(&mut self, commands: &[Command], now: f64) -> Vec<String> {
        let mut started = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let id = AttemptId::new(task, *attempt);
                    let full = self.live_tasks().count() as f64 + 1.0 > CPUS;
                    if self.tasks.contains_key(&id) || full || self.live_tasks().any(|t| t == task)
                    {
                        continue;
                    }
                    let on_worker = TaskOnWorker {
                        state: TaskState::Running,
                        cause: None,
                        since: now,
                    };
                    self.tasks.insert(id, on_worker);
                    started.push(task.clone());
                }
                Command::Stop { task, attempt, .. } => {
                    let t = self.tasks.get_mut(&AttemptId::new(task, *attempt));
                    if let Some(t) = t.filter(|t| t.state != TaskState::Exited) {
                        t.state = TaskState::Exited;
                        t.cause = Some(Cause::Stopped);
                    }
                }
                Command::Forget { task, attempt } => {
                    let id = AttemptId::new(task, *attempt);
                    if self
                        .tasks
                        .get(&id)
                        .is_some_and(|t| t.state == TaskState::Exited)
                    {
                        self.tasks.remove(&id);
                    }
                }
            }
        }
        if !commands.is_empty() {
            self.schedule_heartbeat_soon(now);
        }
        started
    }
}

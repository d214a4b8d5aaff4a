//! A machine with its worker, as the protocol describes them.

use super::common::AttemptId;
use stairstage::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use stairstage::protocol::worker::{
    Cause, Command, CommandBatch, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use std::collections::BTreeMap;

/// Processors of a machine.
pub(crate) const CPUS: f64 = 4.0;
/// A worker takes no response to a heartbeat after this time.
pub(crate) const RESPONSE_TIMEOUT_S: f64 = 4.0;
/// Seconds until a worker tries the next node.
pub(crate) const RETRY_S: f64 = 1.0;
/// A worker sends no two heartbeats within this time.
const MIN_HEARTBEAT_PAUSE_S: f64 = 0.5;

/// A task on a machine, with the time since it is in its state.
#[derive(Clone)]
pub(crate) struct TaskOnWorker {
    pub state: TaskState,
    pub cause: Option<Cause>,
    pub since: f64,
}

/// A heartbeat that its worker waits to have answered.
#[derive(Clone, Copy)]
pub(crate) struct AwaitedResponse {
    pub sequence: u64,
    pub sent: f64,
}

/// A machine with its worker, and what keeps it from others.
pub(crate) struct Worker {
    pub name: String,
    pub kind: &'static str,
    pub zone: &'static str,
    pub spot: bool,
    /// When it is up, and its worker begins to report.
    pub up_at: f64,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: u64,
    pub tasks: BTreeMap<AttemptId, TaskOnWorker>,
    /// When the last answered heartbeat was sent; infinite once its lease is over while it hangs.
    pub lease_renewed_at: f64,
    /// It reaches no controller, and none reaches it.
    pub partitioned: bool,
    /// The partition leaves it the former leader, which is in its zone.
    pub with_former_leader: bool,
    /// Its heartbeats arrive; responses to them and direct commands are lost.
    pub inbound_lost: bool,
    /// Direct commands arrive and are answered; its own heartbeats are lost.
    pub heartbeats_lost: bool,
    /// It does not run, and holds back what comes to it.
    pub hung: bool,
    /// It is gone for good, with all that was on it.
    pub gone: bool,
    /// Direct commands that arrive once it runs again, or is no longer cut off.
    pub held: Vec<CommandBatch>,
    pub next_heartbeat_at: f64,
    last_heartbeat_at: f64,
    pub awaited: Option<AwaitedResponse>,
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
            gone: false,
            held: Vec::new(),
            next_heartbeat_at: now,
            last_heartbeat_at: f64::NEG_INFINITY,
            awaited: None,
        }
    }

    /// Its process ended and is back at once, with fresh counters and without tasks.
    pub(crate) fn restart(&mut self, now: f64) {
        self.incarnation = 1;
        self.sequence = 0;
        self.token = 0;
        self.tasks.clear();
        self.lease_renewed_at = now;
    }

    /// It stops with all that is on it.
    pub(crate) fn die(&mut self) {
        self.gone = true;
        self.tasks.clear();
    }

    /// Whether it has booted and is not gone.
    pub(crate) fn is_up(&self, now: f64) -> bool {
        !self.gone && now >= self.up_at
    }

    /// Its lease is over: it has killed and forgotten every task. One that hangs does so before
    /// anything else once it runs again; until then its tasks stand still for good.
    pub(crate) fn expire(&mut self, now: f64) {
        self.incarnation += 1;
        self.tasks.clear();
        self.awaited = None;
        self.lease_renewed_at = if self.hung { f64::INFINITY } else { now };
        self.hasten_heartbeat(now);
    }

    /// It runs again; what was held back meanwhile is handed out.
    pub(crate) fn resume(&mut self, now: f64) -> Vec<CommandBatch> {
        self.hung = false;
        if self.lease_renewed_at == f64::INFINITY {
            self.lease_renewed_at = now;
        }
        self.next_heartbeat_at = now;
        std::mem::take(&mut self.held)
    }

    /// Something has changed, which it reports soon.
    pub(crate) fn hasten_heartbeat(&mut self, now: f64) {
        let soon = now.max(self.last_heartbeat_at + MIN_HEARTBEAT_PAUSE_S);
        self.next_heartbeat_at = self.next_heartbeat_at.min(soon);
    }

    /// Takes a response to the heartbeat that it sent then; returns the tasks that started.
    pub(crate) fn take(&mut self, answer: &HeartbeatResponse, sent: f64, now: f64) -> Vec<String> {
        self.token = answer.token.0;
        self.lease_renewed_at = sent;
        self.run(&answer.commands, now)
    }

    /// Whether it executes direct commands.
    pub(crate) fn accepts(&self, batch: &CommandBatch) -> bool {
        batch.token.0 >= self.token && batch.incarnation.0 == self.incarnation
    }

    /// A heartbeat of its own; one that answers a direct command has a later number too.
    pub(crate) fn own_heartbeat(&mut self, now: f64) -> Heartbeat {
        self.last_heartbeat_at = now;
        self.heartbeat()
    }

    /// The next heartbeat.
    pub(crate) fn heartbeat(&mut self) -> Heartbeat {
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
    pub(crate) fn live(&self) -> impl Iterator<Item = &String> {
        let live = self
            .tasks
            .iter()
            .filter(|(_, t)| t.state != TaskState::Exited);
        live.map(|(id, _)| &id.task)
    }

    /// A task exits, which the next heartbeat shows.
    pub(crate) fn exit(&mut self, id: &AttemptId, cause: Cause, now: f64) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.state = TaskState::Exited;
            task.cause = Some(cause);
            self.hasten_heartbeat(now);
        }
    }

    /// Runs commands; returns the tasks that started.
    pub(crate) fn run(&mut self, commands: &[Command], now: f64) -> Vec<String> {
        let mut started = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let id = AttemptId::new(task, *attempt);
                    let full = self.live().count() as f64 + 1.0 > CPUS;
                    if self.tasks.contains_key(&id) || full || self.live().any(|t| t == task) {
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
            self.hasten_heartbeat(now);
        }
        started
    }
}

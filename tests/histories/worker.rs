//! A machine with its worker, as the protocol describes them.

use stairstage::protocol::worker::{
    Cause, Command, CommandBatch, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use std::collections::BTreeMap;

/// Processors of a machine.
pub(crate) const CPUS: f64 = 4.0;
/// A worker takes no answer to a report after this time, and tries the next node a second later.
pub(crate) const ANSWER_TIMEOUT_S: f64 = 4.0;
pub(crate) const RETRY_S: f64 = 1.0;
/// A worker sends no two reports within this time.
const MIN_REPORT_PAUSE_S: f64 = 0.5;

#[derive(Clone)]
pub(crate) struct TaskOnWorker {
    pub state: TaskState,
    pub cause: Option<Cause>,
    pub since: f64,
}

/// A report that its worker waits to have answered.
#[derive(Clone, Copy)]
pub(crate) struct AwaitedAnswer {
    pub sequence: u64,
    pub sent: f64,
}

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
    /// By task and attempt.
    pub tasks: BTreeMap<(String, u64), TaskOnWorker>,
    /// When the last answered report was sent; infinite once its lease is over while it hangs.
    pub renewed: f64,
    /// Cut off from the controllers; from all but the former leader, which is in its zone; heard, but
    /// out of reach; in reach of direct commands, but not heard; hanging; or gone for good.
    pub cut: bool,
    pub with_former: bool,
    pub deaf: bool,
    pub mute: bool,
    pub hung: bool,
    pub gone: bool,
    /// Direct commands that arrive once it runs again, or is no longer cut off.
    pub held: Vec<CommandBatch>,
    pub next_report: f64,
    last_report: f64,
    pub awaited: Option<AwaitedAnswer>,
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
            renewed: now,
            cut: false,
            with_former: false,
            deaf: false,
            mute: false,
            hung: false,
            gone: false,
            held: Vec::new(),
            next_report: now,
            last_report: f64::NEG_INFINITY,
            awaited: None,
        }
    }

    /// Its process ended and is back at once, with fresh counters and without tasks.
    pub(crate) fn restart(&mut self, now: f64) {
        self.incarnation = 1;
        self.sequence = 0;
        self.token = 0;
        self.tasks.clear();
        self.renewed = now;
    }

    /// It stops with all that is on it.
    pub(crate) fn die(&mut self) {
        self.gone = true;
        self.tasks.clear();
    }

    pub(crate) fn is_up(&self, now: f64) -> bool {
        !self.gone && now >= self.up_at
    }

    /// Its lease is over: it has killed and forgotten every task. One that hangs does so before
    /// anything else once it runs again; until then its tasks stand still for good.
    pub(crate) fn expire(&mut self, now: f64) {
        self.incarnation += 1;
        self.tasks.clear();
        self.awaited = None;
        self.renewed = if self.hung { f64::INFINITY } else { now };
        self.report_change(now);
    }

    /// It runs again; what was held back meanwhile is handed out.
    pub(crate) fn resume(&mut self, now: f64) -> Vec<CommandBatch> {
        self.hung = false;
        if self.renewed == f64::INFINITY {
            self.renewed = now;
        }
        self.next_report = now;
        std::mem::take(&mut self.held)
    }

    /// Something has changed, which it reports soon.
    pub(crate) fn report_change(&mut self, now: f64) {
        let soon = now.max(self.last_report + MIN_REPORT_PAUSE_S);
        self.next_report = self.next_report.min(soon);
    }

    /// Takes an answer to the report that it sent then; returns the tasks that started.
    pub(crate) fn take(&mut self, answer: &HeartbeatResponse, sent: f64, now: f64) -> Vec<String> {
        self.token = answer.token;
        self.renewed = sent;
        self.run(&answer.commands, now)
    }

    /// Whether it executes direct commands.
    pub(crate) fn accepts(&self, orders: &CommandBatch) -> bool {
        orders.token >= self.token && orders.incarnation == self.incarnation
    }

    /// A report of its own; one that answers a direct command has a later number too.
    pub(crate) fn own_report(&mut self, now: f64) -> Heartbeat {
        self.last_report = now;
        self.report()
    }

    pub(crate) fn report(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            endpoint: "127.0.0.1:9".into(),
            kind: self.kind.into(),
            zone: self.zone.into(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: t.state,
                    cause: t.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &String> {
        let live = self
            .tasks
            .iter()
            .filter(|(_, t)| t.state != TaskState::Exited);
        live.map(|((task, _), _)| task)
    }

    pub(crate) fn exit(&mut self, key: &(String, u64), cause: Cause, now: f64) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.state = TaskState::Exited;
            task.cause = Some(cause);
            self.report_change(now);
        }
    }

    /// Runs commands; returns the tasks that started.
    pub(crate) fn run(&mut self, commands: &[Command], now: f64) -> Vec<String> {
        let mut started = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let full = self.live().count() as f64 + 1.0 > CPUS;
                    if self.tasks.contains_key(&key) || full || self.live().any(|t| t == task) {
                        continue;
                    }
                    let on_worker = TaskOnWorker {
                        state: TaskState::Running,
                        cause: None,
                        since: now,
                    };
                    self.tasks.insert(key, on_worker);
                    started.push(task.clone());
                }
                Command::Stop { task, attempt, .. } => {
                    let t = self.tasks.get_mut(&(task.clone(), *attempt));
                    if let Some(t) = t.filter(|t| t.state != TaskState::Exited) {
                        t.state = TaskState::Exited;
                        t.cause = Some(Cause::Stopped);
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.state == TaskState::Exited)
                    {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
        if !commands.is_empty() {
            self.report_change(now);
        }
        started
    }
}

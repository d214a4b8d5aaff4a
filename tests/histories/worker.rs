//! A machine with its worker, as the protocol describes them.

use stairstage::protocol::worker::*;
use std::collections::BTreeMap;

/// Processors of a machine.
pub const CPUS: f64 = 4.0;

#[derive(Clone)]
pub struct OnWorker {
    pub state: TaskState,
    pub cause: Option<Cause>,
}

/// A machine with its worker, as the protocol describes them.
pub struct Worker {
    pub name: String,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    /// By task and attempt.
    pub tasks: BTreeMap<(String, u64), OnWorker>,
    pub renewed: f64,
    /// Cut off from the controllers; from all but the former leader, which is in its zone; heard, but
    /// out of reach; or gone for good.
    pub cut: bool,
    pub with_former: bool,
    pub deaf: bool,
    pub gone: bool,
}

impl Worker {
    pub fn new(number: usize, now: f64) -> Worker {
        Worker {
            name: format!("m-{number}"),
            session: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            renewed: now,
            cut: false,
            with_former: false,
            deaf: false,
            gone: false,
        }
    }

    /// Its process ended and is back at once, with fresh counters and without tasks.
    pub fn restart(&mut self, now: f64) {
        self.session = 1;
        self.seq = 0;
        self.token = 0;
        self.tasks.clear();
        self.renewed = now;
    }

    /// It stops with all that is on it.
    pub fn die(&mut self) {
        self.gone = true;
        self.tasks.clear();
    }

    /// Takes an answer to the report that it sent then; returns the tasks that started.
    pub fn take(&mut self, answer: &ReportAnswer, sent: f64) -> Vec<String> {
        self.token = answer.token;
        self.renewed = sent;
        self.run(&answer.commands)
    }

    pub fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            machine: self.name.clone(),
            endpoint: "127.0.0.1:9".into(),
            kind: "m4".into(),
            zone: "z".into(),
            spot: false,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    state: t.state,
                    cause: t.cause,
                    saved: None,
                })
                .collect(),
        }
    }

    pub fn live(&self) -> impl Iterator<Item = &String> {
        let live = self
            .tasks
            .iter()
            .filter(|(_, t)| t.state != TaskState::Exited);
        live.map(|((task, _), _)| task)
    }

    /// Runs commands; returns the tasks that started.
    pub fn run(&mut self, commands: &[Command]) -> Vec<String> {
        let mut started = Vec::new();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let full = self.live().count() as f64 + 1.0 > CPUS;
                    if self.tasks.contains_key(&key) || full || self.live().any(|t| t == task) {
                        continue;
                    }
                    let state = TaskState::Running;
                    self.tasks.insert(key, OnWorker { state, cause: None });
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
        started
    }
}

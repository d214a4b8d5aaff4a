//! A simulated machine with its worker.

use crate::common::AttemptId;
use crate::workload::JobPlan;
use stairstage::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use stairstage::protocol::job::parse_task;
use stairstage::protocol::worker::{
    Cause, Command, CommandBatch, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use std::collections::{BTreeMap, BTreeSet};

/// How long fetching an image takes.
const FETCH_S: f64 = 1.0;
/// How long a failing task runs before it fails.
const FAILS_AFTER_S: f64 = 1.0;

/// A task on a machine.
#[derive(Clone, Debug)]
pub(crate) struct TaskOnWorker {
    pub state: TaskState,
    pub cause: Option<Cause>,
    /// When the image fetch or the run ends. While a task waits for its gang: when its run would end if it
    /// had started at the end of the fetch.
    pub state_ends_at: f64,
    pub cpus: f64,
    pub gang: bool,
}

impl TaskOnWorker {
    /// Whether the task has not exited.
    pub(crate) fn is_live(&self) -> bool {
        self.state != TaskState::Exited
    }

    /// Marks the task as exited for this cause.
    pub(crate) fn exit(&mut self, cause: Cause) {
        self.state = TaskState::Exited;
        self.cause = Some(cause);
    }
}

/// A machine with its worker and its network faults.
pub(crate) struct Worker {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub cpus: f64,
    pub rented_at: f64,
    pub up_at: f64,
    incarnation: u64,
    sequence: u64,
    pub token: u64,
    lease_renewed_at: f64,
    pub tasks: BTreeMap<AttemptId, TaskOnWorker>,
    images: BTreeSet<String>,
    /// Tasks that completed on this machine. Their results are kept, so that they exit at once when started
    /// again.
    completed_tasks: BTreeSet<String>,
    /// Until this time, the machine and the controllers can't reach each other.
    pub partitioned_until: f64,
    /// Until this time, heartbeats arrive, while responses and direct commands are lost.
    pub inbound_lost_until: f64,
    /// Until this time, direct commands arrive, while heartbeats are lost.
    pub heartbeats_lost_until: f64,
    /// Whether every task fails on this machine.
    pub faulty: bool,
}

impl Worker {
    pub(crate) fn new(
        name: String,
        kind: &str,
        zone: &str,
        cpus: f64,
        rented_at: f64,
        up_at: f64,
    ) -> Self {
        Worker {
            name,
            kind: kind.into(),
            zone: zone.into(),
            cpus,
            rented_at,
            up_at,
            incarnation: 1,
            sequence: 0,
            token: 0,
            lease_renewed_at: up_at,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            completed_tasks: BTreeSet::new(),
            partitioned_until: 0.0,
            inbound_lost_until: 0.0,
            heartbeats_lost_until: 0.0,
            faulty: false,
        }
    }

    /// Whether the machine has booted.
    pub(crate) fn is_up(&self, now: f64) -> bool {
        now >= self.up_at
    }

    /// Whether the machine is up and not partitioned.
    pub(crate) fn is_reachable(&self, now: f64) -> bool {
        self.is_up(now) && now >= self.partitioned_until
    }

    /// Whether heartbeats reach the leader.
    pub(crate) fn heartbeats_arrive(&self, now: f64) -> bool {
        self.is_reachable(now) && now >= self.heartbeats_lost_until
    }

    /// Whether responses and direct commands reach the worker.
    pub(crate) fn receives(&self, now: f64) -> bool {
        self.is_reachable(now) && now >= self.inbound_lost_until
    }

    /// The tasks that have not exited.
    pub(crate) fn live(&self) -> impl Iterator<Item = (&AttemptId, &TaskOnWorker)> {
        self.tasks.iter().filter(|(_, t)| t.is_live())
    }

    /// The CPUs that no live task uses.
    pub(crate) fn free_cpus(&self) -> f64 {
        self.cpus - self.live().map(|(_, t)| t.cpus).sum::<f64>()
    }

    /// The next heartbeat.
    pub(crate) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, t)| TaskStatus {
            task: id.task.clone(),
            attempt: id.attempt,
            state: t.state,
            cause: t.cause,
            saved: None,
        });
        Heartbeat {
            machine: self.name.clone(),
            endpoint: "127.0.0.1:9".into(),
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: false,
            incarnation: Incarnation(self.incarnation),
            sequence: HeartbeatSequence(self.sequence),
            token: FencingToken(self.token),
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Accepts the response to a heartbeat sent at `sent`, and renews the lease, unless the token is
    /// outdated.
    pub(crate) fn accept_response(&mut self, answer: &HeartbeatResponse, sent: f64) -> bool {
        if answer.token.0 < self.token {
            return false;
        }
        self.token = answer.token.0;
        self.lease_renewed_at = sent;
        true
    }

    /// Whether the token and the incarnation of direct commands are valid.
    pub(crate) fn accepts(&self, batch: &CommandBatch) -> bool {
        batch.token.0 >= self.token && batch.incarnation.0 == self.incarnation
    }

    /// Kills and forgets every task if the lease has expired.
    pub(crate) fn expire(&mut self, lease_s: f64, now: f64) {
        if self.is_up(now) && now - self.lease_renewed_at > lease_s {
            self.incarnation += 1;
            self.lease_renewed_at = now;
            self.tasks.clear();
        }
    }

    /// Executes a command, and returns the task that it started.
    pub(crate) fn execute(
        &mut self,
        command: &Command,
        plan: &JobPlan,
        now: f64,
    ) -> Option<String> {
        match command {
            Command::Start { task, attempt } => {
                let id = AttemptId::new(task, *attempt);
                if self.tasks.contains_key(&id) {
                    return None;
                }
                let (state, cause) = self.initial_state(task, plan);
                let placed = TaskOnWorker {
                    state,
                    cause,
                    state_ends_at: now + FETCH_S,
                    cpus: plan.cpus,
                    gang: plan.is_gang(),
                };
                self.tasks.insert(id.clone(), placed);
                if state == TaskState::Exited {
                    return None;
                }
                if self.images.contains(plan.class) {
                    self.finish_fetch(&id, plan, now);
                }
                Some(task.clone())
            }
            Command::Stop { task, attempt, .. } => {
                let stopped = self.tasks.get_mut(&AttemptId::new(task, *attempt));
                if let Some(t) = stopped.filter(|t| t.is_live()) {
                    t.exit(Cause::Stopped);
                }
                None
            }
            Command::Forget { task, attempt } => {
                let id = AttemptId::new(task, *attempt);
                if self.tasks.get(&id).is_some_and(|t| !t.is_live()) {
                    self.tasks.remove(&id);
                }
                None
            }
        }
    }

    /// The initial state of a task: fetching its image, or exited if the worker rejects the task.
    fn initial_state(&self, task: &str, plan: &JobPlan) -> (TaskState, Option<Cause>) {
        let rejected = |cause| (TaskState::Exited, Some(cause));
        if self.live().any(|(other, _)| other.task == *task) {
            rejected(Cause::Busy)
        } else if self.free_cpus() < plan.cpus {
            rejected(Cause::InsufficientResources)
        } else {
            (TaskState::Fetching, None)
        }
    }

    /// Completes the image fetch of a task, which then runs, or waits for its gang.
    fn finish_fetch(&mut self, id: &AttemptId, plan: &JobPlan, now: f64) {
        self.images.insert(plan.class.to_string());
        let fails = plan.always_fails || self.faulty;
        let (_, task) = parse_task(&id.task).unwrap();
        let t = self.tasks.get_mut(id).expect("known task");
        if self.completed_tasks.contains(&id.task) {
            return t.exit(Cause::Done);
        }
        let run_s = if fails {
            FAILS_AFTER_S
        } else {
            plan.task_run_s(task)
        };
        t.state_ends_at = now + run_s;
        t.state = if plan.is_gang() && !fails {
            TaskState::Waiting
        } else {
            TaskState::Running
        };
    }

    /// Completes the image fetch or the run of a task if it is due.
    pub(crate) fn advance(&mut self, id: &AttemptId, plan: &JobPlan, now: f64) {
        let fails = plan.always_fails || self.faulty;
        let t = self.tasks.get_mut(id).expect("known task");
        if now < t.state_ends_at {
            return;
        }
        match t.state {
            TaskState::Fetching => self.finish_fetch(id, plan, now),
            TaskState::Running if fails => t.exit(Cause::Error),
            TaskState::Running => {
                t.exit(Cause::Done);
                self.completed_tasks.insert(id.task.clone());
            }
            _ => {}
        }
    }
}

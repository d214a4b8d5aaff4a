//! Machines with their workers: tasks, heartbeats and commands.

use super::Simulation;
use crate::common::AttemptId;
use crate::worker::Worker;
use stairstage::coordination::cluster::HeartbeatOutcome;
use stairstage::protocol::cloud::{ListedMachine, MachineState};
use stairstage::protocol::job::parse_task;
use stairstage::protocol::worker::{Cause, Command, TaskState};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The interval at which the leader lists the machines of the cloud.
const LIST_INTERVAL_S: f64 = 5.0;

/// An attempt of a gang, which is the same for all its tasks.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GangAttempt {
    job: String,
    attempt: u64,
}

impl GangAttempt {
    /// The gang attempt that includes the attempt of a task.
    fn of(id: &AttemptId) -> GangAttempt {
        GangAttempt {
            job: parse_task(&id.task).unwrap().0.to_string(),
            attempt: id.attempt,
        }
    }
}

impl Simulation {
    /// Adds machines that are already up, and returns their names.
    pub(crate) fn add_machines(&mut self, zone: &str, count: usize) -> Vec<String> {
        let now = self.now;
        (0..count).map(|_| self.add_machine(zone, now)).collect()
    }

    /// Adds a machine that has booted at `up_at`, and returns its name.
    pub(super) fn add_machine(&mut self, zone: &str, up_at: f64) -> String {
        let name = format!("m-{:06}", self.machines_added);
        self.machines_added += 1;
        let machine_type = &self.machine_types[0];
        let worker = Worker::new(
            name.clone(),
            &machine_type.name,
            zone,
            machine_type.cpus,
            self.now,
            up_at,
        );
        self.workers.insert(name.clone(), worker);
        name
    }

    /// Completes image fetches and runs that are due, and expires leases of workers.
    pub(super) fn advance_workers(&mut self) {
        let (now, lease_s) = (self.now, self.settings.cluster.workers.lease_s);
        for worker in self.workers.values_mut() {
            worker.expire(lease_s, now);
            let ids: Vec<AttemptId> = worker.live().map(|(id, _)| id.clone()).collect();
            for id in ids {
                let plan = &self.outcomes[parse_task(&id.task).unwrap().0].plan;
                worker.advance(&id, plan, now);
            }
        }
        self.advance_gangs();
    }

    /// Starts the tasks of a gang together, completes them together, and stops them all if one is missing.
    pub(super) fn advance_gangs(&mut self) {
        let mut gangs: BTreeMap<GangAttempt, Vec<TaskState>> = BTreeMap::new();
        let mut done: BTreeSet<GangAttempt> = BTreeSet::new();
        for worker in self.workers.values() {
            for (id, t) in worker.tasks.iter().filter(|(_, t)| t.gang) {
                let gang = GangAttempt::of(id);
                match t.cause {
                    Some(Cause::Done) => drop(done.insert(gang)),
                    Some(_) => {}
                    None => gangs.entry(gang).or_default().push(t.state),
                }
            }
        }
        let (now, wait_s) = (self.now, self.settings.cluster.workers.gang_wait_s);
        for (gang, states) in gangs {
            let plan = self.outcomes[&gang.job].plan.clone();
            let whole = states.len() == plan.tasks as usize;
            let ready = states.iter().all(|s| *s == TaskState::Waiting);
            let runs = states.contains(&TaskState::Running);
            for t in self.gang_tasks(&gang) {
                if done.contains(&gang) {
                    t.exit(Cause::Done);
                } else if whole && ready {
                    t.state = TaskState::Running;
                    t.state_ends_at = now + plan.run_s;
                } else if runs && !whole {
                    t.exit(Cause::GangBroken);
                } else if t.state == TaskState::Waiting
                    && now > t.state_ends_at - plan.run_s + wait_s
                {
                    t.exit(Cause::GangIncomplete);
                }
            }
        }
    }

    /// The live tasks of an attempt of a gang, on all machines.
    pub(super) fn gang_tasks<'a>(
        &'a mut self,
        gang: &'a GangAttempt,
    ) -> impl Iterator<Item = &'a mut crate::worker::TaskOnWorker> + 'a {
        let tasks = self.workers.values_mut().flat_map(|w| w.tasks.iter_mut());
        tasks.filter_map(move |(id, t)| {
            let same = GangAttempt::of(id) == *gang;
            (same && t.is_live()).then_some(t)
        })
    }

    /// Sends the heartbeat of each machine that reaches the leader. The worker executes the commands in the
    /// response if that arrives.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let worker = self.workers.get_mut(&name).unwrap();
            let Some(manager) = self
                .leader
                .as_mut()
                .filter(|_| worker.heartbeats_arrive(now))
            else {
                continue;
            };
            let outcome = manager.heartbeat(&worker.heartbeat(), now);
            let arrives = !self.random.chance(self.late_response_rate);
            if let HeartbeatOutcome::Response(answer) = outcome {
                if arrives && worker.receives(now) && worker.accept_response(&answer, now) {
                    self.execute(&name, &answer.commands);
                }
            }
        }
    }

    /// Executes commands on a machine, and checks each task that starts.
    pub(super) fn execute(&mut self, name: &str, commands: &[Command]) {
        for command in commands {
            let (Command::Start { task, .. }
            | Command::Stop { task, .. }
            | Command::Forget { task, .. }) = command;
            let (id, _) = parse_task(task).unwrap();
            let outcome = self.outcomes.get_mut(id).expect("a job of this run");
            let worker = self.workers.get_mut(name).unwrap();
            let started = worker.execute(command, &outcome.plan, self.now);
            if let Some(task) = started {
                outcome.began.get_or_insert(self.now);
                self.check_start(name, &task);
            }
        }
    }

    /// Asserts that a started task runs nowhere else, may use the zone, was not cancelled long ago, and keeps
    /// its team within the limit.
    pub(super) fn check_start(&self, name: &str, task: &str) {
        let (id, _) = parse_task(task).unwrap();
        let outcome = &self.outcomes[id];
        let others = self.workers.values().filter(|w| w.name != name);
        let runs_elsewhere = others
            .flat_map(Worker::live)
            .any(|(other, _)| other.task == task);
        assert!(!runs_elsewhere, "ran_twice: {task} starts on {name}");
        let zone = &self.workers[name].zone;
        let is_allowed = outcome.plan.zone.is_none_or(|z| z == zone);
        assert!(is_allowed, "wrong_place: {task} starts in {zone}");
        let cancel_s = self.settings.cluster.workers.cancel_s;
        let is_late = outcome.cancelled.is_some_and(|t| self.now - t > cancel_s);
        assert!(!is_late, "ran_cancelled: {task}");
        let limit = self.limit(outcome.plan.team);
        let used = self.team_use().remove(outcome.plan.team).unwrap_or(0.0);
        assert!(used <= limit + 1e-6, "quota: {used} of {limit} CPUs");
    }

    /// The CPUs that a team may use.
    pub(super) fn limit(&self, team: &str) -> f64 {
        match self.settings.team(team).expect("a known team").cpus_max {
            limit if limit > 0.0 => limit,
            _ => f64::INFINITY,
        }
    }

    /// The CPUs that each team uses.
    pub(super) fn team_use(&self) -> HashMap<&str, f64> {
        let mut team_use: HashMap<&str, f64> = HashMap::new();
        for (attempt, t) in self.workers.values().flat_map(Worker::live) {
            let id = parse_task(&attempt.task).unwrap().0;
            *team_use.entry(self.outcomes[id].plan.team).or_default() += t.cpus;
        }
        team_use
    }

    /// Passes the machine list of the cloud to the leader, at most once per `LIST_INTERVAL_S`.
    pub(super) fn list_machines(&mut self) {
        if self.now - self.listed_at < LIST_INTERVAL_S {
            return;
        }
        self.listed_at = self.now;
        let list: Vec<ListedMachine> = self.workers.values().map(|w| self.listing(w)).collect();
        if let Some(manager) = &mut self.leader {
            manager.machines_listed(&list, self.now);
        }
    }

    /// The entry of a machine in the list of the cloud.
    pub(super) fn listing(&self, worker: &Worker) -> ListedMachine {
        ListedMachine {
            name: worker.name.clone(),
            endpoint: Some("127.0.0.1:9".into()),
            kind: worker.kind.clone(),
            zone: worker.zone.clone(),
            spot: false,
            state: if worker.is_up(self.now) {
                MachineState::Running
            } else {
                MachineState::Booting
            },
            age_s: self.now - worker.rented_at,
        }
    }

    /// Rents up to `count` machines in a zone, as far as the cloud has capacity.
    pub(super) fn rent(&mut self, zone: &str, count: usize) -> Vec<String> {
        let in_zone = self.workers.values().filter(|w| w.zone == zone).count();
        let free = self.cloud.max_per_zone.saturating_sub(in_zone);
        let has_capacity = self.cloud.accepts_rentals && self.cloud.sold_out_zone != Some(zone);
        let count = if has_capacity { count.min(free) } else { 0 };
        let up_at = self.now + self.cloud.boot_s;
        (0..count).map(|_| self.add_machine(zone, up_at)).collect()
    }
}

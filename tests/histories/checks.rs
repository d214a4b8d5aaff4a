//! The safety rules, checked when a task starts, when time passes and when a final state is reported.

use super::job::{split_task_name, Job};
use super::worker::{Worker, CPUS};
use super::world::World;
use serde_json::json;
use stairstage::coordination::state::JobId;
use stairstage::protocol::job::{JobSpec, JobState};
use stairstage::storage::records::final_state_key;
use std::collections::BTreeMap;

/// The longest time in seconds that a job which could start may wait, once all faults are over.
const MAX_WAIT_S: f64 = 90.0;

/// Whether a job's tasks may run on a machine, by its type, its zone and whether it is a spot machine.
fn allows(spec: &JobSpec, w: &Worker) -> bool {
    let kind = spec.types.iter().all(|t| t.iter().any(|t| t == w.kind));
    let in_zone = spec.zone.iter().all(|z| z == w.zone);
    kind && in_zone && (spec.spot || !w.spot)
}

impl World {
    /// Checks tasks that have just started on a worker.
    pub(crate) fn check_starts(&self, worker: usize, tasks: &[String]) {
        for task in tasks {
            self.check_start(worker, task);
        }
        self.check_quota();
    }

    /// Checks that the task runs nowhere else, that its dependencies are done, that its job was not
    /// cancelled too long ago, and that it may run on this machine.
    fn check_start(&self, worker: usize, task: &str) {
        let workers = self.workers.iter().enumerate();
        let elsewhere = workers
            .filter(|(i, w)| *i != worker && !w.terminated)
            .find(|(_, w)| w.live_tasks().any(|t| *t == task));
        if let Some((other, _)) = elsewhere {
            panic!("ran_twice: {task} starts on {worker} while it runs on {other}");
        }
        let (id, _) = split_task_name(task);
        let job = &self.jobs[id];
        for dependency in &job.spec.waits_on {
            assert!(self.is_complete(dependency), "too_early: {task}");
            let final_state = &self
                .store
                .get(&final_state_key(dependency))
                .expect("a recorded final state")
                .value;
            assert_eq!(
                final_state["state"], "done",
                "too_early: {task} starts before {dependency} is done"
            );
        }
        self.check_cancelled(task, job, self.now);
        self.check_placement(&self.workers[worker], task, job);
    }

    /// Checks the machine's type, zone and spot property, and the zones of the job's running tasks.
    fn check_placement(&self, w: &Worker, task: &str, job: &Job) {
        let spec = &job.spec;
        assert!(
            allows(spec, w),
            "wrong_place: {task} on {} in {}, spot: {}",
            w.kind,
            w.zone,
            w.spot
        );
        let mut in_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for other in self.workers.iter().filter(|w| !w.terminated) {
            let of_job = other
                .live_tasks()
                .filter(|t| split_task_name(t).0 == spec.id)
                .count();
            if of_job > 0 {
                *in_zone.entry(other.zone).or_default() += of_job as u32;
            }
        }
        assert!(
            !spec.one_zone || in_zone.len() == 1,
            "wrong_place: {task} of a job limited to one zone; tasks by zone: {in_zone:?}"
        );
        let max_in_zone = spec.tasks.div_ceil(2);
        assert!(
            !spec.spread || in_zone[w.zone] <= max_in_zone,
            "wrong_place: {task} of a spread job of {} tasks; tasks by zone: {in_zone:?}",
            spec.tasks
        );
    }

    /// Checks the teams' quotas. Tasks on hung or unreachable machines count too.
    fn check_quota(&self) {
        for (team, cpus) in self.cpus_in_use_by_team() {
            let limit = self.settings.team(team).expect("a known team").cpus_max;
            assert!(cpus <= limit, "quota: {team} uses {cpus} of {limit} CPUs");
        }
    }

    /// The CPUs in use by each team.
    fn cpus_in_use_by_team(&self) -> BTreeMap<&str, f64> {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for w in self.workers.iter().filter(|w| !w.terminated) {
            for task in w.live_tasks() {
                let spec = &self.jobs[split_task_name(task).0].spec;
                *used.entry(&spec.team).or_default() += spec.cpus;
            }
        }
        used
    }

    /// Checks that no job waits for longer than `MAX_WAIT_S` while its team is within its quota and
    /// suitable machines have free resources. Only valid once all faults are over.
    pub(crate) fn check_no_starvation(&mut self) {
        let startable: Vec<String> = self
            .jobs
            .keys()
            .filter(|id| self.can_start(id))
            .cloned()
            .collect();
        let now = self.now;
        self.startable_since.retain(|id, _| startable.contains(id));
        for id in startable {
            let since = *self.startable_since.entry(id.clone()).or_insert(now);
            assert!(now - since <= MAX_WAIT_S, "starved: {}", self.describe(&id));
        }
    }

    /// Whether the job is open, none of its tasks runs, and the resources to start it are free.
    fn can_start(&self, id: &str) -> bool {
        let job = &self.jobs[id];
        let present = self.workers.iter().filter(|w| !w.terminated);
        let runs = present
            .clone()
            .any(|w| w.live_tasks().any(|t| split_task_name(t).0 == id));
        if job.reported_state.is_some()
            || job.is_complete()
            || runs
            || self.is_cancelled_by_user(id)
        {
            return false;
        }
        let spec = &job.spec;
        let tasks = if job.is_gang() { spec.tasks } else { 1 };
        let used = self
            .cpus_in_use_by_team()
            .get(&*spec.team)
            .copied()
            .unwrap_or(0.0);
        let limit = self
            .settings
            .team(&spec.team)
            .expect("a known team")
            .cpus_max;
        if used + f64::from(tasks) * spec.cpus > limit {
            return false;
        }
        let mut free: BTreeMap<&str, u32> = BTreeMap::new();
        for w in present.filter(|w| allows(spec, w)) {
            *free.entry(w.zone).or_default() += CPUS as u32 - w.live_tasks().count() as u32;
        }
        let max_in_zone = if spec.spread {
            spec.tasks.div_ceil(2)
        } else {
            tasks
        };
        let slots = free.values().map(|n| *n.min(&max_in_zone));
        let free_slots: u32 = if spec.one_zone {
            slots.max().unwrap_or(0)
        } else {
            slots.sum()
        };
        free_slots >= tasks
    }

    /// Checks that no task on the machine at `until` has exceeded its cancellation deadline.
    pub(crate) fn check_cancelled_tasks_stopped(&self, w: &Worker, until: f64) {
        for task in w.live_tasks() {
            self.check_cancelled(task, &self.jobs[split_task_name(task).0], until);
        }
    }

    /// Checks that a task of a cancelled job stops within `cancel_s`.
    fn check_cancelled(&self, task: &str, job: &Job, at: f64) {
        let limit = self.settings.cluster.workers.cancel_s;
        let excess_s = job.cancelled_at.map_or(0.0, |t| at - t - limit);
        assert!(
            excess_s <= 0.0,
            "ran_cancelled: {task} exceeds the cancellation deadline by {excess_s} s"
        );
    }

    /// Checks a job's final state that a controller reports to a user.
    pub(crate) fn check_reported_final_state(&mut self, id: &JobId, state: JobState) {
        let job = self.jobs.get_mut(&**id).expect("an accepted job");
        let before = job.reported_state.replace(state);
        assert!(before.is_none_or(|b| b == state), "went_back: {id}");
        match state {
            JobState::Done => assert!(self.is_complete(id), "not_done: {id}"),
            _ => assert!(self.is_cancelled_by_user(id), "cancelled by no user: {id}"),
        }
        let recorded = &self
            .store
            .get(&final_state_key(id))
            .expect("a recorded final state")
            .value;
        assert_eq!(
            recorded["state"],
            json!(state),
            "reported before recorded: {id}"
        );
    }
}

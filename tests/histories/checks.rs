//! The rules of the protocol, checked whenever a task starts, time passes or a job's end is told.

use super::job::{split, Job};
use super::worker::{Worker, CPUS};
use super::world::World;
use serde_json::json;
use stairstage::coordination::state::JobId;
use stairstage::protocol::job::{JobSpec, JobState};
use stairstage::storage::records::final_state_key;
use std::collections::BTreeMap;

/// Seconds that a job may be left waiting though it could run, once all faults are over.
const LONGEST_WAIT_S: f64 = 90.0;

/// Whether a description lets its tasks use a machine, by its type, zone and kind.
fn allows(spec: &JobSpec, w: &Worker) -> bool {
    let kind = spec.types.iter().all(|t| t.iter().any(|t| t == w.kind));
    let zone = spec.zone.iter().all(|z| z == w.zone);
    kind && zone && (spec.spot || !w.spot)
}

impl World {
    /// Checks the starts of tasks on a worker, which are there already.
    pub(crate) fn check_starts(&self, worker: usize, tasks: &[String]) {
        for task in tasks {
            self.check_start(worker, task);
        }
        self.check_quota();
    }

    /// A task runs once, after what it waits for, while it is not cancelled, and where it may.
    fn check_start(&self, worker: usize, task: &str) {
        let present = self.workers.iter().enumerate();
        let elsewhere = present
            .filter(|(i, w)| *i != worker && !w.gone)
            .find(|(_, w)| w.live().any(|t| *t == task));
        if let Some((other, _)) = elsewhere {
            panic!("ran_twice: {task} starts on {worker}, and is on {other}");
        }
        let (id, _) = split(task);
        let job = &self.jobs[id];
        for needed in &job.spec.waits_on {
            assert!(self.is_complete(needed), "too_early: {task}");
            let end = &self
                .store
                .item(&final_state_key(needed))
                .expect("recorded")
                .value;
            assert_eq!(end["state"], "done", "{task} starts after {needed}");
        }
        self.check_cancelled(task, job, self.now);
        self.check_place(&self.workers[worker], task, job);
    }

    /// Type, zone and kind of the machine, and the zones of the job's other tasks at this moment.
    fn check_place(&self, w: &Worker, task: &str, job: &Job) {
        let spec = &job.spec;
        assert!(
            allows(spec, w),
            "wrong_place: {task} on {} in {}, spot: {}",
            w.kind,
            w.zone,
            w.spot
        );
        let mut in_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for other in self.workers.iter().filter(|w| !w.gone) {
            let of_job = other.live().filter(|t| split(t).0 == spec.id).count();
            if of_job > 0 {
                *in_zone.entry(other.zone).or_default() += of_job as u32;
            }
        }
        assert!(
            !spec.one_zone || in_zone.len() == 1,
            "wrong_place: {task} of a job in one zone, which is in {in_zone:?}"
        );
        let most = spec.tasks.div_ceil(2);
        assert!(
            !spec.spread || in_zone[w.zone] <= most,
            "wrong_place: {task} of a spread job of {}, which is in {in_zone:?}",
            spec.tasks
        );
    }

    /// What is on a machine counts, whether the machine hangs, is cut off or is heard.
    fn check_quota(&self) {
        for (team, cpus) in self.team_use() {
            let most = self.settings.team(team).expect("a known team").cpus_max;
            assert!(cpus <= most, "quota: {team} has {cpus} CPUs in use");
        }
    }

    /// Processors that each team has in use.
    fn team_use(&self) -> BTreeMap<&str, f64> {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for w in self.workers.iter().filter(|w| !w.gone) {
            for task in w.live() {
                let spec = &self.jobs[split(task).0].spec;
                *used.entry(&spec.team).or_default() += spec.cpus;
            }
        }
        used
    }

    /// Once all faults are over, no job is left waiting for long while its team is under its limit
    /// and machines that fit have room.
    pub(crate) fn check_nothing_left_waiting(&mut self) {
        let able: Vec<String> = self
            .jobs
            .keys()
            .filter(|id| self.could_run(id))
            .cloned()
            .collect();
        let now = self.now;
        self.could_run_since.retain(|id, _| able.contains(id));
        for id in able {
            let since = *self.could_run_since.entry(id.clone()).or_insert(now);
            assert!(
                now - since <= LONGEST_WAIT_S,
                "left waiting: {}",
                self.describe(&id)
            );
        }
    }

    /// Whether no task of an open job is on a machine, though it could begin.
    fn could_run(&self, id: &str) -> bool {
        let job = &self.jobs[id];
        let there = self.workers.iter().filter(|w| !w.gone);
        let runs = there.clone().any(|w| w.live().any(|t| split(t).0 == id));
        if job.told.is_some() || job.is_complete() || runs || self.is_cancelled_by_user(id) {
            return false;
        }
        let spec = &job.spec;
        let tasks = if job.is_gang() { spec.tasks } else { 1 };
        let used = self.team_use().get(&*spec.team).copied().unwrap_or(0.0);
        let most = self
            .settings
            .team(&spec.team)
            .expect("a known team")
            .cpus_max;
        if used + f64::from(tasks) * spec.cpus > most {
            return false;
        }
        let mut free: BTreeMap<&str, u32> = BTreeMap::new();
        for w in there.filter(|w| allows(spec, w)) {
            *free.entry(w.zone).or_default() += CPUS as u32 - w.live().count() as u32;
        }
        let most_in_zone = if spec.spread {
            spec.tasks.div_ceil(2)
        } else {
            tasks
        };
        let slots = free.values().map(|n| *n.min(&most_in_zone));
        let room: u32 = if spec.one_zone {
            slots.max().unwrap_or(0)
        } else {
            slots.sum()
        };
        room >= tasks
    }

    /// No task of a cancelled job is left on the machine at `until`, if that is too late.
    pub(crate) fn check_cancelled_tasks_stopped(&self, w: &Worker, until: f64) {
        for task in w.live() {
            self.check_cancelled(task, &self.jobs[split(task).0], until);
        }
    }

    /// A task of a cancelled job is gone within the time that the operators set.
    fn check_cancelled(&self, task: &str, job: &Job, at: f64) {
        let limit = self.settings.cluster.workers.cancel_s;
        let late = job.cancelled_at.map_or(0.0, |t| at - t - limit);
        assert!(late <= 0.0, "ran_cancelled: {task}, {late} s too late");
    }

    /// A user is told how a job ended.
    pub(crate) fn check_told_end(&mut self, id: &JobId, state: JobState) {
        let job = self.jobs.get_mut(&**id).expect("an accepted job");
        let before = job.told.replace(state);
        assert!(before.is_none_or(|b| b == state), "went_back: {id}");
        match state {
            JobState::Done => assert!(self.is_complete(id), "not_done: {id}"),
            _ => assert!(self.is_cancelled_by_user(id), "nobody has cancelled {id}"),
        }
        let recorded = &self
            .store
            .item(&final_state_key(id))
            .expect("recorded")
            .value;
        assert_eq!(recorded["state"], json!(state), "{id} is told first");
    }
}

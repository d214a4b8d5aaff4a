//! The rules of the protocol, checked whenever a task starts, time passes or a job's end is told.

use super::job::{split, Job};
use super::worker::Worker;
use super::world::World;
use serde_json::json;
use stairstage::bookkeeping::records::*;
use stairstage::coordination::state::Name;
use stairstage::protocol::job::JobState;
use std::collections::BTreeMap;

impl World {
    /// Checks the starts of tasks on a worker, which are there already.
    pub fn check_starts(&self, worker: usize, tasks: &[String]) {
        for task in tasks {
            self.check_start(worker, task);
        }
        self.check_quota();
    }

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
            let end = &self.store.item(&end_key(needed)).expect("recorded").value;
            assert_eq!(end["state"], "done", "{task} starts after {needed}");
        }
        self.check_cancelled(task, job, self.now);
        self.check_place(&self.workers[worker], task, job);
    }

    /// Type, zone and kind of the machine, and the zones of the job's other tasks at this moment.
    fn check_place(&self, w: &Worker, task: &str, job: &Job) {
        let spec = &job.spec;
        let kind_allowed = spec.types.iter().all(|t| t.iter().any(|t| t == w.kind));
        assert!(kind_allowed, "wrong_place: {task} on type {}", w.kind);
        let zone_allowed = spec.zone.iter().all(|z| z == w.zone);
        assert!(zone_allowed, "wrong_place: {task} in zone {}", w.zone);
        assert!(
            spec.spot || !w.spot,
            "wrong_place: {task} on a spot machine"
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
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for w in self.workers.iter().filter(|w| !w.gone) {
            for task in w.live() {
                let spec = &self.jobs[split(task).0].spec;
                *used.entry(&spec.team).or_default() += spec.cpus;
            }
        }
        for (team, cpus) in used {
            let most = self.settings.team(team).expect("a known team").cpus_max;
            assert!(cpus <= most, "quota: {team} has {cpus} CPUs in use");
        }
    }

    /// No task of a cancelled job is left on the machine at `until`, if that is too late.
    pub fn check_rest_of_cancelled(&self, w: &Worker, until: f64) {
        for task in w.live() {
            self.check_cancelled(task, &self.jobs[split(task).0], until);
        }
    }

    fn check_cancelled(&self, task: &str, job: &Job, at: f64) {
        let limit = self.settings.cluster.workers.cancel_s;
        let late = job.cancelled_at.map_or(0.0, |t| at - t - limit);
        assert!(late <= 0.0, "ran_cancelled: {task}, {late} s too late");
    }

    /// A user is told how a job ended.
    pub fn told(&mut self, id: &Name, state: JobState) {
        let job = self.jobs.get_mut(&**id).expect("an accepted job");
        let before = job.told.replace(state);
        assert!(before.is_none_or(|b| b == state), "went_back: {id}");
        match state {
            JobState::Done => assert!(self.is_complete(id), "not_done: {id}"),
            _ => assert!(self.is_taken_back(id), "nobody has cancelled {id}"),
        }
        let recorded = &self.store.item(&end_key(id)).expect("recorded").value;
        assert_eq!(recorded["state"], json!(state), "{id} is told first");
    }
}

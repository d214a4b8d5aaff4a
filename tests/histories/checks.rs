//! The rules of the protocol, checked whenever a task starts or a job's end is told.

use super::world::World;
use serde_json::json;
use stairstage::bookkeeping::records::*;
use stairstage::coordination::state::Name;
use stairstage::protocol::job::JobState;

impl World {
    pub fn started(&self, worker: usize, tasks: Vec<String>) {
        for task in tasks {
            let elsewhere = self
                .workers
                .iter()
                .enumerate()
                .find(|(i, w)| *i != worker && !w.gone && w.live().any(|t| *t == task));
            assert!(elsewhere.is_none(), "ran_twice: {task} starts on {worker}");
            let (job, _) = task.rsplit_once('/').unwrap();
            for needed in &self.waits_on[job] {
                assert!(self.is_complete(needed), "too_early: {task}");
                let end = &self.store.item(&end_key(needed)).expect("recorded").value;
                assert_eq!(end["state"], "done", "{task} starts after {needed}");
            }
            if let Some(at) = self.cancelled.get(job) {
                let limit = self.settings.cluster.workers.cancel_s;
                assert!(self.now - at <= limit, "ran_cancelled: {task}");
            }
        }
        let cpus: usize = self
            .workers
            .iter()
            .filter(|w| !w.gone)
            .map(|w| w.live().count())
            .sum();
        assert!(cpus <= 10, "quota: {cpus} CPUs in use");
    }

    /// A user is told how a job ended.
    pub fn told(&mut self, id: &Name, state: JobState) {
        let before = self.ended.insert(id.to_string(), state);
        assert!(before.is_none_or(|b| b == state), "went_back: {id}");
        match state {
            JobState::Done => assert!(self.is_complete(id), "not_done: {id}"),
            _ => assert!(self.is_taken_back(id), "nobody has cancelled {id}"),
        }
        let recorded = &self.store.item(&end_key(id)).expect("recorded").value;
        assert_eq!(recorded["state"], json!(state), "{id} is told first");
    }
}

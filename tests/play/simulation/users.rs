//! Users: what they submit, cancel and wait for.

use super::{Simulation, STEP_S};
use crate::common::parsed;
use crate::worker::Worker;
use crate::workload::JobPlan;
use stairstage::protocol::job::{parse_task, JobState};
use stairstage::protocol::store::Transaction;
use stairstage::storage::records::{final_state_key, open_key, FinalStateRecord, OpenRecord};
use std::collections::{BTreeMap, BTreeSet};

/// What became of a job.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub plan: JobPlan,
    pub arrived: f64,
    pub began: Option<f64>,
    pub done: Option<f64>,
    pub cancelled: Option<f64>,
    /// Since the last fault: how long it has waited with room, and gone without an answer.
    waits_s: f64,
    silence_s: f64,
    pub longest_wait_s: f64,
    pub longest_silence_s: f64,
}

impl Outcome {
    /// Whether it is neither done nor cancelled.
    fn is_open(&self) -> bool {
        self.done.is_none() && self.cancelled.is_none()
    }
}

impl Simulation {
    /// Users submit; what the state service does not take now is tried again.
    pub(super) fn submit_due(&mut self) {
        while let Some(plan) = self.plans.get(self.next_plan).cloned() {
            if plan.at_s > self.now || self.state.refuses || !self.state.allows(1, self.now) {
                return;
            }
            let id = format!("req-{}", self.next_plan);
            self.next_plan += 1;
            let record = OpenRecord::accepted(parsed(&plan.body(&id)), self.wall_ms());
            let txn = Transaction::default()
                .absent(open_key(&id))
                .absent(final_state_key(&id))
                .put(open_key(&id), serde_json::to_value(&record).unwrap());
            let version = self.store.commit(&txn).expect("a new job");
            let (wall_ms, now) = (self.wall_ms(), self.now);
            if let Some(manager) = &mut self.leader {
                manager.job_accepted(record, version, wall_ms, now);
            }
            let outcome = Outcome {
                arrived: plan.at_s,
                plan,
                began: None,
                done: None,
                cancelled: None,
                waits_s: 0.0,
                silence_s: 0.0,
                longest_wait_s: 0.0,
                longest_silence_s: 0.0,
            };
            self.outcomes.insert(id, outcome);
        }
    }

    /// Users cancel the jobs whose time has come.
    pub(super) fn cancel_due(&mut self) {
        if self.state.refuses {
            return;
        }
        let now = self.now;
        let due = |o: &Outcome| {
            let after_s = o.plan.cancel_after_s;
            o.is_open() && after_s.is_some_and(|s| o.arrived + s <= now)
        };
        let outcomes = self.outcomes.iter();
        let ids: Vec<String> = outcomes
            .filter(|(_, o)| due(o))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.cancel(&id);
        }
    }

    /// A user cancels a job, unless it has ended or the state service has no changes left.
    pub(crate) fn cancel(&mut self, id: &str) {
        let Some(item) = self.store.item(&open_key(id)) else {
            return;
        };
        if !self.state.allows(2, self.now) {
            return;
        }
        let mut record: OpenRecord = serde_json::from_value(item.value).unwrap();
        record.cancelled = true;
        let end = FinalStateRecord {
            state: JobState::Cancelled,
            at_ms: None,
        };
        let txn = Transaction::default()
            .absent(final_state_key(id))
            .version(open_key(id), item.version)
            .put(final_state_key(id), serde_json::to_value(end).unwrap())
            .put(open_key(id), serde_json::to_value(&record).unwrap());
        if self.store.commit(&txn).is_err() {
            return;
        }
        self.outcomes.get_mut(id).unwrap().cancelled = Some(self.now);
        if let Some(manager) = &mut self.leader {
            manager.cancel(id, self.now);
        }
    }

    /// Users are told of the ends that are on record.
    pub(super) fn note_ends(&mut self) {
        for (id, outcome) in self.outcomes.iter_mut().filter(|(_, o)| o.is_open()) {
            let Some((end, _)) = self.store.values.get(&final_state_key(id)) else {
                continue;
            };
            assert_eq!(end["state"], "done", "{id}: nobody has cancelled it");
            outcome.done = Some(self.now);
        }
    }

    /// Counts how long jobs wait though there is room, and how long nobody can say how they are.
    pub(super) fn watch_users(&mut self) {
        let waiting = self.waiting_with_room();
        for (id, outcome) in &mut self.outcomes {
            let ended = self.store.values.contains_key(&final_state_key(id));
            let known = self.leader.as_ref().is_none_or(|c| c.status(id).is_some());
            let answered = ended || known;
            outcome.silence_s = if answered {
                0.0
            } else {
                outcome.silence_s + STEP_S
            };
            outcome.waits_s = if waiting.contains(id) {
                outcome.waits_s + STEP_S
            } else {
                0.0
            };
            outcome.longest_wait_s = outcome.longest_wait_s.max(outcome.waits_s);
            outcome.longest_silence_s = outcome.longest_silence_s.max(outcome.silence_s);
        }
    }

    /// Open jobs of which nothing runs, though a task of them fits and their team is under its limit.
    pub(super) fn waiting_with_room(&self) -> BTreeSet<String> {
        let team_use = self.team_use();
        let tasks = self.workers.values().flat_map(Worker::live);
        let running: BTreeSet<&str> = tasks
            .map(|(attempt, _)| parse_task(&attempt.task).unwrap().0)
            .collect();
        let waits = |(id, o): &(&String, &Outcome)| {
            let tasks = if o.plan.is_gang() { o.plan.tasks } else { 1 };
            let used = team_use.get(o.plan.team).copied().unwrap_or(0.0);
            let more = f64::from(tasks) * o.plan.cpus;
            o.is_open()
                && !running.contains(id.as_str())
                && used + more <= self.limit(o.plan.team)
                && self.has_room(&o.plan, tasks)
        };
        let open = self.outcomes.iter().filter(waits);
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Whether machines have room for so many tasks of a job.
    pub(super) fn has_room(&self, plan: &JobPlan, tasks: u32) -> bool {
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            let fits = plan.zone.is_none_or(|z| z == worker.zone);
            if fits && worker.is_reachable(self.now) && !worker.faulty {
                let free = (worker.free_cpus() / plan.cpus) as u32;
                *slots.entry(&worker.zone).or_default() += free;
            }
        }
        let most_in_zone = if plan.spread {
            plan.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        let usable = slots.values().map(|n| *n.min(&most_in_zone));
        if plan.same_zone {
            usable.max().unwrap_or(0) >= tasks
        } else {
            usable.sum::<u32>() >= tasks
        }
    }
}

//! Users, who submit and cancel jobs and wait for their results.

use super::{Simulation, STEP_S};
use crate::common::parse_submission;
use crate::worker::Worker;
use crate::workload::JobPlan;
use stairstage::protocol::job::{parse_task, JobState};
use stairstage::protocol::store::Transaction;
use stairstage::storage::records::{final_state_key, open_key, FinalStateRecord, OpenRecord};
use std::collections::{BTreeMap, BTreeSet};

/// The history of a job.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub plan: JobPlan,
    pub arrived: f64,
    pub began: Option<f64>,
    pub done: Option<f64>,
    pub cancelled: Option<f64>,
    /// How long the job has waited by now while its tasks fit, counted after the last fault.
    waiting_s: f64,
    /// How long the status of the job has been unknown by now, counted after the last fault.
    unknown_s: f64,
    pub longest_wait_s: f64,
    pub longest_unknown_s: f64,
}

impl Outcome {
    /// Whether the job is neither done nor cancelled.
    fn is_open(&self) -> bool {
        self.done.is_none() && self.cancelled.is_none()
    }
}

impl Simulation {
    /// Submits the jobs that are due. A job that the state service rejects is submitted again in the next
    /// step.
    pub(super) fn submit_due(&mut self) {
        while let Some(plan) = self.plans.get(self.next_plan).cloned() {
            if plan.at_s > self.now
                || self.state.unavailable
                || !self.state.try_acquire(1, self.now)
            {
                return;
            }
            let id = format!("req-{}", self.next_plan);
            self.next_plan += 1;
            let record = OpenRecord::accepted(parse_submission(&plan.body(&id)), self.wall_ms());
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
                waiting_s: 0.0,
                unknown_s: 0.0,
                longest_wait_s: 0.0,
                longest_unknown_s: 0.0,
            };
            self.outcomes.insert(id, outcome);
        }
    }

    /// Cancels the jobs whose cancellation is due.
    pub(super) fn cancel_due(&mut self) {
        if self.state.unavailable {
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

    /// Cancels a job, unless it has finished or the rate limit of the state service is reached.
    pub(crate) fn cancel(&mut self, id: &str) {
        let Some(item) = self.store.get(&open_key(id)) else {
            return;
        };
        if !self.state.try_acquire(2, self.now) {
            return;
        }
        let mut record: OpenRecord = serde_json::from_value(item.value).unwrap();
        record.cancelled = true;
        let final_state = FinalStateRecord {
            state: JobState::Cancelled,
            at_ms: None,
        };
        let txn = Transaction::default()
            .absent(final_state_key(id))
            .version(open_key(id), item.version)
            .put(
                final_state_key(id),
                serde_json::to_value(final_state).unwrap(),
            )
            .put(open_key(id), serde_json::to_value(&record).unwrap());
        if self.store.commit(&txn).is_err() {
            return;
        }
        self.outcomes.get_mut(id).unwrap().cancelled = Some(self.now);
        if let Some(manager) = &mut self.leader {
            manager.cancel(id, self.now);
        }
    }

    /// Notes which jobs have a final state on record.
    pub(super) fn read_final_states(&mut self) {
        for (id, outcome) in self.outcomes.iter_mut().filter(|(_, o)| o.is_open()) {
            let Some((final_state, _)) = self.store.values.get(&final_state_key(id)) else {
                continue;
            };
            assert_eq!(
                final_state["state"], "done",
                "{id}: nobody has cancelled the job"
            );
            outcome.done = Some(self.now);
        }
    }

    /// Measures how long jobs wait while their tasks fit, and for how long their status is unknown.
    pub(super) fn measure_waits(&mut self) {
        let waiting = self.waiting_despite_capacity();
        for (id, outcome) in &mut self.outcomes {
            let finished = self.store.values.contains_key(&final_state_key(id));
            let leader_knows = self.leader.as_ref().is_none_or(|c| c.status(id).is_some());
            let is_status_known = finished || leader_knows;
            outcome.unknown_s = if is_status_known {
                0.0
            } else {
                outcome.unknown_s + STEP_S
            };
            outcome.waiting_s = if waiting.contains(id) {
                outcome.waiting_s + STEP_S
            } else {
                0.0
            };
            outcome.longest_wait_s = outcome.longest_wait_s.max(outcome.waiting_s);
            outcome.longest_unknown_s = outcome.longest_unknown_s.max(outcome.unknown_s);
        }
    }

    /// Open jobs without a running task although a task, or the whole gang, fits and their team is under its
    /// limit.
    pub(super) fn waiting_despite_capacity(&self) -> BTreeSet<String> {
        let team_use = self.team_use();
        let tasks = self.workers.values().flat_map(Worker::live);
        let running: BTreeSet<&str> = tasks
            .map(|(attempt, _)| parse_task(&attempt.task).unwrap().0)
            .collect();
        let is_waiting = |(id, o): &(&String, &Outcome)| {
            let tasks = if o.plan.is_gang() { o.plan.tasks } else { 1 };
            let used = team_use.get(o.plan.team).copied().unwrap_or(0.0);
            let more = f64::from(tasks) * o.plan.cpus;
            o.is_open()
                && !running.contains(id.as_str())
                && used + more <= self.limit(o.plan.team)
                && self.fits_on_machines(&o.plan, tasks)
        };
        let open = self.outcomes.iter().filter(is_waiting);
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Whether the free resources suffice for this many tasks of a job.
    pub(super) fn fits_on_machines(&self, plan: &JobPlan, tasks: u32) -> bool {
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            let fits = plan.zone.is_none_or(|z| z == worker.zone);
            if fits && worker.is_reachable(self.now) && !worker.faulty {
                let free = (worker.free_cpus() / plan.cpus) as u32;
                *slots.entry(&worker.zone).or_default() += free;
            }
        }
        let max_per_zone = if plan.spread {
            plan.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        let usable = slots.values().map(|n| *n.min(&max_per_zone));
        if plan.same_zone {
            usable.max().unwrap_or(0) >= tasks
        } else {
            usable.sum::<u32>() >= tasks
        }
    }
}

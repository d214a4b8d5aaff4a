//! The rules that are checked at the end of a run.

use crate::simulation::{Outcome, Simulation};
use crate::workload::JobPlan;
use std::collections::BTreeMap;

/// The largest jobs of a class start within this time.
pub(crate) const MAX_START_DELAY_OF_LARGEST_S: f64 = 240.0;
/// No job waits for this long while its tasks fit the free resources and its team is under its limit.
pub(crate) const MAX_WAIT_WITH_CAPACITY_S: f64 = 90.0;
/// The status of no job is unknown for this long.
pub(crate) const MAX_STATUS_UNKNOWN_S: f64 = 75.0;
/// A job is among the largest of its class if it requests at least this share of the CPUs of the largest one.
const LARGE_SHARE: f64 = 0.75;

/// The most violations that a failing test prints.
const MAX_REPORTED: usize = 5;

/// How many jobs of a group were done, of all in the group.
#[derive(Default)]
struct Served {
    all: usize,
    served: usize,
}

impl Served {
    /// Counts a job.
    fn count(&mut self, served: bool) {
        self.all += 1;
        self.served += usize::from(served);
    }
}

/// Calls `run` with each seed below `seeds` and asserts that no run violates a rule.
pub(crate) fn check_runs(seeds: u64, run: impl Fn(u64) -> Simulation) {
    for seed in 0..seeds {
        let violated = violated_rules(&run(seed));
        let first: Vec<&String> = violated.iter().take(MAX_REPORTED).collect();
        assert!(
            violated.is_empty(),
            "seed {seed}: {} violations: {first:#?}",
            violated.len()
        );
    }
}

/// The longest time from submission to start among the selected jobs.
pub(crate) fn longest_start_delay_s(sim: &Simulation, of: impl Fn(&JobPlan) -> bool) -> f64 {
    let outcomes = sim.outcomes.values().filter(|o| of(&o.plan));
    let delays = outcomes.map(|o| o.began.map_or(f64::INFINITY, |t| t - o.arrived));
    delays.fold(0.0, f64::max)
}

/// A description of each violation in a finished run.
pub(crate) fn violated_rules(sim: &Simulation) -> Vec<String> {
    let mut violated = unserved_jobs(sim);
    for (id, outcome) in &sim.outcomes {
        if outcome.longest_wait_s >= MAX_WAIT_WITH_CAPACITY_S {
            let wait_s = outcome.longest_wait_s;
            violated.push(format!(
                "{id} waited {wait_s} s while its tasks fit: {outcome:?}"
            ));
        }
        if outcome.longest_unknown_s >= MAX_STATUS_UNKNOWN_S {
            let unknown_s = outcome.longest_unknown_s;
            violated.push(format!("{id} has had no known status for {unknown_s} s"));
        }
    }
    violated
}

/// The jobs that their users never cancel; only these must be served.
fn not_cancelled(sim: &Simulation) -> impl Iterator<Item = (&String, &Outcome)> {
    let outcomes = sim.outcomes.iter();
    outcomes.filter(|(_, o)| o.plan.cancel_after_s.is_none())
}

/// Describes large jobs that started too late, and groups of which less than half was done.
fn unserved_jobs(sim: &Simulation) -> Vec<String> {
    let mut largest: BTreeMap<&str, f64> = BTreeMap::new();
    for (_, outcome) in not_cancelled(sim) {
        let total_cpus = largest.entry(outcome.plan.class).or_default();
        *total_cpus = total_cpus.max(outcome.plan.total_cpus());
    }
    let mut violated = Vec::new();
    let mut groups: BTreeMap<String, Served> = BTreeMap::new();
    for (id, outcome) in not_cancelled(sim) {
        let plan = &outcome.plan;
        let served = outcome.done.is_some();
        let mut count = |group: String| groups.entry(group).or_default().count(served);
        count(format!("class {}", plan.class));
        count(format!("team {}", plan.team));
        if plan.total_cpus() < LARGE_SHARE * largest[plan.class] {
            continue;
        }
        count(format!("largest of {}", plan.class));
        let began = outcome.began.map(|t| t - outcome.arrived);
        if began.is_none_or(|s| s > MAX_START_DELAY_OF_LARGEST_S) {
            violated.push(format!("largest job {id} started after {began:?} s"));
        }
    }
    for (group, Served { all, served }) in groups {
        if 2 * served < all {
            violated.push(format!("{group}: {served} of {all} served"));
        }
    }
    violated
}

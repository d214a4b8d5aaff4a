//! What is checked at the end of a day.

use crate::simulation::{Outcome, Simulation};
use crate::workload::JobPlan;
use std::collections::BTreeMap;

/// The largest jobs of a class begin within this time.
pub(crate) const LARGEST_BEGIN_WITHIN_S: f64 = 240.0;
/// No job waits for this long while a machine that fits has room and its team is under its limit.
pub(crate) const WAITS_WITH_ROOM_S: f64 = 90.0;
/// No job goes for this long without an answer to a question about it.
pub(crate) const ANSWERED_WITHIN_S: f64 = 75.0;
/// A job counts among the largest of its class from this share of the largest one's size on.
const LARGE_SHARE: f64 = 0.75;

/// Broken rules that a failing test prints.
const REPORTED: usize = 5;

/// Of those that waited, how many were served in time.
#[derive(Default)]
struct Served {
    all: usize,
    served: usize,
}

impl Served {
    /// Counts one that was served, or not.
    fn count(&mut self, served: bool) {
        self.all += 1;
        self.served += usize::from(served);
    }
}

/// Plays a day for each of so many seeds; none of them breaks a rule.
pub(crate) fn check_days(seeds: u64, day: impl Fn(u64) -> Simulation) {
    for seed in 0..seeds {
        let broken = broken_rules(&day(seed));
        let first: Vec<&String> = broken.iter().take(REPORTED).collect();
        assert!(
            broken.is_empty(),
            "seed {seed}: {} broken rules: {first:#?}",
            broken.len()
        );
    }
}

/// How long the slowest of these jobs took to begin.
pub(crate) fn longest_delay_s(simulation: &Simulation, of: impl Fn(&JobPlan) -> bool) -> f64 {
    let outcomes = simulation.outcomes.values().filter(|o| of(&o.plan));
    let delays = outcomes.map(|o| o.began.map_or(f64::INFINITY, |t| t - o.arrived));
    delays.fold(0.0, f64::max)
}

/// Every rule that the simulated day has broken.
pub(crate) fn broken_rules(simulation: &Simulation) -> Vec<String> {
    let mut broken = unserved(simulation);
    for (id, outcome) in &simulation.outcomes {
        if outcome.longest_wait_s >= WAITS_WITH_ROOM_S {
            let wait_s = outcome.longest_wait_s;
            broken.push(format!("{id} waited {wait_s} s with room: {outcome:?}"));
        }
        if outcome.longest_silence_s >= ANSWERED_WITHIN_S {
            let silence_s = outcome.longest_silence_s;
            broken.push(format!("{id} got no answer for {silence_s} s"));
        }
    }
    broken
}

/// Jobs that count: those whose users wanted them to the end.
fn wanted(simulation: &Simulation) -> impl Iterator<Item = (&String, &Outcome)> {
    let outcomes = simulation.outcomes.iter();
    outcomes.filter(|(_, o)| o.plan.cancel_after_s.is_none())
}

/// What was not served: large jobs that began too late, and groups of which less than half was
/// done.
fn unserved(simulation: &Simulation) -> Vec<String> {
    let mut largest: BTreeMap<&str, f64> = BTreeMap::new();
    for (_, outcome) in wanted(simulation) {
        let size = largest.entry(outcome.plan.class).or_default();
        *size = size.max(outcome.plan.size());
    }
    let mut broken = Vec::new();
    let mut groups: BTreeMap<String, Served> = BTreeMap::new();
    for (id, outcome) in wanted(simulation) {
        let plan = &outcome.plan;
        let served = outcome.done.is_some();
        let mut count = |group: String| groups.entry(group).or_default().count(served);
        count(format!("class {}", plan.class));
        count(format!("team {}", plan.team));
        if plan.size() < LARGE_SHARE * largest[plan.class] {
            continue;
        }
        count(format!("largest of {}", plan.class));
        let began = outcome.began.map(|t| t - outcome.arrived);
        if began.is_none_or(|s| s > LARGEST_BEGIN_WITHIN_S) {
            broken.push(format!("{id}, of the largest, began after {began:?} s"));
        }
    }
    for (group, Served { all, served }) in groups {
        if 2 * served < all {
            broken.push(format!("{group}: {served} of {all} served"));
        }
    }
    broken
}

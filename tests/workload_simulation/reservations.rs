//! Jobs that wait behind a queue head for which too few resources are free.

use crate::rules::check_runs;
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED_TEAMS};
use crate::workload::{job_stream, JobPlan, Random};

/// Simulated runs per test, one per seed.
const SEEDS: u64 = 12;
/// Machines in each run.
const MACHINES: usize = 4;
/// A reservation keeps a job from free resources for less than this time.
const MAX_WAIT_BEHIND_RESERVATION_S: f64 = 60.0;
/// When machines begin to fail every task that they start.
const FAILURES_BEGIN_S: f64 = 15.0;
/// The range of the time at which the failures end.
const FAILURES_END_S: (f64, f64) = (95.0, 140.0);

/// Runs a simulation in which long tasks leave one CPU free on every machine and exceed their estimates. The
/// queue head waits for whole machines while small jobs keep arriving.
fn run_with_queue_head(seed: u64, head: JobPlan) -> Simulation {
    let mut sim = simulation_with_queue_head(seed, head, (150.0, 190.0));
    sim.run(420.0, |_| {});
    sim
}

/// The same simulation before it runs, with long tasks whose run time is in the given range.
fn simulation_with_queue_head(
    seed: u64,
    head: JobPlan,
    (least_s, most_s): (f64, f64),
) -> Simulation {
    let mut random = Random::new(seed);
    let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::without_capacity());
    sim.add_machines("z", MACHINES);
    let long = JobPlan {
        class: "long",
        tasks: MACHINES as u32,
        cpus: 3.0,
        run_s: random.between(least_s, most_s),
        estimate_factor: random.between(0.3, 0.6),
        ..JobPlan::default()
    };
    let small = JobPlan {
        at_s: 10.0,
        run_s: 20.0,
        estimate_factor: random.between(1.0, 3.0),
        ..JobPlan::default()
    };
    sim.plan(vec![long, head]);
    let mut others = job_stream(&small, 0.1, 10.0, 250.0);
    for gang in others.iter_mut().step_by(3) {
        (gang.kind, gang.class, gang.tasks) = ("group", "small gang", 2);
    }
    sim.plan(others);
    sim
}

#[test]
fn array_waiting_for_overrunning_tasks_does_not_starve_other_jobs() {
    check_runs(SEEDS, |seed| {
        let head = JobPlan {
            class: "wide",
            at_s: 5.0,
            tasks: 8,
            cpus: 4.0,
            run_s: 30.0,
            ..JobPlan::default()
        };
        run_with_queue_head(seed, head)
    });
}

#[test]
fn gang_waiting_for_overrunning_tasks_does_not_starve_other_jobs() {
    check_runs(SEEDS, |seed| {
        let head = JobPlan {
            class: "wide",
            at_s: 5.0,
            kind: "group",
            tasks: 4,
            cpus: 4.0,
            run_s: 30.0,
            ..JobPlan::default()
        };
        run_with_queue_head(seed, head)
    });
}

/// All machines fail the tasks that they start for a while, so that the backoff of the jobs reaches its
/// maximum.
#[test]
fn failure_backoff_does_not_lengthen_waits_behind_a_reservation() {
    check_runs(SEEDS, |seed| {
        let head = JobPlan {
            class: "wide",
            at_s: 105.0,
            priority: "urgent",
            tasks: 8,
            cpus: 4.0,
            run_s: 30.0,
            ..JobPlan::default()
        };
        let mut sim = simulation_with_queue_head(seed, head, (285.0, 295.0));
        let failures_end_s = sim.random.between(FAILURES_END_S.0, FAILURES_END_S.1);
        sim.faults_end_s = failures_end_s;
        sim.run(480.0, |sim| {
            let faulty = (FAILURES_BEGIN_S..failures_end_s).contains(&sim.now);
            sim.workers.values_mut().for_each(|w| w.faulty = faulty);
        });
        for (id, outcome) in &sim.outcomes {
            let wait_s = outcome.longest_wait_s;
            assert!(
                wait_s < MAX_WAIT_BEHIND_RESERVATION_S,
                "seed {seed}: {id} waited {wait_s} s"
            );
        }
        sim
    });
}

//! What waits behind a head of the queue that does not fit.

use crate::rules::check_days;
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED};
use crate::workload::{stream, JobPlan, Random};

/// Days of each test.
const SEEDS: u64 = 12;
/// Machines of each day.
const MACHINES: usize = 4;
/// A reservation withholds a job from room for less than this time.
const YIELDS_WITHIN_S: f64 = 60.0;
/// Machines begin to fail what they start after so long.
const FAILURES_BEGIN_S: f64 = 15.0;
/// Failures end between these seconds of the day.
const FAILURES_END_S: (f64, f64) = (95.0, 140.0);

/// Tasks that leave a little room on every machine, and run for longer than their owner expects;
/// the head of the queue waits for whole machines, and small jobs come all the time.
fn day_behind(seed: u64, head: JobPlan) -> Simulation {
    let mut play = queue_behind(seed, head, (150.0, 190.0));
    play.run(420.0, |_| {});
    play
}

/// The same before it is played, with long tasks that run for so long.
fn queue_behind(seed: u64, head: JobPlan, (least_s, most_s): (f64, f64)) -> Simulation {
    let mut random = Random::new(seed);
    let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::full());
    play.add_machines("z", MACHINES);
    let long = JobPlan {
        class: "long",
        tasks: MACHINES as u32,
        cpus: 3.0,
        run_s: random.between(least_s, most_s),
        estimate: random.between(0.3, 0.6),
        ..JobPlan::default()
    };
    let small = JobPlan {
        at_s: 10.0,
        run_s: 20.0,
        estimate: random.between(1.0, 3.0),
        ..JobPlan::default()
    };
    play.plan(vec![long, head]);
    let mut others = stream(&small, 0.1, 10.0, 250.0);
    for gang in others.iter_mut().step_by(3) {
        (gang.rig, gang.class, gang.tasks) = ("group", "small gang", 2);
    }
    play.plan(others);
    play
}

#[test]
fn an_array_that_waits_for_overrunning_tasks_holds_up_nobody_for_long() {
    check_days(SEEDS, |seed| {
        let head = JobPlan {
            class: "wide",
            at_s: 5.0,
            tasks: 8,
            cpus: 4.0,
            run_s: 30.0,
            ..JobPlan::default()
        };
        day_behind(seed, head)
    });
}

#[test]
fn a_gang_that_waits_for_overrunning_tasks_holds_up_nobody_for_long() {
    check_days(SEEDS, |seed| {
        let head = JobPlan {
            class: "wide",
            at_s: 5.0,
            rig: "group",
            tasks: 4,
            cpus: 4.0,
            run_s: 30.0,
            ..JobPlan::default()
        };
        day_behind(seed, head)
    });
}

/// Machines fail what they start for a while, so that jobs pause for as long as they ever do.
#[test]
fn jobs_that_paused_after_failures_wait_no_longer_behind_a_reservation_than_others() {
    check_days(SEEDS, |seed| {
        let head = JobPlan {
            class: "wide",
            at_s: 105.0,
            priority: "urgent",
            tasks: 8,
            cpus: 4.0,
            run_s: 30.0,
            ..JobPlan::default()
        };
        let mut play = queue_behind(seed, head, (285.0, 295.0));
        let failures_end_s = play.random.between(FAILURES_END_S.0, FAILURES_END_S.1);
        play.calm_from = failures_end_s;
        play.run(480.0, |play| {
            let faulty = (FAILURES_BEGIN_S..failures_end_s).contains(&play.now);
            play.workers.values_mut().for_each(|w| w.faulty = faulty);
        });
        for (id, outcome) in &play.outcomes {
            let wait_s = outcome.longest_wait_s;
            assert!(
                wait_s < YIELDS_WITHIN_S,
                "seed {seed}: {id} waited {wait_s} s"
            );
        }
        play
    });
}

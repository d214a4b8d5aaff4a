//! What waits behind a head of the queue that does not fit.

use crate::rules::check_days;
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED};
use crate::workload::{stream, JobPlan, Random};

const SEEDS: u64 = 12;
const MACHINES: usize = 4;

/// Tasks that leave a little room on every machine, and run for longer than their owner expects;
/// the head of the queue waits for whole machines, and small jobs come all the time.
fn day_behind(seed: u64, head: JobPlan) -> Simulation {
    let mut random = Random::new(seed);
    let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::full());
    play.add_machines("z", MACHINES);
    let long = JobPlan {
        class: "long",
        tasks: MACHINES as u32,
        cpus: 3.0,
        run_s: random.between(150.0, 190.0),
        estimate: random.between(0.3, 0.6),
        ..JobPlan::default()
    };
    let small = JobPlan {
        at_s: 10.0,
        run_s: 20.0,
        estimate: random.between(1.0, 3.0),
        ..JobPlan::default()
    };
    play.plan(vec![long, JobPlan { at_s: 5.0, ..head }]);
    let mut others = stream(&small, 0.1, 10.0, 250.0);
    for gang in others.iter_mut().step_by(3) {
        (gang.rig, gang.class, gang.tasks) = ("group", "small gang", 2);
    }
    play.plan(others);
    play.run(420.0, |_| {});
    play
}

#[test]
fn an_array_that_waits_for_overrunning_tasks_holds_up_nobody_for_long() {
    check_days(SEEDS, |seed| {
        let head = JobPlan {
            class: "wide",
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
            rig: "group",
            tasks: 4,
            cpus: 4.0,
            run_s: 30.0,
            ..JobPlan::default()
        };
        day_behind(seed, head)
    });
}

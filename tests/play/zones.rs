//! Jobs that may use one zone only.

use crate::rules::check_days;
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED};
use crate::workload::{mixed, JobPlan, Random};

const SEEDS: u64 = 12;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Machines in all zones.
fn fleet(seed: u64, cloud: Cloud, in_zone: usize) -> Simulation {
    let mut play = Simulation::new(seed, &UNLIMITED, &ZONES, cloud);
    for zone in ZONES {
        play.add_machines(zone, in_zone);
    }
    play
}

/// A gang that waits first in the queue until its user gives it up; the others go on meanwhile.
fn day_of_a_gang_that_never_fits(seed: u64, gang: JobPlan) -> Simulation {
    let mut random = Random(seed);
    let mut play = fleet(seed, Cloud::full(), 2);
    play.add_machines("c", 2);
    play.plan(mixed(&mut random, 32.0, 0.6, 100.0));
    play.plan(vec![JobPlan {
        at_s: 10.0,
        rig: "group",
        class: "wide",
        priority: "urgent",
        run_s: 20.0,
        cancel_after_s: Some(250.0),
        ..gang
    }]);
    play.run(260.0, |_| {});
    play
}

/// No zone is large enough for it, though all together are.
#[test]
fn a_gang_that_fits_no_zone_holds_up_nobody() {
    check_days(SEEDS, |seed| {
        let gang = JobPlan {
            tasks: 20,
            same_zone: true,
            ..JobPlan::default()
        };
        day_of_a_gang_that_never_fits(seed, gang)
    });
}

/// All tasks find room, but not with at most half of them in one zone.
#[test]
fn a_gang_that_cannot_spread_holds_up_nobody() {
    check_days(SEEDS, |seed| {
        let gang = JobPlan {
            tasks: 8,
            cpus: 2.0,
            zone: Some("c"),
            spread: true,
            ..JobPlan::default()
        };
        day_of_a_gang_that_never_fits(seed, gang)
    });
}

/// It waits for more machines than its zone has free: those of other zones go on.
#[test]
fn a_gang_that_waits_for_its_zone_leaves_other_zones_to_others() {
    check_days(SEEDS, |seed| {
        let mut random = Random(seed);
        let mut play = fleet(seed, Cloud::full(), 2);
        play.plan(vec![
            JobPlan {
                class: "long",
                zone: Some("a"),
                run_s: 200.0,
                estimate: random.between(0.4, 1.0),
                ..JobPlan::default()
            },
            JobPlan {
                at_s: 5.0,
                rig: "group",
                class: "wide",
                tasks: 8,
                zone: Some("a"),
                run_s: 20.0,
                ..JobPlan::default()
            },
        ]);
        let mut others = mixed(&mut random, 24.0, 0.4, 100.0);
        others.iter_mut().for_each(|p| p.at_s += 10.0);
        play.plan(others);
        play.run(300.0, |_| {});
        play
    });
}

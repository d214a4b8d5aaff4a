//! Jobs that may use one zone only.

use crate::rules::{check_days, longest_delay_s};
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED};
use crate::workload::{mixed, JobPlan, Random};

/// Days of each test.
const SEEDS: u64 = 12;
/// Less than it takes until a job goes past a reservation that withholds it.
const SOON_S: f64 = 45.0;
/// The zones of each day.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Machines in all zones.
fn fleet(seed: u64, cloud: Cloud, in_zone: usize) -> Simulation {
    let mut play = Simulation::new(seed, &UNLIMITED, &ZONES, cloud);
    for zone in ZONES {
        play.add_machines(zone, in_zone);
    }
    play
}

/// A third of the jobs, arrays too, are bound to zone `a`.
fn bound(random: &mut Random, cpus: f64, share: f64) -> Vec<JobPlan> {
    let mut plans = mixed(random, cpus, share, 100.0);
    for plan in plans.iter_mut().step_by(3) {
        plan.zone = Some("a");
    }
    plans
}

/// The zone's machines are cut off for good while the rest of the fleet has room.
#[test]
fn jobs_bound_to_a_zone_get_new_machines_there_when_it_loses_its_own() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = fleet(seed, Cloud::with_capacity(8), 5);
        play.plan(bound(&mut random, 24.0, 0.5));
        let lost_at = 20.0 + random.between(0.0, 20.0).floor();
        play.calm_from = 60.0;
        play.run(300.0, |play| {
            if play.now == lost_at {
                let lost = play.workers.values_mut().filter(|w| w.zone == "a");
                lost.for_each(|w| w.partitioned_until = f64::INFINITY);
            }
        });
        play
    });
}

/// What others run there leaves no room for minutes, while other zones have room.
#[test]
fn a_job_bound_to_a_zone_that_others_fill_gets_a_machine_there() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = fleet(seed, Cloud::with_capacity(8), 0);
        play.add_machines("a", 1);
        play.plan(vec![
            JobPlan {
                class: "long",
                tasks: 4,
                run_s: 300.0,
                ..JobPlan::default()
            },
            JobPlan {
                at_s: 15.0,
                zone: Some("a"),
                run_s: random.between(5.0, 20.0),
                ..JobPlan::default()
            },
        ]);
        play.run(350.0, |play| {
            if play.now == 10.0 {
                play.add_machines("b", 4);
            }
        });
        play
    });
}

/// The others' machines stand idle, so that nothing else asks for more.
#[test]
fn an_array_bound_to_an_empty_zone_is_served_while_other_zones_have_room() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = fleet(seed, Cloud::with_capacity(8), 0);
        play.add_machines("b", 4);
        let tasks = 1 + random.below(12) as u32;
        play.plan(vec![JobPlan {
            at_s: 5.0,
            tasks,
            zone: Some("a"),
            run_s: random.between(10.0, 40.0),
            ..JobPlan::default()
        }]);
        play.run(200.0, |_| {});
        play
    });
}

#[test]
fn a_gang_gets_as_many_machines_as_its_tasks_need_at_once() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = fleet(seed, Cloud::with_capacity(8), 1);
        play.plan(vec![JobPlan {
            at_s: 5.0,
            rig: "group",
            class: "gang",
            tasks: 14 + random.below(10) as u32,
            run_s: 30.0,
            same_zone: random.chance(0.5),
            ..JobPlan::default()
        }]);
        play.run(200.0, |_| {});
        play
    });
}

/// The zone that holds the most already has no more machines to rent.
#[test]
fn a_gang_in_one_zone_goes_where_machines_are_to_be_had() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = fleet(seed, Cloud::with_capacity(8), 0);
        play.add_machines("a", 2);
        play.cloud.sold_out = Some("a");
        play.plan(vec![JobPlan {
            rig: "group",
            class: "gang",
            tasks: 10 + random.below(10) as u32,
            same_zone: true,
            run_s: 20.0,
            ..JobPlan::default()
        }]);
        play.run(200.0, |_| {});
        play
    });
}

/// A gang that waits first in the queue until its user gives it up; the others go on meanwhile.
fn day_of_a_gang_that_never_fits(seed: u64, gang: JobPlan) -> Simulation {
    let mut random = Random::new(seed);
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
    let delay_s = longest_delay_s(&play, |p| p.class != "wide");
    assert!(delay_s < SOON_S, "seed {seed}: others waited {delay_s} s");
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
        let mut random = Random::new(seed);
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
        let delay_s = longest_delay_s(&play, |p| p.zone.is_none());
        assert!(delay_s < SOON_S, "seed {seed}: others waited {delay_s} s");
        play
    });
}

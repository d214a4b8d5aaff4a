//! Jobs that were submitted with a mistake, and machines that are faulty.

use crate::rules::check_days;
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED};
use crate::workload::{mixed, stream, JobPlan, Random};

/// Days of each test.
const SEEDS: u64 = 12;

/// Jobs that fail on every machine until their users cancel them.
fn broken(random: &mut Random, until_s: f64) -> Vec<JobPlan> {
    let template = JobPlan {
        class: "broken",
        broken: true,
        run_s: 20.0,
        ..JobPlan::default()
    };
    let mut plans = stream(&template, 0.3, 5.0, until_s);
    for plan in &mut plans {
        plan.tasks = 1 + random.below(4) as u32;
        plan.cancel_after_s = Some(random.between(60.0, 400.0));
    }
    plans
}

/// Idle machines stay, so that those that are missing were taken for faulty.
#[test]
fn jobs_that_fail_everywhere_cost_no_machine_and_hold_up_nobody() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::full());
        let machines = play.add_machines("z", 6);
        play.plan(mixed(&mut random, 24.0, 0.6, 120.0));
        play.plan(broken(&mut random, 120.0));
        play.run(140.0, |_| {});
        let lost = machines.iter().filter(|m| !play.workers.contains_key(*m));
        assert_eq!(lost.count(), 0, "seed {seed}: healthy machines are lost");
        play.run(420.0, |_| {});
        play
    });
}

#[test]
fn a_faulty_machine_holds_up_nobody() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::full());
        let machines = play.add_machines("z", 6);
        let faulty = &machines[random.below(6) as usize];
        play.workers.get_mut(faulty).unwrap().faulty = true;
        play.plan(mixed(&mut random, 20.0, 0.9, 120.0));
        play.run(300.0, |_| {});
        let there = play.workers.contains_key(faulty);
        assert!(!there, "seed {seed}: the faulty machine was never returned");
        play
    });
}

/// Nobody else can prove the machine faulty.
#[test]
fn a_gang_goes_round_the_machine_where_it_failed() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::full());
        let machines = play.add_machines("z", 4);
        let faulty = &machines[random.below(4) as usize];
        play.workers.get_mut(faulty).unwrap().faulty = true;
        play.plan(vec![JobPlan {
            rig: "group",
            class: "gang",
            tasks: 12,
            run_s: 20.0,
            ..JobPlan::default()
        }]);
        play.run(200.0, |_| {});
        play
    });
}

//! Changes of leader that meet other faults.

use crate::rules::check_days;
use crate::services::Cloud;
use crate::simulation::{team, Simulation, UNLIMITED};
use crate::workload::{mixed, JobPlan, Random};

/// Days of each test.
const SEEDS: u64 = 12;

/// Machines of an earlier leader that nothing can be learned about while the cloud takes none back.
#[test]
fn teams_at_their_limit_go_on_after_places_could_not_be_proven_gone() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let teams = [team("t", 0.0, 8.0), team("u", 0.0, 8.0)];
        let mut play = Simulation::new(seed, &teams, &["z"], Cloud::with_capacity(8));
        play.add_machines("z", 6);
        play.peers_promise = random.chance(0.5);
        play.plan(mixed(&mut random, 16.0, 0.9, 120.0));
        let (partition_at, elect_at) = (20.0 + random.between(0.0, 20.0).floor(), 45.0);
        play.calm_from = 110.0;
        play.run(320.0, |play| {
            let now = play.now;
            if now == partition_at {
                let partitioned = play.workers.values_mut().step_by(2);
                partitioned.for_each(|w| w.partitioned_until = 100.0);
                play.cloud.takes_back = false;
            } else if now == partition_at + 2.0 {
                play.depose();
            } else if now == elect_at {
                play.elect();
            } else if now == 100.0 {
                play.cloud.takes_back = true;
            }
        });
        play
    });
}

/// New machines are up within two seconds and get work at once.
#[test]
fn work_on_new_machines_survives_lagging_writes_and_the_end_of_the_leader() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::with_capacity(10));
        play.plan(mixed(&mut random, 24.0, 0.8, 90.0));
        play.state.delay_s = 1.0 + random.between(0.0, 3.0).floor();
        play.state.late = 0.1;
        play.state.unanswered = 0.1;
        let ends: Vec<f64> = (0..4)
            .map(|i| 5.0 + 15.0 * f64::from(i) + random.between(0.0, 8.0).floor())
            .collect();
        play.calm_from = 80.0;
        play.run(260.0, |play| {
            if ends.contains(&play.now) {
                play.depose();
            } else if ends.contains(&(play.now - 3.0)) {
                play.elect();
            } else if play.now == 80.0 {
                (play.state.late, play.state.unanswered) = (0.0, 0.0);
            }
        });
        play
    });
}

#[test]
fn jobs_whose_tasks_end_far_apart_are_done_after_changes_of_leader() {
    check_days(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::with_capacity(10));
        play.add_machines("z", 4);
        let plans = (0..30).map(|i| JobPlan {
            at_s: 2.0 * f64::from(i),
            class: "uneven",
            tasks: 2 + i % 2,
            run_s: random.between(2.0, 6.0),
            later_s: random.between(20.0, 60.0),
            ..JobPlan::default()
        });
        play.plan(plans.collect());
        play.state.unanswered = 0.1;
        play.calm_from = 90.0;
        play.run(280.0, |play| {
            match play.now as u32 {
                n if n < 90 && n % 20 == 10 => play.depose(),
                n if n < 90 && n % 20 == 14 => play.elect(),
                90 => play.state.unanswered = 0.0,
                _ => {}
            };
        });
        play
    });
}

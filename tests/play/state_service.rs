//! A state service that lags, fails or takes few changes.

use crate::rules::check_days;
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED};
use crate::workload::{mixed, stream, JobPlan, Random};

/// More work than there is room for, some of it urgent; and the numbers that it was generated from.
pub(crate) fn urgent_overload(seed: u64) -> (Simulation, Random) {
    let mut random = Random::new(seed);
    let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::full());
    play.add_machines("z", 6);
    let mut plans = mixed(&mut random, 24.0, 1.3, 120.0);
    for plan in &mut plans {
        let urgent = random.chance(0.3);
        plan.priority = if urgent { "urgent" } else { "normal" };
    }
    play.plan(plans);
    (play, random)
}

#[test]
fn urgent_and_other_work_is_served_after_writes_lagged_and_failed() {
    check_days(8, |seed| {
        let (mut play, mut random) = urgent_overload(seed);
        play.state.delay_s = random.between(0.0, 4.0).floor();
        (play.state.late, play.state.unanswered) = (0.15, 0.15);
        play.calm_from = 100.0;
        play.run(300.0, |play| {
            let now = play.now as u32;
            play.state.refuses = now < 100 && now % 30 >= 24;
            if now == 100 {
                (play.state.late, play.state.unanswered) = (0.0, 0.0);
                play.state.delay_s = 0.0;
            }
        });
        play
    });
}

#[test]
fn everybody_is_served_after_changes_were_scarce_for_minutes() {
    check_days(6, |seed| {
        let mut random = Random::new(seed);
        let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::with_capacity(12));
        play.add_machines("z", 6);
        play.plan(mixed(&mut random, 24.0, 0.7, 180.0));
        let urgent = JobPlan {
            class: "urgent",
            priority: "urgent",
            run_s: 5.0,
            ..JobPlan::default()
        };
        play.plan(stream(&urgent, 1.0, 10.0, 180.0));
        play.calm_from = 180.0;
        play.run(360.0, |play| {
            let scarce = (20.0..180.0).contains(&play.now);
            play.state.changes_per_s = if scarce { 5.0 } else { f64::INFINITY };
        });
        play
    });
}

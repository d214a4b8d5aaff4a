//! Floods of small jobs of which many are cancelled.

use crate::rules::check_days;
use crate::services::Cloud;
use crate::simulation::{team, Simulation};
use crate::workload::{stream, JobPlan, Random};

#[test]
fn a_quarter_of_four_jobs_a_second_cancelled_also_at_their_start_holds_up_nobody() {
    check_days(8, |seed| {
        let mut random = Random::new(seed);
        let teams = [team("t", 0.0, 16.0), team("u", 0.0, 16.0)];
        let mut play = Simulation::new(seed, &teams, &["z"], Cloud::with_capacity(12));
        play.add_machines("z", 8);
        let mut plans = stream(&JobPlan::default(), 4.0, 0.0, 90.0);
        for (i, plan) in plans.iter_mut().enumerate() {
            plan.team = if i % 2 == 0 { "t" } else { "u" };
            plan.run_s = random.between(2.0, 9.0);
            let cancelled = random.chance(0.25);
            plan.cancel_after_s = cancelled.then(|| random.between(0.0, 4.0));
        }
        play.plan(plans);
        play.state.delay_s = 1.0;
        play.state.unanswered = 0.05;
        play.calm_from = 90.0;
        play.run(240.0, |play| {
            if play.now == 90.0 {
                play.state.unanswered = 0.0;
            }
        });
        play
    });
}

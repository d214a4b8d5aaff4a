//! High rates of small jobs of which many are cancelled.

use crate::rules::check_runs;
use crate::services::Cloud;
use crate::simulation::{team, Simulation};
use crate::workload::{job_stream, JobPlan, Random};

#[test]
fn other_jobs_are_served_while_a_quarter_of_four_jobs_per_second_is_cancelled() {
    check_runs(8, |seed| {
        let mut random = Random::new(seed);
        let teams = [team("t", 0.0, 16.0), team("u", 0.0, 16.0)];
        let mut sim = Simulation::new(seed, &teams, &["z"], Cloud::with_capacity(12));
        sim.add_machines("z", 8);
        let mut plans = job_stream(&JobPlan::default(), 4.0, 0.0, 90.0);
        for (i, plan) in plans.iter_mut().enumerate() {
            plan.team = if i % 2 == 0 { "t" } else { "u" };
            plan.run_s = random.between(2.0, 9.0);
            let cancelled = random.chance(0.25);
            plan.cancel_after_s = cancelled.then(|| random.between(0.0, 4.0));
        }
        sim.plan(plans);
        sim.state.latency_s = 1.0;
        sim.state.response_loss_rate = 0.05;
        sim.faults_end_s = 90.0;
        sim.run(240.0, |sim| {
            if sim.now == 90.0 {
                sim.state.response_loss_rate = 0.0;
            }
        });
        sim
    });
}

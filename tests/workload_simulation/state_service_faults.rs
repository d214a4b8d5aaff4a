//! A state service that is slow, fails or has a low write rate limit.

use crate::rules::check_runs;
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED_TEAMS};
use crate::workload::{job_stream, mixed_jobs, JobPlan, Random};

/// More work than the machines can do, 30% of it urgent. Also returns the generator of random numbers for the
/// rest of the run.
pub(crate) fn urgent_overload(seed: u64) -> (Simulation, Random) {
    let mut random = Random::new(seed);
    let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::without_capacity());
    sim.add_machines("z", 6);
    let mut plans = mixed_jobs(&mut random, 24.0, 1.3, 120.0);
    for plan in &mut plans {
        let urgent = random.chance(0.3);
        plan.priority = if urgent { "urgent" } else { "normal" };
    }
    sim.plan(plans);
    (sim, random)
}

#[test]
fn urgent_and_normal_jobs_are_served_after_writes_were_slow_and_failed() {
    check_runs(8, |seed| {
        let (mut sim, mut random) = urgent_overload(seed);
        sim.state.latency_s = random.between(0.0, 4.0).floor();
        (sim.state.delay_rate, sim.state.response_loss_rate) = (0.15, 0.15);
        sim.faults_end_s = 100.0;
        sim.run(300.0, |sim| {
            let now = sim.now as u32;
            sim.state.unavailable = now < 100 && now % 30 >= 24;
            if now == 100 {
                (sim.state.delay_rate, sim.state.response_loss_rate) = (0.0, 0.0);
                sim.state.latency_s = 0.0;
            }
        });
        sim
    });
}

#[test]
fn all_jobs_are_served_after_minutes_of_low_write_rate() {
    check_runs(6, |seed| {
        let mut random = Random::new(seed);
        let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::with_capacity(12));
        sim.add_machines("z", 6);
        sim.plan(mixed_jobs(&mut random, 24.0, 0.7, 180.0));
        let urgent = JobPlan {
            class: "urgent",
            priority: "urgent",
            run_s: 5.0,
            ..JobPlan::default()
        };
        sim.plan(job_stream(&urgent, 1.0, 10.0, 180.0));
        sim.faults_end_s = 180.0;
        sim.run(360.0, |sim| {
            let is_limited = (20.0..180.0).contains(&sim.now);
            sim.state.write_ops_per_s = if is_limited { 5.0 } else { f64::INFINITY };
        });
        sim
    });
}

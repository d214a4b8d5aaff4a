//! Failovers combined with other faults.

use crate::rules::check_runs;
use crate::services::Cloud;
use crate::simulation::{team, Simulation, UNLIMITED_TEAMS};
use crate::workload::{mixed_jobs, JobPlan, Random};

/// Simulated runs per test, one per seed.
const SEEDS: u64 = 12;

/// Half of the machines are partitioned during the failover, and the cloud accepts no returns. The new leader
/// can't prove that tasks on these machines have ended, and counts them against the limits of the teams.
#[test]
fn teams_at_their_limit_are_served_after_failover_with_unreachable_machines() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let teams = [team("t", 0.0, 8.0), team("u", 0.0, 8.0)];
        let mut sim = Simulation::new(seed, &teams, &["z"], Cloud::with_capacity(8));
        sim.add_machines("z", 6);
        sim.peers_promise = random.chance(0.5);
        sim.plan(mixed_jobs(&mut random, 16.0, 0.9, 120.0));
        let (partition_at, elect_at) = (20.0 + random.between(0.0, 20.0).floor(), 45.0);
        sim.faults_end_s = 110.0;
        sim.run(320.0, |sim| {
            let now = sim.now;
            if now == partition_at {
                let partitioned = sim.workers.values_mut().step_by(2);
                partitioned.for_each(|w| w.partitioned_until = 100.0);
                sim.cloud.accepts_returns = false;
            } else if now == partition_at + 2.0 {
                sim.crash_leader();
            } else if now == elect_at {
                sim.elect_leader();
            } else if now == 100.0 {
                sim.cloud.accepts_returns = true;
            }
        });
        sim
    });
}

/// New machines boot within two seconds and get tasks at once, so that the leader crashes while writes for
/// them are pending.
#[test]
fn jobs_on_new_machines_are_served_despite_slow_writes_and_failovers() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::with_capacity(10));
        sim.plan(mixed_jobs(&mut random, 24.0, 0.8, 90.0));
        sim.state.latency_s = 1.0 + random.between(0.0, 3.0).floor();
        sim.state.delay_rate = 0.1;
        sim.state.response_loss_rate = 0.1;
        let crashes: Vec<f64> = (0..4)
            .map(|i| 5.0 + 15.0 * f64::from(i) + random.between(0.0, 8.0).floor())
            .collect();
        sim.faults_end_s = 80.0;
        sim.run(260.0, |sim| {
            if crashes.contains(&sim.now) {
                sim.crash_leader();
            } else if crashes.contains(&(sim.now - 3.0)) {
                sim.elect_leader();
            } else if sim.now == 80.0 {
                (sim.state.delay_rate, sim.state.response_loss_rate) = (0.0, 0.0);
            }
        });
        sim
    });
}

#[test]
fn jobs_with_uneven_task_run_times_are_served_after_failovers() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::with_capacity(10));
        sim.add_machines("z", 4);
        let plans = (0..30).map(|i| JobPlan {
            at_s: 2.0 * f64::from(i),
            class: "uneven",
            tasks: 2 + i % 2,
            run_s: random.between(2.0, 6.0),
            run_increment_s: random.between(20.0, 60.0),
            ..JobPlan::default()
        });
        sim.plan(plans.collect());
        sim.state.response_loss_rate = 0.1;
        sim.faults_end_s = 90.0;
        sim.run(280.0, |sim| {
            match sim.now as u32 {
                n if n < 90 && n % 20 == 10 => sim.crash_leader(),
                n if n < 90 && n % 20 == 14 => sim.elect_leader(),
                90 => sim.state.response_loss_rate = 0.0,
                _ => {}
            };
        });
        sim
    });
}

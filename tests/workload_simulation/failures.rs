//! Jobs that fail on every machine, and machines on which every task fails.

use crate::rules::check_runs;
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED_TEAMS};
use crate::workload::{job_stream, mixed_jobs, JobPlan, Random};

/// Simulated runs per test, one per seed.
const SEEDS: u64 = 12;

/// Jobs that fail on every machine until their users cancel them.
fn always_failing_jobs(random: &mut Random, until_s: f64) -> Vec<JobPlan> {
    let template = JobPlan {
        class: "broken",
        always_fails: true,
        run_s: 20.0,
        ..JobPlan::default()
    };
    let mut plans = job_stream(&template, 0.3, 5.0, until_s);
    for plan in &mut plans {
        plan.tasks = 1 + random.below(4) as u32;
        plan.cancel_after_s = Some(random.between(60.0, 400.0));
    }
    plans
}

/// The policy keeps idle machines, so a machine is only returned if the leader considers it faulty.
#[test]
fn jobs_failing_on_every_machine_cause_no_machine_return_and_delay_no_other_job() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::without_capacity());
        let machines = sim.add_machines("z", 6);
        sim.plan(mixed_jobs(&mut random, 24.0, 0.6, 120.0));
        sim.plan(always_failing_jobs(&mut random, 120.0));
        sim.run(140.0, |_| {});
        let lost = machines.iter().filter(|m| !sim.workers.contains_key(*m));
        assert_eq!(
            lost.count(),
            0,
            "seed {seed}: healthy machines were returned"
        );
        sim.run(420.0, |_| {});
        sim
    });
}

#[test]
fn faulty_machine_is_returned_and_delays_no_job() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::without_capacity());
        let machines = sim.add_machines("z", 6);
        let faulty = &machines[random.below(6) as usize];
        sim.workers.get_mut(faulty).unwrap().faulty = true;
        sim.plan(mixed_jobs(&mut random, 20.0, 0.9, 120.0));
        sim.run(300.0, |_| {});
        let is_present = sim.workers.contains_key(faulty);
        assert!(
            !is_present,
            "seed {seed}: the faulty machine was never returned"
        );
        sim
    });
}

/// No other job runs whose failures could show that the machine is faulty.
#[test]
fn gang_avoids_machine_on_which_it_failed() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::without_capacity());
        let machines = sim.add_machines("z", 4);
        let faulty = &machines[random.below(4) as usize];
        sim.workers.get_mut(faulty).unwrap().faulty = true;
        sim.plan(vec![JobPlan {
            kind: "group",
            class: "gang",
            tasks: 12,
            run_s: 20.0,
            ..JobPlan::default()
        }]);
        sim.run(200.0, |_| {});
        sim
    });
}

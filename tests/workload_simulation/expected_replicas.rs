//! Jobs that wait beside resources which are kept for expected replicas of services.

use crate::rules::check_runs;
use crate::services::Cloud;
use crate::simulation::{Simulation, UNLIMITED_TEAMS};
use crate::workload::{job_stream, JobPlan, Random};

/// Simulated runs, one per seed.
const SEEDS: u64 = 12;

/// Services come and go steadily, and the cloud has no more machines. The resources that are kept for the
/// next replicas are all that long tasks leave free.
#[test]
fn resources_kept_for_expected_replicas_do_not_starve_an_array() {
    check_runs(SEEDS, |seed| {
        let mut random = Random::new(seed);
        let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::without_capacity());
        sim.add_machines("z", 2);
        let per_s = random.between(0.35, 0.45);
        let service = JobPlan {
            class: "service",
            kind: "standing",
            priority: "critical",
            cancel_after_s: Some(random.between(8.0, 12.0)),
            ..JobPlan::default()
        };
        sim.plan(job_stream(&service, per_s, 0.0, 400.0));
        let long = JobPlan {
            class: "long",
            tasks: 2,
            run_s: 420.0,
            ..JobPlan::default()
        };
        let waiting = JobPlan {
            class: "waiting",
            at_s: 60.0,
            ..JobPlan::default()
        };
        sim.plan(vec![long, waiting]);
        sim.run(460.0, |_| {});
        sim
    });
}

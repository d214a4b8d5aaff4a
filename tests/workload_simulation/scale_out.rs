//! Jobs that start only after a scale-out.

use crate::rules::check_runs;
use crate::services::Cloud;
use crate::simulation::{team, Simulation, UNLIMITED_TEAMS};
use crate::workload::JobPlan;

/// (3.3 - 2 * 1.1) / 1.1 is slightly below 1 in floating point, so that a quotient rounded down leaves no
/// task within the limit.
#[test]
fn last_task_within_fractional_team_limit_gets_a_machine() {
    check_runs(1, |seed| {
        let teams = [team("t", 0.0, 3.3), team("u", 0.0, 0.0)];
        let mut sim = Simulation::new(seed, &teams, &["z"], Cloud::with_capacity(8));
        sim.add_machines("z", 1);
        let long = |at_s, class, tasks, cpus| JobPlan {
            at_s,
            class,
            team: if class == "filler" { "u" } else { "t" },
            tasks,
            cpus,
            run_s: 300.0,
            ..JobPlan::default()
        };
        sim.plan(vec![
            long(0.0, "first", 2, 1.1),
            long(0.0, "filler", 1, 1.7),
            long(5.0, "last", 1, 1.1),
        ]);
        sim.run(640.0, |_| {});
        sim
    });
}

/// The running tasks end early enough for the last job to complete in time, but too late for it to start in
/// time.
#[test]
fn job_without_free_resources_beside_long_tasks_gets_a_new_machine() {
    check_runs(1, |seed| {
        let mut sim = Simulation::new(seed, &UNLIMITED_TEAMS, &["z"], Cloud::with_capacity(8));
        sim.add_machines("z", 1);
        let long = |at_s, class, tasks| JobPlan {
            at_s,
            class,
            tasks,
            run_s: 300.0,
            ..JobPlan::default()
        };
        sim.plan(vec![long(0.0, "first", 4), long(5.0, "last", 1)]);
        sim.run(640.0, |_| {});
        sim
    });
}

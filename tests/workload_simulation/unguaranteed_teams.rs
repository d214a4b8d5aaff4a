//! Teams without guaranteed resources that submit huge arrays and many tiny jobs.

use crate::rules::{check_runs, longest_start_delay_s};
use crate::services::Cloud;
use crate::simulation::{team, Simulation};
use crate::workload::{job_stream, mixed_jobs, JobPlan, Random};

#[test]
fn all_teams_are_served_with_a_huge_array_and_many_tiny_jobs() {
    check_runs(6, |seed| {
        let mut random = Random::new(seed);
        let teams = [
            team("t", 8.0, 0.0),
            team("u", 8.0, 0.0),
            team("guest", 0.0, 0.0),
        ];
        let mut sim = Simulation::new(seed, &teams, &["z"], Cloud::without_capacity());
        sim.add_machines("z", 10);
        sim.plan(mixed_jobs(&mut random, 40.0, 0.4, 180.0));
        sim.plan(vec![JobPlan {
            at_s: 10.0,
            class: "huge",
            team: "guest",
            tasks: 120,
            cpus: 2.0,
            run_s: 15.0,
            estimate_factor: random.between(0.5, 2.0),
            ..JobPlan::default()
        }]);
        let tiny = JobPlan {
            class: "tiny",
            team: "guest",
            cpus: 0.25,
            run_s: 20.0,
            ..JobPlan::default()
        };
        sim.plan(job_stream(&tiny, 3.0, 20.0, 120.0));
        sim.run(420.0, |_| {});
        sim
    });
}

/// The queue head is an urgent array of a team that is at its limit.
#[test]
fn array_of_team_at_its_limit_holds_no_reservation() {
    check_runs(12, |seed| {
        let mut random = Random::new(seed);
        let teams = [team("t", 0.0, 0.0), team("guest", 0.0, 8.0)];
        let mut sim = Simulation::new(seed, &teams, &["z"], Cloud::without_capacity());
        sim.add_machines("z", 4);
        sim.plan(vec![JobPlan {
            class: "huge",
            team: "guest",
            tasks: 10,
            cpus: 4.0,
            run_s: random.between(50.0, 90.0),
            priority: "urgent",
            ..JobPlan::default()
        }]);
        let small = JobPlan {
            run_s: 30.0,
            estimate_factor: random.between(2.0, 4.0),
            ..JobPlan::default()
        };
        sim.plan(job_stream(&small, 0.2, 5.0, 200.0));
        sim.run(480.0, |_| {});
        // The bound is less than the time after which a starved job passes a reservation.
        let delay_s = longest_start_delay_s(&sim, |p| p.team == "t");
        assert!(delay_s < 45.0, "seed {seed}: other jobs waited {delay_s} s");
        sim
    });
}

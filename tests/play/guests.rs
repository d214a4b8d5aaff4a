//! Guest teams without a guarantee: one huge array, and a swarm of tiny tasks.

use crate::rules::{check_days, longest_delay_s};
use crate::services::Cloud;
use crate::simulation::{team, Simulation};
use crate::workload::{mixed, stream, JobPlan, Random};

#[test]
fn a_huge_array_and_a_swarm_of_guests_leave_everybody_served() {
    check_days(6, |seed| {
        let mut random = Random::new(seed);
        let teams = [
            team("t", 8.0, 0.0),
            team("u", 8.0, 0.0),
            team("guest", 0.0, 0.0),
        ];
        let mut play = Simulation::new(seed, &teams, &["z"], Cloud::full());
        play.add_machines("z", 10);
        play.plan(mixed(&mut random, 40.0, 0.4, 180.0));
        play.plan(vec![JobPlan {
            at_s: 10.0,
            class: "huge",
            team: "guest",
            tasks: 120,
            cpus: 2.0,
            run_s: 15.0,
            estimate: random.between(0.5, 2.0),
            ..JobPlan::default()
        }]);
        let tiny = JobPlan {
            class: "tiny",
            team: "guest",
            cpus: 0.25,
            run_s: 20.0,
            ..JobPlan::default()
        };
        play.plan(stream(&tiny, 3.0, 20.0, 120.0));
        play.run(420.0, |_| {});
        play
    });
}

/// The head of the queue is an array of a team that is at its limit.
#[test]
fn an_array_of_a_team_at_its_limit_holds_no_reservation() {
    check_days(12, |seed| {
        let mut random = Random::new(seed);
        let teams = [team("t", 0.0, 0.0), team("guest", 0.0, 8.0)];
        let mut play = Simulation::new(seed, &teams, &["z"], Cloud::full());
        play.add_machines("z", 4);
        play.plan(vec![JobPlan {
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
            estimate: random.between(2.0, 4.0),
            ..JobPlan::default()
        };
        play.plan(stream(&small, 0.2, 5.0, 200.0));
        play.run(480.0, |_| {});
        // Less than it takes until a job goes past a reservation that withholds it.
        let delay_s = longest_delay_s(&play, |p| p.team == "t");
        assert!(delay_s < 45.0, "seed {seed}: others waited {delay_s} s");
        play
    });
}

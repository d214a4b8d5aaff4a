//! Teams close to their limits, and machines full of long tasks.

use crate::rules::check_days;
use crate::services::Cloud;
use crate::simulation::{team, Simulation, UNLIMITED};
use crate::workload::JobPlan;

/// 3.3 less twice 1.1, divided by 1.1, is a little less than 1 in binary fractions.
#[test]
fn the_last_task_within_a_limit_of_decimal_fractions_gets_a_machine() {
    check_days(1, |seed| {
        let teams = [team("t", 0.0, 3.3), team("u", 0.0, 0.0)];
        let mut play = Simulation::new(seed, &teams, &["z"], Cloud::with_capacity(8));
        play.add_machines("z", 1);
        let long = |at_s, class, tasks, cpus| JobPlan {
            at_s,
            class,
            team: if class == "filler" { "u" } else { "t" },
            tasks,
            cpus,
            run_s: 300.0,
            ..JobPlan::default()
        };
        play.plan(vec![
            long(0.0, "first", 2, 1.1),
            long(0.0, "filler", 1, 1.7),
            long(5.0, "last", 1, 1.1),
        ]);
        play.run(640.0, |_| {});
        play
    });
}

/// What runs would end early enough to end the last job in time, but not to begin it.
#[test]
fn a_job_that_long_tasks_leave_no_room_gets_a_machine() {
    check_days(1, |seed| {
        let mut play = Simulation::new(seed, &UNLIMITED, &["z"], Cloud::with_capacity(8));
        play.add_machines("z", 1);
        let long = |at_s, class, tasks| JobPlan {
            at_s,
            class,
            tasks,
            run_s: 300.0,
            ..JobPlan::default()
        };
        play.plan(vec![long(0.0, "first", 4), long(5.0, "last", 1)]);
        play.run(640.0, |_| {});
        play
    });
}

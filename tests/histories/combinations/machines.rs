//! Machines that are lost, hang, are new or reach no controller.

use super::SEEDS;
use crate::job::JobShape;
use crate::network::Faults;
use crate::timed::for_each_seed;
use stairstage::protocol::job::JobKind;

#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    for_each_seed(SEEDS, |world| {
        world.rentable = 3;
        for i in 0..5 {
            for tasks in 1..4 {
                let shape = JobShape {
                    tasks,
                    run_s: 6.0,
                    zone: Some("y"),
                    one_zone: i % 2 == 0,
                    ..JobShape::default()
                };
                world.submit_shape(&shape);
                let kind = [JobKind::Array, JobKind::Gang][i % 2];
                let (one_zone, spread) = (i % 2 == 0, i % 2 == 1);
                world.submit_shape(&JobShape {
                    kind,
                    tasks,
                    one_zone,
                    spread,
                    team: "u",
                    ..JobShape::default()
                });
            }
            world.run_busy(5.0);
            let i = world.some_worker();
            if world.chance(0.5) {
                world.workers[i].die();
            } else {
                world.workers[i].partitioned = true;
            }
            world.run_busy(3.0);
            if world.chance(0.3) {
                world.replace_leader();
            }
        }
    });
}

#[test]
fn workers_reach_no_controller_while_commands_reach_them() {
    for_each_seed(SEEDS, |world| {
        for _ in 0..4 {
            world.submit_some(4);
            for _ in 0..3 {
                let i = world.some_worker();
                world.workers[i].heartbeats_lost = true;
            }
            world.cloud_is_down = world.chance(0.5);
            world.run_busy(9.0);
            world.cancel_some(0.2);
            if world.chance(0.5) {
                world.change_leader(1.0);
            }
            world.run_busy(9.0);
            world.cloud_is_down = false;
            if world.chance(0.5) {
                world.reconnect_all();
            }
        }
    });
}

#[test]
fn new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends() {
    let faults = Faults {
        slow_writes: 0.4,
        unanswered_writes: 0.15,
        late_writes: 0.15,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..5 {
            world.rentable += 3;
            for i in 0..2 {
                let lost = world.some_worker();
                world.workers[lost].die();
                let tasks = 3 + i;
                world.submit_shape(&JobShape {
                    tasks,
                    ..JobShape::default()
                });
            }
            let until_change = world.between(1.0, 6.0);
            world.run_busy(until_change);
            world.cancel_some(0.1);
            world.change_leader(1.0);
            world.run_busy(4.0);
        }
    });
}

#[test]
fn machines_hang_and_resume_within_or_after_their_lease() {
    let faults = Faults {
        lost_responses: 0.1,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..5 {
            world.submit_some(4);
            world.run_busy(4.0);
            world.cloud_is_down = world.chance(0.7);
            for _ in 0..2 {
                let i = world.some_worker();
                world.workers[i].hung = true;
            }
            world.run_busy(1.0);
            world.cancel_some(0.2);
            let hangs_s = world.between(1.0, 16.0);
            world.run_busy(hangs_s);
            if world.chance(0.3) {
                world.replace_leader();
            }
            world.reconnect_all();
            world.cloud_is_down = false;
        }
    });
}

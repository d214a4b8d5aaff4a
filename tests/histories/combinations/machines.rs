//! Machines that fail, hang, are newly rented or reach no controller.

use super::SEEDS;
use crate::job::JobShape;
use crate::network::Faults;
use crate::timed::for_each_seed;
use stairstage::protocol::job::JobKind;

#[test]
fn zone_bound_jobs_finish_after_machine_loss() {
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
            world.run_under_load(5.0);
            let i = world.random_worker();
            if world.chance(0.5) {
                world.workers[i].terminate();
            } else {
                world.workers[i].partitioned = true;
            }
            world.run_under_load(3.0);
            if world.chance(0.3) {
                world.replace_leader();
            }
        }
    });
}

#[test]
fn workers_with_lost_heartbeats_run_no_task_twice() {
    for_each_seed(SEEDS, |world| {
        for _ in 0..4 {
            world.submit_random_jobs(4);
            for _ in 0..3 {
                let i = world.random_worker();
                world.workers[i].heartbeats_lost = true;
            }
            world.cloud_is_down = world.chance(0.5);
            world.run_under_load(9.0);
            world.cancel_random_jobs(0.2);
            if world.chance(0.5) {
                world.change_leader(1.0);
            }
            world.run_under_load(9.0);
            world.cloud_is_down = false;
            if world.chance(0.5) {
                world.reconnect_all();
            }
        }
    });
}

#[test]
fn tasks_on_new_machines_run_once_despite_slow_writes_and_failover() {
    let faults = Faults {
        slow_writes: 0.4,
        lost_write_responses: 0.15,
        timed_out_writes: 0.15,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..5 {
            world.rentable += 3;
            for i in 0..2 {
                let lost = world.random_worker();
                world.workers[lost].terminate();
                let tasks = 3 + i;
                world.submit_shape(&JobShape {
                    tasks,
                    ..JobShape::default()
                });
            }
            let until_change_s = world.between(1.0, 6.0);
            world.run_under_load(until_change_s);
            world.cancel_random_jobs(0.1);
            world.change_leader(1.0);
            world.run_under_load(4.0);
        }
    });
}

#[test]
fn hung_machines_resuming_around_lease_expiry_run_no_task_twice() {
    let faults = Faults {
        lost_responses: 0.1,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..5 {
            world.submit_random_jobs(4);
            world.run_under_load(4.0);
            world.cloud_is_down = world.chance(0.7);
            for _ in 0..2 {
                let i = world.random_worker();
                world.workers[i].hung = true;
            }
            world.run_under_load(1.0);
            world.cancel_random_jobs(0.2);
            let hang_s = world.between(1.0, 16.0);
            world.run_under_load(hang_s);
            if world.chance(0.3) {
                world.replace_leader();
            }
            world.reconnect_all();
            world.cloud_is_down = false;
        }
    });
}

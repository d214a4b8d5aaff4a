//! Leader changes while machines are unreachable, and leader changes in quick succession.

use super::{LEADER_LEASE_S, SEEDS};
use crate::job::JobShape;
use crate::network::{DelayRange, Faults};
use crate::timed::for_each_seed;
use stairstage::protocol::job::JobKind;

/// The leader stops, is replaced while it still runs, is isolated, or loses the state service just
/// before an outage of the state service.
#[test]
fn ten_leader_changes_in_two_minutes_preserve_safety() {
    for_each_seed(SEEDS / 2, |world| {
        for _ in 0..10 {
            world.submit_random_jobs(2);
            let until_fault_s = world.between(5.0, 10.0);
            world.run_under_load(until_fault_s);
            world.cancel_random_jobs(0.1);
            let outage_s = world.between(0.5, 6.0);
            match world.between(0.0, 4.0) as u32 {
                0 => world.change_leader(1.0),
                1 => world.replace_leader(),
                2 => {
                    world.isolate_leader(LEADER_LEASE_S);
                    world.run_under_load(1.0);
                    world.replace_leader();
                }
                _ => {
                    world.disconnect_leader_from_store(LEADER_LEASE_S);
                    world.store_is_down = true;
                    world.run_for(outage_s);
                    world.stop_leader();
                    world.run_for(outage_s);
                    world.store_is_down = false;
                    world.replace_leader();
                }
            }
        }
    });
}

#[test]
fn repeated_failovers_and_outage_of_all_controllers_preserve_safety() {
    let faults = Faults {
        slow_responses: 0.2,
        slow_commands: 0.3,
        replayed_heartbeats: 0.2,
        replay_delay: DelayRange::new(0.0, 2.0),
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..4 {
            world.submit_random_jobs(3);
            world.run_under_load(6.0);
            for _ in 0..2 {
                world.replace_leader();
                world.cancel_random_jobs(0.1);
                let interval_s = world.between(0.25, 3.0);
                world.run_under_load(interval_s);
            }
            world.stop_leader();
            world.former_leaders.clear();
            world.cancel_random_jobs(0.1);
            let outage_s = world.between(0.25, 20.0);
            world.run_under_load(outage_s);
            world.replace_leader();
        }
    });
}

#[test]
fn jobs_finish_after_controller_outage_longer_than_worker_lease() {
    let faults = Faults {
        timed_out_commands: 0.2,
        replayed_heartbeats: 0.2,
        replay_delay: DelayRange::new(0.0, 3.0),
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..3 {
            world.submit_random_jobs(4);
            world.run_under_load(6.0);
            world.stop_leader();
            world.cancel_random_jobs(0.2);
            let outage_s = world.between(10.0, 30.0);
            world.run_under_load(outage_s);
            world.cancel_random_jobs(0.2);
            world.replace_leader();
        }
    });
}

#[test]
fn jobs_with_staggered_tasks_finish_across_leader_changes() {
    for_each_seed(SEEDS, |world| {
        for i in 0..8 {
            world.submit_shape(&JobShape {
                kind: [JobKind::Array, JobKind::Array, JobKind::Gang][i % 3],
                tasks: 2 + (i % 2) as u32,
                run_s: 3.0,
                stagger_s: 12.0,
                ..JobShape::default()
            });
        }
        for _ in 0..4 {
            let until_change_s = world.between(2.0, 10.0);
            world.run_under_load(until_change_s);
            world.change_leader(1.0);
        }
    });
}

#[test]
fn cancelled_service_in_partitioned_zone_with_former_leader_stops_within_cancellation_deadline() {
    for_each_seed(SEEDS, |world| {
        for zone in ["z", "y"] {
            let service = world.submit_shape(&JobShape {
                kind: JobKind::Service,
                tasks: 2,
                zone: Some(zone),
                ..JobShape::default()
            });
            world.submit_random_jobs(8);
            world.run_under_load(6.0);
            world.cloud_is_down = world.chance(0.5);
            world.isolate_leader(LEADER_LEASE_S);
            // The replicas keep running in the partitioned zone until their worker's lease expires.
            world.cancel(&service);
            world.cancel_random_jobs(0.2);
            world.partition_zone(zone, true);
            world.replace_leader();
            for _ in 0..10 {
                world.run_under_load(4.0);
                world.cancel_random_jobs(0.1);
                if world.chance(0.2) {
                    world.send_cancellations_to_former_leaders();
                }
            }
            world.reconnect_all();
            world.cloud_is_down = false;
        }
    });
}

#[test]
fn long_tasks_on_unreachable_machines_run_once_across_leader_change() {
    let long = JobShape {
        tasks: 4,
        run_s: 40.0,
        ..JobShape::default()
    };
    for_each_seed(SEEDS, |world| {
        for _ in 0..3 {
            world.submit_shape(&long);
            world.submit_random_jobs(2);
            world.run_under_load(6.0);
            for _ in 0..3 {
                let i = world.random_worker();
                if world.chance(0.5) {
                    world.workers[i].partitioned = true;
                } else {
                    world.workers[i].inbound_lost = true;
                }
            }
            world.cloud_is_down = world.chance(0.5);
            world.change_leader(1.0);
            let outage_s = world.between(3.0, 20.0);
            world.run_under_load(outage_s);
            world.reconnect_all();
            world.cloud_is_down = false;
        }
    });
}

#[test]
fn quotas_hold_while_machines_are_unreachable_and_leader_changes() {
    for_each_seed(SEEDS, |world| {
        for team in ["t", "u"] {
            for _ in 0..5 {
                world.submit_shape(&JobShape {
                    tasks: 4,
                    run_s: 15.0,
                    team,
                    ..JobShape::default()
                });
            }
        }
        world.run_under_load(5.0);
        for _ in 0..4 {
            for _ in 0..2 {
                let i = world.random_worker();
                if world.chance(0.5) {
                    world.workers[i].partitioned = true;
                } else {
                    world.workers[i].hung = true;
                }
            }
            world.cloud_is_down = world.chance(0.5);
            world.cancel_random_jobs(0.2);
            if world.chance(0.5) {
                world.replace_leader();
            } else {
                world.change_leader(1.0);
            }
            world.cancel_random_jobs(0.1);
            let outage_s = world.between(3.0, 18.0);
            world.run_under_load(outage_s);
            world.reconnect_all();
            world.cloud_is_down = false;
            world.run_under_load(2.0);
        }
    });
}

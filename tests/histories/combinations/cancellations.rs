//! Cancellations during leader changes and outages of the state service.

use super::{LEADER_LEASE_S, SEEDS};
use crate::job::JobShape;
use crate::timed::for_each_seed;
use crate::world::World;
use stairstage::protocol::job::JobKind;
use std::cell::Cell;

#[test]
fn small_jobs_cancelled_at_submission_stop_within_cancellation_deadline() {
    let small = JobShape {
        run_s: 2.0,
        ..JobShape::default()
    };
    for_each_seed(SEEDS / 2, |world| {
        for i in 0..480 {
            let id = world.submit_shape(&small);
            if world.chance(0.25) {
                world.cancel(&id);
            }
            if i % 160 == 120 {
                world.replace_leader();
            }
            world.run_for(0.25);
        }
    });
}

#[test]
fn jobs_cancelled_around_leader_change_stop_within_cancellation_deadline() {
    for_each_seed(SEEDS, |world| {
        for _ in 0..5 {
            world.submit_random_jobs(4);
            world.run_under_load(6.0);
            world.cancel_random_jobs(0.2);
            if world.chance(0.5) {
                world.stop_leader();
            } else {
                world.isolate_leader(LEADER_LEASE_S);
            }
            for _ in 0..4 {
                world.run_under_load(0.5);
                world.cancel_random_jobs(0.1);
            }
            world.replace_leader();
            for _ in 0..4 {
                world.run_under_load(0.5);
                world.cancel_random_jobs(0.1);
            }
        }
    });
}

/// Starts long tasks, cuts only the leader off from the state service, and cancels jobs through its
/// peers. Returns how many tasks of cancelled jobs still run on machines.
fn cancel_jobs_while_leader_lacks_store(world: &mut World) -> usize {
    for _ in 0..4 {
        world.submit_shape(&JobShape {
            run_s: 90.0,
            ..JobShape::default()
        });
        world.submit_shape(&JobShape {
            kind: JobKind::Service,
            team: "u",
            ..JobShape::default()
        });
    }
    let until_fault_s = world.between(5.0, 10.0);
    world.run_for(until_fault_s);
    world.disconnect_leader_from_store(LEADER_LEASE_S);
    let disconnected_s = world.between(0.0, 1.5);
    world.run_for(disconnected_s);
    world.cancel_random_jobs(0.5);
    world.cancelled_tasks_on_machines()
}

/// Takes the state service down for longer than `cancel_s`, and injects a fault in the first half of
/// the outage.
fn run_outage_longer_than_cancellation_deadline(
    world: &mut World,
    mut fault: impl FnMut(&mut World),
) {
    world.store_is_down = true;
    let outage_s = world.settings.cluster.workers.cancel_s * world.between(1.1, 2.0);
    let until_fault_s = world.between(0.0, outage_s / 2.0);
    world.run_for(until_fault_s);
    fault(world);
    world.run_for(outage_s - until_fault_s);
    world.store_is_down = false;
    world.replace_leader();
}

#[test]
fn leader_without_store_stops_jobs_cancelled_by_peers_and_keeps_worker_leases() {
    let cancelled = Cell::new(0);
    for_each_seed(SEEDS, |world| {
        cancelled.set(cancelled.get() + cancel_jobs_while_leader_lacks_store(world));
        let incarnations = world.incarnations();
        run_outage_longer_than_cancellation_deadline(world, |_| {});
        assert_eq!(
            world.incarnations(),
            incarnations,
            "a worker's lease has expired"
        );
        assert_eq!(world.cancelled_tasks_on_machines(), 0);
    });
    assert!(cancelled.get() > 0, "no running task was cancelled");
}

#[test]
fn leader_without_store_and_a_peer_lets_worker_leases_expire_before_cancellation_deadline() {
    let cancelled = Cell::new(0);
    for_each_seed(SEEDS, |world| {
        cancelled.set(cancelled.get() + cancel_jobs_while_leader_lacks_store(world));
        if world.chance(0.5) {
            world.isolate_leader(0.0);
        } else {
            world.peers.restart(0);
        }
        let incarnations = world.incarnations();
        run_outage_longer_than_cancellation_deadline(world, |world| world.isolate_leader(0.0));
        assert_ne!(
            world.incarnations(),
            incarnations,
            "no worker's lease has expired"
        );
        assert_eq!(world.cancelled_tasks_on_machines(), 0);
    });
    assert!(cancelled.get() > 0, "no running task was cancelled");
}

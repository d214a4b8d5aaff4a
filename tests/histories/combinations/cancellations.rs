//! Cancellations that meet changes of leader and outages of the state service.

use super::{LEADER_LEASE_S, SEEDS};
use crate::job::JobShape;
use crate::timed::for_each_seed;
use crate::world::World;
use stairstage::protocol::job::JobKind;
use std::cell::Cell;

#[test]
fn many_small_jobs_of_which_a_quarter_is_cancelled() {
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
fn jobs_are_cancelled_while_work_changes_hands() {
    for_each_seed(SEEDS, |world| {
        for _ in 0..5 {
            world.submit_some(4);
            world.run_busy(6.0);
            world.cancel_some(0.2);
            if world.chance(0.5) {
                world.end_leader();
            } else {
                world.isolate_leader(LEADER_LEASE_S);
            }
            for _ in 0..4 {
                world.run_busy(0.5);
                world.cancel_some(0.1);
            }
            world.replace_leader();
            for _ in 0..4 {
                world.run_busy(0.5);
                world.cancel_some(0.1);
            }
        }
    });
}

/// Long tasks run, the state service refuses the leader alone, and other controllers confirm
/// cancellations. Returns how many tasks of cancelled jobs are on machines then.
fn cancel_as_the_leader_is_refused(world: &mut World) -> usize {
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
    let calm_s = world.between(5.0, 10.0);
    world.run_for(calm_s);
    world.refuse_leader(LEADER_LEASE_S);
    let refused_s = world.between(0.0, 1.5);
    world.run_for(refused_s);
    world.cancel_some(0.5);
    world.cancelled_on_machines()
}

/// The state service is down for all, for longer than a cancellation may take.
fn outage_longer_than_a_cancellation(world: &mut World, mut fault: impl FnMut(&mut World)) {
    world.store_is_down = true;
    let outage_s = world.settings.cluster.workers.cancel_s * world.between(1.1, 2.0);
    let trouble_s = world.between(0.0, outage_s / 2.0);
    world.run_for(trouble_s);
    fault(world);
    world.run_for(outage_s - trouble_s);
    world.store_is_down = false;
    world.replace_leader();
}

#[test]
fn a_refused_leader_stops_what_others_confirm_as_cancelled_through_an_outage() {
    let cancelled = Cell::new(0);
    for_each_seed(SEEDS, |world| {
        cancelled.set(cancelled.get() + cancel_as_the_leader_is_refused(world));
        let incarnations = world.incarnations();
        outage_longer_than_a_cancellation(world, |_| {});
        assert_eq!(
            world.incarnations(),
            incarnations,
            "a worker's lease has ended"
        );
        assert_eq!(world.cancelled_on_machines(), 0);
    });
    assert!(cancelled.get() > 0, "nothing that ran was cancelled");
}

#[test]
fn a_refused_leader_that_loses_a_peer_lets_leases_end_before_a_cancellation_must() {
    let cancelled = Cell::new(0);
    for_each_seed(SEEDS, |world| {
        cancelled.set(cancelled.get() + cancel_as_the_leader_is_refused(world));
        if world.chance(0.5) {
            world.isolate_leader(0.0);
        } else {
            world.peers.restart(0);
        }
        let incarnations = world.incarnations();
        outage_longer_than_a_cancellation(world, |world| world.isolate_leader(0.0));
        assert_ne!(
            world.incarnations(),
            incarnations,
            "nobody vouched for the leases"
        );
        assert_eq!(world.cancelled_on_machines(), 0);
    });
    assert!(cancelled.get() > 0, "nothing that ran was cancelled");
}

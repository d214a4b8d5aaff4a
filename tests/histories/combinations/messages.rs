//! Delayed, duplicate and reordered heartbeats, responses and commands.

use super::SEEDS;
use crate::job::JobShape;
use crate::network::{DelayRange, Faults};
use crate::timed::for_each_seed;

#[test]
fn heartbeats_delayed_past_failover_preserve_safety() {
    let faults = Faults {
        replayed_heartbeats: 0.3,
        delayed_heartbeats: 0.1,
        replay_delay: DelayRange::new(2.0, 12.0),
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..4 {
            world.submit_random_jobs(3);
            world.run_under_load(8.0);
            world.cancel_random_jobs(0.1);
            world.change_leader(2.0);
        }
    });
}

#[test]
fn duplicate_heartbeats_right_after_election_preserve_safety() {
    let faults = Faults {
        replayed_heartbeats: 0.4,
        replay_delay: DelayRange::new(0.0, 0.5),
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..5 {
            world.submit_random_jobs(3);
            world.run_under_load(9.0);
            world.cancel_random_jobs(0.1);
            world.replace_leader();
        }
    });
}

#[test]
fn duplicate_heartbeats_after_lease_expiry_preserve_safety() {
    let faults = Faults {
        duplicate_heartbeats: 0.5,
        timed_out_commands: 0.2,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        world.rentable = 2;
        for _ in 0..4 {
            world.submit_random_jobs(3);
            world.run_under_load(3.0);
            // Worker leases expire in one zone or everywhere, so that duplicate heartbeats come from
            // earlier incarnations and attempts.
            if world.chance(0.5) {
                world.partition_zone("y", false);
            } else {
                world.workers.iter_mut().for_each(|w| w.partitioned = true);
            }
            world.run_under_load(14.0);
            world.reconnect_all();
            world.run_under_load(8.0);
            world.cancel_random_jobs(0.1);
            if world.chance(0.5) {
                world.replace_leader();
            }
        }
    });
}

/// Guards against `ran_twice`: after an outage of all controllers that is longer than a lease, duplicates
/// of heartbeats from before and after it reach a new leader, which cannot reach the machines itself.
#[test]
fn duplicate_heartbeats_of_two_incarnations_after_failover_preserve_safety() {
    let faults = Faults {
        duplicate_heartbeats: 0.5,
        replayed_heartbeats: 0.3,
        replay_delay: DelayRange::new(0.0, 3.0),
        ..Faults::default()
    };
    let long = JobShape {
        tasks: 4,
        run_s: 40.0,
        ..JobShape::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..3 {
            world.submit_shape(&long);
            world.run_under_load(6.0);
            world.stop_leader();
            let outage_s = world.between(12.5, 16.0);
            world.run_under_load(outage_s);
            world.replace_leader();
            let until_failover_s = world.between(3.0, 8.0);
            world.run_under_load(until_failover_s);
            for _ in 0..3 {
                let i = world.random_worker();
                world.workers[i].partitioned = true;
            }
            world.change_leader(0.5);
            world.run_under_load(7.0);
            world.reconnect_all();
        }
    });
}

#[test]
fn commands_executed_after_timeout_preserve_safety() {
    let faults = Faults {
        timed_out_commands: 0.4,
        slow_commands: 0.3,
        lost_command_responses: 0.2,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for i in 0..8 {
            world.submit_random_jobs(3);
            world.run_under_load(7.0);
            world.cancel_random_jobs(0.2);
            match i % 4 {
                2 => world.replace_leader(),
                3 => world.change_leader(1.0),
                _ => {}
            }
        }
    });
}

#[test]
fn commands_overtaking_heartbeat_responses_preserve_safety() {
    let faults = Faults {
        slow_responses: 0.5,
        slow_commands: 0.7,
        lost_command_responses: 0.1,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..10 {
            world.submit_random_jobs(2);
            world.run_under_load(4.0);
            world.cancel_random_jobs(0.15);
        }
    });
}

//! Random sequences of all faults.

use super::{LEADER_LEASE_S, SEEDS};
use crate::network::{DelayRange, Faults};
use crate::timed::for_each_seed;

#[test]
fn random_sequence_of_all_faults_preserves_safety() {
    let faults = Faults {
        slow_commands: 0.3,
        timed_out_commands: 0.1,
        lost_command_responses: 0.05,
        duplicate_heartbeats: 0.1,
        replayed_heartbeats: 0.05,
        replay_delay: DelayRange::new(0.0, 6.0),
        delayed_heartbeats: 0.05,
        slow_responses: 0.1,
        lost_responses: 0.05,
        slow_writes: 0.1,
        lost_write_responses: 0.05,
        timed_out_writes: 0.05,
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        world.rentable = 4;
        for _ in 0..20 {
            world.submit_random_jobs(2);
            world.cancel_random_jobs(0.1);
            let i = world.random_worker();
            match (world.between(0.0, 12.0)) as u32 {
                0 => world.workers[i].partitioned = true,
                1 => world.workers[i].inbound_lost = true,
                2 => world.workers[i].heartbeats_lost = true,
                3 => world.workers[i].hung = true,
                4 => world.workers[i].terminate(),
                5 => world.isolate_leader(LEADER_LEASE_S),
                6 => world.change_leader(1.0),
                7 => world.replace_leader(),
                8 => world.partition_zone("z", true),
                9 => world.cloud_is_down = !world.cloud_is_down,
                10 => world.send_cancellations_to_former_leaders(),
                _ => world.reconnect_all(),
            }
            let until_next_fault_s = world.between(0.5, 8.0);
            world.run_under_load(until_next_fault_s);
        }
    });
}

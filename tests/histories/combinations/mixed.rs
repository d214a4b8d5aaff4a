//! Faults of every kind, one after the other.

use super::{LEADER_LEASE_S, SEEDS};
use crate::network::{DelayRange, Faults};
use crate::timed::for_each_seed;

#[test]
fn troubles_of_every_kind_follow_each_other() {
    let faults = Faults {
        slow_commands: 0.3,
        late_commands: 0.1,
        lost_command_responses: 0.05,
        copied_heartbeats: 0.1,
        kept_heartbeats: 0.05,
        kept_delay: DelayRange::new(0.0, 6.0),
        late_heartbeats: 0.05,
        slow_responses: 0.1,
        lost_responses: 0.05,
        slow_writes: 0.1,
        unanswered_writes: 0.05,
        late_writes: 0.05,
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        world.rentable = 4;
        for _ in 0..20 {
            world.submit_some(2);
            world.cancel_some(0.1);
            let i = world.some_worker();
            match (world.between(0.0, 12.0)) as u32 {
                0 => world.workers[i].partitioned = true,
                1 => world.workers[i].inbound_lost = true,
                2 => world.workers[i].heartbeats_lost = true,
                3 => world.workers[i].hung = true,
                4 => world.workers[i].die(),
                5 => world.isolate_leader(LEADER_LEASE_S),
                6 => world.change_leader(1.0),
                7 => world.replace_leader(),
                8 => world.cut_zone("z", true),
                9 => world.cloud_is_down = !world.cloud_is_down,
                10 => world.tell_formers(),
                _ => world.reconnect_all(),
            }
            let calm_s = world.between(0.5, 8.0);
            world.run_busy(calm_s);
        }
    });
}

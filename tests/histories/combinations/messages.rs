//! Reports, answers and commands that arrive late or in another order.

use super::SEEDS;
use crate::network::{DelayRange, Faults};
use crate::timed::for_each_seed;

#[test]
fn reports_held_back_until_a_new_leader_has_acted() {
    let faults = Faults {
        kept_heartbeats: 0.3,
        late_heartbeats: 0.1,
        kept_delay: DelayRange::new(2.0, 12.0),
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..4 {
            world.submit_some(3);
            world.run_busy(8.0);
            world.cancel_some(0.1);
            world.change_leader(2.0);
        }
    });
}

#[test]
fn old_reports_reach_every_controller_as_a_new_leader_begins() {
    let faults = Faults {
        kept_heartbeats: 0.4,
        kept_delay: DelayRange::new(0.0, 0.5),
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..5 {
            world.submit_some(3);
            world.run_busy(9.0);
            world.cancel_some(0.1);
            world.replace_leader();
        }
    });
}

#[test]
fn old_reports_arrive_after_newer_ones() {
    let faults = Faults {
        copied_heartbeats: 0.5,
        late_commands: 0.2,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        world.rentable = 2;
        for _ in 0..4 {
            world.submit_some(3);
            world.run_busy(3.0);
            // The machines of one zone, or all, lose their lease: copies come from earlier incarnations and attempts.
            if world.chance(0.5) {
                world.cut_zone("y", false);
            } else {
                world.workers.iter_mut().for_each(|w| w.partitioned = true);
            }
            world.run_busy(14.0);
            world.reconnect_all();
            world.run_busy(8.0);
            world.cancel_some(0.1);
            if world.chance(0.5) {
                world.replace_leader();
            }
        }
    });
}

#[test]
fn direct_commands_are_carried_out_late() {
    let faults = Faults {
        late_commands: 0.4,
        slow_commands: 0.3,
        lost_command_responses: 0.2,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for i in 0..8 {
            world.submit_some(3);
            world.run_busy(7.0);
            world.cancel_some(0.2);
            match i % 4 {
                2 => world.replace_leader(),
                3 => world.change_leader(1.0),
                _ => {}
            }
        }
    });
}

#[test]
fn commands_overtake_slow_answers_to_reports() {
    let faults = Faults {
        slow_responses: 0.5,
        slow_commands: 0.7,
        lost_command_responses: 0.1,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..10 {
            world.submit_some(2);
            world.run_busy(4.0);
            world.cancel_some(0.15);
        }
    });
}

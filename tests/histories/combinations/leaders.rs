//! Changes of leader that meet machines out of reach, or that follow each other.

use super::{LEADER_LEASE_S, SEEDS};
use crate::job::JobShape;
use crate::network::{DelayRange, Faults};
use crate::timed::for_each_seed;
use stairstage::protocol::job::JobKind;

/// The leader ends, is deposed while it lives on, or loses the state service; some of it in an outage.
#[test]
fn leaders_change_ten_times_in_two_minutes_while_jobs_run() {
    for_each_seed(SEEDS / 2, |world| {
        for _ in 0..10 {
            world.submit_some(2);
            let calm_s = world.between(5.0, 10.0);
            world.run_busy(calm_s);
            world.cancel_some(0.1);
            let outage_s = world.between(0.5, 6.0);
            match world.between(0.0, 4.0) as u32 {
                0 => world.change_leader(1.0),
                1 => world.replace_leader(),
                2 => {
                    world.isolate_leader(LEADER_LEASE_S);
                    world.run_busy(1.0);
                    world.replace_leader();
                }
                _ => {
                    world.refuse_leader(LEADER_LEASE_S);
                    world.store_is_down = true;
                    world.run_for(outage_s);
                    world.end_leader();
                    world.run_for(outage_s);
                    world.store_is_down = false;
                    world.replace_leader();
                }
            }
        }
    });
}

#[test]
fn controllers_hand_over_and_back_then_all_end_and_one_returns_while_jobs_run() {
    let faults = Faults {
        slow_responses: 0.2,
        slow_commands: 0.3,
        kept_heartbeats: 0.2,
        kept_delay: DelayRange::new(0.0, 2.0),
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..4 {
            world.submit_some(3);
            world.run_busy(6.0);
            for _ in 0..2 {
                world.replace_leader();
                world.cancel_some(0.1);
                let until_back_s = world.between(0.25, 3.0);
                world.run_busy(until_back_s);
            }
            world.end_leader();
            world.former_leaders.clear();
            world.cancel_some(0.1);
            let away_s = world.between(0.25, 20.0);
            world.run_busy(away_s);
            world.replace_leader();
        }
    });
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    let faults = Faults {
        late_commands: 0.2,
        kept_heartbeats: 0.2,
        kept_delay: DelayRange::new(0.0, 3.0),
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        for _ in 0..3 {
            world.submit_some(4);
            world.run_busy(6.0);
            world.end_leader();
            world.cancel_some(0.2);
            let away_s = world.between(10.0, 30.0);
            world.run_busy(away_s);
            world.cancel_some(0.2);
            world.replace_leader();
        }
    });
}

#[test]
fn tasks_of_a_job_end_far_apart_across_a_change_of_leader() {
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
            let until_change = world.between(2.0, 10.0);
            world.run_busy(until_change);
            world.change_leader(1.0);
        }
    });
}

#[test]
fn a_zone_with_the_former_leader_is_cut_off_for_longer_than_a_lease() {
    for_each_seed(SEEDS, |world| {
        for zone in ["z", "y"] {
            let service = world.submit_shape(&JobShape {
                kind: JobKind::Service,
                tasks: 2,
                zone: Some(zone),
                ..JobShape::default()
            });
            world.submit_some(8);
            world.run_busy(6.0);
            world.cloud_is_down = world.chance(0.5);
            world.isolate_leader(LEADER_LEASE_S);
            // The replicas run on in the zone, and only the end of their lease ends them.
            world.cancel(&service);
            world.cancel_some(0.2);
            world.cut_zone(zone, true);
            world.replace_leader();
            for _ in 0..10 {
                world.run_busy(4.0);
                world.cancel_some(0.1);
                if world.chance(0.2) {
                    world.tell_formers();
                }
            }
            world.reconnect_all();
            world.cloud_is_down = false;
        }
    });
}

#[test]
fn a_leader_ends_while_machines_with_long_tasks_are_out_of_reach() {
    let long = JobShape {
        tasks: 4,
        run_s: 40.0,
        ..JobShape::default()
    };
    for_each_seed(SEEDS, |world| {
        for _ in 0..3 {
            world.submit_shape(&long);
            world.submit_some(2);
            world.run_busy(6.0);
            for _ in 0..3 {
                let i = world.some_worker();
                if world.chance(0.5) {
                    world.workers[i].partitioned = true;
                } else {
                    world.workers[i].inbound_lost = true;
                }
            }
            world.cloud_is_down = world.chance(0.5);
            world.change_leader(1.0);
            let away_s = world.between(3.0, 20.0);
            world.run_busy(away_s);
            world.reconnect_all();
            world.cloud_is_down = false;
        }
    });
}

#[test]
fn teams_at_their_limits_while_machines_are_out_of_reach_and_the_leader_changes() {
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
        world.run_busy(5.0);
        for _ in 0..4 {
            for _ in 0..2 {
                let i = world.some_worker();
                if world.chance(0.5) {
                    world.workers[i].partitioned = true;
                } else {
                    world.workers[i].hung = true;
                }
            }
            world.cloud_is_down = world.chance(0.5);
            world.cancel_some(0.2);
            if world.chance(0.5) {
                world.replace_leader();
            } else {
                world.change_leader(1.0);
            }
            world.cancel_some(0.1);
            let away_s = world.between(3.0, 18.0);
            world.run_busy(away_s);
            world.reconnect_all();
            world.cloud_is_down = false;
            world.run_busy(2.0);
        }
    });
}

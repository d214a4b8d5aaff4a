//! Troubles that meet, each meeting a short history that is played with many seeds.

use super::job::JobShape;
use super::network::Faults;
use super::timed::for_each_seed;
use super::world::World;
use stairstage::protocol::job::Kind;
use std::cell::Cell;

const SEEDS: u64 = 20;
/// How long the lease of a leader goes on that has lost the state service, at the most.
const LEADER_LEASE_S: f64 = 5.0;

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
fn reports_held_back_until_a_new_leader_has_acted() {
    let faults = Faults {
        kept_reports: 0.3,
        held_reports: 0.1,
        kept_s: (2.0, 12.0),
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
        kept_reports: 0.4,
        kept_s: (0.0, 0.5),
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
        copied_reports: 0.5,
        late_commands: 0.2,
        ..Faults::default()
    };
    for_each_seed(SEEDS, |world| {
        world.set_faults(faults);
        world.rentable = 2;
        for _ in 0..4 {
            world.submit_some(3);
            world.run_busy(3.0);
            // The machines of one zone, or all, lose their lease: copies come from earlier sessions and attempts.
            match world.chance(0.5) {
                true => world.cut_zone("y", false),
                false => world.workers.iter_mut().for_each(|w| w.cut = true),
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
        lost_command_answers: 0.2,
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
        slow_answers: 0.5,
        slow_commands: 0.7,
        lost_command_answers: 0.1,
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
                let kind = [Kind::Array, Kind::Gang][i % 2];
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
            match world.chance(0.5) {
                true => world.workers[i].die(),
                false => world.workers[i].cut = true,
            }
            world.run_busy(3.0);
            if world.chance(0.3) {
                world.replace_leader();
            }
        }
    });
}

#[test]
fn tasks_of_a_job_end_far_apart_across_a_change_of_leader() {
    for_each_seed(SEEDS, |world| {
        for i in 0..8 {
            world.submit_shape(&JobShape {
                kind: [Kind::Array, Kind::Array, Kind::Gang][i % 3],
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
                kind: Kind::Service,
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
                match world.chance(0.5) {
                    true => world.workers[i].cut = true,
                    false => world.workers[i].deaf = true,
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
                match world.chance(0.5) {
                    true => world.workers[i].cut = true,
                    false => world.workers[i].hung = true,
                }
            }
            world.cloud_is_down = world.chance(0.5);
            world.cancel_some(0.2);
            match world.chance(0.5) {
                true => world.replace_leader(),
                false => world.change_leader(1.0),
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

#[test]
fn workers_reach_no_controller_while_commands_reach_them() {
    for_each_seed(SEEDS, |world| {
        for _ in 0..4 {
            world.submit_some(4);
            for _ in 0..3 {
                let i = world.some_worker();
                world.workers[i].mute = true;
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
fn jobs_are_cancelled_while_work_changes_hands() {
    for_each_seed(SEEDS, |world| {
        for _ in 0..5 {
            world.submit_some(4);
            world.run_busy(6.0);
            world.cancel_some(0.2);
            match world.chance(0.5) {
                true => world.end_leader(),
                false => world.isolate_leader(LEADER_LEASE_S),
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
            kind: Kind::Service,
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
fn outage_longer_than_a_cancellation(world: &mut World, mut trouble: impl FnMut(&mut World)) {
    world.store_is_down = true;
    let outage_s = world.settings.cluster.workers.cancel_s * world.between(1.1, 2.0);
    let trouble_s = world.between(0.0, outage_s / 2.0);
    world.run_for(trouble_s);
    trouble(world);
    world.run_for(outage_s - trouble_s);
    world.store_is_down = false;
    world.replace_leader();
}

#[test]
fn a_refused_leader_stops_what_others_confirm_as_cancelled_through_an_outage() {
    let cancelled = Cell::new(0);
    for_each_seed(SEEDS, |world| {
        cancelled.set(cancelled.get() + cancel_as_the_leader_is_refused(world));
        let sessions = world.sessions();
        outage_longer_than_a_cancellation(world, |_| {});
        assert_eq!(world.sessions(), sessions, "a worker's lease has ended");
        assert_eq!(world.cancelled_on_machines(), 0);
    });
    assert!(cancelled.get() > 0, "nothing that ran was cancelled");
}

#[test]
fn a_refused_leader_that_loses_a_peer_lets_leases_end_before_a_cancellation_must() {
    let cancelled = Cell::new(0);
    for_each_seed(SEEDS, |world| {
        cancelled.set(cancelled.get() + cancel_as_the_leader_is_refused(world));
        match world.chance(0.5) {
            true => world.isolate_leader(0.0),
            false => world.peers.restart(0),
        }
        let sessions = world.sessions();
        outage_longer_than_a_cancellation(world, |world| world.isolate_leader(0.0));
        assert_ne!(world.sessions(), sessions, "nobody vouched for the leases");
        assert_eq!(world.cancelled_on_machines(), 0);
    });
    assert!(cancelled.get() > 0, "nothing that ran was cancelled");
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    let faults = Faults {
        late_commands: 0.2,
        kept_reports: 0.2,
        kept_s: (0.0, 3.0),
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
fn machines_hang_and_resume_within_or_after_their_lease() {
    let faults = Faults {
        lost_answers: 0.1,
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

#[test]
fn troubles_of_every_kind_follow_each_other() {
    let faults = Faults {
        slow_commands: 0.3,
        late_commands: 0.1,
        lost_command_answers: 0.05,
        copied_reports: 0.1,
        kept_reports: 0.05,
        kept_s: (0.0, 6.0),
        held_reports: 0.05,
        slow_answers: 0.1,
        lost_answers: 0.05,
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
                0 => world.workers[i].cut = true,
                1 => world.workers[i].deaf = true,
                2 => world.workers[i].mute = true,
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

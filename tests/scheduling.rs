//! Small cases of what failures on the users' bench and in generated histories have taught.

mod common;

use common::{heartbeat, heartbeat_from, manager, started_attempts, starts, submit, task_statuses};
use stairstage::coordination::cluster::{Effect, WriteOutcome};
use stairstage::protocol::worker::{Cause, Command, TaskState, TaskStatus};

#[test]
fn no_launch_leaves_before_its_place_is_recorded() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    heartbeat(&mut manager, 1, Vec::new(), 0.0);
    manager.step(0.0);
    let effects = manager.take_effects();
    assert!(effects.iter().any(|e| matches!(e, Effect::Write { .. })));
    assert!(!effects
        .iter()
        .any(|e| matches!(e, Effect::SendCommands { .. })));
    assert!(starts(&heartbeat(&mut manager, 2, Vec::new(), 0.5)).is_empty());
}

#[test]
fn a_deadline_brings_a_job_forward() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", Some(300.0), 1);
    submit(&mut manager, "req-2", "sweep", "normal", Some(50.0), 2);
    heartbeat(&mut manager, 1, Vec::new(), 0.0);
    let tasks = started_attempts(&mut manager, 0.0);
    assert_eq!(tasks.len(), 4);
    assert!(
        tasks.iter().all(|t| t.task.starts_with("req-2/")),
        "{tasks:?}"
    );
}

#[test]
fn a_job_that_failed_on_the_only_machine_is_tried_there_again() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    heartbeat(&mut manager, 1, Vec::new(), 0.0);
    let tasks = started_attempts(&mut manager, 0.0);
    let failed = task_statuses(&tasks, TaskState::Exited, Some(Cause::Error));
    // The first direct command is still unanswered, so launches come with the answers.
    let mut pass = |sequence, shown: &[TaskStatus], now| {
        started_attempts(&mut manager, now);
        starts(&heartbeat(&mut manager, sequence, shown.to_vec(), now))
    };
    assert!(pass(2, &failed, 1.0).is_empty());
    let again = pass(3, &failed, 1.5);
    assert_eq!(again.len(), 4, "{again:?}");
    assert!(again.iter().all(|t| !tasks.contains(t)), "attempts are new");
    // Failing there once more makes it pause, and one pause is enough for all four.
    let failed = task_statuses(&again, TaskState::Exited, Some(Cause::Error));
    assert!(pass(4, &failed, 2.0).is_empty());
    assert!(pass(5, &[], 5.0).is_empty());
    // It has completed nothing, so one task shows whether it fails again; then all are tried.
    let tried = pass(6, &[], 6.5);
    assert_eq!(tried.len(), 1, "{tried:?}");
    let runs = task_statuses(&tried, TaskState::Running, None);
    for (sequence, now) in [(7, 12.0), (8, 18.0), (9, 23.5)] {
        assert!(pass(sequence, &runs, now).is_empty(), "at {now}");
    }
    let rest = pass(10, &runs, 24.5);
    assert_eq!(rest.len(), 3, "{rest:?}");
    assert!(rest.iter().all(|t| !tried.contains(t)), "the others");
}

#[test]
fn a_service_stops_lesser_work_for_its_room() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    heartbeat(&mut manager, 1, Vec::new(), 0.0);
    let batch = started_attempts(&mut manager, 0.0);
    heartbeat(
        &mut manager,
        2,
        task_statuses(&batch, TaskState::Running, None),
        1.0,
    );
    submit(&mut manager, "req-2", "standing", "critical", None, 2);
    manager.step(1.0);
    let mut commands = Vec::new();
    for _ in 0..4 {
        for effect in manager.take_effects() {
            match effect {
                Effect::Write { id, .. } => {
                    manager.write_finished(id, WriteOutcome::Applied(200 + id), 1.0);
                }
                Effect::SendCommands {
                    commands: batch, ..
                } => commands.extend(batch.commands),
                _ => {}
            }
        }
        manager.step(1.0);
    }
    commands.extend(heartbeat(
        &mut manager,
        3,
        task_statuses(&batch, TaskState::Running, None),
        1.5,
    ));
    let stops = commands
        .iter()
        .filter(|c| matches!(c, Command::Stop { .. }));
    assert!(stops.count() >= 4, "{commands:?}");
    let first_start = commands
        .iter()
        .position(|c| matches!(c, Command::Start { .. }));
    let first_stop = commands
        .iter()
        .position(|c| matches!(c, Command::Stop { .. }));
    assert!(first_stop < first_start, "room is made before it is used");
}

#[test]
fn a_direct_launch_is_not_forgotten_while_a_copy_may_come() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    heartbeat(&mut manager, 1, Vec::new(), 0.0);
    let tasks = started_attempts(&mut manager, 0.0);
    let stopped = task_statuses(&tasks, TaskState::Exited, Some(Cause::Stopped));
    let commands = heartbeat(&mut manager, 2, stopped, 1.0);
    let forgets = commands
        .iter()
        .filter(|c| matches!(c, Command::Forget { .. }));
    assert_eq!(forgets.count(), 0, "{commands:?}");
}

#[test]
fn a_notice_stops_a_whole_gang_so_that_it_can_save() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "group", "normal", None, 1);
    heartbeat_from(&mut manager, "m-1", 1, None, Vec::new(), 0.0);
    heartbeat_from(&mut manager, "m-2", 1, None, Vec::new(), 0.0);
    let tasks = started_attempts(&mut manager, 0.0);
    assert_eq!(tasks.len(), 8);
    assert!(
        tasks.iter().all(|t| t.attempt == tasks[0].attempt),
        "one attempt for all"
    );
    let (one, other) = tasks.split_at(4);
    heartbeat_from(
        &mut manager,
        "m-1",
        2,
        None,
        task_statuses(one, TaskState::Running, None),
        1.0,
    );
    heartbeat_from(
        &mut manager,
        "m-2",
        2,
        None,
        task_statuses(other, TaskState::Running, None),
        1.0,
    );
    let mut commands = heartbeat_from(
        &mut manager,
        "m-1",
        3,
        Some(8.0),
        task_statuses(one, TaskState::Running, None),
        2.0,
    );
    commands.extend(heartbeat_from(
        &mut manager,
        "m-2",
        3,
        None,
        task_statuses(other, TaskState::Running, None),
        2.5,
    ));
    let saves = |c: &&Command| matches!(c, Command::Stop { grace_s, .. } if *grace_s >= 2.0);
    assert_eq!(commands.iter().filter(saves).count(), 8, "{commands:?}");
}

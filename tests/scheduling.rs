//! Regression tests for failures that the users' bench and generated histories have found.

mod common;

use common::{heartbeat, heartbeat_from, manager, started_attempts, starts, submit, task_statuses};
use stairstage::coordination::cluster::{Effect, WriteOutcome};
use stairstage::protocol::worker::{Cause, Command, TaskState, TaskStatus};

#[test]
fn no_launch_is_sent_before_its_allocation_is_stored() {
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
fn job_with_the_earlier_deadline_starts_first() {
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
fn job_that_failed_on_the_only_machine_is_retried_on_it() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    heartbeat(&mut manager, 1, Vec::new(), 0.0);
    let tasks = started_attempts(&mut manager, 0.0);
    let failed = task_statuses(&tasks, TaskState::Exited, Some(Cause::Error));
    // The first direct command is still unanswered, so launches are sent in the responses to heartbeats.
    let mut pass = |sequence, tasks: &[TaskStatus], now| {
        started_attempts(&mut manager, now);
        starts(&heartbeat(&mut manager, sequence, tasks.to_vec(), now))
    };
    assert!(pass(2, &failed, 1.0).is_empty());
    let again = pass(3, &failed, 1.5);
    assert_eq!(again.len(), 4, "{again:?}");
    assert!(
        again.iter().all(|t| !tasks.contains(t)),
        "must be new attempts"
    );
    // Another failure of all four tasks starts one backoff of the job.
    let failed = task_statuses(&again, TaskState::Exited, Some(Cause::Error));
    assert!(pass(4, &failed, 2.0).is_empty());
    assert!(pass(5, &[], 5.0).is_empty());
    // The job has completed no task, so a single task is retried first; the others follow once it has run
    // for a while.
    let trial = pass(6, &[], 6.5);
    assert_eq!(trial.len(), 1, "{trial:?}");
    let running = task_statuses(&trial, TaskState::Running, None);
    for (sequence, now) in [(7, 12.0), (8, 18.0), (9, 23.5)] {
        assert!(pass(sequence, &running, now).is_empty(), "at {now}");
    }
    let rest = pass(10, &running, 24.5);
    assert_eq!(rest.len(), 3, "{rest:?}");
    assert!(rest.iter().all(|t| !trial.contains(t)), "the other tasks");
}

#[test]
fn service_preempts_tasks_of_lower_priority() {
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
    assert!(
        first_stop < first_start,
        "tasks are stopped before the service starts"
    );
}

#[test]
fn directly_launched_task_is_not_forgotten_while_a_duplicate_command_may_arrive() {
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
fn reclaim_notice_on_one_machine_stops_the_whole_gang_with_time_to_save() {
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
    let (first_half, second_half) = tasks.split_at(4);
    heartbeat_from(
        &mut manager,
        "m-1",
        2,
        None,
        task_statuses(first_half, TaskState::Running, None),
        1.0,
    );
    heartbeat_from(
        &mut manager,
        "m-2",
        2,
        None,
        task_statuses(second_half, TaskState::Running, None),
        1.0,
    );
    let mut commands = heartbeat_from(
        &mut manager,
        "m-1",
        3,
        Some(8.0),
        task_statuses(first_half, TaskState::Running, None),
        2.0,
    );
    commands.extend(heartbeat_from(
        &mut manager,
        "m-2",
        3,
        None,
        task_statuses(second_half, TaskState::Running, None),
        2.5,
    ));
    let saves = |c: &&Command| matches!(c, Command::Stop { grace_s, .. } if *grace_s >= 2.0);
    assert_eq!(commands.iter().filter(saves).count(), 8, "{commands:?}");
}

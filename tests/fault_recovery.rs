//! Recovery from single faults: delayed or duplicate heartbeats, lost responses, restarted processes, and a
//! leader whose leadership lease is unconfirmed.

mod common;

use common::{
    apply_effects, for_each_effect, heartbeat, heartbeat_starts, lose_commands, manager,
    manager_with_token, parse_submission, started_attempts, starts, submission, submit,
    task_statuses, worker_heartbeat, AttemptId,
};
use stairstage::coordination::cluster::heartbeat_routing::{HeartbeatRouter, Route};
use stairstage::coordination::cluster::{CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::cloud::{ListedMachine, MachineState};
use stairstage::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use stairstage::protocol::job::JobState;
use stairstage::protocol::store::WriteOperation;
use stairstage::protocol::worker::{Cause, Command, TaskState};
use stairstage::settings::WorkerTimings;
use stairstage::storage::records::OpenRecord;

/// A job whose four tasks run on the only machine, which has sent two heartbeats.
fn running_job() -> (ClusterManager, Vec<AttemptId>) {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    let attempts = started_attempts(&mut manager, 0.0);
    let running = task_statuses(&attempts, TaskState::Running, None);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 2, 1, running), 1.0);
    (manager, attempts)
}

#[test]
fn worker_that_applies_no_responses_gets_no_more_work_and_is_returned() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "standing", "critical", None, 1);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    assert!(!lose_commands(&mut manager, 0.0).0.is_empty());
    // The heartbeats of m-1 continue, but show no effect of the responses.
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 2, 1, vec![]), 2.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 3, 1, vec![]), 4.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 4, 1, vec![]), 6.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-2", 1, 1, vec![]), 6.0);
    submit(&mut manager, "req-2", "sweep", "normal", None, 2);
    let (launched, _) = lose_commands(&mut manager, 6.1);
    assert_eq!(
        launched.len(),
        4,
        "all tasks start on the other machine: {launched:?}"
    );
    let mut returned = Vec::new();
    for i in 0..8 {
        let now = 8.0 + 2.0 * f64::from(i);
        manager.heartbeat(&worker_heartbeat("m-1", 5 + i as u64, 1, vec![]), now);
        manager.heartbeat(&worker_heartbeat("m-2", 2 + i as u64, 1, vec![]), now);
        returned.extend(lose_commands(&mut manager, now).1);
    }
    assert!(returned.contains(&"m-1".to_string()), "{returned:?}");
}

#[test]
fn worker_that_applies_responses_again_gets_work_again() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    let attempts = started_attempts(&mut manager, 0.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 2, 1, vec![]), 1.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 3, 1, vec![]), 2.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 4, 1, vec![]), 3.0);
    // Responses arrive again: the heartbeats show the tasks, and then their completion.
    let running = task_statuses(&attempts, TaskState::Running, None);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 5, 1, running), 4.0);
    let done = task_statuses(&attempts, TaskState::Exited, Some(Cause::Done));
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 6, 1, done), 5.0);
    submit(&mut manager, "req-2", "sweep", "normal", None, 2);
    let mut next = started_attempts(&mut manager, 5.5);
    next.extend(starts(&heartbeat(&mut manager, 7, Vec::new(), 6.0)));
    assert_eq!(next.len(), 4, "{next:?}");
}

#[test]
fn delayed_heartbeat_does_not_prove_to_a_new_leader_that_a_worker_is_reachable() {
    // The fencing tokens of this leader begin at 5; the heartbeat was sent under an earlier leader.
    let mut manager = manager_with_token(5);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 9, 3, vec![]), 0.0);
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    assert!(lose_commands(&mut manager, 0.1).0.is_empty());
    let mut returned = Vec::new();
    for i in 1..30 {
        returned.extend(lose_commands(&mut manager, f64::from(i)).1);
    }
    assert_eq!(returned, ["m-1"]);
}

#[test]
fn delayed_heartbeat_does_not_bring_back_a_returned_machine() {
    let mut manager = manager();
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    manager.machines_returned(&["m-1".to_string()], true, 1.0);
    let delayed = worker_heartbeat("m-1", 2, 1, vec![]);
    // At any time, until well after the worker's lease has expired.
    for i in 1..40 {
        manager.tick(f64::from(i));
        assert_eq!(
            manager.heartbeat(&delayed, f64::from(i)),
            HeartbeatOutcome::Stale
        );
        assert_eq!(manager.machine_count(), 0);
    }
}

#[test]
fn completions_in_a_delayed_heartbeat_of_a_returned_machine_count() {
    let (mut manager, attempts) = running_job();
    manager.machines_returned(&["m-1".to_string()], true, 2.0);
    assert_eq!(manager.status("req-1").unwrap().done, 0);
    let done = task_statuses(&attempts, TaskState::Exited, Some(Cause::Done));
    manager.heartbeat(&worker_heartbeat("m-1", 3, 1, done), 3.0);
    assert_eq!(manager.status("req-1").unwrap().done, 4);
}

#[test]
fn leader_with_unconfirmed_lease_keeps_tasks_alive_and_starts_none() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    // The launches are stored, but no direct command has reached the worker.
    assert_eq!(lose_commands(&mut manager, 0.0).0.len(), 4);
    manager.set_lease_valid_until(1.0);
    let starts = heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 2, 1, vec![]), 2.0);
    assert!(starts.is_empty(), "{starts:?}");
    manager.set_lease_valid_until(10.0);
    let starts = heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 3, 1, vec![]), 3.0);
    assert_eq!(starts.len(), 4, "the lease was still held");
}

#[test]
fn leader_with_unconfirmed_lease_stops_cancelled_tasks_without_waiting_for_a_heartbeat() {
    let (mut manager, attempts) = running_job();
    manager.commands_finished(&"m-1".into(), CommandOutcome::Indeterminate, 1.0);
    manager.set_lease_valid_until(1.0);
    manager.final_state_recorded("req-1", JobState::Cancelled, 8.0);
    manager.step(8.0);
    let mut stopped = Vec::new();
    for effect in manager.take_effects() {
        if let Effect::SendCommands {
            commands: batch, ..
        } = effect
        {
            stopped.extend(batch.commands);
        }
    }
    let is_stop = |c: &Command| matches!(c, Command::Stop { .. });
    assert_eq!(stopped.len(), attempts.len());
    assert!(stopped.iter().all(is_stop), "{stopped:?}");
}

#[test]
fn tasks_lost_in_a_worker_restart_are_started_again() {
    let (mut manager, _) = running_job();
    // The worker restarted at once and its sequence numbers have caught up, so only a new fencing token
    // proves that no earlier launch can still arrive.
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 3, 1, vec![]), 8.0);
    manager.step(9.0);
    let raises = |e: &Effect| matches!(e, Effect::RaiseToken);
    assert!(manager.take_effects().iter().any(raises));
    manager.token_raised(Some(FencingToken(2)), 9.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 4, 1, vec![]), 10.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 5, 2, vec![]), 10.5);
    assert_eq!(manager.status("req-1").unwrap().running, 0);
    // The first direct command is still unanswered, so the launches are sent in the response to a heartbeat.
    started_attempts(&mut manager, 11.0);
    let restarted = heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 6, 2, vec![]), 11.5);
    assert_eq!(restarted.len(), 4, "all tasks are started again");
}

#[test]
fn delayed_heartbeat_of_an_earlier_worker_process_is_stale() {
    let mut manager = manager_with_token(5);
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 0, vec![]), 0.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 2, 5, vec![]), 0.5);
    assert_eq!(started_attempts(&mut manager, 0.5).len(), 4);
    // Sent by an earlier process on m-1 in its second incarnation, under an earlier leader.
    let mut delayed = worker_heartbeat("m-1", 9, 3, vec![]);
    delayed.incarnation = Incarnation(2);
    assert_eq!(manager.heartbeat(&delayed, 1.0), HeartbeatOutcome::Stale);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-2", 1, 5, vec![]), 1.0);
    assert!(
        started_attempts(&mut manager, 2.0).is_empty(),
        "the tasks may still run on m-1"
    );
}

/// Worker settings with a lease of `lease_s`.
fn workers_with_lease(lease_s: f64) -> WorkerTimings {
    WorkerTimings {
        report_s: 2.0,
        lease_s,
        gang_wait_s: 20.0,
        gang_peer_s: 4.0,
        cancel_s: 60.0,
    }
}

#[test]
fn duplicate_or_older_heartbeat_does_not_count_as_a_return_after_a_redirect() {
    let mut router = HeartbeatRouter::new(&workers_with_lease(30.0));
    let mut route = |sequence, now| {
        let heartbeat = (Incarnation(1), HeartbeatSequence(sequence));
        router.route("m-1", heartbeat, now)
    };
    assert_eq!(route(5, 0.0), Route::Redirect);
    for _ in 0..5 {
        assert_eq!(route(5, 1.0), Route::Redirect);
        assert_eq!(route(3, 1.0), Route::Redirect);
    }
    assert_eq!(route(6, 2.0), Route::Redirect);
    assert_eq!(route(7, 3.0), Route::Forward);
    // After a long pause, the count of redirects starts again.
    assert_eq!(route(8, 20.0), Route::Redirect);
}

/// The worker may have switched to this controller because it cannot reach the leader, and half of its lease
/// may have passed while it tried.
#[test]
fn first_heartbeat_of_a_worker_with_a_short_lease_is_forwarded() {
    let mut router = HeartbeatRouter::new(&workers_with_lease(10.0));
    let mut route = |sequence, now| {
        let heartbeat = (Incarnation(1), HeartbeatSequence(sequence));
        router.route("m-1", heartbeat, now)
    };
    assert_eq!(route(5, 0.0), Route::Forward);
    assert_eq!(route(6, 2.0), Route::Redirect);
    // A worker that comes back a third time cannot reach the leader.
    assert_eq!(route(7, 8.0), Route::Forward);
    assert_eq!(route(8, 10.0), Route::Forward);
    assert_eq!(route(9, 40.0), Route::Forward);
    assert_eq!(route(10, 42.0), Route::Redirect);
}

#[test]
fn repeated_submissions_cancellations_and_returns_have_no_effect() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    submit(&mut manager, "req-1", "sweep", "normal", None, 7);
    assert_eq!(manager.job_count(), 1);
    manager.cancel("req-1", 0.0);
    manager.cancel("req-1", 0.5);
    let spec = common::parse_submission(&common::submission("req-1", "sweep", "normal", 4));
    let record = OpenRecord::accepted(spec, 0);
    manager.job_accepted(record, 1, 0, 1.0);
    assert!(manager.status("req-1").is_none_or(|s| s.done == 0));
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 1.0);
    assert!(
        started_attempts(&mut manager, 1.0).is_empty(),
        "the job stays cancelled"
    );
    manager.machines_returned(&["m-1".to_string()], true, 2.0);
    manager.machines_returned(&["m-1".to_string()], true, 2.5);
    assert_eq!(manager.machine_count(), 0);
}

#[test]
fn new_leader_returns_idle_machine_by_its_age_since_rental_not_since_election() {
    let mut manager = manager();
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    let listed = ListedMachine {
        name: "m-1".into(),
        endpoint: None,
        kind: "m4".into(),
        zone: "z".into(),
        spot: false,
        state: MachineState::Running,
        age_s: 300.0,
    };
    manager.machines_listed(&[listed], 1.0);
    let mut returned = Vec::new();
    for i in 1..10 {
        let now = 2.0 * f64::from(i);
        manager.heartbeat(&worker_heartbeat("m-1", 1 + i as u64, 1, vec![]), now);
        returned.extend(lose_commands(&mut manager, now).1);
    }
    assert_eq!(returned, ["m-1"], "rented long ago, and idle");
}

/// Submits an array of one task.
fn submit_one_task(manager: &mut ClusterManager, id: &str, sequence: u64, now: f64) {
    let spec = parse_submission(&submission(id, "sweep", "normal", 1));
    manager.job_accepted(OpenRecord::accepted(spec, 0), sequence, 0, now);
}

/// Runs a scheduling step in which all writes succeed. Returns the deleted keys, and the attempts launched by
/// direct commands, which stay unanswered.
fn run_step(manager: &mut ClusterManager, now: f64) -> (Vec<String>, Vec<AttemptId>) {
    let (mut deleted, mut launches) = (Vec::new(), Vec::new());
    for_each_effect(manager, now, |manager, effect| match effect {
        Effect::Write { id, transaction } => {
            deleted.extend(transaction.operations.iter().filter_map(|c| match c {
                WriteOperation::Delete { key } => Some(key.clone()),
                WriteOperation::Put { .. } => None,
            }));
            manager.write_finished(id, WriteOutcome::Applied(100 + id), now);
        }
        Effect::SendCommands {
            commands: batch, ..
        } => launches.extend(starts(&batch.commands)),
        _ => {}
    });
    (deleted, launches)
}

#[test]
fn command_response_does_not_prove_that_a_launch_in_a_heartbeat_response_is_lost() {
    let mut manager = manager();
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    submit_one_task(&mut manager, "req-1", 1, 0.0);
    let (_, launches) = run_step(&mut manager, 0.0);
    assert_eq!(launches.len(), 1);
    // While the first command is unanswered, the launch of req-2 is sent in the response to a heartbeat.
    submit_one_task(&mut manager, "req-2", 2, 0.5);
    assert!(run_step(&mut manager, 0.5).1.is_empty());
    let in_response = heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 2, 1, vec![]), 0.6);
    assert!(
        in_response.contains(&"req-2/0".to_string()),
        "{in_response:?}"
    );
    manager.cancel("req-2", 0.7);
    // The command is answered first. The answer does not show req-2, whose launch may still arrive.
    let running = task_statuses(&launches, TaskState::Running, None);
    let after_command = worker_heartbeat("m-1", 3, 1, running.clone());
    manager.commands_finished(&"m-1".into(), CommandOutcome::Executed(after_command), 0.8);
    let (deleted, _) = run_step(&mut manager, 1.5);
    assert!(deleted.is_empty(), "{deleted:?}");
    // The worker's next regular heartbeat shows that it has not applied the response with the launch.
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 4, 1, running), 2.0);
    let (deleted, _) = run_step(&mut manager, 2.5);
    assert_eq!(deleted, ["open/req-2"]);
}

#[test]
fn worker_that_answers_commands_but_sends_no_heartbeats_gets_no_work_and_is_returned() {
    let mut manager = manager();
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    heartbeat_starts(&mut manager, &worker_heartbeat("m-2", 1, 1, vec![]), 0.0);
    let (mut started_on_1, mut started_on_2) = (Vec::new(), Vec::new());
    let mut returned = Vec::new();
    for second in 1..40 {
        let now = f64::from(second);
        let number = 1 + second as u64;
        // m-1 keeps sending heartbeats; m-2 only answers commands, and its leases expire.
        let running = task_statuses(&started_on_1, TaskState::Running, None);
        manager.heartbeat(&worker_heartbeat("m-1", number, 1, running), now);
        if second == 8 {
            submit(&mut manager, "req-1", "sweep", "normal", None, 1);
            submit(&mut manager, "req-2", "sweep", "normal", None, 2);
        }
        manager.tick(now);
        apply_effects(&mut manager, now, |manager, effect| match effect {
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => {
                match machine.as_ref() {
                    "m-2" => started_on_2.extend(starts(&batch.commands)),
                    _ => started_on_1.extend(starts(&batch.commands)),
                }
                let mut response = worker_heartbeat(&machine, 1000 + number, 1, vec![]);
                response.incarnation = Incarnation(1 + second as u64 / 12);
                let outcome = match machine.as_ref() {
                    "m-2" => CommandOutcome::Executed(response),
                    _ => CommandOutcome::NotSent,
                };
                manager.commands_finished(&machine, outcome, now);
            }
            Effect::ReturnMachines(names) => {
                manager.machines_returned(&names, true, now);
                returned.extend(names);
            }
            _ => {}
        });
    }
    assert_eq!(started_on_1.len(), 4);
    assert!(started_on_2.is_empty(), "{started_on_2:?}");
    assert_eq!(returned, ["m-2"]);
}

#[test]
fn task_that_belongs_to_no_open_job_is_stopped() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    let unknown = task_statuses(&[AttemptId::new("req-9/0", 7)], TaskState::Running, None);
    let answer = match manager.heartbeat(&worker_heartbeat("m-1", 1, 1, unknown), 0.0) {
        HeartbeatOutcome::Response(answer) => answer.commands,
        other => panic!("{other:?}"),
    };
    let stops =
        |c: &Command| matches!(c, Command::Stop { task, attempt: 7, .. } if task == "req-9/0");
    assert!(answer.iter().any(stops), "{answer:?}");
}

//! Recovery from single faults: late copies, lost answers, restarted processes and a leader in doubt.

mod common;

use common::{
    answered, carry_out, each_effect, heartbeat, launched, manager, manager_with_token,
    out_of_reach, parsed, shown, starts, submission, submit, worker_heartbeat, AttemptId,
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

/// A job whose four tasks run on the one machine, which has reported twice.
fn running_on_one() -> (ClusterManager, Vec<AttemptId>) {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    answered(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    let attempts = launched(&mut manager, 0.0);
    let running = shown(&attempts, TaskState::Running, None);
    answered(&mut manager, &worker_heartbeat("m-1", 2, 1, running), 1.0);
    (manager, attempts)
}

#[test]
fn a_worker_that_acknowledges_no_answer_gets_no_more_work_and_is_returned() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "standing", "critical", None, 1);
    answered(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    assert!(!out_of_reach(&mut manager, 0.0).0.is_empty());
    // Its heartbeats go on; nothing of what the answers say shows in them.
    answered(&mut manager, &worker_heartbeat("m-1", 2, 1, vec![]), 2.0);
    answered(&mut manager, &worker_heartbeat("m-1", 3, 1, vec![]), 4.0);
    answered(&mut manager, &worker_heartbeat("m-1", 4, 1, vec![]), 6.0);
    answered(&mut manager, &worker_heartbeat("m-2", 1, 1, vec![]), 6.0);
    submit(&mut manager, "req-2", "sweep", "normal", None, 2);
    let (launched, _) = out_of_reach(&mut manager, 6.1);
    assert_eq!(
        launched.len(),
        4,
        "all go to the other machine: {launched:?}"
    );
    let mut returned = Vec::new();
    for i in 0..8 {
        let now = 8.0 + 2.0 * f64::from(i);
        manager.heartbeat(&worker_heartbeat("m-1", 5 + i as u64, 1, vec![]), now);
        manager.heartbeat(&worker_heartbeat("m-2", 2 + i as u64, 1, vec![]), now);
        returned.extend(out_of_reach(&mut manager, now).1);
    }
    assert!(returned.contains(&"m-1".to_string()), "{returned:?}");
}

#[test]
fn a_worker_that_hears_again_is_used_again() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    answered(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    let attempts = launched(&mut manager, 0.0);
    answered(&mut manager, &worker_heartbeat("m-1", 2, 1, vec![]), 1.0);
    answered(&mut manager, &worker_heartbeat("m-1", 3, 1, vec![]), 2.0);
    answered(&mut manager, &worker_heartbeat("m-1", 4, 1, vec![]), 3.0);
    // The answers get through: the tasks show, and end.
    let running = shown(&attempts, TaskState::Running, None);
    answered(&mut manager, &worker_heartbeat("m-1", 5, 1, running), 4.0);
    let done = shown(&attempts, TaskState::Exited, Some(Cause::Done));
    answered(&mut manager, &worker_heartbeat("m-1", 6, 1, done), 5.0);
    submit(&mut manager, "req-2", "sweep", "normal", None, 2);
    let mut again = launched(&mut manager, 5.5);
    again.extend(starts(&heartbeat(&mut manager, 7, Vec::new(), 6.0)));
    assert_eq!(again.len(), 4, "{again:?}");
}

#[test]
fn a_late_copy_is_no_sign_of_life_to_a_new_leader() {
    // Tokens of this leader begin at 5; the copy is from before.
    let mut manager = manager_with_token(5);
    answered(&mut manager, &worker_heartbeat("m-1", 9, 3, vec![]), 0.0);
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    assert!(out_of_reach(&mut manager, 0.1).0.is_empty());
    let mut returned = Vec::new();
    for i in 1..30 {
        returned.extend(out_of_reach(&mut manager, f64::from(i)).1);
    }
    assert_eq!(returned, ["m-1"]);
}

#[test]
fn a_late_copy_brings_no_returned_machine_back() {
    let mut manager = manager();
    answered(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    manager.machines_returned(&["m-1".to_string()], true, 1.0);
    let copy = worker_heartbeat("m-1", 2, 1, vec![]);
    // Well over a lease later, with time passing meanwhile.
    for i in 1..40 {
        manager.tick(f64::from(i));
        assert_eq!(
            manager.heartbeat(&copy, f64::from(i)),
            HeartbeatOutcome::Stale
        );
        assert_eq!(manager.machine_count(), 0);
    }
}

#[test]
fn what_a_late_copy_says_has_completed_has_completed() {
    let (mut manager, attempts) = running_on_one();
    manager.machines_returned(&["m-1".to_string()], true, 2.0);
    assert_eq!(manager.status("req-1").unwrap().done, 0);
    let done = shown(&attempts, TaskState::Exited, Some(Cause::Done));
    manager.heartbeat(&worker_heartbeat("m-1", 3, 1, done), 3.0);
    assert_eq!(manager.status("req-1").unwrap().done, 4);
}

#[test]
fn a_leader_in_doubt_keeps_tasks_alive_and_starts_nothing() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    answered(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    // The launches are recorded, but no direct command got through.
    assert_eq!(out_of_reach(&mut manager, 0.0).0.len(), 4);
    manager.set_lease_valid_until(1.0);
    let starts = answered(&mut manager, &worker_heartbeat("m-1", 2, 1, vec![]), 2.0);
    assert!(starts.is_empty(), "{starts:?}");
    manager.set_lease_valid_until(10.0);
    let starts = answered(&mut manager, &worker_heartbeat("m-1", 3, 1, vec![]), 3.0);
    assert_eq!(starts.len(), 4, "the lease held after all");
}

#[test]
fn a_leader_in_doubt_stops_what_was_cancelled_without_waiting_for_a_report() {
    let (mut manager, attempts) = running_on_one();
    manager.commands_answered(&"m-1".into(), CommandOutcome::Unknown, 1.0);
    manager.set_lease_valid_until(1.0);
    manager.job_finished("req-1", JobState::Cancelled, 8.0);
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
fn a_task_that_vanished_with_its_worker_s_process_does_not_stay_for_ever() {
    let (mut manager, _) = running_on_one();
    // The process was back at once, and its counters have caught up: only a new token proves
    // that no launch can still arrive.
    answered(&mut manager, &worker_heartbeat("m-1", 3, 1, vec![]), 8.0);
    manager.step(9.0);
    let raises = |e: &Effect| matches!(e, Effect::RaiseToken);
    assert!(manager.take_effects().iter().any(raises));
    manager.token_raised(Some(FencingToken(2)), 9.0);
    answered(&mut manager, &worker_heartbeat("m-1", 4, 1, vec![]), 10.0);
    answered(&mut manager, &worker_heartbeat("m-1", 5, 2, vec![]), 10.5);
    assert_eq!(manager.status("req-1").unwrap().running, 0);
    // The first direct command is still without an answer, so the launches come with a heartbeat's.
    launched(&mut manager, 11.0);
    let again = answered(&mut manager, &worker_heartbeat("m-1", 6, 2, vec![]), 11.5);
    assert_eq!(again.len(), 4, "they start anew");
}

#[test]
fn a_copy_from_before_a_machine_s_process_ended_proves_nothing() {
    let mut manager = manager_with_token(5);
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    answered(&mut manager, &worker_heartbeat("m-1", 1, 0, vec![]), 0.0);
    answered(&mut manager, &worker_heartbeat("m-1", 2, 5, vec![]), 0.5);
    assert_eq!(launched(&mut manager, 0.5).len(), 4);
    // An earlier process of that machine had come to its second incarnation, under an earlier leader.
    let mut copy = worker_heartbeat("m-1", 9, 3, vec![]);
    copy.incarnation = Incarnation(2);
    assert_eq!(manager.heartbeat(&copy, 1.0), HeartbeatOutcome::Stale);
    answered(&mut manager, &worker_heartbeat("m-2", 1, 5, vec![]), 1.0);
    assert!(
        launched(&mut manager, 2.0).is_empty(),
        "they may run on m-1"
    );
}

/// How workers report, with such a lease.
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
fn a_copy_of_a_report_is_no_worker_that_comes_back() {
    let mut redirects = HeartbeatRouter::new(&workers_with_lease(30.0));
    let mut route = |sequence, now| {
        let heartbeat = (Incarnation(1), HeartbeatSequence(sequence));
        redirects.route("m-1", heartbeat, now)
    };
    assert_eq!(route(5, 0.0), Route::Redirect);
    for _ in 0..5 {
        assert_eq!(route(5, 1.0), Route::Redirect);
        assert_eq!(route(3, 1.0), Route::Redirect);
    }
    assert_eq!(route(6, 2.0), Route::Redirect);
    assert_eq!(route(7, 3.0), Route::Forward);
    // Much later it is a worker like any other.
    assert_eq!(route(8, 20.0), Route::Redirect);
}

/// It may have come because it does not reach the leader, and has lost half of its lease there.
#[test]
fn the_first_report_of_a_worker_with_a_short_lease_is_passed_on() {
    let mut redirects = HeartbeatRouter::new(&workers_with_lease(10.0));
    let mut route = |sequence, now| {
        let heartbeat = (Incarnation(1), HeartbeatSequence(sequence));
        redirects.route("m-1", heartbeat, now)
    };
    assert_eq!(route(5, 0.0), Route::Forward);
    assert_eq!(route(6, 2.0), Route::Redirect);
    // Neither the leader nor a new try within its patience: it comes back, and does not get through.
    assert_eq!(route(7, 8.0), Route::Forward);
    assert_eq!(route(8, 10.0), Route::Forward);
    assert_eq!(route(9, 40.0), Route::Forward);
    assert_eq!(route(10, 42.0), Route::Redirect);
}

#[test]
fn repeats_of_what_was_carried_out_change_nothing() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    submit(&mut manager, "req-1", "sweep", "normal", None, 7);
    assert_eq!(manager.job_count(), 1);
    manager.cancel("req-1", 0.0);
    manager.cancel("req-1", 0.5);
    let spec = common::parsed(&common::submission("req-1", "sweep", "normal", 4));
    let record = OpenRecord::accepted(spec, 0);
    manager.job_accepted(record, 1, 0, 1.0);
    assert!(manager.status("req-1").is_none_or(|s| s.done == 0));
    answered(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 1.0);
    assert!(launched(&mut manager, 1.0).is_empty(), "it stays cancelled");
    manager.machines_returned(&["m-1".to_string()], true, 2.0);
    manager.machines_returned(&["m-1".to_string()], true, 2.5);
    assert_eq!(manager.machine_count(), 0);
}

#[test]
fn a_new_leader_returns_idle_machines_by_their_age_not_its_own() {
    let mut manager = manager();
    answered(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
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
        returned.extend(out_of_reach(&mut manager, now).1);
    }
    assert_eq!(returned, ["m-1"], "long paid for, and idle");
}

/// An array of one task, as it is opened.
fn open_one_task(manager: &mut ClusterManager, id: &str, sequence: u64, now: f64) {
    let spec = parsed(&submission(id, "sweep", "normal", 1));
    manager.job_accepted(OpenRecord::accepted(spec, 0), sequence, 0, now);
}

/// Lets the manager decide. Writes succeed; returns the keys that they delete, and what is launched by
/// direct commands, which get no answer yet.
fn decided(manager: &mut ClusterManager, now: f64) -> (Vec<String>, Vec<AttemptId>) {
    let (mut deleted, mut launches) = (Vec::new(), Vec::new());
    each_effect(manager, now, |manager, effect| match effect {
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
fn a_command_that_overtakes_an_answer_proves_nothing_of_its_launches() {
    let mut manager = manager();
    answered(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    open_one_task(&mut manager, "req-1", 1, 0.0);
    let (_, launches) = decided(&mut manager, 0.0);
    assert_eq!(launches.len(), 1);
    // While that command is under way, the other job's launch leaves with the response to a heartbeat.
    open_one_task(&mut manager, "req-2", 2, 0.5);
    assert!(decided(&mut manager, 0.5).1.is_empty());
    let by_answer = answered(&mut manager, &worker_heartbeat("m-1", 2, 1, vec![]), 0.6);
    assert!(by_answer.contains(&"req-2/0".to_string()), "{by_answer:?}");
    manager.cancel("req-2", 0.7);
    // The command is answered first: nothing of the second job is there yet, but it may come.
    let running = shown(&launches, TaskState::Running, None);
    let after_command = worker_heartbeat("m-1", 3, 1, running.clone());
    manager.commands_answered(&"m-1".into(), CommandOutcome::Executed(after_command), 0.8);
    let (deleted, _) = decided(&mut manager, 1.5);
    assert!(deleted.is_empty(), "{deleted:?}");
    // The worker's next own heartbeat shows that it did not take the answer.
    answered(&mut manager, &worker_heartbeat("m-1", 4, 1, running), 2.0);
    let (deleted, _) = decided(&mut manager, 2.5);
    assert_eq!(deleted, ["open/req-2"]);
}

#[test]
fn a_worker_that_answers_commands_but_sends_no_reports_gets_no_work_and_is_returned() {
    let mut manager = manager();
    answered(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    answered(&mut manager, &worker_heartbeat("m-2", 1, 1, vec![]), 0.0);
    let (mut on_first, mut on_second) = (Vec::new(), Vec::new());
    let mut returned = Vec::new();
    for second in 1..40 {
        let now = f64::from(second);
        let number = 1 + second as u64;
        // The first goes on reporting; the second only answers commands, and loses its leases.
        let running = shown(&on_first, TaskState::Running, None);
        manager.heartbeat(&worker_heartbeat("m-1", number, 1, running), now);
        if second == 8 {
            submit(&mut manager, "req-1", "sweep", "normal", None, 1);
            submit(&mut manager, "req-2", "sweep", "normal", None, 2);
        }
        manager.tick(now);
        carry_out(&mut manager, now, |manager, effect| match effect {
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => {
                match machine.as_ref() {
                    "m-2" => on_second.extend(starts(&batch.commands)),
                    _ => on_first.extend(starts(&batch.commands)),
                }
                let mut after = worker_heartbeat(&machine, 1000 + number, 1, vec![]);
                after.incarnation = Incarnation(1 + second as u64 / 12);
                let result = match machine.as_ref() {
                    "m-2" => CommandOutcome::Executed(after),
                    _ => CommandOutcome::NotSent,
                };
                manager.commands_answered(&machine, result, now);
            }
            Effect::ReturnMachines(names) => {
                manager.machines_returned(&names, true, now);
                returned.extend(names);
            }
            _ => {}
        });
    }
    assert_eq!(on_first.len(), 4);
    assert!(on_second.is_empty(), "{on_second:?}");
    assert_eq!(returned, ["m-2"]);
}

#[test]
fn a_task_that_no_open_job_accounts_for_is_stopped() {
    let mut manager = manager();
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    let unknown = shown(&[AttemptId::new("req-9/0", 7)], TaskState::Running, None);
    let answer = match manager.heartbeat(&worker_heartbeat("m-1", 1, 1, unknown), 0.0) {
        HeartbeatOutcome::Answer(answer) => answer.commands,
        other => panic!("{other:?}"),
    };
    let stops =
        |c: &Command| matches!(c, Command::Stop { task, attempt: 7, .. } if task == "req-9/0");
    assert!(answer.iter().any(stops), "{answer:?}");
}

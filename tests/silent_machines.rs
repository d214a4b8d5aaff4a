//! How a leader treats missing heartbeats of one machine, of many, or of all.

mod common;

use common::{
    apply_effects, heartbeat_starts, lose_commands, manager, manager_with_token, parse_submission,
    starts, submission, submit, task_statuses, worker_heartbeat,
};
use stairstage::coordination::cluster::heartbeats::HeartbeatSource;
use stairstage::coordination::cluster::{CommandOutcome, Effect, HeartbeatOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::worker::{TaskState, TaskStatus};
use stairstage::storage::records::OpenRecord;
use std::collections::BTreeMap;

/// A leader of forty machines, and the tasks that run on each of them.
fn forty_machines() -> (ClusterManager, BTreeMap<String, Vec<TaskStatus>>) {
    let mut manager = manager();
    let mut tasks: BTreeMap<String, Vec<TaskStatus>> = BTreeMap::new();
    for i in 0..40 {
        let id = format!("req-{i}");
        submit(&mut manager, &id, "sweep", "normal", None, i + 1);
    }
    for i in 0..40 {
        heartbeat_starts(
            &mut manager,
            &worker_heartbeat(&machine_name(i), 1, 1, vec![]),
            0.0,
        );
    }
    apply_effects(&mut manager, 0.0, |manager, effect| {
        if let Effect::SendCommands {
            machine,
            commands: batch,
            ..
        } = effect
        {
            let on_machine = tasks.entry(machine.to_string()).or_default();
            on_machine.extend(task_statuses(
                &starts(&batch.commands),
                TaskState::Running,
                None,
            ));
            let heartbeat = worker_heartbeat(&machine, 2, 1, on_machine.clone());
            manager.commands_finished(&machine, CommandOutcome::Executed(heartbeat), 0.0);
        }
    });
    (manager, tasks)
}

fn machine_name(i: u64) -> String {
    format!("m-{i:02}")
}

/// Lets the machines in `reporting` send a heartbeat every two seconds, evenly spaced in the order of their
/// numbers. Returns the machines that the leader returns to the cloud meanwhile.
fn send_heartbeats(
    manager: &mut ClusterManager,
    tasks: &BTreeMap<String, Vec<TaskStatus>>,
    reporting: std::ops::Range<u64>,
    seconds: std::ops::Range<u64>,
) -> Vec<String> {
    send_heartbeats_from(HeartbeatSource::Worker, manager, tasks, reporting, seconds)
}

/// Like [`send_heartbeats`], for heartbeats that reach the leader from `source`.
fn send_heartbeats_from(
    source: HeartbeatSource,
    manager: &mut ClusterManager,
    tasks: &BTreeMap<String, Vec<TaskStatus>>,
    reporting: std::ops::Range<u64>,
    seconds: std::ops::Range<u64>,
) -> Vec<String> {
    let mut returned = Vec::new();
    for step in seconds.start * 20..seconds.end * 20 {
        let (now, i) = (step as f64 / 20.0, step % 40);
        if reporting.contains(&i) {
            let name = machine_name(i);
            let heartbeat = worker_heartbeat(&name, 3 + step, 1, tasks[&name].clone());
            let outcome = manager.heartbeat_from(source, &heartbeat, now);
            assert!(
                matches!(outcome, HeartbeatOutcome::Response(_)),
                "{outcome:?}"
            );
        }
        if step % 20 == 0 {
            returned.extend(lose_commands(manager, now).1);
        }
    }
    returned
}

#[test]
fn leader_without_any_heartbeats_keeps_its_machines_until_their_leases_have_expired() {
    // The heartbeats of many machines leave no gap by chance: the leader's own network is at fault.
    let (mut manager, tasks) = forty_machines();
    assert!(send_heartbeats(&mut manager, &tasks, 0..40, 1..5).is_empty());
    assert!(
        send_heartbeats(&mut manager, &tasks, 0..0, 5..10).is_empty(),
        "during the network fault"
    );
    // The first heartbeats afterwards do not make the machines that are still missing count as silent.
    assert!(
        send_heartbeats(&mut manager, &tasks, 0..30, 10..12).is_empty(),
        "after the network fault"
    );
    let returned = send_heartbeats(&mut manager, &tasks, 0..30, 12..20);
    assert_eq!(returned, (30..40).map(machine_name).collect::<Vec<_>>());
    // Machines that stay silent are not kept forever.
    let returned = send_heartbeats(&mut manager, &tasks, 0..0, 20..50);
    assert_eq!(
        returned.len(),
        30,
        "returned after the lease and the heartbeat timeout"
    );
}

/// Executes effects. Direct commands to the machines in `silent` time out, those to other machines stay
/// pending. Returns the machines that were sent commands.
fn run_with_silent_machines(
    manager: &mut ClusterManager,
    silent: std::ops::Range<u64>,
    now: f64,
) -> Vec<String> {
    let mut commanded = Vec::new();
    apply_effects(manager, now, |manager, effect| {
        if let Effect::SendCommands {
            machine,
            commands: batch,
            ..
        } = effect
        {
            if !batch.commands.is_empty() {
                commanded.push(machine.to_string());
            }
            if silent.clone().any(|i| *machine == machine_name(i)) {
                manager.commands_finished(&machine, CommandOutcome::Indeterminate, now);
            }
        }
    });
    commanded
}

#[test]
fn replicas_avoid_machines_without_a_heartbeat_since_a_mass_failure_began() {
    let (mut manager, tasks) = forty_machines();
    // The machine with the latest heartbeat has the first name, so it would be chosen among equals.
    let send_next = |manager: &mut ClusterManager, step: u64, reporting: std::ops::Range<u64>| {
        let i = step % 40;
        let number = if i % 2 == 1 { 19 - i / 2 } else { 20 + i / 2 };
        let name = machine_name(number);
        let heartbeat = worker_heartbeat(&name, 3 + step, 1, tasks[&name].clone());
        if reporting.contains(&number) {
            manager.heartbeat(&heartbeat, step as f64 / 20.0);
        }
        run_with_silent_machines(manager, 0..20, step as f64 / 20.0);
    };
    for step in 20..120 {
        send_next(&mut manager, step, 0..40);
    }
    // The first twenty by name fail. Those whose heartbeats are overdue are probed without success; the
    // heartbeats of the others are not overdue yet.
    for step in 120..164 {
        send_next(&mut manager, step, 20..40);
    }
    submit(&mut manager, "req-900", "standing", "critical", None, 900);
    let commanded = run_with_silent_machines(&mut manager, 0..20, 8.2);
    assert!(!commanded.is_empty());
    let failed: Vec<_> = (0..20).map(machine_name).collect();
    assert!(
        commanded.iter().all(|m| !failed.contains(m)),
        "{commanded:?}"
    );
}

#[test]
fn machine_with_an_unanswered_command_gets_no_new_work_until_its_next_heartbeat() {
    let mut manager = manager();
    let two_tasks = |manager: &mut ClusterManager, id: &str, sequence: u64| {
        let spec = parse_submission(&submission(id, "sweep", "normal", 2));
        let record = OpenRecord::accepted(spec, 0);
        manager.job_accepted(record, sequence, 0, 0.0);
    };
    heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 1, 1, vec![]), 0.0);
    two_tasks(&mut manager, "req-1", 1);
    assert_eq!(lose_commands(&mut manager, 0.0).0.len(), 2);
    two_tasks(&mut manager, "req-2", 2);
    lose_commands(&mut manager, 0.5);
    assert_eq!(manager.status("req-2").unwrap().running, 0);
    let answer = heartbeat_starts(&mut manager, &worker_heartbeat("m-1", 2, 1, vec![]), 1.0);
    assert_eq!(answer.len(), 2, "only the earlier launches: {answer:?}");
    let (launched, _) = lose_commands(&mut manager, 1.1);
    assert_eq!(launched, ["req-2/0", "req-2/1"]);
}

#[test]
fn heartbeats_forwarded_by_peers_make_no_other_machine_count_as_silent() {
    let (mut manager, tasks) = forty_machines();
    assert!(send_heartbeats(&mut manager, &tasks, 0..40, 1..5).is_empty());
    // Workers that cannot reach the leader try the other controllers one after the other. Machines
    // whose heartbeats have not been forwarded yet, here fewer than half, do not count as silent.
    let returned = send_heartbeats_from(HeartbeatSource::Peer, &mut manager, &tasks, 0..25, 5..16);
    assert!(returned.is_empty(), "{returned:?}");
    // Once workers reach the leader directly again, machines without heartbeats are returned.
    assert!(send_heartbeats(&mut manager, &tasks, 0..25, 16..18).is_empty());
    let returned = send_heartbeats(&mut manager, &tasks, 0..25, 18..28);
    assert_eq!(returned, (25..40).map(machine_name).collect::<Vec<_>>());
}

#[test]
fn leader_of_many_workers_detects_missing_heartbeats_within_a_fraction_of_an_interval() {
    let (mut manager, tasks) = forty_machines();
    send_heartbeats(&mut manager, &tasks, 0..40, 1..5);
    // Heartbeats of forty machines, one every two seconds each, leave gaps of half a second at most.
    assert!(!manager.receives_no_heartbeats(5.7));
    assert!(manager.receives_no_heartbeats(6.1));
    // Heartbeats forwarded by peers prove nothing about the leader's own network.
    send_heartbeats_from(HeartbeatSource::Peer, &mut manager, &tasks, 0..40, 6..7);
    assert!(manager.receives_no_heartbeats(7.0));
    send_heartbeats(&mut manager, &tasks, 0..40, 7..8);
    assert!(!manager.receives_no_heartbeats(8.0));
}

#[test]
fn new_leader_known_to_few_workers_allows_a_whole_interval_without_heartbeats() {
    // Thirty of forty workers still wait for a response of the former leader, and will find the new one
    // together some seconds later.
    let (_, tasks) = forty_machines();
    let mut manager = manager_with_token(100);
    for (i, machine) in tasks.keys().enumerate() {
        let token = if i < 10 { 100 } else { 1 };
        let heartbeat = worker_heartbeat(machine, 5, token, tasks[machine].clone());
        heartbeat_starts(&mut manager, &heartbeat, 0.01 * i as f64);
    }
    lose_commands(&mut manager, 1.0);
    assert!(
        !manager.receives_no_heartbeats(2.5),
        "only ten workers have acknowledged the new leader"
    );
    assert!(
        manager.receives_no_heartbeats(3.1),
        "a whole interval has passed"
    );
}

#[test]
fn workers_have_a_whole_interval_to_reach_a_new_leader() {
    let mut manager = manager();
    let heartbeat = worker_heartbeat("m-1", 1, 1, Vec::new());
    manager.heartbeat_from(HeartbeatSource::Peer, &heartbeat, 0.5);
    assert!(!manager.receives_no_heartbeats(2.5));
    assert!(manager.receives_no_heartbeats(2.7));
}

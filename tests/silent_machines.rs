//! What a leader concludes from the silence of one machine, of many, or of all.

mod common;

use common::{
    apply_effects, heartbeat_starts, lose_commands, manager, manager_with_token, parsed, starts,
    submission, submit, task_statuses, worker_heartbeat,
};
use stairstage::coordination::cluster::heartbeats::HeartbeatSource;
use stairstage::coordination::cluster::{CommandOutcome, Effect, HeartbeatOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::worker::{TaskState, TaskStatus};
use stairstage::storage::records::OpenRecord;
use std::collections::BTreeMap;

/// A leader of forty machines, each with a running task, that report one after the other; what
/// each of them runs.
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
            let here = tasks.entry(machine.to_string()).or_default();
            here.extend(task_statuses(
                &starts(&batch.commands),
                TaskState::Running,
                None,
            ));
            let heartbeat = worker_heartbeat(&machine, 2, 1, here.clone());
            manager.commands_answered(&machine, CommandOutcome::Executed(heartbeat), 0.0);
        }
    });
    (manager, tasks)
}

/// The name of a machine.
fn machine_name(i: u64) -> String {
    format!("m-{i:02}")
}

/// Lets machines report every two seconds, one after the other, from one time to another. Returns
/// those that were given back.
fn beats(
    manager: &mut ClusterManager,
    tasks: &BTreeMap<String, Vec<TaskStatus>>,
    reporting: std::ops::Range<u64>,
    seconds: std::ops::Range<u64>,
) -> Vec<String> {
    beats_from(HeartbeatSource::Worker, manager, tasks, reporting, seconds)
}

/// The same for reports that come here in such a way.
fn beats_from(
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
                matches!(outcome, HeartbeatOutcome::Answer(_)),
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
fn a_leader_that_hears_no_worker_at_all_gives_back_none() {
    // What is missing is its own network: the heartbeats of many machines leave no gap by chance.
    let (mut manager, tasks) = forty_machines();
    assert!(beats(&mut manager, &tasks, 0..40, 1..5).is_empty());
    assert!(
        beats(&mut manager, &tasks, 0..0, 5..10).is_empty(),
        "cut off"
    );
    // Those that are heard first make the others no more silent than they were.
    assert!(
        beats(&mut manager, &tasks, 0..30, 10..12).is_empty(),
        "back"
    );
    let returned = beats(&mut manager, &tasks, 0..30, 12..20);
    assert_eq!(returned, (30..40).map(machine_name).collect::<Vec<_>>());
    // Nor does it keep what is gone for ever.
    let returned = beats(&mut manager, &tasks, 0..0, 20..50);
    assert_eq!(returned.len(), 30, "after a lease, and the silence");
}

/// Carries effects out; direct commands go unanswered by some machines, and wait at the others.
/// Returns which machines were sent any.
fn some_silent(
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
                manager.commands_answered(&machine, CommandOutcome::Unknown, now);
            }
        }
    });
    commanded
}

#[test]
fn while_machines_fall_together_replicas_go_where_a_report_has_come_since() {
    let (mut manager, tasks) = forty_machines();
    // The last to report comes first by name, so that it would be chosen among equals.
    let beat = |manager: &mut ClusterManager, step: u64, reporting: std::ops::Range<u64>| {
        let i = step % 40;
        let number = if i % 2 == 1 { 19 - i / 2 } else { 20 + i / 2 };
        let name = machine_name(number);
        let heartbeat = worker_heartbeat(&name, 3 + step, 1, tasks[&name].clone());
        if reporting.contains(&number) {
            manager.heartbeat(&heartbeat, step as f64 / 20.0);
        }
        some_silent(manager, 0..20, step as f64 / 20.0);
    };
    for step in 20..120 {
        beat(&mut manager, step, 0..40);
    }
    // The first twenty by name fall silent. Those whose reports are late are asked, in vain; others
    // are not late yet, though they have fallen as well.
    for step in 120..164 {
        beat(&mut manager, step, 20..40);
    }
    submit(&mut manager, "req-900", "standing", "critical", None, 900);
    let gone_to = some_silent(&mut manager, 0..20, 8.2);
    assert!(!gone_to.is_empty());
    let fallen: Vec<_> = (0..20).map(machine_name).collect();
    assert!(gone_to.iter().all(|m| !fallen.contains(m)), "{gone_to:?}");
}

#[test]
fn a_machine_that_leaves_a_command_unanswered_gets_nothing_new_until_it_is_heard() {
    let mut manager = manager();
    let two_tasks = |manager: &mut ClusterManager, id: &str, sequence: u64| {
        let spec = parsed(&submission(id, "sweep", "normal", 2));
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
    assert_eq!(answer.len(), 2, "only what was sent before: {answer:?}");
    let (launched, _) = lose_commands(&mut manager, 1.1);
    assert_eq!(launched, ["req-2/0", "req-2/1"]);
}

#[test]
fn reports_that_peers_pass_on_make_no_other_machine_silent() {
    let (mut manager, tasks) = forty_machines();
    assert!(beats(&mut manager, &tasks, 0..40, 1..5).is_empty());
    // Workers that reach no leader come to other controllers one after the other. Those that have not
    // got there yet are no more silent than the others, and fewer than half.
    let returned = beats_from(HeartbeatSource::Peer, &mut manager, &tasks, 0..25, 5..16);
    assert!(returned.is_empty(), "{returned:?}");
    // Once workers report here again, what stays silent is.
    assert!(beats(&mut manager, &tasks, 0..25, 16..18).is_empty());
    let returned = beats(&mut manager, &tasks, 0..25, 18..28);
    assert_eq!(returned, (25..40).map(machine_name).collect::<Vec<_>>());
}

#[test]
fn a_leader_of_many_workers_that_hears_none_of_them_notices_within_a_fraction_of_an_interval() {
    let (mut manager, tasks) = forty_machines();
    beats(&mut manager, &tasks, 0..40, 1..5);
    // Forty machines that report every two seconds leave gaps of half a second at the most.
    assert!(!manager.receives_no_heartbeats(5.7));
    assert!(manager.receives_no_heartbeats(6.1));
    // What peers pass on says nothing of this node's own network.
    beats_from(HeartbeatSource::Peer, &mut manager, &tasks, 0..40, 6..7);
    assert!(manager.receives_no_heartbeats(7.0));
    beats(&mut manager, &tasks, 0..40, 7..8);
    assert!(!manager.receives_no_heartbeats(8.0));
}

#[test]
fn a_leader_that_few_workers_know_yet_waits_a_whole_interval_for_the_others() {
    // Thirty of forty wait for the former leader's answer, and come together some seconds later.
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
        "only ten are known to know it"
    );
    assert!(
        manager.receives_no_heartbeats(3.1),
        "a whole interval has passed"
    );
}

#[test]
fn workers_have_a_whole_interval_to_find_a_new_leader() {
    let mut manager = manager();
    let heartbeat = worker_heartbeat("m-1", 1, 1, Vec::new());
    manager.heartbeat_from(HeartbeatSource::Peer, &heartbeat, 0.5);
    assert!(!manager.receives_no_heartbeats(2.5));
    assert!(manager.receives_no_heartbeats(2.7));
}

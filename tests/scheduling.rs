//! Small cases of what failures on the users' bench and in generated histories have taught.

mod common;

use serde_json::json;
use stairstage::bookkeeping::records::OpenRecord;
use stairstage::coordination::core::{Core, Effect, Heard, Written};
use stairstage::protocol::worker::*;
use stairstage::settings::Settings;
use std::sync::Arc;

const SETTINGS: &str = r#"
host_name = "a"
zone = "z"
front = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
endpoints = { cloud = "127.0.0.1:3", state = "127.0.0.1:4" }
[settings]
teams = [{ name = "t" }]
workers = { report_s = 2.0, lease_s = 12.0, gang_wait_s = 20.0, gang_peer_s = 4.0, cancel_s = 30.0 }
state = { rps = 200.0, write_rps = 100.0, value_kb = 16.0, txn_ops = 8 }
cloud = { rps = 10.0, list_lag_s = 4.0 }
limits = { ram_mb = 100.0, max_sockets = 500 }
"#;

fn core() -> Core {
    let settings = Arc::new(Settings::parse("test", SETTINGS).unwrap());
    let mut core = Core::new(settings, 1, 0.0);
    core.valid_until = f64::INFINITY;
    core.set_types(vec![common::machine_type()]);
    core
}

fn submit(core: &mut Core, id: &str, rig: &str, precedence: &str, due_s: Option<f64>, seq: u64) {
    // Gangs save, and need two machines.
    let gang = rig == "group";
    let mut body = common::submission(id, rig, precedence, if gang { 8 } else { 4 });
    if gang {
        body["fix_interval_s"] = json!(10.0);
        body["fix_s"] = json!(2.0);
    }
    body["due_s"] = json!(due_s);
    let spec = common::parsed(&body);
    core.job_opened(
        OpenRecord {
            spec,
            at_ms: 0,
            cancelled: false,
        },
        seq,
        0,
        0.0,
    );
}

fn report(core: &mut Core, seq: u64, tasks: Vec<TaskReport>, now: f64) -> Vec<Command> {
    report_of(core, "m-1", seq, None, tasks, now)
}

fn report_of(
    core: &mut Core,
    machine: &str,
    seq: u64,
    notice_s: Option<f64>,
    tasks: Vec<TaskReport>,
    now: f64,
) -> Vec<Command> {
    let report = Report {
        machine: machine.into(),
        endpoint: "127.0.0.1:9".into(),
        kind: "m4".into(),
        zone: "z".into(),
        spot: false,
        session: 1,
        seq,
        token: 1,
        notice_s,
        tasks,
    };
    match core.report(&report, now) {
        Heard::Answer(answer) => answer.commands,
        other => panic!("{other:?}"),
    }
}

/// Writes succeed at once; the names of tasks that are then launched directly.
fn launched(core: &mut Core, now: f64) -> Vec<(String, u64)> {
    let mut launched = Vec::new();
    core.step(now);
    loop {
        let effects = core.take_effects();
        if effects.is_empty() {
            return launched;
        }
        for effect in effects {
            match effect {
                Effect::Write { id, .. } => core.written(id, Written::Applied(100 + id), now),
                Effect::Orders { orders, .. } => launched.extend(starts(&orders.commands)),
                _ => {}
            }
        }
        core.step(now);
    }
}

fn starts(commands: &[Command]) -> Vec<(String, u64)> {
    let start = |c: &Command| match c {
        Command::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

fn shown(tasks: &[(String, u64)], state: TaskState, cause: Option<Cause>) -> Vec<TaskReport> {
    let show = |(task, attempt): &(String, u64)| TaskReport {
        task: task.clone(),
        attempt: *attempt,
        state,
        cause,
        saved: None,
    };
    tasks.iter().map(show).collect()
}

#[test]
fn no_launch_leaves_before_its_place_is_recorded() {
    let mut core = core();
    submit(&mut core, "req-1", "sweep", "normal", None, 1);
    report(&mut core, 1, Vec::new(), 0.0);
    core.step(0.0);
    let effects = core.take_effects();
    assert!(effects.iter().any(|e| matches!(e, Effect::Write { .. })));
    assert!(!effects.iter().any(|e| matches!(e, Effect::Orders { .. })));
    assert!(starts(&report(&mut core, 2, Vec::new(), 0.5)).is_empty());
}

#[test]
fn a_deadline_brings_a_job_forward() {
    let mut core = core();
    submit(&mut core, "req-1", "sweep", "normal", Some(300.0), 1);
    submit(&mut core, "req-2", "sweep", "normal", Some(50.0), 2);
    report(&mut core, 1, Vec::new(), 0.0);
    let tasks = launched(&mut core, 0.0);
    assert_eq!(tasks.len(), 4);
    assert!(tasks.iter().all(|t| t.0.starts_with("req-2/")), "{tasks:?}");
}

#[test]
fn a_job_that_failed_on_the_only_machine_is_tried_there_again() {
    let mut core = core();
    submit(&mut core, "req-1", "sweep", "normal", None, 1);
    report(&mut core, 1, Vec::new(), 0.0);
    let tasks = launched(&mut core, 0.0);
    let failed = shown(&tasks, TaskState::Exited, Some(Cause::Error));
    // The first direct command is still unanswered, so launches come with the answers.
    let mut pass = |seq, shown: &[TaskReport], now| {
        launched(&mut core, now);
        starts(&report(&mut core, seq, shown.to_vec(), now))
    };
    assert!(pass(2, &failed, 1.0).is_empty());
    let again = pass(3, &failed, 1.5);
    assert_eq!(again.len(), 4, "{again:?}");
    assert!(again.iter().all(|t| !tasks.contains(t)), "attempts are new");
    // Failing there once more makes it pause, and one pause is enough for all four.
    let failed = shown(&again, TaskState::Exited, Some(Cause::Error));
    assert!(pass(4, &failed, 2.0).is_empty());
    assert!(pass(5, &[], 5.0).is_empty());
    assert_eq!(pass(6, &[], 6.5).len(), 4);
}

#[test]
fn a_service_stops_lesser_work_for_its_room() {
    let mut core = core();
    submit(&mut core, "req-1", "sweep", "normal", None, 1);
    report(&mut core, 1, Vec::new(), 0.0);
    let batch = launched(&mut core, 0.0);
    report(&mut core, 2, shown(&batch, TaskState::Running, None), 1.0);
    submit(&mut core, "req-2", "standing", "critical", None, 2);
    core.step(1.0);
    let mut commands = Vec::new();
    for _ in 0..4 {
        for effect in core.take_effects() {
            match effect {
                Effect::Write { id, .. } => core.written(id, Written::Applied(200 + id), 1.0),
                Effect::Orders { orders, .. } => commands.extend(orders.commands),
                _ => {}
            }
        }
        core.step(1.0);
    }
    commands.extend(report(
        &mut core,
        3,
        shown(&batch, TaskState::Running, None),
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
    let mut core = core();
    submit(&mut core, "req-1", "sweep", "normal", None, 1);
    report(&mut core, 1, Vec::new(), 0.0);
    let tasks = launched(&mut core, 0.0);
    let stopped = shown(&tasks, TaskState::Exited, Some(Cause::Stopped));
    let commands = report(&mut core, 2, stopped, 1.0);
    let forgets = commands
        .iter()
        .filter(|c| matches!(c, Command::Forget { .. }));
    assert_eq!(forgets.count(), 0, "{commands:?}");
}

#[test]
fn a_notice_stops_a_whole_gang_so_that_it_can_save() {
    let mut core = core();
    submit(&mut core, "req-1", "group", "normal", None, 1);
    report_of(&mut core, "m-1", 1, None, Vec::new(), 0.0);
    report_of(&mut core, "m-2", 1, None, Vec::new(), 0.0);
    let tasks = launched(&mut core, 0.0);
    assert_eq!(tasks.len(), 8);
    assert!(
        tasks.iter().all(|t| t.1 == tasks[0].1),
        "one attempt for all"
    );
    let (one, other) = tasks.split_at(4);
    report_of(
        &mut core,
        "m-1",
        2,
        None,
        shown(one, TaskState::Running, None),
        1.0,
    );
    report_of(
        &mut core,
        "m-2",
        2,
        None,
        shown(other, TaskState::Running, None),
        1.0,
    );
    let mut commands = report_of(
        &mut core,
        "m-1",
        3,
        Some(8.0),
        shown(one, TaskState::Running, None),
        2.0,
    );
    commands.extend(report_of(
        &mut core,
        "m-2",
        3,
        None,
        shown(other, TaskState::Running, None),
        2.5,
    ));
    let saves = |c: &&Command| matches!(c, Command::Stop { grace_s, .. } if *grace_s >= 2.0);
    assert_eq!(commands.iter().filter(saves).count(), 8, "{commands:?}");
}

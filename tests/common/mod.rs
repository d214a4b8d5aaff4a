//! What several tests of the core begin with.
#![allow(dead_code)] // no test uses all of it

use serde_json::{json, Value};
use stairstage::bookkeeping::records::OpenRecord;
use stairstage::coordination::core::{Core, Effect, Heard, Written};
use stairstage::protocol::cloud::MachineType;
use stairstage::protocol::job::JobSpec;
use stairstage::protocol::worker::*;
use stairstage::settings::Settings;
use std::sync::Arc;

/// The only type of machine: room for four tasks of a job as described below.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "m4".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 10.0,
        zones: vec!["z".into()],
    }
}

/// A submission of small tasks that never save.
pub fn submission(id: &str, rig: &str, precedence: &str, tasks: u32) -> Value {
    json!({"name_id":id,"duty":"c","crew":"t","rig":rig,"precedence":precedence,"legs":tasks,
        "cpus":1.0,"gpus":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"hulls":null,"berth":null,
        "same_place":false,"spread":false,"driftwood":false,"passage_s":20.0,
        "fix_interval_s":0.0,"fix_s":0.0,"due_s":null})
}

pub fn parsed(submission: &Value) -> JobSpec {
    JobSpec::parse(submission.to_string().as_bytes()).unwrap()
}

/// What most tests of the core run with.
pub const SETTINGS: &str = r#"
host_name = "a"
zone = "z"
front = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
endpoints = { cloud = "127.0.0.1:3", state = "127.0.0.1:4" }
[settings]
teams = [{ name = "t" }, { name = "u" }]
workers = { report_s = 2.0, lease_s = 12.0, gang_wait_s = 20.0, gang_peer_s = 4.0, cancel_s = 30.0 }
state = { rps = 200.0, write_rps = 100.0, value_kb = 16.0, txn_ops = 8 }
cloud = { rps = 10.0, list_lag_s = 4.0 }
limits = { ram_mb = 100.0, max_sockets = 500 }
"#;

pub fn core() -> Core {
    core_with_token(1)
}

pub fn core_with_token(token: u64) -> Core {
    let settings = Arc::new(Settings::parse("test", SETTINGS).unwrap());
    let mut core = Core::new(settings, token, 0.0);
    core.valid_until = f64::INFINITY;
    core.set_types(vec![machine_type()]);
    core
}

pub fn submit(
    core: &mut Core,
    id: &str,
    rig: &str,
    precedence: &str,
    due_s: Option<f64>,
    seq: u64,
) {
    // Gangs save, and need two machines.
    let gang = rig == "group";
    let mut body = submission(id, rig, precedence, if gang { 8 } else { 4 });
    if gang {
        body["fix_interval_s"] = json!(10.0);
        body["fix_s"] = json!(2.0);
    }
    body["due_s"] = json!(due_s);
    let spec = parsed(&body);
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

pub fn report(core: &mut Core, seq: u64, tasks: Vec<TaskReport>, now: f64) -> Vec<Command> {
    report_of(core, "m-1", seq, None, tasks, now)
}

/// A report of a machine of the only type, in its worker's first session.
pub fn worker_report(machine: &str, seq: u64, token: u64, tasks: Vec<TaskReport>) -> Report {
    Report {
        machine: machine.into(),
        endpoint: "127.0.0.1:9".into(),
        kind: "m4".into(),
        zone: "z".into(),
        spot: false,
        session: 1,
        seq,
        token,
        notice_s: None,
        tasks,
    }
}

pub fn report_of(
    core: &mut Core,
    machine: &str,
    seq: u64,
    notice_s: Option<f64>,
    tasks: Vec<TaskReport>,
    now: f64,
) -> Vec<Command> {
    let mut report = worker_report(machine, seq, 1, tasks);
    report.notice_s = notice_s;
    match core.report(&report, now) {
        Heard::Answer(answer) => answer.commands,
        other => panic!("{other:?}"),
    }
}

/// Lets the core decide until it has nothing more to say.
pub fn each_effect(core: &mut Core, now: f64, mut take: impl FnMut(&mut Core, Effect)) {
    core.step(now);
    loop {
        let effects = core.take_effects();
        if effects.is_empty() {
            return;
        }
        for effect in effects {
            take(core, effect);
        }
        core.step(now);
    }
}

/// The same; writes succeed at once, and other effects are handed to `other`.
pub fn carry_out(core: &mut Core, now: f64, mut other: impl FnMut(&mut Core, Effect)) {
    each_effect(core, now, |core, effect| match effect {
        Effect::Write { id, .. } => core.written(id, Written::Applied(100 + id), now),
        effect => other(core, effect),
    });
}

/// The names of tasks that are then launched directly.
pub fn launched(core: &mut Core, now: f64) -> Vec<(String, u64)> {
    let mut launched = Vec::new();
    carry_out(core, now, |_, effect| {
        if let Effect::Orders { orders, .. } = effect {
            launched.extend(starts(&orders.commands));
        }
    });
    launched
}

pub fn starts(commands: &[Command]) -> Vec<(String, u64)> {
    let start = |c: &Command| match c {
        Command::Start { task, attempt } => Some((task.clone(), *attempt)),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

pub fn shown(tasks: &[(String, u64)], state: TaskState, cause: Option<Cause>) -> Vec<TaskReport> {
    let show = |(task, attempt): &(String, u64)| TaskReport {
        task: task.clone(),
        attempt: *attempt,
        state,
        cause,
        saved: None,
    };
    tasks.iter().map(show).collect()
}

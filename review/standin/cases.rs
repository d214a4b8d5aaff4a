//! The cases.

use crate::cluster::{Cluster, Site};
use crate::fleet::{Described, MachineType, Timing};
use crate::http::Answer;
use crate::json::{obj, Json};
use crate::record::Record;
use crate::state::Limits;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// A small deployment with the settings of the Port Louis site.
fn port_louis() -> Site {
    Site {
        names: &["deckhand-0", "deckhand-1", "deckhand-2"],
        zones: &["ebene", "rose-belle"],
        teams: &[("grid-desk-00", 40.0, 128.0), ("grid-desk-01", 40.0, 128.0)],
        timing: Timing {
            report_s: 3.0,
            lease_s: 34.0,
            boot_s: 2.0,
            list_lag_s: 8.0,
        },
        gang_wait_s: 45.0,
        gang_peer_s: 4.0,
        cancel_s: 59.0,
        limits: Limits {
            rps: 200.0,
            write_rps: 60.0,
            value_bytes: 16 * 1024,
            txn_ops: 16,
        },
        value_kb: 16.0,
        cloud_rps: 4.0,
        ram_mb: 136.0,
        max_sockets: 2500,
        types: vec![MachineType {
            name: "compact-8",
            cpus: 8.0,
            mem_gb: 32.0,
            zones: &["ebene", "rose-belle"],
            capacity: 10,
        }],
    }
}

/// A job of an array of `legs` tasks.
fn array(id: &str, legs: u64, cpus: f64, run_s: f64, waits_on: &[String]) -> Json {
    let waits_on: Vec<Json> = waits_on.iter().map(|id| id.as_str().into()).collect();
    obj([
        ("name_id", id.into()),
        ("duty", "scan-batch".into()),
        ("crew", "grid-desk-00".into()),
        ("rig", "sweep".into()),
        ("precedence", "normal".into()),
        ("legs", legs.into()),
        ("cpus", cpus.into()),
        ("gpus", 0.0.into()),
        ("mem_gb", 1.0.into()),
        ("kit", "img-01".into()),
        ("size_gb", 0.5.into()),
        ("hulls", Json::Null),
        ("berth", Json::Null),
        ("same_place", false.into()),
        ("spread", false.into()),
        ("driftwood", false.into()),
        ("passage_s", run_s.into()),
        ("fix_interval_s", 0.0.into()),
        ("fix_s", 0.0.into()),
        ("due_s", Json::Null),
        ("waits_on", waits_on.into()),
    ])
}

/// A user's submission as the protocol has it: an answer is awaited for 5 s; 429, 503 and no answer are
/// retried after 1 s or `Retry-After`, for 60 s in all, each time at the next controller.
fn submit(cluster: &Cluster, first: usize, job: &Json) -> Option<Answer> {
    let started_at = Instant::now();
    let mut node = first;
    while started_at.elapsed() < Duration::from_secs(60) {
        let answer = cluster.ask(node % cluster.fronts.len(), "POST", "/v2/runs", job, 5.0);
        let pause = answer
            .as_ref()
            .and_then(|a| a.retry_after)
            .unwrap_or(1.0)
            .clamp(1.0, 30.0);
        if let Some(answer) = answer.filter(|a| matches!(a.status, 200 | 201 | 400 | 422)) {
            return Some(answer);
        }
        std::thread::sleep(Duration::from_secs_f64(pause));
        node += 1;
    }
    None
}

pub fn run(case: &str, trouble: bool, record: Record) -> Verdict {
    match case {
        "many-inputs" => many_inputs(trouble, record),
        "memory" => explore_memory(record),
        "tiny" => explore_tiny(record),
        _ => Verdict::CouldNotRun,
    }
}

/// A job that waits on 30 others is accepted, and only the answer to the transaction that accepts it is lost.
fn many_inputs(trouble: bool, record: Record) -> Verdict {
    let cluster = Cluster::start(port_louis(), record);
    if !cluster.wait_until_ready(20.0) {
        return Verdict::CouldNotRun;
    }
    let describe = |id: &str, run_s: f64| {
        let described = Described {
            cpus: 1.0,
            mem_gb: 1.0,
            run_s: Some(run_s),
            fetch_s: 0.5,
        };
        cluster.fleet.describe(id, described);
    };
    let inputs: Vec<String> = (0..30).map(|i| format!("req-{:06}", 100 + i)).collect();
    for (i, id) in inputs.iter().enumerate() {
        describe(id, 15.0);
        let answer = submit(&cluster, i, &array(id, 1, 1.0, 15.0, &[]));
        if !answer.is_some_and(|a| a.status == 201) {
            return Verdict::CouldNotRun;
        }
    }
    let merge = "req-000200";
    describe(merge, 60.0);
    let node = cluster.leader().unwrap_or(0);
    if trouble {
        cluster.state.faults[node].lock().unwrap().lose_answer_to = Some(format!("open/{merge}"));
    }
    let answer = submit(&cluster, node, &array(merge, 1, 1.0, 60.0, &inputs));
    let lost = cluster.state.faults[node].lock().unwrap().lost;
    if trouble && lost != 1 {
        return Verdict::CouldNotRun;
    }
    // Whether the job was accepted, as a user sees it.
    let known = (0..10).any(|i| {
        std::thread::sleep(Duration::from_millis(500));
        let path = format!("/v2/runs/{merge}");
        cluster
            .ask(i % 3, "GET", &path, &Json::Null, 2.0)
            .is_some_and(|a| a.status == 200)
    });
    match answer {
        Some(answer) if matches!(answer.status, 200 | 201) => Verdict::Held,
        _ if known => Verdict::Broken,
        _ => Verdict::CouldNotRun,
    }
}

pub fn rss_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find(|l| l.starts_with("VmRSS"))
        .unwrap_or("VmRSS: 0");
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

pub fn explore_memory(record: Record) -> Verdict {
    let env = |name: &str, default: u64| {
        std::env::var(name)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(default)
    };
    let (jobs, legs, seconds) = (env("JOBS", 20), env("LEGS", 100_000), env("SECONDS", 60));
    let cluster = Cluster::start(port_louis(), record);
    if !cluster.wait_until_ready(20.0) {
        return Verdict::CouldNotRun;
    }
    let print = |what: &str| {
        let all: Vec<String> = (0..3)
            .filter_map(|i| cluster.pid(i))
            .map(|pid| format!("{:.1}", rss_mb(pid)))
            .collect();
        println!(
            "{what} {:.1}s rss {all:?} leader {:?}",
            cluster.record.seconds(),
            cluster.leader()
        );
    };
    print("ready");
    for i in 0..jobs {
        let id = format!("req-{:06}", i);
        let described = Described {
            cpus: 1.0,
            mem_gb: 1.0,
            run_s: Some(30.0),
            fetch_s: 0.5,
        };
        cluster.fleet.describe(&id, described);
        let answer = submit(&cluster, i as usize, &array(&id, legs, 1.0, 30.0, &[]));
        if answer.is_none() {
            print("not accepted");
        }
        if i % (jobs / 10).max(1) == 0 {
            print(&format!("job {i}"));
        }
    }
    for _ in 0..seconds / 5 {
        std::thread::sleep(Duration::from_secs(5));
        print("wait");
    }
    Verdict::Held
}

pub fn explore_tiny(record: Record) -> Verdict {
    let env = |name: &str, default: f64| {
        std::env::var(name)
            .ok()
            .and_then(|v| v.parse().ok())
            .unwrap_or(default)
    };
    let (legs, cpus, run_s, seconds) = (
        env("LEGS", 6000.0) as u64,
        env("CPUS", 0.25),
        env("RUN", 2.0),
        env("SECONDS", 100.0),
    );
    let mut site = port_louis();
    site.types = vec![MachineType {
        name: "press-64",
        cpus: 64.0,
        mem_gb: 256.0,
        zones: &["ebene", "rose-belle"],
        capacity: env("MACHINES", 2.0) as usize,
    }];
    site.teams = &[
        ("grid-desk-00", 40.0, 1280.0),
        ("grid-desk-01", 40.0, 128.0),
    ];
    let cluster = Cluster::start(site, record);
    if !cluster.wait_until_ready(20.0) {
        return Verdict::CouldNotRun;
    }
    let id = "req-000001";
    cluster.fleet.describe(
        id,
        Described {
            cpus,
            mem_gb: 0.01,
            run_s: Some(run_s),
            fetch_s: 0.2,
        },
    );
    let mut job = array(id, legs, cpus, run_s, &[]);
    if let Json::Obj(fields) = &mut job {
        for f in fields.iter_mut() {
            if f.0 == "mem_gb" {
                f.1 = 0.01.into();
            }
        }
    }
    submit(&cluster, 0, &job);
    let started = Instant::now();
    while started.elapsed().as_secs_f64() < seconds {
        std::thread::sleep(Duration::from_secs(5));
        let a = cluster.ask(0, "GET", "/v2/runs/req-000001", &Json::Null, 2.0);
        println!(
            "{:.0} {}",
            cluster.record.seconds(),
            a.map_or(String::new(), |a| a.body.to_string())
        );
    }
    Verdict::Held
}

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
        "large-jobs" => large_jobs(trouble, record),
        "many-dependents" => many_dependents(trouble, record),
        "chaos" => chaos(record),
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
    let (jobs, legs, seconds, pad) = (
        env("JOBS", 20),
        env("LEGS", 100_000),
        env("SECONDS", 60),
        env("PAD", 0),
    );
    let mut site = batumi();
    site.limits.rps = env("RPS", 100) as f64;
    site.limits.write_rps = env("WPS", 25) as f64;
    let cluster = Arc::new(Cluster::start(site, record));
    if !cluster.wait_until_ready(20.0) {
        return Verdict::CouldNotRun;
    }
    let field = |pid: u32, name: &str| -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text
            .lines()
            .find(|l| l.starts_with(name))
            .unwrap_or("x 0")
            .to_string();
        line.split_whitespace()
            .nth(1)
            .and_then(|n| n.parse::<f64>().ok())
            .unwrap_or(0.0)
            / 1024.0
    };
    let print = |what: &str| {
        let all: Vec<String> = (0..3)
            .filter_map(|i| cluster.pid(i))
            .map(|pid| {
                format!(
                    "{:.1}/{:.1}/{:.1}",
                    field(pid, "RssAnon"),
                    field(pid, "VmRSS"),
                    field(pid, "VmHWM")
                )
            })
            .collect();
        println!(
            "{what} {:.1}s anon/rss/peak {all:?} leader {:?}",
            cluster.record.seconds(),
            cluster.leader()
        );
    };
    print("ready");
    let threads: Vec<_> = (0..8)
        .map(|t| {
            let cluster = cluster.clone();
            std::thread::spawn(move || {
                for i in (t..jobs).step_by(8) {
                    let id = format!("req-{:06}", i);
                    cluster.fleet.describe(
                        &id,
                        Described {
                            cpus: 1.0,
                            mem_gb: 1.0,
                            run_s: Some(300.0),
                            fetch_s: 0.5,
                        },
                    );
                    let mut job = array(&id, legs, 1.0, 300.0, &[]);
                    if pad > 0 {
                        if let Json::Obj(f) = &mut job {
                            for f in f.iter_mut() {
                                if f.0 == "hulls" {
                                    let mut l: Vec<Json> = (0..pad)
                                        .map(|k| Json::from(format!("other-type-{k:04}")))
                                        .collect();
                                    l.push("dinghy-8".into());
                                    f.1 = l.into();
                                }
                            }
                        }
                    }
                    submit(&cluster, i as usize, &job);
                }
            })
        })
        .collect();
    for t in threads {
        let _ = t.join();
    }
    print("submitted");
    for _ in 0..seconds / 10 {
        std::thread::sleep(Duration::from_secs(5));
        print("steady");
    }
    if let Some(l) = cluster.leader() {
        cluster.kill_controller(l);
    }
    for _ in 0..seconds / 10 {
        std::thread::sleep(Duration::from_secs(5));
        print("after crash");
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

use crate::state::random;
use std::collections::{BTreeMap as Map, BTreeSet as Set};
use std::sync::{Arc, Mutex};

#[derive(Default, Clone)]
struct Info {
    legs: u64,
    waits_on: Vec<String>,
    accepted: Option<f64>,
    cancelled: Option<f64>,
    done: Option<f64>,
    asked_cancel: bool,
}

fn batumi() -> Site {
    let mut site = port_louis();
    site.names = &["deckhand-0", "deckhand-1", "deckhand-2"];
    site.zones = &["batumi-port"];
    site.teams = &[("grid-desk-00", 0.0, 48.0), ("grid-desk-01", 0.0, 0.0)];
    site.timing = Timing {
        report_s: 1.5,
        lease_s: 10.0,
        boot_s: 2.0,
        list_lag_s: 8.0,
    };
    site.cancel_s = 35.0;
    site.limits = Limits {
        rps: 100.0,
        write_rps: 25.0,
        value_bytes: 16 * 1024,
        txn_ops: 12,
    };
    site.cloud_rps = 8.0;
    site.ram_mb = 72.0;
    site.max_sockets = 1000;
    site.types = vec![MachineType {
        name: "dinghy-8",
        cpus: 8.0,
        mem_gb: 64.0,
        zones: &["batumi-port"],
        capacity: 14,
    }];
    site
}

fn chaos(record: Record) -> Verdict {
    let cluster = Arc::new(Cluster::start(batumi(), record));
    if !cluster.wait_until_ready(20.0) {
        return Verdict::CouldNotRun;
    }
    let infos: Arc<Mutex<Map<String, Info>>> = Arc::default();
    let bad: Arc<Mutex<Vec<String>>> = Arc::default();
    let blame = {
        let (bad, c) = (bad.clone(), cluster.record.clone());
        move |text: String| {
            c.note(&format!("VIOLATION {text}"));
            bad.lock()
                .unwrap()
                .push(format!("{:.1} {text}", c.seconds()));
        }
    };
    {
        let (infos, blame, c, fleet) = (
            infos.clone(),
            blame.clone(),
            cluster.record.clone(),
            cluster.fleet.clone(),
        );
        *cluster.fleet.on_start.lock().unwrap() = Some(Box::new(move |leg, machine, others| {
            if !others.is_empty() {
                blame(format!("ran_twice {leg} on {machine}, also on {others:?}"));
            }
            let job = leg.split('/').next().unwrap().to_string();
            let infos = infos.lock().unwrap();
            if let Some(info) = infos.get(&job) {
                if info.cancelled.is_some_and(|at| c.seconds() > at + 35.0) {
                    blame(format!("ran_cancelled {leg}"));
                }
                let done = fleet.done.lock().unwrap();
                for d in &info.waits_on {
                    for n in 0..infos[d].legs {
                        if !done.contains(&format!("{d}/{n}")) {
                            blame(format!("too_early {leg} {d}/{n}"));
                        }
                    }
                }
            }
        }));
    }
    let stop = Arc::new(Mutex::new(false));
    let counter = Arc::new(Mutex::new(0u64));
    let mut threads = Vec::new();
    for _ in 0..8 {
        let (cluster, infos, blame, stop, counter) = (
            cluster.clone(),
            infos.clone(),
            blame.clone(),
            stop.clone(),
            counter.clone(),
        );
        threads.push(std::thread::spawn(move || {
            let ask = |node: usize, method: &str, path: &str, body: &Json, t: f64| {
                cluster.ask(node % 3, method, path, body, t)
            };
            let see = |id: &str, sent: f64, a: &Answer, what: &str| {
                let now = cluster.record.seconds();
                let mut infos = infos.lock().unwrap();
                let before = infos.get(id).cloned().unwrap_or_default();
                let older = |t: Option<f64>| t.is_some_and(|t| t < sent);
                let status = a.body.get("status").str().unwrap_or("").to_string();
                if older(before.accepted) && matches!(a.status, 404 | 400 | 422) {
                    blame(format!("forgotten {id} {what} {}", a.status));
                }
                if matches!(a.status, 200 | 201) {
                    if older(before.done) && status != "done" {
                        blame(format!("went_back {id} done -> {status} {what}"));
                    }
                    if older(before.cancelled) && status != "cancelled" {
                        blame(format!("went_back {id} cancelled -> {status} {what}"));
                    }
                    let up = |i: &Info, infos: &Map<String, Info>| -> bool {
                        let mut todo = i.waits_on.clone();
                        let mut seen = Set::new();
                        while let Some(d) = todo.pop() {
                            if !seen.insert(d.clone()) {
                                continue;
                            }
                            let x = &infos[&d];
                            if x.asked_cancel {
                                return true;
                            }
                            todo.extend(x.waits_on.clone());
                        }
                        false
                    };
                    if status == "cancelled" && !before.asked_cancel && !up(&before, &infos) {
                        blame(format!("went_back {id} cancelled by nobody {what}"));
                    }
                    if status == "done" {
                        let done = cluster.fleet.done.lock().unwrap();
                        for n in 0..before.legs {
                            if !done.contains(&format!("{id}/{n}")) {
                                blame(format!("not_done {id}/{n}"));
                            }
                        }
                    }
                    if let Some(i) = infos.get_mut(id) {
                        i.accepted.get_or_insert(now);
                        if status == "done" {
                            i.done.get_or_insert(now);
                        }
                        if status == "cancelled" {
                            i.cancelled.get_or_insert(now);
                        }
                    }
                }
            };
            while !*stop.lock().unwrap() {
                std::thread::sleep(Duration::from_millis(400 + (800.0 * random()) as u64));
                let dice = random();
                if dice < 0.45 && infos.lock().unwrap().len() < 130 {
                    let id = {
                        let mut c = counter.lock().unwrap();
                        *c += 1;
                        format!("req-{:06}", *c)
                    };
                    let legs = 1 + (random() * 6.0) as u64;
                    let run_s = if random() < 0.2 {
                        25.0
                    } else {
                        2.0 + 8.0 * random()
                    };
                    let waits_on: Vec<String> = if random() < 0.4 {
                        let infos = infos.lock().unwrap();
                        let known: Vec<String> = infos
                            .iter()
                            .filter(|i| i.1.accepted.is_some())
                            .map(|i| i.0.clone())
                            .collect();
                        let mut s: Set<String> = Set::new();
                        for _ in 0..(1 + (random() * 3.0) as usize) {
                            if !known.is_empty() {
                                s.insert(known[(random() * known.len() as f64) as usize].clone());
                            }
                        }
                        s.into_iter().collect()
                    } else {
                        Vec::new()
                    };
                    infos.lock().unwrap().insert(
                        id.clone(),
                        Info {
                            legs,
                            waits_on: waits_on.clone(),
                            ..Info::default()
                        },
                    );
                    cluster.fleet.describe(
                        &id,
                        Described {
                            cpus: 1.0,
                            mem_gb: 1.0,
                            run_s: Some(run_s),
                            fetch_s: 0.3,
                        },
                    );
                    let job = array(&id, legs, 1.0, run_s, &waits_on);
                    let start = cluster.record.seconds();
                    let mut node = (random() * 3.0) as usize;
                    while cluster.record.seconds() < start + 60.0 {
                        let sent = cluster.record.seconds();
                        let a = ask(node, "POST", "/v2/runs", &job, 5.0);
                        if let Some(a) = &a {
                            see(&id, sent, a, "submit");
                            if matches!(a.status, 200 | 201) {
                                if random() < 0.5 {
                                    for n in 0..3 {
                                        let sent = cluster.record.seconds();
                                        if let Some(a) = ask(
                                            n,
                                            "GET",
                                            &format!("/v2/runs/{id}"),
                                            &Json::Null,
                                            2.0,
                                        ) {
                                            see(&id, sent, &a, "look");
                                        }
                                    }
                                }
                                break;
                            }
                            if matches!(a.status, 400 | 422) {
                                blame(format!("refused {id} {}", a.body));
                                break;
                            }
                        }
                        std::thread::sleep(Duration::from_millis(1000));
                        node += 1;
                    }
                } else {
                    let pick = {
                        let infos = infos.lock().unwrap();
                        let known: Vec<String> = infos
                            .iter()
                            .filter(|i| i.1.accepted.is_some())
                            .map(|i| i.0.clone())
                            .collect();
                        if known.is_empty() {
                            continue;
                        }
                        known[(random() * known.len() as f64) as usize].clone()
                    };
                    let node = (random() * 3.0) as usize;
                    if dice > 0.93 {
                        infos.lock().unwrap().get_mut(&pick).unwrap().asked_cancel = true;
                        for k in 0..20 {
                            let sent = cluster.record.seconds();
                            let a = ask(
                                node + k,
                                "POST",
                                &format!("/v2/runs/{pick}/abort"),
                                &Json::Null,
                                5.0,
                            );
                            if let Some(a) = &a {
                                see(&pick, sent, a, "abort");
                                if a.status == 200 {
                                    for n in 0..3 {
                                        let sent = cluster.record.seconds();
                                        if let Some(a) = ask(
                                            n,
                                            "GET",
                                            &format!("/v2/runs/{pick}"),
                                            &Json::Null,
                                            2.0,
                                        ) {
                                            see(&pick, sent, &a, "look");
                                        }
                                    }
                                    break;
                                }
                            }
                            std::thread::sleep(Duration::from_secs(1));
                        }
                    } else if dice > 0.88 {
                        let info = infos.lock().unwrap()[&pick].clone();
                        let sent = cluster.record.seconds();
                        if let Some(a) = ask(
                            node,
                            "POST",
                            "/v2/runs",
                            &array(&pick, info.legs, 1.0, 5.0, &info.waits_on),
                            5.0,
                        ) {
                            see(&pick, sent, &a, "again");
                        }
                    } else {
                        let sent = cluster.record.seconds();
                        if let Some(a) =
                            ask(node, "GET", &format!("/v2/runs/{pick}"), &Json::Null, 2.0)
                        {
                            see(&pick, sent, &a, "poll");
                        }
                    }
                }
            }
        }));
    }
    let mut dead: Vec<usize> = Vec::new();
    while cluster.record.seconds() < 65.0 {
        std::thread::sleep(Duration::from_millis(1000 + (3000.0 * random()) as u64));
        let leader = cluster.leader().unwrap_or(0);
        let any = if random() < 0.7 {
            leader
        } else {
            (random() * 3.0) as usize
        };
        let dice = random();
        if dice < 0.2 {
            cluster.kill_controller(any);
            if random() < 0.5 {
                std::thread::sleep(Duration::from_millis(300));
                cluster.start_controller(any);
            } else {
                dead.push(any);
            }
        } else if dice < 0.35 {
            cluster.signal(any, "STOP");
            std::thread::sleep(Duration::from_secs_f64(1.0 + 14.0 * random()));
            cluster.signal(any, "CONT");
        } else if dice < 0.5 {
            cluster.state.faults[any].lock().unwrap().refuses = true;
            cluster.record.note(&format!("refuse {any}"));
            std::thread::sleep(Duration::from_secs_f64(0.5 + 8.0 * random()));
            if random() < 0.3 {
                *cluster.state.outage.lock().unwrap() = true;
                std::thread::sleep(Duration::from_secs(6));
                *cluster.state.outage.lock().unwrap() = false;
            }
            cluster.state.faults[any].lock().unwrap().refuses = false;
            cluster.record.note("served again");
        } else if dice < 0.7 {
            for f in &cluster.state.faults {
                let mut f = f.lock().unwrap();
                f.lose_share = 0.3;
                f.late_share = 0.15;
            }
            cluster.record.note("answers lost, writes late");
        } else if dice < 0.78 {
            for f in &cluster.state.faults {
                let mut f = f.lock().unwrap();
                f.lose_share = 0.0;
                f.late_share = 0.0;
            }
        } else if dice < 0.9 {
            let n = (random() * 10.0) as usize;
            cluster.fleet.hang(n, true);
            let f = cluster.fleet.clone();
            let s = 1.0 + 12.0 * random();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(s));
                for k in 0..20 {
                    f.hang(k, false);
                }
            });
        } else {
            cluster.fleet.take_away((random() * 10.0) as usize);
        }
        if let Some(d) = dead.pop() {
            std::thread::sleep(Duration::from_secs(2));
            cluster.start_controller(d);
        }
    }
    for d in dead {
        cluster.start_controller(d);
    }
    for k in 0..20 {
        cluster.fleet.hang(k, false);
    }
    for f in &cluster.state.faults {
        let mut f = f.lock().unwrap();
        f.lose_share = 0.0;
        f.late_share = 0.0;
        f.refuses = false;
    }
    cluster.record.note("all troubles are over");
    std::thread::sleep(Duration::from_secs(8));
    *stop.lock().unwrap() = true;
    for t in threads {
        let _ = t.join();
    }
    let end = cluster.record.seconds() + 50.0;
    let mut open: Vec<String> = Vec::new();
    while cluster.record.seconds() < end {
        std::thread::sleep(Duration::from_secs(2));
        let ids: Vec<String> = infos
            .lock()
            .unwrap()
            .iter()
            .filter(|i| i.1.accepted.is_some() && i.1.done.is_none() && i.1.cancelled.is_none())
            .map(|i| i.0.clone())
            .collect();
        open.clear();
        for id in ids {
            if let Some(a) = cluster.ask(0, "GET", &format!("/v2/runs/{id}"), &Json::Null, 2.0) {
                let s = a.body.get("status").str().unwrap_or("").to_string();
                let now = cluster.record.seconds();
                let mut infos = infos.lock().unwrap();
                let i = infos.get_mut(&id).unwrap();
                if s == "done" {
                    i.done = Some(now);
                } else if s == "cancelled" {
                    i.cancelled = Some(now);
                } else {
                    open.push(format!("{id} {} {s}", a.status));
                }
            }
        }
        if open.is_empty() {
            break;
        }
    }
    let on = cluster.fleet.on_machine.lock().unwrap().clone();
    let t = cluster.record.seconds();
    for (leg, machines) in on {
        if !machines.is_empty() {
            let job = leg.split('/').next().unwrap().to_string();
            if infos
                .lock()
                .unwrap()
                .get(&job)
                .is_some_and(|i| i.cancelled.is_some_and(|at| t > at + 35.0))
            {
                blame(format!("ran_cancelled at end {leg}"));
            }
        }
    }
    let n = infos.lock().unwrap().len();
    let unaccepted = infos
        .lock()
        .unwrap()
        .iter()
        .filter(|i| i.1.accepted.is_none())
        .count();
    println!("jobs {n} unaccepted {unaccepted} open at end {open:?}");
    for b in bad.lock().unwrap().iter() {
        println!("{b}");
    }
    if bad.lock().unwrap().is_empty() && open.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Starts `count` submissions of jobs that wait on `needed`, from several users and below the state service's
/// write rate; returns the ids of those that were accepted.
fn submit_dependents(cluster: &Arc<Cluster>, needed: &str, count: u64) -> Vec<String> {
    const USERS: u64 = 4;
    const PER_SECOND: f64 = 21.0;
    let threads = (0..USERS).map(|user| {
        let (cluster, needed) = (cluster.clone(), needed.to_string());
        std::thread::spawn(move || {
            let mut accepted = Vec::new();
            for i in (user..count).step_by(USERS as usize) {
                let id = format!("req-{:06}", 1000 + i);
                let described = Described {
                    cpus: 1.0,
                    mem_gb: 1.0,
                    run_s: Some(5.0),
                    fetch_s: 0.5,
                };
                cluster.fleet.describe(&id, described);
                let sent = Instant::now();
                let job = array(&id, 1, 1.0, 5.0, &[needed.clone()]);
                let answer = submit(&cluster, i as usize, &job);
                if answer.is_some_and(|a| a.status == 201) {
                    accepted.push(id);
                }
                let pause = Duration::from_secs_f64(USERS as f64 / PER_SECOND);
                std::thread::sleep(pause.saturating_sub(sent.elapsed()));
            }
            accepted
        })
    });
    let threads: Vec<_> = threads.collect();
    let mut accepted: Vec<String> = threads
        .into_iter()
        .flat_map(|t| t.join().unwrap_or_default())
        .collect();
    accepted.sort();
    accepted
}

/// A job that 450 others need is cancelled.
fn many_dependents(trouble: bool, record: Record) -> Verdict {
    let cluster = Arc::new(Cluster::start(batumi(), record));
    if !cluster.wait_until_ready(20.0) {
        return Verdict::CouldNotRun;
    }
    let (first, control) = ("req-000001", "req-000002");
    for id in [first, control] {
        let described = Described {
            cpus: 1.0,
            mem_gb: 1.0,
            run_s: Some(300.0),
            fetch_s: 0.5,
        };
        cluster.fleet.describe(id, described);
        if !submit(&cluster, 0, &array(id, 1, 1.0, 300.0, &[])).is_some_and(|a| a.status == 201) {
            return Verdict::CouldNotRun;
        }
    }
    let dependents = submit_dependents(&cluster, first, 450);
    if dependents.len() < 440 {
        return Verdict::CouldNotRun;
    }
    let status = |node: usize, id: &str| -> String {
        let path = format!("/v2/runs/{id}");
        let answer = cluster.ask(node % 3, "GET", &path, &Json::Null, 2.0);
        let answer = answer.filter(|a| a.status == 200);
        answer.map_or(String::new(), |a| {
            a.body.get("status").str().unwrap_or("").to_string()
        })
    };
    let mut told = cluster.record.seconds();
    if trouble {
        while !cluster
            .ask(
                0,
                "POST",
                &format!("/v2/runs/{first}/abort"),
                &Json::Null,
                5.0,
            )
            .is_some_and(|a| a.status == 200)
        {
            std::thread::sleep(Duration::from_secs(1));
        }
        told = cluster.record.seconds();
    }
    // Three seconds more than the page allows.
    let due = told + cluster.site.cancel_s + 3.0;
    std::thread::sleep(Duration::from_secs_f64(
        (due - cluster.record.seconds()).max(0.0),
    ));
    let expected = if trouble { "cancelled" } else { "pending" };
    let (mut unreported, mut failed_controls) = (0, 0);
    for (i, id) in dependents.iter().rev().take(60).enumerate() {
        failed_controls += usize::from(i % 6 == 0 && status(i, control) != "running");
        // Each controller is asked before the job counts as not reported.
        let is_reported = (0..3).any(|k| {
            std::thread::sleep(Duration::from_millis(30));
            status(i + k, id) == expected
        });
        unreported += usize::from(!is_reported);
    }
    cluster.record.note(&format!(
        "{unreported} of 60 jobs are not reported as {expected}; {failed_controls} of 10 questions about another job failed"
    ));
    if failed_controls > 2 {
        return Verdict::CouldNotRun;
    }
    if unreported > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The memory that a process holds, in bytes, without what it shares with its program file.
fn held_bytes(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

/// Plays the platform: kills a controller that holds more memory than the site allows, and starts it again 3 s
/// later. Returns how often it has done so.
fn limit_memory(cluster: &Arc<Cluster>, stop: &Arc<Mutex<bool>>) -> Arc<Mutex<u64>> {
    let kills = Arc::new(Mutex::new(0));
    for i in 0..cluster.fronts.len() {
        let (cluster, stop, kills) = (cluster.clone(), stop.clone(), kills.clone());
        std::thread::spawn(move || {
            while !*stop.lock().unwrap() {
                std::thread::sleep(Duration::from_millis(50));
                let Some(pid) = cluster.pid(i) else { continue };
                let held = held_bytes(pid);
                if held > cluster.site.ram_mb * 1e6 {
                    cluster.record.note(&format!(
                        "{} holds {:.1} MB",
                        cluster.site.names[i],
                        held / 1e6
                    ));
                    cluster.kill_controller(i);
                    *kills.lock().unwrap() += 1;
                    std::thread::sleep(Duration::from_secs(3));
                    if !*stop.lock().unwrap() {
                        cluster.start_controller(i);
                    }
                }
            }
        });
    }
    kills
}

/// The largest jobs that a user may submit come three times as often as before.
fn large_jobs(trouble: bool, record: Record) -> Verdict {
    let cluster = Arc::new(Cluster::start(batumi(), record));
    if !cluster.wait_until_ready(20.0) {
        return Verdict::CouldNotRun;
    }
    let stop = Arc::new(Mutex::new(false));
    let kills = limit_memory(&cluster, &stop);
    for i in 0..if trouble { 30 } else { 10 } {
        let id = format!("req-{:06}", 100 + i);
        cluster.fleet.describe(
            &id,
            Described {
                cpus: 1.0,
                mem_gb: 1.0,
                run_s: Some(20.0),
                fetch_s: 0.5,
            },
        );
        if !submit(&cluster, i, &array(&id, 100_000, 1.0, 20.0, &[]))
            .is_some_and(|a| a.status == 201)
        {
            return Verdict::CouldNotRun;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let control = "req-000900";
    cluster.fleet.describe(
        control,
        Described {
            cpus: 1.0,
            mem_gb: 1.0,
            run_s: Some(5.0),
            fetch_s: 0.5,
        },
    );
    let mut job = array(control, 1, 1.0, 5.0, &[]);
    if let Json::Obj(fields) = &mut job {
        fields
            .iter_mut()
            .filter(|f| f.0 == "crew")
            .for_each(|f| f.1 = "grid-desk-01".into());
    }
    if !submit(&cluster, 0, &job).is_some_and(|a| matches!(a.status, 200 | 201)) {
        return Verdict::CouldNotRun;
    }
    let accepted_at = Instant::now();
    let has_started = || {
        cluster
            .fleet
            .on_machine
            .lock()
            .unwrap()
            .keys()
            .any(|leg| leg.starts_with(control))
    };
    while accepted_at.elapsed() < Duration::from_secs(90) && !has_started() {
        std::thread::sleep(Duration::from_millis(500));
        cluster.ask(0, "GET", &format!("/v2/runs/{control}"), &Json::Null, 2.0);
    }
    let started = has_started();
    *stop.lock().unwrap() = true;
    std::thread::sleep(Duration::from_millis(200));
    let kills = *kills.lock().unwrap();
    cluster.record.note(&format!(
        "{kills} controllers were killed for their memory; the last job has started: {started}"
    ));
    println!("{kills} kills, started {started}");
    if started {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

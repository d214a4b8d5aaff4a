//! The cases.

use crate::cluster::{Cluster, Site};
use crate::fleet::{Described, MachineType, Timing};
use crate::http::Answer;
use crate::json::{obj, Json};
use crate::record::Record;
use crate::state::Limits;
use std::sync::{Arc, Mutex};
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
            startup_s: 20.0,
            boot_s: 2.0,
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
        "large-jobs" => large_jobs(trouble, record),
        "many-dependents" => many_dependents(trouble, record),
        "old-reports" => old_reports(trouble, record),
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

/// A small deployment with the settings of the Batumi site.
fn batumi() -> Site {
    let mut site = port_louis();
    site.names = &["deckhand-0", "deckhand-1", "deckhand-2"];
    site.zones = &["batumi-port"];
    site.teams = &[("grid-desk-00", 0.0, 48.0), ("grid-desk-01", 0.0, 0.0)];
    site.timing = Timing {
        report_s: 1.5,
        lease_s: 10.0,
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
        startup_s: 20.0,
        boot_s: 2.0,
    }];
    site
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
                    let killed_at = Instant::now();
                    while killed_at.elapsed() < Duration::from_secs(3) && !*stop.lock().unwrap() {
                        std::thread::sleep(Duration::from_millis(50));
                    }
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
    let mut site = batumi();
    site.types.push(MachineType {
        name: "tanker-64",
        cpus: 64.0,
        mem_gb: 128.0,
        zones: &["batumi-port"],
        capacity: 1,
        startup_s: 20.0,
        boot_s: 20.0,
    });
    let cluster = Arc::new(Cluster::start(site, record));
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
    // A small job of another team, for a machine that has to boot first.
    let small = "req-000001";
    describe(small, 5.0);
    let mut job = array(small, 1, 1.0, 5.0, &[]);
    job.set("crew", "grid-desk-01".into());
    job.set("hulls", vec![Json::from("tanker-64")].into());
    if !submit(&cluster, 0, &job).is_some_and(|a| a.status == 201) {
        return Verdict::CouldNotRun;
    }
    let stop = Arc::new(Mutex::new(false));
    let kills = limit_memory(&cluster, &stop);
    std::thread::sleep(Duration::from_secs(2));
    let users = (0..if trouble { 30 } else { 10 }).map(|i| {
        let id = format!("req-{:06}", 100 + i);
        describe(&id, 20.0);
        let mut job = array(&id, 100_000, 1.0, 20.0, &[]);
        job.set("hulls", vec![Json::from("dinghy-8")].into());
        let cluster = cluster.clone();
        std::thread::spawn(move || {
            submit(&cluster, i, &job).is_some_and(|a| matches!(a.status, 200 | 201))
        })
    });
    let users: Vec<_> = users.collect();
    let has_started = || {
        cluster
            .fleet
            .on_machine
            .lock()
            .unwrap()
            .keys()
            .any(|leg| leg.starts_with(small))
    };
    // The machine is up 21 s after the submission, and the job may then wait for 90 s.
    while cluster.record.seconds() < 112.0 && !has_started() {
        std::thread::sleep(Duration::from_secs(1));
        let node = cluster.record.seconds() as usize % 3;
        cluster.ask(node, "GET", &format!("/v2/runs/{small}"), &Json::Null, 2.0);
    }
    let (started, has_machine) = (has_started(), cluster.fleet.has_worker("tanker-64"));
    *stop.lock().unwrap() = true;
    std::thread::sleep(Duration::from_millis(500));
    cluster.stop();
    let finished = users.into_iter().filter(|user| user.is_finished());
    let accepted = finished
        .filter_map(|user| user.join().ok())
        .filter(|accepted| *accepted)
        .count();
    let kills = *kills.lock().unwrap();
    cluster.record.note(&format!(
        "{accepted} large jobs accepted; {kills} controllers killed for their memory; \
         the small job's machine is up: {has_machine}; the small job has started: {started}"
    ));
    if started {
        Verdict::Held
    } else if has_machine {
        Verdict::Broken
    } else {
        Verdict::CouldNotRun
    }
}

/// Copies of old reports reach a new leader. Before that, all controllers were away for longer than a lease;
/// the former leader ends while two machines with long tasks can't be reached.
fn old_reports(trouble: bool, record: Record) -> Verdict {
    let mut site = batumi();
    site.types[0].startup_s = 50.0;
    let cluster = Cluster::start(site, record);
    if !cluster.wait_until_ready(20.0) {
        return Verdict::CouldNotRun;
    }
    let count = cluster.fronts.len();
    let twice = Arc::new(Mutex::new(0));
    {
        let (twice, record) = (twice.clone(), cluster.record.clone());
        let check = move |leg: &str, machine: &str, others: &[String]| {
            if !others.is_empty() {
                record.note(&format!(
                    "RAN TWICE: {leg} starts on {machine} while it is on {others:?}"
                ));
                *twice.lock().unwrap() += 1;
            }
        };
        *cluster.fleet.on_start.lock().unwrap() = Some(Box::new(check));
    }
    // A task takes a machine of its own.
    let accept = |id: &str, legs: u64, run_s: f64| -> bool {
        let described = Described {
            cpus: 5.0,
            mem_gb: 1.0,
            run_s: Some(run_s),
            fetch_s: 0.2,
        };
        cluster.fleet.describe(id, described);
        submit(&cluster, 0, &array(id, legs, 5.0, run_s, &[]))
            .is_some_and(|a| matches!(a.status, 200 | 201))
    };
    let (long, first_short, second_short) = ("req-000001", "req-000002", "req-000003");
    if !accept(long, 6, 300.0) || !accept(first_short, 4, 3.0) {
        return Verdict::CouldNotRun;
    }
    let running = |job: &str| -> usize {
        let on_machine = cluster.fleet.on_machine.lock().unwrap();
        let of_job = on_machine
            .iter()
            .filter(|(leg, machines)| leg.starts_with(job) && !machines.is_empty());
        of_job.count()
    };
    let done = |job: &str| {
        cluster
            .fleet
            .done
            .lock()
            .unwrap()
            .iter()
            .filter(|leg| leg.starts_with(job))
            .count()
    };
    let wait_until = |seconds: f64, what: &dyn Fn() -> bool| -> bool {
        let started_at = Instant::now();
        while started_at.elapsed().as_secs_f64() < seconds {
            if what() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    };
    if !wait_until(20.0, &|| running(long) == 6 && done(first_short) == 4) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(3));
    // All controllers are away until every worker's lease has expired.
    if trouble {
        (0..count).for_each(|i| cluster.kill_controller(i));
        if !wait_until(45.0, &|| {
            cluster.fleet.watches().iter().all(|watch| *watch == 2)
        }) {
            return Verdict::CouldNotRun;
        }
        (0..count).for_each(|i| cluster.start_controller(i));
    }
    if !wait_until(20.0, &|| running(long) == 6) || !accept(second_short, 4, 3.0) {
        return Verdict::CouldNotRun;
    }
    if !wait_until(20.0, &|| done(second_short) == 4) {
        return Verdict::CouldNotRun;
    }
    // The leader ends, while two machines with long tasks can't be reached.
    let (leader, helm) = (cluster.leader(), cluster.fleet.highest_helm());
    let Some(leader) = leader else {
        return Verdict::CouldNotRun;
    };
    if !trouble {
        std::thread::sleep(Duration::from_secs(10));
        return if *twice.lock().unwrap() > 0 {
            Verdict::Broken
        } else {
            Verdict::Held
        };
    }
    let cut = cluster.fleet.cut(long, 2, true);
    cluster.record.note(&format!("{cut:?} lose the network"));
    cluster.kill_controller(leader);
    let acts = wait_until(15.0, &|| cluster.fleet.highest_helm() > helm);
    // For comparison, with COPIES=0 the same happens without the copies.
    let copies = std::env::var("COPIES").map_or(true, |value| value != "0");
    if acts && copies {
        // A new leader has acted, and copies of old reports of these machines arrive there.
        std::thread::sleep(Duration::from_millis(500));
        let next = cluster.leader().unwrap_or(0);
        cluster.fleet.send_old_reports(&cut, &cluster.fronts[next]);
    }
    std::thread::sleep(Duration::from_secs(3));
    cluster.start_controller(leader);
    std::thread::sleep(Duration::from_secs(2));
    cluster.fleet.cut(long, usize::MAX, false);
    cluster.record.note("all machines have the network again");
    std::thread::sleep(Duration::from_secs(3));
    let twice = *twice.lock().unwrap();
    cluster.record.note(&format!("{twice} tasks ran twice"));
    if !acts {
        Verdict::CouldNotRun
    } else if twice > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

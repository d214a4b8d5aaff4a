//! The cases. Each runs a small deployment, and checks one rule by what users and workers saw.

use crate::cluster::{batumi, portlouis, Cluster, Submission};
use crate::record::{note, now};
use std::time::Duration;

/// The result of a case.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

fn could_not(reason: impl Into<String>) -> Outcome {
    Outcome::CouldNotRun(reason.into())
}

/// Polls a job until it is done or a time has come; returns the last state.
fn wait_done(cluster: &Cluster, id: &str, until: f64) -> String {
    let mut last = String::new();
    while now() < until && last != "done" && last != "cancelled" {
        sleep(2.0);
        if let Some(state) = cluster.status(id) {
            last = state;
        }
    }
    last
}

/// The client upload service of another team, as in the brief: a service of the highest priority.
fn portal(id: &str) -> Submission {
    let mut portal = Submission::array(id, "grid-desk-01", 2, 0.0);
    portal.duty = "intake-portal";
    portal.rig = "standing";
    portal.precedence = "critical";
    portal.passage_s = 0.0;
    (portal.cpus, portal.mem_gb) = (2.0, 5.5);
    portal
}

/// Submits a job and waits until all its tasks are on machines; returns whether they are.
fn start(cluster: &Cluster, job: &Submission, until: f64) -> bool {
    if cluster.submit(0, job) != 201 {
        return false;
    }
    while now() < until {
        sleep(0.2);
        if cluster.fleet.running(&job.id) == job.legs as usize {
            return true;
        }
    }
    false
}

/// A pipeline in which each job names all jobs before it. With trouble its ids come in no order, else in
/// the order of the pipeline.
pub fn pipeline(folder: &str, trouble: bool) -> Outcome {
    const JOBS: usize = 240;
    let cluster = Cluster::start(portlouis(), folder);
    if !cluster.wait_for_leader() {
        return could_not("there is no leader");
    }
    if !start(&cluster, &portal("req-900000"), 20.0) {
        return could_not("the portal does not run");
    }
    // 101 and 240 have no common divisor, so each number occurs once.
    let number = |k: usize| if trouble { (k * 101 + 57) % JOBS } else { k };
    let id = |k: usize| format!("req-{:06}", 100_000 + number(k));
    for k in 0..JOBS {
        // The jobs wait for the first one, which runs for longer than the case.
        let mut job = Submission::array(id(k), "grid-desk-00", 1, 1000.0);
        job.passage_s = 10.0 + ((k * 7919) % 590) as f64;
        job.precedence = "idle";
        job.waits_on = (0..k).map(id).collect();
        if k == JOBS - 1 {
            job.due_s = Some(30_000.0);
            job.precedence = "urgent";
        }
        let status = cluster.submit(k % 3, &job);
        if status != 201 {
            return could_not(format!("job {k} of the pipeline was answered {status}"));
        }
        if now() > 22.0 {
            return could_not("the submissions took too long");
        }
    }
    note("the pipeline is submitted");
    let other = Submission::array("req-800000", "grid-desk-01", 1, 1.0);
    if cluster.submit(0, &other) != 201 {
        return could_not("the job of the other team was not accepted");
    }
    let accepted = now();
    let state = wait_done(&cluster, &other.id, accepted + 91.0);
    let free_cpus = cluster.fleet.most_free_cpus();
    if state != "done" && free_cpus < other.cpus {
        return could_not("no machine has room for the job of the other team");
    }
    note(format!("a machine has {free_cpus} free CPUs"));
    let totals = cluster.fleet.totals.lock().expect("lock");
    note(format!(
        "job of the other team {state} after {:.0} s; last report answered with 200 at {:.1}; leases ended {}, killed {:?}",
        now() - accepted, totals.last_answered, totals.leases_ended, totals.killed_by_lease
    ));
    if state == "done" {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "an accepted job of another team was {state} for 90 s, no report was answered since {:.0} s, and {} tasks of the portal were lost",
        totals.last_answered,
        totals.killed_by_lease.len()
    ))
}

/// An array of which, with trouble, so many tasks fit on one machine that the worker's report exceeds the
/// largest request body.
pub fn small_tasks(folder: &str, trouble: bool) -> Outcome {
    let mut site = batumi();
    site.types.retain(|t| t.name == "tanker-64");
    let cluster = Cluster::start(site, folder);
    if !cluster.wait_for_leader() {
        return could_not("there is no leader");
    }
    let mut job = Submission::array("req-000500", "platform-crew", 1250, 15.0);
    job.duty = "buoy-checks";
    (job.cpus, job.mem_gb) = if trouble { (0.05, 0.05) } else { (0.2, 0.2) };
    if cluster.submit(0, &job) != 201 {
        return could_not("the job was not accepted");
    }
    let state = wait_done(&cluster, &job.id, 110.0);
    let totals = cluster.fleet.totals.lock().expect("lock");
    note(format!(
        "job {state}; tasks completed {}, started {}, killed as a lease ended {}; leases ended {}; reports too long {}",
        totals.done.len(), totals.starts, totals.killed_by_lease.len(), totals.leases_ended, totals.too_long
    ));
    if state == "done" {
        return Outcome::Held;
    }
    if totals.starts < job.legs || totals.killed_by_lease.is_empty() {
        return could_not(format!("{} tasks started", totals.starts));
    }
    Outcome::Broken(format!(
        "{} of {} tasks of 15 s completed in 110 s, {} were killed as their worker lost its lease",
        totals.done.len(),
        job.legs,
        totals.killed_by_lease.len()
    ))
}

/// A large array whose tasks, with trouble, run for a second, beside long work of another team.
pub fn short_tasks(folder: &str, trouble: bool) -> Outcome {
    let mut site = portlouis();
    site.types.retain(|t| t.name == "press-64");
    let cluster = Cluster::start(site, folder);
    if !cluster.wait_for_leader() {
        return could_not("there is no leader");
    }
    let portal = portal("req-900000");
    let mut long = Submission::array("req-900001", "grid-desk-01", 1, 70.0);
    long.precedence = "critical";
    if !start(&cluster, &portal, 15.0) || !start(&cluster, &long, 20.0) {
        return could_not("the work of the other team does not run");
    }
    let run_s = if trouble { 1.0 } else { 20.0 };
    let mut job = Submission::array("req-000500", "grid-desk-00", 50_000, run_s);
    job.duty = "word-probes";
    (job.cpus, job.mem_gb) = (0.25, 0.9);
    if cluster.submit(0, &job) != 201 {
        return could_not("the array was not accepted");
    }
    let state = wait_done(&cluster, &long.id, 100.0);
    let totals = cluster.fleet.totals.lock().expect("lock");
    let of_other_team = |leg: &&String| leg.starts_with("req-9");
    let killed: Vec<&String> = totals
        .killed_by_lease
        .iter()
        .filter(of_other_team)
        .collect();
    note(format!(
        "long job {state}; killed as a lease ended {killed:?}; leases ended {}; reports too long {}; tasks of the array completed {}",
        totals.leases_ended, totals.too_long, totals.done.len()
    ));
    if totals.done.is_empty() {
        return could_not("no task of the array completed");
    }
    if killed.is_empty() {
        return if state == "done" {
            Outcome::Held
        } else {
            could_not("the long job is not done")
        };
    }
    Outcome::Broken(format!(
        "running work of another team was lost as workers lost their leases: {killed:?}; its job of 70 s is {state} at 100 s"
    ))
}

/// Two large arrays of small tasks; the platform ends processes that exceed their memory limit.
pub fn memory(folder: &str, trouble: bool) -> Outcome {
    let cluster = Cluster::start(batumi(), folder);
    if !cluster.wait_for_leader() {
        return could_not("there is no leader");
    }
    let legs = if trouble { 100_000 } else { 1_000 };
    for id in ["req-000500", "req-000501"] {
        let mut job = Submission::array(id, "platform-crew", legs, 1000.0);
        job.duty = "seabed-mosaic";
        (job.cpus, job.mem_gb) = (0.001, 0.001);
        if cluster.submit(0, &job) != 201 {
            return could_not("a job was not accepted");
        }
    }
    let limit = cluster.site.ram_mb;
    let mut most: f64 = 0.0;
    let mut ended = Vec::new();
    let mut restart_at = [f64::INFINITY; 3];
    let mut noted_at = 0.0;
    while now() < 100.0 {
        sleep(0.1);
        for i in 0..3 {
            if now() > restart_at[i] {
                restart_at[i] = f64::INFINITY;
                cluster.spawn(i);
            }
            let Some(memory) = cluster.memory_mib(i) else {
                continue;
            };
            most = most.max(memory);
            if memory > limit {
                let name = &cluster.controllers[i].name;
                note(format!(
                    "{name} takes {memory:.0} MiB of {limit:.0}, the platform ends it"
                ));
                ended.push(name.clone());
                cluster.kill(i);
                restart_at[i] = now() + 3.0;
            }
        }
        if now() - noted_at > 5.0 {
            noted_at = now();
            let memory: Vec<Option<f64>> = (0..3).map(|i| cluster.memory_mib(i)).collect();
            note(format!(
                "leader {:?}, memory {memory:.0?} MiB",
                cluster.leader()
            ));
        }
    }
    note(format!("most memory {most:.0} MiB; ended {ended:?}"));
    if ended.is_empty() {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "processes ended for memory {} times: {ended:?}, most {most:.0} MiB of {limit:.0}",
        ended.len()
    ))
}

/// With trouble, connections between controllers are refused, while everything else works.
pub fn refused(folder: &str, trouble: bool) -> Outcome {
    let cluster = Cluster::start_with(portlouis(), folder, true);
    if !cluster.wait_for_leader() {
        return could_not("there is no leader");
    }
    let job = Submission::array("req-000500", "grid-desk-00", 4, 1000.0);
    if !start(&cluster, &job, 20.0) {
        return could_not("the job does not run");
    }
    let running_since = now();
    let mut wrong = Vec::new();
    let mut polls = 0;
    let mut refused = false;
    let mut seen_running = false;
    while now() < running_since + 60.0 {
        let after_s = now() - running_since;
        let refuse = trouble && (10.0..50.0).contains(&after_s);
        if refuse != refused {
            refused = refuse;
            note(format!(
                "connections between controllers are refused: {refused}"
            ));
            cluster.links.iter().for_each(|link| link.refuse(refused));
        }
        sleep(1.5);
        for at in 0..3 {
            let sent = now();
            let Some((200, body)) = cluster.poll(at, &job.id) else {
                continue;
            };
            polls += 1;
            let state = body.text("status").unwrap_or("").to_string();
            seen_running |= state == "running";
            if state == "pending" && sent - running_since > 3.0 {
                wrong.push(format!("{} at {sent:.0} s", cluster.controllers[at].name));
            }
        }
        if cluster.fleet.running(&job.id) != 4 {
            return could_not("the tasks do not run on");
        }
    }
    note(format!(
        "{polls} polls answered, {} of them pending: {wrong:?}",
        wrong.len()
    ));
    if !seen_running {
        return could_not("no poll said running");
    }
    if wrong.is_empty() {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "{} of {polls} polls said pending, although all tasks had run for longer than 3 s",
        wrong.len()
    ))
}

/// Not a case: the entry of KNOWN-RED.txt, with real processes. A guest's tasks fill the only machine but
/// for what is kept for expected replicas; with trouble, services come and go at the site's usual rate.
pub fn kept_room(folder: &str, trouble: bool) -> Outcome {
    const PERIOD_S: f64 = 60.0 / 7.4;
    let mut site = portlouis();
    site.teams.push(("creole-lexicon", 0.0, 0.0));
    site.types.retain(|t| t.name == "press-64");
    (site.types[0].count, site.types[0].startup_s) = (1, 20.0);
    let cluster = Cluster::start(site, folder);
    if !cluster.wait_for_leader() {
        return could_not("there is no leader");
    }
    let service = |number: usize| {
        let mut service = portal(&format!("req-{:06}", 900_000 + number));
        service.legs = 1;
        service
    };
    const REPLICAS: usize = 8;
    for number in 0..REPLICAS {
        cluster.submit(0, &service(number));
    }
    sleep(8.0);
    let mut fill = Submission::array("req-700000", "creole-lexicon", 500, 150.0);
    fill.precedence = "idle";
    (fill.cpus, fill.mem_gb) = (0.25, 0.3);
    let mut job = Submission::array("req-800000", "grid-desk-00", 1, 25.0);
    (job.cpus, job.mem_gb) = (2.0, 6.4);
    let (mut next, mut number) = (now(), REPLICAS);
    let (mut filled, mut submitted_at) = (false, f64::INFINITY);
    let (mut room_since, mut longest) = (f64::INFINITY, 0.0_f64);
    while now() < 114.0 {
        sleep(0.2);
        if trouble && now() >= next {
            next += PERIOD_S;
            let oldest = format!("/v2/runs/req-{:06}/abort", 900_000 + number - REPLICAS);
            cluster.call(0, "POST", &oldest, "", 5.0);
            cluster.submit(0, &service(number));
            number += 1;
        }
        if !filled && now() > 13.0 {
            filled = true;
            cluster.submit(0, &fill);
        }
        if submitted_at.is_infinite() && now() > 19.0 {
            cluster.submit(0, &job);
            submitted_at = now();
        }
        let waits = submitted_at.is_finite() && cluster.fleet.running(&job.id) == 0;
        if waits && cluster.fleet.most_free_cpus() >= job.cpus {
            room_since = room_since.min(now());
            longest = longest.max(now() - room_since);
        } else {
            room_since = f64::INFINITY;
        }
    }
    note(format!(
        "the job waited beside room for {longest:.0} s without a break"
    ));
    if longest <= 90.0 {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "a job waited for {longest:.0} s beside room for it"
    ))
}

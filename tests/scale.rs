//! Limits that must hold for fleets of any size: work per event, writes to the state service, and
//! connections of the API server.

mod common;

use common::http::{read_response, send};
use common::saturated_fleet::{
    apply_all_effects, cost_of_unchanged_heartbeats, effect_bytes, saturated_fleet, SaturatedFleet,
};
use common::{
    heartbeat_from, machine_type, parse_submission, starts, submission, submit, task_statuses,
    SETTINGS,
};
use stairstage::coordination::cluster::Effect;
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::worker::{Cause, TaskState, TaskStatus};
use stairstage::settings::Settings;
use stairstage::storage::records::OpenRecord;
use stairstage::transport::api_server::{self, Bounds};
use stairstage::transport::runtime::Runtime;
use stairstage::transport::Reply;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[test]
fn launch_in_a_large_fleet_writes_at_most_one_record() {
    let SaturatedFleet {
        mut manager, now, ..
    } = saturated_fleet(2200);
    heartbeat_from(&mut manager, "m-new", 1, None, Vec::new(), now);
    submit(&mut manager, "req-9999", "sweep", "normal", None, 9999);
    let (mut launched, mut max_bytes) = (0, 0);
    for tenth in 0..20 {
        let at = now + f64::from(tenth) / 10.0;
        apply_all_effects(&mut manager, at, |effect| {
            max_bytes = max_bytes.max(effect_bytes(effect));
            if let Effect::SendCommands {
                commands: batch, ..
            } = effect
            {
                launched += starts(&batch.commands).len();
            }
        });
    }
    assert_eq!(launched, 4);
    // One record of 16 KiB, its JSON overhead, and the conditions on the job's final state and the leader.
    assert!(max_bytes > 0 && max_bytes < 17 * 1024, "{max_bytes} bytes");
}

#[test]
fn unchanged_heartbeat_costs_the_same_in_any_fleet() {
    // The number of machines and placements that the manager examines, and the bytes that it sends.
    let cost = |machines: u32| {
        let SaturatedFleet {
            mut manager,
            tasks,
            now,
            ..
        } = saturated_fleet(machines);
        cost_of_unchanged_heartbeats(&mut manager, &tasks, now)
    };
    let small = cost(20);
    assert_eq!(small.0, 0);
    assert_eq!(small, cost(2200));
}

#[test]
fn scheduling_passes_are_spaced_by_their_duration() {
    let SaturatedFleet {
        mut manager,
        mut tasks,
        now: start,
        ..
    } = saturated_fleet(20);
    let mut passes = 0;
    for i in 0..200u32 {
        // A task exits at each step, so that each step has something to schedule.
        let now = start + f64::from(i) / 100.0;
        let machine = (i % 20) as usize;
        if let Some(t) = tasks[machine]
            .iter_mut()
            .find(|t| t.state == TaskState::Running)
        {
            t.state = TaskState::Exited;
            t.cause = Some(Cause::Done);
        }
        let name = format!("m-{machine}");
        heartbeat_from(
            &mut manager,
            &name,
            10 + u64::from(i),
            None,
            tasks[machine].clone(),
            now,
        );
        if manager.step(now) {
            passes += 1;
            manager.record_cycle_duration(0.05, now);
        }
    }
    // The steps span two seconds, and a pass starts a quarter of a second after the previous one.
    assert!((2..=9).contains(&passes), "{passes}");
}

#[test]
fn launches_of_many_jobs_share_record_writes() {
    let operations = saturated_fleet(120).write_operations;
    assert!(
        operations <= 30,
        "{operations} write operations for 120 jobs"
    );
}

/// Simulates a small write limit and small records, with a fleet where tasks constantly exit and others
/// start. After 30 seconds as many machines again join at once. Returns the time in seconds from then
/// until all of them have their first tasks.
fn startup_time_of_second_half(machines: usize) -> f64 {
    let text = SETTINGS.replace("write_rps = 100.0", "write_rps = 5.0");
    let text = text.replace("value_kb = 16.0", "value_kb = 1.0");
    let settings = Arc::new(Settings::parse("test", &text).unwrap());
    let mut manager = ClusterManager::new(settings, FencingToken(1), 0.0);
    manager.set_lease_valid_until(f64::INFINITY);
    manager.set_machine_types(vec![machine_type()]);
    // Large jobs, so that the writes of their final states hardly count.
    for n in 1..=4 {
        let spec = parse_submission(&submission(&format!("req-{n}"), "sweep", "normal", 2000));
        let record = OpenRecord::accepted(spec, 0);
        manager.job_accepted(record, n, 0, 0.0);
    }
    let mut seqs = vec![0; machines];
    let mut tasks: Vec<Vec<TaskStatus>> = vec![Vec::new(); machines];
    let mut launched = vec![0; machines];
    let join_at = 30.0;
    for tenth in 0..900 {
        let now = f64::from(tenth) / 10.0;
        let active = if now < join_at {
            machines / 2
        } else {
            machines
        };
        // Each machine sends a heartbeat every two seconds; half of them report that a task has exited.
        for i in 0..active {
            if (i + tenth as usize) % 20 > 0 && seqs[i] > 0 {
                continue;
            }
            seqs[i] += 1;
            let exits = i % 40 < 20;
            if let Some(t) = tasks[i].iter_mut().find(|_| exits) {
                t.state = TaskState::Exited;
                t.cause = Some(Cause::Done);
            }
            let name = format!("m-{i}");
            heartbeat_from(&mut manager, &name, seqs[i], None, tasks[i].clone(), now);
            tasks[i].retain(|t| t.state != TaskState::Exited);
        }
        apply_all_effects(&mut manager, now, |effect| {
            if let Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } = effect
            {
                let i: usize = machine[2..].parse().unwrap();
                let started = starts(&batch.commands);
                launched[i] += started.len();
                tasks[i].extend(task_statuses(&started, TaskState::Running, None));
            }
        });
        if launched.iter().all(|n| *n >= 4) {
            return now - join_at;
        }
    }
    f64::INFINITY
}

#[test]
fn launches_on_new_machines_are_not_starved_of_record_writes() {
    // A record holds about 30 placements, and the leader may write 3 records a second: 400 placements
    // take five seconds. If records were written in the order of their numbers, those of the machines
    // that are already running would always go first. If placements filled small gaps in records, each
    // placement would cost a write.
    let startup_s = startup_time_of_second_half(200);

    assert!(startup_s < 8.0, "{startup_s} s");
}

/// Starts an API server with these bounds that answers every request with 200.
fn serve(bounds: Bounds) -> SocketAddr {
    let runtime = Runtime::start().unwrap();
    let handler = |_call, respond: stairstage::transport::Responder| respond(Reply::json(200, &()));
    let any = "127.0.0.1:0".parse().unwrap();
    api_server::serve(&runtime, any, bounds, Arc::new(handler), Arc::new(|| true)).unwrap()
}

/// At most six connections, with shares of four for workers and three for users.
fn bounds() -> Bounds {
    Bounds {
        connections: 6,
        workers: 4,
        users: 3,
        idle_timeout: Duration::from_secs(600),
        body_timeout: Duration::from_secs(600),
    }
}

/// Whether an answer is 503 with a retry after one second.
fn is_rejected(text: &str) -> bool {
    text.starts_with("http/1.1 503") && text.contains("retry-after: 1")
}

#[test]
fn workers_beyond_their_share_are_answered_without_taking_connections_of_users() {
    let address = serve(bounds());
    let connect = || TcpStream::connect(address).unwrap();
    let mut workers: Vec<TcpStream> = (0..4).map(|_| connect()).collect();
    for worker in &mut workers {
        let answer = send(worker, "POST", "/agent/beat", "{}");
        assert!(answer.starts_with("http/1.1 200") && !answer.contains("connection: close"));
    }
    // Far more workers than sockets: each heartbeat is answered, which renews the lease of its worker, but
    // the connection is closed.
    for _ in 0..20 {
        let mut further = connect();
        let answer = send(&mut further, "POST", "/agent/beat", "{}");
        assert!(answer.starts_with("http/1.1 200") && answer.contains("connection: close"));
    }
    let mut user = connect();
    assert!(send(&mut user, "GET", "/healthz", "").starts_with("http/1.1 200"));
    drop(workers);
    // The open user connection still works once the workers have freed their share.
    assert!(send(&mut user, "GET", "/v2/runs/req-1", "").starts_with("http/1.1 200"));
}

#[test]
fn socket_shares_fit_within_the_configured_maximum() {
    for all in [64, 500, 1000, 2237, 3606] {
        let text = SETTINGS.replace("max_sockets = 500", &format!("max_sockets = {all}"));
        let settings = Settings::parse("test", &text).unwrap();
        let b = stairstage::service::api_server_bounds(&settings);
        // When workers and users use their full shares, some connections remain for workers that connect
        // for each heartbeat. All connections of the API server leave enough sockets for peers, the state
        // service and the cloud.
        assert!(b.workers + b.users < b.connections);
        assert!(b.connections + 40 < all, "{} of {all}", b.connections);
        assert!(b.workers > b.users && b.users > (all - 40) / 5);
    }
}

#[test]
fn connection_beyond_the_maximum_is_rejected_at_once() {
    let address = serve(bounds());
    let connect = || TcpStream::connect(address).unwrap();
    let mut open: Vec<TcpStream> = (0..6).map(|_| connect()).collect();
    // The answer shows that the last connection has been accepted.
    assert!(send(&mut open[5], "GET", "/healthz", "").starts_with("http/1.1 200"));
    let mut more = connect();
    assert!(is_rejected(&send(&mut more, "GET", "/healthz", "")));
}

#[test]
fn oversized_and_incomplete_requests_are_not_served() {
    let address = serve(Bounds {
        idle_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        ..bounds()
    });
    let mut long = TcpStream::connect(address).unwrap();
    let head = "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n";
    long.write_all(head.as_bytes()).unwrap();
    assert!(read_response(&mut long).starts_with("http/1.1 413"));
    let mut slow = TcpStream::connect(address).unwrap();
    let head = "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc";
    slow.write_all(head.as_bytes()).unwrap();
    assert!(read_response(&mut slow).starts_with("http/1.1 408"));
    // An incomplete request head: the connection is closed.
    let mut incomplete = TcpStream::connect(address).unwrap();
    incomplete.write_all(b"GET /healthz HT").unwrap();
    assert!(!read_response(&mut incomplete).starts_with("http/1.1 200"));
}

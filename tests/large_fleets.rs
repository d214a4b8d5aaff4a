//! Fleets of up to 6,000 machines, 1.5 times the largest one in production.

mod common;
#[path = "common/local_cluster.rs"]
mod local_cluster;

use common::http::send;
use common::saturated_fleet::{
    cost_of_unchanged_heartbeats, job_of_machine, machine_number, saturated_fleet, LargestWrite,
    SaturatedFleet,
};
use common::{
    apply_effects, heartbeat_from, heartbeat_starts, manager_with_token, starts, worker_heartbeat,
    SETTINGS,
};
use crossbeam::channel::bounded;
use serde_json::json;
use stairstage::coordination::cluster::recovery::Records;
use stairstage::coordination::cluster::{CommandOutcome, Effect};
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::store::VersionedValue;
use stairstage::protocol::worker::{Cause, TaskState};
use stairstage::service::cloud_client::CloudClient;
use stairstage::service::messages::{AcceptedJob, Message};
use stairstage::service::record_reader::RecordReader;
use stairstage::settings::Settings;
use stairstage::storage::key_value_store::KeyValueStore as StoreClient;
use stairstage::storage::records::OPEN_PREFIX;
use stairstage::transport::api_server::{self, ApiRequest, Bounds};
use stairstage::transport::runtime::Runtime;
use stairstage::transport::Reply;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::collections::BTreeSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Counts allocated bytes.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Machines of the fleet that the largest one is compared with.
const SMALL_FLEET: u32 = 1000;
/// Machines of the largest fleet.
const LARGEST_FLEET: u32 = 6000;

/// Held by tests that count allocated bytes or build a whole fleet, so that they run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What events cost a leader, and its largest writes.
#[derive(Debug, PartialEq)]
struct Costs {
    /// The number of machines and placements examined, and the bytes sent, for unchanged heartbeats.
    heartbeat_examined: u64,
    heartbeat_bytes: usize,
    /// The number of machines examined when tasks exit and no job is queued.
    exit_examined: u64,
    largest: LargestWrite,
}

/// Measures what events cost the leader of this fleet.
fn measure_costs(fleet: SaturatedFleet) -> Costs {
    let SaturatedFleet {
        mut manager,
        mut tasks,
        largest,
        now,
        ..
    } = fleet;
    let (heartbeat_examined, heartbeat_bytes) =
        cost_of_unchanged_heartbeats(&mut manager, &tasks, now);
    let examined = manager.machines_examined();
    for (i, machine_tasks) in tasks.iter_mut().enumerate().skip(100).take(20) {
        machine_tasks[0].state = TaskState::Exited;
        machine_tasks[0].cause = Some(Cause::Done);
        heartbeat_from(
            &mut manager,
            &format!("m-{i}"),
            3,
            None,
            machine_tasks.clone(),
            now,
        );
        manager.step(now);
        manager.take_effects();
    }
    Costs {
        heartbeat_examined,
        heartbeat_bytes,
        exit_examined: manager.machines_examined() - examined,
        largest,
    }
}

/// The bytes that a leader of a fleet of this size holds per machine, and what events cost it.
fn measure(machines: u32) -> (f64, Costs) {
    let region = Region::new(ALLOCATOR);
    let fleet = saturated_fleet(machines);
    let change = region.change();
    let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (held / f64::from(machines), measure_costs(fleet))
}

#[test]
fn event_cost_and_memory_per_machine_do_not_grow_with_the_fleet() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let (small_bytes, small) = measure(SMALL_FLEET);
    let (large_bytes, large) = measure(LARGEST_FLEET);
    assert_eq!((small.heartbeat_examined, small.exit_examined), (0, 0));
    assert_eq!((large.heartbeat_examined, large.exit_examined), (0, 0));
    assert_eq!(small.heartbeat_bytes, large.heartbeat_bytes);
    // The settings allow values of 16 KiB, 8 write operations and four times as many conditions.
    let settings = Settings::parse("test", SETTINGS).unwrap();
    let state = &settings.cluster.state;
    for largest in [small.largest, large.largest] {
        assert!(
            largest.value_bytes <= state.max_record_bytes(),
            "{largest:?}"
        );
        assert!(
            largest.write_operations <= state.max_operations(),
            "{largest:?}"
        );
        assert!(largest.conditions <= state.max_compares(), "{largest:?}");
    }
    // The bytes per machine include its job, its four tasks, and the test's own copy of the tasks. The
    // largest fleet takes less than two thirds of 72 MB, the smallest memory that any controller has had.
    let bytes = format!(
        "bytes per machine: {small_bytes} in the small fleet, {large_bytes} in the largest"
    );
    assert!(large_bytes < 1.1 * small_bytes, "{bytes}");
    assert!(large_bytes * f64::from(LARGEST_FLEET) < 48e6, "{bytes}");
    println!("{bytes}");
}

/// Half of the fleet stops sending heartbeats; the others send one every two seconds. Returns the machines
/// that are returned to the cloud within 20 s, and the maximum number of unanswered direct commands.
fn lose_half_of_fleet(fleet: &mut SaturatedFleet) -> (BTreeSet<usize>, usize) {
    let (manager, tasks) = (&mut fleet.manager, &fleet.tasks);
    let half = tasks.len() / 2;
    let mut returned = BTreeSet::new();
    let mut unanswered: Vec<(f64, String)> = Vec::new();
    let mut max_unanswered = 0;
    for tick in 1..=40 {
        let now = fleet.now + f64::from(tick) / 2.0;
        for i in (0..half).filter(|i| i % 4 == tick as usize % 4) {
            let sequence = 10 + u64::from(tick as u32);
            heartbeat_from(
                manager,
                &format!("m-{i}"),
                sequence,
                None,
                tasks[i].clone(),
                now,
            );
        }
        // A hanging machine keeps the connection of its command open for 1.5 seconds.
        let (timed_out, waiting): (Vec<_>, Vec<_>) =
            unanswered.drain(..).partition(|(at, _)| now > at + 1.5);
        unanswered = waiting;
        for (_, machine) in timed_out {
            manager.commands_finished(&machine.as_str().into(), CommandOutcome::Indeterminate, now);
        }
        manager.tick(now);
        apply_effects(manager, now, |manager, effect| match effect {
            Effect::SendCommands { machine, .. } => unanswered.push((now, machine.to_string())),
            Effect::ReturnMachines(names) => {
                returned.extend(names.iter().map(|n| machine_number(n)));
                // Commands to returned machines are no longer outstanding.
                unanswered.retain(|(_, machine)| !names.contains(machine));
                manager.machines_returned(&names, true, now);
            }
            _ => {}
        });
        max_unanswered = max_unanswered.max(unanswered.len());
    }
    (returned, max_unanswered)
}

#[test]
fn loss_of_half_of_the_largest_fleet_is_detected_with_few_connections() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let mut fleet = saturated_fleet(LARGEST_FLEET);
    let half = fleet.tasks.len() / 2;
    let (returned, max_unanswered) = lose_half_of_fleet(&mut fleet);
    let settings = Settings::parse("test", SETTINGS).unwrap();
    assert!(
        max_unanswered <= settings.command_connections(),
        "{max_unanswered} connections at a time"
    );
    assert!(
        returned.iter().all(|i| *i >= half),
        "a machine with heartbeats was returned"
    );
    // Each call returns a hundred machines, and there are two calls a second.
    assert!(
        returned.len() >= half * 2 / 3,
        "{} of {half} machines returned",
        returned.len()
    );
}

/// The records that the next leader of a full fleet reads.
fn records_of(fleet: &SaturatedFleet) -> Records {
    let item = |key: String, value, version| VersionedValue {
        key,
        value,
        version,
    };
    let open = (0..fleet.tasks.len() as u32).map(|i| {
        let value = serde_json::to_value(job_of_machine(i)).unwrap();
        item(format!("{OPEN_PREFIX}req-{i}"), value, u64::from(i) + 1)
    });
    let placements = fleet.placements.iter();
    Records {
        open_jobs: open.collect(),
        completions: Vec::new(),
        placements: placements
            .map(|(key, (value, version))| item(key.clone(), value.clone(), *version))
            .collect(),
    }
}

#[test]
fn new_leader_of_the_largest_fleet_launches_nothing_twice() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let fleet = saturated_fleet(LARGEST_FLEET);
    let token = 1_000_000;
    let mut next = manager_with_token(token);
    next.recover(records_of(&fleet), 0, 0.0);
    assert_eq!(next.machine_count(), fleet.tasks.len());
    let mut launched = 0;
    let mut running = 0;
    // All machines send heartbeats within one interval, as after a restart of all controllers.
    for (i, tasks) in fleet.tasks.iter().enumerate() {
        let now = 2.0 * i as f64 / fleet.tasks.len() as f64;
        for (sequence, known_token) in [(3, 1), (4, token)] {
            let heartbeat =
                worker_heartbeat(&format!("m-{i}"), sequence, known_token, tasks.clone());
            launched += heartbeat_starts(&mut next, &heartbeat, now).len();
        }
        if i % 500 == 0 {
            apply_effects(&mut next, now, |manager, effect| {
                if let Effect::SendCommands {
                    machine,
                    commands: batch,
                    ..
                } = effect
                {
                    launched += starts(&batch.commands).len();
                    manager.commands_finished(&machine, CommandOutcome::Indeterminate, now);
                }
            });
        }
    }
    for i in 0..fleet.tasks.len() {
        running += next.status(&format!("req-{i}")).unwrap().running;
    }
    assert_eq!(launched, 0, "all tasks are running already");
    assert_eq!(running as usize, 4 * fleet.tasks.len());
}

#[test]
fn lagging_watch_reloads_all_open_jobs_in_one_message() {
    let mut state = local_cluster::KeyValueStore::default();
    for i in 0..LARGEST_FLEET {
        state.revision += 1;
        let record = local_cluster::Entry {
            value: json!(job_of_machine(i)),
            version: state.revision,
            lease: None,
        };
        state.keys.insert(format!("{OPEN_PREFIX}req-{i}"), record);
    }
    let state = Mutex::new(state);
    // Each watch gets the response that its revision is too old.
    let address = local_cluster::serve(move |method, url, body| {
        if url.starts_with("/changes") {
            (410, json!({}))
        } else {
            state.lock().unwrap().answer(method, url, body)
        }
    });
    let (inbox, messages) = bounded(8);
    let term = Arc::new(AtomicU64::new(1));
    let reader = RecordReader {
        store: StoreClient::new(address, 1),
        inbox,
        term: term.clone(),
        token: FencingToken(1),
        epoch: Instant::now(),
        heartbeat_interval: Duration::from_secs(1),
    };
    let thread = std::thread::spawn(move || reader.run());
    let mut opened: Option<Vec<AcceptedJob>> = None;
    for message in &messages {
        match message {
            Message::RecordsLoaded { records, .. } => {
                assert_eq!(records.open_jobs.len(), LARGEST_FLEET as usize);
            }
            Message::JobsAccepted { jobs } => opened = Some(jobs),
            Message::RecordsRead { .. } => break,
            _ => panic!("unexpected message"),
        }
    }
    assert_eq!(opened.map(|jobs| jobs.len()), Some(LARGEST_FLEET as usize));
    term.store(0, Ordering::Relaxed);
    drop(messages);
    thread.join().unwrap();
}

#[test]
fn machine_list_of_the_largest_fleet_is_read_completely_despite_rate_limiting() {
    let calls = AtomicUsize::new(0);
    let address = local_cluster::serve(move |_, url, _| {
        // Every second call is rate limited.
        if calls.fetch_add(1, Ordering::Relaxed) % 2 == 1 {
            return (429, json!({}));
        }
        let query = url.split_once('?').unwrap().1;
        let after = query.split('&').find_map(|p| p.strip_prefix("after=m-"));
        let first = after.map_or(0, |n| n.parse::<u32>().unwrap() + 1);
        let last = (first + 500).min(LARGEST_FLEET);
        let machine = |i: u32| {
            json!({"name_id": format!("m-{i:06}"), "endpoint": null, "hull": "m4", "berth": "z",
                "driftwood": false, "status": "running", "age_s": 1.0})
        };
        let fleet: Vec<_> = (first..last).map(machine).collect();
        (
            200,
            json!({"fleet": fleet, "truncated": last < LARGEST_FLEET}),
        )
    });
    let text = SETTINGS
        .replace("127.0.0.1:3", &address.to_string())
        .replace("rps = 10.0", "rps = 1000.0");
    let settings = Settings::parse("test", &text).unwrap();
    let listed = CloudClient::new(&settings).list().unwrap();
    let names: BTreeSet<&str> = listed.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names.len(), LARGEST_FLEET as usize);
}

/// Sends a worker's heartbeat and returns the answer.
fn send_heartbeat(stream: &mut TcpStream, worker: u32) -> String {
    send(stream, "POST", "/agent/beat", &worker.to_string())
}

#[test]
fn every_worker_of_the_largest_fleet_is_answered_with_far_fewer_sockets_than_machines() {
    let received = Arc::new(Mutex::new(BTreeSet::new()));
    let runtime = Runtime::start().unwrap();
    let recorded = received.clone();
    let handler = move |call, respond: stairstage::transport::Responder| {
        if let ApiRequest::Heartbeat(body) = call {
            recorded.lock().unwrap().insert(body);
        }
        respond(Reply::json(200, &()));
    };
    let bounds = Bounds {
        connections: 64,
        workers: 16,
        users: 16,
        idle_timeout: Duration::from_secs(600),
        body_timeout: Duration::from_secs(600),
    };
    let any = "127.0.0.1:0".parse().unwrap();
    let healthy = Arc::new(|| true);
    let address = api_server::serve(&runtime, any, bounds, Arc::new(handler), healthy).unwrap();
    // The first workers keep their connections open and use up the share of workers.
    let connect = move || TcpStream::connect(address).unwrap();
    let mut open: Vec<TcpStream> = (0..16).map(|_| connect()).collect();
    for (worker, stream) in open.iter_mut().enumerate() {
        let answer = send_heartbeat(stream, worker as u32);
        assert!(answer.starts_with("http/1.1 200") && !answer.contains("connection: close"));
    }
    let senders = 16;
    std::thread::scope(|scope| {
        for sender in 0..senders {
            scope.spawn(move || {
                for worker in (sender..LARGEST_FLEET).step_by(senders as usize) {
                    let answer = send_heartbeat(&mut connect(), worker);
                    assert!(
                        answer.starts_with("http/1.1 200"),
                        "worker {worker}: {answer}"
                    );
                    assert!(
                        answer.contains("connection: close"),
                        "worker {worker}: {answer}"
                    );
                }
            });
        }
    });
    drop(open);
    assert_eq!(received.lock().unwrap().len(), LARGEST_FLEET as usize);
}

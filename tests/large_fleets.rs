//! Fleets of up to 6,000 machines: half as many again as the largest in service.

mod common;
#[path = "common/standins.rs"]
mod standins;

use common::full_fleet::{
    full_fleet, heartbeats_without_news, job_of_machine, machine_number, FullFleet, LargestWrite,
};
use common::http::send;
use common::{
    answered, carry_out, heartbeat_from, manager_with_token, starts, worker_heartbeat, SETTINGS,
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

/// Counts what is allocated.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Machines of a fleet that others are compared with.
const SMALL: u32 = 1000;
/// Machines of the largest fleet.
const LARGEST: u32 = 6000;

/// Tests that count allocated bytes, or build a whole fleet, run one after the other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What events cost a leader, and what it holds.
#[derive(Debug, PartialEq)]
struct Costs {
    /// Machines and places that were looked at, and bytes that were sent, for reports without news.
    report_looks: u64,
    report_bytes: usize,
    /// The same for tasks that end while nothing waits.
    end_looks: u64,
    largest: LargestWrite,
}

/// What events cost the leader of this fleet.
fn costs(fleet: FullFleet) -> Costs {
    let FullFleet {
        mut manager,
        mut tasks,
        largest,
        now,
        ..
    } = fleet;
    let (report_looks, report_bytes) = heartbeats_without_news(&mut manager, &tasks, now);
    let looks = manager.machines_examined();
    for (i, here) in tasks.iter_mut().enumerate().skip(100).take(20) {
        here[0].state = TaskState::Exited;
        here[0].cause = Some(Cause::Done);
        heartbeat_from(&mut manager, &format!("m-{i}"), 3, None, here.clone(), now);
        manager.step(now);
        manager.take_effects();
    }
    Costs {
        report_looks,
        report_bytes,
        end_looks: manager.machines_examined() - looks,
        largest,
    }
}

/// The bytes that a leader holds for each of so many machines, and what events cost it.
fn measured(machines: u32) -> (f64, Costs) {
    let region = Region::new(ALLOCATOR);
    let fleet = full_fleet(machines);
    let change = region.change();
    let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (held / f64::from(machines), costs(fleet))
}

#[test]
fn in_any_fleet_events_cost_the_same_and_a_machine_takes_as_much_memory() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let (small_bytes, small) = measured(SMALL);
    let (large_bytes, large) = measured(LARGEST);
    assert_eq!((small.report_looks, small.end_looks), (0, 0));
    assert_eq!((large.report_looks, large.end_looks), (0, 0));
    assert_eq!(small.report_bytes, large.report_bytes);
    // The settings allow values of 16 KiB, 8 changes and four times as many conditions.
    let settings = Settings::parse("test", SETTINGS).unwrap();
    let state = &settings.cluster.state;
    for written in [small.largest, large.largest] {
        assert!(
            written.value_bytes <= state.max_record_bytes(),
            "{written:?}"
        );
        assert!(written.changes <= state.max_operations(), "{written:?}");
        assert!(written.conditions <= state.max_compares(), "{written:?}");
    }
    // With its job, its four tasks and what runs on it as the test keeps it. Of 72 MB, the least that
    // any controller has had, the largest fleet takes less than two thirds.
    let bytes = format!("{small_bytes} and {large_bytes} bytes a machine");
    assert!(large_bytes < 1.1 * small_bytes, "{bytes}");
    assert!(large_bytes * f64::from(LARGEST) < 48e6, "{bytes}");
    println!("{bytes}");
}

/// Half of the fleet falls silent; the others report every two seconds. Returns the machines that are
/// given back within 20 s, and the most direct commands that were under way without an answer.
fn lose_half(fleet: &mut FullFleet) -> (BTreeSet<usize>, usize) {
    let (manager, tasks) = (&mut fleet.manager, &fleet.tasks);
    let half = tasks.len() / 2;
    let mut returned = BTreeSet::new();
    let mut unanswered: Vec<(f64, String)> = Vec::new();
    let mut most = 0;
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
        // A machine that hangs holds its command's connection for a second and a half.
        let (over, waits): (Vec<_>, Vec<_>) =
            unanswered.drain(..).partition(|(at, _)| now > at + 1.5);
        unanswered = waits;
        for (_, machine) in over {
            manager.commands_answered(&machine.as_str().into(), CommandOutcome::Unknown, now);
        }
        manager.tick(now);
        carry_out(manager, now, |manager, effect| match effect {
            Effect::SendCommands { machine, .. } => unanswered.push((now, machine.to_string())),
            Effect::ReturnMachines(names) => {
                returned.extend(names.iter().map(|n| machine_number(n)));
                // Commands to what is gone end with it.
                unanswered.retain(|(_, machine)| !names.contains(machine));
                manager.machines_returned(&names, true, now);
            }
            _ => {}
        });
        most = most.max(unanswered.len());
    }
    (returned, most)
}

#[test]
fn the_loss_of_half_of_the_largest_fleet_is_noticed_with_few_connections() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let mut fleet = full_fleet(LARGEST);
    let half = fleet.tasks.len() / 2;
    let (returned, most) = lose_half(&mut fleet);
    let settings = Settings::parse("test", SETTINGS).unwrap();
    assert!(most <= settings.command_connections(), "{most} at a time");
    assert!(returned.iter().all(|i| *i >= half), "only what is silent");
    // A hundred machines go back in each call, and two calls in a second.
    assert!(
        returned.len() >= half * 2 / 3,
        "{} of {half}",
        returned.len()
    );
}

/// The records that a leader of a full fleet leaves to the next one.
fn records_of(fleet: &FullFleet) -> Records {
    let item = |key: String, value, version| VersionedValue {
        key,
        value,
        version,
    };
    let open = (0..fleet.tasks.len() as u32).map(|i| {
        let value = serde_json::to_value(job_of_machine(i)).unwrap();
        item(format!("{OPEN_PREFIX}req-{i}"), value, u64::from(i) + 1)
    });
    let places = fleet.places.iter();
    Records {
        open_jobs: open.collect(),
        completions: Vec::new(),
        placements: places
            .map(|(key, (value, version))| item(key.clone(), value.clone(), *version))
            .collect(),
    }
}

#[test]
fn a_new_leader_takes_the_largest_fleet_over_and_launches_nothing_twice() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let fleet = full_fleet(LARGEST);
    let token = 1_000_000;
    let mut next = manager_with_token(token);
    next.recover(records_of(&fleet), 0, 0.0);
    assert_eq!(next.machine_count(), fleet.tasks.len());
    let mut launched = 0;
    let mut running = 0;
    // All come within a heartbeat interval, as after a restart of all controllers.
    for (i, tasks) in fleet.tasks.iter().enumerate() {
        let now = 2.0 * i as f64 / fleet.tasks.len() as f64;
        for (sequence, seen) in [(3, 1), (4, token)] {
            let heartbeat = worker_heartbeat(&format!("m-{i}"), sequence, seen, tasks.clone());
            launched += answered(&mut next, &heartbeat, now).len();
        }
        if i % 500 == 0 {
            carry_out(&mut next, now, |manager, effect| {
                if let Effect::SendCommands {
                    machine,
                    commands: batch,
                    ..
                } = effect
                {
                    launched += starts(&batch.commands).len();
                    manager.commands_answered(&machine, CommandOutcome::Unknown, now);
                }
            });
        }
    }
    for i in 0..fleet.tasks.len() {
        running += next.status(&format!("req-{i}")).unwrap().running;
    }
    assert_eq!(launched, 0, "all of it runs");
    assert_eq!(running as usize, 4 * fleet.tasks.len());
}

#[test]
fn all_open_jobs_are_read_anew_in_one_message() {
    let mut state = standins::KeyValueStore::default();
    for i in 0..LARGEST {
        state.revision += 1;
        let record = standins::Entry {
            value: json!(job_of_machine(i)),
            version: state.revision,
            lease: None,
        };
        state.keys.insert(format!("{OPEN_PREFIX}req-{i}"), record);
    }
    let state = Mutex::new(state);
    // Each watch finds that it has fallen behind.
    let address = standins::serve(move |method, url, body| {
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
                assert_eq!(records.open_jobs.len(), LARGEST as usize);
            }
            Message::JobsAccepted { jobs } => opened = Some(jobs),
            Message::RecordsRead { .. } => break,
            _ => panic!("nothing else is read"),
        }
    }
    assert_eq!(opened.map(|jobs| jobs.len()), Some(LARGEST as usize));
    term.store(0, Ordering::Relaxed);
    drop(messages);
    thread.join().unwrap();
}

#[test]
fn a_list_of_the_largest_fleet_is_read_to_its_end_though_pages_come_too_fast() {
    let calls = AtomicUsize::new(0);
    let address = standins::serve(move |_, url, _| {
        // Every second call is one too many.
        if calls.fetch_add(1, Ordering::Relaxed) % 2 == 1 {
            return (429, json!({}));
        }
        let query = url.split_once('?').unwrap().1;
        let after = query.split('&').find_map(|p| p.strip_prefix("after=m-"));
        let first = after.map_or(0, |n| n.parse::<u32>().unwrap() + 1);
        let last = (first + 500).min(LARGEST);
        let machine = |i: u32| {
            json!({"name_id": format!("m-{i:06}"), "endpoint": null, "hull": "m4", "berth": "z",
                "driftwood": false, "status": "running", "age_s": 1.0})
        };
        let fleet: Vec<_> = (first..last).map(machine).collect();
        (200, json!({"fleet": fleet, "truncated": last < LARGEST}))
    });
    let text = SETTINGS
        .replace("127.0.0.1:3", &address.to_string())
        .replace("rps = 10.0", "rps = 1000.0");
    let settings = Settings::parse("test", &text).unwrap();
    let listed = CloudClient::new(&settings).list().unwrap();
    let names: BTreeSet<&str> = listed.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names.len(), LARGEST as usize);
}

/// Sends a worker's heartbeat; the answer.
fn report_on(stream: &mut TcpStream, worker: u32) -> String {
    send(stream, "POST", "/agent/beat", &worker.to_string())
}

#[test]
fn every_worker_of_the_largest_fleet_is_answered_with_far_fewer_sockets_than_machines() {
    let heard = Arc::new(Mutex::new(BTreeSet::new()));
    let runtime = Runtime::start().unwrap();
    let noted = heard.clone();
    let handler = move |call, respond: stairstage::transport::Responder| {
        if let ApiRequest::Heartbeat(body) = call {
            noted.lock().unwrap().insert(body);
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
    // The first workers keep their connections open, so that their share is used up.
    let connect = move || TcpStream::connect(address).unwrap();
    let mut open: Vec<TcpStream> = (0..16).map(|_| connect()).collect();
    for (worker, stream) in open.iter_mut().enumerate() {
        let answer = report_on(stream, worker as u32);
        assert!(answer.starts_with("http/1.1 200") && !answer.contains("connection: close"));
    }
    let senders = 16;
    std::thread::scope(|scope| {
        for sender in 0..senders {
            scope.spawn(move || {
                for worker in (sender..LARGEST).step_by(senders as usize) {
                    let answer = report_on(&mut connect(), worker);
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
    assert_eq!(heard.lock().unwrap().len(), LARGEST as usize);
}

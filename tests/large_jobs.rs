//! Jobs with very many tasks: what a leader keeps for them.

mod common;

use common::{heartbeat, manager, parse_submission, submission};
use serde_json::{json, Value};
use stairstage::coordination::cluster::recovery::Records;
use stairstage::coordination::state::{leader_memory_bytes, Job};
use stairstage::protocol::store::VersionedValue;
use stairstage::storage::records::{completion_key, open_key, OpenRecord, StoredCompletions};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Counts allocated bytes.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Held by each test, since the counts are those of the whole process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The largest size that a submission may have.
const MAX_TASKS: u32 = 100_000;
/// Jobs whose memory is measured together.
const JOBS: u64 = 30;

/// The bytes that a region has allocated and not freed.
fn held_bytes(region: &Region<'_, System>) -> isize {
    let change = region.change();
    change.bytes_allocated as isize - change.bytes_deallocated as isize
}

/// The bytes that a leader holds for each of `JOBS` waiting arrays with this number of tasks.
fn bytes_per_waiting_job(tasks: u32) -> isize {
    let mut leader = manager();
    let region = Region::new(ALLOCATOR);
    for number in 0..JOBS {
        let body = submission(&format!("req-{number:06}"), "sweep", "normal", tasks);
        let record = OpenRecord::accepted(parse_submission(&body), 0);
        leader.job_accepted(record, number + 1, 0, 0.0);
    }
    leader.step(0.0);
    held_bytes(&region) / JOBS as isize
}

/// Guards against a leader that is ended for its memory, again and again, by some thirty accepted jobs of the
/// largest size: it kept an entry for each of their tasks.
#[test]
fn memory_of_a_waiting_job_does_not_depend_on_its_size() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let (small, large) = (bytes_per_waiting_job(1), bytes_per_waiting_job(MAX_TASKS));
    assert!(large <= small + 64, "{small} and {large} bytes");
}

/// The bytes that each of `JOBS` jobs takes on a leader that has just read their records, with the decoded
/// records, and the estimate of them.
fn measured_and_estimated(types: usize, dependencies: usize) -> (isize, isize) {
    let names = |prefix: &str, count: usize| -> Vec<String> {
        (0..count).map(|i| format!("{prefix}{i:05}")).collect()
    };
    let record = |number: u64| {
        let id = format!("req-{:06}", 900_000 + number);
        let mut body = submission(&id, "sweep", "normal", MAX_TASKS);
        if types > 0 {
            body["hulls"] = json!(names("type-", types));
        }
        body["waits_on"] = json!(names(&format!("req-{}", 10 + number), dependencies));
        OpenRecord::accepted(parse_submission(&body), 0)
    };
    let estimate = leader_memory_bytes(&record(0).spec, record(0).bytes());
    let texts: Vec<String> = (0..JOBS)
        .map(|number| serde_json::to_string(&record(number)).unwrap())
        .collect();
    let mut leader = manager();
    let mut decoded: Vec<Value> = Vec::with_capacity(texts.len());
    let region = Region::new(ALLOCATOR);
    for (text, version) in texts.iter().zip(1..) {
        let value: Value = serde_json::from_str(text).unwrap();
        let record: OpenRecord = serde_json::from_value(value.clone()).unwrap();
        decoded.push(value);
        leader.job_accepted(record, version, 0, 0.0);
    }
    leader.step(0.0);
    let measured = held_bytes(&region) / JOBS as isize;
    (measured, isize::try_from(estimate).unwrap())
}

/// The bound on open jobs relies on the estimate, also for a leader that reads the records anew.
#[test]
fn estimated_memory_of_a_job_covers_the_measured_one() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    for (types, dependencies) in [
        (0, 0),
        (3, 0),
        (400, 0),
        (0, 1),
        (0, 4),
        (0, 30),
        (0, 900),
        (100, 300),
    ] {
        let (measured, estimate) = measured_and_estimated(types, dependencies);
        assert!(
            measured <= estimate,
            "{types} types, {dependencies} dependencies: {measured} bytes, estimated {estimate}"
        );
    }
}

/// An array with this number of tasks.
fn array(tasks: u32) -> Job {
    let spec = parse_submission(&submission("req-1", "sweep", "normal", tasks));
    Job::new(Arc::new(spec), 1, 0.0, 20.0)
}

#[test]
fn memory_of_a_job_follows_its_completed_tasks() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let mut job = array(MAX_TASKS);
    let region = Region::new(ALLOCATOR);
    for task in 0..MAX_TASKS / 2 {
        job.complete_task(task);
    }
    // Two bits for each task, of which a growing set may hold twice as many.
    let limit = isize::try_from(MAX_TASKS / 2).unwrap() / 2;
    assert!(
        held_bytes(&region) <= limit,
        "{} bytes",
        held_bytes(&region)
    );
    assert_eq!(job.unplaced().next(), Some(MAX_TASKS / 2));
    assert_eq!(job.unplaced().count(), MAX_TASKS as usize / 2);
}

/// The records of this number of open jobs, each with this number of tasks, of which the first half has
/// completed if `is_half_done`.
fn records(jobs: usize, tasks: u32, is_half_done: bool) -> Records {
    let item = |key: String, value: Value, number: usize| VersionedValue {
        key,
        value,
        version: 1 + number as u64,
    };
    let id = |number: usize| format!("req-{number:06}");
    let open = |number: usize| {
        let spec = parse_submission(&submission(&id(number), "sweep", "normal", tasks));
        let record = OpenRecord::accepted(spec, 0);
        item(open_key(&id(number)), json!(record), number)
    };
    let half_done = |number: usize| {
        let done = StoredCompletions {
            done: vec![(0, tasks / 2 - 1)],
        };
        item(completion_key(&id(number), 0), json!(done), number)
    };
    let completed = (0..jobs).filter(|_| is_half_done && tasks > 1);
    Records {
        open_jobs: (0..jobs).map(open).collect(),
        completions: completed.map(half_done).collect(),
        placements: Vec::new(),
    }
}

/// Prints the memory that a new leader holds for open jobs, and how long a scheduling cycle takes that
/// places four tasks: the table in `docs/limits.md`.
#[test]
#[ignore = "a measurement, run by hand"]
fn print_memory_and_cycle_time_of_open_jobs() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    println!("| open jobs | tasks of each | waiting, MB | half completed, MB | cycle, ms |");
    for jobs in [1000, 3000, 6000] {
        for tasks in [1, 1000, MAX_TASKS] {
            let mut megabytes = [0.0; 2];
            let mut cycle_ms = 0.0;
            for (is_half_done, megabytes) in [false, true].into_iter().zip(&mut megabytes) {
                let region = Region::new(ALLOCATOR);
                let mut leader = manager();
                leader.recover(records(jobs, tasks, is_half_done), 0, 0.0);
                leader.step(0.0);
                *megabytes = held_bytes(&region) as f64 / 1e6;
                heartbeat(&mut leader, 1, Vec::new(), 1.0);
                let start = Instant::now();
                leader.step(1.0);
                cycle_ms = start.elapsed().as_secs_f64() * 1000.0;
            }
            println!(
                "| {jobs} | {tasks} | {:.1} | {:.1} | {cycle_ms:.1} |",
                megabytes[0], megabytes[1]
            );
        }
    }
}

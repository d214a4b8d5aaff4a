//! Jobs with very many tasks: what a leader keeps for them.

mod common;

use common::{manager, parse_submission, submission};
use stairstage::coordination::state::Job;
use stairstage::storage::records::OpenRecord;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::{Arc, Mutex};

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

//! A measurement of the memory that real controllers take for open jobs, for `docs/limits.md`.

#[path = "common/local_cluster.rs"]
mod local_cluster;

use local_cluster::{small_job, wait_until, Entry, LocalCluster};
use serde_json::{json, Value};
use stairstage::protocol::job::JobSpec;
use stairstage::storage::records::{placement_key, OpenRecord, StoredPlacements};
use std::time::Duration;

/// Number of open jobs that are measured.
const JOBS: [usize; 4] = [0, 1000, 3000, 6000];
/// Number of tasks of each of them.
const TASKS: [u32; 3] = [1, 1000, 100_000];
/// Number of arrays whose tasks are all placed.
const PLACED_ARRAYS: [u32; 4] = [0, 1, 2, 4];
/// Number of tasks of each of them.
const TASKS_PLACED: u32 = 20_000;
/// Number of tasks in a placement record.
const TASKS_OF_RECORD: u32 = 400;
/// How long a leader runs before its memory is read: it reads the records again meanwhile.
const SETTLE: Duration = Duration::from_secs(12);

/// Present and peak resident memory of the only controller of a cluster, in MB.
fn resident_megabytes(settings: &str) -> Option<(f64, f64)> {
    let processes = std::fs::read_dir("/proc").ok()?.flatten();
    let is_controller = |path: &std::path::PathBuf| {
        let command = std::fs::read_to_string(path.join("cmdline")).unwrap_or_default();
        command.contains("serve") && command.contains(settings)
    };
    let process = processes.map(|entry| entry.path()).find(is_controller)?;
    let status = std::fs::read_to_string(process.join("status")).ok()?;
    let megabytes = |field: &str| -> Option<f64> {
        let line = status.lines().find(|line| line.starts_with(field))?;
        let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1000.0)
    };
    Some((megabytes("VmRSS:")?, megabytes("VmHWM:")?))
}

/// Starts the only controller, waits until it leads and has read the records again, and returns its present and
/// peak resident memory.
fn measure(cluster: &LocalCluster) -> (f64, f64) {
    let _controller = cluster.start(0);
    wait_until("there is a leader", || cluster.leader());
    std::thread::sleep(SETTLE);
    let settings = cluster.settings_file(0);
    resident_megabytes(&settings.to_string_lossy()).unwrap()
}

/// Adds a record to the state service.
fn put(cluster: &LocalCluster, key: String, value: Value) {
    let mut state = cluster.state.lock().unwrap();
    state.revision += 1;
    let version = state.revision;
    let entry = Entry {
        value,
        version,
        lease: None,
    };
    state.keys.insert(key, entry);
}

/// The record of an open array with this number of tasks.
fn open_array(id: &str, tasks: u32) -> Value {
    let mut body = small_job(id);
    body["legs"] = json!(tasks);
    let spec = JobSpec::parse(body.to_string().as_bytes()).unwrap();
    json!(OpenRecord::accepted(spec, 0))
}

/// Prints the resident memory of a leader that has read this number of open jobs, all waiting.
#[test]
#[ignore = "a measurement, run by hand"]
fn print_resident_memory_of_a_leader() {
    println!("| open jobs | tasks of each | resident, MB | peak, MB |");
    for (i, (jobs, tasks)) in JOBS
        .iter()
        .flat_map(|jobs| TASKS.map(|tasks| (*jobs, tasks)))
        .enumerate()
    {
        let name: &'static str = format!("resident-{i}").leak();
        let cluster = LocalCluster::new(name);
        for number in 0..jobs {
            let id = format!("req-{number:06}");
            put(&cluster, format!("open/{id}"), open_array(&id, tasks));
        }
        let (resident, peak) = measure(&cluster);
        println!("| {jobs} | {tasks} | {resident:.1} | {peak:.1} |");
    }
}

/// Prints the resident memory of a leader that has read this number of placed tasks, of arrays of 20,000.
#[test]
#[ignore = "a measurement, run by hand"]
fn print_resident_memory_of_placed_tasks() {
    println!("| placed tasks | resident, MB | peak, MB | bytes of a task at the peak |");
    let mut base_megabytes = f64::NAN;
    for arrays in PLACED_ARRAYS {
        let name: &'static str = format!("placed-{arrays}").leak();
        let cluster = LocalCluster::new(name);
        for array in 0..arrays {
            let id = format!("req-{array:06}");
            put(
                &cluster,
                format!("open/{id}"),
                open_array(&id, TASKS_PLACED),
            );
            for first in (0..TASKS_PLACED).step_by(TASKS_OF_RECORD as usize) {
                let record = (array * TASKS_PLACED + first) / TASKS_OF_RECORD;
                let tasks = first..first + TASKS_OF_RECORD;
                let tasks = tasks.map(|task| (task, 1_048_576 + u64::from(task)));
                let machine = format!("m-{record:06}");
                let machines = [(machine, tasks.collect())].into();
                let allocations = [(id.clone(), machines)].into();
                put(
                    &cluster,
                    placement_key(record as usize),
                    json!(StoredPlacements { allocations }),
                );
            }
        }
        let (resident, peak) = measure(&cluster);
        if arrays == 0 {
            base_megabytes = peak;
        }
        let placed = arrays * TASKS_PLACED;
        let bytes = (peak - base_megabytes) * 1e6 / f64::from(placed.max(1));
        println!("| {placed} | {resident:.1} | {peak:.1} | {bytes:.0} |");
    }
}

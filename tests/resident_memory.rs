//! A measurement of the memory that real controllers take for open jobs, for `docs/limits.md`.

#[path = "common/local_cluster.rs"]
mod local_cluster;

use local_cluster::{small_job, wait_until, Entry, LocalCluster};
use serde_json::json;
use stairstage::protocol::job::JobSpec;
use stairstage::storage::records::OpenRecord;
use std::time::Duration;

/// Number of open jobs that are measured.
const JOBS: [usize; 4] = [0, 1000, 3000, 6000];
/// Number of tasks of each of them.
const TASKS: [u32; 3] = [1, 1000, 100_000];
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
        {
            let mut state = cluster.state.lock().unwrap();
            for number in 0..jobs {
                let id = format!("req-{number:06}");
                let mut body = small_job(&id);
                body["legs"] = json!(tasks);
                let spec = JobSpec::parse(body.to_string().as_bytes()).unwrap();
                let entry = Entry {
                    value: json!(OpenRecord::accepted(spec, 0)),
                    version: 1 + number as u64,
                    lease: None,
                };
                state.keys.insert(format!("open/{id}"), entry);
            }
            state.revision = 1 + jobs as u64;
        }
        let _controller = cluster.start(0);
        wait_until("there is a leader", || cluster.leader());
        std::thread::sleep(SETTLE);
        let settings = cluster.settings_file(0);
        let (resident, peak) = resident_megabytes(&settings.to_string_lossy()).unwrap();
        println!("| {jobs} | {tasks} | {resident:.1} | {peak:.1} |");
    }
}

//! Upgrade test for operators: jobs are submitted while controllers of the release in production and of
//! this one run side by side and are replaced, rolled back, killed and left offline. The upgrade is
//! finalized in the middle. Every accepted job must reach exactly one final state.
//!
//! Not in CI, because the test needs the program of the release in production and takes minutes:
//!
//!     STAIRSTAGE_FORMER=PATH STAIRSTAGE_PROOF_S=150 \
//!         cargo test --test upgrade_proof -- --ignored --nocapture

#[path = "common/local_cluster.rs"]
mod local_cluster;
#[path = "common/random.rs"]
mod random;

use local_cluster::{call, small_job, wait_until, ControllerProcess, LocalCluster};
use random::SplitMix64;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// A fixed seed, so that each run makes the same changes.
const SEED: u64 = 24;
/// A policy that leaves finalizing to operators.
const POLICY: &str = "(upgrade (finalize by-hand) (member-lease 2))";
/// The time between two submissions.
const SUBMISSION_PAUSE: Duration = Duration::from_millis(250);
/// The time between two changes of a controller.
const CHANGE_PAUSE: Duration = Duration::from_secs(4);
/// One in this many changes leaves a controller offline; the others restart one with either release.
const OFFLINE_EVERY: u64 = 5;
/// The share of the run before the upgrade is finalized.
const MIXED_SHARE: f64 = 0.6;

/// A cluster whose controllers change, and the states of jobs as users got them.
struct UpgradeRun {
    cluster: LocalCluster,
    previous: PathBuf,
    policy: PathBuf,
    controllers: [Option<ControllerProcess>; 3],
    /// Whether each controller runs this release.
    current: [bool; 3],
    random: SplitMix64,
    /// The state that users got last for each accepted job.
    last_state: BTreeMap<String, String>,
    submitted: usize,
    changes: usize,
    offline: usize,
}

impl UpgradeRun {
    fn new(previous: PathBuf) -> UpgradeRun {
        let cluster = LocalCluster::new("proof");
        let policy = cluster.write_file("upgrade.lisp", POLICY);
        let mut run = UpgradeRun {
            cluster,
            previous,
            policy,
            controllers: [None, None, None],
            current: [false; 3],
            random: SplitMix64(SEED),
            last_state: BTreeMap::new(),
            submitted: 0,
            changes: 0,
            offline: 0,
        };
        (0..3).for_each(|i| run.start(i, false));
        run
    }

    /// A random number below `bound`.
    fn pick(&mut self, bound: usize) -> usize {
        self.random.next() as usize % bound
    }

    /// Starts a controller with this release or the previous one, in place of the running process.
    fn start(&mut self, i: usize, current: bool) {
        self.controllers[i] = None;
        self.current[i] = current;
        let arguments = [OsStr::new("--upgrade"), self.policy.as_os_str()];
        self.controllers[i] = if current {
            self.cluster.start_with(i, &arguments)
        } else {
            self.cluster.start_program(&self.previous, i, &[])
        };
    }

    /// Submits a job to a random controller; with a dependency on an earlier job if `dependent`.
    fn submit(&mut self, dependent: bool) {
        let id = format!("req-{}", self.submitted);
        self.submitted += 1;
        let mut job = small_job(&id);
        if let Some(dependency) = self.last_state.keys().next_back().filter(|_| dependent) {
            job["waits_on"] = json!([dependency]);
        }
        for _ in 0..20 {
            let address = self.cluster.api_address(self.random.next() as usize % 3);
            match call("POST", &address, "/v2/runs", &job) {
                Some((200 | 201, _)) => {
                    self.last_state.insert(id, "pending".into());
                    return;
                }
                Some((400 | 404 | 422, answer)) => panic!("{id}: {answer}"),
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
    }

    /// A user polls a random job without a known final state at a random controller.
    fn poll_any(&mut self) {
        let open: Vec<String> = self
            .last_state
            .iter()
            .filter(|(_, state)| *state != "done")
            .map(|(id, _)| id.clone())
            .collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.pick(open.len())].clone();
        let controller = self.pick(3);
        self.poll(&id, controller);
    }

    /// A user polls a job at a controller; a final state must not change.
    fn poll(&mut self, id: &str, controller: usize) {
        let path = format!("/v2/runs/{id}");
        let answer = call(
            "GET",
            &self.cluster.api_address(controller),
            &path,
            &Value::Null,
        );
        let Some((200, answer)) = answer else {
            let is_unknown = answer.is_some_and(|(status, _)| status == 404);
            assert!(!is_unknown, "{id}: an accepted job is unknown");
            return;
        };
        let state = answer["status"].as_str().unwrap().to_string();
        assert_ne!(state, "cancelled", "{id}: cancelled without a request");
        let before = self
            .last_state
            .insert(id.to_string(), state.clone())
            .unwrap();
        let left_final_state = before == "done" && state != "done";
        assert!(!left_final_state, "{id}: a done job is {state} again");
    }

    /// The worker sends heartbeats to all controllers and finishes each task after one heartbeat.
    fn run_worker(&mut self) {
        self.cluster.worker.lock().unwrap().completes_tasks = true;
        self.cluster.send_heartbeats(&[0, 1, 2]);
    }

    /// Restarts a random controller with one of the two releases, or stops it until a later change.
    fn change_controller(&mut self, finalized: bool) {
        let i = self.pick(3);
        self.changes += 1;
        if self.random.next() % OFFLINE_EVERY == 0 && self.controllers.iter().all(Option::is_some) {
            self.controllers[i] = None;
            self.offline += 1;
            return;
        }
        let stopped = self.controllers.iter().position(Option::is_none);
        let current = finalized || self.random.next() % 2 == 0;
        self.start(stopped.unwrap_or(i), current);
    }

    /// Users submit and poll jobs while controllers change.
    fn run_until(&mut self, deadline: Instant, finalized: bool) {
        let (mut submitted, mut changed) = (Instant::now(), Instant::now());
        while Instant::now() < deadline {
            self.run_worker();
            self.poll_any();
            if submitted.elapsed() > SUBMISSION_PAUSE {
                submitted = Instant::now();
                let dependent = finalized && self.submitted % 4 == 0;
                self.submit(dependent);
            }
            if changed.elapsed() > CHANGE_PAUSE {
                changed = Instant::now();
                self.change_controller(finalized);
            }
        }
    }

    /// All controllers run this release, and an operator finalizes the upgrade.
    fn finalize(&mut self) {
        (0..3).for_each(|i| self.start(i, true));
        wait_until("the upgrade is finalized", || {
            let output = Command::new(env!("CARGO_BIN_EXE_stairstage"))
                .args(["upgrade", "finalize", "--config"])
                .arg(self.cluster.settings_file(0))
                .output()
                .unwrap();
            output.status.success().then_some(())
        });
    }

    /// Waits until every accepted job is done, and polls each at every controller.
    fn finish_jobs(&mut self) {
        (0..3).for_each(|i| self.start(i, true));
        wait_until("every job is done", || {
            self.run_worker();
            (0..20).for_each(|_| self.poll_any());
            self.last_state
                .values()
                .all(|state| state == "done")
                .then_some(())
        });
        let ids: Vec<String> = self.last_state.keys().cloned().collect();
        for id in ids {
            (0..3).for_each(|controller| self.poll(&id, controller));
        }
    }
}

#[test]
#[ignore = "needs the program of the previous release and takes minutes"]
fn accepted_jobs_reach_one_final_state_while_releases_are_mixed() {
    let previous =
        std::env::var("STAIRSTAGE_FORMER").expect("the path of the previous release's program");
    let seconds = std::env::var("STAIRSTAGE_PROOF_S").expect("the duration of the run in seconds");
    let seconds: f64 = seconds.parse().expect("a number");
    let mut run = UpgradeRun::new(Path::new(&previous).to_path_buf());
    let started_at = Instant::now();
    run.run_until(
        started_at + Duration::from_secs_f64(MIXED_SHARE * seconds),
        false,
    );
    run.finalize();
    run.run_until(started_at + Duration::from_secs_f64(seconds), true);
    run.finish_jobs();
    let starts = run.cluster.worker.lock().unwrap().starts.clone();
    let mut times: BTreeMap<&String, usize> = BTreeMap::new();
    starts
        .iter()
        .for_each(|task| *times.entry(task).or_default() += 1);
    let repeated = times.values().filter(|times| **times > 1).count();
    println!(
        "{} s: {} jobs submitted, {} accepted, {} with one final state, {} changes of controllers, {} \
         left offline, {} tasks of {} started again after they had exited",
        started_at.elapsed().as_secs(),
        run.submitted,
        run.last_state.len(),
        run
            .last_state
            .values()
            .filter(|state| *state == "done")
            .count(),
        run.changes,
        run.offline,
        repeated,
        times.len()
    );
}

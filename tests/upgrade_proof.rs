//! The operators' proof: batches are submitted while controllers of the version in production and of this
//! one are mixed, replaced, rolled back, killed and left offline, and the upgrade is finalized in the
//! middle. Every accepted job ends with exactly one final answer.
//!
//! Not in CI, as it needs the former program and takes minutes:
//!
//!     STAIRSTAGE_FORMER=PATH STAIRSTAGE_PROOF_S=150 \
//!         cargo test --test upgrade_proof -- --ignored --nocapture

#[path = "common/local_cluster.rs"]
mod local_cluster;
#[path = "common/random.rs"]
mod random;

use local_cluster::{call, small_job, until, ControllerProcess, LocalCluster};
use random::SplitMix64;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The same changes in each run.
const SEED: u64 = 24;
/// Operators finalize by hand.
const POLICY: &str = "(upgrade (finalize by-hand) (member-lease 2))";
/// Between two submissions, and between two changes of a controller.
const SUBMISSION_PAUSE: Duration = Duration::from_millis(250);
/// The time between two changes of a controller.
const CHANGE_PAUSE: Duration = Duration::from_secs(4);
/// Of these, one is a kill, a rollback or a replacement, and one leaves a controller offline.
const OFFLINE_EVERY: u64 = 5;
/// The parts of the time before the upgrade is finalized.
const MIXED_SHARE: f64 = 0.6;

/// The grid under change, and what users know of their jobs.
struct Proof {
    grid: LocalCluster,
    former: PathBuf,
    policy: PathBuf,
    nodes: [Option<ControllerProcess>; 3],
    /// Whether each runs the present version.
    present: [bool; 3],
    random: SplitMix64,
    /// The state that users last got for each accepted job.
    last_state: BTreeMap<String, String>,
    submitted: usize,
    kills: usize,
    offline: usize,
}

impl Proof {
    fn new(former: PathBuf) -> Proof {
        let grid = LocalCluster::new("proof");
        let policy = grid.write_file("upgrade.lisp", POLICY);
        let mut proof = Proof {
            grid,
            former,
            policy,
            nodes: [None, None, None],
            present: [false; 3],
            random: SplitMix64(SEED),
            last_state: BTreeMap::new(),
            submitted: 0,
            kills: 0,
            offline: 0,
        };
        (0..3).for_each(|i| proof.start(i, false));
        proof
    }

    /// A number below the bound.
    fn pick(&mut self, most: usize) -> usize {
        self.random.next() as usize % most
    }

    /// Starts a controller with the present or the former program.
    fn start(&mut self, i: usize, present: bool) {
        self.nodes[i] = None;
        self.present[i] = present;
        let arguments = [OsStr::new("--upgrade"), self.policy.as_os_str()];
        self.nodes[i] = if present {
            self.grid.start_with(i, &arguments)
        } else {
            self.grid.start_program(&self.former, i, &[])
        };
    }

    /// One more job is submitted somewhere; those that wait for an earlier one only when that is allowed.
    fn submit(&mut self, waits: bool) {
        let id = format!("req-{}", self.submitted);
        self.submitted += 1;
        let mut job = small_job(&id);
        if let Some(needed) = self.last_state.keys().next_back().filter(|_| waits) {
            job["waits_on"] = json!([needed]);
        }
        for _ in 0..20 {
            let front = self.grid.api_address(self.random.next() as usize % 3);
            match call("POST", &front, "/v2/runs", &job) {
                Some((200 | 201, _)) => {
                    self.last_state.insert(id, "pending".into());
                    return;
                }
                Some((400 | 404 | 422, answer)) => panic!("{id}: {answer}"),
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
    }

    /// A user asks somewhere about some job that it has no final answer of.
    fn ask(&mut self) {
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
        let node = self.pick(3);
        self.ask_about(&id, node);
    }

    /// A user asks a node about a job; no end is taken back.
    fn ask_about(&mut self, id: &str, node: usize) {
        let path = format!("/v2/runs/{id}");
        let answer = call("GET", &self.grid.api_address(node), &path, &Value::Null);
        let Some((200, answer)) = answer else {
            let denied = answer.is_some_and(|(status, _)| status == 404);
            assert!(!denied, "{id} is forgotten");
            return;
        };
        let state = answer["status"].as_str().unwrap().to_string();
        assert_ne!(state, "cancelled", "{id}: nobody has cancelled it");
        let before = self
            .last_state
            .insert(id.to_string(), state.clone())
            .unwrap();
        let went_back = before == "done" && state != "done";
        assert!(!went_back, "{id} went back to {state}");
    }

    /// The machine's tasks are done as soon as they have run for a report.
    fn work(&mut self) {
        self.grid.worker.lock().unwrap().finish = true;
        self.grid.send_heartbeats(&[0, 1, 2]);
    }

    /// A controller ends, and comes back with one of the two versions, or stays away until later.
    fn change(&mut self, finalized: bool) {
        let i = self.pick(3);
        self.kills += 1;
        if self.random.next() % OFFLINE_EVERY == 0 && self.nodes.iter().all(Option::is_some) {
            self.nodes[i] = None;
            self.offline += 1;
            return;
        }
        let away = self.nodes.iter().position(Option::is_none);
        let present = finalized || self.random.next() % 2 == 0;
        self.start(away.unwrap_or(i), present);
    }

    /// Users submit and ask while controllers change.
    fn rounds(&mut self, until: Instant, finalized: bool) {
        let (mut submitted, mut changed) = (Instant::now(), Instant::now());
        while Instant::now() < until {
            self.work();
            self.ask();
            if submitted.elapsed() > SUBMISSION_PAUSE {
                submitted = Instant::now();
                let waits = finalized && self.submitted % 4 == 0;
                self.submit(waits);
            }
            if changed.elapsed() > CHANGE_PAUSE {
                changed = Instant::now();
                self.change(finalized);
            }
        }
    }

    /// All controllers have the present version, and an operator finalizes.
    fn finalize(&mut self) {
        (0..3).for_each(|i| self.start(i, true));
        until("the upgrade is finalized", || {
            let output = Command::new(env!("CARGO_BIN_EXE_stairstage"))
                .args(["upgrade", "finalize", "--config"])
                .arg(self.grid.settings_file(0))
                .output()
                .unwrap();
            output.status.success().then_some(())
        });
    }

    /// Every job that was accepted is done, at every node.
    fn settle(&mut self) {
        (0..3).for_each(|i| self.start(i, true));
        until("every job is done", || {
            self.work();
            (0..20).for_each(|_| self.ask());
            self.last_state
                .values()
                .all(|state| state == "done")
                .then_some(())
        });
        let ids: Vec<String> = self.last_state.keys().cloned().collect();
        for id in ids {
            (0..3).for_each(|node| self.ask_about(&id, node));
        }
    }
}

#[test]
#[ignore = "needs the former program, and takes minutes"]
fn every_job_ends_with_one_answer_while_former_and_present_controllers_are_mixed() {
    let former = std::env::var("STAIRSTAGE_FORMER").expect("the path of the former program");
    let seconds = std::env::var("STAIRSTAGE_PROOF_S").expect("for how many seconds");
    let seconds: f64 = seconds.parse().expect("a number");
    let mut proof = Proof::new(Path::new(&former).to_path_buf());
    let begun = Instant::now();
    proof.rounds(
        begun + Duration::from_secs_f64(MIXED_SHARE * seconds),
        false,
    );
    proof.finalize();
    proof.rounds(begun + Duration::from_secs_f64(seconds), true);
    proof.settle();
    let starts = proof.grid.worker.lock().unwrap().starts.clone();
    let mut times: BTreeMap<&String, usize> = BTreeMap::new();
    starts
        .iter()
        .for_each(|task| *times.entry(task).or_default() += 1);
    let repeated = times.values().filter(|times| **times > 1).count();
    println!(
        "{} s: {} jobs submitted, {} accepted, {} with one final answer, {} controllers ended, {} \
         left offline, {} tasks of {} started again after they had exited",
        begun.elapsed().as_secs(),
        proof.submitted,
        proof.last_state.len(),
        proof
            .last_state
            .values()
            .filter(|state| *state == "done")
            .count(),
        proof.kills,
        proof.offline,
        repeated,
        times.len()
    );
}

//! A property test of the scheduler without faults, under generated overload: up to 1.6 times the capacity of
//! the machines, high rates of small jobs, and deadlines that cannot be met. Every job starts in time, and at
//! least half of each class, team and of the largest jobs is done.

use crate::common::{manager, parse_submission, submission, task_statuses, AttemptId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use stairstage::coordination::cluster::{CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use stairstage::protocol::worker::{Cause, Command, Heartbeat, TaskState};
use stairstage::storage::records::OpenRecord;
use std::collections::{BTreeMap, BTreeSet};

/// A submitted job with the actual run time of its tasks.
#[derive(Clone, Debug)]
struct Job {
    at_s: f64,
    class: &'static str,
    team: &'static str,
    kind: &'static str,
    tasks: u32,
    cpus: f64,
    run_s: f64,
    due_s: Option<f64>,
    /// The submitted estimate as a multiple of the actual run time.
    estimate_factor: f64,
}

/// When a job was submitted, first started, and was done.
#[derive(Clone, Debug, Default)]
struct JobTimes {
    arrived: f64,
    began: Option<f64>,
    done: Option<f64>,
}

/// The machines of the cluster, all of one type.
const MACHINES: usize = 6;

/// A leader whose writes, commands and heartbeats succeed at once.
struct FaultFreeCluster {
    manager: ClusterManager,
    now: f64,
    sequences: [u64; MACHINES],
    /// The tasks on each machine, with the time at which each completes.
    running: Vec<BTreeMap<AttemptId, f64>>,
    exited: Vec<BTreeSet<AttemptId>>,
    run_s: BTreeMap<String, f64>,
    times: BTreeMap<String, JobTimes>,
    revision: u64,
}

impl FaultFreeCluster {
    fn new() -> FaultFreeCluster {
        FaultFreeCluster {
            manager: manager(),
            now: 0.0,
            sequences: [0; MACHINES],
            running: vec![BTreeMap::new(); MACHINES],
            exited: vec![BTreeSet::new(); MACHINES],
            run_s: BTreeMap::new(),
            times: BTreeMap::new(),
            revision: 100,
        }
    }

    /// Submits a job.
    fn submit(&mut self, number: usize, job: &Job) {
        let id = format!("req-{number}");
        let mut body = submission(&id, job.kind, "normal", job.tasks);
        body["duty"] = json!(job.class);
        body["crew"] = json!(job.team);
        body["cpus"] = json!(job.cpus);
        body["passage_s"] = json!(job.run_s * job.estimate_factor);
        body["due_s"] = json!(job.due_s);
        let record = OpenRecord::accepted(parse_submission(&body), 0);
        let accepted_ms = record.at_ms;
        self.manager
            .job_accepted(record, number as u64 + 1, accepted_ms, self.now);
        self.run_s.insert(id.clone(), job.run_s);
        let arrived = self.now;
        self.times.insert(
            id,
            JobTimes {
                arrived,
                ..JobTimes::default()
            },
        );
    }

    /// Executes commands on a machine.
    fn run(&mut self, machine: usize, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let id = AttemptId::new(task, *attempt);
                    if self.running[machine].contains_key(&id) || self.exited[machine].contains(&id)
                    {
                        continue;
                    }
                    let job = task.rsplit_once('/').unwrap().0;
                    self.running[machine].insert(id, self.now + self.run_s[job]);
                    let times = self.times.get_mut(job).unwrap();
                    times.began.get_or_insert(self.now);
                }
                Command::Stop { task, attempt, .. } => {
                    self.running[machine].remove(&AttemptId::new(task, *attempt));
                }
                Command::Forget { task, attempt } => {
                    self.exited[machine].remove(&AttemptId::new(task, *attempt));
                }
            }
        }
    }

    /// The next heartbeat of a machine. Tasks whose run time is over are reported as done.
    fn heartbeat(&mut self, machine: usize) -> Heartbeat {
        self.sequences[machine] += 1;
        let now = self.now;
        let over: Vec<AttemptId> = self.running[machine]
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.running[machine].remove(&id);
            self.exited[machine].insert(id);
        }
        let running: Vec<AttemptId> = self.running[machine].keys().cloned().collect();
        let exited: Vec<AttemptId> = self.exited[machine].iter().cloned().collect();
        let mut tasks = task_statuses(&running, TaskState::Running, None);
        tasks.extend(task_statuses(&exited, TaskState::Exited, Some(Cause::Done)));
        Heartbeat {
            machine: format!("m-{machine}"),
            endpoint: "127.0.0.1:9".into(),
            kind: "m4".into(),
            zone: "z".into(),
            spot: false,
            incarnation: Incarnation(1),
            sequence: HeartbeatSequence(self.sequences[machine]),
            token: self.manager.token(),
            notice_s: None,
            tasks,
        }
    }

    /// Simulates one second: heartbeats, then decisions of the leader.
    fn step(&mut self) {
        for machine in 0..MACHINES {
            let heartbeat = self.heartbeat(machine);
            if let HeartbeatOutcome::Response(answer) = self.manager.heartbeat(&heartbeat, self.now)
            {
                self.run(machine, &answer.commands);
            }
        }
        self.manager.tick(self.now);
        self.manager.step(self.now);
        loop {
            let effects = self.manager.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.apply_effect(effect);
            }
            self.manager.step(self.now);
        }
        self.now += 1.0;
    }

    /// Applies one effect of the leader.
    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Write { id, .. } => {
                self.revision += 1;
                self.manager
                    .write_finished(id, WriteOutcome::Applied(self.revision), self.now);
            }
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => {
                let i: usize = machine[2..].parse().unwrap();
                self.run(i, &batch.commands);
                let heartbeat = self.heartbeat(i);
                self.manager.commands_finished(
                    &machine,
                    CommandOutcome::Executed(heartbeat),
                    self.now,
                );
            }
            Effect::ReadFinalStates(_) => {}
            // The cloud accepts no returns, so that the number of machines stays.
            Effect::ReturnMachines(names) => {
                self.manager.machines_returned(&names, false, self.now);
            }
            Effect::RentMachines(rent) => {
                self.manager
                    .machines_rented(&rent.idempotency_key, Some(Vec::new()), self.now);
            }
            Effect::RaiseToken => {
                let token = FencingToken(self.manager.token().0 + 1);
                self.manager.token_raised(Some(token), self.now);
            }
            Effect::JobFinished { id, .. } => {
                self.times
                    .get_mut(&*id)
                    .unwrap()
                    .done
                    .get_or_insert(self.now);
            }
        }
    }
}

/// Small jobs with one large job in six. Their load is about `pressure` times the capacity of the machines.
fn generated_jobs(sizes: &[(u32, bool, bool)], pressure: f64) -> Vec<Job> {
    let capacity = 4.0 * MACHINES as f64;
    let mut at_s = 0.0;
    let mut jobs = Vec::new();
    for (i, (size, gang, late)) in sizes.iter().enumerate() {
        let large = i % 6 == 5;
        let job = Job {
            at_s,
            class: if large { "large" } else { "small" },
            team: if i % 2 == 0 { "t" } else { "u" },
            kind: if *gang && large { "group" } else { "sweep" },
            tasks: if large { 8 + size % 8 } else { 1 + size % 4 },
            cpus: if large { 2.0 } else { 1.0 },
            run_s: if large {
                40.0
            } else {
                8.0 + f64::from(size % 10)
            },
            due_s: late.then_some(if large { 60.0 } else { 30.0 }),
            estimate_factor: 0.6 + f64::from(size % 7) / 6.0,
        };
        let tasks = if job.kind == "group" {
            job.tasks.min(10)
        } else {
            job.tasks
        };
        at_s += f64::from(tasks) * job.cpus * job.run_s / capacity / pressure;
        jobs.push(Job { tasks, ..job });
    }
    jobs
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_class_and_team_is_served_and_every_job_starts_in_time(
        sizes in prop::collection::vec((0u32..40, any::<bool>(), any::<bool>()), 90..120),
        pressure in 1.0f64..1.6,
    ) {
        let jobs = generated_jobs(&sizes, pressure);
        let mut cluster = FaultFreeCluster::new();
        for machine in 0..MACHINES {
            let heartbeat = cluster.heartbeat(machine);
            cluster.manager.heartbeat(&heartbeat, 0.0);
        }
        let end_s = jobs.last().unwrap().at_s + 240.0;
        let mut next = 0;
        while cluster.now < end_s {
            while next < jobs.len() && jobs[next].at_s <= cluster.now {
                cluster.submit(next, &jobs[next]);
                next += 1;
            }
            cluster.step();
        }
        let times = |i: usize| &cluster.times[&format!("req-{i}")];
        let mut groups: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut count = |group: String, served: bool| {
            let entry = groups.entry(group).or_default();
            entry.0 += 1;
            entry.1 += usize::from(served);
        };
        for (i, job) in jobs.iter().enumerate() {
            let served = times(i).done.is_some();
            count(format!("class {}", job.class), served);
            count(format!("team {}", job.team), served);
            if job.class == "large" && job.tasks >= 12 {
                count("the largest jobs".into(), served);
            }
            let began = times(i).began.map(|t| t - times(i).arrived);
            prop_assert!(
                began.is_some_and(|s| s <= 240.0),
                "req-{i} started after {began:?} s: {job:?}"
            );
        }
        for (group, (all, served)) in groups {
            prop_assert!(2 * served >= all, "{group}: {served} of {all} served");
        }
    }
}

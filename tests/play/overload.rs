//! A clock-free play of the scheduler over generated loads: more work than room, floods of small
//! jobs, deadlines that cannot be met. Everybody is served, and the largest begin in time.

use crate::common::{manager, parsed, shown, submission, AttemptId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use stairstage::coordination::cluster::{CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use stairstage::protocol::worker::{Cause, Command, Heartbeat, TaskState};
use stairstage::storage::records::OpenRecord;
use std::collections::{BTreeMap, BTreeSet};

/// A job, and how long its tasks really run.
#[derive(Clone, Debug)]
struct Load {
    at_s: f64,
    class: &'static str,
    team: &'static str,
    rig: &'static str,
    tasks: u32,
    cpus: f64,
    run_s: f64,
    due_s: Option<f64>,
    /// How much of its run time its owner expects.
    estimate: f64,
}

/// When a job arrived, first ran, and was done.
#[derive(Clone, Debug, Default)]
struct Fate {
    arrived: f64,
    began: Option<f64>,
    done: Option<f64>,
}

/// Machines of the only type.
const MACHINES: usize = 6;

/// A leader with machines whose answers come at once.
struct Play {
    manager: ClusterManager,
    now: f64,
    seqs: [u64; MACHINES],
    /// Tasks on each machine, with their ends.
    running: Vec<BTreeMap<AttemptId, f64>>,
    exited: Vec<BTreeSet<AttemptId>>,
    run_s: BTreeMap<String, f64>,
    fates: BTreeMap<String, Fate>,
    written: u64,
}

impl Play {
    fn new() -> Play {
        Play {
            manager: manager(),
            now: 0.0,
            seqs: [0; MACHINES],
            running: vec![BTreeMap::new(); MACHINES],
            exited: vec![BTreeSet::new(); MACHINES],
            run_s: BTreeMap::new(),
            fates: BTreeMap::new(),
            written: 100,
        }
    }

    /// A user submits a job.
    fn submit(&mut self, number: usize, load: &Load) {
        let id = format!("req-{number}");
        let mut body = submission(&id, load.rig, "normal", load.tasks);
        body["duty"] = json!(load.class);
        body["crew"] = json!(load.team);
        body["cpus"] = json!(load.cpus);
        body["passage_s"] = json!(load.run_s * load.estimate);
        body["due_s"] = json!(load.due_s);
        let record = OpenRecord::accepted(parsed(&body), 0);
        let accepted_ms = record.at_ms;
        self.manager
            .job_accepted(record, number as u64 + 1, accepted_ms, self.now);
        self.run_s.insert(id.clone(), load.run_s);
        let arrived = self.now;
        self.fates.insert(
            id,
            Fate {
                arrived,
                ..Fate::default()
            },
        );
    }

    /// A machine carries out commands.
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
                    let fate = self.fates.get_mut(job).unwrap();
                    fate.began.get_or_insert(self.now);
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

    /// The next heartbeat of a machine; tasks that have run for long enough are done in it.
    fn heartbeat(&mut self, machine: usize) -> Heartbeat {
        self.seqs[machine] += 1;
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
        let mut tasks = shown(&running, TaskState::Running, None);
        tasks.extend(shown(&exited, TaskState::Exited, Some(Cause::Done)));
        Heartbeat {
            machine: format!("m-{machine}"),
            endpoint: "127.0.0.1:9".into(),
            kind: "m4".into(),
            zone: "z".into(),
            spot: false,
            incarnation: Incarnation(1),
            sequence: HeartbeatSequence(self.seqs[machine]),
            token: self.manager.token(),
            notice_s: None,
            tasks,
        }
    }

    /// A second passes.
    fn second(&mut self) {
        for machine in 0..MACHINES {
            let heartbeat = self.heartbeat(machine);
            if let HeartbeatOutcome::Answer(answer) = self.manager.heartbeat(&heartbeat, self.now) {
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
                self.carry_out(effect);
            }
            self.manager.step(self.now);
        }
        self.now += 1.0;
    }

    /// Carries out one effect.
    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Write { id, .. } => {
                self.written += 1;
                self.manager
                    .write_finished(id, WriteOutcome::Applied(self.written), self.now);
            }
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => {
                let i: usize = machine[2..].parse().unwrap();
                self.run(i, &batch.commands);
                let heartbeat = self.heartbeat(i);
                self.manager.commands_answered(
                    &machine,
                    CommandOutcome::Executed(heartbeat),
                    self.now,
                );
            }
            Effect::ReadFinalStates(_) => {}
            // The fleet stays as it is.
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
                self.fates
                    .get_mut(&*id)
                    .unwrap()
                    .done
                    .get_or_insert(self.now);
            }
        }
    }
}

/// A flood of small jobs that never ends, with larger ones among them; about `pressure` times as
/// much as the machines can do.
fn loads(sizes: &[(u32, bool, bool)], pressure: f64) -> Vec<Load> {
    let capacity = 4.0 * MACHINES as f64;
    let mut at_s = 0.0;
    let mut loads = Vec::new();
    for (i, (size, gang, late)) in sizes.iter().enumerate() {
        let large = i % 6 == 5;
        let load = Load {
            at_s,
            class: if large { "large" } else { "small" },
            team: if i % 2 == 0 { "t" } else { "u" },
            rig: if *gang && large { "group" } else { "sweep" },
            tasks: if large { 8 + size % 8 } else { 1 + size % 4 },
            cpus: if large { 2.0 } else { 1.0 },
            run_s: if large {
                40.0
            } else {
                8.0 + f64::from(size % 10)
            },
            due_s: late.then_some(if large { 60.0 } else { 30.0 }),
            estimate: 0.6 + f64::from(size % 7) / 6.0,
        };
        let tasks = if load.rig == "group" {
            load.tasks.min(10)
        } else {
            load.tasks
        };
        at_s += f64::from(tasks) * load.cpus * load.run_s / capacity / pressure;
        loads.push(Load { tasks, ..load });
    }
    loads
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn everybody_is_served_and_the_largest_begin_in_time(
        sizes in prop::collection::vec((0u32..40, any::<bool>(), any::<bool>()), 90..120),
        pressure in 1.0f64..1.6,
    ) {
        let loads = loads(&sizes, pressure);
        let mut play = Play::new();
        for machine in 0..MACHINES {
            let heartbeat = play.heartbeat(machine);
            play.manager.heartbeat(&heartbeat, 0.0);
        }
        let end_s = loads.last().unwrap().at_s + 240.0;
        let mut next = 0;
        while play.now < end_s {
            while next < loads.len() && loads[next].at_s <= play.now {
                play.submit(next, &loads[next]);
                next += 1;
            }
            play.second();
        }
        let fate = |i: usize| &play.fates[&format!("req-{i}")];
        let mut groups: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut count = |group: String, served: bool| {
            let entry = groups.entry(group).or_default();
            entry.0 += 1;
            entry.1 += usize::from(served);
        };
        for (i, load) in loads.iter().enumerate() {
            let served = fate(i).done.is_some();
            count(format!("class {}", load.class), served);
            count(format!("team {}", load.team), served);
            if load.class == "large" && load.tasks >= 12 {
                count("the largest".into(), served);
            }
            let began = fate(i).began.map(|t| t - fate(i).arrived);
            prop_assert!(
                began.is_some_and(|s| s <= 240.0),
                "req-{i} began after {began:?}: {load:?}"
            );
        }
        for (group, (all, served)) in groups {
            prop_assert!(2 * served >= all, "{group}: {served} of {all}");
        }
    }
}

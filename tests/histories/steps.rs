//! What a generated history does, step by step.

use super::common;
use super::job::{split, RunTimes};
use super::settings::machine_types;
use super::worker::{Worker, RESPONSE_TIMEOUT_S};
use super::world::{World, WriteFate};
use proptest::prelude::*;
use serde_json::json;
use stairstage::coordination::cluster::{Effect, HeartbeatOutcome};
use stairstage::protocol::worker::{Cause, TaskState};

/// Jobs that a history may submit.
pub(crate) const JOBS: u8 = 9;
/// What may become of a write.
const FATES: [WriteFate; 4] = [
    WriteFate::Answered,
    WriteFate::Unanswered,
    WriteFate::Lost,
    WriteFate::Late,
];

/// What the generated history does next.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Pass(u8),
    /// A worker reports; the answer may be lost.
    Heartbeat {
        worker: u8,
        response_lost: bool,
    },
    Finish {
        worker: u8,
    },
    Fail {
        worker: u8,
    },
    Partition {
        worker: u8,
        on: bool,
    },
    /// Its heartbeats arrive; answers and commands do not reach it.
    LoseInbound {
        worker: u8,
        on: bool,
    },
    /// A copy of a heartbeat that was sent at any time before, from whatever machine.
    Copy(u8),
    /// It is back within a moment, with fresh counters.
    Restart {
        worker: u8,
    },
    /// It reports to the former leader, which has lost the state service and the others.
    HeartbeatToFormer {
        worker: u8,
    },
    /// A transaction that was given up on, or a copy of one that was applied, is carried out.
    LateWrite(u8),
    /// Every direct command from now on is held back, and those held arrive (again).
    HoldCommands(bool),
    ReplayCommands(u8),
    /// The next write is applied but unanswered, or lost, or held back.
    Writes(WriteFate),
    Cancel(u8),
    /// A job is submitted that waits for those whose bits are set; the node that takes it may look
    /// whether one of them is cancelled.
    Submit {
        number: u8,
        waits_on: u16,
        looks: bool,
    },
    NewLeader,
    /// The version in production leads for a moment, as long as the limits are the old ones.
    Production,
    /// The state service has its new limits.
    NewLimits,
    /// Machines stop with all that is on them: those whose bits are set.
    LoseMachines(u8),
    /// The zone of the machines whose bits are set is cut off, or is back; the leader may be in it,
    /// and then another is elected.
    ZoneCut {
        bits: u8,
        on: bool,
        with_former_leader: bool,
    },
    /// The leader stands still after it has decided, and after it has answered a worker; another is
    /// elected meanwhile, and what was decided leaves then.
    StandStill {
        worker: u8,
        tenths: u8,
    },
    /// The other controllers promise, whose absence keeps leases in doubt.
    Promise,
    /// The leader loses the state service, and with it the news of cancellations; its lease goes on.
    Isolate {
        tenths: u8,
    },
    /// Former leaders are told of every cancellation that was confirmed so far.
    TellFormers,
    /// Its heartbeats reach no controller, while direct commands reach it.
    LoseHeartbeats {
        worker: u8,
        on: bool,
    },
    /// It does not run, and holds back what comes to it, until it resumes.
    Hang {
        worker: u8,
        on: bool,
    },
}

/// A step of any history.
pub(crate) fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1u8..30).prop_map(Step::Pass),
        10 => (0u8..3, prop::bool::weighted(0.2)).prop_map(|(worker, response_lost)| Step::Heartbeat { worker, response_lost }),
        5 => (0u8..3).prop_map(|worker| Step::Finish { worker }),
        1 => (0u8..3).prop_map(|worker| Step::Fail { worker }),
        2 => (0u8..3, any::<bool>()).prop_map(|(worker, on)| Step::Partition { worker, on }),
        2 => (0u8..3, any::<bool>()).prop_map(|(worker, on)| Step::LoseInbound { worker, on }),
        3 => any::<u8>().prop_map(Step::Copy),
        1 => (0u8..3).prop_map(|worker| Step::Restart { worker }),
        3 => (0u8..3).prop_map(|worker| Step::HeartbeatToFormer { worker }),
        2 => any::<u8>().prop_map(Step::LateWrite),
        2 => any::<bool>().prop_map(Step::HoldCommands),
        2 => any::<u8>().prop_map(Step::ReplayCommands),
        2 => (0u8..4).prop_map(|i| Step::Writes(FATES[i as usize])),
        2 => (0u8..JOBS).prop_map(Step::Cancel),
        4 => (0u8..JOBS, any::<u16>(), any::<bool>()).prop_map(|(number, waits_on, looks)| Step::Submit { number, waits_on, looks }),
        1 => Just(Step::Production),
        1 => Just(Step::NewLimits),
        2 => Just(Step::NewLeader),
        1 => (1u8..8).prop_map(Step::LoseMachines),
        2 => (1u8..8, any::<bool>(), any::<bool>()).prop_map(|(bits, on, with_former_leader)| Step::ZoneCut { bits, on, with_former_leader }),
        2 => (0u8..3, 1u8..80).prop_map(|(worker, tenths)| Step::StandStill { worker, tenths }),
        1 => Just(Step::Promise),
    ]
}

/// The same, with leaders that lose the state service, workers that reach nobody and machines that
/// hang.
pub(crate) fn step_with_isolation() -> impl Strategy<Value = Step> {
    prop_oneof![
        40 => step(),
        2 => (0u8..60).prop_map(|tenths| Step::Isolate { tenths }),
        1 => Just(Step::TellFormers),
        1 => (0u8..3, any::<bool>()).prop_map(|(worker, on)| Step::LoseHeartbeats { worker, on }),
        2 => (0u8..3, any::<bool>()).prop_map(|(worker, on)| Step::Hang { worker, on }),
    ]
}

/// A history begins with three machines of the first type, in the first zone, and a leader.
pub(crate) fn world() -> World {
    let workers = (0..3).map(|i| Worker::new(i, 0.0)).collect();
    let mut world = World::new(machine_types(), workers);
    world.elect();
    world
}

impl World {
    /// A task completes; those of a gang do so together.
    fn finish(&mut self, task: &str) {
        let (id, _) = split(task);
        let job = self.jobs.get_mut(id).expect("an accepted job");
        let gang = job.is_gang();
        for w in self.workers.iter_mut().filter(|w| !w.gone && !w.hung) {
            for (attempt, t) in w.tasks.iter_mut() {
                let name = &attempt.task;
                let same = if gang {
                    split(name).0 == id
                } else {
                    name == task
                };
                if same && t.state == TaskState::Running {
                    t.state = TaskState::Exited;
                    t.cause = Some(Cause::Done);
                    job.done.insert(split(name).1);
                }
            }
        }
        if gang {
            job.done.extend([0, 1]);
        }
    }

    /// For longer than a lease, those in the zone that is cut off report to the former leader, which
    /// is there, and the others to the one that was elected.
    fn live_on(&mut self, bits: u8) {
        for _ in 0..8 {
            self.now += self.settings.cluster.workers.report_s;
            for i in 0..self.workers.len() {
                self.heartbeat(i, false, bits & (1 << i) != 0);
            }
            self.pass(0.0);
            let now = self.now;
            self.manager().tick(now);
            self.manager().step(now);
            self.effects();
        }
    }

    /// The leader answers a worker and decides, then stands still for so long. What it had decided
    /// leaves when another leads already; the worker takes no answer after four seconds.
    fn stand_still(&mut self, i: usize, seconds: f64) {
        let (sent, w) = (self.now, &mut self.workers[i]);
        let speaks = !w.gone && !w.partitioned && !w.hung && !w.heartbeats_lost;
        let heartbeat = speaks.then(|| w.own_heartbeat(sent));
        let heard = heartbeat
            .as_ref()
            .map(|r| self.manager().heartbeat(r, sent));
        self.manager().step(sent);
        let decided = self.manager().take_effects();
        self.pass(seconds);
        self.elect();
        if let (Some(heartbeat), Some(HeartbeatOutcome::Answer(answer))) = (heartbeat, heard) {
            let w = &mut self.workers[i];
            let taken = answer.token.0 >= w.token && heartbeat.incarnation.0 == w.incarnation;
            if taken && seconds < RESPONSE_TIMEOUT_S && !w.gone && !w.inbound_lost {
                let started = w.take(&answer, sent, self.now);
                self.check_starts(i, &started);
            }
        }
        for effect in decided {
            match effect {
                Effect::Write { transaction, .. } => {
                    let late = self.store.commit(&transaction);
                    assert!(late.is_err(), "a former leader's write is applied");
                }
                Effect::SendCommands {
                    machine,
                    commands: batch,
                    ..
                } => {
                    let worker = self.worker_named(&machine).expect("a machine");
                    let w = &self.workers[worker];
                    if !w.partitioned && !w.inbound_lost && !w.hung {
                        self.deliver(worker, &batch);
                    }
                }
                Effect::ReturnMachines(names) => self.take_back(&names),
                _ => {}
            }
        }
    }

    /// Plays a step; the leader decides after it.
    pub(crate) fn apply(&mut self, step: Step) {
        let seconds = |tenths: u8| f64::from(tenths) / 10.0;
        match step {
            Step::Pass(tenths) => self.pass_and_tick(seconds(tenths)),
            Step::Heartbeat {
                worker,
                response_lost,
            } => self.heartbeat(worker as usize, response_lost, false),
            Step::HeartbeatToFormer { worker } => self.heartbeat(worker as usize, false, true),
            Step::Copy(n) => self.deliver_copy(n as usize),
            Step::Finish { worker } => self.finish_one(worker as usize),
            Step::Fail { worker } => self.fail_one(worker as usize),
            Step::Partition { worker, on } => self.workers[worker as usize].partitioned = on,
            Step::LoseInbound { worker, on } => self.workers[worker as usize].inbound_lost = on,
            Step::LoseHeartbeats { worker, on } => {
                self.workers[worker as usize].heartbeats_lost = on;
            }
            Step::Hang { worker, on: true } => self.workers[worker as usize].hung = true,
            Step::Hang { worker, on: false } => self.resume(worker as usize),
            Step::Restart { worker } => self.restart_worker(worker as usize),
            Step::LoseMachines(bits) => self.lose_machines(bits),
            Step::ZoneCut {
                bits,
                on,
                with_former_leader,
            } => self.cut_machines(bits, on, with_former_leader),
            Step::LateWrite(n) => self.write_late(n as usize),
            Step::HoldCommands(on) => self.commands_held = on,
            Step::ReplayCommands(n) => self.replay_commands(n as usize),
            Step::Writes(fate) => self.next_write = fate,
            Step::Submit {
                number,
                waits_on,
                looks,
            } => self.submit_number(number, waits_on, looks),
            Step::Cancel(n) => self.cancel(&format!("req-{n}")),
            Step::Production => self.let_production_lead(),
            Step::NewLimits => self.tighten_limits(),
            Step::NewLeader => self.elect(),
            Step::StandStill { worker, tenths } => {
                self.stand_still(worker as usize, seconds(tenths));
            }
            Step::Promise => self.promise(),
            Step::Isolate { tenths } => self.isolate_leader(seconds(tenths)),
            Step::TellFormers => self.tell_formers(),
        }
        let now = self.now;
        self.manager().step(now);
        self.effects();
    }

    /// Time passes; the leader takes its slower decisions then.
    fn pass_and_tick(&mut self, seconds: f64) {
        self.pass(seconds);
        let now = self.now;
        self.manager().tick(now);
    }

    /// A copy of one of the heartbeats that were sent before reaches the leader.
    fn deliver_copy(&mut self, n: usize) {
        if !self.sent_heartbeats.is_empty() {
            let copy = self.sent_heartbeats[n * 7 % self.sent_heartbeats.len()].clone();
            let now = self.now;
            self.manager().heartbeat(&copy, now);
        }
    }

    /// A transaction that may be carried out late is.
    fn write_late(&mut self, n: usize) {
        if !self.late_transactions.is_empty() {
            let txn = self.late_transactions[n % self.late_transactions.len()].clone();
            let _ = self.store.commit(&txn);
        }
    }

    /// Direct commands that were held back, or carried out before, arrive.
    fn replay_commands(&mut self, n: usize) {
        if !self.repeatable_commands.is_empty() {
            let (name, batch) =
                self.repeatable_commands[n % self.repeatable_commands.len()].clone();
            if let Some(worker) = self.worker_named(&name) {
                self.deliver(worker, &batch);
            }
        }
    }

    /// Commands that were under way died with the worker's connections: a worker without a memory
    /// could tell no copy of them from the first (see `docs/questions.md`).
    fn restart_worker(&mut self, worker: usize) {
        let w = &mut self.workers[worker];
        w.restart(self.now);
        self.repeatable_commands.retain(|(name, _)| *name != w.name);
    }

    /// A running task of a worker fails.
    fn fail_one(&mut self, worker: usize) {
        let w = &mut self.workers[worker];
        let running = w.tasks.values_mut().find(|t| t.state == TaskState::Running);
        if let Some(t) = running {
            t.state = TaskState::Exited;
            t.cause = Some(Cause::Error);
        }
    }

    /// A running task of a worker, which is no replica of a service, completes.
    fn finish_one(&mut self, worker: usize) {
        let w = &self.workers[worker];
        let mut running = w
            .tasks
            .iter()
            .filter(|(_, t)| t.state == TaskState::Running);
        let ends = |task: &str| !self.jobs[split(task).0].is_service();
        if let Some((attempt, _)) = running.find(|(attempt, _)| ends(&attempt.task)) {
            self.finish(&attempt.task.clone());
        }
    }

    /// The machines whose bits are set stop with all that is on them.
    fn lose_machines(&mut self, bits: u8) {
        for (i, w) in self.workers.iter_mut().enumerate() {
            if bits & (1 << i) != 0 {
                w.die();
            }
        }
    }

    /// The version in production leads for a moment, as long as the limits are the old ones.
    fn let_production_lead(&mut self) {
        if self.store.value_bytes > self.settings.cluster.state.max_record_bytes() {
            self.store.led_by_production(2048);
            self.elect();
        }
    }

    /// The state service has its new limits.
    fn tighten_limits(&mut self) {
        let next = &self.settings.cluster.state.next;
        // Descriptions and the ends of jobs are written by other nodes, which check them.
        self.store.value_bytes = (next.value_kb.unwrap() * 1024.0) as usize;
        self.store.txn_ops = next.txn_ops.unwrap();
    }

    /// The other controllers promise: who promises leads no more, nor answers reports.
    fn promise(&mut self) {
        self.former_leaders.clear();
        let now = self.now;
        self.manager().peers_promised(now);
    }

    /// The zone of the machines whose bits are set is cut off, or is back.
    fn cut_machines(&mut self, bits: u8, on: bool, with_former_leader: bool) {
        for (i, w) in self.workers.iter_mut().enumerate() {
            if bits & (1 << i) != 0 {
                w.partitioned = on;
                w.with_former_leader = with_former_leader;
            }
        }
        if on && with_former_leader {
            self.elect();
            self.live_on(bits);
        }
    }

    /// Every third job is an array, a service that outranks the others, or a gang.
    pub(crate) fn submit_number(&mut self, n: u8, waits_on: u16, looks: bool) {
        let id = format!("req-{n}");
        let accepted = |id: &String| self.jobs.contains_key(id);
        let names = (0..JOBS).filter(|i| waits_on & (1 << i) != 0 && i % 3 != 1 && *i != n);
        // A few at the most, so that some pipelines come to their end.
        let names = names.map(|i| format!("req-{i}")).filter(accepted).take(2);
        let names: Vec<String> = names.collect();
        let (rig, precedence, tasks) = match n % 3 {
            0 => ("sweep", "normal", 3),
            1 => ("standing", "critical", 2),
            _ => ("group", "normal", 2),
        };
        let mut body = common::submission(&id, rig, precedence, tasks);
        body["waits_on"] = json!(names);
        // Steps say when tasks end.
        let run_times = RunTimes {
            first_s: f64::INFINITY,
            stagger_s: 0.0,
        };
        self.submit(&id, &body, run_times, looks);
    }

    /// Lets everything heal; what was accepted must come to its end.
    pub(crate) fn heal(&mut self) {
        self.commands_held = false;
        self.former_leaders.clear();
        if self.leader.as_ref().is_some_and(|l| !l.reaches_store) {
            self.elect();
        }
        for service in [1, 4, 7] {
            self.cancel(&format!("req-{service}"));
        }
        for i in 0..600 {
            for w in 0..3u8 {
                self.workers[w as usize].partitioned = false;
                self.workers[w as usize].inbound_lost = false;
                self.workers[w as usize].heartbeats_lost = false;
                self.resume(w as usize);
                self.apply(Step::Heartbeat {
                    worker: w,
                    response_lost: false,
                });
                self.apply(Step::Finish { worker: w });
            }
            self.apply(Step::Pass(5));
            // Machines that were given back are replaced.
            if i % 20 == 0 && self.workers.iter().all(|w| w.gone) {
                self.workers.push(Worker::new(self.workers.len(), self.now));
                let last = self.workers.len() - 1;
                self.workers.swap(0, last);
            }
        }
        self.check_ends();
    }
}

//! The steps of generated histories, and how each step changes the simulated cluster.

use super::common;
use super::job::{split_task_name, RunTimes};
use super::settings::machine_types;
use super::worker::{Worker, RESPONSE_TIMEOUT_S};
use super::world::{World, WriteFault};
use proptest::prelude::*;
use serde_json::json;
use stairstage::coordination::cluster::{Effect, HeartbeatOutcome};
use stairstage::protocol::worker::{Cause, TaskState};

/// The number of different jobs that a history may submit.
pub(crate) const MAX_JOBS: u8 = 9;
/// The faults that may affect a write.
const WRITE_FAULTS: [WriteFault; 4] = [
    WriteFault::None,
    WriteFault::ResponseLost,
    WriteFault::RequestLost,
    WriteFault::Delayed,
];

/// A step of a generated history.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Time passes, in tenths of a second, and the leader runs its periodic tick.
    AdvanceTime(u8),
    /// A worker sends a heartbeat to the leader; the response may be lost.
    SendHeartbeat {
        worker: u8,
        response_lost: bool,
    },
    CompleteTask {
        worker: u8,
    },
    FailTask {
        worker: u8,
    },
    PartitionWorker {
        worker: u8,
        on: bool,
    },
    /// The worker's heartbeats arrive; responses and direct commands do not reach the worker.
    DropInboundMessages {
        worker: u8,
        on: bool,
    },
    /// The leader receives a duplicate of any heartbeat that any machine has sent so far.
    DeliverDuplicateHeartbeat(u8),
    /// The worker's process restarts immediately, with its counters reset.
    RestartWorker {
        worker: u8,
    },
    /// A worker sends a heartbeat to the former leader, which reaches neither the state service nor
    /// its peers.
    SendHeartbeatToFormerLeader {
        worker: u8,
    },
    /// The state service applies a transaction whose sender has timed out, or a duplicate of one
    /// that it has already applied.
    ApplyDelayedWrite(u8),
    /// Holds back direct commands from now on, or stops doing so.
    HoldCommands(bool),
    /// A worker receives a direct command that was held back, or a duplicate of an earlier one.
    ReplayCommands(u8),
    /// Sets the fault of the leader's next write.
    SetNextWriteFault(WriteFault),
    CancelJob(u8),
    /// A user submits a job that depends on the jobs in the bit mask. The controller that accepts
    /// the job may check whether one of these dependencies is cancelled.
    SubmitJob {
        number: u8,
        waits_on: u16,
        checks_dependencies: bool,
    },
    ElectLeader,
    /// The release in production leads for a moment; only possible under the old store limits.
    ElectProductionRelease,
    /// The state service switches to its new, narrower limits.
    TightenStoreLimits,
    /// The machines in the bit mask terminate with all tasks on them.
    TerminateMachines(u8),
    /// The zone of the machines in the bit mask is partitioned or reconnected. If the leader is in
    /// the partitioned zone, another leader is elected.
    PartitionZone {
        machine_mask: u8,
        on: bool,
        with_former_leader: bool,
    },
    /// The leader pauses for `tenths` of a second after it has answered a heartbeat and made its
    /// decisions. Another leader is elected during the pause; the old decisions are sent after it.
    PauseLeader {
        worker: u8,
        tenths: u8,
    },
    /// All peers promise the leader to answer no heartbeat with a lower token. Without these promises
    /// a former leader may still renew worker leases.
    ConfirmPeerPromises,
    /// The leader loses the state service and its peers, and with them the news of cancellations.
    /// Its leadership lease remains valid for `tenths` of a second.
    IsolateLeader {
        tenths: u8,
    },
    /// Former leaders learn of every cancellation that was confirmed so far.
    SendCancellationsToFormerLeaders,
    /// The worker's heartbeats reach no controller; direct commands reach the worker.
    DropHeartbeats {
        worker: u8,
        on: bool,
    },
    /// The worker hangs and holds back incoming messages until it resumes.
    HangWorker {
        worker: u8,
        on: bool,
    },
}

/// Generates a step of any history.
pub(crate) fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1u8..30).prop_map(Step::AdvanceTime),
        10 => (0u8..3, prop::bool::weighted(0.2)).prop_map(|(worker, response_lost)| Step::SendHeartbeat { worker, response_lost }),
        5 => (0u8..3).prop_map(|worker| Step::CompleteTask { worker }),
        1 => (0u8..3).prop_map(|worker| Step::FailTask { worker }),
        2 => (0u8..3, any::<bool>()).prop_map(|(worker, on)| Step::PartitionWorker { worker, on }),
        2 => (0u8..3, any::<bool>()).prop_map(|(worker, on)| Step::DropInboundMessages { worker, on }),
        3 => any::<u8>().prop_map(Step::DeliverDuplicateHeartbeat),
        1 => (0u8..3).prop_map(|worker| Step::RestartWorker { worker }),
        3 => (0u8..3).prop_map(|worker| Step::SendHeartbeatToFormerLeader { worker }),
        2 => any::<u8>().prop_map(Step::ApplyDelayedWrite),
        2 => any::<bool>().prop_map(Step::HoldCommands),
        2 => any::<u8>().prop_map(Step::ReplayCommands),
        2 => (0u8..4).prop_map(|i| Step::SetNextWriteFault(WRITE_FAULTS[i as usize])),
        2 => (0u8..MAX_JOBS).prop_map(Step::CancelJob),
        4 => (0u8..MAX_JOBS, any::<u16>(), any::<bool>()).prop_map(|(number, waits_on, checks_dependencies)| Step::SubmitJob { number, waits_on, checks_dependencies }),
        1 => Just(Step::ElectProductionRelease),
        1 => Just(Step::TightenStoreLimits),
        2 => Just(Step::ElectLeader),
        1 => (1u8..8).prop_map(Step::TerminateMachines),
        2 => (1u8..8, any::<bool>(), any::<bool>()).prop_map(|(machine_mask, on, with_former_leader)| Step::PartitionZone { machine_mask, on, with_former_leader }),
        2 => (0u8..3, 1u8..80).prop_map(|(worker, tenths)| Step::PauseLeader { worker, tenths }),
        1 => Just(Step::ConfirmPeerPromises),
    ]
}

/// Generates a step of any history, including isolated leaders, workers that reach no controller and
/// machines that hang.
pub(crate) fn step_with_isolation() -> impl Strategy<Value = Step> {
    prop_oneof![
        40 => step(),
        2 => (0u8..60).prop_map(|tenths| Step::IsolateLeader { tenths }),
        1 => Just(Step::SendCancellationsToFormerLeaders),
        1 => (0u8..3, any::<bool>()).prop_map(|(worker, on)| Step::DropHeartbeats { worker, on }),
        2 => (0u8..3, any::<bool>()).prop_map(|(worker, on)| Step::HangWorker { worker, on }),
    ]
}

/// The initial cluster of a history: a leader, and three machines of the first type in the first zone.
pub(crate) fn world() -> World {
    let workers = (0..3).map(|i| Worker::new(i, 0.0)).collect();
    let mut world = World::new(machine_types(), workers);
    world.elect();
    world
}

impl World {
    /// Completes a task; the tasks of a gang complete together.
    fn complete_task(&mut self, task: &str) {
        let (id, _) = split_task_name(task);
        let job = self.jobs.get_mut(id).expect("an accepted job");
        let gang = job.is_gang();
        for w in self.workers.iter_mut().filter(|w| !w.terminated && !w.hung) {
            for (attempt, t) in w.tasks.iter_mut() {
                let name = &attempt.task;
                let same = if gang {
                    split_task_name(name).0 == id
                } else {
                    name == task
                };
                if same && t.state == TaskState::Running {
                    t.state = TaskState::Exited;
                    t.cause = Some(Cause::Done);
                    job.done.insert(split_task_name(name).1);
                }
            }
        }
        if gang {
            job.done.extend([0, 1]);
        }
    }

    /// For longer than a worker lease, workers in the partitioned zone send heartbeats to the former
    /// leader, which is in that zone, and the other workers to the new leader.
    fn run_partitioned_zone(&mut self, machine_mask: u8) {
        for _ in 0..8 {
            self.now += self.settings.cluster.workers.report_s;
            for i in 0..self.workers.len() {
                self.send_heartbeat_immediately(i, false, machine_mask & (1 << i) != 0);
            }
            self.advance_time(0.0);
            let now = self.now;
            self.manager().tick(now);
            self.manager().step(now);
            self.apply_effects();
        }
    }

    /// Pauses the leader after it has answered a heartbeat and made its decisions. The decisions are
    /// sent after the pause, when another leader has been elected; the worker ignores a response
    /// that arrives after four seconds.
    fn pause_leader(&mut self, i: usize, seconds: f64) {
        let (sent, w) = (self.now, &mut self.workers[i]);
        let sends = !w.terminated && !w.partitioned && !w.hung && !w.heartbeats_lost;
        let heartbeat = sends.then(|| w.scheduled_heartbeat(sent));
        let outcome = heartbeat
            .as_ref()
            .map(|r| self.manager().heartbeat(r, sent));
        self.manager().step(sent);
        let effects = self.manager().take_effects();
        self.advance_time(seconds);
        self.elect();
        if let (Some(heartbeat), Some(HeartbeatOutcome::Response(response))) = (heartbeat, outcome)
        {
            let w = &mut self.workers[i];
            let accepted = response.token.0 >= w.token && heartbeat.incarnation.0 == w.incarnation;
            if accepted && seconds < RESPONSE_TIMEOUT_S && !w.terminated && !w.inbound_lost {
                let started = w.apply_response(&response, sent, self.now);
                self.check_starts(i, &started);
            }
        }
        for effect in effects {
            match effect {
                Effect::Write { transaction, .. } => {
                    let result = self.store.commit(&transaction);
                    assert!(result.is_err(), "a former leader's write is applied");
                }
                Effect::SendCommands {
                    machine,
                    commands: batch,
                    ..
                } => {
                    let worker = self.worker_index(&machine).expect("a machine");
                    let w = &self.workers[worker];
                    if !w.partitioned && !w.inbound_lost && !w.hung {
                        self.deliver_commands(worker, &batch);
                    }
                }
                Effect::ReturnMachines(names) => self.terminate_returned_machines(&names),
                _ => {}
            }
        }
    }

    /// Applies a step, then lets the leader decide.
    pub(crate) fn apply(&mut self, step: Step) {
        let seconds = |tenths: u8| f64::from(tenths) / 10.0;
        match step {
            Step::AdvanceTime(tenths) => self.advance_time_and_tick(seconds(tenths)),
            Step::SendHeartbeat {
                worker,
                response_lost,
            } => self.send_heartbeat_immediately(worker as usize, response_lost, false),
            Step::SendHeartbeatToFormerLeader { worker } => {
                self.send_heartbeat_immediately(worker as usize, false, true);
            }
            Step::DeliverDuplicateHeartbeat(n) => self.deliver_duplicate_heartbeat(n as usize),
            Step::CompleteTask { worker } => self.complete_running_task(worker as usize),
            Step::FailTask { worker } => self.fail_running_task(worker as usize),
            Step::PartitionWorker { worker, on } => self.workers[worker as usize].partitioned = on,
            Step::DropInboundMessages { worker, on } => {
                self.workers[worker as usize].inbound_lost = on;
            }
            Step::DropHeartbeats { worker, on } => {
                self.workers[worker as usize].heartbeats_lost = on;
            }
            Step::HangWorker { worker, on: true } => self.workers[worker as usize].hung = true,
            Step::HangWorker { worker, on: false } => self.resume(worker as usize),
            Step::RestartWorker { worker } => self.restart_worker(worker as usize),
            Step::TerminateMachines(machine_mask) => self.terminate_machines(machine_mask),
            Step::PartitionZone {
                machine_mask,
                on,
                with_former_leader,
            } => self.partition_machines(machine_mask, on, with_former_leader),
            Step::ApplyDelayedWrite(n) => self.apply_delayed_write(n as usize),
            Step::HoldCommands(on) => self.commands_held = on,
            Step::ReplayCommands(n) => self.replay_commands(n as usize),
            Step::SetNextWriteFault(fault) => self.next_write_fault = fault,
            Step::SubmitJob {
                number,
                waits_on,
                checks_dependencies,
            } => self.submit_number(number, waits_on, checks_dependencies),
            Step::CancelJob(n) => self.cancel(&format!("req-{n}")),
            Step::ElectProductionRelease => self.elect_production_release(),
            Step::TightenStoreLimits => self.tighten_store_limits(),
            Step::ElectLeader => self.elect(),
            Step::PauseLeader { worker, tenths } => {
                self.pause_leader(worker as usize, seconds(tenths));
            }
            Step::ConfirmPeerPromises => self.confirm_peer_promises(),
            Step::IsolateLeader { tenths } => self.isolate_leader(seconds(tenths)),
            Step::SendCancellationsToFormerLeaders => self.send_cancellations_to_former_leaders(),
        }
        let now = self.now;
        self.manager().step(now);
        self.apply_effects();
    }

    /// Advances the time, then runs the leader's periodic tick.
    fn advance_time_and_tick(&mut self, seconds: f64) {
        self.advance_time(seconds);
        let now = self.now;
        self.manager().tick(now);
    }

    /// Delivers a duplicate of an earlier heartbeat to the leader.
    fn deliver_duplicate_heartbeat(&mut self, n: usize) {
        if !self.sent_heartbeats.is_empty() {
            let duplicate = self.sent_heartbeats[n * 7 % self.sent_heartbeats.len()].clone();
            let now = self.now;
            self.manager().heartbeat(&duplicate, now);
        }
    }

    /// Applies one of the delayed or duplicate transactions.
    fn apply_delayed_write(&mut self, n: usize) {
        if !self.replayable_transactions.is_empty() {
            let txn = self.replayable_transactions[n % self.replayable_transactions.len()].clone();
            let _ = self.store.commit(&txn);
        }
    }

    /// Delivers direct commands that were held back, or a duplicate of earlier ones.
    fn replay_commands(&mut self, n: usize) {
        if !self.replayable_commands.is_empty() {
            let (name, batch) =
                self.replayable_commands[n % self.replayable_commands.len()].clone();
            if let Some(worker) = self.worker_index(&name) {
                self.deliver_commands(worker, &batch);
            }
        }
    }

    /// Restarts a worker. Commands in transit are lost with its connections: after a restart the
    /// worker could not recognize a duplicate command (see `docs/questions.md`).
    fn restart_worker(&mut self, worker: usize) {
        let w = &mut self.workers[worker];
        w.restart(self.now);
        self.replayable_commands.retain(|(name, _)| *name != w.name);
    }

    /// Fails a running task of a worker.
    fn fail_running_task(&mut self, worker: usize) {
        let w = &mut self.workers[worker];
        let running = w.tasks.values_mut().find(|t| t.state == TaskState::Running);
        if let Some(t) = running {
            t.state = TaskState::Exited;
            t.cause = Some(Cause::Error);
        }
    }

    /// Completes a running task of a worker, other than a replica of a service.
    fn complete_running_task(&mut self, worker: usize) {
        let w = &self.workers[worker];
        let mut running = w
            .tasks
            .iter()
            .filter(|(_, t)| t.state == TaskState::Running);
        let completes = |task: &str| !self.jobs[split_task_name(task).0].is_service();
        if let Some((attempt, _)) = running.find(|(attempt, _)| completes(&attempt.task)) {
            self.complete_task(&attempt.task.clone());
        }
    }

    /// Terminates the machines in the bit mask, with all tasks on them.
    fn terminate_machines(&mut self, machine_mask: u8) {
        for (i, w) in self.workers.iter_mut().enumerate() {
            if machine_mask & (1 << i) != 0 {
                w.terminate();
            }
        }
    }

    /// Has the release in production lead for a moment, if the old store limits still apply.
    fn elect_production_release(&mut self) {
        if self.store.value_bytes > self.settings.cluster.state.max_record_bytes() {
            self.store.rewrite_as_production_release(2048);
            self.elect();
        }
    }

    /// Switches the state service to its new limits.
    fn tighten_store_limits(&mut self) {
        let next = &self.settings.cluster.state.next;
        // Job specs and final states are written by other controllers, which check these limits.
        self.store.value_bytes = (next.value_kb.unwrap() * 1024.0) as usize;
        self.store.txn_ops = next.txn_ops.unwrap();
    }

    /// All peers promise: a controller that has promised neither leads nor answers heartbeats.
    fn confirm_peer_promises(&mut self) {
        self.former_leaders.clear();
        let now = self.now;
        self.manager().peers_promised(now);
    }

    /// Partitions or reconnects the zone of the machines in the bit mask. If the leader is in the
    /// partitioned zone, elects another one and lets both run for longer than a worker lease.
    fn partition_machines(&mut self, machine_mask: u8, on: bool, with_former_leader: bool) {
        for (i, w) in self.workers.iter_mut().enumerate() {
            if machine_mask & (1 << i) != 0 {
                w.partitioned = on;
                w.with_former_leader = with_former_leader;
            }
        }
        if on && with_former_leader {
            self.elect();
            self.run_partitioned_zone(machine_mask);
        }
    }

    /// Submits job `n`: by `n % 3` an array, a service with a higher priority, or a gang.
    pub(crate) fn submit_number(&mut self, n: u8, waits_on: u16, checks_dependencies: bool) {
        let id = format!("req-{n}");
        let accepted = |id: &String| self.jobs.contains_key(id);
        let names = (0..MAX_JOBS).filter(|i| waits_on & (1 << i) != 0 && i % 3 != 1 && *i != n);
        // At most two dependencies, so that some pipelines finish.
        let names = names.map(|i| format!("req-{i}")).filter(accepted).take(2);
        let names: Vec<String> = names.collect();
        let (rig, precedence, tasks) = match n % 3 {
            0 => ("sweep", "normal", 3),
            1 => ("standing", "critical", 2),
            _ => ("group", "normal", 2),
        };
        let mut body = common::submission(&id, rig, precedence, tasks);
        body["waits_on"] = json!(names);
        // Tasks only complete through steps.
        let run_times = RunTimes {
            first_s: f64::INFINITY,
            stagger_s: 0.0,
        };
        self.submit(&id, &body, run_times, checks_dependencies);
    }

    /// Ends all faults and checks that every accepted job finishes.
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
                self.apply(Step::SendHeartbeat {
                    worker: w,
                    response_lost: false,
                });
                self.apply(Step::CompleteTask { worker: w });
            }
            self.apply(Step::AdvanceTime(5));
            // Replaces returned machines once no machine is left.
            if i % 20 == 0 && self.workers.iter().all(|w| w.terminated) {
                self.workers.push(Worker::new(self.workers.len(), self.now));
                let last = self.workers.len() - 1;
                self.workers.swap(0, last);
            }
        }
        self.check_final_states();
    }
}

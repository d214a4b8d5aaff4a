//! Messages that take time in histories with a clock of their own, and what goes wrong with them.

use super::random::Random;
use super::worker::RETRY_S;
use super::world::World;
use stairstage::coordination::cluster::{CommandOutcome, WriteOutcome};
use stairstage::coordination::state::MachineName;
use stairstage::protocol::job::JobState;
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::{CommandBatch, Heartbeat, HeartbeatResponse};
use stairstage::storage::records::OpenRecord;

/// Between how many seconds a message takes at the least and at the most.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DelayRange {
    min_s: f64,
    max_s: f64,
}

impl DelayRange {
    pub(crate) const fn new(min_s: f64, max_s: f64) -> DelayRange {
        DelayRange { min_s, max_s }
    }
}

/// A sender of direct commands gives up on an answer after this time.
const COMMAND_TIMEOUT_S: f64 = 2.0;
/// The same of a write.
const WRITE_TIMEOUT_S: f64 = 1.0;
/// For how long direct commands that are answered in time are held up on their way.
const SLOW_COMMAND_DELAY: DelayRange = DelayRange::new(0.1, 0.9);
/// The same of direct commands that their sender has given up on.
const LATE_COMMAND_DELAY: DelayRange = DelayRange::new(2.0, 16.0);
/// The same of such writes.
const LATE_WRITE_DELAY: DelayRange = DelayRange::new(2.0, 12.0);
/// The same of writes that are still answered in time.
const SLOW_WRITE_DELAY: DelayRange = DelayRange::new(0.2, 0.9);
/// Responses to heartbeats may take longer than a worker waits.
const SLOW_RESPONSE_DELAY: DelayRange = DelayRange::new(0.3, 4.5);
/// Copies of heartbeats arrive until well over a lease later.
const LATE_HEARTBEAT_DELAY: DelayRange = DelayRange::new(2.0, 30.0);
/// How long news of jobs takes to the leader.
const ANNOUNCEMENT_DELAY: DelayRange = DelayRange::new(0.0, 0.5);
/// When a machine that was rented is up.
const BOOT_DELAY: DelayRange = DelayRange::new(0.5, 2.0);

/// The shares of messages that go wrong, each in its own way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Direct commands that take their time, and so do their answers.
    pub slow_commands: f64,
    /// Direct commands that get no answer and are carried out once, late.
    pub late_commands: f64,
    /// Direct commands that are carried out at once and get no answer.
    pub lost_command_responses: f64,
    /// Heartbeats of which a copy arrives again, after newer ones, at every controller.
    pub copied_heartbeats: f64,
    /// Heartbeats of which a copy is kept until the next leader begins, and arrives at every controller.
    pub kept_heartbeats: f64,
    /// How soon after the election those arrive, at the least and at the most.
    pub kept_delay: DelayRange,
    /// Heartbeats that arrive late, and nowhere before.
    pub late_heartbeats: f64,
    /// Responses to heartbeats that are slow, or lost.
    pub slow_responses: f64,
    pub lost_responses: f64,
    /// Writes that are slow, that are carried out at once without an answer, or late.
    pub slow_writes: f64,
    pub unanswered_writes: f64,
    pub late_writes: f64,
}

/// What is on its way.
#[derive(Debug)]
pub(crate) enum Message {
    Command {
        machine: MachineName,
        batch: CommandBatch,
        /// Who still waits for its answer.
        answer_to: Option<u64>,
    },
    CommandAnswer {
        to: u64,
        machine: MachineName,
        result: CommandOutcome,
    },
    Heartbeat(Heartbeat),
    HeartbeatResponse {
        machine: String,
        incarnation: u64,
        sequence: u64,
        sent: f64,
        answer: HeartbeatResponse,
    },
    Write {
        transaction: Transaction,
        answer: Option<AnswerTo>,
    },
    NoWriteAnswer {
        to: AnswerTo,
        transaction: Transaction,
    },
    JobsAccepted(Box<OpenRecord>, u64),
    JobsEnded(String, JobState),
}

/// The controller and the number of a write.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTo {
    pub leader: u64,
    pub write: u64,
}

/// A message that arrives then.
struct Delayed {
    at: f64,
    message: Message,
}

/// Messages on their way, and the random numbers that decide on them.
pub(crate) struct Network {
    pub faults: Faults,
    pub random: Random,
    delayed: Vec<Delayed>,
    kept: Vec<Heartbeat>,
}

impl Network {
    pub(crate) fn new(seed: u64) -> Network {
        Network {
            faults: Faults::default(),
            random: Random::new(seed),
            delayed: Vec::new(),
            kept: Vec::new(),
        }
    }

    /// Sends a message that arrives then.
    pub(crate) fn send(&mut self, at: f64, message: Message) {
        self.delayed.push(Delayed { at, message });
    }

    /// Sends a message that takes a time within the range.
    fn send_within(&mut self, now: f64, delay: DelayRange, message: Message) {
        let delay_s = self.random.between(delay.min_s, delay.max_s);
        self.send(now + delay_s, message);
    }

    /// How long a machine takes to boot.
    pub(crate) fn boot_s(&mut self) -> f64 {
        self.random.between(BOOT_DELAY.min_s, BOOT_DELAY.max_s)
    }

    /// How long news of a job takes to the leader at the most.
    pub(crate) fn max_announcement_delay_s(&self) -> f64 {
        ANNOUNCEMENT_DELAY.max_s
    }

    /// What arrives by now, in the order in which it does.
    fn due(&mut self, now: f64) -> Vec<Message> {
        let all = std::mem::take(&mut self.delayed);
        let (mut due, later): (Vec<Delayed>, Vec<Delayed>) =
            all.into_iter().partition(|d| d.at <= now);
        self.delayed = later;
        due.sort_by(|a, b| a.at.total_cmp(&b.at));
        due.into_iter().map(|d| d.message).collect()
    }

    /// Copies of a heartbeat that arrive besides itself.
    pub(crate) fn copy(&mut self, heartbeat: &Heartbeat, now: f64) {
        if self.random.chance(self.faults.copied_heartbeats) {
            let copy = Message::Heartbeat(heartbeat.clone());
            self.send_within(now, LATE_HEARTBEAT_DELAY, copy);
        }
        if self.random.chance(self.faults.kept_heartbeats) {
            self.kept.push(heartbeat.clone());
        }
    }

    /// Whether a heartbeat is held up; then it arrives late.
    pub(crate) fn holds(&mut self, heartbeat: &Heartbeat, now: f64) -> bool {
        let held = self.random.chance(self.faults.late_heartbeats);
        if held {
            let late = Message::Heartbeat(heartbeat.clone());
            self.send_within(now, LATE_HEARTBEAT_DELAY, late);
        }
        held
    }

    /// Whether the response to a heartbeat is lost; else for how long it is under way.
    pub(crate) fn response_delay_s(&mut self) -> Option<f64> {
        if self.random.chance(self.faults.lost_responses) {
            return None;
        }
        let slow = self.random.chance(self.faults.slow_responses);
        let delay = self
            .random
            .between(SLOW_RESPONSE_DELAY.min_s, SLOW_RESPONSE_DELAY.max_s);
        Some(if slow { delay } else { 0.0 })
    }

    /// A leader begins: reports that were kept for this moment arrive.
    pub(crate) fn release_kept(&mut self, now: f64) {
        for heartbeat in std::mem::take(&mut self.kept) {
            self.send_within(now, self.faults.kept_delay, Message::Heartbeat(heartbeat));
        }
    }

    /// Sends news of a job to the leader.
    fn announce(&mut self, now: f64, message: Message) {
        self.send_within(now, ANNOUNCEMENT_DELAY, message);
    }
}

impl World {
    /// The network, which only timed histories have.
    pub(crate) fn net(&mut self) -> &mut Network {
        self.network.as_mut().expect("a timed history")
    }

    /// The leader learns of an accepted job: soon, or at once without a network.
    pub(crate) fn announce_job(&mut self, record: OpenRecord, version: u64) {
        let now = self.now;
        match &mut self.network {
            Some(network) => {
                network.announce(now, Message::JobsAccepted(Box::new(record), version));
            }
            None => {
                self.announcement_arrives(|manager| manager.job_accepted(record, version, 0, now));
            }
        }
    }

    /// The leader learns of a cancellation: soon, or at once without a network.
    pub(crate) fn announce_end(&mut self, id: &str) {
        let now = self.now;
        let state = JobState::Cancelled;
        match &mut self.network {
            Some(network) => network.announce(now, Message::JobsEnded(id.to_string(), state)),
            None => self.announcement_arrives(|manager| manager.job_finished(id, state, now)),
        }
    }

    /// Sends direct commands; the way there, or back, may be interrupted.
    pub(crate) fn send_commands(&mut self, from: u64, machine: &MachineName, batch: CommandBatch) {
        let now = self.now;
        let Some(i) = self.worker_named(machine) else {
            return self.with_controller(from, |manager| {
                manager.commands_answered(machine, CommandOutcome::NotSent, now);
            });
        };
        let faults = self.net().faults;
        let late = self.net().random.chance(faults.late_commands);
        let response_lost = self.net().random.chance(faults.lost_command_responses);
        let slow = self.net().random.chance(faults.slow_commands);
        let w = &mut self.workers[i];
        if w.is_up(now) && (w.partitioned || w.inbound_lost || w.hung) {
            // What a cut holds up, and what comes to a machine that hangs, arrives in the end.
            if !w.inbound_lost {
                w.held.push(batch);
            }
        } else if late || slow {
            let command = Message::Command {
                machine: machine.clone(),
                batch,
                answer_to: (!late).then_some(from),
            };
            let delay = if late {
                LATE_COMMAND_DELAY
            } else {
                SLOW_COMMAND_DELAY
            };
            self.net().send_within(now, delay, command);
            if !late {
                return;
            }
        } else {
            let result = self.execute_commands(i, &batch);
            if !response_lost {
                return self.with_controller(from, |manager| {
                    manager.commands_answered(machine, result, now);
                });
            }
        }
        let machine = machine.clone();
        let timeout = Message::CommandAnswer {
            to: from,
            machine,
            result: CommandOutcome::Unknown,
        };
        self.net().send(now + COMMAND_TIMEOUT_S, timeout);
    }

    /// Sends a write; it may be slow, late or without an answer.
    pub(crate) fn send_write(&mut self, from: u64, id: u64, transaction: Transaction) {
        let now = self.now;
        let to = AnswerTo {
            leader: from,
            write: id,
        };
        let network = self.net();
        let faults = network.faults;
        if network.random.chance(faults.slow_writes) {
            let write = Message::Write {
                transaction,
                answer: Some(to),
            };
            return network.send_within(now, SLOW_WRITE_DELAY, write);
        }
        let late = network.random.chance(faults.late_writes);
        let unanswered = network.random.chance(faults.unanswered_writes);
        if late || unanswered {
            let timeout = Message::NoWriteAnswer {
                to,
                transaction: transaction.clone(),
            };
            network.send(now + WRITE_TIMEOUT_S, timeout);
        }
        if late {
            let write = Message::Write {
                transaction,
                answer: None,
            };
            return self.net().send_within(now, LATE_WRITE_DELAY, write);
        }
        self.carry_out_write(transaction, (!unanswered).then_some(to));
    }

    /// Applies a write; its controller hears of it if there is an answer.
    fn carry_out_write(&mut self, transaction: Transaction, answer: Option<AnswerTo>) {
        let result = self.store.commit(&transaction);
        self.check_size(&transaction, &result);
        let written = match result {
            Ok(revision) => WriteOutcome::Applied(revision),
            Err(_) => self.store.reread(&transaction),
        };
        let now = self.now;
        if let Some(to) = answer {
            self.with_controller(to.leader, |manager| {
                manager.write_finished(to.write, written, now);
            });
        }
    }

    /// What was under way arrives.
    pub(crate) fn deliver_due(&mut self) {
        let now = self.now;
        for message in self.net().due(now) {
            self.arrive(message);
            self.effects();
        }
    }

    /// One message arrives.
    fn arrive(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Command {
                machine,
                batch,
                answer_to,
            } => self.command_arrives(&machine, batch, answer_to),
            Message::CommandAnswer {
                to,
                machine,
                result,
            } => self.with_controller(to, |manager| {
                manager.commands_answered(&machine, result, now);
            }),
            Message::Heartbeat(heartbeat) => {
                for leader in self.leader.iter_mut().chain(&mut self.former_leaders) {
                    leader.manager.heartbeat(&heartbeat, now);
                }
            }
            Message::HeartbeatResponse {
                machine,
                incarnation,
                sequence,
                sent,
                answer,
            } => {
                let i = self.worker_named(&machine).expect("it has reported");
                let w = &self.workers[i];
                let awaited = w.incarnation == incarnation
                    && w.awaited.is_some_and(|a| a.sequence == sequence);
                if awaited && !w.hung && w.is_up(now) {
                    self.accept_response(i, &answer, sent);
                }
            }
            Message::Write {
                transaction,
                answer,
            } => self.carry_out_write(transaction, answer),
            Message::NoWriteAnswer { to, transaction } => {
                let written = self.store.reread(&transaction);
                self.with_controller(to.leader, |manager| {
                    manager.write_finished(to.write, written, now);
                });
            }
            Message::JobsAccepted(record, version) => self.announcement_arrives(|manager| {
                manager.job_accepted(*record, version, 0, now);
            }),
            Message::JobsEnded(id, state) => {
                self.announcement_arrives(|manager| manager.job_finished(&id, state, now));
            }
        }
    }

    /// News of jobs comes from the state service.
    fn announcement_arrives(
        &mut self,
        tell: impl FnOnce(&mut stairstage::coordination::manager::ClusterManager),
    ) {
        if let Some(leader) = self.leader.as_mut().filter(|l| l.reaches_store) {
            tell(&mut leader.manager);
        }
    }

    /// Direct commands arrive, and are answered if somebody still waits.
    fn command_arrives(
        &mut self,
        machine: &MachineName,
        batch: CommandBatch,
        answer_to: Option<u64>,
    ) {
        let now = self.now;
        let i = self.worker_named(machine).expect("a machine");
        let w = &mut self.workers[i];
        let (result, delay) = if w.hung || w.partitioned {
            w.held.push(batch);
            (
                CommandOutcome::Unknown,
                DelayRange::new(COMMAND_TIMEOUT_S, COMMAND_TIMEOUT_S),
            )
        } else {
            (self.execute_commands(i, &batch), SLOW_COMMAND_DELAY)
        };
        if let Some(to) = answer_to {
            let machine = machine.clone();
            let answer = Message::CommandAnswer {
                to,
                machine,
                result,
            };
            self.net().send_within(now, delay, answer);
        }
    }

    /// A worker takes the response to its last heartbeat.
    pub(crate) fn accept_response(&mut self, i: usize, answer: &HeartbeatResponse, sent: f64) {
        let now = self.now;
        let w = &mut self.workers[i];
        w.awaited = None;
        if answer.token.0 < w.token {
            w.next_heartbeat_at = now + RETRY_S;
            return;
        }
        let started = w.take(answer, sent, now);
        self.check_starts(i, &started);
    }
}

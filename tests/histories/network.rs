//! Message delays and message faults of timed histories.

use super::random::Random;
use super::worker::RETRY_S;
use super::world::World;
use stairstage::coordination::cluster::{CommandOutcome, WriteOutcome};
use stairstage::coordination::state::MachineName;
use stairstage::protocol::job::JobState;
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::{CommandBatch, Heartbeat, HeartbeatResponse};
use stairstage::storage::records::OpenRecord;

/// The minimum and maximum delay of a message in seconds.
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

/// Time after which a sender of direct commands stops waiting for the response.
const COMMAND_TIMEOUT_S: f64 = 2.0;
/// Time after which a controller stops waiting for the response to a write.
const WRITE_TIMEOUT_S: f64 = 1.0;
/// Delay of slow direct commands and of their responses; both together stay below the timeout.
const SLOW_COMMAND_DELAY: DelayRange = DelayRange::new(0.1, 0.9);
/// Delay of direct commands that arrive after their sender's timeout.
const TIMED_OUT_COMMAND_DELAY: DelayRange = DelayRange::new(2.0, 16.0);
/// Delay of writes that are applied after their sender's timeout.
const TIMED_OUT_WRITE_DELAY: DelayRange = DelayRange::new(2.0, 12.0);
/// Delay of slow writes, which are still answered before the timeout.
const SLOW_WRITE_DELAY: DelayRange = DelayRange::new(0.2, 0.9);
/// Delay of slow heartbeat responses; the longest exceed the worker's response timeout.
const SLOW_RESPONSE_DELAY: DelayRange = DelayRange::new(0.3, 4.5);
/// Delay of delayed and duplicate heartbeats, up to well over the worker lease.
const HEARTBEAT_DELAY: DelayRange = DelayRange::new(2.0, 30.0);
/// Delay of announcements of accepted and cancelled jobs to the leader.
const ANNOUNCEMENT_DELAY: DelayRange = DelayRange::new(0.0, 0.5);
/// Boot time of a rented machine.
const BOOT_DELAY: DelayRange = DelayRange::new(0.5, 2.0);

/// The probability of each message fault.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Direct commands that are delayed, and so are their responses.
    pub slow_commands: f64,
    /// Direct commands that are executed once, after their sender's timeout, without a response.
    pub timed_out_commands: f64,
    /// Direct commands that are executed immediately and whose response is lost.
    pub lost_command_responses: f64,
    /// Heartbeats of which a duplicate arrives later at the leader and every former leader.
    pub duplicate_heartbeats: f64,
    /// Heartbeats of which a duplicate is kept until the next election, and then arrives at the leader
    /// and every former leader.
    pub replayed_heartbeats: f64,
    /// Delay of replayed heartbeats after the election.
    pub replay_delay: DelayRange,
    /// Heartbeats that are delayed, without a duplicate that arrives in time.
    pub delayed_heartbeats: f64,
    /// Responses to heartbeats that are delayed.
    pub slow_responses: f64,
    /// Responses to heartbeats that are lost.
    pub lost_responses: f64,
    /// Writes that are delayed and still answered.
    pub slow_writes: f64,
    /// Writes that are applied immediately and whose response is lost.
    pub lost_write_responses: f64,
    /// Writes that are applied after their sender's timeout, without a response.
    pub timed_out_writes: f64,
}

/// A message in transit, or a timeout that its sender receives.
#[derive(Debug)]
pub(crate) enum Message {
    Command {
        machine: MachineName,
        batch: CommandBatch,
        /// The controller that still waits for the response.
        respond_to: Option<u64>,
    },
    CommandResponse {
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
        response: HeartbeatResponse,
    },
    Write {
        transaction: Transaction,
        /// The write that is answered, if its response is not lost.
        respond_to: Option<WriteId>,
    },
    WriteTimeout {
        to: WriteId,
        transaction: Transaction,
    },
    JobAccepted(Box<OpenRecord>, u64),
    JobFinished(String, JobState),
}

/// A controller's leadership id and the id of one of its writes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteId {
    pub leader: u64,
    pub write: u64,
}

/// A message and its time of arrival.
struct Delayed {
    at: f64,
    message: Message,
}

/// Messages in transit, and the random numbers that determine faults and delays.
pub(crate) struct Network {
    pub faults: Faults,
    pub random: Random,
    delayed: Vec<Delayed>,
    heartbeats_to_replay: Vec<Heartbeat>,
}

impl Network {
    pub(crate) fn new(seed: u64) -> Network {
        Network {
            faults: Faults::default(),
            random: Random::new(seed),
            delayed: Vec::new(),
            heartbeats_to_replay: Vec::new(),
        }
    }

    /// Sends a message that arrives at the given time.
    pub(crate) fn send(&mut self, at: f64, message: Message) {
        self.delayed.push(Delayed { at, message });
    }

    /// Sends a message with a random delay in the range.
    fn send_within(&mut self, now: f64, delay: DelayRange, message: Message) {
        let delay_s = self.random.between(delay.min_s, delay.max_s);
        self.send(now + delay_s, message);
    }

    /// A random boot time of a machine.
    pub(crate) fn boot_s(&mut self) -> f64 {
        self.random.between(BOOT_DELAY.min_s, BOOT_DELAY.max_s)
    }

    /// The longest delay of an announcement to the leader.
    pub(crate) fn max_announcement_delay_s(&self) -> f64 {
        ANNOUNCEMENT_DELAY.max_s
    }

    /// Removes the messages that have arrived by `now`, and returns them in order of arrival.
    fn due(&mut self, now: f64) -> Vec<Message> {
        let all = std::mem::take(&mut self.delayed);
        let (mut due, later): (Vec<Delayed>, Vec<Delayed>) =
            all.into_iter().partition(|d| d.at <= now);
        self.delayed = later;
        due.sort_by(|a, b| a.at.total_cmp(&b.at));
        due.into_iter().map(|d| d.message).collect()
    }

    /// Sends or keeps duplicates of a heartbeat, by chance.
    pub(crate) fn duplicate(&mut self, heartbeat: &Heartbeat, now: f64) {
        if self.random.chance(self.faults.duplicate_heartbeats) {
            let duplicate = Message::Heartbeat(heartbeat.clone());
            self.send_within(now, HEARTBEAT_DELAY, duplicate);
        }
        if self.random.chance(self.faults.replayed_heartbeats) {
            self.heartbeats_to_replay.push(heartbeat.clone());
        }
    }

    /// Whether a heartbeat is delayed; if so, sends it with a delay.
    pub(crate) fn delays_heartbeat(&mut self, heartbeat: &Heartbeat, now: f64) -> bool {
        let delayed = self.random.chance(self.faults.delayed_heartbeats);
        if delayed {
            let message = Message::Heartbeat(heartbeat.clone());
            self.send_within(now, HEARTBEAT_DELAY, message);
        }
        delayed
    }

    /// The delay of the response to a heartbeat, or `None` if the response is lost.
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

    /// Sends the heartbeats that were kept for the election of a leader.
    pub(crate) fn replay_heartbeats(&mut self, now: f64) {
        for heartbeat in std::mem::take(&mut self.heartbeats_to_replay) {
            self.send_within(now, self.faults.replay_delay, Message::Heartbeat(heartbeat));
        }
    }

    /// Sends the leader an announcement of a job.
    fn announce(&mut self, now: f64, message: Message) {
        self.send_within(now, ANNOUNCEMENT_DELAY, message);
    }
}

impl World {
    /// The network; panics outside timed histories.
    pub(crate) fn network_mut(&mut self) -> &mut Network {
        self.network.as_mut().expect("a timed history")
    }

    /// Announces an accepted job to the leader, with a delay or, without a network, immediately.
    pub(crate) fn announce_job(&mut self, record: OpenRecord, version: u64) {
        let now = self.now;
        match &mut self.network {
            Some(network) => {
                network.announce(now, Message::JobAccepted(Box::new(record), version));
            }
            None => {
                self.deliver_announcement(|manager| manager.job_accepted(record, version, 0, now));
            }
        }
    }

    /// Announces a cancellation to the leader, with a delay or, without a network, immediately.
    pub(crate) fn announce_cancellation(&mut self, id: &str) {
        let now = self.now;
        let state = JobState::Cancelled;
        match &mut self.network {
            Some(network) => network.announce(now, Message::JobFinished(id.to_string(), state)),
            None => {
                self.deliver_announcement(|manager| manager.final_state_recorded(id, state, now));
            }
        }
    }

    /// Sends direct commands; the commands or the response may be delayed or lost.
    pub(crate) fn send_commands(&mut self, from: u64, machine: &MachineName, batch: CommandBatch) {
        let now = self.now;
        let Some(i) = self.worker_index(machine) else {
            return self.with_controller(from, |manager| {
                manager.commands_finished(machine, CommandOutcome::NotSent, now);
            });
        };
        let faults = self.network_mut().faults;
        let timed_out = self.network_mut().random.chance(faults.timed_out_commands);
        let response_lost = self
            .network_mut()
            .random
            .chance(faults.lost_command_responses);
        let slow = self.network_mut().random.chance(faults.slow_commands);
        let w = &mut self.workers[i];
        if w.is_up(now) && (w.partitioned || w.inbound_lost || w.hung) {
            // Commands to a partitioned or hung machine arrive once it is reachable and running.
            if !w.inbound_lost {
                w.held_commands.push(batch);
            }
        } else if timed_out || slow {
            let command = Message::Command {
                machine: machine.clone(),
                batch,
                respond_to: (!timed_out).then_some(from),
            };
            let delay = if timed_out {
                TIMED_OUT_COMMAND_DELAY
            } else {
                SLOW_COMMAND_DELAY
            };
            self.network_mut().send_within(now, delay, command);
            if !timed_out {
                return;
            }
        } else {
            let result = self.execute_commands(i, &batch);
            if !response_lost {
                return self.with_controller(from, |manager| {
                    manager.commands_finished(machine, result, now);
                });
            }
        }
        let machine = machine.clone();
        let timeout = Message::CommandResponse {
            to: from,
            machine,
            result: CommandOutcome::Indeterminate,
        };
        self.network_mut().send(now + COMMAND_TIMEOUT_S, timeout);
    }

    /// Sends a write; the write may be delayed, and the response may be lost.
    pub(crate) fn send_write(&mut self, from: u64, id: u64, transaction: Transaction) {
        let now = self.now;
        let to = WriteId {
            leader: from,
            write: id,
        };
        let network = self.network_mut();
        let faults = network.faults;
        if network.random.chance(faults.slow_writes) {
            let write = Message::Write {
                transaction,
                respond_to: Some(to),
            };
            return network.send_within(now, SLOW_WRITE_DELAY, write);
        }
        let timed_out = network.random.chance(faults.timed_out_writes);
        let response_lost = network.random.chance(faults.lost_write_responses);
        if timed_out || response_lost {
            let timeout = Message::WriteTimeout {
                to,
                transaction: transaction.clone(),
            };
            network.send(now + WRITE_TIMEOUT_S, timeout);
        }
        if timed_out {
            let write = Message::Write {
                transaction,
                respond_to: None,
            };
            return self
                .network_mut()
                .send_within(now, TIMED_OUT_WRITE_DELAY, write);
        }
        self.apply_write(transaction, (!response_lost).then_some(to));
    }

    /// Applies a write; its controller receives the outcome unless the response is lost.
    fn apply_write(&mut self, transaction: Transaction, respond_to: Option<WriteId>) {
        let result = self.store.commit(&transaction);
        self.check_write_size(&transaction, &result);
        let written = match result {
            Ok(revision) => WriteOutcome::Applied(revision),
            Err(_) => self.store.indeterminate_outcome(&transaction),
        };
        let now = self.now;
        if let Some(to) = respond_to {
            self.with_controller(to.leader, |manager| {
                manager.write_finished(to.write, written, now);
            });
        }
    }

    /// Delivers all messages that are due.
    pub(crate) fn deliver_due(&mut self) {
        let now = self.now;
        for message in self.network_mut().due(now) {
            self.deliver_message(message);
            self.apply_effects();
        }
    }

    /// Delivers one message.
    fn deliver_message(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Command {
                machine,
                batch,
                respond_to,
            } => self.deliver_command(&machine, batch, respond_to),
            Message::CommandResponse {
                to,
                machine,
                result,
            } => self.with_controller(to, |manager| {
                manager.commands_finished(&machine, result, now);
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
                response,
            } => {
                let i = self
                    .worker_index(&machine)
                    .expect("a machine that sent a heartbeat");
                let w = &self.workers[i];
                let awaited = w.incarnation == incarnation
                    && w.awaited_response.is_some_and(|a| a.sequence == sequence);
                if awaited && !w.hung && w.is_up(now) {
                    self.accept_response(i, &response, sent);
                }
            }
            Message::Write {
                transaction,
                respond_to,
            } => self.apply_write(transaction, respond_to),
            Message::WriteTimeout { to, transaction } => {
                let written = self.store.indeterminate_outcome(&transaction);
                self.with_controller(to.leader, |manager| {
                    manager.write_finished(to.write, written, now);
                });
            }
            Message::JobAccepted(record, version) => self.deliver_announcement(|manager| {
                manager.job_accepted(*record, version, 0, now);
            }),
            Message::JobFinished(id, state) => {
                self.deliver_announcement(|manager| manager.final_state_recorded(&id, state, now));
            }
        }
    }

    /// Delivers an announcement to the leader, if the state service, its source, is reachable.
    fn deliver_announcement(
        &mut self,
        notify: impl FnOnce(&mut stairstage::coordination::manager::ClusterManager),
    ) {
        if let Some(leader) = self.leader.as_mut().filter(|l| l.reaches_store) {
            notify(&mut leader.manager);
        }
    }

    /// Delivers direct commands, and sends the response if their sender still waits for it.
    fn deliver_command(
        &mut self,
        machine: &MachineName,
        batch: CommandBatch,
        respond_to: Option<u64>,
    ) {
        let now = self.now;
        let i = self.worker_index(machine).expect("a machine");
        let w = &mut self.workers[i];
        let (result, delay) = if w.hung || w.partitioned {
            w.held_commands.push(batch);
            (
                CommandOutcome::Indeterminate,
                DelayRange::new(COMMAND_TIMEOUT_S, COMMAND_TIMEOUT_S),
            )
        } else {
            (self.execute_commands(i, &batch), SLOW_COMMAND_DELAY)
        };
        if let Some(to) = respond_to {
            let machine = machine.clone();
            let response = Message::CommandResponse {
                to,
                machine,
                result,
            };
            self.network_mut().send_within(now, delay, response);
        }
    }

    /// Lets a worker apply the response to its last heartbeat, unless its token is outdated.
    pub(crate) fn accept_response(&mut self, i: usize, response: &HeartbeatResponse, sent: f64) {
        let now = self.now;
        let w = &mut self.workers[i];
        w.awaited_response = None;
        if response.token.0 < w.token {
            w.next_heartbeat_at = now + RETRY_S;
            return;
        }
        let started = w.apply_response(response, sent, now);
        self.check_starts(i, &started);
    }
}

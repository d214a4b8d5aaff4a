//! Requests of controllers to the state service, which may be delayed, lost, rejected or applied late.

use super::{
    Call, Cluster, ProcessId, SimulatedEvent, Watch, CLIENT_TIMEOUT, COMMIT_DELAY, LATENCY,
    SLOW_LATENCY, SLOW_PROBABILITY,
};
use crate::lease_store::{Micros, SECOND};
use stairstage::coordination::election::{Input, Operation};
use stairstage::protocol::store::Events;
use stairstage::storage::key_value_store::{CommitOutcome, Renewal, Unavailable};
use std::time::Duration;

impl Cluster {
    /// The latency of the next message.
    pub(super) fn latency(&mut self) -> Micros {
        let range = if self.random.chance(SLOW_PROBABILITY) {
            SLOW_LATENCY
        } else {
            LATENCY
        };
        self.random.within(range)
    }

    /// Sends a call of a process to the state service.
    pub(super) fn send(&mut self, id: ProcessId, call: Call) {
        if self.process(id).is_none() {
            return;
        }
        if let Call::Election { number, operation } = &call {
            let timeout = self.now + timeout_of(operation);
            let input = without_response(operation);
            self.schedule(timeout, response(id, *number, input));
        }
        let faults = &self.controllers[id.controller].faults;
        let partitioned_until = faults.partitioned_until;
        let is_delayed = faults.commits_delayed_until > self.now && is_commit(&call);
        if self.now < partitioned_until {
            return self.send_into_partition(id, call, partitioned_until);
        }
        if is_delayed && self.random.chance(self.fault_rate) {
            let at = self.now + self.random.within(COMMIT_DELAY);
            return self.schedule_arrival(at, id, call, false);
        }
        let at = self.now + self.latency();
        self.schedule_arrival(at, id, call, true);
    }

    /// Schedules the arrival of a call. It gets a response only if `is_awaited`.
    fn schedule_arrival(&mut self, at: Micros, id: ProcessId, call: Call, is_awaited: bool) {
        let arrival = SimulatedEvent::Arrive {
            id,
            call,
            is_awaited,
        };
        self.schedule(at, arrival);
    }

    /// Sends a call during a partition. Either the connection fails, or the call is held back until the
    /// partition ends.
    pub(super) fn send_into_partition(&mut self, id: ProcessId, call: Call, until: Micros) {
        if self.random.chance(0.5) {
            return self.schedule_arrival(until, id, call, false);
        }
        if let Call::Election { number, operation } = call {
            let at = self.now + self.latency();
            self.schedule(at, response(id, number, rejected(&operation)));
        }
    }

    /// Handles a call that arrives at the state service.
    pub(super) fn arrive(&mut self, id: ProcessId, call: Call, is_awaited: bool) {
        let is_rejected = self.controllers[id.controller].faults.rejected_until > self.now;
        if (self.store.outage || is_rejected) && !is_watch(&call) {
            match (is_awaited, call) {
                // A delayed call is retried until the outage is over.
                (false, call) => {
                    let at = self.now + SECOND / 2;
                    self.schedule_arrival(at, id, call, false);
                }
                (true, Call::Election { number, operation }) => {
                    self.respond(id, number, rejected(&operation));
                }
                (true, Call::Write { .. }) => {}
            }
            return;
        }
        match call {
            Call::Write { token } => self.write_arrived(id, token),
            Call::Election { number, operation } => {
                let is_commit = matches!(operation, Operation::Commit { .. });
                let input = self.execute_in_store(id, number, operation);
                let is_lost = is_commit && self.loses_response(id);
                if let Some(input) = input.filter(|_| is_awaited && !is_lost) {
                    self.respond(id, number, input);
                }
            }
        }
    }

    /// Whether the response to a call of this process is lost.
    pub(super) fn loses_response(&mut self, id: ProcessId) -> bool {
        let is_faulty = self.controllers[id.controller].faults.responses_lost_until > self.now;
        is_faulty && self.random.chance(self.fault_rate)
    }

    /// Sends a process the response to one of its operations.
    fn respond(&mut self, id: ProcessId, operation_number: u64, input: Input) {
        self.deliver(id, response(id, operation_number, input));
    }

    /// Delivers a response to a process, unless its controller is partitioned.
    pub(super) fn deliver(&mut self, id: ProcessId, response: SimulatedEvent) {
        if self.controllers[id.controller].faults.partitioned_until <= self.now {
            let at = self.now + self.latency();
            self.schedule(at, response);
        }
    }

    /// Executes an operation in the state service. The response to a watch comes later.
    pub(super) fn execute_in_store(
        &mut self,
        id: ProcessId,
        number: u64,
        operation: Operation,
    ) -> Option<Input> {
        Some(match operation {
            Operation::Read { .. } => Input::Read(Ok(self.store.leader())),
            Operation::Watch { after, hold } => {
                self.watches.push(Watch {
                    id,
                    operation_number: number,
                    after,
                });
                let at = self.now + hold.as_micros() as Micros;
                let timeout = SimulatedEvent::WatchTimeout {
                    id,
                    operation_number: number,
                };
                self.schedule(at, timeout);
                return None;
            }
            Operation::Grant { lease_duration } => {
                let life = lease_duration.as_micros() as Micros;
                Input::Granted(Ok(self.store.grant(life, self.now)))
            }
            Operation::Commit { transaction, .. } => {
                Input::Committed(self.store.commit(&transaction))
            }
            Operation::Renew { lease, .. } => {
                let renewal = self.store.renew(lease, self.now);
                // A delayed renewal extends the lease, too.
                if let Some(unknown) = &mut self.unknown_record {
                    unknown.since = self.now;
                }
                Input::Renewed(renewal)
            }
            Operation::Release { lease } => {
                self.store.release(lease);
                Input::Released
            }
            Operation::Wait { .. } => return None,
        })
    }

    /// Responds to a watch without changes, unless it already had a response.
    pub(super) fn watch_timed_out(&mut self, id: ProcessId, operation_number: u64) {
        let is_meant = |watch: &Watch| watch.id == id && watch.operation_number == operation_number;
        let Some(position) = self.watches.iter().position(is_meant) else {
            return;
        };
        self.watches.swap_remove(position);
        if !self.store.outage && self.controllers[id.controller].faults.rejected_until <= self.now {
            let events = self.store.leader_changes_after(u64::MAX);
            self.respond(id, operation_number, watched(events));
        }
    }

    /// Responds to the watches for which there are changes.
    pub(super) fn notify_watches(&mut self) {
        if self.store.outage {
            return;
        }
        for position in (0..self.watches.len()).rev() {
            let Watch {
                id,
                operation_number,
                after,
            } = self.watches[position];
            let is_rejected = self.controllers[id.controller].faults.rejected_until > self.now;
            let events = self.store.leader_changes_after(after);
            if !is_rejected && !events.events.is_empty() {
                self.watches.swap_remove(position);
                self.respond(id, operation_number, watched(events));
            }
        }
    }

    /// Handles the outcome of an operation, unless the process already had one.
    pub(super) fn responded(&mut self, id: ProcessId, operation_number: u64, input: Input) {
        let process = self.process(id);
        if process.is_some_and(|process| process.operation_number == operation_number) {
            self.handle(id, input);
        }
    }
}

/// The arrival of a response at a process.
fn response(id: ProcessId, operation_number: u64, input: Input) -> SimulatedEvent {
    SimulatedEvent::Respond {
        id,
        operation_number,
        input,
    }
}

/// Whether a call is a transaction.
fn is_commit(call: &Call) -> bool {
    match call {
        Call::Election { operation, .. } => matches!(operation, Operation::Commit { .. }),
        Call::Write { .. } => true,
    }
}

/// Whether a call is a watch.
fn is_watch(call: &Call) -> bool {
    matches!(
        call,
        Call::Election {
            operation: Operation::Watch { .. },
            ..
        }
    )
}

/// The input of an election for the response to a watch.
fn watched(events: Events) -> Input {
    Input::Watched(Ok(Some(events)))
}

/// The timeout of an operation.
fn timeout_of(operation: &Operation) -> Micros {
    let micros = |duration: &Duration| duration.as_micros() as Micros;
    match operation {
        Operation::Read { timeout } | Operation::Commit { timeout, .. } => {
            timeout.as_ref().map_or(CLIENT_TIMEOUT, micros)
        }
        Operation::Renew { timeout, .. } => micros(timeout),
        Operation::Watch { hold, .. } => micros(hold) + CLIENT_TIMEOUT,
        Operation::Grant { .. } | Operation::Release { .. } | Operation::Wait { .. } => {
            CLIENT_TIMEOUT
        }
    }
}

/// The outcome of an operation without a response.
fn without_response(operation: &Operation) -> Input {
    match operation {
        Operation::Commit { .. } => Input::Committed(CommitOutcome::Indeterminate),
        other => rejected(other),
    }
}

/// The outcome of an operation that the state service rejects.
fn rejected(operation: &Operation) -> Input {
    match operation {
        Operation::Read { .. } => Input::Read(Err(Unavailable)),
        Operation::Watch { .. } => Input::Watched(Err(Unavailable)),
        Operation::Grant { .. } => Input::Granted(Err(Unavailable)),
        Operation::Commit { .. } => Input::Committed(CommitOutcome::Rejected),
        Operation::Renew { .. } => Input::Renewed(Renewal::Unavailable),
        Operation::Release { .. } => Input::Released,
        Operation::Wait { .. } => Input::Elapsed,
    }
}

//! Controller processes: the steps of their elections, the events that they handle, and the writes of
//! leaders.

use super::{
    Call, Cluster, ModelTerm, ProcessId, SimulatedEvent, CONTROLLER_DELAY, WRITE_INTERVAL,
    WRITTEN_KEY,
};
use stairstage::coordination::election::{ElectionEvent, ElectionRequest, Input, Operation, Step};
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::store::Transaction;
use stairstage::storage::key_value_store::CommitOutcome;
use stairstage::storage::records::LEADER_KEY;

impl Cluster {
    /// Makes a controller step down if it leads.
    pub(crate) fn step_down(&mut self, controller: usize) {
        let Some(process) = &mut self.controllers[controller].process else {
            return;
        };
        if let Some(term) = process.term.take() {
            let term = FencingToken(term.first_token);
            self.request(controller, ElectionRequest::StepDown { term });
        }
    }

    /// Makes a controller request a higher token if it leads.
    pub(crate) fn raise_token(&mut self, controller: usize) {
        let Some(process) = &mut self.controllers[controller].process else {
            return;
        };
        if let Some(term) = process.term.as_mut().filter(|term| !term.raising) {
            term.raising = true;
            let term = FencingToken(term.first_token);
            self.request(controller, ElectionRequest::RaiseToken { term });
        }
    }

    /// Passes an input to the election of a process, and applies the resulting step.
    pub(super) fn handle(&mut self, id: ProcessId, input: Input) {
        let now = self.local_time(id.controller);
        if let Some(process) = self.process(id) {
            let step = process.election.handle(input, now);
            self.apply_step(id, step);
        }
    }

    /// Schedules the events and the operation of a step.
    pub(super) fn apply_step(&mut self, id: ProcessId, step: Step) {
        let is_slow = self.controllers[id.controller].faults.controller_slow_until > self.now;
        let now = self.now;
        let Some(process) = self.process(id) else {
            return;
        };
        process.operation_number += 1;
        process.operation = step.operation.clone();
        let number = process.operation_number;
        let delay = if is_slow { CONTROLLER_DELAY } else { 0 };
        process.notified_at = process.notified_at.max(now + delay);
        let notified_at = process.notified_at;
        for event in step.events {
            self.record_token(id, &event);
            self.schedule(notified_at, SimulatedEvent::Notified(id, event));
        }
        match step.operation {
            Operation::Wait { until } => self.wait(id, number, until),
            operation => {
                let call = Call::Election { number, operation };
                self.schedule(now, SimulatedEvent::Send(id, call));
            }
        }
    }

    /// Records a token that a process was given, and checks that the token belongs to its controller and
    /// exceeds the earlier ones.
    pub(super) fn record_token(&mut self, id: ProcessId, event: &ElectionEvent) {
        let token = match event {
            ElectionEvent::Elected { token } | ElectionEvent::TokenRaised(Some(token)) => token.0,
            _ => return,
        };
        let name = &self.controllers[id.controller].name;
        assert_eq!(
            self.store.leader_versions.get(&token),
            Some(name),
            "the state service has given this token to another controller, or to none"
        );
        let Some(process) = self.process(id) else {
            return;
        };
        let last = process.tokens.last().copied();
        assert!(last < Some(token), "token {token} after {last:?}");
        process.tokens.insert(token);
    }

    /// Lets a process wait until `until` by its clock, or not at all if it has a request to handle.
    pub(super) fn wait(&mut self, id: ProcessId, operation_number: u64, until: f64) {
        let Some(process) = self.process(id) else {
            return;
        };
        let at = if process.requests.is_empty() {
            self.real_time(id.controller, until).max(self.now)
        } else {
            self.now
        };
        let over = SimulatedEvent::WaitOver {
            id,
            operation_number,
        };
        self.schedule(at, over);
    }

    /// Ends a wait of a process.
    pub(super) fn wait_over(&mut self, id: ProcessId, operation_number: u64) {
        let Some(process) = self.process(id) else {
            return;
        };
        if process.operation_number != operation_number {
            return;
        }
        let input = match process.requests.pop_front() {
            Some(request) => Input::Requested(request),
            None => Input::Elapsed,
        };
        self.handle(id, input);
    }

    /// Queues a request for the election of a controller.
    pub(super) fn request(&mut self, controller: usize, request: ElectionRequest) {
        let Some(id) = self.process_id(controller) else {
            return;
        };
        let Some(process) = self.process(id) else {
            return;
        };
        process.requests.push_back(request);
        if matches!(process.operation, Operation::Wait { .. }) {
            let operation_number = process.operation_number;
            let over = SimulatedEvent::WaitOver {
                id,
                operation_number,
            };
            self.schedule(self.now, over);
        }
    }

    /// A controller handles an event of its election.
    pub(super) fn notified(&mut self, id: ProcessId, event: ElectionEvent) {
        let now = self.local_time(id.controller);
        let Some(process) = self.process(id) else {
            return;
        };
        match (event, &mut process.term) {
            (ElectionEvent::Elected { token }, term) => {
                *term = Some(ModelTerm {
                    first_token: token.0,
                    token: token.0,
                    valid_until: now,
                    raising: false,
                });
                self.elections += 1;
            }
            (ElectionEvent::LeaseExtended { valid_until }, Some(term)) => {
                term.valid_until = valid_until;
            }
            (ElectionEvent::TokenRaised(token), Some(term)) => {
                term.raising = false;
                term.token = term.token.max(token.map_or(0, |token| token.0));
            }
            (ElectionEvent::TermEnded, term) => *term = None,
            _ => {}
        }
    }

    /// Sends the periodic write of a leader whose lease is valid by its own clock, and schedules the next
    /// one.
    pub(super) fn write(&mut self, id: ProcessId) {
        if self.process(id).is_none() {
            return;
        }
        if let Some(token) = self.valid_token(id.controller) {
            self.schedule(self.now, SimulatedEvent::Send(id, Call::Write { token }));
        }
        self.schedule(self.now + WRITE_INTERVAL, SimulatedEvent::WriteDue(id));
    }

    /// Applies a write that arrives at the state service, and asserts that only a write with the latest token
    /// succeeds.
    pub(super) fn write_arrived(&mut self, id: ProcessId, token: u64) {
        let value = serde_json::json!(token);
        let write = Transaction::default()
            .version(LEADER_KEY, token)
            .put(WRITTEN_KEY, value);
        match self.store.commit(&write) {
            CommitOutcome::Applied(_) => {
                let last = self.store.leader_versions.last_key_value();
                let last = last.map(|(version, _)| *version);
                assert_eq!(last, Some(token), "a write of a deposed leader was applied");
            }
            _ => {
                let leader_version = self.store.version(LEADER_KEY);
                let failure = SimulatedEvent::WriteFailed { id, leader_version };
                self.deliver(id, failure);
            }
        }
    }

    /// A controller reads the leader's record after a failed write. It steps down if the record has a later
    /// version or is gone, unless it is raising its token.
    pub(super) fn write_failed(&mut self, id: ProcessId, leader_version: u64) {
        let Some(process) = self.process(id) else {
            return;
        };
        let lost = process.term.as_ref().is_some_and(|term| {
            (leader_version > term.token || leader_version == 0) && !term.raising
        });
        if lost {
            self.deposed_by_conflict += 1;
            self.step_down(id.controller);
        }
    }
}

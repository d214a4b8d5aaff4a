//! Nodes: what they decide on inputs, what their controllers are told, and what leaders write.

use super::{
    Call, Cluster, ModelTerm, Occurrence, ProcessId, SETTING_KEY, SLOW_CONTROLLER, WRITE_INTERVAL,
};
use stairstage::coordination::election::{ElectionEvent, ElectionRequest, Input, Operation, Step};
use stairstage::protocol::store::Transaction;
use stairstage::storage::key_value_store::CommitOutcome;
use stairstage::storage::records::LEADER_KEY;

impl Cluster {
    /// The controller hands over, if it leads.
    pub(crate) fn resign(&mut self, node: usize) {
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        if let Some(term) = process.term.take() {
            let term = term.first_token;
            self.request(node, ElectionRequest::Resign { term });
        }
    }

    /// The controller asks for a higher token, if it leads.
    pub(crate) fn raise_token(&mut self, node: usize) {
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        if let Some(term) = process.term.as_mut().filter(|term| !term.raising) {
            term.raising = true;
            let term = term.first_token;
            self.request(node, ElectionRequest::RaiseToken { term });
        }
    }

    pub(super) fn handle(&mut self, by: ProcessId, input: Input) {
        let now = self.local_time(by.node);
        if let Some(process) = self.process(by) {
            let step = process.election.handle(input, now);
            self.carry_out(by, step);
        }
    }

    pub(super) fn carry_out(&mut self, by: ProcessId, step: Step) {
        let slow = self.nodes[by.node].troubles.slow_controller > self.now;
        let now = self.now;
        let Some(process) = self.process(by) else {
            return;
        };
        process.operation_number += 1;
        process.operation = step.operation.clone();
        let number = process.operation_number;
        let delay = if slow { SLOW_CONTROLLER } else { 0 };
        process.notified_at = process.notified_at.max(now + delay);
        let notified_at = process.notified_at;
        for event in step.events {
            self.note_token(by, &event);
            self.schedule(notified_at, Occurrence::Notified(by, event));
        }
        match step.operation {
            Operation::Wait { until } => self.wait(by, number, until),
            operation => {
                let call = Call::Election { number, operation };
                self.schedule(now, Occurrence::Send(by, call));
            }
        }
    }

    pub(super) fn note_token(&mut self, by: ProcessId, event: &ElectionEvent) {
        let token = match event {
            ElectionEvent::Elected { token } | ElectionEvent::TokenRaised(Some(token)) => *token,
            _ => return,
        };
        let name = &self.nodes[by.node].name;
        assert_eq!(
            self.store.leader_versions.get(&token),
            Some(name),
            "the state service has given this token to another node, or to none"
        );
        let Some(process) = self.process(by) else {
            return;
        };
        let last = process.tokens.last().copied();
        assert!(last < Some(token), "token {token} after {last:?}");
        process.tokens.insert(token);
    }

    pub(super) fn wait(&mut self, by: ProcessId, number: u64, until: f64) {
        let Some(process) = self.process(by) else {
            return;
        };
        let at = if process.requests.is_empty() {
            self.real_time(by.node, until).max(self.now)
        } else {
            self.now
        };
        self.schedule(at, Occurrence::WaitOver(by, number));
    }

    pub(super) fn wait_over(&mut self, by: ProcessId, number: u64) {
        let Some(process) = self.process(by) else {
            return;
        };
        if process.operation_number != number {
            return;
        }
        let input = match process.requests.pop_front() {
            Some(request) => Input::Requested(request),
            None => Input::Elapsed,
        };
        self.handle(by, input);
    }

    pub(super) fn request(&mut self, node: usize, request: ElectionRequest) {
        let Some(by) = self.process_id(node) else {
            return;
        };
        let Some(process) = self.process(by) else {
            return;
        };
        process.requests.push_back(request);
        if matches!(process.operation, Operation::Wait { .. }) {
            let number = process.operation_number;
            self.schedule(self.now, Occurrence::WaitOver(by, number));
        }
    }

    pub(super) fn notified(&mut self, by: ProcessId, event: ElectionEvent) {
        let now = self.local_time(by.node);
        let Some(process) = self.process(by) else {
            return;
        };
        match (event, &mut process.term) {
            (ElectionEvent::Elected { token }, term) => {
                *term = Some(ModelTerm {
                    first_token: token,
                    token,
                    valid_until: now,
                    raising: false,
                });
                self.elections += 1;
            }
            (ElectionEvent::LeaseExtended { valid_until }, Some(term)) => {
                term.valid_until = valid_until
            }
            (ElectionEvent::TokenRaised(token), Some(term)) => {
                term.raising = false;
                term.token = term.token.max(token.unwrap_or(0));
            }
            (ElectionEvent::Deposed, term) => *term = None,
            _ => {}
        }
    }

    /// A leader writes something every now and then, as long as it trusts its lease.
    pub(super) fn write(&mut self, by: ProcessId) {
        if self.process(by).is_none() {
            return;
        }
        if let Some(token) = self.valid_token(by.node) {
            self.schedule(self.now, Occurrence::Send(by, Call::Write { token }));
        }
        self.schedule(self.now + WRITE_INTERVAL, Occurrence::WriteDue(by));
    }

    pub(super) fn write_arrived(&mut self, by: ProcessId, token: u64) {
        let value = serde_json::json!(token);
        let write = Transaction::default()
            .version(LEADER_KEY, token)
            .put(SETTING_KEY, value);
        match self.store.commit(&write) {
            CommitOutcome::Applied(_) => {
                let last = self.store.leader_versions.last_key_value();
                let last = last.map(|(version, _)| *version);
                assert_eq!(last, Some(token), "a write of a deposed leader was applied");
            }
            _ => {
                let version = self.store.version(LEADER_KEY);
                self.reply(by, Occurrence::WriteFailed(by, version));
            }
        }
    }

    /// The controller takes the leader's record into account as it does after each failed write.
    pub(super) fn write_failed(&mut self, by: ProcessId, leader_version: u64) {
        let Some(process) = self.process(by) else {
            return;
        };
        let lost = process.term.as_ref().is_some_and(|term| {
            (leader_version > term.token || leader_version == 0) && !term.raising
        });
        if lost {
            self.deposed_by_conflict += 1;
            self.resign(by.node);
        }
    }
}

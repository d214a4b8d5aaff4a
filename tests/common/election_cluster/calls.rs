//! Calls of nodes to the state service: delayed, lost, refused, or carried out late.

use super::{
    Call, Cluster, Occurrence, ProcessId, Watch, CLIENT_TIMEOUT, LATE, LATENCY, SLOW_LATENCY,
    SLOW_SHARE,
};
use crate::lease_store::{Micros, SECOND};
use stairstage::coordination::election::{Input, Operation};
use stairstage::protocol::store::Events;
use stairstage::storage::key_value_store::{CommitOutcome, Renewal, Unavailable};
use std::time::Duration;

impl Cluster {
    pub(super) fn latency(&mut self) -> Micros {
        let (low, high) = if self.random.chance(SLOW_SHARE) {
            SLOW_LATENCY
        } else {
            LATENCY
        };
        self.random.between(low, high)
    }

    pub(super) fn send(&mut self, by: ProcessId, call: Call) {
        if self.process(by).is_none() {
            return;
        }
        if let Call::Election { number, operation } = &call {
            let timeout = self.now + timeout_of(operation);
            let input = unanswered(operation);
            self.schedule(timeout, Occurrence::Answer(by, *number, input));
        }
        let commits = is_commit(&call);
        let (cut, late) = {
            let troubles = &self.nodes[by.node].troubles;
            (troubles.cut, troubles.late_commits > self.now && commits)
        };
        if self.now < cut {
            return self.send_into_cut(by, call, cut);
        }
        if late && self.random.chance(self.trouble_share) {
            let at = self.now + self.random.between(LATE.0, LATE.1);
            return self.schedule(at, Occurrence::Arrive(by, call, false));
        }
        let at = self.now + self.latency();
        self.schedule(at, Occurrence::Arrive(by, call, true));
    }

    /// A connection cannot be made, or what is sent on one is held back.
    pub(super) fn send_into_cut(&mut self, by: ProcessId, call: Call, until: Micros) {
        if self.random.chance(0.5) {
            return self.schedule(until, Occurrence::Arrive(by, call, false));
        }
        if let Call::Election { number, operation } = call {
            let at = self.now + self.latency();
            self.schedule(at, Occurrence::Answer(by, number, refused(&operation)));
        }
    }

    pub(super) fn arrive(&mut self, by: ProcessId, call: Call, awaited: bool) {
        let refused_alone = self.nodes[by.node].troubles.refused > self.now;
        if (self.store.outage || refused_alone) && !is_watch(&call) {
            match (awaited, call) {
                // It is carried out after the outage, as it is late anyway.
                (false, call) => {
                    let at = self.now + SECOND / 2;
                    self.schedule(at, Occurrence::Arrive(by, call, false));
                }
                (true, Call::Election { number, operation }) => {
                    let input = refused(&operation);
                    self.reply(by, Occurrence::Answer(by, number, input));
                }
                (true, Call::Write { .. }) => {}
            }
            return;
        }
        match call {
            Call::Write { token } => self.write_arrived(by, token),
            Call::Election { number, operation } => {
                let commits = matches!(operation, Operation::Commit { .. });
                let input = self.carried_out(by, number, operation);
                let lost = commits && self.loses_answer(by);
                if let Some(input) = input.filter(|_| awaited && !lost) {
                    self.reply(by, Occurrence::Answer(by, number, input));
                }
            }
        }
    }

    pub(super) fn loses_answer(&mut self, by: ProcessId) -> bool {
        let troubled = self.nodes[by.node].troubles.answers_lost > self.now;
        troubled && self.random.chance(self.trouble_share)
    }

    pub(super) fn reply(&mut self, by: ProcessId, answer: Occurrence) {
        if self.nodes[by.node].troubles.cut <= self.now {
            let at = self.now + self.latency();
            self.schedule(at, answer);
        }
    }

    /// What the state service answers to an operation; a watch is answered later.
    pub(super) fn carried_out(
        &mut self,
        by: ProcessId,
        number: u64,
        operation: Operation,
    ) -> Option<Input> {
        Some(match operation {
            Operation::Read { .. } => Input::Read(Ok(self.store.leader())),
            Operation::Watch { after, hold } => {
                self.watches.push(Watch { by, number, after });
                let at = self.now + hold.as_micros() as Micros;
                self.schedule(at, Occurrence::WatchOver(by, number));
                return None;
            }
            Operation::Grant { life } => {
                let life = life.as_micros() as Micros;
                Input::Granted(Ok(self.store.grant(life, self.now)))
            }
            Operation::Commit { transaction, .. } => {
                Input::Committed(self.store.commit(&transaction))
            }
            Operation::Renew { lease, .. } => {
                let renewal = self.store.renew(lease, self.now);
                // A late copy of a renewal gives its lease another full time.
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

    pub(super) fn watch_over(&mut self, by: ProcessId, number: u64) {
        let asked = |watch: &Watch| watch.by == by && watch.number == number;
        let Some(position) = self.watches.iter().position(asked) else {
            return;
        };
        self.watches.swap_remove(position);
        if !self.store.outage && self.nodes[by.node].troubles.refused <= self.now {
            let events = self.store.leader_changes_after(u64::MAX);
            self.reply(by, Occurrence::Answer(by, number, watched(events)));
        }
    }

    pub(super) fn answer_watches(&mut self) {
        if self.store.outage {
            return;
        }
        for position in (0..self.watches.len()).rev() {
            let Watch { by, number, after } = self.watches[position];
            let refused = self.nodes[by.node].troubles.refused > self.now;
            let events = self.store.leader_changes_after(after);
            if !refused && !events.events.is_empty() {
                self.watches.swap_remove(position);
                self.reply(by, Occurrence::Answer(by, number, watched(events)));
            }
        }
    }

    pub(super) fn answered(&mut self, by: ProcessId, number: u64, input: Input) {
        let process = self.process(by);
        if process.is_some_and(|process| process.operation_number == number) {
            self.handle(by, input);
        }
    }
}

fn is_commit(call: &Call) -> bool {
    match call {
        Call::Election { operation, .. } => matches!(operation, Operation::Commit { .. }),
        Call::Write { .. } => true,
    }
}

fn is_watch(call: &Call) -> bool {
    matches!(
        call,
        Call::Election {
            operation: Operation::Watch { .. },
            ..
        }
    )
}

fn watched(events: Events) -> Input {
    Input::Watched(Ok(Some(events)))
}

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

/// How an operation ends that gets no answer.
fn unanswered(operation: &Operation) -> Input {
    match operation {
        Operation::Commit { .. } => Input::Committed(CommitOutcome::Unknown),
        other => refused(other),
    }
}

/// How an operation ends that is not carried out.
fn refused(operation: &Operation) -> Input {
    match operation {
        Operation::Read { .. } => Input::Read(Err(Unavailable)),
        Operation::Watch { .. } => Input::Watched(Err(Unavailable)),
        Operation::Grant { .. } => Input::Granted(Err(Unavailable)),
        Operation::Commit { .. } => Input::Committed(CommitOutcome::Refused),
        Operation::Renew { .. } => Input::Renewed(Renewal::Unavailable),
        Operation::Release { .. } => Input::Released,
        Operation::Wait { .. } => Input::Elapsed,
    }
}

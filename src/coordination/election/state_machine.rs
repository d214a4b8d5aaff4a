//! The election's state machine.

use super::messages::{CurrentLeader, ElectionEvent, Input, Operation, Step};
use super::term::{Term, TermEnd};
use crate::coordination::Time;
use crate::protocol::store::{Events, Transaction};
use crate::storage::key_value_store::{CommitOutcome, Unavailable};
use crate::storage::records::{LeaderRecord, LEADER_KEY};
use std::time::Duration;
use tracing::{debug, error, info, warn};

/// The share of a lease that counts as safe by this node's own clock, whatever its drift.
const SAFE: f64 = 0.98;
/// Renewals within a lease.
pub(super) const RENEWALS: u32 = 4;
/// Leases that a watch of the leader's record is held open for.
const WATCH_LEASES: u32 = 4;
/// A lease divided by this is the pause before a failed operation is tried again.
pub(super) const RETRIES: u32 = 8;

/// One node's part in the election.
pub struct Election {
    node: String,
    lease: Duration,
    state: State,
    /// What the controller is to be told with the next step.
    events: Vec<ElectionEvent>,
}

/// The operation whose end is awaited.
enum State {
    Reading,
    /// Another node leads; changes after this revision are awaited.
    Following {
        after: u64,
    },
    /// A lease is requested, to campaign against this version of the leader's record.
    Granting {
        version: u64,
        sent: Time,
    },
    /// The leader's record is written. The lease was requested at `sent`.
    Campaigning {
        lease: u64,
        sent: Time,
    },
    Releasing {
        next: AfterRelease,
    },
    Pausing {
        until: Time,
        next: AfterPause,
    },
    Leading(Term),
}

enum AfterRelease {
    /// The campaign was lost.
    Read,
    /// This node has resigned: others may campaign for as long as a lease.
    Abstain,
}

enum AfterPause {
    Read,
    Watch { after: u64 },
}

impl Election {
    /// An election of `node`, with leases of the given length.
    pub fn new(node: impl Into<String>, lease: Duration) -> Election {
        Election {
            node: node.into(),
            lease,
            state: State::Reading,
            events: Vec::new(),
        }
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        let operation = self.read();
        self.step(operation)
    }

    /// Takes in how the last operation ended, at this time of the node's clock.
    pub fn handle(&mut self, input: Input, now: Time) -> Step {
        let operation = match (std::mem::replace(&mut self.state, State::Reading), input) {
            (State::Reading, Input::Read(record)) => self.record_read(record, now),
            (State::Following { after }, Input::Watched(events)) => {
                self.watched(after, events, now)
            }
            (State::Granting { version, sent }, Input::Granted(lease)) => {
                self.granted(version, sent, lease, now)
            }
            (State::Campaigning { lease, sent }, Input::Committed(outcome)) => {
                self.campaigned(lease, sent, outcome, now)
            }
            (State::Releasing { next }, Input::Released) => self.released(next, now),
            // Requests are meant for a leader.
            (State::Pausing { until, next }, Input::Elapsed | Input::Requested(_)) => {
                self.paused(until, next, now)
            }
            (State::Leading(term), input) => self.lead(term, input, now),
            (_, input) => {
                error!("an operation ended unexpectedly: {input:?}");
                self.read()
            }
        };
        self.step(operation)
    }

    fn step(&mut self, operation: Operation) -> Step {
        Step {
            events: std::mem::take(&mut self.events),
            operation,
        }
    }

    fn read(&mut self) -> Operation {
        self.state = State::Reading;
        Operation::Read { timeout: None }
    }

    fn follow(&mut self, after: u64) -> Operation {
        self.state = State::Following { after };
        Operation::Watch {
            after,
            hold: self.lease * WATCH_LEASES,
        }
    }

    fn campaign(&mut self, version: u64, now: Time) -> Operation {
        self.state = State::Granting { version, sent: now };
        Operation::Grant { life: self.lease }
    }

    fn pause(&mut self, pause: Duration, next: AfterPause, now: Time) -> Operation {
        let until = now + pause.as_secs_f64();
        self.state = State::Pausing { until, next };
        Operation::Wait { until }
    }

    fn retry_later(&mut self, now: Time) -> Operation {
        self.pause(self.lease / RETRIES, AfterPause::Read, now)
    }

    fn release(&mut self, lease: u64, next: AfterRelease) -> Operation {
        self.state = State::Releasing { next };
        Operation::Release { lease }
    }

    fn record_read(
        &mut self,
        record: Result<Option<CurrentLeader>, Unavailable>,
        now: Time,
    ) -> Operation {
        match record {
            Err(Unavailable) => self.retry_later(now),
            Ok(None) => self.campaign(0, now),
            // This node's own record, of a process that has ended or of a campaign whose outcome is
            // unknown: nobody renews its lease.
            Ok(Some(leader)) if leader.node == self.node => self.campaign(leader.version, now),
            Ok(Some(leader)) => {
                self.events.push(ElectionEvent::Leader(Some(leader.node)));
                self.follow(leader.version)
            }
        }
    }

    fn watched(
        &mut self,
        after: u64,
        events: Result<Option<Events>, Unavailable>,
        now: Time,
    ) -> Operation {
        match events {
            Err(Unavailable) => self.pause(self.lease / RETRIES, AfterPause::Watch { after }, now),
            Ok(None) => self.read(),
            Ok(Some(changes)) => match changes.events.last() {
                None => self.follow(after.max(changes.revision)),
                Some(last) => {
                    if last.delete.is_some() {
                        debug!("nobody leads");
                        self.events.push(ElectionEvent::Leader(None));
                    }
                    self.read()
                }
            },
        }
    }

    fn granted(
        &mut self,
        version: u64,
        sent: Time,
        lease: Result<u64, Unavailable>,
        now: Time,
    ) -> Operation {
        let Ok(lease) = lease else {
            return self.retry_later(now);
        };
        self.state = State::Campaigning { lease, sent };
        Operation::Commit {
            transaction: leader_transaction(&self.node, version, lease),
            timeout: None,
        }
    }

    fn campaigned(
        &mut self,
        lease: u64,
        sent: Time,
        outcome: CommitOutcome,
        now: Time,
    ) -> Operation {
        match outcome {
            CommitOutcome::Applied(token) => {
                self.events.push(ElectionEvent::Elected { token });
                self.events.push(lease_event(sent, self.lease));
                let mut term = Term::new(self.node.clone(), token, lease, self.lease, now);
                let operation = term.next_operation(now);
                self.state = State::Leading(term);
                operation
            }
            CommitOutcome::Unknown
            | CommitOutcome::Refused
            | CommitOutcome::Limited
            | CommitOutcome::TooLarge => self.retry_later(now),
            CommitOutcome::Conflict(_) | CommitOutcome::NoLease => {
                self.release(lease, AfterRelease::Read)
            }
        }
    }

    fn released(&mut self, next: AfterRelease, now: Time) -> Operation {
        match next {
            AfterRelease::Read => self.read(),
            AfterRelease::Abstain => self.pause(self.lease, AfterPause::Read, now),
        }
    }

    fn paused(&mut self, until: Time, next: AfterPause, now: Time) -> Operation {
        if now < until {
            self.state = State::Pausing { until, next };
            return Operation::Wait { until };
        }
        match next {
            AfterPause::Read => self.read(),
            AfterPause::Watch { after } => self.follow(after),
        }
    }

    fn lead(&mut self, mut term: Term, input: Input, now: Time) -> Operation {
        match term.handle(input, now, &mut self.events) {
            Ok(operation) => {
                self.state = State::Leading(term);
                operation
            }
            Err(TermEnd::LeaseOver) => {
                warn!("the leadership lease is over");
                self.events.push(ElectionEvent::Deposed);
                self.read()
            }
            Err(TermEnd::Resigned) => {
                info!("hands leadership over");
                self.events.push(ElectionEvent::Deposed);
                self.release(term.lease(), AfterRelease::Abstain)
            }
        }
    }
}

/// A lease that was requested or renewed at `sent` holds at least until then.
pub(super) fn lease_event(sent: Time, lease: Duration) -> ElectionEvent {
    ElectionEvent::Lease {
        valid_until: sent + lease.as_secs_f64() * SAFE,
    }
}

/// Writes `node` as the leader, if the leader's record still has that version.
pub(super) fn leader_transaction(node: &str, version: u64, lease: u64) -> Transaction {
    let record = LeaderRecord {
        node: node.to_string(),
    };
    let value = serde_json::to_value(record).expect("plain data");
    Transaction::default()
        .version(LEADER_KEY, version)
        .put_leased(LEADER_KEY, value, lease)
}

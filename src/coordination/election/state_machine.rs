//! The election's state machine.

use super::leadership_lease::{self, leader_transaction, RETRIES_PER_LEASE};
use super::messages::{CurrentLeader, ElectionEvent, Input, Operation, Step};
use super::term::{Term, TermEnd};
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::store::{Events, LeaseId};
use crate::storage::outcome::{CommitOutcome, Unavailable};
use std::time::Duration;
use tracing::{debug, error, info, warn};

/// The time that a watch of the leader's record is held open for, in leases.
const WATCH_LEASES: u32 = 4;

/// One node's part in the election.
pub struct Election {
    node: String,
    lease_duration: Duration,
    state: State,
    /// Events for the controller, reported with the next step.
    events: Vec<ElectionEvent>,
}

/// The state by the operation that is in progress.
enum State {
    /// Reads the leader's record.
    Reading,
    /// Follows another node: watches the leader's record for changes after this revision.
    Following { after: u64 },
    /// Requests a lease, to campaign against this version of the leader's record.
    Granting { version: u64, requested_at: Time },
    /// Campaigns: writes the leader's record with a lease that was requested at that time.
    Campaigning { lease: LeaseId, requested_at: Time },
    /// Releases a lease.
    Releasing { next: AfterRelease },
    /// Pauses until that time.
    Pausing { until: Time, next: AfterPause },
    /// Leads.
    Leading(Term),
}

/// What follows when a lease is released.
enum AfterRelease {
    /// The campaign was lost: read who leads.
    Read,
    /// This node has resigned: let the others campaign for the duration of a lease.
    Abstain,
}

/// What follows a pause.
enum AfterPause {
    Read,
    Watch { after: u64 },
}

impl Election {
    /// The election of `node`, whose leadership leases last for `lease_duration`.
    pub fn new(node: impl Into<String>, lease_duration: Duration) -> Election {
        Election {
            node: node.into(),
            lease_duration,
            state: State::Reading,
            events: Vec::new(),
        }
    }

    /// The first step.
    pub fn start(&mut self) -> Step {
        let operation = self.read();
        self.step(operation)
    }

    /// Handles the outcome of the last operation at that time of the node's clock.
    pub fn handle(&mut self, input: Input, now: Time) -> Step {
        let operation = match (std::mem::replace(&mut self.state, State::Reading), input) {
            (State::Reading, Input::Read(record)) => self.record_read(record, now),
            (State::Following { after }, Input::Watched(events)) => {
                self.watched(after, events, now)
            }
            (
                State::Granting {
                    version,
                    requested_at,
                },
                Input::Granted(lease),
            ) => self.granted(version, requested_at, lease, now),
            (
                State::Campaigning {
                    lease,
                    requested_at,
                },
                Input::Committed(outcome),
            ) => self.campaign_ended(lease, requested_at, outcome, now),
            (State::Releasing { next }, Input::Released) => self.released(next, now),
            // Requests are meant for a leader; a node that pauses ignores them.
            (State::Pausing { until, next }, Input::Elapsed | Input::Requested(_)) => {
                self.paused(until, next, now)
            }
            (State::Leading(term), input) => self.lead(term, input, now),
            (_, input) => {
                error!(?input, "unexpected outcome of an election operation");
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
            hold: self.lease_duration * WATCH_LEASES,
        }
    }

    fn campaign(&mut self, version: u64, now: Time) -> Operation {
        self.state = State::Granting {
            version,
            requested_at: now,
        };
        Operation::Grant {
            life: self.lease_duration,
        }
    }

    fn pause(&mut self, duration: Duration, next: AfterPause, now: Time) -> Operation {
        let until = now + duration.as_secs_f64();
        self.state = State::Pausing { until, next };
        Operation::Wait { until }
    }

    fn retry(&mut self, next: AfterPause, now: Time) -> Operation {
        self.pause(self.lease_duration / RETRIES_PER_LEASE, next, now)
    }

    fn release(&mut self, lease: LeaseId, next: AfterRelease) -> Operation {
        self.state = State::Releasing { next };
        Operation::Release { lease }
    }

    fn record_read(
        &mut self,
        record: Result<Option<CurrentLeader>, Unavailable>,
        now: Time,
    ) -> Operation {
        match record {
            Err(Unavailable) => self.retry(AfterPause::Read, now),
            Ok(None) => self.campaign(0, now),
            // This node's own record, of an earlier process or of a campaign with an unknown outcome:
            // nobody renews its lease.
            Ok(Some(leader)) if leader.node == self.node => self.campaign(leader.version, now),
            Ok(Some(leader)) => {
                self.events
                    .push(ElectionEvent::LeaderObserved(Some(leader.node)));
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
            Err(Unavailable) => self.retry(AfterPause::Watch { after }, now),
            Ok(None) => self.read(),
            Ok(Some(changes)) => match changes.events.last() {
                None => self.follow(after.max(changes.revision)),
                Some(last) => {
                    if last.delete.is_some() {
                        debug!(node = %self.node, "the leader's record was deleted");
                        self.events.push(ElectionEvent::LeaderObserved(None));
                    }
                    self.read()
                }
            },
        }
    }

    fn granted(
        &mut self,
        version: u64,
        requested_at: Time,
        lease: Result<LeaseId, Unavailable>,
        now: Time,
    ) -> Operation {
        let Ok(lease) = lease else {
            return self.retry(AfterPause::Read, now);
        };
        self.state = State::Campaigning {
            lease,
            requested_at,
        };
        Operation::Commit {
            transaction: leader_transaction(&self.node, version, lease),
            timeout: None,
        }
    }

    fn campaign_ended(
        &mut self,
        lease: LeaseId,
        requested_at: Time,
        outcome: CommitOutcome,
        now: Time,
    ) -> Operation {
        match outcome {
            CommitOutcome::Applied(version) => {
                let token = FencingToken(version);
                self.events.push(ElectionEvent::Elected { token });
                self.events.push(leadership_lease::extended(
                    requested_at,
                    self.lease_duration,
                ));
                let mut term = Term::new(self.node.clone(), token, lease, self.lease_duration, now);
                let operation = term.next_operation(now);
                self.state = State::Leading(term);
                operation
            }
            CommitOutcome::Indeterminate
            | CommitOutcome::Rejected
            | CommitOutcome::RateLimited
            | CommitOutcome::TooLarge => self.retry(AfterPause::Read, now),
            CommitOutcome::Conflict(_) | CommitOutcome::LeaseExpired => {
                self.release(lease, AfterRelease::Read)
            }
        }
    }

    fn released(&mut self, next: AfterRelease, now: Time) -> Operation {
        match next {
            AfterRelease::Read => self.read(),
            AfterRelease::Abstain => self.pause(self.lease_duration, AfterPause::Read, now),
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
            Err(TermEnd::LeaseExpired) => {
                warn!(node = %self.node, token = %term.token(), "leadership lease expired");
                self.events.push(ElectionEvent::Deposed);
                self.read()
            }
            Err(TermEnd::Resigned) => {
                info!(node = %self.node, token = %term.token(), "resigning leadership");
                self.events.push(ElectionEvent::Deposed);
                self.release(term.lease(), AfterRelease::Abstain)
            }
        }
    }
}

//! The election's state machine.

use super::leadership_lease::{self, leader_transaction, RETRIES_PER_LEASE};
use super::messages::{CurrentLeader, ElectionEvent, Input, Operation, Step};
use super::term::{Term, TermEndReason};
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::store::{Events, LeaseId};
use crate::storage::outcome::{CommitOutcome, Unavailable};
use std::time::Duration;
use tracing::{debug, error, info, warn};

/// How long a watch of the leader record is held open, in lease durations.
const WATCH_LEASES: u32 = 4;

/// The election state machine of one controller.
pub struct Election {
    controller: String,
    lease_duration: Duration,
    state: State,
    /// Events to return with the next step.
    events: Vec<ElectionEvent>,
}

/// The state, which corresponds to the operation in progress.
enum State {
    /// Reading the leader record.
    Reading,
    /// Following another controller: watching the leader record for changes after this revision.
    Following { after: u64 },
    /// Requesting a lease, in order to campaign against this version of the leader record.
    Granting { version: u64, requested_at: Time },
    /// Campaigning: writing the leader record with the lease that was requested at that time.
    Campaigning { lease: LeaseId, requested_at: Time },
    /// Releasing a lease.
    Releasing { next: AfterRelease },
    /// Waiting until that time.
    Pausing { until: Time, next: AfterPause },
    /// Leading a term.
    Leading(Term),
}

/// The state after the release of a lease.
enum AfterRelease {
    /// The campaign was lost: read the leader record.
    Read,
    /// This controller has stepped down: do not campaign for one lease duration, so that another
    /// controller can win.
    Abstain,
}

/// The state after a pause.
enum AfterPause {
    Read,
    Watch { after: u64 },
}

impl Election {
    /// Creates the state machine of `controller`, which campaigns with leases of `lease_duration`.
    pub fn new(controller: impl Into<String>, lease_duration: Duration) -> Election {
        Election {
            controller: controller.into(),
            lease_duration,
            state: State::Reading,
            events: Vec::new(),
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> Step {
        let operation = self.read();
        self.step(operation)
    }

    /// Handles the outcome of the last operation. `now` is the time of this controller's clock.
    pub fn handle(&mut self, input: Input, now: Time) -> Step {
        let operation = match (std::mem::replace(&mut self.state, State::Reading), input) {
            (State::Reading, Input::Read(record)) => self.on_record(record, now),
            (State::Following { after }, Input::Watched(events)) => {
                self.on_watch_events(after, events, now)
            }
            (
                State::Granting {
                    version,
                    requested_at,
                },
                Input::Granted(lease),
            ) => self.on_lease_granted(version, requested_at, lease, now),
            (
                State::Campaigning {
                    lease,
                    requested_at,
                },
                Input::Committed(outcome),
            ) => self.on_campaign_outcome(lease, requested_at, outcome, now),
            (State::Releasing { next }, Input::Released) => self.on_released(next, now),
            // Requests apply to a term, so a controller that does not lead ignores them.
            (State::Pausing { until, next }, Input::Elapsed | Input::Requested(_)) => {
                self.on_pause_input(until, next, now)
            }
            (State::Leading(term), input) => self.on_term_input(term, input, now),
            (_, input) => {
                error!(
                    ?input,
                    "outcome does not match the election operation in progress, \
                     reading the leader record"
                );
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
            lease_duration: self.lease_duration,
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

    fn on_record(
        &mut self,
        record: Result<Option<CurrentLeader>, Unavailable>,
        now: Time,
    ) -> Operation {
        match record {
            Err(Unavailable) => self.retry(AfterPause::Read, now),
            Ok(None) => self.campaign(0, now),
            // The record names this controller: it was written by an earlier process or by a campaign
            // whose outcome is unknown. Its lease is not renewed by anyone, so campaign at once.
            Ok(Some(leader)) if leader.name == self.controller => {
                self.campaign(leader.version, now)
            }
            Ok(Some(leader)) => {
                self.events
                    .push(ElectionEvent::LeaderObserved(Some(leader.name)));
                self.follow(leader.version)
            }
        }
    }

    fn on_watch_events(
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
                        debug!(controller = %self.controller, "leader record deleted");
                        self.events.push(ElectionEvent::LeaderObserved(None));
                    }
                    self.read()
                }
            },
        }
    }

    fn on_lease_granted(
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
            transaction: leader_transaction(&self.controller, version, lease),
            timeout: None,
        }
    }

    fn on_campaign_outcome(
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
                self.events.push(leadership_lease::lease_extended(
                    requested_at,
                    self.lease_duration,
                ));
                let mut term = Term::new(
                    self.controller.clone(),
                    token,
                    lease,
                    self.lease_duration,
                    now,
                );
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

    fn on_released(&mut self, next: AfterRelease, now: Time) -> Operation {
        match next {
            AfterRelease::Read => self.read(),
            AfterRelease::Abstain => self.pause(self.lease_duration, AfterPause::Read, now),
        }
    }

    fn on_pause_input(&mut self, until: Time, next: AfterPause, now: Time) -> Operation {
        if now < until {
            self.state = State::Pausing { until, next };
            return Operation::Wait { until };
        }
        match next {
            AfterPause::Read => self.read(),
            AfterPause::Watch { after } => self.follow(after),
        }
    }

    fn on_term_input(&mut self, mut term: Term, input: Input, now: Time) -> Operation {
        match term.handle(input, now, &mut self.events) {
            Ok(operation) => {
                self.state = State::Leading(term);
                operation
            }
            Err(TermEndReason::LeaseExpired) => {
                warn!(controller = %self.controller, token = %term.token(), "leadership lease expired");
                self.events.push(ElectionEvent::TermEnded);
                self.read()
            }
            Err(TermEndReason::SteppedDown) => {
                info!(controller = %self.controller, token = %term.token(), "stepping down");
                self.events.push(ElectionEvent::TermEnded);
                self.release(term.lease(), AfterRelease::Abstain)
            }
        }
    }
}

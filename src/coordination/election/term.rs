//! A leader's term: it renews the lease for as long as the state service allows, and raises the
//! token when the controller asks for it.
//!
//! A raise whose answer is lost may be applied at any later time. It is conditional on the token that
//! it replaces, so it is repeated until one copy is known to be applied: all others then fail. Until
//! then the controller has no answer, and goes on expecting that its token may rise.

use super::messages::{CurrentLeader, ElectionEvent, ElectionRequest, Input, Operation};
use super::state_machine::{leader_transaction, lease_event, RENEWALS, RETRIES};
use crate::coordination::Time;
use crate::storage::key_value_store::{CommitOutcome, Renewal, Unavailable};
use std::time::Duration;
use tracing::error;

/// A lease divided by this bounds the time for a renewal.
const RENEWAL_TIMEOUTS: u32 = 2;
/// A lease divided by this bounds the time for one try to raise the token, as the renewals wait for
/// it meanwhile.
const RAISE_TIMEOUTS: u32 = 4;

/// Why a term ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum TermEnd {
    LeaseOver,
    Resigned,
}

pub(super) struct Term {
    node: String,
    first_token: u64,
    token: u64,
    lease: u64,
    lease_life: Duration,
    renew_at: Time,
    raise: Option<Raise>,
    activity: Activity,
}

/// The operation whose end is awaited.
#[derive(Clone, Copy)]
enum Activity {
    Waiting,
    Renewing { sent: Time },
    Raising,
    ReadingBack,
}

/// A raise of the token that is not decided yet.
#[derive(Clone, Copy)]
struct Raise {
    next: RaiseStep,
    not_before: Time,
    /// Whether a transaction went unanswered, so that it may be applied at any time.
    unanswered: bool,
}

#[derive(Clone, Copy)]
enum RaiseStep {
    Commit,
    ReadBack,
}

impl Term {
    pub(super) fn new(
        node: String,
        token: u64,
        lease: u64,
        lease_life: Duration,
        now: Time,
    ) -> Term {
        Term {
            node,
            first_token: token,
            token,
            lease,
            lease_life,
            renew_at: now + (lease_life / RENEWALS).as_secs_f64(),
            raise: None,
            activity: Activity::Waiting,
        }
    }

    pub(super) fn lease(&self) -> u64 {
        self.lease
    }

    /// Takes in how the last operation ended; returns the next one, or why the term is over.
    pub(super) fn handle(
        &mut self,
        input: Input,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) -> Result<Operation, TermEnd> {
        match (self.activity, input) {
            (Activity::Waiting, Input::Elapsed) => {}
            (Activity::Waiting, Input::Requested(request)) => self.requested(request, now)?,
            (Activity::Renewing { sent }, Input::Renewed(renewal)) => {
                self.renewed(sent, renewal, now, events)?;
            }
            (Activity::Raising, Input::Committed(outcome)) => {
                self.committed(outcome, now, events);
            }
            (Activity::ReadingBack, Input::Read(record)) => self.read_back(record, now, events),
            (_, input) => error!("an operation ended unexpectedly: {input:?}"),
        }
        Ok(self.next_operation(now))
    }

    /// Renewals go before everything else.
    pub(super) fn next_operation(&mut self, now: Time) -> Operation {
        if now >= self.renew_at {
            self.activity = Activity::Renewing { sent: now };
            return Operation::Renew {
                lease: self.lease,
                timeout: self.lease_life / RENEWAL_TIMEOUTS,
            };
        }
        match self.raise {
            Some(raise) if now >= raise.not_before => self.raise_operation(raise.next),
            Some(raise) => self.wait(self.renew_at.min(raise.not_before)),
            None => self.wait(self.renew_at),
        }
    }

    fn wait(&mut self, until: Time) -> Operation {
        self.activity = Activity::Waiting;
        Operation::Wait { until }
    }

    fn raise_operation(&mut self, step: RaiseStep) -> Operation {
        let timeout = Some(self.lease_life / RAISE_TIMEOUTS);
        match step {
            RaiseStep::Commit => {
                self.activity = Activity::Raising;
                Operation::Commit {
                    transaction: leader_transaction(&self.node, self.token, self.lease),
                    timeout,
                }
            }
            RaiseStep::ReadBack => {
                self.activity = Activity::ReadingBack;
                Operation::Read { timeout }
            }
        }
    }

    fn requested(&mut self, request: ElectionRequest, now: Time) -> Result<(), TermEnd> {
        match request {
            // The controller has asked before it knew of this term.
            request if request.term() != self.first_token => Ok(()),
            ElectionRequest::Resign { .. } => Err(TermEnd::Resigned),
            ElectionRequest::RaiseToken { .. } => {
                self.raise.get_or_insert(Raise {
                    next: RaiseStep::Commit,
                    not_before: now,
                    unanswered: false,
                });
                Ok(())
            }
        }
    }

    fn renewed(
        &mut self,
        sent: Time,
        renewal: Renewal,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) -> Result<(), TermEnd> {
        let pause = (self.lease_life / RENEWALS).as_secs_f64();
        match renewal {
            Renewal::Renewed => {
                events.push(lease_event(sent, self.lease_life));
                self.renew_at = sent + pause;
            }
            Renewal::Over => return Err(TermEnd::LeaseOver),
            Renewal::Unavailable => self.renew_at = now + pause / 2.0,
        }
        Ok(())
    }

    fn committed(&mut self, outcome: CommitOutcome, now: Time, events: &mut Vec<ElectionEvent>) {
        let unanswered = self.raise.is_some_and(|raise| raise.unanswered);
        match outcome {
            CommitOutcome::Applied(token) => self.raised(token, events),
            CommitOutcome::Unknown => self.continue_raise(RaiseStep::ReadBack, true, now),
            // An earlier copy was applied, or the leadership is lost.
            CommitOutcome::Conflict(_) if unanswered => {
                self.continue_raise(RaiseStep::ReadBack, true, now);
            }
            CommitOutcome::Conflict(_) | CommitOutcome::NoLease => self.not_raised(now, events),
            // This copy was not carried out, but an earlier one may be.
            CommitOutcome::Refused | CommitOutcome::Limited | CommitOutcome::TooLarge
                if unanswered =>
            {
                self.continue_raise(RaiseStep::Commit, true, now + self.retry_pause());
            }
            CommitOutcome::Refused | CommitOutcome::Limited | CommitOutcome::TooLarge => {
                self.raise = None;
                events.push(ElectionEvent::TokenRaised(None));
            }
        }
    }

    fn read_back(
        &mut self,
        record: Result<Option<CurrentLeader>, Unavailable>,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) {
        let retry_at = now + self.retry_pause();
        match record {
            Err(Unavailable) => self.continue_raise(RaiseStep::ReadBack, true, retry_at),
            Ok(Some(leader)) if leader.node == self.node && leader.version == self.token => {
                self.continue_raise(RaiseStep::Commit, true, retry_at);
            }
            Ok(Some(leader)) if leader.node == self.node => self.raised(leader.version, events),
            Ok(_) => self.not_raised(now, events),
        }
    }

    fn continue_raise(&mut self, next: RaiseStep, unanswered: bool, not_before: Time) {
        self.raise = Some(Raise {
            next,
            not_before,
            unanswered,
        });
    }

    fn raised(&mut self, token: u64, events: &mut Vec<ElectionEvent>) {
        self.token = token;
        self.raise = None;
        events.push(ElectionEvent::TokenRaised(Some(token)));
    }

    /// The record is no longer this term's: a renewal shows whether the lease is over.
    fn not_raised(&mut self, now: Time, events: &mut Vec<ElectionEvent>) {
        self.raise = None;
        self.renew_at = now;
        events.push(ElectionEvent::TokenRaised(None));
    }

    fn retry_pause(&self) -> f64 {
        (self.lease_life / RETRIES).as_secs_f64()
    }
}

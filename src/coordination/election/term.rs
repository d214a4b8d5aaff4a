//! A leader's term: it renews the leadership lease for as long as the state service allows, and raises
//! the fencing token on the controller's request.
//!
//! A raise is a transaction that rewrites the leader's record, conditional on the token that it
//! replaces. If its response is lost, the transaction may be applied at any later time. It is therefore
//! retried until one copy is known to be applied, which makes all others fail. Until then the
//! controller gets no response, and must expect that the token may rise.

use super::leadership_lease::{self, leader_transaction, RENEWALS_PER_LEASE, RETRIES_PER_LEASE};
use super::messages::{CurrentLeader, ElectionEvent, ElectionRequest, Input, Operation};
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::store::LeaseId;
use crate::storage::outcome::{CommitOutcome, Renewal, Unavailable};
use std::time::Duration;
use tracing::error;

/// The timeout of a renewal is a lease divided by this.
const RENEWAL_TIMEOUTS_PER_LEASE: u32 = 2;
/// The timeout of an attempt to raise the token is a lease divided by this. It is shorter, as
/// renewals wait for it.
const RAISE_TIMEOUTS_PER_LEASE: u32 = 4;

/// Why a term ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum TermEnd {
    /// The lease has expired.
    LeaseExpired,
    /// The controller has resigned; the lease is still to be released.
    Resigned,
}

/// The term of a leader.
pub(super) struct Term {
    node: String,
    /// The token that the term began with, which identifies it.
    first_token: FencingToken,
    /// The highest token that is known to be this term's.
    token: FencingToken,
    lease: LeaseId,
    lease_duration: Duration,
    renew_at: Time,
    raise: Option<TokenRaise>,
    in_progress: InProgress,
}

/// The operation in progress.
#[derive(Clone, Copy)]
enum InProgress {
    Wait,
    Renew { sent_at: Time },
    RaiseToken,
    ReadBack,
}

/// A raise of the token whose outcome is open.
#[derive(Clone, Copy)]
struct TokenRaise {
    next: RaiseStep,
    not_before: Time,
    /// Whether the outcome of a transaction is unknown, so that it may be applied at any time.
    is_indeterminate: bool,
}

/// The next step of a raise.
#[derive(Clone, Copy)]
enum RaiseStep {
    /// Rewrite the leader's record.
    Commit,
    /// Read the record, to learn whether an earlier transaction was applied.
    ReadBack,
}

impl Term {
    pub(super) fn new(
        node: String,
        token: FencingToken,
        lease: LeaseId,
        lease_duration: Duration,
        now: Time,
    ) -> Term {
        Term {
            node,
            first_token: token,
            token,
            lease,
            lease_duration,
            renew_at: now + (lease_duration / RENEWALS_PER_LEASE).as_secs_f64(),
            raise: None,
            in_progress: InProgress::Wait,
        }
    }

    pub(super) fn token(&self) -> FencingToken {
        self.token
    }

    pub(super) fn lease(&self) -> LeaseId {
        self.lease
    }

    /// Handles the outcome of the last operation; returns the next one, or why the term ended.
    pub(super) fn handle(
        &mut self,
        input: Input,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) -> Result<Operation, TermEnd> {
        match (self.in_progress, input) {
            (InProgress::Wait, Input::Elapsed) => {}
            (InProgress::Wait, Input::Requested(request)) => self.requested(request, now)?,
            (InProgress::Renew { sent_at }, Input::Renewed(renewal)) => {
                self.renewed(sent_at, renewal, now, events)?;
            }
            (InProgress::RaiseToken, Input::Committed(outcome)) => {
                self.raise_committed(outcome, now, events);
            }
            (InProgress::ReadBack, Input::Read(record)) => self.read_back(record, now, events),
            (_, input) => error!(?input, "unexpected outcome of an election operation"),
        }
        Ok(self.next_operation(now))
    }

    /// The next operation. Renewals take precedence.
    pub(super) fn next_operation(&mut self, now: Time) -> Operation {
        if now >= self.renew_at {
            self.in_progress = InProgress::Renew { sent_at: now };
            return Operation::Renew {
                lease: self.lease,
                timeout: self.lease_duration / RENEWAL_TIMEOUTS_PER_LEASE,
            };
        }
        match self.raise {
            Some(raise) if now >= raise.not_before => self.raise_operation(raise.next),
            Some(raise) => self.wait(self.renew_at.min(raise.not_before)),
            None => self.wait(self.renew_at),
        }
    }

    fn wait(&mut self, until: Time) -> Operation {
        self.in_progress = InProgress::Wait;
        Operation::Wait { until }
    }

    fn raise_operation(&mut self, step: RaiseStep) -> Operation {
        let timeout = Some(self.lease_duration / RAISE_TIMEOUTS_PER_LEASE);
        match step {
            RaiseStep::Commit => {
                self.in_progress = InProgress::RaiseToken;
                Operation::Commit {
                    transaction: leader_transaction(&self.node, self.token.0, self.lease),
                    timeout,
                }
            }
            RaiseStep::ReadBack => {
                self.in_progress = InProgress::ReadBack;
                Operation::Read { timeout }
            }
        }
    }

    /// Handles a request of the controller.
    fn requested(&mut self, request: ElectionRequest, now: Time) -> Result<(), TermEnd> {
        match request {
            // The controller did not know of this term yet.
            request if request.term() != self.first_token => Ok(()),
            ElectionRequest::Resign { .. } => Err(TermEnd::Resigned),
            ElectionRequest::RaiseToken { .. } => {
                self.raise.get_or_insert(TokenRaise {
                    next: RaiseStep::Commit,
                    not_before: now,
                    is_indeterminate: false,
                });
                Ok(())
            }
        }
    }

    fn renewed(
        &mut self,
        sent_at: Time,
        renewal: Renewal,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) -> Result<(), TermEnd> {
        let interval = (self.lease_duration / RENEWALS_PER_LEASE).as_secs_f64();
        match renewal {
            Renewal::Renewed => {
                events.push(leadership_lease::extended(sent_at, self.lease_duration));
                self.renew_at = sent_at + interval;
            }
            Renewal::Expired => return Err(TermEnd::LeaseExpired),
            Renewal::Unavailable => self.renew_at = now + interval / 2.0,
        }
        Ok(())
    }

    fn raise_committed(
        &mut self,
        outcome: CommitOutcome,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) {
        let is_indeterminate = self.raise.is_some_and(|raise| raise.is_indeterminate);
        match outcome {
            CommitOutcome::Applied(version) => self.raised(FencingToken(version), events),
            CommitOutcome::Indeterminate => self.continue_raise(RaiseStep::ReadBack, now),
            // An earlier copy was applied, or leadership is lost.
            CommitOutcome::Conflict(_) if is_indeterminate => {
                self.continue_raise(RaiseStep::ReadBack, now);
            }
            CommitOutcome::Conflict(_) | CommitOutcome::LeaseExpired => {
                self.not_raised(now, events);
            }
            // This copy was not applied, but an earlier one may be.
            CommitOutcome::Rejected | CommitOutcome::RateLimited | CommitOutcome::TooLarge
                if is_indeterminate =>
            {
                self.continue_raise(RaiseStep::Commit, now + self.retry_interval());
            }
            CommitOutcome::Rejected | CommitOutcome::RateLimited | CommitOutcome::TooLarge => {
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
        let retry_at = now + self.retry_interval();
        match record {
            Err(Unavailable) => self.continue_raise(RaiseStep::ReadBack, retry_at),
            Ok(Some(leader)) if leader.node == self.node && leader.version == self.token.0 => {
                self.continue_raise(RaiseStep::Commit, retry_at);
            }
            Ok(Some(leader)) if leader.node == self.node => {
                self.raised(FencingToken(leader.version), events);
            }
            Ok(_) => self.not_raised(now, events),
        }
    }

    /// Retries a raise of which a transaction may have been, or may yet be, applied.
    fn continue_raise(&mut self, next: RaiseStep, not_before: Time) {
        self.raise = Some(TokenRaise {
            next,
            not_before,
            is_indeterminate: true,
        });
    }

    fn raised(&mut self, token: FencingToken, events: &mut Vec<ElectionEvent>) {
        self.token = token;
        self.raise = None;
        events.push(ElectionEvent::TokenRaised(Some(token)));
    }

    /// The record is not this term's any more: a renewal shows whether the lease has expired.
    fn not_raised(&mut self, now: Time, events: &mut Vec<ElectionEvent>) {
        self.raise = None;
        self.renew_at = now;
        events.push(ElectionEvent::TokenRaised(None));
    }

    fn retry_interval(&self) -> f64 {
        (self.lease_duration / RETRIES_PER_LEASE).as_secs_f64()
    }
}

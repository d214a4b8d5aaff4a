//! A leader's term: renews the leadership lease until it expires, and raises the fencing token on the
//! controller's request.
//!
//! Raising the token means rewriting the leader record by compare-and-swap on the current token. If the
//! response to the transaction is lost, the transaction may still be applied later. It is therefore
//! retried until one of the attempts is known to be applied, which makes all others fail. Until then
//! the controller gets no response, and must allow for a change of the token at any time.

use super::leadership_lease::{self, leader_transaction, RENEWALS_PER_LEASE, RETRIES_PER_LEASE};
use super::messages::{CurrentLeader, ElectionEvent, ElectionRequest, Input, Operation};
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::store::LeaseId;
use crate::storage::outcome::{CommitOutcome, Renewal, Unavailable};
use std::time::Duration;
use tracing::error;

/// The timeout of a renewal is the lease duration divided by this.
const RENEWAL_TIMEOUTS_PER_LEASE: u32 = 2;
/// The timeout of an attempt to raise the token is the lease duration divided by this. It is shorter
/// than that of a renewal, because renewals wait while an attempt is in progress.
const RAISE_TIMEOUTS_PER_LEASE: u32 = 4;

/// Why a term ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum TermEndReason {
    /// The lease has expired.
    LeaseExpired,
    /// The controller has stepped down. The caller has to release the lease.
    SteppedDown,
}

/// The term of a leader.
pub(super) struct Term {
    controller: String,
    /// The first token of the term, which identifies the term.
    first_token: FencingToken,
    /// The highest token known to belong to this term.
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

/// A raise of the token that is not finished.
#[derive(Clone, Copy)]
struct TokenRaise {
    next: RaiseStep,
    not_before: Time,
    /// Whether the outcome of an earlier transaction is unknown, so that it may still be applied.
    is_indeterminate: bool,
}

/// The next step of a raise.
#[derive(Clone, Copy)]
enum RaiseStep {
    /// Rewrite the leader record.
    Commit,
    /// Read the record, to learn whether an earlier transaction was applied.
    ReadBack,
}

impl Term {
    pub(super) fn new(
        controller: String,
        token: FencingToken,
        lease: LeaseId,
        lease_duration: Duration,
        now: Time,
    ) -> Term {
        Term {
            controller,
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

    /// Handles the outcome of the last operation. Returns the next operation, or why the term ended.
    pub(super) fn handle(
        &mut self,
        input: Input,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) -> Result<Operation, TermEndReason> {
        match (self.in_progress, input) {
            (InProgress::Wait, Input::Elapsed) => {}
            (InProgress::Wait, Input::Requested(request)) => self.on_request(request, now)?,
            (InProgress::Renew { sent_at }, Input::Renewed(renewal)) => {
                self.on_renewal(sent_at, renewal, now, events)?;
            }
            (InProgress::RaiseToken, Input::Committed(outcome)) => {
                self.on_raise_outcome(outcome, now, events);
            }
            (InProgress::ReadBack, Input::Read(record)) => self.on_read_back(record, now, events),
            (_, input) => error!(
                ?input,
                "outcome does not match the election operation in progress"
            ),
        }
        Ok(self.next_operation(now))
    }

    /// Returns the next operation. Renewals take precedence over raises.
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
                    transaction: leader_transaction(&self.controller, self.token.0, self.lease),
                    timeout,
                }
            }
            RaiseStep::ReadBack => {
                self.in_progress = InProgress::ReadBack;
                Operation::Read { timeout }
            }
        }
    }

    fn on_request(&mut self, request: ElectionRequest, now: Time) -> Result<(), TermEndReason> {
        match request {
            // The request is for an earlier term.
            request if request.term() != self.first_token => Ok(()),
            ElectionRequest::StepDown { .. } => Err(TermEndReason::SteppedDown),
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

    fn on_renewal(
        &mut self,
        sent_at: Time,
        renewal: Renewal,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) -> Result<(), TermEndReason> {
        let interval = (self.lease_duration / RENEWALS_PER_LEASE).as_secs_f64();
        match renewal {
            Renewal::Renewed => {
                events.push(leadership_lease::lease_extended(
                    sent_at,
                    self.lease_duration,
                ));
                self.renew_at = sent_at + interval;
            }
            Renewal::Expired => return Err(TermEndReason::LeaseExpired),
            Renewal::Unavailable => self.renew_at = now + interval / 2.0,
        }
        Ok(())
    }

    fn on_raise_outcome(
        &mut self,
        outcome: CommitOutcome,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) {
        let is_indeterminate = self.raise.is_some_and(|raise| raise.is_indeterminate);
        match outcome {
            CommitOutcome::Applied(version) => self.finish_raise(FencingToken(version), events),
            CommitOutcome::Indeterminate => self.continue_raise(RaiseStep::ReadBack, now),
            // An earlier attempt was applied, or another controller leads.
            CommitOutcome::Conflict(_) if is_indeterminate => {
                self.continue_raise(RaiseStep::ReadBack, now);
            }
            CommitOutcome::Conflict(_) | CommitOutcome::LeaseExpired => {
                self.fail_raise(now, events);
            }
            // This attempt was not applied, but an earlier one may be.
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

    fn on_read_back(
        &mut self,
        record: Result<Option<CurrentLeader>, Unavailable>,
        now: Time,
        events: &mut Vec<ElectionEvent>,
    ) {
        let retry_at = now + self.retry_interval();
        match record {
            Err(Unavailable) => self.continue_raise(RaiseStep::ReadBack, retry_at),
            Ok(Some(leader))
                if leader.name == self.controller && leader.version == self.token.0 =>
            {
                self.continue_raise(RaiseStep::Commit, retry_at);
            }
            Ok(Some(leader)) if leader.name == self.controller => {
                self.finish_raise(FencingToken(leader.version), events);
            }
            Ok(_) => self.fail_raise(now, events),
        }
    }

    /// Continues a raise for which an indeterminate transaction has been sent.
    fn continue_raise(&mut self, next: RaiseStep, not_before: Time) {
        self.raise = Some(TokenRaise {
            next,
            not_before,
            is_indeterminate: true,
        });
    }

    fn finish_raise(&mut self, token: FencingToken, events: &mut Vec<ElectionEvent>) {
        self.token = token;
        self.raise = None;
        events.push(ElectionEvent::TokenRaised(Some(token)));
    }

    /// Ends a raise because the leader record no longer belongs to this term. Renews at once, to find
    /// out whether the lease has expired.
    fn fail_raise(&mut self, now: Time, events: &mut Vec<ElectionEvent>) {
        self.raise = None;
        self.renew_at = now;
        events.push(ElectionEvent::TokenRaised(None));
    }

    fn retry_interval(&self) -> f64 {
        (self.lease_duration / RETRIES_PER_LEASE).as_secs_f64()
    }
}

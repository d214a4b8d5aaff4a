//! The state machine that answers the polls of one controller.

mod read_results;

use super::comparison::{
    AbandonedComparison, ComparedPoll, Comparison, ComparisonResults, DecisionPlan, PollResult,
};
use super::dependency_checks::DependencyChecks;
use super::dependency_scan::DependencyScan;
use super::known_jobs::KnownJobs;
use super::limits::{Limits, COMPARISONS_SHARE, POLL_TIMEOUT_S};
use super::poll_queue::PollQueue;
use super::read_queue::{NextRead, ReadCall, ReadQueue};
use super::record_keys::RecordKey;
use super::retry_schedule::RetrySchedule;
use super::types::{CheckId, PendingPoll, Poll, PollEffect, PollId};
use crate::coordination::requests::answers::{status_without_counts, Answer};
use crate::coordination::requests::store_call::{StoreAnswer, StoreCall};
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::storage::key_value_store::CommitOutcome;
use crate::storage::records::JobFinalState;
use crate::storage::token_bucket::TokenBucket;

/// The minimum interval between comparisons that are not full, in requests at the rate limit. Further
/// polls can join the comparison in the meantime.
const BATCHING_REQUESTS: f64 = 2.0;
/// The share of a controller's requests per second that may be sent in a burst. The rest is spread
/// evenly, so that no second has more requests than the limit.
const BURST_SHARE: f64 = 0.2;
/// How long new polls are forwarded at once after the state service was unavailable.
const FORWARDING_S: f64 = 1.0;

/// Answers the polls of one controller.
///
/// A driver enqueues polls, calls [`PollBatcher::tick`] at the interval given by
/// [`PollBatcher::tick_interval_s`], executes the effects, and passes each response of the state service
/// to [`PollBatcher::on_answer`]. At most one call is in flight.
pub struct PollBatcher {
    limits: Limits,
    rate_limit: TokenBucket,
    queue: PollQueue,
    reads: ReadQueue,
    known_jobs: KnownJobs,
    dependencies: DependencyScan,
    checks: DependencyChecks,
    in_flight: Option<InFlightCall>,
    last_comparison_at: Time,
    /// Whether the last call was a comparison: reads and comparisons alternate.
    was_comparison_last: bool,
    /// The time until which polls are forwarded, since the state service was unavailable.
    forward_until: Time,
}

/// A call to the state service that awaits its response.
enum InFlightCall {
    Compare(Comparison),
    Read(ReadCall),
}

impl PollBatcher {
    /// A batcher without polls.
    pub fn new(limits: Limits) -> PollBatcher {
        let burst = (BURST_SHARE * limits.requests_per_s).max(1.0);
        let steady_per_s = (1.0 - BURST_SHARE) * limits.requests_per_s;
        let retries = RetrySchedule::new(limits.max_jobs, limits.polls_per_s());
        PollBatcher {
            limits,
            rate_limit: TokenBucket::new(steady_per_s, burst),
            queue: PollQueue::new(retries),
            reads: ReadQueue::new(limits.max_jobs),
            known_jobs: KnownJobs::new(limits.max_jobs, limits.confirmation_s),
            dependencies: DependencyScan::new(limits.max_jobs),
            checks: DependencyChecks::new(limits.max_jobs),
            in_flight: None,
            last_comparison_at: Time::NEG_INFINITY,
            was_comparison_last: false,
            forward_until: Time::NEG_INFINITY,
        }
    }

    /// Caches that a job was accepted, with its dependencies.
    pub fn job_accepted(&mut self, job: &str, waits_on: &[String]) {
        self.known_jobs.insert_accepted(job, waits_on);
    }

    /// Caches the recorded final state of a job.
    pub fn final_state_recorded(&mut self, job: &str, state: JobState) {
        self.known_jobs.insert_final_state(job, state);
    }

    /// Adds a poll. If the job's final state is known, the poll is answered at once.
    pub fn enqueue(&mut self, id: PollId, poll: Poll, now: Time) -> Vec<PollEffect> {
        if let Some(state) = self.known_jobs.final_state(&poll.job) {
            self.queue.forget_rejections(&poll.job);
            return report_final_state(id, &poll.job, state);
        }
        if now < self.forward_until {
            return vec![PollEffect::Forward(id)];
        }
        self.queue.push(PendingPoll {
            id,
            poll,
            enqueued_at: now,
        });
        Vec::new()
    }

    /// Adds a check of the dependencies that a submission names. If all are known, it is finished at once.
    pub fn check_dependencies(
        &mut self,
        id: CheckId,
        jobs: Vec<String>,
        now: Time,
    ) -> Vec<PollEffect> {
        match self.checks.add(id, jobs, &self.known_jobs, now) {
            Ok(result) => vec![PollEffect::DependenciesChecked(id, result)],
            Err(unread) => {
                for job in &unread {
                    self.reads.push(&RecordKey::open(job));
                }
                Vec::new()
            }
        }
    }

    /// Seconds until the next call of [`PollBatcher::tick`], or `None` if nothing is pending.
    pub fn tick_interval_s(&self) -> Option<f64> {
        let is_idle = self.checks.is_empty()
            && self.queue.is_empty()
            && self.reads.is_empty()
            && !self.dependencies.has_unconfirmed();
        (!is_idle).then_some(1.0 / self.limits.requests_per_s)
    }

    /// Starts the next call to the state service if one is due, and rejects the polls that can't be
    /// answered in time.
    pub fn tick(&mut self, now: Time) -> Vec<PollEffect> {
        let mut effects = self.queue.reject_expired(now);
        effects.extend(self.checks.end_expired(now));
        if self.in_flight.is_some() {
            return effects;
        }
        if self.reads.is_empty() {
            self.dependencies.reads_finished();
            self.checks.reads_finished();
        }
        let is_comparison_due = self.is_comparison_due(now);
        let has_reads = !self.reads.is_empty();
        if (is_comparison_due || has_reads) && self.rate_limit.take(now, 1.0) {
            let read_first = has_reads && (!is_comparison_due || self.was_comparison_last);
            let call = if read_first {
                self.begin_read()
            } else {
                self.begin_comparison(now).or_else(|| self.begin_read())
            };
            effects.extend(call.map(PollEffect::Store));
        }
        let max_len = self.max_compared_in_time(now);
        effects.extend(self.queue.reject_excess(max_len, now));
        effects
    }

    /// Handles the response to the call in flight.
    pub fn on_answer(&mut self, answer: StoreAnswer, now: Time) -> Vec<PollEffect> {
        match self.in_flight.take() {
            Some(InFlightCall::Compare(comparison)) => {
                self.on_compared(comparison, answer.commit_outcome(), now)
            }
            Some(InFlightCall::Read(ReadCall::Single(key))) => {
                self.on_single_read(&key, answer, now)
            }
            Some(InFlightCall::Read(ReadCall::Page { first })) => {
                self.on_page_read(&first, answer, now)
            }
            None => Vec::new(),
        }
    }

    fn is_comparison_due(&self, now: Time) -> bool {
        let batching_s = BATCHING_REQUESTS / self.limits.requests_per_s;
        let batching_s = batching_s.min(POLL_TIMEOUT_S / 2.0);
        let pending = self.queue.len_to_compare();
        let has_pending = pending > 0 || self.dependencies.has_unconfirmed();
        let is_full = pending >= self.limits.max_compares;
        has_pending && (is_full || now >= self.last_comparison_at + batching_s)
    }

    /// The number of polls that can be compared within the timeout of a poll.
    fn max_compared_in_time(&mut self, now: Time) -> usize {
        let refill = self.limits.requests_per_s * POLL_TIMEOUT_S;
        let requests = self.rate_limit.level(now) + refill;
        let comparisons = (COMPARISONS_SHARE * requests).ceil() as usize;
        comparisons * self.limits.polls_per_comparison()
    }

    fn begin_comparison(&mut self, now: Time) -> Option<StoreCall> {
        let mut comparison = Comparison::new(self.limits.max_compares, now);
        let max_dependencies = self.limits.polls_per_comparison();
        for pending in self.queue.take_ordered() {
            match DecisionPlan::of(&pending.poll, &self.known_jobs, max_dependencies, now) {
                DecisionPlan::ReadDependencies(jobs) => self.await_dependencies(pending, &jobs),
                DecisionPlan::ConfirmDependencies(jobs) => {
                    self.dependencies.add_unconfirmed(&jobs);
                    self.queue.push(pending);
                }
                DecisionPlan::Compare(keys) => {
                    if let Some(pending) = comparison.add(pending, keys) {
                        self.queue.push(pending);
                    }
                }
            }
        }
        let free_compares = comparison.free_compares();
        comparison.add_dependencies(self.dependencies.take_unconfirmed(free_compares));
        let transaction = comparison.transaction()?;
        self.last_comparison_at = now;
        self.was_comparison_last = true;
        self.in_flight = Some(InFlightCall::Compare(comparison));
        Some(StoreCall::Commit(transaction))
    }

    fn on_compared(
        &mut self,
        comparison: Comparison,
        outcome: CommitOutcome,
        now: Time,
    ) -> Vec<PollEffect> {
        let present_keys = match outcome {
            CommitOutcome::Applied(_) => Vec::new(),
            CommitOutcome::Conflict(present_keys) => present_keys,
            // Only this request exceeded the rate limit; the next one may succeed.
            CommitOutcome::RateLimited => {
                let AbandonedComparison {
                    polls,
                    dependencies,
                } = comparison.abandon();
                polls.into_iter().for_each(|poll| self.queue.push(poll));
                self.dependencies.add_unconfirmed(&dependencies);
                return Vec::new();
            }
            CommitOutcome::Rejected
            | CommitOutcome::TooLarge
            | CommitOutcome::LeaseExpired
            | CommitOutcome::Indeterminate => {
                return self.forward_all(comparison.abandon().polls, now);
            }
        };
        let ComparisonResults {
            polls,
            unfinished,
            finished,
            sent_at,
        } = comparison.into_results(&present_keys);
        for job in &unfinished {
            self.known_jobs.confirm_unfinished(job, sent_at);
        }
        for job in &finished {
            self.reads.push(&RecordKey::final_state(job));
        }
        let mut effects = Vec::new();
        for ComparedPoll { poll, result } in polls {
            match result {
                PollResult::Known(status) => {
                    effects.push(self.queue.answer(&poll, Answer::Known(status)));
                }
                PollResult::NotFound => effects.push(self.queue.answer(&poll, Answer::NotFound)),
                PollResult::Read(key) => self.await_read(poll, key),
                PollResult::Undecided => effects.push(self.queue.reject(&poll, now)),
            }
        }
        effects
    }

    fn await_read(&mut self, poll: PendingPoll, key: RecordKey) {
        self.reads.push(&key);
        self.queue.push_awaiting(poll, key);
    }

    /// Reads the records of dependencies. The poll waits for one of them, and the others are read too.
    fn await_dependencies(&mut self, poll: PendingPoll, jobs: &[String]) {
        for job in jobs {
            self.reads.push(&RecordKey::open(job));
        }
        self.dependencies.add_unread(jobs);
        if jobs.len() > self.limits.polls_per_comparison() {
            self.dependencies.add_unconfirmed(jobs);
        }
        if let Some(first) = jobs.first() {
            self.await_read(poll, RecordKey::open(first));
        }
    }

    fn begin_read(&mut self) -> Option<StoreCall> {
        self.was_comparison_last = false;
        let NextRead { read, store_call } = self.reads.pop(self.dependencies.discovered())?;
        self.in_flight = Some(InFlightCall::Read(read));
        Some(store_call)
    }

    /// Forwards all pending polls, since the state service is unavailable to this controller.
    fn forward_all(&mut self, compared: Vec<PendingPoll>, now: Time) -> Vec<PollEffect> {
        self.forward_until = now + FORWARDING_S;
        let polls = compared.into_iter().chain(self.queue.take_all());
        polls.map(|poll| PollEffect::Forward(poll.id)).collect()
    }
}

fn report_final_state(id: PollId, job: &str, state: JobState) -> Vec<PollEffect> {
    let status = status_without_counts(job, state);
    vec![
        PollEffect::FinalStatesRecorded(vec![JobFinalState::new(job, state)]),
        PollEffect::Answer(id, Answer::Known(status)),
    ]
}

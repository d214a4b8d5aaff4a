//! Users' polls that only the records can answer, many of them with one request.
//!
//! The leader's picture may lack a cancellation that another node has told a user of, a node without
//! a leader has no picture at all, and nobody may answer with an older state than was told before.
//! So the polls that wait at a node share transactions that change nothing: each compares the keys
//! of as many jobs as a transaction takes conditions. What a comparison leaves open is read once and
//! remembered: that a job was accepted, what it waits for, and how it ended never change.
//!
//! All of this keeps to a share of the state service's requests. A poll that it does not suffice for
//! is turned away at once, and comes first when it is repeated.

mod comparison;
mod known_jobs;
mod poll_queue;
mod read_queue;
#[path = "batcher/read_results.rs"]
mod read_results;
mod retry_schedule;

use super::answers::without_counts;
use super::step::{StoreAnswer, StoreCall};
use super::Answer;
use crate::coordination::Time;
use crate::protocol::job::{JobState, JobStatus};
use crate::settings::Settings;
use crate::storage::key_value_store::CommitOutcome;
use crate::storage::token_bucket::TokenBucket;
use comparison::{Claim, Comparison, Verdict};
use known_jobs::KnownJobs;
use read_queue::{Read, ReadCall, Reads};
use retry_schedule::Retries;

/// The share of the state service's requests that the polls of all nodes may take together: the
/// leader needs the others for its lease and its records.
const REQUESTS_SHARE: f64 = 0.4;
/// How long a poll may wait here; its sender has two seconds, most of which asking the leader may
/// have taken.
const PATIENCE_S: f64 = 0.5;
/// While less than a full comparison waits, one starts at every other request that the share allows.
const GATHERED_REQUESTS: f64 = 2.0;
/// Of a node's share of a second's requests, so much may go at once; the others come one by one. So
/// no second sees more than the share.
const BURST: f64 = 0.2;
/// Of the requests within the patience of a poll, half may go to reads.
const COMPARISONS_SHARE: f64 = 0.5;
/// How long polls are handed on at once after the state service could not be asked.
const UNREACHED_S: f64 = 1.0;
/// The share of memory for what is remembered of jobs, and bytes that a job takes.
const MEMORY_SHARE: f64 = 0.1;
const JOB_BYTES: f64 = 400.0;

/// A user's question about a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Poll {
    pub job: String,
    /// What the leader's picture says; `None` where only the records can tell.
    pub shown: Option<JobStatus>,
}

/// What a batcher asks its driver to do. Polls bear the numbers that the driver has given them.
#[derive(Debug)]
pub enum Effect {
    /// Call the state service: [`PollBatcher::on`].
    Store(StoreCall),
    /// The ends of these jobs are on record. Comes before every answer that tells of one.
    Ended(Vec<(String, JobState)>),
    Answer(u64, Answer),
    /// This node can't ask the state service: another may answer.
    HandOn(u64),
}

/// How many requests and jobs a batcher may deal with.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests to the state service in a second.
    pub requests_per_s: f64,
    /// Conditions in a transaction.
    pub conditions: usize,
    /// Jobs that are remembered.
    pub jobs: usize,
}

impl Limits {
    /// The limits of one of the controllers that the settings name.
    pub fn of(settings: &Settings) -> Limits {
        let state = &settings.cluster.state;
        let controllers = 1 + settings.peers.len();
        let memory_bytes = settings.cluster.limits.ram_mb * 1e6;
        Limits {
            requests_per_s: REQUESTS_SHARE * state.rps / controllers as f64,
            conditions: state.conditions(),
            jobs: (MEMORY_SHARE * memory_bytes / JOB_BYTES) as usize,
        }
    }

    /// Polls that one comparison takes if each has two conditions.
    fn polls_a_comparison(&self) -> usize {
        (self.conditions / 2).max(1)
    }

    /// Polls that are compared in a second.
    fn polls_per_s(&self) -> f64 {
        COMPARISONS_SHARE * self.requests_per_s * self.polls_a_comparison() as f64
    }
}

/// Answers the polls of one node.
pub struct PollBatcher {
    limits: Limits,
    requests: TokenBucket,
    /// Those that are to be compared.
    waiting: Vec<WaitingPoll>,
    /// Those for which something is to be read first.
    reading: Vec<(WaitingPoll, Read)>,
    reads: Reads,
    known: KnownJobs,
    retries: Retries,
    under_way: Option<Call>,
    compared_at: Time,
    /// Whether the last call was a comparison: reads take turns with them.
    compared_last: bool,
    unreached_until: Time,
    /// Nothing waits for too long before this.
    overdue_at: Time,
}

struct WaitingPoll {
    number: u64,
    poll: Poll,
    since: Time,
}

impl WaitingPoll {
    fn overdue_at(&self) -> Time {
        self.since + PATIENCE_S
    }
}

/// A call to the state service that is not answered yet.
enum Call {
    Compare(Comparison),
    Read(ReadCall),
}

impl PollBatcher {
    pub fn new(limits: Limits) -> PollBatcher {
        let burst = (BURST * limits.requests_per_s).max(1.0);
        let steady = (1.0 - BURST) * limits.requests_per_s;
        PollBatcher {
            limits,
            requests: TokenBucket::new(steady, burst),
            waiting: Vec::new(),
            reading: Vec::new(),
            reads: Reads::new(limits.jobs),
            known: KnownJobs::new(limits.jobs),
            retries: Retries::new(limits.jobs, limits.polls_per_s()),
            under_way: None,
            compared_at: Time::NEG_INFINITY,
            compared_last: false,
            unreached_until: Time::NEG_INFINITY,
            overdue_at: Time::INFINITY,
        }
    }

    /// A job was accepted here, and waits for these others.
    pub fn accepted(&mut self, job: &str, waits_on: &[String]) {
        self.known.accepted(job, waits_on);
    }

    /// A job's end is on record.
    pub fn ended(&mut self, job: &str, state: JobState) {
        self.known.ended(job, state);
    }

    /// Takes a poll; what can be said of it at once.
    pub fn ask(&mut self, number: u64, poll: Poll, now: Time) -> Vec<Effect> {
        if let Some(state) = self.known.end(&poll.job) {
            self.retries.answered(&poll.job);
            return end_told(number, &poll.job, state);
        }
        if now < self.unreached_until {
            return vec![Effect::HandOn(number)];
        }
        self.wait(WaitingPoll {
            number,
            poll,
            since: now,
        });
        Vec::new()
    }

    /// Seconds until [`PollBatcher::next`] is to be called again, if nothing new comes before.
    pub fn pause_s(&self) -> Option<f64> {
        let idle = self.waiting.is_empty() && self.reading.is_empty() && self.reads.is_empty();
        (!idle).then_some(1.0 / self.limits.requests_per_s)
    }

    /// Starts the next call, if one is due, and turns those away that come too late for it.
    pub fn next(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = self.turn_overdue_away(now);
        if self.under_way.is_some() {
            return effects;
        }
        let compare = self.is_comparison_due(now);
        let read = !self.reads.is_empty();
        if (compare || read) && self.requests.take(now, 1.0) {
            let read_first = read && (!compare || self.compared_last);
            let call = if read_first {
                self.begin_read()
            } else {
                self.begin_comparison(now).or_else(|| self.begin_read())
            };
            effects.extend(call.map(Effect::Store));
        }
        effects.extend(self.turn_excess_away(now));
        effects
    }

    /// Takes the answer to the call under way.
    pub fn on(&mut self, answer: StoreAnswer, now: Time) -> Vec<Effect> {
        match self.under_way.take() {
            Some(Call::Compare(comparison)) => self.compared(comparison, answer.outcome(), now),
            Some(Call::Read(ReadCall::One(read))) => self.one_read(&read, answer, now),
            Some(Call::Read(ReadCall::From(first))) => self.page_read(&first, answer, now),
            None => Vec::new(),
        }
    }

    fn is_comparison_due(&self, now: Time) -> bool {
        let gather_s = (GATHERED_REQUESTS / self.limits.requests_per_s).min(PATIENCE_S / 2.0);
        let is_full = self.waiting.len() >= self.limits.conditions;
        !self.waiting.is_empty() && (is_full || now >= self.compared_at + gather_s)
    }

    /// Compares those that have been turned away longest, then those that have waited longest.
    fn begin_comparison(&mut self, now: Time) -> Option<StoreCall> {
        let mut waiting = std::mem::take(&mut self.waiting);
        self.sort_by_rank(&mut waiting);
        let mut comparison = Comparison::new(self.limits.conditions);
        for poll in waiting {
            match Claim::of(&poll.poll, &self.known, self.limits.polls_a_comparison()) {
                Claim::ToRead(read) => self.read_for(poll, read),
                Claim::Absent(keys) => {
                    if let Some(poll) = comparison.add(poll, keys) {
                        self.waiting.push(poll);
                    }
                }
            }
        }
        let transaction = comparison.transaction()?;
        self.compared_at = now;
        self.compared_last = true;
        self.under_way = Some(Call::Compare(comparison));
        Some(StoreCall::Commit(transaction))
    }

    fn compared(
        &mut self,
        comparison: Comparison,
        outcome: CommitOutcome,
        now: Time,
    ) -> Vec<Effect> {
        let present = match outcome {
            CommitOutcome::Applied(_) => Vec::new(),
            CommitOutcome::Conflict(present) => present,
            // One request too many: the next may be answered.
            CommitOutcome::Limited => {
                let polls = comparison.into_polls().into_iter();
                polls.for_each(|poll| self.wait(poll));
                return Vec::new();
            }
            CommitOutcome::Refused
            | CommitOutcome::TooLarge
            | CommitOutcome::NoLease
            | CommitOutcome::Unknown => {
                return self.not_reached(comparison.into_polls(), now);
            }
        };
        let mut effects = Vec::new();
        for (poll, verdict) in comparison.verdicts(&present) {
            match verdict {
                Verdict::Known(status) => effects.push(self.answer(&poll, Answer::Known(status))),
                Verdict::NeverAccepted => effects.push(self.answer(&poll, Answer::NotFound)),
                Verdict::ToRead(read) => self.read_for(poll, read),
                Verdict::Undecided => effects.push(self.turn_away(poll, now)),
            }
        }
        effects
    }

    fn wait(&mut self, poll: WaitingPoll) {
        self.overdue_at = self.overdue_at.min(poll.overdue_at());
        self.waiting.push(poll);
    }

    fn read_for(&mut self, poll: WaitingPoll, read: Read) {
        self.overdue_at = self.overdue_at.min(poll.overdue_at());
        self.reads.add(&read);
        self.reading.push((poll, read));
    }

    fn begin_read(&mut self) -> Option<StoreCall> {
        self.compared_last = false;
        let (call, store_call) = self.reads.next()?;
        self.under_way = Some(Call::Read(call));
        Some(store_call)
    }

    /// The state service does not let this node ask: all that wait are handed on.
    fn not_reached(&mut self, compared: Vec<WaitingPoll>, now: Time) -> Vec<Effect> {
        self.unreached_until = now + UNREACHED_S;
        let waiting = std::mem::take(&mut self.waiting);
        let reading = std::mem::take(&mut self.reading).into_iter();
        let reading = reading.map(|(poll, _)| poll);
        let all = compared.into_iter().chain(waiting).chain(reading);
        all.map(|poll| Effect::HandOn(poll.number)).collect()
    }

    fn answer(&mut self, poll: &WaitingPoll, answer: Answer) -> Effect {
        self.retries.answered(&poll.poll.job);
        Effect::Answer(poll.number, answer)
    }
}

/// Takes out of a list what is wanted; the others stay in their order.
fn take_where<T>(list: &mut Vec<T>, is_wanted: impl Fn(&T) -> bool) -> Vec<T> {
    let (taken, left) = std::mem::take(list).into_iter().partition(is_wanted);
    *list = left;
    taken
}

fn end_told(number: u64, job: &str, state: JobState) -> Vec<Effect> {
    let status = without_counts(job, state);
    vec![
        Effect::Ended(vec![(job.to_string(), state)]),
        Effect::Answer(number, Answer::Known(status)),
    ]
}

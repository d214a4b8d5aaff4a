//! Read-only transactions whose compares decide many polls.

use super::known_jobs::{KnownDependencies, KnownJobs};
use super::record_keys::RecordKey;
use super::types::{PendingPoll, Poll};
use crate::coordination::requests::answers::status_without_counts;
use crate::coordination::Time;
use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::store::Transaction;
use crate::storage::records::{final_state_key, open_key};
use std::collections::{BTreeSet, HashSet};

/// How to decide a poll, given the known jobs.
pub(super) enum DecisionPlan {
    /// By a transaction that checks whether these keys are absent.
    Compare(ComparedKeys),
    /// By reading the open records of these dependencies first, as the keys to compare depend on them.
    ReadDependencies(Vec<String>),
    /// By confirming first that these dependencies are unfinished: there are too many for one transaction.
    ConfirmDependencies(Vec<String>),
}

/// The keys whose absence decides a poll.
pub(super) struct ComparedKeys {
    final_state: String,
    /// The key of the open record, if the job is not known to be accepted.
    open: Option<String>,
    /// The ids of the dependencies that have to be confirmed as unfinished.
    dependencies: Vec<String>,
    /// Whether only a final state record of the job can decide the poll, as a dependency is cancelled.
    awaits_final_state: bool,
}

/// The result of a comparison for one poll.
pub(super) enum PollResult {
    Known(JobStatus),
    /// The job was never accepted.
    NotFound,
    /// This record has to be read to decide the poll.
    Read(RecordKey),
    /// The poll can't be decided yet.
    Undecided,
}

/// A poll and its result.
pub(super) struct ComparedPoll {
    pub(super) poll: PendingPoll,
    pub(super) result: PollResult,
}

impl DecisionPlan {
    /// The plan for a poll at `now`. At most `max_dependencies` dependencies are compared together with
    /// the job.
    pub(super) fn of(
        poll: &Poll,
        known: &KnownJobs,
        max_dependencies: usize,
        now: Time,
    ) -> DecisionPlan {
        let mut keys = ComparedKeys {
            final_state: final_state_key(&poll.job),
            open: None,
            dependencies: Vec::new(),
            awaits_final_state: false,
        };
        // The leader's status accounts for the dependencies.
        if poll.leader_status.is_some() {
            return DecisionPlan::Compare(keys);
        }
        match known.dependencies(&poll.job, now) {
            None => keys.open = Some(open_key(&poll.job)),
            Some(KnownDependencies::Open(unconfirmed)) => {
                if unconfirmed.len() > max_dependencies {
                    return DecisionPlan::ConfirmDependencies(unconfirmed);
                }
                keys.dependencies = unconfirmed;
            }
            Some(KnownDependencies::Unread(jobs)) => return DecisionPlan::ReadDependencies(jobs),
            Some(KnownDependencies::Cancelled) => keys.awaits_final_state = true,
        }
        DecisionPlan::Compare(keys)
    }
}

impl ComparedKeys {
    fn iter(&self) -> impl Iterator<Item = String> + '_ {
        let dependencies = self.dependencies.iter().map(|job| final_state_key(job));
        let own = self.open.iter().cloned().chain([self.final_state.clone()]);
        own.chain(dependencies)
    }

    fn evaluate(&self, poll: &Poll, present_keys: &HashSet<&str>) -> PollResult {
        let is_present = |key: &str| present_keys.contains(key);
        if is_present(&self.final_state) {
            return PollResult::Read(RecordKey::final_state(&poll.job));
        }
        match &self.open {
            Some(open) if is_present(open) => return PollResult::Read(RecordKey::open(&poll.job)),
            Some(_) => return PollResult::NotFound,
            None => {}
        }
        if self.awaits_final_state {
            return PollResult::Undecided;
        }
        let mut dependencies = self.dependencies.iter();
        if let Some(finished) = dependencies.find(|job| is_present(&final_state_key(job))) {
            return PollResult::Read(RecordKey::final_state(finished));
        }
        let status = poll.leader_status.clone();
        PollResult::Known(
            status.unwrap_or_else(|| status_without_counts(&poll.job, JobState::Pending)),
        )
    }
}

/// A poll and its keys in a comparison.
struct PlannedPoll {
    poll: PendingPoll,
    keys: ComparedKeys,
}

/// Polls that are decided by one transaction, and dependencies that it confirms as unfinished.
pub(super) struct Comparison {
    max_compares: usize,
    sent_at: Time,
    keys: BTreeSet<String>,
    polls: Vec<PlannedPoll>,
    dependencies: Vec<String>,
}

/// The polls and dependencies of a comparison that was not executed.
pub(super) struct AbandonedComparison {
    pub(super) polls: Vec<PendingPoll>,
    pub(super) dependencies: Vec<String>,
}

/// What a comparison found.
pub(super) struct ComparisonResults {
    pub(super) polls: Vec<ComparedPoll>,
    /// Dependencies that were unfinished when the comparison was sent.
    pub(super) unfinished: Vec<String>,
    /// Dependencies that have a final state record.
    pub(super) finished: Vec<String>,
    pub(super) sent_at: Time,
}

impl Comparison {
    /// An empty comparison of at most `max_compares` keys, to be sent at `now`.
    pub(super) fn new(max_compares: usize, now: Time) -> Comparison {
        Comparison {
            max_compares,
            sent_at: now,
            keys: BTreeSet::new(),
            polls: Vec::new(),
            dependencies: Vec::new(),
        }
    }

    /// How many more keys fit.
    pub(super) fn free_compares(&self) -> usize {
        self.max_compares.saturating_sub(self.keys.len())
    }

    /// Adds dependencies to confirm, for which there are free compares.
    pub(super) fn add_dependencies(&mut self, jobs: Vec<String>) {
        self.keys
            .extend(jobs.iter().map(|job| final_state_key(job)));
        self.dependencies.extend(jobs);
    }

    /// Adds a poll. Returns the poll if its keys do not fit.
    pub(super) fn add(&mut self, poll: PendingPoll, keys: ComparedKeys) -> Option<PendingPoll> {
        let new = keys.iter().filter(|key| !self.keys.contains(key)).count();
        if self.keys.len() + new > self.max_compares {
            return Some(poll);
        }
        self.keys.extend(keys.iter());
        self.polls.push(PlannedPoll { poll, keys });
        None
    }

    /// The transaction, or `None` if there is nothing to compare.
    pub(super) fn transaction(&self) -> Option<Transaction> {
        let absent = |transaction: Transaction, key: &String| transaction.absent(key.clone());
        let transaction = self.keys.iter().fold(Transaction::default(), absent);
        (!self.keys.is_empty()).then_some(transaction)
    }

    /// The polls and dependencies, when the transaction was not executed.
    pub(super) fn abandon(self) -> AbandonedComparison {
        let polls = self.polls.into_iter().map(|planned| planned.poll);
        AbandonedComparison {
            polls: polls.collect(),
            dependencies: self.dependencies,
        }
    }

    /// The results, given the keys that are present.
    pub(super) fn into_results(self, present_keys: &[String]) -> ComparisonResults {
        let present_keys: HashSet<&str> = present_keys.iter().map(String::as_str).collect();
        let is_finished = |job: &String| present_keys.contains(final_state_key(job).as_str());
        let (finished, unfinished) = self.dependencies.into_iter().partition(is_finished);
        let polls = self.polls.into_iter().map(|PlannedPoll { poll, keys }| {
            let result = keys.evaluate(&poll.poll, &present_keys);
            ComparedPoll { poll, result }
        });
        ComparisonResults {
            polls: polls.collect(),
            unfinished,
            finished,
            sent_at: self.sent_at,
        }
    }
}

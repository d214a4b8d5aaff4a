//! One read-only transaction whose compares decide many polls.

use super::known_jobs::{KnownDependencies, KnownJobs};
use super::record_keys::RecordKey;
use super::types::{PendingPoll, Poll};
use crate::coordination::requests::answers::status_without_counts;
use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::store::Transaction;
use crate::storage::records::{final_state_key, open_key};
use std::collections::{BTreeSet, HashSet};

/// How a poll can be decided with what is known.
pub(super) enum DecisionPlan {
    /// By comparing whether these keys are absent.
    Compare(ComparedKeys),
    /// By reading this record first.
    Read(RecordKey),
}

/// The keys whose absence decides a poll.
pub(super) struct ComparedKeys {
    end: String,
    /// The open record, where the job is not known to be accepted.
    open: Option<String>,
    /// The ids of the dependencies without a known end.
    dependencies: Vec<String>,
    /// Whether the status is not known before the job's own end is on record: a dependency is
    /// cancelled, or there are too many of them.
    awaits_end: bool,
}

/// What a comparison says of a poll.
pub(super) enum Verdict {
    Known(JobStatus),
    NeverAccepted,
    /// This record has to be read.
    Read(RecordKey),
    /// This node can't tell yet.
    Undecided,
}

/// A poll with what a comparison says of it.
pub(super) struct ComparedPoll {
    pub(super) poll: PendingPoll,
    pub(super) verdict: Verdict,
}

impl DecisionPlan {
    /// The plan for a poll; at most `max_dependencies` are compared.
    pub(super) fn of(poll: &Poll, known: &KnownJobs, max_dependencies: usize) -> DecisionPlan {
        let mut keys = ComparedKeys {
            end: final_state_key(&poll.job),
            open: None,
            dependencies: Vec::new(),
            awaits_end: false,
        };
        // The leader's status takes the dependencies into account.
        if poll.leader_status.is_some() {
            return DecisionPlan::Compare(keys);
        }
        match known.dependencies(&poll.job, max_dependencies) {
            None => keys.open = Some(open_key(&poll.job)),
            Some(KnownDependencies::Open(dependencies)) => keys.dependencies = dependencies,
            Some(KnownDependencies::Unread(job)) => {
                return DecisionPlan::Read(RecordKey::open(&job));
            }
            Some(KnownDependencies::Cancelled | KnownDependencies::TooMany) => {
                keys.awaits_end = true;
            }
        }
        DecisionPlan::Compare(keys)
    }
}

impl ComparedKeys {
    fn iter(&self) -> impl Iterator<Item = String> + '_ {
        let dependencies = self.dependencies.iter().map(|job| final_state_key(job));
        let own = self.open.iter().cloned().chain([self.end.clone()]);
        own.chain(dependencies)
    }

    fn verdict(&self, poll: &Poll, present_keys: &HashSet<&str>) -> Verdict {
        let is_present = |key: &str| present_keys.contains(key);
        if is_present(&self.end) {
            return Verdict::Read(RecordKey::end(&poll.job));
        }
        match &self.open {
            Some(open) if is_present(open) => return Verdict::Read(RecordKey::open(&poll.job)),
            Some(_) => return Verdict::NeverAccepted,
            None => {}
        }
        if self.awaits_end {
            return Verdict::Undecided;
        }
        let mut dependencies = self.dependencies.iter();
        if let Some(ended) = dependencies.find(|job| is_present(&final_state_key(job))) {
            return Verdict::Read(RecordKey::end(ended));
        }
        let status = poll.leader_status.clone();
        Verdict::Known(
            status.unwrap_or_else(|| status_without_counts(&poll.job, JobState::Pending)),
        )
    }
}

/// A poll with its keys in a comparison.
struct PlannedPoll {
    poll: PendingPoll,
    keys: ComparedKeys,
}

/// Polls that are decided by one transaction.
pub(super) struct Comparison {
    max_compares: usize,
    keys: BTreeSet<String>,
    polls: Vec<PlannedPoll>,
}

impl Comparison {
    /// An empty comparison, which takes at most `max_compares` keys.
    pub(super) fn new(max_compares: usize) -> Comparison {
        Comparison {
            max_compares,
            keys: BTreeSet::new(),
            polls: Vec::new(),
        }
    }

    /// Adds a poll, or returns it if its keys do not fit.
    pub(super) fn add(&mut self, poll: PendingPoll, keys: ComparedKeys) -> Option<PendingPoll> {
        let new = keys.iter().filter(|key| !self.keys.contains(key)).count();
        if self.keys.len() + new > self.max_compares {
            return Some(poll);
        }
        self.keys.extend(keys.iter());
        self.polls.push(PlannedPoll { poll, keys });
        None
    }

    /// The transaction; `None` where there is nothing to compare.
    pub(super) fn transaction(&self) -> Option<Transaction> {
        let absent = |transaction: Transaction, key: &String| transaction.absent(key.clone());
        let transaction = self.keys.iter().fold(Transaction::default(), absent);
        (!self.polls.is_empty()).then_some(transaction)
    }

    /// The polls, undecided.
    pub(super) fn into_polls(self) -> Vec<PendingPoll> {
        self.polls.into_iter().map(|planned| planned.poll).collect()
    }

    /// What the keys that are present say of each poll.
    pub(super) fn into_verdicts(self, present_keys: &[String]) -> Vec<ComparedPoll> {
        let present_keys: HashSet<&str> = present_keys.iter().map(String::as_str).collect();
        let polls = self.polls.into_iter();
        polls
            .map(|PlannedPoll { poll, keys }| {
                let verdict = keys.verdict(&poll.poll, &present_keys);
                ComparedPoll { poll, verdict }
            })
            .collect()
    }
}

//! One transaction that changes nothing, and what it says of many jobs.

use super::known_jobs::{KnownJobs, Prerequisites};
use super::read_queue::Read;
use super::{Poll, WaitingPoll};
use crate::coordination::requests::answers::without_counts;
use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::store::Transaction;
use crate::storage::records::{end_key, open_key};
use std::collections::{BTreeSet, HashSet};

/// How a poll is decided.
pub(super) enum Claim {
    /// By comparing whether these keys are absent.
    Absent(Keys),
    /// Something has to be read first.
    ToRead(Read),
}

/// The keys whose absence a poll hangs on.
pub(super) struct Keys {
    end: String,
    /// The description, where the job is not known to be accepted.
    open: Option<String>,
    /// The jobs that it waits for, without a known end.
    prerequisites: Vec<String>,
    /// Whether nothing can be said of the job before its own end is on record: one that it waits for
    /// is cancelled, or there are too many of them.
    awaits_end: bool,
}

/// What a comparison says of a poll.
pub(super) enum Verdict {
    Known(JobStatus),
    NeverAccepted,
    ToRead(Read),
    /// This node can't tell yet.
    Undecided,
}

impl Claim {
    /// How a poll is decided with what is known; `most` jobs are followed that it waits for.
    pub(super) fn of(poll: &Poll, known: &KnownJobs, most: usize) -> Claim {
        let mut keys = Keys {
            end: end_key(&poll.job),
            open: None,
            prerequisites: Vec::new(),
            awaits_end: false,
        };
        // The leader has already seen to what the job waits for.
        if poll.shown.is_some() {
            return Claim::Absent(keys);
        }
        match known.prerequisites(&poll.job, most) {
            None => keys.open = Some(open_key(&poll.job)),
            Some(Prerequisites::Open(prerequisites)) => keys.prerequisites = prerequisites,
            Some(Prerequisites::Unread(job)) => return Claim::ToRead(Read::open(&job)),
            Some(Prerequisites::Cancelled | Prerequisites::TooMany) => keys.awaits_end = true,
        }
        Claim::Absent(keys)
    }
}

impl Keys {
    fn all(&self) -> impl Iterator<Item = String> + '_ {
        let prerequisites = self.prerequisites.iter().map(|job| end_key(job));
        let own = self.open.iter().cloned().chain([self.end.clone()]);
        own.chain(prerequisites)
    }

    fn verdict(&self, poll: &Poll, present: &HashSet<&str>) -> Verdict {
        let is_present = |key: &str| present.contains(key);
        if is_present(&self.end) {
            return Verdict::ToRead(Read::end(&poll.job));
        }
        match &self.open {
            Some(open) if is_present(open) => return Verdict::ToRead(Read::open(&poll.job)),
            Some(_) => return Verdict::NeverAccepted,
            None => {}
        }
        if self.awaits_end {
            return Verdict::Undecided;
        }
        let mut prerequisites = self.prerequisites.iter();
        if let Some(ended) = prerequisites.find(|job| is_present(&end_key(job))) {
            return Verdict::ToRead(Read::end(ended));
        }
        let shown = poll.shown.clone();
        Verdict::Known(shown.unwrap_or_else(|| without_counts(&poll.job, JobState::Pending)))
    }
}

/// Polls that are decided by one transaction.
pub(super) struct Comparison {
    conditions: usize,
    keys: BTreeSet<String>,
    polls: Vec<(WaitingPoll, Keys)>,
}

impl Comparison {
    pub(super) fn new(conditions: usize) -> Comparison {
        Comparison {
            conditions,
            keys: BTreeSet::new(),
            polls: Vec::new(),
        }
    }

    /// Adds a poll, or gives it back if there is no room.
    pub(super) fn add(&mut self, poll: WaitingPoll, keys: Keys) -> Option<WaitingPoll> {
        let new = keys.all().filter(|key| !self.keys.contains(key)).count();
        if self.keys.len() + new > self.conditions {
            return Some(poll);
        }
        self.keys.extend(keys.all());
        self.polls.push((poll, keys));
        None
    }

    /// The transaction; `None` where there is nothing to compare.
    pub(super) fn transaction(&self) -> Option<Transaction> {
        let absent = |transaction: Transaction, key: &String| transaction.absent(key.clone());
        let transaction = self.keys.iter().fold(Transaction::default(), absent);
        (!self.polls.is_empty()).then_some(transaction)
    }

    pub(super) fn into_polls(self) -> Vec<WaitingPoll> {
        self.polls.into_iter().map(|(poll, _)| poll).collect()
    }

    /// What the keys that are there say of each poll.
    pub(super) fn verdicts(self, present: &[String]) -> Vec<(WaitingPoll, Verdict)> {
        let present: HashSet<&str> = present.iter().map(String::as_str).collect();
        let polls = self.polls.into_iter();
        polls
            .map(|(poll, keys)| {
                let verdict = keys.verdict(&poll.poll, &present);
                (poll, verdict)
            })
            .collect()
    }
}

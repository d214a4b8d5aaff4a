//! Which combinations of faults the schedules have covered.

use crate::rules::{Kind, Question, ReportedState};
use stairstage::coordination::requests::PeerAnswer;
use stairstage::protocol::store::{Transaction, WriteOperation};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::AddAssign;

/// How often each has come about, in all schedules that were played.
#[derive(Clone, Debug, Default)]
pub(crate) struct Coverage {
    /// Requests by kind, and by the state of the job that was reported before.
    asked: BTreeMap<(Kind, Option<ReportedState>), usize>,
    /// Answers by the kind of request and by status.
    answered: BTreeMap<(Kind, u16), usize>,
    /// Requests that another node has answered for one without the state service.
    pub forwarded: usize,
    pub refused: usize,
    /// Another node has read what a transaction wrote whose answer was lost, before its sender knew.
    pub read_before_known: usize,
    /// Late transactions that were applied, or met a conflict, after newer ones of the same node;
    /// and after their senders had given up on them.
    pub late_applied: usize,
    pub late_after_newer: usize,
    pub late_after_giving_up: usize,
    /// Requests by kind about a job whose end was written while they were under way.
    ends_met: BTreeMap<Kind, usize>,
    /// Requests by kind that were under way when the state service, which had refused one node, began
    /// to refuse all.
    refusals_met: BTreeMap<Kind, usize>,
    /// Transactions by requests that are still under way and have lost the answer.
    unknown: BTreeMap<u64, (usize, BTreeSet<String>)>,
}

impl Coverage {
    /// Counts a request.
    pub(crate) fn asked(&mut self, question: &Question) {
        *self
            .asked
            .entry((question.kind, question.before))
            .or_default() += 1;
    }

    /// Counts an answer.
    pub(crate) fn answered(&mut self, question: &Question, answer: &PeerAnswer) {
        let key = (question.kind, answer.status);
        *self.answered.entry(key).or_default() += 1;
    }

    /// Counts a request that met the end of its job.
    pub(crate) fn end_met(&mut self, kind: Kind) {
        *self.ends_met.entry(kind).or_default() += 1;
    }

    /// Counts a request that met the refusal of all nodes.
    pub(crate) fn refusal_met(&mut self, kind: Kind) {
        *self.refusals_met.entry(kind).or_default() += 1;
    }

    /// A transaction was applied, and its sender does not know.
    pub(crate) fn answer_lost(&mut self, by: u64, node: usize, transaction: &Transaction) {
        let key_of = |change: &WriteOperation| match change {
            WriteOperation::Put { key, .. } | WriteOperation::Delete { key } => key.clone(),
        };
        let keys = transaction.operations.iter().map(key_of).collect();
        self.unknown.insert(by, (node, keys));
    }

    /// A node reads a key.
    pub(crate) fn read(&mut self, key: &str, node: usize) {
        let mut unknown = self.unknown.values();
        if unknown.any(|(by, keys)| *by != node && keys.contains(key)) {
            self.read_before_known += 1;
        }
    }

    /// A request is over: what it does not know matters no more.
    pub(crate) fn finished(&mut self, request: u64) {
        self.unknown.remove(&request);
    }

    /// Counts a transaction that was carried out late.
    pub(crate) fn late_write(&mut self, applied: bool, is_newer: bool, is_given_up: bool) {
        self.late_applied += usize::from(applied);
        self.late_after_newer += usize::from(is_newer);
        self.late_after_giving_up += usize::from(is_given_up && applied);
    }

    /// How many requests of a kind came after a state of the job had been reported.
    pub(crate) fn asked_after(&self, kind: Kind, reported: ReportedState) -> usize {
        let count = self.asked.get(&(kind, Some(reported)));
        count.copied().unwrap_or_default()
    }

    /// How many requests of a kind were answered with a status.
    pub(crate) fn answers(&self, kind: Kind, status: u16) -> usize {
        let count = self.answered.get(&(kind, status));
        count.copied().unwrap_or_default()
    }

    /// How many requests of a kind met the end of their job.
    pub(crate) fn ends_met(&self, kind: Kind) -> usize {
        self.ends_met.get(&kind).copied().unwrap_or_default()
    }

    /// How many requests of a kind met the refusal of all nodes.
    pub(crate) fn refusals_met(&self, kind: Kind) -> usize {
        self.refusals_met.get(&kind).copied().unwrap_or_default()
    }
}

/// Adds counts to others.
fn add<K: Ord>(to: &mut BTreeMap<K, usize>, from: BTreeMap<K, usize>) {
    for (key, count) in from {
        *to.entry(key).or_default() += count;
    }
}

impl AddAssign for Coverage {
    fn add_assign(&mut self, other: Coverage) {
        add(&mut self.asked, other.asked);
        add(&mut self.answered, other.answered);
        add(&mut self.ends_met, other.ends_met);
        add(&mut self.refusals_met, other.refusals_met);
        self.forwarded += other.forwarded;
        self.refused += other.refused;
        self.read_before_known += other.read_before_known;
        self.late_applied += other.late_applied;
        self.late_after_newer += other.late_after_newer;
        self.late_after_giving_up += other.late_after_giving_up;
    }
}

//! Counts how often the schedules have covered each combination of faults.

use crate::rules::{Kind, ReportedState, UserRequest};
use stairstage::coordination::requests::PeerAnswer;
use stairstage::protocol::store::{Transaction, WriteOperation};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::AddAssign;

/// How often each combination occurred, over all schedules that ran.
#[derive(Clone, Debug, Default)]
pub(crate) struct Coverage {
    /// Requests by kind, and by the state of the job that had been reported before.
    requests: BTreeMap<(Kind, Option<ReportedState>), usize>,
    /// Answers by the kind of request and by status.
    answers: BTreeMap<(Kind, u16), usize>,
    /// Requests that were forwarded to another controller.
    pub forwarded: usize,
    /// Transactions that the state service rejected.
    pub rejected: usize,
    /// Reads by another controller of a key whose write lost its response, before the sender of the
    /// write knew the outcome.
    pub read_before_known: usize,
    /// Delayed transactions that were applied; that were applied or met a conflict after newer ones of
    /// the same controller; and that were applied after their request had finished.
    pub delayed_applied: usize,
    pub delayed_after_newer: usize,
    pub delayed_after_request_finished: usize,
    /// Requests by kind that were in progress when their job's final state was written.
    during_final_write: BTreeMap<Kind, usize>,
    /// Requests by kind that were in progress when the state service, which had rejected one controller,
    /// began to reject all.
    during_rejection: BTreeMap<Kind, usize>,
    /// By request in progress: its controller, and the keys of a write that lost its response.
    indeterminate: BTreeMap<u64, (usize, BTreeSet<String>)>,
}

impl Coverage {
    /// Counts a request.
    pub(crate) fn count_request(&mut self, request: &UserRequest) {
        *self
            .requests
            .entry((request.kind, request.reported_before))
            .or_default() += 1;
    }

    /// Counts an answer.
    pub(crate) fn count_answer(&mut self, request: &UserRequest, answer: &PeerAnswer) {
        let key = (request.kind, answer.status);
        *self.answers.entry(key).or_default() += 1;
    }

    /// Counts a request that was in progress when its job's final state was written.
    pub(crate) fn count_during_final_write(&mut self, kind: Kind) {
        *self.during_final_write.entry(kind).or_default() += 1;
    }

    /// Counts a request that was in progress when the state service began to reject all controllers.
    pub(crate) fn count_during_rejection(&mut self, kind: Kind) {
        *self.during_rejection.entry(kind).or_default() += 1;
    }

    /// Notes a transaction that was applied without a response to its sender.
    pub(crate) fn record_lost_response(
        &mut self,
        request: u64,
        controller: usize,
        transaction: &Transaction,
    ) {
        let key_of = |change: &WriteOperation| match change {
            WriteOperation::Put { key, .. } | WriteOperation::Delete { key } => key.clone(),
        };
        let keys = transaction.operations.iter().map(key_of).collect();
        self.indeterminate.insert(request, (controller, keys));
    }

    /// Counts a read of a key whose write is indeterminate for another controller.
    pub(crate) fn count_read(&mut self, key: &str, controller: usize) {
        let mut indeterminate = self.indeterminate.values();
        if indeterminate.any(|(writer, keys)| *writer != controller && keys.contains(key)) {
            self.read_before_known += 1;
        }
    }

    /// Drops the indeterminate write of a finished request.
    pub(crate) fn request_finished(&mut self, request: u64) {
        self.indeterminate.remove(&request);
    }

    /// Counts a delayed transaction.
    pub(crate) fn count_delayed_write(
        &mut self,
        applied: bool,
        after_newer: bool,
        is_finished: bool,
    ) {
        self.delayed_applied += usize::from(applied);
        self.delayed_after_newer += usize::from(after_newer);
        self.delayed_after_request_finished += usize::from(is_finished && applied);
    }

    /// How many requests of a kind were sent after this state of the job had been reported.
    pub(crate) fn requests_after(&self, kind: Kind, reported: ReportedState) -> usize {
        let count = self.requests.get(&(kind, Some(reported)));
        count.copied().unwrap_or_default()
    }

    /// How many requests of a kind were answered with a status.
    pub(crate) fn answers(&self, kind: Kind, status: u16) -> usize {
        let count = self.answers.get(&(kind, status));
        count.copied().unwrap_or_default()
    }

    /// How many requests of a kind were in progress when their job's final state was written.
    pub(crate) fn during_final_write(&self, kind: Kind) -> usize {
        self.during_final_write
            .get(&kind)
            .copied()
            .unwrap_or_default()
    }

    /// How many requests of a kind were in progress when the state service began to reject all.
    pub(crate) fn during_rejection(&self, kind: Kind) -> usize {
        self.during_rejection
            .get(&kind)
            .copied()
            .unwrap_or_default()
    }
}

/// Adds the counts of one map to another.
fn add<K: Ord>(to: &mut BTreeMap<K, usize>, from: BTreeMap<K, usize>) {
    for (key, count) in from {
        *to.entry(key).or_default() += count;
    }
}

impl AddAssign for Coverage {
    fn add_assign(&mut self, other: Coverage) {
        add(&mut self.requests, other.requests);
        add(&mut self.answers, other.answers);
        add(&mut self.during_final_write, other.during_final_write);
        add(&mut self.during_rejection, other.during_rejection);
        self.forwarded += other.forwarded;
        self.rejected += other.rejected;
        self.read_before_known += other.read_before_known;
        self.delayed_applied += other.delayed_applied;
        self.delayed_after_newer += other.delayed_after_newer;
        self.delayed_after_request_finished += other.delayed_after_request_finished;
    }
}

//! Handles the results of reads, and answers the polls that wait for the records.

use super::PollBatcher;
use crate::coordination::requests::answers::{status_without_counts, Answer};
use crate::coordination::requests::polls::decoded_records::{self, JobRecord, RecordContent};
use crate::coordination::requests::polls::record_keys::{PageRange, RecordKey, RecordKind};
use crate::coordination::requests::polls::types::{PendingPoll, PollEffect};
use crate::coordination::requests::store_call::StoreAnswer;
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::storage::key_value_store::Unavailable;
use crate::storage::records::JobFinalState;
use std::collections::HashSet;

impl PollBatcher {
    /// Handles the response to the read of one record.
    pub(super) fn on_single_read(
        &mut self,
        key: &RecordKey,
        answer: StoreAnswer,
        now: Time,
    ) -> Vec<PollEffect> {
        match decoded_records::decode_single(key.kind, answer) {
            Ok(Some(content)) => {
                let job = key.job.clone();
                let mut effects = self.cache_records(vec![JobRecord { job, content }], |_| true);
                effects.extend(self.answer_awaiting(|awaited| awaited == key));
                effects
            }
            Ok(None) => self.on_missing(key.kind, |awaited| awaited == key, now),
            Err(Unavailable) => self.on_read_failed(key, now),
        }
    }

    /// Handles the response to the read of a page.
    pub(super) fn on_page_read(
        &mut self,
        first: &RecordKey,
        answer: StoreAnswer,
        now: Time,
    ) -> Vec<PollEffect> {
        let Ok(page) = decoded_records::decode_page(first.kind, answer) else {
            return self.on_read_failed(first, now);
        };
        let range = PageRange {
            kind: first.kind,
            first: &first.job,
            last: page.last.as_deref(),
        };
        let mut requested = self.reads.take_range(&range);
        requested.insert(first.job.clone());
        let records = page.records.iter();
        let found: HashSet<String> = records.map(|record| record.job.clone()).collect();
        let mut effects = self.cache_records(page.records, |job| requested.contains(job));
        let is_found = |key: &RecordKey| range.contains(key) && found.contains(&key.job);
        effects.extend(self.answer_awaiting(is_found));
        effects.extend(self.on_missing(first.kind, |key| range.contains(key), now));
        effects
    }

    /// Caches the records. A record that was not requested evicts no other: a page may have many of them.
    /// Returns one effect for all final states among the records, and the results of the checks that they
    /// finish.
    fn cache_records(
        &mut self,
        records: Vec<JobRecord>,
        is_requested: impl Fn(&str) -> bool,
    ) -> Vec<PollEffect> {
        let mut final_states = Vec::new();
        for JobRecord { job, content } in records {
            let is_cached = is_requested(&job) || self.known_jobs.has_room();
            let final_state = match content {
                RecordContent::Finished(state) => Some(state),
                RecordContent::Open {
                    waits_on,
                    cancelled,
                } => {
                    if is_cached {
                        self.known_jobs.insert_accepted(&job, &waits_on);
                        self.checks.found(&job);
                        self.scan_dependencies_of(&job);
                    }
                    cancelled.then_some(JobState::Cancelled)
                }
            };
            if let Some(state) = final_state {
                if is_cached {
                    self.known_jobs.insert_final_state(&job, state);
                    self.checks.found(&job);
                    self.dependencies.read(&job);
                }
                final_states.push(JobFinalState { job, state });
            }
        }
        let mut effects = Vec::new();
        if !final_states.is_empty() {
            effects.push(PollEffect::FinalStatesRecorded(final_states));
        }
        effects.extend(self.checks.finish_known(&self.known_jobs));
        effects
    }

    /// Continues the scan with the dependencies of a dependency whose open record was read, so that
    /// they are known when a poll is retried.
    fn scan_dependencies_of(&mut self, job: &str) {
        if !self.dependencies.is_unread(job) {
            return;
        }
        let unread = self.known_jobs.unread_dependencies(job);
        for job in &unread {
            self.reads.push(&RecordKey::open(job));
        }
        self.dependencies.add_discovered(&unread);
        if self.dependencies.discovered() > self.limits.polls_per_comparison() {
            self.dependencies.add_unconfirmed(&unread);
        }
        self.dependencies.read(job);
    }

    /// Answers the polls whose records have been cached. A job whose open record was found is pending if
    /// it has no dependencies; otherwise the dependencies are compared next.
    fn answer_awaiting(&mut self, is_cached: impl Fn(&RecordKey) -> bool) -> Vec<PollEffect> {
        let mut effects = Vec::new();
        for awaiting in self.queue.take_awaiting(is_cached) {
            let poll = awaiting.poll;
            let job = &poll.poll.job;
            let state = match self.known_jobs.final_state(job) {
                Some(state) => state,
                None if self.known_jobs.has_no_dependencies(job) => JobState::Pending,
                None => {
                    self.queue.push(poll);
                    continue;
                }
            };
            let status = status_without_counts(job, state);
            effects.push(self.queue.answer(&poll, Answer::Known(status)));
        }
        effects
    }

    /// Handles expected records that a read did not find. A missing open record has been replaced by the
    /// final state record, which is read next. A final state record is never deleted, so a missing one
    /// can't be decoded.
    fn on_missing(
        &mut self,
        kind: RecordKind,
        is_missing: impl Fn(&RecordKey) -> bool,
        now: Time,
    ) -> Vec<PollEffect> {
        let missing = self.queue.take_awaiting(&is_missing).into_iter();
        if kind == RecordKind::FinalState {
            let polls: Vec<PendingPoll> = missing.map(|awaiting| awaiting.poll).collect();
            let mut effects = self.queue.reject_all(&polls, now);
            let is_final_missing = |job: &str| is_missing(&RecordKey::final_state(job));
            effects.extend(self.checks.without_final_state(is_final_missing));
            return effects;
        }
        for awaiting in missing {
            self.await_read(awaiting.poll, RecordKey::final_state(&awaiting.key.job));
        }
        let is_open_missing = |job: &str| is_missing(&RecordKey::open(job));
        let mut finished = self.dependencies.unread_in(is_open_missing);
        finished.extend(self.checks.without_open_record(is_open_missing));
        for job in &finished {
            self.reads.push(&RecordKey::final_state(job));
        }
        Vec::new()
    }

    /// Handles a failed read: queues the record again, so that it is read for the retries of the polls.
    fn on_read_failed(&mut self, key: &RecordKey, now: Time) -> Vec<PollEffect> {
        self.reads.push(key);
        self.checks.read_failed();
        let failed = self.queue.take_awaiting(|awaited| awaited == key);
        let polls: Vec<PendingPoll> = failed.into_iter().map(|f| f.poll).collect();
        self.queue.reject_all(&polls, now)
    }
}

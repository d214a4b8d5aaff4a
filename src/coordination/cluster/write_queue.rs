//! Writes to the store: what is in flight, what waits, and the rate limit that they keep to.

use super::placement_records::SentPlacements;
use crate::coordination::state::JobId;
use crate::coordination::Time;
use crate::storage::token_bucket::TokenBucket;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Writes that may be in flight at once.
const MAX_WRITES_IN_FLIGHT: usize = 3;
/// The share of the store's write rate for records; the rest is for users and leases.
const RECORD_SHARE: f64 = 0.6;
/// Seconds before the next write after one that was rejected.
const REJECTED_PAUSE_S: f64 = 0.25;
/// The share of the burst that removals of stale records leave to other writes.
const REMOVAL_LEVEL: f64 = 0.75;
/// How many removals may be put off.
const MAX_STALE_KEYS: usize = 1000;

/// What a write in flight holds.
#[derive(Default)]
pub(super) struct WriteInFlight {
    /// A placement record.
    pub(super) placements: Option<SentPlacements>,
    /// Records of completed tasks.
    pub(super) completions: Vec<CompletionRecordId>,
    /// The job whose end it records.
    pub(super) end: Option<JobId>,
    /// Keys that it removes.
    pub(super) removals: Vec<String>,
}

/// Identifies a record of completed tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CompletionRecordId {
    /// The job.
    pub(super) job: JobId,
    /// Which of its shards.
    pub(super) shard: usize,
}

/// A record of completed tasks that is out of date.
#[derive(Clone, Debug)]
pub(super) struct OutdatedCompletions {
    /// Since when it is.
    pub(super) since: Time,
    /// The record.
    pub(super) record: CompletionRecordId,
}

/// Changes of the store by what they were for, and the launches that they allowed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteStats {
    /// Changes that recorded ends of jobs.
    pub ends: usize,
    /// Changes of placement records.
    pub placements: usize,
    /// Launches that these allowed.
    pub launches: usize,
    /// Changes of records of completed tasks.
    pub completions: usize,
    /// Removals of stale records.
    pub removals: usize,
}

/// The queue of writes to the store.
pub(super) struct WriteQueue {
    in_flight: BTreeMap<u64, WriteInFlight>,
    /// Records of completed tasks that are out of date, the oldest first.
    outdated_completions: VecDeque<OutdatedCompletions>,
    /// Records that are of no use any more.
    stale_keys: BTreeSet<String>,
    limit: TokenBucket,
    paused_until: Time,
    /// How many operations a transaction may have.
    max_operations: usize,
    stats: WriteStats,
}

impl WriteQueue {
    /// An empty queue for a store with this write rate, whose transactions may have so many operations.
    pub(super) fn new(write_rps: f64, max_operations: usize) -> WriteQueue {
        let rate = write_rps * RECORD_SHARE;
        WriteQueue {
            in_flight: BTreeMap::new(),
            outdated_completions: VecDeque::new(),
            stale_keys: BTreeSet::new(),
            limit: TokenBucket::new(rate, rate),
            paused_until: 0.0,
            max_operations,
            stats: WriteStats::default(),
        }
    }

    /// The store accepts fewer writes from now on.
    pub(super) fn lower_rate(&mut self, write_rps: f64) {
        let rate = write_rps * RECORD_SHARE;
        self.limit.lower(rate, rate);
    }

    /// Whether another write may be sent now, as far as those in flight are concerned.
    pub(super) fn has_capacity(&self) -> bool {
        self.in_flight.len() < MAX_WRITES_IN_FLIGHT
    }

    /// Whether writes are paused, after one that was rejected.
    pub(super) fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Pauses writes, as one was rejected.
    pub(super) fn pause(&mut self, now: Time) {
        self.paused_until = now + REJECTED_PAUSE_S;
    }

    /// How many writes are in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// A write is sent.
    pub(super) fn sent(&mut self, id: u64, write: WriteInFlight) {
        self.in_flight.insert(id, write);
    }

    /// A write is over.
    pub(super) fn finished(&mut self, id: u64) -> Option<WriteInFlight> {
        self.in_flight.remove(&id)
    }

    /// How many changes the rate limit allows now.
    pub(super) fn available(&mut self, now: Time) -> f64 {
        self.limit.level(now)
    }

    /// How many changes the rate limit allows at once at the most.
    pub(super) fn burst(&self) -> f64 {
        self.limit.burst()
    }

    /// Whether the rate limit is needed for what is urgent.
    pub(super) fn is_scarce(&mut self, now: Time) -> bool {
        self.limit.level(now) < self.limit.burst() / 2.0
    }

    /// Spends changes if the rate limit allows them all.
    pub(super) fn spend(&mut self, changes: usize, now: Time) -> bool {
        self.limit.take(now, changes as f64)
    }

    /// How many operations a transaction may have.
    pub(super) fn max_operations(&self) -> usize {
        self.max_operations
    }

    /// Halves how many operations a transaction may have, as one was too large.
    pub(super) fn halve_operations(&mut self) {
        self.max_operations = (self.max_operations / 2).max(1);
    }

    /// A record of completed tasks is out of date.
    pub(super) fn push_outdated(&mut self, outdated: OutdatedCompletions) {
        self.outdated_completions.push_back(outdated);
    }

    /// Takes the oldest record of completed tasks that has been out of date for `max_age_s`.
    pub(super) fn pop_outdated(
        &mut self,
        max_age_s: f64,
        now: Time,
    ) -> Option<OutdatedCompletions> {
        let oldest = self.outdated_completions.front()?;
        if now - oldest.since < max_age_s {
            return None;
        }
        self.outdated_completions.pop_front()
    }

    /// Puts back, in their order, records that could not be written now.
    pub(super) fn put_back_outdated(&mut self, outdated: Vec<OutdatedCompletions>) {
        for entry in outdated.into_iter().rev() {
            self.outdated_completions.push_front(entry);
        }
    }

    /// Records are of no use any more.
    pub(super) fn add_stale_keys(&mut self, keys: impl IntoIterator<Item = String>) {
        self.stale_keys.extend(keys);
    }

    /// How many records are to be removed.
    pub(super) fn stale_keys(&self) -> usize {
        self.stale_keys.len()
    }

    /// Takes as many stale keys as one transaction removes, and spends their changes. Nothing hurries
    /// them: they leave room for what does, until they are too many.
    pub(super) fn take_stale_keys(&mut self, now: Time) -> Vec<String> {
        let keys = self.stale_keys.iter().take(self.max_operations);
        let keys: Vec<String> = keys.cloned().collect();
        let available = self.limit.level(now);
        let is_scarce = available < self.limit.burst() * REMOVAL_LEVEL;
        let must_wait = is_scarce && self.stale_keys.len() < MAX_STALE_KEYS;
        if keys.is_empty() || available < keys.len() as f64 || must_wait {
            return Vec::new();
        }
        for key in &keys {
            self.stale_keys.remove(key);
        }
        self.spend(keys.len(), now);
        self.stats.removals += keys.len();
        keys
    }

    /// The changes since the last summary, to be counted.
    pub(super) fn stats_mut(&mut self) -> &mut WriteStats {
        &mut self.stats
    }

    /// Takes the changes since the last summary.
    pub(super) fn take_stats(&mut self) -> WriteStats {
        std::mem::take(&mut self.stats)
    }
}

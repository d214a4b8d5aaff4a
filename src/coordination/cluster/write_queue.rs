//! Writes to the key-value store: those in flight, those that wait, and their rate limit.

use super::placement_records::SentPlacements;
use crate::coordination::state::JobId;
use crate::coordination::Time;
use crate::storage::token_bucket::TokenBucket;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Writes that may be in flight at once.
const MAX_WRITES_IN_FLIGHT: usize = 3;
/// The share of the store's write rate for records; the rest is for users' requests and leases.
const RECORD_SHARE: f64 = 0.6;
/// Seconds before the next write after a rejected one.
const REJECTED_PAUSE_S: f64 = 0.25;
/// Removals of stale records wait while less than this share of the burst is available.
const REMOVAL_MIN_BURST_SHARE: f64 = 0.75;
/// Removals no longer wait for other writes once there are this many.
const MAX_STALE_KEYS: usize = 1000;

/// The contents of a write in flight.
#[derive(Default)]
pub(super) struct WriteInFlight {
    /// A placement record.
    pub(super) placements: Option<SentPlacements>,
    /// Completion records.
    pub(super) completions: Vec<CompletionRecordId>,
    /// The job whose final state is recorded.
    pub(super) final_state: Option<JobId>,
    /// Keys to remove.
    pub(super) removals: Vec<String>,
}

/// Identifies a completion record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CompletionRecordId {
    /// The job.
    pub(super) job: JobId,
    /// The index of the shard in the job.
    pub(super) shard: usize,
}

/// A completion record that is outdated.
#[derive(Clone, Debug)]
pub(super) struct OutdatedCompletions {
    /// Since when it has been outdated.
    pub(super) since: Time,
    /// The record.
    pub(super) record: CompletionRecordId,
}

/// Write operations since the last summary by purpose, and the launches that they allowed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteStats {
    /// Operations that recorded final states of jobs.
    pub final_states: usize,
    /// Writes of placement records.
    pub placements: usize,
    /// Launches that these writes allowed.
    pub launches: usize,
    /// Writes of completion records.
    pub completions: usize,
    /// Removals of stale records.
    pub removals: usize,
}

/// The queue of writes to the store.
pub(super) struct WriteQueue {
    in_flight: BTreeMap<u64, WriteInFlight>,
    /// Outdated completion records, the oldest first.
    outdated_completions: VecDeque<OutdatedCompletions>,
    /// Keys of records that are no longer needed.
    stale_keys: BTreeSet<String>,
    limit: TokenBucket,
    paused_until: Time,
    /// The most operations that a transaction may have.
    max_operations: usize,
    stats: WriteStats,
}

impl WriteQueue {
    /// An empty queue for a store with this write rate and this limit of operations per transaction.
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

    /// Lowers the write rate, as the store accepts fewer writes from now on.
    pub(super) fn lower_rate(&mut self, write_rps: f64) {
        let rate = write_rps * RECORD_SHARE;
        self.limit.lower(rate, rate);
    }

    /// Whether the limit of writes in flight allows another one.
    pub(super) fn has_capacity(&self) -> bool {
        self.in_flight.len() < MAX_WRITES_IN_FLIGHT
    }

    /// Whether writes are paused after a rejected one.
    pub(super) fn is_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Pauses writes after a rejected one.
    pub(super) fn pause(&mut self, now: Time) {
        self.paused_until = now + REJECTED_PAUSE_S;
    }

    /// The number of writes in flight.
    pub(super) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Adds a write that was sent.
    pub(super) fn sent(&mut self, id: u64, write: WriteInFlight) {
        self.in_flight.insert(id, write);
    }

    /// Removes a write that has finished.
    pub(super) fn finished(&mut self, id: u64) -> Option<WriteInFlight> {
        self.in_flight.remove(&id)
    }

    /// The number of write operations that the rate limit allows now.
    pub(super) fn available(&mut self, now: Time) -> f64 {
        self.limit.level(now)
    }

    /// The largest number of write operations that the rate limit allows at once.
    pub(super) fn burst(&self) -> f64 {
        self.limit.burst()
    }

    /// Whether the remaining rate should be kept for urgent writes.
    pub(super) fn is_scarce(&mut self, now: Time) -> bool {
        self.limit.level(now) < self.limit.burst() / 2.0
    }

    /// Takes write operations from the rate limit; returns whether it allowed them all.
    pub(super) fn spend(&mut self, operations: usize, now: Time) -> bool {
        self.limit.take(now, operations as f64)
    }

    /// The most operations that a transaction may have.
    pub(super) fn max_operations(&self) -> usize {
        self.max_operations
    }

    /// Halves the limit of operations per transaction, after a write that was too large.
    pub(super) fn halve_operations(&mut self) {
        self.max_operations = (self.max_operations / 2).max(1);
    }

    /// Adds an outdated completion record.
    pub(super) fn push_outdated(&mut self, outdated: OutdatedCompletions) {
        self.outdated_completions.push_back(outdated);
    }

    /// Adds a completion record that is due now, before the others.
    pub(super) fn push_due(&mut self, outdated: OutdatedCompletions) {
        self.outdated_completions.push_front(outdated);
    }

    /// Takes the oldest completion record if it has been outdated for `max_age_s`.
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

    /// Adds keys of records that are no longer needed.
    pub(super) fn add_stale_keys(&mut self, keys: impl IntoIterator<Item = String>) {
        self.stale_keys.extend(keys);
    }

    /// The number of keys to remove.
    pub(super) fn stale_key_count(&self) -> usize {
        self.stale_keys.len()
    }

    /// Takes as many stale keys as one transaction removes, and their operations from the rate limit.
    /// Removals are not urgent: they leave the rate to other writes until too many accumulate.
    pub(super) fn take_stale_keys(&mut self, now: Time) -> Vec<String> {
        let keys = self.stale_keys.iter().take(self.max_operations);
        let keys: Vec<String> = keys.cloned().collect();
        let available = self.limit.level(now);
        let is_scarce = available < self.limit.burst() * REMOVAL_MIN_BURST_SHARE;
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

    /// The statistics since the last summary, for counting.
    pub(super) fn stats_mut(&mut self) -> &mut WriteStats {
        &mut self.stats
    }

    /// Takes the statistics since the last summary.
    pub(super) fn take_stats(&mut self) -> WriteStats {
        std::mem::take(&mut self.stats)
    }
}

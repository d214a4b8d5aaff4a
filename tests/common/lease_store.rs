//! A model of the state service in virtual time, with the keys, versions, compare-and-swap transactions and
//! leases of the protocol.

use super::random::SplitMix64;
use serde_json::Value;
use stairstage::coordination::election::CurrentLeader;
use stairstage::protocol::store::{Event, Events, LeaseId, Transaction, WriteOperation};
use stairstage::storage::key_value_store::{CommitOutcome, Renewal};
use stairstage::storage::records::{LeaderRecord, LEADER_KEY};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Virtual time in microseconds.
pub(crate) type Micros = u64;

/// A second in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;
/// The most by which a lease expires late.
pub(crate) const MAX_EXPIRY_DELAY: Micros = SECOND / 10;

/// Pseudo-random numbers that depend only on the seed.
pub(crate) struct Random(SplitMix64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(SplitMix64(seed))
    }

    /// A number from `low` to `high`, both included.
    pub(crate) fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.0.next() % (high - low + 1)
    }

    /// A number in a range.
    pub(crate) fn within(&mut self, range: RangeInclusive<u64>) -> u64 {
        self.between(*range.start(), *range.end())
    }

    /// True with the given probability.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        (self.between(0, 999_999) as f64) < probability * 1e6
    }
}

/// The value of a key, its version, and the lease to which it is attached.
struct StoredKey {
    value: Value,
    version: u64,
    lease: Option<LeaseId>,
}

/// A lease with its lifetime and the time of its expiry.
struct Lease {
    life: Micros,
    expires_at: Micros,
}

/// The state service.
pub(crate) struct LeaseStore {
    revision: u64,
    keys: BTreeMap<String, StoredKey>,
    leases: BTreeMap<LeaseId, Lease>,
    leader_changes: Vec<Event>,
    /// Which controller wrote each version of the leader's record.
    pub leader_versions: BTreeMap<u64, String>,
    pub outage: bool,
    random: Random,
    max_expiry_delay: Micros,
}

impl LeaseStore {
    /// Leases expire late by up to `max_expiry_delay`.
    pub(crate) fn new(seed: u64, max_expiry_delay: Micros) -> LeaseStore {
        LeaseStore {
            revision: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            leader_changes: Vec::new(),
            leader_versions: BTreeMap::new(),
            outage: false,
            random: Random::new(seed),
            max_expiry_delay,
        }
    }

    /// When the next lease expires; none does during an outage.
    pub(crate) fn next_lease_expiry(&self) -> Option<Micros> {
        let expiries = self.leases.values().map(|lease| lease.expires_at);
        expiries.min().filter(|_| !self.outage)
    }

    /// Releases the leases that have expired.
    pub(crate) fn expire(&mut self, now: Micros) {
        if self.outage {
            return;
        }
        let is_expired = |(id, lease): (&LeaseId, &Lease)| (lease.expires_at <= now).then_some(*id);
        let expired: Vec<LeaseId> = self.leases.iter().filter_map(is_expired).collect();
        for lease in expired {
            self.release(lease);
        }
    }

    /// Ends an outage. Every lease has its full lifetime again.
    pub(crate) fn end_outage(&mut self, now: Micros) {
        self.outage = false;
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.life + self.random.between(0, self.max_expiry_delay);
        }
    }

    /// Grants a lease with the lifetime `life`.
    pub(crate) fn grant(&mut self, life: Micros, now: Micros) -> LeaseId {
        self.revision += 1;
        let expires_at = now + life + self.random.between(0, self.max_expiry_delay);
        let lease = LeaseId(self.revision);
        self.leases.insert(lease, Lease { life, expires_at });
        lease
    }

    /// Renews a lease that has not expired.
    pub(crate) fn renew(&mut self, lease: LeaseId, now: Micros) -> Renewal {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return Renewal::Expired;
        };
        lease.expires_at = now + lease.life + self.random.between(0, self.max_expiry_delay);
        Renewal::Renewed
    }

    /// Removes a lease, and deletes the keys attached to it.
    pub(crate) fn release(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let attached = |(key, stored): (&String, &StoredKey)| {
            (stored.lease == Some(lease)).then(|| key.clone())
        };
        let keys: Vec<String> = self.keys.iter().filter_map(attached).collect();
        for key in keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.record_change(&key, None);
        }
    }

    /// The version of a key, or 0 if the key does not exist.
    pub(crate) fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.version)
    }

    /// The leader according to its record.
    pub(crate) fn leader(&self) -> Option<CurrentLeader> {
        let stored = self.keys.get(LEADER_KEY)?;
        let record: LeaderRecord = serde_json::from_value(stored.value.clone()).unwrap();
        Some(CurrentLeader {
            name: record.node,
            version: stored.version,
        })
    }

    /// Applies a transaction if its leases have not expired and all its conditions hold.
    pub(crate) fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        let lease_of = |operation: &WriteOperation| match operation {
            WriteOperation::Put { lease, .. } => *lease,
            WriteOperation::Delete { .. } => None,
        };
        let mut leases = transaction.operations.iter().filter_map(lease_of);
        if leases.any(|lease| !self.leases.contains_key(&lease)) {
            return CommitOutcome::LeaseExpired;
        }
        let compares = transaction.compares.iter();
        let failed: Vec<String> = compares
            .filter(|compare| self.version(&compare.key) != compare.version)
            .map(|compare| compare.key.clone())
            .collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed);
        }
        self.revision += 1;
        for operation in &transaction.operations {
            self.apply(operation);
        }
        CommitOutcome::Applied(self.revision)
    }

    /// Applies one operation at the present revision.
    fn apply(&mut self, operation: &WriteOperation) {
        match operation {
            WriteOperation::Put { key, value, lease } => {
                let stored = StoredKey {
                    value: value.clone(),
                    version: self.revision,
                    lease: *lease,
                };
                self.keys.insert(key.clone(), stored);
                self.record_change(key, Some(value.clone()));
            }
            WriteOperation::Delete { key } => {
                self.keys.remove(key);
                self.record_change(key, None);
            }
        }
    }

    /// Keeps a change of the leader's record for watches.
    fn record_change(&mut self, key: &str, value: Option<Value>) {
        if key != LEADER_KEY {
            return;
        }
        if let Some(leader) = self.leader() {
            self.leader_versions.insert(leader.version, leader.name);
        }
        self.leader_changes.push(Event {
            put: value.is_some().then(|| key.to_string()),
            delete: value.is_none().then(|| key.to_string()),
            value: value.unwrap_or_default(),
            version: self.revision,
        });
    }

    /// The changes of the leader's record after a revision.
    pub(crate) fn leader_changes_after(&self, revision: u64) -> Events {
        let changes = self.leader_changes.iter();
        Events {
            revision: self.revision,
            events: changes
                .filter(|change| change.version > revision)
                .cloned()
                .collect(),
        }
    }
}

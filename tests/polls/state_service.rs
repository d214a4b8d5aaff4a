//! A state service with a limit on requests, which others use for the most part.

use crate::common::random::SplitMix64;
use crate::common::Store;
use crate::jobs;
use serde_json::Value;
use stairstage::coordination::requests::{StoreAnswer, StoreCall};
use stairstage::protocol::job::JobState;
use stairstage::storage::key_value_store::{CommitOutcome, Unavailable};
use stairstage::storage::records::{final_state_key, open_key};
use stairstage::storage::token_bucket::TokenBucket;
use std::collections::BTreeMap;

/// Jobs that end in a second.
const ENDS_PER_S: f64 = 10.0;
/// What others ask for in a second, as a share of the requests: the leader's records and lease, and
/// what users submit and cancel.
const OTHERS_SHARE: f64 = 0.9;

/// The state service with the records of jobs, which others use too.
pub(crate) struct StateService {
    store: Store,
    requests: TokenBucket,
    rps: f64,
    /// How jobs have ended.
    pub ends: BTreeMap<usize, JobState>,
    random: SplitMix64,
    others: f64,
    ends_due: f64,
    open: Vec<usize>,
}

impl StateService {
    pub(crate) fn new(seed: u64, rps: f64, jobs: usize) -> StateService {
        let mut service = StateService {
            store: Store::default(),
            requests: TokenBucket::new(rps, rps),
            rps,
            ends: BTreeMap::new(),
            random: SplitMix64(seed),
            others: 0.0,
            ends_due: 0.0,
            open: Vec::new(),
        };
        for number in (0..jobs).filter(|number| jobs::is_submitted(*number)) {
            service.write(open_key(&jobs::id_of(number)), jobs::record_of(number));
            service.open.push(number);
        }
        service
    }

    /// Writes a key.
    fn write(&mut self, key: String, value: Value) {
        self.store.revision += 1;
        let version = self.store.revision;
        self.store.values.insert(key, (value, version));
    }

    /// Others ask for their part, and jobs end.
    pub(crate) fn pass(&mut self, seconds: f64, now: f64) {
        self.others += OTHERS_SHARE * self.rps * seconds;
        while self.others >= 1.0 {
            self.others -= 1.0;
            self.requests.take(now, 1.0);
        }
        self.ends_due += ENDS_PER_S * seconds;
        while self.ends_due >= 1.0 {
            self.ends_due -= 1.0;
            self.end_random_job();
        }
    }

    /// One of the open jobs ends, unless it waits for one that is open; with a cancelled one, what
    /// waits for it ends at once.
    fn end_random_job(&mut self) {
        let Some(index) =
            (!self.open.is_empty()).then(|| self.random.next() as usize % self.open.len())
        else {
            return;
        };
        let number = self.open[index];
        let needed = jobs::waits_on(number);
        if needed.is_some_and(|needed| self.open.contains(&needed)) {
            return;
        }
        let (state, value) = jobs::end_of(&mut self.random);
        self.record_end(number, state, &value);
        let dependent = number + 1;
        let waits = jobs::waits_on(dependent) == Some(number) && self.open.contains(&dependent);
        if state == JobState::Cancelled && waits {
            self.record_end(dependent, state, &value);
        }
    }

    /// A job ends.
    fn record_end(&mut self, number: usize, state: JobState, value: &Value) {
        self.open.retain(|open| *open != number);
        self.store.values.remove(&open_key(&jobs::id_of(number)));
        self.write(final_state_key(&jobs::id_of(number)), value.clone());
        self.ends.insert(number, state);
    }

    /// Answers a node's call, or refuses it as one too many.
    pub(crate) fn answer(&mut self, call: &StoreCall, now: f64) -> StoreAnswer {
        let allowed = self.requests.take(now, 1.0);
        match call {
            StoreCall::Read(key) => StoreAnswer::Read(if allowed {
                Ok(self.store.item(key))
            } else {
                Err(Unavailable)
            }),
            StoreCall::List {
                under,
                after,
                limit,
            } => StoreAnswer::Listed(if allowed {
                Ok(self.store.page(under, after, *limit))
            } else {
                Err(Unavailable)
            }),
            StoreCall::Commit(transaction) if !transaction.operations.is_empty() => {
                panic!("polls write nothing: {transaction:?}")
            }
            StoreCall::Commit(transaction) => StoreAnswer::Committed(if allowed {
                self.store.compared(transaction)
            } else {
                CommitOutcome::RateLimited
            }),
        }
    }
}

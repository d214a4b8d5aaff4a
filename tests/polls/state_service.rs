//! A state service with a request limit that other clients mostly use up.

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

/// Jobs that reach a final state per second.
const FINAL_STATES_PER_S: f64 = 10.0;
/// The share of the request limit that other requests use: the leader's records and lease, and users'
/// submissions and cancellations.
const OTHER_CLIENTS_SHARE: f64 = 0.9;

/// The state service with the records of all jobs, shared with other clients.
pub(crate) struct StateService {
    store: Store,
    requests: TokenBucket,
    rps: f64,
    /// The final states of jobs.
    pub final_states: BTreeMap<usize, JobState>,
    random: SplitMix64,
    other_requests: f64,
    final_states_due: f64,
    open: Vec<usize>,
}

impl StateService {
    pub(crate) fn new(seed: u64, rps: f64, jobs: usize) -> StateService {
        let mut service = StateService {
            store: Store::default(),
            requests: TokenBucket::new(rps, rps),
            rps,
            final_states: BTreeMap::new(),
            random: SplitMix64(seed),
            other_requests: 0.0,
            final_states_due: 0.0,
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

    /// Advances the time: other clients use their share of requests, and some jobs finish.
    pub(crate) fn advance(&mut self, seconds: f64, now: f64) {
        self.other_requests += OTHER_CLIENTS_SHARE * self.rps * seconds;
        while self.other_requests >= 1.0 {
            self.other_requests -= 1.0;
            self.requests.take(now, 1.0);
        }
        self.final_states_due += FINAL_STATES_PER_S * seconds;
        while self.final_states_due >= 1.0 {
            self.final_states_due -= 1.0;
            self.finish_random_job();
        }
    }

    /// Finishes a random open job, unless its dependency is open. If the job is cancelled, its dependent
    /// is cancelled too.
    fn finish_random_job(&mut self) {
        let Some(index) =
            (!self.open.is_empty()).then(|| self.random.next() as usize % self.open.len())
        else {
            return;
        };
        let number = self.open[index];
        let dependency = jobs::dependency_of(number);
        if dependency.is_some_and(|dependency| self.open.contains(&dependency)) {
            return;
        }
        let (state, value) = jobs::random_final_state(&mut self.random);
        self.record_final_state(number, state, &value);
        let dependent = number + 1;
        let depends =
            jobs::dependency_of(dependent) == Some(number) && self.open.contains(&dependent);
        if state == JobState::Cancelled && depends {
            self.record_final_state(dependent, state, &value);
        }
    }

    /// Replaces the open record of a job with its final state.
    fn record_final_state(&mut self, number: usize, state: JobState, value: &Value) {
        self.open.retain(|open| *open != number);
        self.store.values.remove(&open_key(&jobs::id_of(number)));
        self.write(final_state_key(&jobs::id_of(number)), value.clone());
        self.final_states.insert(number, state);
    }

    /// Answers a controller's call, or rejects it if it exceeds the request limit.
    pub(crate) fn answer(&mut self, call: &StoreCall, now: f64) -> StoreAnswer {
        let allowed = self.requests.take(now, 1.0);
        match call {
            StoreCall::Read(key) => StoreAnswer::Read(if allowed {
                Ok(self.store.get(key))
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
                panic!("a poll must not write: {transaction:?}")
            }
            StoreCall::Commit(transaction) => StoreAnswer::Committed(if allowed {
                self.store.check_conditions(transaction)
            } else {
                CommitOutcome::RateLimited
            }),
        }
    }
}

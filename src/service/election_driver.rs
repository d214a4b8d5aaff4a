//! Carries out the operations of an [`Election`], on a thread of its own.

use crate::coordination::election::{
    CurrentLeader, Election, ElectionEvent, ElectionRequest, Input, Operation,
};
use crate::coordination::Time;
use crate::service::upgrade::SharedWriteFence;
use crate::storage::key_value_store::{KeyValueStore, Unavailable};
use crate::storage::records::{LeaderRecord, LEADER_KEY};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use stairstage_upgrade::fence::Refusal;
use std::time::{Duration, Instant};

/// Requests that may wait. The controller has at most three for each term.
const MAX_REQUESTS: usize = 16;

/// The channel by which the controller speaks to the election.
pub fn requests() -> (Sender<ElectionRequest>, Receiver<ElectionRequest>) {
    crossbeam::channel::bounded(MAX_REQUESTS)
}

pub struct ElectionDriver {
    pub election: Election,
    pub store: KeyValueStore,
    /// The zero of the clock by which the controller reads the lease's end.
    pub epoch: Instant,
    pub notify: Box<dyn Fn(ElectionEvent) + Send>,
    pub requests: Receiver<ElectionRequest>,
    pub clearance: SharedWriteFence,
}

impl ElectionDriver {
    /// Goes on until the controller is gone.
    pub fn run(mut self) {
        let mut step = self.election.start();
        loop {
            for event in step.events {
                (self.notify)(event);
            }
            let Some(input) = self.carry_out(step.operation) else {
                return;
            };
            step = self.election.handle(input, self.now());
        }
    }

    fn now(&self) -> Time {
        self.epoch.elapsed().as_secs_f64()
    }

    /// `None` when the controller is gone, or may lead no more.
    fn carry_out(&self, operation: Operation) -> Option<Input> {
        Some(match operation {
            Operation::Read { timeout } => Input::Read(self.read(timeout)),
            Operation::Watch { after, hold } => {
                Input::Watched(self.store.watch(LEADER_KEY, after, hold))
            }
            // A campaign begins with a lease.
            Operation::Grant { life } => match self.clearance.get().refusal() {
                None => Input::Granted(self.store.grant(life)),
                Some(Refusal::VersionUnread) => Input::Granted(Err(Unavailable)),
                Some(Refusal::Withdrawn(_)) => return None,
            },
            Operation::Commit {
                transaction,
                timeout: None,
            } => Input::Committed(self.store.commit(&transaction)),
            Operation::Commit {
                transaction,
                timeout: Some(timeout),
            } => Input::Committed(self.store.commit_within(&transaction, timeout)),
            Operation::Renew { lease, timeout } => Input::Renewed(self.store.renew(lease, timeout)),
            Operation::Release { lease } => {
                self.store.release(lease);
                Input::Released
            }
            Operation::Wait { until } => return self.wait(until),
        })
    }

    fn read(&self, timeout: Option<Duration>) -> Result<Option<CurrentLeader>, Unavailable> {
        let read = match timeout {
            Some(timeout) => self
                .store
                .read_within::<LeaderRecord>(LEADER_KEY, timeout)?,
            None => self.store.read::<LeaderRecord>(LEADER_KEY)?,
        };
        Ok(read.map(|(record, version)| CurrentLeader {
            node: record.node,
            version,
        }))
    }

    fn wait(&self, until: Time) -> Option<Input> {
        let deadline = self.epoch + Duration::from_secs_f64(until);
        match self.requests.recv_deadline(deadline) {
            Ok(request) => Some(Input::Requested(request)),
            Err(RecvTimeoutError::Timeout) => Some(Input::Elapsed),
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }
}

//! The driver of an [`Election`]: carries out its operations on a thread of its own.

use crate::coordination::election::{
    CurrentLeader, Election, ElectionEvent, ElectionRequest, Input, Operation,
};
use crate::coordination::Time;
use crate::service::upgrade::SharedWriteFence;
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::outcome::Unavailable;
use crate::storage::records::{LeaderRecord, LEADER_KEY};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use stairstage_upgrade::fence::Refusal;
use std::time::{Duration, Instant};

/// The capacity of the queue of requests. The controller makes at most three in each term.
const MAX_REQUESTS: usize = 16;

/// The queue of the controller's requests to the election.
pub fn request_queue() -> (Sender<ElectionRequest>, Receiver<ElectionRequest>) {
    crossbeam::channel::bounded(MAX_REQUESTS)
}

/// An election with what it needs to run.
pub struct ElectionDriver {
    /// The state machine.
    pub election: Election,
    /// The state service that holds the leader's record.
    pub store: KeyValueStore,
    /// The zero of the clock that the controller compares the lease's end with.
    pub epoch: Instant,
    /// Reports an event to the controller.
    pub notify: Box<dyn Fn(ElectionEvent) + Send>,
    /// The controller's requests.
    pub requests: Receiver<ElectionRequest>,
    /// The write fence: a controller that must not write does not campaign.
    pub write_fence: SharedWriteFence,
}

impl ElectionDriver {
    /// Runs the election until the controller has ended, or must not lead any more.
    pub fn run(mut self) {
        let mut step = self.election.start();
        loop {
            for event in step.events {
                (self.notify)(event);
            }
            let Some(input) = self.execute(step.operation) else {
                return;
            };
            step = self.election.handle(input, self.now());
        }
    }

    fn now(&self) -> Time {
        self.epoch.elapsed().as_secs_f64()
    }

    /// Executes an operation. `None` if the controller has ended, or must not lead any more.
    fn execute(&self, operation: Operation) -> Option<Input> {
        Some(match operation {
            Operation::Read { timeout } => Input::Read(self.read(timeout)),
            Operation::Watch { after, hold } => {
                Input::Watched(self.store.watch(LEADER_KEY, after, hold))
            }
            // Every campaign begins with a lease.
            Operation::Grant { lease_duration } => match self.write_fence.get().refusal() {
                None => Input::Granted(self.store.grant(lease_duration)),
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
            name: record.node,
            version,
        }))
    }

    /// Waits for that time or a request. `None` if the controller has ended.
    fn wait(&self, until: Time) -> Option<Input> {
        let deadline = self.epoch + Duration::from_secs_f64(until);
        match self.requests.recv_deadline(deadline) {
            Ok(request) => Some(Input::Requested(request)),
            Err(RecvTimeoutError::Timeout) => Some(Input::Elapsed),
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }
}

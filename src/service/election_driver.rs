//! The driver of an [`Election`]: executes its operations on a separate thread.

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

/// The capacity of the request queue. The controller actor makes at most three requests in each term.
const MAX_REQUESTS: usize = 16;

/// Creates the queue of the controller actor's requests to the election.
pub fn request_queue() -> (Sender<ElectionRequest>, Receiver<ElectionRequest>) {
    crossbeam::channel::bounded(MAX_REQUESTS)
}

/// An election, with the connections to the state service and the controller actor.
pub struct ElectionDriver {
    /// The state machine that is driven.
    pub election: Election,
    /// The client of the state service, which stores the leader record.
    pub store: KeyValueStore,
    /// The origin of the times by which the controller actor checks the leadership lease.
    pub epoch: Instant,
    /// Sends an event to the controller actor.
    pub notify: Box<dyn Fn(ElectionEvent) + Send>,
    /// The controller actor's requests.
    pub requests: Receiver<ElectionRequest>,
    /// The write fence: a controller that must not write does not campaign.
    pub write_fence: SharedWriteFence,
}

impl ElectionDriver {
    /// Runs the election until the controller actor has stopped or must not lead any more.
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

    /// Executes an operation; `None` if the controller actor has stopped or must not lead any more.
    fn execute(&self, operation: Operation) -> Option<Input> {
        Some(match operation {
            Operation::Read { timeout } => Input::Read(self.read(timeout)),
            Operation::Watch { after, hold } => {
                Input::Watched(self.store.watch(LEADER_KEY, after, hold))
            }
            // Every campaign begins with the grant of a lease, so a failed check prevents it.
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

    /// Waits until a time or for a request; `None` if the controller actor has stopped.
    fn wait(&self, until: Time) -> Option<Input> {
        let deadline = self.epoch + Duration::from_secs_f64(until);
        match self.requests.recv_deadline(deadline) {
            Ok(request) => Some(Input::Requested(request)),
            Err(RecvTimeoutError::Timeout) => Some(Input::Elapsed),
            Err(RecvTimeoutError::Disconnected) => None,
        }
    }
}

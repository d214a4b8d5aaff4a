//! What the controllers know, and what the leader does.

use crate::jobs::{dependency_of, id_of, recorded_final_state};
use crate::model::{Delivery, Leader};
use crate::simulation::{name_of, Simulation};
use serde_json::json;
use stairstage::coordination::manager::ClusterManager;
use stairstage::coordination::requests::LocalJobView;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::job::{JobState, JobStatus};
use stairstage::protocol::store::Transaction;
use stairstage::storage::key_value_store::CommitOutcome;
use stairstage::storage::records::{
    final_state_key, open_key, FinalStateRecord, OpenRecord, LEADER_KEY,
};

impl Simulation {
    /// The cluster manager of a controller, if it leads.
    fn manager_if_leader(&mut self, controller: usize) -> Option<&mut ClusterManager> {
        let leader = self.leader.as_mut().filter(|l| l.controller == controller);
        leader.map(|l| &mut l.manager)
    }

    /// A controller learns that a job is accepted.
    pub(crate) fn job_accepted(&mut self, controller: usize, record: OpenRecord, version: u64) {
        let is_final = self.controllers[controller]
            .final_states
            .get(&record.spec.id)
            .is_some();
        if is_final && !record.cancelled {
            return;
        }
        if let Some(manager) = self.manager_if_leader(controller) {
            manager.job_accepted(record, version, 0, 0.0);
        }
    }

    /// A controller learns the final state of a job.
    pub(crate) fn final_state_recorded(&mut self, controller: usize, job: u8, state: JobState) {
        self.controllers[controller]
            .final_states
            .insert(&id_of(job), state);
        if let Some(manager) = self.manager_if_leader(controller) {
            manager.final_state_recorded(&id_of(job), state, 0.0);
        }
    }

    /// What a controller knows of a job without asking the state service or a peer.
    pub(crate) fn local_view(&mut self, controller: usize, job: u8) -> LocalJobView {
        let id = id_of(job);
        let final_status = self.controllers[controller]
            .final_states
            .get(&id)
            .map(|&state| JobStatus {
                id: id.clone(),
                state,
                done: 0,
                running: 0,
            });
        let leader = self.controllers[controller]
            .leader
            .filter(|l| *l != controller)
            .map(name_of);
        let manager_view = self.manager_if_leader(controller);
        let is_leader = manager_view.is_some();
        let status = final_status.or_else(|| manager_view.and_then(|manager| manager.status(&id)));
        LocalJobView {
            status,
            is_leader,
            leader,
        }
    }

    /// Elects a controller, which recovers from the records.
    pub(crate) fn elect(&mut self, controller: usize) {
        let record = json!({"node": name_of(controller)});
        let transaction = Transaction::default().put(LEADER_KEY, record);
        let token = self.store.commit(&transaction).unwrap();
        let mut manager = ClusterManager::new(self.settings.clone(), FencingToken(token), 0.0);
        manager.set_lease_valid_until(f64::INFINITY);
        manager.recover(self.store.records(), 0, 0.0);
        self.leader = Some(Leader {
            controller,
            token,
            manager,
        });
        self.controllers[controller].leader = Some(controller);
    }

    /// The leader's lease expires.
    pub(crate) fn expire_lease(&mut self) {
        self.leader = None;
    }

    /// A controller learns who leads.
    pub(crate) fn learn_leader(&mut self, controller: usize) {
        self.controllers[controller].leader = self.leader.as_ref().map(|l| l.controller);
    }

    /// The leader's watch delivers the current record of a job.
    pub(crate) fn deliver_to_leader(&mut self, job: u8) {
        let item = self.store.get(&open_key(&id_of(job)));
        let (Some(item), Some(leader)) = (item, &self.leader) else {
            return;
        };
        let controller = leader.controller;
        let record = serde_json::from_value(item.value).unwrap();
        self.job_accepted(controller, record, item.version);
    }

    /// The leader records the final state of a job: its last task is done, or its dependency is
    /// cancelled. For a cancelled job, whose tasks are all gone, it only deletes the open record.
    pub(crate) fn leader_finishes_job(&mut self, job: u8, delivery: Delivery) {
        let Some(leader) = &self.leader else {
            return;
        };
        let (controller, token) = (leader.controller, leader.token);
        let Some((transaction, final_state)) = self.closing_transaction(leader, job, token) else {
            return;
        };
        if self.controllers[controller].rejected || delivery == Delivery::Rejected {
            return;
        }
        let before = self.store.revision;
        let outcome = self.commit(0, controller, transaction, delivery);
        if final_state.is_some() && self.store.revision > before {
            self.count_requests_during_final_write(job);
        }
        match (outcome, final_state) {
            (CommitOutcome::Applied(_), Some(state)) => {
                self.final_state_recorded(controller, job, state);
            }
            (CommitOutcome::Conflict(_), Some(_)) => {
                if let Some(state) = recorded_final_state(&self.store, job) {
                    self.final_state_recorded(controller, job, state);
                }
            }
            _ => {}
        }
    }

    /// The leader's transaction that closes a job, and the final state in it; like the transaction of
    /// `ClusterManager`.
    fn closing_transaction(
        &self,
        leader: &Leader,
        job: u8,
        token: u64,
    ) -> Option<(Transaction, Option<JobState>)> {
        let (id, dependency) = (id_of(job), dependency_of(job));
        let state = leader.manager.status(&id).map(|status| status.state);
        let is_open = self.store.get(&open_key(&id)).is_some();
        let dependency_state = dependency.map(|n| recorded_final_state(&self.store, n));
        let final_state = match (state, dependency_state) {
            (Some(JobState::Cancelled), _) => None,
            (_, Some(Some(JobState::Cancelled))) if is_open => Some(JobState::Cancelled),
            (Some(_), None | Some(Some(JobState::Done))) => Some(JobState::Done),
            _ => return None,
        };
        let closing = Transaction::default()
            .version(LEADER_KEY, token)
            .delete(open_key(&id));
        let transaction = match final_state {
            None => closing,
            Some(state) => closing.absent(final_state_key(&id)).put(
                final_state_key(&id),
                FinalStateRecord {
                    state,
                    at_ms: Some(0),
                }
                .to_value(),
            ),
        };
        Some((transaction, final_state))
    }
}

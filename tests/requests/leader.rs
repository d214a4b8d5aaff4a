//! What the nodes know, and what the leader does.

use crate::jobs::{dependency_of, id_of, recorded_end};
use crate::parts::{Fate, Leader};
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
    /// The decisions of a node, if it leads.
    fn leads(&mut self, node: usize) -> Option<&mut ClusterManager> {
        let leader = self.leader.as_mut().filter(|l| l.node == node);
        leader.map(|l| &mut l.manager)
    }

    /// A node learns of an accepted job.
    pub(crate) fn job_accepted(&mut self, node: usize, record: OpenRecord, version: u64) {
        let is_over = self.nodes[node].ends.get(&record.spec.id).is_some();
        if is_over && !record.cancelled {
            return;
        }
        if let Some(manager) = self.leads(node) {
            manager.job_accepted(record, version, 0, 0.0);
        }
    }

    /// A node learns of the end of a job.
    pub(crate) fn job_end_recorded(&mut self, node: usize, job: u8, state: JobState) {
        self.nodes[node].ends.insert(&id_of(job), state);
        if let Some(manager) = self.leads(node) {
            manager.job_finished(&id_of(job), state, 0.0);
        }
    }

    /// What a node knows of a job by itself.
    pub(crate) fn locate(&mut self, node: usize, job: u8) -> LocalJobView {
        let id = id_of(job);
        let end = self.nodes[node].ends.get(&id).map(|&state| JobStatus {
            id: id.clone(),
            state,
            done: 0,
            running: 0,
        });
        let leader = self.nodes[node].leader.filter(|l| *l != node).map(name_of);
        let manager_view = self.leads(node);
        let leads = manager_view.is_some();
        let status = end.or_else(|| manager_view.and_then(|manager| manager.status(&id)));
        LocalJobView {
            status,
            is_leader: leads,
            leader,
        }
    }

    /// A node is elected, and reads the records.
    pub(crate) fn elect(&mut self, node: usize) {
        let record = json!({"node": name_of(node)});
        let transaction = Transaction::default().put(LEADER_KEY, record);
        let token = self.store.commit(&transaction).unwrap();
        let mut manager = ClusterManager::new(self.settings.clone(), FencingToken(token), 0.0);
        manager.set_lease_valid_until(f64::INFINITY);
        manager.recover(self.store.records(), 0, 0.0);
        self.leader = Some(Leader {
            node,
            token,
            manager,
        });
        self.nodes[node].leader = Some(node);
    }

    /// The leader's lease is over.
    pub(crate) fn depose(&mut self) {
        self.leader = None;
    }

    /// A node learns who leads.
    pub(crate) fn follow(&mut self, node: usize) {
        self.nodes[node].leader = self.leader.as_ref().map(|l| l.node);
    }

    /// The leader's watch delivers the record of a job as it is now.
    pub(crate) fn deliver_to_leader(&mut self, job: u8) {
        let item = self.store.item(&open_key(&id_of(job)));
        let (Some(item), Some(leader)) = (item, &self.leader) else {
            return;
        };
        let node = leader.node;
        let record = serde_json::from_value(item.value).unwrap();
        self.job_accepted(node, record, item.version);
    }

    /// The leader records how a job has ended in its own state: its last task is done, or its
    /// dependency is cancelled, or nothing of a cancelled job is left.
    pub(crate) fn leader_ends_job(&mut self, job: u8, fate: Fate) {
        let Some(leader) = &self.leader else {
            return;
        };
        let (node, token) = (leader.node, leader.token);
        let Some((transaction, end)) = self.end_of(leader, job, token) else {
            return;
        };
        if self.nodes[node].refused || fate == Fate::Refused {
            return;
        }
        let before = self.store.revision;
        let outcome = self.commit(0, node, transaction, fate);
        if end.is_some() && self.store.revision > before {
            self.end_met_requests(job);
        }
        match (outcome, end) {
            (CommitOutcome::Applied(_), Some(state)) => self.job_end_recorded(node, job, state),
            (CommitOutcome::Conflict(_), Some(_)) => {
                if let Some(state) = recorded_end(&self.store, job) {
                    self.job_end_recorded(node, job, state);
                }
            }
            _ => {}
        }
    }

    /// As `ClusterManager::write_final_state` has it.
    fn end_of(
        &self,
        leader: &Leader,
        job: u8,
        token: u64,
    ) -> Option<(Transaction, Option<JobState>)> {
        let (id, needed) = (id_of(job), dependency_of(job));
        let state = leader.manager.status(&id).map(|status| status.state);
        let is_open = self.store.item(&open_key(&id)).is_some();
        let needed_end = needed.map(|n| recorded_end(&self.store, n));
        let end = match (state, needed_end) {
            (Some(JobState::Cancelled), _) => None,
            (_, Some(Some(JobState::Cancelled))) if is_open => Some(JobState::Cancelled),
            (Some(_), None | Some(Some(JobState::Done))) => Some(JobState::Done),
            _ => return None,
        };
        let closing = Transaction::default()
            .version(LEADER_KEY, token)
            .delete(open_key(&id));
        let transaction = match end {
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
        Some((transaction, end))
    }
}

//! What the controller knows about jobs, and how it learns of accepted and finished ones.

use super::{Controller, Role};
use crate::coordination::requests::LocalJobView;
use crate::protocol::job::{JobState, JobStatus};
use crate::service::clock::wall_ms;
use crate::service::messages::AcceptedJob;

impl Controller {
    /// What this controller knows about a job, and who the leader is.
    pub(super) fn local_job_view(&mut self, id: &str) -> LocalJobView {
        let now = self.now();
        let mut status = self.final_states.get(id).map(|&state| JobStatus {
            id: id.to_string(),
            state,
            done: 0,
            running: 0,
        });
        let mut leads = false;
        if let Role::Leading(manager) = &self.role {
            leads = manager.is_leader(now);
            if leads && status.is_none() {
                status = manager.status(id);
            }
        }
        // The view may confirm the cancellation to a user: see `storage::cancellation_log`.
        if status
            .as_ref()
            .is_some_and(|s| s.state == JobState::Cancelled)
        {
            self.handles.cancellation_log.record(id);
        }
        LocalJobView {
            status,
            is_leader: leads,
            leader: self.other_leader(),
        }
    }

    /// Applies the records of open jobs.
    pub(super) fn apply_accepted_jobs(&mut self, jobs: Vec<AcceptedJob>) {
        let now = self.now();
        let wall = wall_ms();
        for AcceptedJob { record, version } in jobs {
            let is_finished = self.final_states.get(&record.spec.id).is_some();
            // A watch that lags behind returns records of jobs that are finished already.
            if is_finished && !record.cancelled {
                continue;
            }
            if let Some(manager) = self.role.manager_mut() {
                manager.job_accepted(record, version, wall, now);
            }
        }
    }

    /// Applies the recorded final state of a job.
    pub(super) fn apply_final_state(&mut self, id: &str, state: JobState) {
        let now = self.now();
        self.final_states.insert(id, state);
        if let Some(manager) = self.role.manager_mut() {
            manager.final_state_recorded(id, state, now);
        }
    }
}

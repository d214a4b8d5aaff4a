//! What the controller knows of jobs: accepted, located, ended.

use super::{Controller, Role};
use crate::coordination::requests::LocalJobView;
use crate::protocol::job::{JobState, JobStatus};
use crate::service::clock::wall_ms;
use crate::service::messages::AcceptedJob;

impl Controller {
    /// What is known of a job here, and who leads.
    pub(super) fn locate(&mut self, id: &str) -> LocalJobView {
        let now = self.now();
        let mut status = self.recorded_ends.get(id).map(|&state| JobStatus {
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
        // This may confirm the cancellation to a user: see `storage::cancellation_log`.
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
            let has_ended = self.recorded_ends.get(&record.spec.id).is_some();
            // A watch that fell behind brings records of jobs that have ended already.
            if has_ended && !record.cancelled {
                continue;
            }
            if let Some(manager) = self.role.manager_mut() {
                manager.job_accepted(record, version, wall, now);
            }
        }
    }

    /// Applies the end of a job that is on record.
    pub(super) fn apply_job_end(&mut self, id: &str, state: JobState) {
        let now = self.now();
        self.recorded_ends.insert(id, state);
        if let Some(manager) = self.role.manager_mut() {
            manager.job_finished(id, state, now);
        }
    }
}

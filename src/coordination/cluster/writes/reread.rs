//! Rereads the keys that an indeterminate write may have changed.

use super::ClusterState;
use crate::coordination::state::JobId;
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::protocol::store::VersionedValue;
use crate::storage::records::{
    parse_completion_key, parse_placement_key, FinalStateRecord, FINAL_STATE_PREFIX, LEADER_KEY,
};
use stairstage_upgrade::records::VERSION_KEY;
use stairstage_upgrade::{VersionRange, VersionRecord};
use tracing::warn;

impl ClusterState {
    /// Takes the versions from the current values of the keys after an indeterminate write. A copy of
    /// that write that is applied later fails, because the next write changes the version that it
    /// compares.
    pub(super) fn apply_reread(&mut self, items: Vec<(String, Option<VersionedValue>)>, now: Time) {
        for (key, item) in items {
            let version = item.as_ref().map_or(0, |item| item.version);
            if key == LEADER_KEY {
                self.leader_record_reread(version);
            } else if key == VERSION_KEY {
                self.cluster_version_reread(item);
            } else if let Some(record) = parse_placement_key(&key) {
                self.placement_records.set_version(record, version);
            } else if let Some((job, number)) = parse_completion_key(&key) {
                self.completion_record_reread(job, number, version);
            } else if let (Some(job), Some(item)) = (key.strip_prefix(FINAL_STATE_PREFIX), item) {
                self.final_state_reread(job, item, now);
            }
        }
    }

    fn leader_record_reread(&mut self, version: u64) {
        // A lower version was read before the token was raised.
        let is_other = version > self.leadership.token().0 || version == 0;
        if is_other && !self.leadership.is_raising_token() {
            warn!(version, "leadership lost: the leader's record has changed");
            self.leadership.step_down();
        }
    }

    /// Applies a cluster version record that has changed, because the version was raised or the upgrade
    /// aborted. Later writes compare the new version of the record, or the leader steps down.
    fn cluster_version_reread(&mut self, item: Option<VersionedValue>) {
        let Some(item) = item else {
            return;
        };
        match serde_json::from_value::<VersionRecord>(item.value) {
            Ok(record) => {
                let range = VersionRange::OF_THIS_RELEASE;
                let write_fence = self.leadership.write_fence_mut();
                write_fence.apply(range, &record, item.version);
            }
            Err(error) => {
                warn!(key = VERSION_KEY, %error, "record cannot be decoded");
                self.leadership.step_down();
            }
        }
        if let Some(reason) = self.leadership.write_fence().refusal() {
            warn!(%reason, "stepping down");
            self.leadership.step_down();
        }
    }

    fn completion_record_reread(&mut self, job: &str, number: usize, version: u64) {
        let Some(shard) = self.shards.shard_index(number) else {
            return;
        };
        let job = self.jobs.get_mut(job);
        if let Some(job) = job {
            let record = job.completion_records.entry(shard).or_default();
            record.version = version;
        }
    }

    fn final_state_reread(&mut self, job: &str, item: VersionedValue, now: Time) {
        let id: JobId = job.into();
        match serde_json::from_value::<FinalStateRecord>(item.value) {
            Ok(record) if record.state == JobState::Cancelled => self.cancel(&id, now),
            // Written by this leader, which did not receive the confirmation.
            Ok(_) => self.finish_job(&id, now),
            Err(error) => warn!(key = %item.key, %error, "record cannot be decoded"),
        }
    }
}

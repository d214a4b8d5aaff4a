//! Reading again what a write may have changed.

use super::ClusterState;
use crate::coordination::state::JobId;
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::protocol::store::VersionedValue;
use crate::storage::records::{
    parse_completion_key, parse_placement_key, EndRecord, END_PREFIX, LEADER_KEY,
};
use stairstage_upgrade::records::VERSION_KEY;
use stairstage_upgrade::{VersionRange, VersionRecord};
use tracing::warn;

impl ClusterState {
    /// A write failed or went unanswered: takes the versions from what the keys hold now. A copy of
    /// that write which is applied later fails by the version that the next write changes.
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
            } else if let (Some(job), Some(item)) = (key.strip_prefix(END_PREFIX), item) {
                self.end_record_reread(job, item, now);
            }
        }
    }

    fn leader_record_reread(&mut self, version: u64) {
        // A lower version was read before the token was raised.
        let is_other = version > self.leadership.token().0 || version == 0;
        if is_other && !self.leadership.is_raising_token() {
            warn!(
                version,
                "leadership is lost: the leader's record has changed"
            );
            self.leadership.depose();
        }
    }

    /// The cluster version has risen, or an upgrade was called off: what is written from now on is
    /// written for that, or no more.
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
                warn!(key = VERSION_KEY, %error, "the record cannot be read");
                self.leadership.depose();
            }
        }
        if let Some(reason) = self.leadership.write_fence().refusal() {
            warn!(%reason, "resigning leadership");
            self.leadership.depose();
        }
    }

    fn completion_record_reread(&mut self, job: &str, number: usize, version: u64) {
        let Some(shard) = self.shards.shard_index(number) else {
            return;
        };
        let job = self.jobs.get_mut(job);
        if let Some(record) = job.and_then(|job| job.completion_records.get_mut(shard)) {
            record.version = version;
        }
    }

    fn end_record_reread(&mut self, job: &str, item: VersionedValue, now: Time) {
        let id: JobId = job.into();
        match serde_json::from_value::<EndRecord>(item.value) {
            Ok(end) if end.state == JobState::Cancelled => self.cancel(&id, now),
            // This leader's own end, whose answer was lost.
            Ok(_) => self.job_ended(&id, now),
            Err(error) => warn!(key = %item.key, %error, "the record cannot be read"),
        }
    }
}

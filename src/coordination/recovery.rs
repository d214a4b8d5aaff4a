//! How a new leader rebuilds its picture: from the records, then from the workers themselves.

use super::core::Core;
use super::state::*;
use super::Time;
use crate::bookkeeping::records::*;
use crate::protocol::store::Item;
use std::collections::BTreeMap;
use tracing::info;

/// The records that a new leader reads.
#[derive(Debug, Default)]
pub struct Records {
    pub open: Vec<Item>,
    pub run: Vec<Item>,
}

impl Core {
    /// Loads what earlier leaders recorded. Once a worker has seen our token, no older command
    /// reaches it, and its report is the truth.
    pub fn recover(&mut self, records: Records, wall_ms: u64, now: Time) {
        let mut open: BTreeMap<u64, OpenRecord> = BTreeMap::new();
        for item in records.open {
            if let Some(record) = Self::decode::<OpenRecord>(&item.key, item.value) {
                open.insert(item.version, record);
            }
        }
        for (version, record) in open {
            self.job_opened(record, version, wall_ms, now);
        }
        for item in records.run {
            let Some((id, chunk)) = parse_run_key(&item.key) else {
                continue;
            };
            let id: Name = id.into();
            if !self.jobs.contains_key(&id) {
                // Left over by the end of a job with more records than one transaction removes.
                self.stale_keys.insert(item.key);
                continue;
            }
            let Some(record) = Self::decode::<RunRecord>(&item.key, item.value) else {
                continue;
            };
            self.recover_chunk(&id, chunk, record, item.version, now);
        }
        info!(
            "leads with token {}: {} open jobs, places on {} machines",
            self.token,
            self.jobs.len(),
            self.machines.len()
        );
    }

    /// A job that was accepted at some time of day.
    pub fn job_opened(&mut self, record: OpenRecord, version: u64, wall_ms: u64, now: Time) {
        let age_s = wall_ms.saturating_sub(record.at_ms) as f64 / 1000.0;
        self.job_open(record, version, now, now - age_s);
    }

    fn recover_chunk(
        &mut self,
        id: &Name,
        chunk: usize,
        record: RunRecord,
        version: u64,
        now: Time,
    ) {
        for (first, last) in &record.done {
            for task in *first..=*last {
                self.recover_done(id, task);
            }
        }
        for (machine, places) in record.places {
            let machine: Name = machine.as_str().into();
            for (task, attempt) in places {
                self.recover_place(id, task, &machine, attempt, now);
            }
        }
        if let Some(c) = self.jobs.get_mut(id).and_then(|j| j.chunks.get_mut(chunk)) {
            c.version = version;
            c.dirty = None;
        }
    }
}

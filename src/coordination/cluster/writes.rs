//! What the state service is told, within its budget, and what became of it.

use crate::coordination::cluster::{
    ClusterState, Effect, InFlight, SentPlacementRecord, WriteOutcome, TXN_BYTES, WRITES_IN_FLIGHT,
};
use crate::coordination::state::{AllocationId, AllocationState, Job, Name, PlacementRecord};
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::protocol::store::{Transaction, VersionedValue};
use crate::settings::CONDITIONS_A_CHANGE;
use crate::storage::records::{
    completion_key, end_key, open_key, parse_completion_key, parse_placement_key, placement_key,
    EndRecord, StoredCompletions, StoredPlacements, LEADER_KEY,
};
use stairstage_upgrade::records::VERSION;
use stairstage_upgrade::{VersionRange, VersionRecord};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// How long a record that no launch waits for may be out of date, in leases; and how many times
/// longer while the budget is short. What a worker has not been told to forget is not lost.
const RECORD_LAG: f64 = 0.5;
const SCARCE: f64 = 2.0;
/// The share of the budget's burst that removals leave, and how many may be put off.
const REMOVAL_LEVEL: f64 = 0.75;
const MAX_STALE: usize = 1000;

impl ClusterState {
    /// Writes what is out of date, as far as the budget allows.
    pub(crate) fn flush(&mut self, now: Time) {
        if now < self.write_pause || !self.is_leader(now) {
            return;
        }
        while self.in_flight.len() < WRITES_IN_FLIGHT {
            // Ends come first, and are waited for: users are told of them, and they cost little.
            let ending = !self.over.is_empty();
            if self.write_end(now) {
                continue;
            }
            if ending && self.budget.level(now) < 2.0 {
                break;
            }
            if !(self.write_placement_records(now)
                || self.write_completion_records(now)
                || self.write_removals(now))
            {
                break;
            }
        }
    }

    pub(crate) fn submit_write(&mut self, transaction: Transaction, what: InFlight) {
        let id = self.unique();
        self.in_flight.insert(id, what);
        self.effects.push(Effect::Write { id, transaction });
    }

    pub(crate) fn begin(&self) -> Transaction {
        Transaction::at_version(&self.write_fence).version(LEADER_KEY, self.token)
    }

    /// Ends a job: a write-once key, and its description closes. Its other records are of no use
    /// from then on; they are removed when there is time.
    pub(crate) fn write_end(&mut self, now: Time) -> bool {
        let idle = |(_, id): &&(bool, Name)| {
            let job = self.jobs.get(id);
            job.is_none_or(|j| {
                !j.end_in_flight && !j.completion_records.iter().any(|c| c.in_flight)
            })
        };
        let Some(entry) = self.over.iter().find(idle).cloned() else {
            return false;
        };
        let id = entry.1.clone();
        let at_ms = Some(self.wall_ms(now));
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_over()) else {
            self.over.remove(&entry);
            return true;
        };
        let changes = if job.cancelled { 1.0 } else { 2.0 };
        if !self.budget.take(now, changes) {
            return false;
        }
        job.end_in_flight = true;
        let (cancelled, doomed) = (job.cancelled, job.doomed);
        self.over.remove(&entry);
        self.spent.ends += changes as usize;
        let mut txn = self.begin().delete(open_key(&id));
        if !cancelled {
            let state = if doomed {
                JobState::Cancelled
            } else {
                JobState::Done
            };
            let end = EndRecord { state, at_ms };
            txn = txn
                .absent(end_key(&id))
                .put(end_key(&id), serde_json::to_value(end).expect("plain data"));
        }
        self.submit_write(
            txn,
            InFlight {
                ends: Some(id),
                ..InFlight::default()
            },
        );
        true
    }

    /// What a record of places tells when it is written, with the planned places that it makes known: as
    /// many jobs' as a transaction has conditions for; the others wait for the next.
    fn placement_value(
        &self,
        placement_record: usize,
        most_jobs: usize,
    ) -> (StoredPlacements, SentPlacementRecord) {
        let mut record = StoredPlacements::default();
        let mut planned = Vec::new();
        let mut jobs: BTreeSet<&Name> = BTreeSet::new();
        let entries = &self.placement_records[placement_record];
        for entry in entries.entries() {
            let ((id, task, attempt), machine) = entry;
            if entries.is_planned(entry) {
                if !jobs.contains(id) && jobs.len() >= most_jobs {
                    continue;
                }
                jobs.insert(id);
                planned.push(entry.clone());
            }
            let machines = record.places.entry(id.to_string()).or_default();
            let places = machines.entry(machine.to_string()).or_default();
            places.push((*task, *attempt));
        }
        (record, (placement_record, planned))
    }

    /// Records places: first those that launches wait for, then what is long out of date.
    fn write_placement_records(&mut self, now: Time) -> bool {
        if self.budget.level(now) < 1.0 {
            return false;
        }
        let scarce = self.scarce(now);
        let lag = self.record_lag();
        let idle = |i: &usize| self.placement_records[*i].is_idle();
        let stale = |s: &PlacementRecord| s.is_idle() && s.dirty.is_some_and(|t| now - t > lag);
        let placement_records = &self.placement_records;
        self.urgent.retain(|i| placement_records[*i].has_planned());
        // Not in any fixed order: what comes last in it would wait for ever while the budget is short.
        let urgent = self.urgent.iter().copied().filter(idle);
        let urgent = urgent.map(|i| (self.placement_records[i].urgency(now), i));
        let urgent = urgent.max_by(|((p, s), _), ((q, t), _)| p.cmp(q).then(s.total_cmp(t)));
        let urgent = urgent.map(|(_, i)| i);
        let late = || {
            self.placement_records
                .iter()
                .position(stale)
                .filter(|_| !scarce)
        };
        let Some(i) = urgent.or_else(late) else {
            return false;
        };
        // Two conditions are about the leader and the record itself, and one about the cluster version.
        let others = 2 + usize::from(self.write_fence.stamp().is_some());
        let most_jobs = CONDITIONS_A_CHANGE * self.most_changes - others;
        let (record, sent) = self.placement_value(i, most_jobs);
        let value = serde_json::to_value(&record).expect("plain data");
        let mut txn = self
            .begin()
            .version(placement_key(i), self.placement_records[i].version)
            .put(placement_key(i), value);
        let jobs: BTreeSet<&Name> = sent.1.iter().map(|(key, _)| &key.0).collect();
        for id in jobs {
            txn = txn.absent(end_key(id));
        }
        self.budget.take(now, 1.0);
        self.spent.places += 1;
        self.spent.launches += sent.1.len();
        self.placement_records[i].in_flight = true;
        self.placement_records[i].dirty = None;
        self.urgent.remove(&i);
        self.submit_write(
            txn,
            InFlight {
                placement_records: vec![sent],
                ..InFlight::default()
            },
        );
        true
    }

    fn record_lag(&self) -> f64 {
        self.settings.cluster.workers.lease_s * RECORD_LAG
    }

    /// Whether the budget is needed for what is urgent.
    fn scarce(&mut self, now: Time) -> bool {
        self.budget.level(now) < self.budget.burst() / 2.0
    }

    fn completion_value(&self, job: &Job, completion_record: usize) -> StoredCompletions {
        let mut record = StoredCompletions::default();
        let first = completion_record * self.cut.tasks_per_shard;
        let last = (first + self.cut.tasks_per_shard).min(job.tasks.len());
        for t in (first..last).filter(|t| job.tasks[*t].done) {
            record.push_done(t as u32);
            // What it does not tell is done again, at worst: a worker keeps the result.
            if record.bytes() > self.record_bytes {
                record.done.pop();
                break;
            }
        }
        record
    }

    /// Whether a completion_record is to be written at all; a job that is over is closed instead.
    fn completion_record_is_due(&self, id: &Name, completion_record: usize, since: Time) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|j| {
            let open = !j.cancelled && !j.end_in_flight && !j.ended && !j.is_over();
            open && j.completion_records[completion_record].dirty == Some(since)
        })
    }

    /// Records what has completed, once that has been out of date for long enough.
    fn write_completion_records(&mut self, now: Time) -> bool {
        let lag = self.record_lag() * if self.scarce(now) { SCARCE } else { 1.0 };
        let room = self.budget.level(now) as usize;
        let most = self.most_changes.min(room);
        let mut txn = self.begin();
        let mut completion_records: Vec<(Name, usize)> = Vec::new();
        let mut later = Vec::new();
        let mut bytes = 0;
        while completion_records.len() < most && bytes < TXN_BYTES {
            let Some((since, id, i)) = self.lagging.front().cloned() else {
                break;
            };
            if now - since < lag {
                break;
            }
            self.lagging.pop_front();
            if !self.completion_record_is_due(&id, i, since) {
                continue;
            }
            let job = &self.jobs[&id];
            if job.completion_records[i].in_flight {
                later.push((since, id, i));
                continue;
            }
            let value = serde_json::to_value(self.completion_value(job, i)).expect("plain data");
            bytes += value.to_string().len();
            let key = completion_key(&id, self.cut.record_number(i));
            txn = txn
                .version(&*key, job.completion_records[i].version)
                .put(key, value);
            completion_records.push((id, i));
        }
        for entry in later.into_iter().rev() {
            self.lagging.push_front(entry);
        }
        if completion_records.is_empty() {
            return false;
        }
        self.budget.take(now, completion_records.len() as f64);
        self.spent.completed += completion_records.len();
        for (id, i) in &completion_records {
            let completion_record =
                &mut self.jobs.get_mut(id).expect("known job").completion_records[*i];
            completion_record.in_flight = true;
            completion_record.dirty = None;
        }
        self.submit_write(
            txn,
            InFlight {
                completion_records,
                ..InFlight::default()
            },
        );
        true
    }

    pub(crate) fn write_removals(&mut self, now: Time) -> bool {
        let ops = self.most_changes;
        let keys: Vec<String> = self.stale_keys.iter().take(ops).cloned().collect();
        // Nothing hurries them: they leave room for what does, until they are too many.
        let scarce = self.budget.level(now) < self.budget.burst() * REMOVAL_LEVEL;
        let enough = self.budget.level(now) >= keys.len() as f64;
        if keys.is_empty() || !enough || (scarce && self.stale_keys.len() < MAX_STALE) {
            return false;
        }
        let mut txn = self.begin();
        for key in &keys {
            self.stale_keys.remove(key);
            txn = txn.delete(key);
        }
        self.budget.take(now, keys.len() as f64);
        self.spent.removals += keys.len();
        self.submit_write(
            txn,
            InFlight {
                removed: keys,
                ..InFlight::default()
            },
        );
        true
    }

    /// Takes in what became of a write.
    pub fn write_finished(&mut self, id: u64, result: WriteOutcome, now: Time) {
        let Some(what) = self.in_flight.remove(&id) else {
            return;
        };
        if matches!(result, WriteOutcome::TooLarge) {
            self.write_smaller(&what, now);
        }
        let applied = match &result {
            WriteOutcome::Applied(revision) => Some(*revision),
            _ => None,
        };
        for (i, planned) in what.placement_records {
            self.placement_record_written(i, planned, applied, now);
        }
        for (id, i) in what.completion_records {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let completion_record = &mut job.completion_records[i];
            completion_record.in_flight = false;
            match applied {
                Some(revision) => completion_record.version = revision,
                None => self.touch(&id, (i * self.cut.tasks_per_shard) as u32, now),
            }
        }
        if applied.is_none() {
            self.stale_keys.extend(what.removed);
        }
        if let Some(id) = what.ends {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.end_in_flight = false;
                self.mark_over(&id);
            }
            if applied.is_some() {
                self.job_ended(&id, now);
            }
        }
        match result {
            WriteOutcome::Applied(_) => {}
            WriteOutcome::Rejected | WriteOutcome::TooLarge => self.write_pause = now + 0.25,
            WriteOutcome::Indeterminate(items) => self.reread(items, now),
        }
    }

    /// The state service takes less than its limits, as we know them, allow. What was too large is
    /// cut smaller, since it would be refused for ever; so is what comes after it.
    fn write_smaller(&mut self, what: &InFlight, now: Time) {
        self.most_changes = (self.most_changes / 2).max(1);
        let placement_records = what
            .placement_records
            .iter()
            .map(|(i, _)| self.placement_records[*i].bytes());
        let largest = placement_records
            .max()
            .filter(|bytes| *bytes <= self.record_bytes);
        if let Some(bytes) =
            largest.or((what.completion_records.len() == 1).then_some(self.record_bytes))
        {
            self.record_bytes = bytes / 2;
        }
        warn!(
            "a write is too large: from now on {} changes, of {} bytes each",
            self.most_changes, self.record_bytes
        );
        for (i, _) in &what.placement_records {
            self.split_placement_record(*i, now);
        }
    }

    /// The places that a placement_record has made known may be launched now.
    fn placement_record_written(
        &mut self,
        placement_record: usize,
        planned: Vec<(AllocationId, Name)>,
        applied: Option<u64>,
        now: Time,
    ) {
        self.placement_records[placement_record].in_flight = false;
        let Some(revision) = applied else {
            self.placement_records[placement_record]
                .dirty
                .get_or_insert(now);
            self.urgent.insert(placement_record);
            return;
        };
        self.placement_records[placement_record].version = revision;
        self.taken_over(placement_record);
        for entry in planned {
            self.placement_records[placement_record].recorded(&entry);
            let (key, machine) = entry;
            let cancelled = self.jobs.get(&key.0).is_none_or(|j| j.cancelled);
            let m = self.machines.get_mut(&machine);
            let place = m.and_then(|m| m.places.get_mut(&key));
            if let Some(p) = place.filter(|p| p.stage == AllocationState::Pending && !cancelled) {
                p.stage = AllocationState::Launching;
                self.to_order.insert(machine);
            }
        }
        // Those that the last writing had no conditions for.
        if self.placement_records[placement_record].has_planned() {
            self.urgent.insert(placement_record);
        }
    }

    /// Its end is recorded. What may still be of it on a machine, such as a copy of a task that
    /// completed elsewhere, counts until it is proven gone.
    pub(crate) fn job_ended(&mut self, id: &Name, now: Time) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| !j.ended) else {
            return;
        };
        job.ended = true;
        let told = job.cancelled;
        job.cancelled |= job.doomed;
        let state = if job.cancelled {
            JobState::Cancelled
        } else {
            JobState::Done
        };
        if job.doomed && !told {
            self.fleet.left(&job.spec, now);
        }
        if !job.cancelled {
            let due = job.spec.deadline_s.map_or(String::new(), |s| {
                let since = now - job.arrived;
                format!(", {since:.0} s after its submission, due after {s:.0}")
            });
            let started = job.first_run.map_or(0.0, |t| t - job.ready);
            let took = now - job.ready;
            info!("{id}: done, started after {started:.0} s, took {took:.0}{due}");
        }
        if !told {
            let id = id.clone();
            self.effects.push(Effect::JobEnded { id, state });
        }
        for first in [false, true] {
            self.over.remove(&(first, id.clone()));
        }
        let stored = job
            .completion_records
            .iter()
            .enumerate()
            .filter(|(_, c)| c.version > 0);
        for (i, _) in stored {
            self.stale_keys
                .insert(completion_key(id, self.cut.record_number(i)));
        }
        for number in &job.other_cuts {
            self.stale_keys.insert(completion_key(id, *number));
        }
        self.stop_all(id, 0.0, now);
        self.resolve(id, state, now);
        self.drop_ended(id);
    }

    /// Drops a job that has ended, once no machine may hold anything of it.
    pub(crate) fn drop_ended(&mut self, id: &Name) {
        if self.jobs.get(id).is_some_and(|j| j.ended && j.live == 0) {
            self.jobs.remove(id);
        }
    }

    /// The cluster version has risen, or an upgrade was called off: what is written from now on is
    /// written for that, or no more.
    fn version_reread(&mut self, item: Option<VersionedValue>) {
        let Some(item) = item else {
            return;
        };
        match serde_json::from_value::<VersionRecord>(item.value) {
            Ok(record) => {
                let range = VersionRange::OF_THIS_RELEASE;
                self.write_fence.read(range, &record, item.version);
            }
            Err(error) => {
                warn!("{VERSION}: cannot be read: {error}");
                self.deposed = true;
            }
        }
        if let Some(why) = self.write_fence.refusal() {
            warn!("{why}: leads no more");
            self.deposed = true;
        }
    }

    /// A write failed or went unanswered: take the versions from what the keys hold now. A copy of
    /// that write which is applied later fails by the version that the next write changes.
    pub(crate) fn reread(&mut self, items: Vec<(String, Option<VersionedValue>)>, now: Time) {
        for (key, item) in items {
            let version = item.as_ref().map_or(0, |i| i.version);
            if key == LEADER_KEY {
                // A lower version was read before the token was raised.
                if (version > self.token || version == 0) && !self.raising {
                    warn!("leadership is lost: the record has version {version}");
                    self.deposed = true;
                }
            } else if key == VERSION {
                self.version_reread(item);
            } else if let Some(placement_record) =
                parse_placement_key(&key).and_then(|i| self.placement_records.get_mut(i))
            {
                placement_record.version = version;
            } else if let Some((id, number)) = parse_completion_key(&key) {
                let position = self.cut.shard_index(number);
                let completion_record =
                    position.and_then(|i| self.jobs.get_mut(id)?.completion_records.get_mut(i));
                if let Some(completion_record) = completion_record {
                    completion_record.version = version;
                }
            } else if let (Some(id), Some(item)) = (key.strip_prefix("end/"), item) {
                match serde_json::from_value::<EndRecord>(item.value) {
                    Ok(EndRecord {
                        state: JobState::Cancelled,
                        ..
                    }) => self.cancel(id, now),
                    // Our own end, whose answer was lost.
                    Ok(_) => self.job_ended(&id.into(), now),
                    Err(e) => warn!("{key}: cannot be read: {e}"),
                }
            }
        }
    }
}

//! What the state service is told, within its budget, and what became of it.

use super::core::*;
use super::state::*;
use super::Time;
use crate::bookkeeping::records::{
    end_key, open_key, parse_run_key, run_key, EndRecord, RunRecord, LEADER,
};
use crate::protocol::job::JobState;
use crate::protocol::store::{Item, Transaction};
use tracing::{info, warn};

/// How long a record that no launch waits for may be out of date, in report intervals; and how
/// many times longer while the budget is short.
const RECORD_LAG: f64 = 1.0 / 3.0;
const SCARCE: f64 = 6.0;
/// The share of the budget's burst that removals leave, and how many may be put off.
const REMOVAL_LEVEL: f64 = 0.75;
const MOST_STALE: usize = 1000;

impl Core {
    /// Writes what is out of date, as far as the budget allows.
    pub(super) fn flush(&mut self, now: Time) {
        if now < self.write_pause || !self.leads(now) {
            return;
        }
        while self.in_flight.len() < WRITES_IN_FLIGHT {
            let written = self.write_end(now) || self.write_chunks(now) || self.write_removals(now);
            if !written {
                break;
            }
        }
    }

    pub(super) fn submit_write(&mut self, transaction: Transaction, what: InFlight) {
        let id = self.unique();
        self.in_flight.insert(id, what);
        self.effects.push(Effect::Write { id, transaction });
    }

    pub(super) fn begin(&self) -> Transaction {
        Transaction::default().version(LEADER, self.token)
    }

    /// Ends a job: a write-once key, and its description closes. Its other records are of no use
    /// from then on; they are removed when there is time.
    pub(super) fn write_end(&mut self, now: Time) -> bool {
        let idle = |id: &&Name| {
            let job = self.jobs.get(*id);
            job.is_none_or(|j| !j.end_in_flight && !j.chunks.iter().any(|c| c.in_flight))
        };
        let Some(id) = self.over.iter().find(idle).cloned() else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.is_over()) else {
            self.over.remove(&id);
            return true;
        };
        let changes = if job.cancelled { 1.0 } else { 2.0 };
        if !self.budget.take(now, changes) {
            return false;
        }
        job.end_in_flight = true;
        let cancelled = job.cancelled;
        self.over.remove(&id);
        let mut txn = self.begin().delete(open_key(&id));
        if !cancelled {
            let end = EndRecord {
                state: JobState::Done,
            };
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

    pub(super) fn chunk_record(
        &self,
        job: &Job,
        chunk: usize,
    ) -> (RunRecord, Vec<(Name, PlaceKey)>) {
        let mut record = RunRecord::default();
        let mut planned = Vec::new();
        let first = chunk * self.tasks_a_chunk;
        let last = (first + self.tasks_a_chunk).min(job.tasks.len());
        for t in first..last {
            let task = &job.tasks[t];
            if task.done {
                record.push_done(t as u32);
            }
            for (machine, attempt) in &task.at {
                let list = record.places.entry(machine.to_string()).or_default();
                list.push((t as u32, *attempt));
                let key = (job.id.clone(), t as u32, *attempt);
                let place = self.machines.get(machine).and_then(|m| m.places.get(&key));
                if place.is_some_and(|p| p.stage == Stage::Planned) {
                    planned.push((machine.clone(), key));
                }
            }
        }
        (record, planned)
    }

    /// Whether a chunk is to be written at all.
    fn chunk_is_due(&self, id: &Name, chunk: usize) -> bool {
        let job = self.jobs.get(id);
        // A job that is over is closed instead.
        job.is_some_and(|j| {
            !j.cancelled && !j.end_in_flight && !j.is_over() && j.chunks[chunk].dirty.is_some()
        })
    }

    /// The next records to write: those that launches wait for, by priority and arrival, then
    /// those that have been out of date for long enough.
    fn due_chunks(&mut self, now: Time, most: usize) -> Vec<(Name, usize)> {
        let lag = self.settings.cluster.workers.report_s * RECORD_LAG;
        let mut due = Vec::new();
        let mut settled = Vec::new();
        for entry in &self.urgent {
            let (_, id, i) = entry;
            if due.len() >= most {
                break;
            }
            if !self.chunk_is_due(id, *i) {
                settled.push(entry.clone());
            } else if !self.jobs[id].chunks[*i].in_flight {
                due.push((id.clone(), *i));
            }
        }
        for entry in settled {
            self.urgent.remove(&entry);
        }
        // While the budget is short, only what a launch waits for is written, up to a bound.
        let scarce = self.budget.level(now) < self.budget.burst() / 2.0;
        let lag = if scarce { SCARCE * lag } else { lag };
        let mut later = Vec::new();
        while due.len() < most {
            let Some((since, id, i)) = self.lagging.front().cloned() else {
                break;
            };
            if now - since < lag {
                break;
            }
            self.lagging.pop_front();
            if !self.chunk_is_due(&id, i) || self.jobs[&id].chunks[i].dirty != Some(since) {
                continue;
            }
            match self.jobs[&id].chunks[i].in_flight {
                true => later.push((since, id, i)),
                false if due.iter().any(|(d, n)| *d == id && *n == i) => {}
                false => due.push((id, i)),
            }
        }
        for entry in later.into_iter().rev() {
            self.lagging.push_front(entry);
        }
        due
    }

    pub(super) fn write_chunks(&mut self, now: Time) -> bool {
        let room = self.budget.level(now) as usize;
        let most = self.settings.cluster.state.txn_ops.min(room);
        if most == 0 || (self.urgent.is_empty() && self.lagging.is_empty()) {
            return false;
        }
        let mut txn = self.begin();
        let mut chunks: Vec<SentChunk> = Vec::new();
        let mut bytes = 0;
        let mut left = Vec::new();
        for (id, i) in self.due_chunks(now, most) {
            let job = &self.jobs[&id];
            let (record, planned) = self.chunk_record(job, i);
            let value = serde_json::to_value(&record).expect("plain data");
            let size = value.to_string().len();
            if bytes + size > TXN_BYTES && !chunks.is_empty() {
                left.push((id, i));
                continue;
            }
            bytes += size;
            let version = job.chunks[i].version;
            txn = txn
                .version(run_key(&id, i), version)
                .put(run_key(&id, i), value);
            if !planned.is_empty() {
                txn = txn.absent(end_key(&id));
            }
            chunks.push((id, i, planned));
        }
        for (id, i) in left {
            let chunk = &self.jobs[&id].chunks[i];
            if let (Some(since), false) = (chunk.dirty, chunk.urgent) {
                self.lagging.push_front((since, id, i));
            }
        }
        if chunks.is_empty() || !self.budget.take(now, chunks.len() as f64) {
            return false;
        }
        for (id, i, _) in &chunks {
            let job = self.jobs.get_mut(id).expect("known job");
            let turn = (std::cmp::Reverse(job.spec.priority), job.seq);
            let chunk = &mut job.chunks[*i];
            chunk.in_flight = true;
            chunk.dirty = None;
            if std::mem::take(&mut chunk.urgent) {
                self.urgent.remove(&(turn, id.clone(), *i));
            }
        }
        self.submit_write(
            txn,
            InFlight {
                chunks,
                ..InFlight::default()
            },
        );
        true
    }

    pub(super) fn write_removals(&mut self, now: Time) -> bool {
        let ops = self.settings.cluster.state.txn_ops;
        let keys: Vec<String> = self.stale_keys.iter().take(ops).cloned().collect();
        // Nothing hurries them: they leave room for what does, until they are too many.
        let scarce = self.budget.level(now) < self.budget.burst() * REMOVAL_LEVEL;
        let enough = self.budget.level(now) >= keys.len() as f64;
        if keys.is_empty() || !enough || (scarce && self.stale_keys.len() < MOST_STALE) {
            return false;
        }
        let mut txn = self.begin();
        for key in &keys {
            self.stale_keys.remove(key);
            txn = txn.delete(key);
        }
        self.budget.take(now, keys.len() as f64);
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
    pub fn written(&mut self, id: u64, result: Written, now: Time) {
        let Some(what) = self.in_flight.remove(&id) else {
            return;
        };
        let applied = match &result {
            Written::Applied(revision) => Some(*revision),
            _ => None,
        };
        for (id, i, planned) in what.chunks {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let chunk = &mut job.chunks[i];
            chunk.in_flight = false;
            match applied {
                Some(revision) => {
                    chunk.version = revision;
                    let cancelled = job.cancelled;
                    for (machine, key) in planned {
                        let m = self.machines.get_mut(&machine);
                        let place = m.and_then(|m| m.places.get_mut(&key));
                        if let Some(p) = place.filter(|p| p.stage == Stage::Planned && !cancelled) {
                            p.stage = Stage::Started;
                            self.to_order.insert(machine);
                        }
                    }
                }
                None => self.touch(&id, (i * self.tasks_a_chunk) as u32, true, now),
            }
        }
        if applied.is_none() {
            self.stale_keys.extend(what.removed);
        }
        if let Some(id) = what.ends {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.end_in_flight = false;
                self.over.insert(id.clone());
            }
            if applied.is_some() {
                self.job_ended(&id, now);
            }
        }
        match result {
            Written::Applied(_) => {}
            Written::Refused => self.write_pause = now + 0.25,
            Written::Reread(items) => self.reread(items, now),
        }
    }

    /// Its end is recorded, and nothing of it is left.
    pub(super) fn job_ended(&mut self, id: &Name, now: Time) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        if !job.cancelled {
            let due = job
                .spec
                .deadline_s
                .map_or(String::new(), |s| format!(", due after {s:.0}"));
            let started = job.first_run.map_or(0.0, |t| t - job.arrived);
            let took = now - job.arrived;
            info!("{id}: done, started after {started:.0} s, took {took:.0}{due}");
            self.effects.push(Effect::Ended {
                id: id.clone(),
                state: JobState::Done,
            });
        }
        self.over.remove(id);
        let stored = job.chunks.iter().enumerate().filter(|(_, c)| c.version > 0);
        for (i, _) in stored {
            self.stale_keys.insert(run_key(id, i));
        }
    }

    /// A write failed or went unanswered: take the versions from what the keys hold now. A copy of
    /// that write which is applied later fails by the version that the next write changes.
    pub(super) fn reread(&mut self, items: Vec<(String, Option<Item>)>, now: Time) {
        for (key, item) in items {
            let version = item.as_ref().map_or(0, |i| i.version);
            if key == LEADER {
                // A lower version was read before the token was raised.
                if (version > self.token || version == 0) && !self.raising {
                    warn!("leadership is lost: the record has version {version}");
                    self.deposed = true;
                }
            } else if let Some((id, i)) = parse_run_key(&key) {
                let chunk = self.jobs.get_mut(id).and_then(|j| j.chunks.get_mut(i));
                if let Some(chunk) = chunk {
                    chunk.version = version;
                }
            } else if let (Some(id), Some(item)) = (key.strip_prefix("end/"), item) {
                match serde_json::from_value::<EndRecord>(item.value) {
                    Ok(EndRecord {
                        state: JobState::Cancelled,
                    }) => self.cancel(id, now),
                    // Our own end, whose answer was lost.
                    Ok(_) => self.job_ended(&id.into(), now),
                    Err(e) => warn!("{key}: cannot be read: {e}"),
                }
            }
        }
    }
}

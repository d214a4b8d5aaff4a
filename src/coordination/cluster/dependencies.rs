//! Jobs that wait for others: when they may begin, what ends them with a job that they need, and
//! whose deadline and priority they work towards.
//!
//! A job that waits is part of the picture, and of nothing that decides: no pass looks at it. It
//! may begin once the end of every job that it names is on record as `done`; whatever is not known
//! means waiting. Ends are not listed anywhere, so a new leader, which knows those of open jobs
//! only, has the others looked up, each once. Once a job is cancelled, all that need it are doomed,
//! however far: each gets its end on record, and users are told of it then.

use crate::coordination::cluster::{ClusterState, Effect};
use crate::coordination::state::{Deadline, Job, Name};
use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::storage::records::EndRecord;
use std::collections::{BTreeSet, HashMap};
use tracing::{debug, info};

/// Ends that are looked up in one go, and seconds before one that was not there is asked for again.
const MAX_SOUGHT: usize = 32;
const SEEK_AGAIN_S: f64 = 1.0;

/// What is known of jobs that others need.
#[derive(Default)]
pub struct DependencyGraph {
    /// For each job that is needed and not known to have ended: those that name it.
    needed_by: HashMap<Name, BTreeSet<Name>>,
    /// Jobs of which neither the description nor the end is known here.
    unknown: BTreeSet<Name>,
    seeking: bool,
    seek_at: Time,
}

impl ClusterState {
    /// Whether jobs wait for this one.
    pub(crate) fn is_needed(&self, id: &Name) -> bool {
        self.pipelines.needed_by.contains_key(id)
    }

    /// Whether it is not known what has become of a job that this one needs.
    pub(crate) fn needs_unknown_job(&self, job: &Job) -> bool {
        job.needs
            .iter()
            .any(|id| self.pipelines.unknown.contains(id))
    }

    /// A new job: what it waits for, and who waits for it.
    pub(crate) fn enlist(&mut self, id: &Name, now: Time) {
        self.pipelines.unknown.remove(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.cancelled {
            return self.resolve(id, JobState::Cancelled, now);
        }
        let spec = job.spec.clone();
        let mut doomed = false;
        for name in &spec.waits_on {
            let needed: Name = name.as_str().into();
            match self.jobs.get(&needed) {
                Some(j) if j.cancelled || j.doomed => doomed = true,
                Some(j) if j.ended => continue,
                Some(_) => {}
                None => {
                    self.pipelines.unknown.insert(needed.clone());
                }
            }
            let waiting = self.pipelines.needed_by.entry(needed.clone()).or_default();
            waiting.insert(id.clone());
            if let Some(job) = self.jobs.get_mut(id) {
                job.needs.insert(needed);
            }
        }
        if doomed {
            return self.doom(id, now);
        }
        self.pull(id);
        for name in &spec.waits_on {
            self.pull(&name.as_str().into());
        }
    }

    /// Places and completed tasks on record prove that all that a job needs was done then.
    pub(crate) fn waits_no_more(&mut self) {
        let begun = self.jobs.values().filter(|j| j.live > 0 || j.done > 0);
        let begun: Vec<Name> = begun.map(|j| j.id.clone()).collect();
        for id in begun {
            self.leave(&id);
        }
    }

    /// The job waits for nothing any more, whatever it has waited for.
    pub(crate) fn leave(&mut self, id: &Name) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for needed in std::mem::take(&mut job.needs) {
            if let Some(waiting) = self.pipelines.needed_by.get_mut(&needed) {
                waiting.remove(id);
                if waiting.is_empty() {
                    self.pipelines.needed_by.remove(&needed);
                }
            }
            self.pull(&needed);
        }
    }

    /// The end of a job is on record, since then at the latest: what waits for it goes on, or ends
    /// with it.
    pub(crate) fn resolve(&mut self, id: &Name, state: JobState, since: Time) {
        self.pipelines.unknown.remove(id);
        for waiting in self.pipelines.needed_by.remove(id).unwrap_or_default() {
            if state == JobState::Cancelled {
                self.doom(&waiting, since);
                continue;
            }
            let Some(job) = self.jobs.get_mut(&waiting) else {
                continue;
            };
            job.needs.remove(id);
            job.ready = job.ready.max(since);
            if job.may_begin() {
                debug!("{waiting}: waits for no other job any more");
                self.stirred = true;
            }
        }
    }

    /// A job that this one needs is cancelled, so it never begins, nor does what needs it.
    fn doom(&mut self, id: &Name, now: Time) {
        let mut doomed = vec![id.clone()];
        while let Some(id) = doomed.pop() {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.cancelled || job.doomed || job.ended {
                continue;
            }
            job.doomed = true;
            info!("{id}: a job that it needs is cancelled");
            // It has no places, unless something went wrong before.
            self.stop_all(&id, 0.0, now);
            self.leave(&id);
            self.mark_over(&id);
            doomed.extend(self.pipelines.needed_by.remove(&id).unwrap_or_default());
        }
    }

    /// What a job works towards: its own deadline and priority, or those of one that needs it. Those
    /// that it needs itself work towards the same, by the time that it takes earlier.
    fn pull(&mut self, id: &Name) {
        let mut pulled = vec![id.clone()];
        while let Some(id) = pulled.pop() {
            if self.pull_one(&id) {
                pulled.extend(self.jobs[&id].needs.iter().cloned());
            }
        }
    }

    /// Returns whether anything has changed.
    fn pull_one(&mut self, id: &Name) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut priority = job.spec.priority;
        let mut due = job.spec.deadline_s.map(|due_s| Deadline {
            arrived: job.arrived,
            due_s,
            class: job.spec.class.as_str().into(),
            after_s: 0.0,
        });
        let waiting = self.pipelines.needed_by.get(id);
        for next in waiting.into_iter().flatten() {
            let Some(next) = self.jobs.get(next) else {
                continue;
            };
            priority = priority.max(next.priority);
            if let Some(theirs) = &next.due {
                let earlier = Deadline {
                    after_s: theirs.after_s + self.takes_s(next),
                    ..theirs.clone()
                };
                if due.as_ref().is_none_or(|d| earlier.latest() < d.latest()) {
                    due = Some(earlier);
                }
            }
        }
        let job = self.jobs.get_mut(id).expect("known job");
        let changed = job.priority != priority || job.due != due;
        job.priority = priority;
        job.due = due;
        self.stirred |= changed;
        changed
    }

    /// How long a job takes from when it may begin, with all the room that it wants: its image comes
    /// first, and its end must be heard and recorded.
    fn takes_s(&self, job: &Job) -> f64 {
        let rates = self.types.iter().map(|t| t.fetch_gb_per_s);
        let rate = rates.fold(f64::INFINITY, f64::min);
        let fetch_s = if rate.is_finite() && rate > 0.0 {
            job.spec.image_gb / rate
        } else {
            0.0
        };
        job.predicted_s + fetch_s
    }

    /// Asks for the ends of jobs that are needed and not known.
    pub(crate) fn seek_ends(&mut self, now: Time) {
        if self.pipelines.seeking || now < self.pipelines.seek_at || !self.is_leader(now) {
            return;
        }
        let needed_by = &self.pipelines.needed_by;
        self.pipelines
            .unknown
            .retain(|id| needed_by.contains_key(id));
        let ids: Vec<Name> = self
            .pipelines
            .unknown
            .iter()
            .take(MAX_SOUGHT)
            .cloned()
            .collect();
        if !ids.is_empty() {
            self.pipelines.seeking = true;
            self.effects.push(Effect::ReadEnds(ids));
        }
    }

    /// The ends that were asked for; none for a job whose end is not on record, or not to be had.
    pub fn ends_found(&mut self, ends: Vec<(Name, Option<EndRecord>)>, now: Time) {
        self.pipelines.seeking = false;
        for (id, end) in ends {
            match end {
                Some(end) => {
                    let since = end.at_ms.map_or(now, |ms| self.time_of(ms).min(now));
                    self.resolve(&id, end.state, since);
                }
                None => self.pipelines.seek_at = now + SEEK_AGAIN_S,
            }
        }
    }

    /// The end of a job is on record, as some node has read.
    pub fn job_end_recorded(&mut self, id: &str, state: JobState, now: Time) {
        match state {
            JobState::Cancelled if self.jobs.contains_key(id) => self.cancel(id, now),
            _ => self.resolve(&id.into(), state, now),
        }
    }
}

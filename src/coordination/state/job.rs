//! Jobs, from their description to their end.

use super::{CompletionRecord, Deadline, Name, Resources, Task, TaskProfile};
use crate::coordination::Time;
use crate::protocol::job::{JobKind, JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The users' check at the end of a day: a class's largest jobs begin within this time; and the
/// share of it after which a job that has not begun goes before others.
const BEGINS_WITHIN_S: f64 = 240.0;
const OVERDUE_SHARE: f64 = 0.5;

/// The users' check: no job waits for this long while a machine that fits has room.
pub(crate) const WAITS_WITH_ROOM_S: f64 = 90.0;

/// The share of that time for which a job that has failed wherever it ran, and completed nothing, runs
/// one task at a time after a pause: it may have been submitted with a mistake.
const TRIAL_SHARE: f64 = 0.2;

/// An open job, or one that has ended and of which a machine may still hold a task.
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub id: Name,
    /// Version of the description's record: the order of arrival, the same for every leader.
    pub arrival_order: u64,
    pub arrived: Time,
    /// Jobs whose end is not known yet and that must be done before it begins, and since when there
    /// are none.
    pub needs: BTreeSet<Name>,
    pub ready: Time,
    /// A job that it needs is cancelled: so is it, once that is on record.
    pub doomed: bool,
    /// The highest priority and the most urgent deadline of it and of those that need it.
    pub priority: Priority,
    pub due: Option<Deadline>,
    pub tasks: Vec<Task>,
    pub done: u32,
    /// Places that are or may be live, and those that are known to run.
    pub live: u32,
    pub running: u32,
    pub completion_records: Vec<CompletionRecord>,
    /// Records of completed tasks in other cuts, which others wrote; they go when it ends.
    pub other_cuts: Vec<usize>,
    /// Its user has cancelled it; its places are being cleared.
    pub cancelled: bool,
    pub end_in_flight: bool,
    /// Its end is on record, but a machine may still hold one of its tasks.
    pub ended: bool,
    pub predicted_s: f64,
    /// Machines on which its tasks have failed since one last completed, and when.
    pub failed_on: BTreeMap<Name, Time>,
    pub retry_at: Time,
    /// Failures in a row that made it pause.
    pub setbacks: u32,
    /// No task before this one can be placed.
    pub first_open: usize,
    pub first_run: Option<Time>,
    /// When its last place was cleared, if it has had any.
    pub left_at: Option<Time>,
}

impl Job {
    /// A job without places, as it arrives.
    pub fn new(
        spec: Arc<JobSpec>,
        arrival_order: u64,
        arrived: Time,
        completion_records: usize,
        predicted_s: f64,
    ) -> Job {
        Job {
            id: spec.id.as_str().into(),
            arrival_order,
            arrived,
            needs: BTreeSet::new(),
            ready: arrived,
            doomed: false,
            priority: spec.priority,
            due: None,
            tasks: vec![Task::default(); spec.tasks as usize],
            done: 0,
            live: 0,
            running: 0,
            completion_records: vec![CompletionRecord::default(); completion_records],
            other_cuts: Vec::new(),
            cancelled: false,
            end_in_flight: false,
            ended: false,
            predicted_s,
            failed_on: BTreeMap::new(),
            retry_at: 0.0,
            setbacks: 0,
            first_open: 0,
            first_run: None,
            left_at: None,
            spec,
        }
    }

    pub fn need(&self) -> Resources {
        Resources::of(&self.spec)
    }

    /// What a place of one of its tasks needs to know of it.
    pub fn load(&self) -> TaskProfile {
        TaskProfile {
            need: self.need(),
            priority: self.priority,
            run_s: (!self.is_service()).then_some((self.predicted_s, self.spec.estimate_s)),
            yields: self.spec.kind == JobKind::Array && self.spec.checkpoint_s <= 0.0,
        }
    }

    /// Whether nothing of it has begun for so long that it goes before others, whatever it yields to.
    pub fn is_overdue(&self, now: Time) -> bool {
        let waits = self.first_run.is_none() && self.live == 0 && self.done == 0;
        waits && now - self.ready > BEGINS_WITHIN_S * OVERDUE_SHARE
    }

    /// Whether nothing of it has been on any machine for as long. It gets machines of its own then, but
    /// goes before no others: under overload most jobs would.
    pub fn lacks_machines(&self, now: Time) -> bool {
        let since = self.left_at.unwrap_or(self.ready).max(self.ready);
        self.live == 0 && self.unplaced_count() > 0 && now - since > BEGINS_WITHIN_S * OVERDUE_SHARE
    }

    /// Whether it runs one task at a time, to show whether it fails again.
    pub fn is_on_trial(&self, now: Time) -> bool {
        let failed = self.setbacks > 0 && self.done == 0;
        failed && now < self.retry_at + TRIAL_SHARE * WAITS_WITH_ROOM_S
    }

    /// The processor seconds that are left, by its prediction; what runs is half done on average.
    pub fn work_left(&self) -> f64 {
        let tasks = f64::from(self.unplaced_count()) + f64::from(self.live) / 2.0;
        tasks * self.predicted_s * self.spec.cpus
    }

    /// Whether nothing is left of it but the record of its end.
    pub fn is_over(&self) -> bool {
        let done = !self.is_service() && self.done as usize == self.tasks.len();
        if self.cancelled || self.doomed {
            self.live == 0 && !self.ended
        } else {
            done && !self.ended
        }
    }

    /// Whether its tasks may be placed, as far as other jobs are concerned.
    pub fn may_begin(&self) -> bool {
        !self.cancelled && !self.doomed && self.needs.is_empty()
    }

    pub fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// How many of its tasks may be in one zone.
    pub fn most_in_zone(&self) -> u32 {
        if self.spec.spread {
            self.spec.tasks.div_ceil(2)
        } else {
            u32::MAX
        }
    }

    /// Tasks that are neither done nor placed, in order.
    pub fn unplaced(&self) -> impl Iterator<Item = u32> + '_ {
        self.tasks[self.first_open..]
            .iter()
            .enumerate()
            .filter(|(_, t)| !t.done && t.at.is_empty())
            .map(|(i, _)| (self.first_open + i) as u32)
    }

    pub fn unplaced_count(&self) -> u32 {
        (self.tasks.len() as u32)
            .saturating_sub(self.done)
            .saturating_sub(self.live)
    }
}

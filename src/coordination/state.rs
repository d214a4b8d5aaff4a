//! Jobs, machines, and the places that tasks have or may have on machines.

use super::predict::corrected;
use super::Time;
use crate::bookkeeping::records::{job_bytes, place_bytes, EMPTY_BYTES};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, Kind, Priority};
use crate::protocol::worker::{Cause, TaskState};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub type Name = Arc<str>;

/// What a task takes of a machine, or a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Amounts are decimal fractions: sums may miss by a little.
const SLACK: f64 = 1e-6;

impl Room {
    pub fn of(spec: &JobSpec) -> Room {
        Room {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    pub fn of_type(kind: &MachineType) -> Room {
        Room {
            cpus: kind.cpus,
            gpus: kind.gpus,
            memory_gb: kind.memory_gb,
        }
    }

    pub fn fits(&self, need: &Room) -> bool {
        self.cpus + SLACK >= need.cpus
            && self.gpus + SLACK >= need.gpus
            && self.memory_gb + SLACK >= need.memory_gb
    }

    pub fn add(&mut self, other: &Room) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    pub fn take(&mut self, other: &Room) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// How many tasks of a shape fit.
    pub fn slots(&self, need: &Room) -> u32 {
        let ratio = |have: f64, want: f64| match want > 0.0 {
            true => ((have + SLACK) / want).floor().max(0.0),
            false => f64::from(u16::MAX),
        };
        ratio(self.cpus, need.cpus)
            .min(ratio(self.gpus, need.gpus))
            .min(ratio(self.memory_gb, need.memory_gb)) as u32
    }
}

/// A task, and the machines that it is or may be on. It may only be placed while there are none.
#[derive(Clone, Debug, Default)]
pub struct Task {
    pub done: bool,
    pub at: Vec<At>,
}

/// A machine that a task is or may be on.
#[derive(Clone, Debug)]
pub struct At {
    pub machine: Name,
    pub attempt: u64,
    /// The record that tells of it.
    pub slab: usize,
}

/// The record of which of a range of tasks have completed.
#[derive(Clone, Debug, Default)]
pub struct Chunk {
    pub version: u64,
    /// Since when the record is out of date.
    pub dirty: Option<Time>,
    pub in_flight: bool,
}

/// A record of places. Those of many jobs share one, as a launch costs a change of its record.
#[derive(Debug, Default)]
pub struct Slab {
    pub version: u64,
    entries: BTreeSet<(PlaceKey, Name)>,
    /// What its record takes, beyond that of an empty one.
    bytes: usize,
    /// Those that no record tells of yet, whose launches wait for it, and since when there are any.
    planned: BTreeMap<(PlaceKey, Name), Priority>,
    planned_since: Time,
    /// Since when it holds what is gone, or lacks what no launch waits for.
    pub dirty: Option<Time>,
    pub in_flight: bool,
    /// Other records that take over some of what this one told of. Until they are written, its old
    /// record must stay as it is.
    pub shrinks_after: BTreeSet<usize>,
}

impl Slab {
    pub fn entries(&self) -> &BTreeSet<(PlaceKey, Name)> {
        &self.entries
    }

    fn holds_job(&self, id: &Name) -> bool {
        let first: (PlaceKey, Name) = ((id.clone(), 0, 0), "".into());
        let next = self.entries.range(first..).next();
        next.is_some_and(|((other, ..), _)| other == id)
    }

    pub fn insert(&mut self, key: PlaceKey, machine: Name) {
        self.bytes += self.bytes_for(&key, &machine);
        self.entries.insert((key, machine));
    }

    pub fn remove(&mut self, entry: &(PlaceKey, Name)) -> bool {
        let held = self.entries.remove(entry);
        self.planned.remove(entry);
        if held {
            self.bytes -= self.bytes_for(&entry.0, &entry.1);
        }
        held
    }

    /// A place that is in it waits for its record.
    pub fn plan(&mut self, entry: (PlaceKey, Name), priority: Priority, now: Time) {
        if self.planned.is_empty() {
            self.planned_since = now;
        }
        self.planned.insert(entry, priority);
    }

    /// The record tells of a place now.
    pub fn recorded(&mut self, entry: &(PlaceKey, Name)) {
        self.planned.remove(entry);
    }

    pub fn is_planned(&self, entry: &(PlaceKey, Name)) -> bool {
        self.planned.contains_key(entry)
    }

    pub fn has_planned(&self) -> bool {
        !self.planned.is_empty()
    }

    /// How much its writing is worth: the highest priority that waits for it, then how long all that
    /// does so has waited.
    pub fn urgency(&self, now: Time) -> (Option<Priority>, f64) {
        let waits = self.planned.len() as f64 * (now - self.planned_since);
        (self.planned.values().max().copied(), waits)
    }

    /// What a new place adds to the record.
    pub fn bytes_for(&self, key: &PlaceKey, machine: &Name) -> usize {
        let job = match self.holds_job(&key.0) {
            true => 0,
            false => job_bytes(&key.0),
        };
        job + place_bytes(machine, key.1, key.2)
    }

    /// The size of its record at the most.
    pub fn bytes(&self) -> usize {
        EMPTY_BYTES + self.bytes
    }

    /// Whether it can be written now.
    pub fn is_idle(&self) -> bool {
        !self.in_flight && self.shrinks_after.is_empty()
    }
}

/// The users' check at the end of a day: a class's largest jobs begin within this time; and the
/// share of it after which a job that has not begun goes before others.
const BEGINS_WITHIN_S: f64 = 240.0;
const OVERDUE_SHARE: f64 = 0.5;

/// The users' check: no job waits for this long while a machine that fits has room.
pub(super) const WAITS_WITH_ROOM_S: f64 = 90.0;

/// The deadline that a job works towards: its own, or that of a job that needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Due {
    /// When the job with that deadline was submitted, its time, and its class.
    pub arrived: Time,
    pub due_s: f64,
    pub class: Name,
    /// What follows on the longest way to that job's end.
    pub after_s: f64,
}

impl Due {
    /// When this job must be done, if the deadline may be missed so many times over.
    pub fn at(&self, times: f64) -> Time {
        self.arrived + self.due_s * times - self.after_s
    }

    pub fn latest(&self) -> Time {
        self.at(1.0)
    }
}

pub struct Job {
    pub spec: Arc<JobSpec>,
    pub id: Name,
    /// Version of the description's record: the order of arrival, the same for every leader.
    pub seq: u64,
    pub arrived: Time,
    /// Jobs whose end is not known yet and that must be done before it begins, and since when there
    /// are none.
    pub needs: BTreeSet<Name>,
    pub ready: Time,
    /// A job that it needs is cancelled: so is it, once that is on record.
    pub doomed: bool,
    /// The highest priority and the most urgent deadline of it and of those that need it.
    pub priority: Priority,
    pub due: Option<Due>,
    pub tasks: Vec<Task>,
    pub done: u32,
    /// Places that are or may be live, and those that are known to run.
    pub live: u32,
    pub running: u32,
    pub chunks: Vec<Chunk>,
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
}

impl Job {
    /// A job without places, as it arrives.
    pub fn new(
        spec: Arc<JobSpec>,
        seq: u64,
        arrived: Time,
        chunks: usize,
        predicted_s: f64,
    ) -> Job {
        Job {
            id: spec.id.as_str().into(),
            seq,
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
            chunks: vec![Chunk::default(); chunks],
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
            spec,
        }
    }

    pub fn need(&self) -> Room {
        Room::of(&self.spec)
    }

    /// What a place of one of its tasks needs to know of it.
    pub fn load(&self) -> Load {
        Load {
            need: self.need(),
            priority: self.priority,
            run_s: (!self.is_service()).then_some((self.predicted_s, self.spec.estimate_s)),
            yields: self.spec.kind == Kind::Array && self.spec.checkpoint_s <= 0.0,
        }
    }

    /// Whether nothing of it has begun for so long that it goes before others, whatever it yields to.
    pub fn is_overdue(&self, now: Time) -> bool {
        let waits = self.first_run.is_none() && self.live == 0 && self.done == 0;
        waits && now - self.ready > BEGINS_WITHIN_S * OVERDUE_SHARE
    }

    /// The processor seconds that are left, by its prediction; what runs is half done on average.
    pub fn work_left(&self) -> f64 {
        let tasks = f64::from(self.unplaced_count()) + f64::from(self.live) / 2.0;
        tasks * self.predicted_s * self.spec.cpus
    }

    /// Whether nothing is left of it but the record of its end.
    pub fn is_over(&self) -> bool {
        let done = !self.is_service() && self.done as usize == self.tasks.len();
        match self.cancelled || self.doomed {
            true => self.live == 0 && !self.ended,
            false => done && !self.ended,
        }
    }

    /// Whether its tasks may be placed, as far as other jobs are concerned.
    pub fn may_begin(&self) -> bool {
        !self.cancelled && !self.doomed && self.needs.is_empty()
    }

    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// How many of its tasks may be in one zone.
    pub fn most_in_zone(&self) -> u32 {
        match self.spec.spread {
            true => self.spec.tasks.div_ceil(2),
            false => u32::MAX,
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

/// What names a place on a machine: job, task and attempt.
pub type PlaceKey = (Name, u32, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Decided, and not yet recorded: no launch has left.
    Planned,
    /// Recorded: a launch may leave or have left, and the worker has not shown the task yet.
    Started,
    /// The worker has shown it.
    Seen(TaskState),
    /// It ended; the worker still remembers it.
    Exited(Cause),
}

#[derive(Clone, Copy, Debug)]
pub struct Stop {
    pub grace_s: f64,
    pub sent: bool,
}

/// What a pass over machines asks of a place, so that it need not look for the job.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub need: Room,
    pub priority: Priority,
    /// The predicted and the estimated run time; none for a service, whose room never frees.
    pub run_s: Option<(f64, f64)>,
    /// Whether it may be stopped for work that outranks it, and frees its room at once.
    pub yields: bool,
}

#[derive(Clone, Debug)]
pub struct Place {
    pub stage: Stage,
    pub since: Time,
    pub running_since: Option<Time>,
    /// The start that is recorded may have been made by an earlier leader.
    pub recovered: bool,
    /// The token under which a launch went straight to the worker: such a launch may arrive (again)
    /// until the worker has seen a higher one.
    pub orders_token: Option<u64>,
    /// The report whose answer last carried the launch.
    pub reply_seq: Option<u64>,
    pub stop: Option<Stop>,
    /// The worker showed it once, and shows it no more, though a launch of it may still come.
    pub missing: bool,
    pub load: Load,
}

impl Place {
    pub fn is_live(&self) -> bool {
        !matches!(self.stage, Stage::Exited(_))
    }

    /// Whether no launch that was sent can still reach the worker, given the newest report.
    pub fn launches_are_over(&self, token: u64, seq: u64) -> bool {
        self.orders_token.is_none_or(|t| token > t) && self.reply_seq.is_none_or(|s| seq > s)
    }

    /// When it is predicted to come free; never, for a service.
    pub fn predicted_end(&self, now: Time) -> Time {
        let Some((predicted_s, estimate_s)) = self.load.run_s else {
            return f64::INFINITY;
        };
        let start = self.running_since.unwrap_or(now);
        (start + corrected(predicted_s, now - start, estimate_s)).max(now)
    }

    /// Whether its room is free as soon as a command sent now is carried out.
    pub fn leaves_at_once(&self) -> bool {
        self.stop.is_some_and(|s| s.grace_s <= 0.0) && matches!(self.stage, Stage::Seen(_))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Booting,
    Up,
    /// Its return has been decided; gone with the cloud's 200.
    Returning,
}

/// Answers in a row without effect after which a worker counts as out of reach.
pub const UNHEEDED: u32 = 2;

pub struct Machine {
    pub name: Name,
    pub endpoint: Option<String>,
    pub kind: Name,
    pub zone: Name,
    pub spot: bool,
    pub phase: Phase,
    pub rented: Time,
    /// Rented by this leader: no earlier one can have spoken to its worker.
    pub ours: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    /// When it was last heard of, and when a report of it was last answered.
    pub heard: Option<Time>,
    pub answered: Time,
    /// When the cloud takes it away.
    pub taken_at: Option<Time>,
    pub places: BTreeMap<PlaceKey, Place>,
    /// What its places take, until one changes.
    used: Cell<Option<Room>>,
    services: Cell<usize>,
    pub images: BTreeMap<String, Time>,
    /// The highest token that was sent to it in this session.
    pub told: u64,
    /// Answers in a row that later reports show to have changed nothing, and since when it counts
    /// as out of reach by that.
    pub unheeded: u32,
    pub deaf_since: Option<Time>,
    pub order_in_flight: bool,
    /// When it last gave no answer to a command, since it was last heard.
    pub unanswered: Option<Time>,
    pub no_orders_until: Time,
    pub idle_since: Time,
    /// Tasks of these jobs failed on it since one last completed there; and those of these jobs did
    /// that have completed tasks elsewhere since.
    pub failures: BTreeSet<Name>,
    pub faults: BTreeSet<Name>,
    pub quarantined: bool,
    /// Its replicas are being moved elsewhere, so that it can be returned.
    pub draining: bool,
    pub return_in_flight: bool,
    pub listed_failed: bool,
}

impl Machine {
    pub fn new(name: Name, kind: Name, zone: Name, spot: bool, now: Time) -> Machine {
        Machine {
            name,
            endpoint: None,
            kind,
            zone,
            spot,
            phase: Phase::Booting,
            rented: now,
            ours: false,
            session: 0,
            seq: 0,
            token: 0,
            heard: None,
            answered: now,
            taken_at: None,
            places: BTreeMap::new(),
            used: Cell::new(None),
            services: Cell::new(0),
            images: BTreeMap::new(),
            told: 0,
            unheeded: 0,
            deaf_since: None,
            order_in_flight: false,
            unanswered: None,
            no_orders_until: 0.0,
            idle_since: now,
            failures: BTreeSet::new(),
            faults: BTreeSet::new(),
            quarantined: false,
            draining: false,
            return_in_flight: false,
            listed_failed: false,
        }
    }

    /// Takes in what it is, where a record has told no more than its name.
    pub fn describe(&mut self, kind: &str, zone: &str, spot: bool) {
        if self.kind.is_empty() {
            (self.kind, self.zone, self.spot) = (kind.into(), zone.into(), spot);
        }
    }

    /// Takes in whether the worker has done what it was told last.
    pub fn heeds(&mut self, heeded: bool, now: Time) {
        if heeded {
            self.unheeded = 0;
            self.deaf_since = None;
            return;
        }
        self.unheeded += 1;
        if self.unheeded >= UNHEEDED {
            self.deaf_since.get_or_insert(now);
        }
    }

    /// What is or may be on it takes, but for what a stop in the same message ends at once.
    pub fn used(&self) -> Room {
        if let Some(used) = self.used.get() {
            return used;
        }
        let services = self.live().filter(|(_, p)| p.load.run_s.is_none());
        self.services.set(services.count());
        let mut used = Room::default();
        for (_, place) in self.live().filter(|(_, p)| !p.leaves_at_once()) {
            used.add(&place.load.need);
        }
        self.used.set(Some(used));
        used
    }

    pub fn holds_services(&self) -> bool {
        self.used();
        self.services.get() > 0
    }

    /// To be called whenever a place has changed.
    pub fn places_changed(&self) {
        self.used.set(None);
    }

    pub fn live(&self) -> impl Iterator<Item = (&PlaceKey, &Place)> {
        self.places.iter().filter(|(_, p)| p.is_live())
    }

    pub fn is_empty(&self) -> bool {
        self.live().next().is_none()
    }

    /// Whether new tasks may be placed on it. A report alone is no sign that the worker hears us:
    /// it may be a late copy, or the way to the worker may be cut. So it must have shown a token
    /// of this leadership, unless nobody else can have spoken to it.
    pub fn takes_tasks(&self, now: Time, silence_s: f64, first_token: u64) -> bool {
        self.phase == Phase::Up
            && !self.quarantined
            && !self.draining
            && self.unheeded < UNHEEDED
            && self.unanswered.is_none()
            && (self.token >= first_token || self.ours && self.session == 1)
            && self.taken_at.is_none()
            && self.endpoint.is_some()
            && self.heard.is_some_and(|t| now - t < silence_s)
    }
}

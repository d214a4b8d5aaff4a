//! Jobs, machines, and the places that tasks have or may have on machines.

use super::Time;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, Kind};
use crate::protocol::worker::{Cause, TaskState};
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
    pub at: Vec<(Name, u64)>,
}

/// A record of a range of tasks in the state service.
#[derive(Clone, Debug, Default)]
pub struct Chunk {
    pub version: u64,
    /// Since when the record is out of date.
    pub dirty: Option<Time>,
    /// Whether a launch waits for it.
    pub urgent: bool,
    pub in_flight: bool,
}

pub struct Job {
    pub spec: Arc<JobSpec>,
    pub id: Name,
    /// Version of the description's record: the order of arrival, the same for every leader.
    pub seq: u64,
    pub arrived: Time,
    pub tasks: Vec<Task>,
    pub done: u32,
    /// Places that are or may be live.
    pub live: u32,
    pub chunks: Vec<Chunk>,
    /// Its user has cancelled it; its places are being cleared.
    pub cancelled: bool,
    pub end_in_flight: bool,
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
    pub fn need(&self) -> Room {
        Room::of(&self.spec)
    }

    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
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
    pub need: Room,
}

impl Place {
    pub fn is_live(&self) -> bool {
        !matches!(self.stage, Stage::Exited(_))
    }

    /// Whether no launch that was sent can still reach the worker, given the newest report.
    pub fn launches_are_over(&self, token: u64, seq: u64) -> bool {
        self.orders_token.is_none_or(|t| token > t) && self.reply_seq.is_none_or(|s| seq > s)
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

pub struct Machine {
    pub name: Name,
    pub endpoint: Option<String>,
    pub kind: Name,
    pub zone: Name,
    pub spot: bool,
    pub phase: Phase,
    pub rented: Time,
    pub recorded: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    /// When it was last heard of, and when a report of it was last answered.
    pub heard: Option<Time>,
    pub answered: Time,
    /// When the cloud takes it away.
    pub taken_at: Option<Time>,
    pub places: BTreeMap<PlaceKey, Place>,
    pub images: BTreeMap<String, Time>,
    pub order_in_flight: bool,
    pub no_orders_until: Time,
    pub idle_since: Time,
    /// Tasks of these jobs failed on it since one last completed there.
    pub failures: BTreeSet<Name>,
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
            recorded: false,
            session: 0,
            seq: 0,
            token: 0,
            heard: None,
            answered: now,
            taken_at: None,
            places: BTreeMap::new(),
            images: BTreeMap::new(),
            order_in_flight: false,
            no_orders_until: 0.0,
            idle_since: now,
            failures: BTreeSet::new(),
            quarantined: false,
            draining: false,
            return_in_flight: false,
            listed_failed: false,
        }
    }

    pub fn live(&self) -> impl Iterator<Item = (&PlaceKey, &Place)> {
        self.places.iter().filter(|(_, p)| p.is_live())
    }

    pub fn is_empty(&self) -> bool {
        self.live().next().is_none()
    }

    /// Whether new tasks may be placed on it.
    pub fn takes_tasks(&self, now: Time, silence_s: f64) -> bool {
        self.phase == Phase::Up
            && !self.quarantined
            && !self.draining
            && self.taken_at.is_none()
            && self.endpoint.is_some()
            && self.heard.is_some_and(|t| now - t < silence_s)
    }
}

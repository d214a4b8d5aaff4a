//! The leader's picture of jobs and machines: what it consists of, and how time passes over it.
//!
//! The picture changes in [`super::jobs`], [`super::places`] and [`super::reports`]; workers are
//! told of it in [`super::orders`], the state service in [`super::writes`]. Work per event does
//! not grow with the fleet: what an event leaves to do is kept in indices (`urgent`, `lagging`,
//! `over`, `to_order`), and passes over all that waits are paced by what they cost.

pub mod allocations;
pub mod cancellation_evidence;
pub mod commands;
pub mod dependencies;
pub mod heartbeat_routing;
pub mod heartbeats;
pub mod jobs;
pub mod machine_health;
pub mod recovery;
pub mod writes;

use crate::coordination::prediction::Predictor;
use crate::coordination::state::{AllocationId, Job, Machine, Name, PlacementRecord};
use crate::coordination::Time;
use crate::protocol::cloud::{MachineType, Rent};
use crate::protocol::job::JobState;
use crate::protocol::store::{Transaction, VersionedValue};
use crate::protocol::worker::{CommandBatch, Heartbeat, HeartbeatResponse};
use crate::settings::{Settings, Team, LONGEST_REPORT_INTERVAL};
use crate::storage::records::CompletionShards;
use crate::storage::token_bucket::TokenBucket;
use serde_json::Value;
use stairstage_upgrade::fence::WriteFence;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use tracing::warn;

/// What the core wants done by other actors.
#[derive(Debug)]
pub enum Effect {
    Write {
        id: u64,
        transaction: Transaction,
    },
    SendCommands {
        machine: Name,
        endpoint: String,
        orders: CommandBatch,
    },
    RentMachines(Rent),
    ReturnMachines(Vec<String>),
    /// Draw a new token, so that launches that may still be under way die.
    RaiseToken,
    JobEnded {
        id: Name,
        state: JobState,
    },
    /// Look up how these jobs ended.
    ReadEnds(Vec<Name>),
}

/// What became of a write.
#[derive(Debug)]
pub enum WriteOutcome {
    /// Applied at this revision of the store.
    Applied(u64),
    /// Certainly not applied.
    Rejected,
    /// Not applied, and never will be: larger than the state service accepts.
    TooLarge,
    /// Possibly applied: the keys of its compares, as read afterwards.
    Indeterminate(Vec<(String, Option<VersionedValue>)>),
}

/// What became of commands that were sent straight to a worker.
#[derive(Debug)]
pub enum CommandOutcome {
    Executed(Heartbeat),
    /// The worker executed nothing, and says how things are.
    Rejected(Option<Heartbeat>),
    NotSent,
    Unknown,
}

/// How a report is answered.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    Answer(HeartbeatResponse),
    /// Older than what is known: its sender has given up on it.
    Stale,
    /// The worker has seen a higher token than ours.
    Deposed,
}

/// A record of places on its way, with those that it makes known for the first time.
pub(crate) type SentPlacementRecord = (usize, Vec<(AllocationId, Name)>);

#[derive(Default)]
pub(crate) struct InFlight {
    pub placement_records: Vec<SentPlacementRecord>,
    pub completion_records: Vec<(Name, usize)>,
    pub ends: Option<Name>,
    pub removed: Vec<String>,
}

/// Changes at the state service, and the launches that they allow.
#[derive(Default)]
pub(crate) struct WriteStats {
    pub ends: usize,
    pub places: usize,
    pub launches: usize,
    pub completed: usize,
    pub removals: usize,
}

pub struct ClusterState {
    pub(crate) settings: Arc<Settings>,
    pub token: u64,
    /// What may be written at the active cluster version.
    pub write_fence: WriteFence,
    /// Tokens of this leadership start here: a report at or above it was sent after we took over.
    pub(crate) first_token: u64,
    counter: u64,
    pub(crate) types: Vec<MachineType>,
    pub(crate) jobs: BTreeMap<Name, Job>,
    pub(crate) machines: BTreeMap<Name, Machine>,
    pub(crate) team_use: HashMap<String, (f64, f64)>,
    pub(crate) predictor: Predictor,
    pub(crate) gone: BTreeMap<Name, Time>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) fleet: crate::coordination::autoscaling::scale_out::Autoscaler,
    /// The records of places, and those that launches wait for.
    pub(crate) placement_records: Vec<PlacementRecord>,
    pub(crate) urgent: BTreeSet<usize>,
    /// The record that new places go into.
    pub(crate) open_placement_record: usize,
    /// Records of completed tasks that are out of date, the oldest first.
    pub(crate) lagging: VecDeque<(Time, Name, usize)>,
    /// Jobs of which nothing is left but the record of their end; false for those that others wait
    /// for, or must end with, which come first.
    pub(crate) over: BTreeSet<(bool, Name)>,
    pub(crate) pipelines: dependencies::DependencyGraph,
    /// The time of day when our clock was at 0, in milliseconds.
    pub(crate) day_ms: f64,
    /// Machines for which there may be something to say that should not wait for their reports.
    pub(crate) to_order: BTreeSet<Name>,
    /// Whether anything has changed that a pass could use, when the last one was, and before when
    /// the next one would cost too much.
    pub(crate) stirred: bool,
    passed_at: Time,
    next_pass: Time,
    chores_at: Time,
    explained: Time,
    /// Jobs that the reservation alone keeps from room, and since when.
    pub(crate) withheld: BTreeMap<Name, Time>,
    /// Machines and places that passes have looked at so far.
    pub(crate) looks: Cell<u64>,
    pub(crate) in_flight: BTreeMap<u64, InFlight>,
    /// Changes since the last summary in the log, by what they were for.
    pub(crate) spent: WriteStats,
    /// Records that are of no use any more.
    pub(crate) stale_keys: BTreeSet<String>,
    pub(crate) budget: TokenBucket,
    pub(crate) write_pause: Time,
    /// Until when the lease surely holds.
    pub lease_valid_until: Time,
    pub elected_at: Time,
    pub(crate) raised_at: Time,
    pub(crate) raising: bool,
    pub deposed: bool,
    /// Whether this leader has launched a task yet.
    pub(crate) launched: bool,
    /// When every other controller had promised to answer no report with a lower token.
    pub(crate) promised: Option<Time>,
    /// How many machines are up, whether most of them have ever known this leader's token, and when any
    /// was last heard.
    pub(crate) up: usize,
    pub(crate) known_to_most: bool,
    pub(crate) last_heard: Time,
    /// When a worker last reported to this node itself, in this term.
    pub(crate) reported_here: Option<Time>,
    /// The ends of the last gap that may be, and of the last that is, a fault of our own network.
    pub(crate) gap_ended: Time,
    pub(crate) hears_since: Time,
    /// Since when many machines have left commands unanswered: others may have failed with them.
    pub(crate) mass_failure_since: Option<Time>,
    pub(crate) cut: CompletionShards,
    /// What a record and a transaction may hold.
    pub(crate) record_bytes: usize,
    pub(crate) most_changes: usize,
    /// Records of places that wait for others to take over some of what they told of.
    pub(crate) shrinking: BTreeSet<usize>,
}

pub(crate) const WRITES_IN_FLIGHT: usize = 3;
/// The share of the state service's budget for records; the rest is for users and leases.
const RECORD_SHARE: f64 = 0.6;
/// Bytes of a transaction that may be filled, of the 64 KiB allowed.
pub(crate) const TXN_BYTES: usize = 48 * 1024;
/// Commands in one answer, which must not be longer than 64 KiB.
pub(crate) const MAX_COMMANDS: usize = 400;
/// A worker gives up on an answer after this time and on a node after one second more.
pub(crate) const WORKER_PATIENCE_S: f64 = 4.0;
pub(crate) const WORKER_RETRY_S: f64 = 1.0;
/// What a worker loses at a node that does not answer.
pub(crate) const LOST_AT_A_NODE_S: f64 = WORKER_PATIENCE_S + WORKER_RETRY_S;
/// A gap in all workers' reports shows that this node is cut off when it is so many times as long
/// as the mean time between two reports, but never when shorter than this share of an interval.
const GAP_HEARTBEATS: f64 = 8.0;
const MIN_GAP: f64 = 0.25;
/// Steady clocks of different machines may differ by this much.
pub(crate) const DRIFT: f64 = 1.001;
/// Seconds between passes while nothing is known to have changed, and between checks of leases.
const PASS_PAUSE_S: f64 = 0.5;
/// Seconds between summaries in the log.
const EXPLAIN_S: f64 = 5.0;
/// How many times as long as a pass took the next one waits.
const PASS_PACE: f64 = 5.0;

impl ClusterState {
    pub fn new(settings: Arc<Settings>, token: u64, now: Time) -> ClusterState {
        let c = &settings.cluster;
        let rate = c.state.write_rps * RECORD_SHARE;
        ClusterState {
            token,
            first_token: token,
            counter: 0,
            types: Vec::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            team_use: HashMap::new(),
            predictor: Predictor::default(),
            gone: BTreeMap::new(),
            effects: Vec::new(),
            fleet: Default::default(),
            placement_records: Vec::new(),
            urgent: BTreeSet::new(),
            open_placement_record: 0,
            lagging: VecDeque::new(),
            over: BTreeSet::new(),
            pipelines: Default::default(),
            day_ms: 0.0,
            to_order: BTreeSet::new(),
            stirred: true,
            passed_at: 0.0,
            next_pass: 0.0,
            chores_at: 0.0,
            write_fence: WriteFence::Unstaged,
            explained: 0.0,
            withheld: BTreeMap::new(),
            looks: Cell::new(0),
            in_flight: BTreeMap::new(),
            spent: WriteStats::default(),
            stale_keys: BTreeSet::new(),
            budget: TokenBucket::new(rate, rate),
            write_pause: 0.0,
            lease_valid_until: now,
            elected_at: now,
            raised_at: now,
            raising: false,
            deposed: false,
            launched: false,
            promised: None,
            up: 0,
            known_to_most: false,
            last_heard: now,
            reported_here: None,
            gap_ended: now,
            hears_since: now,
            mass_failure_since: None,
            cut: CompletionShards::within(c.state.record_bytes()),
            record_bytes: c.state.record_bytes(),
            most_changes: c.state.changes(),
            shrinking: BTreeSet::new(),
            settings,
        }
    }

    /// The state service takes fewer changes than before: from now on the limits to come hold.
    pub fn lower_write_rate(&mut self) {
        let rate = self.settings.cluster.state.later_write_rps() * RECORD_SHARE;
        self.budget.lower(rate, rate);
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn first_token(&self) -> u64 {
        self.first_token
    }

    pub fn is_leader(&self, now: Time) -> bool {
        now < self.lease_valid_until && !self.deposed
    }

    pub fn set_machine_types(&mut self, types: Vec<MachineType>) {
        self.types = types;
        self.stirred = true;
    }

    /// A number that no other leader, and no other call, gives out.
    pub(crate) fn unique(&mut self) -> u64 {
        self.counter += 1;
        (self.first_token << 20) + self.counter
    }

    pub(crate) fn type_of(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    pub(crate) fn silence_s(&self) -> f64 {
        let report_s = self.settings.cluster.workers.report_s;
        let patience = LOST_AT_A_NODE_S + report_s;
        (self.settings.policy.silence * report_s).max(patience)
    }

    /// How long it takes until hearing no worker at all is no chance any more: they report at times
    /// of their own, so that many leave short gaps only.
    pub(crate) fn silence_of_all_s(&self) -> f64 {
        let gap = GAP_HEARTBEATS / self.up.max(1) as f64;
        gap.max(MIN_GAP) * self.settings.cluster.workers.report_s
    }

    /// A worker is heard by this node itself. After a gap, what others did not answer in it says nothing of them; after
    /// one in which each should have reported, their silence counts from now. A shorter one may be
    /// chance when many report at the same time, again and again.
    pub(crate) fn hears(&mut self, now: Time) {
        let gap = now - self.last_heard;
        if gap > self.silence_of_all_s() {
            self.gap_ended = now;
        }
        if gap > LONGEST_REPORT_INTERVAL * self.settings.cluster.workers.report_s {
            self.hears_since = now;
        }
        self.last_heard = now;
    }

    /// Whether new tasks may be placed on a machine.
    pub(crate) fn takes_tasks(&self, m: &Machine, now: Time) -> bool {
        m.takes_tasks(now, self.silence_s(), self.first_token)
    }

    /// Lets time pass: decides what can be decided, and writes and sends what is due. Returns
    /// whether that took a pass over all that waits.
    pub fn step(&mut self, now: Time) -> bool {
        let mut passed = false;
        if self.is_leader(now) {
            if now - self.chores_at >= PASS_PAUSE_S {
                self.chores_at = now;
                self.expire_leases(now);
                self.check_machines(now);
                self.raise_token(now);
            }
            self.rent_on(now);
            let due = self.stirred || now - self.passed_at >= PASS_PAUSE_S;
            passed = due && now >= self.next_pass;
            if passed {
                self.stirred = false;
                self.passed_at = now;
                self.schedule(now);
            }
        }
        self.seek_ends(now);
        self.flush(now);
        self.send_orders(now);
        passed
    }

    /// What a pass has taken, so that the next one waits for long enough.
    pub fn cycle_took(&mut self, seconds: f64, now: Time) {
        self.next_pass = now + PASS_PACE * seconds;
    }

    /// Slower decisions, about once a second.
    pub fn tick(&mut self, now: Time) {
        if self.is_leader(now) {
            self.manage_fleet(now);
            if now - self.explained >= EXPLAIN_S {
                self.explained = now;
                self.explain(now);
            }
        }
        let (cluster, lease_s) = (
            &self.settings.cluster,
            self.settings.cluster.workers.lease_s,
        );
        let keep = (4.0 * cluster.cloud.list_lag_s + cluster.workers.cancel_s).max(4.0 * lease_s);
        self.gone.retain(|_, t| now - *t < keep);
    }

    /// How many machines and places passes have looked at since this leader began.
    pub fn machines_examined(&self) -> u64 {
        self.looks.get()
    }

    pub(crate) fn look(&self, count: usize) {
        self.looks.set(self.looks.get() + count as u64);
    }

    /// Every other controller has promised to answer no report with a lower token than ours.
    pub fn peers_promised(&mut self, now: Time) {
        self.promised = Some(now);
    }

    /// The moment of our clock that a time of day was, as far as clocks agree.
    pub(crate) fn time_of(&self, wall_ms: u64) -> Time {
        (wall_ms as f64 - self.day_ms) / 1000.0
    }

    pub(crate) fn wall_ms(&self, now: Time) -> u64 {
        (self.day_ms + 1000.0 * now).max(0.0) as u64
    }

    pub(crate) fn team(&self, name: &str) -> Option<&Team> {
        self.settings.team(name)
    }

    /// The value of a record, if it can be read.
    pub(crate) fn decode<T: serde::de::DeserializeOwned>(key: &str, value: Value) -> Option<T> {
        serde_json::from_value(value)
            .map_err(|e| warn!("{key}: cannot be read: {e}"))
            .ok()
    }

    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }
}

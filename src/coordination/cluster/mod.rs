//! The leader's view of the cluster, and all that changes it.
//!
//! `ClusterState` holds jobs, machines and their allocations. Heartbeats, records, answers of the cloud
//! and cancellations change it, each in a module of its own:
//!
//! - [`heartbeats`], `reconciliation`, `leases`: what workers tell, and what proves a task gone;
//! - `allocations`: adding, stopping and releasing allocations;
//! - `commands`: what workers are told, and the fencing tokens;
//! - `jobs`, `dependencies`: acceptance, cancellation and completion of jobs;
//! - `machine_health`, `inventory`: silent and faulty machines, and what the cloud tells of them;
//! - `writes`, [`recovery`]: the records in the store;
//! - [`cancellation_evidence`], [`heartbeat_routing`]: which leases may be renewed, and what followers do.
//!
//! What belongs together has an owner with private fields: `Leadership`, `HeartbeatMonitor`,
//! `PlacementRecords`, `WriteQueue`, `DependencyGraph`, `Starvation`, `ServiceArrivals`. Work per event
//! does not grow with the cluster: what an event leaves to do is kept in indices.

mod allocations;
pub mod cancellation_evidence;
mod commands;
mod dependencies;
mod effect;
mod finished_jobs;
mod heartbeat_monitor;
pub mod heartbeat_routing;
pub mod heartbeats;
mod inventory;
mod jobs;
mod leadership;
mod leases;
mod machine_health;
mod placement_records;
mod reconciliation;
pub mod recovery;
pub(crate) mod service_arrivals;
mod starvation;
mod summary;
mod wall_clock;
mod write_queue;
mod writes;

use crate::coordination::prediction::Predictor;
use crate::coordination::state::{
    AllocationId, Job, JobId, Machine, MachineName, MachineTypes, QuotaUsageByTeam, Resources,
};
use crate::coordination::Time;
use crate::protocol::cloud::MachineType;
use crate::protocol::ids::FencingToken;
use crate::settings::{Settings, Team};
use crate::storage::records::CompletionShards;
use dependencies::DependencyGraph;
pub use effect::{CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use finished_jobs::FinishedJobs;
use heartbeat_monitor::HeartbeatMonitor;
use leadership::Leadership;
use placement_records::PlacementRecords;
use service_arrivals::{ExpectedReplicas, ForecastHorizon, ServiceArrivals};
use starvation::Starvation;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wall_clock::WallClock;
use write_queue::WriteQueue;

/// Commands in one response, which must not be longer than 64 KiB.
const MAX_COMMANDS: usize = 400;
/// A worker gives up on a response after this time.
const WORKER_PATIENCE_S: f64 = 4.0;
/// It then turns to another node after this time.
pub(crate) const WORKER_RETRY_S: f64 = 1.0;
/// What a worker loses at a node that does not answer, in seconds.
pub(crate) const LOST_AT_A_NODE_S: f64 = WORKER_PATIENCE_S + WORKER_RETRY_S;
/// How much steady clocks of different machines may differ, as a factor.
pub(crate) const CLOCK_DRIFT: f64 = 1.001;

/// Jobs, machines and allocations as the leader knows them.
pub(crate) struct ClusterState {
    settings: Arc<Settings>,
    leadership: Leadership,
    jobs: BTreeMap<JobId, Job>,
    finished_jobs: FinishedJobs,
    dependencies: DependencyGraph,
    service_arrivals: ServiceArrivals,
    predictor: Predictor,
    starvation: Starvation,
    quota: QuotaUsageByTeam,
    machines: BTreeMap<MachineName, Machine>,
    machine_types: MachineTypes,
    /// Machines that were returned to the cloud of late, and when: what still tells of them is old.
    returned_machines: BTreeMap<MachineName, Time>,
    /// Machines to which there may be commands to send that should not wait for their heartbeats.
    machines_to_notify: BTreeSet<MachineName>,
    heartbeats: HeartbeatMonitor,
    placement_records: PlacementRecords,
    /// How a job's tasks are divided among its records of completed tasks.
    shards: CompletionShards,
    writes: WriteQueue,
    clock: WallClock,
    /// Whether anything has changed that a scheduling cycle could use.
    needs_scheduling: bool,
    effects: Vec<Effect>,
}

impl ClusterState {
    /// The state of a leader that was elected with a fencing token, before it has read any record.
    pub(crate) fn new(settings: Arc<Settings>, token: FencingToken, now: Time) -> ClusterState {
        let store = &settings.cluster.state;
        let report_s = settings.cluster.workers.report_s;
        ClusterState {
            leadership: Leadership::new(token, now),
            jobs: BTreeMap::new(),
            finished_jobs: FinishedJobs::default(),
            dependencies: DependencyGraph::default(),
            service_arrivals: ServiceArrivals::default(),
            predictor: Predictor::default(),
            starvation: Starvation::default(),
            quota: QuotaUsageByTeam::default(),
            machines: BTreeMap::new(),
            machine_types: MachineTypes::default(),
            returned_machines: BTreeMap::new(),
            machines_to_notify: BTreeSet::new(),
            heartbeats: HeartbeatMonitor::new(report_s, now),
            placement_records: PlacementRecords::new(store.record_bytes()),
            shards: CompletionShards::within(store.record_bytes()),
            writes: WriteQueue::new(store.write_rps, store.changes()),
            clock: WallClock::default(),
            needs_scheduling: true,
            effects: Vec::new(),
            settings,
        }
    }

    /// The settings that it keeps to.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The leader's term.
    pub(crate) fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// The leader's term, to be changed.
    pub(crate) fn leadership_mut(&mut self) -> &mut Leadership {
        &mut self.leadership
    }

    /// All jobs that are open, or of which a machine may still hold a task, by their ids.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// A job.
    pub(crate) fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// How many jobs there are.
    pub(crate) fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// All machines, by their names.
    pub(crate) fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// A machine.
    pub(crate) fn machine(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// How many machines there are.
    pub(crate) fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// The machine types that the cloud offers.
    pub(crate) fn machine_types(&self) -> &MachineTypes {
        &self.machine_types
    }

    /// Takes in the machine types that the cloud offers.
    pub(crate) fn set_machine_types(&mut self, types: Vec<MachineType>) {
        self.machine_types = MachineTypes::new(types);
        self.needs_scheduling = true;
    }

    /// The store accepts fewer changes than before: from now on the limits to come hold.
    pub(crate) fn lower_write_rate(&mut self) {
        let rate = self.settings.cluster.state.later_write_rps();
        self.writes.lower_rate(rate);
    }

    /// Takes what other actors are to do.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Has another actor do something.
    pub(crate) fn push_effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Every other controller has promised to answer no heartbeat with a lower token.
    pub(crate) fn peers_promised(&mut self, now: Time) {
        self.leadership.peers_promised(now);
    }

    /// How long a machine may be silent before it counts as gone, in seconds.
    pub(crate) fn heartbeat_timeout_s(&self) -> f64 {
        let report_s = self.settings.cluster.workers.report_s;
        let patience_s = LOST_AT_A_NODE_S + report_s;
        (self.settings.policy.silence * report_s).max(patience_s)
    }

    /// Whether new tasks may be placed on a machine.
    pub(crate) fn accepts_tasks(&self, machine: &Machine, now: Time) -> bool {
        let first_token = self.leadership.first_token();
        machine.accepts_tasks(now, self.heartbeat_timeout_s(), first_token)
    }

    /// What is free on a machine: all that is or may be there counts, but for what a stop in the same
    /// message ends at once.
    pub(crate) fn free_resources(&self, machine: &Machine) -> Resources {
        let Some(machine_type) = self.machine_types.get(&machine.machine_type) else {
            return Resources::default();
        };
        let mut free = Resources::of_type(machine_type);
        free.subtract(&machine.used());
        free
    }

    /// What each team uses of its quota.
    pub(crate) fn quota(&self) -> &QuotaUsageByTeam {
        &self.quota
    }

    /// The settings of a team.
    pub(crate) fn team(&self, name: &str) -> Option<&Team> {
        self.settings.team(name)
    }

    /// As many of so many tasks of a job as its team's quota lets run.
    pub(crate) fn within_quota(&self, job: &Job, tasks: u32) -> u32 {
        let team = self.team(&job.spec.team);
        team.map_or(0, |team| self.quota.cap(team, &job.request(), tasks))
    }

    /// Since when many machines have left commands unanswered: others may have failed with them.
    pub(crate) fn mass_failure_since(&self) -> Option<Time> {
        self.heartbeats.mass_failure_since()
    }

    /// Jobs that are kept from free resources.
    pub(crate) fn starvation(&self) -> &Starvation {
        &self.starvation
    }

    /// Takes in which jobs a scheduling cycle has kept from free resources.
    pub(crate) fn update_starvation(&mut self, starved: &BTreeSet<JobId>, now: Time) {
        let jobs = &self.jobs;
        let pauses = |id: &JobId| jobs.get(id).is_some_and(|job| now < job.retry_at);
        self.starvation.update(starved, pauses, now);
    }

    /// Takes whether anything has changed that a scheduling cycle could use.
    pub(crate) fn take_scheduling_request(&mut self) -> bool {
        std::mem::take(&mut self.needs_scheduling)
    }

    /// Whether anything has changed that a scheduling cycle could use.
    pub(crate) fn needs_scheduling(&self) -> bool {
        self.needs_scheduling
    }

    /// The arrivals and departures of services.
    pub(crate) fn service_arrivals(&self) -> &ServiceArrivals {
        &self.service_arrivals
    }

    /// Replicas that are expected within the time that a machine takes to boot, beyond those whose
    /// resources come free by then.
    pub(crate) fn expected_replicas(&self, now: Time) -> Vec<ExpectedReplicas> {
        let Some(boot_s) = self.machine_types.shortest_boot_s() else {
            return Vec::new();
        };
        let horizon = ForecastHorizon {
            boot_s,
            deviations: self.settings.policy.warm,
            skipped_s: self.settings.cluster.workers.report_s,
        };
        self.service_arrivals.expected(horizon, now)
    }

    /// How long a task has to write a checkpoint when it is preempted, in seconds.
    pub(crate) fn preemption_grace_s(&self, id: &AllocationId) -> f64 {
        match self.jobs.get(&id.job) {
            Some(job) if job.spec.checkpoint_s > 0.0 && !job.cancelled => job.spec.save_s,
            _ => 0.0,
        }
    }

    /// Expires leases, and looks after machines and launches that hold something up.
    pub(crate) fn maintain(&mut self, now: Time) {
        self.expire_leases(now);
        self.check_machine_health(now);
        self.raise_token_if_needed(now);
    }

    /// Forgets arrivals of services that no forecast will look back to.
    pub(crate) fn forget_old_arrivals(&mut self, now: Time) {
        if let Some(boot_s) = self.machine_types.shortest_boot_s() {
            self.service_arrivals.forget_old(boot_s, now);
        }
    }

    /// Forgets machines that were returned so long ago that nothing tells of them any more.
    pub(crate) fn forget_returned_machines(&mut self, now: Time) {
        let workers = &self.settings.cluster.workers;
        let list_lag_s = self.settings.cluster.cloud.list_lag_s;
        let kept_s = (4.0 * list_lag_s + workers.cancel_s).max(4.0 * workers.lease_s);
        self.returned_machines
            .retain(|_, returned_at| now - *returned_at < kept_s);
    }
}

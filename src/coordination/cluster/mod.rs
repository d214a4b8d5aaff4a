//! The leader's view of the cluster and every operation that changes it.
//!
//! `ClusterState` holds jobs, machines and their allocations. Each kind of event that changes it has
//! its own module:
//!
//! - [`heartbeats`], `reconciliation`, `leases`: the state that workers send, and the proof that a task
//!   is gone;
//! - `allocations`: adding, stopping and releasing allocations;
//! - `commands`: commands to workers, and the fencing tokens;
//! - `jobs`, `dependencies`, `urgency`: acceptance, cancellation and completion of jobs, and what they
//!   inherit from their dependents;
//! - `machine_health`, `inventory`: silent and faulty machines, and the cloud's list of machines;
//! - `writes`, [`recovery`]: the records in the key-value store;
//! - [`cancellation_evidence`], [`heartbeat_routing`]: which leases may be renewed, and how followers
//!   route heartbeats;
//! - [`accept_limits`], `allocation_limit`: how many jobs may be open, and how many tasks placed.
//!
//! State with its own invariants is kept behind private fields: `Leadership`, `HeartbeatMonitor`,
//! `PlacementRecords`, `WriteQueue`, `DependencyGraph`, `UrgencyUpdates`, `Starvation`, `ServiceArrivals`. The
//! work per event does not grow with the cluster, because pending work is indexed.

pub mod accept_limits;
pub(crate) mod allocation_limit;
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
mod urgency;
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
use urgency::UrgencyUpdates;
use wall_clock::WallClock;
use write_queue::WriteQueue;

/// Commands per response, so that a response stays within the limit of 64 KiB.
const MAX_COMMANDS: usize = 400;
/// Seconds after which a worker stops waiting for a response.
const WORKER_RESPONSE_TIMEOUT_S: f64 = 4.0;
/// Seconds that a worker then waits before it tries another controller.
pub(crate) const WORKER_RETRY_S: f64 = 1.0;
/// Seconds that a worker loses on a controller that does not respond.
pub(crate) const UNREACHABLE_CONTROLLER_DELAY_S: f64 = WORKER_RESPONSE_TIMEOUT_S + WORKER_RETRY_S;
/// How much the monotonic clocks of different machines may drift apart, as a factor.
pub(crate) const CLOCK_DRIFT: f64 = 1.001;

/// Jobs, machines and allocations as the leader knows them.
pub(crate) struct ClusterState {
    settings: Arc<Settings>,
    leadership: Leadership,
    jobs: BTreeMap<JobId, Job>,
    /// An estimate of the memory that all jobs take, in bytes.
    open_job_bytes: u64,
    finished_jobs: FinishedJobs,
    dependencies: DependencyGraph,
    urgency_updates: UrgencyUpdates,
    service_arrivals: ServiceArrivals,
    predictor: Predictor,
    starvation: Starvation,
    quota: QuotaUsageByTeam,
    machines: BTreeMap<MachineName, Machine>,
    machine_types: MachineTypes,
    /// Machines that were returned to the cloud recently, and when: heartbeats and listings that still
    /// show them are outdated.
    returned_machines: BTreeMap<MachineName, Time>,
    /// Machines that may have commands to receive before their next heartbeats.
    machines_to_notify: BTreeSet<MachineName>,
    heartbeats: HeartbeatMonitor,
    placement_records: PlacementRecords,
    /// How a job's tasks are divided among its completion records.
    shards: CompletionShards,
    writes: WriteQueue,
    clock: WallClock,
    /// Whether anything has changed since the last scheduling cycle that could affect the next one.
    needs_scheduling: bool,
    effects: Vec<Effect>,
}

impl ClusterState {
    /// The state of a leader elected with a fencing token, before it has read any record.
    pub(crate) fn new(settings: Arc<Settings>, token: FencingToken, now: Time) -> ClusterState {
        let store = &settings.cluster.state;
        let report_s = settings.cluster.workers.report_s;
        ClusterState {
            leadership: Leadership::new(token, now),
            jobs: BTreeMap::new(),
            open_job_bytes: 0,
            finished_jobs: FinishedJobs::default(),
            dependencies: DependencyGraph::default(),
            urgency_updates: UrgencyUpdates::default(),
            service_arrivals: ServiceArrivals::default(),
            predictor: Predictor::default(),
            starvation: Starvation::default(),
            quota: QuotaUsageByTeam::default(),
            machines: BTreeMap::new(),
            machine_types: MachineTypes::default(),
            returned_machines: BTreeMap::new(),
            machines_to_notify: BTreeSet::new(),
            heartbeats: HeartbeatMonitor::new(report_s, now),
            placement_records: PlacementRecords::new(store.max_record_bytes()),
            shards: CompletionShards::within(store.max_record_bytes()),
            writes: WriteQueue::new(store.write_rps, store.max_operations()),
            clock: WallClock::default(),
            needs_scheduling: true,
            effects: Vec::new(),
            settings,
        }
    }

    /// The settings of the cluster.
    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The leader's term.
    pub(crate) fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// Mutable access to the leader's term.
    pub(crate) fn leadership_mut(&mut self) -> &mut Leadership {
        &mut self.leadership
    }

    /// All jobs that are open, or of which a machine may still hold a task, ordered by id.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The job with an id, if it is known.
    pub(crate) fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// An estimate of the memory that all known jobs take, in bytes.
    pub(crate) fn open_job_bytes(&self) -> u64 {
        self.open_job_bytes
    }

    /// The number of known jobs.
    pub(crate) fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// All machines, ordered by name.
    pub(crate) fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// The machine with a name, if it is known.
    pub(crate) fn machine(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// The number of known machines.
    pub(crate) fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// The machine types that the cloud offers.
    pub(crate) fn machine_types(&self) -> &MachineTypes {
        &self.machine_types
    }

    /// Replaces the machine types that the cloud offers.
    pub(crate) fn set_machine_types(&mut self, types: Vec<MachineType>) {
        self.machine_types = MachineTypes::new(types);
        self.needs_scheduling = true;
    }

    /// Lowers the write rate to the announced limit, which the store enforces from now on.
    pub(crate) fn lower_write_rate(&mut self) {
        let rate = self.settings.cluster.state.lowest_write_rps();
        self.writes.lower_rate(rate);
    }

    /// Takes the effects that other actors have to carry out.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Adds an effect for another actor to carry out.
    pub(crate) fn push_effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Notes that every other controller has promised not to answer heartbeats as a leader with a lower
    /// token.
    pub(crate) fn peers_promised(&mut self, now: Time) {
        self.leadership.peers_promised(now);
    }

    /// Seconds without a heartbeat after which a machine counts as lost. A worker gets the time to fail
    /// over from an unresponsive controller to another one.
    pub(crate) fn heartbeat_timeout_s(&self) -> f64 {
        let report_s = self.settings.cluster.workers.report_s;
        let min_timeout_s = UNREACHABLE_CONTROLLER_DELAY_S + report_s;
        (self.settings.policy.heartbeat_timeout * report_s).max(min_timeout_s)
    }

    /// Whether new tasks may be placed on a machine.
    pub(crate) fn accepts_tasks(&self, machine: &Machine, now: Time) -> bool {
        let first_token = self.leadership.first_token();
        machine.accepts_tasks(now, self.heartbeat_timeout_s(), first_token)
    }

    /// The free resources of a machine. Every task that is or may be on the machine counts, except those
    /// that a stop in the next command batch ends immediately.
    pub(crate) fn free_resources(&self, machine: &Machine) -> Resources {
        let Some(machine_type) = self.machine_types.get(&machine.machine_type) else {
            return Resources::default();
        };
        let mut free = Resources::of_type(machine_type);
        free.subtract(&machine.used());
        free
    }

    /// The quota usage of each team.
    pub(crate) fn quota(&self) -> &QuotaUsageByTeam {
        &self.quota
    }

    /// The settings of a team.
    pub(crate) fn team(&self, name: &str) -> Option<&Team> {
        self.settings.team(name)
    }

    /// How many of `tasks` tasks of a job may run within its team's quota.
    pub(crate) fn within_quota(&self, job: &Job, tasks: u32) -> u32 {
        let team = self.team(&job.spec.team);
        team.map_or(0, |team| {
            self.quota
                .tasks_within_cpu_limit(team, &job.request(), tasks)
        })
    }

    /// Since when many machines have left commands unanswered: more machines may have failed with them.
    pub(crate) fn mass_failure_since(&self) -> Option<Time> {
        self.heartbeats.mass_failure_since()
    }

    /// Jobs that are kept from free resources.
    pub(crate) fn starvation(&self) -> &Starvation {
        &self.starvation
    }

    /// Updates the starvation times with the jobs that a scheduling cycle has kept from free resources.
    pub(crate) fn update_starvation(&mut self, starved: &BTreeSet<JobId>, now: Time) {
        let jobs = &self.jobs;
        let is_paused = |id: &JobId| jobs.get(id).is_some_and(|job| now < job.retry_at);
        self.starvation.update(starved, is_paused, now);
    }

    /// Returns whether a scheduling cycle is needed, and clears that state.
    pub(crate) fn take_scheduling_request(&mut self) -> bool {
        std::mem::take(&mut self.needs_scheduling)
    }

    /// Whether anything has changed since the last scheduling cycle that could affect the next one.
    pub(crate) fn needs_scheduling(&self) -> bool {
        self.needs_scheduling
    }

    /// The arrivals and departures of services.
    pub(crate) fn service_arrivals(&self) -> &ServiceArrivals {
        &self.service_arrivals
    }

    /// Replicas that are expected to arrive while a machine boots, beyond those whose resources become
    /// free in that time.
    pub(crate) fn expected_replicas(&self, now: Time) -> Vec<ExpectedReplicas> {
        let Some(boot_s) = self.machine_types.shortest_boot_s() else {
            return Vec::new();
        };
        let horizon = ForecastHorizon {
            boot_s,
            deviations: self.settings.policy.spare_deviations,
            skipped_s: self.settings.cluster.workers.report_s,
        };
        self.service_arrivals.expected(horizon, now)
    }

    /// Seconds that a task gets to write a checkpoint when it is preempted.
    pub(crate) fn preemption_grace_s(&self, id: &AllocationId) -> f64 {
        match self.jobs.get(&id.job) {
            Some(job) if job.spec.checkpoint_s > 0.0 && !job.cancelled => job.spec.save_s,
            _ => 0.0,
        }
    }

    /// Expires leases, checks the health of machines, and raises the fencing token if launches that may
    /// still arrive block other work.
    pub(crate) fn maintain(&mut self, now: Time) {
        self.expire_leases(now);
        self.check_machine_health(now);
        self.raise_token_if_needed(now);
    }

    /// Drops arrivals of services that are too old for any forecast.
    pub(crate) fn forget_old_arrivals(&mut self, now: Time) {
        if let Some(boot_s) = self.machine_types.shortest_boot_s() {
            self.service_arrivals.forget_old(boot_s, now);
        }
    }

    /// Forgets machines that were returned so long ago that no heartbeat or listing shows them any
    /// more.
    pub(crate) fn forget_returned_machines(&mut self, now: Time) {
        let workers = &self.settings.cluster.workers;
        let list_lag_s = self.settings.cluster.cloud.list_lag_s;
        let retention_s = (4.0 * list_lag_s + workers.cancel_s).max(4.0 * workers.lease_s);
        self.returned_machines
            .retain(|_, returned_at| now - *returned_at < retention_s);
    }
}

//! The cluster manager, which the leader runs during its term.
//!
//! Events arrive with their time: heartbeats, responses of the key-value store, the cloud and the
//! workers, accepted and finished jobs. [`ClusterManager::step`] and [`ClusterManager::tick`] advance
//! the time: they run scheduling cycles and the autoscaler on the state of the cluster and apply their
//! decisions. Actions for other actors are returned as [`Effect`]s.

use super::autoscaling::Autoscaler;
use super::cluster::heartbeats::HeartbeatSource;
use super::cluster::recovery::Records;
use super::cluster::{ClusterState, CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use super::scheduling::{run_cycle, SchedulingPlan};
use super::state::{AllocationId, AllocationState, Job, JobId, MachineName};
use super::Time;
use crate::protocol::cloud::{ListedMachine, MachineType};
use crate::protocol::ids::FencingToken;
use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::worker::Heartbeat;
use crate::settings::Settings;
use crate::storage::records::{FinalStateRecord, OpenRecord};
use stairstage_upgrade::fence::WriteFence;
use std::collections::HashMap;
use std::sync::Arc;

/// Seconds between scheduling cycles while no change is known, and between checks of leases and
/// machines.
const CYCLE_INTERVAL_S: f64 = 0.5;
/// Seconds between log summaries.
const SUMMARY_INTERVAL_S: f64 = 5.0;
/// The pause after a scheduling cycle, as a multiple of the cycle's duration.
const CYCLE_PAUSE_FACTOR: f64 = 5.0;

/// Timing of scheduling cycles, maintenance and log summaries.
#[derive(Default)]
struct CycleTiming {
    last_cycle_at: Time,
    /// No cycle runs before this time, to limit the share of time that cycles take.
    next_cycle_at: Time,
    last_maintenance_at: Time,
    last_summary_at: Time,
    /// How many machines and allocations the cycles have examined.
    examined: u64,
}

impl CycleTiming {
    fn maintenance_is_due(&mut self, now: Time) -> bool {
        let is_due = now - self.last_maintenance_at >= CYCLE_INTERVAL_S;
        if is_due {
            self.last_maintenance_at = now;
        }
        is_due
    }

    /// Whether a cycle is due: immediately after a change (`is_requested`), else at intervals.
    fn cycle_is_due(&mut self, is_requested: bool, now: Time) -> bool {
        let is_due = is_requested || now - self.last_cycle_at >= CYCLE_INTERVAL_S;
        let runs = is_due && now >= self.next_cycle_at;
        if runs {
            self.last_cycle_at = now;
        }
        runs
    }

    fn summary_is_due(&mut self, now: Time) -> bool {
        let is_due = now - self.last_summary_at >= SUMMARY_INTERVAL_S;
        if is_due {
            self.last_summary_at = now;
        }
        is_due
    }
}

/// Runs scheduling, autoscaling and maintenance of the cluster for the leader.
pub struct ClusterManager {
    cluster: ClusterState,
    autoscaler: Autoscaler,
    timing: CycleTiming,
}

/// Periodic work.
impl ClusterManager {
    /// The manager of a leader that was elected with this fencing token, before it has read any record.
    pub fn new(settings: Arc<Settings>, token: FencingToken, now: Time) -> ClusterManager {
        ClusterManager {
            cluster: ClusterState::new(settings, token, now),
            autoscaler: Autoscaler::default(),
            timing: CycleTiming::default(),
        }
    }

    /// Runs maintenance, scale out and a scheduling cycle if they are due, then flushes writes and sends
    /// commands. Returns whether a scheduling cycle ran.
    pub fn step(&mut self, now: Time) -> bool {
        let mut cycle_ran = false;
        self.cluster.update_urgencies();
        if self.is_leader(now) {
            if self.timing.maintenance_is_due(now) {
                self.cluster.maintain(now);
            }
            self.autoscaler.continue_scale_out(&mut self.cluster, now);
            let is_requested = self.cluster.needs_scheduling();
            cycle_ran = self.timing.cycle_is_due(is_requested, now);
            if cycle_ran {
                self.cluster.take_scheduling_request();
                self.schedule(now);
            }
        }
        self.cluster.request_unknown_final_states(now);
        self.cluster.flush_writes(now);
        self.cluster.send_commands(now);
        cycle_ran
    }

    /// Records the duration of a scheduling cycle, which determines the pause before the next one.
    pub fn record_cycle_duration(&mut self, seconds: f64, now: Time) {
        self.timing.next_cycle_at = now + CYCLE_PAUSE_FACTOR * seconds;
    }

    /// Runs the autoscaler and logs summaries; called about once a second.
    pub fn tick(&mut self, now: Time) {
        if self.is_leader(now) {
            self.autoscaler.run(&mut self.cluster, now);
            if self.timing.summary_is_due(now) {
                self.cluster.log_summary(now);
            }
        }
        self.cluster.forget_returned_machines(now);
    }

    fn schedule(&mut self, now: Time) {
        if let Some(plan) = run_cycle(&self.cluster, now) {
            self.timing.examined += plan.examined;
            self.apply(plan, now);
        }
    }

    /// Applies a plan: its allocations are recorded before any launch is sent.
    fn apply(&mut self, plan: SchedulingPlan, now: Time) {
        self.cluster.update_starvation(&plan.starved, now);
        for preemption in plan.preemptions {
            let grace_s = self.cluster.preemption_grace_s(&preemption.allocation);
            self.cluster
                .stop(&preemption.machine, &preemption.allocation, grace_s, now);
        }
        let mut attempt_of_gang: HashMap<JobId, u64> = HashMap::new();
        for planned in plan.allocations {
            let new_attempt = self.cluster.leadership_mut().next_id();
            let attempt = if planned.is_gang {
                let attempt = attempt_of_gang.entry(planned.job.clone());
                *attempt.or_insert(new_attempt)
            } else {
                new_attempt
            };
            let id = AllocationId::new(planned.job, planned.task, attempt);
            self.cluster
                .add_allocation(id, &planned.machine, AllocationState::Pending, now);
        }
    }

    /// Removes and returns the pending actions for other actors.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.cluster.take_effects()
    }
}

/// The leadership term.
impl ClusterManager {
    /// Whether this controller is the leader and may start tasks and write records.
    pub fn is_leader(&self, now: Time) -> bool {
        self.cluster.leadership().is_leader(now)
    }

    /// Whether this leader has stepped down, even if the leadership lease is still valid.
    pub fn has_stepped_down(&self) -> bool {
        self.cluster.leadership().has_stepped_down()
    }

    /// When the term began.
    pub fn elected_at(&self) -> Time {
        self.cluster.leadership().elected_at()
    }

    /// The fencing token that commands and writes carry.
    pub fn token(&self) -> FencingToken {
        self.cluster.leadership().token()
    }

    /// The fencing token with which the term began.
    pub fn first_token(&self) -> FencingToken {
        self.cluster.leadership().first_token()
    }

    /// Until when the leadership lease is guaranteed to be valid.
    pub fn lease_valid_until(&self) -> Time {
        self.cluster.leadership().lease_valid_until()
    }

    /// Records until when the leadership lease is guaranteed to be valid.
    pub fn set_lease_valid_until(&mut self, until: Time) {
        self.cluster.leadership_mut().set_lease_valid_until(until);
    }

    /// The write fence, which determines what may be written at the active cluster version.
    pub fn write_fence(&self) -> &WriteFence {
        self.cluster.leadership().write_fence()
    }

    /// Replaces the write fence after the active cluster version was read again.
    pub fn set_write_fence(&mut self, write_fence: WriteFence) {
        self.cluster.leadership_mut().set_write_fence(write_fence);
    }

    /// Handles the result of a request for a higher fencing token; `None` if the request failed.
    pub fn token_raised(&mut self, token: Option<FencingToken>, now: Time) {
        self.cluster.token_raised(token, now);
    }

    /// Notes that every other controller has promised not to answer heartbeats as a leader with a lower
    /// token.
    pub fn peers_promised(&mut self, now: Time) {
        self.cluster.peers_promised(now);
    }

    /// Restores the state from the records of earlier leaders.
    pub fn recover(&mut self, records: Records, wall_ms: u64, now: Time) {
        self.cluster.recover(records, wall_ms, now);
    }
}

/// Workers and machines.
impl ClusterManager {
    /// Applies a heartbeat that a worker sent to this controller; returns the response.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, now: Time) -> HeartbeatOutcome {
        self.heartbeat_from(HeartbeatSource::Worker, heartbeat, now)
    }

    /// Applies an unsolicited heartbeat, received from the worker or forwarded by a peer; returns the
    /// response.
    pub fn heartbeat_from(
        &mut self,
        source: HeartbeatSource,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> HeartbeatOutcome {
        self.cluster.heartbeat_from(source, heartbeat, now)
    }

    /// Applies a heartbeat that a worker sent in response to a direct command; returns whether the heartbeat
    /// is newer than earlier ones.
    pub fn apply_command_response(&mut self, heartbeat: &Heartbeat, now: Time) -> bool {
        self.cluster.apply_command_response(heartbeat, now)
    }

    /// Handles the outcome of commands that were sent directly.
    pub fn commands_finished(&mut self, machine: &MachineName, outcome: CommandOutcome, now: Time) {
        self.cluster.commands_finished(machine, outcome, now);
    }

    /// Whether this controller receives no heartbeats directly from workers although there are machines.
    pub fn receives_no_heartbeats(&self, now: Time) -> bool {
        self.cluster.receives_no_heartbeats(now)
    }

    /// Replaces the catalog of machine types.
    pub fn set_machine_types(&mut self, types: Vec<MachineType>) {
        self.cluster.set_machine_types(types);
    }

    /// Handles the result of a rental request: the names of the rented machines, possibly none; `None` if
    /// the request failed without a usable response.
    pub fn machines_rented(&mut self, request: &str, machines: Option<Vec<String>>, now: Time) {
        self.autoscaler
            .machines_rented(&mut self.cluster, request, machines, now);
    }

    /// Handles the result of a return request; `confirmed` is a 200 response, which proves that the
    /// machines are gone.
    pub fn machines_returned(&mut self, names: &[String], confirmed: bool, now: Time) {
        self.cluster.machines_returned(names, confirmed, now);
    }

    /// Applies the cloud's list of machines.
    pub fn machines_listed(&mut self, list: &[ListedMachine], now: Time) {
        self.cluster.machines_listed(list, now);
    }

    /// The number of machines.
    pub fn machine_count(&self) -> usize {
        self.cluster.machine_count()
    }

    /// The number of machines and allocations that scheduling cycles have examined in this term.
    pub fn machines_examined(&self) -> u64 {
        self.timing.examined
    }
}

/// Jobs and records.
impl ClusterManager {
    /// Handles the record of an open job, which is newly accepted or cancelled by its user.
    pub fn job_accepted(&mut self, record: OpenRecord, version: u64, wall_ms: u64, now: Time) {
        self.cluster.job_accepted(record, version, wall_ms, now);
    }

    /// Handles the cancellation of a job by its user.
    pub fn cancel(&mut self, id: &str, now: Time) {
        self.cluster.cancel(id, now);
    }

    /// Handles the recorded final state of a job, which some controller has read.
    pub fn final_state_recorded(&mut self, id: &str, state: JobState, now: Time) {
        self.cluster.final_state_recorded(id, state, now);
    }

    /// Handles the result of reading final states; `None` for a job whose final state is not recorded or
    /// could not be read.
    pub fn final_states_read(
        &mut self,
        final_states: Vec<(JobId, Option<FinalStateRecord>)>,
        now: Time,
    ) {
        self.cluster.final_states_read(final_states, now);
    }

    /// The status of a job for its user; `None` if this leader cannot be certain of it.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        self.cluster.status(id)
    }

    /// The job with an id, if it is open or a machine may still have a task of it.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.cluster.job(id)
    }

    /// How many jobs and dependencies have been visited in this term to find the priorities and deadlines that
    /// jobs inherit.
    pub fn urgency_visits(&self) -> u64 {
        self.cluster.urgency_visits()
    }

    /// The number of jobs.
    pub fn job_count(&self) -> usize {
        self.cluster.job_count()
    }

    /// What counts against the memory for open jobs, in bytes.
    pub fn accept_limit_usage_bytes(&self) -> u64 {
        self.cluster.accept_limit_usage_bytes()
    }

    /// An estimate of the memory that all known jobs take, in bytes.
    pub fn open_job_bytes(&self) -> u64 {
        self.cluster.open_job_bytes()
    }

    /// Handles the outcome of a write.
    pub fn write_finished(&mut self, id: u64, outcome: WriteOutcome, now: Time) {
        self.cluster.write_finished(id, outcome, now);
    }

    /// Lowers the write rate to the key-value store's next limit.
    pub fn lower_write_rate(&mut self) {
        self.cluster.lower_write_rate();
    }
}

//! The manager of the cluster: what the leading controller does for as long as its term lasts.
//!
//! Events come in with their time: heartbeats, answers of the store, the cloud and the workers,
//! accepted and ended jobs. [`ClusterManager::step`] and [`ClusterManager::tick`] let time pass: they
//! run scheduling cycles and the autoscaler on the state of the cluster and apply what these decide.
//! What other actors are to do goes out as [`Effect`]s.

use super::autoscaling::Autoscaler;
use super::cluster::heartbeats::HeartbeatSource;
use super::cluster::recovery::Records;
use super::cluster::{ClusterState, CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use super::scheduling::{run_cycle, SchedulingPlan};
use super::state::{AllocationId, AllocationState, JobId, MachineName};
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

/// Seconds between scheduling cycles while nothing is known to have changed, and between checks of
/// leases and machines.
const CYCLE_PAUSE_S: f64 = 0.5;
/// Seconds between summaries in the log.
const SUMMARY_PAUSE_S: f64 = 5.0;
/// How many times as long as a scheduling cycle took the next one waits.
const CYCLE_PACE: f64 = 5.0;

/// When scheduling cycles ran, and when the next one may.
#[derive(Default)]
struct SchedulingPace {
    last_cycle_at: Time,
    /// Before then a cycle would cost too much.
    next_cycle_at: Time,
    last_maintenance_at: Time,
    last_summary_at: Time,
    /// How many machines and allocations cycles have examined.
    examined: u64,
}

impl SchedulingPace {
    fn maintenance_is_due(&mut self, now: Time) -> bool {
        let is_due = now - self.last_maintenance_at >= CYCLE_PAUSE_S;
        if is_due {
            self.last_maintenance_at = now;
        }
        is_due
    }

    /// Whether a cycle may run, where something has changed (`is_requested`) or not.
    fn cycle_is_due(&mut self, is_requested: bool, now: Time) -> bool {
        let is_due = is_requested || now - self.last_cycle_at >= CYCLE_PAUSE_S;
        let runs = is_due && now >= self.next_cycle_at;
        if runs {
            self.last_cycle_at = now;
        }
        runs
    }

    fn summary_is_due(&mut self, now: Time) -> bool {
        let is_due = now - self.last_summary_at >= SUMMARY_PAUSE_S;
        if is_due {
            self.last_summary_at = now;
        }
        is_due
    }
}

/// The leader's manager of the cluster.
pub struct ClusterManager {
    cluster: ClusterState,
    autoscaler: Autoscaler,
    pace: SchedulingPace,
}

/// What time decides.
impl ClusterManager {
    /// The manager of a leader that was elected with a fencing token, before it has read any record.
    pub fn new(settings: Arc<Settings>, token: FencingToken, now: Time) -> ClusterManager {
        ClusterManager {
            cluster: ClusterState::new(settings, token, now),
            autoscaler: Autoscaler::default(),
            pace: SchedulingPace::default(),
        }
    }

    /// Lets time pass: decides what can be decided, and writes and sends what is due. Returns
    /// whether a scheduling cycle was run.
    pub fn step(&mut self, now: Time) -> bool {
        let mut has_run = false;
        if self.is_leader(now) {
            if self.pace.maintenance_is_due(now) {
                self.cluster.maintain(now);
            }
            self.autoscaler.continue_scale_out(&mut self.cluster, now);
            let is_requested = self.cluster.needs_scheduling();
            has_run = self.pace.cycle_is_due(is_requested, now);
            if has_run {
                self.cluster.take_scheduling_request();
                self.schedule(now);
            }
        }
        self.cluster.request_unknown_final_states(now);
        self.cluster.flush_writes(now);
        self.cluster.send_commands(now);
        has_run
    }

    /// How long a scheduling cycle took, so that the next one waits for long enough.
    pub fn cycle_took(&mut self, seconds: f64, now: Time) {
        self.pace.next_cycle_at = now + CYCLE_PACE * seconds;
    }

    /// Slower decisions, about once a second.
    pub fn tick(&mut self, now: Time) {
        if self.is_leader(now) {
            self.autoscaler.run(&mut self.cluster, now);
            if self.pace.summary_is_due(now) {
                self.cluster.log_summary(now);
            }
        }
        self.cluster.forget_returned_machines(now);
    }

    fn schedule(&mut self, now: Time) {
        if let Some(plan) = run_cycle(&self.cluster, now) {
            self.pace.examined += plan.examined;
            self.apply(plan, now);
        }
    }

    /// Carries a plan out: its allocations are recorded before any launch is sent.
    fn apply(&mut self, plan: SchedulingPlan, now: Time) {
        self.cluster.update_starvation(&plan.starved, now);
        for preemption in plan.preemptions {
            let grace_s = self.cluster.preemption_grace_s(&preemption.allocation);
            self.cluster
                .stop(&preemption.machine, &preemption.allocation, grace_s, now);
        }
        let mut attempt_of_gang: HashMap<JobId, u64> = HashMap::new();
        for planned in plan.allocations {
            let fresh = self.cluster.leadership_mut().next_id();
            let attempt = if planned.is_gang {
                let attempt = attempt_of_gang.entry(planned.job.clone());
                *attempt.or_insert(fresh)
            } else {
                fresh
            };
            let id = AllocationId::new(planned.job, planned.task, attempt);
            self.cluster
                .add_allocation(id, &planned.machine, AllocationState::Pending, now);
        }
    }

    /// Takes what other actors are to do.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.cluster.take_effects()
    }
}

/// The term of leadership.
impl ClusterManager {
    /// Whether the leader may start tasks and write records.
    pub fn is_leader(&self, now: Time) -> bool {
        self.cluster.leadership().is_leader(now)
    }

    /// Whether the leadership is over, whatever the lease says.
    pub fn is_deposed(&self) -> bool {
        self.cluster.leadership().is_deposed()
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

    /// Until when the leader's lease certainly holds.
    pub fn lease_valid_until(&self) -> Time {
        self.cluster.leadership().lease_valid_until()
    }

    /// Notes until when the leader's lease certainly holds.
    pub fn set_lease_valid_until(&mut self, until: Time) {
        self.cluster.leadership_mut().set_lease_valid_until(until);
    }

    /// What may be written at the active cluster version.
    pub fn write_fence(&self) -> &WriteFence {
        self.cluster.leadership().write_fence()
    }

    /// Replaces what may be written, as the active cluster version was read anew.
    pub fn set_write_fence(&mut self, write_fence: WriteFence) {
        self.cluster.leadership_mut().set_write_fence(write_fence);
    }

    /// A higher token was drawn; `None` if that failed.
    pub fn token_raised(&mut self, token: Option<FencingToken>, now: Time) {
        self.cluster.token_raised(token, now);
    }

    /// Every other controller has promised to answer no heartbeat with a lower token.
    pub fn peers_promised(&mut self, now: Time) {
        self.cluster.peers_promised(now);
    }

    /// Loads what earlier leaders recorded.
    pub fn recover(&mut self, records: Records, wall_ms: u64, now: Time) {
        self.cluster.recover(records, wall_ms, now);
    }
}

/// Workers and machines.
impl ClusterManager {
    /// Applies a heartbeat that its worker sent to this node, and responds to it.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, now: Time) -> HeartbeatOutcome {
        self.heartbeat_from(HeartbeatSource::Worker, heartbeat, now)
    }

    /// Applies a worker's own heartbeat, sent here or forwarded, and responds to it.
    pub fn heartbeat_from(
        &mut self,
        source: HeartbeatSource,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> HeartbeatOutcome {
        self.cluster.heartbeat_from(source, heartbeat, now)
    }

    /// Applies the heartbeat that answered a direct command; returns whether it is news.
    pub fn apply_command_response(&mut self, heartbeat: &Heartbeat, now: Time) -> bool {
        self.cluster.apply_command_response(heartbeat, now)
    }

    /// Takes in what became of commands that were sent directly.
    pub fn commands_answered(&mut self, machine: &MachineName, outcome: CommandOutcome, now: Time) {
        self.cluster.commands_answered(machine, outcome, now);
    }

    /// Whether no worker sends heartbeats to this node itself, though there are machines.
    pub fn receives_no_heartbeats(&self, now: Time) -> bool {
        self.cluster.receives_no_heartbeats(now)
    }

    /// Takes in the machine types that the cloud offers.
    pub fn set_machine_types(&mut self, types: Vec<MachineType>) {
        self.cluster.set_machine_types(types);
    }

    /// What the cloud answered to a rental; `None` when it has no answer to give.
    pub fn machines_rented(&mut self, request: &str, machines: Option<Vec<String>>, now: Time) {
        self.autoscaler
            .machines_rented(&mut self.cluster, request, machines, now);
    }

    /// What the cloud answered to a return: a 200 proves that the machines are gone.
    pub fn machines_returned(&mut self, names: &[String], confirmed: bool, now: Time) {
        self.cluster.machines_returned(names, confirmed, now);
    }

    /// Takes in the cloud's list of machines.
    pub fn machines_listed(&mut self, list: &[ListedMachine], now: Time) {
        self.cluster.machines_listed(list, now);
    }

    /// How many machines there are.
    pub fn machine_count(&self) -> usize {
        self.cluster.machine_count()
    }

    /// How many machines and allocations scheduling cycles have examined in this term.
    pub fn machines_examined(&self) -> u64 {
        self.pace.examined
    }
}

/// Jobs and records.
impl ClusterManager {
    /// A job was accepted at some time of day, or its user has cancelled it, as its record tells.
    pub fn job_accepted(&mut self, record: OpenRecord, version: u64, wall_ms: u64, now: Time) {
        self.cluster.job_accepted(record, version, wall_ms, now);
    }

    /// A job's user has cancelled it.
    pub fn cancel(&mut self, id: &str, now: Time) {
        self.cluster.cancel(id, now);
    }

    /// A job's end is on record, as some node has read.
    pub fn job_end_recorded(&mut self, id: &str, state: JobState, now: Time) {
        self.cluster.final_state_recorded(id, state, now);
    }

    /// The ends that were read; none for a job whose end is not on record, or could not be read.
    pub fn ends_found(&mut self, ends: Vec<(JobId, Option<FinalStateRecord>)>, now: Time) {
        self.cluster.final_states_read(ends, now);
    }

    /// What a user is told of a job; `None` where this leader cannot be sure.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        self.cluster.status(id)
    }

    /// How many jobs there are.
    pub fn job_count(&self) -> usize {
        self.cluster.job_count()
    }

    /// Takes in what became of a write.
    pub fn write_finished(&mut self, id: u64, outcome: WriteOutcome, now: Time) {
        self.cluster.write_finished(id, outcome, now);
    }

    /// The store accepts fewer changes than before.
    pub fn lower_write_rate(&mut self) {
        self.cluster.lower_write_rate();
    }
}

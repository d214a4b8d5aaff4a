//! Reconciles the leader's allocations with the tasks in a heartbeat.

use super::ClusterState;
use crate::coordination::state::{
    Allocation, AllocationId, AllocationState, Job, JobId, MachineName, PendingStop,
};
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::job::{parse_task, JobSpec};
use crate::protocol::worker::{max_task_status_bytes, Cause, Heartbeat, TaskState, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tracing::{debug, info, warn};

/// An allocation whose task is gone.
struct LostAllocation {
    id: AllocationId,
    has_run: bool,
}

/// What shows that an incarnation of a worker has ended, and its tasks with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncarnationEnd {
    /// A heartbeat of a later incarnation than any before.
    LaterHeartbeat,
    /// The worker's lease has expired by the leader's clock, whichever its incarnation was.
    LeaseExpired,
}

impl IncarnationEnd {
    /// Whether this also proves that the task of an allocation has ended. A task that an earlier leader
    /// launched, and that no heartbeat has listed yet, may belong to any incarnation: the heartbeats of
    /// both incarnations may be older than its launch.
    fn covers(self, allocation: &Allocation) -> bool {
        match self {
            IncarnationEnd::LaterHeartbeat => !allocation.has_unknown_incarnation(),
            IncarnationEnd::LeaseExpired => true,
        }
    }
}

/// A task that has exited, with the state of its allocation before the exit.
struct ExitedTask<'a> {
    id: &'a AllocationId,
    machine: &'a MachineName,
    spec: Arc<JobSpec>,
    cause: Cause,
    planned_at: Time,
    /// How long the task ran, in seconds; `None` if it never ran.
    ran_s: Option<f64>,
    /// Whether a stop was pending for the task.
    was_stopped: bool,
}

impl ClusterState {
    /// Reconciles the allocations of a machine with the newest heartbeat of its worker.
    pub(super) fn reconcile(&mut self, name: &MachineName, heartbeat: &Heartbeat, now: Time) {
        let mut listed = BTreeSet::new();
        // Tasks without an allocation, such as exited ones that an earlier leader has launched.
        let mut unallocated_bytes = 0;
        for status in &heartbeat.tasks {
            let Some((job, task)) = parse_task(&status.task) else {
                unallocated_bytes += max_task_status_bytes(&status.task);
                continue;
            };
            let id = AllocationId::new(job.into(), task, status.attempt);
            // Most tasks are unchanged, and a large fleet's heartbeats list tens of thousands a second.
            let machine = self.machines.get(name);
            if !machine.is_some_and(|machine| machine.is_unchanged(&id, status.state)) {
                self.reconcile_task(name, &id, status, now);
                let machine = self.machines.get(name);
                if !machine.is_some_and(|machine| machine.allocations().contains_key(&id)) {
                    unallocated_bytes += max_task_status_bytes(job);
                }
            }
            listed.insert(id);
        }
        self.reconcile_missing_tasks(name, &listed, heartbeat.token, now);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.set_unallocated_status_bytes(unallocated_bytes);
        }
    }

    /// Applies the status of a task in a heartbeat where it differs from the known state.
    fn reconcile_task(
        &mut self,
        name: &MachineName,
        id: &AllocationId,
        status: &TaskStatus,
        now: Time,
    ) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        if !job.has_task(id.task) {
            return;
        }
        let spec = job.spec.clone();
        let machine = self.machines.get(name);
        if !machine.is_some_and(|machine| machine.allocations().contains_key(id)) {
            if status.state == TaskState::Exited {
                // A task without an allocation that has exited is forgotten once its completion is
                // recorded.
                if status.cause == Some(Cause::Done) {
                    self.complete_task(&id.job, id.task, now);
                }
                return;
            }
            self.adopt_task(name, id, status.state, now);
        }
        let machine = self.machines.get(name);
        let allocation = machine.and_then(|machine| machine.allocations().get(id));
        if !allocation.is_some_and(Allocation::is_live) {
            return;
        }
        if status.state == TaskState::Exited {
            let cause = status.cause.unwrap_or(Cause::Error);
            self.task_exited(name, id, spec, cause, now);
        } else {
            self.task_observed(name, id, &spec, status.state, now);
        }
    }

    /// Adds an allocation for an unexpected task on a machine, and stops it if the job does not need
    /// the task.
    fn adopt_task(&mut self, name: &MachineName, id: &AllocationId, state: TaskState, now: Time) {
        let job = self.jobs.get(&id.job);
        let is_unwanted = job.is_some_and(|job| {
            let is_taken = job.has_task(id.task) && !job.is_unplaced(id.task);
            is_taken || job.cancelled
        });
        warn!(machine = %name, task = %id, "unexpected task on the machine, adding an allocation for it");
        self.add_allocation(id.clone(), name, AllocationState::Launching, now);
        if is_unwanted {
            let machine = self.machines.get_mut(name);
            if let Some(allocation) = machine.and_then(|machine| machine.allocation_mut(id)) {
                allocation.state = AllocationState::Observed(state);
            }
            self.stop(name, id, 0.0, now);
        }
    }

    /// Applies a heartbeat that lists a task which has not exited.
    fn task_observed(
        &mut self,
        name: &MachineName,
        id: &AllocationId,
        spec: &JobSpec,
        state: TaskState,
        now: Time,
    ) {
        let cancelled = self.jobs.get(&id.job).is_some_and(|job| job.cancelled);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if state != TaskState::Fetching {
            machine.images.insert(spec.image.clone());
        }
        let Some(allocation) = machine.allocation_mut(id) else {
            return;
        };
        let was_launching = allocation.state == AllocationState::Launching;
        let launched_by_response = was_launching && allocation.launch_response_sequence.is_some();
        allocation.state = AllocationState::Observed(state);
        allocation.is_recovered = false;
        allocation.is_missing = false;
        let has_started = state == TaskState::Running && !allocation.has_run();
        if has_started {
            allocation.running_since = Some(now);
        }
        if was_launching && cancelled && allocation.pending_stop.is_none() {
            allocation.pending_stop = Some(PendingStop {
                grace_s: 0.0,
                sent: false,
            });
            self.machines_to_notify.insert(name.clone());
        }
        if launched_by_response {
            machine.worker.record_acknowledgement(true, now);
        }
        if has_started {
            debug!(task = %id, machine = %name, "task started");
            if let Some(job) = self.jobs.get_mut(&id.job) {
                job.task_started(now);
            }
        }
    }

    /// Applies a heartbeat that lists a task as exited.
    fn task_exited(
        &mut self,
        name: &MachineName,
        id: &AllocationId,
        spec: Arc<JobSpec>,
        cause: Cause,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.idle_since = now;
        let Some(allocation) = machine.allocation_mut(id) else {
            return;
        };
        allocation.state = AllocationState::Exited(cause);
        let exited = ExitedTask {
            id,
            machine: name,
            spec,
            cause,
            planned_at: allocation.planned_at,
            ran_s: allocation.running_since.map(|since| now - since),
            was_stopped: allocation.pending_stop.is_some(),
        };
        debug!(task = %id, machine = %name, ?cause, "task exited");
        self.release_allocation(id, name, exited.ran_s.is_some(), now);
        self.handle_exit(&exited, now);
    }

    fn handle_exit(&mut self, exited: &ExitedTask, now: Time) {
        let (job, machine) = (&exited.id.job, exited.machine);
        match exited.cause {
            Cause::Done => {
                self.complete_task(job, exited.id.task, now);
                self.task_succeeded_on(machine, &exited.spec.image);
                self.learn_run_time(exited);
            }
            Cause::Error => self.task_failed_on(job, machine, exited.planned_at, now),
            Cause::InsufficientResources | Cause::Busy | Cause::Unknown => {
                warn!(machine = %machine, task = %exited.id, cause = ?exited.cause, "launch rejected");
                self.launch_rejected(job, now);
            }
            Cause::Stopped | Cause::GangBroken | Cause::GangIncomplete => self.task_lost(job, now),
        }
    }

    /// Learns the run time of a task that completed without being stopped.
    fn learn_run_time(&mut self, exited: &ExitedTask) {
        let spec = &exited.spec;
        let is_service = spec.kind == crate::protocol::job::JobKind::Service;
        let Some(ran_s) = exited.ran_s.filter(|_| !exited.was_stopped && !is_service) else {
            return;
        };
        let owner = super::jobs::owner(spec);
        self.predictor
            .learn(&owner, spec.estimate_s, spec.cpus, ran_s);
    }

    /// Releases allocations that are missing from a heartbeat sent under an acknowledged token, if no
    /// launch of them may still arrive.
    fn reconcile_missing_tasks(
        &mut self,
        name: &MachineName,
        listed: &BTreeSet<AllocationId>,
        token: FencingToken,
        now: Time,
    ) {
        let first_token = self.leadership.first_token();
        let jobs = &self.jobs;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let unsolicited_sequence = machine.worker.unsolicited_sequence();
        // A response carried a launch, but a later heartbeat does not list the task.
        let is_unacknowledged = machine.allocations().iter().any(|(id, a)| {
            let sequence = a.launch_response_sequence;
            let is_answered = sequence.is_some_and(|s| s < unsolicited_sequence);
            let is_launching = a.state == AllocationState::Launching && a.pending_stop.is_none();
            is_launching && is_answered && !listed.contains(id)
        });
        if is_unacknowledged {
            machine.worker.record_acknowledgement(false, now);
        }
        let mut lost = Vec::new();
        machine.retain_allocations(|id, allocation| {
            if listed.contains(id) {
                return true;
            }
            let launches_are_over = allocation.no_launch_in_flight(token, unsolicited_sequence);
            if matches!(allocation.state, AllocationState::Exited(_)) {
                // The worker has executed the `forget`.
                return !launches_are_over;
            }
            let is_fenced = token >= first_token;
            let is_gone = match allocation.state {
                AllocationState::Pending | AllocationState::Exited(_) => false,
                // Launched by an earlier leader: that launch cannot arrive once the worker has seen a
                // token of this term.
                AllocationState::Launching if allocation.has_unknown_incarnation() => is_fenced,
                AllocationState::Launching => {
                    launches_are_over && is_unwanted(jobs, id, allocation)
                }
                AllocationState::Observed(_) => launches_are_over && is_fenced,
            };
            let was_observed = matches!(allocation.state, AllocationState::Observed(_));
            allocation.is_missing = !is_gone && was_observed;
            if is_gone {
                lost.push(LostAllocation {
                    id: id.clone(),
                    has_run: allocation.has_run(),
                });
            }
            !is_gone
        });
        for LostAllocation { id, has_run } in lost {
            debug!(task = %id, machine = %name, "task is no longer on the machine");
            self.release_allocation(&id, name, has_run, now);
            self.task_lost(&id.job, now);
        }
    }

    /// Releases the allocations on a machine whose tasks are proven to have ended with an incarnation of
    /// its worker.
    pub(super) fn end_incarnation(
        &mut self,
        name: &MachineName,
        evidence: IncarnationEnd,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let (mut lost, mut unproven) = (Vec::new(), 0);
        machine.retain_allocations(|id, allocation| {
            // A launch that was not sent can still be sent to the next incarnation.
            if allocation.state == AllocationState::Pending {
                return true;
            }
            if !evidence.covers(allocation) {
                unproven += 1;
                return true;
            }
            if allocation.is_live() {
                lost.push(LostAllocation {
                    id: id.clone(),
                    has_run: allocation.has_run(),
                });
            }
            false
        });
        if !lost.is_empty() {
            warn!(machine = %name, tasks = lost.len(), "incarnation ended, its tasks are lost");
        }
        if unproven > 0 {
            info!(machine = %name, tasks = unproven, "incarnation ended, tasks of an earlier leader may still run");
        }
        for LostAllocation { id, has_run } in lost {
            self.release_allocation(&id, name, has_run, now);
            self.task_lost(&id.job, now);
        }
    }
}

/// Whether a task that may still be launched should be stopped.
fn is_unwanted(jobs: &BTreeMap<JobId, Job>, id: &AllocationId, allocation: &Allocation) -> bool {
    allocation.pending_stop.is_some() || jobs.get(&id.job).is_none_or(|job| job.cancelled)
}

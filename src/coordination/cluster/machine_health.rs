//! Machines that are silent, faulty or about to be reclaimed, and jobs that fail on every machine.

use super::heartbeat_monitor::MachineSurvey;
use super::{ClusterState, Effect, CLOCK_DRIFT};
use crate::coordination::state::{
    AllocationId, JobId, Machine, MachineName, MachinePhase, MAX_WAIT_WITH_CAPACITY_S,
};
use crate::coordination::Time;
use crate::protocol::cloud::MAX_RETURNED;
use tracing::{info, warn};

/// Distinct jobs that must fail on a machine, and then complete a task on another one, before the
/// machine counts as faulty.
const FAULTY_MACHINE_JOBS: usize = 2;
/// Distinct machines that a job must fail on before the job counts as faulty.
const FAULTY_JOB_MACHINES: usize = 3;
/// Each further failure of a job doubles its pause, at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// The longest pause of a failing job, as a share of the longest time that a job may wait while
/// resources are free.
const MAX_PAUSE_SHARE: f64 = 0.5;

/// Heartbeat intervals without a heartbeat after which a machine is probed. A regular interval may be
/// up to a quarter longer; few are, and probing those costs less than detecting the other machines
/// later.
const PROBE_INTERVALS: f64 = 1.15;
/// Heartbeat intervals after which a machine that left a command unanswered is assumed to hang.
const SUSPECT_INTERVALS: f64 = 1.3;

/// A machine that counts as silent.
struct SilentMachine {
    name: MachineName,
    /// How long it has been silent, in seconds.
    silence_s: f64,
}

/// Why a machine is unusable and should be returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnusableReason {
    Failed,
    BootTimeout,
    Quarantined,
    Drained,
}

impl ClusterState {
    /// Notes that a task has completed on a machine.
    pub(super) fn task_succeeded_on(&mut self, name: &MachineName, image: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.failures.failed_jobs.clear();
            machine.failures.completed_elsewhere.clear();
            machine.images.insert(image.to_string());
        }
    }

    /// Notes the failure on a machine of a task that was placed at `placed_at`. The job pauses if it
    /// fails on several machines, or again on the same one. Tasks that fail together count once. From
    /// now on, the machine is the last choice for placement; whether it is at fault becomes clear when
    /// the job runs on another one.
    pub(super) fn task_failed_on(
        &mut self,
        id: &JobId,
        name: &MachineName,
        placed_at: Time,
        now: Time,
    ) {
        let report_s = self.settings.cluster.workers.report_s;
        if let Some(machine) = self.machines.get_mut(name) {
            machine.failures.failed_jobs.insert(id.clone());
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let failed_again = job.failed_on.get(name).is_some_and(|at| placed_at > *at);
        job.failed_on.insert(name.clone(), now);
        let machines = job.failed_on.len();
        if (machines >= FAULTY_JOB_MACHINES || failed_again) && now >= job.retry_at {
            job.consecutive_failures += 1;
            let doublings = job.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
            let pause_s = report_s * f64::from(1 << doublings);
            let pause_s = pause_s.min(MAX_PAUSE_SHARE * MAX_WAIT_WITH_CAPACITY_S);
            job.retry_at = now + pause_s;
            // The pause counts as waiting while resources are free, so that it does not add to a wait
            // for a reservation that follows.
            self.starvation.start(id, now);
            warn!(
                job = %id,
                machines,
                pause_s = format_args!("{pause_s:.0}"),
                "job fails repeatedly, pausing it"
            );
        }
    }

    /// Handles a job's completed task, which shows that the job is sound: machines on which it failed
    /// before count as faulty if enough other jobs show the same. A job that never completes a task
    /// proves nothing.
    pub(super) fn attribute_failures(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let failed_on = std::mem::take(&mut job.failed_on);
        if failed_on.len() >= FAULTY_JOB_MACHINES {
            return;
        }
        for name in failed_on.keys() {
            let Some(machine) = self.machines.get_mut(name) else {
                continue;
            };
            let failures = &mut machine.failures;
            failures.completed_elsewhere.insert(id.clone());
            let jobs = failures.completed_elsewhere.len();
            if jobs >= FAULTY_MACHINE_JOBS && !failures.quarantined {
                warn!(machine = %name, jobs, "machine quarantined, tasks of several jobs failed on it");
                failures.quarantined = true;
            }
        }
    }

    /// Handles a launch that the worker rejected: the next attempt waits for a newer heartbeat of the
    /// machine.
    pub(super) fn launch_rejected(&mut self, id: &JobId, now: Time) {
        let pause_s = self.settings.cluster.workers.report_s / 2.0;
        if let Some(job) = self.jobs.get_mut(id) {
            job.retry_at = job.retry_at.max(now + pause_s);
        }
    }

    /// Drains a machine that the cloud will reclaim soon: tasks that can write a checkpoint do so, the
    /// others move.
    pub(super) fn drain(&mut self, name: &MachineName, now: Time) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let remaining_s = machine.reclaim_at.map_or(0.0, |at| at - now);
        let mut stops = Vec::new();
        for (id, allocation) in machine.live_allocations() {
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            // A task that is predicted to end in time is left running.
            if allocation.predicted_end(now) < now + remaining_s {
                continue;
            }
            let may_save = job.spec.checkpoint_s > 0.0 && job.spec.save_s < remaining_s;
            let grace_s = if may_save { job.spec.save_s } else { 0.0 };
            stops.push((id.clone(), grace_s));
        }
        for (id, grace_s) in stops {
            self.stop_gracefully(name, &id, grace_s, now);
        }
    }

    /// Stops a task so that it can write a checkpoint. The tasks of a gang must do so together: those
    /// that receive the command more than `gang_peer_s` after the first fail, and the checkpoint fails
    /// with them.
    fn stop_gracefully(&mut self, name: &MachineName, id: &AllocationId, grace_s: f64, now: Time) {
        let job = self.jobs.get(&id.job);
        if job.is_some_and(|job| job.is_gang()) {
            self.stop_job(&id.job, grace_s, now);
        } else {
            self.stop(name, id, grace_s, now);
        }
    }

    /// Checks for machines that are silent, failed or never booted.
    pub(super) fn check_machine_health(&mut self, now: Time) {
        let is_isolated = self.heartbeats.is_isolated(now);
        self.survey_machines(now);
        self.return_silent_machines(is_isolated, now);
        self.return_unusable_machines(now);
        self.send_returns();
        self.probe_machines(now);
    }

    /// How long a machine has been silent, in seconds. While no worker sends heartbeats, the silence of
    /// one machine proves nothing about it.
    fn silence_s(&self, machine: &Machine, now: Time) -> f64 {
        let worker = &machine.worker;
        let lease_s = self.settings.cluster.workers.lease_s * CLOCK_DRIFT;
        let elected_at = self.leadership.elected_at();
        let counts_from = elected_at.max(self.heartbeats.silence_counts_from());
        let mut last = worker.last_heartbeat_at().unwrap_or(machine.rented_at);
        // A machine that answers commands but sends no heartbeats counts as silent once that has cost
        // it its lease. So does a machine on which responses have no effect, even if its heartbeats
        // arrive.
        let last_response_at = worker.last_response_at();
        if now - last_response_at > lease_s {
            last = last.min(last_response_at);
        }
        if let Some(since) = worker.unresponsive_since() {
            last = since.min(last);
        }
        now - last.max(counts_from)
    }

    /// Whether no worker sends heartbeats directly to this controller, although there are machines.
    pub(crate) fn receives_no_heartbeats(&self, now: Time) -> bool {
        let elected_at = self.leadership.elected_at();
        !self.machines.is_empty() && self.heartbeats.receives_no_heartbeats(elected_at, now)
    }

    /// Since when a machine has left a command unanswered; `None` if this controller's network may be
    /// the cause.
    fn unanswered_since(&self, machine: &Machine) -> Option<Time> {
        let gap_ended_at = self.heartbeats.last_gap_ended_at();
        let since = machine.worker.command_unanswered_since();
        since.filter(|since| *since > gap_ended_at)
    }

    /// Counts the machines that are up, those that know this leader's token, and those that left
    /// commands unanswered.
    fn survey_machines(&mut self, now: Time) {
        let first_token = self.leadership.first_token();
        let mut survey = MachineSurvey::default();
        for machine in self.machines.values() {
            if machine.phase != MachinePhase::Up {
                continue;
            }
            survey.up += 1;
            survey.fenced += usize::from(machine.worker.acknowledged_token() >= first_token);
            if let Some(since) = self.unanswered_since(machine) {
                survey.unanswered += 1;
                let first = survey.first_unanswered_at.unwrap_or(since);
                survey.first_unanswered_at = Some(first.min(since));
            }
        }
        self.heartbeats.note_survey(survey, now);
    }

    /// Machines that count as silent.
    fn silent_machines(&self, now: Time) -> Vec<SilentMachine> {
        let timeout_s = self.heartbeat_timeout_s();
        let suspect_s = self.settings.cluster.workers.report_s * SUSPECT_INTERVALS;
        let machines = self.machines.values();
        let up = machines.filter(|machine| machine.phase == MachinePhase::Up);
        let silent = up.filter_map(|machine| {
            let silence_s = self.silence_s(machine, now);
            // A heartbeat is missing and a command went unanswered: the machine hangs or is
            // unreachable.
            let is_suspect = self.unanswered_since(machine).is_some() && silence_s > suspect_s;
            (silence_s > timeout_s || is_suspect).then(|| SilentMachine {
                name: machine.name.clone(),
                silence_s,
            })
        });
        silent.collect()
    }

    /// Returns silent machines. If many are silent at once, this controller's own network is the more
    /// likely cause, so they are kept longer, but not for ever: after a lease without a response, a
    /// worker has lost its tasks anyway, and a leader whose machines are all gone must not keep them
    /// indefinitely.
    fn return_silent_machines(&mut self, is_isolated: bool, now: Time) {
        let silent = self.silent_machines(now);
        let up = self.heartbeats.machines_up();
        let is_mass_silence = is_isolated || silent.len() * 2 > up.max(2);
        let lease_s = self.settings.cluster.workers.lease_s * CLOCK_DRIFT;
        let max_silence_s = lease_s + self.heartbeat_timeout_s();
        if is_mass_silence && !silent.is_empty() {
            warn!(
                silent = silent.len(),
                up, "many machines are silent at once, delaying their return"
            );
        }
        for SilentMachine { name, silence_s } in silent {
            if !is_mass_silence || silence_s > max_silence_s {
                warn!(
                    machine = %name,
                    silence_s = format_args!("{silence_s:.0}"),
                    "returning a silent machine"
                );
                self.begin_return(&name);
            }
        }
    }

    /// Returns machines that failed, never booted, are faulty or have been drained.
    fn return_unusable_machines(&mut self, now: Time) {
        let machines = self.machines.values();
        let unusable = machines.filter_map(|machine| {
            let reason = self.unusable_reason(machine, now)?;
            Some((machine.name.clone(), reason))
        });
        for (name, reason) in unusable.collect::<Vec<_>>() {
            info!(machine = %name, ?reason, "returning an unusable machine");
            self.begin_return(&name);
        }
    }

    fn unusable_reason(&self, machine: &Machine, now: Time) -> Option<UnusableReason> {
        if machine.phase == MachinePhase::Returning {
            return None;
        }
        let patience = self.settings.policy.boot_timeout;
        let boot_s = self.machine_types.get(&machine.machine_type)?.boot_s;
        if machine.listed_failed {
            Some(UnusableReason::Failed)
        } else if machine.phase == MachinePhase::Booting
            && now - machine.rented_at > patience * boot_s
        {
            Some(UnusableReason::BootTimeout)
        } else if machine.failures.quarantined && machine.is_empty() {
            Some(UnusableReason::Quarantined)
        } else if machine.draining && machine.is_empty() {
            Some(UnusableReason::Drained)
        } else {
            None
        }
    }

    /// Probes machines that have sent no heartbeat yet, whose heartbeat is overdue, or that acknowledge
    /// no response. An answer shows that the worker is reachable and that no older command can reach it
    /// any more.
    fn probe_machines(&mut self, now: Time) {
        let overdue_s = self.settings.cluster.workers.report_s * PROBE_INTERVALS;
        let needs_probe = |machine: &&Machine| {
            let worker = &machine.worker;
            let last = worker.last_heartbeat_at();
            let is_overdue = last.is_none_or(|at| now - at > overdue_s);
            machine.phase == MachinePhase::Up
                && (is_overdue || worker.unresponsive_since().is_some())
        };
        let is_ready = |machine: &&Machine| {
            let worker = &machine.worker;
            let is_idle = !worker.commands_in_flight() && worker.accepts_commands(now);
            is_idle && machine.endpoint.is_some()
        };
        let machines = || self.machines.values();
        // No more probes than there are connections for; others would only wait for a connection.
        let in_flight = machines().filter(|machine| machine.worker.commands_in_flight());
        let connections = self.settings.command_connections();
        let max_probes = connections.saturating_sub(in_flight.count());
        let to_probe = machines().filter(needs_probe).filter(is_ready);
        let names = to_probe.map(|machine| machine.name.clone());
        for name in names.take(max_probes).collect::<Vec<MachineName>>() {
            self.dispatch(&name, Vec::new());
        }
    }

    /// Marks a machine for return. It still counts until the cloud has confirmed the return.
    pub(crate) fn begin_return(&mut self, name: &MachineName) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.phase = MachinePhase::Returning;
        }
    }

    /// Stops the replicas on a machine, which start elsewhere, so that the machine can be returned once
    /// it is empty.
    pub(crate) fn drain_replicas(
        &mut self,
        name: &MachineName,
        replicas: &[AllocationId],
        now: Time,
    ) {
        for id in replicas {
            self.stop(name, id, 0.0, now);
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.draining = true;
        }
    }

    fn send_returns(&mut self) {
        let mut names = Vec::new();
        for machine in self.machines.values_mut() {
            let is_due = machine.phase == MachinePhase::Returning && !machine.return_in_flight;
            if is_due && names.len() < MAX_RETURNED {
                machine.return_in_flight = true;
                names.push(machine.name.to_string());
            }
        }
        if !names.is_empty() {
            self.effects.push(Effect::ReturnMachines(names));
        }
    }

    /// Applies the cloud's answer to a return: status 200 proves that the machines are gone.
    pub(crate) fn machines_returned(&mut self, names: &[String], confirmed: bool, now: Time) {
        for name in names {
            let name: MachineName = name.as_str().into();
            if confirmed {
                info!(machine = %name, "machine returned");
                self.remove_machine(&name, now);
            } else if let Some(machine) = self.machines.get_mut(&name) {
                machine.return_in_flight = false;
            }
        }
    }
}

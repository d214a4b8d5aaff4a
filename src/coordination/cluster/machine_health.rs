//! Machines that are silent, faulty or about to be reclaimed; jobs that fail wherever they run.

use super::heartbeat_monitor::MachineSurvey;
use super::{ClusterState, Effect, CLOCK_DRIFT};
use crate::coordination::state::{
    AllocationId, JobId, Machine, MachineName, MachinePhase, MAX_WAIT_WITH_CAPACITY_S,
};
use crate::coordination::Time;
use crate::protocol::cloud::MAX_RETURNED;
use tracing::{info, warn};

/// Distinct jobs that must fail on a machine, and then complete a task elsewhere, before it is held to
/// be faulty.
const FAULTY_MACHINE_JOBS: usize = 2;
/// Distinct machines that a job must fail on before it is held to be faulty.
const FAULTY_JOB_MACHINES: usize = 3;
/// Each further failure of a job doubles its pause, so many times at the most.
const MAX_DOUBLINGS: u32 = 6;
/// The longest pause, as a share of the time for which no job waits while there is room.
const LONGEST_PAUSE_SHARE: f64 = 0.5;

/// Heartbeat intervals without a heartbeat after which a machine is probed. An interval may be a
/// quarter longer by itself: few are, and probing those costs less than hearing of the others later.
const PROBE_INTERVALS: f64 = 1.15;
/// Heartbeat intervals after which a machine that left a command unanswered is held to hang.
const SUSPECT_INTERVALS: f64 = 1.3;

/// A machine that counts as silent.
struct SilentMachine {
    name: MachineName,
    /// For how long it has been, in seconds.
    silence_s: f64,
}

/// Why a machine is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnusableReason {
    Failed,
    BootTimeout,
    Quarantined,
    Drained,
}

impl ClusterState {
    /// A task has completed on a machine.
    pub(super) fn task_succeeded_on(&mut self, name: &MachineName, image: &str) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.failures.failed_jobs.clear();
            machine.failures.completed_elsewhere.clear();
            machine.images.insert(image.to_string());
        }
    }

    /// A task failed that had been placed at `placed_at`. The job pauses when it fails on several
    /// machines, or again where it failed before. Tasks that fail together count once. The machine
    /// comes last from now on; whether it is at fault shows once the job runs elsewhere.
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
        let again = job.failed_on.get(name).is_some_and(|at| placed_at > *at);
        job.failed_on.insert(name.clone(), now);
        let machines = job.failed_on.len();
        if (machines >= FAULTY_JOB_MACHINES || again) && now >= job.retry_at {
            job.consecutive_failures += 1;
            let doublings = job.consecutive_failures.min(MAX_DOUBLINGS);
            let pause_s = report_s * f64::from(1 << doublings);
            let pause_s = pause_s.min(LONGEST_PAUSE_SHARE * MAX_WAIT_WITH_CAPACITY_S);
            job.retry_at = now + pause_s;
            // A pause and a reservation behind it must not add up: it counts as waiting with room.
            self.starvation.start(id, now);
            warn!(
                job = %id,
                machines,
                pause_s = format_args!("{pause_s:.0}"),
                "job failed on several machines, pausing"
            );
        }
    }

    /// A task of a job has completed, so the job is sound: machines on which it failed before are
    /// faulty, if others prove the same. A job that never completes anything proves nothing.
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
                warn!(machine = %name, jobs, "machine quarantined, tasks of several jobs failed");
                failures.quarantined = true;
            }
        }
    }

    /// A launch was refused: the next try waits for a newer heartbeat of the machine.
    pub(super) fn launch_refused(&mut self, id: &JobId, now: Time) {
        let pause_s = self.settings.cluster.workers.report_s / 2.0;
        if let Some(job) = self.jobs.get_mut(id) {
            job.retry_at = job.retry_at.max(now + pause_s);
        }
    }

    /// The cloud reclaims a machine soon: what can write a checkpoint does, the rest moves.
    pub(super) fn drain(&mut self, name: &MachineName, now: Time) {
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        let left_s = machine.reclaim_at.map_or(0.0, |at| at - now);
        let mut stops = Vec::new();
        for (id, allocation) in machine.live_allocations() {
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            // Work that ends in time, by its prediction, is left to end.
            if allocation.predicted_end(now) < now + left_s {
                continue;
            }
            let may_save = job.spec.checkpoint_s > 0.0 && job.spec.save_s < left_s;
            let grace_s = if may_save { job.spec.save_s } else { 0.0 };
            stops.push((id.clone(), grace_s));
        }
        for (id, grace_s) in stops {
            self.stop_gracefully(name, &id, grace_s, now);
        }
    }

    /// Stops a task so that it can write a checkpoint. The tasks of a gang do that together or not at
    /// all: those that are not told within `gang_peer_s` of the first fail, and the checkpoint with
    /// them.
    fn stop_gracefully(&mut self, name: &MachineName, id: &AllocationId, grace_s: f64, now: Time) {
        let job = self.jobs.get(&id.job);
        if job.is_some_and(|job| job.is_gang()) {
            self.stop_job(&id.job, grace_s, now);
        } else {
            self.stop(name, id, grace_s, now);
        }
    }

    /// Looks after machines that are silent, failed or never came up.
    pub(super) fn check_machine_health(&mut self, now: Time) {
        let is_cut_off = self.heartbeats.is_cut_off(now);
        self.survey_machines(now);
        self.return_silent(is_cut_off, now);
        self.return_unusable(now);
        self.send_returns();
        self.probe_machines(now);
    }

    /// For how long a machine has been silent, in seconds. While nobody is heard, the silence of one
    /// says nothing about it.
    fn silence_s(&self, machine: &Machine, now: Time) -> f64 {
        let worker = &machine.worker;
        let lease_s = self.settings.cluster.workers.lease_s * CLOCK_DRIFT;
        let elected_at = self.leadership.elected_at();
        let counts_from = elected_at.max(self.heartbeats.silence_counts_from());
        let mut last = worker.last_heartbeat_at().unwrap_or(machine.rented_at);
        // One that answers commands but sends no heartbeats is as good as silent, once that has cost it
        // its lease. So is one on which responses have no effect, though its heartbeats arrive.
        let last_response_at = worker.last_response_at();
        if now - last_response_at > lease_s {
            last = last.min(last_response_at);
        }
        if let Some(since) = worker.unresponsive_since() {
            last = since.min(last);
        }
        now - last.max(counts_from)
    }

    /// Whether no worker sends heartbeats to this node itself, though there are machines.
    pub(crate) fn receives_no_heartbeats(&self, now: Time) -> bool {
        let elected_at = self.leadership.elected_at();
        !self.machines.is_empty() && self.heartbeats.receives_no_heartbeats(elected_at, now)
    }

    /// Since when a machine has left a command unanswered, if not for a fault of this node's network.
    fn unanswered_since(&self, machine: &Machine) -> Option<Time> {
        let gap_ended_at = self.heartbeats.last_gap_ended_at();
        let since = machine.worker.command_unanswered_since();
        since.filter(|since| *since > gap_ended_at)
    }

    /// Counts machines that are up, that know this leader's token, and that left commands unanswered.
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
            // A heartbeat is missing, and a command got no answer: it hangs, or is cut off.
            let is_suspect = self.unanswered_since(machine).is_some() && silence_s > suspect_s;
            (silence_s > timeout_s || is_suspect).then(|| SilentMachine {
                name: machine.name.clone(),
                silence_s,
            })
        });
        silent.collect()
    }

    /// Returns machines that are silent. Many at once: it is rather this node's own network that is
    /// cut. But not for ever: what has not been responded to for a lease has lost its tasks anyway, and
    /// a leader that knows nothing but machines that are gone must come to an end.
    fn return_silent(&mut self, is_cut_off: bool, now: Time) {
        let silent = self.silent_machines(now);
        let up = self.heartbeats.machines_up();
        let are_many = is_cut_off || silent.len() * 2 > up.max(2);
        let lease_s = self.settings.cluster.workers.lease_s * CLOCK_DRIFT;
        let lost_s = lease_s + self.heartbeat_timeout_s();
        if are_many && !silent.is_empty() {
            warn!(silent = silent.len(), up, "many machines are silent");
        }
        for SilentMachine { name, silence_s } in silent {
            if !are_many || silence_s > lost_s {
                warn!(
                    machine = %name,
                    silence_s = format_args!("{silence_s:.0}"),
                    "returning a silent machine"
                );
                self.begin_return(&name);
            }
        }
    }

    /// Returns machines that failed, never came up, are faulty or were to be emptied.
    fn return_unusable(&mut self, now: Time) {
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
        let patience = self.settings.policy.boot_patience;
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

    /// Probes machines that have not been heard, whose heartbeat is missing, or that acknowledge no
    /// response: an answer shows that the way there is open, and that no older command reaches them
    /// any more.
    fn probe_machines(&mut self, now: Time) {
        let late_s = self.settings.cluster.workers.report_s * PROBE_INTERVALS;
        let is_unheard = |machine: &&Machine| {
            let worker = &machine.worker;
            let last = worker.last_heartbeat_at();
            let is_late = last.is_none_or(|at| now - at > late_s);
            machine.phase == MachinePhase::Up && (is_late || worker.unresponsive_since().is_some())
        };
        let is_ready = |machine: &&Machine| {
            let worker = &machine.worker;
            let is_idle = !worker.commands_in_flight() && worker.accepts_commands(now);
            is_idle && machine.endpoint.is_some()
        };
        let machines = || self.machines.values();
        // As many at a time as there are connections for: more would only wait for those.
        let in_flight = machines().filter(|machine| machine.worker.commands_in_flight());
        let connections = self.settings.command_connections();
        let max_probes = connections.saturating_sub(in_flight.count());
        let to_probe = machines().filter(is_unheard).filter(is_ready);
        let names = to_probe.map(|machine| machine.name.clone());
        for name in names.take(max_probes).collect::<Vec<MachineName>>() {
            self.dispatch(&name, Vec::new());
        }
    }

    /// Decides that a machine is to be returned; it counts until the cloud has confirmed it.
    pub(crate) fn begin_return(&mut self, name: &MachineName) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.phase = MachinePhase::Returning;
        }
    }

    /// Stops replicas on a machine, which start elsewhere, so that it can be returned once it is empty.
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

    /// What the cloud answered to a return: a 200 proves that the machines are gone.
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

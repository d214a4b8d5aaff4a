//! Log summaries of what the machines are used for and why jobs wait.

use super::ClusterState;
use crate::coordination::state::{AllocationState, Job, MachinePhase};
use crate::coordination::Time;
use crate::protocol::worker::TaskState;
use tracing::info;

/// Numbers of machines and tasks by state.
#[derive(Default)]
struct UsageCounts {
    accepting: usize,
    booting: usize,
    cpus: f64,
    free_cpus: f64,
    pending: usize,
    launching: usize,
    running: usize,
    /// Tasks that fetch their image, wait for their gang or are exiting.
    other: usize,
}

impl UsageCounts {
    fn count_task(&mut self, state: AllocationState) {
        match state {
            AllocationState::Pending => self.pending += 1,
            AllocationState::Launching => self.launching += 1,
            AllocationState::Observed(TaskState::Running) => self.running += 1,
            AllocationState::Observed(_) | AllocationState::Exited(_) => self.other += 1,
        }
    }
}

impl ClusterState {
    /// Writes a summary to the log.
    pub(crate) fn log_summary(&mut self, now: Time) {
        let usage = self.usage_counts(now);
        info!(
            machines = usage.accepting,
            booting = usage.booting,
            cpus = format_args!("{:.0}", usage.cpus),
            free_cpus = format_args!("{:.0}", usage.free_cpus),
            pending = usage.pending,
            launching = usage.launching,
            running = usage.running,
            other = usage.other,
            "machine usage and tasks by state"
        );
        let stats = self.writes.take_stats();
        info!(
            available = format_args!("{:.0}", self.writes.available(now)),
            burst = format_args!("{:.0}", self.writes.burst()),
            in_flight = self.writes.in_flight_count(),
            final_states = self.finished_jobs.len(),
            placements = self.placement_records.awaiting_write_count(),
            removals = self.writes.stale_key_count(),
            machines_to_notify = self.machines_to_notify.len(),
            "waiting writes"
        );
        info!(
            final_states = stats.final_states,
            placements = stats.placements,
            launches = stats.launches,
            completions = stats.completions,
            removals = stats.removals,
            "write operations since the last summary"
        );
        self.log_waiting(usage.accepting, now);
    }

    fn usage_counts(&self, now: Time) -> UsageCounts {
        let mut usage = UsageCounts::default();
        for machine in self.machines.values() {
            usage.booting += usize::from(machine.phase == MachinePhase::Booting);
            if self.accepts_tasks(machine, now) {
                let machine_type = self.machine_types.get(&machine.machine_type);
                usage.accepting += 1;
                usage.cpus += machine_type.map_or(0.0, |t| t.cpus);
                usage.free_cpus += self.free_resources(machine).cpus;
            }
            for (_, allocation) in machine.live_allocations() {
                usage.count_task(allocation.state);
            }
        }
        usage
    }

    fn log_waiting(&self, accepting: usize, now: Time) {
        let waiting = || self.jobs.values().filter(|job| job.is_waiting(now));
        let tasks: u32 = waiting().map(Job::unplaced_count).sum();
        let Some(oldest) = waiting().min_by_key(|job| job.arrival_order) else {
            return;
        };
        let team = &oldest.spec.team;
        info!(
            tasks,
            machines_accepting = accepting,
            machines = self.machines.len(),
            oldest = %oldest.id,
            waited_s = format_args!("{:.0}", now - oldest.ready_at),
            team,
            team_cpus = self.quota.of(team).cpus,
            team_cpus_max = self.team(team).map_or(0.0, |team| team.cpus_max),
            "tasks waiting to be placed"
        );
    }
}

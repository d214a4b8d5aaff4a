//! The resources that each team uses, and checks against the team's quota.

use super::resources::ROUNDING_TOLERANCE;
use super::Resources;
use crate::settings::Team;
use std::collections::HashMap;

/// Tolerance for rounding errors when usage is compared with a quota.
const QUOTA_TOLERANCE: f64 = 1e-9;

/// Resources that a team's tasks use, or would use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaUsage {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

impl QuotaUsage {
    /// Adds the requests of `tasks` tasks.
    pub fn add(&mut self, request: &Resources, tasks: f64) {
        self.cpus += tasks * request.cpus;
        self.gpus += tasks * request.gpus;
    }
}

/// The usage of all teams. Every task that is or may be on a machine counts.
#[derive(Clone, Debug, Default)]
pub struct QuotaUsageByTeam {
    usage: HashMap<String, QuotaUsage>,
}

impl QuotaUsageByTeam {
    /// The usage of a team.
    pub fn of(&self, team: &str) -> QuotaUsage {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Adds the request of an allocated task.
    pub fn allocate(&mut self, team: &str, request: &Resources) {
        let usage = self.usage.entry(team.to_string()).or_default();
        usage.cpus += request.cpus;
        usage.gpus += request.gpus;
    }

    /// Subtracts the request of a released task.
    pub fn release(&mut self, team: &str, request: &Resources) {
        if let Some(usage) = self.usage.get_mut(team) {
            usage.cpus -= request.cpus;
            usage.gpus -= request.gpus;
        }
    }

    /// Whether `tasks` more tasks stay within a team's limits; a limit of 0 means unlimited.
    pub fn allows(&self, team: &Team, request: &Resources, tasks: u32) -> bool {
        let used = self.of(&team.name);
        let fits = |used: f64, requested: f64, limit: f64| {
            let unlimited = limit <= 0.0 || requested <= 0.0;
            unlimited || used + requested * f64::from(tasks) <= limit + QUOTA_TOLERANCE
        };
        fits(used.cpus, request.cpus, team.cpus_max) && fits(used.gpus, request.gpus, team.gpus_max)
    }

    /// The number of further tasks, at most `tasks`, that the team's CPU limit allows.
    pub fn tasks_within_cpu_limit(&self, team: &Team, request: &Resources, tasks: u32) -> u32 {
        if team.cpus_max <= 0.0 || request.cpus <= 0.0 {
            return tasks;
        }
        let used = self.of(&team.name).cpus;
        let free = ((team.cpus_max - used + ROUNDING_TOLERANCE) / request.cpus).max(0.0);
        tasks.min(free as u32)
    }
}

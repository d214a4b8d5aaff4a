//! How much each team uses, against its quota.

use super::resources::ROUNDING_SLACK;
use super::Resources;
use crate::settings::Team;
use std::collections::HashMap;

/// Amounts that differ by less count as equal where a quota is compared.
const QUOTA_SLACK: f64 = 1e-9;

/// What a team's tasks hold, or would hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaUsage {
    /// Processors.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

impl QuotaUsage {
    /// Adds what so many tasks request.
    pub fn add(&mut self, request: &Resources, tasks: f64) {
        self.cpus += tasks * request.cpus;
        self.gpus += tasks * request.gpus;
    }
}

/// The usage of all teams. What is or may be on a machine counts.
#[derive(Clone, Debug, Default)]
pub struct QuotaUsageByTeam {
    usage: HashMap<String, QuotaUsage>,
}

impl QuotaUsageByTeam {
    /// What a team uses.
    pub fn of(&self, team: &str) -> QuotaUsage {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Counts a task that was allocated.
    pub fn allocate(&mut self, team: &str, request: &Resources) {
        let usage = self.usage.entry(team.to_string()).or_default();
        usage.cpus += request.cpus;
        usage.gpus += request.gpus;
    }

    /// Counts a task no longer that was released.
    pub fn release(&mut self, team: &str, request: &Resources) {
        if let Some(usage) = self.usage.get_mut(team) {
            usage.cpus -= request.cpus;
            usage.gpus -= request.gpus;
        }
    }

    /// Whether so many more tasks stay within a team's limits; a limit of 0 is none.
    pub fn allows(&self, team: &Team, request: &Resources, tasks: u32) -> bool {
        let used = self.of(&team.name);
        let fits = |used: f64, requested: f64, limit: f64| {
            let unlimited = limit <= 0.0 || requested <= 0.0;
            unlimited || used + requested * f64::from(tasks) <= limit + QUOTA_SLACK
        };
        fits(used.cpus, request.cpus, team.cpus_max) && fits(used.gpus, request.gpus, team.gpus_max)
    }

    /// As many of so many tasks as the team's limit of processors lets run.
    pub fn cap(&self, team: &Team, request: &Resources, tasks: u32) -> u32 {
        if team.cpus_max <= 0.0 || request.cpus <= 0.0 {
            return tasks;
        }
        let used = self.of(&team.name).cpus;
        let free = ((team.cpus_max - used + ROUNDING_SLACK) / request.cpus).max(0.0);
        tasks.min(free as u32)
    }
}

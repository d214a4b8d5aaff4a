//! A cache of facts about jobs that never change: acceptance, dependencies and final states.

use crate::protocol::job::JobState;
use crate::storage::recent_jobs::{RecentFinalStates, RecentJobs};

/// A cache of the most recent jobs.
pub(super) struct KnownJobs {
    /// The direct dependencies of accepted jobs.
    dependencies: RecentJobs<Vec<String>>,
    final_states: RecentFinalStates,
}

/// What is known about the direct and transitive dependencies of a job.
#[derive(Debug, PartialEq)]
pub(super) enum KnownDependencies {
    /// None is known to be cancelled. These have no known final state.
    Open(Vec<String>),
    /// A dependency is cancelled, so the job will be cancelled.
    Cancelled,
    /// The open record of this dependency has to be read: its own dependencies are not known.
    Unread(String),
    /// There are more dependencies than fit in one comparison.
    TooMany,
}

impl KnownJobs {
    /// An empty cache of at most `max_jobs` accepted jobs and `max_jobs` final states.
    pub(super) fn new(max_jobs: usize) -> KnownJobs {
        KnownJobs {
            dependencies: RecentJobs::new(max_jobs),
            final_states: RecentJobs::new(max_jobs),
        }
    }

    /// Caches that a job was accepted with these dependencies.
    pub(super) fn insert_accepted(&mut self, job: &str, waits_on: &[String]) {
        self.dependencies.insert(job, waits_on.to_vec());
    }

    /// Caches the final state of a job.
    pub(super) fn insert_final_state(&mut self, job: &str, state: JobState) {
        self.final_states.insert(job, state);
    }

    /// The final state of a job, if it is known.
    pub(super) fn final_state(&self, job: &str) -> Option<JobState> {
        self.final_states.get(job).copied()
    }

    /// Whether a job is known to be accepted and to have no dependencies.
    pub(super) fn has_no_dependencies(&self, job: &str) -> bool {
        self.dependencies.get(job).is_some_and(Vec::is_empty)
    }

    /// The dependencies of a job, or `None` if the job is not known to be accepted. With more than
    /// `max_open` dependencies without a known final state, the result is
    /// [`KnownDependencies::TooMany`].
    pub(super) fn dependencies(&self, job: &str, max_open: usize) -> Option<KnownDependencies> {
        let mut unvisited: Vec<&String> = self.dependencies.get(job)?.iter().collect();
        let mut open: Vec<String> = Vec::new();
        while let Some(dependency) = unvisited.pop() {
            match self.final_states.get(dependency) {
                Some(JobState::Cancelled) => return Some(KnownDependencies::Cancelled),
                Some(_) => continue,
                None if open.contains(dependency) => continue,
                None if open.len() == max_open => return Some(KnownDependencies::TooMany),
                None => {}
            }
            match self.dependencies.get(dependency) {
                Some(transitive) => unvisited.extend(transitive),
                None => return Some(KnownDependencies::Unread(dependency.clone())),
            }
            open.push(dependency.clone());
        }
        Some(KnownDependencies::Open(open))
    }
}

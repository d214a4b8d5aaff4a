//! The cache of immutable facts about jobs: that they were accepted, their dependencies, and how
//! they ended.

use crate::protocol::job::JobState;
use crate::storage::recent_jobs::{RecentFinalStates, RecentJobs};

/// The most recent jobs that the node knows of.
pub(super) struct KnownJobs {
    /// The direct dependencies of each accepted job.
    dependencies: RecentJobs<Vec<String>>,
    ends: RecentFinalStates,
}

/// What is known of the dependencies of a job, direct and transitive.
#[derive(Debug, PartialEq)]
pub(super) enum KnownDependencies {
    /// None is known to be cancelled, and these have no known end.
    Open(Vec<String>),
    /// One of them is cancelled, and so will be the job.
    Cancelled,
    /// The dependencies of this one are not known.
    Unread(String),
    /// There are more than one comparison takes.
    TooMany,
}

impl KnownJobs {
    /// Caches at most `max_jobs` accepted jobs, and as many ends.
    pub(super) fn new(max_jobs: usize) -> KnownJobs {
        KnownJobs {
            dependencies: RecentJobs::new(max_jobs),
            ends: RecentJobs::new(max_jobs),
        }
    }

    /// Caches that a job was accepted.
    pub(super) fn insert_accepted(&mut self, job: &str, waits_on: &[String]) {
        self.dependencies.insert(job, waits_on.to_vec());
    }

    /// Caches how a job ended.
    pub(super) fn insert_end(&mut self, job: &str, state: JobState) {
        self.ends.insert(job, state);
    }

    /// How a job ended, if that is known.
    pub(super) fn end(&self, job: &str) -> Option<JobState> {
        self.ends.get(job).copied()
    }

    /// Whether a job is known to be accepted, and to have no dependencies.
    pub(super) fn is_independent(&self, job: &str) -> bool {
        self.dependencies.get(job).is_some_and(Vec::is_empty)
    }

    /// The dependencies of a job, of which at most `max_open` are followed; `None` for a job that is
    /// not known to be accepted.
    pub(super) fn dependencies(&self, job: &str, max_open: usize) -> Option<KnownDependencies> {
        let mut unvisited: Vec<&String> = self.dependencies.get(job)?.iter().collect();
        let mut open: Vec<String> = Vec::new();
        while let Some(dependency) = unvisited.pop() {
            match self.ends.get(dependency) {
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

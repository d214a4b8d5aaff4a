//! A cache of facts about jobs: acceptance, dependencies and final states, which never change, and when a
//! job was last confirmed as unfinished.

use crate::coordination::Time;
use crate::protocol::job::JobState;
use crate::storage::recent_jobs::{RecentFinalStates, RecentJobs};
use std::collections::{HashMap, HashSet};

/// A cache of the most recent jobs.
pub(super) struct KnownJobs {
    /// The direct dependencies of accepted jobs.
    dependencies: RecentJobs<Vec<String>>,
    final_states: RecentFinalStates,
    unfinished: UnfinishedJobs,
}

/// What is known about the direct and transitive dependencies of a job.
#[derive(Debug, PartialEq)]
pub(super) enum KnownDependencies {
    /// None is known to be cancelled. These have no known final state and were not confirmed as
    /// unfinished recently.
    Open(Vec<String>),
    /// A dependency is cancelled, so the job will be cancelled.
    Cancelled,
    /// The open records of these dependencies have to be read: their own dependencies are not known.
    Unread(Vec<String>),
}

impl KnownJobs {
    /// An empty cache of at most `max_jobs` accepted jobs and `max_jobs` final states. A job that was
    /// confirmed as unfinished counts as such for `confirmation_s` seconds.
    pub(super) fn new(max_jobs: usize, confirmation_s: f64) -> KnownJobs {
        KnownJobs {
            dependencies: RecentJobs::new(max_jobs),
            final_states: RecentJobs::new(max_jobs),
            unfinished: UnfinishedJobs::new(max_jobs, confirmation_s),
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

    /// Whether another accepted job and another final state can be cached without evicting any.
    pub(super) fn has_room(&self) -> bool {
        self.dependencies.has_room() && self.final_states.has_room()
    }

    /// Caches that a job had no final state at a time.
    pub(super) fn confirm_unfinished(&mut self, job: &str, at: Time) {
        self.unfinished.confirm(job, at);
    }

    /// The final state of a job, if it is known.
    pub(super) fn final_state(&self, job: &str) -> Option<JobState> {
        self.final_states.get(job).copied()
    }

    /// Whether a job is known to be accepted.
    pub(super) fn is_accepted(&self, job: &str) -> bool {
        self.dependencies.get(job).is_some()
    }

    /// Whether a job is known to be accepted and to have no dependencies.
    pub(super) fn has_no_dependencies(&self, job: &str) -> bool {
        self.dependencies.get(job).is_some_and(Vec::is_empty)
    }

    /// The direct dependencies of a job of which neither the dependencies nor the final state are known.
    pub(super) fn unread_dependencies(&self, job: &str) -> Vec<String> {
        let dependencies = self.dependencies.get(job).into_iter().flatten();
        let is_unread = |job: &&String| {
            self.final_states.get(job).is_none() && self.dependencies.get(job).is_none()
        };
        dependencies.filter(is_unread).cloned().collect()
    }

    /// The dependencies of a job, or `None` if the job is not known to be accepted.
    pub(super) fn dependencies(&self, job: &str, now: Time) -> Option<KnownDependencies> {
        let mut unvisited: Vec<&String> = self.dependencies.get(job)?.iter().collect();
        let mut visited: HashSet<&str> = HashSet::new();
        let (mut unread, mut unconfirmed) = (Vec::new(), Vec::new());
        while let Some(dependency) = unvisited.pop() {
            if !visited.insert(dependency) {
                continue;
            }
            match self.final_states.get(dependency) {
                Some(JobState::Cancelled) => return Some(KnownDependencies::Cancelled),
                Some(_) => continue,
                None => {}
            }
            match self.dependencies.get(dependency) {
                Some(transitive) => unvisited.extend(transitive),
                None => unread.push(dependency.clone()),
            }
            if !self.unfinished.is_confirmed(dependency, now) {
                unconfirmed.push(dependency.clone());
            }
        }
        Some(if unread.is_empty() {
            KnownDependencies::Open(unconfirmed)
        } else {
            KnownDependencies::Unread(unread)
        })
    }
}

/// When jobs were last confirmed as unfinished.
struct UnfinishedJobs {
    max_jobs: usize,
    confirmation_s: f64,
    confirmed_at: HashMap<String, Time>,
}

impl UnfinishedJobs {
    fn new(max_jobs: usize, confirmation_s: f64) -> UnfinishedJobs {
        UnfinishedJobs {
            max_jobs: max_jobs.max(1),
            confirmation_s,
            confirmed_at: HashMap::new(),
        }
    }

    fn confirm(&mut self, job: &str, at: Time) {
        if self.confirmed_at.len() >= self.max_jobs {
            let oldest = at - self.confirmation_s;
            self.confirmed_at
                .retain(|_, confirmed_at| *confirmed_at > oldest);
        }
        if self.confirmed_at.len() < self.max_jobs {
            self.confirmed_at.insert(job.to_string(), at);
        }
    }

    fn is_confirmed(&self, job: &str, now: Time) -> bool {
        let confirmed_at = self.confirmed_at.get(job);
        confirmed_at.is_some_and(|at| now < at + self.confirmation_s)
    }
}

//! What a node remembers of jobs, none of which ever changes: that they were accepted, what they
//! wait for, and how they ended.

use crate::protocol::job::JobState;
use crate::storage::recent_jobs::{EndIndex, RecentJobs};

/// The most recent jobs.
pub(super) struct KnownJobs {
    /// For each accepted job, those that it waits for.
    accepted: RecentJobs<Vec<String>>,
    ends: EndIndex,
}

/// What is known of the jobs that a job waits for, directly or through others.
#[derive(Debug, PartialEq)]
pub(super) enum Prerequisites {
    /// None is known to be cancelled, and these have no known end.
    Open(Vec<String>),
    /// One of them is cancelled, and so will the job be.
    Cancelled,
    /// What this one waits for is not known.
    Unread(String),
    /// More than are followed.
    TooMany,
}

impl KnownJobs {
    /// Remembers as many accepted jobs as ends.
    pub(super) fn new(most: usize) -> KnownJobs {
        KnownJobs {
            accepted: RecentJobs::new(most),
            ends: RecentJobs::new(most),
        }
    }

    pub(super) fn accepted(&mut self, job: &str, waits_on: &[String]) {
        self.accepted.insert(job, waits_on.to_vec());
    }

    pub(super) fn ended(&mut self, job: &str, state: JobState) {
        self.ends.insert(job, state);
    }

    pub(super) fn end(&self, job: &str) -> Option<JobState> {
        self.ends.get(job).copied()
    }

    pub(super) fn waits_for_nothing(&self, job: &str) -> bool {
        self.accepted.get(job).is_some_and(Vec::is_empty)
    }

    /// `None` for a job that is not known to be accepted.
    pub(super) fn prerequisites(&self, job: &str, most: usize) -> Option<Prerequisites> {
        let mut left: Vec<&String> = self.accepted.get(job)?.iter().collect();
        let mut open: Vec<String> = Vec::new();
        while let Some(needed) = left.pop() {
            match self.ends.get(needed) {
                Some(JobState::Cancelled) => return Some(Prerequisites::Cancelled),
                Some(_) => continue,
                None if open.contains(needed) => continue,
                None if open.len() == most => return Some(Prerequisites::TooMany),
                None => {}
            }
            match self.accepted.get(needed) {
                Some(further) => left.extend(further),
                None => return Some(Prerequisites::Unread(needed.clone())),
            }
            open.push(needed.clone());
        }
        Some(Prerequisites::Open(open))
    }
}

//! What a node remembers of jobs, none of which ever changes: that they were accepted, what they
//! wait for, and how they ended.

use crate::bookkeeping::index::EndIndex;
use crate::protocol::job::JobState;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

type Name = Arc<str>;

/// The most recent jobs, bounded in number: the records have them all.
pub(super) struct KnownJobs {
    most: usize,
    /// For each accepted job, those that it waits for.
    accepted: HashMap<Name, Vec<Name>>,
    order: VecDeque<Name>,
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
    pub(super) fn new(most: usize) -> KnownJobs {
        KnownJobs {
            most: most.max(1),
            accepted: HashMap::new(),
            order: VecDeque::new(),
            ends: EndIndex::new(most),
        }
    }

    pub(super) fn accepted(&mut self, job: &str, waits_on: &[String]) {
        if self.accepted.contains_key(job) {
            return;
        }
        let name: Name = job.into();
        let waits_on = waits_on.iter().map(|needed| needed.as_str().into());
        self.accepted.insert(name.clone(), waits_on.collect());
        self.order.push_back(name);
        if self.order.len() > self.most {
            if let Some(oldest) = self.order.pop_front() {
                self.accepted.remove(&oldest);
            }
        }
    }

    pub(super) fn ended(&mut self, job: &str, state: JobState) {
        self.ends.insert(job, state);
    }

    pub(super) fn end(&self, job: &str) -> Option<JobState> {
        self.ends.get(job)
    }

    pub(super) fn waits_for_nothing(&self, job: &str) -> bool {
        self.accepted.get(job).is_some_and(Vec::is_empty)
    }

    /// `None` for a job that is not known to be accepted.
    pub(super) fn prerequisites(&self, job: &str, most: usize) -> Option<Prerequisites> {
        let mut left: Vec<&Name> = self.accepted.get(job)?.iter().collect();
        let mut open: Vec<String> = Vec::new();
        while let Some(needed) = left.pop() {
            match self.ends.get(needed) {
                Some(JobState::Cancelled) => return Some(Prerequisites::Cancelled),
                Some(_) => continue,
                None if open.iter().any(|known| **known == **needed) => continue,
                None if open.len() == most => return Some(Prerequisites::TooMany),
                None => {}
            }
            match self.accepted.get(needed) {
                Some(further) => left.extend(further),
                None => return Some(Prerequisites::Unread(needed.to_string())),
            }
            open.push(needed.to_string());
        }
        Some(Prerequisites::Open(open))
    }
}

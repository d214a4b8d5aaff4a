//! What a node remembers of jobs, bounded in number: the state service has it all.

use crate::protocol::job::JobState;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Remembers something of the most recent jobs that never changes, so that any node may answer from
/// here: what is noted first stays.
pub struct RecentJobs<T> {
    most: usize,
    known: HashMap<Arc<str>, T>,
    order: VecDeque<Arc<str>>,
}

/// The most recent ends.
pub type EndIndex = RecentJobs<JobState>;

impl<T> RecentJobs<T> {
    pub fn new(most: usize) -> RecentJobs<T> {
        RecentJobs {
            most: most.max(1),
            known: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    pub fn get(&self, id: &str) -> Option<&T> {
        self.known.get(id)
    }

    pub fn insert(&mut self, id: &str, value: T) {
        if self.known.contains_key(id) {
            return;
        }
        let id: Arc<str> = id.into();
        self.known.insert(id.clone(), value);
        self.order.push_back(id);
        if self.order.len() > self.most {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }
}

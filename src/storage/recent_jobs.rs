//! A bounded memory of the most recent jobs: older ones are read from the state service.

use crate::protocol::job::JobState;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Remembers an immutable fact about each of the most recent jobs, so that any controller can answer
/// from memory. The first value of a job stays; beyond the capacity, the job that was entered first is
/// evicted.
pub struct RecentJobs<T> {
    capacity: usize,
    values: HashMap<Arc<str>, T>,
    /// The jobs in the order of their insertion.
    insertion_order: VecDeque<Arc<str>>,
}

/// The final states of the jobs that ended most recently.
pub type RecentFinalStates = RecentJobs<JobState>;

impl<T> RecentJobs<T> {
    /// An empty memory of up to `capacity` jobs, at least one.
    pub fn new(capacity: usize) -> RecentJobs<T> {
        RecentJobs {
            capacity: capacity.max(1),
            values: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// The value of a job, if it is remembered.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.values.get(id)
    }

    /// Enters a job, unless it is remembered already.
    pub fn insert(&mut self, id: &str, value: T) {
        if self.values.contains_key(id) {
            return;
        }
        let id: Arc<str> = id.into();
        self.values.insert(id.clone(), value);
        self.insertion_order.push_back(id);
        if self.insertion_order.len() > self.capacity {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.values.remove(&oldest);
            }
        }
    }
}

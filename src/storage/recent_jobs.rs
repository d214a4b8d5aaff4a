//! A bounded in-memory index of recent jobs. Older jobs must be read from the state service.

use crate::protocol::job::JobState;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Maps the most recently inserted jobs to an immutable value, so that a controller can answer requests
/// about them from memory. The first value inserted for a job is never replaced; beyond the capacity,
/// the oldest insertion is evicted.
pub struct RecentJobs<T> {
    capacity: usize,
    values: HashMap<Arc<str>, T>,
    /// The jobs in the order of their insertion.
    insertion_order: VecDeque<Arc<str>>,
}

/// The final states of the most recently finished jobs.
pub type RecentFinalStates = RecentJobs<JobState>;

impl<T> RecentJobs<T> {
    /// An empty index of up to `capacity` jobs; a capacity of 0 is raised to 1.
    pub fn new(capacity: usize) -> RecentJobs<T> {
        RecentJobs {
            capacity: capacity.max(1),
            values: HashMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// The value of a job, if the index contains it.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.values.get(id)
    }

    /// Whether a job can be inserted without evicting another one.
    pub fn has_room(&self) -> bool {
        self.insertion_order.len() < self.capacity
    }

    /// Inserts a job, unless the index already contains it.
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

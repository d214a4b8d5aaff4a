//! The ends of jobs that this node knows, bounded in number: the state service has them all.

use crate::protocol::job::JobState;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Remembers the most recent ends. An end never changes, so any node may answer from here.
pub struct EndIndex {
    most: usize,
    states: HashMap<Arc<str>, JobState>,
    order: VecDeque<Arc<str>>,
}

impl EndIndex {
    pub fn new(most: usize) -> EndIndex {
        EndIndex {
            most: most.max(1),
            states: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    pub fn get(&self, id: &str) -> Option<JobState> {
        self.states.get(id).copied()
    }

    pub fn insert(&mut self, id: &str, state: JobState) {
        if self.states.contains_key(id) {
            return;
        }
        let id: Arc<str> = id.into();
        self.states.insert(id.clone(), state);
        self.order.push_back(id);
        if self.order.len() > self.most {
            if let Some(oldest) = self.order.pop_front() {
                self.states.remove(&oldest);
            }
        }
    }
}

//! Records of completed tasks, and how the tasks of a job are split into several such records.

use super::{decimal_digits, EMPTY_RECORD_BYTES};
use crate::protocol::job::MAX_TASKS;
use serde::{Deserialize, Serialize};

/// The completed tasks of one shard of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredCompletions {
    /// The completed tasks as ranges (first, last), both included, in rising order.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
}

impl StoredCompletions {
    /// Adds a completed task; tasks must come in rising order.
    pub fn push_done(&mut self, task: u32) {
        match self.done.last_mut() {
            Some((_, last)) if *last + 1 == task => *last = task,
            _ => self.done.push((task, task)),
        }
    }

    /// An upper bound of the size of the record's JSON text.
    pub fn bytes(&self) -> usize {
        let last = self.done.last().map_or(0, |(_, last)| *last);
        EMPTY_RECORD_BYTES + self.done.len() * 2 * (decimal_digits(last.into()) + 2)
    }
}

/// How the tasks of a job are sharded: the record `run/ID/N` holds one shard, and its number N encodes
/// the shard size as well as the shard's index.
///
/// A record therefore never holds less than an earlier one of the same number: controllers with other
/// limits, and so another shard size, use other numbers. Records name tasks by their number in the
/// job, so any controller understands any sharding. Earlier versions counted the records from 0
/// whatever the shard size was; what they have written is read, and never written anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletionShards {
    /// The number of tasks in one shard.
    pub tasks_per_shard: usize,
}

/// The longest text that a completed task can take in a record, when only every other one is.
const BYTES_PER_TASK: usize = 8;
/// The record numbers that are set aside for each shard size. No job has more shards, as none has more
/// tasks, so that the numbers of different shard sizes never collide.
const NUMBERS_PER_SIZE: usize = MAX_TASKS as usize;

impl CompletionShards {
    /// The largest shards whose records stay within `max_bytes`.
    pub fn within(max_bytes: usize) -> CompletionShards {
        CompletionShards {
            tasks_per_shard: (max_bytes / BYTES_PER_TASK).max(1),
        }
    }

    /// The number of the record that holds the shard with that index.
    pub fn record_number(self, shard: usize) -> usize {
        self.tasks_per_shard * NUMBERS_PER_SIZE + shard
    }

    /// The index of the shard that the record with that number holds, if the record has this sharding.
    pub fn shard_index(self, record_number: usize) -> Option<usize> {
        (record_number / NUMBERS_PER_SIZE == self.tasks_per_shard)
            .then_some(record_number % NUMBERS_PER_SIZE)
    }
}

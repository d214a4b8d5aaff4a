//! Records of completed tasks, and the sharding of a job's tasks over several such records.

use super::{decimal_digits, EMPTY_RECORD_BYTES};
use crate::protocol::job::MAX_TASKS;
use serde::{Deserialize, Serialize};

/// The completed tasks of one shard of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredCompletions {
    /// The completed tasks as inclusive ranges (first, last), in ascending order.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
}

impl StoredCompletions {
    /// Adds a completed task. Tasks must be added in ascending order.
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
/// both the shard size and the shard's index.
///
/// Controllers with different limits have different shard sizes and so write different record numbers;
/// no rewrite of a record can therefore drop tasks that it held before. Records identify tasks by their
/// number in the job, so every controller can read every sharding. Earlier versions numbered the records
/// from 0 for every shard size; their records are read but never rewritten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletionShards {
    /// The number of tasks in one shard.
    pub tasks_per_shard: usize,
}

/// The maximum number of bytes that a completed task takes in a record. It is reached when only every
/// other task is completed, so that each needs a range.
const BYTES_PER_TASK: usize = 8;
/// The record numbers reserved for each shard size. A job has at most [`MAX_TASKS`] shards, so the
/// numbers of different shard sizes never collide.
const NUMBERS_PER_SHARD_SIZE: usize = MAX_TASKS as usize;

impl CompletionShards {
    /// The sharding with the largest shards whose records fit in `max_bytes`.
    pub fn within(max_bytes: usize) -> CompletionShards {
        CompletionShards {
            tasks_per_shard: (max_bytes / BYTES_PER_TASK).max(1),
        }
    }

    /// The number of the record for the shard with this index.
    pub fn record_number(self, shard: usize) -> usize {
        self.tasks_per_shard * NUMBERS_PER_SHARD_SIZE + shard
    }

    /// The index of the shard in the record with this number; `None` for a record of another sharding.
    pub fn shard_index(self, record_number: usize) -> Option<usize> {
        (record_number / NUMBERS_PER_SHARD_SIZE == self.tasks_per_shard)
            .then_some(record_number % NUMBERS_PER_SHARD_SIZE)
    }
}

//! The keys in the state service and what is stored under them.
//!
//! - `leader`: who leads, on a lease; its version is the leader's token
//! - `open/ID`: the job was accepted, and its description; until its end
//! - `end/ID`: how the job ended; write-once, kept for ever
//! - `place/N`: places and attempts of tasks, of many jobs together
//! - `run/ID/CHUNK`: which of a range of tasks have completed
//! - `types`: the machine types that the cloud last told
//!
//! A job is accepted by writing `open/ID` while neither that nor `end/ID` is there: one change, and
//! a copy of it that comes late finds one of the two. Machines have no records: a place names its
//! machine, whose own report or the cloud's list tells the rest.

use crate::protocol::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const LEADER: &str = "leader";
pub const OPEN: &str = "open/";
pub const PLACE: &str = "place/";
pub const RUN: &str = "run/";
pub const TYPES: &str = "types";

pub fn open_key(id: &str) -> String {
    format!("{OPEN}{id}")
}

pub fn end_key(id: &str) -> String {
    format!("end/{id}")
}

pub fn run_key(id: &str, chunk: usize) -> String {
    format!("{RUN}{id}/{chunk}")
}

pub fn place_key(slab: usize) -> String {
    format!("{PLACE}{slab}")
}

/// The number in `place/N`.
pub fn parse_place_key(key: &str) -> Option<usize> {
    key.strip_prefix(PLACE)?.parse().ok()
}

/// Splits `run/ID/CHUNK` into its parts.
pub fn parse_run_key(key: &str) -> Option<(&str, usize)> {
    let (id, chunk) = key.strip_prefix(RUN)?.rsplit_once('/')?;
    Some((id, chunk.parse().ok()?))
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
}

/// An accepted job that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenRecord {
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds of the time of day.
    pub at_ms: u64,
    /// Its user has taken it back, and its places are being cleared.
    #[serde(default)]
    pub cancelled: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    pub state: JobState,
}

/// Completed tasks as ranges (first, last).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
}

/// Where tasks are or may be: for each job, for each machine, tasks with their attempts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlaceRecord {
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub places: BTreeMap<String, BTreeMap<String, Vec<(u32, u64)>>>,
}

impl RunRecord {
    /// Adds a completed task; tasks must come in rising order.
    pub fn push_done(&mut self, task: u32) {
        match self.done.last_mut() {
            Some((_, last)) if *last + 1 == task => *last = task,
            _ => self.done.push((task, task)),
        }
    }
}

/// The longest text that a place can take in a record: its job, its machine, its task's number and
/// its attempt.
const BYTES_A_PLACE: f64 = 64.0;
/// The same for a completed task, when only every other one is.
const BYTES_A_TASK: f64 = 8.0;

/// How many places go into one record, so that it stays within the largest value.
pub fn places_a_slab(value_kb: f64) -> usize {
    ((value_kb * 1024.0 / BYTES_A_PLACE) as usize).max(1)
}

/// How many tasks go into one record of what has completed.
pub fn tasks_a_chunk(value_kb: f64) -> usize {
    ((value_kb * 1024.0 / BYTES_A_TASK) as usize).max(1)
}

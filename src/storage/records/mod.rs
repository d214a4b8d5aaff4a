//! The keys in the state service and what is stored under them.
//!
//! - `leader`: who leads, on a lease; its version is the leader's token
//! - `open/ID`: the job was accepted, and its description; until its end
//! - `end/ID`: how the job ended; write-once, kept for ever
//! - `place/N`: places and attempts of tasks, of many jobs together
//! - `run/ID/N`: which of a range of tasks have completed, see [`CompletionShards`]
//! - `types`: the machine types that the cloud last told
//!
//! A job is accepted by writing `open/ID` while neither that nor `end/ID` is there: one change, and
//! a copy of it that comes late finds one of the two. Machines have no records: a place names its
//! machine, whose own report or the cloud's list tells the rest.

use crate::protocol::job::{JobSpec, JobState, MAX_TASKS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const LEADER_KEY: &str = "leader";
pub const OPEN_PREFIX: &str = "open/";
pub const END_PREFIX: &str = "end/";
pub const PLACEMENT_PREFIX: &str = "place/";
pub const COMPLETION_PREFIX: &str = "run/";
pub const MACHINE_TYPES_KEY: &str = "types";

pub fn open_key(id: &str) -> String {
    format!("{OPEN_PREFIX}{id}")
}

pub fn end_key(id: &str) -> String {
    format!("{END_PREFIX}{id}")
}

pub fn completion_key(id: &str, number: usize) -> String {
    format!("{COMPLETION_PREFIX}{id}/{number}")
}

pub fn placement_key(placement_record: usize) -> String {
    format!("{PLACEMENT_PREFIX}{placement_record}")
}

/// The number in `place/N`.
pub fn parse_placement_key(key: &str) -> Option<usize> {
    key.strip_prefix(PLACEMENT_PREFIX)?.parse().ok()
}

/// Splits `run/ID/N` into its parts.
pub fn parse_completion_key(key: &str) -> Option<(&str, usize)> {
    let (id, number) = key.strip_prefix(COMPLETION_PREFIX)?.rsplit_once('/')?;
    Some((id, number.parse().ok()?))
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
}

/// An accepted job that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredOpen", into = "StoredOpen")]
pub struct OpenRecord {
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds of the time of day.
    pub at_ms: u64,
    /// Its user has taken it back, and its places are being cleared.
    pub cancelled: bool,
}

/// How it is written. A version that does not know of waiting would start the job at once, so such a
/// job allows no machine type as far as that version can read: it keeps it pending.
#[derive(Serialize, Deserialize)]
struct StoredOpen {
    spec: JobSpec,
    at_ms: u64,
    #[serde(default)]
    cancelled: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    waits: Option<Waits>,
}

/// What a job waits for, and which machine types it then allows.
#[derive(Serialize, Deserialize)]
struct Waits {
    on: Vec<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    types: Option<Vec<String>>,
}

impl From<StoredOpen> for OpenRecord {
    fn from(stored: StoredOpen) -> OpenRecord {
        let mut spec = stored.spec;
        if let Some(waits) = stored.waits {
            spec.waits_on = waits.on;
            spec.types = waits.types;
        }
        OpenRecord {
            spec,
            at_ms: stored.at_ms,
            cancelled: stored.cancelled,
        }
    }
}

impl From<OpenRecord> for StoredOpen {
    fn from(record: OpenRecord) -> StoredOpen {
        let mut spec = record.spec;
        let waits = (!spec.waits_on.is_empty()).then(|| Waits {
            on: std::mem::take(&mut spec.waits_on),
            types: spec.types.replace(Vec::new()),
        });
        StoredOpen {
            spec,
            at_ms: record.at_ms,
            cancelled: record.cancelled,
            waits,
        }
    }
}

impl OpenRecord {
    /// The record of a job that is accepted at a time of day.
    pub fn accepted(spec: JobSpec, at_ms: u64) -> OpenRecord {
        OpenRecord {
            spec,
            at_ms,
            cancelled: false,
        }
    }

    /// The record of a job that its user has taken back. Where it would be larger than a record may
    /// be, as an old one is under smaller limits, it loses what only the placing of tasks needs.
    pub fn taken_back(mut self, most_bytes: usize) -> OpenRecord {
        self.cancelled = true;
        if self.bytes() > most_bytes {
            self.spec.types = None;
            self.spec.zone = None;
            self.spec.waits_on = Vec::new();
            self.spec.class = String::new();
            self.spec.image = String::new();
        }
        self
    }

    /// The size of its text.
    pub fn bytes(&self) -> usize {
        serde_json::to_string(self).map_or(usize::MAX, |text| text.len())
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndRecord {
    pub state: JobState,
    /// When it was written, in milliseconds of the time of day. Earlier versions did not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_ms: Option<u64>,
}

impl EndRecord {
    /// The end of a job that is cancelled at a time of day.
    pub fn cancelled(at_ms: u64) -> EndRecord {
        EndRecord {
            state: JobState::Cancelled,
            at_ms: Some(at_ms),
        }
    }

    pub fn to_value(&self) -> serde_json::Value {
        serde_json::to_value(self).expect("plain data")
    }
}

/// Completed tasks as ranges (first, last).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredCompletions {
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
}

/// Where tasks are or may be: for each job, for each machine, tasks with their attempts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredPlacements {
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub places: BTreeMap<String, BTreeMap<String, Vec<(u32, u64)>>>,
}

impl StoredCompletions {
    /// Adds a completed task; tasks must come in rising order.
    pub fn push_done(&mut self, task: u32) {
        match self.done.last_mut() {
            Some((_, last)) if *last + 1 == task => *last = task,
            _ => self.done.push((task, task)),
        }
    }

    /// The size of its text at the most.
    pub fn bytes(&self) -> usize {
        let last = self.done.last().map_or(0, |(_, last)| *last);
        EMPTY_BYTES + self.done.len() * 2 * (digits(last.into()) + 2)
    }
}

/// How the tasks of a job are cut into records of what has completed. The number of a record tells
/// its cut as well as its place in it, so that a record never holds less than one of the same name
/// did before: whoever cuts otherwise, by other limits, has other names. Tasks are named absolutely,
/// so any reader understands any cut. Earlier versions counted from 0 whatever the cut was; what
/// they have written is read, and never written anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletionShards {
    /// Tasks in one record.
    pub tasks: usize,
}

/// The longest text that a completed task can take in a record, when only every other one is.
const BYTES_A_TASK: usize = 8;
const CUT: usize = MAX_TASKS as usize;

impl CompletionShards {
    /// So many tasks that their record stays within so many bytes.
    pub fn within(bytes: usize) -> CompletionShards {
        CompletionShards {
            tasks: (bytes / BYTES_A_TASK).max(1),
        }
    }

    /// The number of the i-th record.
    pub fn number(self, i: usize) -> usize {
        self.tasks * CUT + i
    }

    /// Which record of this cut bears a number, if any.
    pub fn position(self, number: usize) -> Option<usize> {
        (number / CUT == self.tasks).then_some(number % CUT)
    }
}

fn digits(n: u64) -> usize {
    n.checked_ilog10().map_or(1, |d| d as usize + 1)
}

/// The bytes of a text in JSON, with its quotes.
fn text_bytes(text: &str) -> usize {
    let escaped = |b: u8| match b {
        b'"' | b'\\' => 2,
        0..0x20 => 6,
        _ => 1,
    };
    2 + text.bytes().map(escaped).sum::<usize>()
}

/// What a record of places takes without any, and what it takes more for a job and for a place.
pub const EMPTY_BYTES: usize = "{\"p\":{}}".len();

pub fn job_bytes(id: &str) -> usize {
    text_bytes(id) + ":{},".len()
}

pub fn place_bytes(machine: &str, task: u32, attempt: u64) -> usize {
    let place = digits(task.into()) + digits(attempt) + "[,],".len();
    text_bytes(machine) + ":[],".len() + place
}

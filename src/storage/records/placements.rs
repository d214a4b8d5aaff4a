//! Records of allocations: which attempt of which task is or may be on which machine.

use super::decimal_digits;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Allocations of many jobs together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredPlacements {
    /// For each job, for each machine: the tasks that are or may be there, each with its attempt.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub allocations: BTreeMap<String, BTreeMap<String, Vec<(u32, u64)>>>,
}

/// The size of a record without any allocations, in bytes.
pub const EMPTY_RECORD_BYTES: usize = "{\"p\":{}}".len();

/// The maximum number of bytes that a record grows by for a job, without its allocations.
pub fn job_bytes(id: &str) -> usize {
    json_string_bytes(id) + ":{},".len()
}

/// The maximum number of bytes that a record grows by for an allocation of a job that it contains.
pub fn allocation_bytes(machine: &str, task: u32, attempt: u64) -> usize {
    let place = decimal_digits(task.into()) + decimal_digits(attempt) + "[,],".len();
    json_string_bytes(machine) + ":[],".len() + place
}

/// The size of a string in JSON, with its quotes; exact but for control characters that have a short
/// escape.
fn json_string_bytes(text: &str) -> usize {
    let escaped_bytes = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..0x20 => 6,
        _ => 1,
    };
    2 + text.bytes().map(escaped_bytes).sum::<usize>()
}

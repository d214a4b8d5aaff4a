//! Records of allocations: the tasks that run or may run on each machine, and their attempts.

use super::decimal_digits;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One record of allocations, shared by several jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredPlacements {
    /// For each job and machine: the tasks that run or may run on the machine, each with its attempt.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub allocations: BTreeMap<String, BTreeMap<String, Vec<(u32, u64)>>>,
}

/// The size of a record without any allocations, in bytes.
pub const EMPTY_RECORD_BYTES: usize = "{\"p\":{}}".len();

/// The maximum number of bytes that a job adds to a record, without its allocations.
pub fn job_bytes(id: &str) -> usize {
    json_string_bytes(id) + ":{},".len()
}

/// The maximum number of bytes that an allocation adds to a record that already contains its job.
pub fn allocation_bytes(machine: &str, task: u32, attempt: u64) -> usize {
    let allocation = decimal_digits(task.into()) + decimal_digits(attempt) + "[,],".len();
    json_string_bytes(machine) + ":[],".len() + allocation
}

/// The size of a string in JSON, with its quotes. Control characters with a short escape such as `\n`
/// are overestimated; all other strings are exact.
fn json_string_bytes(text: &str) -> usize {
    let escaped_bytes = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..0x20 => 6,
        _ => 1,
    };
    2 + text.bytes().map(escaped_bytes).sum::<usize>()
}

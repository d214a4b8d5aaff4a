//! The memory that jobs and allocations take on a leader.

use crate::protocol::job::{JobKind, JobSpec};

/// The memory that an open job without dependencies takes on a leader besides its decoded record, in bytes.
const JOB_BYTES: u64 = 2000;
/// Bytes of a decoded record for each byte of its JSON text, while a new leader reads all of them.
const DECODED_BYTES_PER_JSON_BYTE: u64 = 9;
/// The memory that a dependency takes besides the record, in bytes.
const DEPENDENCY_BYTES: u64 = 500;
/// Tasks for each byte of the sets of placed and completed tasks, which may have twice the capacity that
/// they need.
const TASKS_PER_BYTE: u64 = 2;

/// The memory that an allocation takes on a leader, in bytes: on its machine, in its job, in the placement record
/// and, while a new leader reads the records, decoded.
pub const ALLOCATION_BYTES: u64 = 1000;

/// An estimate of the memory that an open job takes on a leader once most of its tasks have completed, in
/// bytes, given the size of its record. The allocations of arrays are not included, as those of gangs and services
/// are: these are placed as a whole.
pub fn leader_memory_bytes(spec: &JobSpec, record_bytes: usize) -> u64 {
    let decoded_bytes = DECODED_BYTES_PER_JSON_BYTE * record_bytes as u64;
    let dependency_bytes = DEPENDENCY_BYTES * spec.waits_on.len() as u64;
    let task_bytes = u64::from(spec.tasks) / TASKS_PER_BYTE;
    let allocations = if spec.kind == JobKind::Array {
        0
    } else {
        u64::from(spec.tasks)
    };
    let allocation_bytes = ALLOCATION_BYTES * allocations;
    JOB_BYTES + decoded_bytes + dependency_bytes + task_bytes + allocation_bytes
}

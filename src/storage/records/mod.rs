//! The records stored in the state service.
//!
//! | key | record | module |
//! | --- | --- | --- |
//! | `leader` | [`LeaderRecord`]: the leader; attached to the leadership lease | [`leader`] |
//! | `open/ID` | [`OpenRecord`]: the specification of an open job; deleted when it finishes | [`open`] |
//! | `end/ID` | [`FinalStateRecord`]: the final state of a job; write-once, never deleted | [`final_state`] |
//! | `place/N` | [`StoredPlacements`]: allocations of tasks, of many jobs together | [`placements`] |
//! | `run/ID/N` | [`StoredCompletions`]: which of a range of tasks have completed | [`completions`] |
//! | `types` | the machine types that the cloud last listed | |
//!
//! A job is accepted by a transaction that puts `open/ID` if neither `open/ID` nor `end/ID` exists. A
//! duplicate of the transaction that is applied later fails, because one of the two keys exists by then.
//! Machines have no records: an allocation names its machine, and all other facts about a machine come
//! from its heartbeats or the cloud's list of machines.
//!
//! Records only gain optional fields, so that every version can read the records of earlier versions.

pub mod completions;
pub mod final_state;
pub mod keys;
pub mod leader;
pub mod open;
pub mod placements;

pub use completions::{CompletionShards, StoredCompletions};
pub use final_state::{FinalStateRecord, JobFinalState};
pub use keys::{
    completion_key, final_state_key, open_key, parse_completion_key, parse_placement_key,
    placement_key, COMPLETION_PREFIX, FINAL_STATE_PREFIX, LEADER_KEY, MACHINE_TYPES_KEY,
    OPEN_PREFIX, PLACEMENT_PREFIX,
};
pub use leader::LeaderRecord;
pub use open::OpenRecord;
pub use placements::{allocation_bytes, job_bytes, StoredPlacements, EMPTY_RECORD_BYTES};

/// The number of decimal digits of a number.
fn decimal_digits(number: u64) -> usize {
    number
        .checked_ilog10()
        .map_or(1, |exponent| exponent as usize + 1)
}

//! The records kept in the state service, by kind.
//!
//! | key | record | module |
//! | --- | --- | --- |
//! | `leader` | [`LeaderRecord`]: the leader, on its lease; the key's version is the fencing token | [`leader`] |
//! | `open/ID` | [`OpenRecord`]: an accepted job and its description, until the job ends | [`open`] |
//! | `end/ID` | [`FinalStateRecord`]: how the job ended; write-once, kept for ever | [`final_state`] |
//! | `place/N` | [`StoredPlacements`]: allocations of tasks, of many jobs together | [`placements`] |
//! | `run/ID/N` | [`StoredCompletions`]: which of a range of tasks have completed | [`completions`] |
//! | `types` | the machine types that the cloud last listed | |
//!
//! A job is accepted by writing `open/ID` on the condition that neither that nor `end/ID` exists: one
//! write, and a copy of it that is applied late finds one of the two. Machines have no records: an
//! allocation names its machine, whose own heartbeat or the cloud's list has the rest.
//!
//! Records only gain optional fields, so that every version reads what an earlier one has written.

pub mod completions;
pub mod final_state;
pub mod keys;
pub mod leader;
pub mod open;
pub mod placements;

pub use completions::{CompletionShards, StoredCompletions};
pub use final_state::FinalStateRecord;
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

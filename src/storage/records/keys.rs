//! The keys in the state service. They are part of the stored format and never change.

/// The key of the leader's record.
pub const LEADER_KEY: &str = "leader";
/// The prefix of the records of open jobs.
pub const OPEN_PREFIX: &str = "open/";
/// The prefix of the records of final states.
pub const FINAL_STATE_PREFIX: &str = "end/";
/// The prefix of the records of allocations.
pub const PLACEMENT_PREFIX: &str = "place/";
/// The prefix of the records of completed tasks.
pub const COMPLETION_PREFIX: &str = "run/";
/// The key of the machine types that the cloud last listed.
pub const MACHINE_TYPES_KEY: &str = "types";

/// The key of a job's open record, `open/ID`.
pub fn open_key(id: &str) -> String {
    format!("{OPEN_PREFIX}{id}")
}

/// The key of the record of a job's final state, `end/ID`.
pub fn final_state_key(id: &str) -> String {
    format!("{FINAL_STATE_PREFIX}{id}")
}

/// The key of a record of a job's completed tasks, `run/ID/N`. The number comes from
/// [`CompletionShards::record_number`](super::CompletionShards::record_number).
pub fn completion_key(id: &str, number: usize) -> String {
    format!("{COMPLETION_PREFIX}{id}/{number}")
}

/// Splits `run/ID/N` into the job's id and the record's number; `None` for any other key.
pub fn parse_completion_key(key: &str) -> Option<(&str, usize)> {
    let (id, number) = key.strip_prefix(COMPLETION_PREFIX)?.rsplit_once('/')?;
    Some((id, number.parse().ok()?))
}

/// The key of a record of allocations, `place/N`.
pub fn placement_key(placement_record: usize) -> String {
    format!("{PLACEMENT_PREFIX}{placement_record}")
}

/// The record's number in `place/N`; `None` for any other key.
pub fn parse_placement_key(key: &str) -> Option<usize> {
    key.strip_prefix(PLACEMENT_PREFIX)?.parse().ok()
}

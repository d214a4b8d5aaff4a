//! The polled jobs: some depend on others.

use crate::common::random::SplitMix64;
use crate::common::{parse_submission, submission};
use serde_json::{json, Value};
use stairstage::protocol::job::JobState;
use stairstage::storage::records::{FinalStateRecord, OpenRecord};

/// One in this many jobs depends on the job before.
const DEPENDENT_EVERY: usize = 10;
/// One in this many jobs was never submitted.
const UNKNOWN_EVERY: usize = 50;
/// One in this many jobs is cancelled; the others are done.
const CANCELLED_EVERY: u64 = 4;

/// The id of a job.
pub(crate) fn id_of(number: usize) -> String {
    format!("req-{number:06}")
}

/// Whether a job was submitted.
pub(crate) fn is_submitted(number: usize) -> bool {
    number % UNKNOWN_EVERY != UNKNOWN_EVERY - 1
}

/// The dependency of a job, if any.
pub(crate) fn dependency_of(number: usize) -> Option<usize> {
    (number % DEPENDENT_EVERY == 1).then(|| number - 1)
}

/// The open record of a job.
pub(crate) fn record_of(number: usize) -> Value {
    let dependencies: Vec<String> = dependency_of(number).into_iter().map(id_of).collect();
    let mut body = submission(&id_of(number), "sweep", "normal", 4);
    body["waits_on"] = json!(dependencies);
    let spec = parse_submission(&body);
    serde_json::to_value(OpenRecord::accepted(spec, 0)).expect("serializing plain data cannot fail")
}

/// A random final state, with its record.
pub(crate) fn random_final_state(random: &mut SplitMix64) -> (JobState, Value) {
    let state = match random.next() % CANCELLED_EVERY {
        0 => JobState::Cancelled,
        _ => JobState::Done,
    };
    let at_ms = None;
    (state, FinalStateRecord { state, at_ms }.to_value())
}

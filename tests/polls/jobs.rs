//! Jobs: some wait for others, and all end eventually.

use crate::common::random::SplitMix64;
use crate::common::{parsed, submission};
use serde_json::{json, Value};
use stairstage::protocol::job::JobState;
use stairstage::storage::records::{FinalStateRecord, OpenRecord};

/// One of so many jobs waits for the one before it.
const WAITS_EVERY: usize = 10;
/// One of so many jobs was never submitted.
const UNKNOWN_EVERY: usize = 50;
/// One of so many jobs ends as cancelled.
const CANCELLED_OF: u64 = 4;

/// The id of a job.
pub(crate) fn id_of(number: usize) -> String {
    format!("req-{number:06}")
}

/// Whether a job was submitted.
pub(crate) fn is_submitted(number: usize) -> bool {
    number % UNKNOWN_EVERY != UNKNOWN_EVERY - 1
}

/// The job that another waits for, if any.
pub(crate) fn waits_on(number: usize) -> Option<usize> {
    (number % WAITS_EVERY == 1).then(|| number - 1)
}

/// The record of an open job.
pub(crate) fn record_of(number: usize) -> Value {
    let waits_on: Vec<String> = waits_on(number).into_iter().map(id_of).collect();
    let mut body = submission(&id_of(number), "sweep", "normal", 4);
    body["waits_on"] = json!(waits_on);
    let spec = parsed(&body);
    serde_json::to_value(OpenRecord::accepted(spec, 0)).expect("serializing plain data cannot fail")
}

/// How a job ends.
pub(crate) fn end_of(random: &mut SplitMix64) -> (JobState, Value) {
    let state = match random.next() % CANCELLED_OF {
        0 => JobState::Cancelled,
        _ => JobState::Done,
    };
    let at_ms = None;
    (state, FinalStateRecord { state, at_ms }.to_value())
}

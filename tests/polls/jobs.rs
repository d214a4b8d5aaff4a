//! Jobs: some wait for others, and all end some day.

use crate::random::SplitMix64;
use serde_json::{json, Value};
use stairstage::bookkeeping::records::{EndRecord, OpenRecord};
use stairstage::protocol::job::{JobSpec, JobState};

/// Every so many jobs, one waits for the one before it, and one is never submitted.
const WAITS_EVERY: usize = 10;
const UNKNOWN_EVERY: usize = 50;
/// One of so many jobs ends as cancelled.
const CANCELLED_OF: u64 = 4;

pub fn id_of(number: usize) -> String {
    format!("req-{number:06}")
}

pub fn is_submitted(number: usize) -> bool {
    number % UNKNOWN_EVERY != UNKNOWN_EVERY - 1
}

pub fn waits_on(number: usize) -> Option<usize> {
    (number % WAITS_EVERY == 1).then(|| number - 1)
}

pub fn record_of(number: usize) -> Value {
    let waits_on: Vec<String> = waits_on(number).into_iter().map(id_of).collect();
    let body = json!({"name_id":id_of(number),"duty":"c","crew":"t","rig":"sweep",
        "precedence":"normal","legs":4,"cpus":1.0,"gpus":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,
        "hulls":null,"berth":null,"same_place":false,"spread":false,"driftwood":false,
        "passage_s":20.0,"fix_interval_s":0.0,"fix_s":0.0,"due_s":null,"waits_on":waits_on});
    let spec = JobSpec::parse(body.to_string().as_bytes()).expect("a job");
    serde_json::to_value(OpenRecord::accepted(spec, 0)).expect("plain data")
}

/// How a job ends.
pub fn end_of(random: &mut SplitMix64) -> (JobState, Value) {
    let state = match random.next() % CANCELLED_OF {
        0 => JobState::Cancelled,
        _ => JobState::Done,
    };
    let at_ms = None;
    (state, EndRecord { state, at_ms }.to_value())
}

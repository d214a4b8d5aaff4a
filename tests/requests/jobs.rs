//! The jobs that users submit, ask about and cancel.

use crate::common::submission;
use serde_json::{json, Value};
use stairstage::protocol::job::JobState;
use stairstage::storage::records::{final_state_key, FinalStateRecord};

/// Jobs bear the numbers below this.
pub(crate) const JOBS: u8 = 8;
/// Waits for job 0.
const FIRST_WAITING: u8 = 3;
/// Waits for the one before.
const SECOND_WAITING: u8 = 4;
/// Needs more than any machine has.
pub(crate) const FITS_NO_MACHINE: u8 = 5;
/// Its submission is no description of a job.
pub(crate) const LACKS_A_FIELD: u8 = 6;
/// Only asked about, and cancelled.
pub(crate) const NEVER_SUBMITTED: u8 = 7;

/// The id of a job.
pub(crate) fn id_of(job: u8) -> String {
    format!("req-{job}")
}

/// The job that another waits for, if any.
pub(crate) fn dependency_of(job: u8) -> Option<u8> {
    match job {
        FIRST_WAITING => Some(0),
        SECOND_WAITING => Some(FIRST_WAITING),
        _ => None,
    }
}

/// Whether it may ever be accepted.
pub(crate) fn can_run(job: u8) -> bool {
    job < FITS_NO_MACHINE
}

/// The body of its submission.
pub(crate) fn body_of(job: u8) -> Vec<u8> {
    let mut body: Value = submission(&id_of(job), "sweep", "normal", 2);
    if let Some(needed) = dependency_of(job) {
        body["waits_on"] = json!([id_of(needed)]);
    }
    match job {
        FITS_NO_MACHINE => body["cpus"] = json!(64.0),
        LACKS_A_FIELD => {
            body.as_object_mut().unwrap().remove("crew");
        }
        _ => {}
    }
    body.to_string().into_bytes()
}

/// How a job has ended, as the state service says.
pub(crate) fn recorded_end(store: &crate::common::Store, job: u8) -> Option<JobState> {
    let item = store.item(&final_state_key(&id_of(job)))?;
    let end: FinalStateRecord = serde_json::from_value(item.value).unwrap();
    Some(end.state)
}

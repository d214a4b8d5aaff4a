//! The jobs that users submit, query and cancel.

use crate::common::submission;
use serde_json::{json, Value};
use stairstage::protocol::job::JobState;
use stairstage::storage::records::{final_state_key, FinalStateRecord};

/// Job numbers are below this.
pub(crate) const JOBS: u8 = 8;
/// Depends on job 0.
const FIRST_DEPENDENT: u8 = 3;
/// Depends on `FIRST_DEPENDENT`.
const SECOND_DEPENDENT: u8 = 4;
/// Requests more resources than any machine has.
pub(crate) const FITS_NO_MACHINE: u8 = 5;
/// Its submission lacks a required field.
pub(crate) const LACKS_A_FIELD: u8 = 6;
/// Queried and cancelled, but never submitted.
pub(crate) const NEVER_SUBMITTED: u8 = 7;

/// The id of a job.
pub(crate) fn id_of(job: u8) -> String {
    format!("req-{job}")
}

/// The dependency of a job, if any.
pub(crate) fn dependency_of(job: u8) -> Option<u8> {
    match job {
        FIRST_DEPENDENT => Some(0),
        SECOND_DEPENDENT => Some(FIRST_DEPENDENT),
        _ => None,
    }
}

/// Whether a job may be accepted.
pub(crate) fn can_run(job: u8) -> bool {
    job < FITS_NO_MACHINE
}

/// The body of a job's submission.
pub(crate) fn body_of(job: u8) -> Vec<u8> {
    let mut body: Value = submission(&id_of(job), "sweep", "normal", 2);
    if let Some(dependency) = dependency_of(job) {
        body["waits_on"] = json!([id_of(dependency)]);
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

/// The final state of a job in the state service.
pub(crate) fn recorded_final_state(store: &crate::common::Store, job: u8) -> Option<JobState> {
    let item = store.get(&final_state_key(&id_of(job)))?;
    let record: FinalStateRecord = serde_json::from_value(item.value).unwrap();
    Some(record.state)
}

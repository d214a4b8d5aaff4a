//! The rules that every answer to a user must follow.

use crate::common::Store;
use crate::jobs::{
    can_run, dependency_of, id_of, recorded_final_state, FITS_NO_MACHINE, LACKS_A_FIELD,
};
use serde_json::Value;
use stairstage::coordination::requests::PeerAnswer;
use stairstage::protocol::job::{JobState, JobStatus};
use stairstage::storage::records::open_key;
use std::collections::BTreeMap;

/// The kind of a user's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Submit,
    Query,
    Cancel,
}

/// The state of a job as some controller has reported it to a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReportedState {
    Accepted,
    Done,
    Cancelled,
}

/// A user's request, and the state of the job that had been reported when it was sent.
#[derive(Clone, Debug)]
pub(crate) struct UserRequest {
    pub kind: Kind,
    pub job: u8,
    pub controller: usize,
    pub reported_before: Option<ReportedState>,
}

/// Checks each answer against the records, the requests sent and the states reported before.
#[derive(Default)]
pub(crate) struct AnswerChecker {
    submitted: BTreeMap<u8, ()>,
    cancel_requested: BTreeMap<u8, ()>,
    reported: BTreeMap<u8, ReportedState>,
}

impl AnswerChecker {
    /// The last state of a job that was reported to users.
    pub(crate) fn reported(&self, job: u8) -> Option<ReportedState> {
        self.reported.get(&job).copied()
    }

    /// Notes that a user sends a request.
    pub(crate) fn request_sent(&mut self, kind: Kind, job: u8, controller: usize) -> UserRequest {
        match kind {
            Kind::Submit => drop(self.submitted.insert(job, ())),
            Kind::Cancel => drop(self.cancel_requested.insert(job, ())),
            Kind::Query => {}
        }
        let reported_before = self.reported(job);
        UserRequest {
            kind,
            job,
            controller,
            reported_before,
        }
    }

    /// Whether a user has requested to cancel the job or a job that it depends on.
    fn is_cancel_requested(&self, job: u8) -> bool {
        let dependency =
            || dependency_of(job).is_some_and(|dependency| self.is_cancel_requested(dependency));
        self.cancel_requested.contains_key(&job) || dependency()
    }

    /// Checks an answer to a user. Returns the state if it has not been reported before.
    pub(crate) fn check_answer(
        &mut self,
        request: &UserRequest,
        answer: &PeerAnswer,
        store: &Store,
    ) -> Option<ReportedState> {
        match answer.status {
            200 | 201 => self.check_state(request, answer, store),
            400 | 404 | 422 => {
                check_error_status(request, answer.status);
                None
            }
            503 => None,
            other => panic!("{request:?}: unexpected status {other}"),
        }
    }

    /// Checks that an answer with a state agrees with the records and with earlier answers.
    fn check_state(
        &mut self,
        request: &UserRequest,
        answer: &PeerAnswer,
        store: &Store,
    ) -> Option<ReportedState> {
        let state = state_in(answer);
        let job = request.job;
        assert!(
            can_run(job) && self.submitted.contains_key(&job),
            "never submitted or can't run: {request:?} is answered {state:?}"
        );
        assert_recorded(request, state, store);
        if request.kind == Kind::Cancel {
            assert!(
                state.is_final(),
                "not a final state: {request:?} is answered {state:?}"
            );
        }
        if request.reported_before.is_some() {
            assert_eq!(
                answer.status, 200,
                "{request:?}: the state of the job had been reported"
            );
        }
        if state == JobState::Cancelled {
            let is_requested = self.is_cancel_requested(job);
            assert!(is_requested, "{request:?}: no user has cancelled the job");
        }
        self.record_report(request, state)
    }

    /// Checks that a final state never changes: neither for this user nor, once it was reported, for others.
    fn record_report(&mut self, request: &UserRequest, state: JobState) -> Option<ReportedState> {
        let reported = match state {
            JobState::Pending | JobState::Running => ReportedState::Accepted,
            JobState::Done => ReportedState::Done,
            JobState::Cancelled => ReportedState::Cancelled,
        };
        let reverted = match request.reported_before {
            Some(final_state @ (ReportedState::Done | ReportedState::Cancelled)) => {
                reported != final_state
            }
            Some(ReportedState::Accepted) | None => false,
        };
        assert!(
            !reverted,
            "final state changed: {request:?} is answered {reported:?}"
        );
        let known = self.reported(request.job);
        let contradicts = known > Some(ReportedState::Accepted)
            && reported > ReportedState::Accepted
            && known != Some(reported);
        assert!(
            !contradicts,
            "two final states: {request:?}: {known:?} and {reported:?}"
        );
        if known >= Some(reported) {
            return None;
        }
        self.reported.insert(request.job, reported);
        Some(reported)
    }
}

/// The state in an answer.
fn state_in(answer: &PeerAnswer) -> JobState {
    if let Ok(status) = serde_json::from_slice::<JobStatus>(&answer.body) {
        return status.state;
    }
    let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
    serde_json::from_value(body["status"].clone()).expect("a state")
}

/// Checks that a reported state is recorded, and that the job's dependency was accepted.
fn assert_recorded(request: &UserRequest, state: JobState, store: &Store) {
    let final_state = recorded_final_state(store, request.job);
    let open = is_open(store, request.job);
    if let Some(dependency) = dependency_of(request.job) {
        let known = recorded_final_state(store, dependency).is_some() || is_open(store, dependency);
        assert!(
            known,
            "{request:?}: dependency {dependency} was never accepted"
        );
    }
    match state {
        JobState::Pending | JobState::Running => {
            assert!(
                final_state.is_some() || open,
                "no record of the job: {request:?}"
            );
        }
        JobState::Done => assert_eq!(
            final_state,
            Some(state),
            "not recorded as done: {request:?}"
        ),
        JobState::Cancelled => assert_eq!(
            final_state,
            Some(state),
            "not recorded as cancelled: {request:?}"
        ),
    }
}

/// Whether a job has an open record.
fn is_open(store: &Store, job: u8) -> bool {
    store.get(&open_key(&id_of(job))).is_some()
}

/// Checks that no request for a job whose state was reported gets an error status, and that each error status
/// is the right one for its request.
fn check_error_status(request: &UserRequest, status: u16) {
    let known = request.reported_before.is_some();
    assert!(
        !known,
        "state was reported before: {request:?} is answered {status}"
    );
    let is_expected = match request.kind {
        Kind::Submit => status != 404,
        Kind::Query | Kind::Cancel => status == 404,
    };
    assert!(
        is_expected,
        "wrong status: {request:?} is answered {status}"
    );
    match (request.kind, request.job) {
        (Kind::Submit, LACKS_A_FIELD) => assert_eq!(status, 400),
        (Kind::Submit, FITS_NO_MACHINE) => assert_eq!(status, 422),
        // The dependency was never accepted, or all machine types that the controller knows are too small.
        (Kind::Submit, _) => assert_eq!(status, 422),
        _ => {}
    }
}

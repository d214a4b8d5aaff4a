//! The rules that every answer to a user is held against.

use crate::common::Store;
use crate::jobs::{can_run, dependency_of, id_of, recorded_end, FITS_NO_MACHINE, LACKS_A_FIELD};
use serde_json::Value;
use stairstage::coordination::requests::PeerAnswer;
use stairstage::protocol::job::{JobState, JobStatus};
use stairstage::storage::records::open_key;
use std::collections::BTreeMap;

/// What a user asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Submit,
    Query,
    Cancel,
}

/// The state of a job that any node has reported to a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReportedState {
    Accepted,
    Done,
    Cancelled,
}

/// A user's request, and the state of the job that was reported when it was sent.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub kind: Kind,
    pub job: u8,
    pub node: usize,
    pub before: Option<ReportedState>,
}

/// The requests of users, and the states that were reported to them.
#[derive(Default)]
pub(crate) struct Ledger {
    submitted: BTreeMap<u8, ()>,
    cancel_asked: BTreeMap<u8, ()>,
    reported: BTreeMap<u8, ReportedState>,
}

impl Ledger {
    /// The state of a job that users know.
    pub(crate) fn reported(&self, job: u8) -> Option<ReportedState> {
        self.reported.get(&job).copied()
    }

    /// A user sends a request.
    pub(crate) fn asks(&mut self, kind: Kind, job: u8, node: usize) -> Question {
        match kind {
            Kind::Submit => drop(self.submitted.insert(job, ())),
            Kind::Cancel => drop(self.cancel_asked.insert(job, ())),
            Kind::Query => {}
        }
        let before = self.reported(job);
        Question {
            kind,
            job,
            node,
            before,
        }
    }

    /// Whether the user of a job, or of a dependency, has cancelled it.
    fn is_cancel_requested(&self, job: u8) -> bool {
        let needed = || dependency_of(job).is_some_and(|needed| self.is_cancel_requested(needed));
        self.cancel_asked.contains_key(&job) || needed()
    }

    /// A user is answered. Returns what is news to users.
    pub(crate) fn answered(
        &mut self,
        question: &Question,
        answer: &PeerAnswer,
        store: &Store,
    ) -> Option<ReportedState> {
        match answer.status {
            200 | 201 => self.check_statement(question, answer, store),
            400 | 404 | 422 => {
                check_denial(question, answer.status);
                None
            }
            503 => None,
            other => panic!("{question:?}: status {other}"),
        }
    }

    /// An answer that names a state agrees with the records and with earlier answers.
    fn check_statement(
        &mut self,
        question: &Question,
        answer: &PeerAnswer,
        store: &Store,
    ) -> Option<ReportedState> {
        let state = state_in(answer);
        let job = question.job;
        assert!(
            can_run(job) && self.submitted.contains_key(&job),
            "invented: {question:?} is told {state:?}"
        );
        assert_recorded(question, state, store);
        if question.kind == Kind::Cancel {
            assert!(state.is_final(), "{question:?} is told {state:?}");
        }
        if question.before.is_some() {
            assert_eq!(answer.status, 200, "{question:?}: is known");
        }
        if state == JobState::Cancelled {
            let asked = self.is_cancel_requested(job);
            assert!(asked, "went_back: {question:?}: no user has cancelled it");
        }
        self.record_report(question, state)
    }

    /// A state goes back neither for this user nor, once it is an end, for any other.
    fn record_report(&mut self, question: &Question, state: JobState) -> Option<ReportedState> {
        let reported = match state {
            JobState::Pending | JobState::Running => ReportedState::Accepted,
            JobState::Done => ReportedState::Done,
            JobState::Cancelled => ReportedState::Cancelled,
        };
        let went_back = match question.before {
            Some(end @ (ReportedState::Done | ReportedState::Cancelled)) => reported != end,
            Some(ReportedState::Accepted) | None => false,
        };
        assert!(!went_back, "went_back: {question:?} is told {reported:?}");
        let known = self.reported(question.job);
        let both = known > Some(ReportedState::Accepted)
            && reported > ReportedState::Accepted
            && known != Some(reported);
        assert!(!both, "went_back: {question:?}: {known:?} and {reported:?}");
        if known >= Some(reported) {
            return None;
        }
        self.reported.insert(question.job, reported);
        Some(reported)
    }
}

/// The state that an answer names.
fn state_in(answer: &PeerAnswer) -> JobState {
    if let Ok(status) = serde_json::from_slice::<JobStatus>(&answer.body) {
        return status.state;
    }
    let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
    serde_json::from_value(body["status"].clone()).expect("a state")
}

/// No state is reported before it is on record, nor before the job's dependency is.
fn assert_recorded(question: &Question, state: JobState, store: &Store) {
    let end = recorded_end(store, question.job);
    let open = is_open(store, question.job);
    if let Some(needed) = dependency_of(question.job) {
        let known = recorded_end(store, needed).is_some() || is_open(store, needed);
        assert!(known, "{question:?}: {needed} was never accepted");
    }
    match state {
        JobState::Pending | JobState::Running => {
            assert!(end.is_some() || open, "{question:?}: not on record");
        }
        JobState::Done => assert_eq!(end, Some(state), "not_done: {question:?}"),
        JobState::Cancelled => assert_eq!(end, Some(state), "{question:?}: not on record"),
    }
}

/// Whether the record of a job is there.
fn is_open(store: &Store, job: u8) -> bool {
    store.item(&open_key(&id_of(job))).is_some()
}

/// What is known is not denied, and each denial has its status.
fn check_denial(question: &Question, status: u16) {
    let known = question.before.is_some();
    assert!(!known, "forgotten: {question:?} is told {status}");
    let fits = match question.kind {
        Kind::Submit => status != 404,
        Kind::Query | Kind::Cancel => status == 404,
    };
    assert!(fits, "{question:?} is told {status}");
    match (question.kind, question.job) {
        (Kind::Submit, LACKS_A_FIELD) => assert_eq!(status, 400),
        (Kind::Submit, FITS_NO_MACHINE) => assert_eq!(status, 422),
        // Its dependency was never accepted, or the node knows only machine types that are too small.
        (Kind::Submit, _) => assert_eq!(status, 422),
        _ => {}
    }
}

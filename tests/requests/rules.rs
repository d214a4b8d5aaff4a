//! The rules that every answer to a user is held against.

use crate::common::Store;
use crate::jobs::*;
use serde_json::Value;
use stairstage::coordination::requests::PeerAnswer;
use stairstage::protocol::job::{JobState, JobStatus};
use stairstage::storage::records::open_key;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    Submit,
    Query,
    Cancel,
}

/// What users have been told of a job, by any node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Told {
    Accepted,
    Done,
    Cancelled,
}

/// A user's request, and what users had been told when it was sent.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub kind: Kind,
    pub job: u8,
    pub node: usize,
    pub before: Option<Told>,
}

/// What users have sent and been told.
#[derive(Default)]
pub(crate) struct Ledger {
    submitted: BTreeMap<u8, ()>,
    cancel_asked: BTreeMap<u8, ()>,
    told: BTreeMap<u8, Told>,
}

impl Ledger {
    pub(crate) fn told(&self, job: u8) -> Option<Told> {
        self.told.get(&job).copied()
    }

    /// A user sends a request.
    pub(crate) fn asks(&mut self, kind: Kind, job: u8, node: usize) -> Question {
        match kind {
            Kind::Submit => drop(self.submitted.insert(job, ())),
            Kind::Cancel => drop(self.cancel_asked.insert(job, ())),
            Kind::Query => {}
        }
        let before = self.told(job);
        Question {
            kind,
            job,
            node,
            before,
        }
    }

    /// Whether the user of a job, or of one that it needs, has cancelled it.
    fn is_taken_back(&self, job: u8) -> bool {
        let needed = || needs(job).is_some_and(|needed| self.is_taken_back(needed));
        self.cancel_asked.contains_key(&job) || needed()
    }

    /// A user is answered. Returns what is news to users.
    pub(crate) fn answered(
        &mut self,
        question: &Question,
        answer: &PeerAnswer,
        store: &Store,
    ) -> Option<Told> {
        match answer.status {
            200 | 201 => self.stated(question, answer, store),
            400 | 404 | 422 => {
                denied(question, answer.status);
                None
            }
            503 => None,
            other => panic!("{question:?}: status {other}"),
        }
    }

    fn stated(&mut self, question: &Question, answer: &PeerAnswer, store: &Store) -> Option<Told> {
        let state = state_in(answer);
        let job = question.job;
        assert!(
            can_run(job) && self.submitted.contains_key(&job),
            "invented: {question:?} is told {state:?}"
        );
        is_recorded(question, state, store);
        if question.kind == Kind::Cancel {
            assert!(state.is_end(), "{question:?} is told {state:?}");
        }
        if question.before.is_some() {
            assert_eq!(answer.status, 200, "{question:?}: is known");
        }
        if state == JobState::Cancelled {
            let asked = self.is_taken_back(job);
            assert!(asked, "went_back: {question:?}: no user has cancelled it");
        }
        self.tell(question, state)
    }

    fn tell(&mut self, question: &Question, state: JobState) -> Option<Told> {
        let told = match state {
            JobState::Pending | JobState::Running => Told::Accepted,
            JobState::Done => Told::Done,
            JobState::Cancelled => Told::Cancelled,
        };
        let went_back = match question.before {
            Some(end @ (Told::Done | Told::Cancelled)) => told != end,
            Some(Told::Accepted) | None => false,
        };
        assert!(!went_back, "went_back: {question:?} is told {told:?}");
        let known = self.told(question.job);
        let both = known > Some(Told::Accepted) && told > Told::Accepted && known != Some(told);
        assert!(!both, "went_back: {question:?}: {known:?} and {told:?}");
        if known >= Some(told) {
            return None;
        }
        self.told.insert(question.job, told);
        Some(told)
    }
}

fn state_in(answer: &PeerAnswer) -> JobState {
    if let Ok(status) = serde_json::from_slice::<JobStatus>(&answer.body) {
        return status.state;
    }
    let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
    serde_json::from_value(body["status"].clone()).expect("a state")
}

/// Nothing is told before it is on record, nor before what it needs is.
fn is_recorded(question: &Question, state: JobState, store: &Store) {
    let end = recorded_end(store, question.job);
    let open = is_open(store, question.job);
    if let Some(needed) = needs(question.job) {
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

fn is_open(store: &Store, job: u8) -> bool {
    store.item(&open_key(&id_of(job))).is_some()
}

fn denied(question: &Question, status: u16) {
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
        // What it needs was never accepted, or the node knows of small machines only.
        (Kind::Submit, _) => assert_eq!(status, 422),
        _ => {}
    }
}

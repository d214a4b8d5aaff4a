//! Single decisions of a controller's poll batcher, and of requests that exceed the state service's limit.

mod common;

use common::{parse_submission, request_context, submission, Store, SETTINGS};
use serde_json::json;
use stairstage::coordination::requests::polls::{Limits, Poll, PollBatcher, PollEffect};
use stairstage::coordination::requests::{
    Request, RequestEffect, RequestEvent, StoreAnswer, StoreCall,
};
use stairstage::protocol::job::JobState;
use stairstage::settings::Settings;
use stairstage::storage::key_value_store::CommitOutcome;
use stairstage::storage::records::{final_state_key, open_key, JobFinalState, OpenRecord};
use stairstage_upgrade::fence::WriteFence;

/// The settings of most tests.
fn settings() -> Settings {
    Settings::parse("test", SETTINGS).unwrap()
}

/// A batcher without polls.
fn batcher() -> PollBatcher {
    PollBatcher::new(Limits::of(&settings()))
}

/// A poll of a job that no leader knows.
fn poll(job: &str) -> Poll {
    Poll {
        job: job.into(),
        leader_status: None,
    }
}

/// Runs a batcher against these records until it is idle; returns the poll number and status of each
/// answer.
fn answers(batcher: &mut PollBatcher, store: &Store, first: Vec<PollEffect>) -> Vec<(u64, u16)> {
    let mut now = 0.0;
    let mut effects = first;
    let mut answers = Vec::new();
    loop {
        for effect in std::mem::take(&mut effects) {
            match effect {
                PollEffect::Store(call) => {
                    effects.extend(batcher.on_answer(answer_of(store, call), now));
                }
                PollEffect::Answer(number, answer) => answers.push((number, answer.status())),
                PollEffect::FinalStatesRecorded(..) => {}
                PollEffect::Forward(number) => panic!("poll {number} is forwarded"),
                PollEffect::DependenciesChecked(number, _) => panic!("no check {number}"),
            }
        }
        if !effects.is_empty() {
            continue;
        }
        let Some(interval_s) = batcher.tick_interval_s().filter(|_| now < 2.0) else {
            return answers;
        };
        now += interval_s;
        effects.extend(batcher.tick(now));
    }
}

/// The response of the state service to a call.
fn answer_of(store: &Store, call: StoreCall) -> StoreAnswer {
    match call {
        StoreCall::Read(key) => StoreAnswer::Read(Ok(store.get(&key))),
        StoreCall::Commit(transaction) => {
            StoreAnswer::Committed(store.check_conditions(&transaction))
        }
        list => panic!("a single record must not be listed: {list:?}"),
    }
}

/// The records of an open job and of its dependency, which is open or has this final state.
fn pipeline(dependency_state: Option<&str>) -> Store {
    let mut store = Store::default();
    let mut open = |id: &str, waits_on: &[&str]| {
        let mut body = submission(id, "sweep", "normal", 4);
        body["waits_on"] = json!(waits_on);
        let record = OpenRecord::accepted(parse_submission(&body), 0);
        let value = serde_json::to_value(record).unwrap();
        store.values.insert(open_key(id), (value, 1));
    };
    open("req-2", &["req-1"]);
    match dependency_state {
        None => open("req-1", &[]),
        Some(state) => {
            let final_state = json!({ "state": state });
            store
                .values
                .insert(final_state_key("req-1"), (final_state, 2));
        }
    }
    store
}

/// The answers to a poll of a job whose dependency is open or has this final state.
fn answers_of_pipeline(dependency_state: Option<&str>) -> Vec<(u64, u16)> {
    let mut batcher = batcher();
    let first = batcher.enqueue(1, poll("req-2"), 0.0);
    answers(&mut batcher, &pipeline(dependency_state), first)
}

#[test]
fn dependent_is_reported_pending_unless_its_dependency_is_cancelled() {
    assert_eq!(answers_of_pipeline(None), [(1, 200)]);
    assert_eq!(answers_of_pipeline(Some("done")), [(1, 200)]);
    assert_eq!(answers_of_pipeline(Some("cancelled")), [(1, 503)]);
}

#[test]
fn dependent_of_a_job_known_as_cancelled_has_no_state_until_its_own_is_recorded() {
    let mut batcher = batcher();
    batcher.job_accepted("req-2", &["req-1".to_string()]);
    batcher.final_state_recorded("req-1", JobState::Cancelled);
    let first = batcher.enqueue(1, poll("req-2"), 0.0);
    let mut store = pipeline(Some("cancelled"));
    assert_eq!(answers(&mut batcher, &store, first), [(1, 503)]);
    // Once the final state of the dependent is recorded, that state is reported.
    store.values.remove(&open_key("req-2"));
    let final_state = json!({"state": "cancelled"});
    store
        .values
        .insert(final_state_key("req-2"), (final_state, 3));
    let first = batcher.enqueue(2, poll("req-2"), 10.0);
    assert_eq!(answers(&mut batcher, &store, first), [(2, 200)]);
}

#[test]
fn polls_beyond_the_compare_rate_are_rejected_at_once_with_spread_retry_times() {
    let mut batcher = batcher();
    for number in 0..4000 {
        batcher.enqueue(number, poll(&format!("req-{number}")), 0.0);
    }
    let mut retries: Vec<u32> = Vec::new();
    for effect in batcher.tick(0.0) {
        if let PollEffect::Answer(_, answer) = effect {
            assert_eq!(answer.status(), 503);
            retries.push(answer.retry_after().expect("a Retry-After value"));
        }
    }
    assert!(retries.len() > 3000, "{}", retries.len());
    for seconds in 2..=5 {
        let retrying = retries.iter().filter(|after| **after == seconds).count();
        assert!(retrying > 50, "{retrying} retry after {seconds} s");
    }
    assert!(retries.iter().all(|after| *after <= 5));
}

#[test]
fn final_states_of_a_page_are_reported_in_one_effect_before_the_answers() {
    let mut store = Store::default();
    for job in ["req-1", "req-2", "req-3"] {
        let final_state = json!({"state": "done"});
        store.values.insert(final_state_key(job), (final_state, 1));
    }
    let mut batcher = batcher();
    batcher.enqueue(1, poll("req-1"), 0.0);
    batcher.enqueue(2, poll("req-2"), 0.0);
    batcher.tick(0.0);
    let present = CommitOutcome::Conflict(vec![final_state_key("req-1"), final_state_key("req-2")]);
    assert!(batcher
        .on_answer(StoreAnswer::Committed(present), 0.0)
        .is_empty());
    let lists = batcher.tick(0.1);
    let [PollEffect::Store(StoreCall::List {
        under,
        after,
        limit,
    })] = &lists[..]
    else {
        panic!("{lists:?}");
    };
    let page = store.page(under, after, *limit);
    let effects = batcher.on_answer(StoreAnswer::Listed(Ok(page)), 0.1);
    let [PollEffect::FinalStatesRecorded(final_states), PollEffect::Answer(1, _), PollEffect::Answer(2, _)] =
        &effects[..]
    else {
        panic!("{effects:?}");
    };
    let done = |job| JobFinalState::new(job, JobState::Done);
    assert_eq!(*final_states, ["req-1", "req-2", "req-3"].map(done));
}

/// Whether this poll is forwarded to a peer.
fn is_forwarded(effects: &[PollEffect], number: u64) -> bool {
    matches!(effects, [PollEffect::Forward(n)] if *n == number)
}

#[test]
fn polls_are_forwarded_while_the_state_service_rejects_and_compared_again_after_a_pause() {
    let mut batcher = batcher();
    assert!(batcher.enqueue(1, poll("req-1"), 0.0).is_empty());
    assert!(matches!(batcher.tick(0.0)[..], [PollEffect::Store(_)]));
    let rejected = StoreAnswer::Committed(CommitOutcome::Rejected);
    assert!(is_forwarded(&batcher.on_answer(rejected, 0.01), 1));
    assert!(is_forwarded(&batcher.enqueue(2, poll("req-2"), 0.5), 2));
    assert!(batcher.enqueue(3, poll("req-3"), 1.5).is_empty());
    assert!(matches!(batcher.tick(1.5)[..], [PollEffect::Store(_)]));
}

#[test]
fn rate_limited_poll_is_compared_again_and_not_forwarded() {
    let mut batcher = batcher();
    batcher.enqueue(1, poll("req-1"), 0.0);
    batcher.tick(0.0);
    let limited = StoreAnswer::Committed(CommitOutcome::RateLimited);
    assert!(batcher.on_answer(limited, 0.01).is_empty());
    assert!(matches!(batcher.tick(0.2)[..], [PollEffect::Store(_)]));
}

#[test]
fn rate_limited_submission_is_rejected_with_retry_after_and_not_forwarded() {
    let body = submission("req-1", "sweep", "normal", 4).to_string();
    let (mut request, _) =
        Request::submission(body.as_bytes(), request_context(WriteFence::Unstaged));
    let limited = RequestEvent::Store(StoreAnswer::Committed(CommitOutcome::RateLimited));
    let effects = request.on_event(limited);
    let is_rejected = matches!(&effects[..], [RequestEffect::Answer(answer)]
        if answer.status() == 503 && answer.retry_after().is_some());
    assert!(is_rejected, "{effects:?}");
}

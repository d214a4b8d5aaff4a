//! What is written names the cluster version that its writer knows, and fails after a rise.

mod common;

use common::{
    heartbeat, heartbeat_from, manager, parsed, request_context, submission, submit, Store,
    SETTINGS,
};
use serde_json::json;
use stairstage::coordination::cluster::{Effect, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::coordination::requests::{
    Request, RequestEffect, RequestEvent, StoreAnswer, StoreCall,
};
use stairstage::protocol::store::{Transaction, VersionedValue};
use stairstage::settings::{Settings, COMPARES_PER_OPERATION};
use stairstage::storage::key_value_store::CommitOutcome;
use stairstage::storage::records::{final_state_key, open_key, LEADER_KEY};
use stairstage_upgrade::fence::WriteFence;
use stairstage_upgrade::records::VERSION;
use stairstage_upgrade::{ClusterVersion, Fence, VersionRange, VersionRecord};

/// The stamp of the record of the version that a controller has read.
const STAMP: u64 = 5;
/// The stamp of a newer one.
const LATER_STAMP: u64 = 9;

/// The record of the version, with this one active.
fn record(active: u32) -> VersionRecord {
    VersionRecord {
        active: ClusterVersion(active),
        since_ms: 0,
        held: false,
    }
}

/// The fence of a controller that has read that record.
fn write_fence(active: u32) -> WriteFence {
    let range = VersionRange::OF_THIS_RELEASE;
    WriteFence::Read(Fence::new(range, &record(active), STAMP))
}

/// A newer record, as the state service holds it.
fn item(active: u32) -> VersionedValue {
    VersionedValue {
        key: VERSION.into(),
        value: serde_json::to_value(record(active)).unwrap(),
        version: LATER_STAMP,
    }
}

/// The stamp that a transaction depends on.
fn stamp_in(transaction: &Transaction) -> Option<u64> {
    let condition = transaction.compares.iter().find(|c| c.key == VERSION);
    condition.map(|c| c.version)
}

/// A leader with a job that waits to be launched, and the first write for it.
fn leader_with_a_write() -> (ClusterManager, u64, Transaction) {
    let mut manager = manager();
    manager.set_write_fence(write_fence(1));
    heartbeat(&mut manager, 1, Vec::new(), 1.0);
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    let (id, transaction) = next_write(&mut manager, 1.0).expect("places are recorded");
    (manager, id, transaction)
}

/// The next write of a leader.
fn next_write(manager: &mut ClusterManager, now: f64) -> Option<(u64, Transaction)> {
    manager.tick(now);
    manager.step(now);
    manager
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Write { id, transaction } => Some((id, transaction)),
            _ => None,
        })
}

#[test]
fn a_leader_names_the_version_that_it_knows_in_what_it_writes() {
    let (_, _, transaction) = leader_with_a_write();
    assert_eq!(stamp_in(&transaction), Some(STAMP));
    assert!(transaction.compares.iter().any(|c| c.key == LEADER_KEY));
    let mut unstaged = manager();
    heartbeat(&mut unstaged, 1, Vec::new(), 1.0);
    submit(&mut unstaged, "req-1", "sweep", "normal", None, 1);
    let (_, transaction) = next_write(&mut unstaged, 1.0).unwrap();
    assert_eq!(stamp_in(&transaction), None);
}

#[test]
fn a_leader_goes_on_at_a_version_that_its_release_works_at() {
    let (mut manager, id, _) = leader_with_a_write();
    let reread = vec![(VERSION.to_string(), Some(item(2)))];
    manager.write_finished(id, WriteOutcome::Indeterminate(reread), 1.5);
    assert!(!manager.is_deposed());
    let (_, again) = next_write(&mut manager, 3.0).expect("it is written again");
    assert_eq!(stamp_in(&again), Some(LATER_STAMP));
}

#[test]
fn a_leader_resigns_at_a_version_beyond_its_release() {
    let (mut manager, id, _) = leader_with_a_write();
    let reread = vec![(VERSION.to_string(), Some(item(3)))];
    manager.write_finished(id, WriteOutcome::Indeterminate(reread), 1.5);
    assert!(manager.is_deposed());
}

#[test]
fn a_leader_resigns_at_a_version_that_it_cannot_read() {
    let (mut manager, id, _) = leader_with_a_write();
    let mut unreadable = item(2);
    unreadable.value = json!({"active": {"of": "another kind"}});
    let reread = vec![(VERSION.to_string(), Some(unreadable))];
    manager.write_finished(id, WriteOutcome::Indeterminate(reread), 1.5);
    assert!(manager.is_deposed());
}

#[test]
fn a_record_of_many_jobs_keeps_to_the_conditions_of_a_transaction() {
    let settings = Settings::parse("test", SETTINGS).unwrap();
    let most = COMPARES_PER_OPERATION * settings.cluster.state.max_operations();
    let mut manager = manager();
    manager.set_write_fence(write_fence(1));
    for machine in 0..most {
        let name = format!("m-{machine}");
        heartbeat_from(&mut manager, &name, 1, None, Vec::new(), 1.0);
    }
    for job in 0..2 * most {
        submit(
            &mut manager,
            &format!("req-{job}"),
            "sweep",
            "normal",
            None,
            job as u64,
        );
    }
    let (_, transaction) = next_write(&mut manager, 1.0).expect("places are recorded");
    assert_eq!(transaction.compares.len(), most);
}

/// The transaction that a request commits.
fn committed(effects: &[RequestEffect]) -> &Transaction {
    match effects {
        [RequestEffect::Store(StoreCall::Commit(transaction))] => transaction,
        other => panic!("{other:?}"),
    }
}

/// A transaction fails because the version was raised.
fn version_raised() -> RequestEvent {
    let failed = vec![VERSION.to_string()];
    RequestEvent::Store(StoreAnswer::Committed(CommitOutcome::Conflict(failed)))
}

/// Whether a user is asked to come back later.
fn is_turned_away(effects: &[RequestEffect]) -> bool {
    matches!(effects, [RequestEffect::Answer(answer)]
        if answer.status() == 503 && answer.retry_after().is_some())
}

#[test]
fn a_submission_at_an_old_version_is_turned_away_and_never_called_known() {
    let body = submission("req-1", "sweep", "normal", 4).to_string();
    let (mut request, effects) =
        Request::submission(body.as_bytes(), request_context(write_fence(1)));
    assert_eq!(stamp_in(committed(&effects)), Some(STAMP));
    let answer = request.on_event(version_raised());
    assert!(is_turned_away(&answer), "{answer:?}");
}

#[test]
fn a_cancellation_at_an_old_version_is_turned_away() {
    let (mut request, _) = Request::cancellation("req-1".into(), request_context(write_fence(1)));
    let mut store = Store::default();
    let body = submission("req-1", "sweep", "normal", 4);
    let open = json!({"spec": serde_json::to_value(parsed(&body)).unwrap(), "at_ms": 0});
    store.values.insert(open_key("req-1"), (open, 3));
    let read = StoreAnswer::Read(Ok(store.item(&open_key("req-1"))));
    let effects = request.on_event(RequestEvent::Store(read));
    assert_eq!(stamp_in(committed(&effects)), Some(STAMP));
    let answer = request.on_event(version_raised());
    assert!(is_turned_away(&answer), "{answer:?}");
}

/// A submission of a job that waits for another.
fn waiting_submission() -> String {
    let mut body = submission("req-2", "sweep", "normal", 4);
    body["waits_on"] = json!(["req-1"]);
    body.to_string()
}

#[test]
fn a_job_that_waits_is_taken_from_the_version_on_that_all_controllers_know() {
    let body = waiting_submission();
    let (_, closed) = Request::submission(body.as_bytes(), request_context(write_fence(1)));
    assert!(
        matches!(closed[..], [RequestEffect::Store(StoreCall::Read(_))]),
        "{closed:?}"
    );
    for open in [write_fence(2), WriteFence::Unstaged] {
        let (_, effects) = Request::submission(body.as_bytes(), request_context(open));
        let asks_for_needed = committed(&effects).compares.iter();
        let keys: Vec<&str> = asks_for_needed.map(|c| c.key.as_str()).collect();
        assert!(keys.contains(&open_key("req-1").as_str()), "{keys:?}");
    }
}

#[test]
fn a_job_that_waits_and_was_accepted_before_is_known_at_any_version() {
    let body = waiting_submission();
    let (mut request, _) = Request::submission(body.as_bytes(), request_context(write_fence(1)));
    request.on_event(RequestEvent::Store(StoreAnswer::Read(Ok(None))));
    let mut store = Store::default();
    let end = json!({"state": "done"});
    store.values.insert(final_state_key("req-2"), (end, 3));
    let read = StoreAnswer::Read(Ok(store.item(&final_state_key("req-2"))));
    let effects = request.on_event(RequestEvent::Store(read));
    let known =
        matches!(effects.last(), Some(RequestEffect::Answer(answer)) if answer.status() == 200);
    assert!(known, "{effects:?}");
}

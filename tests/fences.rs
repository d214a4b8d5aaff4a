//! Every transaction compares the version record that its writer has read, so that a write at an old
//! cluster version fails after a new version is activated.

mod common;

use common::{
    heartbeat, heartbeat_from, manager, parse_submission, request_context, submission, submit,
    Store, SETTINGS,
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
use stairstage_upgrade::records::VERSION_KEY;
use stairstage_upgrade::{ClusterVersion, Fence, VersionRange, VersionRecord};

/// The `mod_revision` of the version record that a controller has read.
const MOD_REVISION: u64 = 5;
/// The `mod_revision` of a newer version record.
const LATER_MOD_REVISION: u64 = 9;

/// A version record with this version active.
fn record(active: u32) -> VersionRecord {
    VersionRecord {
        active: ClusterVersion(active),
        since_ms: 0,
        held: false,
    }
}

/// The write fence of a controller that has read the record of this active version.
fn write_fence(active: u32) -> WriteFence {
    let range = VersionRange::OF_THIS_RELEASE;
    WriteFence::Read(Fence::new(range, &record(active), MOD_REVISION))
}

/// A newer version record as stored in the state service.
fn newer_item(active: u32) -> VersionedValue {
    VersionedValue {
        key: VERSION_KEY.into(),
        value: serde_json::to_value(record(active)).unwrap(),
        version: LATER_MOD_REVISION,
    }
}

/// The `mod_revision` of the version record that a transaction compares, if any.
fn compared_mod_revision(transaction: &Transaction) -> Option<u64> {
    let condition = transaction.compares.iter().find(|c| c.key == VERSION_KEY);
    condition.map(|c| c.version)
}

/// A leader with a pending job, and its first write, which records the placements of the job.
fn leader_with_a_write() -> (ClusterManager, u64, Transaction) {
    let mut manager = manager();
    manager.set_write_fence(write_fence(1));
    heartbeat(&mut manager, 1, Vec::new(), 1.0);
    submit(&mut manager, "req-1", "sweep", "normal", None, 1);
    let (id, transaction) = next_write(&mut manager, 1.0).expect("the placements are written");
    (manager, id, transaction)
}

/// The next write of a leader, if any.
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
fn writes_of_leader_compare_the_version_record_that_it_has_read() {
    let (_, _, transaction) = leader_with_a_write();
    assert_eq!(compared_mod_revision(&transaction), Some(MOD_REVISION));
    assert!(transaction.compares.iter().any(|c| c.key == LEADER_KEY));
    let mut unstaged = manager();
    heartbeat(&mut unstaged, 1, Vec::new(), 1.0);
    submit(&mut unstaged, "req-1", "sweep", "normal", None, 1);
    let (_, transaction) = next_write(&mut unstaged, 1.0).unwrap();
    assert_eq!(compared_mod_revision(&transaction), None);
}

#[test]
fn leader_retries_write_at_new_version_that_its_release_supports() {
    let (mut manager, id, _) = leader_with_a_write();
    let reread = vec![(VERSION_KEY.to_string(), Some(newer_item(2)))];
    manager.write_finished(id, WriteOutcome::Indeterminate(reread), 1.5);
    assert!(!manager.has_stepped_down());
    let (_, retried) = next_write(&mut manager, 3.0).expect("the write is retried");
    assert_eq!(compared_mod_revision(&retried), Some(LATER_MOD_REVISION));
}

#[test]
fn leader_steps_down_at_version_that_its_release_does_not_support() {
    let (mut manager, id, _) = leader_with_a_write();
    let reread = vec![(VERSION_KEY.to_string(), Some(newer_item(3)))];
    manager.write_finished(id, WriteOutcome::Indeterminate(reread), 1.5);
    assert!(manager.has_stepped_down());
}

#[test]
fn leader_steps_down_when_version_record_cannot_be_decoded() {
    let (mut manager, id, _) = leader_with_a_write();
    let mut unreadable = newer_item(2);
    unreadable.value = json!({"active": {"of": "another kind"}});
    let reread = vec![(VERSION_KEY.to_string(), Some(unreadable))];
    manager.write_finished(id, WriteOutcome::Indeterminate(reread), 1.5);
    assert!(manager.has_stepped_down());
}

#[test]
fn write_for_many_jobs_respects_limit_of_compares_per_transaction() {
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
    let (_, transaction) = next_write(&mut manager, 1.0).expect("the placements are written");
    assert_eq!(transaction.compares.len(), most);
}

/// The transaction that a request commits as its only effect.
fn committed(effects: &[RequestEffect]) -> &Transaction {
    match effects {
        [RequestEffect::Store(StoreCall::Commit(transaction))] => transaction,
        other => panic!("{other:?}"),
    }
}

/// The event that a transaction failed because a new version was activated.
fn version_conflict() -> RequestEvent {
    let failed = vec![VERSION_KEY.to_string()];
    RequestEvent::Store(StoreAnswer::Committed(CommitOutcome::Conflict(failed)))
}

/// Whether a request is rejected with Retry-After.
fn is_rejected(effects: &[RequestEffect]) -> bool {
    matches!(effects, [RequestEffect::Answer(answer)]
        if answer.status() == 503 && answer.retry_after().is_some())
}

#[test]
fn submission_at_old_version_is_rejected_and_not_reported_as_accepted() {
    let body = submission("req-1", "sweep", "normal", 4).to_string();
    let (mut request, effects) =
        Request::submission(body.as_bytes(), request_context(write_fence(1)));
    assert_eq!(
        compared_mod_revision(committed(&effects)),
        Some(MOD_REVISION)
    );
    let answer = request.on_event(version_conflict());
    assert!(is_rejected(&answer), "{answer:?}");
}

#[test]
fn cancellation_at_old_version_is_rejected() {
    let (mut request, _) = Request::cancellation("req-1".into(), request_context(write_fence(1)));
    let mut store = Store::default();
    let body = submission("req-1", "sweep", "normal", 4);
    let open = json!({"spec": serde_json::to_value(parse_submission(&body)).unwrap(), "at_ms": 0});
    store.values.insert(open_key("req-1"), (open, 3));
    let read = StoreAnswer::Read(Ok(store.get(&open_key("req-1"))));
    let effects = request.on_event(RequestEvent::Store(read));
    assert_eq!(
        compared_mod_revision(committed(&effects)),
        Some(MOD_REVISION)
    );
    let answer = request.on_event(version_conflict());
    assert!(is_rejected(&answer), "{answer:?}");
}

/// A submission of a job with a dependency.
fn dependent_submission() -> String {
    let mut body = submission("req-2", "sweep", "normal", 4);
    body["waits_on"] = json!(["req-1"]);
    body.to_string()
}

#[test]
fn dependent_job_is_accepted_only_when_its_feature_gate_is_open() {
    let body = dependent_submission();
    let (_, closed) = Request::submission(body.as_bytes(), request_context(write_fence(1)));
    assert!(
        matches!(closed[..], [RequestEffect::Store(StoreCall::Read(_))]),
        "{closed:?}"
    );
    for open in [write_fence(2), WriteFence::Unstaged] {
        let (_, effects) = Request::submission(body.as_bytes(), request_context(open));
        let compares = committed(&effects).compares.iter();
        let keys: Vec<&str> = compares.map(|c| c.key.as_str()).collect();
        assert!(keys.contains(&open_key("req-1").as_str()), "{keys:?}");
    }
}

#[test]
fn resubmitted_dependent_job_is_recognized_at_old_version() {
    let body = dependent_submission();
    let (mut request, _) = Request::submission(body.as_bytes(), request_context(write_fence(1)));
    request.on_event(RequestEvent::Store(StoreAnswer::Read(Ok(None))));
    let mut store = Store::default();
    let final_state = json!({"state": "done"});
    store
        .values
        .insert(final_state_key("req-2"), (final_state, 3));
    let read = StoreAnswer::Read(Ok(store.get(&final_state_key("req-2"))));
    let effects = request.on_event(RequestEvent::Store(read));
    let accepted =
        matches!(effects.last(), Some(RequestEffect::Answer(answer)) if answer.status() == 200);
    assert!(accepted, "{effects:?}");
}

//! Compatibility of stored records between the release in production and this one, and limits of the
//! state service that are lowered while the cluster runs.

mod common;

use common::{
    for_each_effect, heartbeat, machine_type, manager, parse_submission, started_attempts, starts,
    submission, task_statuses, worker_heartbeat, AttemptId, CommitError, Store, SETTINGS,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};
use stairstage::coordination::cluster::{CommandOutcome, Effect, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::coordination::state::{AllocationId, Placement, PlacementRecord};
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::job::JobState;
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::{Cause, TaskState};
use stairstage::settings::Settings;
use stairstage::storage::records::{
    final_state_key, open_key, parse_completion_key, CompletionShards, FinalStateRecord,
    OpenRecord, StoredCompletions, StoredPlacements, COMPLETION_PREFIX, EMPTY_RECORD_BYTES,
    LEADER_KEY, PLACEMENT_PREFIX,
};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The number of tasks of the array whose completions are recorded.
const TASKS: u32 = 90;

/// A key-value store without a limit on the size of values.
fn unbounded() -> Store {
    Store {
        value_bytes: usize::MAX,
        ..Store::default()
    }
}

/// A leader whose records are limited to `value_kb`.
fn leader(store: &mut Store, value_kb: f64, now: f64) -> ClusterManager {
    let text = SETTINGS.replace("value_kb = 16.0", &format!("value_kb = {value_kb}"));
    let settings = Arc::new(Settings::parse("test", &text).unwrap());
    let txn = Transaction::default().put(LEADER_KEY, json!({"node": "a"}));
    store.value_bytes = usize::MAX;
    let token = store.commit(&txn).unwrap();
    let mut manager = ClusterManager::new(settings, FencingToken(token), now);
    manager.set_machine_types(vec![machine_type()]);
    manager.set_lease_valid_until(f64::INFINITY);
    manager.recover(store.records(), 0, now);
    store.value_bytes = (value_kb * 1024.0) as usize;
    manager
}

/// Executes effects; at most `max_writes` writes are applied, and later ones have no response.
fn execute_effects(manager: &mut ClusterManager, store: &mut Store, now: f64, max_writes: usize) {
    let mut writes = 0;
    for_each_effect(manager, now, |manager, effect| match effect {
        Effect::Write { id, transaction } if writes < max_writes => {
            writes += 1;
            let written = match store.commit(&transaction) {
                Ok(revision) => WriteOutcome::Applied(revision),
                Err(CommitError::Conflict) => store.indeterminate_outcome(&transaction),
                Err(CommitError::TooLarge) => panic!("too large: {transaction:?}"),
            };
            manager.write_finished(id, written, now);
        }
        Effect::SendCommands { machine, .. } => {
            manager.commands_finished(&machine, CommandOutcome::Indeterminate, now);
        }
        _ => {}
    });
}

/// Each of `machines` machines sends its first heartbeat, without tasks.
fn receive_first_heartbeats(manager: &mut ClusterManager, machines: usize, now: f64) {
    for i in 0..machines {
        let heartbeat = worker_heartbeat(&format!("m-{i}"), 1, manager.token().0, vec![]);
        manager.heartbeat(&heartbeat, now);
    }
}

/// Stores the record of an accepted array.
fn accept(store: &mut Store, id: &str, tasks: u32) {
    let spec = parse_submission(&submission(id, "sweep", "normal", tasks));
    let record = OpenRecord::accepted(spec, 0);
    let value = serde_json::to_value(&record).unwrap();
    let txn = Transaction::default().put(open_key(id), value);
    store.commit(&txn).unwrap();
}

/// All placements in the stored records, as job, machine and task.
fn stored_placements(store: &Store) -> BTreeSet<(String, String, u32)> {
    let mut all = BTreeSet::new();
    for item in store.with_prefix(PLACEMENT_PREFIX) {
        let record: StoredPlacements = serde_json::from_value(item.value).unwrap();
        for (id, machines) in record.allocations {
            for (machine, tasks) in machines {
                let placement = |(task, _): (u32, u64)| (id.clone(), machine.clone(), task);
                all.extend(tasks.into_iter().map(placement));
            }
        }
    }
    all
}

/// A term of a leader: the limit of its records in KB, how many of its writes are applied, and which
/// tasks complete.
type Term = (f64, usize, BTreeSet<u32>);

/// Generates the terms of successive leaders.
fn terms() -> impl Strategy<Value = Vec<Term>> {
    let sizes = prop::sample::select(vec![0.1, 0.13, 0.25, 0.6, 2.0, 16.0]);
    let tasks = prop::collection::btree_set(0..TASKS, 0..30);
    prop::collection::vec((sizes, 0usize..12, tasks), 2..7)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn recorded_completions_are_kept_whatever_the_record_size(terms in terms(), production in 0usize..7) {
        let mut store = unbounded();
        accept(&mut store, "req-1", TASKS);
        let recorded = |store: &Store| -> BTreeSet<u32> {
            let mut done = BTreeSet::new();
            for item in store.with_prefix(COMPLETION_PREFIX) {
                let record: StoredCompletions = serde_json::from_value(item.value).unwrap();
                done.extend(record.done.iter().flat_map(|(first, last)| *first..=*last));
            }
            done
        };
        let mut now = 0.0;
        for (i, (value_kb, writes, done)) in terms.into_iter().enumerate() {
            if i == production {
                store.rewrite_as_production_release(32);
            }
            let before = recorded(&store);
            let mut manager = leader(&mut store, value_kb, now);
            prop_assert_eq!(manager.status("req-1").unwrap().done as usize, before.len());
            let done: Vec<AttemptId> = done.iter().map(|t| AttemptId::new(&format!("req-1/{t}"), 1)).collect();
            let tasks = task_statuses(&done, TaskState::Exited, Some(Cause::Done));
            manager.heartbeat(&worker_heartbeat("m-1", 1 + i as u64, 1, tasks), now);
            // Long enough for the write of a completion record to be due, even with a small write budget.
            now += 60.0;
            execute_effects(&mut manager, &mut store, now, writes);
            prop_assert!(recorded(&store).is_superset(&before));
        }
        let mut manager = leader(&mut store, 2.0, now);
        let rest: Vec<AttemptId> = (0..TASKS).map(|t| AttemptId::new(&format!("req-1/{t}"), 1)).collect();
        let tasks = task_statuses(&rest, TaskState::Exited, Some(Cause::Done));
        manager.heartbeat(&worker_heartbeat("m-1", 99, 1, tasks), now);
        now += 1.0;
        execute_effects(&mut manager, &mut store, now, usize::MAX);
        now += 60.0;
        execute_effects(&mut manager, &mut store, now, usize::MAX);
        prop_assert!(store.get(&final_state_key("req-1")).is_some(), "no final state is recorded");
        let left = store.with_prefix(COMPLETION_PREFIX);
        prop_assert!(left.is_empty(), "completion records are left: {left:?}");
    }

    #[test]
    fn placements_stay_recorded_while_leaders_change_the_record_size(terms in terms(), production in 0usize..7) {
        let mut store = unbounded();
        for id in ["req-1", "req-2", "req-3"] {
            accept(&mut store, id, 12);
        }
        // A leader with large records places all tasks.
        let mut now = 0.0;
        let mut manager = leader(&mut store, 16.0, now);
        receive_first_heartbeats(&mut manager, 9, now);
        execute_effects(&mut manager, &mut store, now, usize::MAX);
        let placed = stored_placements(&store);
        prop_assert_eq!(placed.len(), 36);
        for (i, (value_kb, writes, _)) in terms.into_iter().enumerate() {
            if i == production {
                store.rewrite_as_production_release(2048);
            }
            let mut manager = leader(&mut store, value_kb, now);
            for _ in 0..writes {
                now += 10.0;
                execute_effects(&mut manager, &mut store, now, 1);
                // Without heartbeats no task is known to have exited, so no placement may be deleted.
                prop_assert_eq!(&stored_placements(&store), &placed);
            }
        }
    }
}

#[test]
fn leader_with_smaller_limit_rewrites_all_large_records() {
    let mut store = unbounded();
    accept(&mut store, "req-1", 36);
    let mut manager = leader(&mut store, 16.0, 0.0);
    receive_first_heartbeats(&mut manager, 9, 0.0);
    execute_effects(&mut manager, &mut store, 0.0, usize::MAX);
    let mut manager = leader(&mut store, 0.25, 0.0);
    for second in 0..60 {
        execute_effects(&mut manager, &mut store, f64::from(second), usize::MAX);
    }
    let large = store.with_prefix(PLACEMENT_PREFIX).into_iter();
    let large = large.filter(|i| i.value.to_string().len() > 256).count();
    assert_eq!((large, stored_placements(&store).len()), (0, 36));
}

#[test]
fn write_that_is_too_large_is_split() {
    let mut store = unbounded();
    accept(&mut store, "req-1", 36);
    accept(&mut store, "req-2", 1);
    let mut manager = leader(&mut store, 16.0, 0.0);
    receive_first_heartbeats(&mut manager, 10, 0.0);
    // The state service accepts far smaller writes than the current and the next limits in the settings.
    (store.value_bytes, store.txn_ops) = (300, 2);
    let mut launched = BTreeSet::new();
    for tenth in 0..100 {
        let now = f64::from(tenth) / 10.0;
        for_each_effect(&mut manager, now, |manager, effect| match effect {
            Effect::Write { id, transaction } => {
                let written = match store.commit(&transaction) {
                    Ok(revision) => WriteOutcome::Applied(revision),
                    Err(CommitError::Conflict) => store.indeterminate_outcome(&transaction),
                    Err(CommitError::TooLarge) => WriteOutcome::TooLarge,
                };
                manager.write_finished(id, written, now);
            }
            Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } => {
                launched.extend(starts(&batch.commands).into_iter().map(|s| s.task));
                let known = worker_heartbeat(&machine, 0, 1, vec![]);
                manager.commands_finished(&machine, CommandOutcome::Executed(known), now);
            }
            _ => {}
        });
    }
    assert_eq!(launched.len(), 37);
}

/// Records as the release in production writes them.
const OPEN_RECORD: &str = r#"{"spec":{"name_id":"req-000412","duty":"train","crew":"vision",
    "rig":"group","precedence":"urgent","legs":16,"cpus":8.0,"gpus":1.0,"mem_gb":64.0,
    "kit":"img-07","size_gb":6.2,"hulls":["g8"],"berth":null,"same_place":true,"spread":false,
    "driftwood":true,"passage_s":240.0,"fix_interval_s":30.0,"fix_s":4.0,"due_s":900.0},
    "at_ms":1700000000000,"cancelled":false}"#;
const FINAL_STATE_RECORD: &str = r#"{"state":"done"}"#;
const COMPLETION_RECORD: &str = r#"{"d":[[0,3],[7,7]]}"#;
const PLACEMENT_RECORD: &str = r#"{"p":{"req-000412":{"m-000231":[[4,1048577],[5,1048577]]}}}"#;

#[test]
fn records_of_production_release_are_decoded_and_encoded_unchanged() {
    let open: OpenRecord = serde_json::from_str(OPEN_RECORD).unwrap();
    assert!(open.spec.waits_on.is_empty() && !open.cancelled);
    // Without new features the encoding is the same, so the release in production can read it.
    let written = serde_json::to_value(&open).unwrap();
    assert_eq!(written, serde_json::from_str::<Value>(OPEN_RECORD).unwrap());
    let final_state: FinalStateRecord = serde_json::from_str(FINAL_STATE_RECORD).unwrap();
    assert_eq!(
        (final_state.state, final_state.at_ms),
        (JobState::Done, None)
    );
    let completions: StoredCompletions = serde_json::from_str(COMPLETION_RECORD).unwrap();
    assert_eq!(completions.done, [(0, 3), (7, 7)]);
    assert_eq!(parse_completion_key("run/req-1/0"), Some(("req-1", 0)));
    assert_eq!(
        CompletionShards {
            tasks_per_shard: 2048
        }
        .shard_index(0),
        None,
        "records of the old sharding are not written"
    );
    let placements: StoredPlacements = serde_json::from_str(PLACEMENT_RECORD).unwrap();
    assert_eq!(
        serde_json::to_value(&placements).unwrap(),
        serde_json::from_str::<Value>(PLACEMENT_RECORD).unwrap()
    );
}

#[test]
fn dependent_job_stays_pending_under_production_release() {
    let mut record: OpenRecord = serde_json::from_str(OPEN_RECORD).unwrap();
    record.spec.waits_on = vec!["req-000398".into()];
    let written = serde_json::to_value(&record).unwrap();
    // The release in production ignores unknown fields. An empty list of machine types matches no machine,
    // so that release does not start the job.
    assert_eq!(written["spec"]["hulls"], json!([]));
    assert!(written["spec"].get("waits_on").is_none());
    let mut names: Vec<&String> = written["spec"].as_object().unwrap().keys().collect();
    let known: Value = serde_json::from_str(OPEN_RECORD).unwrap();
    names.retain(|n| known["spec"].get(*n).is_none());
    assert!(names.is_empty(), "{names:?}");
    let back: OpenRecord = serde_json::from_value(written).unwrap();
    assert_eq!(back, record);
}

#[test]
fn cancellation_by_production_release_holds_though_it_drops_unknown_fields() {
    let mut record: OpenRecord = serde_json::from_str(OPEN_RECORD).unwrap();
    record.spec.waits_on = vec!["req-000398".into()];
    let mut written = serde_json::to_value(&record).unwrap();
    written["cancelled"] = json!(true);
    written.as_object_mut().unwrap().remove("waits");
    let back: OpenRecord = serde_json::from_value(written).unwrap();
    let mut manager = manager();
    heartbeat(&mut manager, 1, vec![], 0.0);
    manager.job_accepted(back, 5, 0, 0.0);
    assert!(started_attempts(&mut manager, 0.0).is_empty());
    assert_eq!(
        manager.status("req-000412").map(|s| s.state),
        None,
        "its final state is recorded"
    );
}

#[test]
fn largest_job_of_production_release_can_be_cancelled_under_lower_limits() {
    let text = |n: usize| "\u{1}".repeat(n);
    let mut body = submission("req-1", "sweep", "normal", 100_000);
    body["duty"] = json!(text(150));
    body["kit"] = json!(text(150));
    body["berth"] = json!(text(150));
    body["hulls"] = json!(vec![text(150); 60]);
    let record = OpenRecord::accepted(parse_submission(&body), u64::MAX);
    assert!(record.bytes() > 16 * 1024);
    let bound = 2048 * 85 / 100;
    let cancelled = record.into_cancelled(bound);
    assert!(cancelled.bytes() <= bound, "{}", cancelled.bytes());
    let value = serde_json::to_value(&cancelled).unwrap();
    let back: OpenRecord = serde_json::from_value(value).unwrap();
    assert!(back.cancelled);
    assert_eq!((&*back.spec.id, back.spec.tasks), ("req-1", 100_000));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn encoded_records_are_not_larger_than_their_computed_size(
        entries in prop::collection::vec(("[a-z\"\\\\\u{1}-]{1,30}", 0u32..100_000, any::<u64>(), "[a-z0-9\"-]{1,30}"), 1..40),
        done in prop::collection::btree_set(0u32..100_000, 0..200),
    ) {
        let mut placement_record = PlacementRecord::default();
        let mut record = StoredPlacements::default();
        for (id, task, attempt, machine) in &entries {
            let allocation = AllocationId::new((&**id).into(), *task, *attempt);
            placement_record.insert(Placement { allocation, machine: (&**machine).into() });
        }
        for Placement { allocation: AllocationId { job: id, task, attempt }, machine } in placement_record.placements() {
            let machines = record.allocations.entry(id.to_string()).or_default();
            machines.entry(machine.to_string()).or_default().push((*task, *attempt));
        }
        let bytes = serde_json::to_string(&record).unwrap().len();
        prop_assert!(bytes <= placement_record.bytes(), "{} of {}", bytes, placement_record.bytes());
        let all: Vec<_> = placement_record.placements().iter().cloned().collect();
        for entry in &all {
            prop_assert!(placement_record.remove(entry));
        }
        prop_assert_eq!(placement_record.bytes(), EMPTY_RECORD_BYTES);
        let mut completions = StoredCompletions::default();
        done.iter().for_each(|t| completions.push_done(*t));
        prop_assert!(serde_json::to_string(&completions).unwrap().len() <= completions.bytes());
    }

    #[test]
    fn full_completion_record_fits_the_size_limit(bytes in 100usize..20_000) {
        let shards = CompletionShards::within(bytes);
        let mut completions = StoredCompletions::default();
        let first = 99_999 - 2 * (shards.tasks_per_shard as u32 / 2);
        (0..shards.tasks_per_shard as u32 / 2).for_each(|i| completions.push_done(first + 2 * i));
        prop_assert!(serde_json::to_string(&completions).unwrap().len() <= bytes);
    }
}

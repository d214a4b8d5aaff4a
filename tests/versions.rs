//! The version in production and this one on each other's records, and limits of the state service
//! that fall at any moment.

mod common;

use common::{
    each_effect, heartbeat, launched, machine_type, manager, parsed, shown, starts, submission,
    worker_heartbeat, AttemptId, Refusal, Store, SETTINGS,
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

/// Tasks of the array whose completions are recorded.
const TASKS: u32 = 90;

/// A state service that takes values of any size.
fn unbounded() -> Store {
    Store {
        value_bytes: usize::MAX,
        ..Store::default()
    }
}

/// A leader whose records may be so large.
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

/// Carries effects out; at most so many writes are applied before the leader ends.
fn work(manager: &mut ClusterManager, store: &mut Store, now: f64, most_writes: usize) {
    let mut writes = 0;
    each_effect(manager, now, |manager, effect| match effect {
        Effect::Write { id, transaction } if writes < most_writes => {
            writes += 1;
            let written = match store.commit(&transaction) {
                Ok(revision) => WriteOutcome::Applied(revision),
                Err(Refusal::Conflict) => store.reread(&transaction),
                Err(Refusal::TooLarge) => panic!("too large: {transaction:?}"),
            };
            manager.write_finished(id, written, now);
        }
        Effect::SendCommands { machine, .. } => {
            manager.commands_answered(&machine, CommandOutcome::Unknown, now);
        }
        _ => {}
    });
}

/// So many machines report for the first time, with nothing on them.
fn receive_first_heartbeats(manager: &mut ClusterManager, machines: usize, now: f64) {
    for i in 0..machines {
        let heartbeat = worker_heartbeat(&format!("m-{i}"), 1, manager.token().0, vec![]);
        manager.heartbeat(&heartbeat, now);
    }
}

/// An array is accepted.
fn accept(store: &mut Store, id: &str, tasks: u32) {
    let spec = parsed(&submission(id, "sweep", "normal", tasks));
    let record = OpenRecord::accepted(spec, 0);
    let value = serde_json::to_value(&record).unwrap();
    let txn = Transaction::default().put(open_key(id), value);
    store.commit(&txn).unwrap();
}

/// Every place that any record tells of.
fn places(store: &Store) -> BTreeSet<(String, String, u32)> {
    let mut all = BTreeSet::new();
    for item in store.under(PLACEMENT_PREFIX) {
        let record: StoredPlacements = serde_json::from_value(item.value).unwrap();
        for (id, machines) in record.allocations {
            for (machine, tasks) in machines {
                let place = |(task, _): (u32, u64)| (id.clone(), machine.clone(), task);
                all.extend(tasks.into_iter().map(place));
            }
        }
    }
    all
}

/// What each leader of a history does: the size of its records, how many of its writes are applied,
/// and which tasks complete under it.
type Term = (f64, usize, BTreeSet<u32>);

/// A few leaders, one after the other.
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
    fn what_is_recorded_as_complete_stays_so_in_any_cut(terms in terms(), production in 0usize..7) {
        let mut store = unbounded();
        accept(&mut store, "req-1", TASKS);
        let recorded = |store: &Store| -> BTreeSet<u32> {
            let mut done = BTreeSet::new();
            for item in store.under(COMPLETION_PREFIX) {
                let record: StoredCompletions = serde_json::from_value(item.value).unwrap();
                done.extend(record.done.iter().flat_map(|(first, last)| *first..=*last));
            }
            done
        };
        let mut now = 0.0;
        for (i, (value_kb, writes, done)) in terms.into_iter().enumerate() {
            if i == production {
                store.led_by_production(32);
            }
            let before = recorded(&store);
            let mut manager = leader(&mut store, value_kb, now);
            prop_assert_eq!(manager.status("req-1").unwrap().done as usize, before.len());
            let done: Vec<AttemptId> = done.iter().map(|t| AttemptId::new(&format!("req-1/{t}"), 1)).collect();
            let tasks = shown(&done, TaskState::Exited, Some(Cause::Done));
            manager.heartbeat(&worker_heartbeat("m-1", 1 + i as u64, 1, tasks), now);
            // Long enough for a record of what completes to be due, however scarce the budget.
            now += 60.0;
            work(&mut manager, &mut store, now, writes);
            prop_assert!(recorded(&store).is_superset(&before));
        }
        let mut manager = leader(&mut store, 2.0, now);
        let rest: Vec<AttemptId> = (0..TASKS).map(|t| AttemptId::new(&format!("req-1/{t}"), 1)).collect();
        let tasks = shown(&rest, TaskState::Exited, Some(Cause::Done));
        manager.heartbeat(&worker_heartbeat("m-1", 99, 1, tasks), now);
        now += 1.0;
        work(&mut manager, &mut store, now, usize::MAX);
        now += 60.0;
        work(&mut manager, &mut store, now, usize::MAX);
        prop_assert!(store.item(&final_state_key("req-1")).is_some(), "it ends");
        let left = store.under(COMPLETION_PREFIX);
        prop_assert!(left.is_empty(), "no record of it is left: {left:?}");
    }

    #[test]
    fn a_place_is_on_record_while_any_leader_cuts_the_records_anew(terms in terms(), production in 0usize..7) {
        let mut store = unbounded();
        for id in ["req-1", "req-2", "req-3"] {
            accept(&mut store, id, 12);
        }
        // A leader with large records places everything.
        let mut now = 0.0;
        let mut manager = leader(&mut store, 16.0, now);
        receive_first_heartbeats(&mut manager, 9, now);
        work(&mut manager, &mut store, now, usize::MAX);
        let placed = places(&store);
        prop_assert_eq!(placed.len(), 36);
        for (i, (value_kb, writes, _)) in terms.into_iter().enumerate() {
            if i == production {
                store.led_by_production(2048);
            }
            let mut manager = leader(&mut store, value_kb, now);
            for _ in 0..writes {
                now += 10.0;
                work(&mut manager, &mut store, now, 1);
                // No worker was heard: nothing is proven gone, and so nothing may be forgotten.
                prop_assert_eq!(&places(&store), &placed);
            }
        }
    }
}

#[test]
fn a_leader_with_small_records_comes_to_write_them_all() {
    let mut store = unbounded();
    accept(&mut store, "req-1", 36);
    let mut manager = leader(&mut store, 16.0, 0.0);
    receive_first_heartbeats(&mut manager, 9, 0.0);
    work(&mut manager, &mut store, 0.0, usize::MAX);
    let mut manager = leader(&mut store, 0.25, 0.0);
    for second in 0..60 {
        work(&mut manager, &mut store, f64::from(second), usize::MAX);
    }
    let large = store.under(PLACEMENT_PREFIX).into_iter();
    let large = large.filter(|i| i.value.to_string().len() > 256).count();
    assert_eq!((large, places(&store).len()), (0, 36));
}

#[test]
fn a_write_that_is_larger_than_the_service_takes_is_cut_smaller() {
    let mut store = unbounded();
    accept(&mut store, "req-1", 36);
    accept(&mut store, "req-2", 1);
    let mut manager = leader(&mut store, 16.0, 0.0);
    receive_first_heartbeats(&mut manager, 10, 0.0);
    // It takes far less than the settings say, of now and of later.
    (store.value_bytes, store.txn_ops) = (300, 2);
    let mut launched = BTreeSet::new();
    for tenth in 0..100 {
        let now = f64::from(tenth) / 10.0;
        each_effect(&mut manager, now, |manager, effect| match effect {
            Effect::Write { id, transaction } => {
                let written = match store.commit(&transaction) {
                    Ok(revision) => WriteOutcome::Applied(revision),
                    Err(Refusal::Conflict) => store.reread(&transaction),
                    Err(Refusal::TooLarge) => WriteOutcome::TooLarge,
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
                manager.commands_answered(&machine, CommandOutcome::Executed(known), now);
            }
            _ => {}
        });
    }
    assert_eq!(launched.len(), 37);
}

/// Records as the version in production has written them.
const OPEN_RECORD: &str = r#"{"spec":{"name_id":"req-000412","duty":"train","crew":"vision",
    "rig":"group","precedence":"urgent","legs":16,"cpus":8.0,"gpus":1.0,"mem_gb":64.0,
    "kit":"img-07","size_gb":6.2,"hulls":["g8"],"berth":null,"same_place":true,"spread":false,
    "driftwood":true,"passage_s":240.0,"fix_interval_s":30.0,"fix_s":4.0,"due_s":900.0},
    "at_ms":1700000000000,"cancelled":false}"#;
const END_RECORD: &str = r#"{"state":"done"}"#;
const RUN_RECORD: &str = r#"{"d":[[0,3],[7,7]]}"#;
const PLACE_RECORD: &str = r#"{"p":{"req-000412":{"m-000231":[[4,1048577],[5,1048577]]}}}"#;

#[test]
fn what_production_has_written_is_read_and_carried_on() {
    let open: OpenRecord = serde_json::from_str(OPEN_RECORD).unwrap();
    assert!(open.spec.waits_on.is_empty() && !open.cancelled);
    // Where nothing is new, nothing changes: production reads what is written now.
    let written = serde_json::to_value(&open).unwrap();
    assert_eq!(written, serde_json::from_str::<Value>(OPEN_RECORD).unwrap());
    let end: FinalStateRecord = serde_json::from_str(END_RECORD).unwrap();
    assert_eq!((end.state, end.at_ms), (JobState::Done, None));
    let run: StoredCompletions = serde_json::from_str(RUN_RECORD).unwrap();
    assert_eq!(run.done, [(0, 3), (7, 7)]);
    assert_eq!(parse_completion_key("run/req-1/0"), Some(("req-1", 0)));
    assert_eq!(
        CompletionShards {
            tasks_per_shard: 2048
        }
        .shard_index(0),
        None,
        "never written anew"
    );
    let places: StoredPlacements = serde_json::from_str(PLACE_RECORD).unwrap();
    assert_eq!(
        serde_json::to_value(&places).unwrap(),
        serde_json::from_str::<Value>(PLACE_RECORD).unwrap()
    );
}

#[test]
fn what_production_reads_of_a_job_that_waits_keeps_it_pending() {
    let mut record: OpenRecord = serde_json::from_str(OPEN_RECORD).unwrap();
    record.spec.waits_on = vec!["req-000398".into()];
    let written = serde_json::to_value(&record).unwrap();
    // Fields that it does not know are ignored; no machine is of a type that the list names.
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
fn a_job_that_production_cancels_is_cancelled_though_it_drops_what_it_does_not_know() {
    let mut record: OpenRecord = serde_json::from_str(OPEN_RECORD).unwrap();
    record.spec.waits_on = vec!["req-000398".into()];
    let mut written = serde_json::to_value(&record).unwrap();
    written["cancelled"] = json!(true);
    written.as_object_mut().unwrap().remove("waits");
    let back: OpenRecord = serde_json::from_value(written).unwrap();
    let mut manager = manager();
    heartbeat(&mut manager, 1, vec![], 0.0);
    manager.job_accepted(back, 5, 0, 0.0);
    assert!(launched(&mut manager, 0.0).is_empty());
    assert_eq!(
        manager.status("req-000412").map(|s| s.state),
        None,
        "its end is recorded"
    );
}

#[test]
fn the_longest_description_that_production_took_can_be_cancelled_under_the_new_limits() {
    let text = |n: usize| "\u{1}".repeat(n);
    let mut body = submission("req-1", "sweep", "normal", 100_000);
    body["duty"] = json!(text(150));
    body["kit"] = json!(text(150));
    body["berth"] = json!(text(150));
    body["hulls"] = json!(vec![text(150); 60]);
    let record = OpenRecord::accepted(parsed(&body), u64::MAX);
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
    fn records_are_never_larger_than_they_were_counted(
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
        let mut run = StoredCompletions::default();
        done.iter().for_each(|t| run.push_done(*t));
        prop_assert!(serde_json::to_string(&run).unwrap().len() <= run.bytes());
    }

    #[test]
    fn a_full_record_of_completed_tasks_fits(bytes in 100usize..20_000) {
        let cut = CompletionShards::within(bytes);
        let mut run = StoredCompletions::default();
        let first = 99_999 - 2 * (cut.tasks_per_shard as u32 / 2);
        (0..cut.tasks_per_shard as u32 / 2).for_each(|i| run.push_done(first + 2 * i));
        prop_assert!(serde_json::to_string(&run).unwrap().len() <= bytes);
    }
}

//! Late heartbeats of a worker's earlier incarnations at a new leader.

mod common;

use common::{
    heartbeat_starts, machine_type, parse_submission, started_attempts, submission, task_statuses,
    worker_heartbeat, AttemptId, Store, SETTINGS,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::ids::{FencingToken, Incarnation};
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::{Heartbeat, TaskState};
use stairstage::settings::Settings;
use stairstage::storage::records::{open_key, placement_key, OpenRecord, StoredPlacements};
use std::collections::BTreeMap;
use std::sync::Arc;

const JOB: &str = "req-1";
const TASK: &str = "req-1/0";
/// The attempt that runs on the machine when the new leader is elected.
const ATTEMPT: u64 = 7;
/// The first token of the new leader; earlier leaders had lower ones.
const TOKEN: u64 = 100;
/// The worker's incarnation when the new leader is elected.
const PRESENT_INCARNATION: u64 = 3;

/// The store as an earlier leader left it: the only task of the job is recorded on `m-1`.
fn store_with_placement() -> Store {
    let spec = parse_submission(&submission(JOB, "sweep", "normal", 1));
    let open = serde_json::to_value(OpenRecord::accepted(spec, 0)).unwrap();
    let on_machine = BTreeMap::from([("m-1".to_string(), vec![(0, ATTEMPT)])]);
    let placements = StoredPlacements {
        allocations: BTreeMap::from([(JOB.to_string(), on_machine)]),
    };
    let txn = Transaction::default()
        .put(open_key(JOB), open)
        .put(placement_key(0), json!(placements));
    let mut store = Store::default();
    store.commit(&txn).unwrap();
    store
}

/// A new leader that has read the records, with the idle machine `m-2`, on which the task fits.
fn new_leader() -> ClusterManager {
    let settings = Arc::new(Settings::parse("test", SETTINGS).unwrap());
    let mut manager = ClusterManager::new(settings, FencingToken(TOKEN), 0.0);
    manager.set_lease_valid_until(f64::INFINITY);
    manager.set_machine_types(vec![machine_type()]);
    manager.recover(store_with_placement().records(), 0, 0.0);
    manager.heartbeat(&worker_heartbeat("m-2", 1, TOKEN, vec![]), 0.0);
    manager
}

/// A heartbeat of `m-1` that lists these attempts of the task as running.
fn heartbeat_of(incarnation: u64, sequence: u64, token: u64, attempts: &[u64]) -> Heartbeat {
    let attempts = attempts.iter().map(|a| AttemptId::new(TASK, *a));
    let running = task_statuses(&attempts.collect::<Vec<_>>(), TaskState::Running, None);
    Heartbeat {
        incarnation: Incarnation(incarnation),
        ..worker_heartbeat("m-1", sequence, token, running)
    }
}

/// Whether the leader starts the task at `now`, by a direct command or in the response to a heartbeat of
/// `m-2`.
fn starts_task(manager: &mut ClusterManager, now: f64) -> bool {
    let starts_directly = !started_attempts(manager, now).is_empty();
    let sequence = 2 + (now * 1000.0) as u64;
    let heartbeat = worker_heartbeat("m-2", sequence, TOKEN, vec![]);
    let starts_in_response = !heartbeat_starts(manager, &heartbeat, now).is_empty();
    starts_directly || starts_in_response
}

/// Guards against `ran_twice`: two late heartbeats, of the former and of the present incarnation, made a
/// new leader start a task elsewhere that still ran.
#[test]
fn late_heartbeats_of_two_incarnations_do_not_release_a_task_of_an_earlier_leader() {
    let mut manager = new_leader();
    manager.heartbeat(&heartbeat_of(1, 40, 1, &[]), 0.1);
    manager.heartbeat(&heartbeat_of(2, 1, 1, &[]), 0.2);
    assert!(!starts_task(&mut manager, 0.3), "the task may run on m-1");
}

#[test]
fn task_listed_in_an_incarnation_that_has_ended_starts_again_at_once() {
    let mut manager = new_leader();
    manager.heartbeat(&heartbeat_of(1, 40, 1, &[ATTEMPT]), 0.1);
    assert!(!starts_task(&mut manager, 0.2), "the task runs on m-1");
    manager.heartbeat(&heartbeat_of(2, 41, 1, &[]), 0.3);
    assert!(starts_task(&mut manager, 0.4));
}

/// A heartbeat that the worker sent before the election. Earlier incarnations ran earlier attempts of the
/// task; the present one got the present attempt at some time.
fn heartbeat_before_election() -> impl Strategy<Value = Heartbeat> {
    let numbers = (1..=PRESENT_INCARNATION, 1u64..50, 1u64..TOKEN);
    (numbers, any::<bool>()).prop_map(|((incarnation, sequence, token), lists_task)| {
        let attempt = ATTEMPT - (PRESENT_INCARNATION - incarnation);
        let attempts = if lists_task { vec![attempt] } else { vec![] };
        heartbeat_of(incarnation, sequence, token, &attempts)
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(71),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against `ran_twice`: whatever heartbeats from before the election arrive, in whatever order,
    /// the task of an earlier leader is not started elsewhere until the worker knows the new leader.
    #[test]
    fn heartbeats_from_before_the_election_never_release_a_task_of_an_earlier_leader(
        late in prop::collection::vec(heartbeat_before_election(), 1..12),
        still_runs in any::<bool>(),
    ) {
        let mut manager = new_leader();
        let mut now = 0.0;
        for heartbeat in late {
            now += 0.05;
            manager.heartbeat(&heartbeat, now);
            prop_assert!(!starts_task(&mut manager, now));
        }
        now += 0.05;
        let current = if still_runs {
            heartbeat_of(PRESENT_INCARNATION, 60, TOKEN, &[ATTEMPT])
        } else {
            heartbeat_of(PRESENT_INCARNATION + 1, 60, TOKEN, &[])
        };
        manager.heartbeat(&current, now);
        prop_assert_eq!(starts_task(&mut manager, now), !still_runs);
    }
}

//! The memory that placed tasks take on a leader, for arrays of any number and size on any number of machines.

mod common;

use common::{
    for_each_effect, machine_type, manager, parse_submission, submission, worker_heartbeat, Store,
    SETTINGS,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use stairstage::coordination::cluster::{Effect, HeartbeatOutcome, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::coordination::state::ALLOCATION_BYTES;
use stairstage::protocol::cloud::MachineType;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::store::Transaction;
use stairstage::settings::Settings;
use stairstage::storage::records::{open_key, OpenRecord, LEADER_KEY};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::sync::{Arc, Mutex};

/// Counts allocated bytes.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Held by each test, since the counts are those of the whole process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The memory limit of a controller, in MB: small, so that few tasks reach it.
const RAM_MB: f64 = 20.0;
/// The share of the limit that open jobs and allocations together may take.
const MAX_SHARE: f64 = 0.75;
/// Steps of the leader within which it places all that it can.
const STEPS: u32 = 8;
/// Seconds between two steps.
const STEP_S: f64 = 0.1;
/// When the job of another team is submitted, in seconds.
const LATER_S: f64 = 1.0;
/// Bytes of a machine without tasks on a leader.
const MACHINE_BYTES: u64 = 1_500;

fn settings() -> Arc<Settings> {
    let text = SETTINGS.replace("ram_mb = 100.0", &format!("ram_mb = {RAM_MB:.1}"));
    Arc::new(Settings::parse("test", &text).unwrap())
}

/// A leader whose machines are up and run what is launched.
struct Deployment {
    leader: ClusterManager,
    store: Store,
    machines: usize,
}

impl Deployment {
    fn new(machines: usize) -> Deployment {
        let mut deployment = Deployment {
            leader: ClusterManager::new(settings(), FencingToken(1), 0.0),
            store: Store::default(),
            machines,
        };
        deployment.elect(0.0);
        deployment
    }

    /// Replaces the leader by one that reads the records.
    fn elect(&mut self, now: f64) {
        let transaction = Transaction::default().put(LEADER_KEY, json!({"node": "a"}));
        let token = FencingToken(self.store.commit(&transaction).unwrap());
        self.leader = ClusterManager::new(settings(), token, now);
        self.leader.set_lease_valid_until(f64::INFINITY);
        self.leader.set_machine_types(vec![MachineType {
            cpus: 64.0,
            memory_gb: 256.0,
            ..machine_type()
        }]);
        self.leader
            .recover(self.store.records(), (1000.0 * now) as u64, now);
    }

    fn submit(&mut self, id: &str, team: &str, tasks: u32, cpus: f64, now: f64) {
        let mut body = submission(id, "sweep", "normal", tasks);
        body["crew"] = json!(team);
        body["cpus"] = json!(cpus);
        body["mem_gb"] = json!(0.0);
        body["passage_s"] = json!(1_000.0);
        let record = OpenRecord::accepted(parse_submission(&body), (1000.0 * now) as u64);
        let value = serde_json::to_value(&record).unwrap();
        let transaction = Transaction::default().put(open_key(id), value);
        let version = self.store.commit(&transaction).unwrap();
        let wall_ms = (1000.0 * now) as u64;
        self.leader.job_accepted(record, version, wall_ms, now);
    }

    /// Sends the first heartbeat of each machine.
    fn start_machines(&mut self, now: f64) {
        for machine in 0..self.machines {
            let name = format!("m-{machine:06}");
            let token = self.leader.token().0;
            let heartbeat = worker_heartbeat(&name, 1, token, Vec::new());
            let outcome = self.leader.heartbeat(&heartbeat, now);
            assert!(
                matches!(outcome, HeartbeatOutcome::Response(_)),
                "{outcome:?}"
            );
        }
    }

    /// Lets the leader place all that it can, and records the placements.
    fn place_all(&mut self, now: f64) {
        let store = &mut self.store;
        for step in 0..STEPS {
            let now = now + STEP_S * f64::from(step);
            apply_effects_to(&mut self.leader, store, now);
        }
    }

    fn allocated(&self, id: &str) -> u64 {
        let job = self.leader.job(id);
        job.map_or(0, |job| job.allocated().into())
    }

    /// The number of tasks of arrays that are placed.
    fn placed(&self, jobs: &[ArrayPlan]) -> u64 {
        jobs.iter().map(|job| self.allocated(&job.id)).sum()
    }
}

/// Steps the leader until it has no effects left. Writes are applied at once, and commands are not answered.
fn apply_effects_to(leader: &mut ClusterManager, store: &mut Store, now: f64) {
    for_each_effect(leader, now, |leader, effect| {
        if let Effect::Write { id, transaction } = effect {
            let revision = store.commit(&transaction).unwrap();
            leader.write_finished(id, WriteOutcome::Applied(revision), now);
        }
    });
}

/// The bytes that dropping a value frees.
fn bytes_of<T>(value: T) -> u64 {
    let region = Region::new(ALLOCATOR);
    drop(value);
    let change = region.change();
    (change.bytes_deallocated - change.bytes_allocated) as u64
}

#[derive(Clone, Debug)]
struct ArrayPlan {
    id: String,
    tasks: u32,
    cpus: f64,
}

fn array_plans() -> impl Strategy<Value = Vec<ArrayPlan>> {
    let cpus = prop_oneof![Just(0.0), Just(0.001), Just(0.05), Just(1.0)];
    let tasks = prop_oneof![1..=2_000u32, 50_000..=100_000u32];
    let array = ("[0-9a-z]{1,39}", tasks, cpus);
    prop::collection::vec(array, 1..6).prop_map(|arrays| {
        let plan = |(number, (id, tasks, cpus))| ArrayPlan {
            id: format!("req-{number}{id}"),
            tasks,
            cpus,
        };
        arrays.into_iter().enumerate().map(plan).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against leaders that are ended for their memory by arrays of small tasks, which took almost 1,000 bytes for
    /// each task that was placed, without a limit; and against an array that leaves nothing for other jobs.
    #[test]
    fn placed_tasks_take_a_bounded_share_of_the_memory(
        machines in 1..150usize,
        arrays in array_plans(),
    ) {
        let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
        let mut deployment = Deployment::new(machines);
        deployment.start_machines(0.0);
        for array in &arrays {
            deployment.submit(&array.id, "t", array.tasks, array.cpus, 0.0);
        }
        deployment.place_all(0.0);
        let placed = deployment.placed(&arrays);
        prop_assert!(placed > 0);
        // A job of another team starts at once.
        deployment.submit("req-other", "u", 1, 0.0, LATER_S);
        deployment.place_all(LATER_S);
        prop_assert_eq!(deployment.allocated("req-other"), 1, "beside {} tasks", placed);
        let open_bytes = deployment.leader.open_job_bytes();
        let bound = open_bytes + ALLOCATION_BYTES * (placed + 1);
        prop_assert!(bound <= (MAX_SHARE * 1e6 * RAM_MB) as u64, "{placed} tasks take {bound} bytes");
        // A leader that reads the records has the same tasks, and all decoded records at first.
        let record_bytes = bytes_of(deployment.store.records());
        deployment.elect(LATER_S + 1.0);
        prop_assert_eq!(deployment.placed(&arrays), placed);
        let machine_bytes = MACHINE_BYTES * machines as u64;
        let next = std::mem::replace(&mut deployment.leader, manager());
        let held = bytes_of(next) + record_bytes;
        let limit = bound + machine_bytes;
        prop_assert!(held <= limit, "{placed} tasks on {machines} machines take {held} of {limit} bytes");
    }
}

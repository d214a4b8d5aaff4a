//! Dependencies between jobs: when dependents start, which jobs a cancellation reaches, and how priorities
//! and deadlines carry over to dependencies.

mod common;

use common::{
    for_each_effect, machine_type, manager, manager_with_token, parse_submission, starts,
    submission, task_statuses, worker_heartbeat, AttemptId, Store, SETTINGS,
};
use serde_json::{json, Value};
use stairstage::coordination::cluster::{Effect, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::job::{JobSpec, JobState};
use stairstage::protocol::store::{Transaction, WriteOperation};
use stairstage::protocol::worker::{Cause, TaskState};
use stairstage::storage::records::{
    final_state_key, open_key, OpenRecord, LEADER_KEY, OPEN_PREFIX,
};
use std::collections::BTreeMap;

/// A cluster manager whose writes go to an in-memory store, and the effects that it has requested.
struct Leader {
    manager: ClusterManager,
    store: Store,
    /// Jobs whose final states the manager has asked to read.
    read_jobs: Vec<String>,
    launched: Vec<AttemptId>,
    /// The final states that the manager has announced.
    announced: BTreeMap<String, JobState>,
    /// Whether writes of a final state are neither applied nor answered.
    final_writes_held: bool,
    /// Whether reads of final states succeed.
    reads_succeed: bool,
}

impl Leader {
    fn new() -> Leader {
        Leader {
            manager: manager(),
            store: Store::default(),
            read_jobs: Vec::new(),
            launched: Vec::new(),
            announced: BTreeMap::new(),
            final_writes_held: false,
            reads_succeed: true,
        }
        .elected(0.0)
    }

    /// Replaces the manager by that of a new leader, which recovers from the stored records alone.
    fn elected(mut self, now: f64) -> Leader {
        let txn = Transaction::default().put(LEADER_KEY, json!({"node": "a"}));
        let token = self.store.commit(&txn).unwrap();
        self.manager = manager_with_token(token);
        // The wall clock shows the time of the test.
        self.manager
            .recover(self.store.records(), (1000.0 * now) as u64, now);
        self
    }

    /// Stores an accepted job with these dependencies, and informs the leader.
    fn submit(&mut self, id: &str, waits_on: &[&str], change: impl FnOnce(&mut Value), now: f64) {
        let mut body = submission(id, "sweep", "normal", 2);
        body["waits_on"] = json!(waits_on);
        change(&mut body);
        let record = OpenRecord::accepted(parse_submission(&body), (1000.0 * now) as u64);
        let value = serde_json::to_value(&record).unwrap();
        let txn = Transaction::default().put(open_key(id), value);
        let version = self.store.commit(&txn).unwrap();
        self.manager
            .job_accepted(record, version, (1000.0 * now) as u64, now);
    }

    /// Stores a cancellation, as any controller does on a user's request, and informs the leader.
    fn cancel(&mut self, id: &str, now: f64) {
        let item = self.store.get(&open_key(id)).unwrap();
        let record: OpenRecord = serde_json::from_value(item.value).unwrap();
        let record = serde_json::to_value(record.into_cancelled(2000)).unwrap();
        let txn = Transaction::default()
            .put(final_state_key(id), json!({"state": "cancelled"}))
            .put(open_key(id), record);
        self.store.commit(&txn).unwrap();
        self.manager
            .final_state_recorded(id, JobState::Cancelled, now);
    }

    /// Runs a scheduling step and executes its writes and reads.
    fn step(&mut self, now: f64) {
        let Leader {
            manager,
            store,
            read_jobs,
            launched,
            announced,
            final_writes_held,
            reads_succeed,
        } = self;
        for_each_effect(manager, now, |manager, effect| match effect {
            Effect::Write { id, transaction }
                if !*final_writes_held || !writes_final_state(&transaction) =>
            {
                let written = match store.commit(&transaction) {
                    Ok(revision) => WriteOutcome::Applied(revision),
                    Err(_) => store.indeterminate_outcome(&transaction),
                };
                manager.write_finished(id, written, now);
            }
            Effect::ReadFinalStates(ids) => {
                read_jobs.extend(ids.iter().map(|id| id.to_string()));
                let unread = || ids.iter().map(|id| (id.clone(), None)).collect();
                let found = if *reads_succeed {
                    store.final_states(&ids)
                } else {
                    unread()
                };
                manager.final_states_read(found, now);
            }
            Effect::SendCommands {
                commands: batch, ..
            } => launched.extend(starts(&batch.commands)),
            Effect::JobFinished { id, state } => {
                announced.insert(id.to_string(), state);
            }
            _ => {}
        });
    }

    /// Sends a heartbeat of the only machine: the tasks of the jobs in `finished` are done, all other
    /// launched tasks run.
    fn heartbeat(&mut self, sequence: u64, finished: &[&str], now: f64) {
        let is_done = |name: &str| {
            finished
                .iter()
                .any(|id| name.starts_with(&format!("{id}/")))
        };
        let status = |id: &AttemptId| {
            let (state, cause) = if is_done(&id.task) {
                (TaskState::Exited, Some(Cause::Done))
            } else {
                (TaskState::Running, None)
            };
            task_statuses(std::slice::from_ref(id), state, cause).remove(0)
        };
        let tasks = self.launched.iter().map(status).collect();
        let heartbeat = worker_heartbeat("m-1", sequence, self.manager.token().0, tasks);
        let mut answer = self.manager.heartbeat(&heartbeat, now);
        if let stairstage::coordination::cluster::HeartbeatOutcome::Response(answer) = &mut answer {
            self.launched.extend(starts(&answer.commands));
        }
        // The same heartbeat is the response to any direct command.
        self.manager.commands_finished(
            &"m-1".into(),
            stairstage::coordination::cluster::CommandOutcome::Executed(heartbeat),
            now,
        );
    }

    /// Whether any task of a job was launched.
    fn has_launched(&self, id: &str) -> bool {
        self.launched
            .iter()
            .any(|t| t.task.starts_with(&format!("{id}/")))
    }

    /// The stored final state of a job.
    fn final_state(&self, id: &str) -> Option<Value> {
        Some(self.store.get(&final_state_key(id))?.value["state"].clone())
    }
}

/// Leaves a submission as it is.
fn unchanged(_: &mut Value) {}

/// Whether a transaction stores the final state of a job.
fn writes_final_state(txn: &Transaction) -> bool {
    let is_final = |operation: &WriteOperation| match operation {
        WriteOperation::Put { key, .. } => key.starts_with("end/"),
        WriteOperation::Delete { .. } => false,
    };
    txn.operations.iter().any(is_final)
}

#[test]
fn dependent_starts_only_after_final_state_of_its_dependency_is_stored() {
    let mut leader = Leader::new();
    leader.heartbeat(1, &[], 0.0);
    leader.submit("req-1", &[], unchanged, 0.0);
    leader.submit("req-2", &["req-1"], unchanged, 0.0);
    leader.step(0.0);
    assert!(leader.has_launched("req-1") && !leader.has_launched("req-2"));
    // All tasks of req-1 are done, but its final state is not stored: a cancellation could still win.
    leader.final_writes_held = true;
    leader.heartbeat(2, &["req-1"], 1.0);
    leader.step(1.0);
    leader.step(2.0);
    assert!(!leader.has_launched("req-2"));
    assert_eq!(
        leader.manager.status("req-2").unwrap().state,
        JobState::Pending
    );
    let mut leader = leader.elected(2.0);
    leader.final_writes_held = false;
    leader.heartbeat(3, &["req-1"], 3.0);
    leader.step(3.0);
    leader.heartbeat(4, &["req-1"], 3.5);
    leader.step(4.0);
    assert_eq!(leader.final_state("req-1"), Some(json!("done")));
    assert!(leader.has_launched("req-2"));
}

#[test]
fn new_leader_reads_each_dependency_once_and_starts_no_dependent_before() {
    let mut leader = Leader::new();
    leader
        .store
        .values
        .insert(final_state_key("req-1"), (json!({"state": "done"}), 1));
    leader.submit("req-2", &["req-1"], unchanged, 0.0);
    leader.submit("req-3", &["req-1", "req-2"], unchanged, 0.0);
    leader.reads_succeed = false;
    let mut leader = leader.elected(1.0);
    leader.heartbeat(1, &[], 1.0);
    leader.step(1.0);
    assert!(
        leader.launched.is_empty(),
        "no dependent starts while final states are unknown"
    );
    leader.reads_succeed = true;
    leader.step(3.0);
    assert!(leader.has_launched("req-2") && !leader.has_launched("req-3"));
    leader.read_jobs.clear();
    leader.step(9.0);
    assert!(leader.read_jobs.is_empty(), "{:?}", leader.read_jobs);
    // The stored placements of req-2 prove that its dependency is done, so nothing needs to be read.
    leader.store.values.remove(&open_key("req-3"));
    let mut leader = leader.elected(10.0);
    leader.step(10.0);
    assert!(leader.read_jobs.is_empty(), "{:?}", leader.read_jobs);
}

#[test]
fn cancellation_reaches_all_dependents_and_no_other_job() {
    let mut leader = Leader::new();
    leader.heartbeat(1, &[], 0.0);
    leader.submit("req-1", &[], unchanged, 0.0);
    leader.submit("req-2", &["req-1"], unchanged, 0.0);
    leader.submit("req-3", &["req-2"], unchanged, 0.0);
    leader.submit("req-4", &["req-3", "req-5"], unchanged, 0.0);
    leader.submit("req-5", &[], unchanged, 0.0);
    leader.step(0.0);
    leader.cancel("req-1", 1.0);
    // A final state is announced only after it is stored.
    leader.final_writes_held = true;
    leader.step(1.0);
    assert_eq!(leader.announced.keys().collect::<Vec<_>>(), ["req-1"]);
    // The status of a dependent is unavailable until its cancellation is stored.
    assert!(leader.manager.status("req-3").is_none());
    // The leader fails after the first of these writes; the next one derives the others from the records.
    leader.store.values.remove(&open_key("req-2"));
    leader
        .store
        .values
        .insert(final_state_key("req-2"), (json!({"state": "cancelled"}), 9));
    leader.final_writes_held = false;
    let mut leader = leader.elected(2.0);
    leader.step(2.0);
    for id in ["req-1", "req-2", "req-3", "req-4"] {
        assert_eq!(leader.final_state(id), Some(json!("cancelled")), "{id}");
    }
    for id in ["req-3", "req-4"] {
        assert_eq!(leader.announced[id], JobState::Cancelled);
        assert!(leader.store.get(&open_key(id)).is_none());
    }
    assert_eq!(leader.final_state("req-5"), None);
    // Jobs submitted later are cancelled as well, also through a chain of dependencies.
    leader.submit("req-6", &["req-4"], unchanged, 3.0);
    leader.submit("req-7", &["req-6"], unchanged, 3.0);
    leader.step(3.0);
    assert_eq!(leader.final_state("req-7"), Some(json!("cancelled")));
}

#[test]
fn dependent_of_done_job_starts_and_is_not_cancelled() {
    let mut leader = Leader::new();
    leader.submit("req-2", &["req-1"], unchanged, 0.0);
    leader
        .store
        .values
        .insert(final_state_key("req-1"), (json!({"state": "done"}), 1));
    leader.heartbeat(1, &[], 0.0);
    leader.step(0.0);
    leader
        .manager
        .final_state_recorded("req-1", JobState::Done, 1.0);
    assert!(leader.has_launched("req-2"));
    assert_eq!(leader.final_state("req-2"), None);
}

#[test]
fn concurrent_cancellations_by_user_and_leader_finish_the_dependent() {
    let mut leader = Leader::new();
    leader.submit("req-1", &[], unchanged, 0.0);
    leader.submit("req-2", &["req-1"], unchanged, 0.0);
    leader.cancel("req-1", 0.0);
    // Another controller has stored this cancellation; the leader has not received the change.
    leader
        .store
        .values
        .insert(final_state_key("req-2"), (json!({"state": "cancelled"}), 7));
    leader.step(0.0);
    leader.step(1.0);
    assert!(leader.store.with_prefix(OPEN_PREFIX).is_empty());
    assert_eq!(leader.announced["req-2"], JobState::Cancelled);
}

#[test]
fn dependent_that_waits_does_not_count_towards_team_guarantee() {
    let guaranteed = "{ name = \"t\", cpus = 2.0, cpus_max = 2.0 }";
    let text = SETTINGS.replace("{ name = \"t\" }", guaranteed);
    let settings = stairstage::settings::Settings::parse("test", &text).unwrap();
    let mut leader = Leader::new();
    leader.manager = ClusterManager::new(settings.into(), FencingToken(1), 0.0);
    leader.manager.set_lease_valid_until(f64::INFINITY);
    leader.manager.set_machine_types(vec![machine_type()]);
    leader.heartbeat(1, &[], 0.0);
    // req-1 waits for a job that never finishes. req-3 alone is within the guarantee and the limit of the
    // team, so it is placed before another team's earlier job, which would fill the machine.
    leader.submit("req-1", &["req-9"], unchanged, 0.0);
    let others = |v: &mut Value| {
        v["crew"] = json!("u");
        v["legs"] = json!(4);
    };
    leader.submit("req-2", &[], others, 0.5);
    leader.submit("req-3", &[], unchanged, 1.0);
    leader.step(1.0);
    let launches_of = |id: &str| {
        leader
            .launched
            .iter()
            .filter(|t| t.task.starts_with(id))
            .count()
    };
    assert_eq!((launches_of("req-3/"), launches_of("req-2/")), (2, 2));
}

/// Which of the jobs req-1 and req-2 starts first on a machine that holds one of them, after two
/// changes to their dependents.
fn first_launched(
    first_change: impl FnOnce(&mut Leader),
    second_change: impl FnOnce(&mut Leader),
) -> String {
    let mut leader = Leader::new();
    leader.heartbeat(1, &[], 0.0);
    let wide = |v: &mut Value| v["cpus"] = json!(2.0);
    leader.submit("req-1", &[], wide, 0.0);
    leader.submit("req-2", &[], wide, 0.0);
    first_change(&mut leader);
    second_change(&mut leader);
    leader.step(0.5);
    leader.launched[0]
        .task
        .rsplit_once('/')
        .unwrap()
        .0
        .to_string()
}

#[test]
fn dependency_inherits_priority_and_deadline_of_its_dependents() {
    let urgent = |v: &mut Value| v["precedence"] = json!("urgent");
    let due = |s: f64| move |v: &mut Value| v["due_s"] = json!(s);
    // Without dependents, jobs start in the order of arrival.
    assert_eq!(first_launched(|_| (), |_| ()), "req-1");
    // The priority is inherited through an intermediate job.
    let pipeline = |l: &mut Leader| {
        l.submit("req-3", &["req-2"], unchanged, 0.0);
        l.submit("req-4", &["req-3"], urgent, 0.0);
    };
    assert_eq!(first_launched(|_| (), pipeline), "req-2");
    // A cancelled job no longer passes its priority on.
    let cancelled = |l: &mut Leader| l.cancel("req-4", 0.0);
    assert_eq!(first_launched(pipeline, cancelled), "req-1");
    // The deadline of req-6 is 10 s earlier than that of req-3, and req-5, which takes 20 s, comes before
    // req-6. So req-2 has less time left than req-1.
    let long = |l: &mut Leader| {
        l.submit("req-3", &["req-1"], due(200.0), 0.0);
    };
    let short = |l: &mut Leader| {
        l.submit("req-5", &["req-2"], unchanged, 0.0);
        l.submit("req-6", &["req-5"], due(190.0), 0.0);
    };
    assert_eq!(first_launched(long, short), "req-2");
    // The longest path counts: req-6 depends on req-2 directly, and through req-5, which takes 20 s.
    let late = |l: &mut Leader| {
        l.submit("req-5", &["req-2"], unchanged, 0.0);
        l.submit("req-6", &["req-5", "req-2"], due(210.0), 0.0);
    };
    assert_eq!(first_launched(long, late), "req-2");
}

#[test]
fn queue_position_counts_from_completion_of_dependencies() {
    // A new leader takes the time of completion from the stored final state.
    let mut leader = Leader::new();
    let wide = |v: &mut Value| v["cpus"] = json!(2.0);
    leader.submit("req-2", &["req-1"], wide, 0.0);
    leader.submit("req-3", &[], wide, 100.0);
    let final_state = json!({"state": "done", "at_ms": 140_000});
    leader
        .store
        .values
        .insert(final_state_key("req-1"), (final_state, 1));
    let mut leader = leader.elected(150.0);
    leader.step(150.0);
    leader.heartbeat(1, &[], 150.0);
    leader.step(150.5);
    // req-2 was submitted first, but became ready last.
    assert!(leader.has_launched("req-3") && !leader.has_launched("req-2"));
}

#[test]
fn dependencies_of_a_submission_are_validated_and_deduplicated() {
    let parse = |waits_on: Value| {
        let mut body = submission("req-1", "sweep", "normal", 1);
        body["waits_on"] = waits_on;
        JobSpec::parse(body.to_string().as_bytes())
    };
    for none in [json!(null), json!([])] {
        assert!(parse(none).unwrap().waits_on.is_empty());
    }
    let duplicate = json!(["req-2", "req-3", "req-2"]);
    assert_eq!(parse(duplicate).unwrap().waits_on, ["req-2", "req-3"]);
    for bad in [
        json!("req-2"),
        json!({}),
        json!([2]),
        json!(["run-2"]),
        json!([null]),
    ] {
        assert_eq!(parse(bad.clone()).unwrap_err().field, "waits_on", "{bad}");
    }
}

//! Jobs that wait for others: what starts when, what ends with what, and whose deadline counts.

mod common;

use common::{
    each_effect, machine_type, manager, manager_with_token, parsed, shown, starts, submission,
    worker_heartbeat, AttemptId, Store, SETTINGS,
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

/// A manager with the records that it writes, and the ends that it has looked up.
struct Leader {
    manager: ClusterManager,
    store: Store,
    sought: Vec<String>,
    launched: Vec<AttemptId>,
    ended: BTreeMap<String, JobState>,
    /// Writes that end a job get no answer, and are not applied.
    ends_held: bool,
    /// Whether ends can be read.
    reads: bool,
}

impl Leader {
    fn new() -> Leader {
        Leader {
            manager: manager(),
            store: Store::default(),
            sought: Vec::new(),
            launched: Vec::new(),
            ended: BTreeMap::new(),
            ends_held: false,
            reads: true,
        }
        .elected(0.0)
    }

    /// Another leader takes over, with the records alone.
    fn elected(mut self, now: f64) -> Leader {
        let txn = Transaction::default().put(LEADER_KEY, json!({"node": "a"}));
        let token = self.store.commit(&txn).unwrap();
        self.manager = manager_with_token(token);
        // The time of day is that of the test.
        self.manager
            .recover(self.store.records(), (1000.0 * now) as u64, now);
        self
    }

    /// A job is submitted that waits for these, and the leader hears of it.
    fn submit(&mut self, id: &str, waits_on: &[&str], change: impl FnOnce(&mut Value), now: f64) {
        let mut body = submission(id, "sweep", "normal", 2);
        body["waits_on"] = json!(waits_on);
        change(&mut body);
        let record = OpenRecord::accepted(parsed(&body), (1000.0 * now) as u64);
        let value = serde_json::to_value(&record).unwrap();
        let txn = Transaction::default().put(open_key(id), value);
        let version = self.store.commit(&txn).unwrap();
        self.manager
            .job_accepted(record, version, (1000.0 * now) as u64, now);
    }

    /// As any node does it for a user, and the leader hears of it.
    fn cancel(&mut self, id: &str, now: f64) {
        let item = self.store.item(&open_key(id)).unwrap();
        let record: OpenRecord = serde_json::from_value(item.value).unwrap();
        let record = serde_json::to_value(record.into_cancelled(2000)).unwrap();
        let txn = Transaction::default()
            .put(final_state_key(id), json!({"state": "cancelled"}))
            .put(open_key(id), record);
        self.store.commit(&txn).unwrap();
        self.manager.job_finished(id, JobState::Cancelled, now);
    }

    /// Lets the leader decide; writes, reads and ends are carried out.
    fn act(&mut self, now: f64) {
        let Leader {
            manager,
            store,
            sought,
            launched,
            ended,
            ends_held,
            reads,
        } = self;
        each_effect(manager, now, |manager, effect| match effect {
            Effect::Write { id, transaction } if !*ends_held || !ends(&transaction) => {
                let written = match store.commit(&transaction) {
                    Ok(revision) => WriteOutcome::Applied(revision),
                    Err(_) => store.reread(&transaction),
                };
                manager.write_finished(id, written, now);
            }
            Effect::ReadFinalStates(ids) => {
                sought.extend(ids.iter().map(|id| id.to_string()));
                let unread = || ids.iter().map(|id| (id.clone(), None)).collect();
                let ends = if *reads { store.ends(&ids) } else { unread() };
                manager.final_states_found(ends, now);
            }
            Effect::SendCommands {
                commands: batch, ..
            } => launched.extend(starts(&batch.commands)),
            Effect::JobFinished { id, state } => {
                ended.insert(id.to_string(), state);
            }
            _ => {}
        });
    }

    /// The machine shows what was launched on it: these jobs' tasks are over, the others run.
    fn heartbeat(&mut self, sequence: u64, over: &[&str], now: f64) {
        let done = |name: &str| over.iter().any(|id| name.starts_with(&format!("{id}/")));
        let show = |id: &AttemptId| {
            let (state, cause) = if done(&id.task) {
                (TaskState::Exited, Some(Cause::Done))
            } else {
                (TaskState::Running, None)
            };
            shown(std::slice::from_ref(id), state, cause).remove(0)
        };
        let tasks = self.launched.iter().map(show).collect();
        let heartbeat = worker_heartbeat("m-1", sequence, self.manager.token().0, tasks);
        let mut answer = self.manager.heartbeat(&heartbeat, now);
        if let stairstage::coordination::cluster::HeartbeatOutcome::Answer(answer) = &mut answer {
            self.launched.extend(starts(&answer.commands));
        }
        // A direct command has been answered by that as well.
        self.manager.commands_answered(
            &"m-1".into(),
            stairstage::coordination::cluster::CommandOutcome::Executed(heartbeat),
            now,
        );
    }

    /// Whether a task of a job was launched.
    fn has_launched(&self, id: &str) -> bool {
        self.launched
            .iter()
            .any(|t| t.task.starts_with(&format!("{id}/")))
    }

    /// The end of a job on record.
    fn end(&self, id: &str) -> Option<Value> {
        Some(self.store.item(&final_state_key(id))?.value["state"].clone())
    }
}

/// Changes nothing about a submission.
fn plain(_: &mut Value) {}

/// Whether a transaction puts the end of a job on record.
fn ends(txn: &Transaction) -> bool {
    let key = |change: &WriteOperation| match change {
        WriteOperation::Put { key, .. } => key.starts_with("end/"),
        WriteOperation::Delete { .. } => false,
    };
    txn.operations.iter().any(key)
}

#[test]
fn a_job_starts_only_once_the_end_of_what_it_needs_is_recorded() {
    let mut leader = Leader::new();
    leader.heartbeat(1, &[], 0.0);
    leader.submit("req-1", &[], plain, 0.0);
    leader.submit("req-2", &["req-1"], plain, 0.0);
    leader.act(0.0);
    assert!(leader.has_launched("req-1") && !leader.has_launched("req-2"));
    // All its tasks are complete, but that is not on record: a cancellation could still win.
    leader.ends_held = true;
    leader.heartbeat(2, &["req-1"], 1.0);
    leader.act(1.0);
    leader.act(2.0);
    assert!(!leader.has_launched("req-2"));
    assert_eq!(
        leader.manager.status("req-2").unwrap().state,
        JobState::Pending
    );
    let mut leader = leader.elected(2.0);
    leader.ends_held = false;
    leader.heartbeat(3, &["req-1"], 3.0);
    leader.act(3.0);
    leader.heartbeat(4, &["req-1"], 3.5);
    leader.act(4.0);
    assert_eq!(leader.end("req-1"), Some(json!("done")));
    assert!(leader.has_launched("req-2"));
}

#[test]
fn a_new_leader_looks_up_the_ends_that_it_needs_each_once_and_waits_until_then() {
    let mut leader = Leader::new();
    leader
        .store
        .values
        .insert(final_state_key("req-1"), (json!({"state": "done"}), 1));
    leader.submit("req-2", &["req-1"], plain, 0.0);
    leader.submit("req-3", &["req-1", "req-2"], plain, 0.0);
    leader.reads = false;
    let mut leader = leader.elected(1.0);
    leader.heartbeat(1, &[], 1.0);
    leader.act(1.0);
    assert!(
        leader.launched.is_empty(),
        "what is not known means waiting"
    );
    leader.reads = true;
    leader.act(3.0);
    assert!(leader.has_launched("req-2") && !leader.has_launched("req-3"));
    leader.sought.clear();
    leader.act(9.0);
    assert!(leader.sought.is_empty(), "{:?}", leader.sought);
    // Its places prove that it waits no more: nothing needs to be looked up for it.
    leader.store.values.remove(&open_key("req-3"));
    let mut leader = leader.elected(10.0);
    leader.act(10.0);
    assert!(leader.sought.is_empty(), "{:?}", leader.sought);
}

#[test]
fn cancelling_a_job_cancels_all_that_need_it_and_nothing_else() {
    let mut leader = Leader::new();
    leader.heartbeat(1, &[], 0.0);
    leader.submit("req-1", &[], plain, 0.0);
    leader.submit("req-2", &["req-1"], plain, 0.0);
    leader.submit("req-3", &["req-2"], plain, 0.0);
    leader.submit("req-4", &["req-3", "req-5"], plain, 0.0);
    leader.submit("req-5", &[], plain, 0.0);
    leader.act(0.0);
    leader.cancel("req-1", 1.0);
    // Users are told once it is on record, not before.
    leader.ends_held = true;
    leader.act(1.0);
    assert_eq!(leader.ended.keys().collect::<Vec<_>>(), ["req-1"]);
    // Meanwhile nothing is said of those that end with it.
    assert!(leader.manager.status("req-3").is_none());
    // The leader ends halfway; the next one finds the rest by the records.
    leader.store.values.remove(&open_key("req-2"));
    leader
        .store
        .values
        .insert(final_state_key("req-2"), (json!({"state": "cancelled"}), 9));
    leader.ends_held = false;
    let mut leader = leader.elected(2.0);
    leader.act(2.0);
    for id in ["req-1", "req-2", "req-3", "req-4"] {
        assert_eq!(leader.end(id), Some(json!("cancelled")), "{id}");
    }
    for id in ["req-3", "req-4"] {
        assert_eq!(leader.ended[id], JobState::Cancelled);
        assert!(leader.store.item(&open_key(id)).is_none());
    }
    assert_eq!(leader.end("req-5"), None);
    // One that names a cancelled job later ends as well, however far that is away.
    leader.submit("req-6", &["req-4"], plain, 3.0);
    leader.submit("req-7", &["req-6"], plain, 3.0);
    leader.act(3.0);
    assert_eq!(leader.end("req-7"), Some(json!("cancelled")));
}

#[test]
fn a_cancellation_that_comes_after_the_end_cancels_nothing() {
    let mut leader = Leader::new();
    leader.submit("req-2", &["req-1"], plain, 0.0);
    leader
        .store
        .values
        .insert(final_state_key("req-1"), (json!({"state": "done"}), 1));
    leader.heartbeat(1, &[], 0.0);
    leader.act(0.0);
    leader.manager.job_finished("req-1", JobState::Done, 1.0);
    assert!(leader.has_launched("req-2"));
    assert_eq!(leader.end("req-2"), None);
}

#[test]
fn a_user_and_the_leader_may_cancel_the_same_job() {
    let mut leader = Leader::new();
    leader.submit("req-1", &[], plain, 0.0);
    leader.submit("req-2", &["req-1"], plain, 0.0);
    leader.cancel("req-1", 0.0);
    // WriteOutcome by another node, of which the leader has not heard.
    leader
        .store
        .values
        .insert(final_state_key("req-2"), (json!({"state": "cancelled"}), 7));
    leader.act(0.0);
    leader.act(1.0);
    assert!(leader.store.under(OPEN_PREFIX).is_empty());
    assert_eq!(leader.ended["req-2"], JobState::Cancelled);
}

#[test]
fn a_job_that_waits_holds_no_part_of_a_guarantee() {
    let guaranteed = "{ name = \"t\", cpus = 2.0, cpus_max = 2.0 }";
    let text = SETTINGS.replace("{ name = \"t\" }", guaranteed);
    let settings = stairstage::settings::Settings::parse("test", &text).unwrap();
    let mut leader = Leader::new();
    leader.manager = ClusterManager::new(settings.into(), FencingToken(1), 0.0);
    leader.manager.set_lease_valid_until(f64::INFINITY);
    leader.manager.set_machine_types(vec![machine_type()]);
    leader.heartbeat(1, &[], 0.0);
    // The first waits for ever; the last fits the guarantee and the limit by itself, and so goes
    // before another team's work that came earlier and would fill the machine.
    leader.submit("req-1", &["req-9"], plain, 0.0);
    let others = |v: &mut Value| {
        v["crew"] = json!("u");
        v["legs"] = json!(4);
    };
    leader.submit("req-2", &[], others, 0.5);
    leader.submit("req-3", &[], plain, 1.0);
    leader.act(1.0);
    let of = |id: &str| {
        leader
            .launched
            .iter()
            .filter(|t| t.task.starts_with(id))
            .count()
    };
    assert_eq!((of("req-3/"), of("req-2/")), (2, 2));
}

/// Which of two jobs of different pipelines goes first, on a machine with room for one of them.
fn first_of(a: impl FnOnce(&mut Leader), b: impl FnOnce(&mut Leader)) -> String {
    let mut leader = Leader::new();
    leader.heartbeat(1, &[], 0.0);
    let wide = |v: &mut Value| v["cpus"] = json!(2.0);
    leader.submit("req-1", &[], wide, 0.0);
    leader.submit("req-2", &[], wide, 0.0);
    a(&mut leader);
    b(&mut leader);
    leader.act(0.5);
    leader.launched[0]
        .task
        .rsplit_once('/')
        .unwrap()
        .0
        .to_string()
}

#[test]
fn a_stage_has_the_priority_and_the_deadline_of_what_needs_it() {
    let urgent = |v: &mut Value| v["precedence"] = json!("urgent");
    let due = |s: f64| move |v: &mut Value| v["due_s"] = json!(s);
    // Alone, the first to come is the first to go.
    assert_eq!(first_of(|_| (), |_| ()), "req-1");
    // The priority of the last, through one that is between.
    let pipeline = |l: &mut Leader| {
        l.submit("req-3", &["req-2"], plain, 0.0);
        l.submit("req-4", &["req-3"], urgent, 0.0);
    };
    assert_eq!(first_of(|_| (), pipeline), "req-2");
    // Taken back with the job that had it.
    let cancelled = |l: &mut Leader| l.cancel("req-4", 0.0);
    assert_eq!(first_of(pipeline, cancelled), "req-1");
    // Of two deadlines, the one that leaves less time for what comes before it.
    let long = |l: &mut Leader| {
        l.submit("req-3", &["req-1"], due(200.0), 0.0);
    };
    let short = |l: &mut Leader| {
        l.submit("req-5", &["req-2"], plain, 0.0);
        l.submit("req-6", &["req-5"], due(190.0), 0.0);
    };
    assert_eq!(first_of(long, short), "req-2");
    // The longest way counts: two stages of 20 s at most are between.
    let late = |l: &mut Leader| {
        l.submit("req-5", &["req-2"], plain, 0.0);
        l.submit("req-6", &["req-5", "req-2"], due(210.0), 0.0);
    };
    assert_eq!(first_of(long, late), "req-2");
}

#[test]
fn a_job_comes_to_the_queue_when_it_may_begin() {
    // A new leader finds that moment by the end's record.
    let mut leader = Leader::new();
    let wide = |v: &mut Value| v["cpus"] = json!(2.0);
    leader.submit("req-2", &["req-1"], wide, 0.0);
    leader.submit("req-3", &[], wide, 100.0);
    let end = json!({"state": "done", "at_ms": 140_000});
    leader
        .store
        .values
        .insert(final_state_key("req-1"), (end, 1));
    let mut leader = leader.elected(150.0);
    leader.act(150.0);
    leader.heartbeat(1, &[], 150.0);
    leader.act(150.5);
    // It came first, but may begin last.
    assert!(leader.has_launched("req-3") && !leader.has_launched("req-2"));
}

#[test]
fn what_a_submission_waits_on_is_checked() {
    let parse = |waits_on: Value| {
        let mut body = submission("req-1", "sweep", "normal", 1);
        body["waits_on"] = waits_on;
        JobSpec::parse(body.to_string().as_bytes())
    };
    for none in [json!(null), json!([])] {
        assert!(parse(none).unwrap().waits_on.is_empty());
    }
    let twice = json!(["req-2", "req-3", "req-2"]);
    assert_eq!(parse(twice).unwrap().waits_on, ["req-2", "req-3"]);
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

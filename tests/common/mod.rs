//! What several tests of the manager begin with.
#![allow(dead_code)] // no test uses all of it

pub(crate) mod full_fleet;
pub(crate) mod http;
pub(crate) mod random;

use serde_json::{json, Value};
use stairstage::coordination::cluster::recovery::Records;
use stairstage::coordination::cluster::{CommandOutcome, Effect, HeartbeatOutcome, WriteOutcome};
use stairstage::coordination::manager::ClusterManager;
use stairstage::coordination::requests::Context;
use stairstage::coordination::state::JobId;
use stairstage::protocol::cloud::MachineType;
use stairstage::protocol::ids::{FencingToken, HeartbeatSequence, Incarnation};
use stairstage::protocol::job::JobSpec;
use stairstage::protocol::store::{Compare, Page, Transaction, VersionedValue, WriteOperation};
use stairstage::protocol::worker::{Cause, Command, Heartbeat, TaskState, TaskStatus};
use stairstage::settings::Settings;
use stairstage::storage::key_value_store::CommitOutcome;
use stairstage::storage::records::{
    completion_key, final_state_key, parse_completion_key, placement_key, FinalStateRecord,
    OpenRecord, StoredCompletions, StoredPlacements, COMPLETION_PREFIX, OPEN_PREFIX,
    PLACEMENT_PREFIX,
};
use stairstage_upgrade::fence::WriteFence;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// One attempt of a task, which its worker knows by this.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub task: String,
    pub attempt: u64,
}

impl AttemptId {
    pub(crate) fn new(task: &str, attempt: u64) -> AttemptId {
        AttemptId {
            task: task.to_string(),
            attempt,
        }
    }
}

/// The only type of machine: room for four tasks of a job as described below.
pub(crate) fn machine_type() -> MachineType {
    MachineType {
        name: "m4".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 10.0,
        zones: vec!["z".into()],
    }
}

/// A submission of small tasks that never save.
pub(crate) fn submission(id: &str, rig: &str, precedence: &str, tasks: u32) -> Value {
    json!({"name_id":id,"duty":"c","crew":"t","rig":rig,"precedence":precedence,"legs":tasks,
        "cpus":1.0,"gpus":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"hulls":null,"berth":null,
        "same_place":false,"spread":false,"driftwood":false,"passage_s":20.0,
        "fix_interval_s":0.0,"fix_s":0.0,"due_s":null})
}

/// The description of a job, as a submission gives it.
pub(crate) fn parsed(submission: &Value) -> JobSpec {
    JobSpec::parse(submission.to_string().as_bytes()).unwrap()
}

/// What most tests of the manager run with.
pub(crate) const SETTINGS: &str = r#"
host_name = "a"
zone = "z"
front = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
endpoints = { cloud = "127.0.0.1:3", state = "127.0.0.1:4" }
[settings]
teams = [{ name = "t" }, { name = "u" }]
workers = { report_s = 2.0, lease_s = 12.0, gang_wait_s = 20.0, gang_peer_s = 4.0, cancel_s = 30.0 }
state = { rps = 200.0, write_rps = 100.0, value_kb = 16.0, txn_ops = 8 }
cloud = { rps = 10.0, list_lag_s = 4.0 }
limits = { ram_mb = 100.0, max_sockets = 500 }
"#;

/// What a user's request finds at a node that may write so much.
pub(crate) fn request_context(write_fence: WriteFence) -> Context {
    Context {
        settings: Arc::new(Settings::parse("test", SETTINGS).unwrap()),
        machine_types: Arc::new(vec![machine_type()]),
        write_fence,
        peers: vec!["b".into(), "c".into()],
        from_peer: false,
        now_ms: 0,
    }
}

/// The manager of the first leader.
pub(crate) fn manager() -> ClusterManager {
    manager_with_token(1)
}

/// The manager of a leader whose tokens begin here, and whose lease never ends.
pub(crate) fn manager_with_token(token: u64) -> ClusterManager {
    let settings = Arc::new(Settings::parse("test", SETTINGS).unwrap());
    let mut manager = ClusterManager::new(settings, FencingToken(token), 0.0);
    manager.set_lease_valid_until(f64::INFINITY);
    manager.set_machine_types(vec![machine_type()]);
    manager
}

/// Opens a job of four tasks, or a gang of eight.
pub(crate) fn submit(
    manager: &mut ClusterManager,
    id: &str,
    rig: &str,
    precedence: &str,
    due_s: Option<f64>,
    sequence: u64,
) {
    // Gangs save, and need two machines.
    let gang = rig == "group";
    let mut body = submission(id, rig, precedence, if gang { 8 } else { 4 });
    if gang {
        body["fix_interval_s"] = json!(10.0);
        body["fix_s"] = json!(2.0);
    }
    body["due_s"] = json!(due_s);
    let spec = parsed(&body);
    manager.job_accepted(OpenRecord::accepted(spec, 0), sequence, 0, 0.0);
}

/// Hands in a heartbeat of the first machine; returns the commands in its response.
pub(crate) fn heartbeat(
    manager: &mut ClusterManager,
    sequence: u64,
    tasks: Vec<TaskStatus>,
    now: f64,
) -> Vec<Command> {
    heartbeat_from(manager, "m-1", sequence, None, tasks, now)
}

/// A heartbeat of a machine of the only type, in its worker's first incarnation.
pub(crate) fn worker_heartbeat(
    machine: &str,
    sequence: u64,
    token: u64,
    tasks: Vec<TaskStatus>,
) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        endpoint: "127.0.0.1:9".into(),
        kind: "m4".into(),
        zone: "z".into(),
        spot: false,
        incarnation: Incarnation(1),
        sequence: HeartbeatSequence(sequence),
        token: FencingToken(token),
        notice_s: None,
        tasks,
    }
}

/// Hands in a heartbeat of a machine; returns the commands in its response.
pub(crate) fn heartbeat_from(
    manager: &mut ClusterManager,
    machine: &str,
    sequence: u64,
    notice_s: Option<f64>,
    tasks: Vec<TaskStatus>,
    now: f64,
) -> Vec<Command> {
    let mut heartbeat = worker_heartbeat(machine, sequence, 1, tasks);
    heartbeat.notice_s = notice_s;
    match manager.heartbeat(&heartbeat, now) {
        HeartbeatOutcome::Answer(answer) => answer.commands,
        other => panic!("{other:?}"),
    }
}

/// Lets the manager decide until it has nothing more to say.
pub(crate) fn each_effect(
    manager: &mut ClusterManager,
    now: f64,
    mut take: impl FnMut(&mut ClusterManager, Effect),
) {
    manager.step(now);
    loop {
        let effects = manager.take_effects();
        if effects.is_empty() {
            return;
        }
        for effect in effects {
            take(manager, effect);
        }
        manager.step(now);
    }
}

/// The same; writes succeed at once, and other effects are handed to `other`.
pub(crate) fn carry_out(
    manager: &mut ClusterManager,
    now: f64,
    mut other: impl FnMut(&mut ClusterManager, Effect),
) {
    each_effect(manager, now, |manager, effect| match effect {
        Effect::Write { id, .. } => {
            manager.write_finished(id, WriteOutcome::Applied(100 + id), now);
        }
        effect => other(manager, effect),
    });
}

/// The names of tasks that are then launched directly.
pub(crate) fn launched(manager: &mut ClusterManager, now: f64) -> Vec<AttemptId> {
    let mut launched = Vec::new();
    carry_out(manager, now, |_, effect| {
        if let Effect::SendCommands {
            commands: batch, ..
        } = effect
        {
            launched.extend(starts(&batch.commands));
        }
    });
    launched
}

/// The attempts that commands start.
pub(crate) fn starts(commands: &[Command]) -> Vec<AttemptId> {
    let start = |c: &Command| match c {
        Command::Start { task, attempt } => Some(AttemptId::new(task, *attempt)),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

/// How a heartbeat shows these attempts.
pub(crate) fn shown(
    tasks: &[AttemptId],
    state: TaskState,
    cause: Option<Cause>,
) -> Vec<TaskStatus> {
    let show = |id: &AttemptId| TaskStatus {
        task: id.task.clone(),
        attempt: id.attempt,
        state,
        cause,
        saved: None,
    };
    tasks.iter().map(show).collect()
}

/// A state service that keeps values, versions and conditions, and refuses what is too large.
pub(crate) struct Store {
    pub values: BTreeMap<String, (Value, u64)>,
    pub revision: u64,
    /// Bytes of a value, and changes of a transaction, that it takes.
    pub value_bytes: usize,
    pub txn_ops: usize,
}

/// Why a transaction was not carried out.
#[derive(Debug, PartialEq)]
pub(crate) enum Refusal {
    Conflict,
    TooLarge,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            values: BTreeMap::new(),
            revision: 0,
            value_bytes: 16 * 1024,
            txn_ops: 16,
        }
    }
}

impl Store {
    /// Whether a transaction keeps within the bounds of the service.
    fn takes(&self, txn: &Transaction) -> bool {
        let fits = |change: &WriteOperation| match change {
            WriteOperation::Put { value, .. } => value.to_string().len() <= self.value_bytes,
            WriteOperation::Delete { .. } => true,
        };
        let conditions = txn.compares.len() <= 4 * self.txn_ops;
        conditions && txn.operations.len() <= self.txn_ops && txn.operations.iter().all(fits)
    }

    /// The keys of conditions that don't hold.
    pub(crate) fn conflicts(&self, txn: &Transaction) -> Vec<String> {
        let version = |key: &String| self.values.get(key).map_or(0, |v| v.1);
        let fails = |c: &&Compare| version(&c.key) != c.version;
        let failed = txn.compares.iter().filter(fails);
        failed.map(|c| c.key.clone()).collect()
    }

    /// Applies a transaction if all its conditions hold; returns the new revision.
    pub(crate) fn commit(&mut self, txn: &Transaction) -> Result<u64, Refusal> {
        if !self.takes(txn) {
            return Err(Refusal::TooLarge);
        }
        if !self.conflicts(txn).is_empty() {
            return Err(Refusal::Conflict);
        }
        self.revision += 1;
        for change in &txn.operations {
            match change {
                WriteOperation::Put { key, value, .. } => {
                    self.values
                        .insert(key.clone(), (value.clone(), self.revision));
                }
                WriteOperation::Delete { key } => {
                    self.values.remove(key);
                }
            }
        }
        Ok(self.revision)
    }

    /// What a key holds.
    pub(crate) fn item(&self, key: &str) -> Option<VersionedValue> {
        let (value, version) = self.values.get(key)?.clone();
        Some(VersionedValue {
            key: key.to_string(),
            value,
            version,
        })
    }

    /// What a comparison of these conditions gives.
    pub(crate) fn compared(&self, txn: &Transaction) -> CommitOutcome {
        let conflicts = self.conflicts(txn);
        if conflicts.is_empty() {
            CommitOutcome::Applied(self.revision)
        } else {
            CommitOutcome::Conflict(conflicts)
        }
    }

    /// The first items under a prefix that come after a key.
    pub(crate) fn page(&self, prefix: &str, after: &str, limit: usize) -> Page {
        let behind = (Bound::Excluded(after), Bound::Unbounded);
        let keys = self.values.range::<str, _>(behind).map(|(key, _)| key);
        let keys = keys.filter(|key| key.starts_with(prefix)).take(limit + 1);
        let mut items: Vec<VersionedValue> = keys.filter_map(|key| self.item(key)).collect();
        let more = items.len() > limit;
        items.truncate(limit);
        Page {
            items,
            more,
            revision: self.revision,
        }
    }

    /// What all keys under a prefix hold.
    pub(crate) fn under(&self, prefix: &str) -> Vec<VersionedValue> {
        let keys = self.values.keys().filter(|k| k.starts_with(prefix));
        keys.filter_map(|k| self.item(k)).collect()
    }

    /// What a new leader reads.
    pub(crate) fn records(&self) -> Records {
        Records {
            open_jobs: self.under(OPEN_PREFIX),
            completions: self.under(COMPLETION_PREFIX),
            placements: self.under(PLACEMENT_PREFIX),
        }
    }

    /// What keys hold, as it is read when a write went unanswered.
    pub(crate) fn reread(&self, txn: &Transaction) -> WriteOutcome {
        let keys = txn.compares.iter().map(|c| c.key.clone());
        WriteOutcome::Indeterminate(keys.map(|k| (k.clone(), self.item(&k))).collect())
    }

    /// The recorded ends of jobs.
    pub(crate) fn ends(&self, ids: &[JobId]) -> Vec<(JobId, Option<FinalStateRecord>)> {
        let end = |id: &JobId| {
            let (value, _) = self.values.get(&final_state_key(id))?;
            Some(serde_json::from_value(value.clone()).unwrap())
        };
        ids.iter().map(|id| (id.clone(), end(id))).collect()
    }

    /// What an earlier leader finds and leaves that knows one cut of records only: completed tasks
    /// counted from 0, and all places in one record.
    pub(crate) fn led_by_production(&mut self, tasks_a_chunk: u32) {
        self.revision += 1;
        let mut done: BTreeMap<String, std::collections::BTreeSet<u32>> = BTreeMap::new();
        for item in self.under(COMPLETION_PREFIX) {
            let (id, _) = parse_completion_key(&item.key).unwrap();
            let record: StoredCompletions = serde_json::from_value(item.value).unwrap();
            let tasks = record.done.iter().flat_map(|(first, last)| *first..=*last);
            done.entry(id.to_string()).or_default().extend(tasks);
        }
        for (id, tasks) in done {
            for chunk in 0..=tasks.last().unwrap_or(&0) / tasks_a_chunk {
                let mut record = StoredCompletions::default();
                let of_chunk = |t: &&u32| **t / tasks_a_chunk == chunk;
                tasks
                    .iter()
                    .filter(of_chunk)
                    .for_each(|t| record.push_done(*t));
                let value = serde_json::to_value(&record).unwrap();
                self.values
                    .insert(completion_key(&id, chunk as usize), (value, self.revision));
            }
        }
        let mut all = StoredPlacements::default();
        for item in self.under(PLACEMENT_PREFIX) {
            let record: StoredPlacements = serde_json::from_value(item.value).unwrap();
            for (id, machines) in record.allocations {
                for (machine, places) in machines {
                    let there = all.allocations.entry(id.clone()).or_default();
                    let there = there.entry(machine).or_default();
                    there.extend(places);
                    there.sort_unstable();
                    there.dedup();
                }
            }
            let empty = json!({});
            self.values.insert(item.key, (empty, self.revision));
        }
        let value = serde_json::to_value(&all).unwrap();
        self.values.insert(placement_key(0), (value, self.revision));
    }
}

/// Carries effects out; direct commands get no answer. Returns the tasks that were launched so, and
/// the machines that were given back.
pub(crate) fn out_of_reach(manager: &mut ClusterManager, now: f64) -> (Vec<String>, Vec<String>) {
    let (mut launches, mut returned) = (Vec::new(), Vec::new());
    manager.tick(now);
    carry_out(manager, now, |manager, effect| match effect {
        Effect::SendCommands {
            machine,
            commands: batch,
            ..
        } => {
            launches.extend(starts(&batch.commands).into_iter().map(|s| s.task));
            manager.commands_answered(&machine, CommandOutcome::Unknown, now);
        }
        Effect::ReturnMachines(names) => {
            manager.machines_returned(&names, true, now);
            returned.extend(names);
        }
        _ => {}
    });
    (launches, returned)
}

/// Hands in a heartbeat; returns what its answer launches.
pub(crate) fn answered(
    manager: &mut ClusterManager,
    heartbeat: &Heartbeat,
    now: f64,
) -> Vec<String> {
    match manager.heartbeat(heartbeat, now) {
        HeartbeatOutcome::Answer(answer) => starts(&answer.commands)
            .into_iter()
            .map(|s| s.task)
            .collect(),
        other => panic!("{other:?}"),
    }
}

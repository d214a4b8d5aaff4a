//! Helpers that several tests of the manager share.
#![allow(dead_code)] // no test uses all of it

pub(crate) mod http;
pub(crate) mod random;
pub(crate) mod saturated_fleet;

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

/// Identifies an attempt of a task.
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

/// The only machine type. Each machine fits four tasks of `submission`.
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

/// A submission of small tasks without checkpoints.
pub(crate) fn submission(id: &str, kind: &str, priority: &str, tasks: u32) -> Value {
    json!({"name_id":id,"duty":"c","crew":"t","rig":kind,"precedence":priority,"legs":tasks,
        "cpus":1.0,"gpus":0.0,"mem_gb":1.0,"kit":"i","size_gb":1.0,"hulls":null,"berth":null,
        "same_place":false,"spread":false,"driftwood":false,"passage_s":20.0,
        "fix_interval_s":0.0,"fix_s":0.0,"due_s":null})
}

/// Parses a submission.
pub(crate) fn parse_submission(submission: &Value) -> JobSpec {
    JobSpec::parse(submission.to_string().as_bytes()).unwrap()
}

/// The settings file of most tests of the manager.
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

/// The context of a user's request at a controller with this write fence.
pub(crate) fn request_context(write_fence: WriteFence) -> Context {
    Context {
        settings: Arc::new(Settings::parse("test", SETTINGS).unwrap()),
        machine_types: Arc::new(vec![machine_type()]),
        free_job_bytes: u64::MAX,
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

/// The manager of a leader whose first token is `token`, and whose lease never expires.
pub(crate) fn manager_with_token(token: u64) -> ClusterManager {
    let settings = Arc::new(Settings::parse("test", SETTINGS).unwrap());
    let mut manager = ClusterManager::new(settings, FencingToken(token), 0.0);
    manager.set_lease_valid_until(f64::INFINITY);
    manager.set_machine_types(vec![machine_type()]);
    manager
}

/// Submits an array of four tasks, or a gang of eight.
pub(crate) fn submit(
    manager: &mut ClusterManager,
    id: &str,
    kind: &str,
    priority: &str,
    due_s: Option<f64>,
    sequence: u64,
) {
    // Gangs write checkpoints, and need two machines.
    let gang = kind == "group";
    let mut body = submission(id, kind, priority, if gang { 8 } else { 4 });
    if gang {
        body["fix_interval_s"] = json!(10.0);
        body["fix_s"] = json!(2.0);
    }
    body["due_s"] = json!(due_s);
    let spec = parse_submission(&body);
    manager.job_accepted(OpenRecord::accepted(spec, 0), sequence, 0, 0.0);
}

/// Passes a heartbeat of machine `m-1` to the manager, and returns the commands in the response.
pub(crate) fn heartbeat(
    manager: &mut ClusterManager,
    sequence: u64,
    tasks: Vec<TaskStatus>,
    now: f64,
) -> Vec<Command> {
    heartbeat_from(manager, "m-1", sequence, None, tasks, now)
}

/// A heartbeat of a machine of the only type, from the first incarnation of its worker.
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

/// Passes a heartbeat of a machine to the manager, and returns the commands in the response.
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
        HeartbeatOutcome::Response(answer) => answer.commands,
        other => panic!("{other:?}"),
    }
}

/// Steps the manager and passes its effects to `take` until there are none left.
pub(crate) fn for_each_effect(
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

/// Steps the manager until there are no effects left. Writes succeed at once, and other effects are passed to
/// `other`.
pub(crate) fn apply_effects(
    manager: &mut ClusterManager,
    now: f64,
    mut other: impl FnMut(&mut ClusterManager, Effect),
) {
    for_each_effect(manager, now, |manager, effect| match effect {
        Effect::Write { id, .. } => {
            manager.write_finished(id, WriteOutcome::Applied(100 + id), now);
        }
        effect => other(manager, effect),
    });
}

/// The attempts that the manager starts by direct commands at `now`.
pub(crate) fn started_attempts(manager: &mut ClusterManager, now: f64) -> Vec<AttemptId> {
    let mut started = Vec::new();
    apply_effects(manager, now, |_, effect| {
        if let Effect::SendCommands {
            commands: batch, ..
        } = effect
        {
            started.extend(starts(&batch.commands));
        }
    });
    started
}

/// The attempts that commands start.
pub(crate) fn starts(commands: &[Command]) -> Vec<AttemptId> {
    let start = |c: &Command| match c {
        Command::Start { task, attempt } => Some(AttemptId::new(task, *attempt)),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

/// The entries of these attempts in a heartbeat.
pub(crate) fn task_statuses(
    tasks: &[AttemptId],
    state: TaskState,
    cause: Option<Cause>,
) -> Vec<TaskStatus> {
    let status = |id: &AttemptId| TaskStatus {
        task: id.task.clone(),
        attempt: id.attempt,
        state,
        cause,
        saved: None,
    };
    tasks.iter().map(status).collect()
}

/// A model of the state service that checks conditions and size limits.
pub(crate) struct Store {
    pub values: BTreeMap<String, (Value, u64)>,
    pub revision: u64,
    /// The most bytes in a value.
    pub value_bytes: usize,
    /// The most write operations in a transaction.
    pub txn_ops: usize,
}

/// Why a transaction was not applied.
#[derive(Debug, PartialEq)]
pub(crate) enum CommitError {
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
    /// Whether a transaction is within the size limits.
    fn is_within_limits(&self, txn: &Transaction) -> bool {
        let fits = |change: &WriteOperation| match change {
            WriteOperation::Put { value, .. } => value.to_string().len() <= self.value_bytes,
            WriteOperation::Delete { .. } => true,
        };
        let conditions = txn.compares.len() <= 4 * self.txn_ops;
        conditions && txn.operations.len() <= self.txn_ops && txn.operations.iter().all(fits)
    }

    /// The keys whose conditions don't hold.
    pub(crate) fn conflicts(&self, txn: &Transaction) -> Vec<String> {
        let version = |key: &String| self.values.get(key).map_or(0, |v| v.1);
        let fails = |c: &&Compare| version(&c.key) != c.version;
        let failed = txn.compares.iter().filter(fails);
        failed.map(|c| c.key.clone()).collect()
    }

    /// Applies a transaction if all its conditions hold; returns the new revision.
    pub(crate) fn commit(&mut self, txn: &Transaction) -> Result<u64, CommitError> {
        if !self.is_within_limits(txn) {
            return Err(CommitError::TooLarge);
        }
        if !self.conflicts(txn).is_empty() {
            return Err(CommitError::Conflict);
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

    /// The value and the version of a key, if the key exists.
    pub(crate) fn get(&self, key: &str) -> Option<VersionedValue> {
        let (value, version) = self.values.get(key)?.clone();
        Some(VersionedValue {
            key: key.to_string(),
            value,
            version,
        })
    }

    /// The outcome of a transaction that only checks these conditions.
    pub(crate) fn check_conditions(&self, txn: &Transaction) -> CommitOutcome {
        let conflicts = self.conflicts(txn);
        if conflicts.is_empty() {
            CommitOutcome::Applied(self.revision)
        } else {
            CommitOutcome::Conflict(conflicts)
        }
    }

    /// The first `limit` items with a prefix whose keys follow `after`.
    pub(crate) fn page(&self, prefix: &str, after: &str, limit: usize) -> Page {
        let following = (Bound::Excluded(after), Bound::Unbounded);
        let keys = self.values.range::<str, _>(following).map(|(key, _)| key);
        let keys = keys.filter(|key| key.starts_with(prefix)).take(limit + 1);
        let mut items: Vec<VersionedValue> = keys.filter_map(|key| self.get(key)).collect();
        let more = items.len() > limit;
        items.truncate(limit);
        Page {
            items,
            more,
            revision: self.revision,
        }
    }

    /// All items with a prefix.
    pub(crate) fn with_prefix(&self, prefix: &str) -> Vec<VersionedValue> {
        let keys = self.values.keys().filter(|k| k.starts_with(prefix));
        keys.filter_map(|k| self.get(k)).collect()
    }

    /// The records that a new leader reads.
    pub(crate) fn records(&self) -> Records {
        Records {
            open_jobs: self.with_prefix(OPEN_PREFIX),
            completions: self.with_prefix(COMPLETION_PREFIX),
            placements: self.with_prefix(PLACEMENT_PREFIX),
        }
    }

    /// The outcome of a write without a response, with the values of the compared keys, read again.
    pub(crate) fn indeterminate_outcome(&self, txn: &Transaction) -> WriteOutcome {
        let keys = txn.compares.iter().map(|c| c.key.clone());
        WriteOutcome::Indeterminate(keys.map(|k| (k.clone(), self.get(&k))).collect())
    }

    /// The recorded final states of jobs.
    pub(crate) fn final_states(&self, ids: &[JobId]) -> Vec<(JobId, Option<FinalStateRecord>)> {
        let final_state = |id: &JobId| {
            let (value, _) = self.values.get(&final_state_key(id))?;
            Some(serde_json::from_value(value.clone()).unwrap())
        };
        ids.iter().map(|id| (id.clone(), final_state(id))).collect()
    }

    /// Rewrites the records as a leader of the production release does, which knows only one layout:
    /// completed tasks in chunks counted from task 0, and all placements in one record.
    pub(crate) fn rewrite_as_production_release(&mut self, tasks_per_chunk: u32) {
        self.revision += 1;
        let mut done: BTreeMap<String, std::collections::BTreeSet<u32>> = BTreeMap::new();
        for item in self.with_prefix(COMPLETION_PREFIX) {
            let (id, _) = parse_completion_key(&item.key).unwrap();
            let record: StoredCompletions = serde_json::from_value(item.value).unwrap();
            let tasks = record.done.iter().flat_map(|(first, last)| *first..=*last);
            done.entry(id.to_string()).or_default().extend(tasks);
        }
        for (id, tasks) in done {
            for chunk in 0..=tasks.last().unwrap_or(&0) / tasks_per_chunk {
                let mut record = StoredCompletions::default();
                let of_chunk = |t: &&u32| **t / tasks_per_chunk == chunk;
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
        for item in self.with_prefix(PLACEMENT_PREFIX) {
            let record: StoredPlacements = serde_json::from_value(item.value).unwrap();
            for (id, machines) in record.allocations {
                for (machine, placements) in machines {
                    let merged = all.allocations.entry(id.clone()).or_default();
                    let merged = merged.entry(machine).or_default();
                    merged.extend(placements);
                    merged.sort_unstable();
                    merged.dedup();
                }
            }
            let empty = json!({});
            self.values.insert(item.key, (empty, self.revision));
        }
        let value = serde_json::to_value(&all).unwrap();
        self.values.insert(placement_key(0), (value, self.revision));
    }
}

/// Steps the manager while direct commands get no response. Returns the tasks that these commands start, and
/// the machines that were returned to the cloud.
pub(crate) fn lose_commands(manager: &mut ClusterManager, now: f64) -> (Vec<String>, Vec<String>) {
    let (mut launches, mut returned) = (Vec::new(), Vec::new());
    manager.tick(now);
    apply_effects(manager, now, |manager, effect| match effect {
        Effect::SendCommands {
            machine,
            commands: batch,
            ..
        } => {
            launches.extend(starts(&batch.commands).into_iter().map(|s| s.task));
            manager.commands_finished(&machine, CommandOutcome::Indeterminate, now);
        }
        Effect::ReturnMachines(names) => {
            manager.machines_returned(&names, true, now);
            returned.extend(names);
        }
        _ => {}
    });
    (launches, returned)
}

/// Passes a heartbeat to the manager, and returns the tasks that the response starts.
pub(crate) fn heartbeat_starts(
    manager: &mut ClusterManager,
    heartbeat: &Heartbeat,
    now: f64,
) -> Vec<String> {
    match manager.heartbeat(heartbeat, now) {
        HeartbeatOutcome::Response(answer) => starts(&answer.commands)
            .into_iter()
            .map(|s| s.task)
            .collect(),
        other => panic!("{other:?}"),
    }
}

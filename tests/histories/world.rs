//! The state service, the workers and the controllers of a history, and what users ask of them.

use super::common::{self, Refusal, Store};
use super::job::{split, Job, RunTimes};
use super::leader::Leader;
use super::network::Network;
use super::peers::Peers;
use super::settings::SETTINGS;
use super::tasks::{GangAttempt, GangRun};
use super::worker::Worker;
use serde_json::{json, Value};
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::cloud::MachineType;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::job::JobState;
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::{CommandBatch, Heartbeat};
use stairstage::settings::Settings;
use stairstage::storage::records::{
    final_state_key, open_key, OpenRecord, LEADER_KEY, OPEN_PREFIX,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What becomes of a write.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum WriteFate {
    #[default]
    Answered,
    /// It is carried out at once; only its answer is lost.
    Unanswered,
    Lost,
    /// It is carried out later, if its conditions still hold then.
    Late,
}

/// All parts of a history, and what its checks know.
pub(crate) struct World {
    pub now: f64,
    pub settings: Arc<Settings>,
    pub types: Vec<MachineType>,
    pub store: Store,
    pub workers: Vec<Worker>,
    /// Nobody leads for a while after a leader has ended.
    pub leader: Option<Leader>,
    /// Earlier leaders that may still answer reports, the last one last.
    pub former_leaders: Vec<Leader>,
    /// The controllers that never lead here; users cancel jobs by way of them.
    pub peers: Peers,
    /// The state service is down for all.
    pub store_is_down: bool,
    /// Every heartbeat that was sent: copies of it may arrive.
    pub sent_heartbeats: Vec<Heartbeat>,
    /// Transactions that may be carried out late.
    pub late_transactions: Vec<Transaction>,
    /// Direct commands by machine, each of which may arrive again.
    pub repeatable_commands: Vec<(String, CommandBatch)>,
    /// Whether direct commands are held back.
    pub commands_held: bool,
    pub next_write: WriteFate,
    pub jobs: BTreeMap<String, Job>,
    /// What takes time, in histories that have a clock of their own.
    pub network: Option<Network>,
    pub gang_runs: BTreeMap<GangAttempt, GangRun>,
    /// Machines that the cloud still has to rent, and whether it refuses all requests.
    pub rentable: usize,
    pub cloud_is_down: bool,
    /// Since when jobs wait that could run, once all faults are over.
    pub could_run_since: BTreeMap<String, f64>,
}

impl World {
    pub(crate) fn new(types: Vec<MachineType>, workers: Vec<Worker>) -> World {
        World {
            now: 0.0,
            settings: Arc::new(Settings::parse("test", SETTINGS).unwrap()),
            types,
            store: Store::default(),
            workers,
            leader: None,
            former_leaders: Vec::new(),
            peers: Peers::new(),
            store_is_down: false,
            sent_heartbeats: Vec::new(),
            late_transactions: Vec::new(),
            repeatable_commands: Vec::new(),
            commands_held: false,
            next_write: WriteFate::Answered,
            jobs: BTreeMap::new(),
            network: None,
            gang_runs: BTreeMap::new(),
            rentable: 0,
            cloud_is_down: false,
            could_run_since: BTreeMap::new(),
        }
    }

    /// A controller is elected; who has led until now loses the state service, if it still lives.
    pub(crate) fn elect(&mut self) {
        if let Some(lease_end) = self.isolated_until() {
            self.pass((lease_end - self.now).max(0.0));
        }
        let txn = Transaction::default().put(LEADER_KEY, json!({"node": "a"}));
        let token = self.store.commit(&txn).unwrap();
        let mut manager = ClusterManager::new(self.settings.clone(), FencingToken(token), self.now);
        manager.set_machine_types(self.types.clone());
        manager.set_lease_valid_until(f64::INFINITY);
        manager.recover(self.store.records(), 0, self.now);
        let leader = Leader::new(manager, &self.peers, self.now);
        if let Some(mut former) = self.leader.replace(leader) {
            former
                .manager
                .set_lease_valid_until(former.manager.lease_valid_until().min(self.now));
            former.cut_off(self.known_until());
            self.former_leaders.push(former);
        }
        let (now, workers) = (self.now, &self.settings.cluster.workers);
        self.former_leaders.retain(|l| l.may_renew(now, workers));
        self.effects();
    }

    /// When the lease of a leader is over that has lost the state service.
    fn isolated_until(&self) -> Option<f64> {
        let isolated = self.leader.as_ref().filter(|l| !l.reaches_store);
        isolated.map(|l| l.manager.lease_valid_until())
    }

    /// The leader loses the state service and the other controllers; its lease goes on for a while.
    pub(crate) fn isolate_leader(&mut self, lease_s: f64) {
        self.refuse_leader(lease_s);
        if let Some(leader) = &mut self.leader {
            leader.reaches_peers = false;
        }
    }

    /// The state service refuses the leader; its lease there goes on for a while.
    pub(crate) fn refuse_leader(&mut self, lease_s: f64) {
        let (known_until, now) = (self.known_until(), self.now);
        if let Some(leader) = self.leader.as_mut().filter(|l| l.reaches_store) {
            leader.lose_store(known_until);
            leader.manager.set_lease_valid_until(now + lease_s);
        }
    }

    /// The moment up to which a controller that reaches the state service knows of everything.
    pub(crate) fn known_until(&self) -> f64 {
        let delay_s = self
            .network
            .as_ref()
            .map_or(0.0, Network::max_announcement_delay_s);
        self.now - delay_s
    }

    /// Earlier leaders are told of every cancellation that was confirmed so far.
    pub(crate) fn tell_formers(&mut self) {
        let cancelled = self.jobs.iter().filter(|(_, j)| j.cancelled_at.is_some());
        for former in &mut self.former_leaders {
            for (id, _) in cancelled.clone() {
                former
                    .manager
                    .job_finished(id, JobState::Cancelled, self.now);
            }
            former.manager.take_effects();
            former.records_read(self.now);
        }
    }

    /// The controller whose leadership has this id, if it still lives.
    pub(crate) fn controller(&mut self, id: u64) -> Option<&mut Leader> {
        let mut all = self.leader.iter_mut().chain(&mut self.former_leaders);
        all.find(|l| l.id() == id)
    }

    /// The decisions of the leader, which there must be.
    pub(crate) fn manager(&mut self) -> &mut ClusterManager {
        &mut self.leader.as_mut().expect("somebody leads").manager
    }

    /// Whether all tasks of a job have completed.
    pub(crate) fn is_complete(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(Job::is_complete)
    }

    /// Whether the user of a job, or of one that it needs, has cancelled it.
    pub(crate) fn is_cancelled_by_user(&self, id: &str) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut needs = job.spec.waits_on.iter();
        job.cancelled_at.is_some() || needs.any(|n| self.is_cancelled_by_user(n))
    }

    /// The leases of workers that were not renewed end.
    pub(crate) fn expire(&mut self) {
        let lease_s = self.settings.cluster.workers.lease_s;
        for i in 0..self.workers.len() {
            let over_at = self.workers[i].lease_renewed_at + lease_s;
            if self.now > over_at && self.workers[i].is_up(self.now) {
                self.check_cancelled_tasks_stopped(&self.workers[i], over_at);
                self.workers[i].expire(self.now);
            }
        }
    }

    /// Time passes without reports; leases that are not renewed end.
    pub(crate) fn pass(&mut self, seconds: f64) {
        self.now += seconds;
        self.expire();
        for w in &self.workers {
            self.check_cancelled_tasks_stopped(w, self.now);
        }
    }

    /// A submission by way of any node. `looks`: the node checks whether what the job needs is cancelled.
    pub(crate) fn submit(&mut self, id: &str, body: &Value, run_times: RunTimes, looks: bool) {
        let spec = common::parsed(body);
        let names = spec.waits_on.clone();
        let record = OpenRecord::accepted(spec.clone(), 0);
        let txn = Transaction::default()
            .absent(open_key(id))
            .absent(final_state_key(id))
            .put(open_key(id), serde_json::to_value(&record).unwrap());
        let ended = |id: &String| self.store.item(&final_state_key(id)).map(|i| i.value);
        if looks
            && names
                .iter()
                .any(|n| ended(n).is_some_and(|v| v["state"] == "cancelled"))
        {
            let txn = Transaction::default()
                .absent(open_key(id))
                .absent(final_state_key(id))
                .put(final_state_key(id), json!({"state": "cancelled"}));
            if self.store.commit(&txn).is_ok() {
                self.jobs.insert(id.to_string(), Job::new(spec, run_times));
                self.announce_end(id);
            }
            return;
        }
        if let Ok(version) = self.commit_of_a_node(&txn) {
            self.jobs.insert(id.to_string(), Job::new(spec, run_times));
            self.announce_job(record, version);
        }
    }

    /// A cancellation by way of any node.
    pub(crate) fn cancel(&mut self, id: &str) {
        let Some(item) = self.store.item(&open_key(id)) else {
            return;
        };
        let mut record: OpenRecord = serde_json::from_value(item.value).unwrap();
        record.cancelled = true;
        let txn = Transaction::default()
            .absent(final_state_key(id))
            .version(open_key(id), item.version)
            .put(final_state_key(id), json!({"state":"cancelled"}))
            .put(open_key(id), serde_json::to_value(&record).unwrap());
        if self.commit_of_a_node(&txn).is_ok() {
            self.peers.confirm(id);
            let job = self.jobs.get_mut(id).expect("an accepted job");
            job.cancelled_at = Some(self.now);
            self.announce_end(id);
        }
    }

    /// What nodes write for users has other bounds than these histories', which are narrow so that
    /// the leader's records are cut often.
    fn commit_of_a_node(&mut self, txn: &Transaction) -> Result<u64, Refusal> {
        if self.store_is_down {
            return Err(Refusal::Conflict);
        }
        let narrow = std::mem::replace(&mut self.store.value_bytes, usize::MAX);
        let result = self.store.commit(txn);
        self.store.value_bytes = narrow;
        result
    }

    /// Tasks of cancelled jobs that are on machines.
    pub(crate) fn cancelled_on_machines(&self) -> usize {
        let there = self.workers.iter().filter(|w| !w.gone);
        let jobs = there
            .flat_map(Worker::live)
            .map(|task| &self.jobs[split(task).0]);
        jobs.filter(|j| j.cancelled_at.is_some()).count()
    }

    /// The incarnations of all workers: one that goes on shows that a lease has ended.
    pub(crate) fn incarnations(&self) -> Vec<u64> {
        self.workers.iter().map(|w| w.incarnation).collect()
    }

    /// Every job has come to its end: done, or cancelled if somebody asked for that.
    pub(crate) fn check_ends(&self) {
        let open = self.store.under(OPEN_PREFIX);
        let id = |key: &str| {
            key.strip_prefix(OPEN_PREFIX)
                .expect("the key of a job")
                .to_string()
        };
        let open: Vec<String> = open.iter().map(|i| self.describe(&id(&i.key))).collect();
        assert!(open.is_empty(), "never ended: {open:#?}");
        for id in self.jobs.keys() {
            let end = self
                .store
                .item(&final_state_key(id))
                .expect("recorded")
                .value;
            let expected = if self.is_cancelled_by_user(id) {
                "cancelled"
            } else {
                "done"
            };
            assert_eq!(end["state"], expected, "orphaned, or lost: {id}");
        }
    }

    /// A job that is still open, and where its tasks are.
    pub(crate) fn describe(&self, id: &str) -> String {
        let job = &self.jobs[id];
        let mut tasks = Vec::new();
        for w in self.workers.iter().filter(|w| !w.gone) {
            let of_job = w
                .tasks
                .iter()
                .filter(|(attempt, _)| split(&attempt.task).0 == id);
            tasks.extend(of_job.map(|(attempt, t)| (&attempt.task, t.state, &w.name)));
        }
        format!(
            "{:?}, done {:?}, cancelled {:?}, now at {tasks:?}",
            job.spec, job.done, job.cancelled_at
        )
    }
}

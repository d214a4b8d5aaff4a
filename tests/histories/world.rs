//! The simulated cluster of a history: state service, workers and controllers, and users' requests.

use super::common::{self, CommitError, Store};
use super::job::{split_task_name, Job, RunTimes};
use super::leader::Leader;
use super::network::Network;
use super::peers::Peers;
use super::settings::SETTINGS;
use super::tasks::{GangAttempt, GangProgress};
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

/// The fault that affects a write.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum WriteFault {
    #[default]
    None,
    /// The write is applied immediately; only the response is lost.
    ResponseLost,
    RequestLost,
    /// The write is applied later, if its conditions still hold by then.
    Delayed,
}

/// The state of a history, including what its checks compare against.
pub(crate) struct World {
    pub now: f64,
    pub settings: Arc<Settings>,
    pub types: Vec<MachineType>,
    pub store: Store,
    pub workers: Vec<Worker>,
    /// The present leader; `None` between a leader's stop and the next election.
    pub leader: Option<Leader>,
    /// Former leaders that may still answer heartbeats, the most recent one last.
    pub former_leaders: Vec<Leader>,
    /// The controllers that never become leader; users cancel jobs through them.
    pub peers: Peers,
    /// Whether no controller reaches the state service.
    pub store_is_down: bool,
    /// All heartbeats sent so far, of which duplicates may arrive.
    pub sent_heartbeats: Vec<Heartbeat>,
    /// Transactions that the state service may still apply, or receive again.
    pub replayable_transactions: Vec<Transaction>,
    /// Direct commands by machine, of which duplicates may arrive.
    pub replayable_commands: Vec<(String, CommandBatch)>,
    /// Whether direct commands are held back.
    pub commands_held: bool,
    pub next_write_fault: WriteFault,
    pub jobs: BTreeMap<String, Job>,
    /// Messages in transit; `None` in histories of steps, where messages arrive immediately.
    pub network: Option<Network>,
    pub gang_progress: BTreeMap<GangAttempt, GangProgress>,
    /// The number of machines that the cloud can still rent out.
    pub rentable: usize,
    /// Whether the cloud rejects all requests.
    pub cloud_is_down: bool,
    /// Since when each waiting job could have started; only kept once all faults are over.
    pub startable_since: BTreeMap<String, f64>,
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
            replayable_transactions: Vec::new(),
            replayable_commands: Vec::new(),
            commands_held: false,
            next_write_fault: WriteFault::None,
            jobs: BTreeMap::new(),
            network: None,
            gang_progress: BTreeMap::new(),
            rentable: 0,
            cloud_is_down: false,
            startable_since: BTreeMap::new(),
        }
    }

    /// Elects a new leader. If the present leader has lost the state service, time first advances to
    /// the end of its leadership lease. A previous leader that still runs is isolated and becomes a
    /// former leader.
    pub(crate) fn elect(&mut self) {
        if let Some(lease_end) = self.isolated_leader_lease_end() {
            self.advance_time((lease_end - self.now).max(0.0));
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
            former.isolate(self.announced_until());
            self.former_leaders.push(former);
        }
        let (now, workers) = (self.now, &self.settings.cluster.workers);
        self.former_leaders.retain(|l| l.may_renew(now, workers));
        self.apply_effects();
    }

    /// When the leadership lease of a leader that has lost the state service expires.
    fn isolated_leader_lease_end(&self) -> Option<f64> {
        let isolated = self.leader.as_ref().filter(|l| !l.reaches_store);
        isolated.map(|l| l.manager.lease_valid_until())
    }

    /// Cuts the leader off from the state service and its peers; its lease stays valid for `lease_s`.
    pub(crate) fn isolate_leader(&mut self, lease_s: f64) {
        self.disconnect_leader_from_store(lease_s);
        if let Some(leader) = &mut self.leader {
            leader.reaches_peers = false;
        }
    }

    /// Cuts the leader off from the state service only; its lease stays valid for `lease_s`.
    pub(crate) fn disconnect_leader_from_store(&mut self, lease_s: f64) {
        let (announced_until, now) = (self.announced_until(), self.now);
        if let Some(leader) = self.leader.as_mut().filter(|l| l.reaches_store) {
            leader.disconnect_store(announced_until);
            leader.manager.set_lease_valid_until(now + lease_s);
        }
    }

    /// The time up to which a controller that reaches the state service has received every announcement.
    pub(crate) fn announced_until(&self) -> f64 {
        let delay_s = self
            .network
            .as_ref()
            .map_or(0.0, Network::max_announcement_delay_s);
        self.now - delay_s
    }

    /// Sends former leaders every cancellation that was confirmed so far.
    pub(crate) fn send_cancellations_to_former_leaders(&mut self) {
        let cancelled = self.jobs.iter().filter(|(_, j)| j.cancelled_at.is_some());
        for former in &mut self.former_leaders {
            for (id, _) in cancelled.clone() {
                former
                    .manager
                    .final_state_recorded(id, JobState::Cancelled, self.now);
            }
            former.manager.take_effects();
            former.records_read(self.now);
        }
    }

    /// The controller whose leadership has this id, if it still runs.
    pub(crate) fn controller(&mut self, id: u64) -> Option<&mut Leader> {
        let mut all = self.leader.iter_mut().chain(&mut self.former_leaders);
        all.find(|l| l.id() == id)
    }

    /// The cluster manager of the leader; panics if there is no leader.
    pub(crate) fn manager(&mut self) -> &mut ClusterManager {
        &mut self.leader.as_mut().expect("a leader").manager
    }

    /// Whether all tasks of a job have completed.
    pub(crate) fn is_complete(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(Job::is_complete)
    }

    /// Whether a user has cancelled the job or one of its dependencies, direct or indirect.
    pub(crate) fn is_cancelled_by_user(&self, id: &str) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut dependencies = job.spec.waits_on.iter();
        job.cancelled_at.is_some() || dependencies.any(|d| self.is_cancelled_by_user(d))
    }

    /// Expires the leases of workers that were not renewed in time.
    pub(crate) fn expire_leases(&mut self) {
        let lease_s = self.settings.cluster.workers.lease_s;
        for i in 0..self.workers.len() {
            let expires_at = self.workers[i].lease_renewed_at + lease_s;
            if self.now > expires_at && self.workers[i].is_up(self.now) {
                self.check_cancelled_tasks_stopped(&self.workers[i], expires_at);
                self.workers[i].expire_lease(self.now);
            }
        }
    }

    /// Advances the time without heartbeats; worker leases that were not renewed expire.
    pub(crate) fn advance_time(&mut self, seconds: f64) {
        self.now += seconds;
        self.expire_leases();
        for w in &self.workers {
            self.check_cancelled_tasks_stopped(w, self.now);
        }
    }

    /// Submits a job through any controller. With `checks_dependencies`, the controller first checks
    /// whether a dependency is cancelled.
    pub(crate) fn submit(
        &mut self,
        id: &str,
        body: &Value,
        run_times: RunTimes,
        checks_dependencies: bool,
    ) {
        let spec = common::parse_submission(body);
        let dependencies = spec.waits_on.clone();
        let record = OpenRecord::accepted(spec.clone(), 0);
        let txn = Transaction::default()
            .absent(open_key(id))
            .absent(final_state_key(id))
            .put(open_key(id), serde_json::to_value(&record).unwrap());
        let final_state = |id: &String| self.store.get(&final_state_key(id)).map(|i| i.value);
        if checks_dependencies
            && dependencies
                .iter()
                .any(|d| final_state(d).is_some_and(|v| v["state"] == "cancelled"))
        {
            let txn = Transaction::default()
                .absent(open_key(id))
                .absent(final_state_key(id))
                .put(final_state_key(id), json!({"state": "cancelled"}));
            if self.store.commit(&txn).is_ok() {
                self.jobs.insert(id.to_string(), Job::new(spec, run_times));
                self.announce_cancellation(id);
            }
            return;
        }
        if let Ok(version) = self.commit_for_user(&txn) {
            self.jobs.insert(id.to_string(), Job::new(spec, run_times));
            self.announce_job(record, version);
        }
    }

    /// Cancels a job through any controller.
    pub(crate) fn cancel(&mut self, id: &str) {
        let Some(item) = self.store.get(&open_key(id)) else {
            return;
        };
        let mut record: OpenRecord = serde_json::from_value(item.value).unwrap();
        record.cancelled = true;
        let txn = Transaction::default()
            .absent(final_state_key(id))
            .version(open_key(id), item.version)
            .put(final_state_key(id), json!({"state":"cancelled"}))
            .put(open_key(id), serde_json::to_value(&record).unwrap());
        if self.commit_for_user(&txn).is_ok() {
            self.peers.confirm_cancellation(id);
            let job = self.jobs.get_mut(id).expect("an accepted job");
            job.cancelled_at = Some(self.now);
            self.announce_cancellation(id);
        }
    }

    /// Commits a write for a user. Such writes are exempt from the limits of these histories, which
    /// are narrow so that the leader's records are split often.
    fn commit_for_user(&mut self, txn: &Transaction) -> Result<u64, CommitError> {
        if self.store_is_down {
            return Err(CommitError::Conflict);
        }
        let narrow = std::mem::replace(&mut self.store.value_bytes, usize::MAX);
        let result = self.store.commit(txn);
        self.store.value_bytes = narrow;
        result
    }

    /// The number of tasks of cancelled jobs that run on machines.
    pub(crate) fn cancelled_tasks_on_machines(&self) -> usize {
        let present = self.workers.iter().filter(|w| !w.terminated);
        let jobs = present
            .flat_map(Worker::live_tasks)
            .map(|task| &self.jobs[split_task_name(task).0]);
        jobs.filter(|j| j.cancelled_at.is_some()).count()
    }

    /// The incarnations of all workers; a worker's incarnation increases when its lease expires.
    pub(crate) fn incarnations(&self) -> Vec<u64> {
        self.workers.iter().map(|w| w.incarnation).collect()
    }

    /// Checks that every job is finished: cancelled if a user has cancelled it, otherwise done.
    pub(crate) fn check_final_states(&self) {
        let open = self.store.with_prefix(OPEN_PREFIX);
        let id = |key: &str| {
            key.strip_prefix(OPEN_PREFIX)
                .expect("the key of a job")
                .to_string()
        };
        let open: Vec<String> = open.iter().map(|i| self.describe(&id(&i.key))).collect();
        assert!(open.is_empty(), "not finished: {open:#?}");
        for id in self.jobs.keys() {
            let final_state = self
                .store
                .get(&final_state_key(id))
                .expect("a recorded final state")
                .value;
            let expected = if self.is_cancelled_by_user(id) {
                "cancelled"
            } else {
                "done"
            };
            assert_eq!(final_state["state"], expected, "wrong final state: {id}");
        }
    }

    /// Describes a job and where its tasks run, for a failed check.
    pub(crate) fn describe(&self, id: &str) -> String {
        let job = &self.jobs[id];
        let mut tasks = Vec::new();
        for w in self.workers.iter().filter(|w| !w.terminated) {
            let of_job = w
                .tasks
                .iter()
                .filter(|(attempt, _)| split_task_name(&attempt.task).0 == id);
            tasks.extend(of_job.map(|(attempt, t)| (&attempt.task, t.state, &w.name)));
        }
        format!(
            "{:?}, done tasks {:?}, cancelled at {:?}, tasks on machines: {tasks:?}",
            job.spec, job.done, job.cancelled_at
        )
    }
}

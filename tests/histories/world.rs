//! The state service, the workers and the controllers of a history, and what users ask of them.

use super::common::{self, Refusal, Store};
use super::settings::SETTINGS;
use super::steps::Step;
use super::worker::Worker;
use serde_json::json;
use stairstage::bookkeeping::records::*;
use stairstage::coordination::core::Core;
use stairstage::protocol::job::JobState;
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::*;
use stairstage::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Jobs that a history may submit.
pub const JOBS: u8 = 9;

/// The number that a job or one of its tasks bears.
pub fn job_number(name: &str) -> Option<u8> {
    name.strip_prefix("req-")?.split('/').next()?.parse().ok()
}

pub struct World {
    pub now: f64,
    pub settings: Arc<Settings>,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub core: Core,
    /// The leader before, and when its lease was over.
    pub former: Option<(Core, f64)>,
    /// Every report that was sent, and transactions that may be carried out late.
    pub sent: Vec<Report>,
    pub late: Vec<Transaction>,
    pub held: Vec<(String, Orders)>,
    pub holding: bool,
    pub writes: u8,
    pub done: BTreeMap<String, BTreeSet<u32>>,
    pub cancelled: BTreeMap<String, f64>,
    pub ended: BTreeMap<String, JobState>,
    /// What each accepted job waits for.
    pub waits_on: BTreeMap<String, Vec<String>>,
}

impl World {
    pub fn new() -> World {
        let settings = Arc::new(Settings::parse("test", SETTINGS).unwrap());
        let workers = (0..3).map(|i| Worker::new(i, 0.0)).collect();
        let mut world = World {
            now: 0.0,
            core: Core::new(settings.clone(), 0, 0.0),
            settings,
            store: Store::default(),
            workers,
            former: None,
            sent: Vec::new(),
            late: Vec::new(),
            held: Vec::new(),
            holding: false,
            writes: 0,
            done: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            ended: BTreeMap::new(),
            waits_on: BTreeMap::new(),
        };
        world.elect();
        world
    }

    pub fn elect(&mut self) {
        let txn = Transaction::default().put(LEADER, json!({"node": "a"}));
        let token = self.store.commit(&txn).unwrap();
        let mut core = Core::new(self.settings.clone(), token, self.now);
        core.set_types(vec![common::machine_type()]);
        core.valid_until = f64::INFINITY;
        core.recover(self.store.records(), 0, self.now);
        let mut former = std::mem::replace(&mut self.core, core);
        former.valid_until = self.now;
        self.former = Some((former, self.now));
        self.effects();
    }

    pub fn tasks_of(job: &str) -> usize {
        match job_number(job).is_some_and(|n| n % 3 == 2) {
            true => 2,
            false => 3,
        }
    }

    pub fn is_complete(&self, job: &str) -> bool {
        self.done.get(job).map_or(0, BTreeSet::len) == Self::tasks_of(job)
    }

    /// Whether the user of a job, or of one that it needs, has cancelled it.
    pub fn is_taken_back(&self, job: &str) -> bool {
        let needs = self.waits_on.get(job).into_iter().flatten();
        self.cancelled.contains_key(job) || needs.into_iter().any(|n| self.is_taken_back(n))
    }

    /// A task completes; those of a gang do so together.
    pub fn finish(&mut self, task: &str) {
        let (job, _) = task.rsplit_once('/').unwrap();
        let gang = job_number(task).is_some_and(|n| n % 3 == 2);
        let done = self.done.entry(job.to_string()).or_default();
        for w in self.workers.iter_mut().filter(|w| !w.gone) {
            for ((name, _), t) in w.tasks.iter_mut() {
                let same = if gang {
                    name.starts_with(&format!("{job}/"))
                } else {
                    name == task
                };
                if same && t.state == TaskState::Running {
                    t.state = TaskState::Exited;
                    t.cause = Some(Cause::Done);
                    done.insert(name.rsplit_once('/').unwrap().1.parse().unwrap());
                }
            }
        }
        if gang {
            done.extend([0, 1]);
        }
    }

    pub fn doubt_s(&self) -> f64 {
        let workers = &self.settings.cluster.workers;
        0.85 * (workers.cancel_s - workers.lease_s)
    }

    pub fn expire(&mut self) {
        let lease_s = self.settings.cluster.workers.lease_s;
        for w in self
            .workers
            .iter_mut()
            .filter(|w| self.now - w.renewed > lease_s)
        {
            w.session += 1;
            w.tasks.clear();
            w.renewed = self.now;
        }
    }

    /// Every third job is an array, a service that outranks the others, or a gang.
    pub fn submit(&mut self, n: u8, waits_on: u16, looks: bool) {
        let id = format!("req-{n}");
        let accepted = |id: &String| self.waits_on.contains_key(id);
        let names = (0..JOBS).filter(|i| waits_on & (1 << i) != 0 && i % 3 != 1 && *i != n);
        // A few at the most, so that some pipelines come to their end.
        let names = names.map(|i| format!("req-{i}")).filter(accepted).take(2);
        let names: Vec<String> = names.collect();
        let (rig, precedence, tasks) = match n % 3 {
            0 => ("sweep", "normal", 3),
            1 => ("standing", "critical", 2),
            _ => ("group", "normal", 2),
        };
        let mut body = common::submission(&id, rig, precedence, tasks);
        body["waits_on"] = json!(names);
        let spec = common::parsed(&body);
        let record = OpenRecord::accepted(spec, 0);
        let txn = Transaction::default()
            .absent(open_key(&id))
            .absent(end_key(&id))
            .put(open_key(&id), serde_json::to_value(&record).unwrap());
        let ended = |id: &String| self.store.item(&end_key(id)).map(|i| i.value);
        if looks
            && names
                .iter()
                .any(|n| ended(n).is_some_and(|v| v["state"] == "cancelled"))
        {
            let txn = Transaction::default()
                .absent(open_key(&id))
                .absent(end_key(&id))
                .put(end_key(&id), json!({"state": "cancelled"}));
            if self.store.commit(&txn).is_ok() {
                self.waits_on.insert(id.clone(), names);
                self.core.ended(&id, JobState::Cancelled, self.now);
            }
            return;
        }
        if let Ok(version) = self.commit_of_a_node(&txn) {
            self.waits_on.insert(id, names);
            self.core.job_opened(record, version, 0, self.now);
        }
    }

    pub fn cancel(&mut self, n: u8) {
        let id = format!("req-{n}");
        let Some(item) = self.store.item(&open_key(&id)) else {
            return;
        };
        let mut record: OpenRecord = serde_json::from_value(item.value).unwrap();
        record.cancelled = true;
        let txn = Transaction::default()
            .absent(end_key(&id))
            .version(open_key(&id), item.version)
            .put(end_key(&id), json!({"state":"cancelled"}))
            .put(open_key(&id), serde_json::to_value(&record).unwrap());
        if self.commit_of_a_node(&txn).is_ok() {
            self.cancelled.insert(id.clone(), self.now);
            self.core.ended(&id, JobState::Cancelled, self.now);
        }
    }

    /// What nodes write for users has other bounds than these histories', which are narrow so that
    /// the leader's records are cut often.
    pub fn commit_of_a_node(&mut self, txn: &Transaction) -> Result<u64, Refusal> {
        let narrow = std::mem::replace(&mut self.store.value_bytes, usize::MAX);
        let result = self.store.commit(txn);
        self.store.value_bytes = narrow;
        result
    }

    /// Lets everything heal; what was accepted must come to its end.
    pub fn heal(&mut self) {
        self.holding = false;
        self.former = None;
        for service in [1, 4, 7] {
            self.cancel(service);
        }
        for i in 0..600 {
            for w in 0..3u8 {
                self.workers[w as usize].cut = false;
                self.workers[w as usize].deaf = false;
                self.apply(Step::Report {
                    worker: w,
                    answer_lost: false,
                });
                self.apply(Step::Finish { worker: w });
            }
            self.apply(Step::Pass(5));
            // Machines that were given back are replaced.
            if i % 20 == 0 && self.workers.iter().all(|w| w.gone) {
                self.workers.push(Worker::new(self.workers.len(), self.now));
                let last = self.workers.len() - 1;
                self.workers.swap(0, last);
            }
        }
        let open = self.store.under(OPEN);
        assert!(
            open.is_empty(),
            "never ended: {:?}",
            open.iter().map(|i| &i.key).collect::<Vec<_>>()
        );
        for id in self.waits_on.keys() {
            let end = self.store.item(&end_key(id)).expect("recorded").value;
            let expected = match self.is_taken_back(id) {
                true => "cancelled",
                false => "done",
            };
            assert_eq!(end["state"], expected, "orphaned, or lost: {id}");
        }
    }
}

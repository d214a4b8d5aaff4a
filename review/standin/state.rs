//! The state service: keys, transactions, leases and watches, with its limits. Each controller has an address
//! of its own, so that one of them alone can be refused or lose an answer.

use crate::http::{answer, serve, Reply, Request};
use crate::json::{obj, Json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

struct Entry {
    value: Json,
    stamp: u64,
    lease: Option<u64>,
}

struct Lease {
    life: Duration,
    ends_at: Instant,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            level: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.level =
            (self.level + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let available = self.level >= count;
        self.level -= if available { count } else { 0.0 };
        available
    }
}

struct Store {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    changes: VecDeque<(u64, String, Json)>,
    tally: u64,
    limits: Limits,
    requests: Bucket,
    writes: Bucket,
}

/// What happens to the requests of one controller.
#[derive(Default)]
pub struct Faults {
    /// 503 to this controller alone.
    pub refuses: bool,
    /// The next transaction that writes a key with this prefix is carried out, and its answer is lost.
    pub lose_answer_to: Option<String>,
    /// How many answers have been lost so far.
    pub lost: u64,
}

pub struct State {
    store: Mutex<Store>,
    changed: Condvar,
    pub faults: Vec<Mutex<Faults>>,
    /// 503 to all.
    pub outage: Mutex<bool>,
}

/// The changes that the service retains.
const RETAINED: usize = 10_000;

impl Store {
    fn change(&mut self, key: &str, change: Json) {
        self.changes
            .push_back((self.tally, key.to_string(), change));
        if self.changes.len() > RETAINED {
            self.changes.pop_front();
        }
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let stamp = self.tally.into();
            self.change(key, obj([("delete", key.into()), ("stamp", stamp)]));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == Some(lease));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.tally += 1;
        }
        keys.iter().for_each(|key| self.delete(key));
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| now > lease.ends_at);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| self.end_lease(*id));
        !ended.is_empty()
    }

    fn transact(&mut self, request: &Request) -> (u16, Json) {
        let (conditions, changes) = (
            request.body.get("if").list(),
            request.body.get("apply").list(),
        );
        let ops = self.limits.txn_ops;
        let error = |text: &str| (400, obj([("error", text.into())]));
        if changes.len() > ops || conditions.len() > 4 * ops || request.bytes > 64 * 1024 {
            return error("transaction too large");
        }
        if !changes.is_empty() && !self.writes.take(changes.len() as f64) {
            return (429, obj([("error", "too many changes".into())]));
        }
        for change in changes {
            if change.get("v").to_string().len() > self.limits.value_bytes {
                return error("value too large");
            }
            let lease = change.get("mooring").u64();
            if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                return error("no such lease");
            }
        }
        let holds = |c: &&Json| {
            let stamp = self
                .keys
                .get(c.get("key").str().unwrap_or(""))
                .map_or(0, |entry| entry.stamp);
            Some(stamp) != c.get("stamp").u64()
        };
        let failed: Vec<Json> = conditions
            .iter()
            .filter(holds)
            .map(|c| c.get("key").clone())
            .collect();
        if !failed.is_empty() {
            return (
                409,
                obj([("failed", failed.into()), ("tally", self.tally.into())]),
            );
        }
        if !changes.is_empty() {
            self.tally += 1;
        }
        for change in changes {
            if let Some(key) = change.get("write").str() {
                let (value, stamp) = (change.get("v").clone(), self.tally);
                let entry = Entry {
                    value: value.clone(),
                    stamp,
                    lease: change.get("mooring").u64(),
                };
                self.keys.insert(key.to_string(), entry);
                self.change(
                    key,
                    obj([("write", key.into()), ("v", value), ("stamp", stamp.into())]),
                );
            } else if let Some(key) = change.get("delete").str() {
                self.delete(key);
            }
        }
        (200, obj([("tally", self.tally.into())]))
    }

    fn page(&self, request: &Request) -> Json {
        let under = request.parameter("under").unwrap_or("");
        let after = request.parameter("after").unwrap_or("");
        let limit = request
            .parameter("limit")
            .and_then(|n| n.parse().ok())
            .unwrap_or(1000_usize)
            .min(1000);
        let (mut pairs, mut bytes, mut truncated) = (Vec::new(), 0, false);
        let matching = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(under) && key.as_str() > after);
        for (key, entry) in matching {
            let pair = obj([
                ("key", key.as_str().into()),
                ("v", entry.value.clone()),
                ("stamp", entry.stamp.into()),
            ]);
            bytes += pair.to_string().len();
            if pairs.len() == limit || (bytes > 500 * 1024 && !pairs.is_empty()) {
                truncated = true;
                break;
            }
            pairs.push(pair);
        }
        obj([
            ("pairs", pairs.into()),
            ("truncated", truncated.into()),
            ("tally", self.tally.into()),
        ])
    }

    fn news(&self, under: &str, after: u64) -> Option<Vec<Json>> {
        let oldest = self.changes.front().map_or(0, |change| change.0);
        if self.changes.len() == RETAINED && after < oldest {
            return None;
        }
        let newer = self
            .changes
            .iter()
            .filter(|c| c.0 > after && c.1.starts_with(under));
        Some(newer.map(|c| c.2.clone()).collect())
    }
}

impl State {
    /// Starts the service; returns it with an address for each of `controllers` controllers.
    pub fn start(limits: Limits, controllers: usize) -> (Arc<State>, Vec<SocketAddr>) {
        let store = Store {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            changes: VecDeque::new(),
            tally: 0,
            limits,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
        };
        let state = Arc::new(State {
            store: Mutex::new(store),
            changed: Condvar::new(),
            faults: (0..controllers).map(|_| Mutex::default()).collect(),
            outage: Mutex::new(false),
        });
        let addresses = (0..controllers).map(|controller| {
            let state = state.clone();
            serve(move |request| state.handle(controller, request))
        });
        let addresses = addresses.collect();
        let expiring = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            let is_out = *expiring.outage.lock().unwrap();
            let mut store = expiring.store.lock().unwrap();
            if is_out {
                // Once an outage is over, every lease has its full time again.
                let now = Instant::now();
                store
                    .leases
                    .values_mut()
                    .for_each(|lease| lease.ends_at = now + lease.life);
            } else if store.expire() {
                expiring.changed.notify_all();
            }
        });
        (state, addresses)
    }

    /// The controller that the leader's record names.
    pub fn leader(&self) -> Option<String> {
        let store = self.store.lock().unwrap();
        Some(
            store
                .keys
                .get("leader")?
                .value
                .get("node")
                .str()?
                .to_string(),
        )
    }

    fn is_down_for(&self, controller: usize) -> bool {
        *self.outage.lock().unwrap() || self.faults[controller].lock().unwrap().refuses
    }

    fn handle(&self, controller: usize, request: &Request) -> Reply {
        // A usual answer takes a few milliseconds.
        std::thread::sleep(Duration::from_millis(3));
        let trouble = || answer(503, obj([("error", "trouble".into())]));
        if self.is_down_for(controller) {
            return trouble();
        }
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        let mut store = self.store.lock().unwrap();
        if !store.requests.take(1.0) {
            return answer(429, obj([("error", "too many requests".into())]));
        }
        store.expire();
        let (status, body) = match (request.method.as_str(), &parts[..]) {
            ("POST", ["txn"]) => store.transact(request),
            ("POST", ["leases"]) => {
                let life = Duration::from_millis(request.body.get("life_ms").u64().unwrap_or(1000));
                store.last_lease += 1;
                let id = store.last_lease;
                store.leases.insert(
                    id,
                    Lease {
                        life,
                        ends_at: Instant::now() + life,
                    },
                );
                (200, obj([("mooring", id.into())]))
            }
            ("POST", ["leases", id, "extend"]) => {
                match id
                    .parse()
                    .ok()
                    .and_then(|id: u64| store.leases.get_mut(&id))
                {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.life;
                        (200, obj([]))
                    }
                    None => (404, obj([])),
                }
            }
            ("DELETE", ["leases", id]) => {
                store.end_lease(id.parse().unwrap_or(0));
                (200, obj([]))
            }
            ("GET", ["store"]) => (200, store.page(request)),
            ("GET", ["store", ..]) => {
                let key = &request.path["/store/".len()..];
                match store.keys.get(key) {
                    Some(entry) => (
                        200,
                        obj([
                            ("key", key.into()),
                            ("v", entry.value.clone()),
                            ("stamp", entry.stamp.into()),
                        ]),
                    ),
                    None => (404, obj([("tally", store.tally.into())])),
                }
            }
            ("GET", ["changes"]) => {
                drop(store);
                return self.watch(controller, request);
            }
            _ => (400, obj([("error", "unknown request".into())])),
        };
        drop(store);
        self.changed.notify_all();
        if status == 200 && request.path == "/txn" && self.loses_answer(controller, request) {
            return Reply::Nothing;
        }
        answer(status, body)
    }

    fn loses_answer(&self, controller: usize, request: &Request) -> bool {
        let mut faults = self.faults[controller].lock().unwrap();
        let Some(prefix) = &faults.lose_answer_to else {
            return false;
        };
        let changes = request.body.get("apply").list();
        let is_hit = changes.iter().any(|c| {
            c.get("write")
                .str()
                .is_some_and(|key| key.starts_with(prefix.as_str()))
        });
        if is_hit {
            faults.lose_answer_to = None;
            faults.lost += 1;
        }
        is_hit
    }

    fn watch(&self, controller: usize, request: &Request) -> Reply {
        let number = |name: &str| {
            request
                .parameter(name)
                .and_then(|n| n.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (under, after) = (request.parameter("under").unwrap_or(""), number("after"));
        let until = Instant::now() + Duration::from_millis(number("hold_ms").min(60_000));
        let mut store = self.store.lock().unwrap();
        loop {
            // During an outage, open watches remain open.
            let is_open = !self.is_down_for(controller);
            let Some(news) = store.news(under, after) else {
                return answer(410, obj([("error", "too old".into())]));
            };
            let now = Instant::now();
            if (is_open && !news.is_empty()) || now >= until {
                let news = if is_open { news } else { Vec::new() };
                let tally = if is_open { store.tally } else { after };
                return answer(200, obj([("tally", tally.into()), ("news", news.into())]));
            }
            let pause = (until - now).min(Duration::from_millis(200));
            store = self.changed.wait_timeout(store, pause).unwrap().0;
        }
    }
}

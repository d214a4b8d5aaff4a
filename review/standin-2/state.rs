//! The state service: a key-value store with leases and watches, as the protocol describes it.

use crate::http::{reply, serve, Request, Response};
use crate::json::Json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Value {
    text: String,
    stamp: u64,
    lease: Option<u64>,
}

struct Change {
    key: String,
    text: Option<String>,
    stamp: u64,
}

struct Bucket {
    level: f64,
    rate: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            level: rate,
            rate,
            at: Instant::now(),
        }
    }
    fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.level =
            (self.level + self.rate * now.duration_since(self.at).as_secs_f64()).min(self.rate);
        self.at = now;
        let ok = self.level >= n;
        if ok {
            self.level -= n;
        }
        ok
    }
}

struct Store {
    keys: BTreeMap<String, Value>,
    tally: u64,
    /// The end and the life of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
    log: VecDeque<Change>,
    requests: Bucket,
    writes: Bucket,
}

pub struct State {
    store: Mutex<Store>,
    changed: Condvar,
    limits: Limits,
}

impl State {
    pub fn start(limits: Limits) -> (Arc<State>, SocketAddr) {
        let state = Arc::new(State {
            store: Mutex::new(Store {
                keys: BTreeMap::new(),
                tally: 1,
                leases: BTreeMap::new(),
                last_lease: 0,
                log: VecDeque::new(),
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
            }),
            changed: Condvar::new(),
            limits,
        });
        let handler = state.clone();
        let address = serve(Arc::new(move |request| handler.handle(&request)));
        let reaper = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            reaper.reap();
        });
        (state, address)
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<String> {
        let store = self.store.lock().expect("lock");
        store.keys.get(key).map(|v| v.text.clone())
    }

    fn reap(&self) {
        let mut store = self.store.lock().expect("lock");
        let now = Instant::now();
        let ended: Vec<u64> = store
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            end_lease(&mut store, id);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let mut store = self.store.lock().expect("lock");
        if !store.requests.take(1.0) {
            return reply(429, "{}");
        }
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let param = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
        };
        match (request.method.as_str(), path) {
            ("GET", "/store") => {
                let under = param("under").unwrap_or("");
                let after = param("after").unwrap_or("");
                let limit = param("limit").and_then(|v| v.parse().ok()).unwrap_or(1000);
                page(&store, under, after, std::cmp::min(limit, 1000))
            }
            ("GET", path) if path.starts_with("/store/") => {
                let key = &path["/store/".len()..];
                match store.keys.get(key) {
                    Some(v) => {
                        let lease = v
                            .lease
                            .map_or(String::new(), |l| format!(",\"mooring\":{l}"));
                        reply(
                            200,
                            format!(
                                "{{\"key\":\"{key}\",\"v\":{},\"stamp\":{}{lease}}}",
                                v.text, v.stamp
                            ),
                        )
                    }
                    None => reply(404, format!("{{\"tally\":{}}}", store.tally)),
                }
            }
            ("POST", "/txn") => {
                let response = self.transaction(&mut store, &request.body);
                self.changed.notify_all();
                response
            }
            ("POST", "/leases") => {
                let Some(ms) = Json::parse(&request.body).and_then(|b| b.u64("life_ms")) else {
                    return reply(400, "{}");
                };
                let life = Duration::from_millis(ms);
                store.last_lease += 1;
                let id = store.last_lease;
                store.leases.insert(id, (Instant::now() + life, life));
                reply(200, format!("{{\"mooring\":{id}}}"))
            }
            ("POST", path) if path.ends_with("/extend") => {
                let id = path.split('/').nth(2).and_then(|v| v.parse().ok());
                match id.and_then(|id: u64| store.leases.get_mut(&id)) {
                    Some((end, life)) if *end > Instant::now() => {
                        *end = Instant::now() + *life;
                        reply(200, "{}")
                    }
                    _ => reply(404, "{}"),
                }
            }
            ("DELETE", path) if path.starts_with("/leases/") => {
                if let Ok(id) = path["/leases/".len()..].parse() {
                    end_lease(&mut store, id);
                    self.changed.notify_all();
                }
                reply(200, "{}")
            }
            ("GET", "/changes") => {
                let under = param("under").unwrap_or("").to_string();
                let after: u64 = param("after").and_then(|v| v.parse().ok()).unwrap_or(0);
                let hold = param("hold_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(std::cmp::min(hold, 60_000));
                loop {
                    if store.log.len() >= 10_000 && store.log[0].stamp > after + 1 {
                        return reply(410, "{}");
                    }
                    let news: Vec<String> = store
                        .log
                        .iter()
                        .rev()
                        .take_while(|c| c.stamp > after)
                        .filter(|c| c.key.starts_with(&under))
                        .map(|c| match &c.text {
                            Some(text) => format!(
                                "{{\"write\":\"{}\",\"v\":{text},\"stamp\":{}}}",
                                c.key, c.stamp
                            ),
                            None => {
                                format!("{{\"delete\":\"{}\",\"stamp\":{}}}", c.key, c.stamp)
                            }
                        })
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !news.is_empty() || left.is_zero() {
                        let news: Vec<String> = news.into_iter().rev().collect();
                        return reply(
                            200,
                            format!(
                                "{{\"tally\":{},\"news\":[{}]}}",
                                store.tally,
                                news.join(",")
                            ),
                        );
                    }
                    store = self.changed.wait_timeout(store, left).expect("lock").0;
                }
            }
            _ => reply(404, "{}"),
        }
    }

    fn transaction(&self, store: &mut Store, body: &str) -> Response {
        let Some(txn) = Json::parse(body).filter(|_| body.len() <= 64 * 1024) else {
            return reply(400, "{\"error\":\"malformed or too large\"}");
        };
        let operations = txn.list("apply");
        let compares = txn.list("if");
        if operations.len() > self.limits.txn_ops || compares.len() > 4 * self.limits.txn_ops {
            return reply(400, "{\"error\":\"too many operations or conditions\"}");
        }
        if !operations.is_empty() && !store.writes.take(operations.len() as f64) {
            return reply(429, "{}");
        }
        for operation in operations {
            if let Some(lease) = operation.u64("mooring") {
                let valid = store.leases.get(&lease);
                if !valid.is_some_and(|(end, _)| *end > Instant::now()) {
                    return reply(400, "{\"error\":\"no such lease\"}");
                }
            }
            let size = operation.get("v").map_or(0, |v| v.print().len());
            if size as f64 > self.limits.value_kb * 1024.0 {
                return reply(400, "{\"error\":\"value too large\"}");
            }
        }
        let failed: Vec<String> = compares
            .iter()
            .filter(|c| {
                let key = c.text("key").unwrap_or("");
                let stamp = store.keys.get(key).map_or(0, |v| v.stamp);
                c.u64("stamp") != Some(stamp)
            })
            .map(|c| format!("\"{}\"", c.text("key").unwrap_or("")))
            .collect();
        if !failed.is_empty() {
            return reply(
                409,
                format!(
                    "{{\"failed\":[{}],\"tally\":{}}}",
                    failed.join(","),
                    store.tally
                ),
            );
        }
        if !operations.is_empty() {
            store.tally += 1;
        }
        let stamp = store.tally;
        for operation in operations {
            if let Some(key) = operation.text("write") {
                let text = operation.get("v").unwrap_or(&Json::Null).print();
                let lease = operation.u64("mooring");
                store.log.push_back(Change {
                    key: key.to_string(),
                    text: Some(text.clone()),
                    stamp,
                });
                store
                    .keys
                    .insert(key.to_string(), Value { text, stamp, lease });
            } else if let Some(key) = operation.text("delete") {
                if store.keys.remove(key).is_some() {
                    store.log.push_back(Change {
                        key: key.to_string(),
                        text: None,
                        stamp,
                    });
                }
            }
        }
        while store.log.len() > 10_000 {
            store.log.pop_front();
        }
        reply(200, format!("{{\"tally\":{stamp}}}"))
    }
}

fn end_lease(store: &mut Store, id: u64) {
    store.leases.remove(&id);
    let keys: Vec<String> = store
        .keys
        .iter()
        .filter(|(_, v)| v.lease == Some(id))
        .map(|(k, _)| k.clone())
        .collect();
    for key in keys {
        store.keys.remove(&key);
        store.tally += 1;
        let stamp = store.tally;
        store.log.push_back(Change {
            key,
            text: None,
            stamp,
        });
    }
}

fn page(store: &Store, under: &str, after: &str, limit: usize) -> Response {
    let from = std::cmp::max(under, after).to_string();
    let mut pairs = Vec::new();
    let mut bytes = 0;
    let mut truncated = false;
    for (key, v) in store.keys.range(from..) {
        if !key.starts_with(under) {
            break;
        }
        if key.as_str() == after {
            continue;
        }
        if pairs.len() >= limit || (bytes + v.text.len() > 500 * 1024 && !pairs.is_empty()) {
            truncated = true;
            break;
        }
        bytes += v.text.len() + key.len() + 40;
        pairs.push(format!(
            "{{\"key\":\"{key}\",\"v\":{},\"stamp\":{}}}",
            v.text, v.stamp
        ));
    }
    reply(
        200,
        format!(
            "{{\"pairs\":[{}],\"truncated\":{truncated},\"tally\":{}}}",
            pairs.join(","),
            store.tally
        ),
    )
}

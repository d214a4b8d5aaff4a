//! Stand-ins on loopback for the state service, the cloud and one worker, and real controllers that
//! speak to them.
#![allow(dead_code)] // no test uses all of it

use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsStr;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request, Response, Server};

/// Keys in one page of a list at the most.
const MAX_PAIRS: usize = 1000;

/// Keys with values, versions and leases; what the protocol says of them, without limits on rates.
#[derive(Default)]
pub(crate) struct State {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub leases: BTreeMap<u64, (Instant, Duration)>,
    changes: Vec<Value>,
    pub revision: u64,
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let over = |l: &(Instant, Duration)| now > l.0 + l.1;
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| over(l))
            .map(|(i, _)| *i)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys = self.keys.iter().filter(|(_, v)| v.2 == Some(lease));
            for key in keys.map(|(k, _)| k.clone()).collect::<Vec<_>>() {
                self.revision += 1;
                self.change(&json!({"delete": key}));
            }
        }
    }

    fn change(&mut self, change: &Value) {
        let stamp = self.revision;
        if let Some(key) = change["write"].as_str() {
            let value = (change["v"].clone(), stamp, change["mooring"].as_u64());
            self.keys.insert(key.into(), value);
            self.changes
                .push(json!({"write": key, "v": change["v"], "stamp": stamp}));
        } else if let Some(key) = change["delete"].as_str() {
            self.keys.remove(key);
            self.changes.push(json!({"delete": key, "stamp": stamp}));
        }
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let mut failed = Vec::new();
        for c in body["if"].as_array().into_iter().flatten() {
            let key = c["key"].as_str().unwrap();
            if self.keys.get(key).map_or(0, |v| v.1) != c["stamp"].as_u64().unwrap() {
                failed.push(key.to_string());
            }
        }
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "tally": self.revision}));
        }
        self.revision += 1;
        for change in body["apply"].as_array().into_iter().flatten() {
            self.change(change);
        }
        (200, json!({"tally": self.revision}))
    }

    /// Writes a key, as somebody else would.
    pub(crate) fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.change(&json!({"write": key, "v": value}));
    }

    pub(crate) fn answer(&mut self, method: &Method, url: &str, body: &Value) -> (u16, Value) {
        self.expire();
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .filter(|p| p.0 == name)
                .map(|p| p.1.to_string())
                .next()
        };
        let under = parameter("under").unwrap_or_default();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, &parts[..]) {
            (Method::Post, ["txn"]) => self.transact(body),
            (Method::Post, ["leases"]) => {
                self.revision += 1;
                let life = Duration::from_millis(body["life_ms"].as_u64().unwrap());
                self.leases.insert(self.revision, (Instant::now(), life));
                (200, json!({"mooring": self.revision}))
            }
            (Method::Post, ["leases", id, "extend"]) => {
                match self.leases.get_mut(&id.parse().unwrap()) {
                    Some(lease) => {
                        lease.0 = Instant::now();
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            (Method::Get, ["changes"]) => {
                let after: u64 = parameter("after").unwrap().parse().unwrap();
                let key = |c: &Value| {
                    c["write"]
                        .as_str()
                        .or(c["delete"].as_str())
                        .unwrap()
                        .to_string()
                };
                let fresh =
                    |c: &&Value| c["stamp"].as_u64() > Some(after) && key(c).starts_with(&under);
                let news: Vec<Value> = self.changes.iter().filter(fresh).cloned().collect();
                (200, json!({"tally": self.revision, "news": news}))
            }
            (Method::Get, ["store"]) => {
                let after = parameter("after").unwrap_or_default();
                let limit = parameter("limit").and_then(|n| n.parse().ok());
                let limit = limit.unwrap_or(MAX_PAIRS).min(MAX_PAIRS);
                let mut pairs: Vec<Value> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(&under) && **k > after)
                    .map(|(k, v)| json!({"key": k, "v": v.0, "stamp": v.1}))
                    .take(limit + 1)
                    .collect();
                let truncated = pairs.len() > limit;
                pairs.truncate(limit);
                (
                    200,
                    json!({"pairs": pairs, "truncated": truncated, "tally": self.revision}),
                )
            }
            (Method::Get, ["store", ..]) => {
                let key = &path["/store/".len()..];
                match self.keys.get(key) {
                    Some((value, stamp, _)) => {
                        (200, json!({"key": key, "v": value, "stamp": stamp}))
                    }
                    None => (404, json!({"tally": self.revision})),
                }
            }
            _ => (400, json!({})),
        }
    }
}

/// Serves `answer` from a few threads; a watch without news is asked again for a while.
pub(crate) fn serve(
    answer: impl Fn(&Method, &str, &Value) -> (u16, Value) + Send + Sync + 'static,
) -> SocketAddr {
    let server = Arc::new(server());
    let address = server.server_addr().to_ip().unwrap();
    let answer = Arc::new(answer);
    for _ in 0..16 {
        let (server, answer) = (server.clone(), answer.clone());
        std::thread::spawn(move || {
            while let Ok(request) = server.recv() {
                respond(request, &*answer);
            }
        });
    }
    address
}

pub(crate) fn respond(
    mut request: Request,
    answer: &dyn Fn(&Method, &str, &Value) -> (u16, Value),
) {
    let mut text = String::new();
    request.as_reader().read_to_string(&mut text).unwrap();
    let body = serde_json::from_str(&text).unwrap_or(Value::Null);
    let (method, url) = (request.method().clone(), request.url().to_string());
    let mut reply = answer(&method, &url, &body);
    for _ in 0..20 {
        if !url.starts_with("/changes") || reply.1["news"] != json!([]) {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
        reply = answer(&method, &url, &body);
    }
    let response = Response::from_string(reply.1.to_string()).with_status_code(reply.0);
    let _ = request.respond(response);
}

/// The one machine: its tasks run until they are told to be done.
#[derive(Default)]
pub(crate) struct Worker {
    pub token: u64,
    sequence: u64,
    pub tasks: BTreeMap<(String, u64), &'static str>,
    pub finish: bool,
    pub starts: Vec<String>,
}

impl Worker {
    pub(crate) fn report(&mut self, endpoint: SocketAddr) -> Value {
        self.sequence += 1;
        if self.finish {
            self.tasks.values_mut().for_each(|t| *t = "exited");
        }
        let task = |((task, attempt), state): (&(String, u64), &&str)| {
            let cause = (*state == "exited").then_some("done");
            json!({"leg": task, "sailing": attempt, "status": state, "cause": cause})
        };
        let tasks: Vec<Value> = self.tasks.iter().map(task).collect();
        json!({"vessel": "m-1", "endpoint": endpoint.to_string(), "hull": "g8", "berth": "z",
            "driftwood": false, "watch": 1, "log_no": self.sequence, "helm": self.token,
            "recall_s": null, "legs": tasks})
    }

    pub(crate) fn run(&mut self, answer: &Value) -> bool {
        let token = answer["helm"].as_u64().unwrap();
        if token < self.token {
            return false;
        }
        self.token = token;
        for signal in answer["signals"].as_array().unwrap() {
            let key = (
                signal["leg"].as_str().unwrap().to_string(),
                signal["sailing"].as_u64().unwrap(),
            );
            match signal["signal"].as_str().unwrap() {
                "launch" if !self.tasks.contains_key(&key) => {
                    self.starts.push(key.0.clone());
                    self.tasks.insert(key, "running");
                }
                "stop" | "forget" => {
                    self.tasks.remove(&key);
                }
                _ => {}
            }
        }
        true
    }
}

pub(crate) struct Killed(Child);

impl Drop for Killed {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Ports that controllers of this process's tests listen on, now or later.
static CONTROLLER_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// A port for a controller, which none of the stand-ins in this process takes.
fn controller_port() -> u16 {
    let mut taken = CONTROLLER_PORTS.lock().unwrap();
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        if taken.insert(port) {
            return port;
        }
    }
}

/// A server on a port that is no controller's.
fn server() -> Server {
    loop {
        let server = Server::http("127.0.0.1:0").unwrap();
        let port = server.server_addr().to_ip().unwrap().port();
        if !CONTROLLER_PORTS.lock().unwrap().contains(&port) {
            return server;
        }
    }
}

pub(crate) fn call(method: &str, address: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
    let request = ureq::request(method, &format!("http://{address}{path}"));
    let request = request.timeout(Duration::from_secs(3));
    let result = match body {
        Value::Null => request.call(),
        body => request.send_json(body),
    };
    match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => Some((
            response.status(),
            response.into_json().unwrap_or(Value::Null),
        )),
        Err(_) => None,
    }
}

/// Tries again until there is a result. What may take its time on a slow machine has plenty: only
/// a hang fails the test.
pub(crate) fn until<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(result) = attempt() {
            return result;
        }
        assert!(begun.elapsed() < Duration::from_secs(240), "never: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn settings_name(i: usize) -> String {
    format!("{i}.toml")
}

/// What a grid's controllers speak to, and where they listen.
pub(crate) struct Grid {
    pub state: Arc<Mutex<State>>,
    pub state_down: Arc<AtomicBool>,
    /// Which of the controllers the state service refuses alone.
    pub state_refuses: [Arc<AtomicBool>; 3],
    /// Whether no change of an open job reaches those who watch for it.
    pub watch_deaf: Arc<AtomicBool>,
    pub cloud_down: Arc<AtomicBool>,
    pub worker: Arc<Mutex<Worker>>,
    worker_address: SocketAddr,
    /// One for each controller, so that the stand-in knows who asks.
    state_addresses: [SocketAddr; 3],
    cloud_address: SocketAddr,
    /// For users and workers, and for the other controllers.
    ports: [(u16, u16); 3],
    name: &'static str,
}

impl Grid {
    /// `name` keeps the settings files of tests apart.
    pub(crate) fn new(name: &'static str) -> Grid {
        let state = Arc::new(Mutex::new(State::default()));
        let state_down = Arc::new(AtomicBool::new(false));
        let watch_deaf = Arc::new(AtomicBool::new(false));
        let state_refuses: [Arc<AtomicBool>; 3] = Default::default();
        let state_addresses = state_refuses.clone().map(|refuses| {
            let (kept, down, deaf) = (state.clone(), state_down.clone(), watch_deaf.clone());
            serve(move |method, url, body| {
                if down.load(Ordering::Relaxed) || refuses.load(Ordering::Relaxed) {
                    return (503, json!({"error": "trouble"}));
                }
                let mut state = kept.lock().unwrap();
                let (status, mut answer) = state.answer(method, url, body);
                if deaf.load(Ordering::Relaxed) && url.starts_with("/changes?under=open/") {
                    answer["news"] = json!([]);
                }
                (status, answer)
            })
        });
        let cloud_down = Arc::new(AtomicBool::new(false));
        let down = cloud_down.clone();
        let cloud_address = serve(move |_, url, _| match url.split('?').next().unwrap() {
            _ if down.load(Ordering::Relaxed) => (503, json!({"error": "trouble"})),
            "/machine_types" => (
                200,
                json!({"hulls": [{"sku": "g8", "cpus": 8, "gpus": 0, "mem_gb": 64,
                "cache_gb": 50, "pull_gb_per_s": 1.0, "price": 1.0, "market_price": 0.4,
                "startup_s": 30, "berths": ["z"]}]}),
            ),
            "/machines/return" => (200, json!({})),
            _ => (503, json!({"error": "no capacity"})),
        });
        let worker = Arc::new(Mutex::new(Worker::default()));
        let endpoint = Arc::new(Mutex::new(None));
        let (orders_worker, orders_endpoint) = (worker.clone(), endpoint.clone());
        let worker_address = serve(move |_, _, body| {
            let mut worker = orders_worker.lock().unwrap();
            let status = if worker.run(body) { 200 } else { 409 };
            let address = orders_endpoint.lock().unwrap().unwrap();
            (status, worker.report(address))
        });
        *endpoint.lock().unwrap() = Some(worker_address);
        let grid = Grid {
            state,
            state_down,
            state_refuses,
            watch_deaf,
            cloud_down,
            worker,
            worker_address,
            state_addresses,
            cloud_address,
            ports: std::array::from_fn(|_| (controller_port(), controller_port())),
            name,
        };
        (0..3).for_each(|i| grid.write_settings(i));
        grid
    }

    /// Starts one of the three controllers.
    pub(crate) fn start(&self, i: usize) -> Option<Killed> {
        self.start_with(i, &[])
    }

    /// The same, with further arguments.
    pub(crate) fn start_with(&self, i: usize, arguments: &[&OsStr]) -> Option<Killed> {
        let program = Path::new(env!("CARGO_BIN_EXE_stairstage"));
        self.start_program(program, i, arguments)
    }

    /// The same with another program.
    pub(crate) fn start_program(
        &self,
        program: &Path,
        i: usize,
        arguments: &[&OsStr],
    ) -> Option<Killed> {
        let child = Command::new(program)
            .args(["serve", "--config"])
            .arg(self.settings_file(i))
            .args(arguments)
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        Some(Killed(child))
    }

    /// The settings of one of the controllers.
    pub(crate) fn settings_file(&self, i: usize) -> PathBuf {
        self.path(&settings_name(i))
    }

    /// Once only: processes read the file whenever they start.
    fn write_settings(&self, i: usize) {
        let (front, cluster) = self.ports[i];
        let mut text = format!(
            "host_name = \"n{i}\"\nzone = \"z\"\nfront = \"127.0.0.1:{front}\"\n\
             cluster_listen = \"127.0.0.1:{cluster}\"\n"
        );
        for j in (0..3).filter(|j| *j != i) {
            text += &format!(
                "[[others]]\nhost_name = \"n{j}\"\nzone = \"z\"\naddress = \"127.0.0.1:{}\"\n",
                self.ports[j].1
            );
        }
        text += &format!(
            "[endpoints]\ncloud = \"{}\"\nstate = \"{}\"\n\
             [settings]\n[[settings.teams]]\nname = \"t\"\n\
             [settings.workers]\nreport_s = 1.0\nlease_s = 300.0\ngang_wait_s = 20.0\n\
             gang_peer_s = 4.0\ncancel_s = 900.0\n\
             [settings.state]\nrps = 200.0\nwrite_rps = 100.0\nvalue_kb = 16.0\ntxn_ops = 8\n\
             [settings.cloud]\nrps = 10.0\nlist_lag_s = 4.0\n\
             [settings.limits]\nram_mb = 100.0\nmax_sockets = 500\n",
            self.cloud_address, self.state_addresses[i]
        );
        self.write_file(&settings_name(i), &text);
    }

    /// Writes a file of this grid's own.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    fn path(&self, name: &str) -> PathBuf {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        folder.join(format!("{}-{name}", self.name))
    }

    pub(crate) fn front(&self, i: usize) -> String {
        format!("127.0.0.1:{}", self.ports[i].0)
    }

    /// The worker reports to some of the nodes; only the leader answers with commands.
    pub(crate) fn report_to(&self, nodes: &[usize]) {
        for i in nodes {
            let body = self.worker.lock().unwrap().report(self.worker_address);
            if let Some((200, answer)) = call("POST", &self.front(*i), "/agent/beat", &body) {
                self.worker.lock().unwrap().run(&answer);
            }
        }
    }

    /// Lets no lease end, however long nobody renews it.
    pub(crate) fn keep_leases(&self) {
        let mut state = self.state.lock().unwrap();
        for (_, life) in state.leases.values_mut() {
            *life = Duration::from_secs(3600);
        }
    }

    /// Which node the leader's record names.
    pub(crate) fn leader(&self) -> Option<usize> {
        let state = self.state.lock().unwrap();
        let name = state.keys.get("leader")?.0["node"].as_str()?.to_string();
        name[1..].parse().ok()
    }
}

/// An array of two small tasks.
pub(crate) fn small_job(id: &str) -> Value {
    json!({"name_id": id, "duty": "c", "crew": "t", "rig": "sweep",
        "precedence": "normal", "legs": 2, "cpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "kit": "i",
        "size_gb": 1.0, "same_place": false, "spread": false, "driftwood": false,
        "passage_s": 20.0, "fix_interval_s": 0.0, "fix_s": 0.0})
}

/// Submits to a node until it is accepted.
pub(crate) fn accepted(front: &str, job: &Value) -> u16 {
    until("a submission is accepted", || {
        let (status, _) = call("POST", front, "/v2/runs", job)?;
        (status < 500).then_some(status)
    })
}

//! A cluster on loopback: three real controller processes with fakes of the state service, the cloud and one
//! worker.
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

/// The most keys in a page of a list.
const MAX_PAIRS: usize = 1000;

/// The value of a key, the revision that wrote it, and the lease to which it is attached.
pub(crate) struct Entry {
    pub value: Value,
    pub version: u64,
    pub lease: Option<u64>,
}

/// A lease, which expires after `life` without a renewal.
pub(crate) struct Lease {
    pub renewed_at: Instant,
    pub life: Duration,
}

impl Lease {
    /// Grants a lease now.
    pub(crate) fn new(life: Duration) -> Lease {
        Lease {
            renewed_at: Instant::now(),
            life,
        }
    }
}

/// The key-value store of the fake state service. It follows the protocol but has no rate limits.
#[derive(Default)]
pub(crate) struct KeyValueStore {
    pub keys: BTreeMap<String, Entry>,
    pub leases: BTreeMap<u64, Lease>,
    /// All changes so far, as in the responses to watches.
    changes: Vec<Value>,
    pub revision: u64,
}

impl KeyValueStore {
    /// Removes the expired leases and the keys attached to them.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let is_expired = |l: &Lease| now > l.renewed_at + l.life;
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| is_expired(l))
            .map(|(i, _)| *i)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys = self.keys.iter().filter(|(_, v)| v.lease == Some(lease));
            for key in keys.map(|(k, _)| k.clone()).collect::<Vec<_>>() {
                self.revision += 1;
                self.change(&json!({"delete": key}));
            }
        }
    }

    /// Applies a put or a delete at the present revision.
    fn change(&mut self, change: &Value) {
        let version = self.revision;
        if let Some(key) = change["write"].as_str() {
            let entry = Entry {
                value: change["v"].clone(),
                version,
                lease: change["mooring"].as_u64(),
            };
            self.keys.insert(key.into(), entry);
            self.changes
                .push(json!({"write": key, "v": change["v"], "stamp": version}));
        } else if let Some(key) = change["delete"].as_str() {
            self.keys.remove(key);
            self.changes.push(json!({"delete": key, "stamp": version}));
        }
    }

    /// Applies a transaction if all versions match its conditions.
    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let mut failed = Vec::new();
        for c in body["if"].as_array().into_iter().flatten() {
            let key = c["key"].as_str().unwrap();
            if self.keys.get(key).map_or(0, |v| v.version) != c["stamp"].as_u64().unwrap() {
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

    /// Writes a key, as another client does.
    pub(crate) fn put(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.change(&json!({"write": key, "v": value}));
    }

    /// Answers one request according to the protocol.
    pub(crate) fn answer(&mut self, method: &Method, url: &str, body: &Value) -> (u16, Value) {
        self.expire_leases();
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, &parts[..]) {
            (Method::Post, ["txn"]) => self.transact(body),
            (Method::Post, ["leases"]) => self.grant_lease(body),
            (Method::Post, ["leases", id, "extend"]) => self.extend_lease(id),
            (Method::Get, ["changes"]) => self.changes(query),
            (Method::Get, ["store"]) => self.page(query),
            (Method::Get, ["store", ..]) => self.read(&path["/store/".len()..]),
            _ => (400, json!({})),
        }
    }

    /// Grants a lease with the requested lifetime.
    fn grant_lease(&mut self, body: &Value) -> (u16, Value) {
        self.revision += 1;
        let life = Duration::from_millis(body["life_ms"].as_u64().unwrap());
        self.leases.insert(self.revision, Lease::new(life));
        (200, json!({"mooring": self.revision}))
    }

    /// Renews a lease that has not expired.
    fn extend_lease(&mut self, id: &str) -> (u16, Value) {
        match self.leases.get_mut(&id.parse().unwrap()) {
            Some(lease) => {
                lease.renewed_at = Instant::now();
                (200, json!({}))
            }
            None => (404, json!({})),
        }
    }

    /// The changes of keys with a prefix after a revision.
    fn changes(&self, query: &str) -> (u16, Value) {
        let under = parameter(query, "under").unwrap_or_default();
        let after: u64 = parameter(query, "after").unwrap().parse().unwrap();
        let key = |c: &Value| {
            c["write"]
                .as_str()
                .or(c["delete"].as_str())
                .unwrap()
                .to_string()
        };
        let is_newer = |c: &&Value| c["stamp"].as_u64() > Some(after) && key(c).starts_with(&under);
        let news: Vec<Value> = self.changes.iter().filter(is_newer).cloned().collect();
        (200, json!({"tally": self.revision, "news": news}))
    }

    /// A page of the keys with a prefix that follow a key.
    fn page(&self, query: &str) -> (u16, Value) {
        let under = parameter(query, "under").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let limit = parameter(query, "limit").and_then(|n| n.parse().ok());
        let limit = limit.unwrap_or(MAX_PAIRS).min(MAX_PAIRS);
        let mut pairs: Vec<Value> = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(&under) && **k > after)
            .map(|(k, v)| json!({"key": k, "v": v.value, "stamp": v.version}))
            .take(limit + 1)
            .collect();
        let truncated = pairs.len() > limit;
        pairs.truncate(limit);
        let page = json!({"pairs": pairs, "truncated": truncated, "tally": self.revision});
        (200, page)
    }

    /// The value and the version of a key.
    fn read(&self, key: &str) -> (u16, Value) {
        match self.keys.get(key) {
            Some(entry) => (
                200,
                json!({"key": key, "v": entry.value, "stamp": entry.version}),
            ),
            None => (404, json!({"tally": self.revision})),
        }
    }
}

/// The value of a query parameter.
fn parameter(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs
        .filter(|p| p.0 == name)
        .map(|p| p.1.to_string())
        .next()
}

/// Serves `answer` from several threads, and returns the address.
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

/// Answers one request. A watch without changes is evaluated again for up to 400 ms before it is answered.
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

/// Identifies an attempt of a task.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub task: String,
    pub attempt: u64,
}

/// The worker of the only machine. Its tasks run until `completes_tasks` is set.
#[derive(Default)]
pub(crate) struct Worker {
    pub token: u64,
    sequence: u64,
    /// The state of each attempt, as written in the protocol.
    pub tasks: BTreeMap<AttemptId, &'static str>,
    /// Whether all tasks complete before the next heartbeat.
    pub completes_tasks: bool,
    /// The tasks that were started, in the order of their starts.
    pub starts: Vec<String>,
}

impl Worker {
    /// The next heartbeat, with the address where direct commands arrive.
    pub(crate) fn heartbeat(&mut self, endpoint: SocketAddr) -> Value {
        self.sequence += 1;
        if self.completes_tasks {
            self.tasks.values_mut().for_each(|t| *t = "exited");
        }
        let task = |(id, state): (&AttemptId, &&str)| {
            let cause = (*state == "exited").then_some("done");
            json!({"leg": id.task, "sailing": id.attempt, "status": state, "cause": cause})
        };
        let tasks: Vec<Value> = self.tasks.iter().map(task).collect();
        json!({"vessel": "m-1", "endpoint": endpoint.to_string(), "hull": "g8", "berth": "z",
            "driftwood": false, "watch": 1, "log_no": self.sequence, "helm": self.token,
            "recall_s": null, "legs": tasks})
    }

    /// Executes the commands of a heartbeat response or of a direct command batch, unless the token is
    /// outdated.
    pub(crate) fn execute(&mut self, answer: &Value) -> bool {
        let token = answer["helm"].as_u64().unwrap();
        if token < self.token {
            return false;
        }
        self.token = token;
        for signal in answer["signals"].as_array().unwrap() {
            let id = AttemptId {
                task: signal["leg"].as_str().unwrap().to_string(),
                attempt: signal["sailing"].as_u64().unwrap(),
            };
            match signal["signal"].as_str().unwrap() {
                "launch" if !self.tasks.contains_key(&id) => {
                    self.starts.push(id.task.clone());
                    self.tasks.insert(id, "running");
                }
                "stop" | "forget" => {
                    self.tasks.remove(&id);
                }
                _ => {}
            }
        }
        true
    }
}

/// A controller process, which is killed on drop.
pub(crate) struct ControllerProcess(Child);

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Ports reserved for controllers that the tests in this process start.
static CONTROLLER_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Reserves a port for a controller, so that no fake server in this process takes it.
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

/// Starts a fake server on a port that is not reserved for a controller.
fn server() -> Server {
    loop {
        let server = Server::http("127.0.0.1:0").unwrap();
        let port = server.server_addr().to_ip().unwrap().port();
        if !CONTROLLER_PORTS.lock().unwrap().contains(&port) {
            return server;
        }
    }
}

/// Sends an HTTP request. Returns the status and the body, or nothing if there is no response.
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

/// Retries until there is a result. The limit of 240 s is ample for a slow machine, so that only a hang fails
/// the test.
pub(crate) fn wait_until<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(result) = attempt() {
            return result;
        }
        assert!(
            started_at.elapsed() < Duration::from_secs(240),
            "timed out: {what}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The name of the settings file of a controller.
fn settings_name(i: usize) -> String {
    format!("{i}.toml")
}

/// Serves the state service to one controller, with status 503 while any of `down` is set.
fn serve_state(
    state: &Arc<Mutex<KeyValueStore>>,
    down: [Arc<AtomicBool>; 2],
    job_changes_lost: &Arc<AtomicBool>,
) -> SocketAddr {
    let (state, job_changes_lost) = (state.clone(), job_changes_lost.clone());
    serve(move |method, url, body| {
        if down.iter().any(|d| d.load(Ordering::Relaxed)) {
            return (503, json!({"error": "trouble"}));
        }
        let (status, mut answer) = state.lock().unwrap().answer(method, url, body);
        if job_changes_lost.load(Ordering::Relaxed) && url.starts_with("/changes?under=open/") {
            answer["news"] = json!([]);
        }
        (status, answer)
    })
}

/// Serves a cloud with one machine type and no capacity.
fn serve_cloud(down: &Arc<AtomicBool>) -> SocketAddr {
    let down = down.clone();
    serve(move |_, url, _| match url.split('?').next().unwrap() {
        _ if down.load(Ordering::Relaxed) => (503, json!({"error": "trouble"})),
        "/machine_types" => (
            200,
            json!({"hulls": [{"sku": "g8", "cpus": 8, "gpus": 0, "mem_gb": 64,
            "cache_gb": 50, "pull_gb_per_s": 1.0, "price": 1.0, "market_price": 0.4,
            "startup_s": 30, "berths": ["z"]}]}),
        ),
        "/machines/return" => (200, json!({})),
        _ => (503, json!({"error": "no capacity"})),
    })
}

/// Serves the endpoint of the worker, which receives direct commands.
fn serve_worker(worker: &Arc<Mutex<Worker>>) -> SocketAddr {
    let worker = worker.clone();
    let endpoint = Arc::new(Mutex::new(None));
    let own_endpoint = endpoint.clone();
    let address = serve(move |_, _, body| {
        let mut worker = worker.lock().unwrap();
        let status = if worker.execute(body) { 200 } else { 409 };
        let address = own_endpoint.lock().unwrap().unwrap();
        (status, worker.heartbeat(address))
    });
    *endpoint.lock().unwrap() = Some(address);
    address
}

/// The fakes that the controllers connect to, and the addresses of the controllers.
pub(crate) struct LocalCluster {
    pub state: Arc<Mutex<KeyValueStore>>,
    /// Whether the state service rejects all requests.
    pub state_down: Arc<AtomicBool>,
    /// For each controller, whether the state service rejects its requests.
    pub state_rejects: [Arc<AtomicBool>; 3],
    /// Whether watches show no changes of open jobs.
    pub job_changes_lost: Arc<AtomicBool>,
    pub cloud_down: Arc<AtomicBool>,
    pub worker: Arc<Mutex<Worker>>,
    worker_address: SocketAddr,
    /// An address for each controller, so that the fake can tell the controllers apart.
    state_addresses: [SocketAddr; 3],
    cloud_address: SocketAddr,
    /// The ports of the API server and the peer server of each controller.
    ports: [(u16, u16); 3],
    name: &'static str,
}

impl LocalCluster {
    /// `name` is the prefix of the files, which keeps those of different tests apart.
    pub(crate) fn new(name: &'static str) -> LocalCluster {
        let state = Arc::new(Mutex::new(KeyValueStore::default()));
        let state_down = Arc::new(AtomicBool::new(false));
        let job_changes_lost = Arc::new(AtomicBool::new(false));
        let state_rejects: [Arc<AtomicBool>; 3] = Default::default();
        let state_addresses = state_rejects
            .clone()
            .map(|rejects| serve_state(&state, [state_down.clone(), rejects], &job_changes_lost));
        let cloud_down = Arc::new(AtomicBool::new(false));
        let cloud_address = serve_cloud(&cloud_down);
        let worker = Arc::new(Mutex::new(Worker::default()));
        let worker_address = serve_worker(&worker);
        let cluster = LocalCluster {
            state,
            state_down,
            state_rejects,
            job_changes_lost,
            cloud_down,
            worker,
            worker_address,
            state_addresses,
            cloud_address,
            ports: std::array::from_fn(|_| (controller_port(), controller_port())),
            name,
        };
        (0..3).for_each(|i| cluster.write_settings(i));
        cluster
    }

    /// Starts one of the three controllers.
    pub(crate) fn start(&self, i: usize) -> Option<ControllerProcess> {
        self.start_with(i, &[])
    }

    /// Starts a controller with further arguments.
    pub(crate) fn start_with(&self, i: usize, arguments: &[&OsStr]) -> Option<ControllerProcess> {
        let program = Path::new(env!("CARGO_BIN_EXE_stairstage"));
        self.start_program(program, i, arguments)
    }

    /// Starts a controller of another program.
    pub(crate) fn start_program(
        &self,
        program: &Path,
        i: usize,
        arguments: &[&OsStr],
    ) -> Option<ControllerProcess> {
        let child = Command::new(program)
            .args(["serve", "--config"])
            .arg(self.settings_file(i))
            .args(arguments)
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        Some(ControllerProcess(child))
    }

    /// The path of the settings file of a controller.
    pub(crate) fn settings_file(&self, i: usize) -> PathBuf {
        self.path(&settings_name(i))
    }

    /// Writes the settings file of a controller. `new` calls this only once, since processes read the file
    /// whenever they start.
    fn write_settings(&self, i: usize) {
        let (api_port, peer_port) = self.ports[i];
        let mut text = format!(
            "host_name = \"n{i}\"\nzone = \"z\"\nfront = \"127.0.0.1:{api_port}\"\n\
             cluster_listen = \"127.0.0.1:{peer_port}\"\n"
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

    /// Writes a file of this cluster, and returns its path.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// The path of a file of this cluster.
    fn path(&self, name: &str) -> PathBuf {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        folder.join(format!("{}-{name}", self.name))
    }

    /// The address of the API server of a controller.
    pub(crate) fn api_address(&self, i: usize) -> String {
        format!("127.0.0.1:{}", self.ports[i].0)
    }

    /// Sends a heartbeat of the worker to each of these controllers. Only the leader responds with commands.
    pub(crate) fn send_heartbeats(&self, controllers: &[usize]) {
        for i in controllers {
            let body = self.worker.lock().unwrap().heartbeat(self.worker_address);
            if let Some((200, answer)) = call("POST", &self.api_address(*i), "/agent/beat", &body) {
                self.worker.lock().unwrap().execute(&answer);
            }
        }
    }

    /// Extends the lifetime of all leases to an hour, so that none expires during a test.
    pub(crate) fn extend_all_leases(&self) {
        let mut state = self.state.lock().unwrap();
        for lease in state.leases.values_mut() {
            lease.life = Duration::from_secs(3600);
        }
    }

    /// The controller that the record of the leader names.
    pub(crate) fn leader(&self) -> Option<usize> {
        let state = self.state.lock().unwrap();
        let name = state.keys.get("leader")?.value["node"]
            .as_str()?
            .to_string();
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

/// Submits a job, and retries until the status is below 500. Returns the status.
pub(crate) fn submit_job(address: &str, job: &Value) -> u16 {
    wait_until("a submission is accepted", || {
        let (status, _) = call("POST", address, "/v2/runs", job)?;
        (status < 500).then_some(status)
    })
}

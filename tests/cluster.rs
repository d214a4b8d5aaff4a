//! Three real controllers on loopback, against stand-ins of the state service, the cloud and one
//! worker: a job runs to its end though the leader is killed half-way.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request, Response, Server};

/// Keys with values, versions and leases; what the protocol says of them, without limits.
#[derive(Default)]
struct State {
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    changes: Vec<Value>,
    revision: u64,
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

    fn answer(&mut self, method: &Method, url: &str, body: &Value) -> (u16, Value) {
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
                let pairs: Vec<Value> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(&under) && **k > after)
                    .map(|(k, v)| json!({"key": k, "v": v.0, "stamp": v.1}))
                    .collect();
                (
                    200,
                    json!({"pairs": pairs, "truncated": false, "tally": self.revision}),
                )
            }
            (Method::Get, ["store", ..]) => match self.keys.get(&path["/store/".len()..]) {
                Some((value, stamp, _)) => (200, json!({"key": path, "v": value, "stamp": stamp})),
                None => (404, json!({"tally": self.revision})),
            },
            _ => (400, json!({})),
        }
    }
}

/// Serves `answer` from a few threads; a watch without news is asked again for a while.
fn serve(
    answer: impl Fn(&Method, &str, &Value) -> (u16, Value) + Send + Sync + 'static,
) -> SocketAddr {
    let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
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

fn respond(mut request: Request, answer: &dyn Fn(&Method, &str, &Value) -> (u16, Value)) {
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
struct Worker {
    token: u64,
    seq: u64,
    tasks: BTreeMap<(String, u64), &'static str>,
    finish: bool,
    starts: Vec<String>,
}

impl Worker {
    fn report(&mut self, endpoint: SocketAddr) -> Value {
        self.seq += 1;
        if self.finish {
            self.tasks.values_mut().for_each(|t| *t = "exited");
        }
        let task = |((task, attempt), state): (&(String, u64), &&str)| {
            let cause = (*state == "exited").then_some("done");
            json!({"leg": task, "sailing": attempt, "status": state, "cause": cause})
        };
        let tasks: Vec<Value> = self.tasks.iter().map(task).collect();
        json!({"vessel": "m-1", "endpoint": endpoint.to_string(), "hull": "g8", "berth": "z",
            "driftwood": false, "watch": 1, "log_no": self.seq, "helm": self.token,
            "recall_s": null, "legs": tasks})
    }

    fn run(&mut self, answer: &Value) -> bool {
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

struct Killed(Child);

impl Drop for Killed {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port()
}

fn call(method: &str, address: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
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
fn until<T>(what: &str, mut attempt: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(result) = attempt() {
            return result;
        }
        assert!(begun.elapsed() < Duration::from_secs(240), "never: {what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_job_outlives_the_leader_that_started_it() {
    let state = Arc::new(Mutex::new(State::default()));
    let kept = state.clone();
    let state_address = serve(move |m, u, b| state.lock().unwrap().answer(m, u, b));
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
    let orders_address = serve(move |_, _, body| {
        let mut worker = orders_worker.lock().unwrap();
        let status = if worker.run(body) { 200 } else { 409 };
        let address = orders_endpoint.lock().unwrap().unwrap();
        (status, worker.report(address))
    });
    *endpoint.lock().unwrap() = Some(orders_address);

    let ports: Vec<(u16, u16)> = (0..3).map(|_| (free_port(), free_port())).collect();
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let start = |i: usize| {
        let mut text = format!(
            "host_name = \"n{i}\"\nzone = \"z\"\nfront = \"127.0.0.1:{}\"\n\
             cluster_listen = \"127.0.0.1:{}\"\n",
            ports[i].0, ports[i].1
        );
        for j in (0..3).filter(|j| *j != i) {
            text += &format!(
                "[[others]]\nhost_name = \"n{j}\"\nzone = \"z\"\naddress = \"127.0.0.1:{}\"\n",
                ports[j].1
            );
        }
        text += &format!(
            "[endpoints]\ncloud = \"{cloud_address}\"\nstate = \"{state_address}\"\n\
             [settings]\n[[settings.teams]]\nname = \"t\"\n\
             [settings.workers]\nreport_s = 1.0\nlease_s = 300.0\ngang_wait_s = 20.0\n\
             gang_peer_s = 4.0\ncancel_s = 900.0\n\
             [settings.state]\nrps = 200.0\nwrite_rps = 100.0\nvalue_kb = 16.0\ntxn_ops = 8\n\
             [settings.cloud]\nrps = 10.0\nlist_lag_s = 4.0\n\
             [settings.limits]\nram_mb = 100.0\nmax_sockets = 500\n"
        );
        let path = folder.join(format!("n{i}.toml"));
        std::fs::File::create(&path)
            .unwrap()
            .write_all(text.as_bytes())
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_stairstage"))
            .args(["serve", "--config"])
            .arg(&path)
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        Some(Killed(child))
    };
    let mut nodes: Vec<Option<Killed>> = (0..3).map(start).collect();
    let fronts: Vec<String> = ports.iter().map(|p| format!("127.0.0.1:{}", p.0)).collect();
    let report = || {
        // One round of reports to all nodes; only the leader answers with commands.
        for front in &fronts {
            let body = worker.lock().unwrap().report(orders_address);
            if let Some((200, answer)) = call("POST", front, "/agent/beat", &body) {
                worker.lock().unwrap().run(&answer);
            }
        }
    };
    let job = json!({"name_id": "req-1", "duty": "c", "crew": "t", "rig": "sweep",
        "precedence": "normal", "legs": 2, "cpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "kit": "i",
        "size_gb": 1.0, "same_place": false, "spread": false, "driftwood": false,
        "passage_s": 20.0, "fix_interval_s": 0.0, "fix_s": 0.0});
    let submitted = until("a submission is accepted", || {
        let (status, _) = call("POST", &fronts[0], "/v2/runs", &job)?;
        (status < 500).then_some(status)
    });
    assert!(submitted == 201 || submitted == 200, "{submitted}");
    until("both tasks run", || {
        report();
        (worker.lock().unwrap().tasks.len() == 2).then_some(())
    });
    let leader = until("there is a leader", || {
        let state = kept.lock().unwrap();
        let name = state.keys.get("leader")?.0["node"].as_str()?.to_string();
        name[1..].parse::<usize>().ok()
    });
    nodes[leader] = None;
    let other = &fronts[(leader + 1) % 3];
    let token = worker.lock().unwrap().token;
    until("another node leads", || {
        report();
        (worker.lock().unwrap().token > token).then_some(())
    });
    let (status, _) = until("a repeat is known", || {
        call("POST", other, "/v2/runs", &job).filter(|a| a.0 < 500)
    });
    assert_eq!(status, 200);
    worker.lock().unwrap().finish = true;
    let told = until("the job is done", || {
        report();
        let (_, answer) = call("GET", other, "/v2/runs/req-1", &Value::Null)?;
        (answer["status"] == "done").then_some(answer)
    });
    assert_eq!(told["name_id"], "req-1");
    let mut starts = worker.lock().unwrap().starts.clone();
    starts.sort();
    assert_eq!(starts, ["req-1/0", "req-1/1"], "no task was started twice");
    let (status, _) = until("an unknown job is denied", || {
        call("GET", other, "/v2/runs/req-2", &Value::Null).filter(|a| a.0 < 500)
    });
    assert_eq!(status, 404);
    let (status, _) = call("POST", other, "/v2/runs", &json!([1])).unwrap();
    assert_eq!(status, 400);

    // All controllers restart while the cloud is down: the machine types are on record.
    cloud_down.store(true, Ordering::Relaxed);
    nodes.clear();
    let _nodes: Vec<Option<Killed>> = (0..3).map(start).collect();
    let mut another = job.clone();
    another["name_id"] = json!("req-3");
    until("a job is accepted without the cloud", || {
        call("POST", other, "/v2/runs", &another).filter(|a| a.0 == 201 || a.0 == 200)
    });
    let (_, told) = until("the end outlives all controllers", || {
        call("GET", other, "/v2/runs/req-1", &Value::Null).filter(|a| a.0 == 200)
    });
    assert_eq!(told["status"], "done");
}

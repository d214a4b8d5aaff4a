//! The cloud and its machines, with one worker on each.

use crate::http::{answer, call, serve, Reply, Request};
use crate::json::{obj, Json};
use crate::record::Record;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The times of the workers, and those of the cloud.
#[derive(Clone)]
pub struct Timing {
    pub report_s: f64,
    pub lease_s: f64,
    pub list_lag_s: f64,
}

/// A machine type: name, CPUs and memory.
#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub mem_gb: f64,
    pub zones: &'static [&'static str],
    /// How many machines of this type there are in all.
    pub capacity: usize,
    /// The nominal boot time, as the cloud tells it.
    pub startup_s: f64,
    /// How long these machines really boot.
    pub boot_s: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Fetching { until: Instant },
    Running { since: Instant },
    Exited { cause: &'static str },
}

struct Task {
    phase: Phase,
    cpus: f64,
    mem_gb: f64,
    /// How long it runs; none for a replica.
    run_s: Option<f64>,
}

impl Task {
    fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Exited { .. })
    }
}

/// A leg and its attempt.
type Attempt = (String, u64);

struct Session {
    watch: u64,
    log_no: u64,
    helm: u64,
    tasks: BTreeMap<Attempt, Task>,
    /// From when the lease counts.
    lease_from: Instant,
    has_changed: bool,
}

struct Worker {
    fleet: Arc<Fleet>,
    name: String,
    kind: MachineType,
    zone: String,
    spot: bool,
    endpoint: Mutex<String>,
    session: Mutex<Session>,
    gone: Mutex<bool>,
    /// Whether the machine has lost the network; its tasks go on.
    is_cut: Mutex<bool>,
    /// The reports that it has sent on its own and that a controller has answered, the oldest first.
    answered: Mutex<Vec<Json>>,
}

struct Listed {
    name: String,
    kind: &'static str,
    zone: String,
    spot: bool,
    rented_at: Instant,
    worker: Option<Arc<Worker>>,
}

/// A description that a user uploads for the workers.
#[derive(Clone)]
pub struct Described {
    pub cpus: f64,
    pub mem_gb: f64,
    pub run_s: Option<f64>,
    pub fetch_s: f64,
}

pub struct Fleet {
    timing: Timing,
    types: Vec<MachineType>,
    record: Arc<Record>,
    machines: Mutex<BTreeMap<String, Listed>>,
    last_machine: Mutex<u64>,
    rentals: Mutex<BTreeMap<String, Json>>,
    lists: Mutex<VecDeque<(Instant, Vec<Json>)>>,
    jobs: Mutex<BTreeMap<String, Described>>,
    nodes: Mutex<Vec<(String, String)>>,
    /// Every task that holds its image and has not exited, with its machine.
    pub on_machine: Mutex<BTreeMap<String, Vec<String>>>,
    pub done: Mutex<std::collections::BTreeSet<String>>,
    pub on_start: Mutex<Option<Box<dyn Fn(&str, &str, &[String]) + Send>>>,
}

impl Fleet {
    /// Starts the cloud; returns it with its address.
    pub fn start(
        timing: Timing,
        types: Vec<MachineType>,
        record: Arc<Record>,
    ) -> (Arc<Fleet>, SocketAddr) {
        let fleet = Arc::new(Fleet {
            timing,
            types,
            record,
            machines: Mutex::default(),
            last_machine: Mutex::new(0),
            rentals: Mutex::default(),
            lists: Mutex::default(),
            jobs: Mutex::default(),
            nodes: Mutex::default(),
            on_machine: Mutex::default(),
            done: Mutex::default(),
            on_start: Mutex::new(None),
        });
        let cloud = fleet.clone();
        let address = serve(move |request| Fleet::handle(&cloud, request));
        let listing = fleet.clone();
        std::thread::spawn(move || loop {
            listing.take_list();
            std::thread::sleep(Duration::from_millis(250));
        });
        (fleet, address)
    }

    /// The names and addresses of the controllers, which every worker has.
    pub fn set_nodes(&self, nodes: Vec<(String, String)>) {
        *self.nodes.lock().unwrap() = nodes;
    }

    /// Uploads the description of a job.
    pub fn describe(&self, job: &str, described: Described) {
        self.jobs.lock().unwrap().insert(job.to_string(), described);
    }

    /// The highest token that any worker has seen.
    pub fn highest_helm(&self) -> u64 {
        let workers = self.workers();
        let helms = workers.iter().map(|w| w.session.lock().unwrap().helm);
        helms.max().unwrap_or(0)
    }

    fn workers(&self) -> Vec<Arc<Worker>> {
        let machines = self.machines.lock().unwrap();
        machines.values().filter_map(|m| m.worker.clone()).collect()
    }

    /// The sessions of all workers.
    pub fn watches(&self) -> Vec<u64> {
        let workers = self.workers();
        workers
            .iter()
            .map(|w| w.session.lock().unwrap().watch)
            .collect()
    }

    /// Lets some machines that run a task of a job lose the network, or have it again; returns their names.
    pub fn cut(&self, job: &str, count: usize, is_cut: bool) -> Vec<String> {
        let runs = |w: &Arc<Worker>| {
            let session = w.session.lock().unwrap();
            session
                .tasks
                .iter()
                .any(|((leg, _), task)| leg.starts_with(job) && task.is_live())
        };
        let workers = self
            .workers()
            .into_iter()
            .filter(|w| !is_cut || runs(w))
            .take(count);
        let names = workers.map(|worker| {
            *worker.is_cut.lock().unwrap() = is_cut;
            worker.name.clone()
        });
        names.collect()
    }

    /// Copies of two old reports of each of these machines arrive at a controller, the older one first: the last
    /// one of its first session that a controller answered, and the first such one of its second session.
    pub fn send_old_reports(self: &Arc<Fleet>, machines: &[String], front: &str) {
        for worker in self.workers().iter().filter(|w| machines.contains(&w.name)) {
            let sent = worker.answered.lock().unwrap().clone();
            let of = |watch: u64| {
                sent.iter()
                    .filter(move |r| r.get("watch").u64() == Some(watch))
            };
            for copy in of(1).last().into_iter().chain(of(2).next()) {
                let reply = call(front, "POST", "/agent/beat", copy, Duration::from_secs(4));
                let status = reply.map_or(0, |r| r.status);
                self.record.note(&format!(
                    "answer {status} to a copy of the old report {copy}"
                ));
            }
        }
    }

    /// Whether a machine of this type is up.
    pub fn has_worker(&self, kind: &str) -> bool {
        let machines = self.machines.lock().unwrap();
        machines
            .values()
            .any(|m| m.kind == kind && m.worker.is_some())
    }

    fn take_list(&self) {
        let now = Instant::now();
        let machines = self.machines.lock().unwrap();
        let list = machines.values().map(|m| {
            let status = if m.worker.is_some() {
                "running"
            } else {
                "booting"
            };
            let endpoint = m
                .worker
                .as_ref()
                .map_or(Json::Null, |w| w.endpoint.lock().unwrap().as_str().into());
            obj([
                ("name_id", m.name.as_str().into()),
                ("endpoint", endpoint),
                ("hull", m.kind.into()),
                ("berth", m.zone.as_str().into()),
                ("driftwood", m.spot.into()),
                ("status", status.into()),
                (
                    "age_s",
                    now.duration_since(m.rented_at).as_secs_f64().into(),
                ),
            ])
        });
        let list = list.collect();
        drop(machines);
        let mut lists = self.lists.lock().unwrap();
        lists.push_back((now, list));
        let lag = Duration::from_secs_f64(self.timing.list_lag_s);
        while lists.len() > 1 && now.duration_since(lists[1].0) >= lag {
            lists.pop_front();
        }
    }

    fn handle(fleet: &Arc<Fleet>, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(20));
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => {
                let types = fleet.types.iter().map(|t| {
                    obj([
                        ("sku", t.name.into()),
                        ("cpus", t.cpus.into()),
                        ("gpus", 0.0.into()),
                        ("mem_gb", t.mem_gb.into()),
                        ("cache_gb", 70.0.into()),
                        ("pull_gb_per_s", 1.0.into()),
                        ("price", 0.42.into()),
                        ("market_price", 0.14.into()),
                        ("startup_s", t.startup_s.into()),
                        (
                            "berths",
                            t.zones
                                .iter()
                                .map(|z| Json::from(*z))
                                .collect::<Vec<_>>()
                                .into(),
                        ),
                    ])
                });
                answer(200, obj([("hulls", types.collect::<Vec<_>>().into())]))
            }
            ("GET", "/machines") => {
                let after = request.parameter("after").unwrap_or("");
                let lists = fleet.lists.lock().unwrap();
                let list = lists.front().map(|l| l.1.clone()).unwrap_or_default();
                let is_after = |m: &Json| m.get("name_id").str().is_some_and(|name| name > after);
                let list: Vec<Json> = list.into_iter().filter(is_after).collect();
                answer(
                    200,
                    obj([("fleet", list.into()), ("truncated", false.into())]),
                )
            }
            ("POST", "/machines") => fleet.rent(&request.body),
            ("POST", "/machines/return") => {
                for name in request.body.get("fleet").list() {
                    fleet.remove(name.str().unwrap_or(""));
                }
                answer(200, obj([]))
            }
            _ => answer(400, obj([])),
        }
    }

    fn rent(self: &Arc<Fleet>, body: &Json) -> Reply {
        let charter = body.get("charter").str().unwrap_or("").to_string();
        let mut rentals = self.rentals.lock().unwrap();
        if let Some(earlier) = rentals.get(&charter) {
            return answer(200, earlier.clone());
        }
        let kind = self
            .types
            .iter()
            .find(|t| Some(t.name) == body.get("hull").str());
        let Some(kind) = kind.cloned() else {
            return answer(400, obj([]));
        };
        let mut machines = self.machines.lock().unwrap();
        let rented = machines.values().filter(|m| m.kind == kind.name).count();
        let count = body.get("count").u64().unwrap_or(0).min(50) as usize;
        let count = count.min(kind.capacity.saturating_sub(rented));
        if count == 0 {
            return answer(503, obj([("error", "no capacity".into())]));
        }
        let zone = body.get("berth").str().unwrap_or("").to_string();
        let spot = *body.get("driftwood") == Json::Bool(true);
        let mut names = Vec::new();
        for _ in 0..count {
            let mut last = self.last_machine.lock().unwrap();
            *last += 1;
            let name = format!("m-{:06}", *last);
            names.push(Json::from(name.as_str()));
            let listed = Listed {
                name: name.clone(),
                kind: kind.name,
                zone: zone.clone(),
                spot,
                rented_at: Instant::now(),
                worker: None,
            };
            machines.insert(name.clone(), listed);
            let (fleet, kind, zone) = (self.clone(), kind.clone(), zone.clone());
            std::thread::spawn(move || fleet.boot(name, kind, zone, spot));
        }
        self.record
            .note(&format!("cloud rents out {count} {} in {zone}", kind.name));
        let reply = obj([("fleet", names.into())]);
        rentals.insert(charter, reply.clone());
        answer(200, reply)
    }

    fn boot(self: Arc<Fleet>, name: String, kind: MachineType, zone: String, spot: bool) {
        std::thread::sleep(Duration::from_secs_f64(kind.boot_s));
        if !self.machines.lock().unwrap().contains_key(&name) {
            return;
        }
        let worker = Worker::start(&self, name.clone(), kind, zone, spot);
        let mut machines = self.machines.lock().unwrap();
        match machines.get_mut(&name) {
            Some(listed) => listed.worker = Some(worker),
            None => worker.remove(),
        }
    }

    fn remove(&self, name: &str) {
        let removed = self.machines.lock().unwrap().remove(name);
        if let Some(listed) = removed {
            self.record.note(&format!("cloud takes back {name}"));
            if let Some(worker) = listed.worker {
                worker.remove();
            }
        }
    }

    fn started(&self, leg: &str, machine: &str) {
        self.record.note(&format!("start {leg} on {machine}"));
        let mut on = self.on_machine.lock().unwrap();
        let list = on.entry(leg.to_string()).or_default();
        if let Some(check) = &*self.on_start.lock().unwrap() {
            check(leg, machine, list);
        }
        list.push(machine.to_string());
    }

    fn ended(&self, leg: &str, machine: &str, why: &str) {
        self.record.note(&format!("end {leg} on {machine}: {why}"));
        if why == "done" {
            self.done.lock().unwrap().insert(leg.to_string());
        }
        let mut on_machine = self.on_machine.lock().unwrap();
        if let Some(machines) = on_machine.get_mut(leg) {
            if let Some(position) = machines.iter().position(|m| m == machine) {
                machines.remove(position);
            }
        }
    }
}

impl Worker {
    fn start(
        fleet: &Arc<Fleet>,
        name: String,
        kind: MachineType,
        zone: String,
        spot: bool,
    ) -> Arc<Worker> {
        let session = Session {
            watch: 1,
            log_no: 0,
            helm: 0,
            tasks: BTreeMap::new(),
            lease_from: Instant::now(),
            has_changed: true,
        };
        let worker = Arc::new(Worker {
            fleet: fleet.clone(),
            name,
            kind,
            zone,
            spot,
            endpoint: Mutex::default(),
            session: Mutex::new(session),
            gone: Mutex::new(false),
            is_cut: Mutex::new(false),
            answered: Mutex::default(),
        });
        let commanded = worker.clone();
        let address = serve(move |request| commanded.handle(request));
        *worker.endpoint.lock().unwrap() = address.to_string();
        let reporting = worker.clone();
        std::thread::spawn(move || reporting.report_always());
        let running = worker.clone();
        std::thread::spawn(move || {
            while !running.is_gone() {
                running.advance();
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        worker
    }

    fn is_gone(&self) -> bool {
        *self.gone.lock().unwrap()
    }

    fn remove(&self) {
        *self.gone.lock().unwrap() = true;
        self.kill_all("the machine is gone");
    }

    fn kill_all(&self, why: &str) {
        let mut session = self.session.lock().unwrap();
        for ((leg, _), task) in std::mem::take(&mut session.tasks) {
            if matches!(task.phase, Phase::Running { .. }) {
                self.fleet.ended(&leg, &self.name, why);
            }
        }
    }

    /// Lets the tasks go on, and ends the session with its lease.
    fn advance(&self) {
        let now = Instant::now();
        let mut session = self.session.lock().unwrap();
        if now.duration_since(session.lease_from).as_secs_f64() > self.fleet.timing.lease_s {
            session.watch += 1;
            session.log_no = 0;
            session.lease_from = now;
            session.has_changed = true;
            drop(session);
            return self.kill_all("the lease has expired");
        }
        let mut has_changed = false;
        for ((leg, _), task) in &mut session.tasks {
            match task.phase {
                Phase::Fetching { until } if now >= until => {
                    task.phase = Phase::Running { since: now };
                    self.fleet.started(leg, &self.name);
                    has_changed = true;
                }
                Phase::Running { since } => {
                    if task
                        .run_s
                        .is_some_and(|run_s| now.duration_since(since).as_secs_f64() >= run_s)
                    {
                        task.phase = Phase::Exited { cause: "done" };
                        self.fleet.ended(leg, &self.name, "done");
                        has_changed = true;
                    }
                }
                _ => {}
            }
        }
        session.has_changed |= has_changed;
    }

    fn report(&self, session: &mut Session) -> Json {
        session.log_no += 1;
        let legs = session.tasks.iter().map(|((leg, sailing), task)| {
            let (status, cause) = match task.phase {
                Phase::Fetching { .. } => ("fetching", Json::Null),
                Phase::Running { .. } => ("running", Json::Null),
                Phase::Exited { cause } => ("exited", cause.into()),
            };
            obj([
                ("leg", leg.as_str().into()),
                ("sailing", (*sailing).into()),
                ("status", status.into()),
                ("cause", cause),
            ])
        });
        let legs: Vec<Json> = legs.collect();
        obj([
            ("vessel", self.name.as_str().into()),
            ("endpoint", self.endpoint.lock().unwrap().as_str().into()),
            ("hull", self.kind.name.into()),
            ("berth", self.zone.as_str().into()),
            ("driftwood", self.spot.into()),
            ("watch", session.watch.into()),
            ("log_no", session.log_no.into()),
            ("helm", session.helm.into()),
            ("recall_s", Json::Null),
            ("legs", legs.into()),
        ])
    }

    fn handle(&self, request: &Request) -> Reply {
        // Nothing gets through to a machine without the network; what is sent meanwhile is lost.
        let mut was_cut = false;
        while *self.is_cut.lock().unwrap() && !self.is_gone() {
            was_cut = true;
            std::thread::sleep(Duration::from_millis(20));
        }
        if self.is_gone() || was_cut {
            return Reply::Nothing;
        }
        let mut session = self.session.lock().unwrap();
        if request.path == "/inspect" {
            return answer(200, self.report(&mut session));
        }
        let (Some(helm), Some(watch)) = (
            request.body.get("helm").u64(),
            request.body.get("watch").u64(),
        ) else {
            return answer(400, obj([]));
        };
        if helm < session.helm || watch != session.watch {
            return answer(409, self.report(&mut session));
        }
        if helm > session.helm {
            session.helm = helm;
            session.has_changed = true;
        }
        self.execute(&mut session, request.body.get("signals"));
        answer(200, self.report(&mut session))
    }

    fn execute(&self, session: &mut Session, signals: &Json) {
        for signal in signals.list() {
            let leg = signal.get("leg").str().unwrap_or("").to_string();
            let attempt: Attempt = (leg, signal.get("sailing").u64().unwrap_or(0));
            match signal.get("signal").str() {
                Some("launch") if !session.tasks.contains_key(&attempt) => {
                    let task = self.new_task(session, &attempt);
                    session.tasks.insert(attempt, task);
                    session.has_changed = true;
                }
                Some("stop") => {
                    if let Some(task) = session
                        .tasks
                        .get_mut(&attempt)
                        .filter(|task| task.is_live())
                    {
                        if matches!(task.phase, Phase::Running { .. }) {
                            self.fleet.ended(&attempt.0, &self.name, "stopped");
                        }
                        task.phase = Phase::Exited { cause: "halted" };
                        session.has_changed = true;
                    }
                }
                Some("forget") => {
                    if session
                        .tasks
                        .get(&attempt)
                        .is_some_and(|task| !task.is_live())
                    {
                        session.tasks.remove(&attempt);
                        session.has_changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn new_task(&self, session: &Session, attempt: &Attempt) -> Task {
        let refused = |cause| Task {
            phase: Phase::Exited { cause },
            cpus: 0.0,
            mem_gb: 0.0,
            run_s: None,
        };
        let job = attempt.0.split('/').next().unwrap_or("");
        let Some(described) = self.fleet.jobs.lock().unwrap().get(job).cloned() else {
            return refused("unknown");
        };
        let live = || session.tasks.iter().filter(|(_, task)| task.is_live());
        if live().any(|((leg, _), _)| *leg == attempt.0) {
            return refused("busy");
        }
        let cpus: f64 = live().map(|(_, task)| task.cpus).sum();
        let mem_gb: f64 = live().map(|(_, task)| task.mem_gb).sum();
        if cpus + described.cpus > self.kind.cpus + 1e-6
            || mem_gb + described.mem_gb > self.kind.mem_gb + 1e-6
        {
            return refused("full");
        }
        let until = Instant::now() + Duration::from_secs_f64(described.fetch_s);
        Task {
            phase: Phase::Fetching { until },
            cpus: described.cpus,
            mem_gb: described.mem_gb,
            run_s: described.run_s,
        }
    }

    /// Reports to one controller at a time, at intervals and after changes.
    fn report_always(&self) {
        let (mut node, mut last_at, mut not_before) =
            (0, Instant::now() - Duration::from_secs(60), Instant::now());
        let seed: u64 = self.name.bytes().map(u64::from).sum();
        let mut round = seed;
        let mut interval = Duration::from_secs_f64(self.fleet.timing.report_s);
        while !self.is_gone() {
            std::thread::sleep(Duration::from_millis(10));
            if *self.is_cut.lock().unwrap() {
                continue;
            }
            let now = Instant::now();
            let has_changed = self.session.lock().unwrap().has_changed;
            let since = now.duration_since(last_at);
            let is_due = since >= interval || (has_changed && since >= Duration::from_millis(500));
            if !is_due || now < not_before {
                continue;
            }
            last_at = now;
            round = round
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let spread = 0.75 + 0.5 * ((round >> 33) % 1000) as f64 / 1000.0;
            interval = Duration::from_secs_f64(self.fleet.timing.report_s * spread);
            let nodes = self.fleet.nodes.lock().unwrap().clone();
            if nodes.is_empty() {
                continue;
            }
            let (body, watch) = {
                let mut session = self.session.lock().unwrap();
                session.has_changed = false;
                (self.report(&mut session), session.watch)
            };
            let reply = call(
                &nodes[node % nodes.len()].1,
                "POST",
                "/agent/beat",
                &body,
                Duration::from_secs(4),
            );
            if reply.is_some() {
                self.answered.lock().unwrap().push(body);
            }
            match reply {
                Some(reply) if reply.status == 200 => self.accept(&reply.body, watch, now),
                Some(reply) if reply.status == 421 => {
                    let named = reply.body.get("harbour_master").str();
                    let found = nodes.iter().position(|n| Some(n.0.as_str()) == named);
                    match found.filter(|found| *found != node % nodes.len()) {
                        Some(found) => {
                            node = found;
                            last_at = now - Duration::from_secs(60);
                        }
                        None => {
                            node += 1;
                            not_before = Instant::now() + Duration::from_secs(1);
                            last_at = now - Duration::from_secs(60);
                        }
                    }
                }
                _ => {
                    node += 1;
                    not_before = Instant::now() + Duration::from_secs(1);
                    last_at = now - Duration::from_secs(60);
                }
            }
        }
    }

    fn accept(&self, reply: &Json, watch: u64, sent_at: Instant) {
        let mut session = self.session.lock().unwrap();
        let Some(helm) = reply.get("helm").u64() else {
            return;
        };
        if helm < session.helm || watch != session.watch {
            return;
        }
        if helm > session.helm {
            session.helm = helm;
            session.has_changed = true;
        }
        session.lease_from = sent_at;
        self.execute(&mut session, reply.get("signals"));
    }
}

//! The cloud and its machines, each with a worker, as the protocol describes them.

use crate::http::{reply, serve, Client, Request, Response};
use crate::json::Json;
use crate::record::note;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The largest request body that the protocol allows.
const BODY_LIMIT: usize = 64 * 1024;

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub mem_gb: f64,
    /// How long a machine boots.
    pub boot_s: f64,
    /// How long it boots by the cloud's list of types.
    pub startup_s: f64,
    pub count: usize,
}

/// What workers fetch of a job.
#[derive(Clone)]
pub struct Job {
    pub cpus: f64,
    pub mem_gb: f64,
    pub legs: u64,
    /// How long a task runs; `None` for a replica of a service.
    pub run_s: Option<f64>,
}

#[derive(Clone, Copy)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
}

/// What has happened on all machines.
#[derive(Default)]
pub struct Totals {
    pub starts: u64,
    pub done: HashSet<String>,
    /// Tasks that the end of a worker's lease has killed.
    pub killed_by_lease: Vec<String>,
    pub leases_ended: u64,
    /// Where each task is on a machine now.
    pub on: HashMap<String, HashSet<String>>,
    pub ran_twice: Vec<String>,
    /// The largest number of tasks that were on machines at a time.
    pub most_running: usize,
    /// Reports that a worker could not send, as their body would exceed the limit.
    pub too_long: u64,
    /// Reports that were answered with 200, and the time of the last one.
    pub answered: u64,
    pub last_answered: f64,
    /// The longest time between two such answers.
    pub longest_gap: f64,
}

pub struct Fleet {
    pub jobs: Mutex<HashMap<String, Job>>,
    pub totals: Mutex<Totals>,
    machines: Mutex<BTreeMap<String, Arc<Machine>>>,
    charters: Mutex<HashMap<String, String>>,
    types: Vec<MachineType>,
    zone: String,
    fronts: Mutex<Vec<(String, SocketAddr)>>,
    times: Times,
}

struct Machine {
    name: String,
    kind: MachineType,
    endpoint: SocketAddr,
    rented: Instant,
    worker: Mutex<Worker>,
}

struct Task {
    state: &'static str,
    cause: &'static str,
    since: Instant,
}

struct Worker {
    up: bool,
    gone: bool,
    watch: u64,
    log_no: u64,
    helm: u64,
    /// When the last answered report was sent, or the session began.
    renewed: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    changed: bool,
}

impl Fleet {
    pub fn start(
        types: Vec<MachineType>,
        zone: &str,
        times: Times,
        fronts: Vec<(String, SocketAddr)>,
    ) -> (Arc<Fleet>, SocketAddr) {
        let fleet = Arc::new(Fleet {
            jobs: Mutex::default(),
            totals: Mutex::default(),
            machines: Mutex::default(),
            charters: Mutex::default(),
            types,
            zone: zone.to_string(),
            fronts: Mutex::new(fronts),
            times,
        });
        let cloud = fleet.clone();
        let address = serve(Arc::new(move |request| cloud.call(&request)));
        (fleet, address)
    }

    fn call(self: &Arc<Self>, request: &Request) -> Response {
        let path = request.target.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("GET", "/machine_types") => {
                let types = self.types.iter().map(|t| {
                    format!(
                        "{{\"sku\":\"{}\",\"cpus\":{:?},\"gpus\":0.0,\"mem_gb\":{:?},\"cache_gb\":200.0,\"pull_gb_per_s\":1.0,\"price\":1.0,\"market_price\":0.4,\"startup_s\":{:?},\"berths\":[\"{}\"]}}",
                        t.name, t.cpus, t.mem_gb, t.startup_s, self.zone
                    )
                });
                reply(
                    200,
                    format!("{{\"hulls\":[{}]}}", types.collect::<Vec<_>>().join(",")),
                )
            }
            ("POST", "/machines") => self.rent(&request.body),
            ("POST", "/machines/return") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                for name in body.list("fleet") {
                    if let Json::Str(name) = name {
                        let machine = self.machines.lock().expect("lock").remove(name);
                        if let Some(machine) = machine {
                            self.remove(&machine);
                        }
                    }
                }
                reply(200, "{}")
            }
            ("GET", "/machines") => {
                let machines = self.machines.lock().expect("lock");
                let list = machines.values().map(|m| {
                    let up = m.worker.lock().expect("lock").up;
                    format!(
                        "{{\"name_id\":\"{}\",\"endpoint\":\"{}\",\"hull\":\"{}\",\"berth\":\"{}\",\"driftwood\":false,\"status\":\"{}\",\"age_s\":{:.1}}}",
                        m.name, m.endpoint, m.kind.name, self.zone,
                        if up { "running" } else { "booting" },
                        m.rented.elapsed().as_secs_f64()
                    )
                });
                let list: Vec<String> = list.collect();
                reply(
                    200,
                    format!("{{\"fleet\":[{}],\"truncated\":false}}", list.join(",")),
                )
            }
            _ => reply(404, "{}"),
        }
    }

    fn rent(self: &Arc<Self>, body: &str) -> Response {
        let Some(body) = Json::parse(body) else {
            return reply(400, "{}");
        };
        let charter = body.text("charter").unwrap_or("").to_string();
        if let Some(answer) = self.charters.lock().expect("lock").get(&charter) {
            return reply(200, answer.clone());
        }
        let kind = self
            .types
            .iter()
            .find(|t| Some(t.name) == body.text("hull"));
        let Some(kind) = kind.filter(|_| body.get("driftwood") != Some(&Json::Bool(true))) else {
            return reply(503, "{\"error\":\"no capacity\"}");
        };
        let wanted = body.u64("count").unwrap_or(0) as usize;
        let mut names = Vec::new();
        while names.len() < wanted {
            let machines = self.machines.lock().expect("lock");
            if machines
                .values()
                .filter(|m| m.kind.name == kind.name)
                .count()
                >= kind.count
            {
                break;
            }
            drop(machines);
            names.push(format!("\"{}\"", self.add(kind)));
        }
        if names.is_empty() {
            return reply(503, "{\"error\":\"no capacity\"}");
        }
        note(format!("cloud rents {} {}", names.len(), kind.name));
        let answer = format!("{{\"fleet\":[{}]}}", names.join(","));
        self.charters
            .lock()
            .expect("lock")
            .insert(charter, answer.clone());
        reply(200, answer)
    }

    fn add(self: &Arc<Self>, kind: &MachineType) -> String {
        static LAST: Mutex<u64> = Mutex::new(230);
        let mut last = LAST.lock().expect("lock");
        *last += 1;
        let name = format!("m-{last:06}");
        drop(last);
        let slot: Arc<Mutex<Option<Arc<Machine>>>> = Arc::default();
        let (handler_slot, fleet) = (slot.clone(), self.clone());
        let endpoint = serve(Arc::new(move |request| {
            let machine = handler_slot.lock().expect("lock").clone();
            machine.map_or_else(|| reply(503, "{}"), |m| fleet.orders(&m, &request))
        }));
        let machine = Arc::new(Machine {
            name: name.clone(),
            kind: kind.clone(),
            endpoint,
            rented: Instant::now(),
            worker: Mutex::new(Worker {
                up: false,
                gone: false,
                watch: 1,
                log_no: 0,
                helm: 0,
                renewed: Instant::now(),
                tasks: BTreeMap::new(),
                changed: false,
            }),
        });
        *slot.lock().expect("lock") = Some(machine.clone());
        self.machines
            .lock()
            .expect("lock")
            .insert(name.clone(), machine.clone());
        let fleet = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs_f64(machine.kind.boot_s));
            let mut worker = machine.worker.lock().expect("lock");
            worker.up = true;
            worker.renewed = Instant::now();
            drop(worker);
            let (ticking, of) = (fleet.clone(), machine.clone());
            std::thread::spawn(move || loop {
                if of.worker.lock().expect("lock").gone {
                    return;
                }
                ticking.tick(&of);
                std::thread::sleep(Duration::from_millis(25));
            });
            fleet.report(&machine);
        });
        name
    }

    fn remove(&self, machine: &Machine) {
        let mut worker = machine.worker.lock().expect("lock");
        worker.gone = true;
        note(format!(
            "{} returned, {} tasks",
            machine.name,
            worker.tasks.len()
        ));
        let mut totals = self.totals.lock().expect("lock");
        for (leg, _) in worker.tasks.keys() {
            leave(&mut totals, leg, &machine.name);
        }
        worker.tasks.clear();
    }

    /// Advances the tasks of a machine, and ends its session when its lease is over.
    fn tick(&self, machine: &Machine) {
        let mut guard = machine.worker.lock().expect("lock");
        let worker = &mut *guard;
        if worker.gone {
            return;
        }
        let jobs = self.jobs.lock().expect("lock");
        let mut totals = self.totals.lock().expect("lock");
        if worker.renewed.elapsed().as_secs_f64() > self.times.lease_s {
            let live: Vec<String> = worker
                .tasks
                .iter()
                .filter(|(_, t)| t.state != "exited")
                .map(|((leg, _), _)| leg.clone())
                .collect();
            note(format!(
                "{} lease over in session {}, kills {} tasks",
                machine.name,
                worker.watch,
                live.len()
            ));
            totals.leases_ended += 1;
            for leg in &live {
                leave(&mut totals, leg, &machine.name);
            }
            totals.killed_by_lease.extend(live);
            worker.tasks.clear();
            worker.watch += 1;
            worker.renewed = Instant::now();
            worker.changed = true;
        }
        for ((leg, _), task) in &mut worker.tasks {
            let Some(job) = leg.split('/').next().and_then(|id| jobs.get(id)) else {
                continue;
            };
            let ran_s = task.since.elapsed().as_secs_f64();
            if task.state == "fetching" && ran_s > 0.1 {
                task.state = "running";
                task.since = Instant::now();
                worker.changed = true;
                totals.starts += 1;
                let on = totals.on.entry(leg.clone()).or_default();
                on.insert(machine.name.clone());
                if on.len() > 1 {
                    let text = format!("{leg} is on {on:?}");
                    note(format!("ran_twice {text}"));
                    totals.ran_twice.push(text);
                }
            } else if task.state == "running" && job.run_s.is_some_and(|s| ran_s >= s) {
                task.state = "exited";
                task.cause = "done";
                worker.changed = true;
                leave(&mut totals, leg, &machine.name);
                totals.done.insert(leg.clone());
            }
        }
        totals.most_running = std::cmp::max(totals.most_running, totals.on.len());
    }

    fn body(&self, machine: &Machine, worker: &mut Worker) -> String {
        worker.log_no += 1;
        let legs = worker.tasks.iter().map(|((leg, sailing), task)| {
            let cause = if task.state == "exited" {
                format!(",\"cause\":\"{}\"", task.cause)
            } else {
                String::new()
            };
            format!(
                "{{\"leg\":\"{leg}\",\"sailing\":{sailing},\"status\":\"{}\"{cause}}}",
                task.state
            )
        });
        let legs: Vec<String> = legs.collect();
        format!(
            "{{\"vessel\":\"{}\",\"endpoint\":\"{}\",\"hull\":\"{}\",\"berth\":\"{}\",\"driftwood\":false,\"watch\":{},\"log_no\":{},\"helm\":{},\"recall_s\":null,\"legs\":[{}]}}",
            machine.name, machine.endpoint, machine.kind.name, self.zone,
            worker.watch, worker.log_no, worker.helm, legs.join(",")
        )
    }

    /// Sends reports until the machine is gone.
    fn report(&self, machine: &Machine) {
        let mut node = 0;
        let mut client: Option<(usize, Client)> = None;
        let mut last_outcome = String::new();
        loop {
            let started = Instant::now();
            let (body, watch) = {
                let mut worker = machine.worker.lock().expect("lock");
                if worker.gone {
                    return;
                }
                worker.changed = false;
                (self.body(machine, &mut worker), worker.watch)
            };
            let fronts = self.fronts.lock().expect("lock").clone();
            let mut outcome;
            let mut pause = Duration::from_secs(1);
            if body.len() > BODY_LIMIT {
                // The protocol allows no longer body, so the worker has no report that it may send.
                outcome = "too long to be sent".to_string();
                self.totals.lock().expect("lock").too_long += 1;
                node = (node + 1) % fronts.len();
            } else {
                if client.as_ref().is_none_or(|(at, _)| *at != node) {
                    client = Some((node, Client::new(fronts[node].1)));
                }
                let (_, connection) = client.as_mut().expect("set above");
                let timeout = Duration::from_secs(4);
                let response = connection.call("POST", "/agent/beat", &body, timeout);
                outcome = response
                    .as_ref()
                    .map_or("no response".to_string(), |r| r.status.to_string());
                match response {
                    Some(r) if r.status == 200 => {
                        let answer = Json::parse(&r.body).unwrap_or(Json::Null);
                        self.answered(machine, &answer, watch, started);
                        pause = Duration::ZERO;
                    }
                    Some(r) if r.status == 421 => {
                        let answer = Json::parse(&r.body).unwrap_or(Json::Null);
                        let named = answer.text("harbour_master");
                        let at = fronts
                            .iter()
                            .position(|(name, _)| Some(name.as_str()) == named);
                        match at.filter(|at| *at != node) {
                            Some(at) => {
                                node = at;
                                outcome = format!("421, goes to {}", fronts[at].0);
                                pause = Duration::from_millis(100);
                            }
                            None => node = (node + 1) % fronts.len(),
                        }
                    }
                    _ => {
                        client = None;
                        node = (node + 1) % fronts.len();
                    }
                }
            }
            let tasks = machine.worker.lock().expect("lock").tasks.len();
            let seen = format!("{outcome}, {} tasks, {} bytes", tasks, body.len());
            if outcome != last_outcome || started.elapsed().as_secs_f64() > 1.0 {
                note(format!(
                    "{} report to {}: {seen}",
                    machine.name, fronts[node].0
                ));
            }
            last_outcome = outcome;
            if !pause.is_zero() {
                std::thread::sleep(pause);
                continue;
            }
            let jitter =
                0.75 + 0.5 * ((started.elapsed().subsec_nanos() / 1000 % 1000) as f64 / 1000.0);
            let next = started + Duration::from_secs_f64(self.times.report_s * jitter);
            let soonest = started + Duration::from_millis(500);
            loop {
                let worker = machine.worker.lock().expect("lock");
                let due = Instant::now() >= next || worker.changed && Instant::now() >= soonest;
                if due || worker.gone {
                    break;
                }
                drop(worker);
                std::thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn answered(&self, machine: &Machine, answer: &Json, watch: u64, sent: Instant) {
        let mut worker = machine.worker.lock().expect("lock");
        let helm = answer.u64("helm").unwrap_or(0);
        if worker.gone || watch != worker.watch || helm < worker.helm {
            return;
        }
        if helm > worker.helm {
            worker.helm = helm;
            worker.changed = true;
        }
        worker.renewed = sent;
        {
            let mut totals = self.totals.lock().expect("lock");
            totals.answered += 1;
            let now = crate::record::now();
            if totals.last_answered > 0.0 {
                totals.longest_gap = totals.longest_gap.max(now - totals.last_answered);
            }
            totals.last_answered = now;
        }
        self.execute(machine, &mut worker, answer.list("signals"));
    }

    fn orders(&self, machine: &Machine, request: &Request) -> Response {
        let mut worker = machine.worker.lock().expect("lock");
        if worker.gone || !worker.up {
            drop(worker);
            std::thread::sleep(Duration::from_secs(30));
            return reply(503, "{}");
        }
        if request.method == "GET" {
            return reply(200, self.body(machine, &mut worker));
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (Some(helm), Some(watch)) = (body.u64("helm"), body.u64("watch")) else {
            return reply(400, "{}");
        };
        if helm < worker.helm || watch != worker.watch {
            return reply(409, self.body(machine, &mut worker));
        }
        if helm > worker.helm {
            worker.helm = helm;
            worker.changed = true;
        }
        self.execute(machine, &mut worker, body.list("signals"));
        reply(200, self.body(machine, &mut worker))
    }

    fn execute(&self, machine: &Machine, worker: &mut Worker, signals: &[Json]) {
        let jobs = self.jobs.lock().expect("lock");
        let mut launched = 0;
        for signal in signals {
            let leg = signal.text("leg").unwrap_or("").to_string();
            let sailing = signal.u64("sailing").unwrap_or(0);
            let key = (leg.clone(), sailing);
            match signal.text("signal") {
                Some("launch") => {
                    if worker.tasks.contains_key(&key) {
                        continue;
                    }
                    launched += 1;
                    let cause = refusal(&jobs, machine, worker, &leg);
                    let state = if cause.is_some() {
                        "exited"
                    } else {
                        "fetching"
                    };
                    worker.tasks.insert(
                        key,
                        Task {
                            state,
                            cause: cause.unwrap_or(""),
                            since: Instant::now(),
                        },
                    );
                    worker.changed = true;
                }
                Some("stop") => {
                    if let Some(task) = worker.tasks.get_mut(&key) {
                        if task.state != "exited" {
                            task.state = "exited";
                            task.cause = "halted";
                            worker.changed = true;
                            note(format!("{} stops {leg}", machine.name));
                            leave(&mut self.totals.lock().expect("lock"), &leg, &machine.name);
                        }
                    }
                }
                Some("forget") => {
                    if worker.tasks.get(&key).is_some_and(|t| t.state == "exited") {
                        worker.tasks.remove(&key);
                        worker.changed = true;
                    }
                }
                _ => {}
            }
        }
        if launched > 0 {
            note(format!("{} launches {launched} tasks", machine.name));
        }
    }

    /// The most CPUs that are free on one machine.
    pub fn most_free_cpus(&self) -> f64 {
        let machines = self.machines.lock().expect("lock");
        let machines: Vec<Arc<Machine>> = machines.values().cloned().collect();
        let free = machines.iter().map(|machine| {
            let worker = machine.worker.lock().expect("lock");
            let jobs = self.jobs.lock().expect("lock");
            let live = worker.tasks.iter().filter(|(_, t)| t.state != "exited");
            let of_job = |leg: &str| jobs.get(leg.split('/').next()?).map(|job| job.cpus);
            machine.kind.cpus - live.filter_map(|((leg, _), _)| of_job(leg)).sum::<f64>()
        });
        free.fold(0.0, f64::max)
    }

    /// The number of tasks of a job that are on machines now.
    pub fn running(&self, job: &str) -> usize {
        let totals = self.totals.lock().expect("lock");
        let prefix = format!("{job}/");
        totals
            .on
            .iter()
            .filter(|(leg, on)| leg.starts_with(&prefix) && !on.is_empty())
            .count()
    }
}

fn leave(totals: &mut Totals, leg: &str, machine: &str) {
    if let Some(on) = totals.on.get_mut(leg) {
        on.remove(machine);
        if on.is_empty() {
            totals.on.remove(leg);
        }
    }
}

/// Why a worker refuses to start a task, if it does.
fn refusal(
    jobs: &HashMap<String, Job>,
    machine: &Machine,
    worker: &Worker,
    leg: &str,
) -> Option<&'static str> {
    let (id, number) = leg.split_once('/')?;
    let Some(job) = jobs.get(id) else {
        return Some("unknown");
    };
    if number.parse::<u64>().map_or(true, |n| n >= job.legs) {
        return Some("unknown");
    }
    let live = worker.tasks.iter().filter(|(_, t)| t.state != "exited");
    let (mut cpus, mut mem_gb) = (job.cpus, job.mem_gb);
    for ((other, _), _) in live {
        if other == leg {
            return Some("busy");
        }
        if let Some(other) = other.split('/').next().and_then(|id| jobs.get(id)) {
            cpus += other.cpus;
            mem_gb += other.mem_gb;
        }
    }
    (cpus > machine.kind.cpus + 1e-6 || mem_gb > machine.kind.mem_gb + 1e-6).then_some("full")
}

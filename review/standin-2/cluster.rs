//! Starts controllers as separate processes, with the command of the deploy file.

use crate::fleet::{Fleet, Job, MachineType, Times};
use crate::http::{Client, Response};
use crate::json::Json;
use crate::link::Link;
use crate::record::note;
use crate::state::{Limits, State};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The figures of a small deployment.
#[derive(Clone)]
pub struct Site {
    pub host: &'static str,
    pub zone: &'static str,
    pub teams: Vec<(&'static str, f64, f64)>,
    pub times: Times,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub ram_mb: f64,
    pub sockets: usize,
    pub types: Vec<MachineType>,
}

/// ACDM Shared Conversion Grid, Port Louis, by the figures of its site file, with fast boots.
pub fn portlouis() -> Site {
    Site {
        host: "deckhand",
        zone: "ebene",
        teams: vec![("grid-desk-00", 40.0, 128.0), ("grid-desk-01", 40.0, 128.0)],
        times: Times {
            report_s: 3.0,
            lease_s: 34.0,
        },
        cancel_s: 59.0,
        rps: 200.0,
        write_rps: 60.0,
        txn_ops: 16,
        cloud_rps: 4.0,
        ram_mb: 136.0,
        sockets: 2500,
        types: vec![
            machine_type("compact-8", 8.0, 32.0, 12),
            machine_type("press-64", 64.0, 256.0, 8),
        ],
    }
}

/// Zghva Charts Survey Grid, Batumi, by the figures of its site file, with fast boots.
pub fn batumi() -> Site {
    Site {
        host: "skipper",
        zone: "batumi-port",
        teams: vec![("platform-crew", 0.0, 0.0)],
        times: Times {
            report_s: 1.5,
            lease_s: 10.0,
        },
        cancel_s: 35.0,
        rps: 100.0,
        write_rps: 25.0,
        txn_ops: 12,
        cloud_rps: 8.0,
        ram_mb: 72.0,
        sockets: 1000,
        types: vec![
            machine_type("dinghy-8", 8.0, 64.0, 9),
            machine_type("trawler-32", 32.0, 256.0, 3),
            machine_type("tanker-64", 64.0, 128.0, 3),
        ],
    }
}

fn machine_type(name: &'static str, cpus: f64, mem_gb: f64, count: usize) -> MachineType {
    MachineType {
        name,
        cpus,
        mem_gb,
        boot_s: 2.0,
        startup_s: 2.0,
        count,
    }
}

pub struct Controller {
    pub name: String,
    pub front: SocketAddr,
    config: String,
    child: Mutex<Option<Child>>,
}

pub struct Cluster {
    pub site: Site,
    /// The links between the controllers, if they were asked for.
    pub links: Vec<Arc<Link>>,
    pub controllers: Vec<Controller>,
    pub state: Arc<State>,
    pub fleet: Arc<Fleet>,
    folder: String,
}

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    listener.local_addr().expect("a local address")
}

impl Cluster {
    /// Starts the stand-ins and three controllers.
    pub fn start(site: Site, folder: &str) -> Cluster {
        Cluster::start_with(site, folder, false)
    }

    /// Starts the stand-ins and three controllers, whose connections to each other go through links if
    /// these are asked for.
    pub fn start_with(site: Site, folder: &str, with_links: bool) -> Cluster {
        let names: Vec<String> = (0..3).map(|i| format!("{}-{i}", site.host)).collect();
        let ports: Vec<(SocketAddr, SocketAddr)> =
            names.iter().map(|_| (free_port(), free_port())).collect();
        let fronts = names
            .iter()
            .cloned()
            .zip(ports.iter().map(|p| p.0))
            .collect();
        let (state, state_at) = State::start(Limits {
            rps: site.rps,
            write_rps: site.write_rps,
            value_kb: 16.0,
            txn_ops: site.txn_ops,
        });
        let (fleet, cloud_at) = Fleet::start(site.types.clone(), site.zone, site.times, fronts);
        let mut controllers = Vec::new();
        let mut links = Vec::new();
        for (i, name) in names.iter().enumerate() {
            let mut text = format!(
                "host_name = \"{name}\"\nzone = \"{}\"\nfront = \"{}\"\ncluster_listen = \"{}\"\n",
                site.zone, ports[i].0, ports[i].1
            );
            for (j, other) in names.iter().enumerate().filter(|(j, _)| *j != i) {
                let mut address = ports[j].1;
                if with_links {
                    let link = Link::open(address);
                    address = link.address;
                    links.push(link);
                }
                text += &format!(
                    "[[others]]\nhost_name = \"{other}\"\nzone = \"{}\"\naddress = \"{address}\"\n",
                    site.zone
                );
            }
            text += &format!(
                "[endpoints]\ncloud = \"{cloud_at}\"\nstate = \"{state_at}\"\n[settings]\ninitial_size = 3\nzones = [\"{}\"]\nskew_ms = 1000.0\n",
                site.zone
            );
            for (team, cpus, most) in &site.teams {
                text += &format!(
                    "[[settings.teams]]\nname = \"{team}\"\ncpus = {cpus:?}\ncpus_max = {most:?}\ngpus = 0.0\ngpus_max = 0.0\n"
                );
            }
            text += &format!(
                "[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = {:?}\n",
                site.times.report_s, site.times.lease_s, site.cancel_s
            );
            text += &format!(
                "[settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = 16.0\ntxn_ops = {}\n[settings.cloud]\nrps = {:?}\nlist_lag_s = 8.0\n[settings.limits]\ncore_share = 0.16\nram_mb = {:?}\nmax_sockets = {}\n",
                site.rps, site.write_rps, site.txn_ops, site.cloud_rps, site.ram_mb, site.sockets
            );
            let config = format!("{folder}/{name}.toml");
            std::fs::write(&config, text).expect("the settings can be written");
            controllers.push(Controller {
                name: name.clone(),
                front: ports[i].0,
                config,
                child: Mutex::new(None),
            });
        }
        let cluster = Cluster {
            site,
            links,
            controllers,
            state,
            fleet,
            folder: folder.to_string(),
        };
        for i in 0..3 {
            cluster.spawn(i);
        }
        cluster
    }

    /// Starts a controller's process.
    pub fn spawn(&self, i: usize) {
        let controller = &self.controllers[i];
        let deploy = std::fs::read_to_string("deploy/service.toml").expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .expect("a run command");
        let mut words = run.split_whitespace();
        let log = File::options()
            .create(true)
            .append(true)
            .open(format!("{}/{}.log", self.folder, controller.name))
            .expect("the log can be written");
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .arg(&controller.config)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a controller can be started");
        note(format!(
            "{} started, process {}",
            controller.name,
            child.id()
        ));
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(format!("{}/pids", self.folder))
            .expect("the process id can be written");
        let _ = writeln!(pids, "{}", child.id());
        *controller.child.lock().expect("lock") = Some(child);
    }

    pub fn pid(&self, i: usize) -> Option<u32> {
        let child = self.controllers[i].child.lock().expect("lock");
        child.as_ref().map(Child::id)
    }

    /// Kills a controller's process.
    pub fn kill(&self, i: usize) {
        if let Some(mut child) = self.controllers[i].child.lock().expect("lock").take() {
            let _ = child.kill();
            let _ = child.wait();
            note(format!("{} killed", self.controllers[i].name));
        }
    }

    /// The leader by its record in the state service.
    pub fn leader(&self) -> Option<usize> {
        let text = self.state.value("leader")?;
        self.controllers
            .iter()
            .position(|c| text.contains(&format!("\"{}\"", c.name)))
    }

    /// Waits until there is a leader that has been so for a while.
    pub fn wait_for_leader(&self) -> bool {
        for _ in 0..150 {
            std::thread::sleep(Duration::from_millis(100));
            if self.leader().is_some() {
                std::thread::sleep(Duration::from_secs(2));
                return true;
            }
        }
        false
    }

    /// The resident memory of a controller's process in MiB, the larger unit of the two that MB may mean.
    pub fn memory_mib(&self, i: usize) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid(i)?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib / 1024.0)
    }

    /// Submits a job at one controller, and repeats it like a user until it is answered; returns the last
    /// status.
    pub fn submit(&self, at: usize, job: &Submission) -> u16 {
        self.fleet
            .jobs
            .lock()
            .expect("lock")
            .insert(job.id.clone(), job.job());
        let body = job.json();
        for attempt in 0..60 {
            let at = (at + attempt) % 3;
            let response = self.call(at, "POST", "/v2/runs", &body, 5.0);
            let status = response.as_ref().map_or(0, |r| r.status);
            if matches!(status, 200 | 201 | 400 | 422) {
                return status;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        0
    }

    /// Sends one request of a user to a controller.
    pub fn call(
        &self,
        at: usize,
        method: &str,
        path: &str,
        body: &str,
        timeout_s: f64,
    ) -> Option<Response> {
        let controller = &self.controllers[at];
        let timeout = Duration::from_secs_f64(timeout_s);
        let response = Client::new(controller.front).call(method, path, body, timeout);
        let answer = response.as_ref().map_or("no response".to_string(), |r| {
            format!(
                "{} {}",
                r.status,
                r.body.chars().take(200).collect::<String>()
            )
        });
        let sent: String = body.chars().take(300).collect();
        note(format!(
            "{} {method} {path} {sent} -> {answer}",
            controller.name
        ));
        response
    }

    /// Asks one controller for the state of a job.
    pub fn poll(&self, at: usize, id: &str) -> Option<(u16, Json)> {
        let response = self.call(at, "GET", &format!("/v2/runs/{id}"), "", 2.0)?;
        Some((
            response.status,
            Json::parse(&response.body).unwrap_or(Json::Null),
        ))
    }

    /// Asks the controllers one after the other; returns the first state that one answers.
    pub fn status(&self, id: &str) -> Option<String> {
        (0..3).find_map(|at| {
            let (status, body) = self.poll(at, id)?;
            (status == 200).then(|| body.text("status").unwrap_or("").to_string())
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for i in 0..self.controllers.len() {
            self.kill(i);
        }
    }
}

/// A job of a user.
#[derive(Clone)]
pub struct Submission {
    pub id: String,
    pub duty: &'static str,
    pub crew: &'static str,
    pub rig: &'static str,
    pub precedence: &'static str,
    pub legs: u64,
    pub cpus: f64,
    pub mem_gb: f64,
    pub passage_s: f64,
    pub run_s: f64,
    pub due_s: Option<f64>,
    pub waits_on: Vec<String>,
}

impl Submission {
    pub fn array(id: impl Into<String>, crew: &'static str, legs: u64, run_s: f64) -> Submission {
        Submission {
            id: id.into(),
            duty: "scan-batch",
            crew,
            rig: "sweep",
            precedence: "normal",
            legs,
            cpus: 1.0,
            mem_gb: 1.0,
            passage_s: run_s,
            run_s,
            due_s: None,
            waits_on: Vec::new(),
        }
    }

    fn job(&self) -> Job {
        Job {
            cpus: self.cpus,
            mem_gb: self.mem_gb,
            legs: self.legs,
            run_s: (self.rig != "standing").then_some(self.run_s),
        }
    }

    pub fn json(&self) -> String {
        let waits: Vec<Json> = self.waits_on.iter().map(Json::str).collect();
        let amount = |x: f64| Json::Num(format!("{x:?}"));
        let mut job = Json::obj([
            ("name_id", Json::str(&self.id)),
            ("duty", Json::str(self.duty)),
            ("crew", Json::str(self.crew)),
            ("rig", Json::str(self.rig)),
            ("precedence", Json::str(self.precedence)),
            ("legs", Json::num(self.legs)),
            ("cpus", amount(self.cpus)),
            ("gpus", amount(0.0)),
            ("mem_gb", amount(self.mem_gb)),
            ("kit", Json::str("img-07")),
            ("size_gb", amount(0.1)),
            ("hulls", Json::Null),
            ("berth", Json::Null),
            ("same_place", Json::Bool(false)),
            ("spread", Json::Bool(false)),
            ("driftwood", Json::Bool(false)),
            ("passage_s", amount(self.passage_s)),
            ("fix_interval_s", amount(0.0)),
            ("fix_s", amount(0.0)),
            ("due_s", self.due_s.map_or(Json::Null, amount)),
        ]);
        if let Json::Obj(fields) = &mut job {
            if !waits.is_empty() {
                fields.insert("waits_on".to_string(), Json::Arr(waits));
            }
        }
        job.print()
    }
}

//! The controllers, started as separate processes with the command of the deploy file.

use crate::fleet::{Fleet, MachineType, Timing};
use crate::http::{call, Answer};
use crate::json::Json;
use crate::record::Record;
use crate::state::{Limits, State};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The settings of a deployment.
#[derive(Clone)]
pub struct Site {
    pub names: &'static [&'static str],
    pub zones: &'static [&'static str],
    pub teams: &'static [(&'static str, f64, f64)],
    pub timing: Timing,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub limits: Limits,
    pub value_kb: f64,
    pub cloud_rps: f64,
    pub ram_mb: f64,
    pub max_sockets: usize,
    pub types: Vec<MachineType>,
}

/// The processes that run now, so that they can be ended when a case takes too long.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Ends the program with code 2, and all controllers, if the case is not over after this time.
pub fn end_after(seconds: u64) {
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        // The lock is kept, so that no controller is started any more.
        let running = RUNNING.lock().unwrap();
        for pid in running.iter() {
            let _ = Command::new("kill")
                .arg("-KILL")
                .arg(pid.to_string())
                .status();
        }
        std::process::exit(2);
    });
}

pub struct Cluster {
    pub site: Site,
    pub state: Arc<State>,
    pub fleet: Arc<Fleet>,
    pub record: Arc<Record>,
    folder: PathBuf,
    pub fronts: Vec<String>,
    processes: Mutex<Vec<Option<Child>>>,
}

/// Free ports for the controllers, below those that the system gives to the stand-ins' sockets.
fn free_ports(count: usize) -> Vec<u16> {
    let first = 11_000 + (std::process::id() % 1_500) as u16 * 14;
    let is_free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    (first..).filter(is_free).take(count).collect()
}

/// The program and its arguments, as the deploy file names them.
fn run_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/service.toml").expect("deploy/service.toml");
    let line = text
        .lines()
        .find(|line| line.starts_with("run"))
        .expect("a run command");
    let value = line
        .split_once('=')
        .expect("a value")
        .1
        .trim()
        .trim_matches('"');
    value.split_whitespace().map(str::to_string).collect()
}

impl Cluster {
    pub fn start(site: Site, record: Record) -> Cluster {
        let record = Arc::new(record);
        let count = site.names.len();
        let (state, state_addresses) = State::start(site.limits, count);
        let (fleet, cloud) = Fleet::start(site.timing.clone(), site.types.clone(), record.clone());
        let folder = std::env::temp_dir().join(format!("stairstage-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let ports = free_ports(2 * count);
        let fronts: Vec<String> = (0..count)
            .map(|i| format!("127.0.0.1:{}", ports[2 * i]))
            .collect();
        for i in 0..count {
            let mut text = format!(
                "host_name = \"{}\"\nzone = \"{}\"\nfront = \"{}\"\ncluster_listen = \"127.0.0.1:{}\"\n",
                site.names[i],
                site.zones[i % site.zones.len()],
                fronts[i],
                ports[2 * i + 1]
            );
            for j in (0..count).filter(|j| *j != i) {
                text += &format!(
                    "[[others]]\nhost_name = \"{}\"\nzone = \"{}\"\naddress = \"127.0.0.1:{}\"\n",
                    site.names[j],
                    site.zones[j % site.zones.len()],
                    ports[2 * j + 1]
                );
            }
            text += &format!(
                "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{}\"\n",
                state_addresses[i]
            );
            let zones: Vec<String> = site
                .zones
                .iter()
                .map(|zone| format!("\"{zone}\""))
                .collect();
            text += &format!(
                "[settings]\ninitial_size = {count}\nzones = [{}]\nskew_ms = 1000.0\n",
                zones.join(", ")
            );
            for (name, cpus, cpus_max) in site.teams {
                text += &format!(
                    "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\ngpus = 0.0\ngpus_max = 0.0\n"
                );
            }
            let t = &site.timing;
            text += &format!(
                "[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
                t.report_s, t.lease_s, site.gang_wait_s, site.gang_peer_s, site.cancel_s
            );
            text += &format!(
                "[settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n",
                site.limits.rps, site.limits.write_rps, site.value_kb, site.limits.txn_ops
            );
            text += &format!(
                "[settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n",
                site.cloud_rps, t.list_lag_s
            );
            text += &format!(
                "[settings.limits]\ncore_share = 0.16\nram_mb = {:?}\nmax_sockets = {}\n",
                site.ram_mb, site.max_sockets
            );
            std::fs::write(folder.join(format!("{i}.toml")), text)
                .expect("settings can be written");
        }
        let nodes = site
            .names
            .iter()
            .zip(&fronts)
            .map(|(name, front)| (name.to_string(), front.clone()));
        fleet.set_nodes(nodes.collect());
        let cluster = Cluster {
            site,
            state,
            fleet,
            record,
            folder,
            fronts,
            processes: Mutex::new((0..count).map(|_| None).collect()),
        };
        (0..count).for_each(|i| cluster.start_controller(i));
        cluster
    }

    pub fn start_controller(&self, i: usize) {
        let command = run_command();
        let log = std::fs::File::create(self.folder.join(format!("{i}.log"))).expect("a log");
        let mut running = RUNNING.lock().unwrap();
        let child = Command::new(&command[0])
            .args(&command[1..])
            .arg(self.folder.join(format!("{i}.toml")))
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("error".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        self.record
            .note(&format!("controller {} starts", self.site.names[i]));
        running.insert(child.id());
        self.processes.lock().unwrap()[i] = Some(child);
    }

    pub fn kill_controller(&self, i: usize) {
        let child = self.processes.lock().unwrap()[i].take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().remove(&child.id());
            self.record
                .note(&format!("controller {} is killed", self.site.names[i]));
        }
    }

    pub fn pid(&self, i: usize) -> Option<u32> {
        self.processes.lock().unwrap()[i].as_ref().map(Child::id)
    }

    /// The position of the leader.
    pub fn leader(&self) -> Option<usize> {
        let name = self.state.leader()?;
        self.site.names.iter().position(|n| *n == name)
    }

    /// A request of a user to one controller, noted with its answer.
    pub fn ask(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: &Json,
        timeout_s: f64,
    ) -> Option<Answer> {
        let answer = call(
            &self.fronts[i],
            method,
            path,
            body,
            Duration::from_secs_f64(timeout_s),
        );
        let seen = match &answer {
            Some(a) => format!("{} {}", a.status, a.body),
            None => "no answer".to_string(),
        };
        let name = body.get("name_id").str().unwrap_or("");
        self.record.note(&format!(
            "{method} {path} {name} at {}: {seen}",
            self.site.names[i]
        ));
        answer
    }

    /// Waits until all controllers are healthy and there is a leader.
    pub fn wait_until_ready(&self, timeout_s: f64) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed().as_secs_f64() < timeout_s {
            let is_healthy = |front: &String| {
                call(
                    front,
                    "GET",
                    "/healthz",
                    &Json::Null,
                    Duration::from_secs(1),
                )
                .is_some_and(|a| a.status == 200)
            };
            if self.fronts.iter().all(is_healthy) && self.leader().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }
}

impl Cluster {
    /// Ends all controllers and removes the temporary folder.
    pub fn stop(&self) {
        (0..self.site.names.len()).for_each(|i| self.kill_controller(i));
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop();
    }
}

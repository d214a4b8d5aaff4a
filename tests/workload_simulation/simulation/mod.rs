//! Discrete-time simulation of users, workers, the cloud and the state service around the leader's manager.

mod leader;
mod machines;
mod users;

use crate::common::{machine_type, Store, SETTINGS};
use crate::services::{Cloud, StateService};
use crate::worker::Worker;
use crate::workload::{JobPlan, Random};
use leader::PendingWrite;
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::cloud::MachineType;
use stairstage::protocol::store::Transaction;
use stairstage::settings::Settings;
use std::collections::BTreeMap;
use std::sync::Arc;
pub(crate) use users::Outcome;

/// The length of a step in seconds.
pub(crate) const STEP_S: f64 = 1.0;

/// A team with its guaranteed CPUs and its limit on CPUs; a limit of 0 means none.
pub(crate) struct TeamSettings {
    pub name: &'static str,
    pub guarantee: f64,
    pub limit: f64,
}

/// Two teams without guarantees and limits.
pub(crate) const UNLIMITED_TEAMS: [TeamSettings; 2] = [team("t", 0.0, 0.0), team("u", 0.0, 0.0)];

/// A team with a guarantee and a limit.
pub(crate) const fn team(name: &'static str, guarantee: f64, limit: f64) -> TeamSettings {
    TeamSettings {
        name,
        guarantee,
        limit,
    }
}

/// The state of a simulation, with the history of its jobs.
pub(crate) struct Simulation {
    pub now: f64,
    pub random: Random,
    settings: Arc<Settings>,
    machine_types: Vec<MachineType>,
    pub store: Store,
    pub state: StateService,
    pub cloud: Cloud,
    pub leader: Option<ClusterManager>,
    /// The share of responses to heartbeats and direct commands that arrive after the timeout of their
    /// receivers.
    pub late_response_rate: f64,
    /// Whether the other controllers promise a new leader to answer no heartbeat with a lower token.
    pub peers_promise: bool,
    pub workers: BTreeMap<String, Worker>,
    machines_added: usize,
    plans: Vec<JobPlan>,
    next_plan: usize,
    pub outcomes: BTreeMap<String, Outcome>,
    pending_writes: Vec<PendingWrite>,
    delayed_writes: Vec<(f64, Transaction)>,
    listed_at: f64,
    /// When the last fault ends. The waiting times of jobs are measured from then on.
    pub faults_end_s: f64,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        teams: &[TeamSettings],
        zones: &[&str],
        cloud: Cloud,
    ) -> Simulation {
        let teams: Vec<String> = teams
            .iter()
            .map(|t| {
                let (name, cpus, limit) = (t.name, t.guarantee, t.limit);
                format!(r#"{{ name = "{name}", cpus = {cpus:.1}, cpus_max = {limit:.1} }}"#)
            })
            .collect();
        let listed = format!("teams = [{}]", teams.join(", "));
        let text = SETTINGS.replace(r#"teams = [{ name = "t" }, { name = "u" }]"#, &listed);
        assert!(text.contains(&listed), "the settings have changed");
        let mut settings = Settings::parse("test", &text).unwrap();
        if cloud.keeps_idle_machines {
            settings.policy.idle_timeout = f64::INFINITY;
        }
        let machine_types = vec![MachineType {
            zones: zones.iter().map(|z| z.to_string()).collect(),
            ..machine_type()
        }];
        let mut sim = Simulation {
            now: 0.0,
            random: Random::new(seed),
            settings: Arc::new(settings),
            machine_types,
            store: Store::default(),
            state: StateService::default(),
            cloud,
            leader: None,
            late_response_rate: 0.0,
            peers_promise: true,
            workers: BTreeMap::new(),
            machines_added: 0,
            plans: Vec::new(),
            next_plan: 0,
            outcomes: BTreeMap::new(),
            pending_writes: Vec::new(),
            delayed_writes: Vec::new(),
            listed_at: 0.0,
            faults_end_s: 0.0,
        };
        sim.elect_leader();
        sim
    }

    /// Adds jobs, which are submitted when they are due.
    pub(crate) fn plan(&mut self, plans: Vec<JobPlan>) {
        self.plans.extend(plans);
        self.plans.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }

    /// Milliseconds since the run began.
    fn wall_ms(&self) -> u64 {
        (1000.0 * self.now) as u64
    }

    /// Simulates until the given time. `fault` may change the simulation before each step.
    pub(crate) fn run(&mut self, until: f64, mut fault: impl FnMut(&mut Simulation)) {
        while self.now < until {
            fault(self);
            self.step();
        }
    }

    /// Simulates one step, in which each part acts once.
    fn step(&mut self) {
        self.apply_delayed_writes();
        self.finish_writes();
        self.advance_workers();
        self.submit_due();
        self.cancel_due();
        self.send_heartbeats();
        self.list_machines();
        self.run_leader();
        self.advance_gangs();
        self.read_final_states();
        if self.now >= self.faults_end_s {
            self.measure_waits();
        }
        self.now += STEP_S;
    }
}

//! A simulated day in virtual time: users, workers, cloud and state service around the leader's manager.

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

/// Seconds of a step.
pub(crate) const STEP_S: f64 = 1.0;

/// A team with its limit on processors; 0 for none.
pub(crate) struct TeamLimit {
    pub name: &'static str,
    pub guarantee: f64,
    pub limit: f64,
}

/// The teams of most days, without limits.
pub(crate) const UNLIMITED: [TeamLimit; 2] = [team("t", 0.0, 0.0), team("u", 0.0, 0.0)];

/// A team with a guarantee and a limit.
pub(crate) const fn team(name: &'static str, guarantee: f64, limit: f64) -> TeamLimit {
    TeamLimit {
        name,
        guarantee,
        limit,
    }
}

/// All parts of a simulated day, and what became of its jobs.
pub(crate) struct Simulation {
    pub now: f64,
    pub random: Random,
    settings: Arc<Settings>,
    types: Vec<MachineType>,
    pub store: Store,
    pub state: StateService,
    pub cloud: Cloud,
    pub leader: Option<ClusterManager>,
    /// The share of responses to heartbeats, and of answers to direct commands, that take longer than their
    /// receivers wait.
    pub slow_links: f64,
    /// Whether other controllers can promise a new leader to answer nothing in its place.
    pub peers_promise: bool,
    pub workers: BTreeMap<String, Worker>,
    rented: usize,
    plans: Vec<JobPlan>,
    next_plan: usize,
    pub outcomes: BTreeMap<String, Outcome>,
    pending: Vec<PendingWrite>,
    late: Vec<(f64, Transaction)>,
    listed: f64,
    /// When the last fault is over; what users wait for is counted from then on.
    pub calm_from: f64,
}

impl Simulation {
    pub(crate) fn new(seed: u64, teams: &[TeamLimit], zones: &[&str], cloud: Cloud) -> Simulation {
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
        if cloud.keeps_idle {
            settings.policy.idle_timeout = f64::INFINITY;
        }
        let types = vec![MachineType {
            zones: zones.iter().map(|z| z.to_string()).collect(),
            ..machine_type()
        }];
        let mut simulation = Simulation {
            now: 0.0,
            random: Random::new(seed),
            settings: Arc::new(settings),
            types,
            store: Store::default(),
            state: StateService::default(),
            cloud,
            leader: None,
            slow_links: 0.0,
            peers_promise: true,
            workers: BTreeMap::new(),
            rented: 0,
            plans: Vec::new(),
            next_plan: 0,
            outcomes: BTreeMap::new(),
            pending: Vec::new(),
            late: Vec::new(),
            listed: 0.0,
            calm_from: 0.0,
        };
        simulation.elect();
        simulation
    }

    /// Adds jobs that users submit when their time has come.
    pub(crate) fn plan(&mut self, plans: Vec<JobPlan>) {
        self.plans.extend(plans);
        self.plans.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }

    /// Milliseconds since the day began.
    fn wall_ms(&self) -> u64 {
        (1000.0 * self.now) as u64
    }

    /// Plays until then; `fault` may change anything before each step.
    pub(crate) fn run(&mut self, until: f64, mut fault: impl FnMut(&mut Simulation)) {
        while self.now < until {
            fault(self);
            self.step();
        }
    }

    /// A second passes, in which each part acts once.
    fn step(&mut self) {
        self.carry_out_late();
        self.answer_writes();
        self.advance_workers();
        self.submit_due();
        self.cancel_due();
        self.send_heartbeats();
        self.list_machines();
        self.decide();
        self.advance_gangs();
        self.note_ends();
        if self.now >= self.calm_from {
            self.watch_users();
        }
        self.now += STEP_S;
    }
}

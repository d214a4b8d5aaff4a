//! A simulated day in virtual time: users, workers, cloud and state service around the leader's core.

use crate::common::{machine_type, parsed, Refusal, Store, SETTINGS};
use crate::services::{Cloud, Fate, StateService};
use crate::worker::Worker;
use crate::workload::{JobPlan, Random};
use serde_json::json;
use stairstage::bookkeeping::records::*;
use stairstage::coordination::core::{Core, Effect, Ordered, ReportOutcome, Written};
use stairstage::protocol::cloud::{ListedMachine, MachineState, MachineType};
use stairstage::protocol::job::{parse_task, JobState};
use stairstage::protocol::store::Transaction;
use stairstage::protocol::worker::*;
use stairstage::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub const STEP_S: f64 = 1.0;
/// Seconds between two looks at the cloud's list.
const LIST_S: f64 = 5.0;

/// A team with its limit on processors; 0 for none.
pub struct TeamLimit {
    pub name: &'static str,
    pub guarantee: f64,
    pub limit: f64,
}

/// The teams of most days, without limits.
pub const UNLIMITED: [TeamLimit; 2] = [team("t", 0.0, 0.0), team("u", 0.0, 0.0)];

pub const fn team(name: &'static str, guarantee: f64, limit: f64) -> TeamLimit {
    TeamLimit {
        name,
        guarantee,
        limit,
    }
}

/// What became of a job.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub plan: JobPlan,
    pub arrived: f64,
    pub began: Option<f64>,
    pub done: Option<f64>,
    pub cancelled: Option<f64>,
    /// Since the last trouble: how long it has waited with room, and gone without an answer.
    waits_s: f64,
    silence_s: f64,
    pub longest_wait_s: f64,
    pub longest_silence_s: f64,
}

impl Outcome {
    fn is_open(&self) -> bool {
        self.done.is_none() && self.cancelled.is_none()
    }
}

/// A write whose answer is under way.
struct PendingWrite {
    at: f64,
    leader: u64,
    id: u64,
    transaction: Transaction,
    /// Carried out when the answer is due; else the answer was lost.
    answered: bool,
}

pub struct Simulation {
    pub now: f64,
    pub random: Random,
    settings: Arc<Settings>,
    types: Vec<MachineType>,
    pub store: Store,
    pub state: StateService,
    pub cloud: Cloud,
    pub leader: Option<Core>,
    /// The share of answers to reports, and of answers to direct commands, that take longer than their
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
    /// When the last trouble is over; what users wait for is counted from then on.
    pub calm_from: f64,
}

impl Simulation {
    pub fn new(seed: u64, teams: &[TeamLimit], zones: &[&str], cloud: Cloud) -> Simulation {
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
            settings.policy.idle = f64::INFINITY;
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

    /// Adds machines that are up already; returns their names.
    pub fn add_machines(&mut self, zone: &str, count: usize) -> Vec<String> {
        let now = self.now;
        (0..count).map(|_| self.add_machine(zone, now)).collect()
    }

    fn add_machine(&mut self, zone: &str, up_s: f64) -> String {
        let name = format!("m-{:06}", self.rented);
        self.rented += 1;
        let kind = &self.types[0];
        let worker = Worker::new(name.clone(), &kind.name, zone, kind.cpus, self.now, up_s);
        self.workers.insert(name.clone(), worker);
        name
    }

    pub fn plan(&mut self, plans: Vec<JobPlan>) {
        self.plans.extend(plans);
        self.plans.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }

    /// The leader ends at once.
    pub fn depose(&mut self) {
        self.leader = None;
    }

    /// Another leader begins, with what the state service holds.
    pub fn elect(&mut self) {
        let txn = Transaction::default().put(LEADER, json!({"node": "a"}));
        let token = self.store.commit(&txn).unwrap();
        let mut core = Core::new(self.settings.clone(), token, self.now);
        core.set_types(self.types.clone());
        core.valid_until = f64::INFINITY;
        core.recover(self.store.records(), self.wall_ms(), self.now);
        if self.peers_promise {
            core.promised(self.now);
        }
        self.leader = Some(core);
    }

    fn wall_ms(&self) -> u64 {
        (1000.0 * self.now) as u64
    }

    /// Plays until then; `trouble` may change anything before each step.
    pub fn run(&mut self, until: f64, mut trouble: impl FnMut(&mut Simulation)) {
        while self.now < until {
            trouble(self);
            self.step();
        }
    }

    fn step(&mut self) {
        self.carry_out_late();
        self.answer_writes();
        self.advance_workers();
        self.submit_due();
        self.cancel_due();
        self.report_all();
        self.list_machines();
        self.decide();
        self.advance_gangs();
        self.note_ends();
        if self.now >= self.calm_from {
            self.watch_users();
        }
        self.now += STEP_S;
    }

    fn carry_out_late(&mut self) {
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        let (due, later) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late = later;
        for (_, txn) in due {
            // It fails when anything that it depends on has changed since.
            let _ = self.store.commit(&txn);
        }
    }

    fn answer_writes(&mut self) {
        let now = self.now;
        let pending = std::mem::take(&mut self.pending);
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|w| w.at <= now);
        self.pending = later;
        for write in due {
            let result = match write.answered {
                true => self.commit(&write.transaction),
                false => self.store.reread(&write.transaction),
            };
            let leader = self.leader.as_mut();
            if let Some(core) = leader.filter(|c| c.first_token() == write.leader) {
                core.written(write.id, result, now);
            }
        }
    }

    fn commit(&mut self, txn: &Transaction) -> Written {
        match self.store.commit(txn) {
            Ok(revision) => Written::Applied(revision),
            Err(Refusal::Conflict) => self.store.reread(txn),
            Err(Refusal::TooLarge) => panic!("too large: {txn:?}"),
        }
    }

    fn advance_workers(&mut self) {
        let (now, lease_s) = (self.now, self.settings.cluster.workers.lease_s);
        for worker in self.workers.values_mut() {
            worker.expire(lease_s, now);
            let keys: Vec<(String, u64)> = worker.live().map(|(key, _)| key.clone()).collect();
            for key in keys {
                let plan = &self.outcomes[parse_task(&key.0).unwrap().0].plan;
                worker.advance(&key, plan, now);
            }
        }
        self.advance_gangs();
    }

    /// The tasks of a gang start together, complete together, and exit when one is gone.
    fn advance_gangs(&mut self) {
        let mut gangs: BTreeMap<(String, u64), Vec<TaskState>> = BTreeMap::new();
        let mut done: BTreeSet<(String, u64)> = BTreeSet::new();
        for worker in self.workers.values() {
            for ((task, attempt), t) in worker.tasks.iter().filter(|(_, t)| t.gang) {
                let gang = (parse_task(task).unwrap().0.to_string(), *attempt);
                match t.cause {
                    Some(Cause::Done) => drop(done.insert(gang)),
                    Some(_) => {}
                    None => gangs.entry(gang).or_default().push(t.state),
                }
            }
        }
        let (now, wait_s) = (self.now, self.settings.cluster.workers.gang_wait_s);
        for (gang, states) in gangs {
            let plan = self.outcomes[&gang.0].plan.clone();
            let whole = states.len() == plan.tasks as usize;
            let ready = states.iter().all(|s| *s == TaskState::Waiting);
            let runs = states.contains(&TaskState::Running);
            for t in self.of_gang(&gang) {
                if done.contains(&gang) {
                    t.exit(Cause::Done);
                } else if whole && ready {
                    t.state = TaskState::Running;
                    t.until = now + plan.run_s;
                } else if runs && !whole {
                    t.exit(Cause::Peers);
                } else if t.state == TaskState::Waiting && now > t.until - plan.run_s + wait_s {
                    t.exit(Cause::Alone);
                }
            }
        }
    }

    fn of_gang<'a>(
        &'a mut self,
        gang: &'a (String, u64),
    ) -> impl Iterator<Item = &'a mut crate::worker::OnWorker> + 'a {
        let tasks = self.workers.values_mut().flat_map(|w| w.tasks.iter_mut());
        tasks.filter_map(move |((task, attempt), t)| {
            let same = parse_task(task).unwrap().0 == gang.0 && *attempt == gang.1;
            (same && t.is_live()).then_some(t)
        })
    }

    /// Users submit; what the state service does not take now is tried again.
    fn submit_due(&mut self) {
        while let Some(plan) = self.plans.get(self.next_plan).cloned() {
            if plan.at_s > self.now || self.state.refuses || !self.state.allows(1, self.now) {
                return;
            }
            let id = format!("req-{}", self.next_plan);
            self.next_plan += 1;
            let record = OpenRecord::accepted(parsed(&plan.body(&id)), self.wall_ms());
            let txn = Transaction::default()
                .absent(open_key(&id))
                .absent(end_key(&id))
                .put(open_key(&id), serde_json::to_value(&record).unwrap());
            let version = self.store.commit(&txn).expect("a new job");
            let (wall_ms, now) = (self.wall_ms(), self.now);
            if let Some(core) = &mut self.leader {
                core.job_opened(record, version, wall_ms, now);
            }
            let outcome = Outcome {
                arrived: plan.at_s,
                plan,
                began: None,
                done: None,
                cancelled: None,
                waits_s: 0.0,
                silence_s: 0.0,
                longest_wait_s: 0.0,
                longest_silence_s: 0.0,
            };
            self.outcomes.insert(id, outcome);
        }
    }

    fn cancel_due(&mut self) {
        if self.state.refuses {
            return;
        }
        let now = self.now;
        let due = |o: &Outcome| {
            let after_s = o.plan.cancel_after_s;
            o.is_open() && after_s.is_some_and(|s| o.arrived + s <= now)
        };
        let outcomes = self.outcomes.iter();
        let ids: Vec<String> = outcomes
            .filter(|(_, o)| due(o))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.cancel(&id);
        }
    }

    /// A user cancels a job, unless it has ended or the state service has no changes left.
    pub fn cancel(&mut self, id: &str) {
        let Some(item) = self.store.item(&open_key(id)) else {
            return;
        };
        if !self.state.allows(2, self.now) {
            return;
        }
        let mut record: OpenRecord = serde_json::from_value(item.value).unwrap();
        record.cancelled = true;
        let end = EndRecord {
            state: JobState::Cancelled,
            at_ms: None,
        };
        let txn = Transaction::default()
            .absent(end_key(id))
            .version(open_key(id), item.version)
            .put(end_key(id), serde_json::to_value(end).unwrap())
            .put(open_key(id), serde_json::to_value(&record).unwrap());
        if self.store.commit(&txn).is_err() {
            return;
        }
        self.outcomes.get_mut(id).unwrap().cancelled = Some(self.now);
        if let Some(core) = &mut self.leader {
            core.cancel(id, self.now);
        }
    }

    fn report_all(&mut self) {
        let now = self.now;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let worker = self.workers.get_mut(&name).unwrap();
            let Some(core) = self.leader.as_mut().filter(|_| worker.is_heard(now)) else {
                continue;
            };
            let heard = core.report(&worker.report(), now);
            let in_time = !self.random.chance(self.slow_links);
            if let ReportOutcome::Answer(answer) = heard {
                if in_time && worker.hears(now) && worker.take_answer(&answer, now) {
                    self.obey(&name, &answer.commands);
                }
            }
        }
    }

    fn obey(&mut self, name: &str, commands: &[Command]) {
        for command in commands {
            let (Command::Start { task, .. }
            | Command::Stop { task, .. }
            | Command::Forget { task, .. }) = command;
            let (id, _) = parse_task(task).unwrap();
            let outcome = self.outcomes.get_mut(id).expect("a job of this day");
            let worker = self.workers.get_mut(name).unwrap();
            let started = worker.obey(command, &outcome.plan, self.now);
            if let Some(task) = started {
                outcome.began.get_or_insert(self.now);
                self.check_start(name, &task);
            }
        }
    }

    /// A task has started: it runs once, where it may, and its team is within its limit.
    fn check_start(&self, name: &str, task: &str) {
        let (id, _) = parse_task(task).unwrap();
        let outcome = &self.outcomes[id];
        let others = self.workers.values().filter(|w| w.name != name);
        let twice = others
            .flat_map(Worker::live)
            .any(|((other, _), _)| other == task);
        assert!(!twice, "ran_twice: {task} starts on {name}");
        let zone = &self.workers[name].zone;
        let allowed = outcome.plan.zone.is_none_or(|z| z == zone);
        assert!(allowed, "wrong_place: {task} starts in {zone}");
        let cancel_s = self.settings.cluster.workers.cancel_s;
        let late = outcome.cancelled.is_some_and(|t| self.now - t > cancel_s);
        assert!(!late, "ran_cancelled: {task}");
        let limit = self.limit(outcome.plan.team);
        let used = self.team_use().remove(outcome.plan.team).unwrap_or(0.0);
        assert!(used <= limit + 1e-6, "quota: {used} of {limit} CPUs");
    }

    fn limit(&self, team: &str) -> f64 {
        match self.settings.team(team).expect("a known team").cpus_max {
            limit if limit > 0.0 => limit,
            _ => f64::INFINITY,
        }
    }

    fn team_use(&self) -> HashMap<&str, f64> {
        let mut team_use: HashMap<&str, f64> = HashMap::new();
        for ((task, _), t) in self.workers.values().flat_map(Worker::live) {
            let id = parse_task(task).unwrap().0;
            *team_use.entry(self.outcomes[id].plan.team).or_default() += t.cpus;
        }
        team_use
    }

    fn list_machines(&mut self) {
        if self.now - self.listed < LIST_S {
            return;
        }
        self.listed = self.now;
        let list: Vec<ListedMachine> = self.workers.values().map(|w| self.listing(w)).collect();
        if let Some(core) = &mut self.leader {
            core.listed(&list, self.now);
        }
    }

    fn listing(&self, worker: &Worker) -> ListedMachine {
        ListedMachine {
            name: worker.name.clone(),
            endpoint: Some("127.0.0.1:9".into()),
            kind: worker.kind.clone(),
            zone: worker.zone.clone(),
            spot: false,
            state: match worker.is_up(self.now) {
                true => MachineState::Running,
                false => MachineState::Booting,
            },
            age_s: self.now - worker.rented_s,
        }
    }

    fn decide(&mut self) {
        let now = self.now;
        let Some(core) = &mut self.leader else {
            return;
        };
        core.tick(now);
        core.step(now);
        while let Some(core) = &mut self.leader {
            let effects = core.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.carry_out(effect);
            }
            if let Some(core) = &mut self.leader {
                core.step(now);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Write { id, transaction } => self.write(id, transaction),
            Effect::Orders {
                machine, orders, ..
            } => {
                let result = self.deliver(&machine, &orders);
                self.core().ordered(&machine, result, now);
            }
            Effect::FindEnds(ids) => {
                let ends = self.store.ends(&ids);
                self.core().found(ends, now);
            }
            Effect::Return(names) => {
                let taken = self.cloud.takes_back;
                if taken {
                    self.workers.retain(|name, _| !names.contains(name));
                }
                self.core().returned(&names, taken, now);
            }
            Effect::Rent(rent) => {
                let machines = self.rent(&rent.zone, rent.count as usize);
                self.core().rented(&rent.request, Some(machines), now);
            }
            Effect::RaiseToken => {
                let token = self.raise_token();
                self.core().token_raised(token, now);
            }
            // Users are told by the record, which any node may read.
            Effect::Ended { .. } => {}
        }
    }

    fn core(&mut self) -> &mut Core {
        self.leader.as_mut().expect("its effects are carried out")
    }

    fn write(&mut self, id: u64, transaction: Transaction) {
        let now = self.now;
        let fate = self.state.fate(&transaction, &mut self.random, now);
        let (at, answered) = match fate {
            Fate::Refused => return self.core().written(id, Written::Refused, now),
            Fate::Answered(at) if at <= now => {
                let result = self.commit(&transaction);
                return self.core().written(id, result, now);
            }
            Fate::Answered(at) => (at, true),
            Fate::Unanswered(at) => {
                let _ = self.store.commit(&transaction);
                (at, false)
            }
            Fate::Late {
                given_up,
                carried_out,
            } => {
                self.late.push((carried_out, transaction.clone()));
                (given_up, false)
            }
        };
        let leader = self.core().first_token();
        self.pending.push(PendingWrite {
            at,
            leader,
            id,
            transaction,
            answered,
        });
    }

    fn deliver(&mut self, name: &str, orders: &Orders) -> Ordered {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return Ordered::Unknown;
        };
        if !worker.hears(now) {
            return Ordered::Unknown;
        }
        let accepted = worker.accepts(orders);
        if accepted {
            worker.token = orders.token;
            self.obey(name, &orders.commands);
        }
        let report = self.workers.get_mut(name).unwrap().report();
        if self.random.chance(self.slow_links) {
            return Ordered::Unknown;
        }
        match accepted {
            true => Ordered::Executed(report),
            false => Ordered::Rejected(Some(report)),
        }
    }

    fn rent(&mut self, zone: &str, count: usize) -> Vec<String> {
        let there = self.workers.values().filter(|w| w.zone == zone).count();
        let free = self.cloud.most_in_zone.saturating_sub(there);
        let gives = self.cloud.rents && self.cloud.sold_out != Some(zone);
        let count = if gives { count.min(free) } else { 0 };
        let up_s = self.now + self.cloud.boot_s;
        (0..count).map(|_| self.add_machine(zone, up_s)).collect()
    }

    fn raise_token(&mut self) -> Option<u64> {
        if self.state.refuses {
            return None;
        }
        let txn = Transaction::default()
            .version(LEADER, self.core().token)
            .put(LEADER, json!({"node": "a"}));
        self.store.commit(&txn).ok()
    }

    /// Users are told of the ends that are on record.
    fn note_ends(&mut self) {
        for (id, outcome) in self.outcomes.iter_mut().filter(|(_, o)| o.is_open()) {
            let Some((end, _)) = self.store.values.get(&end_key(id)) else {
                continue;
            };
            assert_eq!(end["state"], "done", "{id}: nobody has cancelled it");
            outcome.done = Some(self.now);
        }
    }

    /// Counts how long jobs wait though there is room, and how long nobody can say how they are.
    fn watch_users(&mut self) {
        let waiting = self.waiting_with_room();
        for (id, outcome) in &mut self.outcomes {
            let ended = self.store.values.contains_key(&end_key(id));
            let known = self.leader.as_ref().is_none_or(|c| c.status(id).is_some());
            let answered = ended || known;
            outcome.silence_s = if answered {
                0.0
            } else {
                outcome.silence_s + STEP_S
            };
            outcome.waits_s = match waiting.contains(id) {
                true => outcome.waits_s + STEP_S,
                false => 0.0,
            };
            outcome.longest_wait_s = outcome.longest_wait_s.max(outcome.waits_s);
            outcome.longest_silence_s = outcome.longest_silence_s.max(outcome.silence_s);
        }
    }

    /// Open jobs of which nothing runs, though a task of them fits and their team is under its limit.
    fn waiting_with_room(&self) -> BTreeSet<String> {
        let team_use = self.team_use();
        let tasks = self.workers.values().flat_map(Worker::live);
        let running: BTreeSet<&str> = tasks
            .map(|((task, _), _)| parse_task(task).unwrap().0)
            .collect();
        let waits = |(id, o): &(&String, &Outcome)| {
            let tasks = if o.plan.is_gang() { o.plan.tasks } else { 1 };
            let used = team_use.get(o.plan.team).copied().unwrap_or(0.0);
            let more = f64::from(tasks) * o.plan.cpus;
            o.is_open()
                && !running.contains(id.as_str())
                && used + more <= self.limit(o.plan.team)
                && self.has_room(&o.plan, tasks)
        };
        let open = self.outcomes.iter().filter(waits);
        open.map(|(id, _)| id.clone()).collect()
    }

    fn has_room(&self, plan: &JobPlan, tasks: u32) -> bool {
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            let fits = plan.zone.is_none_or(|z| z == worker.zone);
            if fits && worker.is_reachable(self.now) && !worker.faulty {
                let free = (worker.free_cpus() / plan.cpus) as u32;
                *slots.entry(&worker.zone).or_default() += free;
            }
        }
        let most_in_zone = if plan.spread {
            plan.tasks.div_ceil(2)
        } else {
            u32::MAX
        };
        let usable = slots.values().map(|n| *n.min(&most_in_zone));
        match plan.same_zone {
            true => usable.max().unwrap_or(0) >= tasks,
            false => usable.sum::<u32>() >= tasks,
        }
    }
}

//! The actor that owns the picture of the cluster: a [`Core`] while this node leads.

use super::busy;
use super::gateway::Task;
use super::workers::{CloudCall, Pool};
use crate::bookkeeping::index::EndIndex;
use crate::bookkeeping::records::{EndRecord, OpenRecord, OPEN, PLACE, RUN};
use crate::bookkeeping::store::{Store, Unavailable};
use crate::coordination::core::{Core, Effect, Heard, Ordered, Written};
use crate::coordination::election::{News, Wish};
use crate::coordination::recovery::Records;
use crate::coordination::redirects::Redirects;
use crate::coordination::state::Name;
use crate::coordination::Time;
use crate::protocol::cloud::{ListedMachine, MachineType, LIST_PAGE};
use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::worker::{Elsewhere, Report, ReportAnswer};
use crate::settings::Settings;
use crate::transport::peers::Peers;
use crate::transport::{Reply, Respond};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, info, warn};

pub enum Message {
    News(News),
    Report {
        report: Box<Report>,
        body: Vec<u8>,
        passed_on: bool,
        respond: Respond,
    },
    /// What is known of a job here, and who leads.
    Locate(String, Sender<Located>),
    /// A job was accepted or cancelled, as its record says.
    Opened(Box<OpenRecord>, u64),
    Ended(String, JobState),
    /// How jobs ended that were looked up, if they did.
    Found(Vec<(Name, Option<EndRecord>)>),
    Loaded(u64, Records),
    Written(u64, Written),
    Ordered(Name, Ordered),
    Rented(String, Option<Vec<String>>),
    Returned(Vec<String>, bool),
    Listed(Vec<ListedMachine>),
    Types(Vec<MachineType>),
    /// What the other controllers said to a leader that hears no worker.
    Probed(Ears),
    /// A leader that hears no worker asks whether any reports here.
    Hears(Respond),
    /// A new leader asks that no report be answered here with a lower token than its own.
    Promise(u64, Respond),
    /// All others have given that promise to this term's leader.
    Promised(u64),
}

/// Whether other controllers are reached, and whether workers report to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ears {
    /// No other controller answers.
    Alone,
    /// Some do, but no worker reports to them.
    Deaf,
    Open,
}

/// What the controller tells the gateway.
pub struct Located {
    /// The job's state, if this node can be sure of it.
    pub status: Option<JobStatus>,
    /// Whether this node leads, and its picture is current.
    pub leads: bool,
    pub leader: Option<String>,
}

/// Hands a worker's report to the controller, or answers at once when it has no room.
pub fn offer_report(inbox: &Sender<Message>, body: Vec<u8>, passed_on: bool, respond: Respond) {
    let report: Report = match serde_json::from_slice(&body) {
        Ok(report) => report,
        Err(error) => {
            warn!("a report cannot be read: {error}");
            return respond(Reply::error(400, "the report cannot be read"));
        }
    };
    let message = Message::Report {
        report: Box::new(report),
        body,
        passed_on,
        respond,
    };
    if let Err(TrySendError::Full(m) | TrySendError::Disconnected(m)) = inbox.try_send(message) {
        if let Message::Report { respond, .. } = m {
            respond(busy());
        }
    }
}

enum Role {
    Follower,
    /// Elected, and reading the records.
    Recovering {
        token: u64,
        valid_until: Time,
    },
    Leading(Box<Core>),
}

/// What the controller speaks to.
pub struct Links {
    pub store: Store,
    pub peers: Peers,
    pub inbox: Sender<Message>,
    pub stage: Sender<Task>,
    pub wishes: Sender<Wish>,
    pub pool: Pool,
}

pub struct Controller {
    settings: Arc<Settings>,
    epoch: Instant,
    links: Links,
    role: Role,
    /// The term whose watch goes on; others stop.
    term: Arc<AtomicU64>,
    leader: Option<String>,
    ends: EndIndex,
    types: Vec<MachineType>,
    redirects: Redirects,
    ticked: Time,
    listed: Time,
    /// When a worker last reported here itself, and whether peers are being asked because none does.
    heard: Time,
    probing: bool,
    /// Whether messages have piled up.
    crowded: bool,
    /// The highest token that was promised to: lower ones never answer reports here.
    promised: u64,
}

/// Report intervals after which the leader reads all open jobs anew.
const REREAD: u32 = 8;
/// The share of the cloud's calls that lists of machines may take.
const LIST_SHARE: f64 = 0.1;
/// Messages taken in before the core decides again.
const BATCH: usize = 64;
/// Report intervals without a word from any worker, after which a leader asks whether others hear
/// them, and after which it hands over if it is alone. An interval may be a quarter longer by itself.
const DEAF_REPORTS: f64 = 1.3;
const SILENT_REPORTS: f64 = 3.0;
const STEP: Duration = Duration::from_millis(20);
/// Bytes that a remembered end takes, and the share of memory for them.
const END_BYTES: f64 = 200.0;
const END_SHARE: f64 = 0.1;
/// The share of the time between a lapsed lease and the end of a cancellation in which a leader
/// that is cut off goes on answering reports, so that the workers' tasks live on.
const DOUBT_SHARE: f64 = 0.85;

impl Controller {
    pub fn new(settings: Arc<Settings>, epoch: Instant, links: Links) -> Controller {
        let bytes = settings.cluster.limits.ram_mb * 1e6 * END_SHARE;
        Controller {
            epoch,
            links,
            role: Role::Follower,
            term: Arc::default(),
            leader: None,
            ends: EndIndex::new((bytes / END_BYTES) as usize),
            types: Vec::new(),
            redirects: Redirects::default(),
            ticked: 0.0,
            listed: 0.0,
            heard: 0.0,
            probing: false,
            crowded: false,
            promised: 0,
            settings,
        }
    }

    fn now(&self) -> Time {
        self.epoch.elapsed().as_secs_f64()
    }

    pub fn run(mut self, messages: Receiver<Message>) {
        loop {
            match messages.recv_timeout(STEP) {
                Ok(message) => {
                    self.take(message);
                    for message in messages.try_iter().take(BATCH) {
                        self.take(message);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.step();
            self.watch_inbox(&messages);
        }
    }

    /// Tells once that messages pile up, until they are fewer again.
    fn watch_inbox(&mut self, messages: &Receiver<Message>) {
        let (waiting, most) = (messages.len(), messages.capacity().unwrap_or(usize::MAX));
        if waiting > most / 2 && !self.crowded {
            warn!("{waiting} of at most {most} messages wait: more is asked than this node can do");
        }
        self.crowded = waiting > most / if self.crowded { 4 } else { 2 };
    }

    fn step(&mut self) {
        let now = self.now();
        let tick = now - self.ticked >= 1.0;
        if tick {
            self.ticked = now;
            let report_s = self.settings.cluster.workers.report_s;
            self.redirects.forget_old(now, report_s);
        }
        let Role::Leading(core) = &mut self.role else {
            return;
        };
        if tick {
            if self.links.store.is_limited() {
                core.lower_rate();
            }
            core.tick(now);
            if now - self.listed >= list_pause_s(&self.settings, core.machine_count()) {
                self.listed = now;
                self.links.pool.cloud(CloudCall::List);
            }
        }
        let begun = Instant::now();
        if core.step(now) {
            core.pass_took(
                begun.elapsed().as_secs_f64(),
                self.epoch.elapsed().as_secs_f64(),
            );
        }
        let effects = core.take_effects();
        let deposed = core.deposed;
        // With machines, but no word from any, the fault may be this node's own network.
        let deaf_s = DEAF_REPORTS * self.settings.cluster.workers.report_s;
        let deaf = core.machine_count() > 0 && now - self.heard.max(core.leads_since) > deaf_s;
        if tick && deaf && !self.probing {
            self.probing = true;
            self.probe();
        }
        for effect in effects {
            self.carry_out(effect);
        }
        if deposed {
            self.step_down();
            let _ = self.links.wishes.try_send(Wish::Resign);
        }
    }

    /// Finds out whether any other controller can be reached, and hears workers.
    fn probe(&self) {
        let (peers, inbox) = (self.links.peers.clone(), self.links.inbox.clone());
        let within = Duration::from_secs_f64(self.settings.cluster.workers.report_s / 2.0);
        let body = move || {
            let mut ears = Ears::Alone;
            for name in peers.names() {
                match peers.hears_workers(name, within) {
                    Some(true) => {
                        ears = Ears::Open;
                        break;
                    }
                    Some(false) => ears = Ears::Deaf,
                    None => {}
                }
            }
            let _ = inbox.send(Message::Probed(ears));
        };
        if let Err(error) = super::spawn("probe", body) {
            warn!("{error:#}");
        }
    }

    /// No worker is heard here. Where another controller hears them, it had better lead: what comes
    /// through it comes late, and no command reaches a worker directly. If no peer answers either,
    /// another node may have the workers' ear all the same, and a node that is alone takes it back.
    fn probed(&mut self, ears: Ears) {
        self.probing = false;
        let now = self.now();
        let Role::Leading(core) = &self.role else {
            return;
        };
        let silent_s = SILENT_REPORTS * self.settings.cluster.workers.report_s;
        let silent = now - self.heard.max(core.leads_since) > silent_s;
        let hands_over = match ears {
            Ears::Open => true,
            Ears::Alone => silent && !self.links.peers.is_empty(),
            Ears::Deaf => false,
        };
        if hands_over {
            warn!("no worker is heard here, others: {ears:?}; hands over");
            self.step_down();
            let _ = self.links.wishes.try_send(Wish::Resign);
        }
    }

    /// Tells a leader that hears no worker whether any has reported here of late.
    fn hears(&self, respond: Respond) {
        let lately = self.settings.cluster.workers.report_s;
        let hears = self.heard > 0.0 && self.now() - self.heard < lately;
        respond(Reply::json(if hears { 200 } else { 404 }, &()));
    }

    fn step_down(&mut self) {
        info!("leads no more");
        self.role = Role::Follower;
        self.term.store(0, Ordering::Relaxed);
        self.leader = None;
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Write { id, transaction } => self.links.pool.write(id, transaction),
            Effect::Orders {
                machine,
                endpoint,
                orders,
            } => self.links.pool.order(machine, &endpoint, &orders),
            Effect::Rent(rent) => self.links.pool.cloud(CloudCall::Rent(rent)),
            Effect::Return(names) => self.links.pool.cloud(CloudCall::Return(names)),
            Effect::RaiseToken => {
                let _ = self.links.wishes.try_send(Wish::RaiseToken);
            }
            Effect::Ended { id, state } => self.ends.insert(&id, state),
            Effect::FindEnds(ids) => self.find_ends(ids),
        }
    }

    /// Ends that this node knows are told at once; the others are read.
    fn find_ends(&mut self, ids: Vec<Name>) {
        let now = self.now();
        let mut unknown = Vec::new();
        for id in ids {
            match (self.ends.get(&id), &mut self.role) {
                (Some(state), Role::Leading(core)) => core.ended(&id, state, now),
                _ => unknown.push(id),
            }
        }
        self.links.pool.find(unknown);
    }

    fn core(&mut self) -> Option<&mut Core> {
        match &mut self.role {
            Role::Leading(core) => Some(core),
            _ => None,
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::News(news) => self.news(news),
            Message::Report {
                report,
                body,
                passed_on,
                respond,
            } => self.report(*report, body, passed_on, respond),
            Message::Locate(id, reply) => {
                let _ = reply.try_send(self.locate(&id));
            }
            // News of a job that is over already: it went through a watch that fell behind.
            Message::Opened(record, _)
                if self.ends.get(&record.spec.id).is_some() && !record.cancelled => {}
            Message::Opened(record, version) => {
                let wall = wall_ms();
                if let Some(core) = self.core() {
                    core.job_opened(*record, version, wall, now);
                }
            }
            Message::Ended(id, state) => {
                self.ends.insert(&id, state);
                if let Some(core) = self.core() {
                    core.ended(&id, state, now);
                }
            }
            Message::Found(ends) => {
                if let Some(core) = self.core() {
                    core.found(ends, now);
                }
            }
            Message::Loaded(token, records) => self.loaded(token, records),
            Message::Written(id, result) => {
                if let Some(core) = self.core() {
                    core.written(id, result, now);
                }
            }
            Message::Ordered(machine, result) => {
                if let Some(core) = self.core() {
                    core.ordered(&machine, result, now);
                }
            }
            Message::Rented(request, machines) => {
                if let Some(core) = self.core() {
                    core.rented(&request, machines, now);
                }
            }
            Message::Returned(names, confirmed) => {
                if let Some(core) = self.core() {
                    core.returned(&names, confirmed, now);
                }
            }
            Message::Listed(list) => {
                if let Some(core) = self.core() {
                    core.listed(&list, now);
                }
            }
            Message::Promise(token, respond) => self.promise(token, respond),
            Message::Promised(token) => {
                if let Some(core) = self.core().filter(|c| c.first_token() == token) {
                    core.promised(now);
                }
            }
            Message::Probed(ears) => self.probed(ears),
            Message::Hears(respond) => self.hears(respond),
            Message::Types(types) => {
                if let Some(core) = self.core() {
                    core.set_types(types.clone());
                }
                self.types = types;
            }
        }
    }

    fn news(&mut self, news: News) {
        match news {
            News::Leader(leader) => {
                if leader != self.leader {
                    debug!("leader: {leader:?}");
                }
                self.leader = leader;
            }
            // An election that was over before the news of it came through.
            News::Elected { token } if token < self.promised => {
                let _ = self.links.wishes.try_send(Wish::Resign);
            }
            News::Elected { token } => {
                info!("elected with token {token}");
                self.leader = Some(self.settings.name.clone());
                self.role = Role::Recovering {
                    token,
                    valid_until: self.now(),
                };
                self.term.store(token, Ordering::Relaxed);
                self.load(token);
            }
            News::Lease { valid_until: until } => match &mut self.role {
                Role::Recovering { valid_until, .. } => *valid_until = until,
                Role::Leading(core) => core.valid_until = until,
                Role::Follower => {}
            },
            News::TokenRaised(token) => {
                let now = self.now();
                if let Some(core) = self.core() {
                    core.token_raised(token, now);
                }
            }
            News::Deposed => {
                if !matches!(self.role, Role::Follower) {
                    self.step_down();
                }
            }
        }
    }

    /// Reads the records, then follows new jobs, for as long as this term lasts.
    fn load(&self, token: u64) {
        let (store, inbox, term) = (
            self.links.store.clone(),
            self.links.inbox.clone(),
            self.term.clone(),
        );
        let hold = Duration::from_secs_f64(self.settings.cluster.workers.report_s);
        let body = move || {
            let current = || term.load(Ordering::Relaxed) == token;
            let read = || -> Result<(Records, u64), Unavailable> {
                let (open, revision) = store.list(OPEN)?;
                let records = Records {
                    open,
                    run: store.list(RUN)?.0,
                    places: store.list(PLACE)?.0,
                };
                Ok((records, revision))
            };
            let mut after = loop {
                if !current() {
                    return;
                }
                match read() {
                    Ok((records, revision)) => {
                        let _ = inbox.send(Message::Loaded(token, records));
                        break revision;
                    }
                    Err(Unavailable) => std::thread::sleep(Duration::from_millis(100)),
                }
            };
            let opened = |key: &str, value, version| {
                if let Ok(record) = serde_json::from_value::<OpenRecord>(value) {
                    let _ = inbox.send(Message::Opened(Box::new(record), version));
                } else {
                    warn!("{key}: cannot be read");
                }
            };
            let mut read_at = Instant::now();
            while current() {
                // An event may be lost on the way: from time to time all is read anew.
                if read_at.elapsed() > hold * REREAD {
                    if let Ok((items, revision)) = store.list(OPEN) {
                        read_at = Instant::now();
                        after = revision;
                        for item in items {
                            opened(&item.key, item.value, item.version);
                        }
                    }
                }
                match store.watch(OPEN, after, hold) {
                    Ok(Some(events)) => {
                        after = after.max(events.revision);
                        for event in events.events {
                            if let Some(key) = event.put {
                                opened(&key, event.value, event.version);
                            }
                        }
                    }
                    Ok(None) => {
                        if let Ok((items, revision)) = store.list(OPEN) {
                            after = revision;
                            for item in items {
                                opened(&item.key, item.value, item.version);
                            }
                        }
                    }
                    Err(Unavailable) => std::thread::sleep(Duration::from_millis(100)),
                }
            }
        };
        if let Err(error) = super::spawn("records", body) {
            warn!("{error:#}");
            let _ = self.links.wishes.try_send(Wish::Resign);
        }
    }

    /// A later token than ours exists, so our leadership is over, whatever we know of it.
    fn promise(&mut self, token: u64, respond: Respond) {
        let ours = match &self.role {
            Role::Follower => 0,
            Role::Recovering { token, .. } => *token,
            Role::Leading(core) => core.token,
        };
        let promised = token >= ours;
        self.promised = self.promised.max(token);
        if promised && ours > 0 {
            self.step_down();
            let _ = self.links.wishes.try_send(Wish::Resign);
        }
        let status = if promised { 200 } else { 409 };
        respond(Reply::json(status, &()));
    }

    /// Asks all other controllers to answer no more reports with lower tokens. A node that does
    /// not answer may still do so; one that has restarted does not.
    fn ask_promises(&self, token: u64) {
        let (peers, inbox, term) = (
            self.links.peers.clone(),
            self.links.inbox.clone(),
            self.term.clone(),
        );
        let pause = Duration::from_secs_f64(self.settings.cluster.workers.report_s / 4.0);
        let body = move || {
            let mut left: Vec<&String> = peers.names().collect();
            while term.load(Ordering::Relaxed) == token {
                left.retain(|name| peers.promise(name, token, 2 * pause) != Some(true));
                if left.is_empty() {
                    let _ = inbox.send(Message::Promised(token));
                    return;
                }
                std::thread::sleep(pause);
            }
        };
        if let Err(error) = super::spawn("promises", body) {
            warn!("{error:#}");
        }
    }

    fn loaded(&mut self, token: u64, records: Records) {
        let now = self.now();
        match self.role {
            Role::Recovering {
                token: t,
                valid_until,
            } if t == token => {
                let mut core = Core::new(self.settings.clone(), token, now);
                core.valid_until = valid_until;
                core.set_types(self.types.clone());
                core.recover(records, wall_ms(), now);
                self.role = Role::Leading(Box::new(core));
                self.links.pool.cloud(CloudCall::List);
                self.listed = now;
                self.ask_promises(token);
            }
            _ => {}
        }
    }

    fn locate(&mut self, id: &str) -> Located {
        let now = self.now();
        let mut status = self.ends.get(id).map(|state| JobStatus {
            id: id.to_string(),
            state,
            done: 0,
            running: 0,
        });
        let mut leads = false;
        if let Role::Leading(core) = &self.role {
            leads = core.leads(now);
            if leads && status.is_none() {
                status = core.status(id);
            }
        }
        Located {
            status,
            leads,
            leader: self.leader.clone().filter(|l| *l != self.settings.name),
        }
    }

    fn report(&mut self, report: Report, body: Vec<u8>, passed_on: bool, respond: Respond) {
        let now = self.now();
        let workers = &self.settings.cluster.workers;
        let doubt_s = (workers.cancel_s - workers.lease_s).max(0.0) * DOUBT_SHARE;
        let reply = match &mut self.role {
            Role::Leading(core) if now < core.valid_until + doubt_s => {
                match core.report(&report, now) {
                    Heard::Answer(answer) => {
                        if !passed_on {
                            self.heard = now;
                        }
                        Reply::json(200, &answer)
                    }
                    Heard::Stale => Reply::error(503, "an older report"),
                    Heard::Deposed => Reply::json(421, &Elsewhere { leader: None }),
                }
            }
            Role::Recovering { token, .. } if report.token <= *token => {
                let commands = Vec::new();
                Reply::json(
                    200,
                    &ReportAnswer {
                        token: *token,
                        commands,
                    },
                )
            }
            _ => return self.redirect(report, body, passed_on, respond),
        };
        respond(reply);
    }

    /// Sends a worker to the leader, or passes its report on if it has come back from there.
    fn redirect(&mut self, report: Report, body: Vec<u8>, passed_on: bool, respond: Respond) {
        let now = self.now();
        if !passed_on {
            self.heard = now;
        }
        let leader = self.leader.clone().filter(|l| *l != self.settings.name);
        let Some(leader) = leader.filter(|_| !passed_on) else {
            return respond(Reply::json(421, &Elsewhere { leader: None }));
        };
        let report_s = self.settings.cluster.workers.report_s;
        let order = (report.session, report.seq);
        if !self
            .redirects
            .comes_back(&report.machine, order, now, report_s)
        {
            return respond(Reply::json(
                421,
                &Elsewhere {
                    leader: Some(leader),
                },
            ));
        }
        super::gateway::offer(&self.links.stage, Task::pass_on(leader, body, respond));
    }
}

/// How long to wait between two lists of all machines, which take a call for every page.
fn list_pause_s(settings: &Settings, machines: usize) -> f64 {
    let cloud = &settings.cluster.cloud;
    let pages = 1.0 + (machines / LIST_PAGE) as f64;
    (cloud.list_lag_s / 2.0).max(pages / (LIST_SHARE * cloud.rps))
}

/// The time of day, for records.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

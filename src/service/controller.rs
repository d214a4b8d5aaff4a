//! The actor that owns the picture of the cluster: a [`Core`] while this node leads.

use super::busy;
use super::gateway::Task;
use super::messages::{Message, PeerReachability};
use super::peer_queries::{self, CancellationQueries, PromiseCollector};
use super::record_reader::RecordReader;
use super::workers::{CloudCall, Pool};
use crate::bookkeeping::cancellations::{CancellationLog, Cursor};
use crate::bookkeeping::index::EndIndex;
use crate::bookkeeping::store::Store;
use crate::coordination::cancellations::{CancellationEvidence, PeerAnswer};
use crate::coordination::core::{Core, Effect, Heard};
use crate::coordination::election::{ElectionEvent, ElectionRequest};
use crate::coordination::recovery::Records;
use crate::coordination::redirects::Redirects;
use crate::coordination::requests::Located;
use crate::coordination::state::Name;
use crate::coordination::Time;
use crate::protocol::cloud::{MachineType, LIST_PAGE};
use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::worker::{Elsewhere, Report};
use crate::settings::Settings;
use crate::transport::peers::Peers;
use crate::transport::{Reply, Respond};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, info, warn};

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
    pub election_requests: Sender<ElectionRequest>,
    pub pool: Pool,
    /// The cancellations that this process has confirmed, and the way to those of the others.
    pub cancellations: CancellationLog,
    pub cancellation_queries: CancellationQueries,
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
    /// What is known of cancellations that this process and the others have confirmed.
    evidence: CancellationEvidence,
    own_cancellations: Cursor,
    peers_asked: Time,
}

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
/// Questions to each other controller about cancellations in a report interval.
const CANCELLATION_QUERIES: f64 = 4.0;

impl Controller {
    pub fn new(settings: Arc<Settings>, epoch: Instant, links: Links) -> Controller {
        let bytes = settings.cluster.limits.ram_mb * 1e6 * END_SHARE;
        Controller {
            epoch,
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
            evidence: CancellationEvidence::new(links.peers.names()),
            own_cancellations: links.cancellations.page(Cursor::default()).cursor,
            peers_asked: 0.0,
            links,
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
        self.take_own_cancellations();
        self.ask_peers_for_cancellations(now);
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
            self.probe_peers();
        }
        for effect in effects {
            self.carry_out(effect);
        }
        if deposed {
            self.resign();
        }
    }

    /// Finds out whether any other controller can be reached, and hears workers.
    fn probe_peers(&self) {
        let (peers, inbox) = (self.links.peers.clone(), self.links.inbox.clone());
        let within = Duration::from_secs_f64(self.settings.cluster.workers.report_s / 2.0);
        let body = move || peer_queries::probe(&peers, &inbox, within);
        if let Err(error) = super::spawn("probe", body) {
            warn!("{error:#}");
        }
    }

    /// No worker is heard here. Where another controller hears them, it had better lead: what comes
    /// through it comes late, and no command reaches a worker directly. If no peer answers either,
    /// another node may have the workers' ear all the same, and a node that is alone takes it back.
    fn peers_probed(&mut self, reachability: PeerReachability) {
        self.probing = false;
        let now = self.now();
        let Role::Leading(core) = &self.role else {
            return;
        };
        let silent_s = SILENT_REPORTS * self.settings.cluster.workers.report_s;
        let silent = now - self.heard.max(core.leads_since) > silent_s;
        let hands_over = match reachability {
            PeerReachability::ReachableWithWorkers => true,
            PeerReachability::Unreachable => silent && !self.links.peers.is_empty(),
            PeerReachability::ReachableWithoutWorkers => false,
        };
        if hands_over {
            warn!("no worker reports here, peers: {reachability:?}; hands leadership over");
            self.resign();
        }
    }

    /// Tells a leader that hears no worker whether any has reported here of late.
    fn hears_workers(&self, respond: Respond) {
        let lately = self.settings.cluster.workers.report_s;
        let hears = self.heard > 0.0 && self.now() - self.heard < lately;
        respond(Reply::json(if hears { 200 } else { 404 }, &()));
    }

    fn request(&self, request: ElectionRequest) {
        let _ = self.links.election_requests.try_send(request);
    }

    /// Leads no more, and lets another node have the leadership.
    fn resign(&mut self) {
        let term = self.term.load(Ordering::Relaxed);
        self.step_down();
        self.request(ElectionRequest::Resign { term });
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
                let term = self.term.load(Ordering::Relaxed);
                self.request(ElectionRequest::RaiseToken { term });
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
            Message::Election(event) => self.election_event(event),
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
            Message::Ended(id, state) => self.ended(&id, state),
            Message::Found(ends) => {
                if let Some(core) = self.core() {
                    core.found(ends, now);
                }
            }
            Message::Loaded {
                token,
                records,
                sent,
            } => self.loaded(token, records, sent),
            Message::RecordsRead { token, sent } => {
                if self.core().is_some_and(|core| core.first_token() == token) {
                    self.evidence.records_read(sent);
                }
            }
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
            Message::PeersProbed(reachability) => self.peers_probed(reachability),
            Message::HearsWorkers(respond) => self.hears_workers(respond),
            Message::PeerCancellations(peer, answer) => self.peer_cancellations(&peer, answer),
            Message::Types(types) => {
                if let Some(core) = self.core() {
                    core.set_types(types.clone());
                }
                self.types = types;
            }
        }
    }

    fn election_event(&mut self, event: ElectionEvent) {
        match event {
            ElectionEvent::Leader(leader) => {
                if leader != self.leader {
                    debug!("leader: {leader:?}");
                }
                self.leader = leader;
            }
            // An election that was over before this node learned of it.
            ElectionEvent::Elected { token } if token < self.promised => {
                self.request(ElectionRequest::Resign { term: token });
            }
            ElectionEvent::Elected { token } => {
                info!("elected with token {token}");
                self.leader = Some(self.settings.name.clone());
                self.role = Role::Recovering {
                    token,
                    valid_until: self.now(),
                };
                self.evidence = CancellationEvidence::new(self.links.peers.names());
                self.term.store(token, Ordering::Relaxed);
                self.load(token);
            }
            ElectionEvent::Lease { valid_until: until } => match &mut self.role {
                Role::Recovering { valid_until, .. } => *valid_until = until,
                Role::Leading(core) => core.valid_until = until,
                Role::Follower => {}
            },
            ElectionEvent::TokenRaised(token) => {
                let now = self.now();
                if let Some(core) = self.core() {
                    core.token_raised(token, now);
                }
            }
            ElectionEvent::Deposed => {
                if !matches!(self.role, Role::Follower) {
                    self.step_down();
                }
            }
        }
    }

    /// Reads the records, then follows new jobs, for as long as this term lasts.
    fn load(&self, token: u64) {
        let reader = RecordReader {
            store: self.links.store.clone(),
            inbox: self.links.inbox.clone(),
            term: self.term.clone(),
            token,
            epoch: self.epoch,
            report_interval: Duration::from_secs_f64(self.settings.cluster.workers.report_s),
        };
        if let Err(error) = super::spawn("records", move || reader.run()) {
            warn!("{error:#}");
            self.request(ElectionRequest::Resign { term: token });
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
            self.resign();
        }
        let status = if promised { 200 } else { 409 };
        respond(Reply::json(status, &()));
    }

    /// Asks all other controllers to answer no more reports with lower tokens.
    fn ask_promises(&self, token: u64) {
        let promises = PromiseCollector {
            peers: self.links.peers.clone(),
            inbox: self.links.inbox.clone(),
            term: self.term.clone(),
            token,
            pause: Duration::from_secs_f64(self.settings.cluster.workers.report_s / 4.0),
        };
        if let Err(error) = super::spawn("promises", move || promises.run()) {
            warn!("{error:#}");
        }
    }

    fn loaded(&mut self, token: u64, records: Records, sent: Time) {
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
                self.evidence.records_read(sent);
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
        // A user may be told so: see `bookkeeping::cancellations`.
        if status
            .as_ref()
            .is_some_and(|s| s.state == JobState::Cancelled)
        {
            self.links.cancellations.record(id);
        }
        Located {
            status,
            leads,
            leader: self.leader.clone().filter(|l| *l != self.settings.name),
        }
    }

    /// A job has ended, as a user was told or the state service says.
    fn ended(&mut self, id: &str, state: JobState) {
        let now = self.now();
        self.ends.insert(id, state);
        if let Some(core) = self.core() {
            core.ended(id, state, now);
        }
    }

    /// Takes in the cancellations that this process has confirmed meanwhile. While the records are
    /// being read they are left for the picture to come.
    fn take_own_cancellations(&mut self) {
        if matches!(self.role, Role::Recovering { .. }) {
            return;
        }
        loop {
            let page = self.links.cancellations.page(self.own_cancellations);
            if !page.continues {
                warn!("cancellations came faster than they were taken in");
                self.evidence = CancellationEvidence::new(self.links.peers.names());
            }
            for job in &page.jobs {
                self.ended(job, JobState::Cancelled);
            }
            self.own_cancellations = page.cursor;
            if page.complete {
                return;
            }
        }
    }

    /// A leader asks the other controllers which cancellations they have confirmed.
    fn ask_peers_for_cancellations(&mut self, now: Time) {
        let pause_s = self.settings.cluster.workers.report_s / CANCELLATION_QUERIES;
        if self.core().is_none() || now - self.peers_asked < pause_s {
            return;
        }
        self.peers_asked = now;
        for peer in self.links.peers.names() {
            let queries = &self.links.cancellation_queries;
            queries.ask(peer, self.evidence.cursor(peer));
        }
    }

    fn peer_cancellations(&mut self, peer: &str, answer: Option<PeerAnswer>) {
        let Some(answer) = answer else {
            return;
        };
        for job in &answer.page.jobs {
            self.ended(job, JobState::Cancelled);
        }
        self.evidence.peer_answered(&answer);
        if self.core().is_some() && !answer.page.complete {
            let queries = &self.links.cancellation_queries;
            queries.ask(peer, self.evidence.cursor(peer));
        }
    }

    /// Answers a worker's report. An answer renews the worker's lease, so that none is given while a
    /// confirmed cancellation may be unknown here for too long: see [`CancellationEvidence`].
    fn report(&mut self, report: Report, body: Vec<u8>, passed_on: bool, respond: Respond) {
        self.take_own_cancellations();
        let now = self.now();
        let renews = self.evidence.may_renew(&self.settings.cluster.workers, now);
        let Role::Leading(core) = &mut self.role else {
            return self.redirect(report, body, passed_on, respond);
        };
        if !renews {
            return self.redirect(report, body, passed_on, respond);
        }
        let reply = match core.report(&report, now) {
            Heard::Answer(answer) => {
                if !passed_on {
                    self.heard = now;
                }
                Reply::json(200, &answer)
            }
            Heard::Stale => Reply::error(503, "an older report"),
            Heard::Deposed => Reply::json(421, &Elsewhere { leader: None }),
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

//! The actor that owns the picture of the cluster: a [`ClusterManager`] while this node leads.

mod leadership;
mod reports;

use super::busy;
use super::cloud_calls::CloudCall;
use super::gateway::Task;
use super::messages::Message;
use super::peer_queries::CancellationQueries;
use super::upgrade::SharedWriteFence;
use super::workers::Pool;
use crate::coordination::cluster::cancellation_evidence::CancellationEvidence;
use crate::coordination::cluster::heartbeat_routing::Redirects;
use crate::coordination::cluster::Effect;
use crate::coordination::election::ElectionRequest;
use crate::coordination::manager::ClusterManager;
use crate::coordination::requests::Located;
use crate::coordination::state::Name;
use crate::coordination::Time;
use crate::protocol::cloud::{MachineType, LIST_PAGE};
use crate::protocol::job::{JobState, JobStatus};
use crate::protocol::worker::Heartbeat;
use crate::settings::Settings;
use crate::storage::cancellation_log::{CancellationLog, Cursor};
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::recent_jobs::EndIndex;
use crate::storage::records::OpenRecord;
use crate::transport::peers::Peers;
use crate::transport::{Reply, Responder};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Hands a worker's report to the controller, or answers at once when it has no room.
pub fn offer_report(inbox: &Sender<Message>, body: Vec<u8>, passed_on: bool, respond: Responder) {
    let report: Heartbeat = match serde_json::from_slice(&body) {
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
    Leading(Box<ClusterManager>),
}

/// What the controller speaks to.
pub struct ControllerHandles {
    pub store: KeyValueStore,
    pub peers: Peers,
    pub inbox: Sender<Message>,
    pub stage: Sender<Task>,
    pub election_requests: Sender<ElectionRequest>,
    pub pool: Pool,
    /// The cancellations that this process has confirmed, and the way to those of the others.
    pub cancellations: CancellationLog,
    pub cancellation_queries: CancellationQueries,
    pub clearance: SharedWriteFence,
}

pub struct Controller {
    settings: Arc<Settings>,
    epoch: Instant,
    links: ControllerHandles,
    role: Role,
    /// The term whose watch goes on; others stop.
    term: Arc<AtomicU64>,
    leader: Option<String>,
    ends: EndIndex,
    types: Vec<MachineType>,
    redirects: Redirects,
    ticked: Time,
    listed: Time,
    /// When the log last told of requests to the state service.
    requests_told: Time,
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
/// Messages taken in before the manager decides again.
const BATCH: usize = 64;
/// Seconds between two lines of the log about requests to the state service.
const REQUESTS_TOLD_S: f64 = 10.0;
const STEP: Duration = Duration::from_millis(20);
/// Bytes that a remembered end takes, and the share of memory for them.
const END_BYTES: f64 = 200.0;
const END_SHARE: f64 = 0.1;

impl Controller {
    pub fn new(settings: Arc<Settings>, epoch: Instant, links: ControllerHandles) -> Controller {
        let bytes = settings.cluster.limits.ram_mb * 1e6 * END_SHARE;
        Controller {
            epoch,
            role: Role::Follower,
            term: Arc::default(),
            leader: None,
            ends: EndIndex::new((bytes / END_BYTES) as usize),
            types: Vec::new(),
            redirects: Redirects::new(&settings.cluster.workers),
            ticked: 0.0,
            listed: 0.0,
            requests_told: 0.0,
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
            self.redirects.forget_old(now);
            self.tell_request_counts(now);
        }
        self.take_own_cancellations();
        self.ask_peers_for_cancellations(now);
        let Role::Leading(manager) = &mut self.role else {
            return;
        };
        if tick {
            if self.links.store.is_limited() {
                manager.lower_write_rate();
            }
            manager.tick(now);
            if now - self.listed >= list_pause_s(&self.settings, manager.machine_count()) {
                self.listed = now;
                self.links.pool.cloud(CloudCall::List);
            }
        }
        let begun = Instant::now();
        if manager.step(now) {
            manager.cycle_took(
                begun.elapsed().as_secs_f64(),
                self.epoch.elapsed().as_secs_f64(),
            );
        }
        let effects = manager.take_effects();
        let deposed = manager.deposed;
        if tick && !self.probing && manager.receives_no_heartbeats(now) {
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

    fn tell_request_counts(&mut self, now: Time) {
        if now - self.requests_told >= REQUESTS_TOLD_S {
            self.requests_told = now;
            info!("state service: {}", self.links.store.take_request_counts());
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Write { id, transaction } => self.links.pool.write(id, transaction),
            Effect::SendCommands {
                machine,
                endpoint,
                orders,
            } => self.links.pool.order(machine, &endpoint, &orders),
            Effect::RentMachines(rent) => self.links.pool.cloud(CloudCall::Rent(rent)),
            Effect::ReturnMachines(names) => self.links.pool.cloud(CloudCall::Return(names)),
            Effect::RaiseToken => {
                let term = self.term.load(Ordering::Relaxed);
                self.request(ElectionRequest::RaiseToken { term });
            }
            Effect::JobEnded { id, state } => self.ends.insert(&id, state),
            Effect::ReadEnds(ids) => self.find_ends(ids),
        }
    }

    /// Ends that this node knows are told at once; the others are read.
    fn find_ends(&mut self, ids: Vec<Name>) {
        let now = self.now();
        let mut unknown = Vec::new();
        for id in ids {
            match (self.ends.get(&id).copied(), &mut self.role) {
                (Some(state), Role::Leading(manager)) => manager.job_end_recorded(&id, state, now),
                _ => unknown.push(id),
            }
        }
        self.links.pool.find(unknown);
    }

    fn manager(&mut self) -> Option<&mut ClusterManager> {
        match &mut self.role {
            Role::Leading(manager) => Some(manager),
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
            Message::WriteFence(clearance) => self.cleared(clearance),
            Message::JobsAccepted(opened) => self.opened(opened),
            Message::JobsEnded(ends) => {
                for (id, state) in ends {
                    self.ended(&id, state);
                }
            }
            Message::EndsRecorded(ends) => {
                for (id, state) in ends {
                    self.ends.insert(&id, state);
                }
            }
            Message::EndsFound(ends) => {
                if let Some(manager) = self.manager() {
                    manager.ends_found(ends, now);
                }
            }
            Message::RecordsLoaded {
                token,
                records,
                sent,
            } => self.loaded(token, records, sent),
            Message::RecordsRead { token, sent } => {
                if self
                    .manager()
                    .is_some_and(|manager| manager.first_token() == token)
                {
                    self.evidence.records_read(sent);
                }
            }
            Message::Written(id, result) => {
                if let Some(manager) = self.manager() {
                    manager.write_finished(id, result, now);
                }
            }
            Message::CommandsAnswered(machine, result) => {
                if let Some(manager) = self.manager() {
                    manager.commands_answered(&machine, result, now);
                }
            }
            Message::MachinesRented(request, machines) => {
                if let Some(manager) = self.manager() {
                    manager.machines_rented(&request, machines, now);
                }
            }
            Message::MachinesReturned(names, confirmed) => {
                if let Some(manager) = self.manager() {
                    manager.machines_returned(&names, confirmed, now);
                }
            }
            Message::MachinesListed(list) => {
                if let Some(manager) = self.manager() {
                    manager.machines_listed(&list, now);
                }
            }
            Message::Promise(token, respond) => self.promise(token, respond),
            Message::Promised(token) => {
                if let Some(manager) = self.manager().filter(|c| c.first_token() == token) {
                    manager.peers_promised(now);
                }
            }
            Message::PeersProbed(reachability) => self.peers_probed(reachability),
            Message::HearsWorkers(respond) => self.hears_workers(respond),
            Message::PeerCancellations(peer, answer) => self.peer_cancellations(&peer, answer),
            Message::MachineTypes(types) => {
                if let Some(manager) = self.manager() {
                    manager.set_machine_types(types.clone());
                }
                self.types = types;
            }
        }
    }

    fn locate(&mut self, id: &str) -> Located {
        let now = self.now();
        let mut status = self.ends.get(id).map(|&state| JobStatus {
            id: id.to_string(),
            state,
            done: 0,
            running: 0,
        });
        let mut leads = false;
        if let Role::Leading(manager) = &self.role {
            leads = manager.is_leader(now);
            if leads && status.is_none() {
                status = manager.status(id);
            }
        }
        // A user may be told so: see `storage::cancellation_log`.
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

    /// Takes in the records of open jobs.
    fn opened(&mut self, opened: Vec<(OpenRecord, u64)>) {
        let now = self.now();
        let wall = wall_ms();
        for (record, version) in opened {
            let ended = self.ends.get(&record.spec.id).is_some();
            // News of a job that is over already went through a watch that fell behind.
            if ended && !record.cancelled {
                continue;
            }
            if let Some(manager) = self.manager() {
                manager.job_accepted(record, version, wall, now);
            }
        }
    }

    /// A job has ended, as a user was told or the state service says.
    fn ended(&mut self, id: &str, state: JobState) {
        let now = self.now();
        self.ends.insert(id, state);
        if let Some(manager) = self.manager() {
            manager.job_end_recorded(id, state, now);
        }
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

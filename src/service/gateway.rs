//! The stage of users' requests: carries out what [`requests`] decides.

use super::busy;
use super::controller::wall_ms;
use super::end_notifier::EndNotifier;
use super::messages::Message;
use super::polls::{Polls, UserPoll};
use super::upgrade::SharedWriteFence;
use crate::coordination::requests::polls::Poll;
use crate::coordination::requests::{
    self, Context, Effect, Event, Located, PeerAnswer, Request, StoreAnswer, StoreCall,
};
use crate::protocol::cloud::MachineType;
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use crate::transport::front::ApiRequest;
use crate::transport::peers::{ForwardedRequest, Kind, Peers};
use crate::transport::{Reply, Responder};
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tracing::debug;

/// A request in the gateway's stage.
pub struct Task {
    work: Work,
    respond: Responder,
}

enum Work {
    /// A user's request; `from_peer` when another controller has handed it on.
    Call { call: ApiRequest, from_peer: bool },
    /// A poll for which this node can't ask the state service.
    HandOn { job: String },
    /// A worker's report that its sender cannot bring to the leader.
    PassOn { leader: String, body: Vec<u8> },
}

impl Task {
    pub fn user(call: ApiRequest, respond: Responder) -> Task {
        let from_peer = false;
        Task {
            work: Work::Call { call, from_peer },
            respond,
        }
    }

    pub fn peer(call: ApiRequest, respond: Responder) -> Task {
        let from_peer = true;
        Task {
            work: Work::Call { call, from_peer },
            respond,
        }
    }

    pub fn hand_on(job: String, respond: Responder) -> Task {
        Task {
            work: Work::HandOn { job },
            respond,
        }
    }

    pub fn pass_on(leader: String, body: Vec<u8>, respond: Responder) -> Task {
        Task {
            work: Work::PassOn { leader, body },
            respond,
        }
    }
}

pub fn call_of(kind: Kind, job: String, body: Vec<u8>) -> ApiRequest {
    match kind {
        Kind::Submit => ApiRequest::Submit(body),
        Kind::Query => ApiRequest::Query(job),
        Kind::Cancel => ApiRequest::Cancel(job),
    }
}

/// Puts a request into the stage; when that is full, it is answered at once.
pub fn offer(stage: &Sender<Task>, task: Task) {
    if let Err(TrySendError::Full(task) | TrySendError::Disconnected(task)) = stage.try_send(task) {
        (task.respond)(busy());
    }
}

/// The machine types as last heard of: a submission needs nothing else, and so does not wait for
/// the controller.
#[derive(Default)]
pub struct SharedTypes(RwLock<Arc<Vec<MachineType>>>);

impl SharedTypes {
    pub fn get(&self) -> Arc<Vec<MachineType>> {
        let types = self.0.read().unwrap_or_else(|e| e.into_inner());
        types.clone()
    }

    pub fn set(&self, types: Vec<MachineType>) {
        *self.0.write().unwrap_or_else(|e| e.into_inner()) = Arc::new(types);
    }
}

pub struct Gateway {
    pub settings: Arc<Settings>,
    pub store: KeyValueStore,
    pub peers: Peers,
    pub controller: Sender<Message>,
    pub tasks: Receiver<Task>,
    pub types: Arc<SharedTypes>,
    pub polls: Polls,
    pub clearance: SharedWriteFence,
    pub ends: EndNotifier,
    /// Peers that lately gave no answer, and until when they are not asked.
    pub unreachable: RefCell<HashMap<String, Instant>>,
}

/// How long the leader may take before a node helps itself.
const LEADER_PATIENCE: Duration = Duration::from_millis(800);
const AVOID: Duration = Duration::from_secs(2);

/// How a request has ended here.
enum Answered {
    Now(Reply),
    /// The records decide.
    LookUp(Poll),
}

impl Gateway {
    pub fn run(self) {
        for task in &self.tasks {
            match task.work {
                Work::Call { call, from_peer } => self.answer(&call, from_peer, task.respond),
                Work::HandOn { job } => (task.respond)(self.hand_on(job)),
                Work::PassOn { leader, body } => (task.respond)(self.pass_on(&leader, body)),
            }
        }
    }

    /// Brings a worker's report to the leader. While that cannot be reached, its worker had better
    /// try another node.
    fn pass_on(&self, leader: &str, body: Vec<u8>) -> Reply {
        let not_reached = || Reply::unavailable("the leader is not reached");
        if self.is_avoided(leader) {
            return not_reached();
        }
        let reply = self
            .peers
            .forward_heartbeat(leader, body, 2 * LEADER_PATIENCE);
        reply.unwrap_or_else(|| {
            self.avoid(leader);
            not_reached()
        })
    }

    /// Brings a poll to another controller that can ask the state service.
    fn hand_on(&self, job: String) -> Reply {
        let (request, effects) = Request::refused_query(job, self.context(false));
        match self.carry_out(request, effects, Kind::Query, &[]) {
            Answered::Now(reply) => reply,
            // It would be refused again.
            Answered::LookUp(_) => busy(),
        }
    }

    fn answer(&self, call: &ApiRequest, from_peer: bool, respond: Responder) {
        if let Some(why) = self.clearance.get().refusal() {
            return respond(Reply::unavailable(&why.to_string()));
        }
        let begun = Instant::now();
        let reply = match self.decide(call, from_peer) {
            Answered::Now(reply) => reply,
            Answered::LookUp(poll) => {
                return self.polls.look_up(UserPoll {
                    poll,
                    from_peer,
                    respond,
                });
            }
        };
        if begun.elapsed() > LEADER_PATIENCE / 4 || reply.status >= 500 {
            let what = call.name();
            debug!("{what}: {} after {:?}", reply.status, begun.elapsed());
        }
        respond(reply);
    }

    fn decide(&self, call: &ApiRequest, from_peer: bool) -> Answered {
        let context = self.context(from_peer);
        match call {
            ApiRequest::Submit(body) => {
                let (request, effects) = Request::submission(body, context);
                self.carry_out(request, effects, Kind::Submit, body)
            }
            ApiRequest::Query(id) => {
                let (request, effects) = Request::query(id.clone(), context);
                self.carry_out(request, effects, Kind::Query, &[])
            }
            ApiRequest::Cancel(id) => {
                let (request, effects) = Request::cancellation(id.clone(), context);
                self.carry_out(request, effects, Kind::Cancel, &[])
            }
            ApiRequest::Heartbeat(_) => Answered::Now(Reply::error(404, "no such path")),
        }
    }

    fn context(&self, from_peer: bool) -> Context {
        Context {
            settings: self.settings.clone(),
            types: self.types.get(),
            clearance: self.clearance.get(),
            peers: self.peers.names().cloned().collect(),
            from_peer,
            now_ms: wall_ms(),
        }
    }

    /// Carries out what a request asks for until it is answered; `kind` and `body` are what another
    /// controller is handed.
    fn carry_out(
        &self,
        mut request: Request,
        effects: Vec<Effect>,
        kind: Kind,
        body: &[u8],
    ) -> Answered {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            let event = match effect {
                Effect::Locate => Event::Located(self.locate(request.job())),
                Effect::Store(call) => Event::Store(store_answer(&self.store, call)),
                Effect::Ask(peer) => {
                    let asked = ForwardedRequest {
                        kind,
                        job: request.job(),
                        body,
                        waits: request.waits(),
                    };
                    Event::Peer(self.ask(&peer, &asked))
                }
                Effect::Opened(record, version) => {
                    let spec = &record.spec;
                    self.polls.accepted(spec.id.clone(), spec.waits_on.clone());
                    let opened = Message::JobsAccepted(vec![(*record, version)]);
                    let _ = self.controller.try_send(opened);
                    continue;
                }
                Effect::Ended(state) => {
                    self.ends.note(vec![(request.job().to_string(), state)]);
                    continue;
                }
                Effect::LookUp(poll) => return Answered::LookUp(poll),
                Effect::Answer(answer) => return Answered::Now(reply_of(answer)),
            };
            effects.extend(request.on(event));
        }
        // A request goes on until it is answered: only a fault of its own gets here.
        Answered::Now(busy())
    }

    fn locate(&self, id: &str) -> Option<Located> {
        let (tx, rx) = bounded(1);
        self.controller
            .try_send(Message::Locate(id.to_string(), tx))
            .ok()?;
        rx.recv_timeout(LEADER_PATIENCE).ok()
    }

    fn ask(&self, peer: &str, asked: &ForwardedRequest) -> Option<PeerAnswer> {
        if self.is_avoided(peer) {
            return None;
        }
        let Some(reply) = self.peers.forward_request(peer, asked, LEADER_PATIENCE) else {
            debug!("{peer}: no answer to a request about {}", asked.job);
            self.avoid(peer);
            return None;
        };
        Some(PeerAnswer {
            status: reply.status,
            body: reply.body.into_owned(),
            retry_after: reply.retry_after,
        })
    }

    fn avoid(&self, peer: &str) {
        let until = Instant::now() + AVOID;
        self.unreachable
            .borrow_mut()
            .insert(peer.to_string(), until);
    }

    fn is_avoided(&self, peer: &str) -> bool {
        let unreachable = self.unreachable.borrow();
        let until = unreachable.get(peer);
        until.is_some_and(|until| Instant::now() < *until)
    }
}

/// Calls the state service.
pub(super) fn store_answer(store: &KeyValueStore, call: StoreCall) -> StoreAnswer {
    match call {
        StoreCall::Read(key) => StoreAnswer::Read(store.get(&key)),
        StoreCall::List {
            under,
            after,
            limit,
        } => StoreAnswer::Listed(store.page(&under, Some(&after), limit)),
        StoreCall::Commit(transaction) => StoreAnswer::Committed(store.commit(&transaction)),
    }
}

pub(super) fn reply_of(answer: requests::Answer) -> Reply {
    Reply {
        status: answer.status(),
        retry_after: answer.retry_after(),
        body: answer.body().into(),
    }
}

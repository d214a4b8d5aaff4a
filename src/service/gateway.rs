//! The threads that serve users' requests. Each executes the effects that [`requests`] decides on.
//!
//! [`requests`]: crate::coordination::requests

use super::clock::wall_ms;
use super::final_state_notifier::FinalStateNotifier;
use super::messages::{AcceptedJob, Message};
use super::polls::{PollQueue, UserPoll};
use super::replies::{busy, reply_to_user};
use super::request_queue::{RequestTask, RequestWork};
use super::shared_machine_types::SharedMachineTypes;
use super::store_calls::execute_store_call;
use super::unresponsive_peers::UnresponsivePeers;
use super::upgrade::SharedWriteFence;
use crate::coordination::requests::polls::Poll;
use crate::coordination::requests::{
    Context, LocalJobView, PeerAnswer, Request, RequestEffect, RequestEvent,
};
use crate::coordination::state::leader_memory_bytes;
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::open_job_budget::OpenJobBudget;
use crate::storage::records::JobFinalState;
use crate::transport::api_server::ApiRequest;
use crate::transport::peers::{ForwardedRequest, Kind, Peers};
use crate::transport::{Reply, Responder};
use crossbeam::channel::{bounded, Receiver, Sender};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::debug;

/// How long a gateway waits for the leader, or for the controller actor of this process, before it
/// continues without the answer.
const LEADER_TIMEOUT: Duration = Duration::from_millis(800);
/// Requests that take longer than this are logged.
const SLOW_REQUEST: Duration = Duration::from_millis(200);

/// The handles of a gateway to the other actors. Each gateway has a copy.
#[derive(Clone)]
pub struct GatewayHandles {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The client of the state service.
    pub store: KeyValueStore,
    /// The other controllers.
    pub peers: Peers,
    /// The controller actor's inbox.
    pub controller: Sender<Message>,
    /// The queue of requests to serve.
    pub tasks: Receiver<RequestTask>,
    /// The machine types against which submissions are validated.
    pub machine_types: Arc<SharedMachineTypes>,
    /// The queue of polls that are answered from the records.
    pub polls: PollQueue,
    /// The jobs that this controller may accept.
    pub open_jobs: OpenJobBudget,
    /// What this controller may write at the active cluster version.
    pub write_fence: SharedWriteFence,
    /// Publishes final states before they are confirmed to users.
    pub final_state_notifier: FinalStateNotifier,
}

/// One thread that serves requests.
pub struct Gateway {
    handles: GatewayHandles,
    unresponsive_peers: UnresponsivePeers,
}

/// The outcome of processing a request.
enum Outcome {
    Reply(Reply),
    /// The poll must be answered from the records.
    ReadRecords(Poll),
}

impl Gateway {
    /// A gateway that knows of no unresponsive peers yet.
    pub fn new(handles: GatewayHandles) -> Gateway {
        Gateway {
            handles,
            unresponsive_peers: UnresponsivePeers::default(),
        }
    }

    /// Serves requests until the queue is closed.
    pub fn run(self) {
        for task in &self.handles.tasks {
            match task.work {
                RequestWork::Answer { call, from_peer } => {
                    self.answer(&call, from_peer, task.respond);
                }
                RequestWork::ForwardPoll { job } => (task.respond)(self.forward_poll(job)),
                RequestWork::ForwardHeartbeat { leader, body } => {
                    (task.respond)(self.forward_heartbeat(&leader, body));
                }
            }
        }
    }

    /// Forwards a worker's heartbeat to the leader. If the leader is unreachable, the request is rejected
    /// so that the worker tries another controller.
    fn forward_heartbeat(&self, leader: &str, body: Vec<u8>) -> Reply {
        let unreachable = || Reply::unavailable("the leader is unreachable");
        if self.unresponsive_peers.contains(leader) {
            return unreachable();
        }
        let reply = self
            .handles
            .peers
            .forward_heartbeat(leader, body, 2 * LEADER_TIMEOUT);
        reply.unwrap_or_else(|| {
            self.unresponsive_peers.insert(leader);
            unreachable()
        })
    }

    /// Forwards a poll to another controller, which may be able to reach the state service.
    fn forward_poll(&self, job: String) -> Reply {
        let (request, effects) = Request::query_peers(job, self.context(false));
        match self.execute(request, effects, Kind::Query, &[]) {
            Outcome::Reply(reply) => reply,
            // This controller can't read the records: the poll was rejected for that reason before.
            Outcome::ReadRecords(_) => busy(),
        }
    }

    fn answer(&self, call: &ApiRequest, from_peer: bool, respond: Responder) {
        if let Some(refusal) = self.handles.write_fence.get().refusal() {
            return respond(Reply::unavailable(&refusal.to_string()));
        }
        let started_at = Instant::now();
        let reply = match self.process(call, from_peer) {
            Outcome::Reply(reply) => reply,
            Outcome::ReadRecords(poll) => {
                return self.handles.polls.enqueue(UserPoll {
                    poll,
                    from_peer,
                    respond,
                });
            }
        };
        let elapsed = started_at.elapsed();
        if elapsed > SLOW_REQUEST || reply.status >= 500 {
            debug!(
                request = call.name(),
                status = reply.status,
                ?elapsed,
                "request slow or failed"
            );
        }
        respond(reply);
    }

    fn process(&self, call: &ApiRequest, from_peer: bool) -> Outcome {
        let context = self.context(from_peer);
        match call {
            ApiRequest::Submit(body) => {
                let (request, effects) = Request::submission(body, context);
                self.execute(request, effects, Kind::Submit, body)
            }
            ApiRequest::Query(id) => {
                let (request, effects) = Request::query(id.clone(), context);
                self.execute(request, effects, Kind::Query, &[])
            }
            ApiRequest::Cancel(id) => {
                let (request, effects) = Request::cancellation(id.clone(), context);
                self.execute(request, effects, Kind::Cancel, &[])
            }
            ApiRequest::Heartbeat(_) => Outcome::Reply(Reply::error(404, "no such path")),
        }
    }

    fn context(&self, from_peer: bool) -> Context {
        Context {
            settings: self.handles.settings.clone(),
            machine_types: self.handles.machine_types.get(),
            free_job_bytes: self.handles.open_jobs.free_bytes(),
            write_fence: self.handles.write_fence.get(),
            peers: self.handles.peers.names().cloned().collect(),
            from_peer,
            now_ms: wall_ms(),
        }
    }

    /// Executes a request's effects until the request is answered. If it is forwarded, `kind` and `body`
    /// are sent to the other controller.
    fn execute(
        &self,
        mut request: Request,
        effects: Vec<RequestEffect>,
        kind: Kind,
        body: &[u8],
    ) -> Outcome {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            let event = match effect {
                RequestEffect::ReadLocalView => {
                    RequestEvent::LocalView(self.read_local_view(request.job()))
                }
                RequestEffect::Store(call) => {
                    RequestEvent::Store(execute_store_call(&self.handles.store, call))
                }
                RequestEffect::CheckDependencies(jobs) => {
                    RequestEvent::DependenciesChecked(self.handles.polls.check_dependencies(jobs))
                }
                RequestEffect::Forward(peer) => {
                    let forwarded = ForwardedRequest {
                        kind,
                        job: request.job(),
                        body,
                        has_dependencies: request.has_dependencies(),
                    };
                    RequestEvent::Peer(self.forward_to_peer(&peer, &forwarded))
                }
                RequestEffect::JobAccepted { record, version } => {
                    let record = *record;
                    self.publish_acceptance(AcceptedJob { record, version });
                    continue;
                }
                RequestEffect::FinalStateRecorded(state) => {
                    let final_states = vec![JobFinalState::new(request.job(), state)];
                    self.handles.final_state_notifier.publish(final_states);
                    continue;
                }
                RequestEffect::ReadRecords(poll) => return Outcome::ReadRecords(poll),
                RequestEffect::Answer(answer) => return Outcome::Reply(reply_to_user(answer)),
            };
            effects.extend(request.on_event(event));
        }
        // Unreachable unless the request logic has a defect: a request has effects until it is answered.
        Outcome::Reply(busy())
    }

    fn publish_acceptance(&self, job: AcceptedJob) {
        let spec = &job.record.spec;
        let bytes = leader_memory_bytes(spec, job.record.bytes());
        self.handles.open_jobs.accepted(bytes);
        self.handles
            .polls
            .job_accepted(spec.id.clone(), spec.waits_on.clone());
        let message = Message::JobsAccepted { jobs: vec![job] };
        let _ = self.handles.controller.try_send(message);
    }

    /// Asks the controller actor of this process what it knows about a job; `None` if its inbox is full
    /// or it does not answer in time.
    fn read_local_view(&self, id: &str) -> Option<LocalJobView> {
        let (reply, view) = bounded(1);
        let id = id.to_string();
        self.handles
            .controller
            .try_send(Message::ReadLocalView { id, reply })
            .ok()?;
        view.recv_timeout(LEADER_TIMEOUT).ok()
    }

    fn forward_to_peer(&self, peer: &str, forwarded: &ForwardedRequest) -> Option<PeerAnswer> {
        if self.unresponsive_peers.contains(peer) {
            return None;
        }
        let Some(reply) = self
            .handles
            .peers
            .forward_request(peer, forwarded, LEADER_TIMEOUT)
        else {
            debug!(
                peer,
                job = forwarded.job,
                "peer did not answer a forwarded request"
            );
            self.unresponsive_peers.insert(peer);
            return None;
        };
        Some(PeerAnswer {
            status: reply.status,
            body: reply.body.into_owned(),
            retry_after: reply.retry_after,
        })
    }
}

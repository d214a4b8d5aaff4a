//! The state machine of one request.

use super::answers::{Answer, PeerAnswer, RetryReason};
use super::cancellation::Cancellation;
use super::context::Context;
use super::decision::Decision;
use super::events::{LocalJobView, RequestEffect, RequestEvent};
use super::polls::Poll;
use super::step::{Step, StepError, StepResult};
use super::store_call::StoreAnswer;
use super::submission::Submission;
use crate::protocol::job::{JobSpec, JobStatus};

/// A submission, query or cancellation of one job.
///
/// Each constructor returns the first effects; every response to one goes to [`Request::on_event`],
/// until [`RequestEffect::Answer`] or [`RequestEffect::ReadRecords`] finishes the request:
///
/// ```text
/// submission, cancellation -> CallingStore --------------------------> Answered
///                                  | state service refuses                ^ ^
///                                  v                                      | |
/// refused_query ------------> ForwardingToPeers --------------------------+ |
/// query -> ReadingLocalView -> ForwardingToLeader --------------------------+
/// ```
pub struct Request {
    job: String,
    has_dependencies: bool,
    context: Context,
    state: State,
}

enum State {
    ReadingLocalView,
    ForwardingToLeader,
    CallingStore(Operation),
    /// The state service refuses this node: the request has been forwarded to so many of the peers.
    ForwardingToPeers {
        peers_tried: usize,
    },
    Answered,
}

/// A request that the state service decides.
enum Operation {
    Submission(Box<Submission>),
    Cancellation(Cancellation),
}

impl Operation {
    fn on_answer(&mut self, answer: StoreAnswer) -> StepResult<Decision> {
        match self {
            Operation::Submission(submission) => submission.on_answer(answer),
            Operation::Cancellation(cancellation) => {
                let step = cancellation.on_answer(answer)?;
                Ok(step.map(Decision::from))
            }
        }
    }
}

impl Request {
    /// A submission with its body, and the first effects.
    pub fn submission(body: &[u8], context: Context) -> (Request, Vec<RequestEffect>) {
        match JobSpec::parse(body) {
            Ok(spec) => Request::parsed_submission(spec, context),
            Err(error) => {
                let request = Request::new(String::new(), context, State::Answered);
                let answer = Answer::Malformed(error.to_string());
                (request, vec![RequestEffect::Answer(answer)])
            }
        }
    }

    fn parsed_submission(spec: JobSpec, context: Context) -> (Request, Vec<RequestEffect>) {
        let job = spec.id.clone();
        let has_dependencies = !spec.waits_on.is_empty();
        let (submission, step) = Submission::begin(spec, &context);
        let operation = Operation::Submission(Box::new(submission));
        let mut request = Request::new(job, context, State::CallingStore(operation));
        request.has_dependencies = has_dependencies;
        let effects = request.advance(Ok(step));
        (request, effects)
    }

    /// A query of a job's status, and the first effects.
    pub fn query(job: String, context: Context) -> (Request, Vec<RequestEffect>) {
        let request = Request::new(job, context, State::ReadingLocalView);
        (request, vec![RequestEffect::ReadLocalView])
    }

    /// A query of a job for which the state service refuses this node, and the first effects.
    pub fn refused_query(job: String, context: Context) -> (Request, Vec<RequestEffect>) {
        let state = State::ForwardingToPeers { peers_tried: 0 };
        let mut request = Request::new(job, context, state);
        let effects = request.forward_to_peer(0);
        (request, effects)
    }

    /// A cancellation of a job, and the first effects.
    pub fn cancellation(job: String, context: Context) -> (Request, Vec<RequestEffect>) {
        let (cancellation, call) = Cancellation::begin(&job, &context);
        let state = State::CallingStore(Operation::Cancellation(cancellation));
        let request = Request::new(job, context, state);
        (request, vec![RequestEffect::Store(call)])
    }

    fn new(job: String, context: Context, state: State) -> Request {
        Request {
            job,
            has_dependencies: false,
            context,
            state,
        }
    }

    /// The id of the job; empty for a submission that can't be parsed.
    pub fn job(&self) -> &str {
        &self.job
    }

    /// Whether it is the submission of a job that depends on others.
    pub fn has_dependencies(&self) -> bool {
        self.has_dependencies
    }

    /// Handles the response to the last effect; returns the next effects. An event that the current
    /// state does not wait for is ignored.
    pub fn on_event(&mut self, event: RequestEvent) -> Vec<RequestEffect> {
        match (event, &mut self.state) {
            (RequestEvent::LocalView(view), State::ReadingLocalView) => self.on_local_view(view),
            (RequestEvent::Peer(answer), State::ForwardingToLeader) => {
                self.on_leader_answer(answer)
            }
            (RequestEvent::Peer(answer), &mut State::ForwardingToPeers { peers_tried }) => {
                self.on_peer_answer(answer, peers_tried)
            }
            (RequestEvent::Store(answer), State::CallingStore(operation)) => {
                let result = operation.on_answer(answer);
                self.advance(result)
            }
            _ => Vec::new(),
        }
    }

    fn on_local_view(&mut self, view: Option<LocalJobView>) -> Vec<RequestEffect> {
        let Some(view) = view else {
            return self.answer(Answer::RetryLater(RetryReason::Busy));
        };
        match view.status {
            Some(status) if status.state.is_final() => self.answer(Answer::Known(status)),
            Some(status) => self.read_records(Some(status)),
            None => self.forward_to_leader(view.leader.filter(|_| !view.is_leader)),
        }
    }

    fn forward_to_leader(&mut self, leader: Option<String>) -> Vec<RequestEffect> {
        match leader.filter(|_| !self.context.from_peer) {
            Some(leader) => {
                self.state = State::ForwardingToLeader;
                vec![RequestEffect::Forward(leader)]
            }
            None => self.read_records(None),
        }
    }

    /// A leader that can't answer now may be partitioned from what this node still reaches.
    fn on_leader_answer(&mut self, answer: Option<PeerAnswer>) -> Vec<RequestEffect> {
        let Some(answer) = answer.filter(PeerAnswer::is_final) else {
            return self.read_records(None);
        };
        // An end never changes: once noted, it is answered from this node's own view.
        let end = answer.reported_end().map(RequestEffect::JobEndRecorded);
        let answered = self.answer(Answer::FromPeer(answer));
        end.into_iter().chain(answered).collect()
    }

    /// The records decide; the leader's status of the job holds unless they contradict it.
    fn read_records(&mut self, leader_status: Option<JobStatus>) -> Vec<RequestEffect> {
        self.state = State::Answered;
        let job = self.job.clone();
        vec![RequestEffect::ReadRecords(Poll { job, leader_status })]
    }

    fn advance(&mut self, result: StepResult<Decision>) -> Vec<RequestEffect> {
        match result {
            Ok(Step::Call(call)) => vec![RequestEffect::Store(call)],
            Ok(Step::Finished(decision)) => self.on_decision(decision),
            Err(StepError::Unavailable) => self.forward_to_peer(0),
            Err(StepError::VersionChanged) => {
                self.answer(Answer::RetryLater(RetryReason::VersionRaised))
            }
            Err(StepError::RateLimited) => {
                self.answer(Answer::RetryLater(RetryReason::StateServiceLimit))
            }
        }
    }

    /// Every answer that the state service has decided passes here.
    fn on_decision(&mut self, decision: Decision) -> Vec<RequestEffect> {
        let accepted = decision.accepted.map(|job| RequestEffect::JobAccepted {
            record: job.record,
            version: job.version,
        });
        let end = decision.answer.reported_end();
        let notices = accepted
            .into_iter()
            .chain(end.map(RequestEffect::JobEndRecorded));
        notices.chain(self.answer(decision.answer)).collect()
    }

    /// The state service may refuse this node alone: another one may serve the request.
    fn forward_to_peer(&mut self, peers_tried: usize) -> Vec<RequestEffect> {
        let peer = self.context.peers.get(peers_tried).cloned();
        match peer.filter(|_| !self.context.from_peer) {
            Some(peer) => {
                let peers_tried = peers_tried + 1;
                self.state = State::ForwardingToPeers { peers_tried };
                vec![RequestEffect::Forward(peer)]
            }
            None => self.answer(Answer::RetryLater(RetryReason::NoStateService)),
        }
    }

    fn on_peer_answer(
        &mut self,
        answer: Option<PeerAnswer>,
        peers_tried: usize,
    ) -> Vec<RequestEffect> {
        match answer.filter(|answer| !answer.is_server_error()) {
            Some(answer) => self.answer(Answer::FromPeer(answer)),
            None => self.forward_to_peer(peers_tried),
        }
    }

    fn answer(&mut self, answer: Answer) -> Vec<RequestEffect> {
        self.state = State::Answered;
        vec![RequestEffect::Answer(answer)]
    }
}

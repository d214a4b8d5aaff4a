//! The state machine of a request.

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
/// Each constructor returns the first effects. The driver passes their outcomes to
/// [`Request::on_event`] until [`RequestEffect::Answer`] or [`RequestEffect::ReadRecords`] finishes the
/// request:
///
/// ```text
/// submission, cancellation -> CallingStore --------------------------> Answered
///                                  | state service unavailable            ^ ^
///                                  v                                      | |
/// query_peers --------------> ForwardingToPeers --------------------------+ |
/// query -> ReadingLocalView -> ForwardingToLeader --------------------------+
/// ```
///
/// The repeated submission of an open job with dependencies continues as a query of that job.
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
    /// The state service is unavailable to this controller: the request is forwarded to one peer after
    /// another.
    ForwardingToPeers {
        peers_tried: usize,
    },
    Answered,
}

/// An operation that writes to the state service.
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
    /// Creates a submission from the request body, and returns its first effects.
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

    /// Creates a query of a job's status, and returns its first effects.
    pub fn query(job: String, context: Context) -> (Request, Vec<RequestEffect>) {
        let request = Request::new(job, context, State::ReadingLocalView);
        (request, vec![RequestEffect::ReadLocalView])
    }

    /// Creates a query that is forwarded to the peers, since the state service is unavailable to this
    /// controller, and returns its first effects.
    pub fn query_peers(job: String, context: Context) -> (Request, Vec<RequestEffect>) {
        let state = State::ForwardingToPeers { peers_tried: 0 };
        let mut request = Request::new(job, context, state);
        let effects = request.forward_to_peer(0);
        (request, effects)
    }

    /// Creates a cancellation of a job, and returns its first effects.
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

    /// Whether this is the submission of a job with dependencies.
    pub fn has_dependencies(&self) -> bool {
        self.has_dependencies
    }

    /// Handles the outcome of the last effect, and returns the next effects. An event that does not fit
    /// the current state is ignored.
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
            (
                RequestEvent::DependenciesChecked(result),
                State::CallingStore(Operation::Submission(submission)),
            ) => {
                let step = submission.on_dependencies_checked(result);
                self.advance(step)
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

    /// If the leader can't answer, the records are read: the leader may be partitioned from the state
    /// service while this controller is not.
    fn on_leader_answer(&mut self, answer: Option<PeerAnswer>) -> Vec<RequestEffect> {
        let Some(answer) = answer.filter(PeerAnswer::is_final) else {
            return self.read_records(None);
        };
        // A final state never changes: once cached, this controller can report it without the leader.
        let final_state = answer
            .reported_final_state()
            .map(RequestEffect::FinalStateRecorded);
        let answered = self.answer(Answer::FromPeer(answer));
        final_state.into_iter().chain(answered).collect()
    }

    /// Reads the records. The answer is the leader's status of the job, unless the records contradict it.
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
                self.answer(Answer::RetryLater(RetryReason::VersionChanged))
            }
            Err(StepError::RateLimited) => {
                self.answer(Answer::RetryLater(RetryReason::StateServiceLimit))
            }
        }
    }

    /// Handles the result of a submission or cancellation.
    fn on_decision(&mut self, decision: Decision) -> Vec<RequestEffect> {
        match decision {
            Decision::Query => {
                self.state = State::ReadingLocalView;
                vec![RequestEffect::ReadLocalView]
            }
            Decision::CheckDependencies(jobs) => vec![RequestEffect::CheckDependencies(jobs)],
            Decision::Accepted { job, answer } => {
                let accepted = RequestEffect::JobAccepted {
                    record: job.record,
                    version: job.version,
                };
                [accepted].into_iter().chain(self.answer(answer)).collect()
            }
            Decision::Answered(answer) => {
                let final_state = answer.reported_final_state();
                let effects = final_state.map(RequestEffect::FinalStateRecorded);
                effects.into_iter().chain(self.answer(answer)).collect()
            }
        }
    }

    /// Forwards the request to the next peer: the state service may be unavailable to this controller
    /// only.
    fn forward_to_peer(&mut self, peers_tried: usize) -> Vec<RequestEffect> {
        let peer = self.context.peers.get(peers_tried).cloned();
        match peer.filter(|_| !self.context.from_peer) {
            Some(peer) => {
                let peers_tried = peers_tried + 1;
                self.state = State::ForwardingToPeers { peers_tried };
                vec![RequestEffect::Forward(peer)]
            }
            None => self.answer(Answer::RetryLater(RetryReason::StateServiceUnavailable)),
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

//! Users' requests, decided without clocks, threads or sockets.
//!
//! A [`Request`] is a state machine for one submission, query or cancellation: [`Event`]s go in,
//! [`Effect`]s come out, and a driver carries them out. It is answered from what this node knows, by
//! the leader, or from the records of the state service; what the state service does not let this
//! node do, another node is asked for. Polls that only the records can answer go to the node's
//! [`polls::PollBatcher`], which looks many of them up at once.
//!
//! The rules that every answer keeps:
//!
//! - a job is called accepted, done or cancelled only once its record is written;
//! - an end on record is final: an answer that is older than an end is never given;
//! - a transaction without an answer may have been applied, or may be later: it is repeated under
//!   the same conditions, or the records are read, but its fate is never guessed.

mod acceptance;
mod admission;
mod answers;
mod cancellation;
mod dependency_check;
mod job_lookup;
pub mod polls;
mod step;
mod submission;

pub use admission::cannot_run;
pub use answers::{Answer, PeerAnswer, Reason};
pub use step::{StoreAnswer, StoreCall};

use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, JobState, JobStatus};
use crate::settings::Settings;
use crate::storage::records::OpenRecord;
use cancellation::Cancellation;
use polls::Poll;
use stairstage_upgrade::fence::WriteFence;
use std::sync::Arc;
use step::{Progress, Step, Stop};
use submission::Submission;

/// How many times a transaction is committed that is not answered or meets a conflict.
const TRIES: usize = 3;

/// What a request needs to know of the node that it has come to.
#[derive(Clone)]
pub struct Context {
    pub settings: Arc<Settings>,
    pub types: Arc<Vec<MachineType>>,
    /// What may be written at the active cluster version.
    pub clearance: WriteFence,
    /// The other controllers, in the order in which they are asked.
    pub peers: Vec<String>,
    /// Whether another controller has handed it on. It is then answered without asking others.
    pub from_peer: bool,
    /// The time of day in milliseconds, for records.
    pub now_ms: u64,
}

/// What this node knows of a job, and who leads.
#[derive(Clone, Debug)]
pub struct Located {
    /// The job's state, if this node can be sure of it.
    pub status: Option<JobStatus>,
    /// Whether this node leads, and its picture is current.
    pub leads: bool,
    pub leader: Option<String>,
}

/// What a request is told.
#[derive(Debug)]
pub enum Event {
    /// `None` when this node could not be asked.
    Located(Option<Located>),
    Store(StoreAnswer),
    /// `None` without an answer.
    Peer(Option<PeerAnswer>),
}

/// What a request asks its driver to do.
#[derive(Debug)]
pub enum Effect {
    /// Find out what this node knows of the job: [`Event::Located`].
    Locate,
    /// Call the state service: [`Event::Store`].
    Store(StoreCall),
    /// Hand the request to another controller: [`Event::Peer`].
    Ask(String),
    /// This request has accepted the job, by a record of this version.
    Opened(Box<OpenRecord>, u64),
    /// The job's end is on record. Comes before every answer that tells of an end on the strength
    /// of the state service or of the leader.
    Ended(JobState),
    /// Answer from the records, together with others: see [`polls::PollBatcher`].
    LookUp(Poll),
    Answer(Answer),
}

/// One user's request.
pub struct Request {
    job: String,
    /// Whether it is the submission of a job that waits for others.
    waits: bool,
    context: Context,
    stage: Stage,
}

enum Stage {
    Locating,
    AskingLeader,
    UsingStore(Work),
    /// The state service is not reached: how many of the others have been asked.
    AskingOthers(usize),
    Answered,
}

/// The part of a request that the state service decides.
enum Work {
    Submission(Box<Submission>),
    Cancellation(Cancellation),
}

/// What the state service has decided.
struct Decision {
    opened: Option<(Box<OpenRecord>, u64)>,
    answer: Answer,
}

impl From<Answer> for Decision {
    fn from(answer: Answer) -> Decision {
        let opened = None;
        Decision { opened, answer }
    }
}

impl Request {
    /// A submission with its body, and the first effects.
    pub fn submission(body: &[u8], context: Context) -> (Request, Vec<Effect>) {
        match JobSpec::parse(body) {
            Ok(spec) => Request::submission_of(spec, context),
            Err(error) => {
                let request = Request::new(String::new(), context, Stage::Answered);
                let answer = Answer::Malformed(error.to_string());
                (request, vec![Effect::Answer(answer)])
            }
        }
    }

    fn submission_of(spec: JobSpec, context: Context) -> (Request, Vec<Effect>) {
        let (job, waits) = (spec.id.clone(), !spec.waits_on.is_empty());
        let (work, step) = Submission::begin(spec, &context);
        let stage = Stage::UsingStore(Work::Submission(Box::new(work)));
        let mut request = Request::new(job, context, stage);
        request.waits = waits;
        let effects = request.advance(Ok(step));
        (request, effects)
    }

    /// A question about a job, and the first effects.
    pub fn query(job: String, context: Context) -> (Request, Vec<Effect>) {
        let request = Request::new(job, context, Stage::Locating);
        (request, vec![Effect::Locate])
    }

    /// A question about a job that this node can't ask the state service for, and the first effects.
    pub fn refused_query(job: String, context: Context) -> (Request, Vec<Effect>) {
        let mut request = Request::new(job, context, Stage::AskingOthers(0));
        let effects = request.ask_others(0);
        (request, effects)
    }

    /// A cancellation of a job, and the first effects.
    pub fn cancellation(job: String, context: Context) -> (Request, Vec<Effect>) {
        let (work, call) = Cancellation::begin(&job, &context);
        let stage = Stage::UsingStore(Work::Cancellation(work));
        (Request::new(job, context, stage), vec![Effect::Store(call)])
    }

    fn new(job: String, context: Context, stage: Stage) -> Request {
        Request {
            job,
            waits: false,
            context,
            stage,
        }
    }

    /// The job that it is about; empty for a submission that cannot be read.
    pub fn job(&self) -> &str {
        &self.job
    }

    /// Whether it is the submission of a job that waits for others.
    pub fn waits(&self) -> bool {
        self.waits
    }

    /// Takes the event that the last effect asked for; returns what to do next.
    pub fn on(&mut self, event: Event) -> Vec<Effect> {
        match (event, &mut self.stage) {
            (Event::Located(located), Stage::Locating) => self.located(located),
            (Event::Peer(answer), Stage::AskingLeader) => self.leader_answered(answer),
            (Event::Peer(answer), Stage::AskingOthers(_)) => self.other_answered(answer),
            (Event::Store(answer), Stage::UsingStore(work)) => {
                let progress = work.on(answer);
                self.advance(progress)
            }
            // Nobody asked for it.
            _ => Vec::new(),
        }
    }

    fn located(&mut self, located: Option<Located>) -> Vec<Effect> {
        let Some(located) = located else {
            return self.answer(Answer::Later(Reason::Busy));
        };
        match located.status {
            Some(status) if status.state.is_end() => self.answer(Answer::Known(status)),
            Some(status) => self.look_up(Some(status)),
            None => self.ask_leader(located.leader.filter(|_| !located.leads)),
        }
    }

    fn ask_leader(&mut self, leader: Option<String>) -> Vec<Effect> {
        match leader.filter(|_| !self.context.from_peer) {
            Some(leader) => {
                self.stage = Stage::AskingLeader;
                vec![Effect::Ask(leader)]
            }
            None => self.look_up(None),
        }
    }

    /// A leader that cannot take it now may be cut off where this node is not.
    fn leader_answered(&mut self, answer: Option<PeerAnswer>) -> Vec<Effect> {
        let Some(answer) = answer.filter(PeerAnswer::is_decided) else {
            return self.look_up(None);
        };
        // An end that the leader tells of never changes: it is answered from here the next time.
        let ended = answer.end().map(Effect::Ended);
        let answered = self.answer(Answer::FromPeer(answer));
        ended.into_iter().chain(answered).collect()
    }

    /// The records decide, unless the leader's picture is right as far as they go.
    fn look_up(&mut self, shown: Option<JobStatus>) -> Vec<Effect> {
        self.stage = Stage::Answered;
        let job = self.job.clone();
        vec![Effect::LookUp(Poll { job, shown })]
    }

    fn advance(&mut self, progress: Progress<Decision>) -> Vec<Effect> {
        match progress {
            Ok(Step::Call(call)) => vec![Effect::Store(call)],
            Ok(Step::Finished(decision)) => self.decided(decision),
            Err(Stop::Unavailable) => self.ask_others(0),
            Err(Stop::VersionRaised) => self.answer(Answer::Later(Reason::VersionRaised)),
            Err(Stop::Limited) => self.answer(Answer::Later(Reason::StateServiceLimit)),
        }
    }

    /// Every answer that the state service has decided passes here.
    fn decided(&mut self, decision: Decision) -> Vec<Effect> {
        let opened = decision.opened.map(|(job, v)| Effect::Opened(job, v));
        let ended = decision.answer.end().map(Effect::Ended);
        let news = opened.into_iter().chain(ended);
        news.chain(self.answer(decision.answer)).collect()
    }

    /// What the state service does not let this node do, another may: it may be refused alone.
    fn ask_others(&mut self, asked: usize) -> Vec<Effect> {
        let peer = self.context.peers.get(asked).cloned();
        match peer.filter(|_| !self.context.from_peer) {
            Some(peer) => {
                self.stage = Stage::AskingOthers(asked + 1);
                vec![Effect::Ask(peer)]
            }
            None => self.answer(Answer::Later(Reason::NoStateService)),
        }
    }

    fn other_answered(&mut self, answer: Option<PeerAnswer>) -> Vec<Effect> {
        let Stage::AskingOthers(asked) = self.stage else {
            return Vec::new();
        };
        match answer.filter(|a| !a.is_server_error()) {
            Some(answer) => self.answer(Answer::FromPeer(answer)),
            None => self.ask_others(asked),
        }
    }

    fn answer(&mut self, answer: Answer) -> Vec<Effect> {
        self.stage = Stage::Answered;
        vec![Effect::Answer(answer)]
    }
}

impl Work {
    fn on(&mut self, answer: StoreAnswer) -> Progress<Decision> {
        match self {
            Work::Submission(submission) => submission.on(answer),
            Work::Cancellation(cancellation) => Ok(cancellation.on(answer)?.map(Decision::from)),
        }
    }
}

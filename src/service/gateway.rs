//! Users' requests: answered from the leader's picture, or else from the state service itself.

use super::busy;
use super::controller::wall_ms;
use super::messages::{Located, Message};
use super::polls::Polls;
use crate::bookkeeping::cancellations::CancellationLog;
use crate::bookkeeping::records::*;
use crate::bookkeeping::store::{Outcome, Store, Unavailable};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, JobState, JobStatus, Kind};
use crate::protocol::store::Transaction;
use crate::settings::Settings;
use crate::transport::front::Call;
use crate::transport::peers::{Asked, Kind as AskKind, Peers};
use crate::transport::{Reply, Respond};
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tracing::debug;

/// A request in the gateway's stage.
pub struct Task {
    work: Work,
    respond: Respond,
}

enum Work {
    /// A user's request; `from_peer` when another controller has handed it on.
    Call { call: Call, from_peer: bool },
    /// A worker's report that its sender cannot bring to the leader.
    PassOn { leader: String, body: Vec<u8> },
}

impl Task {
    pub fn user(call: Call, respond: Respond) -> Task {
        let from_peer = false;
        Task {
            work: Work::Call { call, from_peer },
            respond,
        }
    }

    pub fn peer(call: Call, respond: Respond) -> Task {
        let from_peer = true;
        Task {
            work: Work::Call { call, from_peer },
            respond,
        }
    }

    pub fn pass_on(leader: String, body: Vec<u8>, respond: Respond) -> Task {
        Task {
            work: Work::PassOn { leader, body },
            respond,
        }
    }
}

pub fn call_of(kind: AskKind, job: String, body: Vec<u8>) -> Call {
    match kind {
        AskKind::Submit => Call::Submit(body),
        AskKind::Query => Call::Query(job),
        AskKind::Cancel => Call::Cancel(job),
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
    pub store: Store,
    pub peers: Peers,
    pub controller: Sender<Message>,
    pub tasks: Receiver<Task>,
    pub types: Arc<SharedTypes>,
    pub polls: Polls,
    /// Where every cancellation is entered before its user is told.
    pub cancellations: CancellationLog,
    /// Peers that lately gave no answer, and until when they are not asked.
    pub unreachable: RefCell<HashMap<String, Instant>>,
}

/// How long the leader may take before a node helps itself.
const LEADER_PATIENCE: Duration = Duration::from_millis(800);
const AVOID: Duration = Duration::from_secs(2);
/// A transaction without an answer is tried again so often.
const TRIES: usize = 3;
/// Jobs that are read at the most to see whether one that another needs is cancelled.
const MOST_FOLLOWED: usize = 24;

impl Gateway {
    pub fn run(self) {
        for task in &self.tasks {
            match task.work {
                Work::Call { call, from_peer } => self.answer(&call, from_peer, task.respond),
                Work::PassOn { leader, body } => {
                    let reply = self.peers.report(&leader, body, 2 * LEADER_PATIENCE);
                    (task.respond)(
                        reply.unwrap_or_else(|| Reply::later("the leader is not reached")),
                    );
                }
            }
        }
    }

    fn locate(&self, id: &str) -> Option<Located> {
        let (tx, rx) = bounded(1);
        self.controller
            .try_send(Message::Locate(id.to_string(), tx))
            .ok()?;
        rx.recv_timeout(LEADER_PATIENCE).ok()
    }

    fn answer(&self, call: &Call, from_peer: bool, respond: Respond) {
        let begun = Instant::now();
        let reply = match call {
            Call::Submit(body) => self.answer_submission(body, from_peer),
            Call::Cancel(id) => self.answer_cancellation(id, from_peer),
            Call::Query(id) => match self.answer_query(id, from_peer) {
                Answered::Now(reply) => reply,
                Answered::Unless(status) => return self.polls.confirm(status, respond),
            },
            Call::Report(_) => Reply::error(404, "no such path"),
        };
        if begun.elapsed() > LEADER_PATIENCE / 4 || reply.status >= 500 {
            let what = call.name();
            debug!("{what}: {} after {:?}", reply.status, begun.elapsed());
        }
        respond(reply);
    }

    /// Any node records a submission itself; the leader hears of it by its watch.
    fn answer_submission(&self, body: &[u8], from_peer: bool) -> Reply {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => return Reply::error(400, error),
        };
        let asked = Asked {
            kind: AskKind::Submit,
            job: &spec.id,
            body,
            waits: !spec.waits_on.is_empty(),
        };
        self.or_others(self.submit(&spec), &asked, from_peer)
    }

    fn answer_cancellation(&self, id: &str, from_peer: bool) -> Reply {
        self.or_others(self.cancel(id), &about(AskKind::Cancel, id), from_peer)
    }

    fn answer_query(&self, id: &str, from_peer: bool) -> Answered {
        let Some(located) = self.locate(id) else {
            return Answered::Now(busy());
        };
        if let Some(status) = located.status {
            return match status.state.is_end() {
                true => Answered::Now(Reply::json(200, &status)),
                false => Answered::Unless(status),
            };
        }
        if let (false, false, Some(leader)) = (from_peer, located.leads, &located.leader) {
            if let Some(reply) = self.ask(leader, &about(AskKind::Query, id)) {
                // A leader that cannot take it now may be cut off where this node is not.
                if reply.status < 500 && reply.status != 429 {
                    self.note_end(id, &reply);
                    return Answered::Now(reply);
                }
            }
        }
        let result = self.query(id);
        Answered::Now(self.or_others(result, &about(AskKind::Query, id), from_peer))
    }

    /// An end that the leader tells of never changes: it is answered from here the next time.
    fn note_end(&self, id: &str, reply: &Reply) {
        let Ok(status) = serde_json::from_slice::<JobStatus>(&reply.body) else {
            return;
        };
        if reply.status == 200 && status.state.is_end() {
            self.ended_status(id, status.state);
        }
    }

    /// What the state service does not let this node do, another may: it may be refused alone.
    fn or_others(
        &self,
        result: Result<Reply, Unavailable>,
        asked: &Asked,
        from_peer: bool,
    ) -> Reply {
        match result {
            Ok(reply) => reply,
            Err(Unavailable) if from_peer => later(),
            Err(Unavailable) => self
                .peers
                .names()
                .find_map(|name| self.ask(name, asked).filter(|r| r.status < 500))
                .unwrap_or_else(later),
        }
    }

    fn ask(&self, peer: &str, asked: &Asked) -> Option<Reply> {
        let now = Instant::now();
        if self
            .unreachable
            .borrow()
            .get(peer)
            .is_some_and(|until| now < *until)
        {
            return None;
        }
        let reply = self.peers.ask(peer, asked, LEADER_PATIENCE);
        if reply.is_none() {
            debug!("{peer}: no answer to a request about {}", asked.job);
            let until = Instant::now() + AVOID;
            self.unreachable
                .borrow_mut()
                .insert(peer.to_string(), until);
        }
        reply
    }

    /// What the state service says of a job; `None` if it was never accepted. The description is
    /// read first: it goes in the same transaction as the end comes, or stays until later.
    fn recorded(&self, id: &str) -> Result<Option<JobStatus>, Unavailable> {
        let open = self.store.read::<OpenRecord>(&open_key(id))?;
        match open {
            Some((record, _)) if record.cancelled => {
                Ok(Some(self.ended_status(id, JobState::Cancelled)))
            }
            // Its own end may lag behind that of a job that it needs.
            Some((record, _)) if self.needs_cancelled(&record)? => Err(Unavailable),
            Some(_) => Ok(Some(without_counts(id, JobState::Pending))),
            None => {
                let end = self.store.read::<EndRecord>(&end_key(id))?;
                Ok(end.map(|(end, _)| self.ended_status(id, end.state)))
            }
        }
    }

    /// Whether a job that this one needs is cancelled, directly or through others. Who needs more
    /// than can be read in a moment is answered by the leader.
    fn needs_cancelled(&self, record: &OpenRecord) -> Result<bool, Unavailable> {
        let mut left = record.spec.waits_on.clone();
        for _ in 0..MOST_FOLLOWED {
            let Some(id) = left.pop() else {
                return Ok(false);
            };
            match self.store.read::<OpenRecord>(&open_key(&id))? {
                Some((needed, _)) if needed.cancelled => return Ok(true),
                Some((needed, _)) => left.extend(needed.spec.waits_on),
                None if self.ended_cancelled(&id)? => return Ok(true),
                None => {}
            }
        }
        Err(Unavailable)
    }

    /// Whether the end of a job is on record as cancelled.
    fn ended_cancelled(&self, id: &str) -> Result<bool, Unavailable> {
        let end = self.store.read::<EndRecord>(&end_key(id))?;
        Ok(end.is_some_and(|(end, _)| end.state == JobState::Cancelled))
    }

    fn query(&self, id: &str) -> Result<Reply, Unavailable> {
        Ok(match self.recorded(id)? {
            Some(status) => Reply::json(200, &status),
            None => Reply::error(404, "no such job"),
        })
    }

    fn submit(&self, spec: &JobSpec) -> Result<Reply, Unavailable> {
        let record = OpenRecord::accepted(spec.clone(), wall_ms());
        if let Some(refusal) = self.refusal(&record) {
            return self.unless_known(&spec.id, refusal);
        }
        match self.needed(spec)? {
            Needed::Accepted => {}
            Needed::Never(why) => return self.unless_known(&spec.id, Reply::error(422, why)),
            Needed::Cancelled => return self.accept_cancelled(&spec.id),
        }
        let value = serde_json::to_value(&record).expect("plain data");
        let version = match self.accept(&spec.id, open_key(&spec.id), value)? {
            Ok(version) => version,
            Err(reply) => return Ok(reply),
        };
        let opened = Message::Opened(Box::new(record), version);
        let _ = self.controller.try_send(opened);
        let accepted = serde_json::json!({"name_id": spec.id, "status": "pending"});
        Ok(Reply::json(201, &accepted))
    }

    /// Why a submission is not taken, as far as that shows without asking the state service.
    fn refusal(&self, record: &OpenRecord) -> Option<Reply> {
        let types = self.types.get();
        if types.is_empty() {
            return Some(Reply::later("the machine types are not known yet"));
        }
        if let Some(why) = cannot_run(&record.spec, &self.settings, &types) {
            return Some(Reply::error(422, why));
        }
        let (bytes, most) = (record.bytes(), self.settings.cluster.state.record_bytes());
        (bytes > most).then(|| {
            let why =
                format!("the description takes {bytes} bytes in the records, of at most {most}");
            Reply::error(400, why)
        })
    }

    /// What was accepted once stays accepted, by whatever version.
    fn unless_known(&self, id: &str, refusal: Reply) -> Result<Reply, Unavailable> {
        Ok(match self.recorded(id)? {
            Some(status) => Reply::json(200, &status),
            None => refusal,
        })
    }

    /// Accepts a job by writing its first record: the version, or what is answered where the job is
    /// known.
    fn accept(
        &self,
        id: &str,
        key: String,
        value: serde_json::Value,
    ) -> Result<Result<u64, Reply>, Unavailable> {
        let txn = Transaction::default()
            .absent(open_key(id))
            .absent(end_key(id))
            .put(key, value);
        for _ in 0..TRIES {
            match self.store.commit(&txn) {
                Outcome::Applied(version) => return Ok(Ok(version)),
                // Accepted before, perhaps by a try of ours whose answer was lost.
                Outcome::Conflict(_) => {
                    let otherwise = Reply::later("the job is just being accepted");
                    return Ok(Err(self.unless_known(id, otherwise)?));
                }
                Outcome::Refused | Outcome::TooLarge | Outcome::NoLease => return Err(Unavailable),
                Outcome::Unknown => {}
            }
        }
        Err(Unavailable)
    }

    /// What has become of the jobs that a submission names: one request tells for several, since a
    /// description goes in the same transaction as the end comes.
    fn needed(&self, spec: &JobSpec) -> Result<Needed, Unavailable> {
        if spec.waits_on.contains(&spec.id) {
            return Ok(Needed::Never("waits_on: names the job itself".into()));
        }
        let at_once = (self.settings.cluster.state.conditions() / 2).max(1);
        // All are looked at: one that was never accepted weighs more than a cancelled one.
        let mut cancelled = false;
        for ids in spec.waits_on.chunks(at_once) {
            let mut txn = Transaction::default();
            for id in ids {
                txn = txn.absent(open_key(id)).absent(end_key(id));
            }
            let there = match self.store.commit(&txn) {
                Outcome::Conflict(failed) => failed,
                Outcome::Applied(_) => Vec::new(),
                _ => return Err(Unavailable),
            };
            for id in ids {
                if there.contains(&end_key(id)) {
                    cancelled |= self.ended_cancelled(id)?;
                } else if !there.contains(&open_key(id)) && self.recorded(id)?.is_none() {
                    return Ok(Needed::Never(format!("waits_on: {id} was never accepted")));
                }
            }
        }
        Ok(match cancelled {
            true => Needed::Cancelled,
            false => Needed::Accepted,
        })
    }

    /// Accepts a job that needs a cancelled one: its end is all that there is to record of it.
    fn accept_cancelled(&self, id: &str) -> Result<Reply, Unavailable> {
        Ok(match self.accept(id, end_key(id), cancelled_end())? {
            Ok(_) => self.cancelled(id, 201),
            Err(reply) => reply,
        })
    }

    fn cancel(&self, id: &str) -> Result<Reply, Unavailable> {
        for _ in 0..TRIES {
            let Some((record, version)) = self.store.read::<OpenRecord>(&open_key(id))? else {
                match self.recorded(id)? {
                    Some(s) if s.state != JobState::Pending => return Ok(Reply::json(200, &s)),
                    Some(_) => continue,
                    None => return Ok(Reply::error(404, "no such job")),
                }
            };
            if record.cancelled {
                return Ok(self.cancelled(id, 200));
            }
            let record = record.taken_back(self.settings.cluster.state.record_bytes());
            let txn = Transaction::default()
                .absent(end_key(id))
                .version(open_key(id), version)
                .put(end_key(id), cancelled_end())
                .put(
                    open_key(id),
                    serde_json::to_value(&record).expect("plain data"),
                );
            match self.store.commit(&txn) {
                Outcome::Applied(_) => return Ok(self.cancelled(id, 200)),
                // Ended meanwhile, or cancelled by a try whose answer was lost.
                Outcome::Conflict(_) | Outcome::Unknown => {}
                Outcome::Refused | Outcome::TooLarge | Outcome::NoLease => return Err(Unavailable),
            }
        }
        Err(Unavailable)
    }

    fn ended_status(&self, id: &str, state: JobState) -> JobStatus {
        ended_status(&self.controller, &self.cancellations, id, state)
    }

    fn cancelled(&self, id: &str, status: u16) -> Reply {
        self.ended_status(id, JobState::Cancelled);
        Reply::json(
            status,
            &serde_json::json!({"name_id": id, "status": "cancelled"}),
        )
    }
}

/// What a submission names to wait for.
enum Needed {
    /// All of it was accepted, and none cancelled as far as is on record.
    Accepted,
    /// Some of it never was, or can't be waited for: why.
    Never(String),
    Cancelled,
}

/// A request that says no more than which job it is about.
fn about(kind: AskKind, job: &str) -> Asked<'_> {
    Asked {
        kind,
        job,
        body: &[],
        waits: false,
    }
}

fn cancelled_end() -> serde_json::Value {
    let end = EndRecord {
        state: JobState::Cancelled,
        at_ms: Some(wall_ms()),
    };
    serde_json::to_value(end).expect("plain data")
}

enum Answered {
    Now(Reply),
    /// What the leader's picture says, unless the job's end is on record.
    Unless(JobStatus),
}

pub(super) fn later() -> Reply {
    Reply::later("the state service is not reached")
}

/// An end that the state service tells of, which the controller learns by this. Every answer with a
/// cancellation that rests on the state service comes through here.
pub(super) fn ended_status(
    controller: &Sender<Message>,
    cancellations: &CancellationLog,
    id: &str,
    state: JobState,
) -> JobStatus {
    if state == JobState::Cancelled {
        cancellations.record(id);
    }
    let _ = controller.try_send(Message::Ended(id.to_string(), state));
    without_counts(id, state)
}

fn without_counts(id: &str, state: JobState) -> JobStatus {
    JobStatus {
        id: id.to_string(),
        state,
        done: 0,
        running: 0,
    }
}

/// Why a job can never run, if so.
pub fn cannot_run(spec: &JobSpec, settings: &Settings, types: &[MachineType]) -> Option<String> {
    let Some(team) = settings.team(&spec.team) else {
        return Some(format!("team {} is not known", spec.team));
    };
    let fits = types.iter().any(|t| {
        let allowed = spec.types.as_ref().is_none_or(|l| l.contains(&t.name));
        let zone = spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
        allowed
            && zone
            && t.cpus >= spec.cpus
            && t.gpus >= spec.gpus
            && t.memory_gb >= spec.memory_gb
    });
    if !fits {
        return Some("no machine type that the job allows fits a task".into());
    }
    let at_once = match spec.kind {
        Kind::Array => 1.0,
        Kind::Gang | Kind::Service => f64::from(spec.tasks),
    };
    let exceeds = |need: f64, most: f64| most > 0.0 && need * at_once > most + 1e-9;
    if exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max) {
        return Some(format!("more than the limit of team {}", spec.team));
    }
    None
}

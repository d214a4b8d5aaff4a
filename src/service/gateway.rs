//! Users' requests: answered from the leader's picture, or else from the state service itself.

use super::busy;
use super::controller::{wall_ms, Located, Message};
use crate::bookkeeping::records::*;
use crate::bookkeeping::store::{Outcome, Store, Unavailable};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, JobState, JobStatus, Kind};
use crate::protocol::store::Transaction;
use crate::settings::Settings;
use crate::transport::front::Call;
use crate::transport::peers::{Kind as AskKind, Peers};
use crate::transport::{Reply, Respond};
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
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

pub struct Gateway {
    pub settings: Arc<Settings>,
    pub store: Store,
    pub peers: Peers,
    pub controller: Sender<Message>,
    pub tasks: Receiver<Task>,
    /// Peers that lately gave no answer, and until when they are not asked.
    pub unreachable: RefCell<HashMap<String, Instant>>,
}

/// How long the leader may take before a node helps itself.
const LEADER_PATIENCE: Duration = Duration::from_millis(800);
const AVOID: Duration = Duration::from_secs(2);
/// A transaction without an answer is tried again so often.
const TRIES: usize = 3;

impl Gateway {
    pub fn run(self) {
        for task in &self.tasks {
            let begun = Instant::now();
            let what = match &task.work {
                Work::Call { call, .. } => call.name(),
                Work::PassOn { .. } => "report",
            };
            let reply = match task.work {
                Work::Call { call, from_peer } => self.answer(&call, from_peer),
                Work::PassOn { leader, body } => self
                    .peers
                    .report(&leader, body, 2 * LEADER_PATIENCE)
                    .unwrap_or_else(|| Reply::later("the leader is not reached")),
            };
            if begun.elapsed() > LEADER_PATIENCE / 4 || reply.status >= 500 {
                debug!("{what}: {} after {:?}", reply.status, begun.elapsed());
            }
            (task.respond)(reply);
        }
    }

    fn locate(&self, id: &str) -> Option<Located> {
        let (tx, rx) = bounded(1);
        self.controller
            .try_send(Message::Locate(id.to_string(), tx))
            .ok()?;
        rx.recv_timeout(LEADER_PATIENCE).ok()
    }

    fn answer(&self, call: &Call, from_peer: bool) -> Reply {
        let spec = match call {
            Call::Submit(body) => match JobSpec::parse(body) {
                Ok(spec) => Some(spec),
                Err(error) => return Reply::error(400, error),
            },
            _ => None,
        };
        let (kind, id, body) = match call {
            Call::Submit(body) => (
                AskKind::Submit,
                spec.as_ref().map_or("", |s| &s.id),
                &body[..],
            ),
            Call::Query(id) => (AskKind::Query, id.as_str(), &[][..]),
            Call::Cancel(id) => (AskKind::Cancel, id.as_str(), &[][..]),
            Call::Report(_) => return Reply::error(404, "no such path"),
        };
        let Some(located) = self.locate(id) else {
            return busy();
        };
        if let Some(status) = &located.status {
            let ended = matches!(status.state, JobState::Done | JobState::Cancelled);
            if ended {
                return Reply::json(200, status);
            }
            if kind != AskKind::Cancel {
                return self.unless_ended(status);
            }
        }
        if let (false, false, Some(leader)) = (from_peer, located.leads, &located.leader) {
            if let Some(reply) = self.ask(leader, kind, id, body) {
                // A leader that cannot take it now may be cut off where this node is not.
                if reply.status < 500 && reply.status != 429 {
                    return reply;
                }
            }
        }
        let result = match &spec {
            Some(spec) => self.submit(spec, &located),
            None if kind == AskKind::Cancel => self.cancel(id),
            None => self.query(id),
        };
        match result {
            Ok(reply) => reply,
            Err(Unavailable) if from_peer => Reply::later("the state service is not reached"),
            Err(Unavailable) => self
                .peers
                .names()
                .filter(|name| Some(*name) != located.leader.as_ref())
                .find_map(|name| self.ask(name, kind, id, body).filter(|r| r.status < 500))
                .unwrap_or_else(|| Reply::later("the state service is not reached")),
        }
    }

    /// The leader's picture of an open job. Another node may have told its user of a cancellation
    /// that has not come through to here, and nobody may answer with an older state after that.
    fn unless_ended(&self, status: &JobStatus) -> Reply {
        match self.store.read::<EndRecord>(&end_key(&status.id)) {
            Ok(None) => Reply::json(200, status),
            Ok(Some((end, _))) => Reply::json(200, &self.ended(&status.id, end.state)),
            Err(Unavailable) => Reply::later("the state service is not reached"),
        }
    }

    /// An end that the state service tells of, which the controller learns by this.
    fn ended(&self, id: &str, state: JobState) -> JobStatus {
        let _ = self
            .controller
            .try_send(Message::Ended(id.to_string(), state));
        without_counts(id, state)
    }

    fn ask(&self, peer: &str, kind: AskKind, id: &str, body: &[u8]) -> Option<Reply> {
        let now = Instant::now();
        if self
            .unreachable
            .borrow()
            .get(peer)
            .is_some_and(|until| now < *until)
        {
            return None;
        }
        let reply = self.peers.ask(peer, kind, id, body, LEADER_PATIENCE);
        if reply.is_none() {
            debug!("{peer}: no answer to a request about {id}");
            let until = Instant::now() + AVOID;
            self.unreachable
                .borrow_mut()
                .insert(peer.to_string(), until);
        }
        reply
    }

    /// What the state service says of a job; `None` if it was never accepted.
    fn recorded(&self, id: &str) -> Result<Option<JobStatus>, Unavailable> {
        if let Some((end, _)) = self.store.read::<EndRecord>(&end_key(id))? {
            return Ok(Some(self.ended(id, end.state)));
        }
        let known = self.store.get(&job_key(id))?.is_some();
        Ok(known.then(|| without_counts(id, JobState::Pending)))
    }

    fn query(&self, id: &str) -> Result<Reply, Unavailable> {
        Ok(match self.recorded(id)? {
            Some(status) => Reply::json(200, &status),
            None => Reply::error(404, "no such job"),
        })
    }

    fn submit(&self, spec: &JobSpec, located: &Located) -> Result<Reply, Unavailable> {
        let refusal = match located.types.is_empty() {
            true => Some(Reply::later("the machine types are not known yet")),
            false => {
                cannot_run(spec, &self.settings, &located.types).map(|why| Reply::error(422, why))
            }
        };
        if let Some(refusal) = refusal {
            // What was accepted once stays accepted.
            return Ok(match self.recorded(&spec.id)? {
                Some(status) => Reply::json(200, &status),
                None => refusal,
            });
        }
        let record = OpenRecord {
            spec: spec.clone(),
            at_ms: wall_ms(),
            cancelled: false,
        };
        let txn = Transaction::default()
            .absent(job_key(&spec.id))
            .put(job_key(&spec.id), serde_json::json!({}))
            .put(
                open_key(&spec.id),
                serde_json::to_value(&record).expect("plain data"),
            );
        for _ in 0..TRIES {
            match self.store.commit(&txn) {
                Outcome::Applied(version) => {
                    let _ = self
                        .controller
                        .try_send(Message::Opened(Box::new(record), version));
                    let accepted = serde_json::json!({"name_id": spec.id, "status": "pending"});
                    return Ok(Reply::json(201, &accepted));
                }
                // Accepted before, perhaps by a try of ours whose answer was lost.
                Outcome::Conflict(_) => {
                    return Ok(match self.recorded(&spec.id)? {
                        Some(status) => Reply::json(200, &status),
                        None => Reply::later("the job is just being accepted"),
                    });
                }
                Outcome::Refused | Outcome::NoLease => return Err(Unavailable),
                Outcome::Unknown => {}
            }
        }
        Err(Unavailable)
    }

    fn cancel(&self, id: &str) -> Result<Reply, Unavailable> {
        let end = serde_json::to_value(EndRecord {
            state: JobState::Cancelled,
        })
        .expect("plain data");
        for _ in 0..TRIES {
            let Some((mut record, version)) = self.store.read::<OpenRecord>(&open_key(id))? else {
                match self.recorded(id)? {
                    Some(s) if s.state != JobState::Pending => return Ok(Reply::json(200, &s)),
                    Some(_) => continue,
                    None => return Ok(Reply::error(404, "no such job")),
                }
            };
            if record.cancelled {
                return Ok(self.cancelled(id));
            }
            record.cancelled = true;
            let txn = Transaction::default()
                .absent(end_key(id))
                .version(open_key(id), version)
                .put(end_key(id), end.clone())
                .put(
                    open_key(id),
                    serde_json::to_value(&record).expect("plain data"),
                );
            match self.store.commit(&txn) {
                Outcome::Applied(_) => return Ok(self.cancelled(id)),
                // Ended meanwhile, or cancelled by a try whose answer was lost.
                Outcome::Conflict(_) | Outcome::Unknown => {}
                Outcome::Refused | Outcome::NoLease => return Err(Unavailable),
            }
        }
        Err(Unavailable)
    }

    fn cancelled(&self, id: &str) -> Reply {
        self.ended(id, JobState::Cancelled);
        Reply::json(
            200,
            &serde_json::json!({"name_id": id, "status": "cancelled"}),
        )
    }
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

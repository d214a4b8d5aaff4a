//! The leader's picture of jobs and machines, and the invariants that the rules rest on.
//!
//! Every change to a place goes through [`Core::add_place`] and [`Core::clear_place`]; a place is
//! cleared only on proof that its task is gone and that no launch of it may still arrive:
//! see [`Core::absorb`] and [`Core::machine_gone`].

use super::predict::Predictor;
use super::state::*;
use super::Time;
use crate::bookkeeping::budget::Budget;
use crate::bookkeeping::records::*;
use crate::protocol::cloud::{MachineType, Rent};
use crate::protocol::job::{parse_task, JobState, JobStatus, Kind, Priority};
use crate::protocol::store::{Item, Transaction};
use crate::protocol::worker::*;
use crate::settings::{Settings, Team};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use tracing::{debug, info, warn};

/// What the core wants done by other actors.
#[derive(Debug)]
pub enum Effect {
    Write {
        id: u64,
        transaction: Transaction,
    },
    Orders {
        machine: Name,
        endpoint: String,
        orders: Orders,
    },
    Rent(Rent),
    Return(Vec<String>),
    /// Draw a new token, so that launches that may still be under way die.
    RaiseToken,
    Ended {
        id: Name,
        state: JobState,
    },
}

/// What became of a write.
#[derive(Debug)]
pub enum Written {
    Applied(u64),
    /// Surely not carried out.
    Refused,
    /// Perhaps carried out: the keys of its conditions, as read afterwards.
    Reread(Vec<(String, Option<Item>)>),
}

/// What became of commands that were sent straight to a worker.
#[derive(Debug)]
pub enum Ordered {
    Executed(Report),
    /// The worker executed nothing, and says how things are.
    Rejected(Option<Report>),
    NotSent,
    Unknown,
}

/// How a report is answered.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Answer(ReportAnswer),
    /// Older than what is known: its sender has given up on it.
    Stale,
    /// The worker has seen a higher token than ours.
    Deposed,
}

/// A record on its way, with the places that it makes known.
type SentChunk = (Name, usize, Vec<(Name, PlaceKey)>);

#[derive(Default)]
struct InFlight {
    chunks: Vec<SentChunk>,
    machines: Vec<Name>,
    ends: Option<Name>,
    removed: Vec<String>,
}

pub struct Core {
    pub(super) settings: Arc<Settings>,
    pub token: u64,
    /// Tokens of this leadership start here: a report at or above it was sent after we took over.
    pub(super) first_token: u64,
    counter: u64,
    pub(super) types: Vec<MachineType>,
    pub(super) jobs: BTreeMap<Name, Job>,
    pub(super) machines: BTreeMap<Name, Machine>,
    pub(super) team_use: HashMap<String, (f64, f64)>,
    pub(super) predictor: Predictor,
    pub(super) gone: BTreeMap<Name, Time>,
    pub(super) effects: Vec<Effect>,
    pub(super) fleet: super::fleet::Fleet,
    in_flight: BTreeMap<u64, InFlight>,
    /// Records that are of no use any more.
    pub(super) stale_keys: BTreeSet<String>,
    budget: Budget,
    write_pause: Time,
    /// Until when the lease surely holds.
    pub valid_until: Time,
    pub leads_since: Time,
    raised_at: Time,
    raising: bool,
    pub deposed: bool,
    /// When every other controller had promised to answer no report with a lower token.
    promised: Option<Time>,
    tasks_a_chunk: usize,
}

const WRITES_IN_FLIGHT: usize = 3;
/// The share of the state service's budget for records; the rest is for users and leases.
const RECORD_SHARE: f64 = 0.6;
/// Bytes of a transaction that may be filled, of the 64 KiB allowed.
const TXN_BYTES: usize = 48 * 1024;
/// Commands in one answer, which must not be longer than 64 KiB.
const MOST_COMMANDS: usize = 400;
/// A worker gives up on an answer after this time and on a node after one second more.
const WORKER_PATIENCE_S: f64 = 4.0;
const WORKER_RETRY_S: f64 = 1.0;
/// Steady clocks of different machines may differ by this much.
const DRIFT: f64 = 1.001;

impl Core {
    pub fn new(settings: Arc<Settings>, token: u64, now: Time) -> Core {
        let c = &settings.cluster;
        let rate = c.state.write_rps * RECORD_SHARE;
        Core {
            token,
            first_token: token,
            counter: 0,
            types: Vec::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            team_use: HashMap::new(),
            predictor: Predictor::default(),
            gone: BTreeMap::new(),
            effects: Vec::new(),
            fleet: Default::default(),
            in_flight: BTreeMap::new(),
            stale_keys: BTreeSet::new(),
            budget: Budget::new(rate, rate),
            write_pause: 0.0,
            valid_until: now,
            leads_since: now,
            raised_at: now,
            raising: false,
            deposed: false,
            promised: None,
            tasks_a_chunk: tasks_a_chunk(c.state.value_kb),
            settings,
        }
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn first_token(&self) -> u64 {
        self.first_token
    }

    pub fn leads(&self, now: Time) -> bool {
        now < self.valid_until && !self.deposed
    }

    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.types = types;
    }

    /// A number that no other leader, and no other call, gives out.
    pub(super) fn unique(&mut self) -> u64 {
        self.counter += 1;
        (self.first_token << 20) + self.counter
    }

    pub(super) fn type_of(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    pub(super) fn silence_s(&self) -> f64 {
        let report_s = self.settings.cluster.workers.report_s;
        let patience = WORKER_PATIENCE_S + WORKER_RETRY_S + report_s;
        (self.settings.policy.silence * report_s).max(patience)
    }

    fn owner(job: &Job) -> String {
        format!("{}/{}", job.spec.team, job.spec.class)
    }

    // ---- jobs ----

    /// A job's description, as recorded; `cancelled` when its user has taken it back.
    pub fn job_open(&mut self, record: OpenRecord, seq: u64, now: Time, arrived: Time) {
        let id: Name = record.spec.id.as_str().into();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.seq = job.seq.min(seq);
            if record.cancelled && !job.cancelled {
                self.cancel(&id, now);
            }
            return;
        }
        let tasks = record.spec.tasks as usize;
        let chunks = tasks.div_ceil(self.tasks_a_chunk);
        let spec = Arc::new(record.spec);
        if !record.cancelled {
            self.fleet.arrived(&spec, arrived);
        }
        let mut job = Job {
            id: id.clone(),
            seq,
            arrived,
            tasks: vec![Task::default(); tasks],
            done: 0,
            live: 0,
            chunks: vec![Chunk::default(); chunks],
            cancelled: record.cancelled,
            end_in_flight: false,
            predicted_s: f64::INFINITY,
            failed_on: BTreeMap::new(),
            retry_at: 0.0,
            setbacks: 0,
            first_open: 0,
            first_run: None,
            spec,
        };
        if !job.is_service() {
            let spec = &job.spec;
            job.predicted_s =
                self.predictor
                    .predict(&Self::owner(&job), spec.estimate_s, spec.cpus);
        }
        debug!("{id}: known, class {}, {tasks} tasks", job.spec.class);
        self.jobs.insert(id, job);
    }

    pub fn cancel(&mut self, id: &str, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        let id = job.id.clone();
        let at: Vec<(u32, Name, u64)> = Self::live_places(job).collect();
        info!("{id}: cancelled, {} places to clear", at.len());
        for (task, machine, attempt) in at {
            let key = (id.clone(), task, attempt);
            self.stop(&machine, &key, 0.0, now);
        }
        self.effects.push(Effect::Ended {
            id,
            state: JobState::Cancelled,
        });
    }

    pub(super) fn live_places(job: &Job) -> impl Iterator<Item = (u32, Name, u64)> + '_ {
        job.tasks.iter().enumerate().flat_map(|(i, task)| {
            let at = task.at.iter();
            at.map(move |(machine, attempt)| (i as u32, machine.clone(), *attempt))
        })
    }

    /// What a user is told; `None` for a job that is not open here.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        let job = self.jobs.get(id)?;
        let running = Self::live_places(job)
            .filter(|(task, machine, attempt)| {
                let key = (job.id.clone(), *task, *attempt);
                let place = self.machines.get(machine).and_then(|m| m.places.get(&key));
                place.is_some_and(|p| p.running_since.is_some())
            })
            .count() as u32;
        let state = match (job.cancelled, running + job.done) {
            (true, _) => JobState::Cancelled,
            (false, 0) => JobState::Pending,
            (false, _) => JobState::Running,
        };
        Some(JobStatus {
            id: id.to_string(),
            state,
            done: job.done,
            running,
        })
    }

    // ---- places ----

    /// Puts a task on a machine. The launch leaves once the record is written.
    pub(super) fn add_place(
        &mut self,
        id: &Name,
        task: u32,
        machine: &Name,
        attempt: u64,
        stage: Stage,
        now: Time,
    ) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(id), self.machines.get_mut(machine)) else {
            return;
        };
        let Some(slot) = job.tasks.get_mut(task as usize) else {
            return;
        };
        let need = Room::of(&job.spec);
        let place = Place {
            stage,
            since: now,
            running_since: None,
            recovered: false,
            orders_token: None,
            reply_seq: None,
            stop: None,
            need,
        };
        if m.places
            .insert((id.clone(), task, attempt), place)
            .is_some()
        {
            return;
        }
        slot.at.push((machine.clone(), attempt));
        job.live += 1;
        let usage = self.team_use.entry(job.spec.team.clone()).or_default();
        usage.0 += need.cpus;
        usage.1 += need.gpus;
        let urgent = stage == Stage::Planned;
        Self::touch(job, task, self.tasks_a_chunk, urgent, now);
    }

    fn touch(job: &mut Job, task: u32, tasks_a_chunk: usize, urgent: bool, now: Time) {
        let chunk = &mut job.chunks[task as usize / tasks_a_chunk];
        chunk.dirty.get_or_insert(now);
        chunk.urgent |= urgent;
    }

    /// The task is surely not on the machine any more (or, `done`, has completed): it counts no
    /// longer, and may be placed anew.
    fn clear_place(&mut self, id: &Name, task: u32, machine: &Name, attempt: u64, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(slot) = job.tasks.get_mut(task as usize) else {
            return;
        };
        let before = slot.at.len();
        slot.at.retain(|(m, a)| !(m == machine && *a == attempt));
        if slot.at.len() == before {
            return;
        }
        job.live -= 1;
        job.first_open = job.first_open.min(task as usize);
        if let Some(usage) = self.team_use.get_mut(&job.spec.team) {
            usage.0 -= job.spec.cpus;
            usage.1 -= job.spec.gpus;
        }
        Self::touch(job, task, self.tasks_a_chunk, false, now);
    }

    pub(super) fn stop(&mut self, machine: &Name, key: &PlaceKey, grace_s: f64, now: Time) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(place) = m.places.get_mut(key) else {
            return;
        };
        match place.stage {
            Stage::Exited(_) => {}
            Stage::Planned => {
                // The launch has not left, and never will.
                m.places.remove(key);
                self.clear_place(&key.0, key.1, machine, key.2, now);
            }
            Stage::Started | Stage::Seen(_) => {
                if place.stop.is_none_or(|s| grace_s < s.grace_s) {
                    place.stop = Some(Stop {
                        grace_s,
                        sent: false,
                    });
                }
            }
        }
    }

    fn task_done(&mut self, id: &Name, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_gang = job.spec.kind == Kind::Gang;
        // The tasks of a gang complete together.
        let tasks = match is_gang {
            true => 0..job.tasks.len() as u32,
            false => task..task + 1,
        };
        for t in tasks {
            let Some(slot) = job.tasks.get_mut(t as usize) else {
                continue;
            };
            if !slot.done {
                slot.done = true;
                job.done += 1;
                Self::touch(job, t, self.tasks_a_chunk, false, now);
            }
        }
        job.failed_on.clear();
        job.setbacks = 0;
        // Another place of a task that is done is of no use.
        let rest: Vec<_> = Self::live_places(job)
            .filter(|(t, _, _)| job.tasks[*t as usize].done && !is_gang)
            .collect();
        for (t, machine, attempt) in rest {
            self.stop(&machine, &(id.clone(), t, attempt), 0.0, now);
        }
    }

    // ---- machines ----

    /// The machine and all on it are gone, by the cloud's word.
    pub(super) fn machine_gone(&mut self, name: &Name, now: Time) {
        let Some(m) = self.machines.remove(name) else {
            return;
        };
        for (key, place) in &m.places {
            if place.is_live() {
                self.clear_place(&key.0, key.1, name, key.2, now);
                self.replica_lost(&key.0, now);
            }
        }
        if m.recorded {
            self.stale_keys.insert(machine_key(name));
        }
        self.gone.insert(name.clone(), now);
    }

    fn replica_lost(&mut self, id: &Name, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.spec.kind == Kind::Gang && !job.cancelled {
            // The rest of a gang is of no use without this task.
            let rest: Vec<_> = Self::live_places(job).collect();
            for (t, machine, attempt) in rest {
                self.stop(&machine, &(id.clone(), t, attempt), 0.0, now);
            }
        }
    }

    /// Forgets what was on a machine whose worker has begun a new session.
    fn clear_session(&mut self, name: &Name, now: Time) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let places = std::mem::take(&mut m.places);
        let mut kept = BTreeMap::new();
        let mut cleared = Vec::new();
        for (key, place) in places {
            // What has not been sent can still be sent to the new session.
            if place.stage == Stage::Planned {
                kept.insert(key, place);
            } else if place.is_live() {
                cleared.push(key);
            }
        }
        m.places = kept;
        if !cleared.is_empty() {
            warn!("{name}: new session, {} tasks lost", cleared.len());
        }
        for key in cleared {
            self.clear_place(&key.0, key.1, name, key.2, now);
            self.replica_lost(&key.0, now);
        }
    }

    fn is_newer(&self, r: &Report) -> bool {
        self.machines
            .get(r.machine.as_str())
            .is_none_or(|m| (r.session, r.seq) > (m.session, m.seq))
    }

    /// Takes in a report of any origin, if it is newer than all before it.
    pub fn absorb(&mut self, r: &Report, now: Time) -> bool {
        if !self.is_newer(r) {
            return false;
        }
        let name: Name = r.machine.as_str().into();
        if !self.machines.contains_key(&name) {
            if self.gone.contains_key(&name) {
                // A late message of a machine that is no more.
                return false;
            }
            info!("{name}: reports, and was not expected; adopted");
            let kind = r.kind.as_str().into();
            let m = Machine::new(name.clone(), kind, r.zone.as_str().into(), r.spot, now);
            self.machines.insert(name.clone(), m);
        }
        let m = self.machines.get_mut(&name).expect("inserted above");
        let new_session = m.session != 0 && r.session > m.session;
        if m.phase == Phase::Booting {
            m.phase = Phase::Up;
            m.idle_since = now;
            info!(
                "{name}: up, {} in {} after {:.0} s",
                m.kind,
                m.zone,
                now - m.rented
            );
        }
        m.session = r.session;
        m.seq = r.seq;
        m.token = m.token.max(r.token);
        m.heard = Some(now);
        m.no_orders_until = 0.0;
        if m.endpoint.as_deref() != Some(r.endpoint.as_str()) {
            m.endpoint = Some(r.endpoint.clone());
        }
        m.taken_at = r.notice_s.map(|s| now + s);
        if new_session {
            self.clear_session(&name, now);
        }
        let mut shown = BTreeSet::new();
        for t in &r.tasks {
            if let Some((job, task)) = parse_task(&t.task) {
                let key: PlaceKey = (job.into(), task, t.attempt);
                self.task_shown(&name, &key, t, now);
                shown.insert(key);
            }
        }
        self.tasks_not_shown(&name, &shown, r, now);
        let m = self.machines.get_mut(&name).expect("still there");
        if !m.is_empty() {
            m.idle_since = now;
        }
        if r.notice_s.is_some() {
            self.drain(&name, now);
        }
        true
    }

    fn task_shown(&mut self, name: &Name, key: &PlaceKey, t: &TaskReport, now: Time) {
        let Some(job) = self.jobs.get(&key.0) else {
            return;
        };
        if key.1 as usize >= job.tasks.len() {
            return;
        }
        let (spec, cancelled) = (job.spec.clone(), job.cancelled);
        let m = self.machines.get_mut(name).expect("known machine");
        if !m.places.contains_key(key) {
            if t.state == TaskState::Exited && t.cause != Some(Cause::Done) {
                // Nothing is known of it and it is over: it is forgotten with the next answer.
                return;
            }
            let taken = job.tasks[key.1 as usize].done || !job.tasks[key.1 as usize].at.is_empty();
            warn!("{name}: shows {}/{} that was not expected", key.0, key.1);
            self.add_place(&key.0, key.1, name, key.2, Stage::Started, now);
            if (taken || cancelled) && t.state != TaskState::Exited {
                let m = self.machines.get_mut(name).expect("known machine");
                let place = m.places.get_mut(key).expect("just added");
                place.stage = Stage::Seen(t.state);
                self.stop(name, key, 0.0, now);
            }
        }
        let m = self.machines.get_mut(name).expect("known machine");
        let place = m.places.get_mut(key).expect("present");
        if !place.is_live() {
            return;
        }
        if t.state != TaskState::Exited {
            let was = place.stage;
            place.stage = Stage::Seen(t.state);
            place.recovered = false;
            if t.state == TaskState::Running && place.running_since.is_none() {
                place.running_since = Some(now);
                debug!("{}/{}: runs on {name}", key.0, key.1);
                if let Some(job) = self.jobs.get_mut(&key.0) {
                    job.first_run.get_or_insert(now);
                }
            }
            if t.state != TaskState::Fetching {
                m.images.insert(spec.image.clone(), now);
            }
            if was == Stage::Started && cancelled && place.stop.is_none() {
                place.stop = Some(Stop {
                    grace_s: 0.0,
                    sent: false,
                });
            }
            return;
        }
        let cause = t.cause.unwrap_or(Cause::Error);
        place.stage = Stage::Exited(cause);
        let ran = place.running_since.map(|s| now - s);
        let (learnable, since) = (place.stop.is_none(), place.since);
        debug!("{}/{}: exited on {name}: {cause:?}", key.0, key.1);
        m.idle_since = now;
        self.clear_place(&key.0, key.1, name, key.2, now);
        match cause {
            Cause::Done => {
                self.task_done(&key.0, key.1, now);
                self.succeeded_on(name, &spec.image, now);
                if let (Some(ran), true, false) = (ran, learnable, spec.kind == Kind::Service) {
                    let owner = format!("{}/{}", spec.team, spec.class);
                    self.predictor
                        .learn(&owner, spec.estimate_s, spec.cpus, ran);
                }
            }
            Cause::Error => self.failed_on(&key.0, name, since, now),
            Cause::NoRoom | Cause::Busy | Cause::Unknown => {
                warn!("{name}: refused {}/{}: {cause:?}", key.0, key.1);
                self.refused_on(&key.0, now);
            }
            Cause::Stopped | Cause::Peers | Cause::Alone => self.replica_lost(&key.0, now),
        }
    }

    fn tasks_not_shown(&mut self, name: &Name, shown: &BTreeSet<PlaceKey>, r: &Report, now: Time) {
        let first_token = self.first_token;
        let jobs = &self.jobs;
        let m = self.machines.get_mut(name).expect("known machine");
        let mut lost = Vec::new();
        m.places.retain(|key, place| {
            if shown.contains(key) {
                return true;
            }
            let over = place.launches_are_over(r.token, r.seq);
            let gone = match place.stage {
                Stage::Planned => false,
                // The worker forgot it as it was told.
                Stage::Exited(_) => return !over,
                // Launched by an earlier leader: nothing of it arrives once the worker has seen
                // our token.
                Stage::Started if place.recovered => r.token >= first_token,
                Stage::Started => {
                    let unwanted =
                        place.stop.is_some() || jobs.get(&key.0).is_none_or(|j| j.cancelled);
                    unwanted && over
                }
                Stage::Seen(_) => over && r.token >= first_token,
            };
            if gone {
                lost.push(key.clone());
            }
            !gone
        });
        for key in lost {
            debug!("{}/{}: is not on {name}", key.0, key.1);
            self.clear_place(&key.0, key.1, name, key.2, now);
            self.replica_lost(&key.0, now);
        }
    }

    /// Takes in a worker's own report and answers it.
    pub fn report(&mut self, r: &Report, now: Time) -> Heard {
        if r.token > self.token {
            warn!(
                "{}: has seen token {}, ours is {}",
                r.machine, r.token, self.token
            );
            self.deposed = true;
            return Heard::Deposed;
        }
        if !self.absorb(r, now) {
            return Heard::Stale;
        }
        let name: Name = r.machine.as_str().into();
        let mut commands = Vec::new();
        if let Some(m) = self.machines.get_mut(&name) {
            m.answered = now;
            // Tasks that no open job accounts for are stopped, then forgotten.
            for t in &r.tasks {
                let key = parse_task(&t.task).map(|(j, n)| (Name::from(j), n, t.attempt));
                if key.as_ref().is_some_and(|k| m.places.contains_key(k)) {
                    continue;
                }
                let (task, attempt) = (t.task.clone(), t.attempt);
                if t.state == TaskState::Exited {
                    // Only an attempt of an earlier token can be forgotten safely: a late copy of
                    // its launch would start it anew.
                    if (attempt >> 20) < self.first_token || r.token > self.first_token {
                        commands.push(Command::Forget { task, attempt });
                    }
                } else {
                    commands.push(Command::Stop {
                        task,
                        attempt,
                        grace_s: 0.0,
                    });
                }
            }
        }
        commands.extend(self.commands(&name, Some(r.seq)));
        commands.truncate(MOST_COMMANDS);
        Heard::Answer(ReportAnswer {
            token: self.token,
            commands,
        })
    }

    /// What a worker should be told now: in the answer to its report `reply`, or directly. Only
    /// what was never sent goes directly, and `forget` never does: it must not overtake a launch.
    fn commands(&mut self, name: &Name, reply: Option<u64>) -> Vec<Command> {
        let Some(m) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        let (token, session_token) = (self.token, m.token);
        let mut commands = Vec::new();
        for (key, place) in m.places.iter_mut() {
            if commands.len() >= MOST_COMMANDS {
                break;
            }
            let (task, attempt) = (format!("{}/{}", key.0, key.1), key.2);
            match place.stage {
                Stage::Planned => {}
                Stage::Started | Stage::Seen(_) => {
                    if let Some(stop) = &mut place.stop {
                        if reply.is_some() || !stop.sent {
                            stop.sent = true;
                            let grace_s = stop.grace_s;
                            commands.push(Command::Stop {
                                task,
                                attempt,
                                grace_s,
                            });
                        }
                    } else if place.stage == Stage::Started && !place.recovered {
                        let sent = place.orders_token.is_some() || place.reply_seq.is_some();
                        if let Some(seq) = reply {
                            place.reply_seq = Some(seq);
                        } else if !sent {
                            place.orders_token = Some(token);
                        } else {
                            continue;
                        }
                        commands.push(Command::Start { task, attempt });
                    }
                }
                Stage::Exited(cause) => {
                    // A launch that went straight to the worker may come again, and after a
                    // `forget` it would start the task anew.
                    let safe = place.orders_token.is_none_or(|t| session_token > t);
                    let kept = cause == Cause::Done
                        && self.jobs.get(&key.0).is_some_and(|j| {
                            let chunk = &j.chunks[key.1 as usize / self.tasks_a_chunk];
                            chunk.dirty.is_some() || chunk.in_flight
                        });
                    if reply.is_some() && safe && !kept {
                        commands.push(Command::Forget { task, attempt });
                    }
                }
            }
        }
        // Stops first: what they free, a launch behind them may take.
        commands.sort_by_key(|c| match c {
            Command::Stop { .. } => 0,
            Command::Forget { .. } => 1,
            Command::Start { .. } => 2,
        });
        commands
    }

    /// Sends straight to workers what should not wait for their next report.
    fn send_orders(&mut self, now: Time) {
        if !self.leads(now) {
            return;
        }
        let names: Vec<Name> = self
            .machines
            .values()
            .filter(|m| {
                let reachable = m.phase == Phase::Up && m.endpoint.is_some();
                reachable && !m.order_in_flight && now >= m.no_orders_until && m.heard.is_some()
            })
            .filter(|m| {
                m.places.values().any(|p| match p.stage {
                    Stage::Started if p.stop.is_none() => {
                        !p.recovered && p.orders_token.is_none() && p.reply_seq.is_none()
                    }
                    Stage::Started | Stage::Seen(_) => p.stop.is_some_and(|s| !s.sent),
                    _ => false,
                })
            })
            .map(|m| m.name.clone())
            .collect();
        for name in names {
            let commands = self.commands(&name, None);
            self.order(&name, commands);
        }
    }

    /// Sends commands (perhaps none: then only the token and a report are exchanged).
    pub(super) fn order(&mut self, name: &Name, commands: Vec<Command>) {
        let token = self.token;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let Some(endpoint) = m.endpoint.clone() else {
            return;
        };
        m.order_in_flight = true;
        self.effects.push(Effect::Orders {
            machine: name.clone(),
            endpoint,
            orders: Orders {
                token,
                session: m.session,
                commands,
            },
        });
    }

    pub fn ordered(&mut self, name: &Name, result: Ordered, now: Time) {
        let pause = self.settings.cluster.workers.report_s;
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.order_in_flight = false;
        match result {
            Ordered::Executed(r) | Ordered::Rejected(Some(r)) => {
                if r.token > self.token {
                    self.deposed = true;
                } else if r.machine == **name {
                    self.absorb(&r, now);
                }
            }
            // The rest goes with the answers to its reports; nothing is concluded.
            Ordered::Rejected(None) | Ordered::NotSent | Ordered::Unknown => {
                m.no_orders_until = now + pause;
            }
        }
    }

    // ---- records ----

    /// Writes what is out of date, as far as the budget allows.
    fn flush(&mut self, now: Time) {
        if now < self.write_pause || !self.leads(now) {
            return;
        }
        while self.in_flight.len() < WRITES_IN_FLIGHT {
            let written = self.write_end(now) || self.write_chunks(now) || self.write_removals(now);
            if !written {
                break;
            }
        }
    }

    fn submit_write(&mut self, transaction: Transaction, what: InFlight) {
        let id = self.unique();
        self.in_flight.insert(id, what);
        self.effects.push(Effect::Write { id, transaction });
    }

    fn begin(&self) -> Transaction {
        Transaction::default().version(LEADER, self.token)
    }

    /// Ends a job: a write-once key, and its description closes.
    fn write_end(&mut self, now: Time) -> bool {
        let ops = self.settings.cluster.state.txn_ops;
        let Some(job) = self.jobs.values().find(|j| {
            let idle = !j.end_in_flight && !j.chunks.iter().any(|c| c.in_flight);
            let done = !j.cancelled && !j.is_service() && j.done as usize == j.tasks.len();
            idle && (done || (j.cancelled && j.live == 0))
        }) else {
            return false;
        };
        let id = job.id.clone();
        let mut txn = self.begin().delete(open_key(&id));
        if !job.cancelled {
            let end = EndRecord {
                state: JobState::Done,
            };
            txn = txn
                .absent(end_key(&id))
                .put(end_key(&id), serde_json::to_value(end).expect("plain data"));
        }
        let stored = job.chunks.iter().enumerate().filter(|(_, c)| c.version > 0);
        for (i, _) in stored.take(ops - 2) {
            txn = txn.delete(run_key(&id, i));
        }
        if !self.budget.take(now, txn.changes.len() as f64) {
            return false;
        }
        self.jobs.get_mut(&id).expect("found above").end_in_flight = true;
        self.submit_write(
            txn,
            InFlight {
                ends: Some(id),
                ..InFlight::default()
            },
        );
        true
    }

    fn chunk_record(&self, job: &Job, chunk: usize) -> (RunRecord, Vec<(Name, PlaceKey)>) {
        let mut record = RunRecord::default();
        let mut planned = Vec::new();
        let first = chunk * self.tasks_a_chunk;
        let last = (first + self.tasks_a_chunk).min(job.tasks.len());
        for t in first..last {
            let task = &job.tasks[t];
            if task.done {
                record.push_done(t as u32);
            }
            for (machine, attempt) in &task.at {
                let list = record.places.entry(machine.to_string()).or_default();
                list.push((t as u32, *attempt));
                let key = (job.id.clone(), t as u32, *attempt);
                let place = self.machines.get(machine).and_then(|m| m.places.get(&key));
                if place.is_some_and(|p| p.stage == Stage::Planned) {
                    planned.push((machine.clone(), key));
                }
            }
        }
        (record, planned)
    }

    fn write_chunks(&mut self, now: Time) -> bool {
        let lag = self.settings.cluster.workers.report_s / 3.0;
        let mut due: Vec<(bool, Priority, u64, Name, usize)> = Vec::new();
        for job in self
            .jobs
            .values()
            .filter(|j| !j.cancelled && !j.end_in_flight)
        {
            // A job whose tasks are all done is closed instead.
            if !job.is_service() && job.done as usize == job.tasks.len() {
                continue;
            }
            for (i, c) in job.chunks.iter().enumerate() {
                let Some(since) = c.dirty else { continue };
                if !c.in_flight && (c.urgent || now - since >= lag) {
                    due.push((!c.urgent, job.spec.priority, job.seq, job.id.clone(), i));
                }
            }
        }
        if due.is_empty() {
            return false;
        }
        due.sort_by(|a, b| {
            (a.0, std::cmp::Reverse(a.1), a.2, a.4).cmp(&(b.0, std::cmp::Reverse(b.1), b.2, b.4))
        });
        let ops = self.settings.cluster.state.txn_ops;
        let room = self.budget.level(now) as usize;
        let mut txn = self.begin();
        let mut chunks = Vec::new();
        let mut machines: BTreeSet<Name> = BTreeSet::new();
        let mut bytes = 0;
        for (_, _, _, id, i) in due {
            let job = &self.jobs[&id];
            let (record, planned) = self.chunk_record(job, i);
            let value = serde_json::to_value(&record).expect("plain data");
            let size = value.to_string().len();
            let fresh: BTreeSet<Name> = record
                .places
                .keys()
                .map(|m| Name::from(m.as_str()))
                .filter(|m| !machines.contains(m))
                .filter(|m| self.machines.get(m).is_some_and(|m| !m.recorded))
                .collect();
            let changes = txn.changes.len() + 1 + fresh.len();
            if changes > ops.min(room) || bytes + size > TXN_BYTES {
                // A record that names more new machines than a transaction can hold waits for
                // them to be recorded first.
                if chunks.is_empty() && room >= ops {
                    machines = fresh.into_iter().take(ops).collect();
                    for name in &machines {
                        txn = self.put_machine(txn, name);
                    }
                }
                break;
            }
            bytes += size;
            for name in &fresh {
                txn = self.put_machine(txn, name);
            }
            machines.extend(fresh);
            let version = job.chunks[i].version;
            txn = txn
                .version(run_key(&id, i), version)
                .put(run_key(&id, i), value);
            if !planned.is_empty() {
                txn = txn.absent(end_key(&id));
            }
            chunks.push((id, i, planned));
        }
        if txn.changes.is_empty() || !self.budget.take(now, txn.changes.len() as f64) {
            return false;
        }
        for (id, i, _) in &chunks {
            let chunk = &mut self.jobs.get_mut(id).expect("known job").chunks[*i];
            chunk.in_flight = true;
            chunk.dirty = None;
            chunk.urgent = false;
        }
        self.submit_write(
            txn,
            InFlight {
                chunks,
                machines: machines.into_iter().collect(),
                ..InFlight::default()
            },
        );
        true
    }

    fn put_machine(&self, txn: Transaction, name: &Name) -> Transaction {
        let m = &self.machines[name];
        let record = MachineRecord {
            endpoint: m.endpoint.clone().unwrap_or_default(),
            kind: m.kind.to_string(),
            zone: m.zone.to_string(),
            spot: m.spot,
        };
        let value = serde_json::to_value(record).expect("plain data");
        txn.put(machine_key(name), value)
    }

    fn write_removals(&mut self, now: Time) -> bool {
        let ops = self.settings.cluster.state.txn_ops;
        let keys: Vec<String> = self.stale_keys.iter().take(ops).cloned().collect();
        // Nothing hurries them: they leave room for what does.
        if keys.is_empty() || self.budget.level(now) < 2.0 * keys.len() as f64 {
            return false;
        }
        let mut txn = self.begin();
        for key in &keys {
            self.stale_keys.remove(key);
            txn = txn.delete(key);
        }
        self.budget.take(now, keys.len() as f64);
        self.submit_write(
            txn,
            InFlight {
                removed: keys,
                ..InFlight::default()
            },
        );
        true
    }

    /// Takes in what became of a write.
    pub fn written(&mut self, id: u64, result: Written, now: Time) {
        let Some(what) = self.in_flight.remove(&id) else {
            return;
        };
        let applied = match &result {
            Written::Applied(revision) => Some(*revision),
            _ => None,
        };
        for name in &what.machines {
            if let (Some(m), true) = (self.machines.get_mut(name), applied.is_some()) {
                m.recorded = true;
            }
        }
        for (id, i, planned) in what.chunks {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let chunk = &mut job.chunks[i];
            chunk.in_flight = false;
            match applied {
                Some(revision) => {
                    chunk.version = revision;
                    let cancelled = job.cancelled;
                    for (machine, key) in planned {
                        let m = self.machines.get_mut(&machine);
                        let place = m.and_then(|m| m.places.get_mut(&key));
                        if let Some(p) = place.filter(|p| p.stage == Stage::Planned && !cancelled) {
                            p.stage = Stage::Started;
                        }
                    }
                }
                None => {
                    chunk.dirty = Some(now);
                    chunk.urgent = true;
                }
            }
        }
        if applied.is_none() {
            self.stale_keys.extend(what.removed);
        }
        if let Some(id) = what.ends {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.end_in_flight = false;
            }
            if applied.is_some() {
                self.job_ended(&id, now);
            }
        }
        match result {
            Written::Applied(_) => {}
            Written::Refused => self.write_pause = now + 0.25,
            Written::Reread(items) => self.reread(items, now),
        }
    }

    /// Its end is recorded, and nothing of it is left.
    fn job_ended(&mut self, id: &Name, now: Time) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        if !job.cancelled {
            let due = job
                .spec
                .deadline_s
                .map_or(String::new(), |s| format!(", due after {s:.0}"));
            let started = job.first_run.map_or(0.0, |t| t - job.arrived);
            let took = now - job.arrived;
            info!("{id}: done, started after {started:.0} s, took {took:.0}{due}");
            self.effects.push(Effect::Ended {
                id: id.clone(),
                state: JobState::Done,
            });
        }
        // The transaction of its end has room for so many records only.
        let ops = self.settings.cluster.state.txn_ops;
        let stored = job.chunks.iter().enumerate().filter(|(_, c)| c.version > 0);
        for (i, _) in stored.skip(ops - 2) {
            self.stale_keys.insert(run_key(id, i));
        }
    }

    /// A write failed or went unanswered: take the versions from what the keys hold now. A copy of
    /// that write which is applied later fails by the version that the next write changes.
    fn reread(&mut self, items: Vec<(String, Option<Item>)>, now: Time) {
        for (key, item) in items {
            let version = item.as_ref().map_or(0, |i| i.version);
            if key == LEADER {
                // A lower version was read before the token was raised.
                if (version > self.token || version == 0) && !self.raising {
                    warn!("leadership is lost: the record has version {version}");
                    self.deposed = true;
                }
            } else if let Some((id, i)) = parse_run_key(&key) {
                let chunk = self.jobs.get_mut(id).and_then(|j| j.chunks.get_mut(i));
                if let Some(chunk) = chunk {
                    chunk.version = version;
                }
            } else if let (Some(id), Some(item)) = (key.strip_prefix("end/"), item) {
                match serde_json::from_value::<EndRecord>(item.value) {
                    Ok(EndRecord {
                        state: JobState::Cancelled,
                    }) => self.cancel(id, now),
                    // Our own end, whose answer was lost.
                    Ok(_) => self.job_ended(&id.into(), now),
                    Err(e) => warn!("{key}: cannot be read: {e}"),
                }
            }
        }
    }

    // ---- tokens ----

    /// Draws a new token when launches that may still arrive hold something up.
    fn raise_token(&mut self, now: Time) {
        let workers = &self.settings.cluster.workers;
        if self.raising || now - self.raised_at < workers.lease_s / 2.0 {
            return;
        }
        let token = self.token;
        let held = |p: &Place| p.orders_token == Some(token);
        let mut exited = 0;
        let mut unwanted = false;
        for m in self.machines.values() {
            for (key, p) in &m.places {
                if !held(p) {
                    continue;
                }
                let cancelled = self.jobs.get(&key.0).is_none_or(|j| j.cancelled);
                match p.stage {
                    Stage::Exited(_) => exited += 1,
                    Stage::Started => unwanted |= cancelled || p.stop.is_some(),
                    _ => {}
                }
            }
        }
        if unwanted || exited > MOST_COMMANDS / 4 {
            self.raising = true;
            self.effects.push(Effect::RaiseToken);
        }
    }

    /// The leader's record was written anew: its version is the token from now on.
    pub fn token_raised(&mut self, token: Option<u64>, now: Time) {
        self.raising = false;
        self.raised_at = now;
        if let Some(token) = token.filter(|t| *t > self.token) {
            debug!("token {token}");
            self.token = token;
        }
    }

    // ---- time ----

    /// Lets time pass: decides what can be decided, and writes and sends what is due.
    pub fn step(&mut self, now: Time) {
        if self.leads(now) {
            self.expire_sessions(now);
            self.schedule(now);
            self.raise_token(now);
        }
        self.flush(now);
        self.send_orders(now);
    }

    /// Slower decisions, about once a second.
    pub fn tick(&mut self, now: Time) {
        if self.leads(now) {
            self.check_machines(now);
            self.manage_fleet(now);
        }
        let keep =
            4.0 * self.settings.cluster.cloud.list_lag_s + self.settings.cluster.workers.cancel_s;
        self.gone.retain(|_, t| now - *t < keep);
    }

    /// Every other controller has promised to answer no report with a lower token than ours.
    pub fn promised(&mut self, now: Time) {
        self.promised = Some(now);
    }

    /// When a worker's lease was last renewed at the latest; `None` where an earlier leader may
    /// still renew it. A worker that has seen our token is renewed by us alone, and so is every
    /// worker once the other controllers have promised as much. A session that was heard of may
    /// have begun just then, and what is sent to it runs in no later one.
    fn renewed_by(&self, m: &Machine) -> Option<Time> {
        let known = m.answered.max(m.heard.unwrap_or(m.answered));
        match m.token >= self.first_token {
            true => Some(known.max(self.leads_since)),
            false => self.promised.map(|t| t.max(known)),
        }
    }

    /// When a worker's lease is over by our clock, it has killed and forgotten every task.
    fn expire_sessions(&mut self, now: Time) {
        let lease_s = self.settings.cluster.workers.lease_s;
        let over: Vec<Name> = self
            .machines
            .values()
            .filter(|m| m.phase != Phase::Booting)
            .filter(|m| {
                let renewed = self.renewed_by(m);
                renewed.is_some_and(|t| now - t > lease_s * DRIFT + WORKER_RETRY_S)
            })
            .filter(|m| m.places.values().any(|p| p.stage != Stage::Planned))
            .map(|m| m.name.clone())
            .collect();
        for name in over {
            warn!("{name}: silent for longer than its lease");
            self.clear_session(&name, now);
            if let Some(m) = self.machines.get_mut(&name) {
                // Whatever it says of that session is of the past. Nothing is sent to the next one
                // before it is heard of: when it begins, and so when it ends, is not known.
                m.session += 1;
                m.seq = 0;
                m.heard = None;
            }
        }
    }

    /// Loads a place that an earlier leader recorded.
    pub(super) fn recover_place(
        &mut self,
        id: &Name,
        task: u32,
        machine: &Name,
        attempt: u64,
        now: Time,
    ) {
        self.add_place(id, task, machine, attempt, Stage::Started, now);
        let m = self.machines.get_mut(machine);
        if let Some(p) = m.and_then(|m| m.places.get_mut(&(id.clone(), task, attempt))) {
            p.recovered = true;
        }
    }

    pub(super) fn recover_done(&mut self, id: &Name, task: u32) {
        if let Some(job) = self.jobs.get_mut(id) {
            if let Some(slot) = job.tasks.get_mut(task as usize).filter(|t| !t.done) {
                slot.done = true;
                job.done += 1;
            }
        }
    }

    pub(super) fn team(&self, name: &str) -> Option<&Team> {
        self.settings.team(name)
    }

    /// The value of a record, if it can be read.
    pub(super) fn decode<T: serde::de::DeserializeOwned>(key: &str, value: Value) -> Option<T> {
        serde_json::from_value(value)
            .map_err(|e| warn!("{key}: cannot be read: {e}"))
            .ok()
    }

    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }
}

//! What workers report, and how they are answered.

use crate::coordination::cluster::commands::unrecorded;
use crate::coordination::cluster::{ClusterState, HeartbeatOutcome, MAX_COMMANDS};
use crate::coordination::state::{
    AllocationId, AllocationState, Machine, MachinePhase, Name, Stop, MAX_UNACKNOWLEDGED,
};
use crate::coordination::Time;
use crate::protocol::job::{parse_task, JobKind};
use crate::protocol::worker::{
    Cause, Command, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};
use std::collections::BTreeSet;
use tracing::{debug, info, warn};

/// How a worker's report came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The worker sent it to this node.
    Worker,
    /// The worker sent it to another controller, which passed it on. It says nothing of the way
    /// between this node and the worker.
    Peer,
    /// It answered a direct command. It says nothing of the answer to the worker's last own report,
    /// which may still be under way.
    CommandAnswer,
}

impl ClusterState {
    /// Whether a report is newer than all before it. A worker keeps the highest token that it has
    /// seen: with a lower one it is from before its process ended, or a new process that must first
    /// prove itself; its counters do not tell which.
    pub(crate) fn is_newer(&self, r: &Heartbeat) -> bool {
        self.machines.get(r.machine.as_str()).is_none_or(|m| {
            (r.incarnation, r.sequence) > (m.incarnation, m.sequence) && r.token >= m.token
        })
    }

    /// What completed stays completed, however old the report that says so.
    fn completed_by(&mut self, r: &Heartbeat, now: Time) {
        for t in r.tasks.iter().filter(|t| t.cause == Some(Cause::Done)) {
            let Some((job, task)) = parse_task(&t.task) else {
                continue;
            };
            let id: Name = job.into();
            let slot = self.jobs.get(&id).and_then(|j| j.tasks.get(task as usize));
            if slot.is_some_and(|s| !s.done) {
                self.task_done(&id, task, now);
            }
        }
    }

    /// Takes in the report that answered a direct command.
    pub fn apply_command_response(&mut self, r: &Heartbeat, now: Time) -> bool {
        self.take_in(r, HeartbeatSource::CommandAnswer, now)
    }

    /// Takes in a report of any origin, if it is newer than all before it. A late copy proves
    /// nothing but what has completed.
    fn take_in(&mut self, r: &Heartbeat, source: HeartbeatSource, now: Time) -> bool {
        let name: Name = r.machine.as_str().into();
        let lease_s = self.settings.cluster.workers.lease_s;
        if !self.is_newer(r) || self.gone.contains_key(&name) {
            self.completed_by(r, now);
            return false;
        }
        if source != HeartbeatSource::Peer {
            self.hears(now);
        }
        if source == HeartbeatSource::Worker {
            self.reported_here = Some(now);
        }
        if !self.machines.contains_key(&name) {
            info!("{name}: reports, and was not expected; adopted");
            let kind = r.kind.as_str().into();
            let m = Machine::new(name.clone(), kind, r.zone.as_str().into(), r.spot, now);
            self.machines.insert(name.clone(), m);
        }
        let m = self.machines.get_mut(&name).expect("inserted above");
        let is_new_incarnation = m.incarnation != 0 && r.incarnation > m.incarnation;
        m.describe(&r.kind, &r.zone, r.spot);
        // Its lease ran out though its reports were answered: the answers do not reach it.
        if is_new_incarnation && m.told > 0 && now - m.answered < lease_s {
            m.unacknowledged = MAX_UNACKNOWLEDGED;
            m.acknowledges(false, now);
        }
        if is_new_incarnation {
            m.told = 0;
        } else if m.told > m.token {
            m.acknowledges(r.token >= m.told, now);
        }
        if m.phase == MachinePhase::Booting {
            m.phase = MachinePhase::Up;
            m.idle_since = now;
            self.stirred = true;
            info!(
                "{name}: up, {} in {} after {:.0} s",
                m.kind,
                m.zone,
                now - m.rented
            );
        }
        if is_new_incarnation {
            m.reported = 0;
        }
        if source != HeartbeatSource::CommandAnswer {
            m.reported = r.sequence;
        }
        m.incarnation = r.incarnation;
        m.sequence = r.sequence;
        m.token = m.token.max(r.token);
        m.heard = Some(now);
        m.no_orders_until = 0.0;
        m.unanswered = None;
        if m.endpoint.as_deref() != Some(r.endpoint.as_str()) {
            m.endpoint = Some(r.endpoint.clone());
        }
        m.taken_at = r.notice_s.map(|s| now + s);
        if is_new_incarnation {
            self.end_incarnation(&name, now);
        }
        let mut shown = BTreeSet::new();
        for t in &r.tasks {
            if let Some((job, task)) = parse_task(&t.task) {
                let key: AllocationId = (job.into(), task, t.attempt);
                // Most tasks are as they were: a large fleet shows tens of thousands a second.
                let m = self.machines.get(&name);
                if !m.is_some_and(|m| m.is_known_so(&key, t.state)) {
                    self.task_shown(&name, &key, t, now);
                }
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

    pub(crate) fn task_shown(
        &mut self,
        name: &Name,
        key: &AllocationId,
        t: &TaskStatus,
        now: Time,
    ) {
        let Some(job) = self.jobs.get(&key.0) else {
            return;
        };
        if key.1 as usize >= job.tasks.len() {
            return;
        }
        let (spec, cancelled) = (job.spec.clone(), job.cancelled);
        let m = self.machines.get_mut(name).expect("known machine");
        if !m.places.contains_key(key) {
            if t.state == TaskState::Exited {
                // Nothing is known of it and it is over: it is forgotten once that is recorded.
                if t.cause == Some(Cause::Done) {
                    self.task_done(&key.0, key.1, now);
                }
                return;
            }
            let taken = job.tasks[key.1 as usize].done || !job.tasks[key.1 as usize].at.is_empty();
            warn!("{name}: shows {}/{} that was not expected", key.0, key.1);
            self.add_place(key.clone(), name, AllocationState::Launching, now);
            if taken || cancelled {
                let m = self.machines.get_mut(name).expect("known machine");
                let place = m.places.get_mut(key).expect("just added");
                place.stage = AllocationState::Observed(t.state);
                m.places_changed();
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
            let launched =
                was == AllocationState::Launching && place.launch_response_sequence.is_some();
            place.stage = AllocationState::Observed(t.state);
            place.recovered = false;
            place.missing = false;
            if t.state == TaskState::Running && place.running_since.is_none() {
                place.running_since = Some(now);
                debug!("{}/{}: runs on {name}", key.0, key.1);
                if let Some(job) = self.jobs.get_mut(&key.0) {
                    job.running += 1;
                    job.first_run.get_or_insert(now);
                }
            }
            if t.state != TaskState::Fetching {
                m.images.insert(spec.image.clone());
            }
            if was == AllocationState::Launching && cancelled && place.stop.is_none() {
                place.stop = Some(Stop {
                    grace_s: 0.0,
                    sent: false,
                });
                self.to_order.insert(name.clone());
            }
            m.places_changed();
            if launched {
                m.acknowledges(true, now);
            }
            return;
        }
        let cause = t.cause.unwrap_or(Cause::Error);
        place.stage = AllocationState::Exited(cause);
        let ran = place.running_since.map(|s| now - s);
        let (learnable, since) = (place.stop.is_none(), place.since);
        debug!("{}/{}: exited on {name}: {cause:?}", key.0, key.1);
        m.idle_since = now;
        m.places_changed();
        self.clear_place(key, name, ran.is_some(), now);
        match cause {
            Cause::Done => {
                self.task_done(&key.0, key.1, now);
                self.succeeded_on(name, &spec.image);
                if let (Some(ran), true, false) = (ran, learnable, spec.kind == JobKind::Service) {
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

    /// Takes in a report that its worker sent to this node, and answers it.
    pub fn heartbeat(&mut self, r: &Heartbeat, now: Time) -> HeartbeatOutcome {
        self.heartbeat_from(HeartbeatSource::Worker, r, now)
    }

    /// Takes in a worker's own report, sent here or passed on, and answers it.
    pub fn heartbeat_from(
        &mut self,
        source: HeartbeatSource,
        r: &Heartbeat,
        now: Time,
    ) -> HeartbeatOutcome {
        if r.token > self.token {
            warn!(
                "{}: has seen token {}, ours is {}",
                r.machine, r.token, self.token
            );
            self.deposed = true;
            return HeartbeatOutcome::Deposed;
        }
        if !self.take_in(r, source, now) {
            return HeartbeatOutcome::Stale;
        }
        let name: Name = r.machine.as_str().into();
        let mut commands = Vec::new();
        if let Some(m) = self.machines.get_mut(&name) {
            m.answered = now;
            m.told = m.told.max(self.token);
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
                    let earlier = (attempt >> 20) < self.first_token;
                    let recorded = key.is_none_or(|k| !unrecorded(&self.jobs, &k.0, k.1, self.cut));
                    if recorded && (earlier || r.token > self.first_token) {
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
        commands.extend(self.commands(&name, Some(r.sequence), now));
        commands.truncate(MAX_COMMANDS);
        HeartbeatOutcome::Answer(HeartbeatResponse {
            token: self.token,
            commands,
        })
    }
}

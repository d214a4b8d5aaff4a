//! Places of tasks on machines, and the proofs by which they are cleared.
//!
//! Every change to a place goes through [`ClusterState::add_place`] and [`ClusterState::clear_place`]; a place is
//! cleared only on proof that its task is gone and that no launch of it may still arrive: a newer
//! report ([`ClusterState::tasks_not_shown`]), a new incarnation, a lease that is over by our clock, or the
//! cloud's word.

use crate::coordination::cluster::{ClusterState, DRIFT, WORKER_RETRY_S};
use crate::coordination::state::{
    Allocation, AllocationId, AllocationRef, AllocationState, Machine, MachinePhase, Name,
    PlacementRecord, Stop,
};
use crate::coordination::Time;
use crate::protocol::job::JobKind;
use crate::protocol::worker::Heartbeat;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, warn};

/// A task that is put on a machine.
struct NewPlace<'a> {
    key: AllocationId,
    machine: &'a Name,
    stage: AllocationState,
}

impl ClusterState {
    /// Puts a task on a machine. The launch leaves once the record is written.
    pub(crate) fn add_place(
        &mut self,
        key: AllocationId,
        machine: &Name,
        stage: AllocationState,
        now: Time,
    ) {
        let placement_record = self.choose_placement_record(&key, machine);
        let place = NewPlace {
            key,
            machine,
            stage,
        };
        self.add_place_in(placement_record, place, now);
    }

    /// The same, where it is known which record tells of the place.
    fn add_place_in(&mut self, placement_record: usize, new: NewPlace, now: Time) {
        let (id, task, attempt) = &new.key;
        let m = self.machines.get_mut(new.machine);
        let (Some(job), Some(m)) = (self.jobs.get_mut(id), m) else {
            return;
        };
        let load = job.load();
        let Some(slot) = job.tasks.get_mut(*task as usize) else {
            return;
        };
        if m.places.contains_key(&new.key) {
            return;
        }
        let place = Allocation {
            stage: new.stage,
            since: now,
            running_since: None,
            recovered: false,
            direct_launch_token: None,
            launch_response_sequence: None,
            stop: None,
            missing: false,
            load,
        };
        m.places.insert(new.key.clone(), place);
        m.places_changed();
        slot.at.push(AllocationRef {
            machine: new.machine.clone(),
            attempt: *attempt,
            placement_record,
        });
        job.live += 1;
        let usage = self.team_use.entry(job.spec.team.clone()).or_default();
        usage.0 += load.need.cpus;
        usage.1 += load.need.gpus;
        self.enter(placement_record, new, now);
    }

    /// Enters a new place into a record.
    fn enter(&mut self, placement_record: usize, new: NewPlace, now: Time) {
        let priority = self.jobs.get(&new.key.0).map(|j| j.priority);
        let entry = &mut self.placement_records[placement_record];
        entry.insert(new.key.clone(), new.machine.clone());
        match (new.stage, priority) {
            (AllocationState::Pending, Some(priority)) => {
                entry.plan((new.key, new.machine.clone()), priority, now);
                self.urgent.insert(placement_record);
            }
            _ => {
                entry.dirty.get_or_insert(now);
            }
        }
    }

    /// Moves places that a record is too small for into others, as after a leader whose records may
    /// be larger. Until those are written, the old record stays as it is: what it told of must not be
    /// forgotten in between.
    pub(crate) fn split_placement_record(&mut self, placement_record: usize, now: Time) {
        while self.placement_records[placement_record].bytes() > self.record_bytes
            && self.placement_records[placement_record].entries().len() > 1
        {
            let last = self.placement_records[placement_record]
                .entries()
                .last()
                .cloned();
            let entry = last.expect("more than one");
            self.placement_records[placement_record].remove(&entry);
            let (key, machine) = entry;
            let to = self.choose_placement_record(&key, &machine);
            let slot = self.jobs.get_mut(&key.0);
            let slot = slot.and_then(|j| j.tasks.get_mut(key.1 as usize));
            let at = slot.and_then(|t| {
                let held = |a: &&mut AllocationRef| a.machine == machine && a.attempt == key.2;
                t.at.iter_mut().find(held)
            });
            if let Some(at) = at {
                at.placement_record = to;
            }
            let place = self.machines.get(&machine).and_then(|m| m.places.get(&key));
            let stage = place.map_or(AllocationState::Launching, |p| p.stage);
            let moved = NewPlace {
                key,
                machine: &machine,
                stage,
            };
            self.enter(to, moved, now);
            self.placement_records[placement_record]
                .shrinks_after
                .insert(to);
            self.shrinking.insert(placement_record);
            self.placement_records[placement_record]
                .dirty
                .get_or_insert(now);
        }
    }

    /// A record is written: those that waited for it to take over may shrink.
    pub(crate) fn taken_over(&mut self, by: usize) {
        let placement_records = &mut self.placement_records;
        self.shrinking.retain(|i| {
            placement_records[*i].shrinks_after.remove(&by);
            !placement_records[*i].shrinks_after.is_empty()
        });
    }

    /// The record that a new place goes into: the open one, until it is full or on its way; then one
    /// that is half empty, or a new one. Small gaps are left: places that fill them would each cost a
    /// change of a record of their own.
    fn choose_placement_record(&mut self, key: &AllocationId, machine: &Name) -> usize {
        let most = self.record_bytes;
        let takes =
            |s: &PlacementRecord| s.is_idle() && s.bytes() + s.bytes_for(key, machine) <= most;
        if !self
            .placement_records
            .get(self.open_placement_record)
            .is_some_and(takes)
        {
            let half_empty = |s: &PlacementRecord| takes(s) && s.bytes() <= most / 2;
            let with_room = self.placement_records.iter().enumerate();
            let with_room = with_room.filter(|(_, s)| half_empty(s));
            let emptiest = with_room.min_by_key(|(_, s)| (!s.has_planned(), s.bytes()));
            self.open_placement_record = emptiest.map_or(self.placement_records.len(), |(i, _)| i);
            if self.open_placement_record == self.placement_records.len() {
                self.placement_records.push(PlacementRecord::default());
            }
        }
        self.open_placement_record
    }

    /// The record of which tasks have completed is out of date.
    pub(crate) fn touch(&mut self, id: &Name, task: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let i = task as usize / self.cut.tasks_per_shard;
        let completion_record = &mut job.completion_records[i];
        if completion_record.dirty.is_none() {
            completion_record.dirty = Some(now);
            self.lagging.push_back((now, id.clone(), i));
        }
    }

    /// The task is surely not on the machine any more (or, `done`, has completed): it counts no
    /// longer, and may be placed anew.
    pub(crate) fn clear_place(&mut self, key: &AllocationId, machine: &Name, ran: bool, now: Time) {
        let (id, task, attempt) = key;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(slot) = job.tasks.get_mut(*task as usize) else {
            return;
        };
        let held = |a: &AllocationRef| a.machine == *machine && a.attempt == *attempt;
        let Some(i) = slot.at.iter().position(held) else {
            return;
        };
        let at = slot.at.swap_remove(i);
        job.live -= 1;
        job.left_at = Some(now);
        job.running -= u32::from(ran);
        job.first_open = job.first_open.min(*task as usize);
        if let Some(usage) = self.team_use.get_mut(&job.spec.team) {
            usage.0 -= job.spec.cpus;
            usage.1 -= job.spec.gpus;
        }
        if job.is_over() {
            self.mark_over(id);
        }
        self.stirred = true;
        let placement_record = &mut self.placement_records[at.placement_record];
        if placement_record.remove(&(key.clone(), machine.clone())) {
            placement_record.dirty.get_or_insert(now);
        }
        self.drop_ended(id);
    }

    pub(crate) fn stop(&mut self, machine: &Name, key: &AllocationId, grace_s: f64, now: Time) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(place) = m.places.get_mut(key) else {
            return;
        };
        match place.stage {
            AllocationState::Exited(_) => {}
            AllocationState::Pending => {
                // The launch has not left, and never will.
                m.places.remove(key);
                m.places_changed();
                self.clear_place(key, machine, false, now);
            }
            AllocationState::Launching | AllocationState::Observed(_) => {
                if place.stop.is_none_or(|s| grace_s < s.grace_s) {
                    place.stop = Some(Stop {
                        grace_s,
                        sent: false,
                    });
                    m.places_changed();
                    self.to_order.insert(machine.clone());
                }
            }
        }
    }

    /// The machine and all on it are gone, by the cloud's word.
    pub(crate) fn machine_gone(&mut self, name: &Name, now: Time) {
        let Some(m) = self.machines.remove(name) else {
            return;
        };
        for (key, place) in &m.places {
            if place.is_live() {
                self.clear_place(key, name, place.running_since.is_some(), now);
                self.replica_lost(&key.0, now);
            }
        }
        self.gone.insert(name.clone(), now);
    }

    pub(crate) fn replica_lost(&mut self, id: &Name, now: Time) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.spec.kind == JobKind::Gang && !job.cancelled {
            // The rest of a gang is of no use without this task.
            self.stop_all(id, 0.0, now);
        }
    }

    /// Forgets what was on a machine whose worker has begun a new incarnation.
    pub(crate) fn end_incarnation(&mut self, name: &Name, now: Time) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        let places = std::mem::take(&mut m.places);
        let mut kept = BTreeMap::new();
        let mut cleared = Vec::new();
        for (key, place) in places {
            // What has not been sent can still be sent to the new incarnation.
            if place.stage == AllocationState::Pending {
                kept.insert(key, place);
            } else if place.is_live() {
                cleared.push((key, place.running_since.is_some()));
            }
        }
        m.places = kept;
        m.places_changed();
        if !cleared.is_empty() {
            warn!("{name}: new incarnation, {} tasks lost", cleared.len());
        }
        for (key, ran) in cleared {
            self.clear_place(&key, name, ran, now);
            self.replica_lost(&key.0, now);
        }
    }

    pub(crate) fn tasks_not_shown(
        &mut self,
        name: &Name,
        shown: &BTreeSet<AllocationId>,
        r: &Heartbeat,
        now: Time,
    ) {
        let first_token = self.first_token;
        let jobs = &self.jobs;
        let m = self.machines.get_mut(name).expect("known machine");
        let reported = m.reported;
        // An answer brought a launch, and a report after it shows nothing of that.
        let unacknowledged = m.places.iter().any(|(key, p)| {
            let answered = p.launch_response_sequence.is_some_and(|s| s < reported);
            p.stage == AllocationState::Launching
                && p.stop.is_none()
                && answered
                && !shown.contains(key)
        });
        if unacknowledged {
            m.acknowledges(false, now);
        }
        let mut lost = Vec::new();
        m.places.retain(|key, place| {
            if shown.contains(key) {
                return true;
            }
            let over = place.launches_are_over(r.token, reported);
            let gone = match place.stage {
                AllocationState::Pending => false,
                // The worker forgot it as it was told.
                AllocationState::Exited(_) => return !over,
                // Launched by an earlier leader: nothing of it arrives once the worker has seen
                // our token.
                AllocationState::Launching if place.recovered => r.token >= first_token,
                AllocationState::Launching => {
                    let unwanted =
                        place.stop.is_some() || jobs.get(&key.0).is_none_or(|j| j.cancelled);
                    unwanted && over
                }
                AllocationState::Observed(_) => over && r.token >= first_token,
            };
            place.missing = !gone && matches!(place.stage, AllocationState::Observed(_));
            if gone {
                lost.push((key.clone(), place.running_since.is_some()));
            }
            !gone
        });
        m.places_changed();
        for (key, ran) in lost {
            debug!("{}/{}: is not on {name}", key.0, key.1);
            self.clear_place(&key, name, ran, now);
            self.replica_lost(&key.0, now);
        }
    }

    /// When a worker's lease was last renewed at the latest; `None` where an earlier leader may
    /// still renew it. A worker that has seen our token is renewed by us alone, and so is every
    /// worker once the other controllers have promised as much. An incarnation that was heard of may
    /// have begun just then, and what is sent to it runs in no later one.
    pub(crate) fn renewed_by(&self, m: &Machine) -> Option<Time> {
        let known = m.answered.max(m.heard.unwrap_or(m.answered));
        if m.token >= self.first_token {
            Some(known.max(self.elected_at))
        } else {
            self.promised.map(|t| t.max(known))
        }
    }

    /// When a worker's lease is over by our clock, it has killed and forgotten every task.
    pub(crate) fn expire_leases(&mut self, now: Time) {
        let lease_s = self.settings.cluster.workers.lease_s;
        let over: Vec<Name> = self
            .machines
            .values()
            .filter(|m| m.phase != MachinePhase::Booting)
            .filter(|m| {
                let renewed = self.renewed_by(m);
                renewed.is_some_and(|t| now - t > lease_s * DRIFT + WORKER_RETRY_S)
            })
            .filter(|m| {
                m.places
                    .values()
                    .any(|p| p.stage != AllocationState::Pending)
            })
            .map(|m| m.name.clone())
            .collect();
        for name in over {
            warn!("{name}: silent for longer than its lease");
            self.end_incarnation(&name, now);
            if let Some(m) = self.machines.get_mut(&name) {
                // Whatever it says of that incarnation is of the past. Nothing is sent to the next one
                // before it is heard of: when it begins, and so when it ends, is not known.
                m.incarnation += 1;
                m.sequence = 0;
                m.reported = 0;
                m.heard = None;
            }
        }
    }

    /// Loads a place that an earlier leader recorded.
    pub(crate) fn recover_place(
        &mut self,
        placement_record: usize,
        key: AllocationId,
        machine: &Name,
        now: Time,
    ) {
        // The record names the machine only: its own report or the cloud's list tells the rest.
        self.machines.entry(machine.clone()).or_insert_with(|| {
            let mut m = Machine::new(machine.clone(), "".into(), "".into(), false, now);
            m.phase = MachinePhase::Up;
            m
        });
        let place = NewPlace {
            key: key.clone(),
            machine,
            stage: AllocationState::Launching,
        };
        self.add_place_in(placement_record, place, now);
        let m = self.machines.get_mut(machine);
        if let Some(p) = m.and_then(|m| m.places.get_mut(&key)) {
            p.recovered = true;
        }
    }
}

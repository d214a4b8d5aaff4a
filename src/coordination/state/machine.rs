//! Machines, with their worker sessions and allocations.

use super::worker_session::WorkerSession;
use super::{
    Allocation, AllocationId, AllocationState, JobId, MachineName, MachineTypeName, Resources,
    ZoneName,
};
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;
use crate::protocol::ids::Incarnation;
use crate::protocol::worker::TaskState;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// The lifecycle phase of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachinePhase {
    /// Rented; no heartbeat has been received yet.
    Booting,
    /// The machine's worker has sent heartbeats.
    Up,
    /// The machine is being returned; it is gone once the cloud has confirmed the return with a 200.
    Returning,
}

/// The failures of jobs on a machine.
#[derive(Clone, Debug, Default)]
pub struct FailureHistory {
    /// Jobs whose tasks have failed on this machine since a task last completed on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// The jobs in `failed_jobs` that have since completed tasks on other machines.
    pub completed_elsewhere: BTreeSet<JobId>,
    /// Whether the machine is considered faulty and gets no new tasks.
    pub quarantined: bool,
}

/// A machine, its worker session and its allocations.
pub struct Machine {
    /// The machine's name, which is never reused.
    pub name: MachineName,
    /// The address at which the worker accepts direct commands.
    pub endpoint: Option<String>,
    /// The machine's type; empty while only its name is known, from a record.
    pub machine_type: MachineTypeName,
    /// The machine's zone; empty while only its name is known.
    pub zone: ZoneName,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// The lifecycle phase.
    pub phase: MachinePhase,
    /// When the machine was rented.
    pub rented_at: Time,
    /// Whether this leader rented the machine, so that no earlier leader can have sent anything to its
    /// worker.
    pub rented_by_this_leader: bool,
    /// When the cloud reclaims the machine, if that is announced.
    pub reclaim_at: Option<Time>,
    /// The session with the machine's worker.
    pub worker: WorkerSession,
    /// Images on the machine, as far as known from its tasks.
    pub images: BTreeSet<String>,
    /// Since when no task has been on the machine.
    pub idle_since: Time,
    /// The failures of jobs on the machine.
    pub failures: FailureHistory,
    /// Whether the machine's replicas are being moved to other machines, so that it can be returned.
    pub draining: bool,
    /// Whether a request to return the machine is in flight.
    pub return_in_flight: bool,
    /// Whether the cloud lists the machine as failed.
    pub listed_failed: bool,
    allocations: BTreeMap<AllocationId, Allocation>,
    /// Bytes of the newest heartbeat for tasks without an allocation.
    unallocated_status_bytes: usize,
    /// The cached result of `used`, cleared when an allocation changes.
    used: Cell<Option<Resources>>,
    services: Cell<usize>,
}

impl Machine {
    /// A newly rented machine.
    pub fn new(
        name: MachineName,
        machine_type: MachineTypeName,
        zone: ZoneName,
        spot: bool,
        now: Time,
    ) -> Machine {
        Machine {
            name,
            endpoint: None,
            machine_type,
            zone,
            spot,
            phase: MachinePhase::Booting,
            rented_at: now,
            rented_by_this_leader: false,
            reclaim_at: None,
            worker: WorkerSession::new(now),
            images: BTreeSet::new(),
            idle_since: now,
            failures: FailureHistory::default(),
            draining: false,
            return_in_flight: false,
            listed_failed: false,
            allocations: BTreeMap::new(),
            unallocated_status_bytes: 0,
            used: Cell::new(None),
            services: Cell::new(0),
        }
    }

    /// Sets the machine's type, zone and spot flag if only its name is known.
    pub fn set_type_if_unknown(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if self.machine_type.is_empty() {
            self.machine_type = machine_type.into();
            self.zone = zone.into();
            self.spot = spot;
        }
    }

    /// All allocations on the machine, including those whose task has exited.
    pub fn allocations(&self) -> &BTreeMap<AllocationId, Allocation> {
        &self.allocations
    }

    /// The allocations whose tasks may still be on the machine.
    pub fn live_allocations(&self) -> impl Iterator<Item = (&AllocationId, &Allocation)> {
        self.allocations.iter().filter(|(_, a)| a.is_live())
    }

    /// Mutable access to an allocation.
    pub fn allocation_mut(&mut self, id: &AllocationId) -> Option<&mut Allocation> {
        self.used.set(None);
        self.allocations.get_mut(id)
    }

    /// Mutable access to all allocations.
    pub fn allocations_mut(
        &mut self,
    ) -> impl Iterator<Item = (&AllocationId, &mut Allocation)> + '_ {
        self.used.set(None);
        self.allocations.iter_mut()
    }

    /// Adds an allocation.
    pub fn insert_allocation(&mut self, id: AllocationId, allocation: Allocation) {
        self.used.set(None);
        self.allocations.insert(id, allocation);
    }

    /// Removes an allocation.
    pub fn remove_allocation(&mut self, id: &AllocationId) -> Option<Allocation> {
        self.used.set(None);
        self.allocations.remove(id)
    }

    /// Keeps the allocations for which `keep` returns true.
    pub fn retain_allocations(&mut self, keep: impl FnMut(&AllocationId, &mut Allocation) -> bool) {
        self.used.set(None);
        self.allocations.retain(keep);
    }

    /// Sets the bytes of the newest heartbeat for tasks without an allocation.
    pub fn set_unallocated_status_bytes(&mut self, bytes: usize) {
        self.used.set(None);
        self.unallocated_status_bytes = bytes;
    }

    /// The resources of all tasks that are or may be on the machine, except those that a stop in the next
    /// command batch frees immediately. Tasks that have exited, and those without an allocation, take only
    /// bytes of the heartbeat.
    pub fn used(&self) -> Resources {
        if let Some(used) = self.used.get() {
            return used;
        }
        let services = self
            .live_allocations()
            .filter(|(_, a)| a.profile.is_service());
        self.services.set(services.count());
        let mut used = Resources::of_heartbeat(self.unallocated_status_bytes as f64);
        for allocation in self.allocations.values() {
            let request = &allocation.profile.request;
            if allocation.is_live() && !allocation.frees_at_once() {
                used.add(request);
            } else {
                used.add(&request.after_exit());
            }
        }
        self.used.set(Some(used));
        used
    }

    /// Whether a replica of a service is or may be on the machine.
    pub fn holds_services(&self) -> bool {
        self.used();
        self.services.get() > 0
    }

    /// How many allocations of arrays and gangs are on the machine, including those whose task has exited.
    pub fn batch_allocations(&self) -> usize {
        self.used();
        self.allocations.len() - self.services.get()
    }

    /// How many allocations of a job on the machine may still have their task there.
    pub fn live_allocations_of(&self, job: &JobId) -> usize {
        let first = AllocationId::new(job.clone(), 0, 0);
        let following = self.allocations.range(first..);
        let of_job = following.take_while(|(id, _)| id.job == *job);
        of_job
            .filter(|(_, allocation)| allocation.is_live())
            .count()
    }

    /// Whether a heartbeat that lists a task in this state changes nothing about its allocation.
    pub fn is_unchanged(&self, id: &AllocationId, state: TaskState) -> bool {
        self.allocations.get(id).is_some_and(|allocation| {
            let runs = state != TaskState::Running || allocation.has_run();
            let observed = allocation.state == AllocationState::Observed(state);
            let live = state != TaskState::Exited;
            observed && live && runs && !allocation.is_missing && !allocation.is_recovered
        })
    }

    /// Whether no task is or may be on the machine.
    pub fn is_empty(&self) -> bool {
        self.live_allocations().next().is_none()
    }

    /// Whether new tasks may be placed on the machine. A heartbeat alone does not prove that responses
    /// reach the worker: it may be a delayed duplicate, or the connection may work in one direction only.
    /// So the worker must have acknowledged a token of this leader's term, unless no other leader can
    /// have sent anything to it. Responses to direct commands do not renew the worker's lease, so the
    /// leader must also have responded to a heartbeat within the heartbeat timeout.
    pub fn accepts_tasks(
        &self,
        now: Time,
        heartbeat_timeout_s: f64,
        first_token: FencingToken,
    ) -> bool {
        let worker = &self.worker;
        let is_fenced = worker.acknowledged_token() >= first_token
            || self.rented_by_this_leader && worker.incarnation() == Incarnation(1);
        let last_heartbeat_at = worker.last_heartbeat_at();
        self.phase == MachinePhase::Up
            && !self.failures.quarantined
            && !self.draining
            && worker.is_responsive()
            && is_fenced
            && self.reclaim_at.is_none()
            && self.endpoint.is_some()
            && last_heartbeat_at.is_some_and(|at| now - at < heartbeat_timeout_s)
            && now - worker.last_response_at() < heartbeat_timeout_s
    }
}

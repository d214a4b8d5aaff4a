//! Machines with their workers and allocations.

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

/// What is known of a machine's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachinePhase {
    /// Rented, and no heartbeat has arrived yet.
    Booting,
    /// Its worker has sent heartbeats.
    Up,
    /// Its return is decided; it is gone once the cloud has confirmed that with a 200.
    Returning,
}

/// Which jobs have failed on a machine.
#[derive(Clone, Debug, Default)]
pub struct FailureHistory {
    /// Jobs of which tasks failed here since one last completed here.
    pub jobs_failed_here: BTreeSet<JobId>,
    /// Those of these jobs that have completed tasks elsewhere since.
    pub jobs_completed_elsewhere: BTreeSet<JobId>,
    /// Whether the machine is held to be faulty and gets no more tasks.
    pub quarantined: bool,
}

/// A machine, its worker, and the allocations on it.
pub struct Machine {
    /// Its name, which is never used again.
    pub name: MachineName,
    /// Where its worker takes direct commands.
    pub endpoint: Option<String>,
    /// The name of its type; empty while a record has told no more than its name.
    pub machine_type: MachineTypeName,
    /// Its zone; empty likewise.
    pub zone: ZoneName,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// What is known of its life.
    pub phase: MachinePhase,
    /// When it was rented.
    pub rented_at: Time,
    /// Whether this leader rented it, so that no earlier one can have sent anything to its worker.
    pub rented_by_this_leader: bool,
    /// When the cloud reclaims it.
    pub reclaim_at: Option<Time>,
    /// The exchange with its worker.
    pub worker: WorkerSession,
    /// Images that it has, as far as its tasks show.
    pub images: BTreeSet<String>,
    /// Since when no task has been on it.
    pub idle_since: Time,
    /// Which jobs have failed on it.
    pub failures: FailureHistory,
    /// Whether its replicas are being moved elsewhere, so that it can be returned.
    pub draining: bool,
    /// Whether a request to return it is in flight.
    pub return_in_flight: bool,
    /// Whether the cloud lists it as failed.
    pub listed_failed: bool,
    allocations: BTreeMap<AllocationId, Allocation>,
    /// What its allocations take, until one changes.
    used: Cell<Option<Resources>>,
    services: Cell<usize>,
}

impl Machine {
    /// A machine that boots.
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
            used: Cell::new(None),
            services: Cell::new(0),
        }
    }

    /// Sets its type and zone where a record has told no more than its name.
    pub fn describe(&mut self, machine_type: &str, zone: &str, spot: bool) {
        if self.machine_type.is_empty() {
            self.machine_type = machine_type.into();
            self.zone = zone.into();
            self.spot = spot;
        }
    }

    /// Its allocations, those included whose task has exited.
    pub fn allocations(&self) -> &BTreeMap<AllocationId, Allocation> {
        &self.allocations
    }

    /// Its allocations whose tasks may be on it.
    pub fn live_allocations(&self) -> impl Iterator<Item = (&AllocationId, &Allocation)> {
        self.allocations.iter().filter(|(_, a)| a.is_live())
    }

    /// An allocation, to be changed.
    pub fn allocation_mut(&mut self, id: &AllocationId) -> Option<&mut Allocation> {
        self.used.set(None);
        self.allocations.get_mut(id)
    }

    /// All allocations, to be changed.
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

    /// Keeps those allocations for which `keep` says so.
    pub fn retain_allocations(&mut self, keep: impl FnMut(&AllocationId, &mut Allocation) -> bool) {
        self.used.set(None);
        self.allocations.retain(keep);
    }

    /// What is or may be on it takes, but for what a stop in the same message ends at once.
    pub fn used(&self) -> Resources {
        if let Some(used) = self.used.get() {
            return used;
        }
        let services = self
            .live_allocations()
            .filter(|(_, a)| a.profile.is_service());
        self.services.set(services.count());
        let mut used = Resources::default();
        for (_, allocation) in self.live_allocations() {
            if !allocation.frees_at_once() {
                used.add(&allocation.profile.request);
            }
        }
        self.used.set(Some(used));
        used
    }

    /// Whether a replica of a service is or may be on it.
    pub fn holds_services(&self) -> bool {
        self.used();
        self.services.get() > 0
    }

    /// Whether a heartbeat that shows a task in this state tells nothing new of its allocation.
    pub fn is_unchanged(&self, id: &AllocationId, state: TaskState) -> bool {
        self.allocations.get(id).is_some_and(|allocation| {
            let runs = state != TaskState::Running || allocation.has_run();
            let observed = allocation.state == AllocationState::Observed(state);
            let live = state != TaskState::Exited;
            observed && live && runs && !allocation.is_missing && !allocation.is_recovered
        })
    }

    /// Whether no task is or may be on it.
    pub fn is_empty(&self) -> bool {
        self.live_allocations().next().is_none()
    }

    /// Whether new tasks may be placed on it. A heartbeat alone is no sign that responses reach the
    /// worker: it may be a late copy, or the way to the worker may be cut. So the worker must have
    /// shown a token of this leadership, unless nobody else can have sent anything to it. Responses to
    /// direct commands do not renew its lease, so it must have sent heartbeats by itself of late.
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

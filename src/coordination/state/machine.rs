//! Machines and their workers.

use super::{Allocation, AllocationId, AllocationState, Name, Resources};
use crate::coordination::Time;
use crate::protocol::worker::TaskState;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a machine's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachinePhase {
    Booting,
    Up,
    /// Its return has been decided; gone with the cloud's 200.
    Returning,
}

/// Answers in a row without effect after which a worker counts as out of reach.
pub const MAX_UNACKNOWLEDGED: u32 = 2;

/// A machine, its worker, and the places on it.
pub struct Machine {
    pub name: Name,
    pub endpoint: Option<String>,
    pub kind: Name,
    pub zone: Name,
    pub spot: bool,
    pub phase: MachinePhase,
    pub rented: Time,
    /// Rented by this leader: no earlier one can have spoken to its worker.
    pub ours: bool,
    pub incarnation: u64,
    pub sequence: u64,
    /// The number of its newest own report in this incarnation; answers to direct commands have later
    /// numbers too.
    pub reported: u64,
    pub token: u64,
    /// When it was last heard of, and when a report of it was last answered.
    pub heard: Option<Time>,
    pub answered: Time,
    /// When the cloud takes it away.
    pub taken_at: Option<Time>,
    pub places: BTreeMap<AllocationId, Allocation>,
    /// What its places take, until one changes.
    used: Cell<Option<Resources>>,
    services: Cell<usize>,
    /// Images that it has, as far as its tasks show.
    pub images: BTreeSet<String>,
    /// The highest token that was sent to it in this incarnation.
    pub told: u64,
    /// Answers in a row that later reports show to have changed nothing, and since when it counts
    /// as out of reach by that.
    pub unacknowledged: u32,
    pub unresponsive_since: Option<Time>,
    pub order_in_flight: bool,
    /// When it last gave no answer to a command, since it was last heard.
    pub unanswered: Option<Time>,
    pub no_orders_until: Time,
    pub idle_since: Time,
    /// Tasks of these jobs failed on it since one last completed there; and those of these jobs did
    /// that have completed tasks elsewhere since.
    pub failures: BTreeSet<Name>,
    pub faults: BTreeSet<Name>,
    pub quarantined: bool,
    /// Its replicas are being moved elsewhere, so that it can be returned.
    pub draining: bool,
    pub return_in_flight: bool,
    pub listed_failed: bool,
}

impl Machine {
    pub fn new(name: Name, kind: Name, zone: Name, spot: bool, now: Time) -> Machine {
        Machine {
            name,
            endpoint: None,
            kind,
            zone,
            spot,
            phase: MachinePhase::Booting,
            rented: now,
            ours: false,
            incarnation: 0,
            sequence: 0,
            reported: 0,
            token: 0,
            heard: None,
            answered: now,
            taken_at: None,
            places: BTreeMap::new(),
            used: Cell::new(None),
            services: Cell::new(0),
            images: BTreeSet::new(),
            told: 0,
            unacknowledged: 0,
            unresponsive_since: None,
            order_in_flight: false,
            unanswered: None,
            no_orders_until: 0.0,
            idle_since: now,
            failures: BTreeSet::new(),
            faults: BTreeSet::new(),
            quarantined: false,
            draining: false,
            return_in_flight: false,
            listed_failed: false,
        }
    }

    /// Takes in what it is, where a record has told no more than its name.
    pub fn describe(&mut self, kind: &str, zone: &str, spot: bool) {
        if self.kind.is_empty() {
            (self.kind, self.zone, self.spot) = (kind.into(), zone.into(), spot);
        }
    }

    /// Takes in whether the worker has done what it was told last.
    pub fn acknowledges(&mut self, acknowledged: bool, now: Time) {
        if acknowledged {
            self.unacknowledged = 0;
            self.unresponsive_since = None;
            return;
        }
        self.unacknowledged += 1;
        if self.unacknowledged >= MAX_UNACKNOWLEDGED {
            self.unresponsive_since.get_or_insert(now);
        }
    }

    /// What is or may be on it takes, but for what a stop in the same message ends at once.
    pub fn used(&self) -> Resources {
        if let Some(used) = self.used.get() {
            return used;
        }
        let services = self.live().filter(|(_, p)| p.load.run_s.is_none());
        self.services.set(services.count());
        let mut used = Resources::default();
        for (_, place) in self.live().filter(|(_, p)| !p.leaves_at_once()) {
            used.add(&place.load.need);
        }
        self.used.set(Some(used));
        used
    }

    pub fn holds_services(&self) -> bool {
        self.used();
        self.services.get() > 0
    }

    /// To be called whenever a place has changed.
    pub fn places_changed(&self) {
        self.used.set(None);
    }

    pub fn live(&self) -> impl Iterator<Item = (&AllocationId, &Allocation)> {
        self.places.iter().filter(|(_, p)| p.is_live())
    }

    /// Whether a report that shows a task so tells nothing new of its place.
    pub fn is_known_so(&self, key: &AllocationId, state: TaskState) -> bool {
        self.places.get(key).is_some_and(|place| {
            let runs = state != TaskState::Running || place.running_since.is_some();
            let seen =
                place.stage == AllocationState::Observed(state) && state != TaskState::Exited;
            seen && runs && !place.missing && !place.recovered
        })
    }

    pub fn is_empty(&self) -> bool {
        self.live().next().is_none()
    }

    /// Whether new tasks may be placed on it. A report alone is no sign that the worker hears us:
    /// it may be a late copy, or the way to the worker may be cut. So it must have shown a token
    /// of this leadership, unless nobody else can have spoken to it. Answers to direct commands do
    /// not renew its lease, so it must have sent reports of its own of late.
    pub fn takes_tasks(&self, now: Time, silence_s: f64, first_token: u64) -> bool {
        self.phase == MachinePhase::Up
            && !self.quarantined
            && !self.draining
            && self.unacknowledged < MAX_UNACKNOWLEDGED
            && self.unanswered.is_none()
            && (self.token >= first_token || self.ours && self.incarnation == 1)
            && self.taken_at.is_none()
            && self.endpoint.is_some()
            && self.heard.is_some_and(|t| now - t < silence_s)
            && now - self.answered < silence_s
    }
}

//! The reservation of the queue's head, and which tasks may start without delaying it.

use crate::coordination::state::Resources;
use crate::coordination::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Resources that a task frees at its predicted end.
#[derive(Clone, Copy, Debug)]
pub struct FutureRelease {
    /// The predicted end of the task.
    pub at: Time,
    /// The resources that the task frees.
    pub freed: Resources,
}

/// The free resources of a machine, now and at the predicted ends of its tasks.
pub struct FutureResources {
    /// The machine's index in the cycle.
    pub machine: usize,
    /// The resources that are free now.
    pub free: Resources,
    /// The resources that the machine's tasks free at their predicted ends.
    pub releases: Vec<FutureRelease>,
}

/// A machine that is reserved for a task of the head.
#[derive(Clone, Debug, PartialEq)]
struct ReservedMachine {
    /// When the head's task starts.
    at: Time,
    /// The resources that remain free when the task has started.
    spare: Resources,
}

/// Where and when the queue's head starts, by the current predictions.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// When the head's next task starts.
    pub at: Time,
    /// The machines that are reserved for the head's tasks.
    reserved: BTreeMap<usize, ReservedMachine>,
    /// For a gang, all machines that it may use are reserved, because it needs many of them at once.
    reserved_for_gang: BTreeSet<usize>,
}

/// The earliest start of a task on a machine, on which it may not fit now; `None` if it never fits.
fn earliest_start(
    now: Time,
    request: &Resources,
    machine: &mut FutureResources,
) -> Option<ReservedMachine> {
    machine.releases.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut free = machine.free;
    let mut at = now;
    let mut releases = machine.releases.iter();
    while !free.fits(request) {
        let release = releases.next()?;
        at = at.max(release.at);
        free.add(&release.freed);
    }
    // Resources of other tasks that end by then are spare too.
    for release in releases.filter(|release| release.at <= at) {
        free.add(&release.freed);
    }
    free.subtract(request);
    Some(ReservedMachine { at, spare: free })
}

/// The earliest starts of `tasks` tasks that fit nowhere now, one task per machine.
pub fn reserve(
    now: Time,
    request: &Resources,
    tasks: usize,
    machines: Vec<FutureResources>,
) -> Option<Reservation> {
    let mut starts: Vec<(usize, ReservedMachine)> = Vec::new();
    for mut machine in machines {
        if let Some(start) = earliest_start(now, request, &mut machine) {
            starts.push((machine.machine, start));
        }
    }
    starts.sort_by(|(a_machine, a), (b_machine, b)| {
        a.at.total_cmp(&b.at).then(a_machine.cmp(b_machine))
    });
    Some(Reservation {
        at: starts.first()?.1.at,
        reserved: starts.into_iter().take(tasks).collect(),
        reserved_for_gang: BTreeSet::new(),
    })
}

/// The earliest time at which all `tasks` tasks can start together, with at most `max_per_zone` in each
/// zone, by the predicted ends of the tasks that run on the machines of these zones.
pub fn reserve_gang(
    now: Time,
    request: &Resources,
    tasks: u32,
    max_per_zone: u32,
    zones: &[Vec<FutureResources>],
) -> Option<Reservation> {
    let mut slots: Vec<u32> = Vec::new();
    // The zone and the free resources of each machine.
    let mut machines: Vec<(usize, Resources)> = Vec::new();
    // Each release, with the index of its machine in `machines`.
    let mut releases: Vec<(usize, FutureRelease)> = Vec::new();
    for (zone, machines_of_zone) in zones.iter().enumerate() {
        slots.push(machines_of_zone.iter().map(|m| m.free.slots(request)).sum());
        for machine in machines_of_zone {
            let position = machines.len();
            releases.extend(machine.releases.iter().map(|release| (position, *release)));
            machines.push((zone, machine.free));
        }
    }
    releases.sort_by(|(_, a), (_, b)| a.at.total_cmp(&b.at));
    let usable = |slots: &[u32]| -> u32 { slots.iter().map(|n| n.min(&max_per_zone)).sum() };
    let mut at = now;
    let mut releases = releases.into_iter();
    while usable(&slots) < tasks {
        let (position, release) = releases.next()?;
        let (zone, free) = &mut machines[position];
        let before = free.slots(request);
        free.add(&release.freed);
        slots[*zone] += free.slots(request) - before;
        at = at.max(release.at);
    }
    Some(Reservation {
        at,
        reserved: BTreeMap::new(),
        reserved_for_gang: zones.iter().flatten().map(|m| m.machine).collect(),
    })
}

impl Reservation {
    /// Whether a task that starts now on `machine` and ends at `end` does not delay the reservation.
    pub fn allows(&self, machine: usize, request: &Resources, end: Time) -> bool {
        match self.reserved.get(&machine) {
            Some(reserved) => end <= reserved.at || reserved.spare.fits(request),
            None => !self.reserved_for_gang.contains(&machine) || end <= self.at,
        }
    }

    /// Accounts for a task that is backfilled on a machine.
    pub fn admit(&mut self, machine: usize, request: &Resources, end: Time) {
        if let Some(reserved) = self.reserved.get_mut(&machine) {
            if end > reserved.at {
                reserved.spare.subtract(request);
            }
        }
    }
}

//! The head's reservation, and what may be started without delaying it.

use crate::coordination::state::Resources;
use crate::coordination::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Resources that come free at a predicted end.
#[derive(Clone, Copy, Debug)]
pub struct FutureRelease {
    /// The predicted end.
    pub at: Time,
    /// What comes free then.
    pub freed: Resources,
}

/// A machine as the reservation sees it: what is free now and what comes free when.
pub struct FutureResources {
    /// The machine's position in the cycle.
    pub machine: usize,
    /// What is free now.
    pub free: Resources,
    /// What its tasks free at their predicted ends.
    pub releases: Vec<FutureRelease>,
}

/// A machine that is held for a task of the head.
#[derive(Clone, Debug, PartialEq)]
struct HeldMachine {
    /// When the task starts.
    at: Time,
    /// What is left over by then.
    spare: Resources,
}

/// Where and when the queue's head starts, by the predictions at hand.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// When its next task starts.
    pub at: Time,
    /// The machines that are held for its tasks.
    held: BTreeMap<usize, HeldMachine>,
    /// For a gang: it needs room on many machines at once, so all that it may use are held for it.
    held_for_gang: BTreeSet<usize>,
}

/// When and how a machine can take a task that may not fit now; `None` if it never can.
fn earliest_start(
    now: Time,
    request: &Resources,
    machine: &mut FutureResources,
) -> Option<HeldMachine> {
    machine.releases.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut free = machine.free;
    let mut at = now;
    let mut releases = machine.releases.iter();
    while !free.fits(request) {
        let release = releases.next()?;
        at = at.max(release.at);
        free.add(&release.freed);
    }
    // What ends by then as well is spare too.
    for release in releases.filter(|release| release.at <= at) {
        free.add(&release.freed);
    }
    free.take(request);
    Some(HeldMachine { at, spare: free })
}

/// The earliest starts of so many tasks, one a machine, that fit nowhere now.
pub fn reserve(
    now: Time,
    request: &Resources,
    tasks: usize,
    machines: Vec<FutureResources>,
) -> Option<Reservation> {
    let mut starts: Vec<(usize, HeldMachine)> = Vec::new();
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
        held: starts.into_iter().take(tasks).collect(),
        held_for_gang: BTreeSet::new(),
    })
}

/// The earliest start of so many tasks at once, of which each zone may hold so many, by the
/// predicted ends of what runs on the machines of these zones.
pub fn reserve_gang(
    now: Time,
    request: &Resources,
    tasks: u32,
    max_per_zone: u32,
    zones: &[Vec<FutureResources>],
) -> Option<Reservation> {
    let mut slots: Vec<u32> = Vec::new();
    // Of each machine: its zone and what is free.
    let mut machines: Vec<(usize, Resources)> = Vec::new();
    // With the position of the machine in `machines`.
    let mut releases: Vec<(usize, FutureRelease)> = Vec::new();
    for (zone, of_zone) in zones.iter().enumerate() {
        slots.push(of_zone.iter().map(|m| m.free.slots(request)).sum());
        for machine in of_zone {
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
        held: BTreeMap::new(),
        held_for_gang: zones.iter().flatten().map(|m| m.machine).collect(),
    })
}

impl Reservation {
    /// Whether a task that is started now on `machine`, and ends at `end`, leaves it undelayed.
    pub fn allows(&self, machine: usize, request: &Resources, end: Time) -> bool {
        match self.held.get(&machine) {
            Some(held) => end <= held.at || held.spare.fits(request),
            None => !self.held_for_gang.contains(&machine) || end <= self.at,
        }
    }

    /// Accounts for a task that was let pass.
    pub fn admit(&mut self, machine: usize, request: &Resources, end: Time) {
        if let Some(held) = self.held.get_mut(&machine) {
            if end > held.at {
                held.spare.take(request);
            }
        }
    }
}

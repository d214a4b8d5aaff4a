//! The head's reservation, and what may be started without delaying it.

use crate::coordination::state::Resources;
use crate::coordination::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A machine as the reservation sees it: what is free now and what comes free when.
pub struct Frees {
    pub machine: usize,
    pub room: Resources,
    /// Predicted ends of its tasks with the room that each frees.
    pub ends: Vec<(Time, Resources)>,
}

/// Where and when the queue's head starts, by the predictions at hand.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// When its next task starts.
    pub at: Time,
    /// The machines that are held for its tasks: until when, and what is left over by then.
    held: BTreeMap<usize, (Time, Resources)>,
    /// For a gang: it needs room on many machines at once, so all that it may use are held for it.
    whole: BTreeSet<usize>,
}

/// The earliest starts of so many tasks, one a machine, that fit nowhere now.
pub fn reserve(
    now: Time,
    need: &Resources,
    tasks: usize,
    machines: Vec<Frees>,
) -> Option<Reservation> {
    let mut starts: Vec<(Time, usize, Resources)> = Vec::new();
    for mut m in machines {
        m.ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut room = m.room;
        let mut at = now;
        let mut ends = m.ends.iter().peekable();
        while !room.fits(need) {
            let Some((end, freed)) = ends.next() else {
                break;
            };
            at = at.max(*end);
            room.add(freed);
        }
        if !room.fits(need) {
            continue;
        }
        // What ends by then as well is spare too.
        for (end, freed) in ends {
            if *end <= at {
                room.add(freed);
            }
        }
        room.take(need);
        starts.push((at, m.machine, room));
    }
    starts.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let held = starts.iter().take(tasks);
    Some(Reservation {
        at: starts.first()?.0,
        held: held.map(|(at, i, spare)| (*i, (*at, *spare))).collect(),
        whole: BTreeSet::new(),
    })
}

/// The earliest start of so many tasks at once, of which each zone may hold so many, by the
/// predicted ends of what runs on the machines of these zones.
pub fn reserve_gang(
    now: Time,
    need: &Resources,
    tasks: u32,
    most_in_zone: u32,
    zones: &[Vec<Frees>],
) -> Option<Reservation> {
    let mut slots: Vec<u32> = Vec::new();
    let mut machines: Vec<(usize, Resources)> = Vec::new();
    let mut ends: Vec<(Time, usize, Resources)> = Vec::new();
    for (zone, of_zone) in zones.iter().enumerate() {
        slots.push(of_zone.iter().map(|m| m.room.slots(need)).sum());
        for m in of_zone {
            let ends_here = m.ends.iter();
            ends.extend(ends_here.map(|(end, room)| (*end, machines.len(), *room)));
            machines.push((zone, m.room));
        }
    }
    ends.sort_by(|a, b| a.0.total_cmp(&b.0));
    let usable = |slots: &[u32]| -> u32 { slots.iter().map(|n| n.min(&most_in_zone)).sum() };
    let mut at = now;
    let mut ends = ends.into_iter();
    while usable(&slots) < tasks {
        let (end, i, freed) = ends.next()?;
        let (zone, room) = &mut machines[i];
        let before = room.slots(need);
        room.add(&freed);
        slots[*zone] += room.slots(need) - before;
        at = at.max(end);
    }
    Some(Reservation {
        at,
        held: BTreeMap::new(),
        whole: zones.iter().flatten().map(|m| m.machine).collect(),
    })
}

impl Reservation {
    /// Whether a task that is started now on `machine`, and ends at `end`, leaves it undelayed.
    pub fn allows(&self, machine: usize, need: &Resources, end: Time) -> bool {
        match self.held.get(&machine) {
            Some((at, spare)) => end <= *at || spare.fits(need),
            None => !self.whole.contains(&machine) || end <= self.at,
        }
    }

    /// Accounts for a task that was let pass.
    pub fn admit(&mut self, machine: usize, need: &Resources, end: Time) {
        if let Some((at, spare)) = self.held.get_mut(&machine) {
            if end > *at {
                spare.take(need);
            }
        }
    }
}

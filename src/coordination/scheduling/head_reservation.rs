//! The reservation of the first job that finds no room.

use super::backfill::{reserve, reserve_gang, FutureRelease, FutureResources, Reservation};
use super::cycle::SchedulingCycle;
use crate::coordination::state::{Job, ZoneName};
use std::collections::BTreeMap;
use tracing::debug;

/// The first job that found no room, and its reservation: computed only when another job has found
/// room, as on a full cluster it would hold nobody up and cost the most of a cycle.
#[derive(Default)]
pub(super) struct HeadReservation<'a> {
    blocked: Vec<&'a Job>,
    /// For how many of them a reservation was computed.
    tried: usize,
    found: Option<Reservation>,
}

impl<'a> HeadReservation<'a> {
    /// Notes a job that found no room.
    pub(super) fn push_blocked(&mut self, job: &'a Job) {
        self.blocked.push(job);
    }

    /// The reservation of the first blocked job that can have one.
    pub(super) fn get(&mut self, cycle: &SchedulingCycle) -> Option<&mut Reservation> {
        while self.found.is_none() && self.tried < self.blocked.len() {
            self.found = reservation(cycle, self.blocked[self.tried]);
            self.tried += 1;
        }
        self.found.as_mut()
    }
}

/// Where a job starts, by the predicted ends of what runs.
fn reservation(cycle: &SchedulingCycle, job: &Job) -> Option<Reservation> {
    let found = if job.is_gang() {
        gang_reservation(cycle, job)
    } else {
        // At one task a reservation would hold nothing among hundreds of machines.
        let machines = cycle.allowed(job).map(|i| future_resources(cycle, i));
        let waiting = job.unplaced_count() as usize;
        reserve(cycle.now, &job.request(), waiting, machines.collect())
    };
    if let Some(reservation) = &found {
        let start_s = reservation.at - cycle.now;
        debug!(job = %job.id, start_s = format_args!("{start_s:.0}"), "job reserves machines");
    }
    found
}

/// A gang that must be in one zone reserves in the zone in which it starts first.
fn gang_reservation(cycle: &SchedulingCycle, job: &Job) -> Option<Reservation> {
    let mut by_zone: BTreeMap<&ZoneName, Vec<FutureResources>> = BTreeMap::new();
    for i in cycle.allowed(job) {
        let of_zone = by_zone.entry(&cycle.machines[i].machine.zone).or_default();
        of_zone.push(future_resources(cycle, i));
    }
    let zones: Vec<Vec<FutureResources>> = by_zone.into_values().collect();
    let (request, waiting) = (job.request(), job.unplaced_count());
    let reserve_in = |zones: &[Vec<FutureResources>]| {
        reserve_gang(cycle.now, &request, waiting, job.max_per_zone(), zones)
    };
    if !job.spec.one_zone {
        return reserve_in(&zones);
    }
    let found = zones.chunks(1).filter_map(reserve_in);
    found.min_by(|a, b| a.at.total_cmp(&b.at))
}

fn future_resources(cycle: &SchedulingCycle, i: usize) -> FutureResources {
    let machine = cycle.machines[i].machine;
    cycle.count_examined(machine.allocations().len());
    let releases = machine.live_allocations().map(|(_, a)| FutureRelease {
        at: a.predicted_end(cycle.now),
        freed: a.profile.request,
    });
    FutureResources {
        machine: i,
        free: cycle.machines[i].free_for_batches(),
        releases: releases.filter(|r| r.at.is_finite()).collect(),
    }
}

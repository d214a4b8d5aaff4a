//! The reservation of the first blocked job.

use super::backfill::{reserve, reserve_gang, FutureRelease, FutureResources, Reservation};
use super::cycle::SchedulingCycle;
use crate::coordination::state::{Job, Machine, ZoneName};
use crate::coordination::Time;
use std::collections::BTreeMap;
use tracing::debug;

/// The blocked jobs and the reservation of the first of them. The reservation is computed only when
/// another job could be placed: on a full cluster no job would be affected by it, and computing it
/// would take most of the cycle.
#[derive(Default)]
pub(super) struct HeadReservation<'a> {
    blocked: Vec<&'a Job>,
    /// How many of the blocked jobs a reservation was tried for.
    tried: usize,
    found: Option<Reservation>,
}

impl<'a> HeadReservation<'a> {
    /// Adds a job for which no machine has enough free resources.
    pub(super) fn push_blocked(&mut self, job: &'a Job) {
        self.blocked.push(job);
    }

    /// The reservation of the first blocked job for which one is possible.
    pub(super) fn get(&mut self, cycle: &SchedulingCycle) -> Option<&mut Reservation> {
        while self.found.is_none() && self.tried < self.blocked.len() {
            self.found = reservation(cycle, self.blocked[self.tried]);
            self.tried += 1;
        }
        self.found.as_mut()
    }
}

/// Computes a job's reservation from the predicted ends of running tasks.
fn reservation(cycle: &SchedulingCycle, job: &Job) -> Option<Reservation> {
    let found = if job.is_gang() {
        gang_reservation(cycle, job)
    } else {
        // One machine is reserved for each unplaced task: a single reserved machine among hundreds would
        // protect nothing.
        let machines = cycle.allowed(job).map(|i| future_resources(cycle, i));
        let waiting = job.unplaced_count() as usize;
        reserve(cycle.now, &job.request(), waiting, machines.collect())
    };
    if let Some(reservation) = &found {
        let start_s = reservation.at - cycle.now;
        debug!(
            job = %job.id,
            start_s = format_args!("{start_s:.0}"),
            "reserving machines for a blocked job"
        );
    }
    found
}

/// Computes a gang's reservation; a gang that must be in one zone reserves machines of the zone in which
/// it can start first.
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
    let forget_s = cycle.forget_s(i);
    let releases: Vec<FutureRelease> = if forget_s > 0.0 {
        releases_with_forgetting(machine, cycle.now, forget_s)
    } else {
        let live = machine.live_allocations();
        let releases = live.map(|(_, a)| FutureRelease {
            at: a.predicted_end(cycle.now),
            freed: a.profile.request,
        });
        releases.filter(|r| r.at.is_finite()).collect()
    };
    FutureResources {
        machine: i,
        free: cycle.machines[i].free_for_batches(),
        releases,
    }
}

/// What the tasks of a machine free at their predicted ends, and what they free when the worker has forgotten
/// them, `forget_s` later.
fn releases_with_forgetting(machine: &Machine, now: Time, forget_s: f64) -> Vec<FutureRelease> {
    let mut releases = Vec::new();
    for allocation in machine.allocations().values() {
        let request = &allocation.profile.request;
        let mut end = now;
        if allocation.is_live() {
            end = allocation.predicted_end(now);
            releases.push(FutureRelease {
                at: end,
                freed: request.freed_by_exit(),
            });
        }
        releases.push(FutureRelease {
            at: end + forget_s,
            freed: request.after_exit(),
        });
    }
    releases.retain(|release| release.at.is_finite());
    releases
}

//! The demand for machines: for waiting services, for expected replicas, and for batches (arrays and
//! gangs).

mod batches;
mod gangs;
mod supply;

use super::Autoscaler;
use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{Job, MachinePhase, Resources};
use crate::coordination::Time;
use crate::protocol::job::JobSpec;
use std::iter::repeat_n;
use std::sync::Arc;
use supply::slots_by_zone;

/// Tasks with equal requests for which machines are needed.
pub(super) struct Demand {
    /// The specification of the tasks' job, or of a job with the same request and choice of machines.
    pub(super) spec: Arc<JobSpec>,
    /// The number of tasks.
    pub(super) count: u32,
    /// Whether spot machines may be rented.
    pub(super) spot: bool,
}

impl Demand {
    fn cpus(&self) -> f64 {
        f64::from(self.count) * self.spec.cpus
    }

    /// Whether another demand has the same request and the same choice of machines.
    fn can_merge_with(&self, other: &Demand) -> bool {
        let (a, b) = (&self.spec, &other.spec);
        self.spot == other.spot
            && Resources::of(a) == Resources::of(b)
            && (&a.types, &a.zone) == (&b.types, &b.zone)
    }
}

/// Merges demands with the same request and the same choice of machines.
pub(super) fn merge(demands: Vec<Demand>) -> Vec<Demand> {
    let mut merged: Vec<Demand> = Vec::new();
    for demand in demands {
        match merged.iter_mut().find(|m| m.can_merge_with(&demand)) {
            Some(same) => same.count += demand.count,
            None => merged.push(demand),
        }
    }
    merged
}

/// A machine that is booting or requested.
struct PendingMachine {
    spot: bool,
    free: Resources,
}

/// The machines that are booting or requested, and the resources not yet assigned to demands.
struct PendingMachines(Vec<PendingMachine>);

impl PendingMachines {
    /// Assigns `count` tasks to these machines; returns the number of tasks that do not fit.
    fn assign(&mut self, request: &Resources, spot: bool, count: u32) -> u32 {
        let mut left = count;
        for machine in self.0.iter_mut().filter(|machine| spot || !machine.spot) {
            while left > 0 && machine.free.fits(request) {
                machine.free.subtract(request);
                left -= 1;
            }
        }
        left
    }
}

/// Estimates the demand for machines.
pub(super) struct DemandEstimator<'a> {
    cluster: &'a ClusterState,
    autoscaler: &'a Autoscaler,
    now: Time,
}

impl<'a> DemandEstimator<'a> {
    /// An estimator for the current state of the cluster.
    pub(super) fn new(
        cluster: &'a ClusterState,
        autoscaler: &'a Autoscaler,
        now: Time,
    ) -> DemandEstimator<'a> {
        DemandEstimator {
            cluster,
            autoscaler,
            now,
        }
    }

    /// The demands beyond the machines that are up, booting or requested.
    pub(super) fn demands(&self) -> Vec<Demand> {
        let mut pending = self.pending_machines();
        let mut demands = self.service_demands(&mut pending);
        demands.extend(self.expected_demands(&mut pending));
        let supply = self.supply();
        for job in self.overdue_batches() {
            if job.is_gang() && (job.spec.one_zone || job.spec.spread) {
                let free = slots_by_zone(job, &supply, |machine| machine.free);
                demands.extend(self.gang_demands(job, &free));
            } else {
                demands.extend(self.overdue_demand(job, &mut pending));
            }
        }
        demands.extend(self.batch_demands(&supply));
        demands
    }

    fn pending_machines(&self) -> PendingMachines {
        let machine_types = self.cluster.machine_types();
        let machines = self.cluster.machines();
        let booting = machines.filter(|machine| machine.phase == MachinePhase::Booting);
        let booting = booting.filter_map(|machine| {
            let machine_type = machine_types.get(&machine.machine_type)?;
            Some((machine.spot, machine_type, 1))
        });
        let requested = self.autoscaler.pending_rentals.values();
        let requested = requested.filter_map(|rent| {
            let machine_type = machine_types.get(&rent.kind)?;
            Some((rent.spot, machine_type, rent.count as usize))
        });
        let pending = booting.chain(requested);
        let pending = pending.flat_map(|(spot, machine_type, count)| {
            let free = Resources::of_type(machine_type);
            repeat_n((spot, free), count)
        });
        PendingMachines(
            pending
                .map(|(spot, free)| PendingMachine { spot, free })
                .collect(),
        )
    }

    /// The demand of waiting replicas.
    fn service_demands(&self, pending: &mut PendingMachines) -> Vec<Demand> {
        let jobs = self.cluster.jobs();
        let services = jobs.filter(|job| job.is_service() && job.is_eligible());
        let demands = services.filter_map(|job| {
            let count = self.cluster.within_quota(job, job.unplaced_count());
            let left = pending.assign(&job.request(), job.spec.spot, count);
            (left > 0).then(|| Demand {
                spec: job.spec.clone(),
                count: left,
                spot: job.spec.spot,
            })
        });
        demands.collect()
    }

    /// The demand of replicas that are expected before a machine could be rented for them.
    fn expected_demands(&self, pending: &mut PendingMachines) -> Vec<Demand> {
        let mut demands = Vec::new();
        for expected in self.cluster.expected_replicas(self.now) {
            let request = expected.request;
            let machines = self.cluster.machines();
            let on_demand = machines.filter(|m| !m.spot && self.cluster.accepts_tasks(m, self.now));
            let slots = on_demand.map(|m| self.cluster.free_resources(m).slots(&request));
            let count = expected.count.saturating_sub(slots.sum());
            let left = pending.assign(&request, false, count);
            let spec = self.cluster.service_arrivals().spec_with_request(&request);
            if let (Some(spec), true) = (spec, left > 0) {
                demands.push(Demand {
                    spec: spec.clone(),
                    count: left,
                    spot: false,
                });
            }
        }
        demands
    }

    /// Batches that have waited for so long that machines are rented for them specifically: the available
    /// machines may suffice to finish them in time and still not let them start, or start again.
    fn overdue_batches(&self) -> impl Iterator<Item = &'a Job> + use<'a> {
        let now = self.now;
        let batches = self.cluster.jobs().filter(|job| !job.is_service());
        let waiting = batches.filter(move |job| job.is_eligible() && now >= job.retry_at);
        waiting.filter(move |job| job.is_overdue(now) || job.lacks_machines(now))
    }

    /// The demand of an overdue batch: one task of an array, or all tasks of a gang.
    fn overdue_demand(&self, job: &Job, pending: &mut PendingMachines) -> Option<Demand> {
        let tasks = if job.is_gang() { job.spec.tasks } else { 1 };
        let count = self.cluster.within_quota(job, tasks);
        let left = pending.assign(&job.request(), job.spec.spot, count);
        (left > 0).then(|| Demand {
            spec: job.spec.clone(),
            count: left,
            spot: self.may_use_spot(job),
        })
    }

    /// Whether spot machines may be rented for a batch.
    fn may_use_spot(&self, job: &Job) -> bool {
        job.spec.spot && self.cluster.settings().policy.spot
    }
}

//! How many machines are wanted: for services, for what is expected, and for batches.

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

/// Tasks of one shape that want machines.
pub(super) struct Demand {
    /// The job that they are of, or one like it.
    pub(super) spec: Arc<JobSpec>,
    /// How many there are.
    pub(super) count: u32,
    /// Whether the cloud may reclaim the machine.
    pub(super) spot: bool,
}

impl Demand {
    fn cpus(&self) -> f64 {
        f64::from(self.count) * self.spec.cpus
    }

    /// Whether another demand has the same shape and the same choice of machines.
    fn is_like(&self, other: &Demand) -> bool {
        let (a, b) = (&self.spec, &other.spec);
        self.spot == other.spot
            && Resources::of(a) == Resources::of(b)
            && (&a.types, &a.zone) == (&b.types, &b.zone)
    }
}

/// Demands of the same shape and with the same choice of machines as one.
pub(super) fn merge(demands: Vec<Demand>) -> Vec<Demand> {
    let mut merged: Vec<Demand> = Vec::new();
    for demand in demands {
        match merged.iter_mut().find(|m| m.is_like(&demand)) {
            Some(same) => same.count += demand.count,
            None => merged.push(demand),
        }
    }
    merged
}

/// A machine that boots or has been asked for.
struct ComingMachine {
    spot: bool,
    free: Resources,
}

/// The machines that boot or have been asked for, and what demands take of them.
struct ComingMachines(Vec<ComingMachine>);

impl ComingMachines {
    /// Takes room for so many tasks; returns how many find none.
    fn absorb(&mut self, request: &Resources, spot: bool, count: u32) -> u32 {
        let mut left = count;
        for machine in self.0.iter_mut().filter(|machine| spot || !machine.spot) {
            while left > 0 && machine.free.fits(request) {
                machine.free.take(request);
                left -= 1;
            }
        }
        left
    }
}

/// Estimates what jobs lack.
pub(super) struct DemandEstimator<'a> {
    cluster: &'a ClusterState,
    autoscaler: &'a Autoscaler,
    now: Time,
}

impl<'a> DemandEstimator<'a> {
    /// An estimator for this moment.
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

    /// What is wanted beyond the machines that are up or coming.
    pub(super) fn demands(&self) -> Vec<Demand> {
        let mut coming = self.coming_machines();
        let mut demands = self.service_demands(&mut coming);
        demands.extend(self.expected_demands(&mut coming));
        let supply = self.supply();
        for job in self.overdue_batches() {
            if job.is_gang() && (job.spec.one_zone || job.spec.spread) {
                let free = slots_by_zone(job, &supply, |machine| machine.free);
                demands.extend(self.gang_demands(job, &free));
            } else {
                demands.extend(self.overdue_demand(job, &mut coming));
            }
        }
        demands.extend(self.batch_demands(&supply));
        demands
    }

    fn coming_machines(&self) -> ComingMachines {
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
        let coming = booting.chain(requested);
        let coming = coming.flat_map(|(spot, machine_type, count)| {
            let free = Resources::of_type(machine_type);
            repeat_n((spot, free), count)
        });
        ComingMachines(
            coming
                .map(|(spot, free)| ComingMachine { spot, free })
                .collect(),
        )
    }

    /// Replicas that wait.
    fn service_demands(&self, coming: &mut ComingMachines) -> Vec<Demand> {
        let jobs = self.cluster.jobs();
        let services = jobs.filter(|job| job.is_service() && job.is_eligible());
        let demands = services.filter_map(|job| {
            let count = self.cluster.within_quota(job, job.unplaced_count());
            let left = coming.absorb(&job.request(), job.spec.spot, count);
            (left > 0).then(|| Demand {
                spec: job.spec.clone(),
                count: left,
                spot: job.spec.spot,
            })
        });
        demands.collect()
    }

    /// Replicas that are expected before a machine could be rented for them.
    fn expected_demands(&self, coming: &mut ComingMachines) -> Vec<Demand> {
        let mut demands = Vec::new();
        for expected in self.cluster.expected_replicas(self.now) {
            let request = expected.request;
            let machines = self.cluster.machines();
            let on_demand = machines.filter(|m| !m.spot && self.cluster.accepts_tasks(m, self.now));
            let slots = on_demand.map(|m| self.cluster.free_resources(m).slots(&request));
            let count = expected.count.saturating_sub(slots.sum());
            let left = coming.absorb(&request, false, count);
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

    /// Batches that have found no room for so long that they get machines of their own: those at hand
    /// may suffice to end them in time, and yet not to begin them, or to begin them again.
    fn overdue_batches(&self) -> impl Iterator<Item = &'a Job> + use<'a> {
        let now = self.now;
        let batches = self.cluster.jobs().filter(|job| !job.is_service());
        let waiting = batches.filter(move |job| job.is_eligible() && now >= job.retry_at);
        waiting.filter(move |job| job.is_overdue(now) || job.lacks_machines(now))
    }

    /// A machine for one task of an overdue batch, for all of a gang.
    fn overdue_demand(&self, job: &Job, coming: &mut ComingMachines) -> Option<Demand> {
        let tasks = if job.is_gang() { job.spec.tasks } else { 1 };
        let count = self.cluster.within_quota(job, tasks);
        let left = coming.absorb(&job.request(), job.spec.spot, count);
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

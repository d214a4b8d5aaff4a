//! The machines that are at hand or coming, and which jobs may use them.

use super::DemandEstimator;
use crate::coordination::state::{may_use_type, Job, Machine, MachinePhase, Resources};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use std::collections::BTreeMap;
use std::iter::repeat_n;

/// A machine that is up, boots or has been asked for.
#[derive(Clone)]
pub(super) struct Supply<'a> {
    machine_type: &'a MachineType,
    zone: &'a str,
    spot: bool,
    /// What no service takes.
    pub(super) for_batches: Resources,
    /// What nothing takes.
    pub(super) free: Resources,
}

impl Supply<'_> {
    /// Whether the job's description lets its tasks use the machine, and one of them would fit it.
    pub(super) fn suits(&self, spec: &JobSpec) -> bool {
        let zone_allowed = spec.zone.as_ref().is_none_or(|z| z == self.zone);
        zone_allowed && (spec.spot || !self.spot) && may_use_type(spec, self.machine_type)
    }
}

/// The machines that jobs may use.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineChoice<'a> {
    machine_types: Vec<&'a str>,
    zone: Option<&'a str>,
    spot: bool,
}

/// How many tasks of a job fit machines of each zone, by the resources that count.
pub(super) fn slots_by_zone<'a>(
    job: &Job,
    supply: &[Supply<'a>],
    resources: impl Fn(&Supply) -> Resources,
) -> BTreeMap<&'a str, u32> {
    let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in supply.iter().filter(|s| s.suits(&job.spec)) {
        *slots.entry(machine.zone).or_default() += resources(machine).slots(&job.request());
    }
    slots
}

impl<'a> DemandEstimator<'a> {
    /// The machines that are up or come, with what batches can use of them.
    pub(super) fn supply(&self) -> Vec<Supply<'a>> {
        let machine_types = self.cluster.machine_types();
        let mut supply = Vec::new();
        for rent in self.autoscaler.pending_rentals.values() {
            let Some(machine_type) = machine_types.get(&rent.kind) else {
                continue;
            };
            let coming = Supply {
                machine_type,
                zone: &rent.zone,
                spot: rent.spot,
                for_batches: Resources::of_type(machine_type),
                free: Resources::of_type(machine_type),
            };
            supply.extend(repeat_n(coming, rent.count as usize));
        }
        for machine in self.cluster.machines() {
            let is_booting = machine.phase == MachinePhase::Booting;
            if is_booting || self.cluster.accepts_tasks(machine, self.now) {
                supply.extend(self.supply_of(machine));
            }
        }
        supply
    }

    fn supply_of(&self, machine: &'a Machine) -> Option<Supply<'a>> {
        let machine_types = self.cluster.machine_types();
        let machine_type = machine_types.get(&machine.machine_type)?;
        let mut for_batches = Resources::of_type(machine_type);
        for (_, allocation) in machine.live_allocations() {
            if allocation.profile.is_service() {
                for_batches.take(&allocation.profile.request);
            }
        }
        Some(Supply {
            machine_type,
            zone: &machine.zone,
            spot: machine.spot,
            for_batches,
            free: self.cluster.free_resources(machine),
        })
    }

    /// Waiting jobs by the machines that they may use: types on which a task fits, zone, and whether
    /// the cloud may reclaim them.
    pub(super) fn by_choice<'b>(
        &'b self,
        batches: &[&'b Job],
    ) -> BTreeMap<MachineChoice<'b>, Vec<&'b Job>> {
        let mut groups: BTreeMap<MachineChoice, Vec<&Job>> = BTreeMap::new();
        for job in batches.iter().filter(|job| job.unplaced_count() > 0) {
            let spec = &job.spec;
            let machine_types = self.cluster.machine_types().iter();
            let machine_types = machine_types.filter(|t| may_use_type(spec, t));
            let choice = MachineChoice {
                machine_types: machine_types.map(|t| t.name.as_str()).collect(),
                zone: spec.zone.as_deref(),
                spot: spec.spot,
            };
            groups.entry(choice).or_default().push(job);
        }
        groups
    }
}

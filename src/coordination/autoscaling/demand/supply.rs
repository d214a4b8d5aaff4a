//! The machines that are up, booting or requested, and which jobs may use them.

use super::DemandEstimator;
use crate::coordination::state::{may_use_type, Job, Machine, MachinePhase, Resources};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use std::collections::BTreeMap;
use std::iter::repeat_n;

/// A machine that is up, booting or requested.
#[derive(Clone)]
pub(super) struct SuppliedMachine<'a> {
    machine_type: &'a MachineType,
    zone: &'a str,
    spot: bool,
    /// The resources that no service uses.
    pub(super) for_batches: Resources,
    /// The resources that no task uses.
    pub(super) free: Resources,
}

impl SuppliedMachine<'_> {
    /// Whether the specification allows tasks to use the machine, and a task fits on an empty one.
    pub(super) fn suits(&self, spec: &JobSpec) -> bool {
        let zone_allowed = spec.zone.as_ref().is_none_or(|z| z == self.zone);
        zone_allowed && (spec.spot || !self.spot) && may_use_type(spec, self.machine_type)
    }
}

/// The set of machines that a group of jobs may use.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineChoice<'a> {
    machine_types: Vec<&'a str>,
    zone: Option<&'a str>,
    spot: bool,
}

/// How many tasks of a job fit on the machines of each zone, by the resources that `resources` selects.
pub(super) fn slots_by_zone<'a>(
    job: &Job,
    supply: &[SuppliedMachine<'a>],
    resources: impl Fn(&SuppliedMachine) -> Resources,
) -> BTreeMap<&'a str, u32> {
    let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in supply.iter().filter(|s| s.suits(&job.spec)) {
        *slots.entry(machine.zone).or_default() += resources(machine).slots(&job.request());
    }
    slots
}

impl<'a> DemandEstimator<'a> {
    /// The machines that are up, booting or requested, with the resources available to batches.
    pub(super) fn supply(&self) -> Vec<SuppliedMachine<'a>> {
        let machine_types = self.cluster.machine_types();
        let mut supply = Vec::new();
        for rent in self.autoscaler.pending_rentals.values() {
            let Some(machine_type) = machine_types.get(&rent.kind) else {
                continue;
            };
            let requested = SuppliedMachine {
                machine_type,
                zone: &rent.zone,
                spot: rent.spot,
                for_batches: Resources::of_type(machine_type),
                free: Resources::of_type(machine_type),
            };
            supply.extend(repeat_n(requested, rent.count as usize));
        }
        for machine in self.cluster.machines() {
            let is_booting = machine.phase == MachinePhase::Booting;
            if is_booting || self.cluster.accepts_tasks(machine, self.now) {
                supply.extend(self.supply_of(machine));
            }
        }
        supply
    }

    fn supply_of(&self, machine: &'a Machine) -> Option<SuppliedMachine<'a>> {
        let machine_types = self.cluster.machine_types();
        let machine_type = machine_types.get(&machine.machine_type)?;
        let mut for_batches = Resources::of_type(machine_type);
        for (_, allocation) in machine.live_allocations() {
            if allocation.profile.is_service() {
                for_batches.subtract(&allocation.profile.request);
            }
        }
        Some(SuppliedMachine {
            machine_type,
            zone: &machine.zone,
            spot: machine.spot,
            for_batches,
            free: self.cluster.free_resources(machine),
        })
    }

    /// Groups waiting jobs by the machines that they may use: types on which a task fits, zone, and whether
    /// spot machines are allowed.
    pub(super) fn group_by_choice<'b>(
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

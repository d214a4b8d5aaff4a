//! Which machines and machine types a job's specification allows.

use super::{Job, Machine, Resources};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;

/// Whether a job's specification allows its tasks to use a machine.
pub(crate) fn may_use(job: &Job, machine: &Machine) -> bool {
    let spec = &job.spec;
    let types = spec.types.as_ref();
    let type_allowed = types.is_none_or(|types| types.iter().any(|t| **t == *machine.machine_type));
    let zone_allowed = spec.zone.as_ref().is_none_or(|z| **z == *machine.zone);
    type_allowed && zone_allowed && (spec.spot || !machine.spot)
}

/// Whether a job's specification allows its tasks to use a machine type, and one task fits on it.
pub(crate) fn may_use_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let types = spec.types.as_ref();
    let allowed = types.is_none_or(|types| types.contains(&machine_type.name));
    allowed && Resources::of_type(machine_type).fits(&Resources::of(spec))
}

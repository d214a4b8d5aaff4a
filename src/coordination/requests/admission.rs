//! Admission control: the checks of a submission that need no call to the state service.

use super::answers::{Answer, RetryReason};
use super::context::Context;
use crate::coordination::state::leader_memory_bytes;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobKind, JobSpec};
use crate::settings::Settings;
use crate::storage::records::OpenRecord;
use stairstage_upgrade::FeatureGate;

/// Tolerance for rounding errors in the products of cpus or gpus and tasks.
const LIMIT_TOLERANCE: f64 = 1e-9;

/// The answer that rejects a submission, if any. It does not apply to a job that was accepted before.
pub(super) fn rejection(record: &OpenRecord, context: &Context) -> Option<Answer> {
    if context.machine_types.is_empty() {
        return Some(Answer::RetryLater(RetryReason::NoMachineTypes));
    }
    let has_dependencies = !record.spec.waits_on.is_empty();
    let gates = context.write_fence.gates();
    if has_dependencies && !gates.is_open(FeatureGate::Pipelines) {
        return Some(Answer::RetryLater(RetryReason::NotFinalized));
    }
    if let Some(reason) = cannot_run(&record.spec, &context.settings, &context.machine_types) {
        return Some(Answer::CannotRun(reason));
    }
    let bytes = record.bytes();
    let max_bytes = context.settings.cluster.state.max_record_bytes();
    if bytes > max_bytes {
        let reason =
            format!("the job specification takes {bytes} bytes, of at most {max_bytes} bytes");
        return Some(Answer::Malformed(reason));
    }
    let has_room = leader_memory_bytes(&record.spec, bytes) <= context.free_job_bytes;
    (!has_room).then_some(Answer::RetryLater(RetryReason::TooManyOpenJobs))
}

/// The reason why a job can never run with these settings and machine types, if any.
pub fn cannot_run(
    spec: &JobSpec,
    settings: &Settings,
    machine_types: &[MachineType],
) -> Option<String> {
    let Some(team) = settings.team(&spec.team) else {
        return Some(format!("unknown team {}", spec.team));
    };
    if !machine_types.iter().any(|t| fits_task(t, spec)) {
        return Some("no machine type allowed by the job has enough resources for a task".into());
    }
    let min_running_tasks = match spec.kind {
        JobKind::Array => 1.0,
        JobKind::Gang | JobKind::Service => f64::from(spec.tasks),
    };
    // A limit of zero means no limit.
    let exceeds = |request: f64, limit: f64| {
        limit > 0.0 && request * min_running_tasks > limit + LIMIT_TOLERANCE
    };
    if exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max) {
        return Some(format!(
            "the requested cpus or gpus exceed the limit of team {}",
            spec.team
        ));
    }
    None
}

/// Whether the job allows the machine type and a task fits on a machine of it.
fn fits_task(machine_type: &MachineType, spec: &JobSpec) -> bool {
    let types = spec.types.as_ref();
    let is_allowed = types.is_none_or(|names| names.contains(&machine_type.name));
    let zone = spec.zone.as_ref();
    let has_zone = zone.is_none_or(|zone| machine_type.zones.contains(zone));
    is_allowed
        && has_zone
        && machine_type.cpus >= spec.cpus
        && machine_type.gpus >= spec.gpus
        && machine_type.memory_gb >= spec.memory_gb
}

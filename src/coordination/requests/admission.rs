//! Why a submission is not taken, as far as that shows without asking the state service.

use super::{Answer, Context, Reason};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobKind, JobSpec};
use crate::settings::Settings;
use crate::storage::records::OpenRecord;
use stairstage_upgrade::FeatureGate;

/// The answer to a submission that is not taken, unless the job was accepted before.
pub(super) fn refusal(record: &OpenRecord, context: &Context) -> Option<Answer> {
    if context.types.is_empty() {
        return Some(Answer::Later(Reason::NoMachineTypes));
    }
    let waits = !record.spec.waits_on.is_empty();
    if waits && !context.clearance.gates().is_open(FeatureGate::Pipelines) {
        return Some(Answer::Later(Reason::NotFinalized));
    }
    if let Some(why) = cannot_run(&record.spec, &context.settings, &context.types) {
        return Some(Answer::CannotRun(why));
    }
    let (bytes, most) = (
        record.bytes(),
        context.settings.cluster.state.record_bytes(),
    );
    (bytes > most).then(|| {
        let why = format!("the description takes {bytes} bytes in the records, of at most {most}");
        Answer::Malformed(why)
    })
}

/// Why a job can never run, if so.
pub fn cannot_run(spec: &JobSpec, settings: &Settings, types: &[MachineType]) -> Option<String> {
    let Some(team) = settings.team(&spec.team) else {
        return Some(format!("team {} is not known", spec.team));
    };
    let fits = types.iter().any(|t| {
        let allowed = spec.types.as_ref().is_none_or(|l| l.contains(&t.name));
        let zone = spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
        allowed
            && zone
            && t.cpus >= spec.cpus
            && t.gpus >= spec.gpus
            && t.memory_gb >= spec.memory_gb
    });
    if !fits {
        return Some("no machine type that the job allows fits a task".into());
    }
    let at_once = match spec.kind {
        JobKind::Array => 1.0,
        JobKind::Gang | JobKind::Service => f64::from(spec.tasks),
    };
    let exceeds = |need: f64, most: f64| most > 0.0 && need * at_once > most + 1e-9;
    if exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max) {
        return Some(format!("more than the limit of team {}", spec.team));
    }
    None
}

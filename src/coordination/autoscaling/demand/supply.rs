//! The machines that are at hand or on their way, and which jobs may use them.

use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{Job, MachinePhase, Resources};
use crate::coordination::Time;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use std::collections::BTreeMap;
use std::iter::repeat_n;

/// A machine that is up, boots or has been asked for, with the room that no service takes, and the
/// room that nothing takes.
#[derive(Clone)]
pub(crate) struct Supply<'a> {
    pub kind: &'a MachineType,
    pub zone: &'a str,
    pub spot: bool,
    pub room: Resources,
    pub free: Resources,
}

impl Supply<'_> {
    pub(crate) fn suits(&self, spec: &JobSpec) -> bool {
        let zone = spec.zone.as_ref().is_none_or(|z| z == self.zone);
        zone && (spec.spot || !self.spot) && may_use_type(spec, self.kind)
    }
}

/// The machines that jobs may use.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Choice<'a> {
    types: Vec<&'a str>,
    zone: Option<&'a str>,
    spot: bool,
}

/// Whether a task fits a type of machine that the job's description allows.
pub(crate) fn may_use_type(spec: &JobSpec, kind: &MachineType) -> bool {
    let allowed = spec.types.as_ref().is_none_or(|t| t.contains(&kind.name));
    allowed && Resources::of_type(kind).fits(&Resources::of(spec))
}

/// How many tasks of a job fit machines of each zone, by the room that counts.
pub(crate) fn slots_by_zone<'a>(
    job: &Job,
    supply: &[Supply<'a>],
    room: impl Fn(&Supply) -> Resources,
) -> BTreeMap<&'a str, u32> {
    let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in supply.iter().filter(|s| s.suits(&job.spec)) {
        *slots.entry(machine.zone).or_default() += room(machine).slots(&job.need());
    }
    slots
}

impl ClusterState {
    /// The machines that are up or come, with the room that batches can use.
    pub(crate) fn supply(&self, now: Time) -> Vec<Supply<'_>> {
        let mut supply = Vec::new();
        for r in self.fleet.renting.values() {
            let coming = self.type_of(&r.kind).map(|kind| Supply {
                kind,
                zone: &r.zone,
                spot: r.spot,
                room: Resources::of_type(kind),
                free: Resources::of_type(kind),
            });
            let count = r.count as usize;
            supply.extend(coming.into_iter().flat_map(|s| repeat_n(s, count)));
        }
        let present = self.machines.values();
        for m in present.filter(|m| m.phase == MachinePhase::Booting || self.takes_tasks(m, now)) {
            let Some(kind) = self.type_of(&m.kind) else {
                continue;
            };
            let mut room = Resources::of_type(kind);
            for (_, place) in m.live().filter(|(_, p)| p.load.run_s.is_none()) {
                room.take(&place.load.need);
            }
            supply.push(Supply {
                kind,
                zone: &m.zone,
                spot: m.spot,
                room,
                free: self.free_room(m),
            });
        }
        supply
    }

    /// Waiting jobs by the machines that they may use: types on which a task fits, zone, and whether
    /// the cloud may take them back.
    pub(crate) fn by_choice<'a>(
        &'a self,
        batches: &[&'a Job],
    ) -> BTreeMap<Choice<'a>, Vec<&'a Job>> {
        let mut groups: BTreeMap<Choice, Vec<&Job>> = BTreeMap::new();
        for job in batches.iter().filter(|j| j.unplaced_count() > 0) {
            let spec = &job.spec;
            let types = self.types.iter().filter(|t| may_use_type(spec, t));
            let choice = Choice {
                types: types.map(|t| t.name.as_str()).collect(),
                zone: spec.zone.as_deref(),
                spot: spec.spot,
            };
            groups.entry(choice).or_default().push(job);
        }
        groups
    }
}

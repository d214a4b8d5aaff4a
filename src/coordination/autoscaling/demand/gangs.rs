//! What gangs lack to start all of their tasks at once.

use super::supply::may_use_type;
use super::Demand;
use crate::coordination::cluster::ClusterState;
use crate::coordination::state::Job;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobKind, JobSpec};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl ClusterState {
    /// The gang with the most work left that its team's limit lets start.
    pub(crate) fn largest_gang<'a>(&self, jobs: &[&'a Job]) -> Option<&'a Job> {
        let gangs = jobs.iter().filter(|j| j.spec.kind == JobKind::Gang);
        let startable = gangs.filter(|j| self.wanted(j, j.spec.tasks) == j.spec.tasks);
        let largest = startable.max_by(|a, b| a.work_left().total_cmp(&b.work_left()));
        largest.copied()
    }

    /// What a gang lacks to start, if so many of its tasks fit each zone.
    pub(crate) fn gang_demands(&self, job: &Job, slots: &BTreeMap<&str, u32>) -> Vec<Demand> {
        let lacks = match (job.spec.one_zone, job.spec.spread) {
            (true, _) => self.lack_in_one_zone(job, slots).into_iter().collect(),
            (false, true) => self.lacks_by_zone(job, slots),
            (false, false) => {
                let have = slots.values().sum();
                vec![(None, job.spec.tasks.saturating_sub(have))]
            }
        };
        let lacks = lacks.into_iter().filter(|(_, count)| *count > 0);
        lacks
            .map(|(zone, count)| self.gang_demand(job, zone, count))
            .collect()
    }

    /// So many tasks of a gang want machines, in a zone if it is given.
    fn gang_demand(&self, job: &Job, zone: Option<&str>, count: u32) -> Demand {
        let mut spec = job.spec.clone();
        if let Some(zone) = zone {
            Arc::make_mut(&mut spec).zone = Some(zone.to_string());
        }
        Demand {
            spot: job.spec.spot && self.settings.policy.spot,
            spec,
            count,
        }
    }

    /// What a gang that must be in one zone lacks in the zone where that is the least.
    fn lack_in_one_zone<'a>(
        &'a self,
        job: &'a Job,
        slots: &BTreeMap<&str, u32>,
    ) -> Option<(Option<&'a str>, u32)> {
        let zone = self.zone_for(job, slots)?;
        let have = slots.get(zone).copied().unwrap_or(0);
        Some((Some(zone), job.spec.tasks.saturating_sub(have)))
    }

    /// What a spread gang lacks, in zones that may take more of its tasks, the fullest first.
    fn lacks_by_zone<'a>(
        &'a self,
        job: &'a Job,
        slots: &BTreeMap<&str, u32>,
    ) -> Vec<(Option<&'a str>, u32)> {
        let most = job.most_in_zone();
        let usable = |zone: &str| slots.get(zone).map_or(0, |n| (*n).min(most));
        let have: u32 = slots.keys().map(|zone| usable(zone)).sum();
        let mut left = job.spec.tasks.saturating_sub(have);
        let offers = self.offers(&job.spec);
        let given = offers.filter(|(kind, zone)| self.may_be_had(&job.spec, kind, zone));
        let zones: BTreeSet<&str> = given.map(|(_, zone)| zone).collect();
        let mut zones: Vec<&str> = zones.into_iter().collect();
        zones.sort_by_key(|zone| Reverse(usable(zone)));
        let mut lacks = Vec::new();
        for zone in zones {
            let count = left.min(most - usable(zone));
            left -= count;
            lacks.push((Some(zone), count));
        }
        lacks
    }

    /// The zone in which a gang lacks the least room, among those where the cloud has not lately
    /// refused all machines that it may use.
    fn zone_for<'a>(&'a self, job: &'a Job, slots: &BTreeMap<&str, u32>) -> Option<&'a str> {
        let spec = &job.spec;
        let given = self.offers(spec).filter(|(kind, zone)| {
            let enough = slots.get(zone).is_some_and(|n| *n >= spec.tasks);
            enough || self.may_be_had(spec, kind, zone)
        });
        let zones = given.map(|(_, zone)| zone);
        zones.max_by_key(|zone| slots.get(zone).copied().unwrap_or(0))
    }

    /// The types that a job may use, with each zone in which they are offered and it may be.
    fn offers<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = (&'a MachineType, &'a str)> {
        let kinds = self.types.iter().filter(|t| may_use_type(spec, t));
        let offers = kinds.flat_map(|t| t.zones.iter().map(move |zone| (t, zone.as_str())));
        offers.filter(|(_, zone)| spec.zone.as_ref().is_none_or(|z| z == zone))
    }

    /// Whether the cloud has not lately refused such machines for the job.
    fn may_be_had(&self, spec: &JobSpec, kind: &MachineType, zone: &str) -> bool {
        let refused = |spot| {
            let offer = (kind.name.as_str().into(), zone.into(), spot);
            self.fleet.refused.contains_key(&offer)
        };
        !refused(false) || spec.spot && !refused(true)
    }
}

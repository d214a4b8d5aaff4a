//! What gangs lack to start all of their tasks at once.

use super::{Demand, DemandEstimator};
use crate::coordination::autoscaling::Offer;
use crate::coordination::state::{may_use_type, Job};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Tasks of a gang that find no room.
struct GangShortage<'a> {
    /// The zone in which machines are wanted, if it matters.
    zone: Option<&'a str>,
    count: u32,
}

impl DemandEstimator<'_> {
    /// The gang with the most work left that its team's quota lets start.
    pub(super) fn largest_gang<'b>(&self, jobs: &[&'b Job]) -> Option<&'b Job> {
        let gangs = jobs.iter().filter(|job| job.is_gang());
        let startable =
            gangs.filter(|job| self.cluster.within_quota(job, job.spec.tasks) == job.spec.tasks);
        let largest = startable.max_by(|a, b| a.work_left().total_cmp(&b.work_left()));
        largest.copied()
    }

    /// What a gang lacks to start, if so many of its tasks fit each zone.
    pub(super) fn gang_demands(&self, job: &Job, slots: &BTreeMap<&str, u32>) -> Vec<Demand> {
        let shortages = if job.spec.one_zone {
            self.shortage_in_one_zone(job, slots).into_iter().collect()
        } else if job.spec.spread {
            self.shortages_by_zone(job, slots)
        } else {
            let have = slots.values().sum();
            vec![GangShortage {
                zone: None,
                count: job.spec.tasks.saturating_sub(have),
            }]
        };
        let shortages = shortages.into_iter().filter(|shortage| shortage.count > 0);
        shortages
            .map(|shortage| self.gang_demand(job, &shortage))
            .collect()
    }

    fn gang_demand(&self, job: &Job, shortage: &GangShortage) -> Demand {
        let mut spec = job.spec.clone();
        if let Some(zone) = shortage.zone {
            Arc::make_mut(&mut spec).zone = Some(zone.to_string());
        }
        Demand {
            spec,
            count: shortage.count,
            spot: self.may_use_spot(job),
        }
    }

    /// What a gang that must be in one zone lacks in the zone where that is the least.
    fn shortage_in_one_zone<'b>(
        &'b self,
        job: &'b Job,
        slots: &BTreeMap<&str, u32>,
    ) -> Option<GangShortage<'b>> {
        let zone = self.zone_for(job, slots)?;
        let have = slots.get(zone).copied().unwrap_or(0);
        Some(GangShortage {
            zone: Some(zone),
            count: job.spec.tasks.saturating_sub(have),
        })
    }

    /// What a spread gang lacks, in zones that may take more of its tasks, the fullest first.
    fn shortages_by_zone<'b>(
        &'b self,
        job: &'b Job,
        slots: &BTreeMap<&str, u32>,
    ) -> Vec<GangShortage<'b>> {
        let max_per_zone = job.max_per_zone();
        let usable = |zone: &str| slots.get(zone).map_or(0, |n| (*n).min(max_per_zone));
        let have: u32 = slots.keys().map(|zone| usable(zone)).sum();
        let mut left = job.spec.tasks.saturating_sub(have);
        let offers = self.offers(&job.spec);
        let available = offers.filter(|(t, zone)| self.is_available(&job.spec, t, zone));
        let zones: BTreeSet<&str> = available.map(|(_, zone)| zone).collect();
        let mut zones: Vec<&str> = zones.into_iter().collect();
        zones.sort_by_key(|zone| Reverse(usable(zone)));
        let mut shortages = Vec::new();
        for zone in zones {
            let count = left.min(max_per_zone - usable(zone));
            left -= count;
            shortages.push(GangShortage {
                zone: Some(zone),
                count,
            });
        }
        shortages
    }

    /// The zone in which a gang lacks the least room, among those where the cloud has not lately
    /// refused all machines that it may use.
    fn zone_for<'b>(&'b self, job: &'b Job, slots: &BTreeMap<&str, u32>) -> Option<&'b str> {
        let spec = &job.spec;
        let candidates = self.offers(spec).filter(|(machine_type, zone)| {
            let has_room = slots.get(zone).is_some_and(|n| *n >= spec.tasks);
            has_room || self.is_available(spec, machine_type, zone)
        });
        let zones = candidates.map(|(_, zone)| zone);
        zones.max_by_key(|zone| slots.get(zone).copied().unwrap_or(0))
    }

    /// The types that a job may use, with each zone in which they are offered and it may be.
    fn offers<'b>(&'b self, spec: &'b JobSpec) -> impl Iterator<Item = (&'b MachineType, &'b str)> {
        let machine_types = self.cluster.machine_types().iter();
        let machine_types = machine_types.filter(|t| may_use_type(spec, t));
        let offers = machine_types.flat_map(|t| t.zones.iter().map(move |zone| (t, zone.as_str())));
        offers.filter(|(_, zone)| spec.zone.as_ref().is_none_or(|z| z == zone))
    }

    /// Whether the cloud has not lately refused such machines for the job.
    fn is_available(&self, spec: &JobSpec, machine_type: &MachineType, zone: &str) -> bool {
        let is_available = |spot| {
            let offer = Offer::new(&machine_type.name, zone, spot);
            self.autoscaler.is_available(&offer)
        };
        is_available(false) || spec.spot && is_available(true)
    }
}

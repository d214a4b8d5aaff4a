//! The demand of gangs: machines that they need to start all tasks together.

use super::{Demand, DemandEstimator};
use crate::coordination::autoscaling::Offer;
use crate::coordination::state::{may_use_type, Job};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Tasks of a gang that do not fit on the supplied machines.
struct GangShortage<'a> {
    /// The zone in which machines are needed; `None` if any zone will do.
    zone: Option<&'a str>,
    count: u32,
}

impl DemandEstimator<'_> {
    /// The gang with the most remaining work among those that their team's quota allows to start.
    pub(super) fn largest_gang<'b>(&self, jobs: &[&'b Job]) -> Option<&'b Job> {
        let gangs = jobs.iter().filter(|job| job.is_gang());
        let startable =
            gangs.filter(|job| self.cluster.within_quota(job, job.spec.tasks) == job.spec.tasks);
        let largest = startable.max_by(|a, b| a.work_left().total_cmp(&b.work_left()));
        largest.copied()
    }

    /// The demand of a gang of which `slots` tasks fit in each zone.
    pub(super) fn gang_demands(&self, job: &Job, slots: &BTreeMap<&str, u32>) -> Vec<Demand> {
        let shortages = if job.spec.one_zone {
            self.shortage_in_one_zone(job, slots).into_iter().collect()
        } else if job.spec.spread {
            self.shortages_by_zone(job, slots)
        } else {
            let available_slots = slots.values().sum();
            vec![GangShortage {
                zone: None,
                count: job.spec.tasks.saturating_sub(available_slots),
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

    /// The shortage of a gang that must be in one zone, in the zone where the shortage is smallest.
    fn shortage_in_one_zone<'b>(
        &'b self,
        job: &'b Job,
        slots: &BTreeMap<&str, u32>,
    ) -> Option<GangShortage<'b>> {
        let zone = self.zone_for(job, slots)?;
        let available_slots = slots.get(zone).copied().unwrap_or(0);
        Some(GangShortage {
            zone: Some(zone),
            count: job.spec.tasks.saturating_sub(available_slots),
        })
    }

    /// The shortages of a spread gang in the zones with available offers, the zone with the most usable
    /// slots first.
    fn shortages_by_zone<'b>(
        &'b self,
        job: &'b Job,
        slots: &BTreeMap<&str, u32>,
    ) -> Vec<GangShortage<'b>> {
        let max_per_zone = job.max_per_zone();
        let usable = |zone: &str| slots.get(zone).map_or(0, |n| (*n).min(max_per_zone));
        let available_slots: u32 = slots.keys().map(|zone| usable(zone)).sum();
        let mut left = job.spec.tasks.saturating_sub(available_slots);
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

    /// The zone with the most slots for a gang, among the zones where all its tasks fit or where suitable
    /// offers are available.
    fn zone_for<'b>(&'b self, job: &'b Job, slots: &BTreeMap<&str, u32>) -> Option<&'b str> {
        let spec = &job.spec;
        let candidates = self.offers(spec).filter(|(machine_type, zone)| {
            let all_tasks_fit = slots.get(zone).is_some_and(|n| *n >= spec.tasks);
            all_tasks_fit || self.is_available(spec, machine_type, zone)
        });
        let zones = candidates.map(|(_, zone)| zone);
        zones.max_by_key(|zone| slots.get(zone).copied().unwrap_or(0))
    }

    /// The machine types that a job may use, each with the zones that offer it and that the job allows.
    fn offers<'b>(&'b self, spec: &'b JobSpec) -> impl Iterator<Item = (&'b MachineType, &'b str)> {
        let machine_types = self.cluster.machine_types().iter();
        let machine_types = machine_types.filter(|t| may_use_type(spec, t));
        let offers = machine_types.flat_map(|t| t.zones.iter().map(move |zone| (t, zone.as_str())));
        offers.filter(|(_, zone)| spec.zone.as_ref().is_none_or(|z| z == zone))
    }

    /// Whether an offer of the type in the zone is available, on demand or, if the job allows it, spot.
    fn is_available(&self, spec: &JobSpec, machine_type: &MachineType, zone: &str) -> bool {
        let is_available = |spot| {
            let offer = Offer::new(&machine_type.name, zone, spot);
            self.autoscaler.is_available(&offer)
        };
        is_available(false) || spec.spot && is_available(true)
    }
}

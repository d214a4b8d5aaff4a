//! Which machines are rented for a demand, and what the cloud says of them.

use crate::coordination::autoscaling::demand::{merged, Demand};
use crate::coordination::autoscaling::replica_rates::ReplicaRates;
use crate::coordination::cluster::{ClusterState, Effect};
use crate::coordination::state::{Machine, MachinePhase, Name, Resources};
use crate::coordination::Time;
use crate::protocol::cloud::{ListedMachine, MachineState, MachineType, Rent, MAX_RENTED};
use crate::protocol::job::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::sync::Arc;
use tracing::{debug, info, warn};

/// The share of an earlier leader's machines that must have been heard before any are rented.
const SETTLED_SHARE: f64 = 0.9;
/// What a machine costs at least, in seconds of its price.
pub(crate) const MIN_CHARGE_S: f64 = 60.0;

#[derive(Default)]
pub struct Autoscaler {
    pub(crate) services: BTreeMap<String, ReplicaRates>,
    /// Type, zone and kind of rentals that the cloud refused, and until when that is remembered.
    pub(crate) refused: BTreeMap<(Name, Name, bool), Time>,
    pub(crate) renting: BTreeMap<String, Rent>,
    /// Whether a rental was answered, so that the next one need not wait for the next tick.
    again: bool,
    managed: Time,
}

impl Autoscaler {
    pub(crate) fn arrived(&mut self, spec: &Arc<JobSpec>, now: Time) {
        if spec.kind == JobKind::Service {
            let entry = self.services.entry(spec.class.clone());
            let traffic = entry.or_insert_with(|| ReplicaRates::new(spec.clone(), now));
            traffic.arrived(spec, now);
        }
    }

    pub(crate) fn left(&mut self, spec: &JobSpec, now: Time) {
        if let Some(traffic) = self.services.get_mut(&spec.class) {
            traffic.left(spec.tasks, now);
        }
    }

    /// Replicas that are expected within the time that a machine takes to boot, beyond those whose
    /// room comes free by then: their shape, number and image.
    pub(crate) fn expected(&self, core: &ClusterState, now: Time) -> Vec<(Resources, u32, String)> {
        let Some(boot_s) = core.shortest_boot_s() else {
            return Vec::new();
        };
        let warm = core.settings.policy.warm;
        let report_s = core.settings.cluster.workers.report_s;
        let of_class = |traffic: &ReplicaRates| {
            let rates = traffic.within_a_boot(boot_s, report_s, now);
            let growth = (rates.came - rates.went).max(0.0);
            let count = (growth + warm * rates.came.sqrt()).ceil() as u32;
            let spec = &traffic.spec;
            (Resources::of(spec), count, spec.image.clone())
        };
        self.services.values().map(of_class).collect()
    }

    /// Drops what no decision will look back to.
    fn forget_traffic(&mut self, boot_s: f64, now: Time) {
        for traffic in self.services.values_mut() {
            traffic.forget_old(boot_s, now);
        }
    }
}

impl ClusterState {
    /// How long the machine type that boots soonest takes; `None` while no types are known.
    fn shortest_boot_s(&self) -> Option<f64> {
        let boots = self.types.iter().map(|t| t.boot_s);
        boots.min_by(f64::total_cmp)
    }

    /// Rents on as soon as answers are in, but not more often than the cloud takes calls.
    pub(crate) fn rent_on(&mut self, now: Time) {
        let pause_s = 1.0 / self.settings.cluster.cloud.rps;
        if self.fleet.again && now - self.fleet.managed >= pause_s {
            self.manage_fleet(now);
        }
    }

    pub(crate) fn manage_fleet(&mut self, now: Time) {
        if self.types.is_empty() {
            return;
        }
        self.fleet.again = false;
        self.fleet.managed = now;
        self.fleet.refused.retain(|_, until| *until > now);
        if let Some(boot_s) = self.shortest_boot_s() {
            self.fleet.forget_traffic(boot_s, now);
        }
        if !self.has_settled(now) {
            return;
        }
        self.return_idle(now);
        self.consolidate(now);
        for demand in merged(self.demands(now)) {
            self.rent_for(&demand);
        }
    }

    /// Whether most of the machines that an earlier leader used have been heard, or have had the time
    /// to report. Until then their room is not known: a new leader that went by what it sees would
    /// rent all of it anew.
    fn has_settled(&self, now: Time) -> bool {
        if now - self.elected_at > self.silence_s() {
            return true;
        }
        let (mut up, mut known) = (0, 0);
        for m in self
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Up)
        {
            up += 1;
            known += usize::from(m.heard.is_some() && m.token >= self.first_token);
        }
        known as f64 >= SETTLED_SHARE * f64::from(up)
    }

    /// Rents the cheapest machines that suit, as far as the cloud has not lately refused them.
    fn rent_for(&mut self, demand: &Demand) {
        let need = Resources::of(&demand.spec);
        let mut left = demand.count;
        let spec = &demand.spec;
        // An offer is asked for once at a time: its answer tells whether there is more.
        let mut tried: Vec<(Name, Name, bool)> = self
            .fleet
            .renting
            .values()
            .map(|r| (r.kind.as_str().into(), r.zone.as_str().into(), r.spot))
            .collect();
        while left > 0 {
            let mut best: Option<(f64, &MachineType, &String, bool, u32)> = None;
            for t in &self.types {
                let slots = Resources::of_type(t).slots(&need);
                if slots == 0 || spec.types.as_ref().is_some_and(|l| !l.contains(&t.name)) {
                    continue;
                }
                for zone in t
                    .zones
                    .iter()
                    .filter(|z| spec.zone.as_ref().is_none_or(|s| s == *z))
                {
                    for spot in [true, false] {
                        if spot && !demand.spot {
                            continue;
                        }
                        let offer = (t.name.as_str().into(), zone.as_str().into(), spot);
                        if self.fleet.refused.contains_key(&offer) || tried.contains(&offer) {
                            continue;
                        }
                        let price = if spot { t.spot_price } else { t.price };
                        let cost = price / f64::from(slots.min(left));
                        if best.as_ref().is_none_or(|b| cost < b.0) {
                            best = Some((cost, t, zone, spot, slots));
                        }
                    }
                }
            }
            let Some((_, t, zone, spot, slots)) = best else {
                debug!("{}: no machines to be had for {left} tasks", spec.id);
                return;
            };
            let count = left.div_ceil(slots).min(MAX_RENTED);
            let (kind, zone) = (t.name.clone(), zone.clone());
            tried.push((kind.as_str().into(), zone.as_str().into(), spot));
            left = left.saturating_sub(count * slots);
            let request = format!("r-{}", self.unique());
            let rent = Rent {
                request: request.clone(),
                kind,
                zone,
                spot,
                count,
            };
            info!(
                "rents {count} {} in {}{} for {} of class {}",
                rent.kind,
                rent.zone,
                if spot { ", spot" } else { "" },
                spec.id,
                spec.class
            );
            self.fleet.renting.insert(request, rent.clone());
            self.effects.push(Effect::RentMachines(rent));
        }
    }

    /// What the cloud answered to a rental: the machines, perhaps none; `None` when it has no
    /// answer to give.
    pub fn machines_rented(&mut self, request: &str, machines: Option<Vec<String>>, now: Time) {
        let Some(rent) = self.fleet.renting.remove(request) else {
            return;
        };
        let Some(names) = machines else {
            return;
        };
        if (names.len() as u32) < rent.count {
            info!(
                "{} of {} {} to be had in {}",
                names.len(),
                rent.count,
                rent.kind,
                rent.zone
            );
            let offer = (
                rent.kind.as_str().into(),
                rent.zone.as_str().into(),
                rent.spot,
            );
            let boot_s = self.type_of(&rent.kind).map_or(MIN_CHARGE_S, |t| t.boot_s);
            self.fleet.refused.insert(offer, now + boot_s);
        }
        for name in names {
            let name: Name = name.as_str().into();
            if self.machines.contains_key(&name) || self.gone.contains_key(&name) {
                continue;
            }
            let (kind, zone) = (rent.kind.as_str().into(), rent.zone.as_str().into());
            let mut m = Machine::new(name.clone(), kind, zone, rent.spot, now);
            m.ours = true;
            self.machines.insert(name, m);
        }
        // An offer that gave all that was asked for may have more.
        self.fleet.again = true;
    }

    /// Takes in the cloud's list. It lags: it shows what we do not know, and proves nothing else.
    pub fn machines_listed(&mut self, list: &[ListedMachine], now: Time) {
        for l in list {
            let name: Name = l.name.as_str().into();
            if self.gone.contains_key(&name) {
                continue;
            }
            if !self.machines.contains_key(&name) {
                // Rented by a request that is still to be answered, or by an earlier leader.
                let (kind, zone) = (l.kind.as_str().into(), l.zone.as_str().into());
                let mut m = Machine::new(name.clone(), kind, zone, l.spot, now - l.age_s);
                m.endpoint = l.endpoint.clone();
                self.machines.insert(name.clone(), m);
            }
            let m = self.machines.get_mut(&name).expect("present");
            m.describe(&l.kind, &l.zone, l.spot);
            // A record of places or a report does not tell for how long an earlier leader had it.
            m.rented = m.rented.min(now - l.age_s);
            if m.endpoint.is_none() {
                m.endpoint.clone_from(&l.endpoint);
            }
            if l.state == MachineState::Failed && !m.listed_failed {
                warn!("{name}: the cloud lists it as failed");
                m.listed_failed = true;
            }
        }
    }
}

//! Scale out and in: how many machines the jobs need, which to rent, and which to return.
//!
//! - `demand`: what jobs lack beyond the machines that are up or coming;
//! - `scale_out`: renting the cheapest machines for it;
//! - `scale_in`: returning idle machines, and moving replicas off nearly empty ones.

mod demand;
mod scale_in;
mod scale_out;

use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{MachinePhase, MachineTypeName, ZoneName};
use crate::coordination::Time;
use crate::protocol::cloud::RentalRequest;
use demand::{merge, DemandEstimator};
use std::collections::BTreeMap;

/// The share of an earlier leader's machines that must have been heard before any are rented.
const SETTLED_SHARE: f64 = 0.9;
/// What a machine costs at least, in seconds of its price.
const MIN_CHARGE_S: f64 = 60.0;

/// Machines that the cloud may rent out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Offer {
    machine_type: MachineTypeName,
    zone: ZoneName,
    spot: bool,
}

impl Offer {
    fn new(machine_type: &str, zone: &str, spot: bool) -> Offer {
        Offer {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
        }
    }

    fn of(rent: &RentalRequest) -> Offer {
        Offer::new(&rent.kind, &rent.zone, rent.spot)
    }
}

/// The autoscaler of the leader.
#[derive(Default)]
pub(super) struct Autoscaler {
    /// Offers that the cloud refused, and until when that is remembered.
    unavailable_offers: BTreeMap<Offer, Time>,
    /// Rentals that are not answered yet, by their requests.
    pending_rentals: BTreeMap<String, RentalRequest>,
    /// Whether a rental was answered, so that the next one need not wait for the next tick.
    retry_now: bool,
    last_run_at: Time,
}

impl Autoscaler {
    /// Rents on as soon as answers are in, but not more often than the cloud takes calls.
    pub(crate) fn continue_scale_out(&mut self, cluster: &mut ClusterState, now: Time) {
        let pause_s = 1.0 / cluster.settings().cluster.cloud.rps;
        if self.retry_now && now - self.last_run_at >= pause_s {
            self.run(cluster, now);
        }
    }

    /// Returns machines that are of no use, and rents those that are needed.
    pub(crate) fn run(&mut self, cluster: &mut ClusterState, now: Time) {
        if cluster.machine_types().is_empty() {
            return;
        }
        self.retry_now = false;
        self.last_run_at = now;
        self.unavailable_offers.retain(|_, until| *until > now);
        cluster.forget_old_arrivals(now);
        if !has_settled(cluster, now) {
            return;
        }
        scale_in::return_idle(cluster, now);
        scale_in::consolidate(cluster, now);
        let demands = DemandEstimator::new(cluster, self, now).demands();
        for demand in merge(demands) {
            self.scale_out_for(cluster, &demand);
        }
    }

    /// Whether the cloud has not lately refused an offer.
    fn is_available(&self, offer: &Offer) -> bool {
        !self.unavailable_offers.contains_key(offer)
    }
}

/// Whether most of the machines that an earlier leader used have been heard, or have had the time to
/// send a heartbeat. Until then their free resources are not known: a new leader that went by what it
/// sees would rent all of it anew.
fn has_settled(cluster: &ClusterState, now: Time) -> bool {
    let leadership = cluster.leadership();
    if now - leadership.elected_at() > cluster.heartbeat_timeout_s() {
        return true;
    }
    let (mut up, mut known) = (0, 0);
    for machine in cluster.machines() {
        if machine.phase != MachinePhase::Up {
            continue;
        }
        let worker = &machine.worker;
        let is_fenced = worker.acknowledged_token() >= leadership.first_token();
        up += 1;
        known += usize::from(worker.last_heartbeat_at().is_some() && is_fenced);
    }
    known as f64 >= SETTLED_SHARE * f64::from(up)
}

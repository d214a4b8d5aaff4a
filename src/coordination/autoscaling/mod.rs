//! The autoscaler: how many machines the jobs need, which to rent and which to return.
//!
//! - `demand`: the need for machines beyond those that are up, booting or requested;
//! - `scale_out`: renting the cheapest machines for the demand;
//! - `scale_in`: returning idle machines, and moving replicas off nearly empty machines.

mod demand;
mod scale_in;
mod scale_out;

use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{MachinePhase, MachineTypeName, ZoneName};
use crate::coordination::Time;
use crate::protocol::cloud::RentalRequest;
use demand::{merge, DemandEstimator};
use std::collections::BTreeMap;

/// The share of an earlier leader's machines from which heartbeats must have been received before the
/// new leader rents or returns machines.
const SETTLED_SHARE: f64 = 0.9;
/// The minimum time that the cloud charges for a machine, in seconds.
const MIN_CHARGE_S: f64 = 60.0;

/// A kind of machine that the cloud offers: type, zone, and spot or on demand.
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
    /// Offers of which the cloud had too few machines, each with the time until which it is not requested
    /// again.
    unavailable_offers: BTreeMap<Offer, Time>,
    /// Rentals without a response so far, by request id.
    pending_rentals: BTreeMap<String, RentalRequest>,
    /// Set when the cloud has responded to a rental, so that the next run need not wait for the next tick.
    retry_now: bool,
    last_run_at: Time,
}

impl Autoscaler {
    /// Continues to rent machines as soon as responses have arrived, within the cloud's request rate.
    pub(crate) fn continue_scale_out(&mut self, cluster: &mut ClusterState, now: Time) {
        let pause_s = 1.0 / cluster.settings().cluster.cloud.rps;
        if self.retry_now && now - self.last_run_at >= pause_s {
            self.run(cluster, now);
        }
    }

    /// Returns machines that are not needed and rents machines that are.
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

    /// Whether an offer may be requested: the cloud has not recently run short of it.
    fn is_available(&self, offer: &Offer) -> bool {
        !self.unavailable_offers.contains_key(offer)
    }
}

/// Whether most of the machines of earlier leaders have sent a heartbeat with this term's token, or the
/// heartbeat timeout since the election has passed. Until then the machines' free resources are
/// unknown, and a new leader would rent machines for all tasks a second time.
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

//! Scale out: rents machines for a demand and handles the cloud's responses.

use super::demand::Demand;
use super::{Autoscaler, Offer, MIN_CHARGE_S};
use crate::coordination::cluster::{ClusterState, Effect};
use crate::coordination::state::{MachineTypes, Resources};
use crate::coordination::Time;
use crate::protocol::cloud::{RentalRequest, MAX_RENTED};
use tracing::{debug, info};

/// An offer that satisfies a demand, with its price.
struct PricedOffer {
    offer: Offer,
    /// How many tasks fit on one machine.
    slots: u32,
    /// The price per task.
    task_price: f64,
}

impl Autoscaler {
    /// Rents the cheapest suitable machines, as far as their offers are available.
    pub(super) fn scale_out_for(&mut self, cluster: &mut ClusterState, demand: &Demand) {
        let mut left = demand.count;
        // Each offer has at most one rental in flight: the response shows whether more is available.
        let mut tried: Vec<Offer> = self.pending_rentals.values().map(Offer::of).collect();
        while left > 0 {
            let best = self.cheapest_offer(cluster.machine_types(), demand, left, &tried);
            let Some(best) = best else {
                debug!(
                    job = %demand.spec.id,
                    tasks = left,
                    "no suitable machines are available to rent"
                );
                return;
            };
            let count = left.div_ceil(best.slots).min(MAX_RENTED);
            left = left.saturating_sub(count * best.slots);
            self.rent(cluster, demand, &best.offer, count);
            tried.push(best.offer);
        }
    }

    fn rent(&mut self, cluster: &mut ClusterState, demand: &Demand, offer: &Offer, count: u32) {
        let request = format!("r-{}", cluster.leadership_mut().next_id());
        let rent = RentalRequest {
            idempotency_key: request.clone(),
            kind: offer.machine_type.to_string(),
            zone: offer.zone.to_string(),
            spot: offer.spot,
            count,
        };
        info!(
            count,
            machine_type = %offer.machine_type,
            zone = %offer.zone,
            spot = offer.spot,
            job = %demand.spec.id,
            class = %demand.spec.class,
            "renting machines"
        );
        self.pending_rentals.insert(request, rent.clone());
        cluster.push_effect(Effect::RentMachines(rent));
    }

    /// The available offer with the lowest price per task for placing `tasks` tasks; the first among
    /// equals.
    fn cheapest_offer(
        &self,
        machine_types: &MachineTypes,
        demand: &Demand,
        tasks: u32,
        tried: &[Offer],
    ) -> Option<PricedOffer> {
        let spec = &demand.spec;
        let request = Resources::of(spec);
        let mut best: Option<PricedOffer> = None;
        for machine_type in machine_types.iter() {
            let slots = Resources::of_type(machine_type).slots(&request);
            let types = spec.types.as_ref();
            if slots == 0 || types.is_some_and(|types| !types.contains(&machine_type.name)) {
                continue;
            }
            let zones = machine_type.zones.iter();
            let zones = zones.filter(|zone| spec.zone.as_ref().is_none_or(|z| z == *zone));
            let spot_options: &[bool] = if demand.spot {
                &[true, false]
            } else {
                &[false]
            };
            for (zone, spot) in
                zones.flat_map(|zone| spot_options.iter().map(move |spot| (zone, *spot)))
            {
                let offer = Offer::new(&machine_type.name, zone, spot);
                if !self.is_available(&offer) || tried.contains(&offer) {
                    continue;
                }
                let price = if spot {
                    machine_type.spot_price
                } else {
                    machine_type.price
                };
                let task_price = price / f64::from(slots.min(tasks));
                if best.as_ref().is_none_or(|b| task_price < b.task_price) {
                    best = Some(PricedOffer {
                        offer,
                        slots,
                        task_price,
                    });
                }
            }
        }
        best
    }

    /// Handles the result of a rental request: the names of the rented machines, possibly none;
    /// `None` if the request failed without a usable response.
    pub(crate) fn machines_rented(
        &mut self,
        cluster: &mut ClusterState,
        request: &str,
        machines: Option<Vec<String>>,
        now: Time,
    ) {
        let Some(rent) = self.pending_rentals.remove(request) else {
            return;
        };
        let Some(names) = machines else {
            return;
        };
        if (names.len() as u32) < rent.count {
            info!(
                rented = names.len(),
                requested = rent.count,
                machine_type = %rent.kind,
                zone = %rent.zone,
                "fewer machines are available than requested"
            );
            let machine_type = cluster.machine_types().get(&rent.kind);
            let boot_s = machine_type.map_or(MIN_CHARGE_S, |t| t.boot_s);
            self.unavailable_offers
                .insert(Offer::of(&rent), now + boot_s);
        }
        for name in names {
            cluster.add_rented_machine(&name, &rent, now);
        }
        // An offer that supplied all requested machines may have more.
        self.retry_now = true;
    }
}

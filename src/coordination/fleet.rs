//! Which machines to rent and to give back.

use super::core::{Core, Effect};
use super::placement::may_use;
use super::state::*;
use super::Time;
use crate::protocol::cloud::*;
use crate::protocol::job::JobSpec;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use tracing::{debug, info, warn};

/// Arrivals of a class that are remembered.
const REMEMBERED: usize = 16;
/// What a machine costs at least, in seconds of its price.
const LEAST_CHARGE_S: f64 = 60.0;
/// A start counts once the task has run for this long.
const START_COUNTS_S: f64 = 30.0;
/// The share of a job's time that its tasks may take to be worked off.
const HORIZON_SHARE: f64 = 0.5;

struct Arrivals {
    spec: Arc<JobSpec>,
    times: VecDeque<Time>,
}

#[derive(Default)]
pub struct Fleet {
    services: BTreeMap<String, Arrivals>,
    /// Type, zone and kind of rentals that the cloud refused, and until when that is remembered.
    refused: BTreeMap<(Name, Name, bool), Time>,
    renting: BTreeMap<String, Rent>,
}

impl Fleet {
    pub(super) fn arrived(&mut self, spec: &Arc<JobSpec>, now: Time) {
        if spec.kind != crate::protocol::job::Kind::Service {
            return;
        }
        let entry = self
            .services
            .entry(spec.class.clone())
            .or_insert_with(|| Arrivals {
                spec: spec.clone(),
                times: VecDeque::new(),
            });
        entry.spec = spec.clone();
        for _ in 0..spec.tasks.min(REMEMBERED as u32) {
            entry.times.push_back(now);
        }
        while entry.times.len() > REMEMBERED {
            entry.times.pop_front();
        }
    }

    /// Replicas that are expected within the time that a machine takes to boot: their shape,
    /// number and image.
    pub(super) fn expected(&self, core: &Core, now: Time) -> Vec<(Room, u32, String)> {
        let boot_s = core
            .types
            .iter()
            .map(|t| t.boot_s)
            .fold(f64::INFINITY, f64::min);
        if !boot_s.is_finite() {
            return Vec::new();
        }
        let warm = core.settings.policy.warm;
        let of_class = |a: &Arrivals| {
            let oldest = a.times.front()?;
            let rate = a.times.len() as f64 / (now - oldest).max(4.0 * boot_s);
            let mean = rate * boot_s;
            let count = (mean + warm * mean.sqrt()).ceil() as u32;
            Some((Room::of(&a.spec), count, a.spec.image.clone()))
        };
        self.services.values().filter_map(of_class).collect()
    }
}

/// Tasks of one shape that want machines.
struct Demand {
    spec: Arc<JobSpec>,
    count: u32,
    /// Whether the cloud may take the machine back.
    spot: bool,
}

/// Demands of the same shape and with the same choice of machines as one.
fn merged(demands: Vec<Demand>) -> Vec<Demand> {
    let mut merged: Vec<Demand> = Vec::new();
    for demand in demands {
        let same = merged.iter_mut().find(|m| {
            let (a, b) = (&m.spec, &demand.spec);
            m.spot == demand.spot
                && Room::of(a) == Room::of(b)
                && (&a.types, &a.zone) == (&b.types, &b.zone)
        });
        match same {
            Some(m) => m.count += demand.count,
            None => merged.push(demand),
        }
    }
    merged
}

impl Core {
    pub(super) fn manage_fleet(&mut self, now: Time) {
        if self.types.is_empty() {
            return;
        }
        self.fleet.refused.retain(|_, until| *until > now);
        self.return_idle(now);
        self.consolidate(now);
        for demand in merged(self.demands(now)) {
            self.rent_for(&demand);
        }
        self.explain_stalls(now);
    }

    /// The time in which a job's remaining work should be done.
    fn horizon_s(&self, job: &Job, now: Time) -> f64 {
        let objectives = &self.settings.cluster.objectives;
        let within = objectives
            .iter()
            .filter(|o| o.kind == "finished" && o.class.as_deref() == Some(&job.spec.class))
            .filter_map(|o| o.within_s)
            .fold(f64::INFINITY, f64::min);
        let due = job.spec.deadline_s.unwrap_or(f64::INFINITY).min(within);
        let predicted = job.predicted_s.max(1.0);
        if !due.is_finite() {
            return 2.0 * predicted;
        }
        (HORIZON_SHARE * (due - (now - job.arrived))).max(predicted)
    }

    /// What is wanted beyond the machines that are up or coming.
    fn demands(&self, now: Time) -> Vec<Demand> {
        let mut demands = Vec::new();
        // Room on machines that are on their way.
        let mut coming: Vec<(bool, Room)> = Vec::new();
        for m in self.machines.values().filter(|m| m.phase == Phase::Booting) {
            if let Some(t) = self.type_of(&m.kind) {
                coming.push((m.spot, Room::of_type(t)));
            }
        }
        for r in self.fleet.renting.values() {
            if let Some(t) = self.type_of(&r.kind) {
                for _ in 0..r.count {
                    coming.push((r.spot, Room::of_type(t)));
                }
            }
        }
        let mut absorb = |need: &Room, spot: bool, count: u32| {
            let mut left = count;
            for (_, room) in coming.iter_mut().filter(|c| spot || !c.0) {
                while left > 0 && room.fits(need) {
                    room.take(need);
                    left -= 1;
                }
            }
            left
        };
        for job in self
            .jobs
            .values()
            .filter(|j| j.is_service() && !j.cancelled)
        {
            let count = self.wanted(job, job.unplaced_count());
            let left = absorb(&job.need(), job.spec.spot, count);
            if left > 0 {
                demands.push(Demand {
                    spec: job.spec.clone(),
                    count: left,
                    spot: job.spec.spot,
                });
            }
        }
        for (need, count, _) in self.fleet.expected(self, now) {
            let free: u32 = self
                .machines
                .values()
                .filter(|m| m.takes_tasks(now, self.silence_s()) && !m.spot)
                .map(|m| self.free_room(m).slots(&need))
                .sum();
            let left = absorb(&need, false, count.saturating_sub(free));
            let class = self
                .fleet
                .services
                .values()
                .find(|a| Room::of(&a.spec) == need);
            if let (Some(a), true) = (class, left > 0) {
                demands.push(Demand {
                    spec: a.spec.clone(),
                    count: left,
                    spot: false,
                });
            }
        }
        demands.extend(self.batch_demand(now));
        demands
    }

    /// Processors that batches can use, on machines that are up and on those that come.
    fn batch_cpus(&self, now: Time) -> f64 {
        let coming = self.fleet.renting.values().map(|r| {
            let cpus = self.type_of(&r.kind).map_or(0.0, |t| t.cpus);
            cpus * f64::from(r.count)
        });
        let silence_s = self.silence_s();
        let present = self
            .machines
            .values()
            .filter(|m| m.phase == Phase::Booting || m.takes_tasks(now, silence_s))
            .map(|m| {
                let cpus = self.type_of(&m.kind).map_or(0.0, |t| t.cpus);
                let services = m
                    .live()
                    .filter(|(key, _)| self.jobs.get(&key.0).is_some_and(Job::is_service));
                cpus - services.map(|(_, p)| p.need.cpus).sum::<f64>()
            });
        coming.chain(present).sum()
    }

    /// The work of a job that is left, in processor seconds.
    fn work_left(&self, job: &Job, now: Time) -> f64 {
        let running: f64 = Core::live_places(job)
            .filter_map(|(task, machine, attempt)| {
                let key = (job.id.clone(), task, attempt);
                let place = self.machines.get(&machine)?.places.get(&key)?;
                Some(self.predicted_end(&key, place, now) - now)
            })
            .sum();
        let waiting = f64::from(job.unplaced_count()) * job.predicted_s;
        (running + waiting) * job.spec.cpus
    }

    /// What the queue needs: enough that each job, after those before it, ends in its time. New
    /// machines work only once they have booted; what is done by then needs none.
    fn batch_demand(&self, now: Time) -> Option<Demand> {
        let mut batches: Vec<&Job> = self
            .jobs
            .values()
            .filter(|j| !j.is_service() && !j.cancelled && now >= j.retry_at)
            .collect();
        batches.sort_by_key(|j| j.seq);
        let boots = self.types.iter().map(|t| t.boot_s);
        let boot_s = boots.sum::<f64>() / self.types.len().max(1) as f64;
        let have = self.batch_cpus(now);
        let mut work = 0.0;
        let mut best: Option<(f64, &Job)> = None;
        for job in batches {
            work += self.work_left(job, now);
            if self.wanted(job, job.unplaced_count()) == 0 {
                continue;
            }
            let least_s = boot_s + job.predicted_s;
            let within_s = self.horizon_s(job, now).max(least_s);
            let more = (work - have * within_s) / (within_s - boot_s);
            if more > 0.0 && best.is_none_or(|b| more > b.0) {
                best = Some((more, job));
            }
        }
        let (cpus, job) = best?;
        let count = (cpus / job.spec.cpus.max(1e-3)).ceil() as u32;
        Some(Demand {
            spec: job.spec.clone(),
            count,
            spot: job.spec.spot && self.settings.policy.spot,
        })
    }

    /// As many of a job's tasks as its team's limit lets run.
    fn wanted(&self, job: &Job, count: u32) -> u32 {
        let Some(team) = self.team(&job.spec.team) else {
            return 0;
        };
        let used = self.team_use.get(&job.spec.team).map_or(0.0, |u| u.0);
        if team.cpus_max <= 0.0 || job.spec.cpus <= 0.0 {
            return count;
        }
        let free = ((team.cpus_max - used) / job.spec.cpus).max(0.0);
        count.min(free as u32)
    }

    /// Rents the cheapest machines that suit, as far as the cloud has not lately refused them.
    fn rent_for(&mut self, demand: &Demand) {
        let need = Room::of(&demand.spec);
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
                let slots = Room::of_type(t).slots(&need);
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
            let count = left.div_ceil(slots).min(MOST_RENTED);
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
            self.effects.push(Effect::Rent(rent));
        }
    }

    /// What the cloud answered to a rental: the machines, perhaps none; `None` when it has no
    /// answer to give.
    pub fn rented(&mut self, request: &str, machines: Option<Vec<String>>, now: Time) {
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
            let boot_s = self
                .type_of(&rent.kind)
                .map_or(LEAST_CHARGE_S, |t| t.boot_s);
            self.fleet.refused.insert(offer, now + boot_s);
        }
        for name in names {
            let name: Name = name.as_str().into();
            if self.machines.contains_key(&name) || self.gone.contains_key(&name) {
                continue;
            }
            let (kind, zone) = (rent.kind.as_str().into(), rent.zone.as_str().into());
            let m = Machine::new(name.clone(), kind, zone, rent.spot, now);
            self.machines.insert(name, m);
        }
        if self.leads(now) {
            self.manage_fleet(now);
        }
    }

    /// Takes in the cloud's list. It lags: it shows what we do not know, and proves nothing else.
    pub fn listed(&mut self, list: &[ListedMachine], now: Time) {
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
            if l.state == MachineState::Failed && !m.listed_failed {
                warn!("{name}: the cloud lists it as failed");
                m.listed_failed = true;
            }
        }
    }

    /// Gives back machines that stand idle, if what is expected fits without them.
    fn return_idle(&mut self, now: Time) {
        let waiting: Vec<&Job> = self
            .jobs
            .values()
            // A job that waits for its team's limit needs no machine.
            .filter(|j| !j.cancelled && self.wanted(j, j.unplaced_count()) > 0)
            .collect();
        let silence_s = self.silence_s();
        let expected = self.fleet.expected(self, now);
        let idle_share = self.settings.policy.idle;
        let mut kept: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.takes_tasks(now, silence_s))
            .collect();
        let mut idle: Vec<(f64, Name)> = kept
            .iter()
            .filter(|m| m.places.values().all(|p| !p.is_live()))
            .filter_map(|m| {
                let t = self.type_of(&m.kind)?;
                let price = if m.spot { t.spot_price } else { t.price };
                let long = now - m.idle_since > idle_share * t.boot_s;
                let paid = now - m.rented > LEAST_CHARGE_S;
                (long && paid).then(|| (price, m.name.clone()))
            })
            .collect();
        // The dearest first.
        idle.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut returns = Vec::new();
        for (_, name) in idle {
            let m = &self.machines[&name];
            let wanted = waiting.iter().any(|j| may_use(j, m));
            let rest_suffices = expected.iter().all(|(need, count, _)| {
                let rest = kept.iter().filter(|k| !k.spot && k.name != name);
                let slots: u32 = rest.map(|k| self.free_room(k).slots(need)).sum();
                m.spot || slots >= *count
            });
            if !wanted && rest_suffices {
                kept.retain(|k| k.name != name);
                returns.push(name);
            }
        }
        for name in returns {
            info!("{name}: idle, is returned");
            self.give_back(&name);
        }
    }

    /// Moves replicas off a machine that holds nothing else, where others have room for them and
    /// their images, so that it can be returned.
    fn consolidate(&mut self, now: Time) {
        let busy = self
            .machines
            .values()
            .any(|m| m.draining && m.phase == Phase::Up);
        let waiting = self
            .jobs
            .values()
            .any(|j| !j.cancelled && j.unplaced_count() > 0);
        if busy || waiting {
            return;
        }
        let silence_s = self.silence_s();
        let steady: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| !m.spot && m.takes_tasks(now, silence_s))
            .collect();
        let used = |m: &Machine| m.live().map(|(_, p)| p.need.cpus).sum::<f64>();
        let mut candidates: Vec<&Machine> = steady
            .iter()
            .copied()
            .filter(|m| !m.is_empty() && self.holds_settled_replicas(m, now))
            .collect();
        candidates.sort_by(|a, b| used(a).total_cmp(&used(b)));
        let movable = candidates.into_iter().find(|m| {
            let rest = steady.iter().copied().filter(|r| r.name != m.name);
            self.fits_elsewhere(m, rest.collect(), now)
        });
        let Some(m) = movable else {
            return;
        };
        let (name, keys): (Name, Vec<PlaceKey>) = (
            m.name.clone(),
            m.live().map(|(key, _)| key.clone()).collect(),
        );
        info!(
            "{name}: its {} replicas move, so that it can be returned",
            keys.len()
        );
        for key in keys {
            self.stop(&name, &key, 0.0, now);
        }
        if let Some(m) = self.machines.get_mut(&name) {
            m.draining = true;
        }
    }

    /// Whether all on a machine are replicas that have run for long enough to count as started.
    fn holds_settled_replicas(&self, m: &Machine, now: Time) -> bool {
        m.live().all(|(key, place)| {
            let service = self.jobs.get(&key.0).is_some_and(Job::is_service);
            let settled = place
                .running_since
                .is_some_and(|t| now - t > START_COUNTS_S);
            service && settled && place.stop.is_none()
        })
    }

    /// Whether a machine's replicas, and those that are expected, fit on the others.
    fn fits_elsewhere(&self, m: &Machine, rest: Vec<&Machine>, now: Time) -> bool {
        let mut rooms: Vec<Room> = rest.iter().map(|r| self.free_room(r)).collect();
        let mut put = |need: &Room, allowed: &dyn Fn(&Machine) -> bool| {
            let found = (0..rest.len()).find(|i| rooms[*i].fits(need) && allowed(rest[*i]));
            if let Some(i) = found {
                rooms[i].take(need);
            }
            found.is_some()
        };
        let moved = m.live().all(|(key, place)| {
            let job = &self.jobs[&key.0];
            let zoned = job.spec.one_zone || job.spec.spread;
            put(&place.need, &|r| {
                let same_zone = !zoned || r.zone == m.zone;
                same_zone && may_use(job, r) && r.images.contains_key(&job.spec.image)
            })
        });
        let expected = self.fleet.expected(self, now);
        moved
            && expected
                .iter()
                .all(|(need, count, _)| (0..*count).all(|_| put(need, &|_| true)))
    }
}

//! Which machines to give back: those that stand idle, and those whose replicas fit elsewhere.

use crate::coordination::autoscaling::scale_out::MIN_CHARGE_S;
use crate::coordination::cluster::ClusterState;
use crate::coordination::scheduling::placement::may_use;
use crate::coordination::state::{AllocationId, Job, Machine, MachinePhase, Name, Resources};
use crate::coordination::Time;
use std::collections::HashMap;
use tracing::info;

/// Free processors that are kept for each that waiting tasks take: they do not fit everywhere.
const ROOM_FOR_WAITING: f64 = 1.25;
/// Machines whose replicas may be moved in one tick, as a share of those that are up, and those
/// that are looked at for it.
const MOVED_SHARE: f64 = 0.05;
const MOVE_CANDIDATES: usize = 16;
/// A start counts once the task has run for this long.
const START_COUNTS_S: f64 = 30.0;

/// Processors on all machines, and on those that the cloud does not take back.
#[derive(Clone, Copy, Default)]
struct Surplus {
    all: f64,
    steady: f64,
}

impl Surplus {
    fn add(&mut self, m: &Machine, cpus: f64) {
        self.all += cpus;
        if !m.spot {
            self.steady += cpus;
        }
    }
}

/// A job that waits, and the processors that its tasks would take.
struct Waiting<'a> {
    job: &'a Job,
    cpus: f64,
}

impl Waiting<'_> {
    /// Whether the job keeps the machine: one that may only use some keeps all of those.
    fn keeps(&self, m: &Machine) -> bool {
        let spec = &self.job.spec;
        let any = spec.gpus <= 0.0 && spec.types.is_none() && spec.zone.is_none();
        !any && may_use(self.job, m)
    }
}

impl ClusterState {
    /// Gives back machines that stand idle, if what is expected fits without them.
    pub(crate) fn return_idle(&mut self, now: Time) {
        let mut idle = self.idle_machines(now);
        if idle.is_empty() {
            return;
        }
        let free = self.free_beyond_expected(now);
        let waiting = self.waiting_cpus();
        let mut surplus_by_kind: HashMap<(&Name, &Name, bool), Surplus> = HashMap::new();
        let mut returned = Surplus::default();
        let mut returns = Vec::new();
        // The dearest first.
        idle.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, m) in idle {
            let surplus = surplus_by_kind
                .entry((&m.kind, &m.zone, m.spot))
                .or_insert_with(|| self.surplus(free, &waiting, m));
            let cpus = self.free_room(m).cpus;
            let enough = surplus.all - returned.all >= cpus
                && (m.spot || surplus.steady - returned.steady >= cpus);
            if enough && !waiting.iter().any(|w| w.keeps(m)) {
                returned.add(m, cpus);
                returns.push(m.name.clone());
            }
        }
        for name in returns {
            info!("{name}: idle, is returned");
            self.give_back(&name);
        }
    }

    /// Machines that have stood idle for long enough, and their prices.
    fn idle_machines(&self, now: Time) -> Vec<(f64, &Machine)> {
        let idle_share = self.settings.policy.idle;
        let empty = self.machines.values();
        let empty = empty.filter(|m| self.takes_tasks(m, now) && m.is_empty());
        let priced = empty.filter_map(|m| {
            let t = self.type_of(&m.kind)?;
            let price = if m.spot { t.spot_price } else { t.price };
            let long = now - m.idle_since > idle_share * t.boot_s;
            let paid = now - m.rented > MIN_CHARGE_S;
            (long && paid).then_some((price, m))
        });
        priced.collect()
    }

    /// Free processors on all machines, beyond what the services that are expected take.
    fn free_beyond_expected(&self, now: Time) -> Surplus {
        let mut free = Surplus::default();
        for m in self.machines.values() {
            if self.takes_tasks(m, now) {
                free.add(m, self.free_room(m).cpus);
            }
        }
        for (need, count, _) in self.fleet.expected(self, now) {
            let cpus = need.cpus * f64::from(count);
            free.all -= cpus;
            free.steady -= cpus;
        }
        free
    }

    /// What waits, as far as limits let it start.
    fn waiting_cpus(&self) -> Vec<Waiting<'_>> {
        let jobs = self.jobs.values().filter(|j| j.may_begin());
        let waiting = jobs.filter_map(|job| {
            // One that waits for its team's limit needs no machine.
            let tasks = self.wanted(job, job.unplaced_count());
            let cpus = f64::from(tasks) * job.spec.cpus;
            (tasks > 0).then_some(Waiting { job, cpus })
        });
        waiting.collect()
    }

    /// Free processors beyond what is expected and what waits for machines like this one. With many
    /// jobs there is always one that waits for a moment, so that alone keeps no machine; nor does
    /// what fits no machine like it.
    fn surplus(&self, free: Surplus, waiting: &[Waiting], m: &Machine) -> Surplus {
        let mut surplus = free;
        let Some(kind) = self.type_of(&m.kind) else {
            return surplus;
        };
        let room = Resources::of_type(kind);
        let suited = waiting
            .iter()
            .filter(|w| may_use(w.job, m) && room.fits(&w.job.need()));
        for w in suited {
            surplus.all -= ROOM_FOR_WAITING * w.cpus;
            if !w.job.spec.spot {
                surplus.steady -= ROOM_FOR_WAITING * w.cpus;
            }
        }
        surplus
    }

    /// Moves replicas off machines that hold nothing else, where others have room for them and
    /// their images, so that these can be returned.
    pub(crate) fn consolidate(&mut self, now: Time) {
        let up = self
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Up);
        let (mut count, mut moving) = (0, 0);
        for m in up {
            count += 1;
            moving += usize::from(m.draining);
        }
        let most = ((MOVED_SHARE * count as f64) as usize).max(1);
        let waiting = || {
            self.jobs
                .values()
                .any(|j| j.may_begin() && j.unplaced_count() > 0)
        };
        if moving >= most || waiting() {
            return;
        }
        let mut steady: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| !m.spot && self.takes_tasks(m, now))
            .collect();
        let mut candidates: Vec<&Machine> = steady
            .iter()
            .copied()
            .filter(|m| !m.is_empty() && self.holds_settled_replicas(m, now))
            .collect();
        candidates.sort_by(|a, b| a.used().cpus.total_cmp(&b.used().cpus));
        // The fullest others come first: what they take leaves the emptier ones to follow.
        steady.sort_by(|a, b| self.free_room(a).cpus.total_cmp(&self.free_room(b).cpus));
        let expected = self.fleet.expected(self, now);
        let mut taken: HashMap<usize, Resources> = HashMap::new();
        let mut leaving: Vec<(Name, Vec<AllocationId>)> = Vec::new();
        for m in candidates.into_iter().take(MOVE_CANDIDATES) {
            if moving + leaving.len() >= most {
                break;
            }
            // None goes to a machine that is to empty itself.
            let others = |i: usize| {
                let name = &steady[i].name;
                *name != m.name && leaving.iter().all(|(l, _)| l != name)
            };
            if let Some(more) = self.fits_elsewhere(m, &steady, &others, &taken, &expected) {
                taken = more;
                let keys = m.live().map(|(key, _)| key.clone()).collect();
                leaving.push((m.name.clone(), keys));
            }
        }
        for (name, keys) in leaving {
            let count = keys.len();
            info!("{name}: its {count} replicas move, so that it can be returned");
            for key in keys {
                self.stop(&name, &key, 0.0, now);
            }
            if let Some(m) = self.machines.get_mut(&name) {
                m.draining = true;
            }
        }
    }

    /// Whether all on a machine are replicas that have run for long enough to count as started.
    fn holds_settled_replicas(&self, m: &Machine, now: Time) -> bool {
        m.live().all(|(_, place)| {
            let settled = place
                .running_since
                .is_some_and(|t| now - t > START_COUNTS_S);
            place.load.run_s.is_none() && settled && place.stop.is_none()
        })
    }

    /// What others would hold beyond what they do now and what is `taken` already, if a machine's
    /// replicas moved there: nothing, if they and those that are expected do not fit.
    fn fits_elsewhere(
        &self,
        m: &Machine,
        steady: &[&Machine],
        others: &dyn Fn(usize) -> bool,
        taken: &HashMap<usize, Resources>,
        expected: &[(Resources, u32, String)],
    ) -> Option<HashMap<usize, Resources>> {
        let mut taken = taken.clone();
        let room = |i: usize, taken: &HashMap<usize, Resources>| {
            let mut room = self.free_room(steady[i]);
            room.take(&taken.get(&i).copied().unwrap_or_default());
            room
        };
        for (key, place) in m.live() {
            let job = &self.jobs[&key.0];
            let zoned = job.spec.one_zone || job.spec.spread;
            let takes = |i: &usize| {
                let r = steady[*i];
                let allowed = (!zoned || r.zone == m.zone) && may_use(job, r);
                allowed
                    && r.images.contains(&job.spec.image)
                    && others(*i)
                    && room(*i, &taken).fits(&place.load.need)
            };
            let i = (0..steady.len()).find(takes)?;
            taken.entry(i).or_default().add(&place.load.need);
        }
        let fit = expected.iter().all(|(need, count, _)| {
            let free = (0..steady.len()).filter(|i| others(*i));
            let slots: u32 = free.map(|i| room(i, &taken).slots(need)).sum();
            slots >= *count
        });
        fit.then_some(taken)
    }
}

//! Which machine takes a task: types, zones, kinds, limits, images and room.

mod arrays;
mod gangs;
mod services;

use crate::coordination::cluster::ClusterState;
use crate::coordination::state::{AllocationId, Job, Machine, Name, Resources};
use crate::coordination::Time;
use crate::protocol::cloud::MachineType;
use std::collections::{BTreeSet, HashMap, HashSet};

pub(crate) struct PlannedAllocation {
    pub job: Name,
    pub task: u32,
    pub machine: Name,
    /// All tasks of a gang share their attempt.
    pub gang: bool,
}

#[derive(Default)]
pub(crate) struct SchedulingPlan {
    pub places: Vec<PlannedAllocation>,
    pub stops: Vec<(Name, AllocationId)>,
    /// Jobs of which nothing runs, and that found room but for the reservation.
    pub withheld: BTreeSet<Name>,
}

/// One pass of placing: rooms and limits as they will be once its plans are carried out.
pub(crate) struct SchedulingCycle<'a> {
    core: &'a ClusterState,
    pub now: Time,
    machines: Vec<&'a Machine>,
    kinds: Vec<Option<&'a MachineType>>,
    open: Vec<bool>,
    rooms: Vec<Resources>,
    /// Resources on each machine that is kept warm for services.
    warm: Vec<Resources>,
    /// The order in which machines fill, from 0 to 1: what comes last empties first, and can be
    /// returned.
    rank: Vec<f64>,
    team_use: HashMap<String, (f64, f64)>,
    zones: HashMap<Name, HashMap<Name, u32>>,
    victims: HashSet<AllocationId>,
    plans: SchedulingPlan,
    full_for: Vec<arrays::Full>,
    /// Tasks of each job that are planned in this pass.
    placed: HashMap<Name, usize>,
}

/// More than any fetch takes: where the job has failed, and where several others have.
const FAILED_PENALTY_S: f64 = 1e6;
const SUSPECT_PENALTY_S: f64 = 1e5;
/// Jobs that have failed on a machine since one last completed there, before it comes last.
const SUSPECT_JOBS: usize = 2;

impl<'a> SchedulingCycle<'a> {
    pub(crate) fn new(core: &'a ClusterState, now: Time) -> SchedulingCycle<'a> {
        let machines: Vec<&Machine> = core.machines.values().collect();
        let kinds: Vec<Option<&MachineType>> =
            machines.iter().map(|m| core.type_of(&m.kind)).collect();
        let of_types = || machines.iter().zip(&kinds);
        let open = of_types()
            .map(|(m, kind)| kind.is_some() && core.takes_tasks(m, now))
            .collect();
        let rooms = of_types().map(|(m, kind)| room_left(m, *kind)).collect();
        let rank = fill_order(&machines, &kinds);
        SchedulingCycle {
            core,
            now,
            rank,
            warm: vec![Resources::default(); machines.len()],
            machines,
            kinds,
            open,
            rooms,
            team_use: core.team_use.clone(),
            zones: HashMap::new(),
            victims: HashSet::new(),
            plans: SchedulingPlan::default(),
            full_for: Vec::new(),
            placed: HashMap::new(),
        }
    }

    pub(crate) fn finish(self) -> SchedulingPlan {
        self.plans
    }

    pub(crate) fn machine(&self, i: usize) -> &'a Machine {
        self.machines[i]
    }

    /// Processors of all machines that take tasks.
    pub(crate) fn cpus(&self) -> f64 {
        let open = self.kinds.iter().zip(&self.open).filter(|(_, open)| **open);
        open.map(|(kind, _)| kind.map_or(0.0, |t| t.cpus)).sum()
    }

    /// What batches may use of a machine's room.
    pub(crate) fn room(&self, i: usize) -> Resources {
        let mut room = self.rooms[i];
        room.take(&self.warm[i]);
        room
    }

    /// Machines that may take a task of the job at all.
    pub(crate) fn allowed<'b>(&'b self, job: &'b Job) -> impl Iterator<Item = usize> + 'b {
        (0..self.machines.len()).filter(move |i| {
            let m = self.machines[*i];
            self.open[*i] && may_use(job, m)
        })
    }

    fn within_limit(&self, job: &Job, tasks: u32) -> bool {
        let Some(team) = self.core.team(&job.spec.team) else {
            return false;
        };
        let used = self
            .team_use
            .get(&job.spec.team)
            .copied()
            .unwrap_or_default();
        let fits = |used: f64, need: f64, most: f64| {
            most <= 0.0 || need <= 0.0 || used + need * f64::from(tasks) <= most + 1e-9
        };
        fits(used.0, job.spec.cpus, team.cpus_max) && fits(used.1, job.spec.gpus, team.gpus_max)
    }

    fn zones_of(&mut self, job: &Job) -> &mut HashMap<Name, u32> {
        let core = self.core;
        self.zones.entry(job.id.clone()).or_insert_with(|| {
            let mut zones = HashMap::new();
            for at in job.tasks.iter().flat_map(|t| &t.at) {
                if let Some(m) = core.machines.get(&at.machine) {
                    *zones.entry(m.zone.clone()).or_default() += 1;
                }
            }
            zones
        })
    }

    fn zone_allowed(&mut self, job: &Job, zone: &Name) -> bool {
        let (one_zone, spread) = (job.spec.one_zone, job.spec.spread);
        if !one_zone && !spread {
            return true;
        }
        let most = job.most_in_zone();
        let zones = self.zones_of(job);
        // The zone of a machine that is known by its name only may be any.
        let unknown = zones.get("").copied().unwrap_or(0);
        let here = unknown + zones.get(zone).copied().unwrap_or(0);
        let elsewhere = zones.iter().any(|(z, n)| z != zone && *n > 0);
        !(one_zone && elsewhere || spread && here >= most)
    }

    /// Seconds until a task could start there. Where the job or several others have failed before
    /// comes last, but stays allowed: there may be no other machine.
    fn delay_s(&self, job: &Job, i: usize) -> f64 {
        failure_penalty_s(job, self.machines[i]) + self.fetch_s(job, i)
    }

    /// While many machines fail together, one that has not been heard since may have failed with them:
    /// seconds until its report would tell.
    fn unheard_penalty_s(&self, m: &Machine) -> f64 {
        let report_s = self.core.settings.cluster.workers.report_s;
        match (self.core.mass_failure_since, m.heard) {
            (Some(since), Some(heard)) if heard < since => report_s,
            _ => 0.0,
        }
    }

    fn fetch_s(&self, job: &Job, i: usize) -> f64 {
        if self.machines[i].images.contains(&job.spec.image) {
            return 0.0;
        }
        let rate = self.kinds[i].map_or(1.0, |t| t.fetch_gb_per_s);
        job.spec.image_gb / rate.max(1e-3)
    }

    fn plan(&mut self, job: &Job, task: u32, i: usize, gang: bool) {
        let need = job.need();
        self.rooms[i].take(&need);
        let usage = self.team_use.entry(job.spec.team.clone()).or_default();
        usage.0 += need.cpus;
        usage.1 += need.gpus;
        // Other jobs' zones are never asked for.
        if job.spec.one_zone || job.spec.spread {
            let zone = self.machines[i].zone.clone();
            *self.zones_of(job).entry(zone).or_default() += 1;
        }
        *self.placed.entry(job.id.clone()).or_default() += 1;
        self.plans.places.push(PlannedAllocation {
            job: job.id.clone(),
            task,
            machine: self.machines[i].name.clone(),
            gang,
        });
    }

    /// Only the reservation keeps the job from the room that there is.
    fn withhold(&mut self, job: &Job) {
        if job.live == 0 {
            self.plans.withheld.insert(job.id.clone());
        }
    }
}

/// What failures on a machine count for, in seconds of waiting.
fn failure_penalty_s(job: &Job, m: &Machine) -> f64 {
    if job.failed_on.contains_key(&m.name) {
        FAILED_PENALTY_S
    } else if m.failures.len() >= SUSPECT_JOBS {
        SUSPECT_PENALTY_S
    } else {
        0.0
    }
}

/// Whether the job's description lets its tasks use the machine.
pub(crate) fn may_use(job: &Job, m: &Machine) -> bool {
    let spec = &job.spec;
    let kind = spec
        .types
        .as_ref()
        .is_none_or(|t| t.iter().any(|t| **t == *m.kind));
    let zone = spec.zone.as_ref().is_none_or(|z| **z == *m.zone);
    kind && zone && (spec.spot || !m.spot)
}

/// Ranks machines: those that the cloud may take back first, as only batches can use them, then by
/// the price of a processor, then by age.
fn fill_order(machines: &[&Machine], kinds: &[Option<&MachineType>]) -> Vec<f64> {
    let price = |(m, kind): (&&Machine, &Option<&MachineType>)| {
        kind.map_or(0.0, |t| {
            let price = if m.spot { t.spot_price } else { t.price };
            price / t.cpus.max(1e-3)
        })
    };
    let prices: Vec<f64> = machines.iter().zip(kinds).map(price).collect();
    // They come by name, and a stable sort leaves equals so.
    let mut order: Vec<usize> = (0..machines.len()).collect();
    order.sort_by(|a, b| {
        let spot_first = machines[*b].spot.cmp(&machines[*a].spot);
        spot_first.then(prices[*a].total_cmp(&prices[*b]))
    });
    let mut rank = vec![0.0; machines.len()];
    for (place, i) in order.iter().enumerate() {
        rank[*i] = place as f64 / machines.len() as f64;
    }
    rank
}

/// What is free on a machine of a type: all that is or may be there counts, but for what a stop in
/// the same message ends at once.
fn room_left(m: &Machine, kind: Option<&MachineType>) -> Resources {
    let Some(kind) = kind else {
        return Resources::default();
    };
    let mut room = Resources::of_type(kind);
    room.take(&m.used());
    room
}

impl ClusterState {
    /// What is free on a machine.
    pub(crate) fn free_room(&self, m: &Machine) -> Resources {
        room_left(m, self.type_of(&m.kind))
    }
}

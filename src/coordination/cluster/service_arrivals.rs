//! Counts the arrivals and departures of services' replicas by class, and forecasts arrivals.

use crate::coordination::state::Resources;
use crate::coordination::Time;
use crate::protocol::job::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The length of the window over which arrivals and departures are counted, in boot times of a machine.
const WINDOW_BOOT_TIMES: f64 = 4.0;

/// Numbers of replicas by the second in which they arrived or departed.
#[derive(Default)]
struct CountsBySecond(BTreeMap<i64, u32>);

impl CountsBySecond {
    fn add(&mut self, replicas: u32, now: Time) {
        *self.0.entry(now.floor() as i64).or_default() += replicas;
    }

    fn since(&self, from: Time) -> f64 {
        let counts = self.0.range(from.ceil() as i64..).map(|(_, n)| *n);
        f64::from(counts.sum::<u32>())
    }

    fn forget_before(&mut self, from: Time) {
        self.0 = self.0.split_off(&(from.floor() as i64));
    }
}

/// The average numbers of replicas that arrive and depart during the boot time of a machine.
struct ReplicaRates {
    arrivals: f64,
    departures: f64,
}

/// The recent arrivals and departures of one class.
struct ClassArrivals {
    /// The latest job of the class.
    spec: Arc<JobSpec>,
    /// The first arrival of the class. Replicas that arrived at the start do not indicate future
    /// arrivals.
    first_arrived_at: Time,
    arrivals: CountsBySecond,
    departures: CountsBySecond,
}

impl ClassArrivals {
    fn new(spec: Arc<JobSpec>, now: Time) -> ClassArrivals {
        ClassArrivals {
            spec,
            first_arrived_at: now,
            arrivals: CountsBySecond::default(),
            departures: CountsBySecond::default(),
        }
    }

    fn arrived(&mut self, spec: &Arc<JobSpec>, now: Time) {
        self.spec = spec.clone();
        self.first_arrived_at = self.first_arrived_at.min(now);
        self.arrivals.add(spec.tasks, now);
    }

    /// The rates over the last few boot times, without the first `skipped_s` of the class.
    fn rates(&self, boot_s: f64, skipped_s: f64, now: Time) -> ReplicaRates {
        let window_s = WINDOW_BOOT_TIMES * boot_s;
        let from = (now - window_s).max(self.first_arrived_at + skipped_s);
        ReplicaRates {
            arrivals: self.arrivals.since(from) * boot_s / window_s,
            departures: self.departures.since(from) * boot_s / window_s,
        }
    }

    fn forget_old(&mut self, boot_s: f64, now: Time) {
        let from = now - WINDOW_BOOT_TIMES * boot_s;
        self.arrivals.forget_before(from);
        self.departures.forget_before(from);
    }
}

/// Replicas that are expected to arrive before a machine rented for them could boot.
#[derive(Clone, Debug)]
pub(crate) struct ExpectedReplicas {
    /// The resources that each replica requests.
    pub request: Resources,
    /// The expected number of replicas.
    pub count: u32,
    /// The image of the replicas.
    pub image: String,
}

/// How far the forecast looks ahead, and by how much it exceeds the mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForecastHorizon {
    /// The boot time of the machine type that boots fastest, in seconds.
    pub boot_s: f64,
    /// The margin above the mean, in standard deviations.
    pub deviations: f64,
    /// Seconds after a class's first arrival that do not count.
    pub skipped_s: f64,
}

/// The arrivals and departures of services, by class.
#[derive(Default)]
pub(crate) struct ServiceArrivals {
    by_class: BTreeMap<String, ClassArrivals>,
}

impl ServiceArrivals {
    /// Counts the arrival of a job, if it is a service.
    pub(super) fn arrived(&mut self, spec: &Arc<JobSpec>, now: Time) {
        if spec.kind == JobKind::Service {
            let entry = self.by_class.entry(spec.class.clone());
            let class = entry.or_insert_with(|| ClassArrivals::new(spec.clone(), now));
            class.arrived(spec, now);
        }
    }

    /// Counts the departure of a finished job, if it is a service.
    pub(super) fn departed(&mut self, spec: &JobSpec, now: Time) {
        if let Some(class) = self.by_class.get_mut(&spec.class) {
            class.departures.add(spec.tasks, now);
        }
    }

    /// The replicas of each class that are expected within the horizon, beyond those whose resources
    /// become free in that time.
    pub(super) fn expected(&self, horizon: ForecastHorizon, now: Time) -> Vec<ExpectedReplicas> {
        let of_class = |class: &ClassArrivals| {
            let rates = class.rates(horizon.boot_s, horizon.skipped_s, now);
            let growth = (rates.arrivals - rates.departures).max(0.0);
            let margin = horizon.deviations * rates.arrivals.sqrt();
            ExpectedReplicas {
                request: Resources::of(&class.spec),
                count: (growth + margin).ceil() as u32,
                image: class.spec.image.clone(),
            }
        };
        self.by_class.values().map(of_class).collect()
    }

    /// The latest job of the first class whose replicas have this request.
    pub(crate) fn spec_with_request(&self, request: &Resources) -> Option<&Arc<JobSpec>> {
        let mut specs = self.by_class.values().map(|class| &class.spec);
        specs.find(|spec| Resources::of(spec) == *request)
    }

    /// Drops counts that are too old for any forecast.
    pub(super) fn forget_old(&mut self, boot_s: f64, now: Time) {
        for class in self.by_class.values_mut() {
            class.forget_old(boot_s, now);
        }
    }
}

//! How many replicas of each class of services come and go, and how many are expected.

use crate::coordination::state::Resources;
use crate::coordination::Time;
use crate::protocol::job::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Boot times over which arrivals and departures of services are counted.
const WINDOW_BOOTS: f64 = 4.0;

/// Replicas by the second in which they came or went.
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

/// Replicas that come and go in the time that a machine takes to boot, on average.
struct ReplicaRates {
    arrivals: f64,
    departures: f64,
}

/// The replicas of one class that came and went of late.
struct ClassArrivals {
    /// The class's latest job.
    spec: Arc<JobSpec>,
    /// What was there at first is no sign of what comes.
    first: Time,
    arrivals: CountsBySecond,
    departures: CountsBySecond,
}

impl ClassArrivals {
    fn new(spec: Arc<JobSpec>, now: Time) -> ClassArrivals {
        ClassArrivals {
            spec,
            first: now,
            arrivals: CountsBySecond::default(),
            departures: CountsBySecond::default(),
        }
    }

    fn arrived(&mut self, spec: &Arc<JobSpec>, now: Time) {
        self.spec = spec.clone();
        self.first = self.first.min(now);
        self.arrivals.add(spec.tasks, now);
    }

    /// By the last few boot times; what was there in the first `skipped_s` does not count.
    fn rates(&self, boot_s: f64, skipped_s: f64, now: Time) -> ReplicaRates {
        let window_s = WINDOW_BOOTS * boot_s;
        let from = (now - window_s).max(self.first + skipped_s);
        ReplicaRates {
            arrivals: self.arrivals.since(from) * boot_s / window_s,
            departures: self.departures.since(from) * boot_s / window_s,
        }
    }

    fn forget_old(&mut self, boot_s: f64, now: Time) {
        let from = now - WINDOW_BOOTS * boot_s;
        self.arrivals.forget_before(from);
        self.departures.forget_before(from);
    }
}

/// Replicas that are expected before a machine could be rented for them.
#[derive(Clone, Debug)]
pub(crate) struct ExpectedReplicas {
    /// What each requests.
    pub request: Resources,
    /// How many are expected.
    pub count: u32,
    /// Their image.
    pub image: String,
}

/// How far ahead replicas are expected, and how many more than the mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForecastHorizon {
    /// How long the machine type that boots soonest takes, in seconds.
    pub boot_s: f64,
    /// Standard deviations above the mean.
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
    /// Counts a job that has arrived, if it is a service.
    pub(super) fn arrived(&mut self, spec: &Arc<JobSpec>, now: Time) {
        if spec.kind == JobKind::Service {
            let entry = self.by_class.entry(spec.class.clone());
            let class = entry.or_insert_with(|| ClassArrivals::new(spec.clone(), now));
            class.arrived(spec, now);
        }
    }

    /// Counts a job that has ended, if it is a service.
    pub(super) fn departed(&mut self, spec: &JobSpec, now: Time) {
        if let Some(class) = self.by_class.get_mut(&spec.class) {
            class.departures.add(spec.tasks, now);
        }
    }

    /// Replicas of each class that are expected within the horizon, beyond those whose resources come
    /// free by then.
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

    /// The latest job of the first class whose replicas make a request.
    pub(crate) fn spec_with_request(&self, request: &Resources) -> Option<&Arc<JobSpec>> {
        let mut specs = self.by_class.values().map(|class| &class.spec);
        specs.find(|spec| Resources::of(spec) == *request)
    }

    /// Drops what no decision will look back to.
    pub(super) fn forget_old(&mut self, boot_s: f64, now: Time) {
        for class in self.by_class.values_mut() {
            class.forget_old(boot_s, now);
        }
    }
}

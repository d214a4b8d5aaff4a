//! The priorities and deadlines that jobs inherit from their dependents, against a simple model, for pipelines
//! of any shape whose ids come in any order.

mod common;

use common::random::SplitMix64;
use common::{manager, manager_with_token, parse_submission, submission, Store};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::job::Priority;
use stairstage::protocol::store::Transaction;
use stairstage::storage::records::{open_key, OpenRecord};

/// The most jobs of a pipeline.
const MAX_JOBS: usize = 240;
/// The most jobs and dependencies that one step of the leader may visit, besides those of one job.
const MAX_VISITS_PER_STEP: u64 = 4_000;
/// Seconds that a machine needs to fetch the image of a job.
const FETCH_S: f64 = 1.0;
/// Tolerance for sums of run times in different orders, in seconds.
const TOLERANCE_S: f64 = 1e-6;

const PRIORITIES: [&str; 4] = ["idle", "normal", "urgent", "critical"];

/// Which jobs before it each job of a pipeline names.
#[derive(Clone, Copy, Debug)]
enum Shape {
    AllBefore,
    Window(usize),
    Random { percent: u64 },
}

/// The order of the ids along a pipeline.
#[derive(Clone, Copy, Debug)]
enum IdOrder {
    Ascending,
    Descending,
    Mixed,
}

#[derive(Clone, Debug)]
struct PipelineJob {
    id: String,
    dependencies: Vec<usize>,
    estimate_s: f64,
    priority: Priority,
    due_s: Option<f64>,
}

/// How a pipeline is generated.
#[derive(Clone, Copy, Debug)]
struct Pipeline {
    jobs: usize,
    shape: Shape,
    order: IdOrder,
    /// How many of a hundred jobs have a deadline and a priority of their own, besides the last one.
    urgent_percent: u64,
    seed: u64,
}

impl Pipeline {
    fn generate(&self) -> Vec<PipelineJob> {
        let mut random = SplitMix64(self.seed);
        let numbers = self.numbers(&mut random);
        let mut jobs = Vec::new();
        for (k, number) in numbers.iter().enumerate() {
            let is_urgent = k + 1 == self.jobs || random.next() % 100 < self.urgent_percent;
            let priority = if is_urgent {
                random.next() as usize % 4
            } else {
                0
            };
            let due_s = 30_000.0 + (random.next() % 1_000) as f64;
            jobs.push(PipelineJob {
                id: format!("req-{:06}", 100_000 + number),
                dependencies: self.dependencies(k, &mut random),
                estimate_s: 10.0 + (random.next() % 590) as f64,
                priority: serde_json::from_value(json!(PRIORITIES[priority])).unwrap(),
                due_s: is_urgent.then_some(due_s),
            });
        }
        jobs
    }

    fn numbers(&self, random: &mut SplitMix64) -> Vec<usize> {
        let mut numbers: Vec<usize> = (0..self.jobs).collect();
        match self.order {
            IdOrder::Ascending => {}
            IdOrder::Descending => numbers.reverse(),
            IdOrder::Mixed => numbers.sort_by_cached_key(|_| random.next()),
        }
        numbers
    }

    fn dependencies(&self, k: usize, random: &mut SplitMix64) -> Vec<usize> {
        match self.shape {
            Shape::AllBefore => (0..k).collect(),
            Shape::Window(len) => (k.saturating_sub(len)..k).collect(),
            Shape::Random { percent } => (0..k).filter(|_| random.next() % 100 < percent).collect(),
        }
    }
}

fn pipelines() -> impl Strategy<Value = Pipeline> {
    let shape = prop_oneof![
        Just(Shape::AllBefore),
        (1..60usize).prop_map(Shape::Window),
        (1..100u64).prop_map(|percent| Shape::Random { percent }),
    ];
    let order = prop_oneof![
        Just(IdOrder::Ascending),
        Just(IdOrder::Descending),
        Just(IdOrder::Mixed)
    ];
    (2..=MAX_JOBS, shape, order, 0..30u64, any::<u64>()).prop_map(
        |(jobs, shape, order, urgent_percent, seed)| Pipeline {
            jobs,
            shape,
            order,
            urgent_percent,
            seed,
        },
    )
}

/// The priority and the latest end of each job, computed from the last job to the first one.
fn expected(jobs: &[PipelineJob]) -> Vec<(Priority, f64)> {
    let own = jobs.iter();
    let own = own.map(|job| (job.priority, job.due_s.unwrap_or(f64::INFINITY)));
    let mut urgencies: Vec<(Priority, f64)> = own.collect();
    for (k, job) in jobs.iter().enumerate().rev() {
        let (priority, latest) = urgencies[k];
        for dependency in &job.dependencies {
            let inherited = &mut urgencies[*dependency];
            inherited.0 = inherited.0.max(priority);
            inherited.1 = inherited.1.min(latest - job.estimate_s - FETCH_S);
        }
    }
    urgencies
}

/// Runs a step.
fn step(leader: &mut ClusterManager) {
    leader.step(0.0);
    leader.take_effects();
}

/// Runs steps until nothing is left to update. Since `visits_before`, each job and dependency may have been
/// visited once, and each dependency once more to find its jobs.
fn settle(leader: &mut ClusterManager, jobs: &[PipelineJob], visits_before: u64) {
    let count = jobs.len() as u64;
    let links = jobs.iter().map(|job| job.dependencies.len() as u64);
    let links: u64 = links.sum();
    loop {
        let before = leader.urgency_visits();
        step(leader);
        let visited = leader.urgency_visits() - before;
        assert!(visited <= MAX_VISITS_PER_STEP + 2 * count, "{visited}");
        let visits = leader.urgency_visits() - visits_before;
        assert!(
            visits <= count + 2 * links,
            "{visits} visits for {count} jobs with {links} dependencies"
        );
        if visited == 0 {
            return;
        }
    }
}

fn check(leader: &ClusterManager, jobs: &[PipelineJob]) {
    for (job, (priority, latest)) in jobs.iter().zip(expected(jobs)) {
        let found = leader.job(&job.id).unwrap();
        assert_eq!(found.priority, priority, "{}", job.id);
        let deadline = found
            .deadline
            .as_ref()
            .map_or(f64::INFINITY, |d| d.latest());
        let is_equal = deadline == latest || (deadline - latest).abs() < TOLERANCE_S;
        assert!(is_equal, "{}: {deadline} instead of {latest}", job.id);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    /// Guards against a leader that answers nothing any more: it visited the jobs of a pipeline again and again
    /// if their ids came in no order, on each submission and when it read the records.
    #[test]
    fn inherited_urgency_takes_one_visit_for_each_dependency(pipeline in pipelines()) {
        let jobs = pipeline.generate();
        let count = jobs.len() as u64;
        let mut store = Store::default();
        let mut leader = manager();
        for job in &jobs {
            let mut body = submission(&job.id, "sweep", "normal", 1);
            let names = job.dependencies.iter().map(|k| jobs[*k].id.as_str());
            body["waits_on"] = json!(names.collect::<Vec<_>>());
            body["passage_s"] = json!(job.estimate_s);
            body["precedence"] = serde_json::to_value(job.priority).unwrap();
            body["due_s"] = json!(job.due_s);
            let record = OpenRecord::accepted(parse_submission(&body), 0);
            let value = serde_json::to_value(&record).unwrap();
            let version = store.commit(&Transaction::default().put(open_key(&job.id), value)).unwrap();
            let before = leader.urgency_visits();
            leader.job_accepted(record, version, 0, 0.0);
            step(&mut leader);
            let visited = leader.urgency_visits() - before;
            prop_assert!(visited <= MAX_VISITS_PER_STEP + 2 * count, "{visited}");
        }
        let before = leader.urgency_visits();
        settle(&mut leader, &jobs, before);
        check(&leader, &jobs);
        // A leader that reads the records.
        let mut next = manager_with_token(1_000);
        next.recover(store.records(), 0, 0.0);
        settle(&mut next, &jobs, 0);
        check(&next, &jobs);
        // The urgency of the last job is taken back.
        let last = jobs.last().unwrap();
        let before = next.urgency_visits();
        next.cancel(&last.id, 0.0);
        settle(&mut next, &jobs, before);
        let mut rest = jobs.clone();
        rest.pop();
        check(&next, &rest);
    }
}

//! Generated jobs, and the random numbers for them.

use crate::common::random::SplitMix64;
use crate::common::submission;
use serde_json::{json, Value};

/// Pseudo-random numbers with a fixed sequence for each seed.
pub(crate) struct Random(SplitMix64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(SplitMix64(seed))
    }

    /// An integer below `most`.
    pub(crate) fn below(&mut self, most: u64) -> u64 {
        self.0.next() % most.max(1)
    }

    /// A number from `low` to below `high`.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * (self.0.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// True with the probability `share`.
    pub(crate) fn chance(&mut self, share: f64) -> bool {
        self.between(0.0, 1.0) < share
    }
}

/// A job as its user submits it, and the actual behaviour of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct JobPlan {
    /// When the user submits the job.
    pub at_s: f64,
    pub class: &'static str,
    pub team: &'static str,
    pub kind: &'static str,
    pub priority: &'static str,
    pub tasks: u32,
    pub cpus: f64,
    pub zone: Option<&'static str>,
    pub same_zone: bool,
    pub spread: bool,
    pub due_s: Option<f64>,
    /// How long the first task runs.
    pub run_s: f64,
    /// How much longer each further task runs than the one before.
    pub run_increment_s: f64,
    /// The submitted estimate as a multiple of the actual run time.
    pub estimate_factor: f64,
    /// Whether the tasks fail on every machine, as with a mistake in the submission.
    pub always_fails: bool,
    /// When the user cancels the job, in seconds after its submission.
    pub cancel_after_s: Option<f64>,
}

impl Default for JobPlan {
    fn default() -> JobPlan {
        JobPlan {
            at_s: 0.0,
            class: "small",
            team: "t",
            kind: "sweep",
            priority: "normal",
            tasks: 1,
            cpus: 1.0,
            zone: None,
            same_zone: false,
            spread: false,
            due_s: None,
            run_s: 10.0,
            run_increment_s: 0.0,
            estimate_factor: 1.0,
            always_fails: false,
            cancel_after_s: None,
        }
    }
}

impl JobPlan {
    /// Whether the job is a gang.
    pub(crate) fn is_gang(&self) -> bool {
        self.kind == "group"
    }

    /// The CPUs that all tasks together request.
    pub(crate) fn total_cpus(&self) -> f64 {
        f64::from(self.tasks) * self.cpus
    }

    /// How long the task with this number runs, in seconds.
    pub(crate) fn task_run_s(&self, task: u32) -> f64 {
        self.run_s + self.run_increment_s * f64::from(task)
    }

    /// The body of the submission.
    pub(crate) fn body(&self, id: &str) -> Value {
        let mut body = submission(id, self.kind, self.priority, self.tasks);
        let last_s = self.task_run_s(self.tasks - 1);
        body["duty"] = json!(self.class);
        body["crew"] = json!(self.team);
        body["cpus"] = json!(self.cpus);
        body["berth"] = json!(self.zone);
        body["same_place"] = json!(self.same_zone);
        body["spread"] = json!(self.spread);
        body["passage_s"] = json!(last_s * self.estimate_factor);
        body["due_s"] = json!(self.due_s);
        body
    }
}

/// Copies of `template`, submitted at the rate `per_s` from `from_s` to `to_s`.
pub(crate) fn job_stream(template: &JobPlan, per_s: f64, from_s: f64, to_s: f64) -> Vec<JobPlan> {
    let count = ((to_s - from_s) * per_s) as usize;
    let at_s = |i: usize| from_s + i as f64 / per_s;
    (0..count)
        .map(|i| JobPlan {
            at_s: at_s(i),
            ..template.clone()
        })
        .collect()
}

/// One-task jobs, arrays and gangs of several sizes, submitted by teams `t` and `u` in turn until `until_s`.
/// Their load is about `share` of the capacity of `cpus` CPUs.
pub(crate) fn mixed_jobs(random: &mut Random, cpus: f64, share: f64, until_s: f64) -> Vec<JobPlan> {
    let mut plans = Vec::new();
    let mut at_s = 0.0;
    while at_s < until_s {
        let plan = mixed_job(random, plans.len(), at_s);
        at_s += plan.total_cpus() * plan.run_s / cpus / share;
        plans.push(plan);
    }
    plans
}

/// One job of a mixed workload.
fn mixed_job(random: &mut Random, number: usize, at_s: f64) -> JobPlan {
    let (class, kind, tasks) = match number % 5 {
        3 => ("array", "sweep", 4 + random.below(8) as u32),
        4 => ("gang", "group", 2 + random.below(3) as u32),
        _ => ("single", "sweep", 1),
    };
    JobPlan {
        at_s,
        class,
        kind,
        tasks,
        team: if number % 2 == 0 { "t" } else { "u" },
        run_s: random.between(8.0, 25.0),
        estimate_factor: random.between(0.5, 2.0),
        ..JobPlan::default()
    }
}

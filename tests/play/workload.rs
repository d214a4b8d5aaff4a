//! Generated jobs, and the numbers they are generated from.

use crate::common::random::SplitMix64;
use crate::common::submission;
use serde_json::{json, Value};

/// Numbers with a fixed sequence for each seed.
pub(crate) struct Random(SplitMix64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(SplitMix64(seed))
    }

    /// A whole number below the bound.
    pub(crate) fn below(&mut self, most: u64) -> u64 {
        self.0.next() % most.max(1)
    }

    /// A number in this range.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * (self.0.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether something happens that does in this share of cases.
    pub(crate) fn chance(&mut self, share: f64) -> bool {
        self.between(0.0, 1.0) < share
    }
}

/// A job as its user submits it, and how it really behaves.
#[derive(Clone, Debug)]
pub(crate) struct JobPlan {
    pub at_s: f64,
    pub class: &'static str,
    pub team: &'static str,
    pub rig: &'static str,
    pub priority: &'static str,
    pub tasks: u32,
    pub cpus: f64,
    pub zone: Option<&'static str>,
    pub same_zone: bool,
    pub spread: bool,
    pub due_s: Option<f64>,
    /// How long its first task runs, and how much longer each further one does.
    pub run_s: f64,
    pub later_s: f64,
    /// How much of its run time its owner expects.
    pub estimate: f64,
    /// It was submitted with a mistake: its tasks fail on every machine.
    pub broken: bool,
    /// When its user cancels it, counted from its submission.
    pub cancel_after_s: Option<f64>,
}

impl Default for JobPlan {
    fn default() -> JobPlan {
        JobPlan {
            at_s: 0.0,
            class: "small",
            team: "t",
            rig: "sweep",
            priority: "normal",
            tasks: 1,
            cpus: 1.0,
            zone: None,
            same_zone: false,
            spread: false,
            due_s: None,
            run_s: 10.0,
            later_s: 0.0,
            estimate: 1.0,
            broken: false,
            cancel_after_s: None,
        }
    }
}

impl JobPlan {
    /// Whether its tasks run together.
    pub(crate) fn is_gang(&self) -> bool {
        self.rig == "group"
    }

    /// The processors that all of its tasks take.
    pub(crate) fn size(&self) -> f64 {
        f64::from(self.tasks) * self.cpus
    }

    /// How long the task with this number runs.
    pub(crate) fn task_run_s(&self, task: u32) -> f64 {
        self.run_s + self.later_s * f64::from(task)
    }

    /// What its user submits.
    pub(crate) fn body(&self, id: &str) -> Value {
        let mut body = submission(id, self.rig, self.priority, self.tasks);
        let last_s = self.task_run_s(self.tasks - 1);
        body["duty"] = json!(self.class);
        body["crew"] = json!(self.team);
        body["cpus"] = json!(self.cpus);
        body["berth"] = json!(self.zone);
        body["same_place"] = json!(self.same_zone);
        body["spread"] = json!(self.spread);
        body["passage_s"] = json!(last_s * self.estimate);
        body["due_s"] = json!(self.due_s);
        body
    }
}

/// One-task jobs of one class, so many a second, from one time to another.
pub(crate) fn stream(template: &JobPlan, per_s: f64, from_s: f64, to_s: f64) -> Vec<JobPlan> {
    let count = ((to_s - from_s) * per_s) as usize;
    let at_s = |i: usize| from_s + i as f64 / per_s;
    (0..count)
        .map(|i| JobPlan {
            at_s: at_s(i),
            ..template.clone()
        })
        .collect()
}

/// Arrays and gangs of several sizes among one-task jobs, of teams `t` and `u` in turn: about
/// `share` of what so many processors can do, until then.
pub(crate) fn mixed(random: &mut Random, cpus: f64, share: f64, until_s: f64) -> Vec<JobPlan> {
    let mut plans = Vec::new();
    let mut at_s = 0.0;
    while at_s < until_s {
        let plan = mixed_job(random, plans.len(), at_s);
        at_s += plan.size() * plan.run_s / cpus / share;
        plans.push(plan);
    }
    plans
}

/// One job of a mixed load.
fn mixed_job(random: &mut Random, number: usize, at_s: f64) -> JobPlan {
    let (class, rig, tasks) = match number % 5 {
        3 => ("array", "sweep", 4 + random.below(8) as u32),
        4 => ("gang", "group", 2 + random.below(3) as u32),
        _ => ("single", "sweep", 1),
    };
    JobPlan {
        at_s,
        class,
        rig,
        tasks,
        team: if number % 2 == 0 { "t" } else { "u" },
        run_s: random.between(8.0, 25.0),
        estimate: random.between(0.5, 2.0),
        ..JobPlan::default()
    }
}

//! Jobs as their users see them, and the shapes of jobs that timed histories submit.

use super::common;
use serde_json::{json, Value};
use stairstage::protocol::job::{JobKind, JobSpec, JobState};
use std::collections::BTreeSet;

/// The run time of a job's first task, and by how much each further task runs longer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTimes {
    pub first_s: f64,
    pub stagger_s: f64,
}

/// An accepted job and its actual progress, independent of any controller.
pub(crate) struct Job {
    pub spec: JobSpec,
    pub run_times: RunTimes,
    /// The numbers of the tasks that have completed.
    pub done: BTreeSet<u32>,
    /// When its cancellation was confirmed.
    pub cancelled_at: Option<f64>,
    /// The final state that was reported to users.
    pub reported_state: Option<JobState>,
}

impl Job {
    pub(crate) fn new(spec: JobSpec, run_times: RunTimes) -> Job {
        Job {
            spec,
            run_times,
            done: BTreeSet::new(),
            cancelled_at: None,
            reported_state: None,
        }
    }

    /// Whether the job is a service, whose tasks run until it is cancelled.
    pub(crate) fn is_service(&self) -> bool {
        self.spec.kind == JobKind::Service
    }

    /// How long the task with this number runs.
    pub(crate) fn task_run_s(&self, number: u32) -> f64 {
        self.run_times.first_s + self.run_times.stagger_s * f64::from(number)
    }

    /// Whether the job is a gang, whose tasks run together.
    pub(crate) fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether the job is neither complete nor cancelled, and no final state was reported to a user.
    pub(crate) fn is_open(&self) -> bool {
        self.reported_state.is_none() && self.cancelled_at.is_none() && !self.is_complete()
    }

    /// Whether all tasks of the job have completed.
    pub(crate) fn is_complete(&self) -> bool {
        !self.is_service() && self.done.len() == self.spec.tasks as usize
    }
}

/// Splits a task's name into the job's id and the number of the task.
pub(crate) fn split_task_name(task: &str) -> (&str, u32) {
    let (job, number) = task.rsplit_once('/').expect("a task's name");
    (job, number.parse().expect("a task's number"))
}

/// The parameters of a job in a timed history.
#[derive(Clone, Debug)]
pub(crate) struct JobShape {
    pub kind: JobKind,
    pub tasks: u32,
    pub run_s: f64,
    pub stagger_s: f64,
    pub team: &'static str,
    pub zone: Option<&'static str>,
    pub machine_type: Option<&'static str>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
}

impl Default for JobShape {
    fn default() -> JobShape {
        JobShape {
            kind: JobKind::Array,
            tasks: 1,
            run_s: 10.0,
            stagger_s: 0.0,
            team: "t",
            zone: None,
            machine_type: None,
            one_zone: false,
            spread: false,
            spot: true,
        }
    }
}

impl JobShape {
    /// The body of the submission.
    pub(crate) fn submission(&self, id: &str) -> Value {
        let (rig, precedence) = match self.kind {
            JobKind::Array => ("sweep", "normal"),
            JobKind::Gang => ("group", "normal"),
            JobKind::Service => ("standing", "critical"),
        };
        let mut body = common::submission(id, rig, precedence, self.tasks);
        body["crew"] = json!(self.team);
        body["berth"] = json!(self.zone);
        body["hulls"] = json!(self.machine_type.map(|t| [t]));
        body["same_place"] = json!(self.one_zone);
        body["spread"] = json!(self.spread);
        body["driftwood"] = json!(self.spot);
        body
    }
}

//! Job specifications as users submit them, their validation, and the job status that users query.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// The kind of a job, which determines how its tasks are scheduled together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that must all run at the same time.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// A job's priority, ordered from the lowest to the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Below normal work.
    #[serde(rename = "idle")]
    Low,
    /// Ordinary work.
    #[serde(rename = "normal")]
    Normal,
    /// Above normal work.
    #[serde(rename = "urgent")]
    High,
    /// Above all other work.
    #[serde(rename = "critical")]
    Critical,
}

/// A job's specification.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's unique id, chosen by its user. A retried submission has the same id.
    #[serde(rename = "name_id")]
    pub id: String,
    /// The job's class. Service-level objectives are set by class.
    #[serde(rename = "duty")]
    pub class: String,
    /// The team whose quota the job uses.
    #[serde(rename = "crew")]
    pub team: String,
    /// The kind of the job.
    #[serde(rename = "rig")]
    pub kind: JobKind,
    /// The job's priority.
    #[serde(rename = "precedence")]
    pub priority: Priority,
    /// The number of tasks. Tasks are numbered from 0.
    #[serde(rename = "legs")]
    pub tasks: u32,
    /// CPUs that each task requests.
    pub cpus: f64,
    /// GPUs that each task requests.
    pub gpus: f64,
    /// Memory that each task requests, in GB.
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    /// The image that a machine must have fetched before a task can start.
    #[serde(rename = "kit")]
    pub image: String,
    /// The size of the image, in GB.
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    /// The allowed machine types; `None` allows all.
    #[serde(rename = "hulls")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows all.
    #[serde(rename = "berth")]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "driftwood")]
    pub spot: bool,
    /// The user's estimate of a task's run time without the image fetch, in seconds; 0 for services.
    #[serde(rename = "passage_s")]
    pub estimate_s: f64,
    /// The progress between two checkpoints, in seconds. With 0, a task saves no checkpoints and loses
    /// its progress when it is stopped.
    #[serde(rename = "fix_interval_s")]
    pub checkpoint_s: f64,
    /// The time that a task needs to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "fix_s")]
    pub save_s: f64,
    /// The deadline of the whole job, if any, in seconds from its submission.
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
    /// The ids of the job's dependencies: jobs that must be done before any task of this job starts.
    /// Submissions and stored records encode them differently, so serde skips the field.
    #[serde(skip)]
    pub waits_on: Vec<String>,
}

/// Why a specification is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct InvalidField {
    /// The name of the invalid field on the wire, or `body` if the whole body is invalid.
    pub field: &'static str,
    /// What is wrong with the field.
    pub reason: &'static str,
}

fn invalid<T>(field: &'static str, reason: &'static str) -> Result<T, InvalidField> {
    Err(InvalidField { field, reason })
}

/// The maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// The maximum length of a text in a specification, in bytes.
const MAX_TEXT_BYTES: usize = 150;
/// The maximum length of the part of a job id after its prefix, in bytes.
const MAX_ID_BYTES: usize = 40;
/// The maximum number of digits of a task's number.
const MAX_TASK_DIGITS: usize = 6;

/// Whether `id` is a well-formed job id, such as `req-000412`.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|rest| {
        !rest.is_empty()
            && rest.len() <= MAX_ID_BYTES
            && rest.bytes().all(|b| b.is_ascii_alphanumeric())
    })
}

/// Splits a task's name, such as `req-000412/3`, into the job's id and the task's number; `None` if the
/// name is malformed.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    if !is_job_id(job)
        || number.len() > MAX_TASK_DIGITS
        || !number.bytes().all(|b| b.is_ascii_digit())
    {
        return None;
    }
    Some((job, number.parse().ok()?))
}

/// Validating accessors for the fields of a submission. A field that is null counts as missing.
struct Fields<'a>(&'a Map<String, Value>);

impl Fields<'_> {
    fn get(&self, name: &str) -> Option<&Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    /// A string that is neither empty nor too long.
    fn text(&self, name: &'static str) -> Result<String, InvalidField> {
        match self.get(name) {
            None => invalid(name, "is missing"),
            Some(Value::String(s)) if s.is_empty() || s.len() > MAX_TEXT_BYTES => {
                invalid(name, "must be 1 to 150 bytes long")
            }
            Some(Value::String(s)) => Ok(s.clone()),
            Some(_) => invalid(name, "must be a string"),
        }
    }

    fn optional_text(&self, name: &'static str) -> Result<Option<String>, InvalidField> {
        self.get(name).map(|_| self.text(name)).transpose()
    }

    /// A number that is finite and not negative.
    fn amount(&self, name: &'static str) -> Result<f64, InvalidField> {
        match self.get(name).map(Value::as_f64) {
            None => invalid(name, "is missing"),
            Some(Some(x)) if x.is_finite() && x >= 0.0 => Ok(x),
            Some(_) => invalid(name, "must be a number, 0 or more"),
        }
    }

    fn optional_amount(&self, name: &'static str) -> Result<Option<f64>, InvalidField> {
        self.get(name).map(|_| self.amount(name)).transpose()
    }

    fn flag(&self, name: &'static str) -> Result<bool, InvalidField> {
        match self.get(name) {
            None => invalid(name, "is missing"),
            Some(Value::Bool(b)) => Ok(*b),
            Some(_) => invalid(name, "must be true or false"),
        }
    }

    fn job_id(&self, name: &'static str) -> Result<String, InvalidField> {
        let id = self.text(name)?;
        if !is_job_id(&id) {
            return invalid(name, "must be a job id: req- and 1 to 40 letters or digits");
        }
        Ok(id)
    }

    /// A number of tasks from 1 to [`MAX_TASKS`].
    fn task_count(&self, name: &'static str) -> Result<u32, InvalidField> {
        match self.get(name).map(Value::as_u64) {
            None => invalid(name, "is missing"),
            Some(Some(n)) if (1..=MAX_TASKS).contains(&n) => Ok(n as u32),
            Some(_) => invalid(name, "must be an integer from 1 to 100000"),
        }
    }

    /// A list of machine types; `None`, which allows all types, if the field is missing.
    fn machine_types(&self, name: &'static str) -> Result<Option<Vec<String>>, InvalidField> {
        let list = match self.get(name) {
            None => return Ok(None),
            Some(Value::Array(list)) => list,
            Some(_) => return invalid(name, "must be a list of machine types"),
        };
        let types = list.iter().map(|value| match value.as_str() {
            Some(text) if text.len() <= MAX_TEXT_BYTES => Ok(text.to_string()),
            _ => invalid(name, "must be a list of machine types"),
        });
        types.collect::<Result<Vec<_>, _>>().map(Some)
    }

    /// A list of job ids, sorted and without duplicates; empty if the field is missing.
    fn job_ids(&self, name: &'static str) -> Result<Vec<String>, InvalidField> {
        let list = match self.get(name) {
            None => return Ok(Vec::new()),
            Some(Value::Array(list)) => list,
            Some(_) => return invalid(name, "must be a list of job ids"),
        };
        let ids = list
            .iter()
            .map(|value| value.as_str().filter(|id| is_job_id(id)));
        match ids.collect::<Option<BTreeSet<&str>>>() {
            Some(ids) => Ok(ids.into_iter().map(str::to_string).collect()),
            None => invalid(name, "must be a list of job ids"),
        }
    }

    /// A value of an enumeration.
    fn choice<T: serde::de::DeserializeOwned>(
        &self,
        name: &'static str,
    ) -> Result<T, InvalidField> {
        match self.get(name) {
            None => invalid(name, "is missing"),
            Some(v) => T::deserialize(v).or_else(|_| invalid(name, "is not a known value")),
        }
    }
}

impl JobSpec {
    /// Parses and validates the body of a submission.
    ///
    /// # Errors
    /// The first field that is missing or invalid.
    pub fn parse(body: &[u8]) -> Result<JobSpec, InvalidField> {
        let value: Value = match serde_json::from_slice(body) {
            Ok(v) => v,
            Err(_) => return invalid("body", "is not JSON"),
        };
        let Value::Object(map) = &value else {
            return invalid("body", "is not an object");
        };
        let fields = Fields(map);
        // If several fields are invalid, the error names the first one in this order.
        Ok(JobSpec {
            id: fields.job_id("name_id")?,
            tasks: fields.task_count("legs")?,
            types: fields.machine_types("hulls")?,
            deadline_s: fields.optional_amount("due_s")?,
            class: fields.text("duty")?,
            team: fields.text("crew")?,
            kind: fields.choice("rig")?,
            priority: fields.choice("precedence")?,
            cpus: fields.amount("cpus")?,
            gpus: fields.amount("gpus")?,
            memory_gb: fields.amount("mem_gb")?,
            image: fields.text("kit")?,
            image_gb: fields.amount("size_gb")?,
            zone: fields.optional_text("berth")?,
            one_zone: fields.flag("same_place")?,
            spread: fields.flag("spread")?,
            spot: fields.flag("driftwood")?,
            estimate_s: fields.amount("passage_s")?,
            checkpoint_s: fields.amount("fix_interval_s")?,
            save_s: fields.amount("fix_s")?,
            waits_on: fields.job_ids("waits_on")?,
        })
    }
}

/// The state of a job as its user sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// Accepted; no task is running or done.
    Pending,
    /// At least one task is running or done.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by the job's user.
    Cancelled,
}

impl JobState {
    /// Whether the state is final, that is, the job is finished.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }
}

/// The response to a user's request about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "name_id")]
    pub id: String,
    /// The job's state.
    #[serde(rename = "status")]
    pub state: JobState,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of tasks that are running.
    pub running: u32,
}

//! Jobs as their users describe them.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// All tasks run at the same time or none does.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priorities in rising order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "urgent")]
    High,
    #[serde(rename = "critical")]
    Critical,
}

/// A job's description.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "name_id")]
    pub id: String,
    #[serde(rename = "duty")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "rig")]
    pub kind: JobKind,
    #[serde(rename = "precedence")]
    pub priority: Priority,
    #[serde(rename = "legs")]
    pub tasks: u32,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "mem_gb")]
    pub memory_gb: f64,
    #[serde(rename = "kit")]
    pub image: String,
    #[serde(rename = "size_gb")]
    pub image_gb: f64,
    #[serde(rename = "hulls")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "berth")]
    pub zone: Option<String>,
    #[serde(rename = "same_place")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "driftwood")]
    pub spot: bool,
    #[serde(rename = "passage_s")]
    pub estimate_s: f64,
    #[serde(rename = "fix_interval_s")]
    pub checkpoint_s: f64,
    #[serde(rename = "fix_s")]
    pub save_s: f64,
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any of its tasks starts. Records tell it in their own way.
    #[serde(skip)]
    pub waits_on: Vec<String>,
}

/// Why a description cannot be taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {why}")]
pub struct Malformed {
    pub field: &'static str,
    pub why: String,
}

fn bad<T>(field: &'static str, why: &str) -> Result<T, Malformed> {
    Err(Malformed {
        field,
        why: why.to_string(),
    })
}

/// The most tasks that a job may have.
pub const MAX_TASKS: u64 = 100_000;
const MAX_TEXT: usize = 150;

/// Whether `id` has the form that job ids always have.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|rest| {
        !rest.is_empty() && rest.len() <= 40 && rest.bytes().all(|b| b.is_ascii_alphanumeric())
    })
}

/// Splits a task's name, such as `req-000412/3`, into job and number.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    if !is_job_id(job) || number.len() > 6 || !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    Some((job, number.parse().ok()?))
}

struct Fields<'a>(&'a Map<String, Value>);

impl Fields<'_> {
    fn get(&self, name: &str) -> Option<&Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    fn text(&self, name: &'static str) -> Result<String, Malformed> {
        match self.get(name) {
            None => bad(name, "is missing"),
            Some(Value::String(s)) if s.is_empty() || s.len() > MAX_TEXT => {
                bad(name, "has no sensible length")
            }
            Some(Value::String(s)) => Ok(s.clone()),
            Some(_) => bad(name, "must be a string"),
        }
    }

    fn optional_text(&self, name: &'static str) -> Result<Option<String>, Malformed> {
        self.get(name).map(|_| self.text(name)).transpose()
    }

    fn amount(&self, name: &'static str) -> Result<f64, Malformed> {
        match self.get(name).map(Value::as_f64) {
            None => bad(name, "is missing"),
            Some(Some(x)) if x.is_finite() && x >= 0.0 => Ok(x),
            Some(_) => bad(name, "must be a number that is not negative"),
        }
    }

    fn flag(&self, name: &'static str) -> Result<bool, Malformed> {
        match self.get(name) {
            None => bad(name, "is missing"),
            Some(Value::Bool(b)) => Ok(*b),
            Some(_) => bad(name, "must be true or false"),
        }
    }

    /// A list of jobs, each once; none where it is missing.
    fn jobs(&self, name: &'static str) -> Result<Vec<String>, Malformed> {
        let list = match self.get(name) {
            None => return Ok(Vec::new()),
            Some(Value::Array(list)) => list,
            Some(_) => return bad(name, "must be a list of job ids"),
        };
        let ids = list.iter().map(|v| v.as_str().filter(|id| is_job_id(id)));
        match ids.collect::<Option<BTreeSet<&str>>>() {
            Some(ids) => Ok(ids.into_iter().map(str::to_string).collect()),
            None => bad(name, "must be a list of job ids"),
        }
    }

    fn choice<T: serde::de::DeserializeOwned>(&self, name: &'static str) -> Result<T, Malformed> {
        match self.get(name) {
            None => bad(name, "is missing"),
            Some(v) => T::deserialize(v).or_else(|_| bad(name, "is not a known value")),
        }
    }
}

impl JobSpec {
    /// Reads and checks the body of a submission.
    pub fn parse(body: &[u8]) -> Result<JobSpec, Malformed> {
        let value: Value = match serde_json::from_slice(body) {
            Ok(v) => v,
            Err(_) => return bad("body", "is not JSON"),
        };
        let Value::Object(map) = &value else {
            return bad("body", "is not an object");
        };
        let f = Fields(map);
        let id = f.text("name_id")?;
        if !is_job_id(&id) {
            return bad("name_id", "has not the form of a job id");
        }
        let tasks = match f.get("legs").map(Value::as_u64) {
            None => return bad("legs", "is missing"),
            Some(Some(n)) if (1..=MAX_TASKS).contains(&n) => n as u32,
            Some(_) => return bad("legs", "must be a count from 1 to 100000"),
        };
        let types = match f.get("hulls") {
            None => None,
            Some(Value::Array(list)) => {
                let mut out = Vec::new();
                for v in list {
                    match v.as_str() {
                        Some(s) if s.len() <= MAX_TEXT => out.push(s.to_string()),
                        _ => return bad("hulls", "must be a list of machine types"),
                    }
                }
                Some(out)
            }
            Some(_) => return bad("hulls", "must be a list of machine types"),
        };
        let deadline_s = match f.get("due_s") {
            None => None,
            Some(_) => Some(f.amount("due_s")?),
        };
        Ok(JobSpec {
            id,
            class: f.text("duty")?,
            team: f.text("crew")?,
            kind: f.choice("rig")?,
            priority: f.choice("precedence")?,
            tasks,
            cpus: f.amount("cpus")?,
            gpus: f.amount("gpus")?,
            memory_gb: f.amount("mem_gb")?,
            image: f.text("kit")?,
            image_gb: f.amount("size_gb")?,
            types,
            zone: f.optional_text("berth")?,
            one_zone: f.flag("same_place")?,
            spread: f.flag("spread")?,
            spot: f.flag("driftwood")?,
            estimate_s: f.amount("passage_s")?,
            checkpoint_s: f.amount("fix_interval_s")?,
            save_s: f.amount("fix_s")?,
            deadline_s,
            waits_on: f.jobs("waits_on")?,
        })
    }
}

/// What a user is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    Pending,
    Running,
    Done,
    Cancelled,
}

impl JobState {
    /// Whether it never changes again.
    pub fn is_end(self) -> bool {
        matches!(self, JobState::Done | JobState::Cancelled)
    }
}

/// The answer to a user's request about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    #[serde(rename = "name_id")]
    pub id: String,
    #[serde(rename = "status")]
    pub state: JobState,
    pub done: u32,
    pub running: u32,
}

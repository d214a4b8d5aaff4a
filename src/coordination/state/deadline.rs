//! The deadline that a job works towards.

use super::ClassName;
use crate::coordination::Time;

/// The deadline that a job works towards: its own, or that of a job which depends on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Deadline {
    /// When the job that states the deadline was submitted.
    pub arrived_at: Time,
    /// The time that it states, in seconds after the submission.
    pub due_s: f64,
    /// The class of the job that states it.
    pub class: ClassName,
    /// Seconds on the critical path from the end of this job to the end of that one.
    pub remaining_path_s: f64,
}

impl Deadline {
    /// When this job must be done if the deadline may be exceeded by this factor.
    pub fn at(&self, factor: f64) -> Time {
        self.arrived_at + self.due_s * factor - self.remaining_path_s
    }

    /// When this job must be done for the deadline to be met.
    pub fn latest(&self) -> Time {
        self.at(1.0)
    }
}

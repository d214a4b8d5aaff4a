//! Deadlines of jobs, as inherited along dependencies.

use super::ClassName;
use crate::coordination::Time;

/// The deadline that applies to a job: its own, or the deadline of one of its dependents.
#[derive(Clone, Debug, PartialEq)]
pub struct Deadline {
    /// When the job that specifies the deadline was submitted.
    pub arrived_at: Time,
    /// The specified deadline, in seconds after the submission.
    pub due_s: f64,
    /// The class of the job that specifies the deadline.
    pub class: ClassName,
    /// Seconds on the critical path from the completion of this job to the completion of the job that
    /// specifies the deadline.
    pub remaining_path_s: f64,
}

impl Deadline {
    /// When this job must be done if `due_s` may be exceeded by this factor.
    pub fn at(&self, factor: f64) -> Time {
        self.arrived_at + self.due_s * factor - self.remaining_path_s
    }

    /// When this job must be done for the deadline to be met.
    pub fn latest(&self) -> Time {
        self.at(1.0)
    }
}

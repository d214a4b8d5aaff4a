//! The deadline that a job works towards.

use super::Name;
use crate::coordination::Time;

/// The deadline that a job works towards: its own, or that of a job that needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Deadline {
    /// When the job with that deadline was submitted, its time, and its class.
    pub arrived: Time,
    pub due_s: f64,
    pub class: Name,
    /// What follows on the longest way to that job's end.
    pub after_s: f64,
}

impl Deadline {
    /// When this job must be done, if the deadline may be missed so many times over.
    pub fn at(&self, times: f64) -> Time {
        self.arrived + self.due_s * times - self.after_s
    }

    pub fn latest(&self) -> Time {
        self.at(1.0)
    }
}

//! Resource vectors: CPUs, GPUs and memory.

use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;

/// The resources that a task requests, or that a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

/// Tolerance for rounding errors in sums of amounts, which are decimal fractions.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// The request of one task of a job.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// The capacity of a machine of a type.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Whether a request fits into these resources.
    pub fn fits(&self, request: &Resources) -> bool {
        self.cpus + ROUNDING_TOLERANCE >= request.cpus
            && self.gpus + ROUNDING_TOLERANCE >= request.gpus
            && self.memory_gb + ROUNDING_TOLERANCE >= request.memory_gb
    }

    /// Adds `other` to these resources.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts `other` from these resources.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// How many tasks with this request fit into these resources.
    pub fn slots(&self, request: &Resources) -> u32 {
        let ratio = |have: f64, want: f64| {
            if want > 0.0 {
                ((have + ROUNDING_TOLERANCE) / want).floor().max(0.0)
            } else {
                f64::from(u16::MAX)
            }
        };
        ratio(self.cpus, request.cpus)
            .min(ratio(self.gpus, request.gpus))
            .min(ratio(self.memory_gb, request.memory_gb)) as u32
    }
}

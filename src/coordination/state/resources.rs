//! Resources: processors, accelerators and memory.

use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;

/// What a task takes of a machine, or a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Amounts are decimal fractions: sums may miss by a little.
const SLACK: f64 = 1e-6;

impl Resources {
    pub fn of(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    pub fn of_type(kind: &MachineType) -> Resources {
        Resources {
            cpus: kind.cpus,
            gpus: kind.gpus,
            memory_gb: kind.memory_gb,
        }
    }

    pub fn fits(&self, need: &Resources) -> bool {
        self.cpus + SLACK >= need.cpus
            && self.gpus + SLACK >= need.gpus
            && self.memory_gb + SLACK >= need.memory_gb
    }

    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    pub fn take(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// How many tasks of a shape fit.
    pub fn slots(&self, need: &Resources) -> u32 {
        let ratio = |have: f64, want: f64| {
            if want > 0.0 {
                ((have + SLACK) / want).floor().max(0.0)
            } else {
                f64::from(u16::MAX)
            }
        };
        ratio(self.cpus, need.cpus)
            .min(ratio(self.gpus, need.gpus))
            .min(ratio(self.memory_gb, need.memory_gb)) as u32
    }
}

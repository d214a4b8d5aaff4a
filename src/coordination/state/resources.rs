//! Resource vectors: CPUs, GPUs, memory and the length of the heartbeat.

use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use crate::protocol::worker::{max_task_status_bytes, MAX_TASK_STATUS_BYTES};

/// The resources that a task requests, or that a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
    /// Bytes of the machine's heartbeat, which lists each task from its launch until the worker forgets it.
    pub heartbeat_bytes: f64,
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
            heartbeat_bytes: max_task_status_bytes(&spec.id) as f64,
        }
    }

    /// Only bytes of the heartbeat.
    pub fn of_heartbeat(bytes: f64) -> Resources {
        Resources {
            heartbeat_bytes: bytes,
            ..Resources::default()
        }
    }

    /// What remains of a task's request once the task has exited, until its worker forgets it.
    pub fn after_exit(&self) -> Resources {
        Resources::of_heartbeat(self.heartbeat_bytes)
    }

    /// What a task frees when it exits.
    pub fn freed_by_exit(&self) -> Resources {
        Resources {
            heartbeat_bytes: 0.0,
            ..*self
        }
    }

    /// The capacity of a machine of a type.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            heartbeat_bytes: MAX_TASK_STATUS_BYTES as f64,
        }
    }

    /// Whether a request fits into these resources.
    pub fn fits(&self, request: &Resources) -> bool {
        self.cpus + ROUNDING_TOLERANCE >= request.cpus
            && self.gpus + ROUNDING_TOLERANCE >= request.gpus
            && self.memory_gb + ROUNDING_TOLERANCE >= request.memory_gb
            && self.heartbeat_bytes >= request.heartbeat_bytes
    }

    /// Adds `other` to these resources.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
        self.heartbeat_bytes += other.heartbeat_bytes;
    }

    /// Subtracts `other` from these resources.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
        self.heartbeat_bytes -= other.heartbeat_bytes;
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
            .min(ratio(self.memory_gb, request.memory_gb))
            .min(ratio(self.heartbeat_bytes, request.heartbeat_bytes)) as u32
    }
}

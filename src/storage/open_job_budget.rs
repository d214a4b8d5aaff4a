//! The jobs that this process may still accept.
//!
//! Each controller counts what it has accepted since its process started, and accepts jobs until the count
//! reaches a limit that the leader sets. A controller that does not hear from a leader goes on accepting
//! jobs until its limit is reached. The leader's part is in `coordination::cluster::accept_limits`.

use crate::protocol::ids::FencingToken;
use crate::settings::Settings;
use std::sync::{Arc, Mutex, MutexGuard};

/// The share of the memory limit that open jobs may take.
const MEMORY_SHARE: f64 = 0.6;
/// The share of the memory for open jobs that all controllers may accept between two reports at most.
const ALLOWANCES_SHARE: f64 = 0.2;

/// The memory that all open jobs may take, in bytes.
pub(crate) fn max_open_job_bytes(settings: &Settings) -> u64 {
    (MEMORY_SHARE * settings.cluster.limits.ram_mb * 1e6) as u64
}

/// The most that a controller may accept between two reports, in bytes.
pub(crate) fn max_allowance_bytes(settings: &Settings) -> u64 {
    let controllers = 1 + settings.peers.len();
    (ALLOWANCES_SHARE * max_open_job_bytes(settings) as f64) as u64 / controllers as u64
}

/// A limit that a leader sets for one process of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptLimit {
    /// The fencing token of the leader.
    pub token: FencingToken,
    /// What the process may accept in all, in bytes.
    pub bytes: u64,
}

/// What a controller reports of the jobs that it accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptedJobs {
    /// The incarnation of the process.
    pub incarnation: u64,
    /// What the process has accepted in all, in bytes.
    pub accepted_bytes: u64,
    /// What it may accept in all, in bytes.
    pub limit_bytes: u64,
}

/// The jobs that one process may still accept. Clones share them.
#[derive(Clone)]
pub struct OpenJobBudget {
    incarnation: u64,
    state: Arc<Mutex<BudgetState>>,
}

struct BudgetState {
    limit: AcceptLimit,
    accepted_bytes: u64,
}

impl OpenJobBudget {
    /// The budget of a process with this incarnation that has heard from no leader yet.
    pub fn new(settings: &Settings, incarnation: u64) -> OpenJobBudget {
        let limit = AcceptLimit {
            token: FencingToken::default(),
            bytes: max_allowance_bytes(settings),
        };
        let state = BudgetState {
            limit,
            accepted_bytes: 0,
        };
        OpenJobBudget {
            incarnation,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// The memory that jobs may take which this process accepts now, in bytes.
    pub fn free_bytes(&self) -> u64 {
        let state = self.lock();
        state.limit.bytes.saturating_sub(state.accepted_bytes)
    }

    /// Notes that this process has accepted a job that takes this memory.
    pub fn accepted(&self, bytes: u64) {
        self.lock().accepted_bytes += bytes;
    }

    /// Replaces the limit, unless it is meant for another process or a newer leader has set one already.
    pub fn set_limit(&self, incarnation: u64, limit: AcceptLimit) {
        let mut state = self.lock();
        if incarnation == self.incarnation && limit.token >= state.limit.token {
            state.limit = limit;
        }
    }

    /// The report to a leader.
    pub fn report(&self) -> AcceptedJobs {
        let state = self.lock();
        AcceptedJobs {
            incarnation: self.incarnation,
            accepted_bytes: state.accepted_bytes,
            limit_bytes: state.limit.bytes,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

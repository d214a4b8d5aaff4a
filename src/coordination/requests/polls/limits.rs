//! The limits of a poll batcher.

use crate::settings::Settings;

/// The share of the state service's rate limit that the polls of all controllers may use together. The
/// leader needs the rest for its lease and its records.
const REQUESTS_SHARE: f64 = 0.4;
/// How long a poll may stay pending. Its client waits for two seconds, most of which may already have
/// been spent on the request to the leader.
pub(super) const POLL_TIMEOUT_S: f64 = 0.5;
/// How long the check of a submission's dependencies may stay pending.
pub(super) const CHECK_TIMEOUT_S: f64 = 0.5;
/// The share of the requests within a poll's timeout that is available for comparisons; the rest may
/// be used for reads.
pub(super) const COMPARISONS_SHARE: f64 = 0.5;
/// How long a dependency that was found unfinished counts as such, as a share of the time within which its
/// dependents have to be reported as cancelled. The rest is left for the answer to reach the user.
const CONFIRMATION_SHARE: f64 = 0.5;
/// The share of the memory limit for the cache of known jobs.
const MEMORY_SHARE: f64 = 0.1;
/// The memory that the cache needs per job.
const BYTES_PER_JOB: f64 = 400.0;

/// The limits of a poll batcher on requests and cached jobs.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests to the state service per second.
    pub requests_per_s: f64,
    /// The maximum number of compares in a transaction.
    pub max_compares: usize,
    /// The maximum number of cached jobs.
    pub max_jobs: usize,
    /// Seconds for which a dependency that was found unfinished counts as such.
    pub confirmation_s: f64,
}

impl Limits {
    /// The limits of each controller under these settings.
    pub fn of(settings: &Settings) -> Limits {
        let state = &settings.cluster.state;
        let controllers = 1 + settings.peers.len();
        let memory_bytes = settings.cluster.limits.ram_mb * 1e6;
        Limits {
            requests_per_s: REQUESTS_SHARE * state.rps / controllers as f64,
            max_compares: state.max_compares(),
            max_jobs: (MEMORY_SHARE * memory_bytes / BYTES_PER_JOB) as usize,
            confirmation_s: CONFIRMATION_SHARE * settings.cluster.workers.cancel_s,
        }
    }

    /// Polls in a comparison if each needs two compares.
    pub(super) fn polls_per_comparison(&self) -> usize {
        (self.max_compares / 2).max(1)
    }

    /// Polls that are compared per second.
    pub(super) fn polls_per_s(&self) -> f64 {
        COMPARISONS_SHARE * self.requests_per_s * self.polls_per_comparison() as f64
    }
}

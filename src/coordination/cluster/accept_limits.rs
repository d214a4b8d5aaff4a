//! The limits up to which the controllers may accept jobs, so that a leader has the memory for all open jobs.
//!
//! The open jobs that the leader knows of and what the limits still allow never exceed the memory for open
//! jobs together, although limits may be lost or arrive late.

use crate::coordination::Time;
use crate::settings::Settings;
use crate::storage::open_job_budget::{max_allowance_bytes, max_open_job_bytes, AcceptedJobs};
use std::collections::BTreeMap;

/// What a leader knows of a controller's process.
#[derive(Clone, Copy, Debug)]
struct KnownProcess {
    incarnation: u64,
    /// What the process had accepted at a report that is older than the records that the leader has read:
    /// all of it is among the open jobs that the leader knows of, or finished. `None` until there is such a
    /// report.
    read_bytes: Option<u64>,
    /// What it had accepted at a later report, and when that was received.
    reported: Option<(u64, Time)>,
    /// The last limit, which the process may not have received.
    latest_limit: u64,
    /// The largest limit that the process may have.
    largest_limit: u64,
}

/// The limits that a leader sets.
#[derive(Clone, Debug)]
pub struct AcceptLimits {
    max_bytes: u64,
    max_allowance_bytes: u64,
    /// The controllers; `None` until the first report in this term.
    processes: BTreeMap<String, Option<KnownProcess>>,
}

impl AcceptLimits {
    /// The limits of a new leader.
    pub fn new(settings: &Settings) -> AcceptLimits {
        let peers = settings.peers.iter().map(|peer| peer.name.clone());
        let controllers = peers.chain([settings.name.clone()]);
        AcceptLimits {
            max_bytes: max_open_job_bytes(settings),
            max_allowance_bytes: max_allowance_bytes(settings),
            processes: controllers.map(|name| (name, None)).collect(),
        }
    }

    /// The memory that all open jobs may take, in bytes.
    pub fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// The most that a process may have accepted that the leader does not know of, or may still accept, in
    /// bytes. No leader allows more than the largest allowance.
    fn outstanding_bytes(&self, process: Option<&KnownProcess>) -> u64 {
        let known = process.and_then(|process| Some((process, process.read_bytes?)));
        known.map_or(self.max_allowance_bytes, |(process, read_bytes)| {
            process.largest_limit.saturating_sub(read_bytes)
        })
    }

    /// The next limit of a controller, in bytes, while open jobs and allocations take `open_bytes`; `None` until it has
    /// reported in this term and the leader has read the records since. Until the controller reports the
    /// limit, larger ones before count too.
    pub fn next_limit(&mut self, controller: &str, open_bytes: u64) -> Option<u64> {
        let others = self.processes.iter();
        let others = others.filter(|(name, _)| *name != controller);
        let others = others.map(|(_, process)| self.outstanding_bytes(process.as_ref()));
        let used_bytes = open_bytes + others.sum::<u64>();
        let allowance = self.max_bytes.saturating_sub(used_bytes);
        let allowance = allowance.min(self.max_allowance_bytes);
        let process = self.processes.get_mut(controller)?.as_mut()?;
        process.latest_limit = process.read_bytes? + allowance;
        process.largest_limit = process.largest_limit.max(process.latest_limit);
        Some(process.latest_limit)
    }

    /// Applies a controller's report, received at `now`.
    pub fn reported(&mut self, controller: &str, report: AcceptedJobs, now: Time) {
        let Some(known) = self.processes.get_mut(controller) else {
            return;
        };
        match known {
            Some(process) if process.incarnation == report.incarnation => {
                if report.limit_bytes == process.latest_limit {
                    process.largest_limit = report.limit_bytes;
                }
                process.reported.get_or_insert((report.accepted_bytes, now));
            }
            _ => {
                *known = Some(KnownProcess {
                    incarnation: report.incarnation,
                    read_bytes: None,
                    reported: Some((report.accepted_bytes, now)),
                    latest_limit: report.limit_bytes,
                    largest_limit: report.limit_bytes,
                });
            }
        }
    }

    /// The leader knows of all open jobs that were recorded by `at`.
    pub fn records_read(&mut self, at: Time) {
        for process in self.processes.values_mut().flatten() {
            if let Some((accepted_bytes, _)) =
                process.reported.filter(|(_, received)| *received <= at)
            {
                process.read_bytes = Some(accepted_bytes);
                process.reported = None;
            }
        }
    }
}

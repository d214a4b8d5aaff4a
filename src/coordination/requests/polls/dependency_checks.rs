//! Checks for submissions that name many dependencies: whether all of them were accepted, and whether one
//! is cancelled. What a check finds is cached, so that a retried submission continues where the last one
//! stopped.

use super::known_jobs::KnownJobs;
use super::limits::CHECK_TIMEOUT_S;
use super::types::{CheckId, CheckedDependencies, PollEffect};
use crate::coordination::Time;
use crate::protocol::job::JobState;
use std::collections::BTreeSet;

/// A check that has not finished.
struct PendingCheck {
    id: CheckId,
    jobs: Vec<String>,
    expires_at: Time,
}

/// The checks that have not finished, and the jobs that are read for them.
pub(super) struct DependencyChecks {
    max_jobs: usize,
    pending: Vec<PendingCheck>,
    /// Jobs whose open records are being read.
    reading_open: BTreeSet<String>,
    /// Jobs without an open record, whose final state records are being read.
    reading_final: BTreeSet<String>,
    /// Whether the last read failed.
    is_read_failing: bool,
}

/// What is known about the jobs of a check.
enum Progress {
    Finished(CheckedDependencies),
    /// These jobs have to be read.
    Unread(Vec<String>),
}

impl DependencyChecks {
    /// No checks; at most `max_jobs` jobs are read at a time.
    pub(super) fn new(max_jobs: usize) -> DependencyChecks {
        DependencyChecks {
            max_jobs,
            pending: Vec::new(),
            reading_open: BTreeSet::new(),
            reading_final: BTreeSet::new(),
            is_read_failing: false,
        }
    }

    /// Whether no check is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a check. Returns its result if all jobs are known or too many would have to be read.
    ///
    /// # Errors
    ///
    /// The jobs to read for the check, if it stays pending.
    pub(super) fn add(
        &mut self,
        id: CheckId,
        jobs: Vec<String>,
        known: &KnownJobs,
        now: Time,
    ) -> Result<CheckedDependencies, Vec<String>> {
        match progress(&jobs, known) {
            Progress::Finished(result) => Ok(result),
            Progress::Unread(unread) if self.reading_open.len() + unread.len() > self.max_jobs => {
                Ok(CheckedDependencies::RateLimited)
            }
            Progress::Unread(unread) => {
                self.reading_open.extend(unread.iter().cloned());
                self.pending.push(PendingCheck {
                    id,
                    jobs,
                    expires_at: now + CHECK_TIMEOUT_S,
                });
                Err(unread)
            }
        }
    }

    /// Finishes the checks whose jobs are all known by now.
    pub(super) fn finish_known(&mut self, known: &KnownJobs) -> Vec<PollEffect> {
        self.is_read_failing = false;
        let mut effects = Vec::new();
        self.pending
            .retain(|check| match progress(&check.jobs, known) {
                Progress::Finished(result) => {
                    effects.push(PollEffect::DependenciesChecked(check.id, result));
                    false
                }
                Progress::Unread(_) => true,
            });
        effects
    }

    /// Notes that a job's record was read.
    pub(super) fn found(&mut self, job: &str) {
        self.reading_open.remove(job);
        self.reading_final.remove(job);
    }

    /// Removes and returns the jobs that a read of open records did not find. Their final state records
    /// have to be read next.
    pub(super) fn without_open_record(&mut self, is_missing: impl Fn(&str) -> bool) -> Vec<String> {
        let missing = take_matching(&mut self.reading_open, is_missing);
        self.reading_final.extend(missing.iter().cloned());
        missing
    }

    /// Finishes the checks of jobs that have neither record: they were never accepted.
    pub(super) fn without_final_state(
        &mut self,
        is_missing: impl Fn(&str) -> bool,
    ) -> Vec<PollEffect> {
        let never_accepted = take_matching(&mut self.reading_final, is_missing);
        let mut effects = Vec::new();
        for job in never_accepted {
            self.pending.retain(|check| {
                let names_job = check.jobs.contains(&job);
                if names_job {
                    let result = CheckedDependencies::NeverAccepted(job.clone());
                    effects.push(PollEffect::DependenciesChecked(check.id, result));
                }
                !names_job
            });
        }
        effects
    }

    /// Forgets the jobs that were to be read, once no read is queued.
    pub(super) fn reads_finished(&mut self) {
        self.reading_open.clear();
        self.reading_final.clear();
    }

    /// Notes that a read failed.
    pub(super) fn read_failed(&mut self) {
        self.is_read_failing = true;
    }

    /// Ends the checks whose timeout has passed. Their jobs are still read, for their retries.
    pub(super) fn end_expired(&mut self, now: Time) -> Vec<PollEffect> {
        let result = if self.is_read_failing {
            CheckedDependencies::Unavailable
        } else {
            CheckedDependencies::RateLimited
        };
        let mut effects = Vec::new();
        self.pending.retain(|check| {
            let is_expired = now >= check.expires_at;
            if is_expired {
                effects.push(PollEffect::DependenciesChecked(check.id, result.clone()));
            }
            !is_expired
        });
        effects
    }
}

fn progress(jobs: &[String], known: &KnownJobs) -> Progress {
    let is_unread = |job: &&String| known.final_state(job).is_none() && !known.is_accepted(job);
    let unread: Vec<String> = jobs.iter().filter(is_unread).cloned().collect();
    if !unread.is_empty() {
        return Progress::Unread(unread);
    }
    let is_cancelled = |job: &String| known.final_state(job) == Some(JobState::Cancelled);
    Progress::Finished(if jobs.iter().any(is_cancelled) {
        CheckedDependencies::Cancelled
    } else {
        CheckedDependencies::Accepted
    })
}

/// Removes and returns the matching jobs.
fn take_matching(jobs: &mut BTreeSet<String>, is_match: impl Fn(&str) -> bool) -> Vec<String> {
    let matching: Vec<String> = jobs.iter().filter(|job| is_match(job)).cloned().collect();
    for job in &matching {
        jobs.remove(job);
    }
    matching
}

//! Looks up the dependencies of polled jobs in the background, for jobs with more dependencies than one
//! comparison decides. What a scan finds is cached, so that a retried poll continues where the last one
//! stopped.

use std::collections::BTreeSet;

/// The dependencies that are still to be looked up.
pub(super) struct DependencyScan {
    max_jobs: usize,
    /// Dependencies whose records are being read.
    unread: BTreeSet<String>,
    /// Dependencies that are still to be confirmed as unfinished.
    unconfirmed: BTreeSet<String>,
    /// Dependencies that were found in the records of other ones since the scan was last complete.
    discovered: usize,
}

impl DependencyScan {
    /// A scan of at most `max_jobs` dependencies at a time. One that does not fit is added by a later poll.
    pub(super) fn new(max_jobs: usize) -> DependencyScan {
        DependencyScan {
            max_jobs: max_jobs.max(1),
            unread: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            discovered: 0,
        }
    }

    /// Adds dependencies whose records have to be read.
    pub(super) fn add_unread<'a>(&mut self, jobs: impl IntoIterator<Item = &'a String>) {
        insert_bounded(&mut self.unread, self.max_jobs, jobs);
    }

    /// Adds dependencies that have to be confirmed as unfinished.
    pub(super) fn add_unconfirmed<'a>(&mut self, jobs: impl IntoIterator<Item = &'a String>) {
        insert_bounded(&mut self.unconfirmed, self.max_jobs, jobs);
    }

    /// Adds the dependencies in the record of a dependency: they have to be read, too.
    pub(super) fn add_discovered(&mut self, jobs: &[String]) {
        self.discovered += jobs.len();
        self.add_unread(jobs);
    }

    /// Whether the record of this job is being read as that of a dependency.
    pub(super) fn is_unread(&self, job: &str) -> bool {
        self.unread.contains(job)
    }

    /// Removes a dependency whose record was read. Returns whether the scan contained it.
    pub(super) fn read(&mut self, job: &str) -> bool {
        let was_unread = self.unread.remove(job);
        if self.unread.is_empty() {
            self.discovered = 0;
        }
        was_unread
    }

    /// Forgets the dependencies that were to be read, once no read is queued.
    pub(super) fn reads_finished(&mut self) {
        self.unread.clear();
        self.discovered = 0;
    }

    /// Dependencies that were found in the records of other ones since the scan was last complete. Many
    /// of them call for large pages.
    pub(super) fn discovered(&self) -> usize {
        self.discovered
    }

    /// The dependencies in a range of jobs whose records are being read.
    pub(super) fn unread_in(&self, is_in_range: impl Fn(&str) -> bool) -> Vec<String> {
        let unread = self.unread.iter();
        unread.filter(|job| is_in_range(job)).cloned().collect()
    }

    /// Whether a dependency has to be confirmed.
    pub(super) fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Removes and returns up to `count` dependencies to confirm.
    pub(super) fn take_unconfirmed(&mut self, count: usize) -> Vec<String> {
        let taken: Vec<String> = self.unconfirmed.iter().take(count).cloned().collect();
        for job in &taken {
            self.unconfirmed.remove(job);
        }
        taken
    }
}

/// Inserts jobs as long as the set has fewer than `max_len`.
fn insert_bounded<'a>(
    set: &mut BTreeSet<String>,
    max_len: usize,
    jobs: impl IntoIterator<Item = &'a String>,
) {
    for job in jobs {
        if set.len() < max_len {
            set.insert(job.clone());
        }
    }
}

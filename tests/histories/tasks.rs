//! How tasks run and end in histories with a clock of their own.

use super::common::AttemptId;
use super::job::split;
use super::world::World;
use stairstage::protocol::worker::{Cause, TaskState};
use std::collections::BTreeMap;

/// An attempt of a gang: all its tasks have the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GangAttempt {
    job: String,
    attempt: u64,
}

/// How far an attempt of a gang has come.
#[derive(Default)]
pub(crate) struct GangRun {
    complete_since: Option<f64>,
    /// Since when a task of it is missing, or on a machine that hangs.
    broken_since: Option<f64>,
}

/// Where a task of an attempt is.
struct Member {
    worker: usize,
    id: AttemptId,
    since: f64,
    hung: bool,
}

impl World {
    /// Tasks that have run for long enough are done.
    pub(crate) fn progress(&mut self) {
        let mut gangs: BTreeMap<GangAttempt, Vec<Member>> = BTreeMap::new();
        for i in 0..self.workers.len() {
            let w = &self.workers[i];
            if w.gone {
                continue;
            }
            let live = w.tasks.iter().filter(|(_, t)| t.state != TaskState::Exited);
            let live: Vec<_> = live.map(|(id, t)| (id.clone(), t.since)).collect();
            let hung = w.hung;
            for (id, since) in live {
                let job = split(&id.task).0.to_string();
                if self.jobs[&job].is_gang() {
                    let gang = GangAttempt {
                        job,
                        attempt: id.attempt,
                    };
                    let member = Member {
                        worker: i,
                        since,
                        hung,
                        id,
                    };
                    gangs.entry(gang).or_default().push(member);
                } else if !hung {
                    self.progress_task(i, &id, since);
                }
            }
        }
        self.gang_runs.retain(|run, _| gangs.contains_key(run));
        for (run, members) in gangs {
            self.progress_gang(run, members);
        }
    }

    /// A task of an array, or a replica. The result of one that has completed is kept: started
    /// again, it is done at once.
    fn progress_task(&mut self, worker: usize, attempt: &AttemptId, since: f64) {
        let (id, number) = split(&attempt.task);
        let job = self.jobs.get_mut(id).expect("an accepted job");
        let over = self.now - since >= job.task_run_s(number) || job.done.contains(&number);
        if over && !job.is_service() {
            job.done.insert(number);
            self.workers[worker].exit(attempt, Cause::Done, self.now);
        }
    }

    /// The tasks of a gang end together: done, without one of them, or tired of waiting for it.
    fn progress_gang(&mut self, run: GangAttempt, members: Vec<Member>) {
        let now = self.now;
        let workers = &self.settings.cluster.workers;
        let job = self.jobs.get_mut(&run.job).expect("an accepted job");
        let whole = members.len() == job.spec.tasks as usize;
        let intact = whole && members.iter().all(|m| !m.hung);
        let begun = members.iter().map(|m| m.since).fold(now, f64::min);
        let state = self.gang_runs.entry(run).or_default();
        if intact {
            state.complete_since.get_or_insert(now);
            state.broken_since = None;
        } else if state.complete_since.is_some() {
            state.broken_since.get_or_insert(now);
        }
        let cause = if intact
            && state
                .complete_since
                .is_some_and(|t| now - t >= job.run_times.first_s)
        {
            job.done.extend(0..job.spec.tasks);
            Cause::Done
        } else if state
            .broken_since
            .is_some_and(|t| now - t > workers.gang_peer_s)
        {
            Cause::GangBroken
        } else if state.complete_since.is_none() && now - begun > workers.gang_wait_s {
            Cause::GangIncomplete
        } else {
            return;
        };
        for member in members.iter().filter(|m| !m.hung) {
            self.workers[member.worker].exit(&member.id, cause, now);
        }
    }
}

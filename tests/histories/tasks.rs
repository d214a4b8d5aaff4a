//! How tasks run and exit in timed histories.

use super::common::AttemptId;
use super::job::split_task_name;
use super::world::World;
use stairstage::protocol::worker::{Cause, TaskState};
use std::collections::BTreeMap;

/// An attempt of a gang; all tasks of the gang share its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GangAttempt {
    job: String,
    attempt: u64,
}

/// The progress of an attempt of a gang.
#[derive(Default)]
pub(crate) struct GangProgress {
    /// Since when all tasks have been running.
    complete_since: Option<f64>,
    /// Since when a task of a once complete attempt has been missing, or on a hung machine.
    broken_since: Option<f64>,
}

/// A task of an attempt on its worker.
struct Member {
    worker: usize,
    id: AttemptId,
    since: f64,
    hung: bool,
}

impl World {
    /// Completes tasks that have reached their run time.
    pub(crate) fn advance_tasks(&mut self) {
        let mut gangs: BTreeMap<GangAttempt, Vec<Member>> = BTreeMap::new();
        for i in 0..self.workers.len() {
            let w = &self.workers[i];
            if w.terminated {
                continue;
            }
            let live = w.tasks.iter().filter(|(_, t)| t.state != TaskState::Exited);
            let live: Vec<_> = live.map(|(id, t)| (id.clone(), t.since)).collect();
            let hung = w.hung;
            for (id, since) in live {
                let job = split_task_name(&id.task).0.to_string();
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
                    self.advance_task(i, &id, since);
                }
            }
        }
        self.gang_progress
            .retain(|gang, _| gangs.contains_key(gang));
        for (gang, members) in gangs {
            self.advance_gang(gang, members);
        }
    }

    /// Advances a task of an array, or a replica. The result of a completed task is kept: when started
    /// again, the task completes immediately.
    fn advance_task(&mut self, worker: usize, attempt: &AttemptId, since: f64) {
        let (id, number) = split_task_name(&attempt.task);
        let job = self.jobs.get_mut(id).expect("an accepted job");
        let completed = self.now - since >= job.task_run_s(number) || job.done.contains(&number);
        if completed && !job.is_service() {
            job.done.insert(number);
            self.workers[worker].exit(attempt, Cause::Done, self.now);
        }
    }

    /// Advances a gang. Its tasks exit together: when done, when a task was lost for longer than
    /// `gang_peer_s`, or when some task has not started within `gang_wait_s`.
    fn advance_gang(&mut self, gang: GangAttempt, members: Vec<Member>) {
        let now = self.now;
        let workers = &self.settings.cluster.workers;
        let job = self.jobs.get_mut(&gang.job).expect("an accepted job");
        let all_present = members.len() == job.spec.tasks as usize;
        let all_running = all_present && members.iter().all(|m| !m.hung);
        let first_start = members.iter().map(|m| m.since).fold(now, f64::min);
        let state = self.gang_progress.entry(gang).or_default();
        if all_running {
            state.complete_since.get_or_insert(now);
            state.broken_since = None;
        } else if state.complete_since.is_some() {
            state.broken_since.get_or_insert(now);
        }
        let cause = if all_running
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
        } else if state.complete_since.is_none() && now - first_start > workers.gang_wait_s {
            Cause::GangIncomplete
        } else {
            return;
        };
        for member in members.iter().filter(|m| !m.hung) {
            self.workers[member.worker].exit(&member.id, cause, now);
        }
    }
}

//! Users who poll their jobs. Each answer is checked against the records.

use crate::common::random::SplitMix64;
use crate::controllers::{Cluster, DeliveredAnswer, CONTROLLERS};
use crate::jobs;
use stairstage::coordination::requests::Answer;
use stairstage::protocol::job::JobState;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds from an answer to the next poll.
pub(crate) const POLL_PERIOD_S: f64 = 5.0;
/// The maximum response time to a poll.
const MAX_RESPONSE_S: f64 = 2.0;

/// The user of one job.
struct User {
    /// When the last poll was sent.
    sent_at: f64,
    /// Since when the user has had no answer other than 503.
    unanswered_since: f64,
    longest_wait_s: f64,
    /// The final state that was reported to the user.
    final_state: Option<JobState>,
}

/// All users; there is one per job.
pub(crate) struct Users {
    users: Vec<User>,
    /// When each user polls next, in milliseconds, and the user's number.
    next_polls: BTreeSet<(u64, usize)>,
    random: SplitMix64,
    counts: BTreeMap<u16, usize>,
}

impl Users {
    pub(crate) fn new(seed: u64, jobs: usize) -> Users {
        let first = |number: usize| POLL_PERIOD_S * number as f64 / jobs as f64;
        let user = |number| User {
            sent_at: 0.0,
            unanswered_since: first(number),
            longest_wait_s: 0.0,
            final_state: None,
        };
        Users {
            users: (0..jobs).map(user).collect(),
            next_polls: (0..jobs).map(|n| (in_ms(first(n)), n)).collect(),
            random: SplitMix64(seed),
            counts: BTreeMap::new(),
        }
    }

    /// The longest time that any user went without an answer.
    pub(crate) fn longest_wait_s(&self) -> f64 {
        let waits = self.users.iter().map(|user| user.longest_wait_s);
        waits.fold(0.0, f64::max)
    }

    /// The number of answers by status.
    pub(crate) fn counts(&self) -> &BTreeMap<u16, usize> {
        &self.counts
    }

    /// Users take their answers, and send the polls that are due.
    pub(crate) fn step(&mut self, cluster: &mut Cluster) {
        for delivered in cluster.take_delivered() {
            self.on_answer(&delivered, cluster);
        }
        while self
            .next_polls
            .first()
            .is_some_and(|q| q.0 <= in_ms(cluster.now))
        {
            let Some((_, number)) = self.next_polls.pop_first() else {
                return;
            };
            let user = &mut self.users[number];
            user.sent_at = cluster.now;
            user.waited_until(cluster.now);
            let controller = self.random.next() as usize % CONTROLLERS;
            cluster.send_poll(controller, number);
        }
    }

    /// Checks a user's answer and schedules the next poll.
    fn on_answer(&mut self, delivered: &DeliveredAnswer, cluster: &Cluster) {
        let status = delivered.answer.status();
        *self.counts.entry(status).or_default() += 1;
        let user = &mut self.users[delivered.job];
        let waited = cluster.now - user.sent_at;
        assert!(
            waited <= MAX_RESPONSE_S,
            "job {}: answered after {waited} s",
            delivered.job
        );
        let retry_after = delivered.answer.retry_after().map_or(0.0, f64::from);
        user.waited_until(cluster.now);
        let polls_at = cluster.now + POLL_PERIOD_S.max(retry_after);
        self.next_polls.insert((in_ms(polls_at), delivered.job));
        match &delivered.answer {
            Answer::Known(status) => {
                user.check_state(delivered.job, status.state, cluster);
                user.unanswered_since = cluster.now;
            }
            Answer::NotFound => {
                assert!(
                    !jobs::is_submitted(delivered.job),
                    "submitted job is answered with 404: {}",
                    delivered.job
                );
                user.unanswered_since = cluster.now;
            }
            Answer::RetryLater(_) => assert!(retry_after >= 1.0),
            other => panic!("{other:?}"),
        }
    }
}

/// Seconds as whole milliseconds.
fn in_ms(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

impl User {
    /// Updates the longest wait: the user has had no answer until now.
    fn waited_until(&mut self, now: f64) {
        self.longest_wait_s = self.longest_wait_s.max(now - self.unanswered_since);
    }

    /// Checks that a reported state agrees with the records, and that no final state changes.
    fn check_state(&mut self, job: usize, state: JobState, cluster: &Cluster) {
        assert!(
            jobs::is_submitted(job),
            "a job that was never submitted has a state: {job}"
        );
        let recorded = cluster.service.final_states.get(&job).copied();
        if state.is_final() {
            assert_eq!(Some(state), recorded, "job {job}");
            self.final_state = Some(state);
        }
        let reverted = self
            .final_state
            .is_some_and(|final_state| final_state != state);
        assert!(
            !reverted,
            "final state changed: {job} is answered {state:?}"
        );
    }
}

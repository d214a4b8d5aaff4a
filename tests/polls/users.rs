//! Users who poll their jobs, and check the answers against the records.

use crate::common::random::SplitMix64;
use crate::jobs;
use crate::nodes::{Cluster, DeliveredAnswer, NODES};
use stairstage::coordination::requests::Answer;
use stairstage::protocol::job::JobState;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds from an answer to the next question.
pub(crate) const PERIOD_S: f64 = 5.0;
/// No user waits longer for a response.
const RESPONSE_S: f64 = 2.0;

/// The user of one job.
struct User {
    asked_at: f64,
    /// Since when it has had no answer.
    since: f64,
    longest_wait_s: f64,
    /// The end that was reported to it.
    end: Option<JobState>,
}

/// Everybody who polls.
pub(crate) struct Users {
    users: Vec<User>,
    /// Who asks next, and when, in milliseconds.
    questions: BTreeSet<(u64, usize)>,
    random: SplitMix64,
    counts: BTreeMap<u16, usize>,
}

impl Users {
    pub(crate) fn new(seed: u64, jobs: usize) -> Users {
        let first = |number: usize| PERIOD_S * number as f64 / jobs as f64;
        let user = |number| User {
            asked_at: 0.0,
            since: first(number),
            longest_wait_s: 0.0,
            end: None,
        };
        Users {
            users: (0..jobs).map(user).collect(),
            questions: (0..jobs).map(|n| (in_ms(first(n)), n)).collect(),
            random: SplitMix64(seed),
            counts: BTreeMap::new(),
        }
    }

    /// The longest that any user went without an answer.
    pub(crate) fn longest_wait_s(&self) -> f64 {
        let waits = self.users.iter().map(|user| user.longest_wait_s);
        waits.fold(0.0, f64::max)
    }

    /// Answers by their status.
    pub(crate) fn counts(&self) -> &BTreeMap<u16, usize> {
        &self.counts
    }

    /// Users take their answers, and ask when it is time to.
    pub(crate) fn step(&mut self, cluster: &mut Cluster) {
        for delivered in cluster.take_delivered() {
            self.on_answer(&delivered, cluster);
        }
        while self
            .questions
            .first()
            .is_some_and(|q| q.0 <= in_ms(cluster.now))
        {
            let Some((_, number)) = self.questions.pop_first() else {
                return;
            };
            let user = &mut self.users[number];
            user.asked_at = cluster.now;
            user.waited_until(cluster.now);
            let node = self.random.next() as usize % NODES;
            cluster.ask(node, number);
        }
    }

    /// A user gets an answer, and asks again later.
    fn on_answer(&mut self, delivered: &DeliveredAnswer, cluster: &Cluster) {
        let status = delivered.answer.status();
        *self.counts.entry(status).or_default() += 1;
        let user = &mut self.users[delivered.job];
        let waited = cluster.now - user.asked_at;
        assert!(waited <= RESPONSE_S, "job {}: {waited} s", delivered.job);
        let retry_after = delivered.answer.retry_after().map_or(0.0, f64::from);
        user.waited_until(cluster.now);
        let asks_at = cluster.now + PERIOD_S.max(retry_after);
        self.questions.insert((in_ms(asks_at), delivered.job));
        match &delivered.answer {
            Answer::Known(status) => {
                user.check_state(delivered.job, status.state, cluster);
                user.since = cluster.now;
            }
            Answer::NotFound => {
                assert!(
                    !jobs::is_submitted(delivered.job),
                    "forgotten: {}",
                    delivered.job
                );
                user.since = cluster.now;
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
    /// Has had no answer until now.
    fn waited_until(&mut self, now: f64) {
        self.longest_wait_s = self.longest_wait_s.max(now - self.since);
    }

    /// A state is true, and no end is taken back.
    fn check_state(&mut self, job: usize, state: JobState, cluster: &Cluster) {
        assert!(jobs::is_submitted(job), "invented: {job}");
        let recorded = cluster.service.ends.get(&job).copied();
        if state.is_final() {
            assert_eq!(Some(state), recorded, "job {job}");
            self.end = Some(state);
        }
        let went_back = self.end.is_some_and(|end| end != state);
        assert!(!went_back, "went_back: {job} is told {state:?}");
    }
}

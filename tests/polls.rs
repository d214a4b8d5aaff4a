//! Users poll three controllers. Leaders change or there is none, one controller can't reach the state
//! service, and other clients use most of the request limit of the state service. No final state may change
//! once it was reported, the controllers must stay within their share of requests in every second, and
//! every job must be answered within a bound.

mod common;
#[path = "polls/controllers.rs"]
mod controllers;
#[path = "polls/jobs.rs"]
mod jobs;
#[path = "polls/state_service.rs"]
mod state_service;
#[path = "polls/users.rs"]
mod users;

use controllers::{Cluster, Leadership};
use std::collections::BTreeMap;
use users::{Users, POLL_PERIOD_S};

/// The seed of each simulation of a test.
const SEEDS: std::ops::Range<u64> = 1..3;
/// Jobs that are polled: at one poll in five seconds each, 400 polls a second.
const JOBS: usize = 2000;
/// The duration of each simulation.
const DURATION_S: f64 = 120.0;
/// Users consider a job lost after this time without an answer, in seconds. The bound must be shorter.
const MAX_BOUND_S: f64 = 75.0;

/// The conditions of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    jobs: usize,
    leadership: Leadership,
    disconnected: bool,
}

/// Runs the users' polls for the whole duration.
fn simulate(seed: u64, scenario: Scenario) -> (Users, Cluster) {
    let mut cluster = Cluster::new(
        seed,
        scenario.jobs,
        scenario.leadership,
        scenario.disconnected,
    );
    let mut users = Users::new(seed, scenario.jobs);
    while cluster.now < DURATION_S {
        cluster.step();
        users.step(&mut cluster);
    }
    (users, cluster)
}

/// Among this many polls at three controllers, at least three are at the same one.
const MAX_POLLS: f64 = 7.0;

/// The time in seconds within which every polled job is answered. The first poll at a controller may be
/// rejected. The controller serves the jobs first that it has rejected for longest, so a poll that comes
/// after the time to compare all jobs once is compared. If the comparison finds a record that the
/// controller does not know yet, it reads a page with that record. The third poll at the controller is
/// answered.
fn bound_s(scenario: Scenario, cluster: &Cluster) -> f64 {
    let round_s = scenario.jobs as f64 / cluster.polls_per_s();
    let pages_s = 2.0 * cluster.pages(scenario.jobs) as f64 / cluster.reads_per_s();
    let polls_s = MAX_POLLS * POLL_PERIOD_S;
    round_s + pages_s + polls_s
}

/// Simulates the scenario with several seeds and checks the bounds; returns the number of answers by status.
fn assert_bounds(scenario: Scenario) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for seed in SEEDS {
        let (users, cluster) = simulate(seed, scenario);
        let bound = bound_s(scenario, &cluster);
        assert!(bound < MAX_BOUND_S, "bound {bound} s");
        let longest = users.longest_wait_s();
        assert!(
            longest <= bound,
            "seed {seed}: no answer for {longest:.1} s, the bound is {bound:.1} s"
        );
        let share = cluster.requests_share();
        let max_requests = cluster.max_requests_per_s();
        assert!(
            max_requests as f64 <= share,
            "seed {seed}: {max_requests} requests in a second, the share is {share:.0}"
        );
        for (status, answers) in users.counts() {
            *counts.entry(*status).or_default() += answers;
        }
    }
    counts
}

/// Whether more than this share of the polls, one per period and job, got a status. Polls of jobs that
/// were never submitted are answered with 404.
fn is_served(scenario: Scenario, counts: &BTreeMap<u16, usize>, share: f64) -> bool {
    let sent = SEEDS.count() as f64 * scenario.jobs as f64 * DURATION_S / POLL_PERIOD_S;
    (counts[&200] + counts[&404]) as f64 > share * sent
}

#[test]
fn every_job_is_answered_within_bound_while_leaders_change_and_a_controller_is_disconnected() {
    let scenario = Scenario {
        jobs: JOBS,
        leadership: Leadership::Changes,
        disconnected: true,
    };
    let counts = assert_bounds(scenario);
    assert!(is_served(scenario, &counts, 0.9), "{counts:?}");
}

#[test]
fn every_job_is_answered_within_bound_without_a_leader() {
    let scenario = Scenario {
        jobs: JOBS,
        leadership: Leadership::None,
        disconnected: true,
    };
    let counts = assert_bounds(scenario);
    assert!(is_served(scenario, &counts, 0.9), "{counts:?}");
    assert!(counts[&404] > 0, "{counts:?}");
}

#[test]
fn every_job_is_answered_within_bound_while_overload_causes_rejections() {
    for leadership in [Leadership::Changes, Leadership::None] {
        let scenario = Scenario {
            jobs: 3 * JOBS,
            leadership,
            disconnected: true,
        };
        let counts = assert_bounds(scenario);
        assert!(is_served(scenario, &counts, 0.3), "{counts:?}");
        assert!(counts[&503] > JOBS, "{counts:?}");
    }
}

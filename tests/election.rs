//! Elections of several nodes in virtual time: generated schedules of faults, and particular
//! combinations of faults.

#[path = "common/election_cluster/mod.rs"]
mod election_cluster;
#[path = "common/lease_store.rs"]
mod lease_store;
#[path = "common/random.rs"]
mod random;

use election_cluster::Cluster;
use lease_store::{Micros, MAX_EXPIRY_DELAY, SECOND};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The lease of a leader.
const LEASE: Micros = 16 * SECOND / 10;
/// The time after which a node leads again: a watch whose connection was lost is held open for four
/// leases.
const RECOVERY: Micros = 7 * LEASE;
/// The same faults in each run.
const SEED: u64 = 7;

/// A cluster whose faults affect every request.
fn cluster() -> Cluster {
    Cluster::new(LEASE, MAX_EXPIRY_DELAY, 1.0, SEED)
}

/// The same with an elected node.
fn cluster_with_leader() -> (Cluster, usize) {
    let mut cluster = cluster();
    let leader = cluster.run_until_elected(None, LEASE);
    (cluster, leader)
}

/// Once the faults are over there is a leader, which stays and knows its token.
fn assert_recovers(cluster: &mut Cluster) {
    cluster.heal();
    cluster.run_for(RECOVERY);
    let leader = cluster.leader().expect("somebody leads again");
    for _ in 0..30 {
        cluster.run_for(LEASE / 10);
        assert_eq!(cluster.leader(), Some(leader), "the leader stays");
    }
    let record = cluster.store.leader().expect("the record of the leader");
    assert_eq!(cluster.valid_token(leader), Some(record.version));
}

/// What goes wrong, with whom and for how long.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Restart(usize, Micros),
    RestartAll(Micros),
    Pause(usize, Micros),
    Refuse(usize, Micros),
    Partition(usize, Micros),
    LoseResponses(usize, Micros),
    DelayCommits(usize, Micros),
    SlowController(usize, Micros),
    Outage(Micros),
    LeaderRefusedThenAll(Micros),
    RestartLeader(Micros),
    PauseLeader(Micros),
    Resign,
    RaiseToken,
}

/// Any fault.
fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..3usize;
    let brief = SECOND / 20..SECOND;
    let long = SECOND / 2..5 * LEASE;
    let either = || prop_oneof![brief.clone(), long.clone()];
    prop_oneof![
        (node.clone(), either()).prop_map(|(node, time)| Fault::Restart(node, time)),
        either().prop_map(Fault::RestartAll),
        (node.clone(), either()).prop_map(|(node, time)| Fault::Pause(node, time)),
        (node.clone(), either()).prop_map(|(node, time)| Fault::Refuse(node, time)),
        (node.clone(), either()).prop_map(|(node, time)| Fault::Partition(node, time)),
        (node.clone(), long.clone()).prop_map(|(node, time)| Fault::LoseResponses(node, time)),
        (node.clone(), long.clone()).prop_map(|(node, time)| Fault::DelayCommits(node, time)),
        (node, long.clone()).prop_map(|(node, time)| Fault::SlowController(node, time)),
        either().prop_map(Fault::Outage),
        long.clone().prop_map(Fault::LeaderRefusedThenAll),
        either().prop_map(Fault::RestartLeader),
        either().prop_map(Fault::PauseLeader),
        Just(Fault::Resign),
        Just(Fault::RaiseToken),
        Just(Fault::RaiseToken),
    ]
}

/// A fault begins.
fn apply(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::Restart(node, time) => cluster.restart(node, time),
        Fault::RestartAll(time) => restart_all(cluster, time),
        Fault::Pause(node, time) => cluster.pause(node, time),
        Fault::Refuse(node, time) => cluster.reject_requests(node, time),
        Fault::Partition(node, time) => cluster.partition(node, time),
        Fault::LoseResponses(node, time) => cluster.lose_responses(node, time),
        Fault::DelayCommits(node, time) => cluster.delay_commits(node, time),
        Fault::SlowController(node, time) => cluster.slow_controller(node, time),
        Fault::Outage(time) => cluster.begin_outage(time),
        fault => {
            if let Some(leader) = cluster.leader() {
                apply_to_leader(cluster, fault, leader);
            }
        }
    }
}

/// A fault begins that strikes whoever leads.
fn apply_to_leader(cluster: &mut Cluster, fault: Fault, leader: usize) {
    match fault {
        Fault::LeaderRefusedThenAll(time) => {
            cluster.reject_requests(leader, time);
            cluster.run_for(SECOND);
            cluster.begin_outage(time);
        }
        Fault::RestartLeader(time) => cluster.restart(leader, time),
        Fault::PauseLeader(time) => cluster.pause(leader, time),
        Fault::Resign => cluster.resign(leader),
        Fault::RaiseToken => cluster.raise_token(leader),
        other => unreachable!("{other:?} is not the leader's alone"),
    }
}

/// All processes end, and are back after so long.
fn restart_all(cluster: &mut Cluster, downtime: Micros) {
    for node in 0..cluster.nodes() {
        cluster.restart(node, downtime);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_schedule_breaks_the_election(
        seed in any::<u64>(),
        schedule in prop::collection::vec((fault(), 0..2 * LEASE), 5..40),
    ) {
        let mut cluster = Cluster::new(LEASE, MAX_EXPIRY_DELAY, 0.5, seed);
        for (fault, pause) in schedule {
            apply(&mut cluster, fault);
            cluster.run_for(pause);
        }
        assert_recovers(&mut cluster);
    }
}

#[test]
fn leaders_change_ten_times_in_two_minutes() {
    let (mut cluster, mut leader) = cluster_with_leader();
    for change in 0..10 {
        if change == 4 {
            cluster.begin_outage(10 * SECOND);
        }
        let token = cluster.valid_token(leader);
        cluster.restart(leader, 5 * SECOND);
        // During the outage the node is back before its lease is over, and may lead a new term.
        cluster.run_for(SECOND / 100);
        leader = cluster.run_until_elected(None, 12 * SECOND);
        assert!(cluster.valid_token(leader) > token);
    }
    assert!(cluster.now <= 120 * SECOND);
    assert!(cluster.elections > 10, "{} elections", cluster.elections);
    assert_recovers(&mut cluster);
}

#[test]
fn a_leader_that_ends_inside_an_outage_leads_again_or_is_followed() {
    let (mut cluster, leader) = cluster_with_leader();
    cluster.begin_outage(10 * LEASE);
    for _ in 0..10 {
        cluster.restart(leader, SECOND / 4);
        cluster.run_for(LEASE);
    }
    cluster.run_until_elected(None, LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn controllers_hand_over_and_back_then_all_end_and_one_returns() {
    for downtime in [SECOND / 4, SECOND, 3 * LEASE] {
        let (mut cluster, first) = cluster_with_leader();
        cluster.resign(first);
        let second = cluster.run_until_elected(Some(first), LEASE);
        cluster.run_for(2 * LEASE);
        cluster.resign(second);
        cluster.run_until_elected(Some(second), LEASE);
        for node in 0..cluster.nodes() {
            cluster.restart(node, if node == first { downtime } else { 8 * LEASE });
        }
        cluster.run_for(downtime);
        assert_eq!(cluster.run_until_elected(None, 2 * LEASE), first);
        assert_recovers(&mut cluster);
    }
}

#[test]
fn all_controllers_are_away_for_longer_than_a_workers_lease() {
    let (mut cluster, _) = cluster_with_leader();
    restart_all(&mut cluster, 8 * LEASE);
    cluster.run_for(8 * LEASE);
    cluster.run_until_elected(None, LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn the_leader_is_refused_alone_and_then_everybody() {
    let (mut cluster, leader) = cluster_with_leader();
    cluster.reject_requests(leader, 20 * LEASE);
    cluster.run_for(SECOND);
    cluster.begin_outage(10 * LEASE);
    cluster.run_for(10 * LEASE);
    cluster.run_until_elected(Some(leader), 2 * LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn a_campaign_whose_answer_is_lost_is_won_within_a_lease() {
    let mut cluster = cluster();
    for node in 0..cluster.nodes() {
        cluster.lose_responses(node, SECOND / 10);
    }
    cluster.run_until_elected(None, 2 * LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn a_campaign_that_is_carried_out_late_leads_nobody() {
    let (mut cluster, leader) = cluster_with_leader();
    for node in 0..cluster.nodes() {
        cluster.delay_commits(node, 2 * LEASE);
    }
    cluster.restart(leader, SECOND / 4);
    cluster.run_for(2 * LEASE);
    // Neither does one of a process that has ended meanwhile.
    restart_all(&mut cluster, SECOND / 4);
    cluster.run_until_elected(None, 3 * LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn a_restarted_leader_campaigns_against_its_own_record() {
    for downtime in [SECOND / 20, SECOND / 4] {
        let (mut cluster, leader) = cluster_with_leader();
        let token = cluster.valid_token(leader);
        cluster.restart(leader, downtime);
        cluster.run_for(downtime + LEASE / 4);
        assert_eq!(cluster.leader(), Some(leader), "before its lease is over");
        assert!(cluster.valid_token(leader) > token);
    }
}

/// The token rises in the same term: the leader loses neither its lease nor a write.
fn assert_raises_token(mut cluster: Cluster, leader: usize) {
    let token = cluster.valid_token(leader);
    cluster.raise_token(leader);
    for _ in 0..400 {
        cluster.run_for(LEASE / 20);
        assert_eq!(cluster.leader(), Some(leader), "its lease never runs out");
    }
    assert!(cluster.valid_token(leader) > token);
    assert_eq!((cluster.elections, cluster.deposed_by_conflict), (1, 0));
    assert_recovers(&mut cluster);
}

#[test]
fn a_raised_token_whose_answer_is_lost_is_noticed() {
    for moment in 0..16 {
        let (mut cluster, leader) = cluster_with_leader();
        cluster.run_for(moment * LEASE / 32);
        cluster.lose_responses(leader, 5 * LEASE);
        assert_raises_token(cluster, leader);
    }
}

#[test]
fn a_raised_token_that_is_carried_out_late_is_noticed() {
    for seed in 0..300 {
        let mut cluster = Cluster::new(LEASE, MAX_EXPIRY_DELAY, 0.5, seed);
        let leader = cluster.run_until_elected(None, LEASE);
        cluster.delay_commits(leader, 2 * LEASE);
        assert_raises_token(cluster, leader);
    }
}

#[test]
fn a_raised_token_survives_an_outage_that_hides_its_outcome() {
    for (late, tenths) in (1..10).flat_map(|tenths| [(false, tenths), (true, tenths)]) {
        let (mut cluster, leader) = cluster_with_leader();
        if !late {
            cluster.lose_responses(leader, LEASE / 8);
        } else {
            cluster.delay_commits(leader, LEASE / 8);
        }
        let token = cluster.valid_token(leader);
        cluster.raise_token(leader);
        cluster.run_for(tenths * SECOND / 10);
        cluster.begin_outage(5 * LEASE);
        cluster.run_for(15 * LEASE);
        assert_eq!(cluster.leader(), Some(leader));
        assert!(cluster.valid_token(leader) > token);
        assert_eq!((cluster.elections, cluster.deposed_by_conflict), (1, 0));
    }
}

#[test]
fn a_leader_that_stands_still_has_lost_its_lease_when_it_goes_on() {
    let (mut cluster, leader) = cluster_with_leader();
    cluster.pause(leader, 4 * LEASE);
    let next = cluster.run_until_elected(Some(leader), 2 * LEASE);
    cluster.run_for(6 * LEASE);
    assert_eq!(cluster.leader(), Some(next));
}

#[test]
fn a_node_that_stands_still_in_its_campaign_leads_nobody() {
    for moment in 0..40 {
        let mut cluster = cluster();
        cluster.run_for(moment * SECOND / 2000);
        for node in 1..cluster.nodes() {
            cluster.restart(node, LEASE / 2);
        }
        cluster.pause(0, LEASE - MAX_EXPIRY_DELAY + moment * SECOND / 100);
        cluster.run_for(3 * LEASE);
        assert_recovers(&mut cluster);
    }
}

#[test]
fn a_lease_counts_from_its_request_though_the_campaign_took_long() {
    let mut cluster = cluster();
    while cluster.recorded_leader().is_none() {
        cluster.run_for(SECOND / 10_000);
    }
    let elected = cluster.recorded_leader().unwrap();
    cluster.pause(elected, LEASE / 2);
    cluster.reject_requests(elected, 4 * LEASE);
    cluster.run_until_elected(Some(elected), 3 * LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn the_slowest_clock_does_not_outlast_a_long_lease() {
    const LONG_LEASE: Micros = 100 * SECOND;
    for seed in 0..20 {
        let mut cluster = Cluster::new(LONG_LEASE, 0, 1.0, seed);
        let leader = cluster.run_until_elected(None, LONG_LEASE);
        cluster.reject_requests(leader, 3 * LONG_LEASE);
        cluster.run_until_elected(Some(leader), 2 * LONG_LEASE);
    }
}

#[test]
fn what_a_slow_controller_asks_in_an_earlier_term_has_no_effect() {
    for asks_for_token in [false, true] {
        let (mut cluster, leader) = cluster_with_leader();
        for node in (0..cluster.nodes()).filter(|node| *node != leader) {
            cluster.restart(node, 20 * LEASE);
        }
        // The lease ends; the node is elected again before its controller learns that it was deposed.
        cluster.pause(leader, 2 * LEASE);
        cluster.slow_controller(leader, 3 * LEASE);
        cluster.run_for(2 * LEASE + SECOND / 2);
        if !asks_for_token {
            cluster.resign(leader);
        } else {
            cluster.raise_token(leader);
        }
        cluster.run_for(SECOND);
        for _ in 0..40 {
            cluster.run_for(LEASE / 10);
            assert_eq!(cluster.leader(), Some(leader), "the later term goes on");
        }
        assert_eq!((cluster.elections, cluster.deposed_by_conflict), (2, 0));
    }
}

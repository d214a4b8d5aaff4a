//! Elections among several controllers in simulated time: generated schedules of faults, and particular
//! combinations of faults. The cluster checks after each event that at most one controller trusts its
//! lease and that valid tokens only rise.

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

/// The duration of a leader's lease.
const LEASE: Micros = 16 * SECOND / 10;
/// The time after the end of all faults within which there is a leader. A watch whose connection was lost
/// is held open for four leases.
const RECOVERY_TIME: Micros = 7 * LEASE;
/// A fixed seed: each run has the same faults.
const SEED: u64 = 7;

/// A cluster in which a fault affects every request.
fn cluster() -> Cluster {
    Cluster::new(LEASE, MAX_EXPIRY_DELAY, 1.0, SEED)
}

/// A cluster as above, with an elected leader.
fn cluster_with_leader() -> (Cluster, usize) {
    let mut cluster = cluster();
    let leader = cluster.run_until_elected(None, LEASE);
    (cluster, leader)
}

/// Ends all faults and checks that there is a leader, which stays and knows its token.
fn assert_recovers(cluster: &mut Cluster) {
    cluster.heal();
    cluster.run_for(RECOVERY_TIME);
    let leader = cluster.leader().expect("there is a leader again");
    for _ in 0..30 {
        cluster.run_for(LEASE / 10);
        assert_eq!(cluster.leader(), Some(leader), "the leader stays");
    }
    let record = cluster.store.leader().expect("the record of the leader");
    assert_eq!(cluster.valid_token(leader), Some(record.version));
}

/// A fault, with the controller that it affects and its duration.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Restart(usize, Micros),
    RestartAll(Micros),
    Pause(usize, Micros),
    Reject(usize, Micros),
    Partition(usize, Micros),
    LoseResponses(usize, Micros),
    DelayCommits(usize, Micros),
    SlowController(usize, Micros),
    Outage(Micros),
    LeaderRejectedThenOutage(Micros),
    RestartLeader(Micros),
    PauseLeader(Micros),
    StepDown,
    RaiseToken,
}

/// Generates any fault.
fn fault() -> impl Strategy<Value = Fault> {
    let controller = 0..3usize;
    let brief = SECOND / 20..SECOND;
    let long = SECOND / 2..5 * LEASE;
    let either = || prop_oneof![brief.clone(), long.clone()];
    prop_oneof![
        (controller.clone(), either())
            .prop_map(|(controller, time)| Fault::Restart(controller, time)),
        either().prop_map(Fault::RestartAll),
        (controller.clone(), either())
            .prop_map(|(controller, time)| Fault::Pause(controller, time)),
        (controller.clone(), either())
            .prop_map(|(controller, time)| Fault::Reject(controller, time)),
        (controller.clone(), either())
            .prop_map(|(controller, time)| Fault::Partition(controller, time)),
        (controller.clone(), long.clone())
            .prop_map(|(controller, time)| Fault::LoseResponses(controller, time)),
        (controller.clone(), long.clone())
            .prop_map(|(controller, time)| Fault::DelayCommits(controller, time)),
        (controller, long.clone())
            .prop_map(|(controller, time)| Fault::SlowController(controller, time)),
        either().prop_map(Fault::Outage),
        long.clone().prop_map(Fault::LeaderRejectedThenOutage),
        either().prop_map(Fault::RestartLeader),
        either().prop_map(Fault::PauseLeader),
        Just(Fault::StepDown),
        Just(Fault::RaiseToken),
        Just(Fault::RaiseToken),
    ]
}

/// Starts a fault.
fn apply(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::Restart(controller, time) => cluster.restart(controller, time),
        Fault::RestartAll(time) => restart_all(cluster, time),
        Fault::Pause(controller, time) => cluster.pause(controller, time),
        Fault::Reject(controller, time) => cluster.reject_requests(controller, time),
        Fault::Partition(controller, time) => cluster.partition(controller, time),
        Fault::LoseResponses(controller, time) => cluster.lose_responses(controller, time),
        Fault::DelayCommits(controller, time) => cluster.delay_commits(controller, time),
        Fault::SlowController(controller, time) => cluster.slow_controller(controller, time),
        Fault::Outage(time) => cluster.begin_outage(time),
        fault => {
            if let Some(leader) = cluster.leader() {
                apply_to_leader(cluster, fault, leader);
            }
        }
    }
}

/// Starts a fault of the current leader.
fn apply_to_leader(cluster: &mut Cluster, fault: Fault, leader: usize) {
    match fault {
        Fault::LeaderRejectedThenOutage(time) => {
            cluster.reject_requests(leader, time);
            cluster.run_for(SECOND);
            cluster.begin_outage(time);
        }
        Fault::RestartLeader(time) => cluster.restart(leader, time),
        Fault::PauseLeader(time) => cluster.pause(leader, time),
        Fault::StepDown => cluster.step_down(leader),
        Fault::RaiseToken => cluster.raise_token(leader),
        other => unreachable!("{other:?} is not a fault of the leader"),
    }
}

/// Stops all processes and starts them again after this time.
fn restart_all(cluster: &mut Cluster, downtime: Micros) {
    for controller in 0..cluster.controllers() {
        cluster.restart(controller, downtime);
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
    fn cluster_has_at_most_one_leader_and_recovers_under_any_schedule_of_faults(
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
fn token_rises_with_each_of_ten_leader_changes_in_two_minutes() {
    let (mut cluster, mut leader) = cluster_with_leader();
    for change in 0..10 {
        if change == 4 {
            cluster.begin_outage(10 * SECOND);
        }
        let token = cluster.valid_token(leader);
        cluster.restart(leader, 5 * SECOND);
        // During the outage the controller restarts before its lease expires, and may lead a new term.
        cluster.run_for(SECOND / 100);
        leader = cluster.run_until_elected(None, 12 * SECOND);
        assert!(cluster.valid_token(leader) > token);
    }
    assert!(cluster.now <= 120 * SECOND);
    assert!(cluster.elections > 10, "{} elections", cluster.elections);
    assert_recovers(&mut cluster);
}

#[test]
fn leader_restarting_during_outage_is_reelected_or_replaced() {
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
fn sole_restarted_controller_is_elected_after_two_leaders_stepped_down_and_all_stopped() {
    for downtime in [SECOND / 4, SECOND, 3 * LEASE] {
        let (mut cluster, first) = cluster_with_leader();
        cluster.step_down(first);
        let second = cluster.run_until_elected(Some(first), LEASE);
        cluster.run_for(2 * LEASE);
        cluster.step_down(second);
        cluster.run_until_elected(Some(second), LEASE);
        for controller in 0..cluster.controllers() {
            cluster.restart(
                controller,
                if controller == first {
                    downtime
                } else {
                    8 * LEASE
                },
            );
        }
        cluster.run_for(downtime);
        assert_eq!(cluster.run_until_elected(None, 2 * LEASE), first);
        assert_recovers(&mut cluster);
    }
}

#[test]
fn leader_is_elected_after_all_controllers_were_down_longer_than_a_workers_lease() {
    let (mut cluster, _) = cluster_with_leader();
    restart_all(&mut cluster, 8 * LEASE);
    cluster.run_for(8 * LEASE);
    cluster.run_until_elected(None, LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn another_controller_is_elected_after_leader_is_rejected_and_outage_follows() {
    let (mut cluster, leader) = cluster_with_leader();
    cluster.reject_requests(leader, 20 * LEASE);
    cluster.run_for(SECOND);
    cluster.begin_outage(10 * LEASE);
    cluster.run_for(10 * LEASE);
    cluster.run_until_elected(Some(leader), 2 * LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn campaign_with_lost_response_elects_a_leader_within_two_leases() {
    let mut cluster = cluster();
    for controller in 0..cluster.controllers() {
        cluster.lose_responses(controller, SECOND / 10);
    }
    cluster.run_until_elected(None, 2 * LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn delayed_campaign_transaction_elects_no_leader() {
    let (mut cluster, leader) = cluster_with_leader();
    for controller in 0..cluster.controllers() {
        cluster.delay_commits(controller, 2 * LEASE);
    }
    cluster.restart(leader, SECOND / 4);
    cluster.run_for(2 * LEASE);
    // A delayed campaign of a process that has stopped since then elects no leader either.
    restart_all(&mut cluster, SECOND / 4);
    cluster.run_until_elected(None, 3 * LEASE);
    assert_recovers(&mut cluster);
}

#[test]
fn restarted_leader_is_reelected_before_its_old_lease_expires() {
    for downtime in [SECOND / 20, SECOND / 4] {
        let (mut cluster, leader) = cluster_with_leader();
        let token = cluster.valid_token(leader);
        cluster.restart(leader, downtime);
        cluster.run_for(downtime + LEASE / 4);
        assert_eq!(
            cluster.leader(),
            Some(leader),
            "reelected before its old lease expires"
        );
        assert!(cluster.valid_token(leader) > token);
    }
}

/// Raises the token in the same term, and checks that the leader loses neither its lease nor a write.
fn assert_raises_token(mut cluster: Cluster, leader: usize) {
    let token = cluster.valid_token(leader);
    cluster.raise_token(leader);
    for _ in 0..400 {
        cluster.run_for(LEASE / 20);
        assert_eq!(
            cluster.leader(),
            Some(leader),
            "the lease of the leader never expires"
        );
    }
    assert!(cluster.valid_token(leader) > token);
    assert_eq!((cluster.elections, cluster.deposed_by_conflict), (1, 0));
    assert_recovers(&mut cluster);
}

#[test]
fn token_raise_with_lost_response_takes_effect_in_the_same_term() {
    for moment in 0..16 {
        let (mut cluster, leader) = cluster_with_leader();
        cluster.run_for(moment * LEASE / 32);
        cluster.lose_responses(leader, 5 * LEASE);
        assert_raises_token(cluster, leader);
    }
}

#[test]
fn delayed_token_raise_takes_effect_in_the_same_term() {
    for seed in 0..300 {
        let mut cluster = Cluster::new(LEASE, MAX_EXPIRY_DELAY, 0.5, seed);
        let leader = cluster.run_until_elected(None, LEASE);
        cluster.delay_commits(leader, 2 * LEASE);
        assert_raises_token(cluster, leader);
    }
}

#[test]
fn indeterminate_token_raise_takes_effect_after_an_outage() {
    for (delayed, tenths) in (1..10).flat_map(|tenths| [(false, tenths), (true, tenths)]) {
        let (mut cluster, leader) = cluster_with_leader();
        if !delayed {
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
fn paused_leader_steps_down_after_lease_expiry() {
    let (mut cluster, leader) = cluster_with_leader();
    cluster.pause(leader, 4 * LEASE);
    let next = cluster.run_until_elected(Some(leader), 2 * LEASE);
    cluster.run_for(6 * LEASE);
    assert_eq!(cluster.leader(), Some(next));
}

#[test]
fn controller_paused_in_its_campaign_never_leads_with_an_expired_lease() {
    for moment in 0..40 {
        let mut cluster = cluster();
        cluster.run_for(moment * SECOND / 2000);
        for controller in 1..cluster.controllers() {
            cluster.restart(controller, LEASE / 2);
        }
        cluster.pause(0, LEASE - MAX_EXPIRY_DELAY + moment * SECOND / 100);
        cluster.run_for(3 * LEASE);
        assert_recovers(&mut cluster);
    }
}

#[test]
fn lease_counts_from_its_request_after_a_slow_campaign() {
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
fn leader_with_the_slowest_clock_does_not_outlast_a_long_lease() {
    const LONG_LEASE: Micros = 100 * SECOND;
    for seed in 0..20 {
        let mut cluster = Cluster::new(LONG_LEASE, 0, 1.0, seed);
        let leader = cluster.run_until_elected(None, LONG_LEASE);
        cluster.reject_requests(leader, 3 * LONG_LEASE);
        cluster.run_until_elected(Some(leader), 2 * LONG_LEASE);
    }
}

#[test]
fn delayed_controller_request_of_an_earlier_term_has_no_effect() {
    for raises_token in [false, true] {
        let (mut cluster, leader) = cluster_with_leader();
        for controller in (0..cluster.controllers()).filter(|controller| *controller != leader) {
            cluster.restart(controller, 20 * LEASE);
        }
        // The lease expires. The election wins the next term before its controller learns that it has
        // stepped down.
        cluster.pause(leader, 2 * LEASE);
        cluster.slow_controller(leader, 3 * LEASE);
        cluster.run_for(2 * LEASE + SECOND / 2);
        if !raises_token {
            cluster.step_down(leader);
        } else {
            cluster.raise_token(leader);
        }
        cluster.run_for(SECOND);
        for _ in 0..40 {
            cluster.run_for(LEASE / 10);
            assert_eq!(cluster.leader(), Some(leader), "the later term continues");
        }
        assert_eq!((cluster.elections, cluster.deposed_by_conflict), (2, 0));
    }
}

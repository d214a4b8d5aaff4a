//! Every reason for which the cluster version does not rise, and the words in which it is told.

use stairstage_upgrade::plan::{Initiator, Timing};
use stairstage_upgrade::records::{Controller, Member};
use stairstage_upgrade::status::Status;
use stairstage_upgrade::{
    ClusterVersion, MemberRecord, Plan, SeenRecord, Snapshot, UpgradePolicy, VersionRange,
    VersionRecord,
};

/// The time of day of all plans.
const NOW_MS: u64 = 1_800_000_000_000;

/// The versions that a release works at.
fn versions(oldest: u32, newest: u32) -> VersionRange {
    VersionRange {
        oldest: ClusterVersion(oldest),
        newest: ClusterVersion(newest),
    }
}

/// A controller that has registered with a release.
fn controller(number: usize, release: &str, range: VersionRange) -> Controller {
    let record = MemberRecord {
        release: release.into(),
        versions: range,
        since_ms: NOW_MS - 100_000,
    };
    Controller {
        name: format!("deckhand-{number}"),
        member: Some(Member {
            record,
            stamp: 10 + number as u64,
        }),
        seen: None,
    }
}

/// Records of these controllers, with the first version active.
fn snapshot(controllers: Vec<Controller>) -> Snapshot {
    Snapshot {
        version: VersionRecord::FIRST,
        stamp: 0,
        controllers,
    }
}

/// Three controllers that can follow to the second version.
fn upgraded() -> Vec<Controller> {
    (0..3)
        .map(|i| controller(i, "0.2", versions(1, 2)))
        .collect()
}

/// The present, with so long a soak.
fn timing(soak_s: f64) -> Timing {
    Timing {
        now_ms: NOW_MS,
        skew_ms: 1000,
        soak_s,
    }
}

/// A policy that can be read.
fn policy(text: &str) -> UpgradePolicy {
    UpgradePolicy::parse(text, NOW_MS).expect("a policy")
}

/// The reasons, in words, for which the version does not rise.
fn holds(snapshot: &Snapshot, text: &str, initiator: Initiator) -> Vec<String> {
    let plan = Plan::of(snapshot, &policy(text), initiator, &timing(60.0));
    assert_eq!(plan.ready().is_some(), plan.holds.is_empty());
    plan.holds.iter().map(ToString::to_string).collect()
}

#[test]
fn an_operator_may_finalize_once_every_controller_can_follow() {
    let plan = Plan::of(
        &snapshot(upgraded()),
        &UpgradePolicy::default(),
        Initiator::Operator,
        &timing(1e9),
    );
    assert_eq!(plan.ready(), Some(ClusterVersion(2)));
}

#[test]
fn a_controller_that_is_away_is_told_with_when_it_was_last_heard() {
    let mut controllers = upgraded();
    controllers[2].member = None;
    controllers[2].seen = Some(SeenRecord {
        release: "0.1".into(),
        at_ms: NOW_MS - 41_500,
    });
    let told = holds(&snapshot(controllers), "(upgrade)", Initiator::Operator);
    assert_eq!(
        told,
        ["deckhand-2 was last heard 41 s ago with release 0.1"]
    );
}

#[test]
fn a_release_without_staged_upgrades_holds_it_up() {
    let mut controllers = upgraded();
    controllers[0].member = None;
    let told = holds(&snapshot(controllers), "(upgrade)", Initiator::Operator);
    assert_eq!(told.len(), 1);
    assert!(
        told[0].starts_with("deckhand-0 has never registered"),
        "{told:?}"
    );
}

#[test]
fn every_controller_that_cannot_follow_is_named() {
    let mut controllers = upgraded();
    controllers[0] = controller(0, "0.1", versions(1, 1));
    controllers[1] = controller(1, "0.4", versions(3, 4));
    let told = holds(&snapshot(controllers), "(upgrade)", Initiator::Operator);
    assert_eq!(
        told,
        [
            "deckhand-0 runs release 0.1, which works at versions 1 to 1 only",
            "deckhand-1 runs release 0.4, which works at versions 3 to 4 only"
        ]
    );
}

#[test]
fn without_a_later_release_there_is_nothing_to_finalize() {
    let old: Vec<Controller> = (0..3)
        .map(|i| controller(i, "0.1", versions(1, 1)))
        .collect();
    let told = holds(&snapshot(old), "(upgrade)", Initiator::Operator);
    assert_eq!(told, ["no controller runs a release with a later version"]);
}

#[test]
fn versions_rise_one_by_one() {
    let newest: Vec<Controller> = (0..3)
        .map(|i| controller(i, "0.4", versions(1, 4)))
        .collect();
    let plan = Plan::of(
        &snapshot(newest),
        &UpgradePolicy::default(),
        Initiator::Operator,
        &timing(0.0),
    );
    assert_eq!(plan.ready(), Some(ClusterVersion(2)));
}

#[test]
fn a_policy_by_hand_leaves_it_to_operators() {
    let told = holds(&snapshot(upgraded()), "(upgrade)", Initiator::Policy);
    assert_eq!(told, ["the policy leaves it to an operator"]);
}

#[test]
fn a_policy_waits_for_the_soak_time_of_each_controller_by_whichever_clock() {
    let mut controllers = upgraded();
    let since_ms = |ran_s: u64| NOW_MS - 1000 * ran_s;
    let ran = |controller: &mut Controller, ran_s| {
        controller
            .member
            .as_mut()
            .expect("a member")
            .record
            .since_ms = since_ms(ran_s);
    };
    ran(&mut controllers[0], 60);
    ran(&mut controllers[1], 61);
    ran(&mut controllers[2], 20);
    let automatic = "(upgrade (finalize automatic))";
    let told = holds(&snapshot(controllers), automatic, Initiator::Policy);
    assert_eq!(
        told,
        [
            "deckhand-0 has to run for 1 s more",
            "deckhand-2 has to run for 41 s more"
        ]
    );
}

#[test]
fn a_policy_waits_for_a_window_that_is_open_by_whichever_clock() {
    let now = jiff::Timestamp::from_millisecond(NOW_MS as i64).expect("a time");
    let now = now.to_zoned(jiff::tz::TimeZone::UTC);
    assert_eq!(now.strftime("%A %H:%M:%S").to_string(), "Friday 08:00:00");
    for (window, open) in [
        (r#"friday friday "07:00" "09:00""#, true),
        // Opens, or closes, within the second by which clocks may be off.
        (r#"friday friday "08:00" "09:00""#, false),
        (r#"friday friday "07:00" "08:00""#, false),
        (r#"monday thursday "07:00" "09:00""#, false),
    ] {
        let text = format!(r#"(upgrade (finalize automatic) (window {window} "UTC"))"#);
        let told = holds(&snapshot(upgraded()), &text, Initiator::Policy);
        assert_eq!(told.is_empty(), open, "{window}: {told:?}");
        if !open {
            assert!(told[0].contains("the next one opens at"), "{told:?}");
        }
    }
}

#[test]
fn an_upgrade_that_was_called_off_is_held_against_the_policy_alone() {
    let mut called_off = snapshot(upgraded());
    called_off.version.held = true;
    let automatic = "(upgrade (finalize automatic))";
    let told = holds(&called_off, automatic, Initiator::Policy);
    assert_eq!(told.len(), 1);
    assert!(told[0].contains("called the upgrade off"), "{told:?}");
    assert!(holds(&called_off, automatic, Initiator::Operator).is_empty());
}

#[test]
fn the_status_tells_releases_reasons_and_whether_there_is_a_way_back() {
    let mut controllers = upgraded();
    controllers[1].member = None;
    let snapshot = snapshot(controllers);
    let plan = Plan::of(
        &snapshot,
        &policy("(upgrade)"),
        Initiator::Operator,
        &timing(0.0),
    );
    let text = Status::of(&snapshot, &plan, NOW_MS).to_string();
    for line in [
        "cluster version 1, next 2",
        "  deckhand-0: release 0.2, versions 1 to 2, runs for 100 s",
        "  deckhand-1: no live record",
        "rollback: possible until version 2 is finalized",
    ] {
        assert!(text.lines().any(|l| l == line), "{line}:\n{text}");
    }
}

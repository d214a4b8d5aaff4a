//! When the next cluster version may be activated, and the text of each reason why it may not.

use stairstage_upgrade::plan::{Initiator, Timing};
use stairstage_upgrade::records::{Controller, Member};
use stairstage_upgrade::status::Status;
use stairstage_upgrade::{
    ClusterVersion, MemberRecord, Plan, SeenRecord, Snapshot, UpgradePolicy, VersionRange,
    VersionRecord,
};

/// The time of day of all plans.
const NOW_MS: u64 = 1_800_000_000_000;

/// The versions that a release supports.
fn versions(oldest: u32, newest: u32) -> VersionRange {
    VersionRange {
        oldest: ClusterVersion(oldest),
        newest: ClusterVersion(newest),
    }
}

/// A controller that is registered with a release.
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
            mod_revision: 10 + number as u64,
        }),
        seen: None,
    }
}

/// A snapshot with these controllers and the first version active.
fn snapshot(controllers: Vec<Controller>) -> Snapshot {
    Snapshot {
        version: VersionRecord::FIRST,
        mod_revision: 0,
        controllers,
    }
}

/// Three controllers that support the second version.
fn upgraded() -> Vec<Controller> {
    (0..3)
        .map(|i| controller(i, "0.2", versions(1, 2)))
        .collect()
}

/// The time of day of all plans, a clock skew of one second and this soak time.
fn timing(soak_s: f64) -> Timing {
    Timing {
        now_ms: NOW_MS,
        skew_ms: 1000,
        soak_s,
    }
}

/// Parses a valid policy.
fn policy(text: &str) -> UpgradePolicy {
    UpgradePolicy::parse(text, NOW_MS).expect("a policy")
}

/// The texts of the reasons why the next version may not be activated.
fn holds(snapshot: &Snapshot, text: &str, initiator: Initiator) -> Vec<String> {
    let plan = Plan::of(snapshot, &policy(text), initiator, &timing(60.0));
    assert_eq!(plan.ready().is_some(), plan.holds.is_empty());
    plan.holds.iter().map(ToString::to_string).collect()
}

#[test]
fn operator_may_finalize_when_every_controller_supports_next_version() {
    let plan = Plan::of(
        &snapshot(upgraded()),
        &UpgradePolicy::default(),
        Initiator::Operator,
        &timing(1e9),
    );
    assert_eq!(plan.ready(), Some(ClusterVersion(2)));
}

#[test]
fn unregistered_controller_is_reported_with_its_last_registration() {
    let mut controllers = upgraded();
    controllers[2].member = None;
    controllers[2].seen = Some(SeenRecord {
        release: "0.1".into(),
        at_ms: NOW_MS - 41_500,
    });
    let reasons = holds(&snapshot(controllers), "(upgrade)", Initiator::Operator);
    assert_eq!(
        reasons,
        ["deckhand-2 was last registered 41 s ago, with release 0.1"]
    );
}

#[test]
fn controller_that_never_registered_blocks_finalizing() {
    let mut controllers = upgraded();
    controllers[0].member = None;
    let reasons = holds(&snapshot(controllers), "(upgrade)", Initiator::Operator);
    assert_eq!(reasons.len(), 1);
    assert!(
        reasons[0].starts_with("deckhand-0 has never registered"),
        "{reasons:?}"
    );
}

#[test]
fn every_controller_that_does_not_support_next_version_is_reported() {
    let mut controllers = upgraded();
    controllers[0] = controller(0, "0.1", versions(1, 1));
    controllers[1] = controller(1, "0.4", versions(3, 4));
    let reasons = holds(&snapshot(controllers), "(upgrade)", Initiator::Operator);
    assert_eq!(
        reasons,
        [
            "deckhand-0 runs release 0.1, which supports only versions 1 to 1",
            "deckhand-1 runs release 0.4, which supports only versions 3 to 4"
        ]
    );
}

#[test]
fn finalizing_is_refused_without_a_later_release() {
    let old: Vec<Controller> = (0..3)
        .map(|i| controller(i, "0.1", versions(1, 1)))
        .collect();
    let reasons = holds(&snapshot(old), "(upgrade)", Initiator::Operator);
    assert_eq!(
        reasons,
        ["no controller runs a release with a later version"]
    );
}

#[test]
fn next_version_is_one_above_active_version() {
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
fn by_hand_policy_leaves_finalizing_to_operators() {
    let reasons = holds(&snapshot(upgraded()), "(upgrade)", Initiator::Policy);
    assert_eq!(reasons, ["the policy leaves finalizing to an operator"]);
}

#[test]
fn policy_waits_for_soak_time_of_each_controller_plus_clock_skew() {
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
    let reasons = holds(&snapshot(controllers), automatic, Initiator::Policy);
    assert_eq!(
        reasons,
        [
            "deckhand-0 must run for 1 s more",
            "deckhand-2 must run for 41 s more"
        ]
    );
}

#[test]
fn policy_waits_for_window_that_is_open_despite_clock_skew() {
    let now = jiff::Timestamp::from_millisecond(NOW_MS as i64).expect("a time");
    let now = now.to_zoned(jiff::tz::TimeZone::UTC);
    assert_eq!(now.strftime("%A %H:%M:%S").to_string(), "Friday 08:00:00");
    for (window, open) in [
        (r#"friday friday "07:00" "09:00""#, true),
        // Opens or closes within the clock skew of one second.
        (r#"friday friday "08:00" "09:00""#, false),
        (r#"friday friday "07:00" "08:00""#, false),
        (r#"monday thursday "07:00" "09:00""#, false),
    ] {
        let text = format!(r#"(upgrade (finalize automatic) (window {window} "UTC"))"#);
        let reasons = holds(&snapshot(upgraded()), &text, Initiator::Policy);
        assert_eq!(reasons.is_empty(), open, "{window}: {reasons:?}");
        if !open {
            assert!(reasons[0].contains("the next one opens at"), "{reasons:?}");
        }
    }
}

#[test]
fn aborted_upgrade_blocks_the_policy_but_not_operators() {
    let mut aborted = snapshot(upgraded());
    aborted.version.held = true;
    let automatic = "(upgrade (finalize automatic))";
    let reasons = holds(&aborted, automatic, Initiator::Policy);
    assert_eq!(reasons.len(), 1);
    assert!(reasons[0].contains("aborted the upgrade"), "{reasons:?}");
    assert!(holds(&aborted, automatic, Initiator::Operator).is_empty());
}

#[test]
fn status_shows_releases_and_whether_rollback_is_possible() {
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
        "  deckhand-0: release 0.2, versions 1 to 2, running for 100 s",
        "  deckhand-1: not registered",
        "rollback: possible until version 2 is finalized",
    ] {
        assert!(text.lines().any(|l| l == line), "{line}:\n{text}");
    }
}

//! The records' texts, which later releases must go on reading, and what a controller makes of them.

use serde_json::{json, Value};
use stairstage_upgrade::fence::{Refusal, WriteFence};
use stairstage_upgrade::records::{member_key, seen_key, VERSION};
use stairstage_upgrade::{
    ClusterVersion, FeatureGate, FeatureGates, MemberRecord, SeenRecord, VersionRange,
    VersionRecord,
};

/// The record of the version with this text.
fn version_record(text: Value) -> VersionRecord {
    serde_json::from_value(text).expect("a version's record")
}

/// The versions that a release works at.
fn range(oldest: u32, newest: u32) -> VersionRange {
    VersionRange {
        oldest: ClusterVersion(oldest),
        newest: ClusterVersion(newest),
    }
}

#[test]
fn keys_and_texts_stay_as_they_are() {
    assert_eq!(VERSION, "cluster/version");
    assert_eq!(member_key("deckhand-0"), "cluster/member/deckhand-0");
    assert_eq!(seen_key("deckhand-0"), "cluster/seen/deckhand-0");
    let record = version_record(json!({"active": 2, "since_ms": 5}));
    assert_eq!(
        serde_json::to_value(record).unwrap(),
        json!({"active": 2, "since_ms": 5})
    );
    let held = version_record(json!({"active": 1, "since_ms": 0, "held": true}));
    assert!(held.held);
    let member = MemberRecord {
        release: "0.1.0".into(),
        versions: range(1, 2),
        since_ms: 7,
    };
    let text = json!({"release": "0.1.0", "oldest": 1, "newest": 2, "since_ms": 7});
    assert_eq!(serde_json::to_value(&member).unwrap(), text);
    let seen = json!({"release": "0.1.0", "at_ms": 9});
    let record: SeenRecord = serde_json::from_value(seen.clone()).unwrap();
    assert_eq!(serde_json::to_value(record).unwrap(), seen);
}

#[test]
fn fields_of_later_releases_are_ignored() {
    let record = version_record(json!({"active": 2, "since_ms": 5, "migrated": [1, 2]}));
    assert_eq!(record.active, ClusterVersion(2));
    let member = json!({"release": "9", "oldest": 1, "newest": 9, "since_ms": 7, "zone": "a"});
    let member: MemberRecord = serde_json::from_value(member).unwrap();
    assert_eq!(member.versions, range(1, 9));
}

#[test]
fn what_was_read_earlier_takes_nothing_back() {
    let mut write_fence = WriteFence::Unread;
    assert_eq!(write_fence.refusal(), Some(Refusal::VersionUnread));
    assert!(!write_fence.gates().is_open(FeatureGate::Pipelines));
    let second = version_record(json!({"active": 2, "since_ms": 5}));
    write_fence.read(range(1, 2), &second, 9);
    let late = version_record(json!({"active": 1, "since_ms": 0}));
    write_fence.read(range(1, 2), &late, 8);
    assert_eq!(write_fence.stamp(), Some(9));
    assert!(write_fence.gates().is_open(FeatureGate::Pipelines));
    assert_eq!(write_fence.refusal(), None);
    let third = version_record(json!({"active": 3, "since_ms": 6}));
    write_fence.read(range(1, 2), &third, 10);
    assert!(write_fence.must_withdraw());
    write_fence.read(range(1, 2), &second, 9);
    assert!(write_fence.must_withdraw());
}

#[test]
fn where_upgrades_are_not_staged_nothing_is_fenced_and_all_gates_are_open() {
    let mut write_fence = WriteFence::Unstaged;
    let later = version_record(json!({"active": 9, "since_ms": 6}));
    write_fence.read(range(1, 2), &later, 10);
    assert_eq!(write_fence, WriteFence::Unstaged);
    assert_eq!(write_fence.stamp(), None);
    assert_eq!(write_fence.gates(), FeatureGates::AllOpen);
    assert!(write_fence.gates().is_open(FeatureGate::Pipelines));
}

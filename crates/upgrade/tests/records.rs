//! The encoding of the stored records, which later releases must still read, and how the write fence
//! applies version records.

use serde_json::{json, Value};
use stairstage_upgrade::fence::{Refusal, WriteFence};
use stairstage_upgrade::records::{member_key, seen_key, VERSION_KEY};
use stairstage_upgrade::{
    ClusterVersion, FeatureGate, FeatureGates, MemberRecord, SeenRecord, VersionRange,
    VersionRecord,
};

/// Decodes a version record.
fn version_record(text: Value) -> VersionRecord {
    serde_json::from_value(text).expect("a version record")
}

/// The versions that a release supports.
fn range(oldest: u32, newest: u32) -> VersionRange {
    VersionRange {
        oldest: ClusterVersion(oldest),
        newest: ClusterVersion(newest),
    }
}

#[test]
fn keys_and_encodings_are_stable() {
    assert_eq!(VERSION_KEY, "cluster/version");
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
fn unknown_fields_are_ignored() {
    let record = version_record(json!({"active": 2, "since_ms": 5, "migrated": [1, 2]}));
    assert_eq!(record.active, ClusterVersion(2));
    let member = json!({"release": "9", "oldest": 1, "newest": 9, "since_ms": 7, "zone": "a"});
    let member: MemberRecord = serde_json::from_value(member).unwrap();
    assert_eq!(member.versions, range(1, 9));
}

#[test]
fn older_version_record_does_not_revert_the_write_fence() {
    let mut write_fence = WriteFence::Unread;
    assert_eq!(write_fence.refusal(), Some(Refusal::VersionUnread));
    assert!(!write_fence.gates().is_open(FeatureGate::Pipelines));
    let second = version_record(json!({"active": 2, "since_ms": 5}));
    write_fence.apply(range(1, 2), &second, 9);
    let first = version_record(json!({"active": 1, "since_ms": 0}));
    write_fence.apply(range(1, 2), &first, 8);
    assert_eq!(write_fence.mod_revision(), Some(9));
    assert!(write_fence.gates().is_open(FeatureGate::Pipelines));
    assert_eq!(write_fence.refusal(), None);
    let third = version_record(json!({"active": 3, "since_ms": 6}));
    write_fence.apply(range(1, 2), &third, 10);
    assert!(write_fence.must_withdraw());
    write_fence.apply(range(1, 2), &second, 9);
    assert!(write_fence.must_withdraw());
}

#[test]
fn disabled_staged_upgrades_fence_nothing_and_open_all_gates() {
    let mut write_fence = WriteFence::Unstaged;
    let later = version_record(json!({"active": 9, "since_ms": 6}));
    write_fence.apply(range(1, 2), &later, 10);
    assert_eq!(write_fence, WriteFence::Unstaged);
    assert_eq!(write_fence.mod_revision(), None);
    assert_eq!(write_fence.gates(), FeatureGates::AllOpen);
    assert!(write_fence.gates().is_open(FeatureGate::Pipelines));
}

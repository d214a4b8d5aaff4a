//! Maintenance windows: days, midnight, daylight saving transitions and overlaps; invalid policies.

use stairstage_upgrade::policy::{Finalize, PolicyError};
use stairstage_upgrade::UpgradePolicy;

/// A time of day in milliseconds since the Unix epoch.
fn at(text: &str) -> u64 {
    let timestamp: jiff::Timestamp = text.parse().expect("a time of day");
    timestamp.as_millisecond() as u64
}

/// The time from which windows are checked for overlaps.
const NOW: &str = "2026-12-01T00:00:00Z";

/// A policy with these windows.
fn policy(windows: &str) -> Result<UpgradePolicy, PolicyError> {
    UpgradePolicy::parse(&format!("(upgrade {windows})"), at(NOW))
}

/// Whether one of these windows is open at `when`.
fn is_open(windows: &str, when: &str) -> bool {
    policy(windows).expect("windows").windows.is_open(at(when))
}

/// The field, the value and the reason in the error for an invalid setting.
fn invalid_setting(text: &str) -> (String, String, String) {
    match UpgradePolicy::parse(text, at(NOW)) {
        Err(PolicyError::Invalid { field, value, why }) => (field, value, why),
        other => panic!("{text}: {other:?}"),
    }
}

/// From Monday to Thursday, from evening to early morning.
const EVENINGS: &str = r#"(window monday thursday "20:00" "04:00" "Indian/Mauritius")"#;

#[test]
fn window_past_midnight_belongs_to_the_day_on_which_it_opens() {
    // Port Louis is four hours ahead of UTC all year. 2026-12-03 is a Thursday.
    for (when, open) in [
        ("2026-12-03T15:59:59Z", false),
        ("2026-12-03T16:00:00Z", true),
        ("2026-12-03T23:59:59Z", true),
        ("2026-12-04T00:00:00Z", false),
        // Friday evening, and Sunday evening.
        ("2026-12-04T16:00:00Z", false),
        ("2026-12-06T16:00:00Z", false),
        // The night of Monday to Tuesday, and not that of Sunday to Monday.
        ("2026-12-07T22:00:00Z", true),
        ("2026-12-06T22:00:00Z", false),
    ] {
        assert_eq!(is_open(EVENINGS, when), open, "{when}");
    }
}

#[test]
fn day_range_may_wrap_around_the_week() {
    let weekend = r#"(window saturday monday "01:00" "02:00" "Asia/Tbilisi")"#;
    // Tbilisi is four hours ahead of UTC. 2026-12-05 is a Saturday.
    for (when, open) in [
        ("2026-12-04T21:30:00Z", true),
        ("2026-12-05T21:30:00Z", true),
        ("2026-12-06T21:30:00Z", true),
        ("2026-12-07T21:30:00Z", false),
        ("2026-12-03T21:30:00Z", false),
    ] {
        assert_eq!(is_open(weekend, when), open, "{when}");
    }
}

#[test]
fn window_follows_local_time_across_daylight_saving_transitions() {
    let nights = r#"(window sunday sunday "01:30" "03:30" "Europe/Berlin")"#;
    for (when, open) in [
        // 2027-03-28: 02:00 becomes 03:00, so that the window is open for one hour.
        ("2027-03-28T00:29:59Z", false),
        ("2027-03-28T00:30:00Z", true),
        ("2027-03-28T01:29:59Z", true),
        ("2027-03-28T01:30:00Z", false),
        // 2027-10-31: 03:00 becomes 02:00, so that the window is open for three hours.
        ("2027-10-30T23:30:00Z", true),
        ("2027-10-31T02:29:59Z", true),
        ("2027-10-31T02:30:00Z", false),
    ] {
        assert_eq!(is_open(nights, when), open, "{when}");
    }
}

#[test]
fn window_opens_later_when_its_opening_time_is_skipped() {
    let skipped = r#"(window sunday sunday "02:30" "05:00" "Europe/Berlin")"#;
    assert!(!is_open(skipped, "2027-03-28T01:29:59Z"));
    assert!(is_open(skipped, "2027-03-28T01:30:00Z"));
}

#[test]
fn policy_without_windows_is_always_open() {
    assert!(is_open("", "2026-12-05T12:00:00Z"));
}

#[test]
fn next_opening_is_shown_in_local_time() {
    let windows = policy(EVENINGS).expect("windows").windows;
    let opens = windows.next_opening(at("2026-12-04T12:00:00Z"));
    let opens = opens.expect("one opens");
    assert!(opens.starts_with("2026-12-07T20:00:00+04:00"), "{opens}");
    assert!(opens.contains("Indian/Mauritius"), "{opens}");
}

#[test]
fn overlapping_windows_are_rejected_across_time_zones() {
    let same = r#"(upgrade (window monday friday "20:00" "22:00" "Asia/Tbilisi")
        (window friday friday "21:59" "23:00" "Asia/Tbilisi"))"#;
    let (field, value, why) = invalid_setting(same);
    assert_eq!(field, "window");
    assert_eq!(value, "friday friday 21:59 23:00 Asia/Tbilisi");
    assert!(why.contains("monday friday 20:00 22:00"), "{why}");
    // 20:00 in Berlin is 19:00 or 18:00 UTC, 22:00 in Tbilisi is 18:00 UTC: they overlap only in summer.
    let summer = r#"(upgrade (window monday monday "20:00" "21:00" "Europe/Berlin")
        (window monday monday "22:00" "22:30" "Asia/Tbilisi"))"#;
    assert!(invalid_setting(summer).2.contains("overlaps"));
    let apart = r#"(upgrade (window monday monday "20:00" "21:00" "Asia/Tbilisi")
        (window monday monday "21:00" "22:00" "Asia/Tbilisi"))"#;
    assert!(UpgradePolicy::parse(apart, at(NOW)).is_ok());
}

#[test]
fn invalid_setting_is_rejected_with_field_value_and_reason() {
    for (entry, field, why) in [
        (
            r#"(window monday friday "20:00" "20:00" "Asia/Tbilisi")"#,
            "window",
            "is empty",
        ),
        (
            r#"(window monday friday "20:00" "22:00" "Indian/Atlantis")"#,
            "window",
            "Indian/Atlantis is not a time zone",
        ),
        (
            r#"(window monday someday "20:00" "22:00" "Asia/Tbilisi")"#,
            "window",
            "someday is not a day",
        ),
        (
            r#"(window monday friday "25:00" "22:00" "Asia/Tbilisi")"#,
            "window",
            "25:00 is not a time of day",
        ),
        (
            r#"(window monday friday "8:00" "22:00" "Asia/Tbilisi")"#,
            "window",
            "8:00 is not a time of day",
        ),
        (r#"(window monday friday)"#, "window", "must be FIRST-DAY"),
        ("(finalize perhaps)", "finalize", "by-hand or automatic"),
        ("(soak -1)", "soak", "out of range"),
        ("(soak soon)", "soak", "must be a number"),
        ("(member-lease 1)", "member-lease", "out of range"),
        ("(soak 1 2)", "soak", "one value"),
        ("(harvest 3)", "harvest", "is not a setting"),
    ] {
        let (reported_field, value, reason) = invalid_setting(&format!("(upgrade {entry})"));
        assert_eq!(reported_field, field, "{entry}");
        assert!(reason.contains(why), "{entry}: {reason}");
        assert!(!value.is_empty(), "{entry}");
    }
    for text in ["", "(policy)", "upgrade", "(upgrade soak)", "(upgrade ("] {
        let error = UpgradePolicy::parse(text, at(NOW));
        assert!(
            matches!(error, Err(PolicyError::Malformed { .. })),
            "{text}"
        );
    }
}

#[test]
fn omitted_settings_keep_their_defaults() {
    let policy = policy("(finalize automatic)").expect("a policy");
    assert_eq!(policy.finalize, Finalize::Automatic);
    assert_eq!(policy.soak, UpgradePolicy::default().soak);
}

//! Wire formats, settings and policy files: examples, invalid values and generated input.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};
use stairstage::protocol::job::{parse_task, JobSpec};
use stairstage::protocol::worker::{Command, Heartbeat};
use stairstage::settings::policy::Policy;
use stairstage::settings::Settings;

fn submission() -> Value {
    json!({"name_id":"req-000412","duty":"train","crew":"vision","rig":"group",
        "precedence":"urgent","legs":16,"cpus":8.0,"gpus":1.0,"mem_gb":64.0,"kit":"img-07",
        "size_gb":6.2,"hulls":["g8"],"berth":null,"same_place":true,"spread":false,
        "driftwood":true,"passage_s":240.0,"fix_interval_s":30.0,"fix_s":4.0,"due_s":900.0})
}

const SETTINGS: &str = r#"
host_name = "a"
zone = "z"
front = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
unheard_of = 3
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
initial_size = 3
[settings.workers]
report_s = 3.0
lease_s = 34.0
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = 59.0
[settings.state]
rps = 200.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 16
[settings.cloud]
rps = 4.0
list_lag_s = 8.0
[settings.limits]
core_share = 0.16
ram_mb = 136.0
max_sockets = 2500
"#;

#[test]
fn submission_is_unchanged_after_encoding_and_decoding() {
    let spec = JobSpec::parse(submission().to_string().as_bytes()).unwrap();
    let back: JobSpec = serde_json::from_value(serde_json::to_value(&spec).unwrap()).unwrap();
    assert_eq!(spec, back);
}

#[test]
fn missing_field_is_named_in_error_unless_it_is_optional() {
    let optional = ["hulls", "berth", "due_s"];
    for field in submission().as_object().unwrap().keys() {
        let mut body = submission();
        body.as_object_mut().unwrap().remove(field);
        let parsed = JobSpec::parse(body.to_string().as_bytes());
        if optional.contains(&field.as_str()) {
            assert!(parsed.is_ok(), "{field}");
        } else {
            assert_eq!(parsed.unwrap_err().field, field);
        }
    }
}

#[test]
fn submission_with_invalid_value_is_rejected_with_field_name() {
    for (field, value) in [
        ("legs", json!(0)),
        ("legs", json!(100_001)),
        ("legs", json!(2.5)),
        ("cpus", json!(-1.0)),
        ("mem_gb", json!("4")),
        ("name_id", json!("run-1")),
        ("name_id", json!("req-../x")),
        ("rig", json!("array")),
        ("hulls", json!("g8")),
    ] {
        let mut body = submission();
        body[field] = value.clone();
        let error = JobSpec::parse(body.to_string().as_bytes()).unwrap_err();
        assert_eq!(error.field, field, "{value}");
    }
}

#[test]
fn commands_are_encoded_with_wire_names() {
    let task = "req-1/4".to_string();
    let commands = vec![
        Command::Start {
            task: task.clone(),
            attempt: 2,
        },
        Command::Stop {
            task: task.clone(),
            attempt: 1,
            grace_s: 10.0,
        },
        Command::Forget { task, attempt: 1 },
    ];
    assert_eq!(
        serde_json::to_value(commands).unwrap(),
        json!([{"signal":"launch","leg":"req-1/4","sailing":2},
               {"signal":"stop","leg":"req-1/4","sailing":1,"heave_s":10.0},
               {"signal":"forget","leg":"req-1/4","sailing":1}])
    );
}

#[test]
fn heartbeat_is_decoded_from_wire_format() {
    let heartbeat: Heartbeat = serde_json::from_value(json!({
        "vessel":"m-000231","endpoint":"10.1.0.232:9000","hull":"g8","berth":"a",
        "driftwood":true,"watch":1,"log_no":88,"helm":41,"recall_s":null,"news":1,
        "legs":[{"leg":"req-000412/3","sailing":2,"status":"running"},
                {"leg":"req-000398/0","sailing":1,"status":"exited","cause":"halted","kept":true}]
    }))
    .unwrap();
    assert_eq!(heartbeat.tasks.len(), 2);
    assert_eq!(heartbeat.tasks[1].saved, Some(true));
}

#[test]
fn invalid_settings_are_rejected_and_unknown_fields_ignored() {
    assert!(Settings::parse("f.toml", SETTINGS).is_ok());
    for (from, to, named) in [
        (
            "report_s = 3.0",
            "report_s = 0.0",
            "settings.workers.report_s = 0",
        ),
        (
            "report_s = 3.0",
            "report_s = 30.0",
            "settings.workers.lease_s = ",
        ),
        (
            "cancel_s = 59.0",
            "cancel_s = 20.0",
            "settings.workers.cancel_s = 20",
        ),
        (
            "write_rps = 60.0",
            "write_rps = -1.0",
            "settings.state.write_rps = -1",
        ),
        ("txn_ops = 16", "txn_ops = 1", "settings.state.txn_ops = 1"),
        (
            "txn_ops = 16",
            "txn_ops = 16\nnext = { value_kb = 0.0 }",
            "settings.state.next.value_kb = 0",
        ),
        (
            "txn_ops = 16",
            "txn_ops = 16\nnext = { write_rps = -3.0 }",
            "settings.state.next.write_rps = -3",
        ),
        (
            "txn_ops = 16",
            "txn_ops = 16\nnext = { txn_ops = 2 }",
            "settings.state.next.txn_ops = 2",
        ),
        (
            "txn_ops = 16",
            "txn_ops = 16\nnext = { txn_ops = \"few\" }",
            "few",
        ),
        (
            "max_sockets = 2500",
            "max_sockets = 3",
            "settings.limits.max_sockets = 3",
        ),
        (
            "front = \"127.0.0.1:8080\"",
            "front = \"nowhere\"",
            "nowhere",
        ),
    ] {
        let error = Settings::parse("f.toml", &SETTINGS.replace(from, to)).unwrap_err();
        let text = error.to_string();
        assert!(text.contains("f.toml") && text.contains(named), "{text}");
    }
}

#[test]
fn smaller_of_current_and_next_limits_applies_to_writes() {
    let state = |next: &str| {
        let text = SETTINGS.replace("txn_ops = 16", &format!("txn_ops = 16\n{next}"));
        Settings::parse("f.toml", &text).unwrap().cluster.state
    };
    let now = state("");
    assert_eq!((now.max_record_bytes(), now.max_operations()), (13926, 16));
    assert_eq!((now.max_compares(), now.lowest_write_rps()), (64, 60.0));
    let less = state("next = { value_kb = 2.0, txn_ops = 5, write_rps = 42.0 }");
    assert_eq!((less.max_record_bytes(), less.max_operations()), (1740, 5));
    assert_eq!((less.max_compares(), less.lowest_write_rps()), (20, 42.0));
    let some = state("next = { value_kb = 64.0, write_rps = 80.0 }");
    assert_eq!(
        (some.max_record_bytes(), some.max_operations()),
        (13926, 16)
    );
    assert_eq!(some.lowest_write_rps(), 60.0);
}

#[test]
fn invalid_policy_is_rejected_with_cause() {
    let policy = Policy::parse("p", "(policy (idle 2.0) ; a comment\n (spot no))").unwrap();
    assert_eq!((policy.idle_timeout, policy.spot), (2.0, false));
    for (text, named) in [
        ("(policy (idle -1))", "idle = -1"),
        ("(policy (ilde 1))", "ilde"),
        ("(policy (spot 3))", "spot = 3"),
        ("(policy idle)", "idle"),
        ("(policy (idle 1", "p:"),
        ("(plan)", "policy"),
    ] {
        let error = Policy::parse("p", text).unwrap_err().to_string();
        assert!(error.contains(named), "{text}: {error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn submission_parser_does_not_panic(body in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = JobSpec::parse(&body);
    }

    #[test]
    fn corrupted_submission_is_rejected_or_in_range(at in 0usize..330, byte in any::<u8>()) {
        let mut body = submission().to_string().into_bytes();
        let at = at % body.len();
        body[at] = byte;
        if let Ok(spec) = JobSpec::parse(&body) {
            prop_assert!((1..=100_000).contains(&spec.tasks));
            prop_assert!(spec.cpus.is_finite() && spec.cpus >= 0.0);
        }
    }

    #[test]
    fn task_names_are_parsed_back(job in "[0-9]{1,9}", task in 0u32..100_000) {
        let name = format!("req-{job}/{task}");
        prop_assert_eq!(parse_task(&name), Some((&name[..4 + job.len()], task)));
    }

    #[test]
    fn task_name_parser_does_not_panic(name in "\\PC*") {
        let _ = parse_task(&name);
    }

    #[test]
    fn policy_parser_does_not_panic(text in "[()a-z0-9 .\"]{0,60}") {
        let _ = Policy::parse("p", &text);
    }
}

#[test]
fn example_policy_equals_the_defaults() {
    let text = include_str!("../docs/policy.example.lisp");
    assert_eq!(Policy::parse("example", text).unwrap(), Policy::default());
}

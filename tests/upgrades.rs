//! Staged upgrades with three controller processes on loopback, and the `upgrade` command of operators.

#[path = "common/local_cluster.rs"]
mod local_cluster;

use local_cluster::{call, small_job, submit_job, wait_until, ControllerProcess, LocalCluster};
use serde_json::{json, Value};
use std::ffi::OsStr;
use std::path::Path;
use std::process::Command;

/// A policy that leaves finalizing to operators.
const BY_HAND: &str = "(upgrade (finalize by-hand) (member-lease 2))";

/// The exit code of a command and its standard output.
struct CommandOutput {
    code: i32,
    text: String,
}

/// Runs `stairstage upgrade` with these arguments.
fn upgrade(cluster: &LocalCluster, policy: &Path, arguments: &[&str]) -> CommandOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_stairstage"))
        .arg("upgrade")
        .args(arguments)
        .arg("--config")
        .arg(cluster.settings_file(0))
        .arg("--upgrade")
        .arg(policy)
        .output()
        .unwrap();
    CommandOutput {
        code: output.status.code().unwrap(),
        text: String::from_utf8(output.stdout).unwrap(),
    }
}

/// Starts a controller with this upgrade policy.
fn start_staged(cluster: &LocalCluster, i: usize, policy: &Path) -> Option<ControllerProcess> {
    cluster.start_with(i, &[OsStr::new("--upgrade"), policy.as_os_str()])
}

/// A small job with a dependency.
fn dependent_job(id: &str, dependency: &str) -> Value {
    let mut job = small_job(id);
    job["waits_on"] = json!([dependency]);
    job
}

/// Whether the health check of a controller succeeds.
fn is_healthy(cluster: &LocalCluster, i: usize) -> bool {
    call("GET", &cluster.api_address(i), "/healthz", &Value::Null).is_some_and(|a| a.0 == 200)
}

#[test]
fn gated_feature_is_rejected_until_all_controllers_support_it_and_an_operator_finalizes() {
    let cluster = LocalCluster::new("staged");
    let policy = cluster.write_file("upgrade.lisp", BY_HAND);
    let mut controllers: Vec<Option<ControllerProcess>> = vec![
        start_staged(&cluster, 0, &policy),
        start_staged(&cluster, 1, &policy),
        // Stands for a release without staged upgrades: it gets no upgrade policy.
        cluster.start(2),
    ];
    let status = wait_until("two controllers are registered", || {
        let output = upgrade(&cluster, &policy, &["status", "--format", "json"]);
        let status: Value = serde_json::from_str(&output.text).ok()?;
        let runs = |i: usize| status["controllers"][i]["release"].is_string();
        (output.code == 0 && runs(0) && runs(1)).then_some(status)
    });
    assert_eq!(status["active"], 1);
    assert_eq!(status["next"], 2);
    assert_eq!(status["controllers"][2]["release"], Value::Null);

    assert!([201, 200].contains(&submit_job(&cluster.api_address(0), &small_job("req-1"))));
    let dependent = dependent_job("req-2", "req-1");
    let (code, answer) = wait_until("the submission is answered", || {
        call("POST", &cluster.api_address(0), "/v2/runs", &dependent)
    });
    assert_eq!(code, 503, "{answer}");
    assert!(answer["error"].as_str().unwrap().contains("finalized"));
    let refused = upgrade(&cluster, &policy, &["finalize"]);
    assert_eq!(refused.code, 3);
    assert!(
        refused.text.contains("n2 has never registered"),
        "{}",
        refused.text
    );

    controllers[2] = None;
    controllers[2] = start_staged(&cluster, 2, &policy);
    wait_until("the upgrade may be finalized", || {
        (upgrade(&cluster, &policy, &["plan"]).code == 0).then_some(())
    });
    for _ in 0..2 {
        let done = upgrade(&cluster, &policy, &["finalize"]);
        assert_eq!(done.code, 0, "{}", done.text);
        assert!(done.text.contains("version 2 is active"), "{}", done.text);
    }
    assert_eq!(upgrade(&cluster, &policy, &["abort"]).code, 3);
    for i in 0..3 {
        let address = cluster.api_address(i);
        wait_until("a dependent job is accepted", || {
            let answer = call("POST", &address, "/v2/runs", &dependent)?;
            [200, 201].contains(&answer.0).then_some(())
        });
    }
    drop(controllers);
}

#[test]
fn aborted_upgrade_stays_aborted_until_an_operator_finalizes() {
    let cluster = LocalCluster::new("aborted");
    let automatic = "(upgrade (finalize automatic) (soak 0) (member-lease 2))";
    let policy = cluster.write_file("upgrade.lisp", automatic);
    let mut controllers = vec![
        start_staged(&cluster, 0, &policy),
        start_staged(&cluster, 1, &policy),
    ];
    wait_until("two controllers are registered", || {
        let output = upgrade(&cluster, &policy, &["status"]);
        (output.text.matches("versions 1 to 2").count() == 2).then_some(())
    });
    for _ in 0..2 {
        assert_eq!(upgrade(&cluster, &policy, &["abort"]).code, 0);
    }
    controllers.push(start_staged(&cluster, 2, &policy));
    let output = wait_until("all controllers are registered", || {
        let output = upgrade(&cluster, &policy, &["status"]);
        (output.text.matches("versions 1 to 2").count() == 3).then_some(output)
    });
    assert!(
        output.text.contains("aborted the upgrade"),
        "{}",
        output.text
    );
    assert!(
        output.text.starts_with("cluster version 1, next 2"),
        "{}",
        output.text
    );
    assert_eq!(upgrade(&cluster, &policy, &["finalize"]).code, 0);
    let output = upgrade(&cluster, &policy, &["status"]);
    assert!(
        output.text.starts_with("cluster version 2\n"),
        "{}",
        output.text
    );
}

#[test]
fn policy_finalizes_after_all_controllers_have_run_for_the_soak_time() {
    let cluster = LocalCluster::new("automatic");
    let automatic = "(upgrade (finalize automatic) (soak 0.001) (member-lease 2))";
    let policy = cluster.write_file("upgrade.lisp", automatic);
    let _controllers: Vec<Option<ControllerProcess>> =
        (0..3).map(|i| start_staged(&cluster, i, &policy)).collect();
    wait_until("version 2 is active", || {
        let output = upgrade(&cluster, &policy, &["status"]);
        output.text.starts_with("cluster version 2\n").then_some(())
    });
}

#[test]
fn controllers_withdraw_when_their_release_does_not_support_the_active_version() {
    let cluster = LocalCluster::new("withdraws");
    let policy = cluster.write_file("upgrade.lisp", BY_HAND);
    let _controllers: Vec<Option<ControllerProcess>> =
        (0..3).map(|i| start_staged(&cluster, i, &policy)).collect();
    wait_until("a leader is elected", || cluster.leader());
    wait_until("all controllers are healthy", || {
        (0..3).all(|i| is_healthy(&cluster, i)).then_some(())
    });
    submit_job(&cluster.api_address(0), &small_job("req-1"));
    // The record as a later release writes it when it finalizes version 9.
    let record = json!({"active": 9, "since_ms": 1});
    cluster.state.lock().unwrap().put("cluster/version", record);
    wait_until("the leader has stepped down", || {
        cluster.leader().is_none().then_some(())
    });
    for i in 0..3 {
        let address = cluster.api_address(i);
        wait_until("the health check fails", || {
            (!is_healthy(&cluster, i)).then_some(())
        });
        let status = call("GET", &address, "/v2/runs/req-1", &Value::Null);
        assert_eq!(status.map(|a| a.0), Some(503));
        let submitted = call("POST", &address, "/v2/runs", &small_job("req-2"));
        assert_eq!(submitted.map(|a| a.0), Some(503));
        let body = json!({"vessel": "m-1", "endpoint": "127.0.0.1:9", "hull": "g8", "berth": "z",
            "driftwood": false, "watch": 1, "log_no": 1, "helm": 0, "recall_s": null, "legs": []});
        let heartbeat = call("POST", &address, "/agent/beat", &body);
        assert_ne!(
            heartbeat.map(|a| a.0),
            Some(200),
            "a worker's lease was renewed"
        );
    }
    let key_exists = |key: &str| cluster.state.lock().unwrap().keys.contains_key(key);
    assert!(key_exists("open/req-1") && !key_exists("open/req-2"));
}

#[test]
fn invalid_policy_is_reported_with_file_field_and_value() {
    let cluster = LocalCluster::new("mistaken");
    let text = r#"(upgrade (window monday friday "20:00" "22:00" "Indian/Atlantis"))"#;
    let policy = cluster.write_file("upgrade.lisp", text);
    let output = Command::new(env!("CARGO_BIN_EXE_stairstage"))
        .args(["check", "--config"])
        .arg(cluster.settings_file(0))
        .arg("--upgrade")
        .arg(&policy)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let output = String::from_utf8(output.stderr).unwrap();
    for part in ["upgrade.lisp", "window", "Indian/Atlantis"] {
        assert!(output.contains(part), "{part}: {output}");
    }
    let policy = cluster.write_file("upgrade.lisp", BY_HAND);
    assert_eq!(upgrade(&cluster, &policy, &["status"]).code, 0);
    assert_eq!(upgrade(&cluster, &policy, &["finalize"]).code, 3);
}

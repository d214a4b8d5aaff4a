//! Staged upgrades with three real controllers on loopback, and the command that operators use.

#[path = "common/local_cluster.rs"]
mod local_cluster;

use local_cluster::{call, small_job, submit_job, until, ControllerProcess, LocalCluster};
use serde_json::{json, Value};
use std::ffi::OsStr;
use std::path::Path;
use std::process::Command;

/// Operators finalize by hand.
const BY_HAND: &str = "(upgrade (finalize by-hand) (member-lease 2))";

/// The exit code of the command, and its standard output.
struct CommandOutput {
    code: i32,
    text: String,
}

/// Runs the command for operators.
fn upgrade(grid: &LocalCluster, policy: &Path, arguments: &[&str]) -> CommandOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_stairstage"))
        .arg("upgrade")
        .args(arguments)
        .arg("--config")
        .arg(grid.settings_file(0))
        .arg("--upgrade")
        .arg(policy)
        .output()
        .unwrap();
    CommandOutput {
        code: output.status.code().unwrap(),
        text: String::from_utf8(output.stdout).unwrap(),
    }
}

/// Starts a controller that follows the policy.
fn staged(grid: &LocalCluster, i: usize, policy: &Path) -> Option<ControllerProcess> {
    grid.start_with(i, &[OsStr::new("--upgrade"), policy.as_os_str()])
}

/// A small job that waits for another.
fn waiting_job(id: &str, needed: &str) -> Value {
    let mut job = small_job(id);
    job["waits_on"] = json!([needed]);
    job
}

/// Whether a controller serves users.
fn healthy(grid: &LocalCluster, i: usize) -> bool {
    call("GET", &grid.api_address(i), "/healthz", &Value::Null).is_some_and(|a| a.0 == 200)
}

#[test]
fn new_behaviour_is_off_until_every_controller_has_the_release_and_an_operator_finalizes() {
    let grid = LocalCluster::new("staged");
    let policy = grid.write_file("upgrade.lisp", BY_HAND);
    let mut nodes: Vec<Option<ControllerProcess>> = vec![
        staged(&grid, 0, &policy),
        staged(&grid, 1, &policy),
        // A release without staged upgrades.
        grid.start(2),
    ];
    let status = until("two are registered", || {
        let output = upgrade(&grid, &policy, &["status", "--format", "json"]);
        let status: Value = serde_json::from_str(&output.text).ok()?;
        let runs = |i: usize| status["controllers"][i]["release"].is_string();
        (output.code == 0 && runs(0) && runs(1)).then_some(status)
    });
    assert_eq!(status["active"], 1);
    assert_eq!(status["next"], 2);
    assert_eq!(status["controllers"][2]["release"], Value::Null);

    assert!([201, 200].contains(&submit_job(&grid.api_address(0), &small_job("req-1"))));
    let pipeline = waiting_job("req-2", "req-1");
    let (code, answer) = until("it is answered", || {
        call("POST", &grid.api_address(0), "/v2/runs", &pipeline)
    });
    assert_eq!(code, 503, "{answer}");
    assert!(answer["error"].as_str().unwrap().contains("finalized"));
    let refused = upgrade(&grid, &policy, &["finalize"]);
    assert_eq!(refused.code, 3);
    assert!(
        refused.text.contains("n2 has never registered"),
        "{}",
        refused.text
    );

    nodes[2] = None;
    nodes[2] = staged(&grid, 2, &policy);
    until("the upgrade may be finalized", || {
        (upgrade(&grid, &policy, &["plan"]).code == 0).then_some(())
    });
    for _ in 0..2 {
        let done = upgrade(&grid, &policy, &["finalize"]);
        assert_eq!(done.code, 0, "{}", done.text);
        assert!(done.text.contains("version 2 is active"), "{}", done.text);
    }
    assert_eq!(upgrade(&grid, &policy, &["abort"]).code, 3);
    for i in 0..3 {
        let front = grid.api_address(i);
        until("a job that waits is accepted", || {
            let answer = call("POST", &front, "/v2/runs", &pipeline)?;
            [200, 201].contains(&answer.0).then_some(())
        });
    }
    drop(nodes);
}

#[test]
fn an_upgrade_that_is_called_off_stays_so_until_it_is_finalized_by_hand() {
    let grid = LocalCluster::new("called-off");
    let automatic = "(upgrade (finalize automatic) (soak 0) (member-lease 2))";
    let policy = grid.write_file("upgrade.lisp", automatic);
    let mut nodes = vec![staged(&grid, 0, &policy), staged(&grid, 1, &policy)];
    until("two are registered", || {
        let output = upgrade(&grid, &policy, &["status"]);
        (output.text.matches("versions 1 to 2").count() == 2).then_some(())
    });
    for _ in 0..2 {
        assert_eq!(upgrade(&grid, &policy, &["abort"]).code, 0);
    }
    nodes.push(staged(&grid, 2, &policy));
    let output = until("all are registered", || {
        let output = upgrade(&grid, &policy, &["status"]);
        (output.text.matches("versions 1 to 2").count() == 3).then_some(output)
    });
    assert!(
        output.text.contains("called the upgrade off"),
        "{}",
        output.text
    );
    assert!(
        output.text.starts_with("cluster version 1, next 2"),
        "{}",
        output.text
    );
    assert_eq!(upgrade(&grid, &policy, &["finalize"]).code, 0);
    let output = upgrade(&grid, &policy, &["status"]);
    assert!(
        output.text.starts_with("cluster version 2\n"),
        "{}",
        output.text
    );
}

#[test]
fn a_policy_finalizes_once_all_controllers_have_run_for_the_soak_time() {
    let grid = LocalCluster::new("automatic");
    let automatic = "(upgrade (finalize automatic) (soak 0.001) (member-lease 2))";
    let policy = grid.write_file("upgrade.lisp", automatic);
    let _nodes: Vec<Option<ControllerProcess>> =
        (0..3).map(|i| staged(&grid, i, &policy)).collect();
    until("the version rises", || {
        let output = upgrade(&grid, &policy, &["status"]);
        output.text.starts_with("cluster version 2\n").then_some(())
    });
}

#[test]
fn controllers_withdraw_from_a_cluster_that_has_gone_beyond_their_release() {
    let grid = LocalCluster::new("withdraws");
    let policy = grid.write_file("upgrade.lisp", BY_HAND);
    let _nodes: Vec<Option<ControllerProcess>> =
        (0..3).map(|i| staged(&grid, i, &policy)).collect();
    until("there is a leader", || grid.leader());
    until("all are healthy", || {
        (0..3).all(|i| healthy(&grid, i)).then_some(())
    });
    submit_job(&grid.api_address(0), &small_job("req-1"));
    // A later release has finalized its version.
    let record = json!({"active": 9, "since_ms": 1});
    grid.state.lock().unwrap().put("cluster/version", record);
    until("nobody leads", || grid.leader().is_none().then_some(()));
    for i in 0..3 {
        let front = grid.api_address(i);
        until("it leaves the rotation", || {
            (!healthy(&grid, i)).then_some(())
        });
        let asked = call("GET", &front, "/v2/runs/req-1", &Value::Null);
        assert_eq!(asked.map(|a| a.0), Some(503));
        let submitted = call("POST", &front, "/v2/runs", &small_job("req-2"));
        assert_eq!(submitted.map(|a| a.0), Some(503));
        let body = json!({"vessel": "m-1", "endpoint": "127.0.0.1:9", "hull": "g8", "berth": "z",
            "driftwood": false, "watch": 1, "log_no": 1, "helm": 0, "recall_s": null, "legs": []});
        let reported = call("POST", &front, "/agent/beat", &body);
        assert_ne!(reported.map(|a| a.0), Some(200), "no lease is renewed");
    }
    let open = |id: &str| grid.state.lock().unwrap().keys.contains_key(id);
    assert!(open("open/req-1") && !open("open/req-2"));
}

#[test]
fn what_an_operator_gets_wrong_is_named_with_file_field_and_value() {
    let grid = LocalCluster::new("mistaken");
    let text = r#"(upgrade (window monday friday "20:00" "22:00" "Indian/Atlantis"))"#;
    let policy = grid.write_file("upgrade.lisp", text);
    let output = Command::new(env!("CARGO_BIN_EXE_stairstage"))
        .args(["check", "--config"])
        .arg(grid.settings_file(0))
        .arg("--upgrade")
        .arg(&policy)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let output = String::from_utf8(output.stderr).unwrap();
    for part in ["upgrade.lisp", "window", "Indian/Atlantis"] {
        assert!(output.contains(part), "{part}: {output}");
    }
    let policy = grid.write_file("upgrade.lisp", BY_HAND);
    assert_eq!(upgrade(&grid, &policy, &["status"]).code, 0);
    assert_eq!(upgrade(&grid, &policy, &["finalize"]).code, 3);
}

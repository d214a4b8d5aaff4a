//! Three real controllers on loopback, against stand-ins of the state service, the cloud and one
//! worker.

#[path = "common/local_cluster.rs"]
mod local_cluster;

use local_cluster::{
    call, small_job, submit_job, until, ControllerProcess, Entry, Lease, LocalCluster,
};
use serde_json::{json, Value};
use stairstage::protocol::job::JobSpec;
use stairstage::storage::records::OpenRecord;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[test]
fn a_job_outlives_the_leader_that_started_it() {
    let grid = LocalCluster::new("outlives");
    let mut nodes: Vec<Option<ControllerProcess>> = (0..3).map(|i| grid.start(i)).collect();
    let worker = &grid.worker;
    let send_heartbeats = || grid.send_heartbeats(&[0, 1, 2]);
    let job = small_job("req-1");
    let submitted = submit_job(&grid.api_address(0), &job);
    assert!(submitted == 201 || submitted == 200, "{submitted}");
    until("both tasks run", || {
        send_heartbeats();
        (worker.lock().unwrap().tasks.len() == 2).then_some(())
    });
    let leader = until("there is a leader", || grid.leader());
    nodes[leader] = None;
    let other = &grid.api_address((leader + 1) % 3);
    let token = worker.lock().unwrap().token;
    until("another node leads", || {
        send_heartbeats();
        (worker.lock().unwrap().token > token).then_some(())
    });
    assert_eq!(submit_job(other, &job), 200, "a repeat is known");
    worker.lock().unwrap().finish = true;
    let told = until("the job is done", || {
        send_heartbeats();
        let (_, answer) = call("GET", other, "/v2/runs/req-1", &Value::Null)?;
        (answer["status"] == "done").then_some(answer)
    });
    assert_eq!(told["name_id"], "req-1");
    let mut starts = worker.lock().unwrap().starts.clone();
    starts.sort();
    assert_eq!(starts, ["req-1/0", "req-1/1"], "no task was started twice");
    let (status, _) = until("an unknown job is denied", || {
        call("GET", other, "/v2/runs/req-2", &Value::Null).filter(|a| a.0 < 500)
    });
    assert_eq!(status, 404);
    let (status, _) = call("POST", other, "/v2/runs", &json!([1])).unwrap();
    assert_eq!(status, 400);

    // All controllers restart while the cloud is down: the machine types are on record.
    grid.cloud_down.store(true, Ordering::Relaxed);
    nodes.clear();
    let _nodes: Vec<Option<ControllerProcess>> = (0..3).map(|i| grid.start(i)).collect();
    let another = small_job("req-3");
    until("a job is accepted without the cloud", || {
        call("POST", other, "/v2/runs", &another).filter(|a| a.0 == 201 || a.0 == 200)
    });
    let (_, told) = until("the end outlives all controllers", || {
        call("GET", other, "/v2/runs/req-1", &Value::Null).filter(|a| a.0 == 200)
    });
    assert_eq!(told["status"], "done");
}

#[test]
fn a_leader_that_hears_no_worker_hands_over_to_one_that_does() {
    let grid = LocalCluster::new("deaf");
    let _nodes: Vec<Option<ControllerProcess>> = (0..3).map(|i| grid.start(i)).collect();
    submit_job(&grid.api_address(0), &small_job("req-1"));
    until("both tasks run", || {
        grid.send_heartbeats(&[0, 1, 2]);
        (grid.worker.lock().unwrap().tasks.len() == 2).then_some(())
    });
    let cut_off = until("there is a leader", || grid.leader());
    let others: Vec<usize> = (0..3).filter(|i| *i != cut_off).collect();
    // The leader answers its peers and holds its lease; the worker only gets through to them.
    until("another node leads", || {
        grid.send_heartbeats(&others);
        grid.leader().filter(|leader| *leader != cut_off)
    });
    until("the worker follows it", || {
        grid.send_heartbeats(&others);
        let token = grid.state.lock().unwrap().keys.get("leader")?.version;
        (grid.worker.lock().unwrap().token == token).then_some(())
    });
    assert_eq!(grid.worker.lock().unwrap().starts.len(), 2, "none twice");
}

#[test]
fn a_restarted_controller_leads_by_a_new_token_though_the_record_names_it() {
    // The record of its former process is on a lease that holds for long.
    let grid = LocalCluster::new("namesake");
    {
        let mut state = grid.state.lock().unwrap();
        state.revision = 7;
        let record = Entry {
            value: json!({"node": "n0"}),
            version: 7,
            lease: Some(7),
        };
        state.keys.insert("leader".into(), record);
        let lease = Lease::new(Duration::from_secs(3600));
        state.leases.insert(7, lease);
    }
    let _node = grid.start(0);
    until("the worker is answered with a newer token", || {
        grid.send_heartbeats(&[0]);
        (grid.worker.lock().unwrap().token > 7).then_some(())
    });
    submit_job(&grid.api_address(0), &small_job("req-1"));
    until("a task runs", || {
        grid.send_heartbeats(&[0]);
        (!grid.worker.lock().unwrap().tasks.is_empty()).then_some(())
    });
}

#[test]
fn a_job_whose_news_was_lost_is_found_by_reading_the_records_anew() {
    let grid = LocalCluster::new("reread");
    let _nodes: Vec<Option<ControllerProcess>> = (0..2).map(|i| grid.start(i)).collect();
    let leader = until("there is a leader", || grid.leader());
    until("the worker is known", || {
        grid.send_heartbeats(&[leader]);
        (grid.worker.lock().unwrap().token > 0).then_some(())
    });
    grid.job_changes_lost.store(true, Ordering::Relaxed);
    // Recorded by the other node: the leader's watch would tell of it.
    submit_job(&grid.api_address(1 - leader), &small_job("req-1"));
    until("a task runs", || {
        grid.send_heartbeats(&[leader]);
        (!grid.worker.lock().unwrap().tasks.is_empty()).then_some(())
    });
    assert_eq!(grid.leader(), Some(leader), "by no other leader's reading");
}

#[test]
fn a_node_that_reaches_neither_the_state_service_nor_a_peer_leaves_the_rotation() {
    let grid = LocalCluster::new("alone");
    let _node = grid.start(0);
    let healthy = || Some(call("GET", &grid.api_address(0), "/healthz", &Value::Null)?.0);
    until("it serves", || healthy().filter(|s| *s == 200));
    grid.state_down.store(true, Ordering::Relaxed);
    until("it leaves", || healthy().filter(|s| *s == 503));
    // A submission is refused at once, and told when to come back.
    let address = format!("http://{}/v2/runs", grid.api_address(0));
    let refused = ureq::post(&address).send_json(small_job("req-1"));
    match refused {
        Err(ureq::Error::Status(503, response)) => assert!(response.has("Retry-After")),
        other => panic!("{other:?}"),
    }
    // A peer that answers is a way to serve users: an outage takes no node out of the rotation.
    let _peer = grid.start(1);
    until("it is back by its peer", || healthy().filter(|s| *s == 200));
    grid.state_down.store(false, Ordering::Relaxed);
    assert_eq!(
        submit_job(&grid.api_address(0), &small_job("req-1")) / 100,
        2
    );
}

#[test]
fn a_leader_without_the_state_service_stops_what_another_controller_has_confirmed_as_cancelled() {
    let grid = LocalCluster::new("refused");
    let _nodes: Vec<Option<ControllerProcess>> = (0..3).map(|i| grid.start(i)).collect();
    submit_job(&grid.api_address(0), &small_job("req-1"));
    submit_job(&grid.api_address(0), &small_job("req-2"));
    let leader = until("there is a leader", || grid.leader());
    until("all tasks run", || {
        grid.send_heartbeats(&[leader]);
        (grid.worker.lock().unwrap().tasks.len() == 4).then_some(())
    });
    // Nobody else is elected before the state service is down for all.
    grid.extend_all_leases();
    grid.state_rejects[leader].store(true, Ordering::Relaxed);
    let other = grid.api_address((leader + 1) % 3);
    until("another controller confirms the cancellation", || {
        call("POST", &other, "/v2/runs/req-1/abort", &json!({})).filter(|a| a.0 == 200)
    });
    grid.state_down.store(true, Ordering::Relaxed);
    until("its tasks are stopped", || {
        grid.send_heartbeats(&[leader]);
        let worker = grid.worker.lock().unwrap();
        let left = worker.tasks.keys().all(|id| id.task.starts_with("req-2/"));
        left.then_some(())
    });
    grid.send_heartbeats(&[leader]);
    assert_eq!(
        grid.worker.lock().unwrap().tasks.len(),
        2,
        "the others live on"
    );
}

/// A job of two small tasks that waits for others.
fn waiting(id: &str, waits_on: &[&str]) -> Value {
    let mut job = small_job(id);
    job["waits_on"] = json!(waits_on);
    job
}

/// The state of a job as a node tells it, if it does.
fn job_state(grid: &LocalCluster, node: usize, id: &str) -> Option<String> {
    let path = format!("/v2/runs/{id}");
    let (status, answer) = call("GET", &grid.api_address(node), &path, &Value::Null)?;
    (status == 200).then(|| answer["status"].as_str().unwrap().to_string())
}

/// A node accepts a job. A try that was accepted may have gone unanswered: the next one is told
/// that it is known.
fn submit(grid: &LocalCluster, node: usize, job: &Value) {
    assert_eq!(submit_job(&grid.api_address(node), job) / 100, 2);
}

/// The tasks of all jobs that were started, in their order.
fn starts(grid: &LocalCluster) -> Vec<String> {
    grid.worker.lock().unwrap().starts.clone()
}

/// Whether a task of a job was started.
fn has_started(grid: &LocalCluster, id: &str) -> bool {
    let starts = starts(grid);
    starts.iter().any(|s| s.starts_with(&format!("{id}/")))
}

/// What was never accepted cannot be waited for, nor can the job itself, nor too many jobs.
fn check_impossible_dependencies_are_refused(grid: &LocalCluster) {
    let front = &grid.api_address(1);
    assert_eq!(submit_job(front, &waiting("req-2", &["req-1"])), 422);
    assert_eq!(submit_job(front, &waiting("req-2", &["req-2"])), 422);
    assert_eq!(submit_job(front, &waiting("req-2", &["nothing"])), 400);
    // More than a record can hold: the answer names the bound, and asks nobody first.
    let many: Vec<String> = (100..2000).map(|n| format!("req-{n}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let (status, told) = until("an answer", || {
        call("POST", front, "/v2/runs", &waiting("req-2", &many)).filter(|a| a.0 < 500)
    });
    assert_eq!(status, 400);
    assert!(
        told["error"].as_str().unwrap().contains("of at most 13926"),
        "{told}"
    );
}

/// A pipeline of three jobs, submitted to one node each, is done in its order though the leader
/// ends. Returns the nodes that are left.
fn check_a_pipeline_outlives_the_leader(
    grid: &LocalCluster,
    nodes: &mut [Option<ControllerProcess>],
) -> Vec<usize> {
    submit(grid, 0, &small_job("req-1"));
    submit(grid, 1, &waiting("req-2", &["req-1"]));
    submit(grid, 2, &waiting("req-3", &["req-2", "req-1"]));
    let repeated = submit_job(&grid.api_address(0), &waiting("req-3", &["req-9"]));
    assert_eq!(repeated, 200, "is known");
    until("the first runs", || {
        grid.send_heartbeats(&[0, 1, 2]);
        has_started(grid, "req-1").then_some(())
    });
    let leader = until("there is a leader", || grid.leader());
    nodes[leader] = None;
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    assert!(!has_started(grid, "req-2") && !has_started(grid, "req-3"));
    grid.worker.lock().unwrap().finish = true;
    until("the last is done", || {
        grid.send_heartbeats(&others);
        (job_state(grid, others[0], "req-3")? == "done").then_some(())
    });
    let order = starts(grid);
    let first = |id: &str| order.iter().position(|s| s.starts_with(id)).unwrap();
    let last = |id: &str| order.iter().rposition(|s| s.starts_with(id)).unwrap();
    assert!(last("req-1/") < first("req-2/") && last("req-2/") < first("req-3/"));
    others
}

/// Jobs that need a cancelled one are cancelled too, whichever of two nodes is asked.
fn check_dependents_of_a_cancelled_job_are_cancelled(grid: &LocalCluster, a: usize, b: usize) {
    grid.worker.lock().unwrap().finish = false;
    submit(grid, a, &small_job("req-4"));
    submit(grid, b, &waiting("req-5", &["req-4"]));
    submit(grid, a, &waiting("req-6", &["req-5", "req-3"]));
    until("the cancellation is taken", || {
        call(
            "POST",
            &grid.api_address(b),
            "/v2/runs/req-4/abort",
            &json!({}),
        )
        .filter(|a| a.0 == 200)
    });
    for (node, id) in [(a, "req-5"), (b, "req-5"), (a, "req-6"), (b, "req-6")] {
        until("what needs it is cancelled", || {
            grid.send_heartbeats(&[a, b]);
            (job_state(grid, node, id)? == "cancelled").then_some(())
        });
    }
}

/// A job that is submitted after the one that it needs was cancelled.
fn check_late_dependents_of_a_cancelled_job(grid: &LocalCluster, a: usize, b: usize) {
    // It is accepted, and cancelled at once.
    submit(grid, a, &waiting("req-7", &["req-6"]));
    let told = until("a node tells", || job_state(grid, b, "req-7"));
    assert_eq!(told, "cancelled");
    let repeated = submit_job(&grid.api_address(b), &waiting("req-7", &["req-6"]));
    assert_eq!(repeated, 200);
    assert!(!has_started(grid, "req-5") && !has_started(grid, "req-6"));
    // A cancelled one does not hide another that was never accepted, whichever is named first.
    let hidden_last = submit_job(&grid.api_address(a), &waiting("req-8", &["req-6", "req-9"]));
    assert_eq!(hidden_last, 422);
    let hidden_first = submit_job(&grid.api_address(b), &waiting("req-8", &["req-0", "req-6"]));
    assert_eq!(hidden_first, 422);
}

#[test]
fn pipelines_go_through_any_node_and_outlive_the_leader() {
    let grid = LocalCluster::new("pipelines");
    let mut nodes: Vec<Option<ControllerProcess>> = (0..3).map(|i| grid.start(i)).collect();
    check_impossible_dependencies_are_refused(&grid);
    let others = check_a_pipeline_outlives_the_leader(&grid, &mut nodes);
    let (a, b) = (others[0], others[1]);
    check_dependents_of_a_cancelled_job_are_cancelled(&grid, a, b);
    check_late_dependents_of_a_cancelled_job(&grid, a, b);
}

#[test]
fn a_node_without_a_leader_does_not_call_a_job_pending_that_needs_a_cancelled_one() {
    let grid = LocalCluster::new("orphans");
    let spec = |id: &str, waits_on: &[&str]| {
        let spec = JobSpec::parse(waiting(id, waits_on).to_string().as_bytes()).unwrap();
        let record = OpenRecord::accepted(spec, 0);
        serde_json::to_value(&record).unwrap()
    };
    {
        // The leader is gone, and its lease holds for long.
        let mut state = grid.state.lock().unwrap();
        state.revision = 9;
        let mut put = |key: &str, value: Value| {
            let lease = (key == "leader").then_some(7);
            let entry = Entry {
                value,
                version: 9,
                lease,
            };
            state.keys.insert(key.into(), entry);
        };
        put("leader", json!({"node": "n9"}));
        put("end/req-1", json!({"state": "cancelled"}));
        put("end/req-2", json!({"state": "done"}));
        put("open/req-3", spec("req-3", &["req-2", "req-1"]));
        put("open/req-4", spec("req-4", &["req-3"]));
        put("open/req-5", spec("req-5", &["req-2"]));
        let lease = Lease::new(Duration::from_secs(3600));
        state.leases.insert(7, lease);
    }
    let _node = grid.start(0);
    let poll = |id: &str| {
        call(
            "GET",
            &grid.api_address(0),
            &format!("/v2/runs/{id}"),
            &Value::Null,
        )
    };
    let (_, told) = until("one that needs what is done is answered", || {
        poll("req-5").filter(|a| a.0 == 200)
    });
    assert_eq!(told["status"], "pending");
    for id in ["req-3", "req-4"] {
        let status = until("there is an answer", || poll(id)).0;
        assert_eq!(status, 503, "{id}");
    }
}

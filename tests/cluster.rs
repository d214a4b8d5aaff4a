//! Up to three controller processes on loopback, with fakes of the state service, the cloud and one
//! worker.

#[path = "common/local_cluster.rs"]
mod local_cluster;

use local_cluster::{
    call, small_job, submit_job, wait_until, ControllerProcess, Entry, Lease, LocalCluster,
};
use serde_json::{json, Value};
use stairstage::protocol::job::JobSpec;
use stairstage::storage::records::OpenRecord;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[test]
fn job_survives_failover_and_restart_of_all_controllers() {
    let cluster = LocalCluster::new("survives");
    let mut controllers: Vec<Option<ControllerProcess>> =
        (0..3).map(|i| cluster.start(i)).collect();
    let worker = &cluster.worker;
    let send_heartbeats = || cluster.send_heartbeats(&[0, 1, 2]);
    let job = small_job("req-1");
    let submitted = submit_job(&cluster.api_address(0), &job);
    assert!(submitted == 201 || submitted == 200, "{submitted}");
    wait_until("both tasks run", || {
        send_heartbeats();
        (worker.lock().unwrap().tasks.len() == 2).then_some(())
    });
    let leader = wait_until("there is a leader", || cluster.leader());
    controllers[leader] = None;
    let other = &cluster.api_address((leader + 1) % 3);
    let token = worker.lock().unwrap().token;
    wait_until("another controller leads", || {
        send_heartbeats();
        (worker.lock().unwrap().token > token).then_some(())
    });
    assert_eq!(
        submit_job(other, &job),
        200,
        "a repeated submission is recognized"
    );
    worker.lock().unwrap().completes_tasks = true;
    let job_status = wait_until("the job is done", || {
        send_heartbeats();
        let (_, answer) = call("GET", other, "/v2/runs/req-1", &Value::Null)?;
        (answer["status"] == "done").then_some(answer)
    });
    assert_eq!(job_status["name_id"], "req-1");
    let mut starts = worker.lock().unwrap().starts.clone();
    starts.sort();
    assert_eq!(starts, ["req-1/0", "req-1/1"], "no task was started twice");
    let (status, _) = wait_until("an unknown job is answered", || {
        call("GET", other, "/v2/runs/req-2", &Value::Null).filter(|a| a.0 < 500)
    });
    assert_eq!(status, 404);
    let (status, _) = call("POST", other, "/v2/runs", &json!([1])).unwrap();
    assert_eq!(status, 400);

    // All controllers restart while the cloud is down; they read the machine types from the stored record.
    cluster.cloud_down.store(true, Ordering::Relaxed);
    controllers.clear();
    let _controllers: Vec<Option<ControllerProcess>> = (0..3).map(|i| cluster.start(i)).collect();
    let another = small_job("req-3");
    wait_until("a job is accepted without the cloud", || {
        call("POST", other, "/v2/runs", &another).filter(|a| a.0 == 201 || a.0 == 200)
    });
    let (_, answer) = wait_until("the final state is available after the restart", || {
        call("GET", other, "/v2/runs/req-1", &Value::Null).filter(|a| a.0 == 200)
    });
    assert_eq!(answer["status"], "done");
}

#[test]
fn leader_that_receives_no_heartbeats_is_replaced_by_a_controller_that_does() {
    let cluster = LocalCluster::new("no-heartbeats");
    let _controllers: Vec<Option<ControllerProcess>> = (0..3).map(|i| cluster.start(i)).collect();
    submit_job(&cluster.api_address(0), &small_job("req-1"));
    wait_until("both tasks run", || {
        cluster.send_heartbeats(&[0, 1, 2]);
        (cluster.worker.lock().unwrap().tasks.len() == 2).then_some(())
    });
    let unreachable = wait_until("there is a leader", || cluster.leader());
    let others: Vec<usize> = (0..3).filter(|i| *i != unreachable).collect();
    // The leader answers its peers and holds its lease, but the worker reaches only the peers.
    wait_until("another controller leads", || {
        cluster.send_heartbeats(&others);
        cluster.leader().filter(|leader| *leader != unreachable)
    });
    wait_until("the worker has the token of the new leader", || {
        cluster.send_heartbeats(&others);
        let token = cluster.state.lock().unwrap().keys.get("leader")?.version;
        (cluster.worker.lock().unwrap().token == token).then_some(())
    });
    assert_eq!(
        cluster.worker.lock().unwrap().starts.len(),
        2,
        "no task is started twice"
    );
}

#[test]
fn restarted_controller_leads_with_a_new_token_although_the_leader_record_names_it() {
    // The leader record of the controller's former process is attached to a lease of an hour.
    let cluster = LocalCluster::new("restarted");
    {
        let mut state = cluster.state.lock().unwrap();
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
    let _controller = cluster.start(0);
    wait_until("the worker is answered with a newer token", || {
        cluster.send_heartbeats(&[0]);
        (cluster.worker.lock().unwrap().token > 7).then_some(())
    });
    submit_job(&cluster.api_address(0), &small_job("req-1"));
    wait_until("a task runs", || {
        cluster.send_heartbeats(&[0]);
        (!cluster.worker.lock().unwrap().tasks.is_empty()).then_some(())
    });
}

#[test]
fn job_whose_watch_event_was_lost_is_found_by_rereading_the_records() {
    let cluster = LocalCluster::new("reread");
    let _controllers: Vec<Option<ControllerProcess>> = (0..2).map(|i| cluster.start(i)).collect();
    let leader = wait_until("there is a leader", || cluster.leader());
    wait_until("the worker is known", || {
        cluster.send_heartbeats(&[leader]);
        (cluster.worker.lock().unwrap().token > 0).then_some(())
    });
    cluster.job_changes_lost.store(true, Ordering::Relaxed);
    // The other controller stores the job, so the leader would learn of it from its watch.
    submit_job(&cluster.api_address(1 - leader), &small_job("req-1"));
    wait_until("a task runs", || {
        cluster.send_heartbeats(&[leader]);
        (!cluster.worker.lock().unwrap().tasks.is_empty()).then_some(())
    });
    assert_eq!(
        cluster.leader(),
        Some(leader),
        "the same leader has read the records again"
    );
}

#[test]
fn controller_that_reaches_neither_the_state_service_nor_a_peer_fails_health_checks() {
    let cluster = LocalCluster::new("unreachable");
    let _controller = cluster.start(0);
    let health_status = || Some(call("GET", &cluster.api_address(0), "/healthz", &Value::Null)?.0);
    wait_until("the controller is healthy", || {
        health_status().filter(|s| *s == 200)
    });
    cluster.state_down.store(true, Ordering::Relaxed);
    wait_until("the controller is unhealthy", || {
        health_status().filter(|s| *s == 503)
    });
    // A submission is rejected at once with Retry-After.
    let address = format!("http://{}/v2/runs", cluster.api_address(0));
    let rejected = ureq::post(&address).send_json(small_job("req-1"));
    match rejected {
        Err(ureq::Error::Status(503, response)) => assert!(response.has("Retry-After")),
        other => panic!("{other:?}"),
    }
    // A reachable peer may still serve users, so an outage of the state service alone does not fail health
    // checks.
    let _peer = cluster.start(1);
    wait_until("the controller is healthy with a peer", || {
        health_status().filter(|s| *s == 200)
    });
    cluster.state_down.store(false, Ordering::Relaxed);
    assert_eq!(
        submit_job(&cluster.api_address(0), &small_job("req-1")) / 100,
        2
    );
}

#[test]
fn leader_without_the_state_service_stops_jobs_whose_cancellation_a_peer_has_confirmed() {
    let cluster = LocalCluster::new("state-outage");
    let _controllers: Vec<Option<ControllerProcess>> = (0..3).map(|i| cluster.start(i)).collect();
    submit_job(&cluster.api_address(0), &small_job("req-1"));
    submit_job(&cluster.api_address(0), &small_job("req-2"));
    let leader = wait_until("there is a leader", || cluster.leader());
    wait_until("all tasks run", || {
        cluster.send_heartbeats(&[leader]);
        (cluster.worker.lock().unwrap().tasks.len() == 4).then_some(())
    });
    // No other leader is elected before the state service is down for all controllers.
    cluster.extend_all_leases();
    cluster.state_rejects[leader].store(true, Ordering::Relaxed);
    let other = cluster.api_address((leader + 1) % 3);
    wait_until("another controller confirms the cancellation", || {
        call("POST", &other, "/v2/runs/req-1/abort", &json!({})).filter(|a| a.0 == 200)
    });
    cluster.state_down.store(true, Ordering::Relaxed);
    wait_until("the tasks of the cancelled job are stopped", || {
        cluster.send_heartbeats(&[leader]);
        let worker = cluster.worker.lock().unwrap();
        let stopped = worker.tasks.keys().all(|id| id.task.starts_with("req-2/"));
        stopped.then_some(())
    });
    cluster.send_heartbeats(&[leader]);
    assert_eq!(
        cluster.worker.lock().unwrap().tasks.len(),
        2,
        "the tasks of req-2 keep running"
    );
}

/// A job of two small tasks with dependencies.
fn dependent_job(id: &str, waits_on: &[&str]) -> Value {
    let mut job = small_job(id);
    job["waits_on"] = json!(waits_on);
    job
}

/// The status of a job as a controller reports it, or none if it answers with an error.
fn job_state(cluster: &LocalCluster, controller: usize, id: &str) -> Option<String> {
    let path = format!("/v2/runs/{id}");
    let (status, answer) = call("GET", &cluster.api_address(controller), &path, &Value::Null)?;
    (status == 200).then(|| answer["status"].as_str().unwrap().to_string())
}

/// Submits a job to a controller. Either success status will do: if the response to an accepted submission
/// was lost, the retry is answered as a repeated submission.
fn submit(cluster: &LocalCluster, controller: usize, job: &Value) {
    assert_eq!(submit_job(&cluster.api_address(controller), job) / 100, 2);
}

/// The started tasks of all jobs, in the order of their starts.
fn starts(cluster: &LocalCluster) -> Vec<String> {
    cluster.worker.lock().unwrap().starts.clone()
}

/// Whether any task of a job was started.
fn has_started(cluster: &LocalCluster, id: &str) -> bool {
    let starts = starts(cluster);
    starts.iter().any(|s| s.starts_with(&format!("{id}/")))
}

/// A dependency on an unknown job or on the job itself is rejected, and so are too many dependencies.
fn check_invalid_dependencies_are_rejected(cluster: &LocalCluster) {
    let address = &cluster.api_address(1);
    assert_eq!(
        submit_job(address, &dependent_job("req-2", &["req-1"])),
        422
    );
    assert_eq!(
        submit_job(address, &dependent_job("req-2", &["req-2"])),
        422
    );
    assert_eq!(
        submit_job(address, &dependent_job("req-2", &["nothing"])),
        400
    );
    // More dependencies than a record can hold: the answer names the limit, and is sent without any lookup.
    let many: Vec<String> = (100..2000).map(|n| format!("req-{n}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let (status, answer) = wait_until("the submission is answered", || {
        call("POST", address, "/v2/runs", &dependent_job("req-2", &many)).filter(|a| a.0 < 500)
    });
    assert_eq!(status, 400);
    assert!(
        answer["error"]
            .as_str()
            .unwrap()
            .contains("of at most 13926"),
        "{answer}"
    );
}

/// A pipeline of three jobs, each submitted to another controller, is done in order although the leader
/// process is killed. Returns the remaining controllers.
fn check_pipeline_survives_failover(
    cluster: &LocalCluster,
    controllers: &mut [Option<ControllerProcess>],
) -> Vec<usize> {
    submit(cluster, 0, &small_job("req-1"));
    submit(cluster, 1, &dependent_job("req-2", &["req-1"]));
    submit(cluster, 2, &dependent_job("req-3", &["req-2", "req-1"]));
    let repeated = submit_job(&cluster.api_address(0), &dependent_job("req-3", &["req-9"]));
    assert_eq!(repeated, 200, "the repeated submission is recognized");
    wait_until("the first job runs", || {
        cluster.send_heartbeats(&[0, 1, 2]);
        has_started(cluster, "req-1").then_some(())
    });
    let leader = wait_until("there is a leader", || cluster.leader());
    controllers[leader] = None;
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    assert!(!has_started(cluster, "req-2") && !has_started(cluster, "req-3"));
    cluster.worker.lock().unwrap().completes_tasks = true;
    wait_until("the last job is done", || {
        cluster.send_heartbeats(&others);
        (job_state(cluster, others[0], "req-3")? == "done").then_some(())
    });
    let order = starts(cluster);
    let first = |id: &str| order.iter().position(|s| s.starts_with(id)).unwrap();
    let last = |id: &str| order.iter().rposition(|s| s.starts_with(id)).unwrap();
    assert!(last("req-1/") < first("req-2/") && last("req-2/") < first("req-3/"));
    others
}

/// Dependents of a cancelled job are cancelled too; both controllers report so.
fn check_dependents_of_a_cancelled_job_are_cancelled(cluster: &LocalCluster, a: usize, b: usize) {
    cluster.worker.lock().unwrap().completes_tasks = false;
    submit(cluster, a, &small_job("req-4"));
    submit(cluster, b, &dependent_job("req-5", &["req-4"]));
    submit(cluster, a, &dependent_job("req-6", &["req-5", "req-3"]));
    wait_until("the cancellation is confirmed", || {
        call(
            "POST",
            &cluster.api_address(b),
            "/v2/runs/req-4/abort",
            &json!({}),
        )
        .filter(|a| a.0 == 200)
    });
    for (controller, id) in [(a, "req-5"), (b, "req-5"), (a, "req-6"), (b, "req-6")] {
        wait_until("the dependents are cancelled", || {
            cluster.send_heartbeats(&[a, b]);
            (job_state(cluster, controller, id)? == "cancelled").then_some(())
        });
    }
}

/// A job that is submitted after its dependency was cancelled is accepted and cancelled at once.
fn check_late_dependent_of_a_cancelled_job(cluster: &LocalCluster, a: usize, b: usize) {
    submit(cluster, a, &dependent_job("req-7", &["req-6"]));
    let status = wait_until("the status is available", || job_state(cluster, b, "req-7"));
    assert_eq!(status, "cancelled");
    let repeated = submit_job(&cluster.api_address(b), &dependent_job("req-7", &["req-6"]));
    assert_eq!(repeated, 200);
    assert!(!has_started(cluster, "req-5") && !has_started(cluster, "req-6"));
    // A cancelled dependency does not hide an unknown one, whichever of them is listed first.
    let unknown_last = submit_job(
        &cluster.api_address(a),
        &dependent_job("req-8", &["req-6", "req-9"]),
    );
    assert_eq!(unknown_last, 422);
    let unknown_first = submit_job(
        &cluster.api_address(b),
        &dependent_job("req-8", &["req-0", "req-6"]),
    );
    assert_eq!(unknown_first, 422);
}

#[test]
fn dependencies_work_across_controllers_and_survive_failover() {
    let cluster = LocalCluster::new("pipelines");
    let mut controllers: Vec<Option<ControllerProcess>> =
        (0..3).map(|i| cluster.start(i)).collect();
    check_invalid_dependencies_are_rejected(&cluster);
    let others = check_pipeline_survives_failover(&cluster, &mut controllers);
    let (a, b) = (others[0], others[1]);
    check_dependents_of_a_cancelled_job_are_cancelled(&cluster, a, b);
    check_late_dependent_of_a_cancelled_job(&cluster, a, b);
}

#[test]
fn dependents_of_a_cancelled_job_are_not_reported_pending_without_a_leader() {
    let cluster = LocalCluster::new("cancelled-dependency");
    let open_record = |id: &str, waits_on: &[&str]| {
        let spec = JobSpec::parse(dependent_job(id, waits_on).to_string().as_bytes()).unwrap();
        let record = OpenRecord::accepted(spec, 0);
        serde_json::to_value(&record).unwrap()
    };
    {
        // The leader is gone; its lease lasts another hour.
        let mut state = cluster.state.lock().unwrap();
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
        put("open/req-3", open_record("req-3", &["req-2", "req-1"]));
        put("open/req-4", open_record("req-4", &["req-3"]));
        put("open/req-5", open_record("req-5", &["req-2"]));
        let lease = Lease::new(Duration::from_secs(3600));
        state.leases.insert(7, lease);
    }
    let _controller = cluster.start(0);
    let poll = |id: &str| {
        call(
            "GET",
            &cluster.api_address(0),
            &format!("/v2/runs/{id}"),
            &Value::Null,
        )
    };
    let (_, answer) = wait_until("the dependent of a done job is answered", || {
        poll("req-5").filter(|a| a.0 == 200)
    });
    assert_eq!(answer["status"], "pending");
    for id in ["req-3", "req-4"] {
        let status = wait_until("there is an answer", || poll(id)).0;
        assert_eq!(status, 503, "{id}");
    }
}

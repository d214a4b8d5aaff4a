//! What must hold at any size: work per event, the state service's budget, and the front's bounds.

mod common;

use common::full_fleet::{
    carry_out_all, effect_bytes, full_fleet, heartbeats_without_news, FullFleet,
};
use common::http::{answer, send};
use common::{heartbeat_from, machine_type, parsed, shown, starts, submission, submit, SETTINGS};
use stairstage::coordination::cluster::Effect;
use stairstage::coordination::manager::ClusterManager;
use stairstage::protocol::ids::FencingToken;
use stairstage::protocol::worker::{Cause, TaskState, TaskStatus};
use stairstage::settings::Settings;
use stairstage::storage::records::OpenRecord;
use stairstage::transport::api_server::{self, Bounds};
use stairstage::transport::runtime::Runtime;
use stairstage::transport::Reply;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[test]
fn a_launch_writes_no_more_in_a_large_fleet_than_a_record_holds() {
    let FullFleet {
        mut manager, now, ..
    } = full_fleet(2200);
    heartbeat_from(&mut manager, "m-new", 1, None, Vec::new(), now);
    submit(&mut manager, "req-9999", "sweep", "normal", None, 9999);
    let (mut launched, mut most) = (0, 0);
    for tenth in 0..20 {
        let at = now + f64::from(tenth) / 10.0;
        carry_out_all(&mut manager, at, |effect| {
            most = most.max(effect_bytes(effect));
            if let Effect::SendCommands {
                commands: batch, ..
            } = effect
            {
                launched += starts(&batch.commands).len();
            }
        });
    }
    assert_eq!(launched, 4);
    // One record of 16 KiB with what surrounds it, and conditions on the job's end and the leader.
    assert!(most > 0 && most < 17 * 1024, "{most} bytes");
}

#[test]
fn a_report_without_news_costs_the_same_in_any_fleet() {
    // Looks at machines and places, and bytes of what is answered and sent.
    let cost = |machines: u32| {
        let FullFleet {
            mut manager,
            tasks,
            now,
            ..
        } = full_fleet(machines);
        heartbeats_without_news(&mut manager, &tasks, now)
    };
    let small = cost(20);
    assert_eq!(small.0, 0);
    assert_eq!(small, cost(2200));
}

#[test]
fn passes_are_paced_by_what_they_take() {
    let FullFleet {
        mut manager,
        mut tasks,
        now: begun,
        ..
    } = full_fleet(20);
    let mut passes = 0;
    for i in 0..200u32 {
        // A task ends at each step, so that there is always something to decide.
        let now = begun + f64::from(i) / 100.0;
        let machine = (i % 20) as usize;
        if let Some(t) = tasks[machine]
            .iter_mut()
            .find(|t| t.state == TaskState::Running)
        {
            t.state = TaskState::Exited;
            t.cause = Some(Cause::Done);
        }
        let name = format!("m-{machine}");
        heartbeat_from(
            &mut manager,
            &name,
            10 + u64::from(i),
            None,
            tasks[machine].clone(),
            now,
        );
        if manager.step(now) {
            passes += 1;
            manager.record_cycle_duration(0.05, now);
        }
    }
    // Two seconds, and a quarter of a second from one pass to the next.
    assert!((2..=9).contains(&passes), "{passes}");
}

#[test]
fn launches_of_many_jobs_share_the_changes_of_their_records() {
    let changes = full_fleet(120).changes;
    assert!(changes <= 30, "{changes} changes for 120 jobs");
}

/// Few changes a second for small records, a fleet on which tasks end and others follow all the time,
/// and as many machines again that come up at once. Returns how long these waited at most for all of
/// their first tasks.
fn second_half_of_a_fleet(machines: usize) -> f64 {
    let text = SETTINGS.replace("write_rps = 100.0", "write_rps = 5.0");
    let text = text.replace("value_kb = 16.0", "value_kb = 1.0");
    let settings = Arc::new(Settings::parse("test", &text).unwrap());
    let mut manager = ClusterManager::new(settings, FencingToken(1), 0.0);
    manager.set_lease_valid_until(f64::INFINITY);
    manager.set_machine_types(vec![machine_type()]);
    // Large enough that their ends cost next to nothing.
    for n in 1..=4 {
        let spec = parsed(&submission(&format!("req-{n}"), "sweep", "normal", 2000));
        let record = OpenRecord::accepted(spec, 0);
        manager.job_accepted(record, n, 0, 0.0);
    }
    let mut seqs = vec![0; machines];
    let mut tasks: Vec<Vec<TaskStatus>> = vec![Vec::new(); machines];
    let mut launched = vec![0; machines];
    let come_at = 30.0;
    for tenth in 0..900 {
        let now = f64::from(tenth) / 10.0;
        let up = if now < come_at {
            machines / 2
        } else {
            machines
        };
        // Each reports every two seconds, and half of them that a task of theirs has ended.
        for i in 0..up {
            if (i + tenth as usize) % 20 > 0 && seqs[i] > 0 {
                continue;
            }
            seqs[i] += 1;
            let ends = i % 40 < 20;
            if let Some(t) = tasks[i].iter_mut().find(|_| ends) {
                t.state = TaskState::Exited;
                t.cause = Some(Cause::Done);
            }
            let name = format!("m-{i}");
            heartbeat_from(&mut manager, &name, seqs[i], None, tasks[i].clone(), now);
            tasks[i].retain(|t| t.state != TaskState::Exited);
        }
        carry_out_all(&mut manager, now, |effect| {
            if let Effect::SendCommands {
                machine,
                commands: batch,
                ..
            } = effect
            {
                let i: usize = machine[2..].parse().unwrap();
                let started = starts(&batch.commands);
                launched[i] += started.len();
                tasks[i].extend(shown(&started, TaskState::Running, None));
            }
        });
        if launched.iter().all(|n| *n >= 4) {
            return now - come_at;
        }
    }
    f64::INFINITY
}

#[test]
fn no_launch_waits_for_ever_for_its_record_while_changes_are_few() {
    // A record holds some 30 places, and 3 changes a second are the leader's: 400 places take five
    // seconds. By their numbers, the records of what follows on the others would always go first; and
    // if places filled small gaps, each would cost a change.
    let waited = second_half_of_a_fleet(200);

    assert!(waited < 8.0, "{waited} s");
}

/// Serves users and workers within these bounds; answers everything.
fn serve(bounds: Bounds) -> SocketAddr {
    let runtime = Runtime::start().unwrap();
    let handler = |_call, respond: stairstage::transport::Responder| respond(Reply::json(200, &()));
    let any = "127.0.0.1:0".parse().unwrap();
    api_server::serve(&runtime, any, bounds, Arc::new(handler), Arc::new(|| true)).unwrap()
}

/// Room for four workers and three users, of six connections.
fn bounds() -> Bounds {
    Bounds {
        connections: 6,
        workers: 4,
        users: 3,
        idle_timeout: Duration::from_secs(600),
        body_timeout: Duration::from_secs(600),
    }
}

/// Whether an answer asks to come back in a second.
fn refused(text: &str) -> bool {
    text.starts_with("http/1.1 503") && text.contains("retry-after: 1")
}

#[test]
fn workers_beyond_their_share_are_answered_and_users_keep_theirs() {
    let address = serve(bounds());
    let connect = || TcpStream::connect(address).unwrap();
    let mut workers: Vec<TcpStream> = (0..4).map(|_| connect()).collect();
    for worker in &mut workers {
        let answer = send(worker, "POST", "/agent/beat", "{}");
        assert!(answer.starts_with("http/1.1 200") && !answer.contains("connection: close"));
    }
    // Far more workers than sockets: each keeps its lease, none keeps a connection.
    for _ in 0..20 {
        let mut further = connect();
        let answer = send(&mut further, "POST", "/agent/beat", "{}");
        assert!(answer.starts_with("http/1.1 200") && answer.contains("connection: close"));
    }
    let mut user = connect();
    assert!(send(&mut user, "GET", "/healthz", "").starts_with("http/1.1 200"));
    drop(workers);
    // Those that are open go on; the share is free for others again.
    assert!(send(&mut user, "GET", "/v2/runs/req-1", "").starts_with("http/1.1 200"));
}

#[test]
fn the_shares_of_sockets_leave_room_for_each_other() {
    for all in [64, 500, 1000, 2237, 3606] {
        let text = SETTINGS.replace("max_sockets = 500", &format!("max_sockets = {all}"));
        let settings = Settings::parse("test", &text).unwrap();
        let b = stairstage::service::bounds(&settings);
        // Full shares of workers and users leave some for workers that connect for each heartbeat, and
        // all of the front's leave enough for peers, the state service and the cloud.
        assert!(b.workers + b.users < b.connections);
        assert!(b.connections + 40 < all, "{} of {all}", b.connections);
        assert!(b.workers > b.users && b.users > (all - 40) / 5);
    }
}

#[test]
fn what_does_not_fit_is_told_so_at_once() {
    let address = serve(bounds());
    let connect = || TcpStream::connect(address).unwrap();
    let mut open: Vec<TcpStream> = (0..6).map(|_| connect()).collect();
    // The last of them has been accepted when it is answered.
    assert!(send(&mut open[5], "GET", "/healthz", "").starts_with("http/1.1 200"));
    let mut more = connect();
    assert!(refused(&send(&mut more, "GET", "/healthz", "")));
}

#[test]
fn a_body_that_is_too_long_or_never_comes_costs_little() {
    let address = serve(Bounds {
        idle_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        ..bounds()
    });
    let mut long = TcpStream::connect(address).unwrap();
    let head = "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n";
    long.write_all(head.as_bytes()).unwrap();
    assert!(answer(&mut long).starts_with("http/1.1 413"));
    let mut slow = TcpStream::connect(address).unwrap();
    let head = "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc";
    slow.write_all(head.as_bytes()).unwrap();
    assert!(answer(&mut slow).starts_with("http/1.1 408"));
    // A head that never ends: the connection is closed.
    let mut endless = TcpStream::connect(address).unwrap();
    endless.write_all(b"GET /healthz HT").unwrap();
    assert!(!answer(&mut endless).starts_with("http/1.1 200"));
}

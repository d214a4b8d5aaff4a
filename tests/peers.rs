//! Calls between controllers, also with one of the previous version, which lacks some of the calls.

mod common;

use common::SETTINGS;
use stairstage::protocol::ids::FencingToken;
use stairstage::settings::Settings;
use stairstage::storage::cancellation_log::{CancellationLog, Cursor};
use stairstage::storage::open_job_budget::{AcceptLimit, OpenJobBudget};
use stairstage::transport::peers::wire::peer_server::{Peer, PeerServer};
use stairstage::transport::peers::wire::{
    AskReply, AskRequest, CancellationsReply, CancellationsRequest, HearsReply, HearsRequest,
    PromiseReply, PromiseRequest, ReportReply, ReportRequest,
};
use stairstage::transport::peers::{ForwardedRequest, Kind, Peers};
use stairstage::transport::runtime::Runtime;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tonic::{Request, Response, Status};

/// The budget of a process with this incarnation.
fn open_job_budget(incarnation: u64) -> OpenJobBudget {
    OpenJobBudget::new(&Settings::parse("test", SETTINGS).unwrap(), incarnation)
}

/// A controller of the previous version. It handles every request as a plain submission, as that version
/// does with a kind that it does not know.
struct PreviousVersion {
    received: Arc<AtomicUsize>,
}

#[tonic::async_trait]
impl Peer for PreviousVersion {
    async fn ask(&self, _: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        self.received.fetch_add(1, Ordering::Relaxed);
        Ok(Response::new(AskReply {
            status: 201,
            ..AskReply::default()
        }))
    }

    async fn ask_waiting(&self, _: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        Err(Status::unimplemented("no such call"))
    }

    async fn report(&self, _: Request<ReportRequest>) -> Result<Response<ReportReply>, Status> {
        Ok(Response::new(ReportReply::default()))
    }

    async fn hears(&self, _: Request<HearsRequest>) -> Result<Response<HearsReply>, Status> {
        Ok(Response::new(HearsReply::default()))
    }

    async fn promise(&self, _: Request<PromiseRequest>) -> Result<Response<PromiseReply>, Status> {
        Ok(Response::new(PromiseReply::default()))
    }

    async fn cancellations(
        &self,
        _: Request<CancellationsRequest>,
    ) -> Result<Response<CancellationsReply>, Status> {
        Err(Status::unimplemented("no such call"))
    }
}

/// A loopback address with a free port.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Starts a controller of the previous version; returns the runtime and the client of a peer of it.
fn with_previous_version(received: Arc<AtomicUsize>) -> (Runtime, Peers) {
    let runtime = Runtime::start().unwrap();
    let (previous_address, own) = (free_address(), free_address());
    let service = PeerServer::new(PreviousVersion { received });
    std::thread::spawn(move || {
        let server = tonic::transport::Server::builder().add_service(service);
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().build().unwrap();
        runtime.block_on(server.serve(previous_address)).unwrap();
    });
    let others = [("previous".to_string(), previous_address)];
    let log = CancellationLog::new(10);
    let peers = Peers::start(
        &runtime,
        own,
        &others,
        Arc::new(|_, _| {}),
        log,
        open_job_budget(1),
    )
    .unwrap();
    (runtime, peers)
}

/// Retries until there is an answer: the server may not listen yet.
fn answered<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(answer) = attempt() {
            return answer;
        }
        assert!(
            start.elapsed() < Duration::from_secs(240),
            "no answer in time"
        );
    }
}

/// The timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn submission_with_dependencies_is_not_sent_to_a_peer_of_the_previous_version() {
    let received = Arc::new(AtomicUsize::new(0));
    let (_runtime, peers) = with_previous_version(received.clone());
    let submit = |has_dependencies: bool| {
        let request = ForwardedRequest {
            kind: Kind::Submit,
            job: "req-1",
            body: b"{}",
            has_dependencies,
        };
        peers.forward_request("previous", &request, TIMEOUT)
    };
    let accepted = answered(|| submit(false));
    assert_eq!(accepted.status, 201);
    let before = received.load(Ordering::Relaxed);
    assert!(submit(true).is_none());
    assert_eq!(
        received.load(Ordering::Relaxed),
        before,
        "the peer received the request"
    );
}

#[test]
fn peer_of_the_previous_version_returns_no_cancellations() {
    let (_runtime, peers) = with_previous_version(Arc::default());
    answered(|| peers.receives_heartbeats("previous", TIMEOUT));
    let cancellations = peers.cancellations("previous", Cursor::default(), None, TIMEOUT);
    assert_eq!(cancellations, None);
}

#[test]
fn peer_returns_the_cancellations_confirmed_since_the_last_call() {
    let (responder, caller) = (free_address(), free_address());
    let log = CancellationLog::new(10);
    log.record("req-1");
    let runtime = Runtime::start().unwrap();
    let start = |own, others: &[(String, SocketAddr)], log| {
        let budget = open_job_budget(1);
        Peers::start(&runtime, own, others, Arc::new(|_, _| {}), log, budget).unwrap()
    };
    let _responder = start(responder, &[], log.clone());
    let others = [("responder".to_string(), responder)];
    let peers = start(caller, &others, CancellationLog::new(10));
    let call = |after| {
        answered(|| {
            let confirmed = peers.cancellations("responder", after, None, TIMEOUT)?;
            Some(confirmed.cancellations)
        })
    };
    let first = call(Cursor::default());
    assert_eq!(first, log.page(Cursor::default()));
    assert!(
        !first.continues,
        "earlier cancellations are only in the records"
    );
    log.record("req-2");
    let second = call(first.cursor);
    assert!(second.continues && second.complete);
    assert_eq!(second.jobs, ["req-2".into()]);
}

#[test]
fn peer_reports_what_it_has_accepted_and_applies_its_limit() {
    let (responder, caller) = (free_address(), free_address());
    let runtime = Runtime::start().unwrap();
    let log = CancellationLog::with_incarnation(5, 10);
    let budget = open_job_budget(5);
    let start = |own, others: &[(String, SocketAddr)], budget: OpenJobBudget| {
        Peers::start(
            &runtime,
            own,
            others,
            Arc::new(|_, _| {}),
            log.clone(),
            budget,
        )
        .unwrap()
    };
    let _responder = start(responder, &[], budget.clone());
    let others = [("responder".to_string(), responder)];
    let peers = start(caller, &others, open_job_budget(6));
    budget.accepted(4000);
    let call = |after, limit| answered(|| peers.cancellations("responder", after, limit, TIMEOUT));
    let first = call(Cursor::default(), None);
    assert_eq!(first.accepted_jobs, Some(budget.report()));
    let limit = AcceptLimit {
        token: FencingToken(7),
        bytes: 4242,
    };
    let second = call(first.cancellations.cursor, Some(limit));
    assert_eq!(second.accepted_jobs, Some(budget.report()));
    assert_eq!(budget.free_bytes(), 242);
    // A limit for another process, or of a former leader, is ignored.
    let former = AcceptLimit {
        token: FencingToken(6),
        bytes: 9000,
    };
    call(first.cancellations.cursor, Some(former));
    call(
        Cursor::default(),
        Some(AcceptLimit {
            bytes: 9000,
            ..limit
        }),
    );
    assert_eq!(budget.free_bytes(), 242);
}

//! Calls between controllers, also with one of the version before, which lacks some of them.

use stairstage::storage::cancellation_log::{CancellationLog, Cursor};
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

/// Takes whatever it is asked for a plain submission, as that version does with a kind it does not
/// know.
struct Former {
    asked: Arc<AtomicUsize>,
}

#[tonic::async_trait]
impl Peer for Former {
    async fn ask(&self, _: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        self.asked.fetch_add(1, Ordering::Relaxed);
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

/// An address on loopback that nobody listens on.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A controller of the version before; the runtime and the client of one that asks it.
fn with_former(asked: Arc<AtomicUsize>) -> (Runtime, Peers) {
    let runtime = Runtime::start().unwrap();
    let (former, own) = (free_address(), free_address());
    let service = PeerServer::new(Former { asked });
    std::thread::spawn(move || {
        let server = tonic::transport::Server::builder().add_service(service);
        let mut alone = tokio::runtime::Builder::new_current_thread();
        let alone = alone.enable_all().build().unwrap();
        alone.block_on(server.serve(former)).unwrap();
    });
    let others = [("former".to_string(), former)];
    let log = CancellationLog::new(10);
    let peers = Peers::start(&runtime, own, &others, Arc::new(|_, _| {}), log).unwrap();
    (runtime, peers)
}

/// Tries until there is an answer: the other side may not listen yet.
fn answered<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(answer) = attempt() {
            return answer;
        }
        assert!(begun.elapsed() < Duration::from_secs(240), "never answers");
    }
}

const PATIENCE: Duration = Duration::from_secs(20);

#[test]
fn a_submission_that_waits_is_taken_by_no_peer_that_does_not_know_of_waiting() {
    let asked = Arc::new(AtomicUsize::new(0));
    let (_runtime, peers) = with_former(asked.clone());
    let ask = |waits: bool| {
        let asked = ForwardedRequest {
            kind: Kind::Submit,
            job: "req-1",
            body: b"{}",
            has_dependencies: waits,
        };
        peers.forward_request("former", &asked, PATIENCE)
    };
    let taken = answered(|| ask(false));
    assert_eq!(taken.status, 201);
    let before = asked.load(Ordering::Relaxed);
    assert!(ask(true).is_none());
    assert_eq!(asked.load(Ordering::Relaxed), before, "not even asked");
}

#[test]
fn a_controller_of_the_version_before_says_nothing_of_its_cancellations() {
    let (_runtime, peers) = with_former(Arc::default());
    answered(|| peers.receives_heartbeats("former", PATIENCE));
    let told = peers.cancellations("former", Cursor::default(), PATIENCE);
    assert_eq!(told, None);
}

#[test]
fn a_controller_tells_the_cancellations_that_it_has_confirmed_since_it_was_last_asked() {
    let (teller, asker) = (free_address(), free_address());
    let log = CancellationLog::new(10);
    log.record("req-1");
    let runtime = Runtime::start().unwrap();
    let start = |own, others: &[(String, SocketAddr)], log| {
        Peers::start(&runtime, own, others, Arc::new(|_, _| {}), log).unwrap()
    };
    let _teller = start(teller, &[], log.clone());
    let others = [("teller".to_string(), teller)];
    let peers = start(asker, &others, CancellationLog::new(10));
    let ask = |after| answered(|| peers.cancellations("teller", after, PATIENCE));
    let first = ask(Cursor::default());
    assert_eq!(first, log.page(Cursor::default()));
    assert!(!first.continues, "what came before is on record");
    log.record("req-2");
    let second = ask(first.cursor);
    assert!(second.continues && second.complete);
    assert_eq!(second.jobs, ["req-2".into()]);
}

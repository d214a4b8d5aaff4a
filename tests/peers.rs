//! A peer of the version before, which has no call for submissions that wait.

use stairstage::transport::peers::wire::peer_server::{Peer, PeerServer};
use stairstage::transport::peers::wire::*;
use stairstage::transport::peers::{Asked, Kind, Peers};
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
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn a_submission_that_waits_is_taken_by_no_peer_that_does_not_know_of_waiting() {
    let runtime = Runtime::start().unwrap();
    let (former, own) = (free_address(), free_address());
    let asked = Arc::new(AtomicUsize::new(0));
    let service = PeerServer::new(Former {
        asked: asked.clone(),
    });
    std::thread::spawn(move || {
        let server = tonic::transport::Server::builder().add_service(service);
        let mut alone = tokio::runtime::Builder::new_current_thread();
        let alone = alone.enable_all().build().unwrap();
        alone.block_on(server.serve(former)).unwrap();
    });
    let others = [("former".to_string(), former)];
    let peers = Peers::start(&runtime, own, &others, Arc::new(|_, _| {})).unwrap();
    let ask = |waits: bool| {
        let asked = Asked {
            kind: Kind::Submit,
            job: "req-1",
            body: b"{}",
            waits,
        };
        peers.ask("former", &asked, Duration::from_secs(20))
    };
    let begun = Instant::now();
    let taken = loop {
        match ask(false) {
            Some(reply) => break reply,
            // It may not listen yet.
            None => assert!(begun.elapsed() < Duration::from_secs(240), "never answers"),
        }
    };
    assert_eq!(taken.status, 201);
    let before = asked.load(Ordering::Relaxed);
    assert!(ask(true).is_none());
    assert_eq!(asked.load(Ordering::Relaxed), before, "not even asked");
}

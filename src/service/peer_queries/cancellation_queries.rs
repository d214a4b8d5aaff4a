//! Queries for the cancellations and the jobs that the other controllers have confirmed.

use crate::coordination::cluster::cancellation_evidence::PeerCancellations;
use crate::coordination::Time;
use crate::service::messages::Message;
use crate::service::threads::spawn;
use crate::storage::cancellation_log::Cursor;
use crate::storage::open_job_budget::{AcceptLimit, AcceptedJobs};
use crate::transport::peers::Peers;
use crossbeam::channel::{bounded, Receiver, Sender};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Queries each other controller for the cancellations that it has confirmed. There is one thread for each
/// peer, so that a peer that does not answer does not delay the queries of the others.
pub struct CancellationQueries {
    queues: BTreeMap<String, Sender<CancellationQuery>>,
}

/// A query of one peer.
#[derive(Clone, Copy, Debug)]
pub struct CancellationQuery {
    /// The position after which cancellations are queried.
    pub after: Cursor,
    /// The peer's limit for accepted jobs, if it is set.
    pub limit: Option<AcceptLimit>,
}

impl CancellationQueries {
    /// Starts the threads. A query times out after `timeout`; the answers are sent to `inbox`, with times
    /// since `epoch`.
    ///
    /// # Errors
    ///
    /// When a thread cannot be started.
    pub fn start(
        peers: &Peers,
        inbox: &Sender<Message>,
        epoch: Instant,
        timeout: Duration,
    ) -> anyhow::Result<CancellationQueries> {
        let mut queues = BTreeMap::new();
        for name in peers.names() {
            let (sender, receiver) = bounded(1);
            let thread = PeerQueryThread {
                peers: peers.clone(),
                name: name.clone(),
                inbox: inbox.clone(),
                epoch,
                timeout,
            };
            spawn("cancellations", move || thread.run(&receiver))?;
            queues.insert(name.clone(), sender);
        }
        Ok(CancellationQueries { queues })
    }

    /// Queries a peer for the cancellations after a cursor, unless a query of this peer is queued already.
    /// The outcome is sent as a message, also if the peer does not answer.
    pub fn query(&self, peer: &str, query: CancellationQuery) {
        if let Some(queue) = self.queues.get(peer) {
            let _ = queue.try_send(query);
        }
    }
}

/// The thread that queries one peer.
struct PeerQueryThread {
    peers: Peers,
    name: String,
    inbox: Sender<Message>,
    epoch: Instant,
    timeout: Duration,
}

impl PeerQueryThread {
    fn run(&self, queries: &Receiver<CancellationQuery>) {
        for query in queries {
            let (answer, accepted_jobs) = self.query(query).unzip();
            let peer = self.name.clone();
            let _ = self.inbox.send(Message::PeerCancellations {
                peer,
                answer,
                accepted_jobs: accepted_jobs.flatten(),
            });
        }
    }

    fn query(&self, query: CancellationQuery) -> Option<(PeerCancellations, Option<AcceptedJobs>)> {
        let sent = self.now();
        let confirmed =
            self.peers
                .cancellations(&self.name, query.after, query.limit, self.timeout)?;
        let cancellations = PeerCancellations {
            peer: self.name.clone(),
            requested_from: query.after,
            sent,
            received: self.now(),
            page: confirmed.cancellations,
        };
        Some((cancellations, confirmed.accepted_jobs))
    }

    fn now(&self) -> Time {
        self.epoch.elapsed().as_secs_f64()
    }
}

//! Starts the actors and joins them by channels.
//!
//! The [`controller`] owns the state of the cluster; the election, the watch of ends, the
//! [`io_thread_pool`] and the other actors each work on their own threads and send it
//! [`messages`]. Users' requests wait in the [`request_queue`] for a [`gateway`]. Every queue is
//! bounded: what does not fit is answered at once.

mod call_router;
pub mod clock;
pub mod cloud_client;
pub mod controller;
pub mod election_driver;
pub mod end_notifier;
pub mod end_watch;
pub mod gateway;
pub mod io_thread_pool;
mod isolation;
pub mod machine_types_follower;
pub mod messages;
pub mod peer_queries;
pub mod polls;
pub mod record_reader;
mod replies;
pub mod request_queue;
pub mod shared_machine_types;
mod store_calls;
mod threads;
mod unresponsive_peers;
pub mod upgrade;

use crate::coordination::election::{Election, ElectionRequest};
use crate::settings::sockets::GATEWAYS;
use crate::settings::Settings;
use crate::storage::cancellation_log::CancellationLog;
use crate::storage::key_value_store::KeyValueStore;
use crate::transport::api_server::{self, Bounds};
use crate::transport::peers::Peers;
use crate::transport::runtime::Runtime;
use anyhow::Context;
use call_router::CallRouter;
use controller::{Controller, ControllerHandles};
use crossbeam::channel::{bounded, Receiver, Sender};
use election_driver::ElectionDriver;
use end_notifier::EndNotifier;
use gateway::{Gateway, GatewayHandles};
use io_thread_pool::IoThreadPool;
use messages::Message;
use peer_queries::CancellationQueries;
use request_queue::{RequestQueue, RequestTask};
use shared_machine_types::SharedMachineTypes;
use std::sync::Arc;
use std::time::{Duration, Instant};
pub(crate) use threads::spawn;
use upgrade::SharedWriteFence;

/// Users' requests that may wait.
const MAX_WAITING_REQUESTS: usize = 128;
/// Heartbeat intervals for which a connection may stay open without a request.
const IDLE_HEARTBEATS: f64 = 10.0;
/// Seconds for which a connection may stay open without a request, at the least.
const MIN_IDLE_S: f64 = 20.0;
/// A request's body comes within this time, which is what its sender waits for an answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// Leadership leases that fit into a worker's lease, at the least.
const LEADER_LEASES_PER_WORKER_LEASE: f64 = 4.0;
/// Seconds of a leadership lease, at the least.
const MIN_LEADER_LEASE_S: f64 = 0.2;

/// Runs a controller; returns only if it cannot start.
///
/// # Errors
///
/// When a thread cannot be started or a port cannot be listened on.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    let inbox_capacity = settings.inbox_capacity().max(MAX_WAITING_REQUESTS);
    let (inbox, messages) = bounded::<Message>(inbox_capacity);
    let (requests, tasks) = RequestQueue::bounded(MAX_WAITING_REQUESTS);
    let shared = Shared::start(settings, inbox, requests)?;
    upgrade::start(
        &shared.settings,
        &shared.store,
        &shared.write_fence,
        &shared.inbox,
    )?;
    let election_requests = shared.start_election()?;
    shared.start_gateways(&tasks)?;
    let handles = shared.controller_handles(election_requests)?;
    let controller = Controller::new(shared.settings.clone(), shared.epoch, handles);
    shared.serve_users()?;
    tracing::info!(
        node = %shared.settings.name,
        address = %shared.settings.front,
        "serving users and workers"
    );
    controller.run(messages);
    anyhow::bail!("the controller has stopped")
}

/// What several actors work with.
struct Shared {
    settings: Arc<Settings>,
    /// The zero of the controller's clock.
    epoch: Instant,
    inbox: Sender<Message>,
    requests: RequestQueue,
    cancellations: CancellationLog,
    runtime: Runtime,
    peers: Peers,
    store: KeyValueStore,
    write_fence: SharedWriteFence,
    machine_types: Arc<SharedMachineTypes>,
}

impl Shared {
    /// Starts the runtime and listens for other controllers.
    fn start(
        settings: Settings,
        inbox: Sender<Message>,
        requests: RequestQueue,
    ) -> anyhow::Result<Shared> {
        let epoch = Instant::now();
        let cancellations = CancellationLog::new(cancellation_capacity(&settings));
        let runtime = Runtime::start().context("cannot start the runtime")?;
        let peers = listen_for_peers(&settings, &runtime, &inbox, &requests, &cancellations)?;
        Ok(Shared {
            epoch,
            inbox,
            requests,
            cancellations,
            runtime,
            peers,
            store: KeyValueStore::new(settings.endpoints.state, GATEWAYS),
            write_fence: SharedWriteFence::new(settings.upgrade.is_some()),
            machine_types: Arc::default(),
            settings: Arc::new(settings),
        })
    }

    /// Starts the election; returns where the controller's requests to it go.
    fn start_election(&self) -> anyhow::Result<Sender<ElectionRequest>> {
        let (sender, requests) = election_driver::request_queue();
        let inbox = self.inbox.clone();
        let driver = ElectionDriver {
            election: Election::new(self.settings.name.clone(), leader_lease(&self.settings)),
            store: self.store.clone(),
            epoch: self.epoch,
            notify: Box::new(move |event| {
                let _ = inbox.send(Message::Election(event));
            }),
            requests,
            write_fence: self.write_fence.clone(),
        };
        spawn("election", move || driver.run())?;
        Ok(sender)
    }

    /// Starts the threads that answer users, and the watch of ends that helps them.
    fn start_gateways(&self, tasks: &Receiver<RequestTask>) -> anyhow::Result<()> {
        let end_notifier = EndNotifier {
            controller: self.inbox.clone(),
            cancellations: self.cancellations.clone(),
        };
        let polls = polls::start(&self.settings, &self.store, &end_notifier, &self.requests)?;
        end_watch::start(&self.settings, &self.store, &self.inbox, &polls)?;
        let handles = GatewayHandles {
            settings: self.settings.clone(),
            store: self.store.clone(),
            peers: self.peers.clone(),
            controller: self.inbox.clone(),
            tasks: tasks.clone(),
            machine_types: self.machine_types.clone(),
            polls,
            write_fence: self.write_fence.clone(),
            end_notifier,
        };
        for _ in 0..GATEWAYS {
            let gateway = Gateway::new(handles.clone());
            spawn("gateway", move || gateway.run())?;
        }
        Ok(())
    }

    /// Starts the threads that wait in the controller's place, and collects all that it works with.
    fn controller_handles(
        &self,
        election_requests: Sender<ElectionRequest>,
    ) -> anyhow::Result<ControllerHandles> {
        let (settings, store, inbox) = (&self.settings, &self.store, &self.inbox);
        let io_threads = IoThreadPool::start(settings, &self.runtime, store, inbox)?;
        machine_types_follower::start(settings, store, &self.machine_types, inbox)?;
        let query_timeout = Duration::from_secs_f64(settings.cluster.workers.report_s / 2.0);
        let cancellation_queries =
            CancellationQueries::start(&self.peers, inbox, self.epoch, query_timeout)?;
        Ok(ControllerHandles {
            store: store.clone(),
            peers: self.peers.clone(),
            inbox: inbox.clone(),
            requests: self.requests.clone(),
            election_requests,
            io_threads,
            cancellation_log: self.cancellations.clone(),
            cancellation_queries,
            write_fence: self.write_fence.clone(),
        })
    }

    /// Starts the front.
    fn serve_users(&self) -> anyhow::Result<()> {
        let router = CallRouter {
            inbox: self.inbox.clone(),
            requests: self.requests.clone(),
        };
        let handler = move |call, respond| router.route_call(call, respond);
        let is_connected = isolation::watch(self.store.clone(), self.peers.clone(), self.epoch)?;
        let write_fence = self.write_fence.clone();
        let is_healthy = move || is_connected() && write_fence.get().refusal().is_none();
        api_server::serve(
            &self.runtime,
            self.settings.front,
            bounds(&self.settings),
            Arc::new(handler),
            Arc::new(is_healthy),
        )
        .context("cannot listen for users")?;
        Ok(())
    }
}

fn listen_for_peers(
    settings: &Settings,
    runtime: &Runtime,
    inbox: &Sender<Message>,
    requests: &RequestQueue,
    cancellations: &CancellationLog,
) -> anyhow::Result<Peers> {
    let router = CallRouter {
        inbox: inbox.clone(),
        requests: requests.clone(),
    };
    let handler = move |call, respond| router.route_peer_call(call, respond);
    let addresses: Vec<_> = settings
        .peers
        .iter()
        .map(|peer| (peer.name.clone(), peer.address))
        .collect();
    Peers::start(
        runtime,
        settings.cluster_listen,
        &addresses,
        Arc::new(handler),
        cancellations.clone(),
    )
    .context("cannot listen for peers")
}

/// How long the leadership lease lasts.
fn leader_lease(settings: &Settings) -> Duration {
    let workers = &settings.cluster.workers;
    let lease_s = (settings.policy.leader_lease * workers.report_s)
        .min(workers.lease_s / LEADER_LEASES_PER_WORKER_LEASE)
        .max(MIN_LEADER_LEASE_S);
    Duration::from_secs_f64(lease_s)
}

/// How many cancellations are kept for other controllers: no more can be written before the tasks of
/// the first must be gone.
fn cancellation_capacity(settings: &Settings) -> usize {
    let cluster = &settings.cluster;
    (cluster.state.write_rps * cluster.workers.cancel_s).ceil() as usize
}

/// The front's bounds on connections and time.
pub fn bounds(settings: &Settings) -> Bounds {
    let report_s = settings.cluster.workers.report_s;
    Bounds {
        connections: settings.api_connections(),
        workers: settings.worker_connections(),
        users: settings.user_connections(),
        idle_timeout: Duration::from_secs_f64((IDLE_HEARTBEATS * report_s).max(MIN_IDLE_S)),
        body_timeout: BODY_TIMEOUT,
    }
}

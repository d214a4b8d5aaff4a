//! Starts the actors and connects them by channels.
//!
//! The [`controller`] actor owns the state of the cluster. The election, the watch of final states, the
//! [`io_thread_pool`] and the other actors run on their own threads and send [`messages`] to it. Users'
//! requests wait in the [`request_queue`] for a [`gateway`]. Every queue is bounded: a request that does not
//! fit is rejected immediately.

mod call_router;
pub mod clock;
pub mod cloud_client;
pub mod controller;
pub mod election_driver;
pub mod final_state_notifier;
pub mod final_state_watch;
pub mod gateway;
pub mod io_thread_pool;
mod isolation;
pub mod machine_types_refresher;
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
use crate::storage::open_job_budget::OpenJobBudget;
use crate::transport::api_server::{self, Bounds};
use crate::transport::peers::Peers;
use crate::transport::runtime::Runtime;
use anyhow::Context;
use call_router::CallRouter;
use controller::{Controller, ControllerHandles};
use crossbeam::channel::{bounded, Receiver, Sender};
use election_driver::ElectionDriver;
use final_state_notifier::FinalStateNotifier;
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

/// The maximum number of users' requests in the queue.
const MAX_WAITING_REQUESTS: usize = 128;
/// The idle timeout of a connection, in heartbeat intervals.
const IDLE_TIMEOUT_HEARTBEATS: f64 = 10.0;
/// The minimum idle timeout of a connection, in seconds.
const MIN_IDLE_TIMEOUT_S: f64 = 20.0;
/// The timeout for receiving a request's body: the time that its sender waits for an answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);
/// A leadership lease is at most a worker's lease divided by this.
const LEADER_LEASES_PER_WORKER_LEASE: f64 = 4.0;
/// The minimum duration of a leadership lease, in seconds.
const MIN_LEADER_LEASE_S: f64 = 0.2;

/// Runs a controller; returns only if it cannot start.
///
/// # Errors
///
/// When a thread cannot be started or the controller cannot listen on a port.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    let inbox_capacity = settings.inbox_capacity().max(MAX_WAITING_REQUESTS);
    let (inbox, messages) = bounded::<Message>(inbox_capacity);
    let (requests, tasks) = RequestQueue::bounded(MAX_WAITING_REQUESTS);
    let shared = SharedResources::start(settings, inbox, requests)?;
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
    shared.start_api_server()?;
    tracing::info!(
        controller = %shared.settings.name,
        address = %shared.settings.front,
        "serving users and workers"
    );
    controller.run(messages);
    anyhow::bail!("the controller has stopped")
}

/// The resources that several actors share.
struct SharedResources {
    settings: Arc<Settings>,
    /// The origin of the controller's times.
    epoch: Instant,
    inbox: Sender<Message>,
    requests: RequestQueue,
    cancellations: CancellationLog,
    runtime: Runtime,
    peers: Peers,
    store: KeyValueStore,
    write_fence: SharedWriteFence,
    machine_types: Arc<SharedMachineTypes>,
    open_jobs: OpenJobBudget,
}

impl SharedResources {
    /// Starts the runtime and the peer server.
    fn start(
        settings: Settings,
        inbox: Sender<Message>,
        requests: RequestQueue,
    ) -> anyhow::Result<SharedResources> {
        let epoch = Instant::now();
        let cancellations = CancellationLog::new(cancellation_capacity(&settings));
        let runtime = Runtime::start().context("cannot start the runtime")?;
        let open_jobs = OpenJobBudget::new(&settings, cancellations.incarnation());
        let router = CallRouter {
            inbox: inbox.clone(),
            requests: requests.clone(),
        };
        let peers = start_peer_server(&settings, &runtime, router, &cancellations, &open_jobs)?;
        Ok(SharedResources {
            epoch,
            inbox,
            requests,
            cancellations,
            runtime,
            peers,
            store: KeyValueStore::new(settings.endpoints.state, GATEWAYS),
            write_fence: SharedWriteFence::new(settings.upgrade.is_some()),
            machine_types: Arc::default(),
            open_jobs,
            settings: Arc::new(settings),
        })
    }

    /// Starts the election; returns the sender of the queue of requests to the election.
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

    /// Starts the gateways, and the watch of final states by which they answer polls.
    fn start_gateways(&self, tasks: &Receiver<RequestTask>) -> anyhow::Result<()> {
        let final_state_notifier = FinalStateNotifier {
            controller: self.inbox.clone(),
            cancellations: self.cancellations.clone(),
        };
        let polls = polls::start(
            &self.settings,
            &self.store,
            &final_state_notifier,
            &self.requests,
        )?;
        final_state_watch::start(&self.settings, &self.store, &self.inbox, &polls)?;
        let handles = GatewayHandles {
            settings: self.settings.clone(),
            store: self.store.clone(),
            peers: self.peers.clone(),
            controller: self.inbox.clone(),
            tasks: tasks.clone(),
            machine_types: self.machine_types.clone(),
            polls,
            open_jobs: self.open_jobs.clone(),
            write_fence: self.write_fence.clone(),
            final_state_notifier,
        };
        for _ in 0..GATEWAYS {
            let gateway = Gateway::new(handles.clone());
            spawn("gateway", move || gateway.run())?;
        }
        Ok(())
    }

    /// Starts the threads that make blocking calls for the controller actor, and collects its handles.
    fn controller_handles(
        &self,
        election_requests: Sender<ElectionRequest>,
    ) -> anyhow::Result<ControllerHandles> {
        let (settings, store, inbox) = (&self.settings, &self.store, &self.inbox);
        let io_threads = IoThreadPool::start(settings, &self.runtime, store, inbox)?;
        machine_types_refresher::start(settings, store, &self.machine_types, inbox)?;
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
            open_jobs: self.open_jobs.clone(),
            write_fence: self.write_fence.clone(),
        })
    }

    /// Starts the API server.
    fn start_api_server(&self) -> anyhow::Result<()> {
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
            api_server_bounds(&self.settings),
            Arc::new(handler),
            Arc::new(is_healthy),
        )
        .with_context(|| format!("cannot start the API server on {}", self.settings.front))?;
        Ok(())
    }
}

fn start_peer_server(
    settings: &Settings,
    runtime: &Runtime,
    router: CallRouter,
    cancellations: &CancellationLog,
    open_jobs: &OpenJobBudget,
) -> anyhow::Result<Peers> {
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
        open_jobs.clone(),
    )
    .with_context(|| {
        format!(
            "cannot start the peer server on {}",
            settings.cluster_listen
        )
    })
}

/// The duration of the leadership lease.
fn leader_lease(settings: &Settings) -> Duration {
    let workers = &settings.cluster.workers;
    let lease_s = (settings.policy.leader_lease * workers.report_s)
        .min(workers.lease_s / LEADER_LEASES_PER_WORKER_LEASE)
        .max(MIN_LEADER_LEASE_S);
    Duration::from_secs_f64(lease_s)
}

/// The capacity of the cancellation log: the cancellations that the state service's write rate allows within
/// `cancel_s`. The tasks of an older cancelled job must have stopped already.
fn cancellation_capacity(settings: &Settings) -> usize {
    let cluster = &settings.cluster;
    (cluster.state.write_rps * cluster.workers.cancel_s).ceil() as usize
}

/// The API server's limits on connections and times.
pub fn api_server_bounds(settings: &Settings) -> Bounds {
    let report_s = settings.cluster.workers.report_s;
    Bounds {
        connections: settings.api_connections(),
        workers: settings.worker_connections(),
        users: settings.user_connections(),
        idle_timeout: Duration::from_secs_f64(
            (IDLE_TIMEOUT_HEARTBEATS * report_s).max(MIN_IDLE_TIMEOUT_S),
        ),
        body_timeout: BODY_TIMEOUT,
    }
}

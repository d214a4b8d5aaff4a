//! Starts the actors and joins them by channels.
//!
//! The [`controller`] owns the picture of the cluster; the election, the watch, the writers, the
//! cloud's callers each work on their own threads and speak to it by messages. Users' requests pass
//! through the [`gateway`]'s stage, whose buffer is small: what does not fit is answered at once.

pub mod cloud_calls;
pub mod controller;
pub mod election;
pub mod end_notifier;
pub mod end_watch;
pub mod gateway;
mod isolation;
pub mod messages;
pub mod peer_queries;
pub mod polls;
pub mod record_reader;
pub mod upgrade;
pub mod workers;

use crate::coordination::election::Election;
use crate::settings::sockets::GATEWAYS;
use crate::settings::Settings;
use crate::storage::cancellation_log::CancellationLog;
use crate::storage::key_value_store::KeyValueStore;
use crate::transport::front::{self, ApiRequest, Bounds};
use crate::transport::peers::{PeerRequest, Peers};
use crate::transport::runtime::Runtime;
use crate::transport::Reply;
use anyhow::Context;
use controller::{Controller, ControllerHandles};
use crossbeam::channel::bounded;
use election::ElectionDriver;
use end_notifier::EndNotifier;
use gateway::{Gateway, SharedTypes, Task};
use messages::Message;
use peer_queries::CancellationQueries;
use std::sync::Arc;
use std::time::{Duration, Instant};
use upgrade::SharedWriteFence;

/// Users' requests that may wait.
const STAGE: usize = 128;
/// Heartbeat intervals for which a connection may stay open without a request.
const IDLE_REPORTS: f64 = 10.0;
const MIN_IDLE_S: f64 = 20.0;
/// A request's body comes within this time, which is what its sender waits for an answer.
const BODY_PATIENCE: Duration = Duration::from_secs(4);

/// Runs a controller; returns only if it cannot start.
pub fn run(settings: Settings) -> anyhow::Result<()> {
    let settings = Arc::new(settings);
    let epoch = Instant::now();
    let (inbox, messages) = bounded::<Message>(settings.inbox_messages().max(STAGE));
    let (stage, tasks) = bounded::<Task>(STAGE);

    let (peer_inbox, peer_stage) = (inbox.clone(), stage.clone());
    let peer_calls = move |call: PeerRequest, respond| {
        match call {
            PeerRequest::UserRequest { kind, job, body } => {
                let call = gateway::call_of(kind, job, body);
                gateway::offer(&peer_stage, Task::peer(call, respond));
            }
            PeerRequest::Heartbeat(body) => {
                controller::offer_report(&peer_inbox, body, true, respond)
            }
            PeerRequest::ReceivesHeartbeats => {
                let _ = peer_inbox.try_send(Message::HearsWorkers(respond));
            }
            PeerRequest::Promise { token } => {
                let _ = peer_inbox.try_send(Message::Promise(token, respond));
            }
        };
    };
    let names: Vec<_> = settings
        .peers
        .iter()
        .map(|p| (p.name.clone(), p.address))
        .collect();
    let cancellations = CancellationLog::new(cancellation_capacity(&settings));
    let runtime = Runtime::start().context("cannot start the runtime")?;
    let peers = Peers::start(
        &runtime,
        settings.cluster_listen,
        &names,
        Arc::new(peer_calls),
        cancellations.clone(),
    )
    .context("cannot listen for peers")?;

    let store = KeyValueStore::new(settings.endpoints.state, GATEWAYS);
    let clearance = SharedWriteFence::new(settings.upgrade.is_some());
    upgrade::start(&settings, &store, &clearance, &inbox)?;
    let (election_requests, requests) = election::requests();
    let report_s = settings.cluster.workers.report_s;
    let lease_s = (settings.policy.leader_lease * report_s)
        .min(settings.cluster.workers.lease_s / 4.0)
        .max(0.2);
    let event_inbox = inbox.clone();
    let election = ElectionDriver {
        election: Election::new(settings.name.clone(), Duration::from_secs_f64(lease_s)),
        store: store.clone(),
        epoch,
        notify: Box::new(move |event| {
            let _ = event_inbox.send(Message::Election(event));
        }),
        requests,
        clearance: clearance.clone(),
    };
    spawn("election", move || election.run())?;

    let types = Arc::<SharedTypes>::default();
    let ends = EndNotifier {
        controller: inbox.clone(),
        cancellations: cancellations.clone(),
    };
    let polls = polls::start(&settings, &store, &ends, &stage)?;
    end_watch::start(&settings, &store, &inbox, &polls)?;
    for _ in 0..GATEWAYS {
        let gateway = Gateway {
            settings: settings.clone(),
            store: store.clone(),
            peers: peers.clone(),
            controller: inbox.clone(),
            tasks: tasks.clone(),
            types: types.clone(),
            polls: polls.clone(),
            clearance: clearance.clone(),
            ends: ends.clone(),
            unreachable: Default::default(),
        };
        spawn("gateway", move || gateway.run())?;
    }

    let pool = workers::start(&settings, &runtime, &store, &types, &inbox)?;
    let query_patience = Duration::from_secs_f64(report_s / 2.0);
    let cancellation_queries = CancellationQueries::start(&peers, &inbox, epoch, query_patience)?;
    let links = ControllerHandles {
        store: store.clone(),
        peers: peers.clone(),
        inbox: inbox.clone(),
        stage: stage.clone(),
        election_requests,
        pool,
        cancellations,
        cancellation_queries,
        clearance: clearance.clone(),
    };
    let controller = Controller::new(settings.clone(), epoch, links);
    let handler = move |call: ApiRequest, respond: crate::transport::Responder| match call {
        ApiRequest::Heartbeat(body) => controller::offer_report(&inbox, body, false, respond),
        call => gateway::offer(&stage, Task::user(call, respond)),
    };
    let bounds = bounds(&settings);
    let connected = isolation::watch(store, peers, epoch)?;
    let health = Arc::new(move || connected() && clearance.get().refusal().is_none());
    front::serve(&runtime, settings.front, bounds, Arc::new(handler), health)
        .context("cannot listen for users")?;
    tracing::info!("{} serves on {}", settings.name, settings.front);
    controller.run(messages);
    anyhow::bail!("the controller has stopped")
}

/// How many cancellations are kept for other controllers: no more can be written before the tasks of
/// the first must be gone.
fn cancellation_capacity(settings: &Settings) -> usize {
    let cluster = &settings.cluster;
    (cluster.state.write_rps * cluster.workers.cancel_s).ceil() as usize
}

/// How much the front may take.
pub fn bounds(settings: &Settings) -> Bounds {
    let report_s = settings.cluster.workers.report_s;
    Bounds {
        connections: settings.front_connections(),
        workers: settings.worker_connections(),
        users: settings.user_connections(),
        idle: Duration::from_secs_f64((IDLE_REPORTS * report_s).max(MIN_IDLE_S)),
        body: BODY_PATIENCE,
    }
}

pub(crate) fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> anyhow::Result<()> {
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(256 * 1024)
        .spawn(body)
        .with_context(|| format!("cannot start thread {name}"))?;
    Ok(())
}

/// What is answered when a stage is full.
pub(crate) fn busy() -> Reply {
    Reply::unavailable("too much is asked at once")
}

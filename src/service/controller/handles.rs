//! What the controller works with.

use crate::coordination::election::ElectionRequest;
use crate::service::io_thread_pool::IoThreadPool;
use crate::service::messages::Message;
use crate::service::peer_queries::CancellationQueries;
use crate::service::request_queue::RequestQueue;
use crate::service::upgrade::SharedWriteFence;
use crate::storage::cancellation_log::CancellationLog;
use crate::storage::key_value_store::KeyValueStore;
use crate::transport::peers::Peers;
use crossbeam::channel::Sender;

/// The ways from the controller to the other actors.
pub struct ControllerHandles {
    /// The state service. The controller itself makes no call that waits; its threads do.
    pub store: KeyValueStore,
    /// The other controllers.
    pub peers: Peers,
    /// The controller's own inbox, for the threads that it starts.
    pub inbox: Sender<Message>,
    /// The gateways' queue, for heartbeats to be forwarded.
    pub requests: RequestQueue,
    /// The election.
    pub election_requests: Sender<ElectionRequest>,
    /// The threads that wait for the state service, the workers and the cloud.
    pub io_threads: IoThreadPool,
    /// The cancellations that this process has confirmed.
    pub cancellation_log: CancellationLog,
    /// The way to the cancellations that the other controllers have confirmed.
    pub cancellation_queries: CancellationQueries,
    /// What this controller may write at the active cluster version.
    pub write_fence: SharedWriteFence,
}

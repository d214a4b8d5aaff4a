//! The controller actor's handles to the other actors.

use crate::coordination::election::ElectionRequest;
use crate::service::io_thread_pool::IoThreadPool;
use crate::service::messages::Message;
use crate::service::peer_queries::CancellationQueries;
use crate::service::request_queue::RequestQueue;
use crate::service::upgrade::SharedWriteFence;
use crate::storage::cancellation_log::CancellationLog;
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::open_job_budget::OpenJobBudget;
use crate::transport::peers::Peers;
use crossbeam::channel::Sender;

/// The handles through which the controller actor uses the other actors.
pub struct ControllerHandles {
    /// The client of the state service. The controller actor makes no blocking call itself: the threads
    /// that it starts do.
    pub store: KeyValueStore,
    /// The other controllers.
    pub peers: Peers,
    /// The controller actor's inbox, for the threads that it starts.
    pub inbox: Sender<Message>,
    /// The gateways' queue, for heartbeats to be forwarded.
    pub requests: RequestQueue,
    /// The queue of requests to the election.
    pub election_requests: Sender<ElectionRequest>,
    /// The threads that make blocking calls to the state service, the workers and the cloud.
    pub io_threads: IoThreadPool,
    /// The log of the cancellations that this process has confirmed.
    pub cancellation_log: CancellationLog,
    /// The threads that query the other controllers for the cancellations that they have confirmed.
    pub cancellation_queries: CancellationQueries,
    /// The jobs that this controller may accept.
    pub open_jobs: OpenJobBudget,
    /// What this controller may write at the active cluster version.
    pub write_fence: SharedWriteFence,
}

//! Limits on connections and queues, derived from the maximum number of sockets of a process.

use super::Settings;

/// The number of gateways. Each handles one user's request at a time, with its own connection to the
/// state service.
pub const GATEWAYS: usize = 16;
/// Sockets reserved for purposes that do not grow with the limit: connections to the state service for
/// each gateway, each writer and the watches, connections to the cloud and to peers, and the listening
/// sockets.
const RESERVED_SOCKETS: usize = GATEWAYS + 24;
/// The minimum number of sockets for a working process.
pub(super) const MIN_SOCKETS: usize = 64;

/// The share of the unreserved sockets for connections to the API server. What remains after
/// [`WORKER_CONNECTION_SHARE`] and [`USER_CONNECTION_SHARE`] is for workers beyond their share, which
/// open a new connection for each heartbeat.
const SERVER_CONNECTION_SHARE: f64 = 0.95;
/// The share of the unreserved sockets for workers' connections that are kept alive.
const WORKER_CONNECTION_SHARE: f64 = 0.65;
/// The share of the unreserved sockets for users' connections.
const USER_CONNECTION_SHARE: f64 = 0.27;
/// The share of the unreserved sockets for direct commands to workers.
const COMMAND_CONNECTION_SHARE: f64 = 0.04;

/// The capacity of the controller's inbox, as a share of the number of unreserved sockets. After an
/// election all workers send heartbeats at once; a worker whose heartbeat is rejected retries after a
/// second.
const INBOX_SHARE: f64 = 0.4;

impl Settings {
    /// The maximum number of connections to the API server.
    pub fn api_connections(&self) -> usize {
        self.share_of_sockets(SERVER_CONNECTION_SHARE)
    }

    /// The maximum number of workers' connections that are kept alive between heartbeats. They count
    /// towards [`api_connections`](Self::api_connections).
    pub fn worker_connections(&self) -> usize {
        self.share_of_sockets(WORKER_CONNECTION_SHARE)
    }

    /// The maximum number of users' connections. They count towards
    /// [`api_connections`](Self::api_connections).
    pub fn user_connections(&self) -> usize {
        self.share_of_sockets(USER_CONNECTION_SHARE)
    }

    /// The maximum number of polls that wait for a lookup: one for each user's connection, and as many as
    /// the other controllers can forward at a time.
    pub fn waiting_polls(&self) -> usize {
        self.user_connections() + GATEWAYS * self.peers.len()
    }

    /// The maximum number of connections for direct commands to workers; at least one.
    pub fn command_connections(&self) -> usize {
        self.share_of_sockets(COMMAND_CONNECTION_SHARE).max(1)
    }

    /// The capacity of the controller's inbox, in messages.
    pub fn inbox_capacity(&self) -> usize {
        self.share_of_sockets(INBOX_SHARE)
    }

    /// A share of the unreserved sockets.
    fn share_of_sockets(&self, share: f64) -> usize {
        let sockets = self.cluster.limits.max_sockets;
        (share * sockets.saturating_sub(RESERVED_SOCKETS) as f64) as usize
    }
}

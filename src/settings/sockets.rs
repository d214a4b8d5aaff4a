//! How a process divides the sockets that the platform allows it.

use super::Settings;

/// Users' requests that are handled at a time, each with a connection to the state service.
pub const GATEWAYS: usize = 16;
/// Sockets that a process needs whatever its limit: for the state service one for each gateway, for
/// each writer and for the watches, then the cloud's, the peers' and the listening ones.
const RESERVED_SOCKETS: usize = GATEWAYS + 24;
/// The fewest sockets that a process can work with.
pub(super) const MIN_SOCKETS: usize = 64;

/// The share of the other sockets that the HTTP server may hold. Those that neither
/// [`WORKER_CONNECTION_SHARE`] nor [`USER_CONNECTION_SHARE`] covers are left for workers beyond their
/// share, which connect for each heartbeat.
const SERVER_CONNECTION_SHARE: f64 = 0.95;
/// The share for workers' connections that are kept alive.
const WORKER_CONNECTION_SHARE: f64 = 0.65;
/// The share for users' connections.
const USER_CONNECTION_SHARE: f64 = 0.27;
/// The share for commands that are pushed to workers.
const COMMAND_CONNECTION_SHARE: f64 = 0.04;

/// The capacity of the controller's inbox, as a share of the same number. After an election all workers
/// send heartbeats at once, and one that is turned away retries after a second.
const INBOX_SHARE: f64 = 0.4;

impl Settings {
    /// Connections that the HTTP server may hold.
    pub fn api_connections(&self) -> usize {
        self.share_of_sockets(SERVER_CONNECTION_SHARE)
    }

    /// Of these, workers' connections that are kept alive between heartbeats.
    pub fn worker_connections(&self) -> usize {
        self.share_of_sockets(WORKER_CONNECTION_SHARE)
    }

    /// Of these, users' connections.
    pub fn user_connections(&self) -> usize {
        self.share_of_sockets(USER_CONNECTION_SHARE)
    }

    /// Polls that may be queued for a look-up: one for each user's connection, and as many as the other
    /// controllers can forward at a time.
    pub fn waiting_polls(&self) -> usize {
        self.user_connections() + GATEWAYS * self.peers.len()
    }

    /// Connections on which commands are pushed to workers; at least one.
    pub fn command_connections(&self) -> usize {
        self.share_of_sockets(COMMAND_CONNECTION_SHARE).max(1)
    }

    /// Messages that the controller's inbox holds.
    pub fn inbox_messages(&self) -> usize {
        self.share_of_sockets(INBOX_SHARE)
    }

    /// A share of the sockets beyond the reserved ones.
    fn share_of_sockets(&self, share: f64) -> usize {
        let sockets = self.cluster.limits.max_sockets;
        (share * sockets.saturating_sub(RESERVED_SOCKETS) as f64) as usize
    }
}

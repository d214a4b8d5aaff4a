//! How a process shares the sockets that the platform lets it have.

use super::Settings;

/// Users' requests that are worked on at a time, each with a connection to the state service.
pub const GATEWAYS: usize = 16;
/// Sockets that a process needs whatever its size: for the state service one for each gateway, for
/// each writer and for the watches, then the cloud's, the peers' and the listening ones.
const OWN_SOCKETS: usize = GATEWAYS + 24;

/// Shares of the other sockets: what the front may hold, of that the workers and the users at the
/// most, and direct commands to workers. What the front may hold beyond both is for workers without a
/// share, which connect for each report.
const FRONT_SHARE: f64 = 0.95;
const WORKERS_SHARE: f64 = 0.65;
const USERS_SHARE: f64 = 0.27;
const COMMANDS_SHARE: f64 = 0.04;

/// Messages that may wait for the controller: after an election workers come together, and one that
/// is turned away is back a second later.
const INBOX_SHARE: f64 = 0.4;

impl Settings {
    /// Connections that the front may hold.
    pub fn front_connections(&self) -> usize {
        self.share_of_sockets(FRONT_SHARE)
    }

    /// Of these, connections of workers that stay open between reports.
    pub fn worker_connections(&self) -> usize {
        self.share_of_sockets(WORKERS_SHARE)
    }

    /// Of these, connections of users.
    pub fn user_connections(&self) -> usize {
        self.share_of_sockets(USERS_SHARE)
    }

    /// Polls that may wait to be looked up: one of each user's connection, and as many requests as the
    /// other controllers may hand on at a time.
    pub fn waiting_polls(&self) -> usize {
        self.user_connections() + GATEWAYS * self.peers.len()
    }

    /// Connections on which commands go straight to workers; at least one.
    pub fn command_connections(&self) -> usize {
        self.share_of_sockets(COMMANDS_SHARE).max(1)
    }

    /// Messages that may wait for the controller.
    pub fn inbox_messages(&self) -> usize {
        self.share_of_sockets(INBOX_SHARE)
    }

    /// A share of the sockets that this process may have beyond its own.
    fn share_of_sockets(&self, share: f64) -> usize {
        let most = self.cluster.limits.max_sockets;
        (share * most.saturating_sub(OWN_SOCKETS) as f64) as usize
    }
}

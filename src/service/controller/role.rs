//! The controller's part in the cluster.

use crate::coordination::manager::ClusterManager;
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;

/// Whether this node leads.
pub(super) enum Role {
    /// Another node leads, or none.
    Follower,
    /// Elected, and reading the records.
    Recovering {
        /// The term's fencing token.
        token: FencingToken,
        /// The end of the leadership lease.
        valid_until: Time,
    },
    /// The leader. That its lease is still valid is checked by the manager.
    Leading(Box<ClusterManager>),
}

impl Role {
    /// The manager of the cluster, while this node leads.
    pub(super) fn manager_mut(&mut self) -> Option<&mut ClusterManager> {
        match self {
            Role::Leading(manager) => Some(manager),
            Role::Follower | Role::Recovering { .. } => None,
        }
    }

    /// The highest fencing token that this node holds; 0 for a follower.
    pub(super) fn token(&self) -> FencingToken {
        match self {
            Role::Follower => FencingToken::default(),
            Role::Recovering { token, .. } => *token,
            Role::Leading(manager) => manager.token(),
        }
    }

    pub(super) fn is_follower(&self) -> bool {
        matches!(self, Role::Follower)
    }

    pub(super) fn is_recovering(&self) -> bool {
        matches!(self, Role::Recovering { .. })
    }

    pub(super) fn is_leading(&self) -> bool {
        matches!(self, Role::Leading(_))
    }
}

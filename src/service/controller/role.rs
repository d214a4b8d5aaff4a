//! The controller's role in the cluster.

use crate::coordination::manager::ClusterManager;
use crate::coordination::Time;
use crate::protocol::ids::FencingToken;

/// Whether this controller leads.
pub(super) enum Role {
    /// Another controller leads, or none does.
    Follower,
    /// This controller is elected and reads the records.
    Recovering {
        /// The term's fencing token.
        token: FencingToken,
        /// When the leadership lease expires.
        valid_until: Time,
    },
    /// This controller is the leader. The manager checks that the leadership lease is still valid.
    Leading(Box<ClusterManager>),
}

impl Role {
    /// The manager of the cluster, while this controller leads.
    pub(super) fn manager(&self) -> Option<&ClusterManager> {
        match self {
            Role::Leading(manager) => Some(manager),
            Role::Follower | Role::Recovering { .. } => None,
        }
    }

    /// Mutable access to the manager of the cluster, while this controller leads.
    pub(super) fn manager_mut(&mut self) -> Option<&mut ClusterManager> {
        match self {
            Role::Leading(manager) => Some(manager),
            Role::Follower | Role::Recovering { .. } => None,
        }
    }

    /// The highest fencing token that this controller holds; 0 for a follower.
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

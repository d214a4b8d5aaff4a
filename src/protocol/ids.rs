//! Newtypes for numbers on the wire, so that the compiler rejects one in place of another.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Defines a newtype of `u64` that is serialized as the plain number.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

number_type! {
    /// The fencing token of a leader: the version of the leader's record. A worker ignores commands with
    /// a lower token than the highest that it has seen. 0 stands for no token.
    FencingToken
}

number_type! {
    /// The incarnation of a worker's process; it rises when the process loses its tasks. 0 stands for no
    /// incarnation.
    Incarnation
}

number_type! {
    /// The sequence number of a heartbeat within an incarnation. 0 stands for no heartbeat.
    HeartbeatSequence
}

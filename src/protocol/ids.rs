//! Numbers on the wire that can't be mixed up.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Defines a number of a type of its own.
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
    /// The fencing token of a leader: the version of its record. A worker ignores commands with a lower
    /// token than it has seen. 0 is none.
    FencingToken
}

number_type! {
    /// The incarnation of a worker's process; it rises when the process loses its tasks. 0 is none.
    Incarnation
}

number_type! {
    /// The number of a heartbeat in an incarnation. 0 is none.
    HeartbeatSequence
}

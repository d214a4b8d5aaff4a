//! Staged upgrades, which `stairstage_upgrade` decides on: this controller's membership, its write fence,
//! and finalizing by the policy. Off unless the operators name an upgrade policy.

mod member;
pub mod records;
mod shared;

pub use member::start;
pub use shared::SharedWriteFence;

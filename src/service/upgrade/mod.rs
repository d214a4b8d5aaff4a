//! Staged upgrades: this controller's membership, its write fence, and finalizing by the policy.
//!
//! The decisions are made in `stairstage_upgrade`. Staging is off unless an upgrade policy is configured.

mod member;
pub mod records;
mod shared_write_fence;

pub use member::start;
pub use shared_write_fence::SharedWriteFence;

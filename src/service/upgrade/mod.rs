//! Staged upgrades, as `stairstage_upgrade` decides them: this controller's record, what it knows of
//! the active version, and finalization by the policy. Off unless the operators name a file.

mod member;
pub mod records;
mod shared;

pub use member::start;
pub use shared::SharedWriteFence;

//! Wire types of every interface, and their validation.
//!
//! The platform's odd words end in this module, as serde renames; the rest of the program speaks
//! of jobs, tasks, machines, tokens and attempts.

pub mod cloud;
pub mod job;
pub mod store;
pub mod worker;

/// The longest body that a request may have, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// The status of a request beyond the rate that a service allows.
pub const TOO_MANY_REQUESTS: u16 = 429;

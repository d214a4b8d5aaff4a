//! Wire types of every interface, and their validation.
//!
//! The names that the platform uses on the wire appear in this module alone, as serde renames. The
//! rest of the program uses the standard terms: jobs, tasks, machines, fencing tokens, attempts,
//! leases.
//!
//! - [`job`]: users' submissions and what they are answered
//! - [`worker`]: heartbeats of workers, and commands to them
//! - [`cloud`]: machine types, rentals and the list of machines
//! - [`store`]: the state service's keys, transactions, leases and watches

pub mod cloud;
pub mod ids;
pub mod job;
pub mod store;
pub mod worker;

/// The longest body that a request may have, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// The HTTP status of a request beyond the rate limit of a service.
pub const TOO_MANY_REQUESTS: u16 = 429;

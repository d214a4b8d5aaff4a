//! Wire types of every interface, and their validation.
//!
//! Only this module contains the names that the platform uses on the wire, as serde renames. The rest of
//! the program uses standard terms: job, task, machine, fencing token, attempt, lease.
//!
//! - [`job`]: users' submissions and the responses to users
//! - [`worker`]: heartbeats of workers, and commands to workers
//! - [`cloud`]: machine types, rentals and the list of machines
//! - [`store`]: keys, transactions, leases and watches of the state service
//! - [`ids`]: newtypes for numbers

pub mod cloud;
pub mod ids;
pub mod job;
pub mod store;
pub mod worker;

/// The maximum size of a request body, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// The HTTP status of a request that exceeds a service's rate limit.
pub const TOO_MANY_REQUESTS: u16 = 429;

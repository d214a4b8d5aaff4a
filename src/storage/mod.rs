//! Access to the state service, the records kept in it, and what a process remembers of them.
//!
//! - [`key_value_store`]: the client of the state service; [`outcome`]: how its requests end
//! - [`records`]: the keys and their values
//! - [`token_bucket`]: a rate limit; [`request_counts`]: statistics of the requests sent
//! - [`recent_jobs`], [`cancellation_log`]: bounded memories of this process

pub mod cancellation_log;
pub mod key_value_store;
pub mod outcome;
pub mod recent_jobs;
pub mod records;
pub mod request_counts;
pub mod token_bucket;

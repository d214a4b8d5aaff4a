//! Access to the state service, the records stored in it, and in-memory indexes of them.
//!
//! - [`key_value_store`]: the client of the state service; [`outcome`]: the outcomes of its requests
//! - [`records`]: the keys and their values
//! - [`token_bucket`]: the rate limiter; [`request_counts`]: statistics of the requests sent
//! - [`recent_jobs`], [`cancellation_log`], [`open_job_budget`]: bounded in-memory state, lost when the
//!   process ends

pub mod cancellation_log;
pub mod key_value_store;
pub mod open_job_budget;
pub mod outcome;
pub mod recent_jobs;
pub mod records;
pub mod request_counts;
pub mod token_bucket;

//! What is kept in the state service, and within which rate limits.

pub mod cancellation_log;
pub mod key_value_store;
pub mod recent_jobs;
pub mod records;
pub mod request_counts;
pub mod token_bucket;

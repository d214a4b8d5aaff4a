//! What is kept in the state service, and within which budget.

pub mod budget;
pub mod cancellations;
pub mod index;
pub mod records;
pub mod request_counts;
pub mod store;

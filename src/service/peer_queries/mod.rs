//! A leader's queries of the other controllers. Each blocks, and so runs on a thread of its own.

mod cancellation_queries;
mod promise_collector;
mod reachability;

pub use cancellation_queries::CancellationQueries;
pub use promise_collector::PromiseCollector;
pub use reachability::probe;

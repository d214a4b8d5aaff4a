//! A leader's queries of the other controllers. They block, so each runs on its own thread.

mod cancellation_queries;
mod promise_collector;
mod reachability;

pub use cancellation_queries::{CancellationQueries, CancellationQuery};
pub use promise_collector::PromiseCollector;
pub use reachability::probe;

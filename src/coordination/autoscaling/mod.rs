//! Scale out and in: how many machines the jobs need, which to rent, and which to return.
//!
//! - `demand` estimates what jobs lack;
//! - [`scale_out`] rents the cheapest machines for it;
//! - [`scale_in`] returns idle machines, and moves replicas off nearly empty ones;
//! - `replica_rates` forecasts arrivals of services.

mod demand;
pub(crate) mod replica_rates;
pub mod scale_in;
pub mod scale_out;

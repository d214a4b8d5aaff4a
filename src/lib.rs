//! stairstage: a cluster scheduler with one leading controller and backfill based on learned run times.
//!
//! The modules, from the command line inwards:
//!
//! - [`cli`] and [`settings`]: the command line, the platform's settings file and the operators' files
//! - [`service`]: starts the threads of a controller and connects them by channels
//! - [`transport`]: the API server, HTTP clients and gRPC between controllers
//! - [`coordination`]: leader election, recovery, and the scheduler, which reads no clock itself
//! - [`storage`]: the state service's client, the stored records and the rate limits
//! - [`protocol`]: wire types and their validation

pub mod cli;
pub mod coordination;
pub mod protocol;
pub mod service;
pub mod settings;
pub mod storage;
pub mod transport;

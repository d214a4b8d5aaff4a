//! stairstage: a cluster scheduler with one leading controller that backfills on learned run
//! times.
//!
//! The layers depend downwards only:
//!
//! - [`cli`] and [`settings`]: the command line, the platform's file and the operators' own;
//! - [`service`]: starts the actors and joins them by channels;
//! - [`transport`]: the HTTP front, HTTP clients and the gRPC between controllers;
//! - [`coordination`]: leadership, recovery and the clock-free scheduler;
//! - [`storage`]: what is kept in the state service, and within which budget;
//! - [`protocol`]: wire types and their validation.

pub mod cli;
pub mod coordination;
pub mod protocol;
pub mod service;
pub mod settings;
pub mod storage;
pub mod transport;

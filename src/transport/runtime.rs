//! The single-threaded tokio runtime that drives hyper and tonic. No code outside `transport` is
//! asynchronous.

use std::future::Future;
use tokio::runtime::{Builder, EnterGuard, Handle};

/// A handle to the runtime, whose thread runs until the process exits.
#[derive(Clone)]
pub struct Runtime(Handle);

impl Runtime {
    /// Starts the runtime on a new thread.
    ///
    /// # Errors
    /// If the runtime or its thread cannot be created.
    pub fn start() -> std::io::Result<Runtime> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        std::thread::Builder::new()
            .name("net".into())
            .spawn(move || runtime.block_on(std::future::pending::<()>()))?;
        Ok(Runtime(handle))
    }

    /// Runs a detached task on the runtime.
    pub(super) fn spawn<F>(&self, future: F)
    where
        F: Future + Send + 'static,
        F::Output: Send,
    {
        self.0.spawn(future);
    }

    /// Makes this the current runtime of the calling thread, which is required to register a socket.
    pub(super) fn enter(&self) -> EnterGuard<'_> {
        self.0.enter()
    }
}

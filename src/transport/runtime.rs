//! The single-threaded tokio runtime that drives hyper and tonic. No code outside `transport` is
//! asynchronous.

use std::future::Future;
use tokio::runtime::{Builder, EnterGuard, Handle};

/// A handle to the runtime's thread, which lasts as long as the process.
#[derive(Clone)]
pub struct Runtime(Handle);

impl Runtime {
    /// Starts the runtime on a thread of its own.
    ///
    /// # Errors
    /// When the runtime or its thread cannot be created.
    pub fn start() -> std::io::Result<Runtime> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        std::thread::Builder::new()
            .name("net".into())
            .spawn(move || runtime.block_on(std::future::pending::<()>()))?;
        Ok(Runtime(handle))
    }

    /// Runs a task to its end, detached.
    pub(super) fn spawn<F>(&self, future: F)
    where
        F: Future + Send + 'static,
        F::Output: Send,
    {
        self.0.spawn(future);
    }

    /// Makes this the current runtime of the calling thread, as registering a socket requires.
    pub(super) fn enter(&self) -> EnterGuard<'_> {
        self.0.enter()
    }
}

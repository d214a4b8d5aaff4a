//! The one thread on which tonic and hyper run. Nothing outside `transport` knows of it.

use std::future::Future;
use tokio::runtime::{Builder, EnterGuard, Handle};

/// A handle to the runtime's thread, which lasts as long as the process.
#[derive(Clone)]
pub struct Runtime(Handle);

impl Runtime {
    pub fn start() -> std::io::Result<Runtime> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        std::thread::Builder::new()
            .name("net".into())
            .spawn(move || runtime.block_on(std::future::pending::<()>()))?;
        Ok(Runtime(handle))
    }

    pub(super) fn spawn<F>(&self, future: F)
    where
        F: Future + Send + 'static,
        F::Output: Send,
    {
        self.0.spawn(future);
    }

    pub(super) fn enter(&self) -> EnterGuard<'_> {
        self.0.enter()
    }
}

//! Starts the service's threads.

use anyhow::Context;

/// The stack size of each thread. It is small because there are many threads, with little recursion.
const STACK_BYTES: usize = 256 * 1024;

/// Runs `body` on a new thread.
///
/// # Errors
///
/// When the operating system cannot start another thread.
pub(crate) fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> anyhow::Result<()> {
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(body)
        .with_context(|| format!("cannot start thread {name}"))?;
    Ok(())
}

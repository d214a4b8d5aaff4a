//! Starts the threads of the service.

use anyhow::Context;

/// The stack of each thread. Threads are many and recurse little.
const STACK_BYTES: usize = 256 * 1024;

/// Runs `body` on a thread of its own.
///
/// # Errors
///
/// When the operating system does not start another thread.
pub(crate) fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> anyhow::Result<()> {
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(body)
        .with_context(|| format!("cannot start thread {name}"))?;
    Ok(())
}

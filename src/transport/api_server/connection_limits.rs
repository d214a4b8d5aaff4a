//! Counts and limits the open connections.

use super::Bounds;
use std::sync::atomic::{AtomicUsize, Ordering};

/// How many connections beyond the limit may be open at a time to be rejected with a 503. Any further
/// connection is closed without a response.
const MAX_REJECTIONS: usize = 16;

/// The numbers of open connections by kind, and their limits.
pub(super) struct ConnectionLimits {
    bounds: Bounds,
    open: AtomicUsize,
    rejections: AtomicUsize,
    workers: AtomicUsize,
    users: AtomicUsize,
}

/// A permit for one connection of a kind, released on drop.
pub(super) struct ConnectionSlot<'a>(&'a AtomicUsize);

impl<'a> ConnectionSlot<'a> {
    /// Acquires a permit, unless `limit` permits are already held.
    fn acquire(limit: usize, counter: &'a AtomicUsize) -> Option<ConnectionSlot<'a>> {
        if counter.fetch_add(1, Ordering::Relaxed) < limit {
            return Some(ConnectionSlot(counter));
        }
        counter.fetch_sub(1, Ordering::Relaxed);
        None
    }
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionLimits {
    pub(super) fn new(bounds: Bounds) -> ConnectionLimits {
        ConnectionLimits {
            bounds,
            open: AtomicUsize::new(0),
            rejections: AtomicUsize::new(0),
            workers: AtomicUsize::new(0),
            users: AtomicUsize::new(0),
        }
    }

    /// A permit for a connection of any kind.
    pub(super) fn connection(&self) -> Option<ConnectionSlot<'_>> {
        ConnectionSlot::acquire(self.bounds.connections, &self.open)
    }

    /// A permit for a connection that is rejected with a 503.
    pub(super) fn rejection(&self) -> Option<ConnectionSlot<'_>> {
        ConnectionSlot::acquire(MAX_REJECTIONS, &self.rejections)
    }

    /// A permit for a worker's connection that is kept alive.
    pub(super) fn worker(&self) -> Option<ConnectionSlot<'_>> {
        ConnectionSlot::acquire(self.bounds.workers, &self.workers)
    }

    /// A permit for a user's connection.
    pub(super) fn user(&self) -> Option<ConnectionSlot<'_>> {
        ConnectionSlot::acquire(self.bounds.users, &self.users)
    }
}

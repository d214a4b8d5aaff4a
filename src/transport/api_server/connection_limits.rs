//! Counts of open connections, and the limits on them.

use super::Bounds;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Connections beyond the limit that may be open at a time to be refused with a 503; further ones are
/// closed without a response.
const MAX_REFUSALS: usize = 16;

/// The connections that are open now, by kind.
pub(super) struct ConnectionLimits {
    bounds: Bounds,
    open: AtomicUsize,
    refusals: AtomicUsize,
    workers: AtomicUsize,
    users: AtomicUsize,
}

/// A place among the connections of one kind, freed when it is dropped.
pub(super) struct ConnectionSlot<'a>(&'a AtomicUsize);

impl<'a> ConnectionSlot<'a> {
    /// Takes a place, unless `limit` of them are taken.
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
            refusals: AtomicUsize::new(0),
            workers: AtomicUsize::new(0),
            users: AtomicUsize::new(0),
        }
    }

    /// A place for a connection of any kind.
    pub(super) fn connection(&self) -> Option<ConnectionSlot<'_>> {
        ConnectionSlot::acquire(self.bounds.connections, &self.open)
    }

    /// A place for a connection that is only refused.
    pub(super) fn refusal(&self) -> Option<ConnectionSlot<'_>> {
        ConnectionSlot::acquire(MAX_REFUSALS, &self.refusals)
    }

    /// A place for a worker's connection that is kept alive.
    pub(super) fn worker(&self) -> Option<ConnectionSlot<'_>> {
        ConnectionSlot::acquire(self.bounds.workers, &self.workers)
    }

    /// A place for a user's connection.
    pub(super) fn user(&self) -> Option<ConnectionSlot<'_>> {
        ConnectionSlot::acquire(self.bounds.users, &self.users)
    }
}

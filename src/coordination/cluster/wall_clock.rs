//! The time of day, by the leader's monotonic clock.

use crate::coordination::Time;

/// Converts between the monotonic clock and the time of day.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WallClock {
    /// The time of day when the monotonic clock was at 0, in milliseconds.
    epoch_ms: f64,
}

impl WallClock {
    /// A clock by which it is `wall_ms` at `now`.
    pub(super) fn new(wall_ms: u64, now: Time) -> WallClock {
        WallClock {
            epoch_ms: wall_ms as f64 - 1000.0 * now,
        }
    }

    /// The moment of the monotonic clock that a time of day was, as far as clocks agree.
    pub(super) fn time_of(self, wall_ms: u64) -> Time {
        (wall_ms as f64 - self.epoch_ms) / 1000.0
    }

    /// The time of day in milliseconds.
    pub(super) fn wall_ms(self, now: Time) -> u64 {
        (self.epoch_ms + 1000.0 * now).max(0.0) as u64
    }
}

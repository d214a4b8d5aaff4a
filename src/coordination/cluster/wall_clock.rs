//! The wall clock, derived from the leader's monotonic clock.

use crate::coordination::Time;

/// Converts between the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WallClock {
    /// The wall-clock time at which the monotonic clock was 0, in milliseconds.
    epoch_ms: f64,
}

impl WallClock {
    /// A clock for which the monotonic time `now` is the wall-clock time `wall_ms`.
    pub(super) fn new(wall_ms: u64, now: Time) -> WallClock {
        WallClock {
            epoch_ms: wall_ms as f64 - 1000.0 * now,
        }
    }

    /// The monotonic time of a wall-clock time, as far as the clocks agree.
    pub(super) fn time_of(self, wall_ms: u64) -> Time {
        (wall_ms as f64 - self.epoch_ms) / 1000.0
    }

    /// The wall-clock time of a monotonic time, in milliseconds.
    pub(super) fn wall_ms(self, now: Time) -> u64 {
        (self.epoch_ms + 1000.0 * now).max(0.0) as u64
    }
}

//! The time of day. Durations are measured by monotonic clocks instead.

use std::time::{SystemTime, UNIX_EPOCH};

/// The time of day in milliseconds since the Unix epoch, for records.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

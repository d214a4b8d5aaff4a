//! The wall clock, for records. Durations are measured with monotonic clocks instead.

use std::time::{SystemTime, UNIX_EPOCH};

/// The wall clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

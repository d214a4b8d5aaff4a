//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn open(path: &str) {
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Seconds since the start.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |r| r.1.elapsed().as_secs_f64())
}

pub fn note(text: impl AsRef<str>) {
    if let Some((file, _)) = RECORD.get() {
        let mut file = file.lock().expect("lock");
        let _ = writeln!(file, "{:8.2} {}", now(), text.as_ref());
    }
}

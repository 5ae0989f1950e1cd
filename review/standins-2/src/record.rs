//! The record of a run: one line for each message and event, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Starts the record.
pub fn open(path: &Path) {
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Returns the time since the start of the record.
pub fn elapsed() -> Duration {
    RECORD
        .get()
        .map_or(Duration::ZERO, |(_, start)| start.elapsed())
}

/// Writes a line.
pub fn line(text: &str) {
    if let Some((file, start)) = RECORD.get() {
        let at = start.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(file.lock().expect("no panic"), "{at:10.1} {text}");
    }
}

/// Writes a line to the record and to the standard output.
pub fn say(text: &str) {
    line(text);
    println!("{text}");
}

/// Returns the milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Sleeps for some milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

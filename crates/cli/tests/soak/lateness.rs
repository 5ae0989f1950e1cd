//! Measures how late the threads of the test itself run, which adds to all that they measure.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(2);

/// A thread that wakes up at each interval.
pub struct Lateness {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
}

impl Lateness {
    pub fn start() -> Lateness {
        let is_over = Arc::new(AtomicBool::new(false));
        let until = Arc::clone(&is_over);
        let thread = std::thread::spawn(move || {
            let mut latest = Duration::ZERO;
            while !until.load(Ordering::Relaxed) {
                let due_at = Instant::now() + INTERVAL;
                std::thread::sleep(INTERVAL);
                latest = latest.max(due_at.elapsed());
            }
            latest
        });
        Lateness { is_over, thread }
    }

    /// Returns by how much the thread was late at the most.
    pub fn stop(self) -> Duration {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().expect("no panic")
    }
}

//! Records what happens to each request, and checks the rules.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time after its deadline within which a request must have its final answer.
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// Time after its end within which a task must be released.
const END_LIMIT: Duration = Duration::from_millis(8_050);
/// Time within which a request that crosses the close of a connection is sent again by its client.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// Time after the departure of its client within which an attempt may still begin: 0.1 s, and 50 ms
/// on sockets.
const DEPARTURE_SLACK: Duration = Duration::from_millis(150);
/// How much more time than is left a node may be told, and 50 ms on sockets.
const LEFT_SLACK: Duration = Duration::from_millis(200);

/// What became of a request.
#[derive(Debug)]
pub struct Request {
    pub sent_at: Instant,
    pub left: Duration,
    /// When its client closed the connection.
    pub given_up_at: Option<Instant>,
    /// When the dispatcher closed the connection without an answer.
    pub closed_at: Option<Instant>,
    pub answered_at: Option<Instant>,
    /// Whether the answer says that the task stands.
    pub stands: bool,
    /// When its node released the task.
    pub ended_at: Option<Instant>,
    pub released_at: Option<Instant>,
}

/// All requests of a run, by id.
#[derive(Default)]
pub struct Records {
    requests: Mutex<BTreeMap<u64, Request>>,
    violations: Mutex<Vec<String>>,
    /// The attempts that began while their client was there, with what they exceed.
    attempts: Mutex<Vec<(u64, Duration)>>,
}

impl Records {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Request>> {
        self.requests.lock().expect("no panic")
    }

    pub fn sent(&self, task: u64, left: Duration) {
        let request = Request {
            sent_at: Instant::now(),
            left,
            given_up_at: None,
            closed_at: None,
            answered_at: None,
            stands: false,
            ended_at: None,
            released_at: None,
        };
        self.lock().insert(task, request);
    }

    pub fn update(&self, task: u64, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.lock().get_mut(&task) {
            change(request);
        }
    }

    /// Records the arrival of a set-up at a node.
    pub fn attempt(&self, task: u64, left: Duration) {
        let requests = self.lock();
        let Some(request) = requests.get(&task) else {
            return;
        };
        if let Some(late) = request.given_up_at.map(|at| at.elapsed())
            && late > DEPARTURE_SLACK
        {
            let text = format!("{task:016x}: an attempt began {late:?} after its client left");
            self.violations.lock().expect("no panic").push(text);
        }
        let remaining = request.left.saturating_sub(request.sent_at.elapsed());
        let excess = left.saturating_sub(remaining);
        self.attempts.lock().expect("no panic").push((task, excess));
    }

    /// Waits until the clients know of all ends, and returns those that they do not learn in time.
    pub fn wait_for_ends(&self) -> Vec<String> {
        loop {
            let mut waiting = false;
            let mut late = Vec::new();
            for (task, request) in self.lock().iter() {
                let Some(ended_at) = request.ended_at else {
                    waiting |= request.stands;
                    continue;
                };
                if request.stands && request.released_at.is_none() {
                    waiting = true;
                    if ended_at.elapsed() > END_LIMIT {
                        late.push(format!("{task:016x}: its end was not told: {request:?}"));
                    }
                }
            }
            if !waiting || !late.is_empty() {
                return late;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the violations of a run in which the process was paused for this time.
    pub fn violations(&self, paused: Duration) -> Vec<String> {
        let mut violations = std::mem::take(&mut *self.violations.lock().expect("no panic"));
        for (task, excess) in self.attempts.lock().expect("no panic").iter() {
            if *excess > LEFT_SLACK + paused {
                violations.push(format!("{task:016x}: a node was told {excess:?} too much"));
            }
        }
        for (task, request) in self.lock().iter() {
            if request.given_up_at.is_some() {
                continue;
            }
            let limit = request.left + ANSWER_SLACK + paused;
            let waited = |until: Instant| until.saturating_duration_since(request.sent_at);
            let text = match (request.answered_at, request.closed_at) {
                (Some(at), _) if waited(at) > limit => "was answered late",
                (None, Some(at)) if waited(at) > CROSSING_TIME => "was closed unanswered",
                (None, None) => "was not answered",
                _ => continue,
            };
            violations.push(format!("{task:016x} {text}: {request:?}"));
        }
        violations
    }
}

//! Records what happens to each request, and checks the rules.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time after its deadline within which a request must have its final answer.
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// Time after its end within which a task must be released.
const END_LIMIT: Duration = Duration::from_millis(8_050);
/// Time by which a hand-over counts later.
const HAND_OVER_TRANSIT: Duration = Duration::from_millis(200);
/// Time within which a request that crosses the close of a connection is sent again by its client.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// Time after the departure of its client within which an attempt may still begin: 0.1 s, and 50 ms
/// on sockets.
const DEPARTURE_SLACK: Duration = Duration::from_millis(150);
/// How much more time than is left a node may be told, and 50 ms on sockets.
const LEFT_SLACK: Duration = Duration::from_millis(200);

/// Time for which a message may be on its way.
const TRANSIT: Duration = Duration::from_millis(50);

/// What became of a request.
#[derive(Debug)]
pub struct Request {
    /// The number of kills of the program before it was sent.
    pub kills: u64,
    pub sent_at: Instant,
    pub left: Duration,
    /// When its client closed the connection.
    pub given_up_at: Option<Instant>,
    /// When the dispatcher closed the connection without an answer.
    pub closed_at: Option<Instant>,
    pub answered_at: Option<Instant>,
    /// Whether the answer says that the task stands.
    pub stands: bool,
    /// The node on which the task stands, as its answer tells.
    pub node: String,
    /// When its client last handed the task over.
    pub handed_over_at: Option<Instant>,
    /// When its node released the task, or died.
    pub ended_at: Option<Instant>,
    pub released_at: Option<Instant>,
    /// When its node reported its end, unless an attempt has followed.
    pub completed_at: Option<Instant>,
}

/// The arrival of a set-up at a node.
struct Attempt {
    task: u64,
    request_sent_at: Instant,
    arrived_at: Instant,
    /// The time since its client had left.
    after_departure: Option<Duration>,
    /// By how much the node was told more than is left.
    excess: Duration,
}

/// A pause of the program.
struct Pause {
    began_at: Instant,
    ended_at: Instant,
}

impl Pause {
    /// Returns by how much the pause may have delayed an attempt whose writing it interrupted: one of an
    /// earlier request that arrives when the program goes on.
    fn delay_of(&self, attempt: &Attempt) -> Duration {
        let may_be_interrupted = attempt.request_sent_at < self.began_at;
        let arrived = self.began_at..self.ended_at + TRANSIT;
        if may_be_interrupted && arrived.contains(&attempt.arrived_at) {
            self.ended_at - self.began_at
        } else {
            Duration::ZERO
        }
    }
}

/// All requests of a run, by id.
#[derive(Default)]
pub struct Records {
    kills: AtomicU64,
    requests: Mutex<BTreeMap<u64, Request>>,
    attempts: Mutex<Vec<Attempt>>,
    pauses: Mutex<Vec<Pause>>,
    /// The first attempts after the end of their task, with the time since then.
    attempts_after_end: Mutex<Vec<(u64, Duration)>>,
}

impl Records {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Request>> {
        self.requests.lock().expect("no panic")
    }

    pub fn sent(&self, task: u64, left: Duration) {
        let request = Request {
            kills: self.kills.load(Ordering::Relaxed),
            sent_at: Instant::now(),
            left,
            given_up_at: None,
            closed_at: None,
            answered_at: None,
            stands: false,
            node: String::new(),
            handed_over_at: None,
            ended_at: None,
            released_at: None,
            completed_at: None,
        };
        self.lock().insert(task, request);
    }

    pub fn update(&self, task: u64, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.lock().get_mut(&task) {
            change(request);
        }
    }

    /// Returns the tasks of a client that stand, with their nodes.
    pub fn standing(&self, client: u64) -> Vec<(u64, String)> {
        let requests = self.lock();
        let own = requests.range(client << 32..(client + 1) << 32);
        own.filter(|(_, request)| {
            request.stands && request.ended_at.is_none() && request.released_at.is_none()
        })
        .map(|(&task, request)| (task, request.node.clone()))
        .collect()
    }

    /// Records the arrival of a set-up at a node.
    pub fn attempt(&self, task: u64, left: Duration) {
        let mut requests = self.lock();
        let Some(request) = requests.get_mut(&task) else {
            return;
        };
        if let Some(completed_at) = request.completed_at.take() {
            let mut attempts = self.attempts_after_end.lock().expect("no panic");
            attempts.push((task, completed_at.elapsed()));
        }
        let remaining = request.left.saturating_sub(request.sent_at.elapsed());
        let attempt = Attempt {
            task,
            request_sent_at: request.sent_at,
            arrived_at: Instant::now(),
            after_departure: request.given_up_at.map(|at| at.elapsed()),
            excess: left.saturating_sub(remaining),
        };
        self.attempts.lock().expect("no panic").push(attempt);
    }

    /// Records that the program was paused from the given time until now.
    #[allow(dead_code, reason = "used where the program is paused")]
    pub fn paused_since(&self, began_at: Instant) {
        let ended_at = Instant::now();
        let mut pauses = self.pauses.lock().expect("no panic");
        pauses.push(Pause { began_at, ended_at });
    }

    /// Records that the program is being killed: the tasks that it held are no longer owed, unless they
    /// are handed over.
    #[allow(dead_code, reason = "used where the program is restarted")]
    pub fn killed(&self) {
        self.kills.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits until the clients know of all ends, and returns those that they do not learn in time.
    pub fn wait_for_ends(&self) -> Vec<String> {
        let kills = self.kills.load(Ordering::Relaxed);
        loop {
            let mut waiting = false;
            let mut late = Vec::new();
            for (task, request) in self.lock().iter() {
                let Some(ended_at) = request.ended_at else {
                    waiting |= request.stands;
                    continue;
                };
                let is_owed = request.kills == kills || request.handed_over_at.is_some();
                if request.stands && request.released_at.is_none() && is_owed {
                    waiting = true;
                    let counts_from = request
                        .handed_over_at
                        .map_or(ended_at, |at| ended_at.max(at + HAND_OVER_TRANSIT));
                    if counts_from.elapsed() > END_LIMIT {
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

    /// Returns the tasks whose clients were told of an end before it came.
    #[allow(dead_code, reason = "used where nodes are replaced")]
    pub fn ended_while_running(&self) -> Vec<String> {
        let requests = self.lock();
        let early = requests.iter().filter(|(_, request)| {
            let ended_at = request.ended_at.zip(request.released_at);
            request.stands
                && ended_at.is_some_and(|(ended_at, told_at)| told_at + TRANSIT < ended_at)
        });
        early
            .map(|(task, request)| format!("{task:016x}: its end was told before: {request:?}"))
            .collect()
    }

    #[allow(dead_code, reason = "used where nodes are not replaced")]
    /// Returns the violations of a run in which the process was paused for this time.
    pub fn violations(&self, paused: Duration) -> Vec<String> {
        let mut violations = self.late_attempts();
        violations.extend(self.forwarded_after_end(paused));
        violations.extend(self.bad_answers(paused));
        violations
    }

    #[allow(dead_code, reason = "used where nodes are not replaced")]
    /// Returns the requests that were forwarded again although their node had reported their end.
    fn forwarded_after_end(&self, paused: Duration) -> Vec<String> {
        let attempts = self.attempts_after_end.lock().expect("no panic");
        let late = attempts.iter().filter(|(_, late)| *late > TRANSIT + paused);
        late.map(|(task, late)| format!("{task:016x}: an attempt began {late:?} after its end"))
            .collect()
    }

    #[allow(dead_code, reason = "used where nodes are not replaced")]
    /// Returns the attempts that began too late, or whose nodes were told too much time.
    fn late_attempts(&self) -> Vec<String> {
        let pauses = self.pauses.lock().expect("no panic");
        let mut violations = Vec::new();
        for attempt in self.attempts.lock().expect("no panic").iter() {
            let (task, excess) = (attempt.task, attempt.excess);
            let delays = pauses.iter().map(|pause| pause.delay_of(attempt));
            let delay = delays.max().unwrap_or_default();
            if let Some(late) = attempt.after_departure
                && late > DEPARTURE_SLACK + delay
            {
                violations.push(format!(
                    "{task:016x}: an attempt began {late:?} after its client left"
                ));
            }
            if excess > LEFT_SLACK + delay {
                violations.push(format!("{task:016x}: a node was told {excess:?} too much"));
            }
        }
        violations
    }

    /// Returns the requests without an answer in time.
    pub fn bad_answers(&self, paused: Duration) -> Vec<String> {
        let mut violations = Vec::new();
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

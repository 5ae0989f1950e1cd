//! Decides when a dispatcher that is behind requests the newest version, and from which source.
//! Without a clock: times are passed in, in the unit of [`RequestIntervals`].

use corkspan_quorum::sampled;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Maximum number of times that the backoff doubles; after that it exceeds any useful maximum.
const MAX_DOUBLINGS: u32 = 16;

/// Times between requests, in a unit chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIntervals {
    /// Time within which a dispatcher makes its first request after it is fenced, and the start of
    /// the backoff.
    pub initial: u64,
    /// Largest backoff.
    pub max: u64,
    /// Minimum time between requests of a dispatcher that no control service streams to and that is
    /// not known to be behind. The maximum is twice as long, and the first request follows within
    /// this time.
    pub idle: u64,
}

/// A source of the newest version, by index in the deployment's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// Another dispatcher.
    Peer(usize),
    /// A member of the quorum.
    QuorumMember(usize),
}

/// The state of a dispatcher, as far as it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatchUpStatus {
    /// Whether a control service streams versions to it.
    pub has_stream: bool,
    /// Whether its version is below the minimum.
    pub fenced: bool,
    /// Number of other dispatchers in the deployment.
    pub peers: usize,
    /// Number of quorum members.
    pub members: usize,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A later version is active now.
    Advanced,
    /// There was no reply, no later version, or one that the dispatcher rejected.
    Unchanged,
}

/// The next step of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum NextStep {
    /// Request the newest version, and pass the outcome to [`CatchUp::complete`].
    Request(VersionSource),
    /// Poll again after this time.
    Wait(u64),
}

/// The schedule of one dispatcher's requests. Times and order are random, so that hundreds of
/// dispatchers that are behind at once don't all send requests to the same peer at the same time.
pub struct CatchUp {
    rng: Pcg64Mcg,
    intervals: RequestIntervals,
    /// Number of consecutive rounds over all sources that have found no later version.
    failed_rounds: u32,
    /// Whether the dispatcher was fenced at the last poll.
    was_fenced: bool,
    next_request_at: Option<u64>,
    /// Sources that remain in this round; the next one is at the end.
    remaining: Vec<VersionSource>,
}

impl CatchUp {
    /// Creates a schedule without requests.
    pub fn new(seed: u64, intervals: RequestIntervals) -> Self {
        CatchUp {
            rng: Pcg64Mcg::seed_from_u64(seed),
            intervals,
            failed_rounds: 0,
            was_fenced: false,
            next_request_at: None,
            remaining: Vec::new(),
        }
    }

    /// Returns what to do at this time and in this state.
    pub fn poll(&mut self, now: u64, status: CatchUpStatus) -> NextStep {
        let RequestIntervals { initial, idle, .. } = self.intervals;
        // A control service keeps a dispatcher up to date. If the dispatcher is fenced despite it,
        // the service has stalled or its version was rejected here.
        let is_served = status.has_stream && !status.fenced;
        if is_served || status.peers + status.members == 0 {
            self.reset();
            return NextStep::Wait(initial);
        }
        if status.fenced && !self.was_fenced {
            (self.next_request_at, self.failed_rounds) = (None, 0);
        }
        self.was_fenced = status.fenced;
        let request_at = match self.next_request_at {
            Some(at) => at,
            None => {
                let within = if status.fenced { initial } else { idle };
                now + self.rng.random_range(0..=within)
            }
        };
        self.next_request_at = Some(request_at);
        if now < request_at {
            return NextStep::Wait((request_at - now).min(initial));
        }
        if self.remaining.is_empty() {
            self.remaining = self.shuffled_sources(status);
        }
        let source = self.remaining.pop();
        source.map_or(NextStep::Wait(initial), NextStep::Request)
    }

    fn reset(&mut self) {
        (self.next_request_at, self.failed_rounds, self.was_fenced) = (None, 0, false);
        self.remaining.clear();
    }

    /// Returns all sources in random order, to be used from the end: all peers are used before the
    /// quorum members, which are few and have more work.
    fn shuffled_sources(&mut self, status: CatchUpStatus) -> Vec<VersionSource> {
        let mut peers: Vec<_> = (0..status.peers).map(VersionSource::Peer).collect();
        let mut members: Vec<_> = (0..status.members)
            .map(VersionSource::QuorumMember)
            .collect();
        peers.shuffle(&mut self.rng);
        members.shuffle(&mut self.rng);
        members.into_iter().chain(peers).collect()
    }

    /// Schedules the next request after the one that [`CatchUp::poll`] returned.
    pub fn complete(&mut self, now: u64, outcome: RequestOutcome) {
        if outcome == RequestOutcome::Advanced {
            (self.failed_rounds, self.remaining) = (0, Vec::new());
        } else if self.remaining.is_empty() {
            self.failed_rounds = self.failed_rounds.saturating_add(1);
        }
        let RequestIntervals { initial, max, idle } = self.intervals;
        let round_complete = self.remaining.is_empty();
        // Within a round the requests follow soon, since any source may be down; only between
        // rounds a longer delay is useful.
        let max_delay = match (self.was_fenced, round_complete) {
            (true, false) => initial,
            (true, true) => (initial << self.failed_rounds.min(MAX_DOUBLINGS)).min(max),
            (false, _) => idle * 2,
        };
        self.next_request_at = Some(now + self.rng.random_range(max_delay / 2..=max_delay));
    }
}

/// Returns whether a dispatcher stores its good version at the quorum members in this round;
/// `stored` is the oldest version at the members. The whole fleet notices a missing version at the
/// same time, and a few dispatchers are enough to store it. `draw` is drawn uniformly from 0 to 1.
pub fn should_store(version: u64, stored: Option<u64>, fleet: usize, draw: f64) -> bool {
    version > stored.unwrap_or(0) && sampled(fleet, draw)
}

//! How a dispatcher that is behind catches up: whom it requests the newest version from next, and
//! when. Without a clock: times are passed in, in the unit of [`RequestIntervals`].

use corkspan_quorum::sampled;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The backoff doubles no further than this: the interval would be beyond any maximum.
const MAX_DOUBLINGS: u32 = 16;

/// Times between requests, in the caller's unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIntervals {
    /// The first request follows within this time of a dispatcher being fenced, and the backoff
    /// starts from it.
    pub initial: u64,
    /// The backoff grows no further than this.
    pub max: u64,
    /// The mean time between requests of a dispatcher that no control service streams to, and that
    /// is not known to be behind.
    pub idle: u64,
}

/// Whom the newest version may be requested from, by index in the deployment's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// Another dispatcher.
    Peer(usize),
    /// A member of the quorum.
    QuorumMember(usize),
}

/// What a dispatcher knows of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatchUpStatus {
    /// A control service streams versions to it.
    pub has_stream: bool,
    /// Its version is below the minimum.
    pub fenced: bool,
    /// Other dispatchers that the deployment names.
    pub peers: usize,
    /// Members of the quorum.
    pub members: usize,
}

/// What a request led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A later version is in force now.
    Advanced,
    /// No reply, no later version, or one that was rejected here.
    Unchanged,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum NextStep {
    /// Request the newest version, and pass the outcome to [`CatchUp::complete`].
    Request(VersionSource),
    /// Poll again after this time.
    Wait(u64),
}

/// One dispatcher's requests. Times and order are drawn at random, so that hundreds that are behind
/// at once do not all ask the same peer at the same time.
pub struct CatchUp {
    rng: Pcg64Mcg,
    intervals: RequestIntervals,
    /// Rounds over all sources that brought nothing, in a row.
    failed_rounds: u32,
    /// Whether the dispatcher was fenced when the next request was scheduled.
    was_fenced: bool,
    next_request_at: Option<u64>,
    /// Sources still to be asked in this round; the next one is last.
    remaining: Vec<VersionSource>,
}

impl CatchUp {
    /// Starts with nothing scheduled.
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

    /// What to do at this time, in this state.
    pub fn poll(&mut self, now: u64, status: CatchUpStatus) -> NextStep {
        let RequestIntervals { initial, idle, .. } = self.intervals;
        // A control service brings a dispatcher up to date, unless it is fenced all the same: then
        // the service stands still, or its version was rejected here.
        let served = status.has_stream && !status.fenced;
        if served || status.peers + status.members == 0 {
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

    /// All sources in a random order, to be taken from the end: quorum members after all peers,
    /// since they are few and have more to do.
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
        // Within a round all sources are asked soon, since any of them may be down; only between
        // rounds it is worth waiting longer.
        let longest = match (self.was_fenced, round_complete) {
            (true, false) => initial,
            (true, true) => (initial << self.failed_rounds.min(MAX_DOUBLINGS)).min(max),
            (false, _) => idle * 2,
        };
        self.next_request_at = Some(now + self.rng.random_range(longest / 2..=longest));
    }
}

/// Whether a dispatcher stores its good version at the quorum members in this round, where the
/// oldest of theirs is `stored`. The whole fleet sees at once that one is missing there, and a few
/// are enough. `chance` is drawn from 0 to 1.
pub fn should_store(version: u64, stored: Option<u64>, fleet: usize, chance: f64) -> bool {
    version > stored.unwrap_or(0) && sampled(fleet, chance)
}

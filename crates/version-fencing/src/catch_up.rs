//! How a straggler is brought up: from whom it asks for the newest version next, and when. Without
//! a clock: moments are told, in any unit that [`RequestIntervals`] is told in too.

use corkspan_quorum::of_a_few;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Times between asks, in the caller's unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIntervals {
    /// The first ask comes within so long after it is known that one is needed, and the waits grow
    /// from here.
    pub initial: u64,
    pub max: u64,
    /// Who is not known to be behind, and hears of no control service, asks about so often.
    pub idle: u64,
}

/// From whom the newest version may be had: the how-manieth of those that the deployment names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    Peer(usize),
    QuorumMember(usize),
}

/// What a dispatcher knows of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatchUpStatus {
    /// A control service streams to it.
    pub has_stream: bool,
    /// The floor of versions shuts it out.
    pub fenced: bool,
    pub peers: usize,
    pub members: usize,
}

/// What came of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It runs a later version now.
    Advanced,
    /// No answer, nothing later, or a version that it had to turn down.
    Unchanged,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    Request(VersionSource),
    /// Look again after so long.
    Wait(u64),
}

/// One dispatcher's part. Hundreds of stragglers at once ask each at its own time, each in an order
/// of its own.
pub struct CatchUp {
    rng: Pcg64Mcg,
    intervals: RequestIntervals,
    /// Rounds in vain.
    failed_rounds: u32,
    /// Whether the ask that is due was wanted by one that is shut out.
    was_fenced: bool,
    next_request_at: Option<u64>,
    /// Still to be asked in this round.
    remaining: Vec<VersionSource>,
}

impl CatchUp {
    pub fn new(seed: u64, intervals: RequestIntervals) -> Self {
        let (rng, remaining) = (Pcg64Mcg::seed_from_u64(seed), Vec::new());
        CatchUp {
            rng,
            intervals,
            failed_rounds: 0,
            was_fenced: false,
            next_request_at: None,
            remaining,
        }
    }

    pub fn poll(&mut self, now: u64, status: CatchUpStatus) -> NextStep {
        let RequestIntervals { initial, idle, .. } = self.intervals;
        // Whom a control service reaches is brought up by it, unless it is shut out all the same:
        // then what streams to it has stood still, or was turned down.
        if status.has_stream && !status.fenced || status.peers + status.members == 0 {
            (self.next_request_at, self.failed_rounds, self.was_fenced) = (None, 0, false);
            self.remaining.clear();
            return NextStep::Wait(initial);
        }
        if status.fenced && !self.was_fenced {
            (self.next_request_at, self.failed_rounds) = (None, 0);
        }
        self.was_fenced = status.fenced;
        let next_request_at = match self.next_request_at {
            Some(next_request_at) => next_request_at,
            None => {
                let within = if status.fenced { initial } else { idle };
                now + self.rng.random_range(0..=within)
            }
        };
        self.next_request_at = Some(next_request_at);
        if now < next_request_at {
            return NextStep::Wait((next_request_at - now).min(initial));
        }
        if self.remaining.is_empty() {
            // Keepers last: they are few, and have more to do.
            let (mut peers, mut members): (Vec<VersionSource>, Vec<VersionSource>) = (
                (0..status.peers).map(VersionSource::Peer).collect(),
                (0..status.members)
                    .map(VersionSource::QuorumMember)
                    .collect(),
            );
            peers.shuffle(&mut self.rng);
            members.shuffle(&mut self.rng);
            self.remaining = members.into_iter().chain(peers).collect();
        }
        let source = self.remaining.pop();
        source.map_or(NextStep::Wait(initial), NextStep::Request)
    }

    /// What came of the ask that [`CatchUp::poll`] wanted.
    pub fn complete(&mut self, now: u64, outcome: RequestOutcome) {
        let RequestIntervals { initial, max, idle } = self.intervals;
        if outcome == RequestOutcome::Advanced {
            (self.failed_rounds, self.remaining) = (0, Vec::new());
        } else if self.remaining.is_empty() {
            self.failed_rounds = self.failed_rounds.saturating_add(1);
        }
        // All that may have it are asked soon, whoever of them is gone; only then it is worth
        // waiting longer.
        let longest_wait = match (self.was_fenced, self.remaining.is_empty()) {
            (true, false) => initial,
            (true, true) => (initial << self.failed_rounds.min(16)).min(max),
            (false, _) => idle * 2,
        };
        self.next_request_at = Some(now + self.rng.random_range(longest_wait / 2..=longest_wait));
    }
}

/// Whether a dispatcher lays its good version on a keeper's shelf in this round: all of a fleet
/// know at once that one is wanted there, and a few are enough. `chance` is drawn from 0 to 1.
pub fn should_store(version: u64, stored: Option<u64>, fleet: usize, chance: f64) -> bool {
    version > stored.unwrap_or(0) && of_a_few(fleet, chance)
}

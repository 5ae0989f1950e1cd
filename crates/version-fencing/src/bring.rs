//! How a straggler is brought up: from whom it asks for the newest version next, and when. Without
//! a clock: moments are told, in any unit that [`Pace`] is told in too.

use corkspan_quorum::of_a_few;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Times between asks, in the caller's unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The first ask comes within so long after it is known that one is needed, and the waits grow
    /// from here.
    pub first: u64,
    pub longest: u64,
    /// Who is not known to be behind, and hears of no control service, asks about so often.
    pub idle: u64,
}

/// From whom the newest version may be had: the how-manieth of those that the deployment names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Peer(usize),
    Keeper(usize),
}

/// What a dispatcher knows of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sees {
    /// A control service streams to it.
    pub streams: bool,
    /// The floor of versions shuts it out.
    pub shut_out: bool,
    pub peers: usize,
    pub keepers: usize,
}

/// What came of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// It runs a later version now.
    Up,
    /// No answer, nothing later, or a version that it had to turn down.
    Nothing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Ask(Source),
    /// Look again after so long.
    Wait(u64),
}

/// One dispatcher's part. Hundreds of stragglers at once ask each at its own time, each in an order
/// of its own.
pub struct Straggler {
    rng: Pcg64Mcg,
    pace: Pace,
    /// Rounds in vain.
    fails: u32,
    /// Whether the ask that is due was wanted by one that is shut out.
    urgent: bool,
    at: Option<u64>,
    /// Still to be asked in this round.
    round: Vec<Source>,
}

impl Straggler {
    pub fn new(seed: u64, pace: Pace) -> Self {
        let (rng, round) = (Pcg64Mcg::seed_from_u64(seed), Vec::new());
        Straggler {
            rng,
            pace,
            fails: 0,
            urgent: false,
            at: None,
            round,
        }
    }

    pub fn look(&mut self, now: u64, sees: Sees) -> Next {
        let Pace { first, idle, .. } = self.pace;
        // Whom a control service reaches is brought up by it, unless it is shut out all the same:
        // then what streams to it has stood still, or was turned down.
        if sees.streams && !sees.shut_out || sees.peers + sees.keepers == 0 {
            (self.at, self.fails, self.urgent) = (None, 0, false);
            self.round.clear();
            return Next::Wait(first);
        }
        if sees.shut_out && !self.urgent {
            (self.at, self.fails) = (None, 0);
        }
        self.urgent = sees.shut_out;
        let at = match self.at {
            Some(at) => at,
            None => {
                let within = if sees.shut_out { first } else { idle };
                now + self.rng.random_range(0..=within)
            }
        };
        self.at = Some(at);
        if now < at {
            return Next::Wait((at - now).min(first));
        }
        if self.round.is_empty() {
            // Keepers last: they are few, and have more to do.
            let (mut peers, mut keepers): (Vec<Source>, Vec<Source>) = (
                (0..sees.peers).map(Source::Peer).collect(),
                (0..sees.keepers).map(Source::Keeper).collect(),
            );
            peers.shuffle(&mut self.rng);
            keepers.shuffle(&mut self.rng);
            self.round = keepers.into_iter().chain(peers).collect();
        }
        let source = self.round.pop();
        source.map_or(Next::Wait(first), Next::Ask)
    }

    /// What came of the ask that [`Straggler::look`] wanted.
    pub fn came(&mut self, now: u64, came: Came) {
        let Pace {
            first,
            longest,
            idle,
        } = self.pace;
        if came == Came::Up {
            (self.fails, self.round) = (0, Vec::new());
        } else if self.round.is_empty() {
            self.fails = self.fails.saturating_add(1);
        }
        // All that may have it are asked soon, whoever of them is gone; only then it is worth
        // waiting longer.
        let most = match (self.urgent, self.round.is_empty()) {
            (true, false) => first,
            (true, true) => (first << self.fails.min(16)).min(longest),
            (false, _) => idle * 2,
        };
        self.at = Some(now + self.rng.random_range(most / 2..=most));
    }
}

/// Whether a dispatcher lays its good version on a keeper's shelf in this round: all of a fleet
/// know at once that one is wanted there, and a few are enough. `chance` is drawn from 0 to 1.
pub fn lays(good: u64, lies: Option<u64>, fleet: usize, chance: f64) -> bool {
    good > lies.unwrap_or(0) && of_a_few(fleet, chance)
}

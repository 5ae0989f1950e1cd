//! A controller's state for one replica and for one claim.

use crate::ClaimId;
use corkspan_scheduler::interface::Ticks;

/// One replica of this dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Replica {
    pub(super) version: String,
    /// Time since which it reports itself ready.
    pub(super) ready_since: Option<Ticks>,
    /// Time since which it has not been ready.
    pub(super) unready_since: Ticks,
    /// Whether it ran here or elsewhere before and is down for a reason other than the rollout.
    pub(super) returning: bool,
    /// The claim under which it is replaced.
    pub(super) claim: Option<ClaimId>,
    pub(super) step: Step,
}

/// A claim that was sent, or is held.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Claim {
    pub(super) task: String,
    /// Whether a majority has granted it.
    pub(super) won: bool,
}

/// The progress of a replica's replacement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The replica is not being replaced.
    Idle,
    /// A slot is being claimed for the replica.
    Claiming,
    /// The replica is being replaced, and the slot is held.
    Replacing,
    /// A surge replica is being started beside it, and the slot is held.
    Surging {
        /// Version of the surge replica.
        version: String,
        since: Ticks,
        /// Time since which the surge replica is ready.
        ready: Option<Ticks>,
    },
    /// The surge replica has stayed ready for the minimum time, and the old replica is being
    /// stopped.
    TakingOver {
        /// Version of the surge replica.
        version: String,
        /// Time since which the surge replica is ready.
        ready: Ticks,
    },
}

impl Replica {
    /// Returns whether the replica has been ready for this time.
    pub(super) fn stayed_ready(&self, time: Ticks, now: Ticks) -> bool {
        self.ready_since.is_some_and(|since| now >= since + time)
    }
}

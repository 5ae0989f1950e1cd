//! What a controller keeps of one replica and of one claim.

use crate::ClaimId;
use corkspan_scheduler::interface::Ticks;

/// One replica of this dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Replica {
    pub(super) version: String,
    /// Since when it reports itself ready.
    pub(super) ready_since: Option<Ticks>,
    /// Since when it has not been ready.
    pub(super) unready_since: Ticks,
    /// It ran here or elsewhere before, and is down now for a reason outside the rollout.
    pub(super) returning: bool,
    /// The claim under which it is replaced.
    pub(super) claim: Option<ClaimId>,
    pub(super) step: Step,
}

/// A claim that was sent, or is held.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Claim {
    pub(super) task: String,
    /// A majority has granted it.
    pub(super) won: bool,
}

/// How far the replacing of a replica has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// It is left as it is.
    Idle,
    /// A slot is being claimed for it.
    Claiming,
    /// It is being replaced, and the slot is held.
    Replacing,
    /// A surge replica is being started beside it, and the slot is held.
    Surging {
        /// Version of the surge replica.
        version: String,
        since: Ticks,
        /// Since when the surge replica is ready.
        ready: Option<Ticks>,
    },
    /// The surge replica has stayed ready for its time, and the old replica is being stopped.
    TakingOver {
        /// Version of the surge replica.
        version: String,
        /// Since when the surge replica is ready.
        ready: Ticks,
    },
}

impl Replica {
    /// Whether it has been ready for this long.
    pub(super) fn stayed_ready(&self, time: Ticks, now: Ticks) -> bool {
        self.ready_since.is_some_and(|since| now >= since + time)
    }
}

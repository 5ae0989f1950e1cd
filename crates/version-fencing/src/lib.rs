//! What the floor of versions decides, without I/O and without a clock. docs/fleet.md says why it
//! is so.
//!
//! The floor is the lowest version of the deployment that may act: a [`MinimumVersion`], a wish at a
//! majority of keepers. It is in force where an effect would be, at the nodes: each shot tells the
//! version that it was decided under, and a node's [`Fence`] turns away what is below, whoever
//! sends it and however late it comes. A dispatcher's [`VersionGate`] only keeps it from sending in
//! vain. No clock is in it: who hears nothing is stopped by the nodes that it reaches, and
//! where nobody has heard of a floor, nobody is shut out.

pub mod audit;
pub mod catch_up;
pub mod history;
pub mod operations;
pub mod policy;

use corkspan_quorum::{Wish, in_force, majority, to_follow};
use serde::{Deserialize, Serialize};

/// The lowest version that may act. Lowering it is a wish like any other: the later number counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinimumVersion {
    /// Of the wish.
    #[serde(rename = "number")]
    pub revision: u64,
    /// Drawn by who asks: two who ask at once with one number are told apart by it.
    #[serde(rename = "asker")]
    pub proposer: u64,
    /// Of the version. 0 is a dispatcher's own file, and what tells no version counts as that.
    #[serde(rename = "lowest")]
    pub version: u64,
}

impl Wish for MinimumVersion {
    /// There is one.
    type Matter = ();

    fn matter(&self) {}

    fn number(&self) -> u64 {
        self.revision
    }

    fn numbered(&self, number: u64) -> Self {
        MinimumVersion {
            revision: number,
            ..*self
        }
    }

    fn slots(&self) -> u32 {
        0
    }
}

fn is_newer(known: Option<MinimumVersion>, reported: MinimumVersion) -> bool {
    known.is_none_or(|known| known.revision < reported.revision)
}

/// What a node found on its disk when it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredState {
    /// The floor that it kept, if it had heard of one.
    Intact(Option<MinimumVersion>),
    /// Nothing that can be trusted. So is an empty disk, until it says that the keepers were asked
    /// and held none: a node that starts anew between the loss and the answer has not asked.
    Lost,
}

/// What a node says to a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceDecision {
    Accepted,
    /// Turned away, with the floor for who sent it.
    Fenced(MinimumVersion),
    /// The node has yet to ask the keepers.
    Unknown,
}

/// A node's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    stored: Option<MinimumVersion>,
    initialized: bool,
}

impl Fence {
    pub fn restore(disk: StoredState) -> Self {
        match disk {
            StoredState::Intact(stored) => Fence {
                stored,
                initialized: true,
            },
            StoredState::Lost => Fence {
                stored: None,
                initialized: false,
            },
        }
    }

    /// Whether a floor that it is told of is to be put on disk, for [`Fence::apply_stored`]. To be asked
    /// right before it is written: a later one may have come meanwhile.
    pub fn should_store(&self, reported: MinimumVersion) -> bool {
        is_newer(self.stored, reported)
    }

    /// It is on disk. Only now it counts: a node that turned away by a floor and forgot it would
    /// let in after.
    pub fn apply_stored(&mut self, minimum: MinimumVersion) {
        if self.should_store(minimum) {
            self.stored = Some(minimum);
        }
    }

    /// After its disk was lost: what keepers answer, and what a majority of them holds is on disk
    /// by now. False where that can't be known yet. The highest that any keeper tells will not
    /// do, though it would be the stricter: it may never come in force, and would go on from
    /// here to others as if it had.
    pub fn apply_quorum_replies(
        &mut self,
        replies: &[Option<MinimumVersion>],
        members: usize,
    ) -> bool {
        // What was ever in force stands at one at least of any majority: where none tells any,
        // there was none.
        let never = majority(replies.len(), members) && replies.iter().all(Option::is_none);
        let minimum = in_force(replies.iter().flatten(), members).copied();
        minimum
            .into_iter()
            .for_each(|minimum| self.apply_stored(minimum));
        self.initialized |= never || minimum.is_some();
        self.initialized
    }

    /// To a shot decided under this version. That of the shot, and never what is known of its
    /// sender: a shot of an earlier life may come late.
    pub fn decide(&self, version: u64) -> FenceDecision {
        match self.stored {
            _ if !self.initialized => FenceDecision::Unknown,
            Some(minimum) if version < minimum.version => FenceDecision::Fenced(minimum),
            _ => FenceDecision::Accepted,
        }
    }

    pub fn minimum(&self) -> Option<MinimumVersion> {
        self.stored
    }
}

/// A dispatcher's part: what it has heard of the floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionGate {
    minimum: Option<MinimumVersion>,
}

impl VersionGate {
    /// What keepers tell, each the wish that stands there if one does. Counts only where a majority
    /// agrees. True where it is news.
    pub fn apply_quorum_replies(
        &mut self,
        replies: &[Option<MinimumVersion>],
        members: usize,
    ) -> bool {
        in_force(replies.iter().flatten(), members)
            .copied()
            .is_some_and(|minimum| self.apply(minimum))
    }

    /// What a node has turned a shot away with: it was told of it by who had heard it of a
    /// majority.
    pub fn apply_node_report(&mut self, minimum: MinimumVersion) -> bool {
        self.apply(minimum)
    }

    fn apply(&mut self, minimum: MinimumVersion) -> bool {
        let changed = is_newer(self.minimum, minimum);
        if changed {
            self.minimum = Some(minimum);
        }
        changed
    }

    /// Told to nodes with each shot.
    pub fn minimum(&self) -> Option<MinimumVersion> {
        self.minimum
    }

    /// The floor that shuts it out under this version; none where it may act. That it hears nothing
    /// of the keepers or of the control service shuts it out of nothing.
    pub fn fenced_by(&self, running: u64) -> Option<MinimumVersion> {
        self.minimum.filter(|minimum| running < minimum.version)
    }
}

/// What a dispatcher tells of its version when it is asked before a raise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedVersion {
    pub version: u64,
    /// It may yet be given up.
    pub on_trial: bool,
}

/// Why a floor is not asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RaiseError {
    #[error("{replies} of {members} keepers answer; a majority is needed")]
    NoMajority { replies: usize, members: usize },
    #[error(
        "{adopted} of {fleet} dispatchers run version {minimum} or a later one for good; {required} are wanted"
    )]
    NotAdopted {
        adopted: usize,
        fleet: usize,
        required: usize,
        minimum: u64,
    },
    #[error("the floor is {0} already")]
    Unchanged(u64),
}

/// Whether so many of a fleet have taken a version that others may be shut out by it. `told`: of
/// each dispatcher asked, none where it did not answer; `stands`: the floor that they tell of;
/// `part` in thousandths. Lowering the floor shuts nobody out, and is never held back.
pub fn check_adoption(
    replies: &[Option<ReportedVersion>],
    current: Option<u64>,
    minimum: u64,
    permille: u32,
) -> Result<(), RaiseError> {
    if current.is_some_and(|current| current >= minimum) {
        return Ok(());
    }
    let runs = |runs: &&ReportedVersion| runs.version >= minimum && !runs.on_trial;
    let (adopted, fleet) = (replies.iter().flatten().filter(runs).count(), replies.len());
    let required = (fleet * permille.min(1_000) as usize).div_ceil(1_000);
    if adopted >= required {
        Ok(())
    } else {
        Err(RaiseError::NotAdopted {
            adopted,
            fleet,
            required,
            minimum,
        })
    }
}

/// The wish for another floor, after what the keepers tell.
pub fn propose(
    replies: &[Option<MinimumVersion>],
    members: usize,
    minimum: u64,
    proposer: u64,
) -> Result<MinimumVersion, RaiseError> {
    if !majority(replies.len(), members) {
        return Err(RaiseError::NoMajority {
            replies: replies.len(),
            members,
        });
    }
    let known: Vec<MinimumVersion> = replies.iter().flatten().copied().collect();
    if in_force(&known, members).is_some_and(|current| current.version == minimum) {
        return Err(RaiseError::Unchanged(minimum));
    }
    // A keeper that tells the last number of all leaves none above it: such a wish is not taken,
    // and takes nobody down.
    let revision = to_follow(&known, members)
        .map_or(0, |minimum| minimum.revision)
        .saturating_add(1);
    Ok(MinimumVersion {
        revision,
        proposer,
        version: minimum,
    })
}

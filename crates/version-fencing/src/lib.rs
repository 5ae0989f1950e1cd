//! What the floor of versions decides, without I/O and without a clock. docs/fleet.md says why it
//! is so.
//!
//! The floor is the lowest version of the deployment that may act: a [`Floor`], a wish at a
//! majority of keepers. It is in force where an effect would be, at the nodes: each shot tells the
//! version that it was decided under, and a node's [`Fence`] turns away what is below, whoever
//! sends it and however late it comes. A dispatcher's [`Standing`] only keeps it from sending in
//! vain. No clock is in it: who hears nothing is stopped by the nodes that it reaches, and
//! where nobody has heard of a floor, nobody is shut out.

pub mod acts;
pub mod audit;
pub mod bring;
pub mod record;
pub mod rule;

use corkspan_quorum::{Wish, in_force, majority, to_follow};
use serde::{Deserialize, Serialize};

/// The lowest version that may act. Lowering it is a wish like any other: the later number counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    /// Of the wish.
    pub number: u64,
    /// Drawn by who asks: two who ask at once with one number are told apart by it.
    pub asker: u64,
    /// Of the version. 0 is a dispatcher's own file, and what tells no version counts as that.
    pub lowest: u64,
}

impl Wish for Floor {
    /// There is one.
    type Matter = ();

    fn matter(&self) {}

    fn number(&self) -> u64 {
        self.number
    }

    fn numbered(&self, number: u64) -> Self {
        Floor { number, ..*self }
    }

    fn slots(&self) -> u32 {
        0
    }
}

fn later(known: Option<Floor>, told: Floor) -> bool {
    known.is_none_or(|known| known.number < told.number)
}

/// What a node found on its disk when it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// The floor that it kept, if it had heard of one.
    Whole(Option<Floor>),
    /// Nothing that can be trusted. So is an empty disk, until it says that the keepers were asked
    /// and held none: a node that starts anew between the loss and the answer has not asked.
    Lost,
}

/// What a node says to a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    Passes,
    /// Turned away, with the floor for who sent it.
    Below(Floor),
    /// The node has yet to ask the keepers.
    NotYet,
}

/// A node's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    kept: Option<Floor>,
    trusted: bool,
}

impl Fence {
    pub fn start(disk: Disk) -> Self {
        match disk {
            Disk::Whole(kept) => Fence {
                kept,
                trusted: true,
            },
            Disk::Lost => Fence {
                kept: None,
                trusted: false,
            },
        }
    }

    /// Whether a floor that it is told of is to be put on disk, for [`Fence::keep`]. To be asked
    /// right before it is written: a later one may have come meanwhile.
    pub fn wants(&self, told: Floor) -> bool {
        later(self.kept, told)
    }

    /// It is on disk. Only now it counts: a node that turned away by a floor and forgot it would
    /// let in after.
    pub fn keep(&mut self, on_disk: Floor) {
        if self.wants(on_disk) {
            self.kept = Some(on_disk);
        }
    }

    /// After its disk was lost: what keepers answer, and what a majority of them holds is on disk
    /// by now. False where that can't be known yet. The highest that any keeper tells will not
    /// do, though it would be the stricter: it may never come in force, and would go on from
    /// here to others as if it had.
    pub fn asked(&mut self, told: &[Option<Floor>], keepers: usize) -> bool {
        // What was ever in force stands at one at least of any majority: where none tells any,
        // there was none.
        let never = majority(told.len(), keepers) && told.iter().all(Option::is_none);
        let floor = in_force(told.iter().flatten(), keepers).copied();
        floor.into_iter().for_each(|floor| self.keep(floor));
        self.trusted |= never || floor.is_some();
        self.trusted
    }

    /// To a shot decided under this version. That of the shot, and never what is known of its
    /// sender: a shot of an earlier life may come late.
    pub fn look(&self, version: u64) -> Look {
        match self.kept {
            _ if !self.trusted => Look::NotYet,
            Some(floor) if version < floor.lowest => Look::Below(floor),
            _ => Look::Passes,
        }
    }

    pub fn floor(&self) -> Option<Floor> {
        self.kept
    }
}

/// A dispatcher's part: what it has heard of the floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    floor: Option<Floor>,
}

impl Standing {
    /// What keepers tell, each the wish that stands there if one does. Counts only where a majority
    /// agrees. True where it is news.
    pub fn keepers_tell(&mut self, told: &[Option<Floor>], keepers: usize) -> bool {
        in_force(told.iter().flatten(), keepers)
            .copied()
            .is_some_and(|floor| self.hear(floor))
    }

    /// What a node has turned a shot away with: it was told of it by who had heard it of a
    /// majority.
    pub fn node_tells(&mut self, floor: Floor) -> bool {
        self.hear(floor)
    }

    fn hear(&mut self, floor: Floor) -> bool {
        let news = later(self.floor, floor);
        if news {
            self.floor = Some(floor);
        }
        news
    }

    /// Told to nodes with each shot.
    pub fn floor(&self) -> Option<Floor> {
        self.floor
    }

    /// The floor that shuts it out under this version; none where it may act. That it hears nothing
    /// of the keepers or of the control service shuts it out of nothing.
    pub fn shut_out(&self, running: u64) -> Option<Floor> {
        self.floor.filter(|floor| running < floor.lowest)
    }
}

/// What a dispatcher tells of its version when it is asked before a raise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Runs {
    pub version: u64,
    /// It may yet be given up.
    pub on_trial: bool,
}

/// Why a floor is not asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRaised {
    #[error("{heard} of {keepers} keepers answer; a majority is needed")]
    Keepers { heard: usize, keepers: usize },
    #[error(
        "{taken} of {fleet} dispatchers run version {lowest} or a later one for good; {wanted} are wanted"
    )]
    Fleet {
        taken: usize,
        fleet: usize,
        wanted: usize,
        lowest: u64,
    },
    #[error("the floor is {0} already")]
    Stands(u64),
}

/// Whether so many of a fleet have taken a version that others may be shut out by it. `told`: of
/// each dispatcher asked, none where it did not answer; `stands`: the floor that they tell of;
/// `part` in thousandths. Lowering the floor shuts nobody out, and is never held back.
pub fn taken_by_enough(
    told: &[Option<Runs>],
    stands: Option<u64>,
    lowest: u64,
    part: u32,
) -> Result<(), NotRaised> {
    if stands.is_some_and(|stands| stands >= lowest) {
        return Ok(());
    }
    let runs = |runs: &&Runs| runs.version >= lowest && !runs.on_trial;
    let (taken, fleet) = (told.iter().flatten().filter(runs).count(), told.len());
    let wanted = (fleet * part.min(1_000) as usize).div_ceil(1_000);
    if taken >= wanted {
        Ok(())
    } else {
        Err(NotRaised::Fleet {
            taken,
            fleet,
            wanted,
            lowest,
        })
    }
}

/// The wish for another floor, after what the keepers tell.
pub fn next(
    told: &[Option<Floor>],
    keepers: usize,
    lowest: u64,
    asker: u64,
) -> Result<Floor, NotRaised> {
    if !majority(told.len(), keepers) {
        return Err(NotRaised::Keepers {
            heard: told.len(),
            keepers,
        });
    }
    let floors: Vec<Floor> = told.iter().flatten().copied().collect();
    if in_force(&floors, keepers).is_some_and(|floor| floor.lowest == lowest) {
        return Err(NotRaised::Stands(lowest));
    }
    // A keeper that tells the last number of all leaves none above it: such a wish is not taken,
    // and takes nobody down.
    let number = to_follow(&floors, keepers)
        .map_or(0, |floor| floor.number)
        .saturating_add(1);
    Ok(Floor {
        number,
        asker,
        lowest,
    })
}

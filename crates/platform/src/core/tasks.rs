//! What is kept for an allocation in hand, and what falls due for it.

use crate::ids::{LinkId, OwnerId};
use corkspan_platform_wire::client::SetUp;
use corkspan_scheduler::interface::*;

/// How far an allocation has come with its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// A final answer is owed.
    Asked,
    /// It stands: its end is owed.
    Stands,
    /// Nothing is owed any longer.
    Over,
}

/// An attempt that is out, or stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct Out {
    pub(super) number: usize,
    pub(super) machine: MachineId,
    pub(super) link: Option<LinkId>,
    pub(super) sent: Ticks,
    pub(super) until: Ticks,
    /// Its first byte has been written: from here on it may have run.
    pub(super) left: bool,
}

/// What is kept for the owner of an allocation in hand.
pub(super) struct Placing {
    pub(super) task: u64,
    pub(super) owner: OwnerId,
    pub(super) class: String,
    pub(super) name: String,
    pub(super) mark: Option<String>,
    pub(super) description: String,
    pub(super) until: Ticks,
    pub(super) stage: Stage,
    pub(super) out: Option<Out>,
    /// The connections that its attempts went on. A node's words name the task and not the
    /// attempt, so none of them may carry two.
    pub(super) links: Vec<LinkId>,
    /// Those among them on which the node itself has ended the attempt, and by which cause: of
    /// that one it has no more to say.
    pub(super) ended: Vec<(LinkId, u32)>,
}

impl Placing {
    /// One that is owed an answer, and has no attempt out.
    pub(super) fn new(owner: OwnerId, set_up: SetUp, until: Ticks) -> Placing {
        Placing {
            task: set_up.task,
            owner,
            class: set_up.class,
            name: set_up.name,
            mark: set_up.idempotency_key,
            description: set_up.description,
            until,
            stage: Stage::Asked,
            out: None,
            links: Vec::new(),
            ended: Vec::new(),
        }
    }
}

/// What falls due by the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    /// An attempt's time is up.
    Attempt(AllocationId, usize),
    /// A task that was to be cut has not been reported cut.
    Cut(AllocationId),
    Test(u64),
    /// What stood on a machine that can't be reached any longer must be told over.
    Lost(MachineId),
}

/// What came to be known while the decisions were still being asked.
pub(super) enum Deferred {
    Returned(AllocationId, usize, AttemptResult),
    Lost(AllocationId),
}

pub(super) fn sid(task: u64) -> String {
    format!("{task:016x}")
}

//! What is kept for an allocation in hand, and what falls due for it.

use crate::ids::{ClientId, ConnectionId};
use corkspan_platform_wire::client::SetUp;
use corkspan_scheduler::interface::*;

/// How far an allocation has come with its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskStage {
    /// A final answer is owed.
    Pending,
    /// It stands: its end is owed.
    Running,
    /// Nothing is owed any longer.
    Ended,
}

/// An attempt that is out, or stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) number: usize,
    pub(super) machine: MachineId,
    pub(super) connection: Option<ConnectionId>,
    pub(super) sent_at: Ticks,
    pub(super) deadline: Ticks,
    /// Its first byte has been written: from here on it may have run.
    pub(super) started: bool,
}

/// What is kept for the owner of an allocation in hand.
pub(super) struct PendingTask {
    pub(super) task: u64,
    pub(super) client: ClientId,
    pub(super) class: String,
    pub(super) name: String,
    pub(super) idempotency_key: Option<String>,
    pub(super) description: String,
    pub(super) deadline: Ticks,
    pub(super) stage: TaskStage,
    pub(super) active: Option<ActiveAttempt>,
    /// The connections that its attempts went on. A node's words name the task and not the
    /// attempt, so none of them may carry two.
    pub(super) connections: Vec<ConnectionId>,
    /// Those among them on which the node itself has ended the attempt, and by which cause: of
    /// that one it has no more to say.
    pub(super) ended: Vec<(ConnectionId, u32)>,
}

impl PendingTask {
    /// One that is owed an answer, and has no attempt out.
    pub(super) fn new(client: ClientId, set_up: SetUp, deadline: Ticks) -> PendingTask {
        PendingTask {
            task: set_up.task,
            client,
            class: set_up.class,
            name: set_up.name,
            idempotency_key: set_up.idempotency_key,
            description: set_up.description,
            deadline,
            stage: TaskStage::Pending,
            active: None,
            connections: Vec::new(),
            ended: Vec::new(),
        }
    }
}

/// What falls due by the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// An attempt's time is up.
    Attempt(AllocationId, usize),
    /// A task that was to be cut has not been reported cut.
    Stop(AllocationId),
    HealthCheck(u64),
    /// What stood on a machine that can't be reached any longer must be told over.
    Unreachable(MachineId),
}

/// What came to be known while the decisions were still being asked.
pub(super) enum DeferredEvent {
    Returned(AllocationId, usize, AttemptResult),
    Lost(AllocationId),
}

pub(super) fn task_key(task: u64) -> String {
    format!("{task:016x}")
}

//! What is kept for a task, and its timers.

use crate::ids::{ClientId, ConnectionId};
use corkspan_platform_wire::client::SetUp;
use corkspan_scheduler::interface::*;

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskStage {
    /// A final answer is due.
    Pending,
    /// It runs: its end is to be reported.
    Running,
    /// Nothing is to be reported any more.
    Ended,
}

/// An attempt that is under way, or whose task runs.
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

/// An attempt that the node itself has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    pub(super) connection: ConnectionId,
    /// The cause of the node's release.
    pub(super) cause: u32,
}

/// A health check that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthCheck {
    pub(super) machine: MachineId,
    pub(super) connection: ConnectionId,
}

/// The end of an unknown task that its node has reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct EarlyEnd {
    pub(super) reported_at: Ticks,
    pub(super) task: u64,
    pub(super) machine: MachineId,
}

/// A task from its set-up to its end.
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
    /// The connections that its attempts were sent on. A node's messages name the task and not the
    /// attempt, so none of them may carry two.
    pub(super) used_connections: Vec<ConnectionId>,
    /// Those among them on which the node itself has ended the attempt, and with which cause.
    pub(super) ended_attempts: Vec<EndedAttempt>,
}

impl PendingTask {
    /// A task that is due an answer and has no attempt under way.
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
            used_connections: Vec::new(),
            ended_attempts: Vec::new(),
        }
    }

    /// The node itself has ended the active attempt.
    pub(super) fn end_attempt(&mut self, connection: ConnectionId, cause: u32) {
        self.active = None;
        self.ended_attempts.push(EndedAttempt { connection, cause });
    }
}

/// What happens at a set time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// An attempt's time is up.
    Attempt(AllocationId, usize),
    /// A task that was to be stopped has not been reported as stopped.
    Stop(AllocationId),
    HealthCheck(u64),
    /// The tasks on a machine that can't be reached any longer must be reported as ended.
    Unreachable(MachineId),
}

/// What became known while the engine was still being called.
pub(super) enum DeferredEvent {
    Returned(AllocationId, usize, AttemptResult),
    Lost(AllocationId),
}

pub(super) fn task_key(task: u64) -> String {
    format!("{task:016x}")
}

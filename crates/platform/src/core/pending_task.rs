//! The records of a task and its attempts, and the timers.

use super::limits::{HAND_OVER_TRANSIT, TICKS_PER_MS};
use crate::ids::{ClientId, ConnectionId};
use crate::task_end::TaskEnd;
use corkspan_platform_wire::client::SetUp;
use corkspan_platform_wire::node::{self, AttributeValue};
use corkspan_scheduler::interface::*;

/// The stage of a task's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskStage {
    /// The client waits for a final answer.
    Pending,
    /// The task runs, and its end must be reported to the client.
    Running,
    /// Nothing more must be reported to the client.
    Ended,
}

/// An attempt that is in progress or whose task runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) number: usize,
    pub(super) machine: MachineId,
    pub(super) connection: Option<ConnectionId>,
    pub(super) sent_at: Ticks,
    pub(super) deadline: Ticks,
    /// Whether the first byte of the set-up has been written, so that the task may have run.
    pub(super) started: bool,
}

/// An attempt that the node itself has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    pub(super) machine: MachineId,
    pub(super) connection: ConnectionId,
    /// The cause of the node's release.
    pub(super) cause: u32,
}

/// The reported end of a task that is unknown here.
#[derive(Clone, Copy, Debug)]
pub(super) struct EarlyEnd {
    pub(super) reported_at: Ticks,
    pub(super) machine: MachineId,
    pub(super) end: TaskEnd,
}

/// A task, kept from its set-up to its end.
pub(super) struct PendingTask {
    pub(super) task: u64,
    pub(super) client: ClientId,
    pub(super) class: String,
    pub(super) name: String,
    pub(super) idempotency_key: Option<String>,
    pub(super) description: String,
    /// The bytes that the set-up counts for while it is open.
    pub(super) counted_bytes: usize,
    pub(super) deadline: Ticks,
    /// Whether the task was handed over, and its node has reported nothing of it yet.
    pub(super) unconfirmed: bool,
    pub(super) stage: TaskStage,
    pub(super) active: Option<ActiveAttempt>,
    /// The connections on which attempts were written, or may still be. A node's messages name the task
    /// and not the attempt, so no two attempts at a task may use the same connection.
    pub(super) used_connections: Vec<ConnectionId>,
    /// The attempts that the node itself has ended, each on one of these connections.
    pub(super) ended_attempts: Vec<EndedAttempt>,
}

impl PendingTask {
    /// Creates a task that waits for an answer and has no active attempt.
    pub(super) fn new(client: ClientId, set_up: SetUp, deadline: Ticks) -> PendingTask {
        PendingTask {
            counted_bytes: 0,
            task: set_up.task,
            client,
            class: set_up.class,
            name: set_up.name,
            idempotency_key: set_up.idempotency_key,
            description: set_up.description,
            deadline,
            unconfirmed: false,
            stage: TaskStage::Pending,
            active: None,
            used_connections: Vec::new(),
            ended_attempts: Vec::new(),
        }
    }

    /// Ends the record of a running task, and returns one of the same task on another machine.
    pub(super) fn take_running_task(&mut self, machine: MachineId) -> Option<PendingTask> {
        let active = self.active.take()?;
        self.stage = TaskStage::Ended;
        Some(PendingTask {
            task: self.task,
            client: self.client,
            class: String::new(),
            name: String::new(),
            idempotency_key: None,
            description: String::new(),
            counted_bytes: 0,
            deadline: self.deadline,
            unconfirmed: false,
            stage: TaskStage::Running,
            active: Some(ActiveAttempt {
                number: 0,
                machine,
                connection: None,
                ..active
            }),
            used_connections: Vec::new(),
            ended_attempts: Vec::new(),
        })
    }

    /// Drops what only further attempts need, and returns the bytes that it counted for.
    pub(super) fn release_content(&mut self) -> usize {
        self.class = String::new();
        self.name = String::new();
        self.idempotency_key = None;
        self.description = String::new();
        std::mem::take(&mut self.counted_bytes)
    }

    /// Returns the message that sends the set-up to a node, which is told how much longer its answer
    /// is waited for.
    pub(super) fn open_message(&self, left: Ticks) -> node::Message {
        let text = |text: &str| AttributeValue::Text(text.into());
        let mut message = node::Message::new(node::MessageType::Open, self.task);
        let attributes = &mut message.attributes;
        attributes.insert("class".into(), text(&self.class));
        attributes.insert("key".into(), text(&self.name));
        attributes.insert("left".into(), text(&(left / TICKS_PER_MS).to_string()));
        if let Some(key) = &self.idempotency_key {
            attributes.insert("idem".into(), text(key));
        }
        message.text = Some(self.description.clone());
        message
    }

    /// Returns the time since when the task has stood at its node, as far as is known. One that was
    /// handed over, and of which its node has reported nothing, may have been late on the way.
    pub(super) fn stood_at(&self) -> Ticks {
        let sent_at = self.active.map_or(0, |active| active.sent_at);
        if self.unconfirmed {
            sent_at.saturating_sub(HAND_OVER_TRANSIT)
        } else {
            sent_at
        }
    }

    /// Records that an attempt has ended before anything of it was written. The node knows nothing of it, so
    /// what it reports on that connection can't be about it.
    pub(super) fn forget_unwritten(&mut self, attempt: ActiveAttempt) {
        if !attempt.started {
            self.used_connections
                .retain(|&used| attempt.connection != Some(used));
        }
    }

    /// Records that the node itself has ended the active attempt.
    pub(super) fn end_attempt(&mut self, connection: ConnectionId, cause: u32) {
        if let Some(ended) = self.active.take() {
            self.ended_attempts.push(EndedAttempt {
                machine: ended.machine,
                connection,
                cause,
            });
        }
    }

    /// Returns whether a release shows that the task has stood at a machine: it does not arrive on the
    /// connection of a set-up, and is no copy of the release of one.
    pub(super) fn shows_placement(
        &self,
        machine: MachineId,
        connection: ConnectionId,
        cause: u32,
    ) -> bool {
        let mut ended_attempts = self.ended_attempts.iter();
        let is_copy = ended_attempts.any(|ended| (ended.machine, ended.cause) == (machine, cause));
        !is_copy && !self.used_connections.contains(&connection)
    }
}

/// An action that is due at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The deadline of an attempt.
    Attempt(AllocationId, usize),
    /// The time when a task counts as stopped even if its node has not reported it.
    Stop(AllocationId),
    /// The timeout of a health check.
    HealthCheck(u64),
    /// The time when the tasks that were sent to a machine before it refused a connection must be
    /// reported as ended, [`UNREACHABLE_TIMEOUT`](super::UNREACHABLE_TIMEOUT) after the refusal.
    Unreachable(MachineId),
}

/// An event that occurred during a call to the engine and is handled after it.
pub(super) enum DeferredEvent {
    Returned(AllocationId, usize, AttemptResult),
    Lost(AllocationId),
}

pub(super) fn task_key(task: u64) -> String {
    format!("{task:016x}")
}

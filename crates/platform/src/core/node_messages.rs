//! Handles the messages of nodes.

use super::pending_task::{ActiveAttempt, PendingTask, TaskStage, task_key};
use super::*;
use corkspan_engine::ReturnedAttempt;
use corkspan_platform_wire::node::AttributeValue;
use corkspan_platform_wire::{client, parse_load_report};
use tracing::{debug, trace};

/// The connection, machine and task of a node's message.
#[derive(Clone, Copy)]
pub(super) struct MessageOrigin {
    pub(super) connection: ConnectionId,
    pub(super) machine: MachineId,
    pub(super) task: u64,
}

/// The cause of a release by a node.
#[derive(Clone, Copy)]
pub(super) enum ReleaseCause {
    Normal,
    Cancelled,
    Rejected,
    Failed,
    NotSent,
    Other,
}

impl From<u32> for ReleaseCause {
    fn from(cause: u32) -> ReleaseCause {
        match u8::try_from(cause) {
            Ok(client::CAUSE_NORMAL) => ReleaseCause::Normal,
            Ok(client::CAUSE_CANCELLED) => ReleaseCause::Cancelled,
            Ok(client::CAUSE_REJECTED) => ReleaseCause::Rejected,
            Ok(client::CAUSE_FAILED) => ReleaseCause::Failed,
            Ok(client::CAUSE_NOT_SENT) => ReleaseCause::NotSent,
            _ => ReleaseCause::Other,
        }
    }
}

impl ReleaseCause {
    /// Returns the result of the attempt if the node had not answered before.
    fn attempt_result(self) -> AttemptResult {
        match self {
            ReleaseCause::Rejected => AttemptResult::Rejected,
            ReleaseCause::Failed => AttemptResult::Error,
            ReleaseCause::NotSent => AttemptResult::NotSent,
            // These follow an answer, so it was lost.
            ReleaseCause::Normal => AttemptResult::Completed,
            ReleaseCause::Cancelled => AttemptResult::Cancelled,
            ReleaseCause::Other => AttemptResult::Reset,
        }
    }

    /// Returns the result of the task if it was running.
    pub(super) fn task_result(self) -> AttemptResult {
        match self {
            ReleaseCause::Normal => AttemptResult::Completed,
            ReleaseCause::Cancelled => AttemptResult::Cancelled,
            ReleaseCause::Rejected
            | ReleaseCause::Failed
            | ReleaseCause::NotSent
            | ReleaseCause::Other => AttemptResult::Reset,
        }
    }

    /// Returns whether the cause is defined only before the node has answered.
    pub(super) fn is_rejection(self) -> bool {
        matches!(
            self,
            ReleaseCause::Rejected | ReleaseCause::Failed | ReleaseCause::NotSent
        )
    }
}

/// The attempt that a node's message is about.
struct MatchedAttempt {
    id: AllocationId,
    active: ActiveAttempt,
    stage: TaskStage,
    /// Whether the message is about an earlier attempt, whose outcome does not apply to the active
    /// one.
    is_earlier: bool,
}

impl MatchedAttempt {
    /// Returns whether a release on this connection is about the attempt. Before the answer a node sends it
    /// on the connection of the set-up.
    fn is_about_attempt(&self, connection: ConnectionId) -> bool {
        self.stage != TaskStage::Pending || self.active.connection == Some(connection)
    }

    fn awaits_answer_on(&self, connection: ConnectionId) -> bool {
        self.stage == TaskStage::Pending && self.active.connection == Some(connection)
    }
}

impl PlatformState {
    /// Handles a message of a node. Returns false if its connection must be closed.
    pub(super) fn handle_node_message(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        connection: ConnectionId,
        machine: MachineId,
        message: node::Message,
    ) -> bool {
        let Some(task) = message.task_id else {
            return true;
        };
        let is_refused_check = message.message_type == node::MessageType::Close
            && self.health_checks.contains_key(&task);
        if message.message_type == node::MessageType::Probed || is_refused_check {
            self.handle_health_check_reply(now, engine, task, &message);
            return true;
        }
        if matches!(
            message.message_type,
            node::MessageType::Close | node::MessageType::Closed
        ) {
            self.unconfirmed_stops.confirm(machine, task);
        }
        let origin = MessageOrigin {
            connection,
            machine,
            task,
        };
        let matched = self.match_attempt(engine, origin, &message);
        if matched.as_ref().is_some_and(|matched| matched.is_earlier) {
            debug!(task = task_key(task), ?machine, ?message.message_type, "ignoring a message about an earlier attempt");
            return true;
        }
        if let Some(matched) = &matched {
            self.confirm_task(engine, matched.id);
        }
        self.handle_task_message(now, engine, origin, matched, message)
    }

    /// Records that a node has reported something of a task.
    fn confirm_task(&mut self, engine: &mut Engine<PendingTask>, id: AllocationId) {
        if let Some((pending, _)) = engine.data_mut(id)
            && std::mem::take(&mut pending.unconfirmed)
        {
            self.unconfirmed_tasks.remove(pending.client, id);
        }
    }

    /// Handles a message about a known or unknown task. Returns false if its connection must be
    /// closed.
    fn handle_task_message(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        origin: MessageOrigin,
        matched: Option<MatchedAttempt>,
        message: node::Message,
    ) -> bool {
        let MessageOrigin {
            connection,
            machine,
            task,
        } = origin;
        match (message.message_type, matched) {
            (node::MessageType::Ready, Some(matched)) if matched.awaits_answer_on(connection) => {
                let Some(description) = message.text else {
                    return false;
                };
                self.attempt_ready(now, engine, matched.id, matched.active, &description);
            }
            // The task was cancelled in the meantime, so the node must end it.
            (node::MessageType::Ready, None) => self.send_close(connection, task),
            (node::MessageType::Close, matched) => {
                self.handle_close(now, engine, origin, matched, &message);
            }
            (node::MessageType::Closed, Some(matched)) if matched.stage == TaskStage::Ended => {
                self.task_ended(
                    now,
                    engine,
                    matched.id,
                    AttemptResult::Cancelled,
                    None,
                    None,
                );
            }
            (node::MessageType::Event, Some(matched)) if matched.stage != TaskStage::Pending => {
                if let Some(metric) = parse_metric(&message) {
                    trace!(
                        task = task_key(task),
                        ?machine,
                        ?metric,
                        "recorded a metric"
                    );
                    engine.record_metric(now, matched.id, metric);
                }
            }
            _ => {}
        }
        true
    }

    /// Returns the attempt that a message is about, or `None` if the task is unknown or assigned to
    /// another node.
    fn match_attempt(
        &self,
        engine: &mut Engine<PendingTask>,
        origin: MessageOrigin,
        message: &node::Message,
    ) -> Option<MatchedAttempt> {
        let MessageOrigin {
            connection,
            machine,
            task,
        } = origin;
        let id = engine.find(&task_key(task))?;
        let (pending, _) = engine.data_mut(id)?;
        let active = pending.active.filter(|active| active.machine == machine)?;
        let is_running = pending.stage != TaskStage::Pending;
        // If the connection of a task's set-up has ended, its node sends messages about the task on
        // any open connection, even on one on which an earlier attempt at the same task ended. A
        // release there with the cause of that earlier attempt can only be a copy of the earlier
        // release.
        let connection_lost = is_running
            && !active
                .connection
                .is_some_and(|connection| self.connections.is_established(connection));
        let ended_here = pending
            .ended_attempts
            .iter()
            .find(|ended_here| ended_here.connection == connection);
        let is_about_this_attempt = connection_lost
            && ended_here.is_some_and(|ended_here| match message.message_type {
                node::MessageType::Close => message.cause != Some(ended_here.cause),
                message_type => message_type == node::MessageType::Event,
            });
        Some(MatchedAttempt {
            id,
            active,
            stage: pending.stage,
            is_earlier: active.connection != Some(connection)
                && pending.used_connections.contains(&connection)
                && !is_about_this_attempt,
        })
    }

    /// Handles a release by a node: the end of an attempt, of a running task or of an unknown task.
    fn handle_close(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        origin: MessageOrigin,
        matched: Option<MatchedAttempt>,
        message: &node::Message,
    ) {
        let (machine, task) = (origin.machine, origin.task);
        let closed = node::Message::new(node::MessageType::Closed, task);
        self.connections.send(origin.connection, &closed);
        let (cause, load) = (message.cause.unwrap_or(0), parse_load(message));
        let stage = matched.as_ref().map(|matched| matched.stage);
        let note = message.attribute("note");
        debug!(
            task = task_key(task),
            ?machine,
            connection = origin.connection.0,
            cause,
            ?stage,
            ?note,
            ?load,
            "closed by its node"
        );
        let (release_cause, reason) = (ReleaseCause::from(cause), parse_reason(message));
        let Some(MatchedAttempt {
            id, active, stage, ..
        }) = matched.filter(|matched| {
            release_cause.is_rejection() || matched.is_about_attempt(origin.connection)
        })
        else {
            return self.handle_unmatched_end(now, engine, origin, cause, reason);
        };
        if stage != TaskStage::Pending {
            let result = release_cause.task_result();
            self.task_ended(now, engine, id, result, reason, load);
            if release_cause.is_rejection() {
                // The node rejected the task after answering it. The client has been notified that
                // the task has ended, so the node must end it.
                self.send_close(origin.connection, task);
            }
            return;
        }
        if let Some((pending, _)) = engine.data_mut(id) {
            pending.end_attempt(origin.connection, cause);
        }
        self.clear_attempt(now, id, active);
        let result = release_cause.attempt_result();
        engine.attempt_returned(
            now,
            id,
            active.number,
            ReturnedAttempt {
                result,
                reason,
                finished: false,
                report: load,
            },
            self,
        );
    }
}

fn parse_metric(message: &node::Message) -> Option<Metric> {
    let value = message.attribute("value").and_then(AttributeValue::number);
    Some(
        match (
            message.attribute("note").and_then(AttributeValue::text)?,
            value,
        ) {
            ("running", _) => Metric::Running,
            ("use_cpu", Some(value)) => Metric::Cores(value),
            ("use_ram", Some(value)) => Metric::Memory(value),
            ("health", Some(value)) => Metric::ServiceLevel(value),
            ("ram_high", Some(value)) => Metric::MachineMemory(value),
            _ => return None,
        },
    )
}

pub(super) fn parse_load(message: &node::Message) -> Option<LoadReport> {
    let pairs = parse_load_report(message.attribute("load")?.text()?).ok()?;
    let value = |name| {
        pairs
            .iter()
            .find(|(other, _)| *other == name)
            .map(|&(_, value)| value)
    };
    Some(LoadReport {
        available: Resources {
            cores: value("x0")?,
            memory: value("x1")?,
        },
    })
}

fn parse_reason(message: &node::Message) -> Option<ReturnReason> {
    Some(match message.attribute("note")?.text()? {
        "lack_cpu" => ReturnReason::NoCores,
        "lack_ram" => ReturnReason::NoMemory,
        "backlog" => ReturnReason::QueueFull,
        "unfit" => ReturnReason::Unfit,
        "killed" => ReturnReason::Evicted,
        "displaced" => ReturnReason::Preempted,
        "dismissed" => ReturnReason::Migrated,
        _ => return None,
    })
}

//! Messages of nodes.

use super::pending_task::{ActiveAttempt, PendingTask, TaskStage, task_key};
use super::*;
use corkspan_engine::ReturnedAttempt;
use corkspan_platform_wire::node::AttributeValue;
use corkspan_platform_wire::{client, parse_load_report};
use tracing::debug;

/// Where a node's message came from, and the task that it is about.
#[derive(Clone, Copy)]
struct MessageOrigin {
    connection: ConnectionId,
    machine: MachineId,
    task: u64,
}

/// The cause of a node's release.
#[derive(Clone, Copy)]
enum End {
    Normal,
    Cancelled,
    Rejected,
    Failed,
    NotSent,
    Other,
}

impl From<u32> for End {
    fn from(cause: u32) -> End {
        match u8::try_from(cause) {
            Ok(client::CAUSE_NORMAL) => End::Normal,
            Ok(client::CAUSE_CANCELLED) => End::Cancelled,
            Ok(client::CAUSE_REJECTED) => End::Rejected,
            Ok(client::CAUSE_FAILED) => End::Failed,
            Ok(client::CAUSE_NOT_SENT) => End::NotSent,
            _ => End::Other,
        }
    }
}

impl End {
    /// What it means before the node has answered.
    fn of_attempt(self) -> AttemptResult {
        match self {
            End::Rejected => AttemptResult::Rejected,
            End::Failed => AttemptResult::Error,
            End::NotSent => AttemptResult::NotSent,
            End::Normal | End::Cancelled | End::Other => AttemptResult::Reset,
        }
    }

    /// What it means once the task runs.
    fn of_running_task(self) -> AttemptResult {
        match self {
            End::Normal => AttemptResult::Completed,
            End::Cancelled => AttemptResult::Cancelled,
            End::Rejected | End::Failed | End::NotSent | End::Other => AttemptResult::Reset,
        }
    }

    /// It means something only before the node has answered.
    fn is_rejection(self) -> bool {
        matches!(self, End::Rejected | End::Failed | End::NotSent)
    }
}

/// The attempt that a node's message is about.
struct MatchedAttempt {
    id: AllocationId,
    active: ActiveAttempt,
    stage: TaskStage,
    /// The message is about an earlier attempt, which was withdrawn: what became of that one says
    /// nothing about this one.
    earlier: bool,
}

impl MatchedAttempt {
    fn awaits_answer_on(&self, connection: ConnectionId) -> bool {
        self.stage == TaskStage::Pending && self.active.connection == Some(connection)
    }
}

impl PlatformState {
    /// Handles a message of a node. False where its connection is to be closed.
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
        if message.message_type == node::MessageType::Probed {
            self.handle_health_check_reply(now, engine, task, &message);
            return true;
        }
        let origin = MessageOrigin {
            connection,
            machine,
            task,
        };
        let matched = self.matched_attempt(engine, origin, &message);
        if matched.as_ref().is_some_and(|matched| matched.earlier) {
            debug!(task = task_key(task), ?machine, ?message.message_type, "a message about an earlier attempt");
            return true;
        }
        self.handle_for_task(now, engine, origin, matched, message)
    }

    /// Handles a message about a task, or about none that is known.
    fn handle_for_task(
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
            // One that was cancelled meanwhile: nobody waits for it.
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
                if let Some(metric) = metric(&message) {
                    debug!(task = task_key(task), ?machine, ?metric, "noted");
                    engine.record_metric(now, matched.id, metric);
                }
            }
            _ => {}
        }
        true
    }

    /// A node has replied to a health check.
    fn handle_health_check_reply(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        check: u64,
        message: &node::Message,
    ) {
        let Some(HealthCheck { machine, .. }) = self.health_checks.remove(&check) else {
            return;
        };
        self.timers
            .retain(|(_, timer)| *timer != Timer::HealthCheck(check));
        let ending = if message.cause == Some(1) {
            AttemptResult::Completed
        } else {
            AttemptResult::Error
        };
        engine.record_health_check(now, machine, ending, load(message));
    }

    /// The attempt that a message is about; none where its task is unknown here or on another node.
    fn matched_attempt(
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
        // Where the connection of its set-up has ended, a node reports on a task on any that is
        // open, also on one on which an earlier attempt at the same task ended. That attempt's
        // cause can only be a copy of its release.
        let moved = is_running
            && !active
                .connection
                .is_some_and(|own| self.connections.is_established(own));
        let ended = pending
            .ended
            .iter()
            .find(|ended| ended.connection == connection);
        let of_this_attempt = moved
            && ended.is_some_and(|ended| match message.message_type {
                node::MessageType::Close => message.cause != Some(ended.cause),
                kind => kind == node::MessageType::Event,
            });
        Some(MatchedAttempt {
            id,
            active,
            stage: pending.stage,
            earlier: active.connection != Some(connection)
                && pending.connections.contains(&connection)
                && !of_this_attempt,
        })
    }

    /// Handles a release: the end of an attempt, of a running task, or of an unknown one.
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
        let (cause, load) = (message.cause.unwrap_or(0), load(message));
        let stage = matched.as_ref().map(|matched| matched.stage);
        let note = message.attribute("note");
        debug!(
            task = task_key(task),
            ?machine,
            cause,
            ?stage,
            ?note,
            ?load,
            "closed by its node"
        );
        let Some(MatchedAttempt {
            id, active, stage, ..
        }) = matched
        else {
            return self.remember_early_end(now, task, machine);
        };
        let (end, reason) = (End::from(cause), reason(message));
        if stage != TaskStage::Pending {
            let result = end.of_running_task();
            self.task_ended(now, engine, id, result, reason, load);
            if end.is_rejection() {
                // A rejection after an answer: the client has been notified that the task has ended, so
                // it must end.
                self.send_close(origin.connection, task);
            }
            return;
        }
        if let Some((pending, _)) = engine.data_mut(id) {
            pending.end_attempt(origin.connection, cause);
        }
        self.attempt_returned(now, id, active);
        let result = end.of_attempt();
        engine.attempt_returned(
            now,
            id,
            active.number,
            ReturnedAttempt {
                ending: result,
                reason,
                finished: false,
                report: load,
            },
            self,
        );
    }
}

fn metric(message: &node::Message) -> Option<Metric> {
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

fn load(message: &node::Message) -> Option<LoadReport> {
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

fn reason(message: &node::Message) -> Option<ReturnReason> {
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

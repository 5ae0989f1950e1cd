//! The end of a running task, as its client is notified of it.

use corkspan_platform_wire::client::{self, MessageType};
use corkspan_scheduler::interface::AttemptResult;

/// The way in which a running task ends for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEndKind {
    /// The task has come to its end.
    Completed,
    /// The task was interrupted.
    Interrupted,
    /// The client must set the task up again elsewhere.
    Migrated,
}

/// The end of a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskEnd {
    /// The id of the task, assigned by its client.
    pub task: u64,
    pub kind: TaskEndKind,
}

impl TaskEnd {
    /// Creates the end of a task whose last attempt has this result.
    pub fn new(task: u64, result: AttemptResult) -> TaskEnd {
        let kind = match result {
            AttemptResult::Completed => TaskEndKind::Completed,
            _ => TaskEndKind::Interrupted,
        };
        TaskEnd { task, kind }
    }

    /// Encodes the message that notifies the client.
    pub fn encode(self) -> Option<Vec<u8>> {
        let release = |cause| {
            client::encode(
                MessageType::Release,
                self.task,
                &[(client::CAUSE, &[cause])],
            )
        };
        match self.kind {
            TaskEndKind::Completed => release(client::CAUSE_NORMAL),
            TaskEndKind::Interrupted => release(client::CAUSE_INTERRUPTED),
            TaskEndKind::Migrated => client::encode(MessageType::Migrate, self.task, &[]),
        }
    }
}

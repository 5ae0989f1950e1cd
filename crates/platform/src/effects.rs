//! Carries out the core's effects by tasks of the process.

use crate::core::{Effects, NewConnection};
use crate::handle::PlatformHandle;
use crate::node_connection_task;
use async_lock::Semaphore;
use corkspan_runtime::SharedExecutor;
use corkspan_runtime::clock::Clock;
use corkspan_scheduler::interface::Ticks;
use std::sync::{Arc, Weak};
use std::time::Instant;

/// The channels that wake the waiting tasks.
pub struct WakeSenders {
    pub timer: async_channel::Sender<Instant>,
    pub watch_endpoint_list: async_channel::Sender<()>,
    /// Wakes the task that places waiting set-ups.
    pub run_turn: async_channel::Sender<()>,
}

/// Effects that are carried out by tasks of an executor.
pub struct TaskEffects {
    pub handle: Weak<PlatformHandle>,
    pub clock: Clock,
    pub tasks: SharedExecutor,
    pub wake_senders: WakeSenders,
    /// The descriptor permits of connections to nodes.
    pub node_permits: Arc<Semaphore>,
}

impl Effects for TaskEffects {
    fn connect(&self, connection: NewConnection) {
        // The handle is gone while the process ends, and no connection is needed any more.
        if let Some(handle) = self.handle.upgrade() {
            let budget = Arc::clone(&self.node_permits);
            self.tasks
                .spawn(node_connection_task::run(handle, connection, budget))
                .detach();
        }
    }

    fn watch_endpoint_list(&self) {
        // A full channel means that the watch is already requested.
        let _ = self.wake_senders.watch_endpoint_list.try_send(());
    }

    fn arm_timer(&self, at: Ticks) {
        let _ = self.wake_senders.timer.force_send(self.clock.instant(at));
    }

    fn request_turn(&self) {
        // A full channel means that a turn is already requested.
        let _ = self.wake_senders.run_turn.try_send(());
    }
}

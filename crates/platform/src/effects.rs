//! The core's effects, carried out by tasks of the process.

use crate::core::{Effects, NewConnection};
use crate::handle::PlatformHandle;
use crate::node_connection_task;
use async_lock::Semaphore;
use corkspan_runtime::SharedExecutor;
use corkspan_runtime::clock::Clock;
use corkspan_scheduler::interface::Ticks;
use std::sync::{Arc, Weak};
use std::time::Instant;

/// Wakes the tasks that wait to be called for.
pub struct WakeSenders {
    pub timer: async_channel::Sender<Instant>,
    pub watch_list: async_channel::Sender<()>,
    /// Some set-ups wait for a turn.
    pub run_turn: async_channel::Sender<()>,
}

/// Carries out effects by tasks of an executor.
pub struct TaskEffects {
    pub handle: Weak<PlatformHandle>,
    pub clock: Clock,
    pub tasks: SharedExecutor,
    pub wakes: WakeSenders,
    /// The descriptors of connections to nodes.
    pub node_budget: Arc<Semaphore>,
}

impl Effects for TaskEffects {
    fn connect(&self, connection: NewConnection) {
        // None while the process ends: there is nobody to report to.
        if let Some(handle) = self.handle.upgrade() {
            let budget = Arc::clone(&self.node_budget);
            self.tasks
                .spawn(node_connection_task::run(handle, connection, budget))
                .detach();
        }
    }

    fn watch_list(&self) {
        // Full: it has been called for already.
        let _ = self.wakes.watch_list.try_send(());
    }

    fn arm_timer(&self, at: Ticks) {
        let _ = self.wakes.timer.force_send(self.clock.instant(at));
    }

    fn request_turn(&self) {
        // Full: a turn has been called for already.
        let _ = self.wakes.run_turn.try_send(());
    }
}

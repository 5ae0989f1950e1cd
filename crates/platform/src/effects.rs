//! What the core asks of the outside, done by tasks of the process.

use crate::core::{Effects, NewConnection};
use crate::handle::Desk;
use crate::links;
use async_lock::Semaphore;
use corkspan_runtime::Tasks;
use corkspan_runtime::clock::Clock;
use corkspan_scheduler::interface::Ticks;
use std::sync::{Arc, Weak};
use std::time::Instant;

/// The ways to the tasks that wait to be called for.
pub struct Calls {
    pub wakes: async_channel::Sender<Instant>,
    pub watches: async_channel::Sender<()>,
    /// Some wait for their turn.
    pub turns: async_channel::Sender<()>,
}

pub struct TaskEffects {
    pub desk: Weak<Desk>,
    pub clock: Clock,
    pub tasks: Tasks,
    pub calls: Calls,
    /// The descriptors of connections to nodes.
    pub node_places: Arc<Semaphore>,
}

impl Effects for TaskEffects {
    fn connect(&self, connection: NewConnection) {
        // None while the process ends: nobody is left to be told of the connection.
        if let Some(desk) = self.desk.upgrade() {
            let places = Arc::clone(&self.node_places);
            self.tasks
                .spawn(links::run(desk, connection, places))
                .detach();
        }
    }

    fn watch_list(&self) {
        // Full: one is asked for already.
        let _ = self.calls.watches.try_send(());
    }

    fn arm_timer(&self, at: Ticks) {
        let _ = self.calls.wakes.force_send(self.clock.instant(at));
    }

    fn request_turn(&self) {
        // Full: the turn is called for already.
        let _ = self.calls.turns.try_send(());
    }
}

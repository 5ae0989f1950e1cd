//! Records to which nodes a further connection must be opened.
//!
//! A node writes the release of a task on the connection of its set-up, or on any open one, and
//! writes it again on the next connection that is opened to it. If the connection was of no more
//! use, the release arrives only with that next one, so it must be opened even if others are open.

use crate::ids::ConnectionId;
use corkspan_scheduler::interface::{MachineId, Ticks};
use std::collections::BTreeMap;

/// A connection that must be opened.
#[derive(Clone, Copy, Debug)]
struct Reconnect {
    /// The newest connection at the time of the request, which only a later one fulfils.
    after: ConnectionId,
    due_at: Ticks,
}

/// The connections that must be opened, at most one for each machine.
#[derive(Default)]
pub struct Reconnects {
    requested: BTreeMap<MachineId, Reconnect>,
}

impl Reconnects {
    /// Requests that a connection later than `after` be opened, once it is due.
    pub fn request(&mut self, machine: MachineId, after: ConnectionId, due_at: Ticks) {
        let reconnect = self
            .requested
            .entry(machine)
            .or_insert(Reconnect { after, due_at });
        reconnect.after = reconnect.after.max(after);
        reconnect.due_at = reconnect.due_at.max(due_at);
    }

    /// Records that a connection could not be established: if it was requested, the next one is due
    /// at `due_at`.
    pub fn failed(&mut self, machine: MachineId, due_at: Ticks) {
        if let Some(reconnect) = self.requested.get_mut(&machine) {
            reconnect.due_at = reconnect.due_at.max(due_at);
        }
    }

    /// Records that a connection is established, which may fulfil the request.
    pub fn established(&mut self, machine: MachineId, id: ConnectionId) {
        if self
            .requested
            .get(&machine)
            .is_some_and(|reconnect| reconnect.after < id)
        {
            self.requested.remove(&machine);
        }
    }

    /// Removes the request for a machine.
    pub fn cancel(&mut self, machine: MachineId) {
        self.requested.remove(&machine);
    }

    /// Returns the machines to which a connection is due, each with the time since when.
    pub fn due(&self, now: Ticks) -> Vec<(MachineId, Ticks)> {
        let requested = self.requested.iter();
        requested
            .filter(|(_, reconnect)| reconnect.due_at <= now)
            .map(|(&machine, reconnect)| (machine, reconnect.due_at))
            .collect()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.requested.len()
    }
}

//! Applies changes to the list of nodes.

use super::pending_task::PendingTask;
use super::*;
use tracing::info;

impl PlatformState {
    /// Closes the connections to a node that has another address now. What is established at the
    /// former one may be another node, so nothing more is written there.
    fn close_connections_to_former_address(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        machine: MachineId,
    ) {
        info!(?machine, "a node has another address");
        for connection in self.connections.all_to(machine) {
            self.remove_connection(now, engine, connection, ConnectionEnd::NotAttempted);
        }
    }

    /// Applies a change to the list of nodes, unless it was applied before.
    pub(super) fn apply_event(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        event: Event,
    ) {
        if event.number <= self.last_event {
            return;
        }
        self.last_event = event.number;
        let Some(list) = event.list else { return };
        let change = self.nodes.apply_list(&list, &self.settings);
        let scope = if change.complete {
            ListUpdate::Complete
        } else {
            ListUpdate::Incremental
        };
        engine.apply_endpoint_list(scope, &change.endpoints);
        for machine in change.gone {
            info!(?machine, "a node is gone");
            self.machine_lost(now, engine, machine, Ticks::MAX);
            for connection in self.connections.all_to(machine) {
                self.remove_connection(now, engine, connection, ConnectionEnd::ConnectTimeout);
            }
            self.timers
                .retain(|(_, timer)| *timer != Timer::Unreachable(machine));
            self.connections.forget_machine(machine);
            self.nodes.remove_node(machine);
        }
        for machine in change.moved {
            self.close_connections_to_former_address(now, engine, machine);
        }
        for (machine, started) in change.restarted {
            self.machine_lost(now, engine, machine, started);
        }
    }
}

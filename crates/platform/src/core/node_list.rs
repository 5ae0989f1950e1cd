//! Changes to the list of nodes.

use super::tasks::Placing;
use super::*;
use tracing::info;

impl Port {
    /// A change to the list of nodes, once each.
    pub(super) fn apply(&mut self, now: Ticks, host: &mut Host<Placing>, event: Event) {
        if event.number <= self.last_event {
            return;
        }
        self.last_event = event.number;
        let Some(members) = event.list else { return };
        let listed = self.nodes.listed(&members, &self.facts);
        let scope = if listed.whole {
            ListUpdate::Complete
        } else {
            ListUpdate::Incremental
        };
        host.listed(scope, &listed.entries);
        for machine in listed.gone {
            info!(?machine, "a node has gone");
            self.machine_lost(now, host, machine, Ticks::MAX);
            for link in self.links.all_of(machine) {
                self.drop_link(now, host, link, End::NotUp);
            }
            self.nodes.forget(machine);
        }
        for (machine, started) in listed.restarted {
            self.machine_lost(now, host, machine, started);
        }
    }
}

//! Writes the engine's effects as the lines of a reply.

use corkspan_engine::Effects;
use corkspan_scheduler::interface::*;
use std::fmt::Write;

/// Number of microseconds per tick of the scheduler.
const MICROSECONDS_PER_TICK: Ticks = 100;

/// The lines of a reply. The engine stores each allocation with its name in the protocol.
pub struct ReplyLines<'a>(pub &'a mut String);

impl ReplyLines<'_> {
    /// Marks the lines that follow as those of this instance.
    pub fn on_behalf_of(&mut self, instance: &str) {
        let _ = writeln!(self.0, "ON_BEHALF\tdispatcher={instance}");
    }

    /// Ends the reply.
    pub fn end(&mut self, turn: u64) {
        let _ = writeln!(self.0, "END\tturn={turn}");
    }

    fn write_about_request(&mut self, message: &str, name: &str) {
        let _ = writeln!(self.0, "{message}\trequest-id={name}");
    }
}

impl Effects<String> for ReplyLines<'_> {
    fn dispatch(&mut self, name: &mut String, _: &Allocation, machine: MachineId, timeout: Ticks) {
        let (node, us) = (machine.0, timeout * MICROSECONDS_PER_TICK);
        let _ = writeln!(
            self.0,
            "PUT\trequest-id={name}\tnode={node}\tgive-up-after-us={us}"
        );
    }

    fn shed(&mut self, name: &mut String, _: &Allocation) {
        self.write_about_request("PUSH_BACK", name);
    }

    fn indeterminate(&mut self, name: &mut String, _: &Allocation) {
        self.write_about_request("ERROR", name);
    }

    fn migrate(&mut self, name: &mut String, _: &Allocation) {
        self.write_about_request("MOVE", name);
    }

    fn check_health(&mut self, machine: MachineId) {
        let _ = writeln!(self.0, "PING\tnode={}", machine.0);
    }

    fn watch_endpoints(&mut self) {
        self.0.push_str("KEEP_INFORMED\ton=1\n");
    }

    fn set_timer(&mut self, after: Ticks) {
        let us = after * MICROSECONDS_PER_TICK;
        let _ = writeln!(self.0, "SCHEDULE\tdelay-us={us}\tkey-back=0");
    }
}

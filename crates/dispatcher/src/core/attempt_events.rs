//! What becomes of shots, by the word of nodes.

use super::Desk;
use super::client::Client;
use crate::attempts::Follows;
use corkspan_api::v1;
use corkspan_rollout::controller::SurgeEnd;
use corkspan_rpc::{Bounds, Tasks};
use corkspan_scheduler::interface::*;
use std::sync::Arc;
use tracing::warn;
use v1::placement_event::Event as Said;

impl Follows for Desk {
    fn tasks(&self) -> &Tasks {
        &self.tasks
    }

    fn bounds(&self) -> &Bounds {
        &self.link_bounds
    }

    fn placed_when_running(&self) -> bool {
        self.deployment().cluster.placed_means_running
    }

    fn shut_out(&self) -> bool {
        Desk::shut_out(self).is_some()
    }

    fn below(&self, floor: &v1::MinimumVersion) {
        self.fleet
            .node_tells(crate::version_gate::read(floor), self.deployment().stamp);
    }

    /// A node has placed a shot. False where the shot need not be followed any longer.
    fn placed(self: &Arc<Self>, id: AllocationId, shot: usize, machine: MachineId) {
        self.with(|now, host, port| {
            let late = host
                .own(id)
                .is_some_and(|(client, _)| client.deadline.is_some_and(|at| now >= at));
            if late {
                // The owner has given up: an answer now would be one too late. The outcome is told
                // all the same.
                host.placed(now, id, shot, port);
                self.unwanted(id, host, port);
            } else if host.placed(now, id, shot, port)
                && let Some((client, allocation)) = host.own(id)
            {
                client.deadline = None;
                if client.beside.is_some() {
                    return;
                }
                if std::mem::take(&mut client.anew) {
                    let (version, placing) =
                        (client.version.clone(), client.ask.placement_id.clone());
                    client.say(Said::Replaced(v1::Replaced {
                        node: machine.0,
                        version,
                        placement_id: placing,
                    }));
                    return;
                }
                port.counters.placed += 1;
                let shots = allocation.attempts.len() as u32;
                client.say(Said::Placed(v1::Placed {
                    node: machine.0,
                    attempts: shots,
                }));
            } else if let Some((client, _)) = host.own(id) {
                // Wanted no longer by the time the node took it: an earlier word to stop found
                // nothing there.
                port.stop(self, client, machine, false);
            }
        });
    }

    /// A shot has returned. `over` where it was placed and the allocation ends with it, in this
    /// way.
    fn returned(
        self: &Arc<Self>,
        id: AllocationId,
        shot: usize,
        ending: AttemptResult,
        reason: Option<ReturnReason>,
        over: Option<v1::ended::EndReason>,
        report: Option<LoadReport>,
    ) {
        self.with(|now, host, port| {
            let mut anew = None;
            if let Some((client, _)) = host.own(id)
                && over.is_some()
                && client.beside.is_some()
            {
                self.withdraw(id, SurgeEnd::Failed, host, port);
            } else if host
                .own(id)
                .is_some_and(|(client, _)| over.is_some() && client.retiring)
                && self.take_over(id, ending == AttemptResult::Cancelled, host, port)
            {
                // Its owner goes on with the new one.
            } else if let (Some(how), Some((client, allocation))) = (over, host.own(id)) {
                // Known to be gone, since its node says so: now a copy of the version wanted may be
                // placed.
                if client.stopping && ending == AttemptResult::Cancelled && !port.stopping {
                    anew = port.anew(client, allocation);
                } else {
                    let how = if client.moving && how == v1::ended::EndReason::Lost {
                        v1::ended::EndReason::Moved
                    } else {
                        how
                    };
                    let successor = client.successor.take();
                    port.copy_gone(client, ending == AttemptResult::Completed);
                    client.say(Said::Ended(v1::Ended { reason: how.into() }));
                    client.words.close();
                    if let Some(next) = successor {
                        self.withdraw(next, SurgeEnd::Cancelled, host, port);
                    }
                }
            }
            host.returned(now, id, shot, ending, reason, over.is_some(), report, port);
            let Some((asked, client)) = anew else { return };
            let (task, current) = (client.ask.task.clone(), client.current.clone());
            match host.take(now, &task, asked, client) {
                Ok(id) => {
                    current.set(id);
                    host.place(now, id, port);
                }
                Err((why, mut client)) => {
                    warn!(task, %why, "a copy taken down for a roll can't be placed anew here");
                    port.answer(&mut client, Said::Failed(v1::Failed::default()));
                }
            }
        });
    }

    /// A copy says which version it runs: one handed over is known by that alone.
    fn runs(&self, id: AllocationId, version: String) {
        self.with(|now, host, port| {
            let other = |client: &Client| client.version != version && client.beside.is_none();
            let Some((client, _)) = host.own(id).filter(|(client, _)| other(client)) else {
                return;
            };
            if let Some(conductor) = port.rolls.of(&client.ask.service) {
                conductor.replica_assigned(now, &client.ask.task, &version, false);
            }
            client.version = version;
        });
    }

    /// A copy's own word that it is ready, or no longer.
    fn ready(&self, id: AllocationId, ready: bool) {
        self.with(|now, host, port| {
            let Some((client, _)) = host.own(id) else {
                return;
            };
            client.ready = if ready {
                client.ready.or(Some(now))
            } else {
                None
            };
            match port.rolls.of(&client.ask.service) {
                Some(_) if client.withdrawn => {}
                Some(conductor) if client.beside.is_some() => {
                    conductor.surge_readiness(now, &client.ask.task, ready)
                }
                Some(conductor) if ready => conductor.replica_ready(now, &client.ask.task),
                Some(conductor) => drop(conductor.replica_unready(now, &client.ask.task)),
                None => {}
            }
        });
    }

    fn noted(&self, id: AllocationId, note: Metric) {
        self.with(|now, host, _| {
            host.noted(now, id, note);
            let Some((client, _)) = host.own(id) else {
                return;
            };
            match note {
                Metric::Running => client.note(Said::Running(v1::Running {})),
                Metric::Served(part) => {
                    client.note(Said::ServiceLevel(v1::ServiceLevel { fraction: part }))
                }
                _ => {}
            }
        });
    }

    fn probed(&self, machine: MachineId, ending: AttemptResult, report: Option<LoadReport>) {
        self.with(|now, host, _| host.probed(now, machine, ending, report));
    }
}

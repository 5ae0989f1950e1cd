//! The ways out: to nodes, owners and the timer.

use super::client::{Client, Orphan, Then};
use super::{Desk, next_placing};
use crate::attempts;
use crate::clock::duration;
use crate::node_links::{Counted, NodeLink};
use crate::rollouts::Rolls;
use corkspan_api::v1;
use corkspan_engine::{Asked, Wire};
use corkspan_rollout::ClaimId;
use corkspan_rollout::controller::SurgeEnd;
use corkspan_scheduler::interface::*;
use corkspan_version_fencing::operations::OperationKind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tracing::warn;
use v1::placement_event::Event as Said;

#[derive(Default)]
pub struct Counters {
    pub asked: u64,
    pub placed: u64,
    pub refused: u64,
    pub failed: u64,
    pub cancelled: u64,
}

/// The ways out: to nodes, owners and the timer.
pub struct Port {
    pub desk: Weak<Desk>,
    pub now: Ticks,
    pub nodes: BTreeMap<MachineId, Arc<NodeLink>>,
    /// As the roster told last.
    pub entries: BTreeMap<MachineId, Endpoint>,
    pub counters: Counters,
    pub stopping: bool,
    pub decided: Duration,
    pub serving: usize,
    pub rolls: Rolls,
    pub orphans: Vec<Orphan>,
    /// Claims that are to go back to the keepers.
    pub gives_back: async_channel::Sender<(String, ClaimId)>,
}

impl Port {
    pub fn node(&self, machine: MachineId) -> Option<Arc<NodeLink>> {
        self.nodes.get(&machine).cloned()
    }

    pub fn stop(&mut self, desk: &Arc<Desk>, client: &Client, machine: MachineId, moved: bool) {
        let Some(node) = self.node(machine) else {
            return;
        };
        let (placing, task) = (client.ask.placement_id.clone(), client.ask.task.clone());
        let kind = if moved {
            OperationKind::Migrate
        } else {
            OperationKind::Stop
        };
        let stop = v1::StopRequest {
            placement_id: placing,
            task,
            migrated: moved,
            except_placement_id: String::new(),
            decider: Some(desk.by(kind, 1)),
        };
        desk.tasks
            .spawn(attempts::stop(desk.clone(), node, stop))
            .detach();
    }

    /// What is placed anew in the place of a copy that a roll has stopped.
    pub fn anew(&mut self, client: &Client, allocation: &Allocation) -> Option<(Asked, Client)> {
        let within = self
            .rolls
            .of(&client.ask.service)?
            .rollout()
            .progress_deadline;
        let abandon = self.now + within;
        let asked = Asked {
            service: allocation.service,
            track: allocation.service_class,
            account: allocation.tenant,
            asks: allocation.requested,
            abandon,
        };
        let placing = next_placing(&client.ask.placement_id);
        let fresh = Client::new(
            v1::PlacementRequest {
                placement_id: placing,
                ..client.ask.clone()
            },
            &client.words,
        );
        let (current, hangs_up) = (client.current.clone(), client.hangs_up);
        Some((
            asked,
            Client {
                deadline: Some(abandon),
                hangs_up,
                current,
                anew: true,
                ..fresh
            },
        ))
    }

    /// The old copy is gone, and the new one has its place.
    pub fn retired(&mut self, service: &str, task: &str) {
        let claims = self
            .rolls
            .of(service)
            .map(|own| own.surge_took_over(task))
            .unwrap_or_default();
        self.give_back(service, claims);
    }

    /// From here on a new copy beside an old one counts for nothing; its slot comes back when it is
    /// known to be gone.
    pub fn put_away(&mut self, client: &mut Client, allocation: &Allocation, why: SurgeEnd) {
        if std::mem::replace(&mut client.withdrawn, true) {
            return;
        }
        self.orphans.push(Orphan {
            service: client.ask.service.clone(),
            task: client.ask.task.clone(),
            placings: vec![client.ask.placement_id.clone()],
            but: None,
            nodes: Some(
                allocation
                    .attempts
                    .iter()
                    .map(|shot| shot.machine)
                    .collect(),
            ),
            told: BTreeSet::new(),
            then: Then::Withdrawn(why),
        });
    }

    /// A new copy beside an old one is no more.
    pub fn withdrawn(&mut self, service: &str, task: &str, why: SurgeEnd) {
        let now = self.now;
        let claims = self
            .rolls
            .of(service)
            .map(|own| own.surge_ended(now, task, why))
            .unwrap_or_default();
        self.give_back(service, claims);
    }

    pub fn give_back(&mut self, service: &str, claims: Vec<ClaimId>) {
        for claim in claims {
            if self
                .gives_back
                .try_send((service.to_string(), claim))
                .is_err()
            {
                // The keepers still hold it for us, and tell of it: it comes back by that way.
                warn!(
                    service,
                    "more claims are to be given back than are kept in mind"
                );
            }
        }
    }

    /// A copy is ours no longer. `wanted_no_more`: its owner does not come again for it.
    pub fn copy_gone(&mut self, client: &Client, wanted_no_more: bool) {
        let (service, task) = (&client.ask.service, &client.ask.task);
        let Some(conductor) = self.rolls.of(service) else {
            return;
        };
        if !wanted_no_more {
            return conductor.replica_lost(self.now, task);
        }
        let claims = conductor.replica_removed(task);
        self.give_back(service, claims);
    }

    /// The final answer, unless the owner's time is already up.
    pub fn answer(&mut self, client: &mut Client, said: Said) -> bool {
        if client.anew {
            // Its owner had its answer long ago: to it the copy is sent away, and it comes again.
            self.copy_gone(client, false);
            client.say(Said::Ended(v1::Ended {
                reason: v1::ended::EndReason::SentAway.into(),
            }));
            client.words.close();
            return false;
        }
        self.copy_gone(client, true);
        let in_time = client.deadline.take().is_some_and(|at| self.now < at);
        if in_time {
            client.say(said);
        }
        client.words.close();
        in_time
    }
}

impl Wire<Client> for Port {
    fn send(
        &mut self,
        client: &mut Client,
        allocation: &Allocation,
        machine: MachineId,
        time_out: Ticks,
    ) {
        let Some(desk) = self.desk.upgrade() else {
            return;
        };
        let asked = Asked {
            service: allocation.service,
            track: allocation.service_class,
            account: allocation.tenant,
            asks: allocation.requested,
            abandon: allocation.deadline,
        };
        client.version = self.rolls.wanted(&client.ask.service);
        (client.ready, client.stopping) = (None, false);
        if let Some(conductor) = self
            .rolls
            .of(&client.ask.service)
            .filter(|_| client.beside.is_none())
        {
            conductor.replica_assigned(
                self.now,
                &client.ask.task,
                &client.version,
                client.ask.retry && !client.anew,
            );
            if !desk.may_run_twice(allocation.service_class) {
                conductor.forbid_surge(&client.ask.task);
            }
        }
        let shot = desk.shot(
            &client.ask,
            &asked,
            allocation.attempts.len(),
            client.version.clone(),
            OperationKind::Attempt,
        );
        let node = self.node(machine);
        let most = desk.deployment().bounds.offers_a_node;
        let open: Option<Counted> = node.as_ref().and_then(|node| node.offer(most));
        let (id, number, decided) = (allocation.id, allocation.attempts.len(), Instant::now());
        let offer = attempts::Offer {
            id,
            number,
            machine,
            node,
            open,
            decided,
        };
        let tasks = Arc::clone(&desk.tasks);
        tasks
            .spawn(attempts::offer(desk, offer, shot, duration(time_out)))
            .detach();
    }

    fn shed(&mut self, client: &mut Client, allocation: &Allocation) {
        if client.beside.is_some() {
            // Its owner has the old one, and knows of none other.
            return self.put_away(client, allocation, SurgeEnd::NoCapacity);
        }
        let (why, shots) = (
            v1::rejected::RejectionReason::NoRoom.into(),
            allocation.attempts.len() as u32,
        );
        let text = "no machine could take it in its time".into();
        if self.answer(
            client,
            Said::Rejected(v1::Rejected {
                reason: why,
                message: text,
                attempts: shots,
            }),
        ) {
            self.counters.refused += 1;
        }
    }

    fn scrap(&mut self, client: &mut Client, allocation: &Allocation) {
        if client.beside.is_some() {
            return self.put_away(client, allocation, SurgeEnd::NoCapacity);
        }
        let shots = allocation.attempts.len() as u32;
        let text = "a shot may have run, and a further one is not allowed".into();
        if self.answer(
            client,
            Said::Failed(v1::Failed {
                message: text,
                attempts: shots,
            }),
        ) {
            self.counters.failed += 1;
        }
    }

    fn relocate(&mut self, client: &mut Client, allocation: &Allocation) {
        let (Some(desk), Some(shot)) = (self.desk.upgrade(), allocation.attempts.last()) else {
            return;
        };
        client.moving = true;
        self.stop(&desk, client, shot.machine, true);
    }

    fn probe(&mut self, machine: MachineId) {
        let (Some(desk), Some(node)) = (self.desk.upgrade(), self.node(machine)) else {
            return;
        };
        let tasks = Arc::clone(&desk.tasks);
        tasks.spawn(attempts::probe(desk, machine, node)).detach();
    }

    fn watch_list(&mut self) {
        if let Some(desk) = self.desk.upgrade() {
            // Full: one is asked for already.
            let _ = desk.watches.try_send(());
        }
    }

    fn wake(&mut self, after: Ticks) {
        if let Some(desk) = self.desk.upgrade() {
            // Always earlier than what is waited for, so it may take its place.
            let _ = desk.wakes.force_send(Instant::now() + duration(after));
        }
    }
}

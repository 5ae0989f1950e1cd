//! Copies of a service under a roll: what the rolls ask for, and what they learn.

use super::client::{Client, Orphan, Then};
use super::effects::Port;
use super::{Desk, Inner, next_placing};
use crate::attempts;
use crate::node_links::NodeLink;
use crate::rollouts::Rolls;
use crate::store::Pair;
use corkspan_api::v1;
use corkspan_engine::{Asked, Host};
use corkspan_rollout::controller::SurgeEnd;
use corkspan_rollout::{ClaimId, Rollout};
use corkspan_scheduler::interface::*;
use corkspan_version_fencing::operations::OperationKind;
use std::collections::BTreeSet;
use std::sync::Arc;
use tracing::warn;
use v1::placement_event::Event as Said;

impl Desk {
    /// Puts a new copy away that stands beside an old one. It is told to stop until it is known to
    /// be gone.
    pub(super) fn withdraw(
        self: &Arc<Self>,
        id: AllocationId,
        why: SurgeEnd,
        host: &mut Host<Client>,
        port: &mut Port,
    ) {
        let Some((client, allocation)) = host.own(id) else {
            return;
        };
        let old = client.beside;
        port.put_away(client, allocation, why);
        host.finish(id);
        if let Some((old, _)) = old.and_then(|old| host.own(old)) {
            old.successor = None;
        }
    }

    /// The new copy that stands beside this one takes its place with its owner. False where there
    /// is none that runs.
    pub(super) fn take_over(
        &self,
        id: AllocationId,
        gone: bool,
        host: &mut Host<Client>,
        port: &mut Port,
    ) -> bool {
        let Some((old, allocation)) = host.own(id) else {
            return false;
        };
        let Some(next) = old.successor else {
            return false;
        };
        let (current, hangs_up) = (old.current.clone(), old.hangs_up);
        let (service, task, placing) = (
            old.ask.service.clone(),
            old.ask.task.clone(),
            old.ask.placement_id.clone(),
        );
        let nodes = allocation
            .attempts
            .iter()
            .map(|shot| shot.machine)
            .collect();
        let Some((new, allocation)) = host.own(next) else {
            return false;
        };
        let Some(machine) = allocation.attempts.last().map(|shot| shot.machine) else {
            return false;
        };
        (new.beside, new.current, new.hangs_up) = (None, current, hangs_up);
        new.current.set(next);
        let (version, name) = (new.version.clone(), new.ask.placement_id.clone());
        new.say(Said::Replaced(v1::Replaced {
            node: machine.0,
            version,
            placement_id: name,
        }));
        host.swap_names(id, next);
        if gone {
            port.retired(&service, &task);
        } else {
            let (placings, nodes, told) = (vec![placing], Some(nodes), BTreeSet::new());
            port.orphans.push(Orphan {
                service,
                task,
                placings,
                but: None,
                nodes,
                told,
                then: Then::Retired,
            });
        }
        true
    }

    /// A later roll is in force. Copies that were here before it are its own from now on.
    pub fn adopt(&self, roll: Rollout) {
        self.with(|now, host, port| {
            let known = port.rolls.of(&roll.service).is_some();
            let service = roll.service.clone();
            port.rolls.adopt(now, roll);
            let Some(conductor) = port.rolls.of(&service).filter(|_| !known) else {
                return;
            };
            let copies = host.all().filter(|(_, client, placed)| {
                *placed && client.ask.service == service && client.beside.is_none()
            });
            let copies: Vec<AllocationId> = copies.map(|(id, _, _)| id).collect();
            for id in copies {
                let Some((client, allocation)) = host.own(id) else {
                    continue;
                };
                conductor.replica_assigned(now, &client.ask.task, &client.version, false);
                if let Some(at) = client.ready {
                    conductor.replica_ready(at, &client.ask.task);
                }
                if !self.may_run_twice(allocation.service_class) {
                    conductor.forbid_surge(&client.ask.task);
                }
            }
        });
    }

    /// Replaces a copy by one of the version wanted: stopped first, and placed anew once it is
    /// known to be gone.
    pub fn replace(self: &Arc<Self>, task: &str) {
        self.with(|_, host, port| {
            let Some((client, allocation)) = host.find(task).and_then(|id| host.own(id)) else {
                return;
            };
            client.stopping = true;
            if let Some(shot) = allocation.attempts.last() {
                port.stop(self, client, shot.machine, false);
            }
        });
    }

    pub(super) fn may_run_twice(&self, track: ServiceClassId) -> bool {
        let deployment = self.deployment();
        deployment
            .cluster
            .service_classes
            .get(track.0)
            .is_some_and(|track| track.retry_safety == RetrySafety::Idempotent)
    }

    /// The two of a copy that grows: to be kept on disk before the new one is offered anywhere.
    pub fn pair(&self, task: &str) -> Option<Pair> {
        let mut inner = self.lock();
        let id = inner.host.find(task)?;
        let (client, _) = inner.host.own(id)?;
        let (old, successor, retires) = (
            client.ask.placement_id.clone(),
            client.successor,
            client.retiring,
        );
        let new = successor.and_then(|next| inner.host.own(next));
        let new = new.map_or_else(
            || next_placing(&old),
            |(client, _)| client.ask.placement_id.clone(),
        );
        Some(Pair { new, old, retires })
    }

    /// Whether a copy of this task is still to be known to be gone.
    pub fn puts_away(&self, task: &str) -> bool {
        self.lock()
            .port
            .orphans
            .iter()
            .any(|orphan| orphan.task == task)
    }

    /// Starts a copy of the version wanted beside one that runs, by the ordinary path.
    pub fn grow(self: &Arc<Self>, task: &str, placing: &str) {
        self.with(|now, host, port| {
            let Some(old) = host.find(task) else { return };
            let successor = host.own(old).and_then(|(client, _)| client.successor);
            let stands = |(client, _): (&mut Client, &Allocation)| !client.withdrawn;
            if successor
                .and_then(|next| host.own(next))
                .is_some_and(stands)
            {
                return;
            }
            let Some((client, allocation)) = host.own(old) else {
                return;
            };
            let ask = v1::PlacementRequest {
                placement_id: placing.into(),
                ..client.ask.clone()
            };
            let Some(within) = port
                .rolls
                .of(&ask.service)
                .map(|own| own.rollout().progress_deadline)
            else {
                return;
            };
            let asked = Asked {
                service: allocation.service,
                track: allocation.service_class,
                account: allocation.tenant,
                asks: allocation.requested,
                abandon: now + within,
            };
            let fresh = Client::new(ask, &client.words);
            let fresh = Client {
                deadline: Some(now + within),
                beside: Some(old),
                ..fresh
            };
            // A name that no owner gives: its own is taken by the old one.
            match host.take(now, &format!("{task}\u{0}{placing}"), asked, fresh) {
                Ok(id) => {
                    if let Some((client, _)) = host.own(old) {
                        client.successor = Some(id);
                    }
                    host.place(now, id, port);
                }
                Err((why, client)) => {
                    warn!(task, %why, "no new copy can be placed beside an old one here");
                    port.withdrawn(&client.ask.service, task, SurgeEnd::NoCapacity);
                }
            }
        });
    }

    /// Stops an old copy whose new one has stayed ready for its time.
    pub fn retire(self: &Arc<Self>, task: &str) {
        let found = {
            let mut inner = self.lock();
            let id = inner.host.find(task);
            id.and_then(|id| inner.host.own(id).map(|(client, _)| client.retiring = true))
        };
        if found.is_some() {
            self.replace(task);
        }
    }

    /// A new copy that could not even be begun.
    pub fn not_grown(&self, service: &str, task: &str) {
        // That it can't be kept on disk says nothing of the version: it must not halt the roll.
        self.with(|_, _, port| port.withdrawn(service, task, SurgeEnd::Cancelled));
    }

    /// Puts away a new copy that is not wanted any more.
    pub fn put_away(self: &Arc<Self>, task: &str) {
        self.with(|_, host, port| {
            let next = host
                .find(task)
                .and_then(|id| host.own(id))
                .and_then(|(client, _)| client.successor);
            if let Some(next) = next {
                self.withdraw(next, SurgeEnd::Cancelled, host, port);
            }
        });
    }

    /// Has every node put away what a dead dispatcher may have begun beside our copy.
    pub fn clear(&self, service: &str, task: &str, claim: ClaimId) {
        self.with(|_, host, port| {
            let Some((client, _)) = host.find(task).and_then(|id| host.own(id)) else {
                return;
            };
            if port
                .orphans
                .iter()
                .any(|orphan| orphan.then == Then::Cleared(claim))
            {
                return;
            }
            port.orphans.push(Orphan {
                service: service.into(),
                task: task.into(),
                placings: Vec::new(),
                but: Some(client.ask.placement_id.clone()),
                nodes: None,
                told: BTreeSet::new(),
                then: Then::Cleared(claim),
            });
        });
    }

    /// Tells nodes of what is to be gone, each until it has answered; gives slots back whose copies
    /// are. What an earlier life had left and is put away by now.
    pub async fn clear_orphans(self: &Arc<Self>) -> Vec<(ClaimId, Pair)> {
        let asks: Vec<(usize, MachineId, Arc<NodeLink>, Vec<v1::StopRequest>)> = {
            let mut inner = self.lock();
            let Inner { host, port } = &mut *inner;
            // A copy that has another placing by now is not to be stopped by word of the one
            // before.
            port.orphans.retain(|orphan| {
                let own = host.find(&orphan.task).and_then(|id| host.own(id));
                orphan.but.as_ref().is_none_or(|but| {
                    own.is_some_and(|(client, _)| client.ask.placement_id == *but)
                })
            });
            let port = &inner.port;
            let all = port.orphans.iter().enumerate().flat_map(|(index, orphan)| {
                let here = port.nodes.iter().filter(|(machine, _)| {
                    orphan
                        .nodes
                        .as_ref()
                        .is_none_or(|nodes| nodes.contains(machine))
                        && !orphan.told.contains(machine)
                });
                here.map(move |(machine, node)| {
                    // Whoever holds it by now hears that it moved, and asks again.
                    let stop = |placing: &String| v1::StopRequest {
                        placement_id: placing.clone(),
                        task: orphan.task.clone(),
                        migrated: true,
                        except_placement_id: String::new(),
                        decider: Some(self.by(OperationKind::Migrate, 1)),
                    };
                    let mut stops: Vec<v1::StopRequest> =
                        orphan.placings.iter().map(stop).collect();
                    stops.extend(orphan.but.iter().map(|but| v1::StopRequest {
                        placement_id: String::new(),
                        task: orphan.task.clone(),
                        migrated: true,
                        except_placement_id: but.clone(),
                        decider: Some(self.by(OperationKind::Migrate, 1)),
                    }));
                    (index, *machine, Arc::clone(node), stops)
                })
            });
            all.collect()
        };
        let calls: Vec<_> = asks
            .into_iter()
            .map(|(index, machine, node, stops)| {
                let desk = Arc::clone(self);
                let tasks = Arc::clone(&self.tasks);
                tasks.spawn(async move {
                    for stop in stops {
                        attempts::stop(desk.clone(), node.clone(), stop).await?;
                    }
                    Some((index, machine))
                })
            })
            .collect();
        let mut told = Vec::new();
        for call in calls {
            told.extend(call.await);
        }
        self.with(|_, _, port| {
            for (index, machine) in told {
                // Only this task takes any out, so the places are the same.
                port.orphans[index].told.insert(machine);
            }
            let known: BTreeSet<MachineId> = port.nodes.keys().copied().collect();
            let gone = |orphan: &Orphan| {
                let mut all = known.iter();
                // Before the list is known nothing is.
                !known.is_empty()
                    && all.all(|machine| {
                        let else_where = orphan
                            .nodes
                            .as_ref()
                            .is_some_and(|nodes| !nodes.contains(machine));
                        else_where || orphan.told.contains(machine)
                    })
            };
            let (done, rest) = std::mem::take(&mut port.orphans)
                .into_iter()
                .partition(gone);
            port.orphans = rest;
            let done: Vec<Orphan> = done;
            done.into_iter()
                .filter_map(|orphan| match orphan.then {
                    Then::Retired => {
                        port.retired(&orphan.service, &orphan.task);
                        None
                    }
                    Then::Withdrawn(why) => {
                        port.withdrawn(&orphan.service, &orphan.task, why);
                        None
                    }
                    Then::Forgotten(claim, pair) => Some((claim, pair)),
                    Then::Cleared(claim) => {
                        if let Some(conductor) = port.rolls.of(&orphan.service) {
                            conductor.cleaned_up(claim);
                        }
                        port.give_back(&orphan.service, vec![claim]);
                        None
                    }
                })
                .collect::<Vec<_>>()
        })
    }

    /// Says it again to nodes that have not stopped a copy yet: word to them is one try each.
    pub fn stop_old_copies(self: &Arc<Self>) {
        let tasks: Vec<String> = {
            let mut inner = self.lock();
            let stopping = inner.host.all().filter(|(_, client, _)| client.stopping);
            stopping
                .map(|(_, client, _)| client.ask.task.clone())
                .collect()
        };
        tasks.iter().for_each(|task| self.replace(task));
    }

    pub fn with_rolls<R>(&self, call: impl FnOnce(Ticks, &mut Rolls) -> R) -> R {
        let mut inner = self.lock();
        call(self.clock.now(), &mut inner.port.rolls)
    }
}

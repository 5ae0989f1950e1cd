//! What to do next: which replica, when to wait, which slots to release, when to halt.

use super::replica::{Claim, Copy, Step};
use super::types::{ClaimRequest, Look, OrphanedSurge, ReportedSlot};
use super::{Conductor, FORGET, LOOK, SAY};
use crate::{ClaimId, Order, Phase};
use corkspan_scheduler::interface::Ticks;
use rand::RngExt;

impl Conductor {
    /// What to do now. `held` are the slots that quorum members report.
    #[must_use]
    pub fn look(&mut self, now: Ticks, held: &[ReportedSlot]) -> Look {
        let mut look = Look {
            wait: LOOK,
            release: std::mem::take(&mut self.unwon),
            ..Look::default()
        };
        self.settle_surges(now, &mut look);
        self.settle(now, &mut look);
        self.drop_unreported(held);
        self.give_back(now, held, &mut look);
        self.halt(now, &mut look);
        if !self.in_progress() {
            return look;
        }
        look.grow = self.look_to_grow(now);
        look.replace = self.look_at_held(now);
        if now < self.claim_at {
            look.wait = look.wait.min(self.claim_at - now);
        } else {
            look.claims = self.claim_slots(held);
        }
        look
    }

    /// Claims free slots for the next replicas to replace.
    fn claim_slots(&mut self, held: &[ReportedSlot]) -> Vec<ClaimRequest> {
        let taken = |slot: u32| held.iter().any(|reported| reported.slot == slot);
        let free: Vec<u32> = (0..self.roll.unready_most)
            .filter(|slot| !taken(*slot))
            .collect();
        let batch = (self.roll.batch.max(1) as usize)
            .saturating_sub(self.claims.len())
            .min(free.len());
        let next = self.next_copies(batch);
        // Each dispatcher begins at another slot, so that not all go for the same.
        let first = self.rng.random_range(0..free.len().max(1));
        let mut requests = Vec::new();
        for (index, task) in next.into_iter().enumerate() {
            let claim = ClaimId(self.rng.random());
            let slot = free[(first + index) % free.len()];
            if let Some(copy) = self.copies.get_mut(&task) {
                (copy.claim, copy.step) = (Some(claim), Step::Claims);
            }
            let own = Claim {
                task: task.clone(),
                won: false,
            };
            self.claims.insert(claim, own);
            requests.push(ClaimRequest { claim, slot, task });
        }
        requests
    }

    /// So many tasks at the most whose replica is to be replaced next. Those down for another
    /// reason come first, of the desired version too: they take a slot while they are down, so that
    /// all dispatchers slow down. Then old ones that are ready.
    fn next_copies(&self, limit: usize) -> Vec<String> {
        let desired = self.roll.wanted();
        let down = |copy: &Copy| copy.returning && copy.ready.is_none();
        let mut next: Vec<(bool, &String)> = (self.copies.iter())
            .filter(|(task, _)| !self.clearing.values().any(|other| other == *task))
            .filter(|(_, copy)| copy.step == Step::Stays && (copy.version != desired || down(copy)))
            .map(|(task, copy)| (copy.ready.is_some(), task))
            .collect();
        next.sort();
        let next = next.into_iter().take(limit);
        next.map(|(_, task)| task.clone()).collect()
    }

    /// Tasks that hold a slot and beside whose replica a surge replica is to be started now. A
    /// replica that is down has nothing to keep: it is replaced as in the other order.
    #[must_use]
    pub fn look_to_grow(&mut self, now: Ticks) -> Vec<String> {
        let mut grow = Vec::new();
        if !self.in_progress() || self.roll.order != Order::StartFirst {
            return grow;
        }
        let desired = self.roll.wanted();
        for (task, copy) in &mut self.copies {
            let may = copy.ready.is_some() && !self.once.contains(task);
            if copy.step == Step::Replaced && copy.version != desired && may {
                copy.step = Step::Grows {
                    version: desired.into(),
                    since: now,
                    ready: None,
                };
                grow.push(task.clone());
            }
        }
        grow
    }

    /// Tasks that hold a slot and whose replica is to be replaced now: it is of another version
    /// than desired, since the slot was just won or the rollout has changed.
    #[must_use]
    pub fn look_at_held(&mut self, now: Ticks) -> Vec<String> {
        let mut replace = Vec::new();
        if !self.in_progress() {
            return replace;
        }
        let desired = self.roll.wanted();
        for (task, copy) in &mut self.copies {
            // One that was just handed over has not yet reported whether it is ready.
            let may_grow = self.roll.order == Order::StartFirst && !self.once.contains(task);
            if may_grow && (copy.ready.is_some() || now < copy.unready + SAY) {
                continue;
            }
            if copy.step == Step::Replaced && copy.version != desired {
                copy.version = desired.into();
                (copy.ready, copy.unready) = (None, now);
                replace.push(task.clone());
            }
        }
        replace
    }

    /// Surge replicas take over once they have stayed ready for their time, and are cancelled once
    /// their version is no longer desired.
    fn settle_surges(&mut self, now: Ticks, look: &mut Look) {
        let desired = self.roll.wanted();
        for (task, copy) in &mut self.copies {
            match &copy.step {
                // A later rollout, an undo or a halt has come.
                Step::Grows { version, .. } if version != desired => {
                    look.withdraw.push(task.clone());
                }
                Step::Grows {
                    version,
                    ready: Some(since),
                    ..
                } => {
                    let due = since + self.roll.ready_for;
                    if now >= due {
                        copy.step = Step::Retires {
                            version: version.clone(),
                            ready: *since,
                        };
                        look.retire.push(task.clone());
                    } else {
                        look.wait = look.wait.min(due - now);
                    }
                }
                Step::Retires { .. } => look.retire.push(task.clone()),
                _ => {}
            }
        }
    }

    /// Replicas that have stayed ready for their time release their slots.
    fn settle(&mut self, now: Ticks, look: &mut Look) {
        let desired = self.roll.wanted();
        for copy in self.copies.values_mut() {
            let Some(since) = copy.ready.filter(|_| copy.step == Step::Replaced) else {
                continue;
            };
            let due = since + self.roll.ready_for;
            if now < due {
                look.wait = look.wait.min(due - now);
            } else if copy.version == desired || self.roll.phase != Phase::Rolling {
                copy.step = Step::Stays;
                if let Some(claim) = copy.claim.take() {
                    self.claims.remove(&claim);
                    look.release.push(claim);
                }
            }
        }
    }

    /// Forgets what no member reports any more. The slot of a replica that went to another
    /// dispatcher is released by that one, once the replica is ready there.
    fn drop_unreported(&mut self, held: &[ReportedSlot]) {
        let copies = &self.copies;
        let reported = |claim: &ClaimId| held.iter().any(|slot| slot.grant.claim == *claim);
        self.claims
            .retain(|claim, own| copies.contains_key(&own.task) || reported(claim));
        self.clearing
            .retain(|claim, task| copies.contains_key(task) && reported(claim));
        self.idle.retain(|claim, _| reported(claim));
    }

    /// Releases slots that others left behind. A replica that is ready here for its time holds
    /// none, whoever claimed it; and what an earlier incarnation claimed for a client that never
    /// came back is not wanted any more.
    fn give_back(&mut self, now: Ticks, held: &[ReportedSlot], look: &mut Look) {
        for grant in held.iter().map(|reported| &reported.grant) {
            if self.claims.contains_key(&grant.claim)
                || look.release.contains(&grant.claim)
                || look.clear.iter().any(|left| left.claim == grant.claim)
            {
                continue;
            }
            let settled = self.copies.get(&grant.task).is_some_and(|copy| {
                copy.step == Step::Stays && copy.ready_for(self.roll.ready_for, now)
            });
            // An unknown claim of this dispatcher: a lost one that a member granted late, or an
            // earlier incarnation's.
            let mine = grant.dispatcher == self.me && !self.copies.contains_key(&grant.task);
            let since = *self.idle.entry(grant.claim).or_insert(now);
            if settled && self.roll.order == Order::StartFirst && !self.once.contains(&grant.task) {
                // That the replica here is ready says nothing of a surge replica that the holder
                // had started.
                self.clearing.insert(grant.claim, grant.task.clone());
                look.clear.push(OrphanedSurge {
                    claim: grant.claim,
                    task: grant.task.clone(),
                });
            } else if settled || mine && now >= since + FORGET * self.roll.ready_within {
                look.release.push(grant.claim);
            }
        }
    }

    /// Halts after too many failures, by replicas that do not get ready or do not stay so.
    fn halt(&mut self, now: Ticks, look: &mut Look) {
        let version = &self.roll.version;
        let mut late = 0;
        for copy in self.copies.values() {
            let since = match &copy.step {
                Step::Replaced if copy.ready.is_none() && copy.version == *version => copy.unready,
                Step::Grows {
                    version: new,
                    since,
                    ready: None,
                } if new == version => *since,
                _ => continue,
            };
            let due = since + self.roll.ready_within;
            if now >= due {
                late += 1;
            } else {
                look.wait = look.wait.min(due - now);
            }
        }
        let failed = self.failures + late;
        if self.in_progress() && failed > self.roll.failures_most {
            look.halt = Some(format!(
                "{failed} copies of {version} failed at dispatcher {}, {late} not ready in time, {} without room",
                self.me, self.without_room
            ));
            self.halted = true;
        }
    }
}

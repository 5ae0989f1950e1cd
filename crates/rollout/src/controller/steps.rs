//! Decides the next steps: replicas to replace, slots to release, when to wait and when to halt.

use super::replica::{Claim, Replica, Step};
use super::types::{Actions, ClaimRequest, OrphanedSurge, ReportedSlot};
use super::{
    READINESS_REPORT_TIMEOUT, RECONCILE_INTERVAL, RolloutController, UNUSED_GRANT_DEADLINES,
};
use crate::{ClaimId, Order, Phase};
use corkspan_scheduler::interface::Ticks;
use rand::RngExt;

impl RolloutController {
    /// Returns what to do now. `reported` are the slots that quorum members report.
    #[must_use]
    pub fn reconcile(&mut self, now: Ticks, reported: &[ReportedSlot]) -> Actions {
        let mut actions = Actions {
            wait: RECONCILE_INTERVAL,
            release: std::mem::take(&mut self.never_won),
            ..Actions::default()
        };
        self.advance_surges(now, &mut actions);
        self.release_settled(now, &mut actions);
        self.forget_unreported(reported);
        self.release_orphaned(now, reported, &mut actions);
        self.check_failures(now, &mut actions);
        if !self.in_progress() {
            return actions;
        }
        actions.surge = self.start_surges(now);
        actions.replace = self.start_replacements(now);
        if now < self.next_claim_at {
            actions.wait = actions.wait.min(self.next_claim_at - now);
        } else {
            actions.claims = self.claim_slots(reported);
        }
        actions
    }

    /// Claims free slots for the next replicas to replace.
    fn claim_slots(&mut self, reported: &[ReportedSlot]) -> Vec<ClaimRequest> {
        let taken = |slot: u32| reported.iter().any(|reported| reported.slot == slot);
        let free: Vec<u32> = (0..self.rollout.max_unavailable)
            .filter(|slot| !taken(*slot))
            .collect();
        let limit = (self.rollout.max_in_progress.max(1) as usize)
            .saturating_sub(self.claims.len())
            .min(free.len());
        let next = self.next_replicas(limit);
        // Each dispatcher begins at a random slot, so that they don't all claim the same one.
        let first = self.rng.random_range(0..free.len().max(1));
        let mut requests = Vec::new();
        for (index, task) in next.into_iter().enumerate() {
            let claim = ClaimId(self.rng.random());
            let slot = free[(first + index) % free.len()];
            if let Some(replica) = self.replicas.get_mut(&task) {
                (replica.claim, replica.step) = (Some(claim), Step::Claiming);
            }
            let own_claim = Claim {
                task: task.clone(),
                won: false,
            };
            self.claims.insert(claim, own_claim);
            requests.push(ClaimRequest { claim, slot, task });
        }
        requests
    }

    /// Returns up to `limit` tasks whose replica is to be replaced next. Replicas that are not
    /// ready are first, including those of the desired version that are down for a reason other
    /// than the rollout: they take a slot while they are down, which slows all dispatchers down.
    /// Old replicas that are ready follow.
    fn next_replicas(&self, limit: usize) -> Vec<String> {
        let desired = self.rollout.desired_version();
        let down = |replica: &Replica| replica.returning && replica.ready_since.is_none();
        let mut next: Vec<(bool, &String)> = (self.replicas.iter())
            .filter(|(task, _)| !self.cleaning_up.values().any(|other| other == *task))
            .filter(|(_, replica)| {
                replica.step == Step::Idle && (replica.version != desired || down(replica))
            })
            .map(|(task, replica)| (replica.ready_since.is_some(), task))
            .collect();
        next.sort();
        let next = next.into_iter().take(limit);
        next.map(|(_, task)| task.clone()).collect()
    }

    /// Returns the tasks that hold a slot and for which a surge replica is to be started now. A
    /// replica that is down need not be kept running: it is replaced as in the stop-first order.
    #[must_use]
    pub fn start_surges(&mut self, now: Ticks) -> Vec<String> {
        let mut surge = Vec::new();
        if !self.in_progress() || self.rollout.order != Order::StartFirst {
            return surge;
        }
        let desired = self.rollout.desired_version();
        for (task, replica) in &mut self.replicas {
            let may_surge = replica.ready_since.is_some() && !self.no_surge.contains(task);
            if replica.step == Step::Replacing && replica.version != desired && may_surge {
                replica.step = Step::Surging {
                    version: desired.into(),
                    since: now,
                    ready: None,
                };
                surge.push(task.clone());
            }
        }
        surge
    }

    /// Returns the tasks that hold a slot and whose replica is to be replaced now: it is not of the
    /// desired version, because the slot was just won or the rollout has changed.
    #[must_use]
    pub fn start_replacements(&mut self, now: Ticks) -> Vec<String> {
        let mut replace = Vec::new();
        if !self.in_progress() {
            return replace;
        }
        let desired = self.rollout.desired_version();
        for (task, replica) in &mut self.replicas {
            // A replica that was just handed over may not have reported its readiness yet.
            let may_surge =
                self.rollout.order == Order::StartFirst && !self.no_surge.contains(task);
            if may_surge
                && (replica.ready_since.is_some()
                    || now < replica.unready_since + READINESS_REPORT_TIMEOUT)
            {
                continue;
            }
            if replica.step == Step::Replacing && replica.version != desired {
                replica.version = desired.into();
                (replica.ready_since, replica.unready_since) = (None, now);
                replace.push(task.clone());
            }
        }
        replace
    }

    /// Lets surge replicas take over once they have stayed ready for the minimum time, and cancels
    /// them once their version is no longer desired.
    fn advance_surges(&mut self, now: Ticks, actions: &mut Actions) {
        let desired = self.rollout.desired_version();
        for (task, replica) in &mut self.replicas {
            match &replica.step {
                // The rollout was changed, rolled back or halted.
                Step::Surging { version, .. } if version != desired => {
                    actions.cancel_surge.push(task.clone());
                }
                Step::Surging {
                    version,
                    ready: Some(since),
                    ..
                } => {
                    let due = since + self.rollout.min_ready;
                    if now >= due {
                        replica.step = Step::TakingOver {
                            version: version.clone(),
                            ready: *since,
                        };
                        actions.stop_old.push(task.clone());
                    } else {
                        actions.wait = actions.wait.min(due - now);
                    }
                }
                Step::TakingOver { .. } => actions.stop_old.push(task.clone()),
                _ => {}
            }
        }
    }

    /// Releases the slots of replicas that have stayed ready for the minimum time.
    fn release_settled(&mut self, now: Ticks, actions: &mut Actions) {
        let desired = self.rollout.desired_version();
        for replica in self.replicas.values_mut() {
            let Some(since) = replica
                .ready_since
                .filter(|_| replica.step == Step::Replacing)
            else {
                continue;
            };
            let due = since + self.rollout.min_ready;
            if now < due {
                actions.wait = actions.wait.min(due - now);
            } else if replica.version == desired || self.rollout.phase != Phase::Rolling {
                replica.step = Step::Idle;
                if let Some(claim) = replica.claim.take() {
                    self.claims.remove(&claim);
                    actions.release.push(claim);
                }
            }
        }
    }

    /// Forgets claims that no member reports any more. The slot of a replica that moved to another
    /// dispatcher is released by that dispatcher, once the replica is ready there.
    fn forget_unreported(&mut self, reported: &[ReportedSlot]) {
        let replicas = &self.replicas;
        let reported = |claim: &ClaimId| reported.iter().any(|slot| slot.grant.claim == *claim);
        self.claims
            .retain(|claim, own_claim| replicas.contains_key(&own_claim.task) || reported(claim));
        self.cleaning_up
            .retain(|claim, task| replicas.contains_key(task) && reported(claim));
        self.unused_since.retain(|claim, _| reported(claim));
    }

    /// Releases orphaned slots. A replica that has stayed ready here for the minimum time needs no
    /// slot, whichever dispatcher claimed it. A slot that an earlier incarnation claimed for a
    /// client that never reconnected isn't needed either.
    fn release_orphaned(&mut self, now: Ticks, reported: &[ReportedSlot], actions: &mut Actions) {
        for grant in reported.iter().map(|reported| &reported.grant) {
            if self.claims.contains_key(&grant.claim)
                || actions.release.contains(&grant.claim)
                || actions
                    .clean_up
                    .iter()
                    .any(|orphaned| orphaned.claim == grant.claim)
            {
                continue;
            }
            let settled = self.replicas.get(&grant.task).is_some_and(|replica| {
                replica.step == Step::Idle && replica.stayed_ready(self.rollout.min_ready, now)
            });
            // An unknown claim of this dispatcher is a lost one that a member granted late, or one
            // of an earlier incarnation.
            let is_own =
                grant.dispatcher == self.dispatcher && !self.replicas.contains_key(&grant.task);
            let since = *self.unused_since.entry(grant.claim).or_insert(now);
            if settled
                && self.rollout.order == Order::StartFirst
                && !self.no_surge.contains(&grant.task)
            {
                // The replica here is ready, but a surge replica that the holder started may still
                // be running.
                self.cleaning_up.insert(grant.claim, grant.task.clone());
                actions.clean_up.push(OrphanedSurge {
                    claim: grant.claim,
                    task: grant.task.clone(),
                });
            } else if settled
                || is_own && now >= since + UNUSED_GRANT_DEADLINES * self.rollout.progress_deadline
            {
                actions.release.push(grant.claim);
            }
        }
    }

    /// Requests a halt after too many failures of replicas to become ready or to stay ready.
    fn check_failures(&mut self, now: Ticks, actions: &mut Actions) {
        let version = &self.rollout.version;
        let mut late = 0;
        for replica in self.replicas.values() {
            let since = match &replica.step {
                Step::Replacing if replica.ready_since.is_none() && replica.version == *version => {
                    replica.unready_since
                }
                Step::Surging {
                    version: new,
                    since,
                    ready: None,
                } if new == version => *since,
                _ => continue,
            };
            let due = since + self.rollout.progress_deadline;
            if now >= due {
                late += 1;
            } else {
                actions.wait = actions.wait.min(due - now);
            }
        }
        let failed = self.failures + late;
        if self.in_progress() && failed > self.rollout.max_failures {
            actions.halt = Some(format!(
                "{failed} copies of {version} failed at dispatcher {}, {late} not ready in time, {} without room",
                self.dispatcher, self.failed_without_capacity
            ));
            self.halt_requested = true;
        }
    }
}

//! Rolling updates: carries out the actions that the controllers of `corkspan_rollout` decide.
//! Polls the quorum members, and stores each claim on disk before the step that depends on it.

use crate::core::DispatcherCore;
use crate::quorum_client::request_all;
use crate::rollout_messages::{rollout_from_message, rollout_message};
pub use crate::store::{CloseOnDrop, ReplicaPair, Store, StoreError, StoredClaim, StoredRollouts};
use corkspan_api::v1;
use corkspan_api::v1::quorum_request::Operation;
use corkspan_rollout::Grant;
use corkspan_rollout::controller::{Actions, ClaimRequest, ReportedSlot, Votes};
use corkspan_rollout::{ClaimId, Phase, Rollout, committed, is_majority};
use corkspan_version_fencing::operations::OperationKind;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};

/// Interval between two polls of the quorum members during a rollout.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two polls without a rollout. It is longer because hundreds of dispatchers poll
/// the same few members.
const IDLE_ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Polls the quorum members until the future is dropped.
pub async fn run(core: Arc<DispatcherCore>) {
    if core.deployment().quorum_members.is_empty() {
        return;
    }
    // Separate tasks, so that a node that can't be reached does not delay the polls.
    let _removals = core.tasks.spawn(confirm_removals(Arc::clone(&core)));
    let _claim_returns = core.tasks.spawn(return_claims(Arc::clone(&core)));
    loop {
        poll_members(&core).await;
        let in_progress = core.with_rollouts(|_, rollouts| rollouts.in_progress());
        async_io::Timer::after(if in_progress {
            ROUND_INTERVAL
        } else {
            IDLE_ROUND_INTERVAL
        })
        .await;
    }
}

/// Releases the claims that the core no longer uses.
async fn return_claims(core: Arc<DispatcherCore>) {
    while let Ok((service, claim)) = core.returned_claims.recv().await {
        let (owned_core, tasks) = (Arc::clone(&core), Arc::clone(&core.tasks));
        tasks
            .spawn(async move { release(&owned_core, &service, claim).await })
            .detach();
    }
}

async fn confirm_removals(core: Arc<DispatcherCore>) {
    loop {
        for (claim, pair) in core.confirm_removals().await {
            info!(
                old = pair.old,
                new = pair.new,
                "removed the replicas that an interrupted replacement had left before the restart"
            );
            forget_pair(&core, claim, pair).await;
        }
        async_io::Timer::after(ROUND_INTERVAL).await;
    }
}

async fn poll_members(core: &Arc<DispatcherCore>) {
    let replies = request_all(core, Operation::Query(v1::QuorumQuery::default())).await;
    let members = core.deployment().quorum_members.len();
    let reports = reports_by_service(&replies);
    let mut newer = Vec::new();
    core.with_rollouts(|_, rollouts| {
        rollouts.members_heard = replies.len();
        for (service, reports) in reports {
            let known = rollouts
                .controllers
                .get(&service)
                .map_or(0, |controller| controller.rollout().revision);
            newer.extend(
                committed(&reports.rollouts, members)
                    .filter(|rollout| rollout.revision > known)
                    .cloned(),
            );
            rollouts.reported_slots.insert(service, reports.slots);
        }
    });
    for rollout in newer {
        follow_rollout(core, rollout).await;
    }
    for (service, rollout, actions) in next_actions(core, members) {
        apply_actions(core, &service, rollout, actions).await;
    }
    core.retry_stops();
}

/// The reports of the quorum members on one service.
#[derive(Default)]
struct ServiceReports {
    rollouts: Vec<Rollout>,
    slots: Vec<ReportedSlot>,
}

fn reports_by_service(replies: &[v1::QuorumResponse]) -> BTreeMap<String, ServiceReports> {
    let mut by_service: BTreeMap<String, ServiceReports> = BTreeMap::new();
    for entry in replies.iter().flat_map(|reply| &reply.entries) {
        let Some(rollout) = entry.rollout.as_ref().and_then(rollout_from_message) else {
            continue;
        };
        let reports = by_service.entry(rollout.service.clone()).or_default();
        reports.rollouts.push(rollout);
        for slot in &entry.slots {
            let grant = Grant {
                claim: ClaimId(slot.claim),
                task: slot.task.clone(),
                dispatcher: slot.dispatcher,
            };
            let mut known = reports.slots.iter_mut();
            match known.find(|known| known.slot == slot.slot && known.grant == grant) {
                Some(known) => known.members += 1,
                None => reports.slots.push(ReportedSlot {
                    slot: slot.slot,
                    grant,
                    members: 1,
                }),
            }
        }
    }
    by_service
}

/// Follows a committed rollout. It is stored on disk first, because after a restart with the
/// version before it this dispatcher would place replicas of both.
async fn follow_rollout(core: &Arc<DispatcherCore>, rollout: Rollout) {
    let (store, stored) = (Arc::clone(&core.store), rollout.clone());
    match blocking::unblock(move || store.save_rollout(&stored)).await {
        Ok(()) => {
            info!(
                service = rollout.service,
                number = rollout.revision,
                version = rollout.version,
                "following a committed rollout"
            );
            core.adopt(rollout);
        }
        Err(error) => {
            warn!(
                service = rollout.service,
                why = error.to_string(),
                "a rollout can't be stored on disk, and is not followed"
            )
        }
    }
}

/// Returns the actions that the controllers decide, by service. Returns none without a majority of
/// the quorum members, because only a majority knows all claims and can grant them.
fn next_actions(core: &Arc<DispatcherCore>, members: usize) -> Vec<(String, Rollout, Actions)> {
    core.with_rollouts(|now, rollouts| {
        if !is_majority(rollouts.members_heard, members) {
            return Vec::new();
        }
        let (members_heard, reported) = (rollouts.members_heard, &rollouts.reported_slots);
        let controllers = rollouts.controllers.iter_mut();
        let actions = controllers.map(|(service, controller)| {
            let slots = reported.get(service).map_or(&[][..], |slots| &slots[..]);
            let restored = controller.verify_restored_claims(slots, members_heard, members);
            let mut actions = controller.reconcile(now, slots);
            actions.release.extend(restored.lost);
            actions.claims.extend(restored.retry);
            (service.clone(), controller.rollout().clone(), actions)
        });
        actions.collect()
    })
}

async fn apply_actions(
    core: &Arc<DispatcherCore>,
    service: &str,
    rollout: Rollout,
    actions: Actions,
) {
    for claim in actions.release {
        release(core, service, claim).await;
    }
    for leftover in actions.clean_up {
        core.clear_foreign_claim(service, &leftover.task, leftover.claim);
    }
    if let Some(why) = actions.halt {
        warn!(service, version = rollout.version, why, "halting a rollout");
        let halted = rollout.with_phase(
            Phase::Halted(why),
            u64::from(core.deployment().cluster.scheduler_index as u32),
        );
        let _ = propose(core, halted).await;
    }
    actions
        .cancel_surge
        .iter()
        .for_each(|task| core.cancel_surge_of(task));
    for task in actions.stop_old {
        // Stored on disk before the old replica is stopped, because after a restart it is not known
        // which of the two the client has.
        if save_pair(core, service, &task, true).await.is_some() {
            core.stop_superseded(&task);
        }
    }
    start_surges(core, service, actions.surge).await;
    for task in actions.replace {
        core.replace(&task);
    }
    for request in actions.claims {
        request_claim(core, service, rollout.revision, request).await;
    }
}

/// Requests a slot from the quorum members, and starts to use it if a majority grants it.
async fn request_claim(
    core: &Arc<DispatcherCore>,
    service: &str,
    revision: u64,
    request: ClaimRequest,
) {
    let ClaimRequest { claim, slot, task } = request;
    let members = core.deployment().quorum_members.len();
    let mut granted = 0;
    if save_claim(core, claim, service, &task, false, None).await {
        let slot = v1::Slot {
            slot,
            claim: claim.0,
            task: task.clone(),
            dispatcher: core.deployment().cluster.scheduler_index as u32,
        };
        let message = v1::Claim {
            service: service.into(),
            revision,
            slot: Some(slot),
            decider: Some(core.sender(OperationKind::Claim, members)),
        };
        let replies = request_all(core, Operation::Claim(message)).await;
        granted = replies.iter().filter(|reply| reply.granted).count();
    }
    let members = core.deployment().quorum_members.len();
    // Stored on disk before a replica is stopped under it, because after a restart the dispatcher
    // must know that the slot is in use.
    if is_majority(granted, members) && !save_claim(core, claim, service, &task, true, None).await {
        granted = 0;
    }
    let votes = Votes { granted, members };
    let won = core.with_rollouts(|now, rollouts| {
        rollouts
            .controller(service)
            .is_some_and(|controller| controller.claim_decided(now, claim, votes))
    });
    if !won {
        return release(core, service, claim).await;
    }
    // Used at once, because a slot that is held without being used may be taken for an abandoned
    // one.
    let (surges, replacements) = core.with_rollouts(|now, rollouts| {
        let started = rollouts
            .controller(service)
            .map(|own| (own.start_surges(now), own.start_replacements(now)));
        started.unwrap_or_default()
    });
    start_surges(core, service, surges).await;
    replacements
        .into_iter()
        .for_each(|task| core.replace(&task));
}

/// Removes the pair from a stored claim after an earlier incarnation's replicas have been removed.
/// The claim itself stays on disk. A claim that is in use again with another pair is left as it is.
async fn forget_pair(core: &Arc<DispatcherCore>, claim: ClaimId, pair: ReplicaPair) {
    let store = Arc::clone(&core.store);
    let saved = blocking::unblock(move || {
        let stored = store
            .load()
            .claims
            .into_iter()
            .find(|stored| stored.claim == claim && stored.pair == Some(pair.clone()));
        stored.map_or(Ok(()), |stored| {
            store.save_claim(&StoredClaim {
                pair: None,
                ..stored
            })
        })
    });
    if let Err(why) = saved.await {
        warn!(
            why = why.to_string(),
            "a replica pair of an earlier incarnation is removed, but its record stays on disk"
        );
    }
}

/// Starts surge replicas beside old ones.
async fn start_surges(core: &Arc<DispatcherCore>, service: &str, tasks: Vec<String>) {
    for task in tasks {
        if core.is_removing_surge(&task) {
            core.with_rollouts(|_, rollouts| {
                rollouts
                    .controller(service)
                    .map(|controller| controller.postpone_surge(&task))
            });
            continue;
        }
        match save_pair(core, service, &task, false).await {
            Some(pair) => core.start_surge(&task, &pair.new),
            None => core.surge_not_started(service, &task),
        }
    }
}

/// Stores on disk that a task is about to have two replicas, or that the old one is about to be
/// stopped.
async fn save_pair(
    core: &Arc<DispatcherCore>,
    service: &str,
    task: &str,
    retires: bool,
) -> Option<ReplicaPair> {
    let claim = core.with_rollouts(|_, rollouts| rollouts.controller(service)?.claim_of(task))?;
    let pair = ReplicaPair {
        retires,
        ..core.pair(task)?
    };
    save_claim(core, claim, service, task, true, Some(pair.clone()))
        .await
        .then_some(pair)
}

async fn save_claim(
    core: &Arc<DispatcherCore>,
    claim: ClaimId,
    service: &str,
    task: &str,
    won: bool,
    pair: Option<ReplicaPair>,
) -> bool {
    let store = Arc::clone(&core.store);
    let stored_claim = StoredClaim {
        claim,
        service: service.into(),
        task: task.into(),
        won,
        pair,
    };
    let saved = blocking::unblock(move || store.save_claim(&stored_claim)).await;
    if let Err(why) = &saved {
        warn!(
            service,
            task,
            why = why.to_string(),
            "a claim can't be stored on disk, and is not used"
        );
    }
    saved.is_ok()
}

/// Releases a claim at all quorum members, and deletes it from disk.
async fn release(core: &Arc<DispatcherCore>, service: &str, claim: ClaimId) {
    let request = v1::Release {
        service: service.into(),
        claim: claim.0,
    };
    // A member that misses the release reports the claim again, and gets another release then.
    request_all(core, Operation::Release(request)).await;
    let store = Arc::clone(&core.store);
    if let Err(why) = blocking::unblock(move || store.delete_claim(claim)).await {
        warn!(
            service,
            why = why.to_string(),
            "a released claim can't be deleted from disk"
        );
    }
}

/// Proposes a rollout to all quorum members. Returns the rollout that is committed afterwards, if
/// any.
pub async fn propose(core: &Arc<DispatcherCore>, rollout: Rollout) -> Option<Rollout> {
    let replies = request_all(core, Operation::Propose(rollout_message(&rollout))).await;
    let proposals: Vec<Rollout> = replies
        .iter()
        .flat_map(|reply| &reply.entries)
        .filter_map(|entry| entry.rollout.as_ref().and_then(rollout_from_message))
        .collect();
    committed(&proposals, core.deployment().quorum_members.len()).cloned()
}

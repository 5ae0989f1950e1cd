//! Rolling updates: the conductors' answers carried out, keepers asked, claims kept on disk before
//! the step that depends on them. What is decided stands in `corkspan_rollout`.

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

/// Between two rounds to the keepers while a roll goes on.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// The same while none does: hundreds of dispatchers ask the same few keepers.
const IDLE_ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Goes round the keepers again and again, for as long as it is polled.
pub async fn run(core: Arc<DispatcherCore>) {
    if core.deployment().quorum_members.is_empty() {
        return;
    }
    // Apart from the rounds: a node that is out of reach must not hold them up.
    let _clears = core.tasks.spawn(confirm_removals(Arc::clone(&core)));
    let _gives_back = core.tasks.spawn(return_claims(Arc::clone(&core)));
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

/// Claims that the desk has no more use for go back to the keepers.
async fn return_claims(core: Arc<DispatcherCore>) {
    while let Ok((service, claim)) = core.returned_claims.recv().await {
        let (own, tasks) = (Arc::clone(&core), Arc::clone(&core.tasks));
        tasks
            .spawn(async move { release(&own, &service, claim).await })
            .detach();
    }
}

async fn confirm_removals(core: Arc<DispatcherCore>) {
    loop {
        for (claim, pair) in core.confirm_removals().await {
            info!(
                old = pair.old,
                new = pair.new,
                "what was left of a replacing before the restart is put away"
            );
            forget_pair(&core, claim, pair).await;
        }
        async_io::Timer::after(ROUND_INTERVAL).await;
    }
}

async fn poll_members(core: &Arc<DispatcherCore>) {
    let told = request_all(core, Operation::Query(v1::QuorumQuery::default())).await;
    let keepers = core.deployment().quorum_members.len();
    let mut by_service: BTreeMap<String, (Vec<Rollout>, Vec<ReportedSlot>)> = BTreeMap::new();
    for kept in told.iter().flat_map(|word| &word.entries) {
        let Some(roll) = kept.rollout.as_ref().and_then(rollout_from_message) else {
            continue;
        };
        let (rollouts, held) = by_service.entry(roll.service.clone()).or_default();
        rollouts.push(roll);
        for slot in &kept.slots {
            let grant = Grant {
                claim: ClaimId(slot.claim),
                task: slot.task.clone(),
                dispatcher: slot.dispatcher,
            };
            match held
                .iter_mut()
                .find(|known| known.slot == slot.slot && known.grant == grant)
            {
                Some(known) => known.members += 1,
                None => held.push(ReportedSlot {
                    slot: slot.slot,
                    grant,
                    members: 1,
                }),
            }
        }
    }
    let mut later = Vec::new();
    core.with_rollouts(|_, rollouts| {
        rollouts.members_heard = told.len();
        for (service, (told, held)) in by_service {
            let known = rollouts
                .controllers
                .get(&service)
                .map_or(0, |own| own.rollout().revision);
            later.extend(
                committed(&told, keepers)
                    .filter(|roll| roll.revision > known)
                    .cloned(),
            );
            rollouts.reported_slots.insert(service, held);
        }
    });
    for roll in later {
        // On disk first: a restart that fell back to the version before would place both.
        let (store, kept) = (Arc::clone(&core.store), roll.clone());
        match blocking::unblock(move || store.save_rollout(&kept)).await {
            Ok(()) => {
                info!(
                    service = roll.service,
                    number = roll.revision,
                    version = roll.version,
                    "a roll is in force"
                );
                core.adopt(roll);
            }
            Err(why) => {
                warn!(
                    service = roll.service,
                    why = why.to_string(),
                    "a roll can't be kept on disk, and is not followed"
                )
            }
        }
    }
    // Without a majority what they tell is not the whole truth, and nothing can be won.
    let looks: Vec<(String, Rollout, Actions)> = core.with_rollouts(|now, rollouts| {
        if !is_majority(rollouts.members_heard, keepers) {
            return Vec::new();
        }
        let held = &rollouts.reported_slots;
        let all = rollouts
            .controllers
            .iter_mut()
            .map(|(service, controller)| {
                let held = held.get(service).map_or(&[][..], |held| &held[..]);
                let recalled =
                    controller.verify_restored_claims(held, rollouts.members_heard, keepers);
                let mut look = controller.reconcile(now, held);
                look.release.extend(recalled.lost);
                look.claims.extend(recalled.retry);
                (service.clone(), controller.rollout().clone(), look)
            });
        all.collect()
    });
    for (service, roll, look) in looks {
        apply_actions(core, &service, roll, look).await;
    }
    core.retry_stops();
}

async fn apply_actions(core: &Arc<DispatcherCore>, service: &str, roll: Rollout, look: Actions) {
    for claim in look.release {
        release(core, service, claim).await;
    }
    for left in look.clean_up {
        core.clear_foreign_claim(service, &left.task, left.claim);
    }
    if let Some(why) = look.halt {
        warn!(service, version = roll.version, why, "the roll halts");
        let halted = roll.with_phase(
            Phase::Halted(why),
            u64::from(core.deployment().cluster.scheduler_index as u32),
        );
        let _ = propose(core, halted).await;
    }
    look.cancel_surge
        .iter()
        .for_each(|task| core.cancel_surge_of(task));
    for task in look.stop_old {
        // On disk before the old one is stopped: a restart can't know which of the two the owner
        // has.
        if save_pair(core, service, &task, true).await.is_some() {
            core.stop_superseded(&task);
        }
    }
    start_surges(core, service, look.surge).await;
    for task in look.replace {
        core.replace(&task);
    }
    for ClaimRequest { claim, slot, task } in look.claims {
        let mut granted = 0;
        if save_claim(core, claim, service, &task, false, None).await {
            let dispatcher = core.deployment().cluster.scheduler_index as u32;
            let slot = v1::Slot {
                slot,
                claim: claim.0,
                task: task.clone(),
                dispatcher,
            };
            let by =
                Some(core.sender(OperationKind::Claim, core.deployment().quorum_members.len()));
            let ask = v1::Claim {
                service: service.into(),
                revision: roll.revision,
                slot: Some(slot),
                decider: by,
            };
            let replies = request_all(core, Operation::Claim(ask)).await;
            granted = replies.iter().filter(|word| word.granted).count();
        }
        let keepers = core.deployment().quorum_members.len();
        // On disk before anything is taken down under it: a restart must know that the slot is
        // used.
        if is_majority(granted, keepers)
            && !save_claim(core, claim, service, &task, true, None).await
        {
            granted = 0;
        }
        let votes = Votes {
            granted,
            members: keepers,
        };
        let won = core.with_rollouts(|now, rollouts| {
            rollouts
                .controller(service)
                .is_some_and(|controller| controller.claim_decided(now, claim, votes))
        });
        if !won {
            release(core, service, claim).await;
            continue;
        }
        // At once: a slot that is held and not used may be taken for one that was left behind.
        let (grown, replace) = core.with_rollouts(|now, rollouts| {
            let both = rollouts
                .controller(service)
                .map(|own| (own.start_surges(now), own.start_replacements(now)));
            both.unwrap_or_default()
        });
        start_surges(core, service, grown).await;
        replace.into_iter().for_each(|task| core.replace(&task));
    }
}

/// The two of an earlier life are put away: the claim alone stays on disk, unless it is used anew
/// by now.
async fn forget_pair(core: &Arc<DispatcherCore>, claim: ClaimId, pair: ReplicaPair) {
    let store = Arc::clone(&core.store);
    let kept = blocking::unblock(move || {
        let held = store
            .load()
            .claims
            .into_iter()
            .find(|held| held.claim == claim && held.pair == Some(pair.clone()));
        held.map_or(Ok(()), |held| {
            store.save_claim(&StoredClaim { pair: None, ..held })
        })
    });
    if let Err(why) = kept.await {
        warn!(
            why = why.to_string(),
            "what an earlier life left is gone, and stays on disk"
        );
    }
}

/// Starts new copies beside old ones.
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

/// Keeps on disk that two copies of a task are about to be beside each other, or the old one to be
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
    let held = StoredClaim {
        claim,
        service: service.into(),
        task: task.into(),
        won,
        pair,
    };
    let kept = blocking::unblock(move || store.save_claim(&held)).await;
    if let Err(why) = &kept {
        warn!(
            service,
            task,
            why = why.to_string(),
            "a claim can't be kept on disk, and is not used"
        );
    }
    kept.is_ok()
}

/// Gives a claim back at all keepers.
async fn release(core: &Arc<DispatcherCore>, service: &str, claim: ClaimId) {
    let ask = v1::Release {
        service: service.into(),
        claim: claim.0,
    };
    // A keeper that doesn't hear tells of it again, and hears it again then.
    request_all(core, Operation::Release(ask)).await;
    let store = Arc::clone(&core.store);
    if let Err(why) = blocking::unblock(move || store.delete_claim(claim)).await {
        warn!(
            service,
            why = why.to_string(),
            "a claim given back stays on disk"
        );
    }
}

/// Proposes a wish to all keepers. What stands at a majority afterwards, if anything does.
pub async fn propose(core: &Arc<DispatcherCore>, roll: Rollout) -> Option<Rollout> {
    let replies = request_all(core, Operation::Propose(rollout_message(&roll))).await;
    let stands: Vec<Rollout> = replies
        .iter()
        .flat_map(|word| &word.entries)
        .filter_map(|kept| kept.rollout.as_ref().and_then(rollout_from_message))
        .collect();
    committed(&stands, core.deployment().quorum_members.len()).cloned()
}

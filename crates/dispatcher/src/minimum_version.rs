//! The minimum version: polled from the quorum members, and raised by a policy or by operators. The
//! decisions are made in `corkspan_version_fencing`.

use crate::active_version;
use crate::clock::duration;
use crate::core::DispatcherCore;
use crate::quorum_client::request_all;
pub use crate::version_gate::{
    log_minimum_version, minimum_version_from_message, minimum_version_message,
};
use corkspan_api::v1::{self, quorum_request::Operation};
use corkspan_config::MinimumVersionSettings;
use corkspan_quorum::{committed, sampled};
use corkspan_version_fencing::catch_up::should_store;
use corkspan_version_fencing::policy::{MinimumVersionPolicy, PolicyWatch};
use corkspan_version_fencing::{MinimumVersion, propose};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tonic::Status;
use tracing::{info, warn};

/// Interval between two writes of the version history.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Stores the version history on disk at intervals until the future is dropped. No decision depends
/// on the stored history, so nothing waits for it; a failed write is retried.
pub async fn save_history(core: Arc<DispatcherCore>) {
    if core.deployment().rollout_store.is_none() {
        return;
    }
    let mut told = false;
    loop {
        if core.fencing.has_unwritten_history() {
            // Read before the history: changes made meanwhile are written in the next round.
            let changed = core.fencing.history_changes.load(Ordering::Relaxed);
            let (spans, store) = (
                core.fencing.history().intervals().clone(),
                Arc::clone(&core.store),
            );
            let kept = blocking::unblock(move || store.save_version_history(&spans)).await;
            match &kept {
                Ok(()) => core
                    .fencing
                    .history_changes_written
                    .store(changed, Ordering::Relaxed),
                Err(why) if !told => {
                    warn!(
                        why = why.to_string(),
                        "the version history can't be stored on disk; retrying each second"
                    );
                }
                Err(_) => {}
            }
            told = kept.is_err();
        }
        async_io::Timer::after(SAVE_INTERVAL).await;
    }
}

/// Polls the quorum members until the future is dropped: for the minimum version, for the versions
/// that the fleet has adopted if a policy raises the minimum, and to store a version for
/// dispatchers that are behind.
pub async fn run(core: Arc<DispatcherCore>) {
    if core.deployment().minimum_version.is_none() {
        return;
    }
    let (mut watch, mut rng) = (
        PolicyWatch::default(),
        Pcg64Mcg::seed_from_u64(core.fencing.incarnation),
    );
    while let Some(own) = core.deployment().minimum_version.clone() {
        let replies = poll_quorum(&core, &own).await;
        let deployment = core.deployment();
        let (keepers, now) = (deployment.quorum_members.len(), core.clock.now());
        let told: Vec<Option<MinimumVersion>> = replies
            .iter()
            .map(|word| {
                word.minimum_version
                    .as_ref()
                    .map(minimum_version_from_message)
            })
            .collect();
        let news = core.fencing.gate().apply_quorum_replies(&told, keepers);
        if let Some(floor) = core.fencing.minimum_version().filter(|_| news) {
            log_minimum_version(floor, deployment.version, "the quorum members");
        }
        if own.max_versions_behind.is_some() || own.max_age.is_some() {
            let rule = MinimumVersionPolicy {
                max_behind: own.max_versions_behind,
                max_age: own.max_age,
                adoption_permille: own.required_thousandths,
            };
            let taken: Vec<Option<u64>> = replies.iter().map(|word| word.adopted_version).collect();
            let stands = committed(told.iter().flatten(), keepers).map(|floor| floor.version);
            // All dispatchers see the same state in the same round, so it is enough if a sample of
            // them proposes.
            let chance = sampled(deployment.cluster.scheduler_count, rng.random());
            let lowest = watch
                .evaluate(now, rule, &taken, keepers, stands)
                .filter(|_| chance);
            if let Some(lowest) = lowest {
                raise_by_policy(&core, lowest).await;
            }
        }
        offer_to_caches(&core, &replies, rng.random()).await;
        async_io::Timer::after(duration(own.poll_interval)).await;
    }
}

async fn raise_by_policy(core: &Arc<DispatcherCore>, lowest: u64) {
    match raise(core, lowest).await {
        Ok(word) if word.accepted => {
            info!(lowest, "the policy has raised the minimum version")
        }
        Ok(word) => info!(
            lowest,
            why = word.message,
            "the policy could not raise the minimum version"
        ),
        Err(why) => info!(
            lowest,
            why = why.message(),
            "the policy could not raise the minimum version"
        ),
    }
}

/// Reports the version that runs here to the quorum members, and returns their replies.
async fn poll_quorum(
    core: &Arc<DispatcherCore>,
    own: &MinimumVersionSettings,
) -> Vec<v1::QuorumResponse> {
    let (running, on_trial) = core.active_version.with(|state| {
        (
            state.subscriber.active_version(),
            state.subscriber.on_trial(),
        )
    });
    let cluster = &core.deployment().cluster;
    let (dispatcher, fleet) = (
        cluster.scheduler_index as u32,
        cluster.scheduler_count as u32,
    );
    let runs = Some(v1::ActiveVersion {
        dispatcher,
        version: Some(active_version::version_id_message(running)),
        on_trial,
    });
    request_all(
        core,
        Operation::Query(v1::QuorumQuery {
            minimum_version_only: true,
            active_version: runs,
            required_thousandths: own.required_thousandths,
            fleet_size: fleet,
            include_leases: false,
        }),
    )
    .await
}

/// Stores the version that has passed its trial here at the quorum members, if one of them holds an
/// older version or none.
async fn offer_to_caches(core: &Arc<DispatcherCore>, replies: &[v1::QuorumResponse], chance: f64) {
    let good = core
        .active_version
        .with(|state| match state.subscriber.on_trial() {
            true => None,
            false => state.version_cache.newest(),
        });
    let Some(good) = good else { return };
    let oldest = replies
        .iter()
        .map(|word| {
            word.stored_version
                .as_ref()
                .and_then(active_version::version_id_from_message)
        })
        .min();
    let Some(theirs) = oldest else { return };
    let fleet = core.deployment().cluster.scheduler_count;
    if !should_store(
        good.number,
        theirs.map(|version_id| version_id.number),
        fleet,
        chance,
    ) {
        return;
    }
    let Some(push) = core
        .active_version
        .with(|state| state.version_cache.push_to_store(theirs))
    else {
        return;
    };
    request_all(
        core,
        Operation::StoreVersion(active_version::push_message(push)),
    )
    .await;
    info!(
        number = good.number,
        "stored a version at the quorum members for dispatchers that are behind"
    );
}

/// Returns the proposals that the quorum members hold.
async fn quorum_proposals(core: &Arc<DispatcherCore>) -> Vec<Option<MinimumVersion>> {
    let tell = v1::QuorumQuery {
        minimum_version_only: true,
        ..v1::QuorumQuery::default()
    };
    let replies = request_all(core, Operation::Query(tell)).await;
    replies
        .iter()
        .map(|word| {
            word.minimum_version
                .as_ref()
                .map(minimum_version_from_message)
        })
        .collect()
}

/// Proposes another minimum version to the quorum members.
pub async fn raise(
    core: &Arc<DispatcherCore>,
    lowest: u64,
) -> Result<v1::RaiseMinimumVersionResponse, Status> {
    let keepers = core.deployment().quorum_members.len();
    if keepers == 0 {
        return Err(Status::failed_precondition(
            "the deployment names no quorum members: it has no `(keepers …)`",
        ));
    }
    let proposer = core.clock.now().rotate_left(24) ^ core.fencing.incarnation;
    let wish = match propose(&quorum_proposals(core).await, keepers, lowest, proposer) {
        Ok(wish) => wish,
        Err(why) => {
            let stands = core.fencing.minimum_version().map(minimum_version_message);
            return Ok(v1::RaiseMinimumVersionResponse {
                accepted: false,
                message: why.to_string(),
                current: stands,
            });
        }
    };
    let replies = request_all(
        core,
        Operation::MinimumVersion(minimum_version_message(wish)),
    )
    .await;
    let told: Vec<MinimumVersion> = replies
        .iter()
        .filter_map(|word| {
            word.minimum_version
                .as_ref()
                .map(minimum_version_from_message)
        })
        .collect();
    let stands = committed(&told, keepers).copied();
    let text = match stands {
        Some(floor) if floor == wish => String::new(),
        Some(_) => "rejected: another minimum version was requested at the same time".into(),
        None => "no majority of the quorum members has accepted it; the committed minimum version is not known".into(),
    };
    Ok(v1::RaiseMinimumVersionResponse {
        accepted: stands == Some(wish),
        message: text,
        current: stands.map(minimum_version_message),
    })
}

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
    let mut failure_logged = false;
    loop {
        if core.fencing.has_unwritten_history() {
            // Read before the history: changes made meanwhile are written in the next round.
            let changed = core.fencing.history_changes.load(Ordering::Relaxed);
            let (intervals, store) = (
                core.fencing.history().intervals().clone(),
                Arc::clone(&core.store),
            );
            let saved = blocking::unblock(move || store.save_version_history(&intervals)).await;
            match &saved {
                Ok(()) => core
                    .fencing
                    .history_changes_written
                    .store(changed, Ordering::Relaxed),
                Err(why) if !failure_logged => {
                    warn!(
                        why = why.to_string(),
                        "the version history can't be stored on disk; retrying each second"
                    );
                }
                Err(_) => {}
            }
            failure_logged = saved.is_err();
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
    while let Some(settings) = core.deployment().minimum_version.clone() {
        let replies = poll_quorum(&core, &settings).await;
        let deployment = core.deployment();
        let (members, now) = (deployment.quorum_members.len(), core.clock.now());
        let reported: Vec<Option<MinimumVersion>> = replies
            .iter()
            .map(|reply| {
                reply
                    .minimum_version
                    .as_ref()
                    .map(minimum_version_from_message)
            })
            .collect();
        let changed = core.fencing.gate().apply_quorum_replies(&reported, members);
        if let Some(minimum) = core.fencing.minimum_version().filter(|_| changed) {
            log_minimum_version(minimum, deployment.version, "the quorum members");
        }
        if settings.max_versions_behind.is_some() || settings.max_age.is_some() {
            let policy = MinimumVersionPolicy {
                max_behind: settings.max_versions_behind,
                max_age: settings.max_age,
                adoption_permille: settings.required_thousandths,
            };
            let adopted: Vec<Option<u64>> =
                replies.iter().map(|reply| reply.adopted_version).collect();
            let committed_minimum =
                committed(reported.iter().flatten(), members).map(|minimum| minimum.version);
            // All dispatchers see the same state in the same round, so it is enough if a sample of
            // them proposes.
            let is_sampled = sampled(deployment.cluster.scheduler_count, rng.random());
            let lowest = watch
                .evaluate(now, policy, &adopted, members, committed_minimum)
                .filter(|_| is_sampled);
            if let Some(lowest) = lowest {
                raise_by_policy(&core, lowest).await;
            }
        }
        offer_to_caches(&core, &replies, rng.random()).await;
        async_io::Timer::after(duration(settings.poll_interval)).await;
    }
}

async fn raise_by_policy(core: &Arc<DispatcherCore>, lowest: u64) {
    match raise(core, lowest).await {
        Ok(reply) if reply.accepted => {
            info!(lowest, "the policy has raised the minimum version")
        }
        Ok(reply) => info!(
            lowest,
            why = reply.message,
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
    settings: &MinimumVersionSettings,
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
    let active = Some(v1::ActiveVersion {
        dispatcher,
        version: Some(active_version::version_id_message(running)),
        on_trial,
    });
    request_all(
        core,
        Operation::Query(v1::QuorumQuery {
            minimum_version_only: true,
            active_version: active,
            required_thousandths: settings.required_thousandths,
            fleet_size: fleet,
            include_leases: false,
        }),
    )
    .await
}

/// Stores the version that has passed its trial here at the quorum members, if one of them holds an
/// older version or none.
async fn offer_to_caches(core: &Arc<DispatcherCore>, replies: &[v1::QuorumResponse], random: f64) {
    let good = core
        .active_version
        .with(|state| match state.subscriber.on_trial() {
            true => None,
            false => state.version_cache.newest(),
        });
    let Some(good) = good else { return };
    let oldest = replies
        .iter()
        .map(|reply| {
            reply
                .stored_version
                .as_ref()
                .and_then(active_version::version_id_from_message)
        })
        .min();
    let Some(oldest_stored) = oldest else { return };
    let fleet = core.deployment().cluster.scheduler_count;
    if !should_store(
        good.number,
        oldest_stored.map(|version_id| version_id.number),
        fleet,
        random,
    ) {
        return;
    }
    let Some(push) = core
        .active_version
        .with(|state| state.version_cache.push_to_store(oldest_stored))
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
    let query = v1::QuorumQuery {
        minimum_version_only: true,
        ..v1::QuorumQuery::default()
    };
    let replies = request_all(core, Operation::Query(query)).await;
    replies
        .iter()
        .map(|reply| {
            reply
                .minimum_version
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
    let members = core.deployment().quorum_members.len();
    if members == 0 {
        return Err(Status::failed_precondition(
            "the deployment names no quorum members: it has no `(keepers …)`",
        ));
    }
    let proposer = core.clock.now().rotate_left(24) ^ core.fencing.incarnation;
    let proposal = match propose(&quorum_proposals(core).await, members, lowest, proposer) {
        Ok(proposal) => proposal,
        Err(why) => {
            let committed_minimum = core.fencing.minimum_version().map(minimum_version_message);
            return Ok(v1::RaiseMinimumVersionResponse {
                accepted: false,
                message: why.to_string(),
                current: committed_minimum,
            });
        }
    };
    let replies = request_all(
        core,
        Operation::MinimumVersion(minimum_version_message(proposal)),
    )
    .await;
    let reported: Vec<MinimumVersion> = replies
        .iter()
        .filter_map(|reply| {
            reply
                .minimum_version
                .as_ref()
                .map(minimum_version_from_message)
        })
        .collect();
    let committed_minimum = committed(&reported, members).copied();
    let text = match committed_minimum {
        Some(minimum) if minimum == proposal => String::new(),
        Some(_) => "rejected: another minimum version was requested at the same time".into(),
        None => "no majority of the quorum members has accepted it; the committed minimum version is not known".into(),
    };
    Ok(v1::RaiseMinimumVersionResponse {
        accepted: committed_minimum == Some(proposal),
        message: text,
        current: committed_minimum.map(minimum_version_message),
    })
}

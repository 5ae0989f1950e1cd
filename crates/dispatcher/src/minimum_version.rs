//! The floor of versions: keepers asked for it, and what is heard of it kept. What is decided
//! stands in `corkspan_version_fencing`.

use crate::active_version;
use crate::clock::duration;
use crate::core::Desk;
use crate::quorum_client::ask_all;
use crate::version_gate::say;
pub use crate::version_gate::{message, read};
use corkspan_api::v1::{self, quorum_request::Operation};
use corkspan_config::FloorWatch;
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

/// Between two writes of the record.
const WRITTEN_EVERY: Duration = Duration::from_secs(1);

/// Keeps on disk which versions were in force, for as long as it is polled. It is a record and no
/// ground for any decision, so nothing waits for it; a disk that is full is tried again.
pub async fn keep(desk: Arc<Desk>) {
    if desk.deployment().rolls.is_none() {
        return;
    }
    let mut told = false;
    loop {
        if desk.fleet.unwritten() {
            // Taken before the record: what changes meanwhile is written in the next round.
            let changed = desk.fleet.changed.load(Ordering::Relaxed);
            let (spans, store) = (
                desk.fleet.record().intervals().clone(),
                Arc::clone(&desk.store),
            );
            let kept = blocking::unblock(move || store.record(&spans)).await;
            match &kept {
                Ok(()) => desk.fleet.written.store(changed, Ordering::Relaxed),
                Err(why) if !told => {
                    warn!(
                        why,
                        "which versions were in force can't be kept on disk; tried again each second"
                    );
                }
                Err(_) => {}
            }
            told = kept.is_err();
        }
        async_io::Timer::after(WRITTEN_EVERY).await;
    }
}

/// Asks the keepers again and again, for as long as it is polled: for the floor, for what enough of
/// the fleet have taken where a rule raises the floor by that, and to lay a version on their
/// shelves for stragglers.
pub async fn run(desk: Arc<Desk>) {
    if desk.deployment().floor.is_none() {
        return;
    }
    let (mut watch, mut rng) = (
        PolicyWatch::default(),
        Pcg64Mcg::seed_from_u64(desk.fleet.life),
    );
    while let Some(own) = desk.deployment().floor.clone() {
        let words = tell(&desk, &own).await;
        let deployment = desk.deployment();
        let (keepers, now) = (deployment.keepers.len(), desk.clock.now());
        let told: Vec<Option<MinimumVersion>> = words
            .iter()
            .map(|word| word.minimum_version.as_ref().map(read))
            .collect();
        let news = desk.fleet.standing().apply_quorum_replies(&told, keepers);
        if let Some(floor) = desk.fleet.floor().filter(|_| news) {
            say(floor, deployment.stamp, "the keepers");
        }
        if own.behind.is_some() || own.after.is_some() {
            let rule = MinimumVersionPolicy {
                max_behind: own.behind,
                max_age: own.after,
                adoption_permille: own.part,
            };
            let taken: Vec<Option<u64>> = words.iter().map(|word| word.adopted_version).collect();
            let stands = committed(told.iter().flatten(), keepers).map(|floor| floor.version);
            // Hundreds see it in the same round: a few that ask are enough.
            let chance = sampled(deployment.cluster.scheduler_count, rng.random());
            let lowest = watch
                .evaluate(now, rule, &taken, keepers, stands)
                .filter(|_| chance);
            if let Some(lowest) = lowest {
                match raise(&desk, lowest).await {
                    Ok(word) if word.accepted => {
                        info!(lowest, "the floor of versions is raised by its rule")
                    }
                    Ok(word) => info!(
                        lowest,
                        why = word.message,
                        "the floor of versions is not raised"
                    ),
                    Err(why) => info!(
                        lowest,
                        why = why.message(),
                        "the floor of versions is not raised"
                    ),
                }
            }
        }
        lay(&desk, &words, rng.random()).await;
        async_io::Timer::after(duration(own.every)).await;
    }
}

/// What the keepers that answer hold of the fleet, told what runs here.
async fn tell(desk: &Arc<Desk>, own: &FloorWatch) -> Vec<v1::QuorumResponse> {
    let (running, on_trial) = desk.versions.with(|state| {
        (
            state.subscriber.active_version(),
            state.subscriber.on_trial(),
        )
    });
    let cluster = &desk.deployment().cluster;
    let (dispatcher, fleet) = (
        cluster.scheduler_index as u32,
        cluster.scheduler_count as u32,
    );
    let runs = Some(v1::ActiveVersion {
        dispatcher,
        version: Some(active_version::message(running)),
        on_trial,
    });
    ask_all(
        desk,
        Operation::Query(v1::QuorumQuery {
            minimum_version_only: true,
            active_version: runs,
            required_thousandths: own.part,
            fleet_size: fleet,
            include_leases: false,
        }),
    )
    .await
}

/// Lays the version that has stood its trial here on the shelves of keepers where an older one
/// lies, or none.
async fn lay(desk: &Arc<Desk>, words: &[v1::QuorumResponse], chance: f64) {
    let good = desk
        .versions
        .with(|state| match state.subscriber.on_trial() {
            true => None,
            false => state.shelf.newest(),
        });
    let Some(good) = good else { return };
    let oldest = words
        .iter()
        .map(|word| word.stored_version.as_ref().and_then(active_version::stamp))
        .min();
    let Some(theirs) = oldest else { return };
    let fleet = desk.deployment().cluster.scheduler_count;
    if !should_store(good.number, theirs.map(|stamp| stamp.number), fleet, chance) {
        return;
    }
    let Some(push) = desk
        .versions
        .with(|state| state.shelf.push_to_store(theirs))
    else {
        return;
    };
    ask_all(
        desk,
        Operation::StoreVersion(active_version::push_message(push)),
    )
    .await;
    info!(
        number = good.number,
        "a version is laid on the keepers' shelves for stragglers"
    );
}

/// The wishes that stand at those keepers that answer.
async fn ask(desk: &Arc<Desk>) -> Vec<Option<MinimumVersion>> {
    let tell = v1::QuorumQuery {
        minimum_version_only: true,
        ..v1::QuorumQuery::default()
    };
    let words = ask_all(desk, Operation::Query(tell)).await;
    words
        .iter()
        .map(|word| word.minimum_version.as_ref().map(read))
        .collect()
}

/// Asks the keepers for another floor.
pub async fn raise(
    desk: &Arc<Desk>,
    lowest: u64,
) -> Result<v1::RaiseMinimumVersionResponse, Status> {
    let keepers = desk.deployment().keepers.len();
    if keepers == 0 {
        return Err(Status::failed_precondition(
            "the deployment names no keepers",
        ));
    }
    let asker = desk.clock.now().rotate_left(24) ^ desk.fleet.life;
    let wish = match propose(&ask(desk).await, keepers, lowest, asker) {
        Ok(wish) => wish,
        Err(why) => {
            let stands = desk.fleet.floor().map(message);
            return Ok(v1::RaiseMinimumVersionResponse {
                accepted: false,
                message: why.to_string(),
                current: stands,
            });
        }
    };
    let words = ask_all(desk, Operation::MinimumVersion(message(wish))).await;
    let told: Vec<MinimumVersion> = words
        .iter()
        .filter_map(|word| word.minimum_version.as_ref().map(read))
        .collect();
    let stands = committed(&told, keepers).copied();
    let text = match stands {
        Some(floor) if floor == wish => String::new(),
        Some(_) => "turned down: another floor was asked for at the same time".into(),
        None => "no majority of the keepers has taken it; nothing is known to stand".into(),
    };
    Ok(v1::RaiseMinimumVersionResponse {
        accepted: stands == Some(wish),
        message: text,
        current: stands.map(message),
    })
}

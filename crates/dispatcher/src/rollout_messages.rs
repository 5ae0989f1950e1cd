//! Conversions between rollouts and messages of `corkspan.v1`.

use corkspan_api::v1;
use corkspan_rollout::{Order, Phase, Rollout};

/// Converts a rollout to a message.
pub fn rollout_message(roll: &Rollout) -> v1::Rollout {
    let (phase, why) = match &roll.phase {
        Phase::Rolling => (v1::rollout::Phase::Rolling, String::new()),
        Phase::Paused => (v1::rollout::Phase::Paused, String::new()),
        Phase::Halted(why) => (v1::rollout::Phase::Halted, why.clone()),
    };
    v1::Rollout {
        service: roll.service.clone(),
        revision: roll.revision,
        proposer: roll.proposer,
        version: roll.version.clone(),
        previous_version: roll.previous_version.clone(),
        default_version: roll.initial_version.clone(),
        max_unavailable: roll.max_unavailable,
        max_in_progress: roll.max_in_progress,
        min_ready: roll.min_ready,
        progress_deadline: roll.progress_deadline,
        max_failures: roll.max_failures,
        phase: phase.into(),
        reason: why,
        surge: roll.order == Order::StartFirst,
    }
}

/// Converts a message to a rollout. Returns none if it has no service, version or limit.
pub fn rollout_from_message(roll: &v1::Rollout) -> Option<Rollout> {
    let sound = !roll.service.is_empty() && !roll.version.is_empty() && roll.max_unavailable > 0;
    sound.then(|| Rollout {
        service: roll.service.clone(),
        revision: roll.revision,
        proposer: roll.proposer,
        version: roll.version.clone(),
        previous_version: roll.previous_version.clone(),
        initial_version: roll.default_version.clone(),
        max_unavailable: roll.max_unavailable,
        max_in_progress: roll.max_in_progress.max(1),
        order: if roll.surge {
            Order::StartFirst
        } else {
            Order::StopFirst
        },
        min_ready: roll.min_ready,
        progress_deadline: roll.progress_deadline,
        max_failures: roll.max_failures,
        phase: match roll.phase() {
            v1::rollout::Phase::Rolling => Phase::Rolling,
            v1::rollout::Phase::Paused => Phase::Paused,
            v1::rollout::Phase::Halted => Phase::Halted(roll.reason.clone()),
        },
    })
}

//! Conversions between rollouts and messages of `corkspan.v1`.

use corkspan_api::v1;
use corkspan_rollout::{Order, Phase, Rollout};

/// Converts a rollout to a message.
pub fn rollout_message(rollout: &Rollout) -> v1::Rollout {
    let (phase, why) = match &rollout.phase {
        Phase::Rolling => (v1::rollout::Phase::Rolling, String::new()),
        Phase::Paused => (v1::rollout::Phase::Paused, String::new()),
        Phase::Halted(why) => (v1::rollout::Phase::Halted, why.clone()),
    };
    v1::Rollout {
        service: rollout.service.clone(),
        revision: rollout.revision,
        proposer: rollout.proposer,
        version: rollout.version.clone(),
        previous_version: rollout.previous_version.clone(),
        default_version: rollout.initial_version.clone(),
        max_unavailable: rollout.max_unavailable,
        max_in_progress: rollout.max_in_progress,
        min_ready: rollout.min_ready,
        progress_deadline: rollout.progress_deadline,
        max_failures: rollout.max_failures,
        phase: phase.into(),
        reason: why,
        surge: rollout.order == Order::StartFirst,
    }
}

/// Converts a message to a rollout. Returns none if it has no service, version or limit.
pub fn rollout_from_message(rollout: &v1::Rollout) -> Option<Rollout> {
    let is_valid =
        !rollout.service.is_empty() && !rollout.version.is_empty() && rollout.max_unavailable > 0;
    is_valid.then(|| Rollout {
        service: rollout.service.clone(),
        revision: rollout.revision,
        proposer: rollout.proposer,
        version: rollout.version.clone(),
        previous_version: rollout.previous_version.clone(),
        initial_version: rollout.default_version.clone(),
        max_unavailable: rollout.max_unavailable,
        max_in_progress: rollout.max_in_progress.max(1),
        order: if rollout.surge {
            Order::StartFirst
        } else {
            Order::StopFirst
        },
        min_ready: rollout.min_ready,
        progress_deadline: rollout.progress_deadline,
        max_failures: rollout.max_failures,
        phase: match rollout.phase() {
            v1::rollout::Phase::Rolling => Phase::Rolling,
            v1::rollout::Phase::Paused => Phase::Paused,
            v1::rollout::Phase::Halted => Phase::Halted(rollout.reason.clone()),
        },
    })
}

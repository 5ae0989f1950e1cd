//! Builders shared by the tests of the controller.
#![allow(dead_code)] // each test binary uses only some of them

use corkspan_rollout::controller::{
    ClaimRequest, ReplicaCounts, ReportedSlot, RolloutController, Votes,
};
use corkspan_rollout::{ClaimId, Grant, Order, Phase, Rollout};

pub const SECOND: u64 = 10_000;

pub const WON: Votes = Votes {
    granted: 2,
    members: 3,
};

pub const LOST: Votes = Votes {
    granted: 1,
    members: 3,
};

pub fn rollout(revision: u64, version: &str) -> Rollout {
    Rollout {
        service: "s".into(),
        revision,
        proposer: 1,
        version: version.into(),
        previous_version: "v1".into(),
        initial_version: "v1".into(),
        max_unavailable: 2,
        max_in_progress: 2,
        order: Order::StopFirst,
        min_ready: 2 * SECOND,
        progress_deadline: 10 * SECOND,
        max_failures: 1,
        phase: Phase::Rolling,
    }
}

/// Returns a controller with this many ready replicas of the old version.
pub fn controller(replicas: usize) -> RolloutController {
    let mut controller = RolloutController::new(0, 1, rollout(1, "v2"), 0);
    for number in 0..replicas {
        controller.replica_assigned(0, &format!("c{number}"), "v1", false);
        controller.replica_ready(0, &format!("c{number}"));
    }
    controller
}

pub fn grant(claim: ClaimId, task: &str) -> Grant {
    Grant {
        claim,
        task: task.into(),
        dispatcher: 0,
    }
}

/// Returns a slot that this many quorum members report.
pub fn reported(slot: u32, grant: Grant, members: usize) -> ReportedSlot {
    ReportedSlot {
        slot,
        grant,
        members,
    }
}

pub fn counts(total: usize, desired: usize, unready: usize) -> ReplicaCounts {
    ReplicaCounts {
        total,
        desired,
        unready,
    }
}

/// Wins a slot for one replica and replaces it. Returns the claim and the task.
pub fn win_and_replace(controller: &mut RolloutController, now: u64) -> (ClaimId, String) {
    let actions = controller.reconcile(now, &[]);
    let ClaimRequest { claim, task, .. } = actions.claims[0].clone();
    assert!(controller.claim_decided(now, claim, WON));
    for other in &actions.claims[1..] {
        assert!(!controller.claim_decided(now, other.claim, LOST));
    }
    assert_eq!(
        controller.start_replacements(now),
        std::slice::from_ref(&task)
    );
    (claim, task)
}

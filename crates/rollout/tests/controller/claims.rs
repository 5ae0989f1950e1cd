//! Tests of claiming, using and releasing slots.

use crate::support::*;
use corkspan_rollout::controller::{Actions, ClaimRequest, RolloutController};
use corkspan_rollout::{ClaimId, Grant, Phase, Rollout};
use std::collections::BTreeSet;

#[test]
fn claims_are_limited_by_free_slots_and_by_max_in_progress() {
    let mut controller = controller(5);
    let actions = controller.reconcile(0, &[]);
    assert_eq!(actions.claims.len(), 2);
    let slots: BTreeSet<u32> = actions.claims.iter().map(|request| request.slot).collect();
    assert_eq!(slots, BTreeSet::from([0, 1]), "two different slots");
    assert!(
        controller.reconcile(1, &[]).claims.is_empty(),
        "those are still pending"
    );
}

#[test]
fn a_slot_held_by_another_is_not_claimed() {
    let other = Grant {
        dispatcher: 7,
        ..grant(ClaimId(9), "x")
    };
    let actions = controller(5).reconcile(0, &[reported(0, other, 2)]);
    assert_eq!(
        actions
            .claims
            .iter()
            .map(|request| request.slot)
            .collect::<Vec<_>>(),
        [1]
    );
}

#[test]
fn a_lost_claim_stops_nothing_and_backs_off() {
    let mut controller = controller(1);
    let claim = controller.reconcile(0, &[]).claims[0].claim;
    assert!(!controller.claim_decided(0, claim, LOST), "to be released");
    assert!(controller.start_replacements(0).is_empty());
    let actions = controller.reconcile(1, &[]);
    assert!(
        actions.claims.is_empty() && actions.wait > 0,
        "not immediately"
    );
    assert_eq!(
        controller.reconcile(10 * SECOND, &[]).claims.len(),
        1,
        "after the backoff"
    );
}

#[test]
fn a_slot_is_released_only_after_the_replica_has_stayed_ready() {
    let mut controller = controller(1);
    let (claim, task) = win_and_replace(&mut controller, 0);
    controller.replica_assigned(SECOND, &task, "v2", false);
    let held = [reported(0, grant(claim, &task), 3)];
    controller.replica_ready(2 * SECOND, &task);
    assert!(controller.reconcile(3 * SECOND, &held).release.is_empty());
    controller.replica_unready(3 * SECOND, &task);
    controller.replica_ready(4 * SECOND, &task);
    assert!(
        controller.reconcile(5 * SECOND, &held).release.is_empty(),
        "the time ready starts again"
    );
    assert_eq!(controller.reconcile(6 * SECOND, &held).release, [claim]);
}

#[test]
fn a_replica_removed_while_its_claim_is_pending_uses_no_slot() {
    let mut controller = controller(1);
    let ClaimRequest { claim, task, .. } = controller.reconcile(0, &[]).claims[0].clone();
    assert_eq!(
        controller.replica_removed(&task),
        [claim],
        "released at once"
    );
    assert!(!controller.claim_decided(0, claim, WON));
}

#[test]
fn a_pause_while_a_claim_is_pending_stops_nothing() {
    let mut controller = controller(1);
    let claim = controller.reconcile(0, &[]).claims[0].claim;
    controller.adopt(rollout(1, "v2").with_phase(Phase::Paused, 1));
    assert!(!controller.claim_decided(0, claim, WON));
    assert_eq!(
        controller.reconcile(5 * SECOND, &[]),
        Actions {
            wait: 5_000,
            ..Actions::default()
        }
    );
}

#[test]
fn a_returning_replica_takes_a_slot_before_another_is_stopped() {
    let mut controller = RolloutController::new(
        0,
        1,
        Rollout {
            max_unavailable: 1,
            ..rollout(1, "v2")
        },
        0,
    );
    controller.replica_assigned(0, "a-ready", "v1", false);
    controller.replica_ready(0, "a-ready");
    controller.replica_assigned(0, "z-lost", "v2", true);
    let ClaimRequest { claim, task, .. } = controller.reconcile(0, &[]).claims[0].clone();
    assert_eq!(task, "z-lost");
    assert!(controller.claim_decided(0, claim, WON));
    assert!(
        controller.start_replacements(0).is_empty(),
        "it is of the desired version"
    );
    let held = [reported(0, grant(claim, "z-lost"), 3)];
    assert!(
        controller.reconcile(SECOND, &held).claims.is_empty(),
        "the one slot is used"
    );
    controller.replica_ready(SECOND, "z-lost");
    let actions = controller.reconcile(3 * SECOND, &held);
    assert_eq!(actions.release, [claim]);
}

#[test]
fn another_dispatchers_slot_is_released_once_its_replica_is_ready_here() {
    let mut controller = controller(0);
    let orphaned = [reported(
        0,
        Grant {
            dispatcher: 7,
            ..grant(ClaimId(9), "x")
        },
        2,
    )];
    controller.replica_assigned(0, "x", "v2", false);
    assert!(controller.reconcile(SECOND, &orphaned).release.is_empty());
    controller.replica_ready(SECOND, "x");
    assert!(
        controller
            .reconcile(2 * SECOND, &orphaned)
            .release
            .is_empty(),
        "not before it has stayed ready"
    );
    assert_eq!(
        controller.reconcile(3 * SECOND, &orphaned).release,
        [ClaimId(9)]
    );
}

#[test]
fn a_replica_reported_again_while_its_claim_is_pending_has_no_slot_yet() {
    let mut controller = controller(1);
    let ClaimRequest { claim, task, .. } = controller.reconcile(0, &[]).claims[0].clone();
    controller.replica_assigned(0, &task, "v1", false);
    assert!(controller.start_replacements(0).is_empty());
    assert!(controller.claim_decided(0, claim, WON));
    assert_eq!(controller.start_replacements(0), [task]);
}

//! Tests of the start-first order.

use crate::support::*;
use corkspan_rollout::controller::{ClaimRequest, RolloutController, SurgeEnd};
use corkspan_rollout::{ClaimId, Order, Rollout};
use test_case::test_case;

/// Returns a controller with one old replica and a won slot under which a surge replica is started,
/// with the claim and the task.
fn surging() -> (RolloutController, ClaimId, String) {
    let mut controller = RolloutController::new(
        0,
        1,
        Rollout {
            order: Order::StartFirst,
            ..rollout(1, "v2")
        },
        0,
    );
    controller.replica_assigned(0, "c0", "v1", false);
    controller.replica_ready(0, "c0");
    let ClaimRequest { claim, task, .. } = controller.reconcile(0, &[]).claims[0].clone();
    assert!(controller.claim_decided(0, claim, WON));
    assert_eq!(controller.start_surges(0), std::slice::from_ref(&task));
    assert!(
        controller.start_replacements(0).is_empty(),
        "the old replica keeps running"
    );
    (controller, claim, task)
}

#[test]
fn the_old_replica_is_stopped_only_after_the_surge_replica_has_stayed_ready() {
    let (mut controller, claim, task) = surging();
    controller.surge_readiness(SECOND, &task, true);
    controller.surge_readiness(2 * SECOND, &task, false);
    controller.surge_readiness(3 * SECOND, &task, true);
    assert!(
        controller.reconcile(4 * SECOND, &[]).stop_old.is_empty(),
        "the time ready starts again"
    );
    let actions = controller.reconcile(5 * SECOND, &[]);
    assert_eq!(
        (actions.stop_old, actions.release),
        (vec![task.clone()], vec![]),
        "the slot is held until the old replica has stopped"
    );
    assert_eq!(
        controller.reconcile(6 * SECOND, &[]).stop_old,
        std::slice::from_ref(&task),
        "repeated until the old replica has stopped"
    );
    assert_eq!(controller.surge_took_over(&task), [claim]);
    assert_eq!(controller.counts(), counts(1, 1, 0));
}

#[test_case(SurgeEnd::Failed; "it failed")]
#[test_case(SurgeEnd::NoCapacity; "it found no machine")]
fn a_failed_surge_leaves_the_old_replica_running(reason: SurgeEnd) {
    let (mut controller, claim, task) = surging();
    assert_eq!(controller.surge_ended(SECOND, &task, reason), [claim]);
    assert_eq!(
        controller.counts(),
        counts(1, 0, 0),
        "the old replica is still ready"
    );
    let actions = controller.reconcile(SECOND, &[]);
    assert!(
        actions.claims.is_empty() && actions.halt.is_none(),
        "no claim during the backoff, and one failure is allowed"
    );
    let actions = controller.reconcile(4 * SECOND, &[]);
    assert!(controller.claim_decided(4 * SECOND, actions.claims[0].claim, WON));
    assert_eq!(controller.start_surges(4 * SECOND).len(), 1);
    assert_eq!(controller.surge_ended(5 * SECOND, &task, reason).len(), 1);
    let halt = controller
        .reconcile(9 * SECOND, &[])
        .halt
        .expect("the second failure exceeds the limit");
    assert_eq!(
        halt.contains("2 without room"),
        reason == SurgeEnd::NoCapacity,
        "{halt}"
    );
}

#[test]
fn a_rollback_cancels_the_surge_and_keeps_the_old_replica() {
    let (mut controller, claim, task) = surging();
    controller.surge_readiness(SECOND, &task, true);
    controller.adopt(controller.rollout().rolled_back(1));
    let actions = controller.reconcile(9 * SECOND, &[]);
    assert_eq!(
        (actions.cancel_surge, actions.stop_old),
        (vec![task.clone()], vec![])
    );
    assert_eq!(
        controller.surge_ended(9 * SECOND, &task, SurgeEnd::Cancelled),
        [claim]
    );
    assert!(
        controller.reconcile(20 * SECOND, &[]).claims.is_empty(),
        "the old replica has the desired version"
    );
}

#[test]
fn a_replica_that_must_not_run_twice_is_stopped_first_in_either_order() {
    let mut controller = RolloutController::new(
        0,
        1,
        Rollout {
            order: Order::StartFirst,
            ..rollout(1, "v2")
        },
        0,
    );
    controller.replica_assigned(0, "c0", "v1", false);
    controller.forbid_surge("c0");
    controller.replica_ready(0, "c0");
    let claim = controller.reconcile(0, &[]).claims[0].claim;
    assert!(controller.claim_decided(0, claim, WON));
    assert!(controller.start_surges(0).is_empty());
    assert_eq!(controller.start_replacements(0), ["c0"]);
}

#[test]
fn an_old_replica_lost_during_its_surge_leaves_the_slot_to_its_successor() {
    let (mut controller, claim, task) = surging();
    controller.replica_lost(SECOND, &task);
    assert!(
        controller
            .surge_ended(SECOND, &task, SurgeEnd::Cancelled)
            .is_empty(),
        "the slot is still in use"
    );
    controller.replica_assigned(2 * SECOND, &task, "v2", true);
    controller.replica_ready(2 * SECOND, &task);
    let held = [reported(0, grant(claim, &task), 3)];
    assert!(controller.reconcile(3 * SECOND, &held).release.is_empty());
    assert_eq!(controller.reconcile(4 * SECOND, &held).release, [claim]);
}

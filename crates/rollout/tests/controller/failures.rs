//! Tests of halts after failures, and of rollbacks.

use crate::support::*;
use corkspan_rollout::{Phase, Rollout};

#[test]
fn failures_beyond_the_limit_halt_and_a_rollback_replaces_replicas_that_are_down() {
    let mut controller = controller(4);
    let first = win_and_replace(&mut controller, 0);
    controller.replica_assigned(0, &first.1, "v2", false);
    controller.replica_lost(SECOND, &first.1);
    let (_, second) = win_and_replace(&mut controller, 5 * SECOND);
    controller.replica_assigned(5 * SECOND, &second, "v2", false);
    let held = [reported(0, grant(first.0, &first.1), 3)];
    assert_eq!(
        controller.reconcile(14 * SECOND, &held).halt,
        None,
        "one failure is allowed"
    );
    let reason = controller
        .reconcile(15 * SECOND, &held)
        .halt
        .expect("the second has exceeded the progress deadline");
    assert!(reason.contains("2 copies of v2"), "{reason}");
    assert_eq!(
        controller.reconcile(16 * SECOND, &held).halt,
        None,
        "the halt is requested once"
    );
    controller.adopt(rollout(1, "v2").with_phase(Phase::Halted(reason), 1));
    assert!(controller.reconcile(17 * SECOND, &held).claims.is_empty());
    controller.adopt(Rollout {
        revision: 3,
        ..rollout(1, "v2").rolled_back(1)
    });
    assert_eq!(
        controller.reconcile(18 * SECOND, &held).replace,
        [second],
        "replaced under the slot that it holds"
    );
}

#[test]
fn a_replica_lost_long_after_it_was_ready_is_no_failure_of_the_rollout() {
    let mut controller = controller(1);
    let (claim, task) = win_and_replace(&mut controller, 0);
    controller.replica_assigned(0, &task, "v2", false);
    controller.replica_ready(SECOND, &task);
    assert_eq!(controller.reconcile(3 * SECOND, &[]).release, [claim]);
    for _ in 0..5 {
        controller.replica_lost(9 * SECOND, &task);
        controller.replica_assigned(9 * SECOND, &task, "v2", false);
    }
    assert_eq!(controller.reconcile(10 * SECOND, &[]).halt, None);
}

#[test]
fn a_rollback_leaves_replicas_that_were_never_replaced() {
    let mut controller = controller(0);
    controller.replica_assigned(0, "old", "", false);
    controller.replica_ready(0, "old");
    controller.adopt(rollout(1, "v2").rolled_back(1));
    assert!(controller.reconcile(SECOND, &[]).claims.is_empty());
}

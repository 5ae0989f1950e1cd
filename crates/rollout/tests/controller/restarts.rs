//! Tests of claims that an earlier incarnation of the dispatcher left behind.

use crate::support::*;
use corkspan_rollout::ClaimId;
use corkspan_rollout::controller::{ClaimRequest, RestoredClaims, RolloutController, Votes};
use test_case::test_case;

#[test]
fn an_earlier_incarnations_unused_slot_is_released() {
    let mut controller = controller(0);
    let orphaned = [reported(0, grant(ClaimId(9), "x"), 2)];
    assert!(controller.reconcile(0, &orphaned).release.is_empty());
    assert!(
        controller
            .reconcile(29 * SECOND, &orphaned)
            .release
            .is_empty()
    );
    assert_eq!(
        controller.reconcile(30 * SECOND, &orphaned).release,
        [ClaimId(9)]
    );
}

/// Returns a controller with one old replica, for which an earlier incarnation had won a claim.
fn with_restored_claim() -> RolloutController {
    let mut controller = controller(0);
    controller.restore_claim(ClaimId(9), "x", true);
    controller.replica_assigned(0, "x", "v1", false);
    controller
}

#[test_case(3, 3; "all members report it")]
#[test_case(2, 2; "a majority reports it, one is unreachable")]
fn a_restored_claim_is_used_once_it_is_known_to_hold(members_reporting: usize, answering: usize) {
    let mut controller = with_restored_claim();
    let held = [reported(0, grant(ClaimId(9), "x"), members_reporting)];
    assert!(
        controller.reconcile(0, &held).replace.is_empty(),
        "not before the claim is verified"
    );
    assert_eq!(
        controller.verify_restored_claims(&held, answering, 3),
        RestoredClaims::default()
    );
    let actions = controller.reconcile(0, &held);
    assert_eq!(
        (actions.replace, actions.claims),
        (vec!["x".to_string()], Vec::new()),
        "without a second claim"
    );
}

#[test_case(WON, true; "and wins it")]
#[test_case(LOST, false; "and loses it")]
fn a_restored_claim_that_one_member_reports_while_another_is_unreachable_is_sent_again(
    votes: Votes,
    wins: bool,
) {
    let mut controller = with_restored_claim();
    let held = [reported(1, grant(ClaimId(9), "x"), 1)];
    let restored = controller.verify_restored_claims(&held, 2, 3);
    assert_eq!(
        restored.retry,
        [ClaimRequest {
            claim: ClaimId(9),
            slot: 1,
            task: "x".into()
        }]
    );
    assert!(
        controller.reconcile(0, &held).replace.is_empty(),
        "not before the claim is decided"
    );
    assert_eq!(controller.claim_decided(0, ClaimId(9), votes), wins);
    assert_eq!(
        controller.start_replacements(0),
        if wins { vec!["x".to_string()] } else { vec![] }
    );
    let actions = controller.reconcile(10 * SECOND, &held[..0]);
    assert_eq!(
        actions.claims.is_empty(),
        wins,
        "a slot is claimed again where the claim is lost"
    );
}

#[test_case(0, 3; "no member reports it")]
#[test_case(0, 2; "no member reports it, one is unreachable")]
#[test_case(1, 3; "one member missed the release")]
fn a_claim_released_right_before_a_kill_stops_nothing(members_reporting: usize, answering: usize) {
    let mut controller = with_restored_claim();
    let held = [reported(0, grant(ClaimId(9), "x"), members_reporting)];
    let held = if members_reporting == 0 {
        &held[..0]
    } else {
        &held[..]
    };
    assert_eq!(
        controller.verify_restored_claims(held, answering, 3).lost,
        [ClaimId(9)]
    );
    let actions = controller.reconcile(0, held);
    assert!(actions.replace.is_empty());
    assert_eq!(actions.claims.len(), 1, "a slot is claimed again");
}

#[test]
fn a_restored_claim_not_known_to_be_won_is_released() {
    let mut controller = controller(0);
    controller.restore_claim(ClaimId(9), "x", false);
    controller.replica_assigned(0, "x", "v1", false);
    let actions = controller.reconcile(0, &[reported(0, grant(ClaimId(9), "x"), 3)]);
    assert_eq!(
        (actions.replace, actions.release),
        (Vec::new(), vec![ClaimId(9)])
    );
}

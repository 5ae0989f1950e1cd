//! What one dispatcher decides of a roll, whatever comes in whatever order.

use corkspan_rollout::controller::{
    Actions, ClaimRequest, ReplicaCounts, ReportedSlot, RestoredClaims, RolloutController,
    SurgeEnd, Votes,
};
use corkspan_rollout::{ClaimId, Order, Phase, Rollout};
use corkspan_rollout::{ClaimOutcome, Grant, QuorumMember};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

const SECOND: u64 = 10_000;
const WON: Votes = Votes {
    granted: 2,
    members: 3,
};
const LOST: Votes = Votes {
    granted: 1,
    members: 3,
};

fn rollout(number: u64, version: &str) -> Rollout {
    Rollout {
        service: "s".into(),
        revision: number,
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

/// A controller with so many old copies that are ready.
fn controller(copies: usize) -> RolloutController {
    let mut controller = RolloutController::new(0, 1, rollout(1, "v2"), 0);
    for number in 0..copies {
        controller.replica_assigned(0, &format!("c{number}"), "v1", false);
        controller.replica_ready(0, &format!("c{number}"));
    }
    controller
}

fn grant(claim: ClaimId, task: &str) -> Grant {
    Grant {
        claim,
        task: task.into(),
        dispatcher: 0,
    }
}

/// A slot that so many quorum members report.
fn reported(slot: u32, grant: Grant, members: usize) -> ReportedSlot {
    ReportedSlot {
        slot,
        grant,
        members,
    }
}

fn counts(total: usize, desired: usize, unready: usize) -> ReplicaCounts {
    ReplicaCounts {
        total,
        desired,
        unready,
    }
}

/// Wins a slot for one copy and takes it down. Its claim and task.
fn takes_down(controller: &mut RolloutController, now: u64) -> (ClaimId, String) {
    let look = controller.reconcile(now, &[]);
    let ClaimRequest { claim, task, .. } = look.claims[0].clone();
    assert!(controller.claim_decided(now, claim, WON));
    for other in &look.claims[1..] {
        assert!(!controller.claim_decided(now, other.claim, LOST));
    }
    assert_eq!(
        controller.start_replacements(now),
        std::slice::from_ref(&task)
    );
    (claim, task)
}

#[test]
fn no_more_is_claimed_than_slots_or_batch_allow() {
    let mut controller = controller(5);
    let look = controller.reconcile(0, &[]);
    assert_eq!(look.claims.len(), 2);
    let slots: BTreeSet<u32> = look.claims.iter().map(|request| request.slot).collect();
    assert_eq!(slots, BTreeSet::from([0, 1]), "not twice the same");
    assert!(
        controller.reconcile(1, &[]).claims.is_empty(),
        "those are still out"
    );
}

#[test]
fn a_slot_held_by_another_is_not_claimed() {
    let other = Grant {
        dispatcher: 7,
        ..grant(ClaimId(9), "x")
    };
    let look = controller(5).reconcile(0, &[reported(0, other, 2)]);
    assert_eq!(
        look.claims
            .iter()
            .map(|request| request.slot)
            .collect::<Vec<_>>(),
        [1]
    );
}

#[test]
fn a_lost_claim_takes_nothing_down_and_waits() {
    let mut controller = controller(1);
    let claim = controller.reconcile(0, &[]).claims[0].claim;
    assert!(
        !controller.claim_decided(0, claim, LOST),
        "to be given back"
    );
    assert!(controller.start_replacements(0).is_empty());
    let look = controller.reconcile(1, &[]);
    assert!(look.claims.is_empty() && look.wait > 0, "not at once again");
    assert_eq!(
        controller.reconcile(10 * SECOND, &[]).claims.len(),
        1,
        "but again"
    );
}

#[test]
fn a_slot_comes_back_only_after_the_copy_has_stayed_ready() {
    let mut controller = controller(1);
    let (claim, task) = takes_down(&mut controller, 0);
    controller.replica_assigned(SECOND, &task, "v2", false);
    let held = [reported(0, grant(claim, &task), 3)];
    controller.replica_ready(2 * SECOND, &task);
    assert!(controller.reconcile(3 * SECOND, &held).release.is_empty());
    controller.replica_unready(3 * SECOND, &task);
    controller.replica_ready(4 * SECOND, &task);
    assert!(
        controller.reconcile(5 * SECOND, &held).release.is_empty(),
        "its time began anew"
    );
    assert_eq!(controller.reconcile(6 * SECOND, &held).release, [claim]);
}

#[test]
fn a_copy_gone_while_its_claim_is_out_uses_no_slot() {
    let mut controller = controller(1);
    let ClaimRequest { claim, task, .. } = controller.reconcile(0, &[]).claims[0].clone();
    assert_eq!(
        controller.replica_removed(&task),
        [claim],
        "given back at once"
    );
    assert!(!controller.claim_decided(0, claim, WON));
}

#[test]
fn a_pause_while_a_claim_is_out_takes_nothing_down() {
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
fn failures_beyond_the_limit_halt_and_undo_replaces_what_is_down() {
    let mut controller = controller(4);
    let first = takes_down(&mut controller, 0);
    controller.replica_assigned(0, &first.1, "v2", false);
    controller.replica_lost(SECOND, &first.1);
    let (_, second) = takes_down(&mut controller, 5 * SECOND);
    controller.replica_assigned(5 * SECOND, &second, "v2", false);
    let held = [reported(0, grant(first.0, &first.1), 3)];
    assert_eq!(
        controller.reconcile(14 * SECOND, &held).halt,
        None,
        "one may fail"
    );
    let why = controller
        .reconcile(15 * SECOND, &held)
        .halt
        .expect("the second has had its time");
    assert!(why.contains("2 copies of v2"), "{why}");
    assert_eq!(
        controller.reconcile(16 * SECOND, &held).halt,
        None,
        "told once"
    );
    controller.adopt(rollout(1, "v2").with_phase(Phase::Halted(why), 1));
    assert!(controller.reconcile(17 * SECOND, &held).claims.is_empty());
    controller.adopt(Rollout {
        revision: 3,
        ..rollout(1, "v2").rolled_back(1)
    });
    assert_eq!(
        controller.reconcile(18 * SECOND, &held).replace,
        [second],
        "under the slot that it holds"
    );
}

#[test]
fn a_copy_that_dies_long_after_it_was_settled_is_no_failure_of_the_roll() {
    let mut controller = controller(1);
    let (claim, task) = takes_down(&mut controller, 0);
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
fn an_undo_leaves_alone_what_was_never_rolled() {
    let mut controller = controller(0);
    controller.replica_assigned(0, "old", "", false);
    controller.replica_ready(0, "old");
    controller.adopt(rollout(1, "v2").rolled_back(1));
    assert!(controller.reconcile(SECOND, &[]).claims.is_empty());
}

#[test]
fn a_copy_that_comes_back_takes_a_slot_before_another_is_taken_down() {
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
        "it needs no replacing"
    );
    let held = [reported(0, grant(claim, "z-lost"), 3)];
    assert!(
        controller.reconcile(SECOND, &held).claims.is_empty(),
        "the one slot is used"
    );
    controller.replica_ready(SECOND, "z-lost");
    let look = controller.reconcile(3 * SECOND, &held);
    assert_eq!(look.release, [claim]);
}

#[test]
fn a_slot_left_behind_by_another_comes_back_once_its_copy_is_ready_here() {
    let mut controller = controller(0);
    let left = [reported(
        0,
        Grant {
            dispatcher: 7,
            ..grant(ClaimId(9), "x")
        },
        2,
    )];
    controller.replica_assigned(0, "x", "v2", false);
    assert!(controller.reconcile(SECOND, &left).release.is_empty());
    controller.replica_ready(SECOND, "x");
    assert!(
        controller.reconcile(2 * SECOND, &left).release.is_empty(),
        "not before it has stayed so"
    );
    assert_eq!(
        controller.reconcile(3 * SECOND, &left).release,
        [ClaimId(9)]
    );
}

#[test]
fn an_earlier_lifes_slot_comes_back_when_nobody_came_for_it() {
    let mut controller = controller(0);
    let left = [reported(0, grant(ClaimId(9), "x"), 2)];
    assert!(controller.reconcile(0, &left).release.is_empty());
    assert!(controller.reconcile(29 * SECOND, &left).release.is_empty());
    assert_eq!(
        controller.reconcile(30 * SECOND, &left).release,
        [ClaimId(9)]
    );
}

/// One copy is old, and one of an earlier life's claims was known to be won for it.
fn remembers() -> RolloutController {
    let mut controller = controller(0);
    controller.restore_claim(ClaimId(9), "x", true);
    controller.replica_assigned(0, "x", "v1", false);
    controller
}

#[test_case(3, 3; "all keepers tell it")]
#[test_case(2, 2; "a majority tells it, one is out of reach")]
fn a_claim_remembered_goes_on_with_its_copy_once_it_is_known_to_hold(told: usize, heard: usize) {
    let mut controller = remembers();
    let held = [reported(0, grant(ClaimId(9), "x"), told)];
    assert!(
        controller.reconcile(0, &held).replace.is_empty(),
        "not before the keepers were asked"
    );
    assert_eq!(
        controller.verify_restored_claims(&held, heard, 3),
        RestoredClaims::default()
    );
    let look = controller.reconcile(0, &held);
    assert_eq!(
        (look.replace, look.claims),
        (vec!["x".to_string()], Vec::new()),
        "without a second claim"
    );
}

#[test_case(WON, true; "and wins it")]
#[test_case(LOST, false; "and loses it")]
fn a_claim_that_one_keeper_tells_of_while_another_is_gone_for_good_is_made_again(
    votes: Votes,
    wins: bool,
) {
    let mut controller = remembers();
    let held = [reported(1, grant(ClaimId(9), "x"), 1)];
    let recalled = controller.verify_restored_claims(&held, 2, 3);
    assert_eq!(
        recalled.retry,
        [ClaimRequest {
            claim: ClaimId(9),
            slot: 1,
            task: "x".into()
        }]
    );
    assert!(
        controller.reconcile(0, &held).replace.is_empty(),
        "not before"
    );
    assert_eq!(controller.claim_decided(0, ClaimId(9), votes), wins);
    assert_eq!(
        controller.start_replacements(0),
        if wins { vec!["x".to_string()] } else { vec![] }
    );
    let look = controller.reconcile(10 * SECOND, &held[..0]);
    assert_eq!(
        look.claims.is_empty(),
        wins,
        "lost, it is claimed as any other"
    );
}

#[test_case(0, 3; "nobody tells it")]
#[test_case(0, 2; "nobody tells it, one is out of reach")]
#[test_case(1, 3; "one didn't hear that it was given back")]
fn a_claim_given_back_right_before_a_kill_takes_nothing_down(told: usize, heard: usize) {
    let mut controller = remembers();
    let held = [reported(0, grant(ClaimId(9), "x"), told)];
    let held = if told == 0 { &held[..0] } else { &held[..] };
    assert_eq!(
        controller.verify_restored_claims(held, heard, 3).lost,
        [ClaimId(9)]
    );
    let look = controller.reconcile(0, held);
    assert!(look.replace.is_empty());
    assert_eq!(look.claims.len(), 1, "it is claimed anew, as any other");
}

#[test]
fn a_claim_remembered_that_was_not_known_to_be_won_is_given_back() {
    let mut controller = controller(0);
    controller.restore_claim(ClaimId(9), "x", false);
    controller.replica_assigned(0, "x", "v1", false);
    let look = controller.reconcile(0, &[reported(0, grant(ClaimId(9), "x"), 3)]);
    assert_eq!((look.replace, look.release), (Vec::new(), vec![ClaimId(9)]));
}

#[test]
fn a_copy_told_of_anew_while_its_claim_is_out_has_no_slot_yet() {
    let mut controller = controller(1);
    let ClaimRequest { claim, task, .. } = controller.reconcile(0, &[]).claims[0].clone();
    controller.replica_assigned(0, &task, "v1", false);
    assert!(controller.start_replacements(0).is_empty());
    assert!(controller.claim_decided(0, claim, WON));
    assert_eq!(controller.start_replacements(0), [task]);
}

#[derive(Clone, Debug)]
enum Comes {
    Copy(u8, bool),
    Ready(u8),
    Unready(u8),
    Gone(u8),
    Died(u8),
    Actions,
    Vote(bool),
    Pause,
    Resume,
    Undo,
    Later(u16),
}

fn comes() -> impl Strategy<Value = Comes> {
    prop_oneof![
        (0..6u8, any::<bool>()).prop_map(|(copy, new)| Comes::Copy(copy, new)),
        (0..6u8).prop_map(Comes::Ready),
        (0..6u8).prop_map(Comes::Unready),
        (0..6u8).prop_map(Comes::Gone),
        (0..6u8).prop_map(Comes::Died),
        Just(Comes::Actions),
        Just(Comes::Actions),
        any::<bool>().prop_map(Comes::Vote),
        Just(Comes::Pause),
        Just(Comes::Resume),
        Just(Comes::Undo),
        (0..40_000u16).prop_map(Comes::Later),
    ]
}

/// One old copy, and a won slot under which a new one is to stand beside it.
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
        "the old one is left alone"
    );
    (controller, claim, task)
}

#[test]
fn an_old_copy_is_retired_only_after_the_new_one_has_stayed_ready() {
    let (mut controller, claim, task) = surging();
    controller.surge_readiness(SECOND, &task, true);
    controller.surge_readiness(2 * SECOND, &task, false);
    controller.surge_readiness(3 * SECOND, &task, true);
    assert!(
        controller.reconcile(4 * SECOND, &[]).stop_old.is_empty(),
        "its time began anew"
    );
    let look = controller.reconcile(5 * SECOND, &[]);
    assert_eq!(
        (look.stop_old, look.release),
        (vec![task.clone()], vec![]),
        "its slot is held until it is gone"
    );
    assert_eq!(
        controller.reconcile(6 * SECOND, &[]).stop_old,
        std::slice::from_ref(&task),
        "said again until then"
    );
    assert_eq!(controller.surge_took_over(&task), [claim]);
    assert_eq!(controller.counts(), counts(1, 1, 0));
}

#[test_case::test_case(SurgeEnd::Failed; "it died")]
#[test_case::test_case(SurgeEnd::NoCapacity; "it found no room")]
fn a_new_copy_that_comes_to_nothing_costs_its_slot_alone(why: SurgeEnd) {
    let (mut controller, claim, task) = surging();
    assert_eq!(controller.surge_ended(SECOND, &task, why), [claim]);
    assert_eq!(
        controller.counts(),
        counts(1, 0, 0),
        "the old one is ready as before"
    );
    let look = controller.reconcile(SECOND, &[]);
    assert!(
        look.claims.is_empty() && look.halt.is_none(),
        "not at once again; one failure may be"
    );
    let look = controller.reconcile(4 * SECOND, &[]);
    assert!(controller.claim_decided(4 * SECOND, look.claims[0].claim, WON));
    assert_eq!(controller.start_surges(4 * SECOND).len(), 1);
    assert_eq!(controller.surge_ended(5 * SECOND, &task, why).len(), 1);
    let halt = controller
        .reconcile(9 * SECOND, &[])
        .halt
        .expect("the second is one too many");
    assert_eq!(
        halt.contains("2 without room"),
        why == SurgeEnd::NoCapacity,
        "{halt}"
    );
}

#[test]
fn an_undo_puts_the_new_copy_away_and_keeps_the_old() {
    let (mut controller, claim, task) = surging();
    controller.surge_readiness(SECOND, &task, true);
    controller.adopt(controller.rollout().rolled_back(1));
    let look = controller.reconcile(9 * SECOND, &[]);
    assert_eq!(
        (look.cancel_surge, look.stop_old),
        (vec![task.clone()], vec![])
    );
    assert_eq!(
        controller.surge_ended(9 * SECOND, &task, SurgeEnd::Cancelled),
        [claim]
    );
    assert!(
        controller.reconcile(20 * SECOND, &[]).claims.is_empty(),
        "it is what is wanted"
    );
}

#[test]
fn a_copy_that_must_run_once_is_stopped_first_in_either_order() {
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
fn an_old_copy_that_dies_beside_its_new_one_leaves_the_slot_to_what_comes() {
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

proptest! {
    /// Two dispatchers whose clocks are apart, with keepers between them: whatever the order, and however late
    /// word comes, never more are down or beside others than the roll lets be, and in the end all are replaced.
    #[test]
    fn clocks_apart_pass_no_limit(
        apart in 0u64..100_000,
        start_first in any::<bool>(),
        turns in prop::collection::vec((0usize..2, 0u64..3_000), 200..400),
    ) {
        let order = if start_first { Order::StartFirst } else { Order::StopFirst };
        let wish = Rollout { order, max_failures: 1_000, ..rollout(1, "v2") };
        let mut keepers = vec![QuorumMember::default(); 3];
        keepers.iter_mut().for_each(|keeper| drop(keeper.propose(wish.clone()).cloned()));
        let mut own: Vec<RolloutController> = (0..2).map(|me| {
            let now = me as u64 * apart;
            let mut controller = RolloutController::new(me, u64::from(me) + 1, wish.clone(), now);
            for number in 0..3 {
                let task = format!("d{me}c{number}");
                controller.replica_assigned(now, &task, "v1", false);
                controller.replica_ready(now, &task);
            }
            controller
        }).collect();
        // Copies under way and when they get ready, by the true time.
        let mut under_way: BTreeMap<String, u64> = BTreeMap::new();
        let (mut time, mut most) = (0, 0);
        // After the turns drawn, both in turn until all is done.
        let rest = (0..600).map(|turn| (turn % 2, 1_000));
        for (who, later) in turns.into_iter().chain(rest) {
            time += later;
            let now = time + who as u64 * apart;
            let mine: Vec<String> = under_way.iter()
                .filter(|(task, at)| task.starts_with(&format!("d{who}")) && **at <= time)
                .map(|(task, _)| task.clone()).collect();
            for task in mine {
                if own[who].is_surging(&task) {
                    own[who].surge_readiness(now, &task, true);
                } else {
                    own[who].replica_ready(now, &task);
                }
            }
            let mut told: Vec<ReportedSlot> = Vec::new();
            for (slot, grant) in keepers.iter().flat_map(|keeper| keeper.entries()).flat_map(|kept| &kept.slots) {
                match told.iter_mut().find(|known| known.slot == *slot && known.grant == *grant) {
                    Some(known) => known.members += 1,
                    None => told.push(reported(*slot, grant.clone(), 1)),
                }
            }
            let look = own[who].reconcile(now, &told);
            prop_assert!(look.halt.is_none() && look.cancel_surge.is_empty());
            let mut release = look.release;
            for task in look.stop_old {
                under_way.remove(&task);
                release.extend(own[who].surge_took_over(&task));
            }
            for ClaimRequest { claim, slot, task } in look.claims {
                let granted = keepers.iter_mut().filter_map(|keeper| {
                    let grant = Grant { claim, task: task.clone(), dispatcher: who as u32 };
                    (keeper.claim("s", 1, slot, grant) == ClaimOutcome::Granted).then_some(())
                }).count();
                if !own[who].claim_decided(now, claim, Votes { granted, members: 3 }) {
                    release.push(claim);
                }
            }
            let mut taken = look.replace;
            taken.extend(look.surge);
            taken.extend(own[who].start_surges(now));
            taken.extend(own[who].start_replacements(now));
            for task in taken {
                if !own[who].is_surging(&task) {
                    own[who].replica_assigned(now, &task, "v2", false);
                }
                under_way.insert(task, time + 5_000);
            }
            for claim in release {
                keepers.iter_mut().for_each(|keeper| keeper.release("s", claim));
                if !start_first {
                    let held: Vec<String> = own.iter().flat_map(|own| {
                        under_way.keys().filter(|task| own.claim_of(task).is_some()).cloned().collect::<Vec<_>>()
                    }).collect();
                    under_way.retain(|task, _| held.contains(task));
                }
            }
            most = most.max(under_way.len());
            prop_assert!(most <= 2, "{most} at a time where 2 may be");
        }
        let left: Vec<_> = own.iter().map(RolloutController::counts).collect();
        prop_assert_eq!(left, vec![counts(3, 3, 0), counts(3, 3, 0)], "all are replaced in the end");
        prop_assert!(most >= 1);
    }

    /// A copy is taken down only under a claim that was won and not given back, one claim a copy, and never more
    /// than the batch at a time, whatever happens meanwhile.
    #[test]
    fn whatever_comes_nothing_is_taken_down_without_a_slot(all in prop::collection::vec(comes(), 0..120)) {
        let mut controller = controller(4);
        let mut now = 0;
        let mut out: Vec<(ClaimId, String)> = Vec::new();
        let mut held: BTreeMap<ClaimId, String> = BTreeMap::new();
        let mut current = rollout(1, "v2");
        for comes in all {
            let name = |copy: u8| format!("c{copy}");
            let mut down = Vec::new();
            match comes {
                Comes::Copy(copy, new) => controller.replica_assigned(now, &name(copy), if new { "v2" } else { "v1" }, new),
                Comes::Ready(copy) => controller.replica_ready(now, &name(copy)),
                Comes::Unready(copy) => drop(controller.replica_unready(now, &name(copy))),
                Comes::Gone(copy) => {
                    for claim in controller.replica_removed(&name(copy)) {
                        held.remove(&claim);
                    }
                }
                Comes::Died(copy) => controller.replica_lost(now, &name(copy)),
                Comes::Actions => {
                    let view: Vec<_> = held.iter().enumerate()
                        .map(|(slot, (claim, task))| reported(slot as u32, grant(*claim, task), 2)).collect();
                    let look = controller.reconcile(now, &view);
                    for claim in &look.release {
                        held.remove(claim);
                    }
                    down = look.replace;
                    out.extend(look.claims.into_iter().map(|request| (request.claim, request.task)));
                    prop_assert!(look.wait <= 5_000);
                }
                Comes::Vote(won) => {
                    let Some((claim, task)) = out.pop() else { continue };
                    if controller.claim_decided(now, claim, if won { WON } else { LOST }) {
                        prop_assert!(won, "a lost claim is no slot");
                        held.insert(claim, task);
                        down = controller.start_replacements(now);
                    }
                }
                Comes::Pause => {
                    current = current.with_phase(Phase::Paused, 1);
                    controller.adopt(current.clone());
                }
                Comes::Resume => {
                    current = current.with_phase(Phase::Rolling, 1);
                    controller.adopt(current.clone());
                }
                Comes::Undo => {
                    current = current.rolled_back(1);
                    controller.adopt(current.clone());
                }
                Comes::Later(time) => now += u64::from(time),
            }
            for task in down {
                prop_assert!(held.values().any(|own| *own == task), "{task} is taken down without a slot");
                prop_assert_eq!(&current.phase, &Phase::Rolling);
            }
            prop_assert!(controller.claims().count() <= 2 + 4, "claims stay few");
        }
    }
}

//! What one dispatcher decides of a roll, whatever comes in whatever order.

use corkspan_rollout::conductor::{
    ClaimRequest, Conductor, Look, Recalled, ReplicaCounts, ReportedSlot, Votes, Withdrawn,
};
use corkspan_rollout::{ClaimId, Order, Phase, Roll};
use corkspan_rollout::{ClaimOutcome, Grant, QuorumMember};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

const SECOND: u64 = 10_000;
const WON: Votes = Votes {
    granted: 2,
    keepers: 3,
};
const LOST: Votes = Votes {
    granted: 1,
    keepers: 3,
};

fn roll(number: u64, version: &str) -> Roll {
    Roll {
        service: "s".into(),
        number,
        asker: 1,
        version: version.into(),
        former: "v1".into(),
        unversioned: "v1".into(),
        unready_most: 2,
        batch: 2,
        order: Order::StopFirst,
        ready_for: 2 * SECOND,
        ready_within: 10 * SECOND,
        failures_most: 1,
        phase: Phase::Rolling,
    }
}

/// A conductor with so many old copies that are ready.
fn conductor(copies: usize) -> Conductor {
    let mut conductor = Conductor::new(0, 1, roll(1, "v2"), 0);
    for number in 0..copies {
        conductor.copy(0, &format!("c{number}"), "v1", false);
        conductor.ready(0, &format!("c{number}"));
    }
    conductor
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
fn takes_down(conductor: &mut Conductor, now: u64) -> (ClaimId, String) {
    let look = conductor.look(now, &[]);
    let ClaimRequest { claim, task, .. } = look.claims[0].clone();
    assert!(conductor.claimed(now, claim, WON));
    for other in &look.claims[1..] {
        assert!(!conductor.claimed(now, other.claim, LOST));
    }
    assert_eq!(conductor.look_at_held(now), std::slice::from_ref(&task));
    (claim, task)
}

#[test]
fn no_more_is_claimed_than_slots_or_batch_allow() {
    let mut conductor = conductor(5);
    let look = conductor.look(0, &[]);
    assert_eq!(look.claims.len(), 2);
    let slots: BTreeSet<u32> = look.claims.iter().map(|request| request.slot).collect();
    assert_eq!(slots, BTreeSet::from([0, 1]), "not twice the same");
    assert!(
        conductor.look(1, &[]).claims.is_empty(),
        "those are still out"
    );
}

#[test]
fn a_slot_held_by_another_is_not_claimed() {
    let other = Grant {
        dispatcher: 7,
        ..grant(ClaimId(9), "x")
    };
    let look = conductor(5).look(0, &[reported(0, other, 2)]);
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
    let mut conductor = conductor(1);
    let claim = conductor.look(0, &[]).claims[0].claim;
    assert!(!conductor.claimed(0, claim, LOST), "to be given back");
    assert!(conductor.look_at_held(0).is_empty());
    let look = conductor.look(1, &[]);
    assert!(look.claims.is_empty() && look.wait > 0, "not at once again");
    assert_eq!(
        conductor.look(10 * SECOND, &[]).claims.len(),
        1,
        "but again"
    );
}

#[test]
fn a_slot_comes_back_only_after_the_copy_has_stayed_ready() {
    let mut conductor = conductor(1);
    let (claim, task) = takes_down(&mut conductor, 0);
    conductor.copy(SECOND, &task, "v2", false);
    let held = [reported(0, grant(claim, &task), 3)];
    conductor.ready(2 * SECOND, &task);
    assert!(conductor.look(3 * SECOND, &held).release.is_empty());
    conductor.unready(3 * SECOND, &task);
    conductor.ready(4 * SECOND, &task);
    assert!(
        conductor.look(5 * SECOND, &held).release.is_empty(),
        "its time began anew"
    );
    assert_eq!(conductor.look(6 * SECOND, &held).release, [claim]);
}

#[test]
fn a_copy_gone_while_its_claim_is_out_uses_no_slot() {
    let mut conductor = conductor(1);
    let ClaimRequest { claim, task, .. } = conductor.look(0, &[]).claims[0].clone();
    assert_eq!(conductor.gone(&task), [claim], "given back at once");
    assert!(!conductor.claimed(0, claim, WON));
}

#[test]
fn a_pause_while_a_claim_is_out_takes_nothing_down() {
    let mut conductor = conductor(1);
    let claim = conductor.look(0, &[]).claims[0].claim;
    conductor.adopt(roll(1, "v2").with_phase(Phase::Paused, 1));
    assert!(!conductor.claimed(0, claim, WON));
    assert_eq!(
        conductor.look(5 * SECOND, &[]),
        Look {
            wait: 5_000,
            ..Look::default()
        }
    );
}

#[test]
fn failures_beyond_the_limit_halt_and_undo_replaces_what_is_down() {
    let mut conductor = conductor(4);
    let first = takes_down(&mut conductor, 0);
    conductor.copy(0, &first.1, "v2", false);
    conductor.died(SECOND, &first.1);
    let (_, second) = takes_down(&mut conductor, 5 * SECOND);
    conductor.copy(5 * SECOND, &second, "v2", false);
    let held = [reported(0, grant(first.0, &first.1), 3)];
    assert_eq!(
        conductor.look(14 * SECOND, &held).halt,
        None,
        "one may fail"
    );
    let why = conductor
        .look(15 * SECOND, &held)
        .halt
        .expect("the second has had its time");
    assert!(why.contains("2 copies of v2"), "{why}");
    assert_eq!(conductor.look(16 * SECOND, &held).halt, None, "told once");
    conductor.adopt(roll(1, "v2").with_phase(Phase::Halted(why), 1));
    assert!(conductor.look(17 * SECOND, &held).claims.is_empty());
    conductor.adopt(Roll {
        number: 3,
        ..roll(1, "v2").undone(1)
    });
    assert_eq!(
        conductor.look(18 * SECOND, &held).replace,
        [second],
        "under the slot that it holds"
    );
}

#[test]
fn a_copy_that_dies_long_after_it_was_settled_is_no_failure_of_the_roll() {
    let mut conductor = conductor(1);
    let (claim, task) = takes_down(&mut conductor, 0);
    conductor.copy(0, &task, "v2", false);
    conductor.ready(SECOND, &task);
    assert_eq!(conductor.look(3 * SECOND, &[]).release, [claim]);
    for _ in 0..5 {
        conductor.died(9 * SECOND, &task);
        conductor.copy(9 * SECOND, &task, "v2", false);
    }
    assert_eq!(conductor.look(10 * SECOND, &[]).halt, None);
}

#[test]
fn an_undo_leaves_alone_what_was_never_rolled() {
    let mut conductor = conductor(0);
    conductor.copy(0, "old", "", false);
    conductor.ready(0, "old");
    conductor.adopt(roll(1, "v2").undone(1));
    assert!(conductor.look(SECOND, &[]).claims.is_empty());
}

#[test]
fn a_copy_that_comes_back_takes_a_slot_before_another_is_taken_down() {
    let mut conductor = Conductor::new(
        0,
        1,
        Roll {
            unready_most: 1,
            ..roll(1, "v2")
        },
        0,
    );
    conductor.copy(0, "a-ready", "v1", false);
    conductor.ready(0, "a-ready");
    conductor.copy(0, "z-lost", "v2", true);
    let ClaimRequest { claim, task, .. } = conductor.look(0, &[]).claims[0].clone();
    assert_eq!(task, "z-lost");
    assert!(conductor.claimed(0, claim, WON));
    assert!(
        conductor.look_at_held(0).is_empty(),
        "it needs no replacing"
    );
    let held = [reported(0, grant(claim, "z-lost"), 3)];
    assert!(
        conductor.look(SECOND, &held).claims.is_empty(),
        "the one slot is used"
    );
    conductor.ready(SECOND, "z-lost");
    let look = conductor.look(3 * SECOND, &held);
    assert_eq!(look.release, [claim]);
}

#[test]
fn a_slot_left_behind_by_another_comes_back_once_its_copy_is_ready_here() {
    let mut conductor = conductor(0);
    let left = [reported(
        0,
        Grant {
            dispatcher: 7,
            ..grant(ClaimId(9), "x")
        },
        2,
    )];
    conductor.copy(0, "x", "v2", false);
    assert!(conductor.look(SECOND, &left).release.is_empty());
    conductor.ready(SECOND, "x");
    assert!(
        conductor.look(2 * SECOND, &left).release.is_empty(),
        "not before it has stayed so"
    );
    assert_eq!(conductor.look(3 * SECOND, &left).release, [ClaimId(9)]);
}

#[test]
fn an_earlier_lifes_slot_comes_back_when_nobody_came_for_it() {
    let mut conductor = conductor(0);
    let left = [reported(0, grant(ClaimId(9), "x"), 2)];
    assert!(conductor.look(0, &left).release.is_empty());
    assert!(conductor.look(29 * SECOND, &left).release.is_empty());
    assert_eq!(conductor.look(30 * SECOND, &left).release, [ClaimId(9)]);
}

/// One copy is old, and one of an earlier life's claims was known to be won for it.
fn remembers() -> Conductor {
    let mut conductor = conductor(0);
    conductor.remember(ClaimId(9), "x", true);
    conductor.copy(0, "x", "v1", false);
    conductor
}

#[test_case(3, 3; "all keepers tell it")]
#[test_case(2, 2; "a majority tells it, one is out of reach")]
fn a_claim_remembered_goes_on_with_its_copy_once_it_is_known_to_hold(told: usize, heard: usize) {
    let mut conductor = remembers();
    let held = [reported(0, grant(ClaimId(9), "x"), told)];
    assert!(
        conductor.look(0, &held).replace.is_empty(),
        "not before the keepers were asked"
    );
    assert_eq!(conductor.recall(&held, heard, 3), Recalled::default());
    let look = conductor.look(0, &held);
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
    let mut conductor = remembers();
    let held = [reported(1, grant(ClaimId(9), "x"), 1)];
    let recalled = conductor.recall(&held, 2, 3);
    assert_eq!(
        recalled.again,
        [ClaimRequest {
            claim: ClaimId(9),
            slot: 1,
            task: "x".into()
        }]
    );
    assert!(conductor.look(0, &held).replace.is_empty(), "not before");
    assert_eq!(conductor.claimed(0, ClaimId(9), votes), wins);
    assert_eq!(
        conductor.look_at_held(0),
        if wins { vec!["x".to_string()] } else { vec![] }
    );
    let look = conductor.look(10 * SECOND, &held[..0]);
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
    let mut conductor = remembers();
    let held = [reported(0, grant(ClaimId(9), "x"), told)];
    let held = if told == 0 { &held[..0] } else { &held[..] };
    assert_eq!(conductor.recall(held, heard, 3).gone, [ClaimId(9)]);
    let look = conductor.look(0, held);
    assert!(look.replace.is_empty());
    assert_eq!(look.claims.len(), 1, "it is claimed anew, as any other");
}

#[test]
fn a_claim_remembered_that_was_not_known_to_be_won_is_given_back() {
    let mut conductor = conductor(0);
    conductor.remember(ClaimId(9), "x", false);
    conductor.copy(0, "x", "v1", false);
    let look = conductor.look(0, &[reported(0, grant(ClaimId(9), "x"), 3)]);
    assert_eq!((look.replace, look.release), (Vec::new(), vec![ClaimId(9)]));
}

#[test]
fn a_copy_told_of_anew_while_its_claim_is_out_has_no_slot_yet() {
    let mut conductor = conductor(1);
    let ClaimRequest { claim, task, .. } = conductor.look(0, &[]).claims[0].clone();
    conductor.copy(0, &task, "v1", false);
    assert!(conductor.look_at_held(0).is_empty());
    assert!(conductor.claimed(0, claim, WON));
    assert_eq!(conductor.look_at_held(0), [task]);
}

#[derive(Clone, Debug)]
enum Comes {
    Copy(u8, bool),
    Ready(u8),
    Unready(u8),
    Gone(u8),
    Died(u8),
    Look,
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
        Just(Comes::Look),
        Just(Comes::Look),
        any::<bool>().prop_map(Comes::Vote),
        Just(Comes::Pause),
        Just(Comes::Resume),
        Just(Comes::Undo),
        (0..40_000u16).prop_map(Comes::Later),
    ]
}

/// One old copy, and a won slot under which a new one is to stand beside it.
fn grows() -> (Conductor, ClaimId, String) {
    let mut conductor = Conductor::new(
        0,
        1,
        Roll {
            order: Order::StartFirst,
            ..roll(1, "v2")
        },
        0,
    );
    conductor.copy(0, "c0", "v1", false);
    conductor.ready(0, "c0");
    let ClaimRequest { claim, task, .. } = conductor.look(0, &[]).claims[0].clone();
    assert!(conductor.claimed(0, claim, WON));
    assert_eq!(conductor.look_to_grow(0), std::slice::from_ref(&task));
    assert!(
        conductor.look_at_held(0).is_empty(),
        "the old one is left alone"
    );
    (conductor, claim, task)
}

#[test]
fn an_old_copy_is_retired_only_after_the_new_one_has_stayed_ready() {
    let (mut conductor, claim, task) = grows();
    conductor.grown(SECOND, &task, true);
    conductor.grown(2 * SECOND, &task, false);
    conductor.grown(3 * SECOND, &task, true);
    assert!(
        conductor.look(4 * SECOND, &[]).retire.is_empty(),
        "its time began anew"
    );
    let look = conductor.look(5 * SECOND, &[]);
    assert_eq!(
        (look.retire, look.release),
        (vec![task.clone()], vec![]),
        "its slot is held until it is gone"
    );
    assert_eq!(
        conductor.look(6 * SECOND, &[]).retire,
        std::slice::from_ref(&task),
        "said again until then"
    );
    assert_eq!(conductor.retired(&task), [claim]);
    assert_eq!(conductor.counts(), counts(1, 1, 0));
}

#[test_case::test_case(Withdrawn::Failed; "it died")]
#[test_case::test_case(Withdrawn::NoRoom; "it found no room")]
fn a_new_copy_that_comes_to_nothing_costs_its_slot_alone(why: Withdrawn) {
    let (mut conductor, claim, task) = grows();
    assert_eq!(conductor.withdrawn(SECOND, &task, why), [claim]);
    assert_eq!(
        conductor.counts(),
        counts(1, 0, 0),
        "the old one is ready as before"
    );
    let look = conductor.look(SECOND, &[]);
    assert!(
        look.claims.is_empty() && look.halt.is_none(),
        "not at once again; one failure may be"
    );
    let look = conductor.look(4 * SECOND, &[]);
    assert!(conductor.claimed(4 * SECOND, look.claims[0].claim, WON));
    assert_eq!(conductor.look_to_grow(4 * SECOND).len(), 1);
    assert_eq!(conductor.withdrawn(5 * SECOND, &task, why).len(), 1);
    let halt = conductor
        .look(9 * SECOND, &[])
        .halt
        .expect("the second is one too many");
    assert_eq!(
        halt.contains("2 without room"),
        why == Withdrawn::NoRoom,
        "{halt}"
    );
}

#[test]
fn an_undo_puts_the_new_copy_away_and_keeps_the_old() {
    let (mut conductor, claim, task) = grows();
    conductor.grown(SECOND, &task, true);
    conductor.adopt(conductor.roll().undone(1));
    let look = conductor.look(9 * SECOND, &[]);
    assert_eq!((look.withdraw, look.retire), (vec![task.clone()], vec![]));
    assert_eq!(
        conductor.withdrawn(9 * SECOND, &task, Withdrawn::NotWanted),
        [claim]
    );
    assert!(
        conductor.look(20 * SECOND, &[]).claims.is_empty(),
        "it is what is wanted"
    );
}

#[test]
fn a_copy_that_must_run_once_is_stopped_first_in_either_order() {
    let mut conductor = Conductor::new(
        0,
        1,
        Roll {
            order: Order::StartFirst,
            ..roll(1, "v2")
        },
        0,
    );
    conductor.copy(0, "c0", "v1", false);
    conductor.only_once("c0");
    conductor.ready(0, "c0");
    let claim = conductor.look(0, &[]).claims[0].claim;
    assert!(conductor.claimed(0, claim, WON));
    assert!(conductor.look_to_grow(0).is_empty());
    assert_eq!(conductor.look_at_held(0), ["c0"]);
}

#[test]
fn an_old_copy_that_dies_beside_its_new_one_leaves_the_slot_to_what_comes() {
    let (mut conductor, claim, task) = grows();
    conductor.died(SECOND, &task);
    assert!(
        conductor
            .withdrawn(SECOND, &task, Withdrawn::NotWanted)
            .is_empty(),
        "the slot is still in use"
    );
    conductor.copy(2 * SECOND, &task, "v2", true);
    conductor.ready(2 * SECOND, &task);
    let held = [reported(0, grant(claim, &task), 3)];
    assert!(conductor.look(3 * SECOND, &held).release.is_empty());
    assert_eq!(conductor.look(4 * SECOND, &held).release, [claim]);
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
        let wish = Roll { order, failures_most: 1_000, ..roll(1, "v2") };
        let mut keepers = vec![QuorumMember::default(); 3];
        keepers.iter_mut().for_each(|keeper| drop(keeper.propose(wish.clone()).cloned()));
        let mut own: Vec<Conductor> = (0..2).map(|me| {
            let now = me as u64 * apart;
            let mut conductor = Conductor::new(me, u64::from(me) + 1, wish.clone(), now);
            for number in 0..3 {
                let task = format!("d{me}c{number}");
                conductor.copy(now, &task, "v1", false);
                conductor.ready(now, &task);
            }
            conductor
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
                if own[who].grows(&task) {
                    own[who].grown(now, &task, true);
                } else {
                    own[who].ready(now, &task);
                }
            }
            let mut told: Vec<ReportedSlot> = Vec::new();
            for (slot, grant) in keepers.iter().flat_map(|keeper| keeper.entries()).flat_map(|kept| &kept.slots) {
                match told.iter_mut().find(|known| known.slot == *slot && known.grant == *grant) {
                    Some(known) => known.members += 1,
                    None => told.push(reported(*slot, grant.clone(), 1)),
                }
            }
            let look = own[who].look(now, &told);
            prop_assert!(look.halt.is_none() && look.withdraw.is_empty());
            let mut release = look.release;
            for task in look.retire {
                under_way.remove(&task);
                release.extend(own[who].retired(&task));
            }
            for ClaimRequest { claim, slot, task } in look.claims {
                let granted = keepers.iter_mut().filter_map(|keeper| {
                    let grant = Grant { claim, task: task.clone(), dispatcher: who as u32 };
                    (keeper.claim("s", 1, slot, grant) == ClaimOutcome::Granted).then_some(())
                }).count();
                if !own[who].claimed(now, claim, Votes { granted, keepers: 3 }) {
                    release.push(claim);
                }
            }
            let mut taken = look.replace;
            taken.extend(look.grow);
            taken.extend(own[who].look_to_grow(now));
            taken.extend(own[who].look_at_held(now));
            for task in taken {
                if !own[who].grows(&task) {
                    own[who].copy(now, &task, "v2", false);
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
        let left: Vec<_> = own.iter().map(Conductor::counts).collect();
        prop_assert_eq!(left, vec![counts(3, 3, 0), counts(3, 3, 0)], "all are replaced in the end");
        prop_assert!(most >= 1);
    }

    /// A copy is taken down only under a claim that was won and not given back, one claim a copy, and never more
    /// than the batch at a time, whatever happens meanwhile.
    #[test]
    fn whatever_comes_nothing_is_taken_down_without_a_slot(all in prop::collection::vec(comes(), 0..120)) {
        let mut conductor = conductor(4);
        let mut now = 0;
        let mut out: Vec<(ClaimId, String)> = Vec::new();
        let mut held: BTreeMap<ClaimId, String> = BTreeMap::new();
        let mut current = roll(1, "v2");
        for comes in all {
            let name = |copy: u8| format!("c{copy}");
            let mut down = Vec::new();
            match comes {
                Comes::Copy(copy, new) => conductor.copy(now, &name(copy), if new { "v2" } else { "v1" }, new),
                Comes::Ready(copy) => conductor.ready(now, &name(copy)),
                Comes::Unready(copy) => drop(conductor.unready(now, &name(copy))),
                Comes::Gone(copy) => {
                    for claim in conductor.gone(&name(copy)) {
                        held.remove(&claim);
                    }
                }
                Comes::Died(copy) => conductor.died(now, &name(copy)),
                Comes::Look => {
                    let view: Vec<_> = held.iter().enumerate()
                        .map(|(slot, (claim, task))| reported(slot as u32, grant(*claim, task), 2)).collect();
                    let look = conductor.look(now, &view);
                    for claim in &look.release {
                        held.remove(claim);
                    }
                    down = look.replace;
                    out.extend(look.claims.into_iter().map(|request| (request.claim, request.task)));
                    prop_assert!(look.wait <= 5_000);
                }
                Comes::Vote(won) => {
                    let Some((claim, task)) = out.pop() else { continue };
                    if conductor.claimed(now, claim, if won { WON } else { LOST }) {
                        prop_assert!(won, "a lost claim is no slot");
                        held.insert(claim, task);
                        down = conductor.look_at_held(now);
                    }
                }
                Comes::Pause => {
                    current = current.with_phase(Phase::Paused, 1);
                    conductor.adopt(current.clone());
                }
                Comes::Resume => {
                    current = current.with_phase(Phase::Rolling, 1);
                    conductor.adopt(current.clone());
                }
                Comes::Undo => {
                    current = current.undone(1);
                    conductor.adopt(current.clone());
                }
                Comes::Later(time) => now += u64::from(time),
            }
            for task in down {
                prop_assert!(held.values().any(|own| *own == task), "{task} is taken down without a slot");
                prop_assert_eq!(&current.phase, &Phase::Rolling);
            }
            prop_assert!(conductor.claims().count() <= 2 + 4, "claims stay few");
        }
    }
}

//! That slots at a majority of keepers can't be held by more than the limit: every state that
//! messages late, lost, doubled and out of order, and dispatchers killed at any point, can lead to
//! in a small case. And that the search is able to find a protocol that can: turns in time, and
//! keepers asked without a majority.

use corkspan_rollout::{ClaimId, Order, Phase, Rollout, base_proposal, committed, is_majority};
use corkspan_rollout::{ClaimOutcome, Grant, QuorumMember};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use test_case::test_case;

const KEEPERS: usize = 3;

fn rollout(number: u64, max_unavailable: u32) -> Rollout {
    Rollout {
        service: "s".into(),
        revision: number,
        proposer: 1,
        version: "v2".into(),
        previous_version: "v1".into(),
        initial_version: "v1".into(),
        max_unavailable,
        max_in_progress: 1,
        order: Order::StopFirst,
        min_ready: 10_000,
        progress_deadline: 100_000,
        max_failures: 1,
        phase: Phase::Rolling,
    }
}

/// What one dispatcher is at: its copy is not ready while it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum At {
    Rests,
    /// Claims a slot by its so many-th claim.
    Claims(u8, u8),
    Holds(u8),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    /// Slots of each keeper: claim by slot.
    members: [BTreeMap<u8, u8>; KEEPERS],
    dispatchers: Vec<(At, u8)>,
    /// Claims sent (claim, slot), releases sent (claim), grants ever answered (claim, keeper). A
    /// message once sent may arrive at any time, never, or again.
    claims: BTreeSet<(u8, u8)>,
    releases: BTreeSet<u8>,
    granted: BTreeSet<(u8, u8)>,
}

/// Explores all that may follow, with this many votes for a claim to be won. The most copies seen
/// not ready at a time, and how many states there were.
fn most_unready(dispatchers: usize, claims_each: u8, slots: u8, votes: usize) -> (usize, usize) {
    let start = World {
        members: Default::default(),
        dispatchers: vec![(At::Rests, 0); dispatchers],
        claims: BTreeSet::new(),
        releases: BTreeSet::new(),
        granted: BTreeSet::new(),
    };
    let (mut seen, mut open, mut most) = (HashSet::from([start.clone()]), vec![start], 0);
    while let Some(world) = open.pop() {
        let holding = world
            .dispatchers
            .iter()
            .filter(|(at, _)| matches!(at, At::Holds(_)))
            .count();
        most = most.max(holding);
        for next in follow(&world, claims_each, slots, votes) {
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    (most, seen.len())
}

fn follow(world: &World, claims_each: u8, slots: u8, votes: usize) -> Vec<World> {
    let mut all = Vec::new();
    for (index, &(at, used)) in world.dispatchers.iter().enumerate() {
        let claim = index as u8 * 8 + used;
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut next = world.clone();
            change(&mut next);
            all.push(next);
        };
        match at {
            At::Rests if used < claims_each => {
                for slot in 0..slots {
                    step(&|next| {
                        next.claims.insert((claim, slot));
                        next.dispatchers[index] = (At::Claims(claim, slot), used + 1);
                    });
                }
            }
            At::Rests => {}
            At::Claims(claim, _) => {
                let granted = world
                    .granted
                    .iter()
                    .filter(|(other, _)| *other == claim)
                    .count();
                if granted >= votes {
                    step(&|next| next.dispatchers[index].0 = At::Holds(claim));
                }
                // Given up at any time: refused, out of patience, or killed before the hold was on
                // disk.
                step(&|next| {
                    next.releases.insert(claim);
                    next.dispatchers[index].0 = At::Rests;
                });
            }
            // Killed while it holds, it holds on: the step is on disk and its copy is down.
            At::Holds(claim) => step(&|next| {
                next.releases.insert(claim);
                next.dispatchers[index].0 = At::Rests;
            }),
        }
    }
    for keeper in 0..KEEPERS {
        for &(claim, slot) in &world.claims {
            let mut next = world.clone();
            let held = next.members[keeper].get(&slot).copied();
            // The rule of the real keeper, which the test below holds against it.
            if held == Some(claim)
                || held.is_none() && next.members[keeper].len() < usize::from(slots)
            {
                next.members[keeper].insert(slot, claim);
                next.granted.insert((claim, keeper as u8));
                all.push(next);
            }
        }
        for &claim in &world.releases {
            let mut next = world.clone();
            next.members[keeper].retain(|_, held| *held != claim);
            all.push(next);
        }
    }
    all
}

#[test_case(2, 2, 1; "one slot, two dispatchers, two claims each")]
#[test_case(3, 1, 1; "one slot, three dispatchers")]
#[test_case(3, 1, 2; "two slots, three dispatchers")]
fn a_majority_never_passes_the_limit(dispatchers: usize, claims_each: u8, slots: u8) {
    let (most, states) = most_unready(dispatchers, claims_each, slots, 2);
    assert!(states > 100, "{states} states are no search");
    assert_eq!(
        most,
        usize::from(slots),
        "reached, and never passed, in {states} states"
    );
}

#[test]
fn without_a_majority_the_search_finds_the_limit_passed() {
    let (most, _) = most_unready(2, 1, 1, 1);
    assert_eq!(most, 2);
}

/// The option turned down: turns in time. Each may take a copy down in its own turn and wants it
/// ready within it; clocks differ by up to `skew`, and a copy may take `long` to get ready.
fn turns_overlap(turn: i32, guard: i32, skew: i32, long: i32) -> bool {
    let down = |offset: i32, begins: i32| {
        (0..turn - guard)
            .map(move |late| begins + late - offset)
            .map(move |from| (from, from + long))
    };
    (-skew..=skew).any(|second| {
        down(0, 0)
            .any(|(from, to)| down(second, turn).any(|(other, until)| other < to && from < until))
    })
}

#[test]
fn turns_in_time_hold_only_while_clocks_and_copies_keep_to_them() {
    assert!(
        !turns_overlap(10, 6, 2, 3),
        "a guard of skew and time to get ready is enough"
    );
    assert!(
        turns_overlap(10, 6, 5, 3),
        "clocks further apart than the guard pass the limit"
    );
    assert!(
        turns_overlap(10, 6, 2, 30),
        "and so does a copy that does not get ready"
    );
}

fn grant(claim: u64) -> Grant {
    Grant {
        claim: ClaimId(claim),
        task: format!("t{claim}"),
        dispatcher: 0,
    }
}

#[test]
fn the_keeper_itself_keeps_the_rule_of_the_search() {
    let mut keeper = QuorumMember::default();
    assert_eq!(
        keeper.claim("s", 1, 0, grant(1)),
        ClaimOutcome::StaleRevision,
        "of a roll it doesn't know"
    );
    assert_eq!(keeper.propose(rollout(1, 1)), Some(&rollout(1, 1)));
    assert_eq!(keeper.claim("s", 1, 0, grant(1)), ClaimOutcome::Granted);
    assert_eq!(
        keeper.claim("s", 1, 0, grant(1)),
        ClaimOutcome::Granted,
        "asked twice"
    );
    assert_eq!(keeper.claim("s", 1, 0, grant(2)), ClaimOutcome::Occupied);
    assert_eq!(
        keeper.claim("s", 1, 1, grant(2)),
        ClaimOutcome::Occupied,
        "no slot of this roll"
    );
    keeper.release("s", ClaimId(2));
    assert_eq!(
        keeper.claim("s", 1, 0, grant(3)),
        ClaimOutcome::Occupied,
        "another's release frees nothing"
    );
    keeper.release("s", ClaimId(1));
    assert_eq!(keeper.claim("s", 1, 0, grant(3)), ClaimOutcome::Granted);
}

#[test]
fn a_smaller_limit_counts_what_the_larger_one_let_down() {
    let mut keeper = QuorumMember::default();
    assert_eq!(keeper.propose(rollout(1, 3)), Some(&rollout(1, 3)));
    for claim in 1..=3 {
        assert_eq!(
            keeper.claim("s", 1, claim - 1, grant(u64::from(claim))),
            ClaimOutcome::Granted
        );
    }
    assert_eq!(keeper.propose(rollout(2, 2)), Some(&rollout(2, 2)));
    assert_eq!(
        keeper.claim("s", 1, 0, grant(9)),
        ClaimOutcome::StaleRevision,
        "under the earlier one none is granted"
    );
    keeper.release("s", ClaimId(1));
    assert_eq!(
        keeper.claim("s", 2, 0, grant(9)),
        ClaimOutcome::Occupied,
        "two are still down"
    );
    keeper.release("s", ClaimId(2));
    assert_eq!(keeper.claim("s", 2, 0, grant(9)), ClaimOutcome::Granted);
}

#[test]
fn of_two_operators_at_once_one_wins_and_the_other_is_told() {
    let mut keepers = vec![QuorumMember::default(); KEEPERS];
    let (one, two) = (
        Rollout {
            proposer: 1,
            ..rollout(1, 1)
        },
        Rollout {
            proposer: 2,
            ..rollout(1, 2)
        },
    );
    assert_eq!(keepers[0].propose(one.clone()), Some(&one));
    assert_eq!(keepers[1].propose(two.clone()), Some(&two));
    assert_eq!(keepers[2].propose(two.clone()), Some(&two));
    assert_eq!(
        keepers[1].propose(one.clone()),
        Some(&two),
        "the first there stands"
    );
    assert_eq!(keepers[0].propose(two.clone()), Some(&one));
    let told: Vec<Rollout> = keepers
        .iter()
        .flat_map(|keeper| keeper.entries().map(|kept| kept.proposal.clone()))
        .collect();
    assert_eq!(committed(&told, KEEPERS), Some(&two));
    assert_eq!(
        committed(&told[..2], KEEPERS),
        None,
        "with one keeper away nobody can tell"
    );
}

#[test]
fn a_wish_that_no_majority_took_is_passed_by_number_and_not_followed() {
    let stray = Rollout {
        version: "v9".into(),
        ..rollout(5, 1)
    };
    let next = base_proposal(&[rollout(4, 2), stray.clone(), rollout(4, 2)], KEEPERS)
        .expect("one in force");
    assert_eq!((&next.version[..], next.revision), ("v2", 5));
    assert_eq!(base_proposal::<Rollout>(&[], KEEPERS), None);
}

#[test]
fn half_is_no_majority() {
    assert!(!is_majority(1, 2) && is_majority(2, 3) && !is_majority(2, 4));
}

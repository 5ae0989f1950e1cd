//! Shows that no more slots than the limit can be held at a majority of quorum members. The search
//! visits every state of small cases, with messages that are late, lost, duplicated and reordered
//! and dispatchers killed at any point. It is shown to detect protocols that fail: time slices, and
//! claims granted without a majority.

use corkspan_rollout::{ClaimId, Order, Phase, Rollout, base_proposal, committed, is_majority};
use corkspan_rollout::{ClaimOutcome, Grant, QuorumMember};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use test_case::test_case;

const MEMBERS: usize = 3;

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

/// The state of one dispatcher. Its replica is not ready while it holds a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum State {
    Idle,
    /// Claims a slot; the fields are the claim and the slot.
    Claiming(u8, u8),
    Holding(u8),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct SystemState {
    /// For each member, the claim that holds each slot.
    members: [BTreeMap<u8, u8>; MEMBERS],
    dispatchers: Vec<(State, u8)>,
    /// All claims sent (claim, slot), releases sent (claim) and grants answered (claim, member). A
    /// message that was sent may arrive at any time, never, or repeatedly.
    claims: BTreeSet<(u8, u8)>,
    releases: BTreeSet<u8>,
    granted: BTreeSet<(u8, u8)>,
}

/// Visits every state, where a claim needs this many votes to be won. Returns the highest number of
/// replicas that were not ready at a time, and the number of states.
fn max_unavailable_reached(
    dispatchers: usize,
    claims_each: u8,
    slots: u8,
    votes: usize,
) -> (usize, usize) {
    let start = SystemState {
        members: Default::default(),
        dispatchers: vec![(State::Idle, 0); dispatchers],
        claims: BTreeSet::new(),
        releases: BTreeSet::new(),
        granted: BTreeSet::new(),
    };
    let (mut seen, mut open, mut highest) = (HashSet::from([start.clone()]), vec![start], 0);
    while let Some(world) = open.pop() {
        let holding = world
            .dispatchers
            .iter()
            .filter(|(state, _)| matches!(state, State::Holding(_)))
            .count();
        highest = highest.max(holding);
        for next in successors(&world, claims_each, slots, votes) {
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    (highest, seen.len())
}

fn successors(world: &SystemState, claims_each: u8, slots: u8, votes: usize) -> Vec<SystemState> {
    let mut all = Vec::new();
    for (index, &(state, used)) in world.dispatchers.iter().enumerate() {
        let claim = index as u8 * 8 + used;
        let mut step = |change: &dyn Fn(&mut SystemState)| {
            let mut next = world.clone();
            change(&mut next);
            all.push(next);
        };
        match state {
            State::Idle if used < claims_each => {
                for slot in 0..slots {
                    step(&|next| {
                        next.claims.insert((claim, slot));
                        next.dispatchers[index] = (State::Claiming(claim, slot), used + 1);
                    });
                }
            }
            State::Idle => {}
            State::Claiming(claim, _) => {
                let granted = world
                    .granted
                    .iter()
                    .filter(|(other, _)| *other == claim)
                    .count();
                if granted >= votes {
                    step(&|next| next.dispatchers[index].0 = State::Holding(claim));
                }
                // A claim may be abandoned at any time: it was rejected, timed out, or the
                // dispatcher was killed before the won claim was on disk.
                step(&|next| {
                    next.releases.insert(claim);
                    next.dispatchers[index].0 = State::Idle;
                });
            }
            // A dispatcher killed while it holds a slot keeps it: the claim is on disk and its
            // replica is down.
            State::Holding(claim) => step(&|next| {
                next.releases.insert(claim);
                next.dispatchers[index].0 = State::Idle;
            }),
        }
    }
    for member in 0..MEMBERS {
        for &(claim, slot) in &world.claims {
            let mut next = world.clone();
            let held = next.members[member].get(&slot).copied();
            // The rule of the actual member; a test below checks that it is the same.
            if held == Some(claim)
                || held.is_none() && next.members[member].len() < usize::from(slots)
            {
                next.members[member].insert(slot, claim);
                next.granted.insert((claim, member as u8));
                all.push(next);
            }
        }
        for &claim in &world.releases {
            let mut next = world.clone();
            next.members[member].retain(|_, held| *held != claim);
            all.push(next);
        }
    }
    all
}

#[test_case(2, 2, 1; "one slot, two dispatchers, two claims each")]
#[test_case(3, 1, 1; "one slot, three dispatchers")]
#[test_case(3, 1, 2; "two slots, three dispatchers")]
fn a_majority_never_exceeds_the_limit(dispatchers: usize, claims_each: u8, slots: u8) {
    let (highest, states) = max_unavailable_reached(dispatchers, claims_each, slots, 2);
    assert!(states > 100, "only {states} states");
    assert_eq!(
        highest,
        usize::from(slots),
        "reached, and never exceeded, in {states} states"
    );
}

#[test]
fn without_a_majority_the_search_finds_the_limit_exceeded() {
    let (highest, _) = max_unavailable_reached(2, 1, 1, 1);
    assert_eq!(highest, 2);
}

/// Returns whether time slices, the rejected alternative, let two replicas be down at once. Each
/// dispatcher may stop a replica within its own slice, up to `guard` before its end. Clocks differ
/// by up to `skew`, and a replica takes `time_to_ready` to become ready.
fn time_slices_overlap(slice: i32, guard: i32, skew: i32, time_to_ready: i32) -> bool {
    let down = |offset: i32, begins: i32| {
        (0..slice - guard)
            .map(move |delay| begins + delay - offset)
            .map(move |from| (from, from + time_to_ready))
    };
    (-skew..=skew).any(|second| {
        down(0, 0)
            .any(|(from, to)| down(second, slice).any(|(other, until)| other < to && from < until))
    })
}

#[test]
fn time_slices_keep_the_limit_only_while_clocks_and_replicas_stay_within_the_guard() {
    assert!(
        !time_slices_overlap(10, 6, 2, 3),
        "a guard of the skew and the time to ready is enough"
    );
    assert!(
        time_slices_overlap(10, 6, 5, 3),
        "clocks further apart than the guard exceed the limit"
    );
    assert!(
        time_slices_overlap(10, 6, 2, 30),
        "a replica that does not become ready exceeds the limit"
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
fn a_quorum_member_follows_the_rule_that_the_search_assumes() {
    let mut member = QuorumMember::default();
    assert_eq!(
        member.claim("s", 1, 0, grant(1)),
        ClaimOutcome::StaleRevision,
        "the rollout is unknown"
    );
    assert_eq!(member.propose(rollout(1, 1)), Some(&rollout(1, 1)));
    assert_eq!(member.claim("s", 1, 0, grant(1)), ClaimOutcome::Granted);
    assert_eq!(
        member.claim("s", 1, 0, grant(1)),
        ClaimOutcome::Granted,
        "a repeated request"
    );
    assert_eq!(member.claim("s", 1, 0, grant(2)), ClaimOutcome::Occupied);
    assert_eq!(
        member.claim("s", 1, 1, grant(2)),
        ClaimOutcome::Occupied,
        "the index is beyond the limit"
    );
    member.release("s", ClaimId(2));
    assert_eq!(
        member.claim("s", 1, 0, grant(3)),
        ClaimOutcome::Occupied,
        "a release of another claim has no effect"
    );
    member.release("s", ClaimId(1));
    assert_eq!(member.claim("s", 1, 0, grant(3)), ClaimOutcome::Granted);
}

#[test]
fn a_lower_limit_counts_slots_granted_under_a_higher_one() {
    let mut member = QuorumMember::default();
    assert_eq!(member.propose(rollout(1, 3)), Some(&rollout(1, 3)));
    for claim in 1..=3 {
        assert_eq!(
            member.claim("s", 1, claim - 1, grant(u64::from(claim))),
            ClaimOutcome::Granted
        );
    }
    assert_eq!(member.propose(rollout(2, 2)), Some(&rollout(2, 2)));
    assert_eq!(
        member.claim("s", 1, 0, grant(9)),
        ClaimOutcome::StaleRevision,
        "none is granted under the earlier revision"
    );
    member.release("s", ClaimId(1));
    assert_eq!(
        member.claim("s", 2, 0, grant(9)),
        ClaimOutcome::Occupied,
        "two are still down"
    );
    member.release("s", ClaimId(2));
    assert_eq!(member.claim("s", 2, 0, grant(9)), ClaimOutcome::Granted);
}

#[test]
fn of_two_concurrent_proposals_one_is_committed_and_returned_to_the_other_proposer() {
    let mut members = vec![QuorumMember::default(); MEMBERS];
    let (first, second) = (
        Rollout {
            proposer: 1,
            ..rollout(1, 1)
        },
        Rollout {
            proposer: 2,
            ..rollout(1, 2)
        },
    );
    assert_eq!(members[0].propose(first.clone()), Some(&first));
    assert_eq!(members[1].propose(second.clone()), Some(&second));
    assert_eq!(members[2].propose(second.clone()), Some(&second));
    assert_eq!(
        members[1].propose(first.clone()),
        Some(&second),
        "the member keeps the proposal that it accepted first"
    );
    assert_eq!(members[0].propose(second.clone()), Some(&first));
    let reported: Vec<Rollout> = members
        .iter()
        .flat_map(|member| member.entries().map(|entry| entry.proposal.clone()))
        .collect();
    assert_eq!(committed(&reported, MEMBERS), Some(&second));
    assert_eq!(
        committed(&reported[..2], MEMBERS),
        None,
        "undecided while one member is missing"
    );
}

#[test]
fn an_uncommitted_proposal_only_raises_the_next_revision() {
    let uncommitted = Rollout {
        version: "v9".into(),
        ..rollout(5, 1)
    };
    let next = base_proposal(
        &[rollout(4, 2), uncommitted.clone(), rollout(4, 2)],
        MEMBERS,
    )
    .expect("a proposal is committed");
    assert_eq!((&next.version[..], next.revision), ("v2", 5));
    assert_eq!(base_proposal::<Rollout>(&[], MEMBERS), None);
}

#[test]
fn half_is_no_majority() {
    assert!(!is_majority(1, 2) && is_majority(2, 3) && !is_majority(2, 4));
}

//! Tests of a quorum member's proposals and slots, and of which proposal is committed.

use corkspan_quorum::{
    ClaimId, ClaimOutcome, Grant, Proposal, QuorumMember, base_proposal, committed, sampled,
};

/// A proposal of a number of slots; its key is a name.
#[derive(Clone, Debug, PartialEq)]
struct Limit {
    name: String,
    revision: u64,
    proposer: u64,
    slots: u32,
}

impl Proposal for Limit {
    type Key = String;

    fn key(&self) -> String {
        self.name.clone()
    }

    fn revision(&self) -> u64 {
        self.revision
    }

    fn with_revision(&self, revision: u64) -> Self {
        Limit {
            revision,
            ..self.clone()
        }
    }

    fn max_slots(&self) -> u32 {
        self.slots
    }
}

fn limit(name: &str, revision: u64) -> Limit {
    Limit {
        name: name.into(),
        revision,
        proposer: 1,
        slots: 2,
    }
}

fn grant(claim: u64) -> Grant {
    Grant {
        claim: ClaimId(claim),
        task: format!("task-{claim}"),
        dispatcher: 0,
    }
}

#[test]
fn an_earlier_or_competing_proposal_is_not_accepted() {
    let mut member = QuorumMember::default();
    assert_eq!(member.propose(limit("a", 3)), Some(&limit("a", 3)));
    assert_eq!(member.propose(limit("a", 2)), Some(&limit("a", 3)));
    let competing = Limit {
        proposer: 2,
        ..limit("a", 3)
    };
    assert_eq!(member.propose(competing), Some(&limit("a", 3)));
    assert_eq!(member.propose(limit("a", 4)), Some(&limit("a", 4)));
}

#[test]
fn a_member_accepts_no_key_beyond_its_limit() {
    let mut member = QuorumMember::default();
    for number in 0..10_000 {
        assert!(member.propose(limit(&number.to_string(), 1)).is_some());
    }
    assert_eq!(member.propose(limit("one more", 1)), None);
    assert_eq!(
        member.propose(limit("7", 2)),
        Some(&limit("7", 2)),
        "keys that it holds still accept proposals"
    );
    assert_eq!(member.entries().count(), 10_000);
}

#[test]
fn claims_of_one_key_leave_others_alone() {
    let mut member = QuorumMember::default();
    member.propose(limit("a", 1));
    member.propose(limit("b", 1));
    assert_eq!(member.claim("a", 1, 0, grant(1)), ClaimOutcome::Granted);
    assert_eq!(member.claim("b", 1, 0, grant(2)), ClaimOutcome::Granted);
    member.release("b", ClaimId(1));
    assert_eq!(member.claim("a", 1, 0, grant(3)), ClaimOutcome::Occupied);
    let held: Vec<usize> = member.entries().map(|entry| entry.slots.len()).collect();
    assert_eq!(held, [1, 1]);
}

#[test]
fn slots_stay_held_under_a_later_proposal() {
    let mut member = QuorumMember::default();
    member.propose(limit("a", 1));
    assert_eq!(member.claim("a", 1, 0, grant(1)), ClaimOutcome::Granted);
    member.propose(limit("a", 2));
    assert_eq!(
        member.claim("a", 1, 1, grant(2)),
        ClaimOutcome::StaleRevision
    );
    assert_eq!(member.claim("a", 2, 0, grant(2)), ClaimOutcome::Occupied);
    assert_eq!(member.claim("a", 2, 0, grant(1)), ClaimOutcome::Granted);
}

#[test]
fn the_highest_proposal_that_a_majority_holds_is_committed() {
    let reported = [limit("a", 2), limit("a", 2), limit("a", 3)];
    assert_eq!(committed(&reported, 3), Some(&limit("a", 2)));
    assert_eq!(committed(&reported, 5), None, "two of five are too few");
    assert_eq!(base_proposal(&reported, 3), Some(limit("a", 3)));
}

#[test]
fn about_three_of_a_fleet_are_sampled_and_all_of_a_small_one() {
    let draws = |fleet| {
        (0..1_000)
            .filter(|step| sampled(fleet, f64::from(*step) / 1_000.0))
            .count()
    };
    assert_eq!(draws(300), 10, "1 % of the draws");
    assert_eq!(draws(3), 1_000);
    assert_eq!(draws(0), 1_000);
}

//! Slots, bids and the order, one story each.

use corkspan_maintenance::cordon::Cordon;
use corkspan_maintenance::cost::{drain_order, estimate_cost};
use corkspan_maintenance::lease_table::{ClaimOutcome, LeaseOutcome, LeaseTable, MAX_COST};
use corkspan_maintenance::reconcile::{MemberReply, QuorumView, StartError};
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, LeasePhase, Machine, MachineDomains,
    MaintenanceRequest, RunState,
};
use std::collections::BTreeMap;
use test_case::test_case;

/// Four machines in two halls, each in a cell of its own.
fn wish(number: u64, limits: DisruptionLimits) -> MaintenanceRequest {
    let at = |own: u32| MachineDomains {
        zone: own % 2,
        cell: u64::from(own),
        machine_type: 0,
    };
    MaintenanceRequest {
        revision: number,
        proposer: 1,
        job: 1,
        machines: (0..4).map(|own| (Machine(own), at(own))).collect(),
        limits,
        warm_up_ms: 0,
        drain_timeout_ms: 1_000,
        on_drain_timeout: DrainTimeoutAction::Wait,
        run_state: RunState::Running,
    }
}

const TWO: DisruptionLimits = DisruptionLimits {
    total: 2,
    zone: 1,
    cell: 1,
    machine_type: 9,
};

fn board() -> LeaseTable {
    let mut board = LeaseTable::default();
    board.propose(wish(1, TWO));
    board
}

#[test]
fn a_slot_is_held_by_one_outing_under_each_limit() {
    let mut board = board();
    assert_eq!(
        board.claim(1, Machine(0), ClaimId(1), [0, 0, 0, 0]),
        ClaimOutcome::Granted
    );
    assert_eq!(
        board.claim(1, Machine(0), ClaimId(1), [0, 0, 0, 0]),
        ClaimOutcome::Granted,
        "doubled"
    );
    assert_eq!(
        board.claim(1, Machine(1), ClaimId(2), [0, 0, 0, 1]),
        ClaimOutcome::Occupied,
        "the same of all"
    );
    assert_eq!(
        board.claim(1, Machine(2), ClaimId(2), [1, 0, 0, 1]),
        ClaimOutcome::Occupied,
        "the same of its hall"
    );
    assert_eq!(
        board.claim(1, Machine(1), ClaimId(2), [2, 0, 0, 1]),
        ClaimOutcome::Occupied,
        "beyond the limit"
    );
    assert_eq!(
        board.claim(1, Machine(9), ClaimId(2), [1, 0, 0, 1]),
        ClaimOutcome::StaleRevision,
        "not wished for"
    );
    assert_eq!(
        board.claim(1, Machine(1), ClaimId(2), [1, 0, 0, 1]),
        ClaimOutcome::Granted
    );
}

#[test]
fn limits_that_shrink_let_nobody_in_until_fewer_are_out() {
    let mut board = board();
    board.claim(1, Machine(0), ClaimId(1), [0, 0, 0, 0]);
    board.claim(1, Machine(1), ClaimId(2), [1, 0, 0, 1]);
    board.propose(wish(2, DisruptionLimits { total: 1, ..TWO }));
    assert_eq!(
        board.claim(2, Machine(2), ClaimId(3), [0, 0, 0, 2]),
        ClaimOutcome::Occupied
    );
    board.release(Machine(0), ClaimId(1), Some((1, LeaseOutcome::Completed)));
    assert_eq!(
        board.claim(2, Machine(2), ClaimId(3), [0, 0, 0, 2]),
        ClaimOutcome::Granted
    );
    assert_eq!(
        board.claim(2, Machine(0), ClaimId(4), [0, 0, 0, 3]),
        ClaimOutcome::Occupied,
        "it has had its work"
    );
    board.propose(wish(3, DisruptionLimits { total: 0, ..TWO }));
    assert_eq!(
        board.claim(3, Machine(3), ClaimId(5), [0, 1, 0, 3]),
        ClaimOutcome::Occupied,
        "none at all"
    );
}

#[test]
fn late_word_to_close_finds_its_outing_over() {
    let mut door = Cordon::default();
    assert!(door.cordon(ClaimId(1)) && !door.cordon(ClaimId(2)));
    door.uncordon(ClaimId(1));
    assert!(!door.cordon(ClaimId(1)) && door.active().is_none());
    door.uncordon(ClaimId(3));
    assert!(!door.cordon(ClaimId(3)), "opened before it was ever closed");
}

#[test]
fn no_bid_holds_a_machine_up_or_captures_the_order() {
    let mut board = board();
    let all = |costs: [f64; 4]| (0..4).map(Machine).zip(costs);
    board.record_cost_estimates(
        0,
        all([
            estimate_cost(3, 0),
            estimate_cost(0, 1),
            estimate_cost(1, 0),
            estimate_cost(0, 0),
        ]),
    );
    board.record_cost_estimates(1, all([f64::NAN, -1.0, f64::INFINITY, 1e300]));
    board.record_cost_estimates(77, all([0.0, 0.0, 0.0, 9.0]));
    let sums = board.total_costs(2);
    let sums: Vec<Option<f64>> = (0..4).map(|own| sums.get(&Machine(own)).copied()).collect();
    assert_eq!(sums, [Some(3.0), Some(10.0), Some(1.0), Some(MAX_COST)]);
    let told = board.total_costs(2);
    let liar: BTreeMap<Machine, f64> = all([0.0, 0.0, 0.0, 0.0]).collect();
    let all_machines = || (0..4).map(Machine);
    let sound = drain_order(all_machines(), &[told.clone(), told.clone(), liar.clone()]);
    assert_eq!(
        sound,
        [2, 0, 1, 3].map(Machine),
        "one keeper's word moves nothing"
    );
    assert_eq!(
        drain_order(all_machines(), &[liar, told.clone(), told]),
        sound,
        "in whatever order they answer"
    );
    assert_eq!(
        drain_order(all_machines(), &[]),
        [0, 1, 2, 3].map(Machine),
        "nobody has bid"
    );
}

#[test]
fn an_outing_is_handed_over_or_returned_and_never_both() {
    let mut board = board();
    board.claim(1, Machine(0), ClaimId(1), [0, 0, 0, 0]);
    board.advance(Machine(0), ClaimId(1), LeasePhase::Cancelled);
    board.advance(Machine(0), ClaimId(1), LeasePhase::Drained);
    assert_eq!(
        board.votes().collect::<Vec<_>>(),
        [(ClaimId(1), LeasePhase::Cancelled)]
    );
}

fn word(board: &LeaseTable) -> MemberReply {
    MemberReply {
        request: board.request().cloned(),
        costs: board.total_costs(9),
        leases: board.leases().clone(),
        ..MemberReply::default()
    }
}

#[test]
fn dead_machines_that_cost_nothing_do_not_bar_those_that_come_after() {
    let mut board = board();
    board.record_cost_estimates(0, [(Machine(2), 5.0), (Machine(3), 9.0)]);
    let view = QuorumView::from_replies(&[word(&board), word(&board)], 3).expect("two of three");
    // Two that never answer are always among the cheapest.
    let asked = |draw: usize| {
        view.machines_to_poll(2, |of| draw % of)
            .keys()
            .copied()
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (asked(0), asked(1)),
        (
            [0, 1, 2].map(Machine).to_vec(),
            [0, 1, 3].map(Machine).to_vec()
        )
    );
    assert_eq!(view.machines_to_poll(0, |_| 0).len(), 0);
}

#[test]
fn a_machine_with_two_claims_is_asked_about_the_one_that_is_held() {
    let (mut one, mut other) = (board(), board());
    one.claim(1, Machine(0), ClaimId(9), [0, 0, 0, 0]);
    other.claim(1, Machine(0), ClaimId(2), [0, 0, 0, 0]);
    other.advance(Machine(0), ClaimId(2), LeasePhase::Granted);
    let view =
        QuorumView::from_replies(&[word(&one), word(&other), word(&other)], 3).expect("all three");
    assert_eq!(
        view.machines_to_poll(0, |_| 0)[&Machine(0)],
        Some(ClaimId(2))
    );
}

#[test]
fn a_wish_that_no_majority_took_does_not_bar_the_next() {
    let (mut minority, rest) = (board(), board());
    minority.propose(wish(7, TWO));
    let view = QuorumView::from_replies(&[word(&minority), word(&rest), word(&rest)], 3)
        .expect("all three");
    assert_eq!(
        (
            view.request.map(|wish| wish.revision),
            view.highest_revision
        ),
        (Some(1), 7)
    );
}

#[test_case(0..4, TWO, &[8, 9, 10], Ok(()); "no keeper among them")]
#[test_case(0..4, TWO, &[2, 3, 9], Err(StartError::Members { named: 2, spare: 1 }); "two of three keepers at a time")]
#[test_case(0..4, DisruptionLimits { total: 1, ..TWO }, &[2, 3, 9], Ok(()); "two keepers, one at a time")]
#[test_case(0..0, TWO, &[9], Err(StartError::MachineCount { named: 0, max: 2_000 }); "none")]
#[test_case(0..2_001, TWO, &[9_999], Err(StartError::MachineCount { named: 2_001, max: 2_000 }); "too many")]
fn a_work_begins_where_it_can_end(
    machines: std::ops::Range<u32>,
    limits: DisruptionLimits,
    keepers: &[u32],
    begins: Result<(), StartError>,
) {
    let at = MachineDomains {
        zone: 0,
        cell: 0,
        machine_type: 0,
    };
    let machines = machines.map(|own| (Machine(own), at)).collect();
    let keepers: Vec<Machine> = keepers.iter().copied().map(Machine).collect();
    assert_eq!(
        QuorumView::default().check_start(&machines, &limits, &keepers),
        begins
    );
}

#[test]
fn a_vote_on_an_outing_that_is_here_is_kept_whatever_else_is_voted_on() {
    let mut board = board();
    board.claim(1, Machine(0), ClaimId(1), [0, 0, 0, 0]);
    board.advance(Machine(0), ClaimId(1), LeasePhase::Drained);
    (2..20_000).for_each(|claim| board.advance(Machine(3), ClaimId(claim), LeasePhase::Cancelled));
    board.advance(Machine(0), ClaimId(1), LeasePhase::Cancelled);
    assert_eq!(
        board.votes().next(),
        Some((ClaimId(1), LeasePhase::Drained))
    );
    assert_eq!(
        board.votes().count(),
        513,
        "the latest of the others are told"
    );
}

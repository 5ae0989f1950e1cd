//! Slots, cost estimates, the drain order and votes, one case each.

use corkspan_maintenance::cordon::Cordon;
use corkspan_maintenance::cost::{drain_order, estimate_cost};
use corkspan_maintenance::lease_table::{ClaimOutcome, LeaseTable, MAX_COST};
use corkspan_maintenance::quorum_view::{MemberReply, QuorumView, StartError};
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, JobOutcome, LeaseOutcome, LeasePhase, Machine,
    MachineDomains, MaintenanceRequest, RunState, Slots,
};
use std::collections::BTreeMap;
use test_case::test_case;

/// Four machines in two zones, each in a cell of its own.
fn request(revision: u64, limits: DisruptionLimits) -> MaintenanceRequest {
    let domains = |number: u32| MachineDomains {
        zone: number % 2,
        cell: u64::from(number),
        machine_type: 0,
    };
    MaintenanceRequest {
        revision,
        proposer: 1,
        job: 1,
        machines: (0..4)
            .map(|number| (Machine(number), domains(number)))
            .collect(),
        limits,
        warm_up_ms: 0,
        drain_timeout_ms: 1_000,
        on_drain_timeout: DrainTimeoutAction::Wait,
        run_state: RunState::Running,
    }
}

const LIMIT_OF_TWO: DisruptionLimits = DisruptionLimits {
    total: 2,
    zone: 1,
    cell: 1,
    machine_type: 9,
};

fn lease_table() -> LeaseTable {
    let mut table = LeaseTable::default();
    table.propose(request(1, LIMIT_OF_TWO));
    table
}

fn claim(
    table: &mut LeaseTable,
    revision: u64,
    machine: u32,
    claim: u64,
    slots: [u32; 4],
) -> ClaimOutcome {
    table.claim(revision, Machine(machine), ClaimId(claim), slots.into())
}

#[test]
fn a_slot_is_held_by_one_lease_under_each_limit() {
    let mut table = lease_table();
    assert_eq!(
        claim(&mut table, 1, 0, 1, [0, 0, 0, 0]),
        ClaimOutcome::Granted
    );
    assert_eq!(
        claim(&mut table, 1, 0, 1, [0, 0, 0, 0]),
        ClaimOutcome::Granted,
        "the same claim again"
    );
    assert_eq!(
        claim(&mut table, 1, 1, 2, [0, 0, 0, 1]),
        ClaimOutcome::Occupied,
        "the total slot is held"
    );
    assert_eq!(
        claim(&mut table, 1, 2, 2, [1, 0, 0, 1]),
        ClaimOutcome::Occupied,
        "the zone slot is held"
    );
    assert_eq!(
        claim(&mut table, 1, 1, 2, [2, 0, 0, 1]),
        ClaimOutcome::Occupied,
        "beyond the limit"
    );
    assert_eq!(
        claim(&mut table, 1, 9, 2, [1, 0, 0, 1]),
        ClaimOutcome::StaleRevision,
        "not in the request"
    );
    assert_eq!(
        claim(&mut table, 1, 1, 2, [1, 0, 0, 1]),
        ClaimOutcome::Granted
    );
}

#[test]
fn limits_that_shrink_admit_none_until_fewer_are_out() {
    let mut table = lease_table();
    assert_eq!(
        claim(&mut table, 1, 0, 1, [0, 0, 0, 0]),
        ClaimOutcome::Granted
    );
    assert_eq!(
        claim(&mut table, 1, 1, 2, [1, 0, 0, 1]),
        ClaimOutcome::Granted
    );
    table.propose(request(
        2,
        DisruptionLimits {
            total: 1,
            ..LIMIT_OF_TWO
        },
    ));
    assert_eq!(
        claim(&mut table, 2, 2, 3, [0, 0, 0, 2]),
        ClaimOutcome::Occupied
    );
    let completed = JobOutcome {
        job: 1,
        outcome: LeaseOutcome::Completed,
    };
    table.release(Machine(0), ClaimId(1), Some(completed));
    assert_eq!(
        claim(&mut table, 2, 2, 3, [0, 0, 0, 2]),
        ClaimOutcome::Granted
    );
    assert_eq!(
        claim(&mut table, 2, 0, 4, [0, 0, 0, 3]),
        ClaimOutcome::Occupied,
        "the machine is completed"
    );
    table.propose(request(
        3,
        DisruptionLimits {
            total: 0,
            ..LIMIT_OF_TWO
        },
    ));
    assert_eq!(
        claim(&mut table, 3, 3, 5, [0, 1, 0, 3]),
        ClaimOutcome::Occupied,
        "the limit is 0"
    );
}

#[test]
fn a_late_message_to_cordon_finds_its_claim_finished() {
    let mut cordon = Cordon::default();
    assert!(cordon.cordon(ClaimId(1)) && !cordon.cordon(ClaimId(2)));
    cordon.uncordon(ClaimId(1));
    assert!(!cordon.cordon(ClaimId(1)) && cordon.active().is_none());
    cordon.uncordon(ClaimId(3));
    assert!(
        !cordon.cordon(ClaimId(3)),
        "uncordoned before the cordon message arrived"
    );
}

#[test]
fn no_single_estimate_holds_a_machine_back_or_determines_the_order() {
    let mut table = lease_table();
    let by_machine = |costs: [f64; 4]| (0..4).map(Machine).zip(costs);
    let estimates = [(3, 0), (0, 1), (1, 0), (0, 0)];
    let estimates = estimates.map(|(movable, immovable)| estimate_cost(movable, immovable));
    table.record_cost_estimates(0, by_machine(estimates));
    table.record_cost_estimates(1, by_machine([f64::NAN, -1.0, f64::INFINITY, 1e300]));
    table.record_cost_estimates(77, by_machine([0.0, 0.0, 0.0, 9.0]));
    let reported = table.total_costs(2);
    let sums: Vec<Option<f64>> = (0..4)
        .map(|number| reported.get(&Machine(number)).copied())
        .collect();
    assert_eq!(sums, [Some(3.0), Some(10.0), Some(1.0), Some(MAX_COST)]);
    let zero_costs: BTreeMap<Machine, f64> = by_machine([0.0, 0.0, 0.0, 0.0]).collect();
    let machines = || (0..4).map(Machine);
    let expected = [2, 0, 1, 3].map(Machine);
    assert_eq!(
        drain_order(
            machines(),
            &[reported.clone(), reported.clone(), zero_costs.clone()]
        ),
        expected,
        "one member's report does not change the order"
    );
    assert_eq!(
        drain_order(machines(), &[zero_costs, reported.clone(), reported]),
        expected,
        "the order of replies does not matter"
    );
    assert_eq!(
        drain_order(machines(), &[]),
        [0, 1, 2, 3].map(Machine),
        "without estimates, by number"
    );
}

#[test]
fn a_lease_is_drained_or_cancelled_and_never_both() {
    let mut table = lease_table();
    assert_eq!(
        claim(&mut table, 1, 0, 1, [0, 0, 0, 0]),
        ClaimOutcome::Granted
    );
    table.advance(Machine(0), ClaimId(1), LeasePhase::Cancelled);
    table.advance(Machine(0), ClaimId(1), LeasePhase::Drained);
    assert_eq!(
        table.votes().collect::<Vec<_>>(),
        [(ClaimId(1), LeasePhase::Cancelled)]
    );
}

fn reply(table: &LeaseTable) -> MemberReply {
    MemberReply {
        request: table.request().cloned(),
        costs: table.total_costs(9),
        leases: table.leases().clone(),
        ..MemberReply::default()
    }
}

#[test]
fn dead_machines_without_cost_do_not_block_later_machines() {
    let mut table = lease_table();
    table.record_cost_estimates(0, [(Machine(2), 5.0), (Machine(3), 9.0)]);
    let view =
        QuorumView::from_replies(&[reply(&table), reply(&table)], 3).expect("two of three replied");
    // Two machines that never reply are always among the cheapest.
    let polled = |draw: usize| {
        view.machines_to_poll(2, |count| draw % count)
            .keys()
            .copied()
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (polled(0), polled(1)),
        (
            [0, 1, 2].map(Machine).to_vec(),
            [0, 1, 3].map(Machine).to_vec()
        )
    );
    assert_eq!(view.machines_to_poll(0, |_| 0).len(), 0);
}

#[test]
fn a_machine_with_two_claims_is_polled_about_the_granted_one() {
    let (mut one, mut other) = (lease_table(), lease_table());
    assert_eq!(
        claim(&mut one, 1, 0, 9, [0, 0, 0, 0]),
        ClaimOutcome::Granted
    );
    assert_eq!(
        claim(&mut other, 1, 0, 2, [0, 0, 0, 0]),
        ClaimOutcome::Granted
    );
    other.advance(Machine(0), ClaimId(2), LeasePhase::Granted);
    let replies = [reply(&one), reply(&other), reply(&other)];
    let view = QuorumView::from_replies(&replies, 3).expect("all three replied");
    assert_eq!(
        view.machines_to_poll(0, |_| 0)[&Machine(0)],
        Some(ClaimId(2))
    );
}

#[test]
fn a_request_that_no_majority_accepted_does_not_block_the_next() {
    let (mut minority, rest) = (lease_table(), lease_table());
    minority.propose(request(7, LIMIT_OF_TWO));
    let replies = [reply(&minority), reply(&rest), reply(&rest)];
    let view = QuorumView::from_replies(&replies, 3).expect("all three replied");
    let revision = view.request.map(|request| request.revision);
    assert_eq!((revision, view.highest_revision), (Some(1), 7));
}

#[test_case(0..4, LIMIT_OF_TWO, &[8, 9, 10], Ok(()); "without quorum members")]
#[test_case(0..4, LIMIT_OF_TWO, &[2, 3, 9], Err(StartError::Members { named: 2, spare: 1 }); "two of three members at a time")]
#[test_case(0..4, DisruptionLimits { total: 1, ..LIMIT_OF_TWO }, &[2, 3, 9], Ok(()); "two members, one at a time")]
#[test_case(0..0, LIMIT_OF_TWO, &[9], Err(StartError::MachineCount { named: 0, max: 2_000 }); "no machine")]
#[test_case(0..2_001, LIMIT_OF_TWO, &[9_999], Err(StartError::MachineCount { named: 2_001, max: 2_000 }); "too many machines")]
fn a_job_starts_only_if_it_can_end(
    machines: std::ops::Range<u32>,
    limits: DisruptionLimits,
    members: &[u32],
    expected: Result<(), StartError>,
) {
    let domains = MachineDomains {
        zone: 0,
        cell: 0,
        machine_type: 0,
    };
    let machines = machines.map(|number| (Machine(number), domains)).collect();
    let members: Vec<Machine> = members.iter().copied().map(Machine).collect();
    assert_eq!(
        QuorumView::default().check_start(&machines, &limits, &members),
        expected
    );
}

#[test]
fn a_vote_on_a_lease_held_here_is_kept_whatever_else_is_voted_on() {
    let mut table = lease_table();
    assert_eq!(
        claim(&mut table, 1, 0, 1, [0, 0, 0, 0]),
        ClaimOutcome::Granted
    );
    table.advance(Machine(0), ClaimId(1), LeasePhase::Drained);
    (2..20_000).for_each(|claim| table.advance(Machine(3), ClaimId(claim), LeasePhase::Cancelled));
    table.advance(Machine(0), ClaimId(1), LeasePhase::Cancelled);
    assert_eq!(
        table.votes().next(),
        Some((ClaimId(1), LeasePhase::Drained))
    );
    assert_eq!(
        table.votes().count(),
        513,
        "the latest of the others are reported"
    );
}

#[test]
fn slots_are_read_from_four_numbers_only() {
    let slots = Slots::try_from(&[1, 2, 3, 4][..]).expect("four numbers are valid");
    assert_eq!(slots.to_array(), [1, 2, 3, 4]);
    assert!(Slots::try_from(&[1, 2, 3][..]).is_err());
}

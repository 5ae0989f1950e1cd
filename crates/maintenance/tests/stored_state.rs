//! The state that a machine stores on its disk can still be read as it was first written: the state
//! of a quorum member, the machine's cordon, and each type in them. The files under `tests/data`
//! were written by the first release that stored them and never change.

use corkspan_maintenance::cordon::Cordon;
use corkspan_maintenance::lease_table::LeaseTable;
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, LeaseOutcome, LeasePhase, Machine,
    MachineDomains, MaintenanceLease, MaintenanceRequest, RunState,
};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;
use test_case::test_case;

const LEASE_TABLE: &str = include_str!("data/quorum-member.json");
const EMPTY_LEASE_TABLE: &str = include_str!("data/quorum-member-empty.json");
const CORDON: &str = include_str!("data/cordon.json");
const PARTS: &str = include_str!("data/parts.txt");
const EXPECTED_ERRORS: &str = include_str!("data/refusals.txt");

/// Reads a value from the text and checks that it is written back as the same bytes.
fn read<T: Serialize + DeserializeOwned + PartialEq + Debug>(text: &str) -> T {
    let value: T = serde_json::from_str(text).expect("the recorded JSON is valid");
    let written = serde_json::to_string(&value).expect("the value can be serialized");
    assert_eq!(written, text, "written back differently");
    let reread: T = serde_json::from_str(&written).expect("the written JSON is valid");
    assert_eq!(reread, value);
    value
}

#[test]
fn a_quorum_members_state_is_read_to_the_same_content() {
    let table: LeaseTable = read(LEASE_TABLE.trim_end());
    let request = table.request().expect("a request is held");
    assert_eq!(
        (request.revision, request.proposer, request.job),
        (7, 11, 5)
    );
    assert_eq!(
        (request.warm_up_ms, request.drain_timeout_ms),
        (60_000, 900_000)
    );
    assert_eq!(
        (request.on_drain_timeout, request.run_state),
        (DrainTimeoutAction::Skip, RunState::Paused)
    );
    let limits = DisruptionLimits {
        total: 20,
        zone: 19,
        cell: 18,
        machine_type: 17,
    };
    assert_eq!(request.limits, limits);
    assert_eq!(request.machines.len(), 12);
    let domains = MachineDomains {
        zone: 1,
        cell: 103,
        machine_type: 0,
    };
    assert_eq!(request.machines[&Machine(3)], domains);

    let phases: Vec<(u32, u64, LeasePhase)> = table
        .leases()
        .iter()
        .map(|(machine, lease)| (machine.0, lease.claim.0, lease.phase))
        .collect();
    let expected = [
        (0, 100, LeasePhase::Requested),
        (1, 101, LeasePhase::Granted),
        (2, 102, LeasePhase::Cordoned),
        (3, 103, LeasePhase::Cordoned),
        (4, 104, LeasePhase::Completed),
    ];
    assert_eq!(phases, expected);
    let lease = MaintenanceLease {
        claim: ClaimId(103),
        job: 5,
        domains,
        slots: [3, 3, 3, 3].into(),
        phase: LeasePhase::Cordoned,
    };
    assert_eq!(table.leases()[&Machine(3)], lease);

    let outcomes: Vec<(Machine, LeaseOutcome)> = table.outcomes().collect();
    assert_eq!(
        outcomes,
        [
            (Machine(7), LeaseOutcome::Completed),
            (Machine(8), LeaseOutcome::Skipped)
        ]
    );
    let withdrawn: Vec<ClaimId> = table.withdrawn().collect();
    assert_eq!(withdrawn, [ClaimId(109), ClaimId(u64::MAX)]);
    let votes: Vec<(ClaimId, LeasePhase)> = table.votes().collect();
    assert_eq!(
        votes,
        [
            (ClaimId(102), LeasePhase::Drained),
            (ClaimId(103), LeasePhase::Cancelled)
        ]
    );
    let costs: Vec<(u32, f64)> = table
        .total_costs(4)
        .into_iter()
        .map(|(machine, cost)| (machine.0, cost))
        .collect();
    assert_eq!(costs, [(0, 3.5), (1, 1e6 + 0.25), (5, 10.0)]);
    assert_eq!(
        table.total_costs(1).len(),
        2,
        "only the estimates of dispatcher 0"
    );
}

#[test]
fn an_empty_quorum_member_is_read_as_the_default() {
    assert_eq!(
        read::<LeaseTable>(EMPTY_LEASE_TABLE.trim_end()),
        LeaseTable::default()
    );
}

#[test]
fn a_cordon_is_read_to_the_same_content() {
    let lines: Vec<&str> = CORDON.lines().collect();
    assert_eq!(read::<Cordon>(lines[0]), Cordon::default());
    let cordon: Cordon = read(lines[1]);
    assert_eq!(cordon.active(), Some(ClaimId(70)));
    let finished: Vec<u64> = (0..80)
        .filter(|claim| cordon.is_finished(ClaimId(*claim)))
        .collect();
    assert_eq!(finished, (6..70).collect::<Vec<u64>>());
}

/// Returns the recorded values of one kind.
fn parts(kind: &'static str) -> impl Iterator<Item = &'static str> {
    PARTS
        .lines()
        .filter_map(move |line| line.strip_prefix(kind)?.strip_prefix(' '))
}

#[test]
fn each_stored_type_is_read_to_the_same_content() {
    let phases = [
        LeasePhase::Requested,
        LeasePhase::Granted,
        LeasePhase::Cordoned,
        LeasePhase::Drained,
        LeasePhase::Completed,
        LeasePhase::Cancelled,
    ];
    assert_eq!(
        parts("phase").map(read::<LeasePhase>).collect::<Vec<_>>(),
        phases
    );
    assert!(phases.is_sorted(), "in the order in which they are reached");
    let run_states = [RunState::Running, RunState::Paused, RunState::Aborted];
    assert_eq!(
        parts("run-state").map(read::<RunState>).collect::<Vec<_>>(),
        run_states
    );
    let timeout_actions = [
        DrainTimeoutAction::Wait,
        DrainTimeoutAction::Skip,
        DrainTimeoutAction::Stop,
    ];
    assert_eq!(
        parts("drain-timeout")
            .map(read::<DrainTimeoutAction>)
            .collect::<Vec<_>>(),
        timeout_actions
    );
    let outcome_values = [LeaseOutcome::Completed, LeaseOutcome::Skipped];
    assert_eq!(
        parts("outcome")
            .map(read::<LeaseOutcome>)
            .collect::<Vec<_>>(),
        outcome_values
    );
    let machines: Vec<Machine> = parts("machine").map(read).collect();
    assert_eq!(machines, [Machine(0), Machine(u32::MAX)]);
    let limits: Vec<DisruptionLimits> = parts("limits").map(read).collect();
    assert_eq!(limits[0].to_array(), [1, 2, 3, 4]);
    let domains: Vec<MachineDomains> = parts("domains").map(read).collect();
    assert_eq!(
        (domains[0].zone, domains[0].cell, domains[0].machine_type),
        (5, u64::MAX, 7)
    );
    let leases: Vec<MaintenanceLease> = parts("lease").map(read).collect();
    assert_eq!(
        (leases[0].slots.to_array(), leases[0].job),
        ([0, 1, 2, 3], 9)
    );
    let requests: Vec<MaintenanceRequest> = parts("request").map(read).collect();
    assert_eq!(requests[0].run_state, RunState::Aborted);
    assert_eq!(requests[0].machines.len(), 2);
    assert_eq!(parts("").count(), 0, "no line is without a kind");
    assert_eq!(PARTS.lines().count(), 20);
}

/// Invalid state is rejected with the recorded message and position.
#[test_case("quorum-member", 0; "a quorum member's state")]
#[test_case("cordon", 1; "a cordon")]
#[test_case("lease", 2; "a lease with an unknown phase")]
#[test_case("request", 3; "a request without its limits")]
fn truncated_or_invalid_state_is_rejected_with_the_same_message(kind: &str, line: usize) {
    let error = match kind {
        "quorum-member" => {
            serde_json::from_str::<LeaseTable>(&LEASE_TABLE[..LEASE_TABLE.len() / 2])
                .expect_err("the text is truncated")
                .to_string()
        }
        "cordon" => {
            let text = CORDON.lines().last().expect("the file has two lines");
            serde_json::from_str::<Cordon>(&text[..text.len() / 2])
                .expect_err("the text is truncated")
                .to_string()
        }
        "lease" => {
            let text = parts("lease").next().expect("a lease is recorded");
            serde_json::from_str::<MaintenanceLease>(&text.replace("closed", "cordoned"))
                .expect_err("the phase is unknown")
                .to_string()
        }
        _ => {
            let text = parts("request").next().expect("a request is recorded");
            serde_json::from_str::<MaintenanceRequest>(&text.replace("\"limits\"", "\"limit\""))
                .expect_err("the limits are missing")
                .to_string()
        }
    };
    assert_eq!(Some(error.as_str()), EXPECTED_ERRORS.lines().nth(line));
}

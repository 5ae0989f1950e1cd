//! What a machine keeps on its disk is read as it was first written: the state of a quorum member,
//! the machine's own cordon, and each type in them. The files under `tests/data` were written by
//! the first release that stored them; they never change.

use corkspan_maintenance::cordon::Cordon;
use corkspan_maintenance::lease_table::{LeaseOutcome, LeaseTable};
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, LeasePhase, Machine, MachineDomains,
    MaintenanceLease, MaintenanceRequest, RunState,
};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;
use test_case::test_case;

const BOARD: &str = include_str!("data/quorum-member.json");
const EMPTY_BOARD: &str = include_str!("data/quorum-member-empty.json");
const DOOR: &str = include_str!("data/cordon.json");
const PARTS: &str = include_str!("data/parts.txt");
const REFUSALS: &str = include_str!("data/refusals.txt");

/// Reads the text and writes the same bytes back.
fn read<T: Serialize + DeserializeOwned + PartialEq + Debug>(text: &str) -> T {
    let value: T = serde_json::from_str(text).expect("it was written so");
    let written = serde_json::to_string(&value).expect("it can be written");
    assert_eq!(written, text, "written back otherwise");
    let again: T = serde_json::from_str(&written).expect("it was written just now");
    assert_eq!(again, value);
    value
}

#[test]
fn a_quorum_members_state_is_read_to_the_same_content() {
    let board: LeaseTable = read(BOARD.trim_end());
    let wish = board.request().expect("one stands");
    assert_eq!((wish.revision, wish.proposer, wish.job), (7, 11, 5));
    assert_eq!((wish.warm_up_ms, wish.drain_timeout_ms), (60_000, 900_000));
    assert_eq!(
        (wish.on_drain_timeout, wish.run_state),
        (DrainTimeoutAction::Skip, RunState::Paused)
    );
    let limits = DisruptionLimits {
        total: 20,
        zone: 19,
        cell: 18,
        machine_type: 17,
    };
    assert_eq!(wish.limits, limits);
    assert_eq!(wish.machines.len(), 12);
    let at = MachineDomains {
        zone: 1,
        cell: 103,
        machine_type: 0,
    };
    assert_eq!(wish.machines[&Machine(3)], at);

    let phases: Vec<(u32, u64, LeasePhase)> = board
        .leases()
        .iter()
        .map(|(machine, outing)| (machine.0, outing.claim.0, outing.phase))
        .collect();
    let expected = [
        (0, 100, LeasePhase::Requested),
        (1, 101, LeasePhase::Granted),
        (2, 102, LeasePhase::Cordoned),
        (3, 103, LeasePhase::Cordoned),
        (4, 104, LeasePhase::Completed),
    ];
    assert_eq!(phases, expected);
    let outing = MaintenanceLease {
        claim: ClaimId(103),
        job: 5,
        domains: at,
        slots: [3, 3, 3, 3],
        phase: LeasePhase::Cordoned,
    };
    assert_eq!(board.leases()[&Machine(3)], outing);

    let ended: Vec<(Machine, LeaseOutcome)> = board.outcomes().collect();
    assert_eq!(
        ended,
        [
            (Machine(7), LeaseOutcome::Completed),
            (Machine(8), LeaseOutcome::Skipped)
        ]
    );
    let withdrawn: Vec<ClaimId> = board.withdrawn().collect();
    assert_eq!(withdrawn, [ClaimId(109), ClaimId(u64::MAX)]);
    let votes: Vec<(ClaimId, LeasePhase)> = board.votes().collect();
    assert_eq!(
        votes,
        [
            (ClaimId(102), LeasePhase::Drained),
            (ClaimId(103), LeasePhase::Cancelled)
        ]
    );
    let costs: Vec<(u32, f64)> = board
        .total_costs(4)
        .into_iter()
        .map(|(machine, cost)| (machine.0, cost))
        .collect();
    assert_eq!(costs, [(0, 3.5), (1, 1e6 + 0.25), (5, 10.0)]);
    assert_eq!(board.total_costs(1).len(), 2, "of one dispatcher alone");
}

#[test]
fn an_empty_quorum_member_is_read_as_the_default() {
    assert_eq!(
        read::<LeaseTable>(EMPTY_BOARD.trim_end()),
        LeaseTable::default()
    );
}

#[test]
fn a_cordon_is_read_to_the_same_content() {
    let lines: Vec<&str> = DOOR.lines().collect();
    assert_eq!(read::<Cordon>(lines[0]), Cordon::default());
    let door: Cordon = read(lines[1]);
    assert_eq!(door.active(), Some(ClaimId(70)));
    let over: Vec<u64> = (0..80)
        .filter(|own| door.is_finished(ClaimId(*own)))
        .collect();
    assert_eq!(over, (6..70).collect::<Vec<u64>>());
}

/// The lines of one kind in the file of parts.
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
    assert!(phases.is_sorted(), "in the order in which they follow");
    let courses = [RunState::Running, RunState::Paused, RunState::Aborted];
    assert_eq!(
        parts("run-state").map(read::<RunState>).collect::<Vec<_>>(),
        courses
    );
    let thens = [
        DrainTimeoutAction::Wait,
        DrainTimeoutAction::Skip,
        DrainTimeoutAction::Stop,
    ];
    assert_eq!(
        parts("drain-timeout")
            .map(read::<DrainTimeoutAction>)
            .collect::<Vec<_>>(),
        thens
    );
    let ends = [LeaseOutcome::Completed, LeaseOutcome::Skipped];
    assert_eq!(
        parts("outcome")
            .map(read::<LeaseOutcome>)
            .collect::<Vec<_>>(),
        ends
    );
    let machines: Vec<Machine> = parts("machine").map(read).collect();
    assert_eq!(machines, [Machine(0), Machine(u32::MAX)]);
    let limits: Vec<DisruptionLimits> = parts("limits").map(read).collect();
    assert_eq!(limits[0].each(), [1, 2, 3, 4]);
    let places: Vec<MachineDomains> = parts("domains").map(read).collect();
    assert_eq!(
        (places[0].zone, places[0].cell, places[0].machine_type),
        (5, u64::MAX, 7)
    );
    let outings: Vec<MaintenanceLease> = parts("lease").map(read).collect();
    assert_eq!((outings[0].slots, outings[0].job), ([0, 1, 2, 3], 9));
    let wishes: Vec<MaintenanceRequest> = parts("request").map(read).collect();
    assert_eq!(wishes[0].run_state, RunState::Aborted);
    assert_eq!(wishes[0].machines.len(), 2);
    assert_eq!(parts("").count(), 0, "no line is left out");
    assert_eq!(PARTS.lines().count(), 20);
}

/// Refused with the same words and at the same place as before.
#[test_case("quorum-member", 0; "a quorum member's state")]
#[test_case("cordon", 1; "a cordon")]
#[test_case("lease", 2; "a lease with an unknown phase")]
#[test_case("request", 3; "a request without its limits")]
fn what_is_half_written_is_refused_with_the_same_message(kind: &str, line: usize) {
    let refused = match kind {
        "quorum-member" => serde_json::from_str::<LeaseTable>(&BOARD[..BOARD.len() / 2])
            .expect_err("half of it")
            .to_string(),
        "cordon" => {
            let text = DOOR.lines().last().expect("two lines");
            serde_json::from_str::<Cordon>(&text[..text.len() / 2])
                .expect_err("half of it")
                .to_string()
        }
        "lease" => {
            let text = parts("lease").next().expect("one");
            serde_json::from_str::<MaintenanceLease>(&text.replace("closed", "cordoned"))
                .expect_err("no such phase")
                .to_string()
        }
        _ => {
            let text = parts("request").next().expect("one");
            serde_json::from_str::<MaintenanceRequest>(&text.replace("\"limits\"", "\"limit\""))
                .expect_err("no limits")
                .to_string()
        }
    };
    assert_eq!(Some(refused.as_str()), REFUSALS.lines().nth(line));
}

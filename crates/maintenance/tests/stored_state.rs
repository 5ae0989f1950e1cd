//! What a machine keeps on its disk is read as it was first written: the state of a quorum member,
//! the machine's own cordon, and each type in them. The files under `tests/data` were written by
//! the first release that stored them; they never change.

use corkspan_maintenance::board::{Board, End};
use corkspan_maintenance::door::Door;
use corkspan_maintenance::{At, ClaimId, Course, Limits, Machine, Outing, Phase, Then, Wish};
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
    let board: Board = read(BOARD.trim_end());
    let wish = board.wish().expect("one stands");
    assert_eq!((wish.number, wish.asker, wish.job), (7, 11, 5));
    assert_eq!((wish.warm_ms, wish.empty_within_ms), (60_000, 900_000));
    assert_eq!((wish.then, wish.course), (Then::Skip, Course::Paused));
    let limits = Limits {
        all: 20,
        hall: 19,
        cell: 18,
        kind: 17,
    };
    assert_eq!(wish.limits, limits);
    assert_eq!(wish.machines.len(), 12);
    let at = At {
        hall: 1,
        cell: 103,
        kind: 0,
    };
    assert_eq!(wish.machines[&Machine(3)], at);

    let phases: Vec<(u32, u64, Phase)> = board
        .outings()
        .iter()
        .map(|(machine, outing)| (machine.0, outing.claim.0, outing.phase))
        .collect();
    let expected = [
        (0, 100, Phase::Asked),
        (1, 101, Phase::Held),
        (2, 102, Phase::Closed),
        (3, 103, Phase::Closed),
        (4, 104, Phase::Done),
    ];
    assert_eq!(phases, expected);
    let outing = Outing {
        claim: ClaimId(103),
        job: 5,
        at,
        slots: [3, 3, 3, 3],
        phase: Phase::Closed,
    };
    assert_eq!(board.outings()[&Machine(3)], outing);

    let ended: Vec<(Machine, End)> = board.ended().collect();
    assert_eq!(
        ended,
        [(Machine(7), End::Worked), (Machine(8), End::Skipped)]
    );
    let withdrawn: Vec<ClaimId> = board.withdrawn().collect();
    assert_eq!(withdrawn, [ClaimId(109), ClaimId(u64::MAX)]);
    let votes: Vec<(ClaimId, Phase)> = board.votes().collect();
    assert_eq!(
        votes,
        [
            (ClaimId(102), Phase::Handed),
            (ClaimId(103), Phase::Returned)
        ]
    );
    let costs: Vec<(u32, f64)> = board
        .bids(4)
        .into_iter()
        .map(|(machine, cost)| (machine.0, cost))
        .collect();
    assert_eq!(costs, [(0, 3.5), (1, 1e6 + 0.25), (5, 10.0)]);
    assert_eq!(board.bids(1).len(), 2, "of one dispatcher alone");
}

#[test]
fn an_empty_quorum_member_is_read_as_the_default() {
    assert_eq!(read::<Board>(EMPTY_BOARD.trim_end()), Board::default());
}

#[test]
fn a_cordon_is_read_to_the_same_content() {
    let lines: Vec<&str> = DOOR.lines().collect();
    assert_eq!(read::<Door>(lines[0]), Door::default());
    let door: Door = read(lines[1]);
    assert_eq!(door.closed(), Some(ClaimId(70)));
    let over: Vec<u64> = (0..80).filter(|own| door.is_over(ClaimId(*own))).collect();
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
        Phase::Asked,
        Phase::Held,
        Phase::Closed,
        Phase::Handed,
        Phase::Done,
        Phase::Returned,
    ];
    assert_eq!(
        parts("phase").map(read::<Phase>).collect::<Vec<_>>(),
        phases
    );
    assert!(phases.is_sorted(), "in the order in which they follow");
    let courses = [Course::Going, Course::Paused, Course::Aborted];
    assert_eq!(
        parts("run-state").map(read::<Course>).collect::<Vec<_>>(),
        courses
    );
    let thens = [Then::Wait, Then::Skip, Then::Stop];
    assert_eq!(
        parts("drain-timeout").map(read::<Then>).collect::<Vec<_>>(),
        thens
    );
    let ends = [End::Worked, End::Skipped];
    assert_eq!(parts("outcome").map(read::<End>).collect::<Vec<_>>(), ends);
    let machines: Vec<Machine> = parts("machine").map(read).collect();
    assert_eq!(machines, [Machine(0), Machine(u32::MAX)]);
    let limits: Vec<Limits> = parts("limits").map(read).collect();
    assert_eq!(limits[0].each(), [1, 2, 3, 4]);
    let places: Vec<At> = parts("domains").map(read).collect();
    assert_eq!(
        (places[0].hall, places[0].cell, places[0].kind),
        (5, u64::MAX, 7)
    );
    let outings: Vec<Outing> = parts("lease").map(read).collect();
    assert_eq!((outings[0].slots, outings[0].job), ([0, 1, 2, 3], 9));
    let wishes: Vec<Wish> = parts("request").map(read).collect();
    assert_eq!(wishes[0].course, Course::Aborted);
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
        "quorum-member" => serde_json::from_str::<Board>(&BOARD[..BOARD.len() / 2])
            .expect_err("half of it")
            .to_string(),
        "cordon" => {
            let text = DOOR.lines().last().expect("two lines");
            serde_json::from_str::<Door>(&text[..text.len() / 2])
                .expect_err("half of it")
                .to_string()
        }
        "lease" => {
            let text = parts("lease").next().expect("one");
            serde_json::from_str::<Outing>(&text.replace("closed", "cordoned"))
                .expect_err("no such phase")
                .to_string()
        }
        _ => {
            let text = parts("request").next().expect("one");
            serde_json::from_str::<Wish>(&text.replace("\"limits\"", "\"limit\""))
                .expect_err("no limits")
                .to_string()
        }
    };
    assert_eq!(Some(refused.as_str()), REFUSALS.lines().nth(line));
}

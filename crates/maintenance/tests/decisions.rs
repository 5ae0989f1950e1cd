//! The decisions themselves, held byte for byte: seeded states of three quorum members and eight
//! machines, and what follows from them for one that has heard some of the members. The text names
//! stored words and numbers only, so that it outlives any renaming in the code.

use corkspan_maintenance::cost::{drain_order, estimate_cost};
use corkspan_maintenance::lease_table::{ClaimOutcome, LeaseOutcome, LeaseTable};
use corkspan_maintenance::reconcile::{
    MachineStatus, MemberReply, QuorumView, ReconcileContext, reconcile,
};
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, LeasePhase, Machine, MachineDomains,
    MaintenanceRequest, RunState,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

const EXPECTED: &str = include_str!("data/decisions.txt");
const MEMBERS: usize = 3;
const MACHINES: u32 = 8;
const CASES: u64 = 200;

fn stored<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value)
        .expect("a stored type")
        .replace('"', "")
}

fn wish(number: u64, rng: &mut Pcg64Mcg) -> MaintenanceRequest {
    let at = |own: u32| MachineDomains {
        zone: own % 2,
        cell: u64::from(own / 2),
        machine_type: own % 3,
    };
    // Not all machines are in each request.
    let left_out = rng.random_range(0..MACHINES * 2);
    MaintenanceRequest {
        revision: number,
        proposer: 1,
        job: 1 + number / 4,
        machines: (0..MACHINES)
            .filter(|own| *own != left_out)
            .map(|own| (Machine(own), at(own)))
            .collect(),
        limits: DisruptionLimits {
            total: rng.random_range(3..8),
            zone: rng.random_range(2..5),
            cell: rng.random_range(1..3),
            machine_type: rng.random_range(2..5),
        },
        warm_up_ms: 1_000,
        drain_timeout_ms: 2_000,
        on_drain_timeout: [
            DrainTimeoutAction::Wait,
            DrainTimeoutAction::Skip,
            DrainTimeoutAction::Stop,
            DrainTimeoutAction::Stop,
        ][rng.random_range(0..4)],
        run_state: [
            RunState::Running,
            RunState::Running,
            RunState::Running,
            RunState::Paused,
            RunState::Aborted,
        ][rng.random_range(0..5)],
    }
}

/// One step that reaches some of the members, mostly all.
fn reached(rng: &mut Pcg64Mcg) -> Vec<usize> {
    (0..MEMBERS)
        .filter(|_| rng.random_range(0..12) > 0)
        .collect()
}

fn boards(rng: &mut Pcg64Mcg) -> Vec<LeaseTable> {
    let mut boards = vec![LeaseTable::default(); MEMBERS];
    // With how far each has been told to have come.
    let mut claims: Vec<(Machine, ClaimId, usize)> = Vec::new();
    let first = MaintenanceRequest {
        run_state: RunState::Running,
        ..wish(1, rng)
    };
    for board in &mut boards {
        board.propose(first.clone());
    }
    let mut number = 1;
    for _ in 0..rng.random_range(10..60) {
        let reached = reached(rng);
        let known = (!claims.is_empty()).then(|| rng.random_range(0..claims.len()));
        let own = known.map(|known| (known, claims[known].0, claims[known].1));
        match (rng.random_range(0..24), own) {
            (0..=6, _) | (_, None) => {
                let machine = Machine(rng.random_range(0..MACHINES));
                let claim = ClaimId(claims.len() as u64 + 1);
                let slots = [5, 3, 2, 3].map(|many: u32| rng.random_range(0..many));
                let mut granted = false;
                for member in reached {
                    let answer = boards[member].claim(number, machine, claim, slots);
                    granted |= answer == ClaimOutcome::Granted;
                }
                if granted {
                    claims.push((machine, claim, 0));
                }
            }
            (7..=18, Some((known, machine, claim))) => {
                let last = [
                    LeasePhase::Drained,
                    LeasePhase::Drained,
                    LeasePhase::Cancelled,
                ][claim.0 as usize % 3];
                let phases = [
                    LeasePhase::Granted,
                    LeasePhase::Cordoned,
                    last,
                    LeasePhase::Completed,
                ];
                let phase = phases[claims[known].2];
                // Some come no further than held, others no further than closed, and so on.
                let furthest = [0, 1, 1, 2, 2, 3][(claim.0 + u64::from(machine.0)) as usize % 6];
                claims[known].2 = (claims[known].2 + 1).min(furthest);
                for member in reached {
                    boards[member].advance(machine, claim, phase);
                }
            }
            (19, Some((_, machine, claim))) => {
                for member in reached {
                    boards[member].withdraw(machine, claim);
                }
            }
            (20, Some((_, machine, claim))) => {
                let job = rng.random_range(1..3);
                let ended = [
                    None,
                    Some((job, LeaseOutcome::Completed)),
                    Some((job, LeaseOutcome::Skipped)),
                ][rng.random_range(0..3)];
                for member in reached {
                    boards[member].release(machine, claim, ended);
                }
            }
            (21 | 22, _) => {
                let dispatcher = rng.random_range(0..4);
                let costs: Vec<(Machine, f64)> = (0..MACHINES)
                    .map(|own| {
                        let cost = estimate_cost(rng.random_range(0..4), rng.random_range(0..2));
                        (Machine(own), cost)
                    })
                    .collect();
                for member in reached {
                    boards[member].record_cost_estimates(dispatcher, costs.clone());
                }
            }
            _ => {
                number += 1;
                let next = wish(number, rng);
                for member in reached {
                    boards[member].propose(next.clone());
                }
            }
        }
    }
    boards
}

fn word(board: &LeaseTable) -> MemberReply {
    MemberReply {
        request: board.request().cloned(),
        leases: board.leases().clone(),
        outcomes: board.outcomes().collect(),
        withdrawn: board.withdrawn().collect(),
        votes: board.votes().collect(),
        costs: board.total_costs(3),
    }
}

fn says(boards: &[LeaseTable], rng: &mut Pcg64Mcg) -> BTreeMap<Machine, MachineStatus> {
    let mut says = BTreeMap::new();
    for machine in (0..MACHINES).map(Machine) {
        let claims: BTreeSet<ClaimId> = boards
            .iter()
            .filter_map(|board| Some(board.leases().get(&machine)?.claim))
            .collect();
        let closed = claims
            .first()
            .copied()
            .filter(|_| rng.random_range(0..5) > 0);
        let over = claims.into_iter().filter(|_| rng.random_range(0..6) == 0);
        let answer = MachineStatus {
            cordoned_by: closed,
            finished: over.collect(),
            running: rng.random_range(0..2),
            unchanged_ms: rng.random_range(0..4_000),
        };
        if rng.random_range(0..6) > 0 {
            says.insert(machine, answer);
        }
    }
    says
}

fn seen(out: &mut String, view: &QuorumView, says: &BTreeMap<Machine, MachineStatus>) {
    let request = view.request.as_ref().map(|wish| wish.revision);
    writeln!(
        out,
        " request {request:?} highest {}",
        view.highest_revision
    )
    .expect("a string");
    for (machine, known) in &view.leases {
        let (lease, phase) = (stored(&known.lease), stored(&known.phase));
        let (withdrawn, ended) = (known.withdrawals, stored(&known.outcome));
        let number = machine.0;
        writeln!(
            out,
            " seen {number} {lease} at {phase} withdrawn {withdrawn} ended {ended}"
        )
        .expect("a string");
    }
    writeln!(out, " ended {}", stored(&view.outcomes)).expect("a string");
    for (machine, claim, phase) in view.unavailable() {
        writeln!(out, " out {} {} {}", machine.0, claim.0, stored(&phase)).expect("a string");
    }
    for (machine, claim) in view.drained(says) {
        writeln!(out, " in-work {} {}", machine.0, claim.0).expect("a string");
    }
    let machines: BTreeMap<Machine, MachineDomains> = view
        .request
        .iter()
        .flat_map(|wish| wish.machines.clone())
        .collect();
    if let Some(wish) = &view.request {
        let begins = view.check_start(&machines, &wish.limits, &[0, 2, 9].map(Machine));
        let begins = begins.map_or_else(|why| why.to_string(), |()| "yes".to_owned());
        writeln!(out, " may-begin {begins}").expect("a string");
    }
}

fn decided(
    out: &mut String,
    view: &QuorumView,
    says: &BTreeMap<Machine, MachineStatus>,
    own: &ReconcileContext,
) {
    let next = reconcile(view, says, own);
    let pairs = |out: &mut String, what: &str, pairs: &[(Machine, ClaimId)]| {
        for (machine, claim) in pairs {
            writeln!(out, " do {what} {} {}", machine.0, claim.0).expect("a string");
        }
    };
    if let Some((number, machine, claim, slots)) = next.claim {
        let (machine, claim) = (machine.0, claim.0);
        writeln!(
            out,
            " do claim {number} {machine} {claim} {}",
            stored(&slots)
        )
        .expect("a string");
    }
    pairs(out, "withdraw", &next.withdraw);
    for (machine, claim, phase) in &next.advance {
        writeln!(
            out,
            " do advance {} {} {}",
            machine.0,
            claim.0,
            stored(phase)
        )
        .expect("a string");
    }
    for release in &next.release {
        let (machine, claim) = (release.machine.0, release.claim.0);
        writeln!(
            out,
            " do release {machine} {claim} {}",
            stored(&release.outcome)
        )
        .expect("a string");
    }
    pairs(out, "close", &next.cordon);
    pairs(out, "open", &next.uncordon);
    pairs(out, "stop", &next.stop);
}

fn transcript() -> String {
    let mut out = String::new();
    for seed in 0..CASES {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let boards = boards(&mut rng);
        let heard = [&[0, 1, 2][..], &[0, 1], &[1, 2], &[0, 2], &[1]][rng.random_range(0..9) / 2];
        writeln!(out, "case {seed} heard {heard:?}").expect("a string");
        let words: Vec<MemberReply> = heard.iter().map(|&member| word(&boards[member])).collect();
        let Some(view) = QuorumView::from_replies(&words, MEMBERS) else {
            out.push_str(" no majority\n");
            continue;
        };
        let says = says(&boards, &mut rng);
        seen(&mut out, &view, &says);
        let mut asked = view.machines_to_poll(2, |of| rng.random_range(0..of));
        asked.retain(|_, claim| claim.is_none());
        let asked: Vec<u32> = asked.keys().map(|machine| machine.0).collect();
        let costs: Vec<BTreeMap<Machine, f64>> =
            words.iter().map(|word| word.costs.clone()).collect();
        let order = drain_order((0..MACHINES).map(Machine), &costs);
        let order: Vec<u32> = order.into_iter().map(|machine| machine.0).collect();
        writeln!(out, " candidates {asked:?} order {order:?}").expect("a string");
        let known = view.leases.iter().map(|(_, known)| known.lease.claim);
        let old: BTreeSet<ClaimId> = known.filter(|_| rng.random_range(0..4) == 0).collect();
        let mut lost = BTreeMap::new();
        if rng.random_range(0..4) == 0 {
            let at = MachineDomains {
                zone: 1,
                cell: 2,
                machine_type: 1,
            };
            lost.insert(Machine(rng.random_range(0..12)), at);
        }
        let own = ReconcileContext {
            members: MEMBERS,
            next_claim: ClaimId(1_000 + seed),
            may_claim: rng.random_range(0..5) > 0,
            expired: &old,
            unreachable: &lost,
            hold_claims: rng.random_range(0..6) == 0,
        };
        decided(&mut out, &view, &says, &own);
    }
    out
}

#[test]
fn decisions_are_the_same_byte_for_byte() {
    let decided = transcript();
    let differs = decided
        .lines()
        .zip(EXPECTED.lines())
        .position(|(own, expected)| own != expected);
    assert_eq!(differs, None, "the first line that differs, from 0");
    assert_eq!(decided, EXPECTED);
}

#[test]
fn the_transcript_holds_every_kind_of_decision() {
    for kind in [
        "no majority",
        "do claim",
        "do withdraw",
        "do advance",
        "do release",
        "do close",
        "do open",
        "do stop",
        "in-work",
        "may-begin yes",
        "[1,worked]",
        "[1,skipped]",
        " held\n",
        " closed\n",
        " handed\n",
        " returned\n",
    ] {
        let many = EXPECTED.matches(kind).count();
        assert!(many >= 1, "{kind}: {many} times");
    }
}

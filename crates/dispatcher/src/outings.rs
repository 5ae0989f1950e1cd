//! Words on machines taken out for work, between messages and what decides.

use corkspan_api::v1::{self, work_step::Step};
use corkspan_maintenance::board::{Board, Claimed, End};
use corkspan_maintenance::look::{Look, Release, Word};
use corkspan_maintenance::{
    At, ClaimId, Course, Limits, Machine, Outing, Phase, Slots, Then, Wish,
};
use std::collections::BTreeMap;

fn phase(step: Step) -> Option<Phase> {
    Some(match step {
        Step::None => Phase::Asked,
        Step::Held => Phase::Held,
        Step::Closed => Phase::Closed,
        Step::Handed => Phase::Handed,
        Step::Done => Phase::Done,
        Step::Returned => Phase::Returned,
        Step::Withdrawn | Step::Released => return None,
    })
}

fn step(phase: Phase) -> Step {
    match phase {
        Phase::Asked => Step::None,
        Phase::Held => Step::Held,
        Phase::Closed => Step::Closed,
        Phase::Handed => Step::Handed,
        Phase::Done => Step::Done,
        Phase::Returned => Step::Returned,
    }
}

fn place(machine: Machine, at: At) -> v1::WorkMachine {
    v1::WorkMachine {
        node: machine.0,
        hall: at.hall,
        cell: at.cell,
        kind: at.kind,
    }
}

fn placed(own: &v1::WorkMachine) -> (Machine, At) {
    (
        Machine(own.node),
        At {
            hall: own.hall,
            cell: own.cell,
            kind: own.kind,
        },
    )
}

pub fn work(wish: &Wish) -> v1::Work {
    v1::Work {
        number: wish.number,
        asker: wish.asker,
        job: wish.job,
        machines: wish
            .machines
            .iter()
            .map(|(machine, at)| place(*machine, *at))
            .collect(),
        limits: wish.limits.each().to_vec(),
        warm_ms: wish.warm_ms,
        empty_within_ms: wish.empty_within_ms,
        then: match wish.then {
            Then::Wait => v1::work::Then::Wait,
            Then::Skip => v1::work::Then::Skip,
            Then::Stop => v1::work::Then::Stop,
        }
        .into(),
        course: match wish.course {
            Course::Going => v1::work::Course::Going,
            Course::Paused => v1::work::Course::Paused,
            Course::Aborted => v1::work::Course::Aborted,
        }
        .into(),
    }
}

/// None where its limits are not four.
pub fn wish(work: &v1::Work) -> Option<Wish> {
    let [all, hall, cell, kind] = work.limits[..] else {
        return None;
    };
    Some(Wish {
        number: work.number,
        asker: work.asker,
        job: work.job,
        machines: work.machines.iter().map(placed).collect(),
        limits: Limits {
            all,
            hall,
            cell,
            kind,
        },
        warm_ms: work.warm_ms,
        empty_within_ms: work.empty_within_ms,
        then: then(work.then()),
        course: match work.course() {
            v1::work::Course::Going => Course::Going,
            v1::work::Course::Paused => Course::Paused,
            v1::work::Course::Aborted => Course::Aborted,
        },
    })
}

pub fn then(then: v1::work::Then) -> Then {
    match then {
        v1::work::Then::Wait => Then::Wait,
        v1::work::Then::Skip => Then::Skip,
        v1::work::Then::Stop => Then::Stop,
    }
}

pub fn outing(machine: Machine, outing: &Outing, told: Phase) -> v1::Outing {
    v1::Outing {
        machine: Some(place(machine, outing.at)),
        claim: outing.claim.0,
        job: outing.job,
        slots: outing.slots.to_vec(),
        phase: step(told).into(),
    }
}

/// All that a keeper keeps, for a fleet of so many.
pub fn board(board: &Board, fleet: u32) -> v1::Board {
    let ended = |which| {
        board
            .ended()
            .filter(move |(_, end)| *end == which)
            .map(|(machine, _)| machine.0)
    };
    let votes = |which| {
        board
            .votes()
            .filter(move |(_, vote)| *vote == which)
            .map(|(claim, _)| claim.0)
    };
    let costs = board
        .bids(fleet)
        .into_iter()
        .map(|(machine, cost)| (machine.0, cost));
    v1::Board {
        work: board.wish().map(work),
        outings: board
            .outings()
            .iter()
            .map(|(own, out)| outing(*own, out, out.phase))
            .collect(),
        worked: ended(End::Worked).collect(),
        skipped: ended(End::Skipped).collect(),
        withdrawn: board.withdrawn().map(|claim| claim.0).collect(),
        handed: votes(Phase::Handed).collect(),
        returned: votes(Phase::Returned).collect(),
        costs: costs.collect(),
    }
}

/// What a keeper told. What can't be read of it is left out.
pub fn word(told: &v1::Board) -> Word {
    let outing = |own: &v1::Outing| {
        let (machine, at) = placed(own.machine.as_ref()?);
        let slots = Slots::try_from(own.slots.clone()).ok()?;
        let phase = phase(own.phase())?;
        Some((
            machine,
            Outing {
                claim: ClaimId(own.claim),
                job: own.job,
                at,
                slots,
                phase,
            },
        ))
    };
    let votes = |claims: &[u64], vote| {
        claims
            .iter()
            .map(move |claim| (ClaimId(*claim), vote))
            .collect::<Vec<_>>()
    };
    let ended = |nodes: &[u32], end| {
        nodes
            .iter()
            .map(move |node| (Machine(*node), end))
            .collect::<Vec<_>>()
    };
    let cost = |(node, cost): (&u32, &f64)| cost.is_finite().then_some((Machine(*node), *cost));
    Word {
        wish: told.work.as_ref().and_then(wish),
        outings: told.outings.iter().filter_map(outing).collect(),
        ended: ended(&told.worked, End::Worked)
            .into_iter()
            .chain(ended(&told.skipped, End::Skipped))
            .collect(),
        withdrawn: told.withdrawn.iter().map(|claim| ClaimId(*claim)).collect(),
        votes: votes(&told.handed, Phase::Handed)
            .into_iter()
            .chain(votes(&told.returned, Phase::Returned))
            .collect(),
        bids: told
            .costs
            .iter()
            .filter_map(cost)
            .collect::<BTreeMap<_, _>>(),
    }
}

/// The steps that keepers are to be told.
pub fn steps(look: &Look) -> Vec<v1::WorkStep> {
    let plain = |machine: Machine, claim: ClaimId, step: Step| v1::WorkStep {
        node: machine.0,
        claim: claim.0,
        step: step.into(),
        ..v1::WorkStep::default()
    };
    let withdrawn = look
        .withdraw
        .iter()
        .map(|(machine, claim)| plain(*machine, *claim, Step::Withdrawn));
    let advance = look
        .advance
        .iter()
        .map(|(machine, claim, phase)| plain(*machine, *claim, step(*phase)));
    let released = look.release.iter().map(
        |Release {
             machine,
             claim,
             ended,
         }| v1::WorkStep {
            job: ended.map_or(0, |(job, _)| job),
            worked: ended.is_some_and(|(_, end)| end == End::Worked),
            skipped: ended.is_some_and(|(_, end)| end == End::Skipped),
            ..plain(*machine, *claim, Step::Released)
        },
    );
    withdrawn.chain(advance).chain(released).collect()
}

/// A step arrives at a keeper.
pub fn arrives(board: &mut Board, told: &v1::WorkStep) {
    let (machine, claim) = (Machine(told.node), ClaimId(told.claim));
    let end = match (told.worked, told.skipped) {
        (true, _) => Some(End::Worked),
        (false, true) => Some(End::Skipped),
        (false, false) => None,
    };
    match (told.step(), phase(told.step())) {
        (Step::Withdrawn, _) => board.withdraw(machine, claim),
        (Step::Released, _) => board.release(machine, claim, end.map(|end| (told.job, end))),
        (_, Some(phase)) => board.advance(machine, claim, phase),
        (_, None) => {}
    }
}

/// A claim arrives at a keeper; whether it is granted.
pub fn claimed(board: &mut Board, told: &v1::WorkClaim) -> bool {
    let Ok(slots) = Slots::try_from(told.slots.clone()) else {
        return false;
    };
    // No claim: a door tells by 0 that it is open.
    if told.claim == 0 {
        return false;
    }
    let claim = board.claim(told.number, Machine(told.node), ClaimId(told.claim), slots);
    claim == Claimed::Granted
}

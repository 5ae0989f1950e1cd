//! That never more machines are out than may be, that none is worked on while something runs there,
//! and that none is forgotten out: every state of two machines and three keepers to some depth, and
//! long drawn walks beyond, with word late, lost and doubled, whoever looks having seen any
//! majority. And that the search finds a protocol that is not so.

use corkspan_maintenance::cordon::Cordon;
use corkspan_maintenance::lease_table::{ClaimOutcome, LeaseOutcome, LeaseTable};
use corkspan_maintenance::reconcile::{
    Actions, MachineStatus, MemberReply, QuorumView, ReconcileContext, Release, reconcile,
};
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, LeasePhase, Machine, MachineDomains,
    MaintenanceRequest, RunState, Slots,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use test_case::test_case;

const KEEPERS: usize = 3;
const MACHINES: u32 = 2;
const PARTS: [usize; 4] = [0b011, 0b101, 0b110, 0b111];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// Slots go back as the worker is done, before the machine is open and warm.
    ReleasedEarly,
    /// One keeper's word of a phase is enough.
    OneKeeper,
    /// A machine forgets which outings are over.
    ForgetfulDoor,
    /// A claim that a majority has granted, and has not heard to be held, closes the machine.
    ClosesWhenAsked,
    /// What is withdrawn is taken away however far it has come.
    WithdrawsAll,
    /// Handed over as soon as it takes nothing new.
    HandedWhileRunning,
    /// One that has seen the wish ended opens what it has seen closed, without a vote of the
    /// keepers.
    OpensUnasked,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Claim(u64, Machine, ClaimId, Slots),
    Advance(Machine, ClaimId, LeasePhase),
    Withdraw(Machine, ClaimId),
    Release(Machine, ClaimId, Option<u64>),
    Abort,
}

#[derive(Clone, Debug)]
struct World {
    boards: Vec<LeaseTable>,
    doors: Vec<Cordon>,
    runs: Vec<u32>,
    /// Sent ever to a keeper: each may arrive at any time, or again.
    sent: BTreeSet<Message>,
    /// Word to close and open that machines may yet hear.
    closes: BTreeSet<(Machine, ClaimId)>,
    opens: BTreeSet<(Machine, ClaimId)>,
    claims: u64,
    arrivals: u32,
    /// Told to the worker by any majority, and by him to be done.
    given: BTreeSet<(Machine, ClaimId)>,
    done: BTreeSet<(Machine, ClaimId)>,
    breach: Option<&'static str>,
}

fn wish(number: u64, course: RunState) -> MaintenanceRequest {
    let at = MachineDomains {
        zone: 0,
        cell: 0,
        machine_type: 0,
    };
    MaintenanceRequest {
        revision: number,
        proposer: 1,
        job: 1,
        machines: (0..MACHINES).map(|own| (Machine(own), at)).collect(),
        limits: DisruptionLimits {
            total: 1,
            zone: 9,
            cell: 9,
            machine_type: 9,
        },
        warm_up_ms: 0,
        drain_timeout_ms: u64::MAX,
        on_drain_timeout: DrainTimeoutAction::Wait,
        run_state: course,
    }
}

fn start() -> World {
    let mut board = LeaseTable::default();
    board.propose(wish(1, RunState::Running));
    World {
        boards: vec![board; KEEPERS],
        doors: vec![Cordon::default(); MACHINES as usize],
        runs: vec![1, 0],
        sent: BTreeSet::new(),
        closes: BTreeSet::new(),
        opens: BTreeSet::new(),
        claims: 0,
        arrivals: 0,
        given: BTreeSet::new(),
        done: BTreeSet::new(),
        breach: None,
    }
}

fn words(world: &World, part: usize) -> Vec<MemberReply> {
    let answer = world
        .boards
        .iter()
        .enumerate()
        .filter(|(keeper, _)| part >> keeper & 1 == 1);
    answer
        .map(|(_, board)| MemberReply {
            request: board.request().cloned(),
            leases: board.leases().clone(),
            outcomes: board.outcomes().collect(),
            withdrawn: board.withdrawn().collect(),
            votes: board.votes().collect(),
            costs: BTreeMap::new(),
        })
        .collect()
}

fn says(world: &World, mistake: Mistake) -> BTreeMap<Machine, MachineStatus> {
    let of = |own: u32| {
        let (door, runs) = (&world.doors[own as usize], world.runs[own as usize]);
        // One that forgets is believed by whoever has told it to open.
        let told = |claim: &ClaimId| {
            let open =
                door.active() != Some(*claim) && world.opens.contains(&(Machine(own), *claim));
            mistake == Mistake::ForgetfulDoor && open
        };
        let over = (0..8)
            .map(ClaimId)
            .filter(|claim| door.is_finished(*claim) || told(claim))
            .collect();
        (
            Machine(own),
            MachineStatus {
                cordoned_by: door.active(),
                finished: over,
                running: runs,
                unchanged_ms: 0,
            },
        )
    };
    (0..MACHINES).map(of).collect()
}

/// What one who has heard this part of the keepers does.
fn looks(world: &mut World, part: usize, impatient: bool, mistake: Mistake) -> Actions {
    let words = words(world, part);
    let keepers = if mistake == Mistake::OneKeeper {
        1
    } else {
        KEEPERS
    };
    let Some(mut view) = QuorumView::from_replies(&words, keepers) else {
        return Actions::default();
    };
    if mistake == Mistake::OneKeeper {
        view.request = QuorumView::from_replies(&words, KEEPERS).and_then(|view| view.request);
    }
    if mistake == Mistake::ClosesWhenAsked {
        let asked = |known: &Option<LeasePhase>| *known == Some(LeasePhase::Requested);
        let all = view
            .leases
            .iter_mut()
            .filter(|(_, known)| asked(&known.phase));
        all.for_each(|(_, known)| known.phase = Some(LeasePhase::Granted));
    }
    let old: BTreeSet<ClaimId> = match impatient {
        true => view
            .leases
            .iter()
            .map(|(_, known)| known.lease.claim)
            .collect(),
        false => BTreeSet::new(),
    };
    let lost = BTreeMap::new();
    let claims = world.claims < 4;
    let own = ReconcileContext {
        members: keepers,
        next_claim: ClaimId(world.claims),
        may_claim: claims,
        expired: &old,
        unreachable: &lost,
        hold_claims: false,
    };
    let mut says = says(world, mistake);
    if mistake == Mistake::HandedWhileRunning {
        says.values_mut().for_each(|says| says.running = 0);
    }
    let mut all = reconcile(&view, &says, &own);
    if mistake == Mistake::ReleasedEarly {
        for (machine, known) in &view.leases {
            if known.phase == Some(LeasePhase::Completed) {
                let (machine, claim, ended) = (
                    *machine,
                    known.lease.claim,
                    Some((1, LeaseOutcome::Completed)),
                );
                all.release.push(Release {
                    machine,
                    claim,
                    outcome: ended,
                });
            }
        }
    }
    if mistake == Mistake::OpensUnasked {
        let returns = all
            .advance
            .iter()
            .filter(|(_, _, phase)| *phase == LeasePhase::Cancelled);
        let opens: Vec<(Machine, ClaimId)> = returns
            .map(|(machine, claim, _)| (*machine, *claim))
            .collect();
        all.uncordon.extend(opens);
    }
    world.claims += u64::from(all.claim.is_some());
    all
}

fn messages(all: &Actions) -> Vec<Message> {
    let mut messages = Vec::new();
    messages.extend(
        all.claim
            .map(|(number, machine, claim, slots)| Message::Claim(number, machine, claim, slots)),
    );
    let advance = all.advance.iter();
    messages
        .extend(advance.map(|&(machine, claim, phase)| Message::Advance(machine, claim, phase)));
    messages.extend(
        all.withdraw
            .iter()
            .map(|&(machine, claim)| Message::Withdraw(machine, claim)),
    );
    messages.extend(all.release.iter().map(
        |&Release {
             machine,
             claim,
             outcome,
         }| { Message::Release(machine, claim, outcome.map(|(job, _)| job)) },
    ));
    messages
}

fn arrives(board: &mut LeaseTable, message: &Message, mistake: Mistake) {
    match *message {
        Message::Claim(number, machine, claim, slots) => {
            let _: ClaimOutcome = board.claim(number, machine, claim, slots);
        }
        Message::Advance(machine, claim, phase) => board.advance(machine, claim, phase),
        Message::Withdraw(machine, claim) => {
            if mistake == Mistake::WithdrawsAll {
                board.release(machine, claim, None);
            }
            board.withdraw(machine, claim);
        }
        Message::Release(machine, claim, job) => {
            board.release(
                machine,
                claim,
                job.map(|job| (job, LeaseOutcome::Completed)),
            );
        }
        Message::Abort => drop(board.propose(wish(2, RunState::Aborted)).cloned()),
    }
}

/// Sends all of it, of which so much arrives at once: of keepers those in the part, at machines all
/// or nothing.
fn sends(world: &mut World, all: &Actions, part: usize, machines: bool, mistake: Mistake) {
    for message in messages(all) {
        for keeper in (0..KEEPERS).filter(|keeper| part >> keeper & 1 == 1) {
            arrives(&mut world.boards[keeper], &message, mistake);
        }
        world.sent.insert(message);
    }
    world.closes.extend(&all.cordon);
    world.opens.extend(&all.uncordon);
    if machines {
        for &(machine, claim) in &all.cordon {
            world.doors[machine.0 as usize].cordon(claim);
        }
        all.uncordon
            .iter()
            .for_each(|&(machine, claim)| opens(world, machine, claim, mistake));
    }
}

fn opens(world: &mut World, machine: Machine, claim: ClaimId, mistake: Mistake) {
    let door = &mut world.doors[machine.0 as usize];
    if mistake == Mistake::ForgetfulDoor {
        if door.active() == Some(claim) {
            *door = Cordon::default();
        }
    } else {
        door.uncordon(claim);
    }
}

/// Which machine is the worker's, by any majority's word.
fn handed(world: &World) -> BTreeSet<(Machine, ClaimId)> {
    let views = PARTS
        .iter()
        .filter_map(|part| QuorumView::from_replies(&words(world, *part), KEEPERS));
    views
        .flat_map(|view| view.drained(&says(world, Mistake::None)))
        .collect()
}

fn judge(world: &mut World) {
    if world
        .doors
        .iter()
        .filter(|door| door.active().is_some())
        .count()
        > 1
    {
        world.breach = Some("more machines are out than may be");
    }
    world.given.extend(handed(world));
    let given: Vec<_> = world.given.difference(&world.done).copied().collect();
    for (machine, claim) in given {
        let own = machine.0 as usize;
        if world.runs[own] > 0 || world.doors[own].active() != Some(claim) {
            world.breach = Some("a machine is worked on while something may run there");
        }
    }
}

/// One step, of those that may follow, by its index. False where there are not so many.
fn step(world: &mut World, which: usize, mistake: Mistake) -> bool {
    const LOOKS: usize = PARTS.len() * 8 * 2 * 2;
    let late = LOOKS + world.sent.len() * KEEPERS;
    let closes = late + world.closes.len();
    let opened = closes + world.opens.len();
    let ends = opened + MACHINES as usize;
    if which < LOOKS {
        let (part, reach) = (PARTS[which % 4], which / 4 % 8);
        let (impatient, machines) = (which / 32 % 2 == 1, which / 64 % 2 == 1);
        let all = looks(world, part, impatient, mistake);
        sends(world, &all, reach, machines, mistake);
    } else if which < late {
        let at = which - LOOKS;
        let message = world
            .sent
            .iter()
            .nth(at / KEEPERS)
            .expect("so many")
            .clone();
        arrives(&mut world.boards[at % KEEPERS], &message, mistake);
    } else if which < closes {
        let (machine, claim) = *world.closes.iter().nth(which - late).expect("so many");
        world.doors[machine.0 as usize].cordon(claim);
    } else if which < opened {
        let (machine, claim) = *world.opens.iter().nth(which - closes).expect("so many");
        opens(world, machine, claim, mistake);
    } else if which < ends {
        // One ends there; or one arrives, if the machine takes it.
        let at = which - opened;
        if world.runs[at] > 0 {
            world.runs[at] -= 1;
        } else if world.doors[at].active().is_none() && world.arrivals < 2 {
            (world.runs[at], world.arrivals) = (1, world.arrivals + 1);
        }
    } else if which == ends {
        for (machine, claim) in world.given.clone() {
            world.done.insert((machine, claim));
            let done = Actions {
                advance: vec![(machine, claim, LeasePhase::Completed)],
                ..Actions::default()
            };
            sends(world, &done, 0b011, false, mistake);
        }
    } else if which == ends + 1 {
        world.sent.insert(Message::Abort);
        arrives(&mut world.boards[0], &Message::Abort, mistake);
    } else {
        return false;
    }
    judge(world);
    true
}

/// All states that may follow within so many steps.
fn search(mistake: Mistake, depth: usize) -> (Option<&'static str>, usize) {
    let first = start();
    let (mut seen, mut open) = (HashSet::from([format!("{first:?}")]), vec![first]);
    for _ in 0..depth {
        let mut further = Vec::new();
        for world in &open {
            for which in 0.. {
                let mut next = world.clone();
                if !step(&mut next, which, mistake) {
                    break;
                }
                if next.breach.is_some() {
                    return (next.breach, seen.len());
                }
                if seen.insert(format!("{next:?}")) {
                    further.push(next);
                }
            }
        }
        open = further;
    }
    (None, seen.len())
}

fn walk(seed: u64, steps: usize, mistake: Mistake) -> World {
    let (mut world, mut rng) = (start(), Pcg64Mcg::seed_from_u64(seed));
    for _ in 0..steps {
        let most = 128 + world.sent.len() * KEEPERS + world.closes.len() + world.opens.len() + 4;
        // Looks that reach a majority more often than not, or a walk never gets anywhere.
        let which = match rng.random_range(0..5) {
            // Late word to machines to close or to open.
            4 => rng.random_range(128 + world.sent.len() * KEEPERS..most),
            0 => rng.random_range(0..most),
            1 => rng.random_range(128..most),
            _ => 3 + 4 * PARTS[rng.random_range(0..4)] + 64,
        };
        // The abort is rare, or most walks end with it.
        if which == most - 1 && rng.random_range(0..4) > 0 {
            continue;
        }
        step(&mut world, which, mistake);
        if world.breach.is_some() {
            break;
        }
    }
    world
}

/// From here on all word arrives, allocations end, and the worker does his work: whether all come
/// to their end.
fn comes_to_its_end(world: &mut World) -> bool {
    for _ in 0..60 {
        world.claims = world.claims.min(3);
        let all = looks(world, 0b111, true, Mistake::None);
        // Claims are drawn anew for each in truth; here there are few numbers for them.
        sends(world, &all, 0b111, true, Mistake::None);
        world.runs = vec![0; MACHINES as usize];
        world.given.extend(handed(world));
        for (machine, claim) in world.given.clone() {
            world.done.insert((machine, claim));
            let done = Actions {
                advance: vec![(machine, claim, LeasePhase::Completed)],
                ..Actions::default()
            };
            sends(world, &done, 0b111, false, Mistake::None);
        }
        let free = world.boards.iter().all(|board| board.leases().is_empty());
        if free && world.doors.iter().all(|door| door.active().is_none()) {
            return true;
        }
    }
    false
}

#[test]
fn never_more_are_out_than_may_be_and_none_is_worked_on_while_something_runs() {
    let (breach, states) = search(Mistake::None, 4);
    assert_eq!(breach, None);
    assert!(states > 2_000, "only {states} states");
    let (mut worked, mut most) = (0, 0);
    for seed in 0..4_000 {
        let mut world = walk(seed, 120, Mistake::None);
        assert_eq!(world.breach, None, "walk {seed}");
        let ended = world
            .boards
            .iter()
            .map(|board| board.outcomes().count())
            .max()
            .unwrap_or(0);
        (worked, most) = (worked + usize::from(ended > 0), most.max(ended));
        assert!(
            comes_to_its_end(&mut world),
            "walk {seed} leaves a machine out: {world:?}"
        );
    }
    assert!(
        worked > 300 && most == 2,
        "walks come far enough: {worked}, {most}"
    );
}

#[test_case(Mistake::ReleasedEarly)]
#[test_case(Mistake::OneKeeper)]
#[test_case(Mistake::ForgetfulDoor)]
#[test_case(Mistake::ClosesWhenAsked)]
#[test_case(Mistake::WithdrawsAll)]
#[test_case(Mistake::HandedWhileRunning)]
#[test_case(Mistake::OpensUnasked)]
fn a_planted_mistake_is_found(mistake: Mistake) {
    let found = (0..20_000).find(|seed| walk(*seed, 120, mistake).breach.is_some());
    assert!(found.is_some());
}

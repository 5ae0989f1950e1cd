//! Model check of three rules: no more machines are out of service than the limits allow, no
//! machine is worked on while something runs there, and no machine stays out of service forever.
//!
//! The check searches all states of two machines and three members to some depth and takes long
//! random walks beyond it. Messages are delayed, lost and duplicated, and a dispatcher may
//! reconcile with the replies of any majority. It also checks that the search finds planted faults.

mod fault;
mod world;

use fault::Fault;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;
use test_case::test_case;
use world::{MACHINES, MAJORITIES, MEMBERS, World};

/// Number of steps that reconcile: one for each combination of the majority that replied, the
/// members and machines that the actions reach, and whether claims have expired.
const RECONCILE_STEPS: usize = MAJORITIES.len() * 8 * 2 * 2;

/// Takes the possible step of this index. Returns false if there are not that many steps.
fn step(world: &mut World, index: usize, fault: Fault) -> bool {
    let late_messages = RECONCILE_STEPS + world.sent.len() * MEMBERS;
    let late_cordons = late_messages + world.cordons_sent.len();
    let late_uncordons = late_cordons + world.uncordons_sent.len();
    let allocation_steps = late_uncordons + MACHINES as usize;
    if index < RECONCILE_STEPS {
        let (heard, reached) = (MAJORITIES[index % 4], index / 4 % 8);
        let (expire_all, machines) = (index / 32 % 2 == 1, index / 64 % 2 == 1);
        let actions = world.reconcile(heard, expire_all, fault);
        world.send(&actions, reached, machines, fault);
    } else if index < late_messages {
        let offset = index - RECONCILE_STEPS;
        let message = world.sent.iter().nth(offset / MEMBERS);
        let message = message.expect("the index is in range").clone();
        world.arrive(offset % MEMBERS, &message, fault);
    } else if index < late_cordons {
        let lease = world.cordons_sent.iter().nth(index - late_messages);
        world.cordon(*lease.expect("the index is in range"));
    } else if index < late_uncordons {
        let lease = world.uncordons_sent.iter().nth(index - late_cordons);
        world.uncordon(*lease.expect("the index is in range"), fault);
    } else if index < allocation_steps {
        // An allocation on the machine ends, or one is placed if the machine accepts it.
        let machine = index - late_uncordons;
        if world.running[machine] > 0 {
            world.running[machine] -= 1;
        } else if world.cordons[machine].active().is_none() && world.placed < 2 {
            (world.running[machine], world.placed) = (1, world.placed + 1);
        }
    } else if index == allocation_steps {
        world.complete(0b011);
    } else if index == allocation_steps + 1 {
        world.sent.insert(world::Message::Abort);
        world.arrive(0, &world::Message::Abort, fault);
    } else {
        return false;
    }
    world.check();
    true
}

/// Searches all states that can follow within `depth` steps. Returns the first breach, if any, and
/// the number of states seen.
fn search(fault: Fault, depth: usize) -> (Option<&'static str>, usize) {
    let initial = World::new();
    let (mut seen, mut frontier) = (HashSet::from([format!("{initial:?}")]), vec![initial]);
    for _ in 0..depth {
        let mut next_frontier = Vec::new();
        for world in &frontier {
            for index in 0.. {
                let mut next = world.clone();
                if !step(&mut next, index, fault) {
                    break;
                }
                if next.breach.is_some() {
                    return (next.breach, seen.len());
                }
                if seen.insert(format!("{next:?}")) {
                    next_frontier.push(next);
                }
            }
        }
        frontier = next_frontier;
    }
    (None, seen.len())
}

fn walk(seed: u64, steps: usize, fault: Fault) -> World {
    let (mut world, mut rng) = (World::new(), Pcg64Mcg::seed_from_u64(seed));
    for _ in 0..steps {
        let late_messages = RECONCILE_STEPS + world.sent.len() * MEMBERS;
        let count = late_messages + world.cordons_sent.len() + world.uncordons_sent.len() + 4;
        // Most steps are rounds that reach a majority, or a walk would make no progress.
        let index = match rng.random_range(0..5) {
            // Late messages to machines, to cordon or to uncordon.
            4 => rng.random_range(late_messages..count),
            0 => rng.random_range(0..count),
            1 => rng.random_range(RECONCILE_STEPS..count),
            _ => 3 + 4 * MAJORITIES[rng.random_range(0..4)] + 64,
        };
        // The abort is rare, or most walks would end with it.
        if index == count - 1 && rng.random_range(0..4) > 0 {
            continue;
        }
        step(&mut world, index, fault);
        if world.breach.is_some() {
            break;
        }
    }
    world
}

/// Returns whether all leases end if from here on all messages arrive, allocations end and the
/// operator completes the work.
fn all_leases_end(world: &mut World) -> bool {
    for _ in 0..60 {
        // Claim ids are drawn at random in production; the model reuses a few.
        world.claims = world.claims.min(3);
        let actions = world.reconcile(0b111, true, Fault::None);
        world.send(&actions, 0b111, true, Fault::None);
        world.running = vec![0; MACHINES as usize];
        world.observe_drained();
        world.complete(0b111);
        let mut members = world.members.iter();
        let is_free = members.all(|member| member.leases().is_empty());
        if is_free && world.cordons.iter().all(|cordon| cordon.active().is_none()) {
            return true;
        }
    }
    false
}

#[test]
fn limits_hold_and_no_machine_is_worked_on_while_something_runs() {
    let (breach, states) = search(Fault::None, 4);
    assert_eq!(breach, None);
    assert!(states > 2_000, "only {states} states");
    let (mut completed, mut max_outcomes) = (0, 0);
    for seed in 0..4_000 {
        let mut world = walk(seed, 120, Fault::None);
        assert_eq!(world.breach, None, "walk {seed}");
        let outcomes = world.members.iter().map(|member| member.outcomes().count());
        let outcomes = outcomes.max().unwrap_or(0);
        completed += usize::from(outcomes > 0);
        max_outcomes = max_outcomes.max(outcomes);
        assert!(
            all_leases_end(&mut world),
            "walk {seed}: a machine stays out of service: {world:?}"
        );
    }
    assert!(
        completed > 300 && max_outcomes == 2,
        "too few walks complete a lease: {completed}, {max_outcomes}"
    );
}

#[test_case(Fault::ReleasesEarly)]
#[test_case(Fault::NoMajority)]
#[test_case(Fault::ForgetfulCordon)]
#[test_case(Fault::CordonsWhenRequested)]
#[test_case(Fault::WithdrawsAnyPhase)]
#[test_case(Fault::DrainedWhileRunning)]
#[test_case(Fault::UncordonsWithoutVote)]
fn a_planted_fault_is_found(fault: Fault) {
    let found = (0..20_000).find(|seed| walk(*seed, 120, fault).breach.is_some());
    assert!(found.is_some());
}

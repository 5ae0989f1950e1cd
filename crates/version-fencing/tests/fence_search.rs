//! That nothing below the floor takes effect at a node that has it: every state of a small fleet
//! that messages late, lost and doubled, keepers asked in any part, and nodes and dispatchers that
//! start anew can lead to. And that the search is able to find a protocol that lets something
//! through, by mistakes planted in it.

mod states;

use corkspan_quorum::Keeper;
use corkspan_version_fencing::{Fence, FenceDecision, MinimumVersion, StoredState, VersionGate};
use test_case::test_case;

const KEEPERS: usize = 3;
const OLD: u64 = 1;
const NEW: u64 = 2;

/// Two operators who ask at once, and a later one who lowers the floor again.
const WISHES: [MinimumVersion; 3] = [
    MinimumVersion {
        revision: 1,
        proposer: 1,
        version: NEW,
    },
    MinimumVersion {
        revision: 1,
        proposer: 2,
        version: OLD,
    },
    MinimumVersion {
        revision: 2,
        proposer: 1,
        version: OLD,
    },
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// One keeper's word is enough for a dispatcher.
    NoMajority,
    /// A node that starts anew has no floor.
    NodeForgets,
    /// A node turns away by a floor that is not on its disk yet.
    BeforeTheDisk,
    /// A node judges by what the sender runs now.
    BySender,
    /// A node whose disk was lost lets in what comes before it has asked.
    LostDiskLetsIn,
    /// One that starts anew before it has asked takes its empty disk for a whole one.
    EmptyIsWhole,
    /// A node whose disk was lost takes the highest that any keeper tells.
    TakesTheHighest,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Shot {
    from: usize,
    version: u64,
    /// Index of the wish told with it.
    tells: Option<usize>,
}

#[derive(Clone, Debug)]
struct World {
    keepers: Vec<Keeper<MinimumVersion>>,
    gates: [VersionGate; 2],
    running: [u64; 2],
    fence: Fence,
    disk: Option<usize>,
    /// How often it was lost, and whether it is.
    losses: u8,
    lost: bool,
    /// Told of, and not on disk.
    pending: Option<usize>,
    /// Sent ever: each may arrive at any time, never, or again.
    shots: Vec<Shot>,
    // What the judge keeps beside.
    /// Wishes that a majority has held at some time.
    ever: [bool; 3],
    /// The latest wish by which the node has turned anything away.
    turned_by: Option<usize>,
    breach: Option<&'static str>,
}

fn index(floor: MinimumVersion) -> usize {
    WISHES
        .iter()
        .position(|wish| *wish == floor)
        .expect("one of ours")
}

fn stands(keeper: &Keeper<MinimumVersion>) -> Option<MinimumVersion> {
    keeper.all().next().map(|kept| kept.wish)
}

/// What a part of the keepers tells, each by its bit.
fn told(keepers: &[Keeper<MinimumVersion>], part: usize) -> Vec<Option<MinimumVersion>> {
    let answer = keepers
        .iter()
        .enumerate()
        .filter(|(keeper, _)| part >> keeper & 1 == 1);
    answer.map(|(_, keeper)| stands(keeper)).collect()
}

fn start() -> World {
    World {
        keepers: vec![Keeper::default(); KEEPERS],
        gates: [VersionGate::default(); 2],
        running: [OLD, NEW],
        fence: Fence::restore(StoredState::Intact(None)),
        disk: None,
        losses: 0,
        lost: false,
        pending: None,
        shots: Vec::new(),
        ever: [false; 3],
        turned_by: None,
        breach: None,
    }
}

fn arrives(world: &mut World, shot: &Shot, mistake: Mistake) {
    if let Some(told) = shot.tells {
        if !world.ever[told] {
            world.breach = Some("a floor that no majority has held");
        }
        if world.fence.should_store(WISHES[told]) {
            if mistake == Mistake::BeforeTheDisk {
                world.fence.apply_stored(WISHES[told]);
            }
            world.pending = Some(told);
        }
    }
    let judged = if mistake == Mistake::BySender {
        world.running[shot.from]
    } else {
        shot.version
    };
    match world.fence.decide(judged) {
        FenceDecision::Accepted => {
            let below = |by: usize| shot.version < WISHES[by].version;
            // What the node once turned away by, or has on disk, holds until a later wish is there.
            if world
                .turned_by
                .into_iter()
                .chain(world.disk)
                .max_by_key(|&by| WISHES[by].revision)
                .is_some_and(below)
            {
                world.breach = Some("a shot below the floor has passed");
            }
        }
        FenceDecision::Fenced(floor) => {
            let by = index(floor);
            if world
                .turned_by
                .is_none_or(|known| WISHES[known].revision <= floor.revision)
            {
                world.turned_by = Some(by);
            }
            world.gates[shot.from].apply_node_report(floor);
        }
        FenceDecision::Unknown => {}
    }
}

fn follow(world: &World, mistake: Mistake) -> Vec<World> {
    let mut all = Vec::new();
    let mut step = |change: &dyn Fn(&mut World)| {
        let mut next = world.clone();
        change(&mut next);
        for (wish, ever) in next.ever.iter_mut().enumerate() {
            let holds = next
                .keepers
                .iter()
                .filter(|keeper| stands(keeper) == Some(WISHES[wish]))
                .count();
            *ever |= corkspan_quorum::majority(holds, KEEPERS);
        }
        all.push(next);
    };
    for keeper in 0..KEEPERS {
        for wish in WISHES {
            step(&|next| {
                next.keepers[keeper].propose(wish);
            });
        }
    }
    for dispatcher in 0..2 {
        // Each part of the keepers that may answer.
        for part in 1..1 << KEEPERS {
            step(&|next| {
                let told = told(&next.keepers, part);
                let keepers = if mistake == Mistake::NoMajority {
                    1
                } else {
                    KEEPERS
                };
                next.gates[dispatcher].apply_quorum_replies(&told, keepers);
            });
        }
        if world.gates[dispatcher]
            .fenced_by(world.running[dispatcher])
            .is_none()
        {
            step(&|next| {
                let tells = next.gates[dispatcher].minimum().map(index);
                let shot = Shot {
                    from: dispatcher,
                    version: next.running[dispatcher],
                    tells,
                };
                if !next.shots.contains(&shot) {
                    next.shots.push(shot);
                    next.shots.sort();
                }
            });
        }
        // Starts anew, and has forgotten what it had heard.
        step(&|next| next.gates[dispatcher] = VersionGate::default());
    }
    step(&|next| next.running[0] = NEW);
    for shot in &world.shots {
        step(&|next| arrives(next, shot, mistake));
    }
    if let Some(pending) = world.pending {
        step(&|next| {
            // A later one may have come meanwhile by way of the keepers: an older one must not take
            // its place on disk.
            if next.fence.should_store(WISHES[pending]) {
                next.disk = Some(pending);
                next.fence.apply_stored(WISHES[pending]);
            }
            next.pending = None;
        });
    }
    step(&|next| {
        let kept = next
            .disk
            .filter(|_| mistake != Mistake::NodeForgets)
            .map(|wish| WISHES[wish]);
        let lost = next.lost && mistake != Mistake::EmptyIsWhole;
        next.fence = Fence::restore(if lost {
            StoredState::Lost
        } else {
            StoredState::Intact(kept)
        });
        next.pending = None;
    });
    if world.losses == 0 {
        step(&|next| {
            let lost = if mistake == Mistake::LostDiskLetsIn {
                StoredState::Intact(None)
            } else {
                StoredState::Lost
            };
            next.fence = Fence::restore(lost);
            (next.disk, next.pending, next.losses, next.lost) = (None, None, 1, true);
        });
    }
    if world.lost {
        for part in 1..1 << KEEPERS {
            step(&|next| {
                let told = told(&next.keepers, part);
                let highest = told
                    .iter()
                    .flatten()
                    .max_by_key(|floor| floor.revision)
                    .copied();
                if let Some(highest) = highest.filter(|_| mistake == Mistake::TakesTheHighest) {
                    next.fence = Fence::restore(StoredState::Intact(Some(highest)));
                    (next.disk, next.lost) = (Some(index(highest)), false);
                } else if next.fence.apply_quorum_replies(&told, KEEPERS) {
                    (next.disk, next.lost) = (next.fence.minimum().map(index), false);
                }
            });
        }
    }
    all
}

fn search(mistake: Mistake, depth: usize) -> (Option<&'static str>, usize) {
    states::search(
        start(),
        depth,
        |world| follow(world, mistake),
        |world| world.breach,
    )
}

#[test]
fn nothing_below_the_floor_takes_effect_where_it_is_known() {
    let (breach, states) = search(Mistake::None, 11);
    assert_eq!(breach, None);
    assert!(states > 50_000, "only {states} states");
}

#[test_case(Mistake::NoMajority, "a floor that no majority has held")]
#[test_case(Mistake::NodeForgets, "a shot below the floor has passed")]
#[test_case(Mistake::BeforeTheDisk, "a shot below the floor has passed")]
#[test_case(Mistake::BySender, "a shot below the floor has passed")]
#[test_case(Mistake::LostDiskLetsIn, "a shot below the floor has passed")]
#[test_case(Mistake::EmptyIsWhole, "a shot below the floor has passed")]
#[test_case(Mistake::TakesTheHighest, "a floor that no majority has held")]
fn a_planted_mistake_is_found(mistake: Mistake, breach: &str) {
    assert_eq!(search(mistake, 12).0, Some(breach));
}

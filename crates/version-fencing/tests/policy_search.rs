//! That no rule shuts out by a version that too few had for good: every state of three dispatchers
//! that take versions, stand trials and give up, before three keepers of which one tells what is
//! not so, with words lost and late. And that the search is able to find a rule that does, by
//! mistakes planted in it.

mod states;

use corkspan_version_fencing::ReportedVersion;
use corkspan_version_fencing::policy::{MinimumVersionPolicy, PolicyWatch, ReportedVersions};
use test_case::test_case;

const FLEET: usize = 3;
const KEEPERS: usize = 3;
const NEWEST: u64 = 3;
const POLICY: MinimumVersionPolicy = MinimumVersionPolicy {
    max_behind: Some(1),
    max_age: Some(2),
    adoption_permille: 600,
};
/// Two of three.
const ENOUGH: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// A version on trial counts as taken.
    Trials,
    /// One keeper's word is enough.
    OneKeeper,
    /// The rule looks at who has told only, and not at how many there are.
    OfThoseWhoTold,
    /// What was taken once counts for good, whoever has given it up since.
    NeverAnew,
}

#[derive(Clone, Debug)]
struct World {
    now: u64,
    runs: [ReportedVersion; FLEET],
    /// The highest that each ever ran for good.
    ever: [u64; FLEET],
    /// Of the two that tell what they were told.
    reported: [ReportedVersions; KEEPERS - 1],
    told: [usize; KEEPERS - 1],
    watch: PolicyWatch,
    /// With how many ran so much for good at each moment, for the judge: by version from 0.
    good_since: [Option<u64>; NEWEST as usize + 1],
    breach: Option<&'static str>,
}

fn start() -> World {
    World {
        now: 0,
        runs: [ReportedVersion {
            version: 1,
            on_trial: false,
        }; FLEET],
        ever: [1; FLEET],
        reported: [ReportedVersions::default(), ReportedVersions::default()],
        told: [0; KEEPERS - 1],
        watch: PolicyWatch::default(),
        good_since: [None; NEWEST as usize + 1],
        breach: None,
    }
}

fn evaluate(world: &mut World, part: usize, mistake: Mistake) {
    let fleet = |keeper: usize| match mistake {
        Mistake::OfThoseWhoTold => world.told[keeper],
        _ => FLEET,
    };
    // The last one says that all run a version that nobody has.
    let words = (0..KEEPERS)
        .filter(|keeper| part >> keeper & 1 == 1)
        .map(|keeper| match keeper {
            2 => Some(NEWEST + 5),
            own => world.reported[own].adopted(fleet(own), POLICY.adoption_permille),
        });
    let words: Vec<Option<u64>> = words.collect();
    let keepers = if mistake == Mistake::OneKeeper {
        1
    } else {
        KEEPERS
    };
    if mistake == Mistake::NeverAnew {
        world.watch = PolicyWatch::default();
        let highest = *world.ever.iter().max().expect("three");
        world
            .watch
            .evaluate(0, POLICY, &[Some(highest); KEEPERS], KEEPERS, None);
    }
    let Some(minimum) = world
        .watch
        .evaluate(world.now, POLICY, &words, keepers, None)
    else {
        return;
    };
    let had = world.ever.iter().filter(|ever| **ever >= minimum).count();
    if had < ENOUGH {
        world.breach = Some("a floor that too few ever had for good");
    }
    // By the rule of far behind it is one below what enough have told; by that of long, what they
    // told long enough ago.
    let far = world.ever.iter().filter(|ever| **ever > minimum).count() >= ENOUGH;
    let long = usize::try_from(minimum)
        .ok()
        .and_then(|minimum| world.good_since.get(minimum).copied().flatten());
    if !far && long.is_none_or(|since| since + 2 > world.now) {
        world.breach = Some("a floor neither far nor long enough behind");
    }
}

fn follow(world: &World, mistake: Mistake) -> Vec<World> {
    let mut all = Vec::new();
    let mut step = |change: &dyn Fn(&mut World)| {
        let mut next = world.clone();
        change(&mut next);
        for version in 1..=NEWEST as usize {
            let good = next
                .ever
                .iter()
                .filter(|ever| **ever >= version as u64)
                .count();
            if good >= ENOUGH && next.good_since[version].is_none() {
                next.good_since[version] = Some(next.now);
            }
        }
        all.push(next);
    };
    for own in 0..FLEET {
        let runs = world.runs[own];
        if runs.on_trial {
            step(&|next| {
                next.runs[own].on_trial = false;
                next.ever[own] = next.ever[own].max(runs.version);
            });
            step(&|next| {
                next.runs[own] = ReportedVersion {
                    version: runs.version - 1,
                    on_trial: false,
                }
            });
        } else if runs.version < NEWEST {
            step(&|next| {
                next.runs[own] = ReportedVersion {
                    version: runs.version + 1,
                    on_trial: true,
                }
            });
        }
        for keeper in 0..KEEPERS - 1 {
            step(&|next| {
                let on_trial = next.runs[own].on_trial && mistake != Mistake::Trials;
                next.reported[keeper].report(
                    own as u32,
                    ReportedVersion {
                        on_trial,
                        ..next.runs[own]
                    },
                );
                next.told[keeper] |= 1 << own;
                next.told[keeper] = next.told[keeper].min(7);
            });
        }
    }
    if world.now < 3 {
        step(&|next| next.now += 1);
    }
    for part in 1..1 << KEEPERS {
        step(&|next| {
            let counts: Vec<usize> = next
                .told
                .iter()
                .map(|told| told.count_ones() as usize)
                .collect();
            let bits = std::mem::replace(&mut next.told, [counts[0], counts[1]]);
            evaluate(next, part, mistake);
            next.told = bits;
        });
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
fn no_rule_raises_the_floor_above_what_enough_had_for_good() {
    let (breach, states) = search(Mistake::None, 9);
    assert_eq!(breach, None);
    assert!(states > 50_000, "only {states} states");
}

#[test_case(Mistake::Trials, 12)]
#[test_case(Mistake::OneKeeper, 6)]
#[test_case(Mistake::OfThoseWhoTold, 9)]
#[test_case(Mistake::NeverAnew, 9)]
fn a_planted_mistake_is_found(mistake: Mistake, depth: usize) {
    assert!(search(mistake, depth).0.is_some());
}

//! Shows that a policy never raises the minimum to a version that too few dispatchers had adopted.
//! The search visits every state of three dispatchers that adopt versions on trial and roll back,
//! and three quorum members of which one reports wrongly, with messages lost and late. Planted
//! mistakes show that the search detects such a policy.

mod states;

use corkspan_version_fencing::ReportedVersion;
use corkspan_version_fencing::policy::{MinimumVersionPolicy, PolicyWatch, ReportedVersions};
use test_case::test_case;

const FLEET: usize = 3;
const MEMBERS: usize = 3;
const NEWEST: u64 = 3;
const MAX_AGE: u64 = 2;
const POLICY: MinimumVersionPolicy = MinimumVersionPolicy {
    max_behind: Some(1),
    max_age: Some(MAX_AGE),
    adoption_permille: 600,
};
/// Number of dispatchers that must have adopted a version: two of three.
const REQUIRED: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// A version on trial counts as adopted.
    TrialsCount,
    /// One member's reply is enough.
    OneMember,
    /// The policy uses the number of dispatchers that have reported as the size of the fleet.
    OnlyReporters,
    /// A version counts as adopted even after it was rolled back.
    NeverForgets,
}

#[derive(Clone, Debug)]
struct World {
    now: u64,
    running: [ReportedVersion; FLEET],
    /// The highest version that each dispatcher ever ran past its trial.
    highest: [u64; FLEET],
    /// The reports at the two members that reply correctly.
    reported: [ReportedVersions; MEMBERS - 1],
    /// For each of these members, a bit mask of the dispatchers that have reported to it.
    reporters: [usize; MEMBERS - 1],
    watch: PolicyWatch,
    /// For each version, the time since which enough dispatchers have run it past its trial. Only
    /// used by the check.
    adopted_since: [Option<u64>; NEWEST as usize + 1],
    violation: Option<&'static str>,
}

fn start() -> World {
    World {
        now: 0,
        running: [ReportedVersion {
            version: 1,
            on_trial: false,
        }; FLEET],
        highest: [1; FLEET],
        reported: [ReportedVersions::default(), ReportedVersions::default()],
        reporters: [0; MEMBERS - 1],
        watch: PolicyWatch::default(),
        adopted_since: [None; NEWEST as usize + 1],
        violation: None,
    }
}

/// Returns the replies of a subset of the members, which is a bit mask. The last member wrongly
/// reports a version that no dispatcher runs.
fn replies(world: &World, subset: usize, mistake: Mistake) -> Vec<Option<u64>> {
    let fleet = |member: usize| match mistake {
        Mistake::OnlyReporters => world.reporters[member].count_ones() as usize,
        _ => FLEET,
    };
    let replies =
        (0..MEMBERS)
            .filter(|member| subset >> member & 1 == 1)
            .map(|member| match member {
                2 => Some(NEWEST + 5),
                _ => world.reported[member].adopted(fleet(member), POLICY.adoption_permille),
            });
    replies.collect()
}

fn evaluate(world: &mut World, subset: usize, mistake: Mistake) {
    let replies = replies(world, subset, mistake);
    let members = match mistake {
        Mistake::OneMember => 1,
        _ => MEMBERS,
    };
    if mistake == Mistake::NeverForgets {
        world.watch = PolicyWatch::default();
        let highest = *world.highest.iter().max().expect("three");
        world
            .watch
            .evaluate(0, POLICY, &[Some(highest); MEMBERS], MEMBERS, None);
    }
    let minimum = world
        .watch
        .evaluate(world.now, POLICY, &replies, members, None);
    if let Some(minimum) = minimum {
        check(world, minimum);
    }
}

fn check(world: &mut World, minimum: u64) {
    let reached = |version: u64| {
        let highest = world.highest.iter();
        highest.filter(|highest| **highest >= version).count()
    };
    // The policy may choose the version below the one that enough dispatchers have adopted, or one
    // that they adopted long enough ago.
    let far_behind = reached(minimum + 1) >= REQUIRED;
    let adopted_since = usize::try_from(minimum)
        .ok()
        .and_then(|minimum| world.adopted_since.get(minimum).copied().flatten());
    let recent = adopted_since.is_none_or(|since| since + MAX_AGE > world.now);
    if !far_behind && recent {
        world.violation =
            Some("a minimum version that is neither far enough behind nor old enough");
    } else if reached(minimum) < REQUIRED {
        world.violation = Some("a minimum version that too few dispatchers had adopted");
    }
}

/// Collects the successors of a state, in a fixed order.
struct Successors<'a> {
    world: &'a World,
    mistake: Mistake,
    all: Vec<World>,
}

impl Successors<'_> {
    fn step(&mut self, change: impl Fn(&mut World)) {
        let mut next = self.world.clone();
        change(&mut next);
        for version in 1..=NEWEST as usize {
            let reached = next.highest.iter();
            let reached = reached.filter(|highest| **highest >= version as u64);
            if reached.count() >= REQUIRED && next.adopted_since[version].is_none() {
                next.adopted_since[version] = Some(next.now);
            }
        }
        self.all.push(next);
    }

    fn dispatcher(&mut self, dispatcher: usize) {
        let running = self.world.running[dispatcher];
        if running.on_trial {
            self.step(|next| {
                next.running[dispatcher].on_trial = false;
                next.highest[dispatcher] = next.highest[dispatcher].max(running.version);
            });
            self.step(|next| {
                next.running[dispatcher] = ReportedVersion {
                    version: running.version - 1,
                    on_trial: false,
                }
            });
        } else if running.version < NEWEST {
            self.step(|next| {
                next.running[dispatcher] = ReportedVersion {
                    version: running.version + 1,
                    on_trial: true,
                }
            });
        }
        let on_trial = running.on_trial && self.mistake != Mistake::TrialsCount;
        for member in 0..MEMBERS - 1 {
            self.step(|next| {
                let reported = ReportedVersion {
                    on_trial,
                    ..running
                };
                next.reported[member].report(dispatcher as u32, reported);
                next.reporters[member] |= 1 << dispatcher;
            });
        }
    }
}

fn successors(world: &World, mistake: Mistake) -> Vec<World> {
    let mut successors = Successors {
        world,
        mistake,
        all: Vec::new(),
    };
    for dispatcher in 0..FLEET {
        successors.dispatcher(dispatcher);
    }
    if world.now < 3 {
        successors.step(|next| next.now += 1);
    }
    for subset in 1..1 << MEMBERS {
        successors.step(|next| evaluate(next, subset, mistake));
    }
    successors.all
}

fn search(mistake: Mistake, depth: usize) -> (Option<&'static str>, usize) {
    states::search(
        start(),
        depth,
        |world| successors(world, mistake),
        |world| world.violation,
    )
}

#[test]
fn no_policy_raises_the_minimum_above_what_enough_dispatchers_had_adopted() {
    let (violation, states) = search(Mistake::None, 9);
    assert_eq!(violation, None);
    assert!(states > 50_000, "only {states} states");
}

#[test_case(Mistake::TrialsCount, 12)]
#[test_case(Mistake::OneMember, 6)]
#[test_case(Mistake::OnlyReporters, 9)]
#[test_case(Mistake::NeverForgets, 9)]
fn a_planted_mistake_is_found(mistake: Mistake, depth: usize) {
    assert!(search(mistake, depth).0.is_some());
}

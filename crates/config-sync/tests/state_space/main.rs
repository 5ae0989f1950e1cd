//! Searches every state of a small exchange: a control service with three versions, of which the
//! second is invalid; a rival control service that was cut off and has a first version of its own;
//! two dispatchers; streams that break and lose all messages in transit; kills at any step; and
//! trials that end in a rollback.
//!
//! The invariants: the active version of a dispatcher is valid and was on its disk first; version
//! numbers only increase, except by a rollback; once no message is in transit, the publisher knows
//! the active version; and no valid version is recorded as rejected unless it was rolled back or
//! does not follow the active one.

mod events;
mod world;

use events::{Defect, Event};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use test_case::test_case;
use world::World;

/// Returns a world in which the first dispatcher runs the first version.
fn with_an_active_version() -> World {
    let events = [
        Event::Publish,
        Event::Open(0),
        Event::Receive(0),
        Event::Admit(0),
        Event::Persist(0),
        Event::Apply(0),
        Event::Reply(0),
    ];
    events.into_iter().fold(World::start(), |world, event| {
        world
            .after(event, Defect::None)
            .expect("the event is possible")
            .expect("the event breaks no invariant")
    })
}

/// Searches all states up to this depth. Returns their number, or which invariant is broken and
/// how.
fn search(from: World, defect: Defect, depth: usize) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut states = vec![(from, 0)];
    // Breadth first, so that a state is first reached with the most steps left.
    for index in 0.. {
        let Some((world, steps)) = states.get(index).cloned() else {
            break;
        };
        if steps == depth {
            break;
        }
        let events = [Event::Publish]
            .into_iter()
            .chain(Event::for_dispatcher(0))
            .chain(Event::for_dispatcher(1));
        for event in events {
            let Some(next) = world.after(event, defect) else {
                continue;
            };
            let next = next.map_err(|why| format!("{why}, after {steps} steps, by {event:?}"))?;
            let mut hasher = DefaultHasher::new();
            format!("{next:?}").hash(&mut hasher);
            if seen.insert(hasher.finish()) {
                states.push((next, steps + 1));
            }
        }
    }
    Ok(states.len())
}

#[test_case(World::start(), 10; "from the start")]
#[test_case(with_an_active_version(), 8; "with an active version")]
fn no_order_of_breaks_and_kills_activates_a_version_that_is_invalid_or_not_on_disk(
    from: World,
    depth: usize,
) {
    let states = search(from, Defect::None, depth).unwrap_or_else(|why| panic!("{why}"));
    assert!(states > 10_000, "{states} states");
}

#[test_case(World::start(), Defect::RepliesBeforeTheDisk, "not on disk"; "replies before the version is on disk")]
#[test_case(World::start(), Defect::ValidatesNothing, "invalid"; "validates nothing")]
#[test_case(with_an_active_version(), Defect::TakesAnyNumber, "went from"; "takes any number")]
#[test_case(World::start(), Defect::RepliesWithoutNonce, "is recorded as rejected"; "replies without nonce")]
fn a_broken_exchange_is_found(from: World, defect: Defect, expected: &str) {
    let why = search(from, defect, 10).expect_err("the defect is found");
    assert!(why.contains(expected), "{why}");
}

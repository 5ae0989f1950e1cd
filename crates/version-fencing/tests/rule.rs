//! When a floor is raised by itself, and how stragglers ask to be brought up.

use corkspan_version_fencing::Runs;
use corkspan_version_fencing::bring::{Came, Next, Pace, Sees, Source, Straggler, lays};
use corkspan_version_fencing::rule::{Rows, Rule, Watch};
use test_case::test_case;

fn rows(versions: &[(u64, bool)]) -> Rows {
    let mut rows = Rows::default();
    for (dispatcher, &(version, on_trial)) in versions.iter().enumerate() {
        rows.tells(dispatcher as u32, Runs { version, on_trial });
    }
    rows
}

#[test_case(&[(9, false), (9, false), (5, false)], 3, 600, Some(9); "two of three are enough")]
#[test_case(&[(9, false), (9, true), (5, false)], 3, 600, Some(5); "one may yet give it up")]
#[test_case(&[(9, false), (9, false)], 4, 750, None; "who never told counts as not having it")]
#[test_case(&[(9, false), (8, false), (7, false)], 3, 1000, Some(7); "all")]
fn what_enough_have_taken(versions: &[(u64, bool)], fleet: usize, part: u32, taken: Option<u64>) {
    assert_eq!(rows(versions).taken(fleet, part), taken);
}

#[test]
fn dispatchers_beyond_the_fleet_have_no_say() {
    let mut rows = rows(&[(4, false), (4, false)]);
    (90..99).for_each(|own| {
        rows.tells(
            own,
            Runs {
                version: 9,
                on_trial: false,
            },
        )
    });
    assert_eq!(rows.taken(2, 1000), Some(4));
}

#[test]
fn one_that_falls_back_to_an_older_version_holds_the_floor_back() {
    let mut rows = rows(&[(9, false), (9, false)]);
    rows.tells(
        1,
        Runs {
            version: 4,
            on_trial: false,
        },
    );
    assert_eq!(rows.taken(2, 1000), Some(4));
}

const RULE: Rule = Rule {
    behind: Some(10),
    after: None,
    part: 900,
};

#[test_case(&[Some(30)], None; "one keeper of three")]
#[test_case(&[Some(30), Some(30)], Some(20); "two agree")]
#[test_case(&[Some(90), Some(30), Some(30)], Some(20); "one that tells too much")]
#[test_case(&[Some(30), None, None], None; "two have not heard of enough")]
#[test_case(&[Some(12), Some(12), Some(12)], None; "no further than the floor that stands")]
fn a_rule_needs_a_majority_of_keepers(told: &[Option<u64>], lowest: Option<u64>) {
    assert_eq!(Watch::default().look(0, RULE, told, 3, Some(2)), lowest);
}

#[test]
fn so_long_counts_from_when_enough_had_it_and_anew_once_they_gave_it_up() {
    let rule = Rule {
        behind: None,
        after: Some(60),
        part: 900,
    };
    let mut watch = Watch::default();
    let mut look = |now, taken| watch.look(now, rule, &[Some(taken); 3], 3, Some(1));
    assert_eq!(
        (look(0, 5), look(50, 6), look(60, 6)),
        (None, None, Some(5))
    );
    assert_eq!(
        (look(70, 5), look(120, 6)),
        (Some(5), Some(5)),
        "6 was given up at 70, and counts from 120"
    );
    assert_eq!((look(179, 6), look(180, 6)), (Some(5), Some(6)));
}

const PACE: Pace = Pace {
    first: 10,
    longest: 200,
    idle: 100,
};
const OUT: Sees = Sees {
    streams: false,
    shut_out: true,
    peers: 3,
    keepers: 2,
};

/// When each ask comes, and of whom, until `until`.
fn asks(
    straggler: &mut Straggler,
    until: u64,
    sees: Sees,
    mut came: impl FnMut() -> Came,
) -> Vec<(u64, Source)> {
    let (mut now, mut all) = (0, Vec::new());
    while now < until {
        match straggler.look(now, sees) {
            Next::Ask(source) => {
                all.push((now, source));
                straggler.came(now, came());
            }
            Next::Wait(time) => now += time.max(1),
        }
    }
    all
}

#[test]
fn one_that_is_shut_out_asks_each_peer_and_then_each_keeper_soon_and_then_ever_less_often() {
    let all = asks(&mut Straggler::new(1, PACE), 2_000, OUT, || Came::Nothing);
    let peers = all[..3]
        .iter()
        .all(|(_, source)| matches!(source, Source::Peer(_)));
    let keepers = all[3..5]
        .iter()
        .all(|(_, source)| matches!(source, Source::Keeper(_)));
    assert!(all[4].0 <= 50 && peers && keepers, "{all:?}");
    let gaps: Vec<u64> = all.windows(2).map(|two| two[1].0 - two[0].0).collect();
    assert!(
        gaps.iter().all(|gap| *gap <= 210) && gaps.len() < 100,
        "{gaps:?}"
    );
}

#[test]
fn three_hundred_at_once_spread_over_time_and_peers() {
    let mut all: Vec<(u64, Source)> = Vec::new();
    for seed in 0..300 {
        all.extend(
            asks(
                &mut Straggler::new(
                    seed,
                    Pace {
                        first: 1_000,
                        ..PACE
                    },
                ),
                1_000,
                OUT,
                || Came::Up,
            )
            .first(),
        );
    }
    for tenth in 0..10 {
        let many = all.iter().filter(|(at, _)| at / 100 == tenth).count();
        assert!(many < 60, "{many} in one tenth");
    }
    let of = |one| {
        all.iter()
            .filter(|(_, source)| *source == Source::Peer(one))
            .count()
    };
    assert!(
        (0..3).all(|peer| of(peer) > 60),
        "{:?}",
        [of(0), of(1), of(2)]
    );
}

#[test]
fn whom_a_control_service_reaches_asks_nobody_unless_it_is_shut_out() {
    let sees = Sees {
        streams: true,
        shut_out: false,
        ..OUT
    };
    assert_eq!(
        asks(&mut Straggler::new(1, PACE), 5_000, sees, || Came::Nothing),
        []
    );
    let stale = Sees {
        streams: true,
        ..OUT
    };
    assert!(!asks(&mut Straggler::new(1, PACE), 50, stale, || Came::Nothing).is_empty());
}

#[test]
fn one_without_a_stream_that_is_not_known_to_be_behind_asks_now_and_then() {
    let sees = Sees {
        shut_out: false,
        ..OUT
    };
    let all = asks(&mut Straggler::new(1, PACE), 10_000, sees, || Came::Nothing);
    assert!((40..110).contains(&all.len()), "{}", all.len());
}

#[test]
fn a_few_of_a_fleet_lay_a_new_version_on_a_shelf_and_none_an_old_one() {
    let many = |good| {
        (0..300)
            .filter(|own| lays(good, Some(7), 300, f64::from(*own) / 300.0))
            .count()
    };
    assert_eq!((many(8), many(7), many(6)), (3, 0, 0));
    assert!(lays(1, None, 1, 0.99));
}

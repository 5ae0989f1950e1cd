//! What an audit tells of a fleet, and what keeps a floor from being raised.

use corkspan_version_fencing::acts::{Acts as Seen, By, Kind, Many};
use corkspan_version_fencing::audit::{Acted, Finding, Told, Why, findings, node_findings};
use corkspan_version_fencing::record::{How, Record, Span};
use corkspan_version_fencing::{Floor, NotRaised, Runs, next, taken_by_enough};
use std::collections::VecDeque;
use test_case::test_case;

fn told(dispatcher: u32, version: u64) -> Told {
    Told {
        dispatcher,
        life: u64::from(dispatcher) + 100,
        version,
        digest: format!("of {version}"),
        on_trial: false,
        streams: true,
        turned_down: None,
        given_up: Vec::new(),
        shut_out: false,
        acts: [((version, Kind::Shot), 6)].into_iter().collect(),
    }
}

fn of(all: Vec<Option<Told>>) -> Vec<Finding> {
    let named = all
        .into_iter()
        .enumerate()
        .map(|(index, told)| (index.to_string(), told));
    findings(&named.collect::<Vec<_>>())
}

#[test]
fn a_sound_fleet_has_no_findings() {
    assert_eq!(
        of(vec![Some(told(0, 7)), Some(told(1, 7)), Some(told(1, 7))]),
        []
    );
}

#[test_case(Told { streams: false, ..told(1, 6) }, Why::NoStream)]
#[test_case(Told { turned_down: Some((7, "split".into())), ..told(1, 6) }, Why::TurnedDown(7, "split".into()))]
#[test_case(Told { given_up: vec![7], streams: false, ..told(1, 6) }, Why::GaveUp(7))]
#[test_case(Told { turned_down: Some((5, "old".into())), ..told(1, 6) }, Why::NotTold)]
fn who_is_behind_is_told_with_the_reason(straggler: Told, why: Why) {
    let behind = Finding::Behind {
        who: "1".into(),
        version: 6,
        newest: 7,
        why,
    };
    assert_eq!(of(vec![Some(told(0, 7)), Some(straggler)]), [behind]);
}

#[test]
fn silence_a_second_process_another_digest_and_a_shut_out_one_are_told() {
    let (twice, liar) = (
        Told {
            life: 1,
            ..told(0, 7)
        },
        Told {
            digest: "another".into(),
            ..told(2, 7)
        },
    );
    let out = Told {
        shut_out: true,
        ..told(3, 7)
    };
    let (who, other) = ("2".to_string(), "0".to_string());
    let expected = [
        Finding::Silent("1".into()),
        Finding::OneNumber {
            who,
            other: other.clone(),
            dispatcher: 0,
        },
        Finding::TwoDigests {
            who: "3".into(),
            other,
            version: 7,
        },
        Finding::ShutOut("4".into()),
    ];
    assert_eq!(
        of(vec![
            Some(told(0, 7)),
            None,
            Some(twice),
            Some(liar),
            Some(out)
        ]),
        expected
    );
}

#[test_case(2, 0, Ok(()); "half of the fleet has it")]
#[test_case(1, 1, Err(1); "one has it on trial")]
#[test_case(1, 0, Err(1); "too few")]
fn a_floor_waits_until_enough_have_taken_the_version(
    good: usize,
    on_trial: usize,
    result: Result<(), usize>,
) {
    let runs = |version, on_trial| Some(Runs { version, on_trial });
    let mut fleet = vec![runs(8, false); good];
    fleet.extend(vec![runs(8, true); on_trial]);
    fleet.extend([None, runs(7, false), runs(7, false)]);
    fleet.truncate(4);
    let result = result.map_err(|taken| NotRaised::Fleet {
        taken,
        fleet: 4,
        wanted: 2,
        lowest: 8,
    });
    assert_eq!(taken_by_enough(&fleet, Some(7), 8, 500), result);
    assert_eq!(
        taken_by_enough(&fleet, Some(9), 8, 500),
        Ok(()),
        "lowering is never held back"
    );
}

#[test]
fn the_next_wish_is_above_all_that_was_ever_asked_and_needs_a_majority_to_tell() {
    let floor = |number, asker, lowest| Floor {
        number,
        asker,
        lowest,
    };
    assert_eq!(
        next(&[Some(floor(1, 1, 2))], 3, 5, 9),
        Err(NotRaised::Keepers {
            heard: 1,
            keepers: 3
        })
    );
    assert_eq!(next(&[None, None], 3, 5, 9), Ok(floor(1, 9, 5)));
    // One that no majority took counts for its number.
    let split = [
        Some(floor(1, 1, 2)),
        Some(floor(4, 2, 3)),
        Some(floor(1, 1, 2)),
    ];
    assert_eq!(next(&split, 3, 5, 9), Ok(floor(5, 9, 5)));
    assert_eq!(next(&split, 3, 2, 9), Err(NotRaised::Stands(2)));
    let last = [Some(floor(u64::MAX, 1, 2)), None, None];
    assert_eq!(
        next(&last, 3, 5, 9),
        Ok(floor(u64::MAX, 9, 5)),
        "a liar takes nobody down"
    );
}

#[test]
fn what_nodes_have_seen_of_a_dispatcher_is_held_against_its_own_word() {
    let acted = |life, version, below| Acted {
        dispatcher: 1,
        life,
        version,
        kind: Kind::Shot,
        seen: 6,
        below,
    };
    let named = |told: Told| [("a".to_string(), Some(told))];
    let nodes = |acts: Vec<Acted>| [("n".to_string(), Some(acts)), ("m".to_string(), None)];
    let silent = Finding::Silent("m".into());
    let of = |told, acts| node_findings(&named(told), &nodes(acts));
    assert_eq!(
        of(told(1, 7), vec![acted(101, 7, 0), acted(1, 9, 0)]),
        std::slice::from_ref(&silent),
        "another life is another"
    );
    let below = Finding::Below {
        dispatcher: 1,
        version: 6,
        below: 2,
    };
    assert_eq!(
        of(told(1, 7), vec![acted(101, 6, 2)]),
        [silent.clone(), below]
    );
    let (who, more) = ("a".to_string(), vec![acted(101, 7, 0), acted(101, 7, 0)]);
    let more = (
        of(told(1, 7), more),
        Finding::More {
            who,
            version: 7,
            kind: Kind::Shot,
            seen: 12,
            counted: 6,
        },
    );
    assert_eq!(
        more.0,
        [silent.clone(), more.1],
        "another process under its number and life, or a copy of its acts"
    );
    let ahead = Finding::Ahead {
        who: "a".into(),
        version: 8,
        told: 7,
    };
    assert_eq!(
        of(told(1, 7), vec![acted(101, 8, 0)]),
        [silent.clone(), ahead]
    );
    assert_eq!(
        of(
            Told {
                given_up: vec![8],
                ..told(1, 7)
            },
            vec![acted(101, 8, 0)]
        ),
        [silent]
    );
}

#[test]
fn a_peer_that_invents_lives_fills_no_memory_and_hides_nobody_who_was_there() {
    let mut record = Seen::default();
    let by = |life| By {
        dispatcher: 1,
        life,
        version: 3,
    };
    (0..100_000).for_each(|life| record.saw(by(life), Kind::Shot));
    record.saw(by(0), Kind::Shot);
    record.turned_away(by(0), Kind::Shot);
    assert_eq!(
        record.rows().next(),
        Some((by(0), Kind::Shot, Many { seen: 2, below: 1 }))
    );
    assert_eq!(
        (record.rows().count(), record.left_out()),
        (8_192, 100_000 - 8_192)
    );
}

#[test]
fn a_record_keeps_the_latest_spans_across_lives_and_counts_one_life_alone() {
    let span = |version, life| Span {
        version,
        digest: "d".into(),
        how: How::Push,
        life,
        from_ms: version,
    };
    let mut record = Record::after(VecDeque::new());
    (0..300).for_each(|version| record.began(span(version, 1)));
    record.acts(299, Kind::Shot, 3);
    assert_eq!((record.spans().len(), record.spans()[0].version), (256, 44));
    let mut next = Record::after(record.spans().clone());
    assert_eq!(
        (next.spans(), next.by_version().count()),
        (record.spans(), 0)
    );
    next.began(span(300, 2));
    (0..10_000).for_each(|version| next.acts(version, Kind::Stop, 1));
    assert_eq!(
        (
            next.spans().len(),
            next.by_version().count(),
            next.by_version().last()
        ),
        (256, 1_280, Some((9_999, Kind::Stop, 1)))
    );
}

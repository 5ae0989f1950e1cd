//! What an audit tells of a fleet, and what keeps a floor from being raised.

use corkspan_fleet::audit::{Finding, Told, Why, findings};
use corkspan_fleet::{Floor, NotRaised, Runs, next, taken_by_enough};
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
    }
}

fn of(all: Vec<Option<Told>>) -> Vec<Finding> {
    let named = all.into_iter().enumerate().map(|(index, told)| (index.to_string(), told));
    findings(&named.collect::<Vec<_>>())
}

#[test]
fn a_sound_fleet_has_no_findings() {
    assert_eq!(of(vec![Some(told(0, 7)), Some(told(1, 7)), Some(told(1, 7))]), []);
}

#[test_case(Told { streams: false, ..told(1, 6) }, Why::NoStream)]
#[test_case(Told { turned_down: Some((7, "split".into())), ..told(1, 6) }, Why::TurnedDown(7, "split".into()))]
#[test_case(Told { given_up: vec![7], streams: false, ..told(1, 6) }, Why::GaveUp(7))]
#[test_case(Told { turned_down: Some((5, "old".into())), ..told(1, 6) }, Why::NotTold)]
fn who_is_behind_is_told_with_the_reason(straggler: Told, why: Why) {
    let behind = Finding::Behind { who: "1".into(), version: 6, newest: 7, why };
    assert_eq!(of(vec![Some(told(0, 7)), Some(straggler)]), [behind]);
}

#[test]
fn silence_a_second_process_another_digest_and_a_shut_out_one_are_told() {
    let (twice, liar) = (Told { life: 1, ..told(0, 7) }, Told { digest: "another".into(), ..told(2, 7) });
    let out = Told { shut_out: true, ..told(3, 7) };
    let (who, other) = ("2".to_string(), "0".to_string());
    let expected = [
        Finding::Silent("1".into()),
        Finding::OneNumber { who, other: other.clone(), dispatcher: 0 },
        Finding::TwoDigests { who: "3".into(), other, version: 7 },
        Finding::ShutOut("4".into()),
    ];
    assert_eq!(of(vec![Some(told(0, 7)), None, Some(twice), Some(liar), Some(out)]), expected);
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
    let result = result.map_err(|taken| NotRaised::Fleet { taken, fleet: 4, wanted: 2, lowest: 8 });
    assert_eq!(taken_by_enough(&fleet, 8, 500), result);
}

#[test]
fn the_next_wish_is_above_all_that_was_ever_asked_and_needs_a_majority_to_tell() {
    let floor = |number, asker, lowest| Floor { number, asker, lowest };
    assert_eq!(next(&[Some(floor(1, 1, 2))], 3, 5, 9), Err(NotRaised::Keepers { heard: 1, keepers: 3 }));
    assert_eq!(next(&[None, None], 3, 5, 9), Ok(floor(1, 9, 5)));
    // One that no majority took counts for its number.
    let split = [Some(floor(1, 1, 2)), Some(floor(4, 2, 3)), Some(floor(1, 1, 2))];
    assert_eq!(next(&split, 3, 5, 9), Ok(floor(5, 9, 5)));
    assert_eq!(next(&split, 3, 2, 9), Err(NotRaised::Stands(2)));
}

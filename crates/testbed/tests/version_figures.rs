//! What is reported of versions and raises of the minimum version, from a small capture.

use corkspan_testbed::capture::{AllocationEvent, Line, Observation};
use corkspan_testbed::version_figures::VersionFigures;

fn offered(node: u32, dispatcher: u32, number: u32, decided: u64) -> Observation {
    Observation::Offered {
        node,
        placement_id: "p".into(),
        number,
        dispatcher,
        service: "s".into(),
        task: String::new(),
        version: String::new(),
        decided,
    }
}

fn accepted(node: u32, number: u32) -> Observation {
    Observation::EventSent {
        node,
        placement_id: "p".into(),
        number,
        event: AllocationEvent::Accepted,
    }
}

/// Two versions, of which four dispatchers take the first and three the second, and two raises.
fn capture() -> Vec<Line> {
    let in_force = |dispatcher, number| Observation::VersionActive { dispatcher, number };
    let mut lines = vec![(1_000, Observation::Pushed { number: 1 })];
    lines.extend((0..4).map(|dispatcher| {
        let at = 3_500 * (1 + u64::from(dispatcher));
        (at, in_force(dispatcher, 1))
    }));
    lines.extend([
        (20_000, offered(100, 3, 1, 1)),
        (30_000, Observation::Pushed { number: 2 }),
        (31_000, in_force(0, 2)),
        (50_000, Observation::MinimumVersionRaised { lowest: 2 }),
        (
            51_000,
            Observation::MinimumVersionStored {
                node: 100,
                lowest: 2,
            },
        ),
        (
            52_000,
            Observation::MinimumVersionStored {
                node: 101,
                lowest: 2,
            },
        ),
        (
            53_000,
            Observation::MinimumVersionStored {
                node: 100,
                lowest: 2,
            },
        ),
        (60_500, accepted(100, 1)),
        (61_000, offered(101, 2, 2, 1)),
        (62_000, accepted(101, 3)),
        (1_250_000, in_force(1, 2)),
        (2_050_000, offered(101, 2, 4, 2)),
        (2_060_000, accepted(101, 4)),
        (3_000_000, Observation::MinimumVersionRaised { lowest: 3 }),
        (
            3_100_000,
            Observation::MinimumVersionStored {
                node: 102,
                lowest: 3,
            },
        ),
        (
            4_000_000,
            Observation::Audited {
                took_ms: 12,
                bytes: 4_096,
                findings: 3,
                equal: false,
            },
        ),
        (
            5_000_000,
            Observation::Memory {
                mean_kib: 2_048,
                most_kib: 3_584,
            },
        ),
    ]);
    lines
        .into_iter()
        .map(|(t, observation)| Line { t, observation })
        .collect()
}

#[test]
fn figures_of_a_capture_are_reported_as_before() {
    let figures = VersionFigures::of(&capture()).expect("versions were pushed");
    assert_eq!(
        figures.to_string(),
        include_str!("data/version-figures.txt")
    );
}

#[test]
fn a_capture_without_pushes_has_no_figures() {
    let lines = [Line {
        t: 5,
        observation: Observation::MinimumVersionRaised { lowest: 2 },
    }];
    assert!(VersionFigures::of(&lines).is_none());
}

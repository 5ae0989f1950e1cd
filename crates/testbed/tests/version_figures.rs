//! Tests of the figures of versions and raises of the minimum version, from a small capture.

use corkspan_testbed::capture::{AllocationEvent, Line, Observation};
use corkspan_testbed::version_figures::VersionFigures;

fn offered(node: u32, dispatcher: u32, number: u32, version_number: u64) -> Observation {
    Observation::Offered {
        node,
        placement_id: "p".into(),
        number,
        dispatcher,
        service: "s".into(),
        task: String::new(),
        version: String::new(),
        version_number,
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

/// Returns a capture of two versions and two raises. Four dispatchers apply the first version, and
/// three the second.
fn capture() -> Vec<Line> {
    let active = |dispatcher, number| Observation::VersionActive { dispatcher, number };
    let mut lines = vec![(1_000, Observation::Pushed { number: 1 })];
    lines.extend((0..4).map(|dispatcher| {
        let at = 3_500 * (1 + u64::from(dispatcher));
        (at, active(dispatcher, 1))
    }));
    lines.extend([
        (20_000, offered(100, 3, 1, 1)),
        (30_000, Observation::Pushed { number: 2 }),
        (31_000, active(0, 2)),
        (
            50_000,
            Observation::MinimumVersionRaised { version_number: 2 },
        ),
        (
            51_000,
            Observation::MinimumVersionStored {
                node: 100,
                version_number: 2,
            },
        ),
        (
            52_000,
            Observation::MinimumVersionStored {
                node: 101,
                version_number: 2,
            },
        ),
        (
            53_000,
            Observation::MinimumVersionStored {
                node: 100,
                version_number: 2,
            },
        ),
        (60_500, accepted(100, 1)),
        (61_000, offered(101, 2, 2, 1)),
        (62_000, accepted(101, 3)),
        (1_250_000, active(1, 2)),
        (2_050_000, offered(101, 2, 4, 2)),
        (2_060_000, accepted(101, 4)),
        (
            3_000_000,
            Observation::MinimumVersionRaised { version_number: 3 },
        ),
        (
            3_100_000,
            Observation::MinimumVersionStored {
                node: 102,
                version_number: 3,
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
fn figures_of_a_capture_are_reported_as_recorded() {
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
        observation: Observation::MinimumVersionRaised { version_number: 2 },
    }];
    assert!(VersionFigures::of(&lines).is_none());
}

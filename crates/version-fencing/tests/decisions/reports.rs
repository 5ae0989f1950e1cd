//! What an audit finds, and what nodes and dispatchers count and remember.

use crate::{draw, generator, kind, operation};
use corkspan_version_fencing::acts::{Acts as Seen, By};
use corkspan_version_fencing::audit::{self, Acted, Finding, Told, Why, findings, node_findings};
use corkspan_version_fencing::record::{How, Record, Span};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

fn reason(why: &Why) -> String {
    match why {
        Why::GaveUp(version) => format!("rolled back {version}"),
        Why::TurnedDown(version, why) => format!("rejected {version}: {why}"),
        Why::NoStream => "no stream".into(),
        Why::NotTold => "unknown".into(),
    }
}

fn finding(finding: &Finding) -> String {
    match finding {
        Finding::Silent(who) => format!("silent {who}"),
        Finding::Behind {
            who,
            version,
            newest,
            why,
        } => format!("behind {who}: {version} of {newest}, {}", reason(why)),
        Finding::ShutOut(who) => format!("fenced {who}"),
        Finding::OneNumber {
            who,
            other,
            dispatcher,
        } => format!("duplicate number {dispatcher}: {who} and {other}"),
        Finding::Below {
            dispatcher,
            version,
            below,
        } => format!("rejected operations of {dispatcher} under {version}: {below}"),
        Finding::Ahead { who, version, told } => format!("ahead {who}: {version} over {told}"),
        Finding::More {
            who,
            version,
            kind,
            seen,
            counted,
        } => {
            let kind = operation(*kind);
            format!("surplus {who} under {version}: {kind} {seen} over {counted}")
        }
        Finding::TwoDigests {
            who,
            other,
            version,
        } => format!("digests differ at {version}: {who} and {other}"),
    }
}

fn reported(rng: &mut Pcg64Mcg, dispatcher: u32) -> Told {
    let version = 6 + draw(rng, 3);
    Told {
        dispatcher: dispatcher - u32::from(dispatcher > 0 && draw(rng, 8) == 0),
        life: 100 + draw(rng, 2),
        version,
        digest: format!("d{}", version + 10 * (draw(rng, 6) / 5)),
        on_trial: draw(rng, 4) == 0,
        streams: draw(rng, 3) > 0,
        turned_down: (draw(rng, 3) == 0).then(|| (6 + draw(rng, 4), "split".into())),
        given_up: (0..draw(rng, 2)).map(|_| 6 + draw(rng, 4)).collect(),
        shut_out: draw(rng, 5) == 0,
        acts: (0..draw(rng, 4))
            .map(|_| ((6 + draw(rng, 3), kind(rng)), draw(rng, 9)))
            .collect(),
    }
}

fn observed(rng: &mut Pcg64Mcg) -> Acted {
    let seen = draw(rng, 9);
    Acted {
        dispatcher: draw(rng, 4) as u32,
        life: 100 + draw(rng, 2),
        version: 6 + draw(rng, 3),
        kind: kind(rng),
        seen,
        below: draw(rng, seen + 1) / 3,
    }
}

/// What an audit finds in fleets of four dispatchers and two nodes.
pub fn audits(out: &mut String) {
    let mut rng = generator(5);
    for step in 0..60 {
        let fleet: Vec<(String, Option<Told>)> = (0..4)
            .map(|own| {
                let answers = draw(&mut rng, 8) > 0;
                (
                    format!("d{own}"),
                    answers.then(|| reported(&mut rng, own as u32)),
                )
            })
            .collect();
        let nodes: Vec<(String, Option<Vec<Acted>>)> = (0..2)
            .map(|own| {
                let seen = (0..draw(&mut rng, 6)).map(|_| observed(&mut rng)).collect();
                (format!("n{own}"), (draw(&mut rng, 6) > 0).then_some(seen))
            })
            .collect();
        let found = findings(&fleet);
        for found in found.iter().chain(&node_findings(&fleet, &nodes)) {
            let _ = writeln!(out, "{step}: {}", finding(found));
        }
        for ((dispatcher, version), sum) in audit::acts(&nodes) {
            let audit::Acts {
                shots,
                others,
                below,
            } = sum;
            let _ = writeln!(
                out,
                "{step}: sums of {dispatcher} under {version}: {shots} {others} {below}"
            );
        }
    }
}

/// What a node counts of operations, and what a dispatcher remembers of its versions.
pub fn counts(out: &mut String) {
    let mut rng = generator(6);
    let mut seen = Seen::default();
    let mut record = Record::after(VecDeque::new());
    for step in 0..400 {
        let by = By {
            dispatcher: draw(&mut rng, 3) as u32,
            life: draw(&mut rng, 2),
            version: draw(&mut rng, 3),
        };
        let kind = kind(&mut rng);
        if draw(&mut rng, 4) == 0 {
            seen.turned_away(by, kind);
        } else {
            seen.saw(by, kind);
        }
        record.acts(step / 90, kind, draw(&mut rng, 5));
        record.began(Span {
            version: step,
            digest: format!("d{step}"),
            how: [How::File, How::Kept, How::Push, How::GaveUp, How::Brought]
                [draw(&mut rng, 5) as usize],
            life: step / 100,
            from_ms: 10 * step,
        });
    }
    for (by, kind, count) in seen.rows() {
        let kind = operation(kind);
        let _ = writeln!(
            out,
            "{} {} {} {kind}: {} of them rejected {}",
            by.dispatcher, by.life, by.version, count.seen, count.below
        );
    }
    for (version, kind, count) in record.by_version() {
        let _ = writeln!(out, "{version} {}: {count}", operation(kind));
    }
    let mut ways: BTreeMap<&str, u64> = BTreeMap::new();
    for span in record.spans() {
        let way = match span.how {
            How::File => "file",
            How::Kept => "kept",
            How::Push => "push",
            How::GaveUp => "rollback",
            How::Brought => "caught up",
        };
        *ways.entry(way).or_default() += span.version;
    }
    let first = record.spans().front().map(|span| span.version);
    let _ = writeln!(out, "{} from {first:?}: {ways:?}", record.spans().len());
}

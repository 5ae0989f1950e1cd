//! Compares the decisions of this package on inputs with fixed seeds, byte for byte, with the
//! transcripts in `tests/data`. The transcripts don't contain names of types, so that a rename does
//! not change them. If one differs, the new transcript is left in the build's temporary folder.

mod fencing;
mod raising;
mod reports;

use corkspan_version_fencing::MinimumVersion;
use corkspan_version_fencing::operations::OperationKind;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::path::Path;
use test_case::test_case;

const MEMBERS: usize = 3;

pub fn generator(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

pub fn draw(rng: &mut Pcg64Mcg, below: u64) -> u64 {
    rng.random_range(0..below)
}

pub fn minimum(rng: &mut Pcg64Mcg) -> MinimumVersion {
    MinimumVersion {
        revision: draw(rng, 6),
        proposer: draw(rng, 2),
        version: draw(rng, 8),
    }
}

/// Draws the replies of some quorum members, from few values so that majorities are frequent.
pub fn replies(rng: &mut Pcg64Mcg) -> Vec<Option<MinimumVersion>> {
    let common = minimum(rng);
    let reply = |rng: &mut Pcg64Mcg| match draw(rng, 5) {
        0 => None,
        1 => Some(minimum(rng)),
        _ => Some(common),
    };
    (0..draw(rng, 4)).map(|_| reply(rng)).collect()
}

pub fn format_minimum(minimum: Option<MinimumVersion>) -> String {
    minimum.map_or("-".into(), |minimum| {
        format!(
            "{}/{}/{}",
            minimum.revision, minimum.proposer, minimum.version
        )
    })
}

pub fn format_replies(replies: &[Option<MinimumVersion>]) -> String {
    let all: Vec<String> = replies.iter().map(|reply| format_minimum(*reply)).collect();
    format!("[{}]", all.join(" "))
}

pub fn operation(kind: OperationKind) -> &'static str {
    match kind {
        OperationKind::Attempt => "start",
        OperationKind::Attend => "attend",
        OperationKind::Stop => "stop",
        OperationKind::Migrate => "move",
        OperationKind::Claim => "claim",
    }
}

pub fn kind(rng: &mut Pcg64Mcg) -> OperationKind {
    OperationKind::ALL[draw(rng, 5) as usize]
}

#[test_case("fence", fencing::fence)]
#[test_case("gate", fencing::gate)]
#[test_case("raise", fencing::raise)]
#[test_case("policy", raising::policy)]
#[test_case("catch_up", raising::catch_up)]
#[test_case("audit", reports::audits)]
#[test_case("counts", reports::counts)]
fn decisions_match_the_recorded_transcript(name: &str, decide: fn(&mut String)) {
    let (mut decided, file) = (String::new(), format!("{name}.txt"));
    decide(&mut decided);
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let recorded = std::fs::read_to_string(data.join(&file)).unwrap_or_default();
    if decided == recorded {
        return;
    }
    let new_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(&file);
    std::fs::write(&new_file, &decided).expect("the temporary folder can be written");
    let pairs = decided.lines().zip(recorded.lines());
    let line = pairs
        .take_while(|(decided, recorded)| decided == recorded)
        .count();
    panic!(
        "{file} line {}: decided {:?}, recorded {:?}; new transcript in {}",
        line + 1,
        decided.lines().nth(line),
        recorded.lines().nth(line),
        new_file.display()
    );
}

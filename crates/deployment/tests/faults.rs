//! What is wrong with a file is told with its place and the part; what is right is read as it stands.

use corkspan::interface::*;
use corkspan_deployment::Deployment;
use test_case::test_case;

const SOUND: &str = r#"(deployment
  (listen "127.0.0.1:0")
  (roster "127.0.0.1:7000")
  (hall a) (number 1) (schedulers 3) (halls a b)
  (kinds (small (cores 8) (memory 16)))
  (tracks
    (web (repeat idempotent) (contract-time 600 ms))
    (jobs (repeat deduplicated) (within hall) (window 6 s) (contract-time 2.5 s) (kind small)
          (spread cell) (most 2)))
  (accounts (one (share-cores 10)) (two))
  (accepts (cores 2) (memory 1.5))
  (placed-when running)
  (cold (lasts 14 s) (window 1 s) (offers 29)))"#;

fn fault(from: &str, to: &str) -> String {
    assert!(SOUND.contains(from), "the text holds `{from}`");
    let fault = Deployment::read("d.sexp", &SOUND.replacen(from, to, 1)).map(drop);
    fault.expect_err("a fault").to_string()
}

#[test]
fn a_sound_file_is_read_as_it_stands() {
    let read = Deployment::read("d.sexp", SOUND).expect("sound");
    assert_eq!(read.tracks, ["web", "jobs"]);
    assert_eq!(read.cluster.number, 1);
    assert!(read.cluster.placed_runs);
    let jobs = &read.cluster.tracks[1];
    assert_eq!(jobs.contract_time, 25_000);
    assert_eq!(jobs.repeat, Repeat::Deduplicated { within: Some(Place::Hall), window: 60_000 });
    assert_eq!((jobs.kind, jobs.spread), (Some(KindId(0)), Some((Place::Cell, 2))));
    assert_eq!(read.cluster.accounts[0].share_cores, Some(10.0));
    assert_eq!(read.bounds, Default::default());
}

#[test_case("(kind small)", "(kind huge)", "d.sexp:8:", "jobs/kind: `huge` is none of: small"; "unknown kind")]
#[test_case("(hall a)", "(hall c)", "d.sexp:4:", "hall: `c` is none of: a, b"; "unknown hall")]
#[test_case("(cores 8)", "(cores -8)", "d.sexp:5:", "0 or more"; "negative amount")]
#[test_case("(cores 8)", "(cores 0)", "d.sexp:5:", "above 0"; "an amount of zero")]
#[test_case("(offers 29)", "(offers +inf.0)", "d.sexp:13:", "cold/offers"; "an amount without end")]
#[test_case("(jobs (", "(web (", "d.sexp:8:", "a second `web`"; "duplicate id")]
#[test_case("(halls a b)", "(halls a a)", "d.sexp:4:", "a second `a`"; "duplicate hall")]
#[test_case("(number 1)", "(number 3)", "d.sexp:4:", "beyond the 3 schedulers"; "number beyond the count")]
#[test_case("(window 6 s)", "(window 6 h)", "d.sexp:8:", "ms, s or min"; "unknown unit")]
#[test_case("(window 6 s)", "", "d.sexp:8:", "jobs: lacks `(window …)`"; "deduplicated without a window")]
#[test_case("(repeat idempotent)", "(repeat idempotent) (window 6 s)", "d.sexp:7:", "only beside"; "a window without use")]
#[test_case("(most 2)", "", "d.sexp:8:", "lacks `(most …)`"; "spread without a most")]
#[test_case("(listen \"127.0.0.1:0\")", "(listen \"here\")", "d.sexp:2:", "no address"; "no address")]
#[test_case("(placed-when running)", "(placed-when soon)", "d.sexp:12:", "none of: accepted, running"; "unknown word")]
#[test_case("(placed-when running)", "(placed-when running) (polish 3)", "d.sexp:12:", "unknown; known here"; "unknown part")]
#[test_case("(hall a)", "(hall a) (hall b)", "d.sexp:4:", "stands here twice"; "a part twice")]
#[test_case("(placed-when running)", "(placed-when running) (bounds (message 3))", "d.sexp:12:", "bounds/message"; "a bound out of range")]
#[test_case("(deployment", "(day", "d.sexp:1:", "`(deployment …)` must stand here"; "another file")]
#[test_case("(offers 29)))", "(offers 29))", "d.sexp:", "deployment"; "cut off")]
fn is_told_with_its_place(from: &str, to: &str, place: &str, why: &str) {
    let fault = fault(from, to);
    assert!(fault.starts_with(place), "{fault}");
    assert!(fault.contains(why), "{fault}");
}

#[test]
fn a_file_nested_without_end_is_no_panic() {
    let deep = "(".repeat(100_000);
    assert!(Deployment::read("d.sexp", &deep).is_err());
}

#[test]
fn a_missing_file_is_named() {
    let fault = Deployment::load(std::path::Path::new("no/such.sexp")).map(drop).expect_err("missing");
    assert!(fault.to_string().starts_with("no/such.sexp:1:1: file:"));
}

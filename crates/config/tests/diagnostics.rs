//! Errors in a file are reported with their positions and parts, and a valid file is parsed.

use corkspan_config::Deployment;
use corkspan_config::schema::{self, DocumentKind};
use corkspan_config::version::SharedParts;
use corkspan_scheduler::interface::*;
use proptest::prelude::*;
use std::time::{Duration, Instant};
use test_case::test_case;

const VALID: &str = r#"(deployment
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
    assert!(VALID.contains(from), "the text holds `{from}`");
    let fault = Deployment::parse("d.sexp", &VALID.replacen(from, to, 1)).map(drop);
    fault.expect_err("a fault").to_string()
}

#[test]
fn a_valid_file_is_read() {
    let read = Deployment::parse("d.sexp", VALID).expect("valid");
    assert_eq!(read.service_classes, ["web", "jobs"]);
    assert_eq!(read.cluster.scheduler_index, 1);
    assert!(read.cluster.placed_means_running);
    let jobs = &read.cluster.service_classes[1];
    assert_eq!(jobs.latency_objective, 25_000);
    assert_eq!(
        jobs.retry_safety,
        RetrySafety::Deduplicated {
            scope: Some(Domain::Zone),
            window: 60_000
        }
    );
    assert_eq!(
        (jobs.machine_type, jobs.spread),
        (Some(MachineTypeId(0)), Some((Domain::Cell, 2)))
    );
    assert_eq!(read.cluster.tenants[0].quota_cores, Some(10.0));
    assert_eq!(read.limits, Default::default());
}

#[test_case("(kind small)", "(kind huge)", "d.sexp:8:88: ", "tracks/jobs/kind: `huge` is none of: small"; "unknown kind")]
#[test_case("(hall a)", "(hall c)", "d.sexp:4:9: ", "hall: `c` is none of: a, b"; "unknown hall")]
#[test_case("(cores 8)", "(cores -8)", "d.sexp:5:", "kinds/small/cores: must be above 0"; "negative amount")]
#[test_case("(cores 8)", "(cores 0)", "d.sexp:5:", "above 0"; "an amount of zero")]
#[test_case("(offers 29)", "(offers +inf.0)", "d.sexp:13:", "cold/offers"; "an amount without end")]
#[test_case("(jobs (", "(web (", "d.sexp:8:", "tracks/web: stands here twice"; "duplicate id")]
#[test_case("(halls a b)", "(halls a a)", "d.sexp:4:", "halls: names one twice"; "duplicate hall")]
#[test_case("(number 1)", "(number 3)", "d.sexp:4:", "beyond the 3 schedulers"; "number beyond the count")]
#[test_case("(window 6 s)", "(window 6 h)", "d.sexp:8:", "ms, s, min"; "unknown unit")]
#[test_case("(window 6 s)", "", "d.sexp:8:", "tracks/jobs: lacks `(window …)`"; "deduplicated without a window")]
#[test_case("(repeat idempotent)", "(repeat idempotent) (window 6 s)", "d.sexp:7:", "only beside"; "a window without use")]
#[test_case("(most 2)", "", "d.sexp:8:", "lacks `(most …)`"; "spread without a most")]
#[test_case("(listen \"127.0.0.1:0\")", "(listen \"here\")", "d.sexp:2:", "no address"; "no address")]
#[test_case("(placed-when running)", "(placed-when soon)", "d.sexp:12:", "one of: accepted, running"; "unknown word")]
#[test_case("(placed-when running)", "(placed-when running) (polish 3)", "d.sexp:12:", "polish: unknown here"; "unknown part")]
#[test_case("(hall a)", "(hall a) (hall b)", "d.sexp:4:", "stands here twice"; "a part twice")]
#[test_case("(placed-when running)", "(placed-when running) (bounds (message 3))", "d.sexp:12:", "bounds/message"; "a bound out of range")]
#[test_case("(deployment", "(day", "d.sexp:1:", "`(deployment …)` must stand here"; "another file")]
#[test_case("(offers 29)))", "(offers 29))", "d.sexp:13:", "EOF"; "cut off")]
fn an_invalid_file_is_reported_with_its_position(from: &str, to: &str, place: &str, why: &str) {
    let fault = fault(from, to);
    assert!(fault.starts_with(place), "{fault}");
    assert!(fault.contains(why), "{fault}");
}

#[test]
fn an_endlessly_nested_file_does_not_panic() {
    let deep = "(".repeat(100_000);
    assert!(Deployment::parse("d.sexp", &deep).is_err());
}

#[test]
fn a_missing_file_is_reported_by_name() {
    let fault = Deployment::load(std::path::Path::new("no/such.sexp"))
        .map(drop)
        .expect_err("missing");
    assert!(fault.to_string().starts_with("no/such.sexp:1:1: file:"));
}

#[test]
fn all_errors_are_reported_at_once_in_the_order_of_the_text() {
    let text = VALID
        .replace("(cores 8)", "(cores -8)")
        .replace("(window 6 s)", "(window 6 h)");
    let text = text
        .replace("(hall a)", "(hall z)")
        .replace("(offers 29)", "(polish)");
    let faults = Deployment::parse("d.sexp", &text)
        .map(drop)
        .expect_err("faults")
        .reported;
    let told: Vec<(usize, &str)> = faults
        .iter()
        .map(|fault| (fault.line, &fault.path[..]))
        .collect();
    let wanted = [
        (4, "hall"),
        (5, "kinds/small/cores"),
        (8, "tracks/jobs/window"),
        (13, "cold"),
        (13, "cold/polish"),
    ];
    assert_eq!(told, wanted);
}

fn shared() -> SharedParts {
    SharedParts::parse("d.sexp", VALID).expect("valid")
}

fn version(changes: &str) -> SharedParts {
    let changes = SharedParts::parse("v", &format!("(deployment {changes})")).expect("a form");
    shared().with_changes(&changes, &[])
}

#[test]
fn a_version_changes_the_shared_parts_and_leaves_the_rest() {
    let file = Deployment::parse("d.sexp", VALID).expect("valid");
    let changed = file
        .with_version("v2", &version("(shots 5) (allow \"10.0.0.0/8\" \"::1\")"))
        .expect("valid");
    assert_eq!(
        (
            changed.cluster.max_attempts,
            changed.cluster.scheduler_index,
            changed.listen
        ),
        (5, 1, file.listen)
    );
    let allows = |text: &str| changed.allows_client(text.parse().expect("an address"));
    assert!(
        allows("10.9.8.7") && allows("::1") && allows("::ffff:10.0.0.1") && !allows("127.0.0.1")
    );
    assert!(file.allows_client("127.0.0.1".parse().expect("an address")));
    let back = changed.with_version("v3", &shared()).expect("valid");
    assert_eq!(
        (back.cluster.max_attempts, back.shared_parts.digest()),
        (3, file.shared_parts.digest())
    );
}

#[test_case("(allow \"10.0.0.0/40\")", "no address and no network"; "a network that is none")]
#[test_case("(halls b)", "lacks `a`, where this one is"; "its own hall gone")]
#[test_case("(tracks)", "tracks"; "no tracks")]
fn an_invalid_version_is_reported_with_its_reason(changes: &str, why: &str) {
    let file = Deployment::parse("d.sexp", VALID).expect("valid");
    let fault = file
        .with_version("v2", &version(changes))
        .map(drop)
        .expect_err("a fault")
        .to_string();
    assert!(fault.starts_with("v2:") && fault.contains(why), "{fault}");
}

#[test]
fn a_local_part_in_a_version_is_rejected() {
    let texts = shared().with_changes(
        &[("number".to_string(), "(number 7)".to_string())]
            .into_iter()
            .collect(),
        &[],
    );
    let file = Deployment::parse("d.sexp", VALID).expect("valid");
    let fault = file
        .with_version("v2", &texts)
        .map(drop)
        .expect_err("a fault")
        .to_string();
    assert!(
        fault.contains("number: is each dispatcher's own"),
        "{fault}"
    );
}

#[test_case("(cold (lasts 1 s) (window 1 s) (offers 2))", "`(shots …)` must stand here"; "another part")]
#[test_case("(shots 3) (may-probe #t)", "trailing"; "two parts")]
#[test_case("(shots", "EOF"; "half a part")]
fn a_part_under_another_name_is_rejected(text: &str, why: &str) {
    let texts = shared().with_changes(
        &[("shots".to_string(), text.to_string())]
            .into_iter()
            .collect(),
        &[],
    );
    let file = Deployment::parse("d.sexp", VALID).expect("valid");
    let fault = file
        .with_version("v2", &texts)
        .map(drop)
        .expect_err("a fault")
        .to_string();
    assert!(
        fault.starts_with("v2, shots:1:") && fault.contains(why),
        "{fault}"
    );
}

#[test]
fn a_digest_depends_on_content_and_not_on_layout() {
    let spaced = VALID.replace(" (", "   ; a comment\n (");
    let of = |text: &str| SharedParts::parse("d", text).expect("valid").digest();
    assert_eq!(of(VALID), of(&spaced));
    assert_ne!(of(VALID), of(&VALID.replace("(offers 29)", "(offers 28)")));
    // The digest does not depend on local parts.
    assert_eq!(of(VALID), of(&VALID.replace("(number 1)", "(number 2)")));
}

#[test]
fn applying_the_difference_of_two_versions_gives_the_later() {
    let (one, other) = (
        version("(shots 5) (makes-room #t)"),
        version("(shots 7) (may-probe #t)"),
    );
    let (changes, removed) = one.changes_to(&other);
    assert_eq!(one.with_changes(&changes, &removed), other);
    assert_eq!(
        (changes.iter().count(), removed),
        (2, vec!["makes-room".to_string()])
    );
}

#[test_case("(a)"; "parts without end")]
#[test_case("(tracks (a (repeat idempotent)))"; "tracks without end")]
#[test_case("x "; "words without end")]
#[test_case("((("; "lists without end")]
#[test_case("\\"; "an escape without end")]
fn four_megabytes_of_one_piece_are_refused_in_bounded_time(piece: &str) {
    let began = Instant::now();
    let text = format!("(deployment {})", piece.repeat((4 << 20) / piece.len() - 8));
    let faults = Deployment::parse("d.sexp", &text)
        .map(drop)
        .expect_err("faults");
    assert!(
        faults.reported.len() <= 50,
        "{} faults",
        faults.reported.len()
    );
    // Takes some tenths of a second; a check in quadratic time would take hours.
    assert!(
        began.elapsed() < Duration::from_secs(60),
        "{:?}",
        began.elapsed()
    );
    assert!(
        Deployment::parse("d.sexp", &"(a".repeat(3 << 20)).is_err(),
        "5 MB and more"
    );
}

#[test]
fn the_largest_number_of_values_is_read_on_a_small_stack() {
    let accounts: String = (0..9_900)
        .map(|number| format!("(a{number} (share-cores 1)) "))
        .collect();
    let text = VALID.replace("(accounts ", &format!("(accounts {accounts}"));
    let read = std::thread::Builder::new().stack_size(1 << 20);
    let read =
        read.spawn(move || Deployment::parse("d.sexp", &text).map(|read| read.tenants.len()));
    assert_eq!(
        read.expect("a thread").join().expect("no overflow"),
        Ok(9_902)
    );
    let words = format!("(deployment (halls {}))", "x ".repeat(79_000));
    let thread = std::thread::Builder::new();
    let read = thread.spawn(move || Deployment::parse("d.sexp", &words).is_err());
    assert!(read.expect("a thread").join().expect("no overflow"));
}

/// Generates fragments of texts that are nearly valid.
fn piece() -> impl Strategy<Value = String> {
    let words = "[\\[(){}\"'`;#.a-z0-9 +-]{0,6}";
    prop_oneof![
        3 => prop::sample::select(VALID.split_inclusive([' ', ')']).map(String::from).collect::<Vec<_>>()),
        1 => words.prop_map(String::from),
        1 => Just("(tracks (w (repeat unrepeatable) (contract-time 1e400 s)))".to_string()),
        1 => any::<f64>().prop_map(|value| format!("(cores {value:?})")),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_text_makes_the_reader_panic_and_what_the_reader_takes_the_schema_takes(
        pieces in prop::collection::vec(piece(), 0..30),
        at in 0..VALID.len(),
        cut in 0..40usize,
    ) {
        let put_together: String = pieces.concat();
        let end = (at + cut).min(VALID.len());
        let mended = format!("{}{put_together}{}", &VALID[..at], &VALID[end..]);
        for text in [put_together, mended] {
            let read = Deployment::parse("d.sexp", &text);
            let checked = schema::check(DocumentKind::File, "d.sexp", &text);
            if let Err(faults) = &read {
                prop_assert!(!faults.reported.is_empty());
            }
            // The parser may reject more than the schema, such as a symbol in place of a string, but
            // never less.
            prop_assert!(checked.is_ok() || read.is_err());
            let file = Deployment::parse("d.sexp", VALID).expect("valid");
            if let Ok(texts) = SharedParts::parse("v", &text) {
                let _ = file.with_version("v", &texts);
            }
        }
    }
}

#[test_case("(floor (every 10 ms))", "1000 ms or more"; "asked too often")]
#[test_case("(floor (each 2 s))", "each"; "a word that is none")]
#[test_case("(floor 2)", "floor"; "no form")]
fn an_invalid_minimum_version_form_is_reported_with_its_position(part: &str, why: &str) {
    let text = VALID
        .trim_end()
        .strip_suffix(')')
        .expect("a form")
        .to_string()
        + part
        + ")";
    let fault = Deployment::parse("d.sexp", &text)
        .map(drop)
        .expect_err("a fault")
        .to_string();
    assert!(
        fault.starts_with("d.sexp:") && fault.contains(why),
        "{fault}"
    );
}

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

fn error_after_replacement(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "the text contains `{from}`");
    let parsed = Deployment::parse("d.sexp", &VALID.replacen(from, to, 1)).map(drop);
    parsed.expect_err("an error").to_string()
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

#[test_case("(kind small)", "(kind huge)", "d.sexp:8:88: ", "tracks/jobs/kind: `huge` is not one of: small"; "unknown machine type")]
#[test_case("(hall a)", "(hall c)", "d.sexp:4:9: ", "hall: `c` is not one of: a, b"; "unknown zone")]
#[test_case("(cores 8)", "(cores -8)", "d.sexp:5:", "kinds/small/cores: must be above 0"; "negative amount")]
#[test_case("(cores 8)", "(cores 0)", "d.sexp:5:", "above 0"; "an amount of zero")]
#[test_case("(offers 29)", "(offers +inf.0)", "d.sexp:13:", "cold/offers"; "an infinite amount")]
#[test_case("(jobs (", "(web (", "d.sexp:8:", "tracks/web: is given twice"; "duplicate id")]
#[test_case("(halls a b)", "(halls a a)", "d.sexp:4:", "halls: must not repeat a value"; "duplicate zone")]
#[test_case("(number 1)", "(number 3)", "d.sexp:4:", "out of range for 3 schedulers"; "number out of range")]
#[test_case("(window 6 s)", "(window 6 h)", "d.sexp:8:", "ms, s, min"; "unknown unit")]
#[test_case("(window 6 s)", "", "d.sexp:8:", "tracks/jobs: lacks `(window …)`"; "deduplicated without a window")]
#[test_case("(repeat idempotent)", "(repeat idempotent) (window 6 s)", "d.sexp:7:", "only valid with"; "a window without deduplication")]
#[test_case("(most 2)", "", "d.sexp:8:", "lacks `(most …)`"; "spread without its limit")]
#[test_case("(listen \"127.0.0.1:0\")", "(listen \"here\")", "d.sexp:2:", "not an address"; "an invalid address")]
#[test_case("(placed-when running)", "(placed-when soon)", "d.sexp:12:", "one of: accepted, running"; "unknown symbol")]
#[test_case("(placed-when running)", "(placed-when running) (polish 3)", "d.sexp:12:", "polish: unknown here"; "unknown part")]
#[test_case("(hall a)", "(hall a) (hall b)", "d.sexp:4:", "is given twice"; "a repeated part")]
#[test_case("(placed-when running)", "(placed-when running) (bounds (message 3))", "d.sexp:12:", "bounds/message"; "a limit out of range")]
#[test_case("(deployment", "(day", "d.sexp:1:", "`(deployment …)` is expected here"; "a file of another format")]
#[test_case("(offers 29)))", "(offers 29))", "d.sexp:13:", "EOF"; "a truncated file")]
fn an_invalid_file_is_reported_with_its_position(
    from: &str,
    to: &str,
    position: &str,
    reason: &str,
) {
    let error = error_after_replacement(from, to);
    assert!(error.starts_with(position), "{error}");
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_deeply_nested_file_does_not_panic() {
    let deep = "(".repeat(100_000);
    assert!(Deployment::parse("d.sexp", &deep).is_err());
}

#[test]
fn a_missing_file_is_reported_by_name() {
    let error = Deployment::load(std::path::Path::new("no/such.sexp"))
        .map(drop)
        .expect_err("missing");
    assert!(error.to_string().starts_with("no/such.sexp:1:1: file:"));
}

#[test]
fn all_errors_are_reported_at_once_in_the_order_of_the_text() {
    let text = VALID
        .replace("(cores 8)", "(cores -8)")
        .replace("(window 6 s)", "(window 6 h)");
    let text = text
        .replace("(hall a)", "(hall z)")
        .replace("(offers 29)", "(polish)");
    let diagnostics = Deployment::parse("d.sexp", &text)
        .map(drop)
        .expect_err("errors")
        .reported;
    let reported: Vec<(usize, &str)> = diagnostics
        .iter()
        .map(|diagnostic| (diagnostic.line, &diagnostic.path[..]))
        .collect();
    let expected = [
        (4, "hall"),
        (5, "kinds/small/cores"),
        (8, "tracks/jobs/window"),
        (13, "cold"),
        (13, "cold/polish"),
    ];
    assert_eq!(reported, expected);
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
    let restored = changed.with_version("v3", &shared()).expect("valid");
    assert_eq!(
        (
            restored.cluster.max_attempts,
            restored.shared_parts.digest()
        ),
        (3, file.shared_parts.digest())
    );
}

#[test_case("(allow \"10.0.0.0/40\")", "neither an address nor a network"; "an invalid network")]
#[test_case("(halls b)", "lacks this dispatcher's `a`"; "the zone of the dispatcher removed")]
#[test_case("(tracks)", "tracks"; "no service classes")]
fn an_invalid_version_is_reported_with_its_reason(changes: &str, reason: &str) {
    let file = Deployment::parse("d.sexp", VALID).expect("valid");
    let error = file
        .with_version("v2", &version(changes))
        .map(drop)
        .expect_err("an error")
        .to_string();
    assert!(
        error.starts_with("v2:") && error.contains(reason),
        "{error}"
    );
}

#[test]
fn a_local_part_in_a_version_is_rejected() {
    let parts = shared().with_changes(
        &[("number".to_string(), "(number 7)".to_string())]
            .into_iter()
            .collect(),
        &[],
    );
    let file = Deployment::parse("d.sexp", VALID).expect("valid");
    let error = file
        .with_version("v2", &parts)
        .map(drop)
        .expect_err("an error")
        .to_string();
    assert!(
        error.contains("number: is each dispatcher's own"),
        "{error}"
    );
}

#[test_case("(cold (lasts 1 s) (window 1 s) (offers 2))", "`(shots …)` is expected here"; "another part")]
#[test_case("(shots 3) (may-probe #t)", "trailing"; "two parts")]
#[test_case("(shots", "EOF"; "half a part")]
fn a_part_under_another_name_is_rejected(text: &str, reason: &str) {
    let parts = shared().with_changes(
        &[("shots".to_string(), text.to_string())]
            .into_iter()
            .collect(),
        &[],
    );
    let file = Deployment::parse("d.sexp", VALID).expect("valid");
    let error = file
        .with_version("v2", &parts)
        .map(drop)
        .expect_err("an error")
        .to_string();
    assert!(
        error.starts_with("v2, shots:1:") && error.contains(reason),
        "{error}"
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
fn applying_the_difference_of_two_versions_gives_the_later_version() {
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

#[test_case("(a)"; "repeated parts")]
#[test_case("(tracks (a (repeat idempotent)))"; "repeated service classes")]
#[test_case("x "; "repeated symbols")]
#[test_case("((("; "unclosed lists")]
#[test_case("\\"; "repeated escapes")]
fn four_megabytes_of_a_repeated_text_are_rejected_in_bounded_time(text_unit: &str) {
    let start = Instant::now();
    let text = format!(
        "(deployment {})",
        text_unit.repeat((4 << 20) / text_unit.len() - 8)
    );
    let diagnostics = Deployment::parse("d.sexp", &text)
        .map(drop)
        .expect_err("errors");
    assert!(
        diagnostics.reported.len() <= 50,
        "{} errors",
        diagnostics.reported.len()
    );
    // Takes some tenths of a second; a check in quadratic time would take hours.
    assert!(
        start.elapsed() < Duration::from_secs(60),
        "{:?}",
        start.elapsed()
    );
    assert!(
        Deployment::parse("d.sexp", &"(a".repeat(3 << 20)).is_err(),
        "6 MB, more than the limit"
    );
}

#[test]
fn the_largest_number_of_values_is_read_on_a_small_stack() {
    let tenants: String = (0..9_900)
        .map(|number| format!("(a{number} (share-cores 1)) "))
        .collect();
    let text = VALID.replace("(accounts ", &format!("(accounts {tenants}"));
    let read = std::thread::Builder::new().stack_size(1 << 20);
    let read =
        read.spawn(move || Deployment::parse("d.sexp", &text).map(|read| read.tenants.len()));
    assert_eq!(
        read.expect("a thread").join().expect("no overflow"),
        Ok(9_902)
    );
    let zones_only = format!("(deployment (halls {}))", "x ".repeat(79_000));
    let thread = std::thread::Builder::new();
    let read = thread.spawn(move || Deployment::parse("d.sexp", &zones_only).is_err());
    assert!(read.expect("a thread").join().expect("no overflow"));
}

/// Generates fragments of texts that are nearly valid.
fn fragment() -> impl Strategy<Value = String> {
    let characters = "[\\[(){}\"'`;#.a-z0-9 +-]{0,6}";
    prop_oneof![
        3 => prop::sample::select(VALID.split_inclusive([' ', ')']).map(String::from).collect::<Vec<_>>()),
        1 => characters.prop_map(String::from),
        1 => Just("(tracks (w (repeat unrepeatable) (contract-time 1e400 s)))".to_string()),
        1 => any::<f64>().prop_map(|value| format!("(cores {value:?})")),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_parser_never_panics_and_every_text_that_it_accepts_passes_the_schema(
        fragments in prop::collection::vec(fragment(), 0..30),
        start in 0..VALID.len(),
        removed_length in 0..40usize,
    ) {
        let concatenated: String = fragments.concat();
        let end = (start + removed_length).min(VALID.len());
        let spliced = format!("{}{concatenated}{}", &VALID[..start], &VALID[end..]);
        for text in [concatenated, spliced] {
            let read = Deployment::parse("d.sexp", &text);
            let checked = schema::check(DocumentKind::File, "d.sexp", &text);
            if let Err(diagnostics) = &read {
                prop_assert!(!diagnostics.reported.is_empty());
            }
            // The parser may reject more than the schema, such as a symbol in place of a string,
            // but never less.
            prop_assert!(checked.is_ok() || read.is_err());
            let file = Deployment::parse("d.sexp", VALID).expect("valid");
            if let Ok(parts) = SharedParts::parse("v", &text) {
                let _ = file.with_version("v", &parts);
            }
        }
    }
}

#[test_case("(floor (every 10 ms))", "1000 ms or more"; "polled too often")]
#[test_case("(floor (each 2 s))", "each"; "an unknown keyword")]
#[test_case("(floor 2)", "floor"; "a number in place of a form")]
fn an_invalid_minimum_version_form_is_reported_with_its_position(part: &str, reason: &str) {
    let text = VALID
        .trim_end()
        .strip_suffix(')')
        .expect("a form")
        .to_string()
        + part
        + ")";
    let error = Deployment::parse("d.sexp", &text)
        .map(drop)
        .expect_err("an error")
        .to_string();
    assert!(
        error.starts_with("d.sexp:") && error.contains(reason),
        "{error}"
    );
}

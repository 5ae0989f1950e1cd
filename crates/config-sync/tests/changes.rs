//! Changes from one deployment to the next: which are violations, and which ids are kept.

use corkspan_config::Deployment;
use corkspan_config::version::SharedParts;
use corkspan_config_sync::{compatibility, stable_ids};
use corkspan_scheduler::interface::*;
use test_case::test_case;

const FILE: &str = r#"(deployment (listen "127.0.0.1:0") (roster "127.0.0.1:7000") (hall a) (number 1)
  (schedulers 3) (halls a b) (kinds (small (cores 8) (memory 16)))
  (tracks (web (repeat idempotent) (contract-time 600 ms)) (once (repeat unrepeatable) (contract-time 1 s)))
  (accounts (one (share-cores 10)) (two)) (accepts (cores 2) (memory 1.5)) (placed-when running)
  (cold (lasts 14 s) (window 1 s) (offers 29)))"#;

fn file() -> Deployment {
    Deployment::parse("d", FILE).unwrap_or_else(|reason| panic!("{reason}"))
}

fn next(from: &str, to: &str) -> Deployment {
    assert!(FILE.contains(from));
    let texts = SharedParts::parse("v", &FILE.replace(from, to)).expect("the file is valid");
    file()
        .with_version("v", &texts)
        .unwrap_or_else(|reason| panic!("{reason}"))
}

#[test_case("(offers 29)", "(offers 10)", "cold/offers: cut from 29 to 10"; "slow start")]
#[test_case("(share-cores 10)", "(share-cores 4)", "accounts/one: cut"; "a quota")]
#[test_case("(two)", "(two (share-cores 4))", ""; "a quota where there was none")]
#[test_case("(one (share-cores 10)) ", "", "accounts/one: cut"; "a removed tenant")]
#[test_case("(cores 2)", "(cores 0.2)", "accepts/cores: cut"; "a misplaced decimal point")]
#[test_case("(cores 2)", "(cores 1)", ""; "half is allowed")]
fn deep_cuts_of_limits_need_the_authors_intent(from: &str, to: &str, reason: &str) {
    let next = next(from, to);
    let found = compatibility::violations(&file(), &next, false, |_| 0);
    assert_eq!(
        found
            .first()
            .map_or("", |found| &found[..reason.len().min(found.len())]),
        reason
    );
    assert_eq!(
        compatibility::violations(&file(), &next, true, |_| 0),
        [""; 0]
    );
}

#[test_case("(schedulers 3)", "(schedulers 4)", "schedulers: a change needs a restart"; "the number of schedulers")]
#[test_case("(cores 8)", "(cores 9)", "kinds: a change needs a restart"; "a machine type")]
#[test_case("(placed-when running)", "(placed-when accepted)", "placed-when: a change needs a restart"; "the meaning of placed")]
fn a_change_that_needs_a_restart_is_a_violation(from: &str, to: &str, reason: &str) {
    assert_eq!(
        compatibility::violations(&file(), &next(from, to), true, |_| 0),
        [reason]
    );
}

#[test]
fn ids_stay_with_their_names_in_any_order() {
    let tracks = "(tracks (once (repeat unrepeatable) (contract-time 1 s)) (new (repeat idempotent) (contract-time 1 s)) (web (repeat idempotent) (contract-time 700 ms)))";
    let from = &FILE[FILE.find("(tracks").expect("the file has this part")
        ..FILE.find("\n  (accounts").expect("the file has this part")];
    let ids = stable_ids::assign(&file(), next(from, tracks), |_| 1).expect("ids are left");
    assert_eq!(ids.service_classes, ["web", "once", "new"]);
    assert_eq!(ids.cluster.service_classes[0].latency_objective, 7_000);
}

#[test]
fn a_class_whose_retry_safety_changes_gets_a_new_id_and_its_allocations_keep_the_old() {
    let loose = next("(once (repeat unrepeatable)", "(once (repeat idempotent)");
    let ids = stable_ids::assign(&file(), loose, |class| {
        usize::from(class == ServiceClassId(1))
    })
    .expect("ids are left");
    assert_eq!(ids.service_classes, ["web", "", "once"]);
    assert_eq!(
        ids.cluster.service_classes[1].retry_safety,
        RetrySafety::NotRetryable
    );
    assert_eq!(
        ids.cluster.service_classes[2].retry_safety,
        RetrySafety::Idempotent
    );
    // Once no allocation uses it, the row is reused.
    let strict = next("(accepts", "(accepts");
    let ids = stable_ids::assign(&ids, strict, |class| {
        usize::from(class == ServiceClassId(2))
    })
    .expect("ids are left");
    assert_eq!(ids.service_classes, ["web", "once", ""]);
}

#[test]
fn a_removed_tenant_keeps_its_row_with_a_quota_of_zero() {
    let ids = stable_ids::assign(&file(), next("(one (share-cores 10)) ", ""), |_| 0)
        .expect("ids are left");
    assert_eq!(
        (&ids.tenants[..], ids.cluster.tenants[0].quota_cores),
        (&["".into(), "two".into()][..], Some(0.0))
    );
}

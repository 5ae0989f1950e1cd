//! The differences between one deployment and the next, the violations, and the ids that are kept.

use crate::transcript::*;
use corkspan_config::Deployment;
use corkspan_config::version::SharedParts;
use corkspan_config_sync::{compatibility, differences, stable_ids};
use corkspan_scheduler::interface::{Cluster, RetrySafety, ServiceClassId};
use std::fmt::Write;

pub const FILE: &str = include_str!("../data/deployment.sexp");

/// Replacements in the file, one next version per line: `old => new`, or several of these separated
/// by `&&`.
const EDITS: &str = include_str!("../data/edits.txt");

fn next_versions(file: &Deployment) -> Vec<(&'static str, Deployment)> {
    let edits = EDITS.lines().filter(|line| !line.is_empty());
    let next = edits.map(|edit| {
        let mut text = FILE.to_string();
        for step in edit.split("&&") {
            let (from, to) = step
                .split_once("=>")
                .expect("an edit is written as old => new");
            assert!(text.contains(from.trim()), "the file lacks `{from}`");
            text = text.replace(from.trim(), to.trim());
        }
        let texts = SharedParts::parse("v", &text).unwrap_or_else(|why| panic!("{edit}: {why}"));
        let next = file
            .with_version("v", &texts)
            .unwrap_or_else(|why| panic!("{edit}: {why}"));
        (edit, next)
    });
    next.collect()
}

#[test]
fn changes_between_deployments() {
    let mut out = String::new();
    let file = Deployment::parse("d", FILE).unwrap_or_else(|why| panic!("{why}"));
    let mut current = file.clone();
    for (edit, next) in next_versions(&file) {
        writeln!(out, "edit {edit}").unwrap();
        for (cuts, in_use) in [(false, 0), (true, 0), (false, 3)] {
            for violation in compatibility::violations(&file, &next, cuts, |_| in_use) {
                writeln!(out, "  obstacle, cuts {cuts}, {in_use} in use: {violation}").unwrap();
            }
        }
        for difference in differences::describe(&file, &next) {
            writeln!(out, "  differs: {difference}").unwrap();
        }
        let odd = |id: ServiceClassId| id.0 % 2;
        let assigned = stable_ids::assign(&file, next.clone(), odd).expect("ids are left");
        writeln!(out, "  ids {}", ids_of(&assigned)).unwrap();
        current = stable_ids::assign(&current, next, odd).expect("ids are left");
        writeln!(out, "  ids in a row {}", ids_of(&current)).unwrap();
    }
    compare("changes.txt", &out);
}

/// More names are added than there are rows.
#[test]
fn too_many_names_are_rejected() {
    let file = Deployment::parse("d", FILE).unwrap_or_else(|why| panic!("{why}"));
    let with_rows = |rows: usize| {
        let names = (0..rows).map(|row| format!("x{row}")).collect();
        let classes = vec![file.cluster.service_classes[0].clone(); rows];
        let cluster = Cluster {
            service_classes: classes,
            ..file.cluster.clone()
        };
        Deployment {
            cluster,
            service_classes: names,
            ..file.clone()
        }
    };
    let fits = |rows| stable_ids::assign(&with_rows(rows), file.clone(), |_| 1).is_ok();
    let known = file.service_classes.len();
    assert!(fits(20_000 - known) && !fits(20_001 - known));
}

fn ids_of(deployment: &Deployment) -> String {
    let classes = std::iter::zip(
        &deployment.service_classes,
        &deployment.cluster.service_classes,
    );
    let classes = classes.map(|(name, class)| {
        let retry_safety_text = match &class.retry_safety {
            RetrySafety::Idempotent => "idempotent".to_string(),
            RetrySafety::Deduplicated { window, .. } => format!("deduplicated for {window}"),
            RetrySafety::NotRetryable => "unrepeatable".to_string(),
        };
        format!("{name:?} {retry_safety_text} {}", class.latency_objective)
    });
    let classes: Vec<String> = classes.collect();
    let tenants = std::iter::zip(&deployment.tenants, &deployment.cluster.tenants);
    let tenants = tenants.map(|(name, tenant)| format!("{name:?} {:?}", tenant.quota_cores));
    let tenants: Vec<String> = tenants.collect();
    format!("{} | {}", classes.join(", "), tenants.join(", "))
}

//! Checks that the released format of the deployment file is still accepted.
//! `data/every-keyword.sexp` uses every keyword, and `data/every-keyword.txt` is what the released
//! program parsed from it. Each file in `data/refused` must be rejected with the messages in the
//! `.txt` file next to it. The schema must have the recorded keys, types and limits.

use corkspan_config::Deployment;
use corkspan_config::schema::{self, DocumentKind};
use corkspan_config::version::SharedParts;
use corkspan_scheduler::interface::{Domain, RetrySafety};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};

const FILE: &str = include_str!("data/every-keyword.sexp");
const VERSION: &str = include_str!("data/version.sexp");

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

fn recorded(name: &str) -> String {
    std::fs::read_to_string(data(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn domain_keyword(domain: Domain) -> &'static str {
    match domain {
        Domain::Machine => "machine",
        Domain::Cell => "cell",
        Domain::Zone => "hall",
    }
}

/// Formats the parsed configuration by the keywords of the file. Times are in ticks of 0.1 ms.
fn content(read: &Deployment) -> String {
    let mut text = String::new();
    let mut line =
        |keyword: &str, value: String| writeln!(text, "{keyword}: {value}").expect("text");
    line("listen", read.listen.to_string());
    line("roster", read.discovery_service.to_string());
    line("remembered", format!("{:?}", read.endpoint_cache));
    let quorum_members: Vec<u32> = read.quorum_members.iter().map(|id| id.0).collect();
    line("keepers", format!("{quorum_members:?}"));
    line("rolls", format!("{:?}", read.rollout_store));
    line("control", format!("{:?}", read.control_services));
    line("versions", format!("{:?}", read.version_cache));
    if let Some(settings) = &read.minimum_version {
        line("floor/every", settings.poll_interval.to_string());
        line(
            "floor/behind",
            format!("{:?}", settings.max_versions_behind),
        );
        line("floor/after", format!("{:?}", settings.max_age));
        line("floor/part", settings.required_thousandths.to_string());
        line("floor/peers", format!("{:?}", settings.peers));
    }
    line(
        "maintenance/every",
        format!("{:?}", read.maintenance_interval),
    );
    line("seed", read.seed.to_string());
    let cluster = &read.cluster;
    line("hall", read.zones[cluster.zone.0].clone());
    line("number", cluster.scheduler_index.to_string());
    line("schedulers", cluster.scheduler_count.to_string());
    line("halls", read.zones.join(" "));
    for (name, machine_type) in read.machine_types.iter().zip(&cluster.machine_types) {
        line(
            &format!("kinds/{name}"),
            format!("{} {}", machine_type.cores, machine_type.memory),
        );
    }
    for (name, service_class) in read.service_classes.iter().zip(&cluster.service_classes) {
        let retry_safety = match service_class.retry_safety {
            RetrySafety::Idempotent => "idempotent".to_string(),
            RetrySafety::Deduplicated { scope, window } => {
                format!(
                    "deduplicated within {:?} window {window}",
                    scope.map(domain_keyword)
                )
            }
            RetrySafety::NotRetryable => "unrepeatable".to_string(),
        };
        line(&format!("tracks/{name}/repeat"), retry_safety);
        line(
            &format!("tracks/{name}/contract-time"),
            service_class.latency_objective.to_string(),
        );
        line(
            &format!("tracks/{name}/calm"),
            service_class.target_utilization.to_string(),
        );
        line(
            &format!("tracks/{name}/priority"),
            service_class.priority.to_string(),
        );
        let machine_type = service_class
            .machine_type
            .map(|id| &read.machine_types[id.0]);
        line(&format!("tracks/{name}/kind"), format!("{machine_type:?}"));
        let spread = service_class
            .spread
            .map(|(domain, limit)| (domain_keyword(domain), limit));
        line(
            &format!("tracks/{name}/spread, most"),
            format!("{spread:?}"),
        );
    }
    for (name, tenant) in read.tenants.iter().zip(&cluster.tenants) {
        line(
            &format!("accounts/{name}"),
            format!("{:?}", tenant.quota_cores),
        );
    }
    line(
        "accepts",
        format!(
            "{} {}",
            cluster.admission_limit.cores, cluster.admission_limit.memory
        ),
    );
    line("makes-room", cluster.preempts.to_string());
    line("shots", cluster.max_attempts.to_string());
    line(
        "placed-when running",
        cluster.placed_means_running.to_string(),
    );
    line("shows-room", cluster.list_reports_capacity.to_string());
    line("may-probe", cluster.health_checks.to_string());
    line("ask-list", format!("{:?}", cluster.list_poll_interval));
    line("cold/lasts", cluster.slow_start.duration.to_string());
    line("cold/window", cluster.slow_start.window.to_string());
    line("cold/offers", cluster.slow_start.max_attempts.to_string());
    line("other-hall-price", cluster.cross_zone_cost.to_string());
    line(
        "(no keyword) opens within",
        cluster.connect_timeout.to_string(),
    );
    line(
        "(no keyword) tells loss",
        cluster.caller_detects_losses.to_string(),
    );
    let limits = &read.limits;
    line("bounds/in-hand", limits.max_allocations.to_string());
    line("bounds/calls", limits.max_calls.to_string());
    line("bounds/links", limits.max_connections.to_string());
    line(
        "bounds/offers-a-node",
        limits.max_offers_per_node.to_string(),
    );
    line(
        "bounds/words-a-client",
        limits.max_events_per_client.to_string(),
    );
    line("bounds/message", limits.max_message_bytes.to_string());
    line("bounds/connect-within", limits.connect_timeout.to_string());
    line("bounds/keep-alive", limits.keep_alive_interval.to_string());
    line("bounds/idle-close", limits.idle_timeout.to_string());
    line("bounds/answer-ahead", limits.answer_margin.to_string());
    line("bounds/stop-within", limits.shutdown_grace.to_string());
    let networks: Vec<String> = read
        .allowed_networks
        .iter()
        .map(|network| network.to_string())
        .collect();
    line("allow", networks.join(" "));
    line("(version) number", read.version.number.to_string());
    line("(version) digest", read.version.digest.to_string());
    text + &read.shared_parts.to_deployment_text()
}

fn released() -> Deployment {
    Deployment::parse("every-keyword.sexp", FILE).expect("valid")
}

#[test]
fn a_file_of_every_keyword_is_read_as_recorded() {
    assert_eq!(content(&released()), recorded("every-keyword.txt"));
}

#[test]
fn a_version_over_that_file_is_read_as_recorded() {
    let parts = SharedParts::parse("version.sexp", VERSION).expect("valid");
    let read = released().with_version("version.sexp", &parts);
    assert_eq!(content(&read.expect("valid")), recorded("version.txt"));
}

/// Collects the keys of every `properties` in the schema, and the values of every `enum`.
fn collect(schema: &Value, keys: &mut BTreeSet<String>, values: &mut BTreeSet<String>) {
    match schema {
        Value::Object(map) => {
            for (key, value) in map {
                match (key.as_str(), value) {
                    ("properties", Value::Object(inner)) => keys.extend(inner.keys().cloned()),
                    ("enum", Value::Array(choices)) => {
                        values.extend(choices.iter().filter_map(Value::as_str).map(String::from));
                    }
                    _ => {}
                }
                collect(value, keys, values);
            }
        }
        Value::Array(list) => list.iter().for_each(|each| collect(each, keys, values)),
        _ => {}
    }
}

#[test]
fn the_recorded_files_use_every_keyword_and_every_value_of_a_choice() {
    let (mut keys, mut values) = (BTreeSet::new(), BTreeSet::new());
    let mut definitions = schema::json_schema(DocumentKind::File);
    // The definition of a version has no keyword that the definition of a file lacks.
    definitions["$defs"]
        .as_object_mut()
        .expect("definitions")
        .remove("version");
    collect(&definitions, &mut keys, &mut values);
    assert!(keys.len() > 50, "{keys:?}");
    for key in keys {
        assert!(
            FILE.contains(&format!("({key} ")) || FILE.contains(&format!("({key}\n")),
            "{key}"
        );
    }
    for value in values {
        let used = |text: &str| text.contains(&format!(" {value})"));
        assert!(used(FILE) || used(VERSION), "{value}");
    }
}

#[test]
fn each_invalid_file_is_rejected_with_the_recorded_messages() {
    let mut rejected = 0;
    for entry in std::fs::read_dir(data("refused")).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.extension().is_none_or(|extension| extension != "sexp") {
            continue;
        }
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .expect("a name");
        let text = std::fs::read_to_string(&path).expect("readable");
        let diagnostics = Deployment::parse(name, &text).map(drop).expect_err(name);
        let messages = recorded(&format!("refused/{}", name.replace(".sexp", ".txt")));
        assert_eq!(diagnostics.to_string() + "\n", messages, "{name}");
        rejected += 1;
    }
    assert_eq!(rejected, 8);
}

fn without_descriptions(schema: &mut Value) {
    match schema {
        Value::Object(map) => {
            map.retain(|key, value| key != "description" || !value.is_string());
            map.values_mut().for_each(without_descriptions);
        }
        Value::Array(list) => list.iter_mut().for_each(without_descriptions),
        _ => {}
    }
}

#[test]
fn the_schemas_have_the_keys_types_and_limits_recorded() {
    for (kind, name) in [
        (DocumentKind::File, "schema-file.json"),
        (DocumentKind::Version, "schema-version.json"),
    ] {
        let mut schema = schema::json_schema(kind);
        without_descriptions(&mut schema);
        let text = serde_json::to_string_pretty(&schema).expect("JSON");
        assert_eq!(text + "\n", recorded(name), "{name}");
    }
}

//! The deployment file is read as released. `data/every-keyword.sexp` uses every keyword, and
//! `data/every-keyword.txt` is what the released program read from it. Each file of `data/refused`
//! is refused with the messages beside it, and the schema has the keys, types and limits recorded.

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
    std::fs::read_to_string(data(name)).unwrap_or_else(|why| panic!("{name}: {why}"))
}

fn place(place: Domain) -> &'static str {
    match place {
        Domain::Machine => "machine",
        Domain::Cell => "cell",
        Domain::Zone => "hall",
    }
}

/// What was read, by the keywords of the file. Times are in tenths of a millisecond.
fn content(read: &Deployment) -> String {
    let mut text = String::new();
    let mut line =
        |keyword: &str, value: String| writeln!(text, "{keyword}: {value}").expect("text");
    line("listen", read.listen.to_string());
    line("roster", read.discovery_service.to_string());
    line("remembered", format!("{:?}", read.endpoint_cache));
    let keepers: Vec<u32> = read.quorum_members.iter().map(|id| id.0).collect();
    line("keepers", format!("{keepers:?}"));
    line("rolls", format!("{:?}", read.rollout_store));
    line("control", format!("{:?}", read.control_services));
    line("versions", format!("{:?}", read.version_cache));
    if let Some(floor) = &read.minimum_version {
        line("floor/every", floor.poll_interval.to_string());
        line("floor/behind", format!("{:?}", floor.max_versions_behind));
        line("floor/after", format!("{:?}", floor.max_age));
        line("floor/part", floor.required_thousandths.to_string());
        line("floor/peers", format!("{:?}", floor.peers));
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
    for (name, kind) in read.machine_types.iter().zip(&cluster.machine_types) {
        line(
            &format!("kinds/{name}"),
            format!("{} {}", kind.cores, kind.memory),
        );
    }
    for (name, track) in read.service_classes.iter().zip(&cluster.service_classes) {
        let repeat = match track.retry_safety {
            RetrySafety::Idempotent => "idempotent".to_string(),
            RetrySafety::Deduplicated { scope, window } => {
                format!("deduplicated within {:?} window {window}", scope.map(place))
            }
            RetrySafety::NotRetryable => "unrepeatable".to_string(),
        };
        line(&format!("tracks/{name}/repeat"), repeat);
        line(
            &format!("tracks/{name}/contract-time"),
            track.latency_objective.to_string(),
        );
        line(
            &format!("tracks/{name}/calm"),
            track.target_utilization.to_string(),
        );
        line(
            &format!("tracks/{name}/priority"),
            track.priority.to_string(),
        );
        let kind = track.machine_type.map(|id| &read.machine_types[id.0]);
        line(&format!("tracks/{name}/kind"), format!("{kind:?}"));
        let spread = track.spread.map(|(domain, most)| (place(domain), most));
        line(
            &format!("tracks/{name}/spread, most"),
            format!("{spread:?}"),
        );
    }
    for (name, account) in read.tenants.iter().zip(&cluster.tenants) {
        line(
            &format!("accounts/{name}"),
            format!("{:?}", account.quota_cores),
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
    let bounds = &read.limits;
    line("bounds/in-hand", bounds.max_allocations.to_string());
    line("bounds/calls", bounds.max_calls.to_string());
    line("bounds/links", bounds.max_connections.to_string());
    line(
        "bounds/offers-a-node",
        bounds.max_offers_per_node.to_string(),
    );
    line(
        "bounds/words-a-client",
        bounds.max_events_per_client.to_string(),
    );
    line("bounds/message", bounds.max_message_bytes.to_string());
    line("bounds/connect-within", bounds.connect_timeout.to_string());
    line("bounds/keep-alive", bounds.keep_alive_interval.to_string());
    line("bounds/idle-close", bounds.idle_timeout.to_string());
    line("bounds/answer-ahead", bounds.answer_margin.to_string());
    line("bounds/stop-within", bounds.shutdown_grace.to_string());
    let allow: Vec<String> = read
        .allowed_networks
        .iter()
        .map(|network| network.to_string())
        .collect();
    line("allow", allow.join(" "));
    line("(version) number", read.version.number.to_string());
    line("(version) digest", read.version.digest.to_string());
    text + &read.shared_parts.to_deployment_text()
}

fn released() -> Deployment {
    Deployment::parse("every-keyword.sexp", FILE).expect("sound")
}

#[test]
fn a_file_of_every_keyword_is_read_as_recorded() {
    assert_eq!(content(&released()), recorded("every-keyword.txt"));
}

#[test]
fn a_version_over_that_file_is_read_as_recorded() {
    let texts = SharedParts::parse("version.sexp", VERSION).expect("sound");
    let read = released().with_version("version.sexp", &texts);
    assert_eq!(content(&read.expect("sound")), recorded("version.txt"));
}

/// Keys of every `properties` in the schema, and the values of every `enum`.
fn words(schema: &Value, keys: &mut BTreeSet<String>, values: &mut BTreeSet<String>) {
    match schema {
        Value::Object(map) => {
            for (key, value) in map {
                match (key.as_str(), value) {
                    ("properties", Value::Object(own)) => keys.extend(own.keys().cloned()),
                    ("enum", Value::Array(own)) => {
                        values.extend(own.iter().filter_map(Value::as_str).map(String::from));
                    }
                    _ => {}
                }
                words(value, keys, values);
            }
        }
        Value::Array(list) => list.iter().for_each(|each| words(each, keys, values)),
        _ => {}
    }
}

#[test]
fn the_recorded_files_use_every_keyword_and_every_value_of_a_choice() {
    let (mut keys, mut values) = (BTreeSet::new(), BTreeSet::new());
    let mut definitions = schema::json_schema(DocumentKind::File);
    // The definition of the whole of a version holds nothing that that of a file does not.
    definitions["$defs"]
        .as_object_mut()
        .expect("definitions")
        .remove("version");
    words(&definitions, &mut keys, &mut values);
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
fn each_file_of_the_refused_is_refused_with_the_messages_recorded() {
    let mut refused = 0;
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
        let faults = Deployment::parse(name, &text).map(drop).expect_err(name);
        let messages = recorded(&format!("refused/{}", name.replace(".sexp", ".txt")));
        assert_eq!(faults.to_string() + "\n", messages, "{name}");
        refused += 1;
    }
    assert_eq!(refused, 8);
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
    for (of, name) in [
        (DocumentKind::File, "schema-file.json"),
        (DocumentKind::Version, "schema-version.json"),
    ] {
        let mut schema = schema::json_schema(of);
        without_descriptions(&mut schema);
        let text = serde_json::to_string_pretty(&schema).expect("JSON");
        assert_eq!(text + "\n", recorded(name), "{name}");
    }
}

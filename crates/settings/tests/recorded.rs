//! Compares the settings read from files under `tests/data` with recorded contents, for every key,
//! and the errors for invalid settings with recorded ones.

use corkspan_scheduler::interface::{Cluster, Domain, Resources, RetrySafety, ServiceClass};
use corkspan_settings::Settings;
use serde_json::Value;
use std::fmt::Write;
use std::path::Path;

fn data(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn domain_name(domain: Domain) -> &'static str {
    match domain {
        Domain::Machine => "machine",
        Domain::Cell => "cell",
        Domain::Zone => "zone",
    }
}

fn amount(amount: Resources) -> String {
    format!("{:?} cores {:?} memory", amount.cores, amount.memory)
}

fn class_content(class: &ServiceClass) -> String {
    let retry_safety = match class.retry_safety {
        RetrySafety::Idempotent => "idempotent".to_string(),
        RetrySafety::NotRetryable => "unrepeatable".to_string(),
        RetrySafety::Deduplicated { scope, window } => {
            format!(
                "deduplicated within {:?} for {window}",
                scope.map(domain_name)
            )
        }
    };
    let spread = class.spread.map(|(by, most)| (domain_name(by), most));
    format!(
        "{retry_safety} contract-time {} calm {:?} priority {} kind {:?} spread {spread:?}",
        class.latency_objective,
        class.target_utilization,
        class.priority,
        class.machine_type.map(|machine_type| machine_type.0),
    )
}

fn cluster_content(cluster: &Cluster) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: String| writeln!(text, "{name} {value}").expect("written");
    line("hall", cluster.zone.0.to_string());
    line("number", cluster.scheduler_index.to_string());
    line("schedulers", cluster.scheduler_count.to_string());
    for machine_type in &cluster.machine_types {
        line("kind", amount(*machine_type));
    }
    for class in &cluster.service_classes {
        line("track", class_content(class));
    }
    for tenant in &cluster.tenants {
        line("account", format!("{:?}", tenant.quota_cores));
    }
    line("accepts", amount(cluster.admission_limit));
    line("makes-room", cluster.preempts.to_string());
    line("shots", cluster.max_attempts.to_string());
    line("placed-runs", cluster.placed_means_running.to_string());
    line("shows-room", cluster.list_reports_capacity.to_string());
    line("may-probe", cluster.health_checks.to_string());
    line("ask-list", format!("{:?}", cluster.list_poll_interval));
    let slow_start = &cluster.slow_start;
    line(
        "cold",
        format!(
            "{} {} {:?}",
            slow_start.duration, slow_start.window, slow_start.max_attempts
        ),
    );
    line("opens-within", cluster.connect_timeout.to_string());
    line("other-hall", format!("{:?}", cluster.cross_zone_cost));
    line("tells-loss", cluster.caller_detects_losses.to_string());
    text
}

fn content(text: &str) -> String {
    let settings: Settings = match serde_json::from_str(text) {
        Ok(settings) => settings,
        Err(error) => return format!("unreadable: {error}\n"),
    };
    let mut text = match settings.cluster() {
        Ok(cluster) => cluster_content(&cluster),
        Err(error) => return format!("refused: {error}\n"),
    };
    for (index, class) in settings.classes.iter().enumerate() {
        writeln!(
            text,
            "class {} keyed {}",
            class.name,
            settings.needs_idempotency_key(index)
        )
        .expect("written");
    }
    let tenants: Vec<&String> = settings.tenants.iter().map(|tenant| &tenant.name).collect();
    writeln!(
        text,
        "zones {:?}\nskus {:?}\ntenants {tenants:?}\nidle-close-us {:?}\nconnect-timeout-us {:?}\n\
         opens-within {}\nlongest-deadline {:?}\nlargest {:?}",
        settings.zones,
        settings.machine_types,
        settings.limits.idle_close_us,
        settings.limits.connect_timeout_us,
        settings.connect_timeout(),
        settings.longest_deadline(),
        settings.largest_acceptable().map(amount),
    )
    .expect("written");
    text
}

#[test]
fn settings_with_each_key_are_read_to_the_same_content() {
    assert_eq!(content(&data("settings.json")), data("settings_read.txt"));
}

#[test]
fn settings_with_only_required_keys_are_read_to_the_same_content() {
    assert_eq!(
        content(&data("settings_least.json")),
        data("settings_least_read.txt")
    );
}

/// Removes each key in turn and checks that the content changes or an error is returned.
#[test]
fn each_key_of_the_recorded_settings_is_read() {
    let complete: Value = serde_json::from_str(&data("settings.json")).expect("JSON");
    let read = content(&complete.to_string());
    let mut paths = Vec::new();
    keys(&complete, String::new(), &mut paths);
    assert_eq!(paths.len(), 50, "{paths:?}");
    for path in paths {
        let mut cut = complete.clone();
        let (parent, key) = path.rsplit_once('/').expect("a path");
        let parent = cut.pointer_mut(parent).expect("there");
        assert!(parent.as_object_mut().expect("a map").remove(key).is_some());
        assert_ne!(content(&cut.to_string()), read, "{path}");
    }
}

/// Collects the JSON pointers of all keys.
fn keys(value: &Value, at: String, paths: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                paths.push(format!("{at}/{key}"));
                keys(value, format!("{at}/{key}"), paths);
            }
        }
        Value::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                keys(value, format!("{at}/{index}"), paths);
            }
        }
        _ => {}
    }
}

#[test]
fn half_a_file_of_settings_is_rejected_with_the_same_error() {
    let complete = data("settings.json");
    assert_eq!(
        content(&complete[..complete.len() / 2]),
        data("settings_half_read.txt")
    );
}

#[test]
fn recorded_malformed_settings_are_rejected_with_the_same_errors() {
    let valid = data("settings.json");
    let cases = data("settings_malformed.txt");
    assert!(cases.lines().count() >= 12);
    for line in cases.lines() {
        let (replaced, expected_error) = line.split_once('\t').expect("a tab");
        let (old, new) = replaced.split_once(" -> ").expect("an arrow");
        assert!(valid.contains(old), "the file holds {old}");
        assert_eq!(
            content(&valid.replacen(old, new, 1)),
            format!("{expected_error}\n"),
            "{replaced}"
        );
    }
}

//! Checks that the wire format of `corkspan.v1` stays as released. `data/contract.txt` records the
//! services, rpcs, field numbers, types and enum values; `data/messages.txt` holds bytes written by
//! the released program.
//!
//! Names of messages and fields are not on the wire and not recorded. A message is identified by
//! the first path from an rpc that reaches it, such as `Node.Keep.request.2.3`.

use corkspan_api::v1;
use prost::Message;
use protox::prost_reflect::{DescriptorPool, FieldDescriptor, Kind, MessageDescriptor};
use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};

const CONTRACT: &str = include_str!("data/contract.txt");
const MESSAGES: &str = include_str!("data/messages.txt");

fn descriptors() -> DescriptorPool {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let folder = root.join("corkspan/v1");
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .expect("the folder of .proto files")
        .map(|entry| entry.expect("a folder entry").path())
        .collect();
    files.sort();
    let set = protox::compile(files, [root]).expect("the .proto files compile");
    DescriptorPool::from_file_descriptor_set(set).expect("a complete set")
}

/// Messages with the first path that reaches each, found by a breadth-first search from the rpcs in
/// the order of their names.
struct Paths {
    by_name: BTreeMap<String, String>,
    in_order: Vec<(String, MessageDescriptor)>,
}

impl Paths {
    fn from_rpcs(pool: &DescriptorPool) -> Self {
        let mut queue = VecDeque::new();
        for (rpc, method) in rpcs(pool) {
            queue.push_back((format!("{rpc}.request"), method.input()));
            queue.push_back((format!("{rpc}.response"), method.output()));
        }
        let mut paths = Paths {
            by_name: BTreeMap::new(),
            in_order: Vec::new(),
        };
        while let Some((path, message)) = queue.pop_front() {
            if paths.by_name.contains_key(message.full_name()) {
                continue;
            }
            paths
                .by_name
                .insert(message.full_name().to_string(), path.clone());
            for field in message.fields() {
                if let Kind::Message(inner) = field.kind() {
                    queue.push_back((format!("{path}.{}", field.number()), inner));
                }
            }
            paths.in_order.push((path, message));
        }
        paths
    }
}

fn rpcs(pool: &DescriptorPool) -> BTreeMap<String, protox::prost_reflect::MethodDescriptor> {
    let services: Vec<_> = pool.services().collect();
    let methods = services.iter().flat_map(|service| {
        let named = |method: protox::prost_reflect::MethodDescriptor| {
            (format!("{}.{}", service.name(), method.name()), method)
        };
        service.methods().map(named).collect::<Vec<_>>()
    });
    methods.collect()
}

fn field_line(field: &FieldDescriptor, paths: &Paths) -> String {
    let label = if field.is_map() {
        "map"
    } else if field.is_list() {
        "repeated"
    } else if field.supports_presence() && field.containing_oneof().is_none() {
        "optional"
    } else {
        "single"
    };
    let kind = match field.kind() {
        Kind::Message(message) => format!("message {}", paths.by_name[message.full_name()]),
        Kind::Enum(enumeration) => {
            let numbers: Vec<String> = enumeration
                .values()
                .map(|value| value.number().to_string())
                .collect();
            format!("enum {}", numbers.join(","))
        }
        other => format!("{other:?}").to_lowercase(),
    };
    let oneof = field.containing_oneof().map_or(String::new(), |oneof| {
        let first = oneof.fields().map(|field| field.number()).min();
        format!(" oneof-from-{}", first.expect("a oneof has fields"))
    });
    let packed = if field.is_packed() { " packed" } else { "" };
    format!("  {} {label} {kind}{packed}{oneof}", field.number())
}

fn contract(pool: &DescriptorPool) -> String {
    let paths = Paths::from_rpcs(pool);
    let mut lines = Vec::new();
    let packages: std::collections::BTreeSet<String> = pool
        .files()
        .map(|file| format!("package {} {:?}", file.package_name(), file.syntax()))
        .collect();
    lines.extend(packages);
    let stream = |streams: bool| if streams { "stream " } else { "" };
    for (rpc, method) in rpcs(pool) {
        let (input, output) = (method.input(), method.output());
        lines.push(format!(
            "rpc {rpc} {}{} -> {}{}",
            stream(method.is_client_streaming()),
            paths.by_name[input.full_name()],
            stream(method.is_server_streaming()),
            paths.by_name[output.full_name()]
        ));
    }
    for (path, message) in &paths.in_order {
        lines.push(format!("message {path}"));
        lines.extend(message.fields().map(|field| field_line(&field, &paths)));
    }
    // Every message must be reached by an rpc, since the lines above omit any other.
    let declared = pool
        .all_messages()
        .filter(|message| message.package_name() == "corkspan.v1");
    let unreached: Vec<_> = declared
        .filter(|message| !paths.by_name.contains_key(message.full_name()))
        .collect();
    assert!(unreached.is_empty(), "reached by no rpc: {unreached:?}");
    lines.join("\n") + "\n"
}

#[test]
fn services_field_numbers_types_and_enum_values_are_as_recorded() {
    let current = contract(&descriptors());
    let changed: Vec<_> = current
        .lines()
        .zip(CONTRACT.lines())
        .filter(|(current, recorded)| current != recorded)
        .take(5)
        .collect();
    assert!(current == CONTRACT, "current and recorded: {changed:#?}");
}

/// Checks the names that `corkspan status` and `corkspan place` print and that label metrics.
#[test]
fn names_of_displayed_enum_values_are_as_recorded() {
    let names = |numbers: std::ops::Range<i32>, name: &dyn Fn(i32) -> String| {
        numbers.map(name).collect::<Vec<_>>().join(" ")
    };
    let connection_kinds = names(0..6, &|number| {
        let kind = v1::connection_traffic::Kind::try_from(number).expect("a known number");
        kind.as_str_name().to_string()
    });
    assert_eq!(
        connection_kinds,
        "ROSTER CONTROL KEEPERS DISPATCHERS NODES OWNERS"
    );
    let rejection_reasons = names(0..7, &|number| {
        let reason = v1::rejected::RejectionReason::try_from(number).expect("a known number");
        format!("{reason:?}")
    });
    assert_eq!(
        rejection_reasons,
        "NotTold NoRoom TooMany Stopping BadAsk InHand Behind"
    );
    let end_reasons = names(0..8, &|number| {
        let reason = v1::ended::EndReason::try_from(number).expect("a known number");
        format!("{reason:?}")
    });
    assert_eq!(
        end_reasons,
        "Lost Ended Evicted PushedOut SentAway Moved Error HandedBack"
    );
}

/// Checks that the recorded bytes of a message are decoded and encoded to the same bytes.
fn check_recorded<M: Message + Default>(path: &str, checked: &mut Vec<String>) {
    for line in MESSAGES.lines() {
        let (name, hex) = line.split_once(' ').expect("a path and bytes");
        if name.split_once('#').map_or(name, |(path, _)| path) != path {
            continue;
        }
        let hex = hex.trim_matches('-');
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
        let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        let message = M::decode(&bytes[..]).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(message.encode_to_vec(), bytes, "{name}");
        if bytes.len() > 2 {
            assert!(
                M::decode(&bytes[..bytes.len() - 1]).is_err(),
                "{name}: truncated"
            );
        }
        checked.push(name.to_string());
    }
}

#[test]
fn recorded_messages_are_read_and_written_back_to_the_same_bytes() {
    let mut checked = Vec::new();
    let names = &mut checked;
    check_recorded::<v1::PushReply>("Control.Stream.request", names);
    check_recorded::<v1::VersionPush>("Control.Stream.response", names);
    check_recorded::<v1::OperationsRequest>("Node.Acts.request", names);
    check_recorded::<v1::OperationsResponse>("Node.Acts.response", names);
    check_recorded::<v1::AttemptRequest>("Node.Attend.request", names);
    check_recorded::<v1::AttemptEvent>("Node.Attend.response", names);
    check_recorded::<v1::CordonRequest>("Node.Door.request", names);
    check_recorded::<v1::CordonResponse>("Node.Door.response", names);
    check_recorded::<v1::Greeting>("Node.Greet.request", names);
    check_recorded::<v1::QuorumRequest>("Node.Keep.request", names);
    check_recorded::<v1::QuorumResponse>("Node.Keep.response", names);
    check_recorded::<v1::HealthCheckRequest>("Node.Probe.request", names);
    check_recorded::<v1::HealthCheckResponse>("Node.Probe.response", names);
    check_recorded::<v1::StopRequest>("Node.Stop.request", names);
    check_recorded::<v1::StopResponse>("Node.Stop.response", names);
    check_recorded::<v1::HandOverRequest>("Placement.HandOver.request", names);
    check_recorded::<v1::PlacementEvent>("Placement.HandOver.response", names);
    check_recorded::<v1::PlacementRequest>("Placement.Place.request", names);
    check_recorded::<v1::StatusRequest>("Placement.Status.request", names);
    check_recorded::<v1::StatusResponse>("Placement.Status.response", names);
    check_recorded::<v1::ChangeRolloutRequest>("Rolls.Change.request", names);
    check_recorded::<v1::RolloutResponse>("Rolls.Change.response", names);
    check_recorded::<v1::MaintenanceRequest>("Rolls.Maintain.request", names);
    check_recorded::<v1::MaintenanceResponse>("Rolls.Maintain.response", names);
    check_recorded::<v1::StartRolloutRequest>("Rolls.Start.request", names);
    check_recorded::<v1::RolloutStatusRequest>("Rolls.Status.request", names);
    check_recorded::<v1::RolloutStatus>("Rolls.Status.response", names);
    check_recorded::<v1::ListRequest>("Roster.List.request", names);
    check_recorded::<v1::EndpointList>("Roster.List.response", names);
    check_recorded::<v1::FetchVersionRequest>("Versions.Give.request", names);
    check_recorded::<v1::RaiseMinimumVersionRequest>("Versions.Raise.request", names);
    check_recorded::<v1::RaiseMinimumVersionResponse>("Versions.Raise.response", names);
    check_recorded::<v1::VersionStatusRequest>("Versions.Status.request", names);
    check_recorded::<v1::VersionStatus>("Versions.Status.response", names);
    let mut recorded: Vec<&str> = MESSAGES
        .lines()
        .map(|line| line.split(' ').next().expect("a path"))
        .collect();
    checked.sort();
    recorded.sort_unstable();
    assert_eq!(checked, recorded, "every recorded message is checked");
}

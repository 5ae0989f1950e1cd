//! Compares the codecs with messages recorded under `tests/data`, one per line together with the
//! decoded content. Decoded contents, encoded bytes and error texts must stay as recorded.

use corkspan_platform_wire::client::{self, MessageType, SetUp};
use corkspan_platform_wire::node_config::NodeConfig;
use corkspan_platform_wire::{discovery, node};
use std::fmt::Write;
use std::path::Path;

const CLIENT_MESSAGE_TYPES: [(&str, MessageType); 9] = [
    ("set-up", MessageType::SetUp),
    ("progress", MessageType::Progress),
    ("answer", MessageType::Answer),
    ("release", MessageType::Release),
    ("heard", MessageType::Acknowledge),
    ("note", MessageType::Notification),
    ("move", MessageType::Migrate),
    ("test", MessageType::HealthCheck),
    ("tested", MessageType::HealthCheckReply),
];

fn data(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the lines of a file, each split at its tab into the input and the recorded result.
fn pairs(name: &str, at_least: usize) -> Vec<(String, String)> {
    let pairs: Vec<(String, String)> = data(name)
        .lines()
        .map(|line| line.split_once('\t').expect("a tab"))
        .map(|(bytes, read)| (bytes.into(), read.into()))
        .collect();
    assert!(
        pairs.len() >= at_least,
        "{name} holds {} lines",
        pairs.len()
    );
    pairs
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().collect();
    let byte = |pair: &[char]| u8::from_str_radix(&String::from_iter(pair), 16).expect("hex");
    digits.chunks(2).map(byte).collect()
}

fn read_client(bytes: &[u8]) -> Result<client::Message, String> {
    let mut reader = client::Reader::default();
    reader.push(bytes);
    let message = reader.next_message().map_err(|error| error.to_string())?;
    assert!(
        message.is_none() || reader.buffered_bytes() == 0,
        "nothing is left"
    );
    message.ok_or_else(|| "unfinished".to_string())
}

fn client_content(message: &client::Message) -> String {
    let message_type = CLIENT_MESSAGE_TYPES
        .iter()
        .find(|(_, message_type)| *message_type == message.message_type);
    let mut text = format!(
        "{} {:016x}",
        message_type.expect("a message type").0,
        message.task
    );
    for code in 0..=u8::MAX {
        if let Some(value) = message.parameter(code) {
            write!(text, " {code}={}", hex(value)).expect("written");
        }
    }
    text
}

/// Encodes the message that a content line describes.
fn client_bytes(content: &str) -> Vec<u8> {
    let mut fields = content.split(' ');
    let message_type = fields.next().expect("a message type");
    let (_, message_type) = CLIENT_MESSAGE_TYPES
        .iter()
        .find(|(name, _)| *name == message_type)
        .expect("a message type");
    let task = u64::from_str_radix(fields.next().expect("a task"), 16).expect("hex");
    let parameters: Vec<(u8, Vec<u8>)> = fields
        .map(|field| field.split_once('=').expect("a parameter"))
        .map(|(code, value)| (code.parse().expect("a code"), unhex(value)))
        .collect();
    let parameters: Vec<(u8, &[u8])> = parameters
        .iter()
        .map(|(code, value)| (*code, &value[..]))
        .collect();
    client::encode(*message_type, task, &parameters).expect("short enough")
}

#[test]
fn recorded_client_frames_are_read_and_written_back_byte_for_byte() {
    let frames = pairs("client_frames.txt", 18);
    for (_, message_type) in CLIENT_MESSAGE_TYPES
        .iter()
        .map(|(name, message_type)| (name, *message_type))
    {
        let has_type = |(bytes, _): &&(String, String)| {
            read_client(&unhex(bytes)).expect("valid").message_type == message_type
        };
        assert!(
            frames.iter().any(|frame| has_type(&frame)),
            "{message_type:?} is recorded"
        );
    }
    for (bytes, content) in frames {
        let message = read_client(&unhex(&bytes)).expect("valid");
        assert_eq!(client_content(&message), content);
        assert_eq!(hex(&client_bytes(&content)), bytes);
    }
}

#[test]
fn recorded_malformed_client_frames_are_rejected_with_the_same_errors() {
    for (bytes, expected_error) in pairs("client_malformed.txt", 8) {
        assert_eq!(read_client(&unhex(&bytes)), Err(expected_error), "{bytes}");
    }
}

fn set_up_content(bytes: &[u8]) -> String {
    let message = read_client(bytes).expect("valid");
    match SetUp::try_from(&message) {
        Err(error) => format!("refused: {error}"),
        Ok(SetUp {
            task,
            class,
            time_left_ms,
            tenant,
            name,
            idempotency_key,
            cores,
            memory,
            service,
            running_on,
            description,
        }) => format!(
            "task={task:x} class={class:?} left_ms={time_left_ms} tenant={tenant:?} name={name:?} \
             key={idempotency_key:?} cores={cores:?} memory={memory:?} service={service:?} at={running_on:?} \
             description={description:?}"
        ),
    }
}

#[test]
fn recorded_set_ups_are_read_to_the_same_content_or_rejected_with_the_same_errors() {
    for (bytes, content) in pairs("set_ups.txt", 20) {
        assert_eq!(set_up_content(&unhex(&bytes)), content, "{bytes}");
    }
}

fn read_node(line: &str) -> Result<node::Message, String> {
    let mut reader = node::Reader::default();
    reader.push(line.as_bytes());
    reader.push(b"\n");
    let message = reader.next_message().map_err(|error| error.to_string())?;
    Ok(message.expect("a complete line"))
}

fn node_content(message: &node::Message) -> String {
    let message_type = serde_json::to_string(&message.message_type).expect("a name");
    let mut text = format!("{message_type} id={:?}", message.task_id);
    for (name, value) in &message.attributes {
        let (text_value, number) = (value.text(), value.number());
        write!(text, " {name}={text_value:?}/{number:?}").expect("written");
    }
    write!(text, " code={:?} text={:?}", message.cause, message.text).expect("written");
    text
}

#[test]
fn recorded_node_lines_are_read_to_the_same_content() {
    for (line, content) in pairs("node_lines.txt", 14) {
        assert_eq!(
            node_content(&read_node(&line).expect("valid")),
            content,
            "{line}"
        );
    }
}

#[test]
fn recorded_node_lines_are_written_back_byte_for_byte() {
    let lines = data("node_lines_written.jsonl");
    assert!(lines.lines().count() >= 12);
    for line in lines.lines() {
        let message = read_node(line).expect("valid");
        assert_eq!(message.to_line(), Some(format!("{line}\n").into_bytes()));
    }
}

#[test]
fn recorded_malformed_node_lines_are_rejected_with_the_same_errors() {
    for (line, expected_error) in pairs("node_malformed.txt", 8) {
        assert_eq!(read_node(&line).map(|_| ()), Err(expected_error), "{line}");
    }
}

fn phase(phase: discovery::Phase) -> &'static str {
    match phase {
        discovery::Phase::Active => "active",
        discovery::Phase::Draining => "leaving",
        discovery::Phase::Gone => "left",
    }
}

fn event_content(event: &discovery::Event) -> String {
    let mut text = format!("event {}", event.number);
    let Some(list) = &event.list else {
        return text + " without members\n";
    };
    writeln!(text, " complete={}", list.complete).expect("written");
    for entry in &list.entries {
        let line = match entry {
            discovery::ListEntry::Unreadable(value) => format!("unreadable {value}"),
            discovery::ListEntry::Node(node) => format!(
                "{} at {} in {:?} of {:?} cell {} {} since {} unrequested {:?}",
                node.id,
                node.address,
                node.zone,
                node.machine_type,
                node.cell,
                phase(node.phase),
                node.up_since_ms,
                node.unrequested,
            ),
        };
        writeln!(text, "  {line}").expect("written");
    }
    text
}

/// Describes the items of a stream and how it ends.
fn feed_content(stream: &[u8]) -> String {
    let mut reader = discovery::Reader::default();
    reader.push(stream);
    let mut text = String::new();
    loop {
        match reader.next_item() {
            Ok(Some(discovery::FeedItem::KeepAlive)) => text += "alive\n",
            Ok(Some(discovery::FeedItem::Event(event))) => text += &event_content(&event),
            Ok(None) => return text + "no more\n",
            Err(error) => return format!("{text}refused: {error}\n"),
        }
    }
}

#[test]
fn a_recorded_feed_with_every_form_of_list_is_read_to_the_same_content() {
    assert_eq!(
        feed_content(data("feed_stream.txt").as_bytes()),
        data("feed_stream_read.txt")
    );
}

#[test]
fn recorded_malformed_feeds_are_rejected_with_the_same_errors() {
    for (stream, expected_error) in pairs("feed_malformed.txt", 5) {
        let stream = stream.replace("\\n", "\n");
        assert_eq!(
            feed_content(stream.as_bytes()),
            format!("{expected_error}\n"),
            "{stream}"
        );
    }
}

fn node_config_content(text: &str) -> String {
    let config = match NodeConfig::from_json(text.as_bytes()) {
        Ok(config) => config,
        Err(error) => return format!("refused: {error}\n"),
    };
    let mut text = format!(
        "name {}\nlisten {}\nseed {} = {}\nsockets {}\nfeed {}\nknown {}\n",
        config.name,
        config.listen,
        config.seed,
        config.seed_number().expect("hex"),
        config.limits.sockets,
        config.discovery_address,
        config.discovery_state.last_event,
    );
    let events = config.discovery_state.events.iter().map(event_content);
    text.extend(events);
    writeln!(text, "zones {:?}", config.settings.zones).expect("written");
    text
}

#[test]
fn a_recorded_file_of_node_config_is_read_to_the_same_content() {
    assert_eq!(
        node_config_content(&data("node_config.json")),
        data("node_config_read.txt")
    );
}

#[test]
fn half_a_file_of_node_config_is_rejected_with_the_same_error() {
    let complete = data("node_config.json");
    assert_eq!(
        node_config_content(&complete[..complete.len() / 2]),
        data("node_config_half_read.txt")
    );
}

#[test]
fn recorded_malformed_files_of_node_config_are_rejected_with_the_same_errors() {
    let valid = data("node_config.json");
    for (replaced, expected_error) in pairs("node_config_malformed.txt", 6) {
        let (old, new) = replaced.split_once(" -> ").expect("an arrow");
        assert!(valid.contains(old), "the file holds {old}");
        assert_eq!(
            node_config_content(&valid.replacen(old, new, 1)),
            format!("{expected_error}\n"),
            "{replaced}"
        );
    }
}

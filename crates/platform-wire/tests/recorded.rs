//! Compares the codecs with messages recorded under `tests/data`, one per line together with the
//! decoded content. Decoded contents, encoded bytes and error texts must stay as recorded.

use corkspan_platform_wire::client::{self, MessageType, SetUp};
use corkspan_platform_wire::node_config::NodeConfig;
use corkspan_platform_wire::{discovery, node};
use std::fmt::Write;
use std::path::Path;

const CLIENT_KINDS: [(&str, MessageType); 9] = [
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
    let kind = CLIENT_KINDS
        .iter()
        .find(|(_, kind)| *kind == message.message_type);
    let mut text = format!("{} {:016x}", kind.expect("a kind").0, message.task);
    for code in 0..=u8::MAX {
        if let Some(value) = message.parameter(code) {
            write!(text, " {code}={}", hex(value)).expect("written");
        }
    }
    text
}

/// Encodes the message that a content line describes.
fn client_bytes(content: &str) -> Vec<u8> {
    let mut words = content.split(' ');
    let kind = words.next().expect("a kind");
    let (_, kind) = CLIENT_KINDS
        .iter()
        .find(|(name, _)| *name == kind)
        .expect("a kind");
    let task = u64::from_str_radix(words.next().expect("a task"), 16).expect("hex");
    let parameters: Vec<(u8, Vec<u8>)> = words
        .map(|word| word.split_once('=').expect("a parameter"))
        .map(|(code, value)| (code.parse().expect("a code"), unhex(value)))
        .collect();
    let parameters: Vec<(u8, &[u8])> = parameters
        .iter()
        .map(|(code, value)| (*code, &value[..]))
        .collect();
    client::encode(*kind, task, &parameters).expect("short enough")
}

#[test]
fn recorded_client_frames_are_read_and_written_back_byte_for_byte() {
    let frames = pairs("client_frames.txt", 18);
    for (_, kind) in CLIENT_KINDS.iter().map(|(name, kind)| (name, *kind)) {
        let of_kind = |(bytes, _): &&(String, String)| {
            read_client(&unhex(bytes)).expect("sound").message_type == kind
        };
        assert!(
            frames.iter().any(|frame| of_kind(&frame)),
            "{kind:?} is recorded"
        );
    }
    for (bytes, content) in frames {
        let message = read_client(&unhex(&bytes)).expect("sound");
        assert_eq!(client_content(&message), content);
        assert_eq!(hex(&client_bytes(&content)), bytes);
    }
}

#[test]
fn recorded_malformed_client_frames_are_refused_in_the_same_words() {
    for (bytes, refusal) in pairs("client_malformed.txt", 8) {
        assert_eq!(read_client(&unhex(&bytes)), Err(refusal), "{bytes}");
    }
}

fn set_up_content(bytes: &[u8]) -> String {
    let message = read_client(bytes).expect("sound");
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
fn recorded_set_ups_are_read_to_the_same_content_or_refused_in_the_same_words() {
    for (bytes, content) in pairs("set_ups.txt", 20) {
        assert_eq!(set_up_content(&unhex(&bytes)), content, "{bytes}");
    }
}

fn read_node(line: &str) -> Result<node::Message, String> {
    let mut reader = node::Reader::default();
    reader.push(line.as_bytes());
    reader.push(b"\n");
    let message = reader.next_message().map_err(|error| error.to_string())?;
    Ok(message.expect("a whole line"))
}

fn node_content(message: &node::Message) -> String {
    let kind = serde_json::to_string(&message.message_type).expect("a name");
    let mut text = format!("{kind} id={:?}", message.task_id);
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
            node_content(&read_node(&line).expect("sound")),
            content,
            "{line}"
        );
    }
}

#[test]
fn recorded_node_lines_as_written_are_written_back_byte_for_byte() {
    let lines = data("node_lines_written.jsonl");
    assert!(lines.lines().count() >= 12);
    for line in lines.lines() {
        let message = read_node(line).expect("sound");
        assert_eq!(message.to_line(), Some(format!("{line}\n").into_bytes()));
    }
}

#[test]
fn recorded_malformed_node_lines_are_refused_in_the_same_words() {
    for (line, refusal) in pairs("node_malformed.txt", 8) {
        assert_eq!(read_node(&line).map(|_| ()), Err(refusal), "{line}");
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
    let Some(members) = &event.list else {
        return text + " without members\n";
    };
    writeln!(text, " complete={}", members.complete).expect("written");
    for entry in &members.entries {
        let line = match entry {
            discovery::ListEntry::Unreadable(what) => format!("unreadable {what}"),
            discovery::ListEntry::Node(member) => format!(
                "{} at {} in {:?} of {:?} cell {} {} since {} unrequested {:?}",
                member.id,
                member.address,
                member.zone,
                member.machine_type,
                member.cell,
                phase(member.phase),
                member.up_since_ms,
                member.unrequested,
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
fn a_recorded_feed_with_each_kind_of_list_is_read_to_the_same_content() {
    assert_eq!(
        feed_content(data("feed_stream.txt").as_bytes()),
        data("feed_stream_read.txt")
    );
}

#[test]
fn recorded_malformed_feeds_are_refused_in_the_same_words() {
    for (stream, refusal) in pairs("feed_malformed.txt", 5) {
        let stream = stream.replace("\\n", "\n");
        assert_eq!(
            feed_content(stream.as_bytes()),
            format!("{refusal}\n"),
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
fn half_a_file_of_node_config_is_refused_in_the_same_words() {
    let whole = data("node_config.json");
    assert_eq!(
        node_config_content(&whole[..whole.len() / 2]),
        data("node_config_half_read.txt")
    );
}

#[test]
fn recorded_malformed_files_of_node_config_are_refused_in_the_same_words() {
    let sound = data("node_config.json");
    for (replaced, refusal) in pairs("node_config_malformed.txt", 6) {
        let (old, new) = replaced.split_once(" -> ").expect("an arrow");
        assert!(sound.contains(old), "the file holds {old}");
        assert_eq!(
            node_config_content(&sound.replacen(old, new, 1)),
            format!("{refusal}\n"),
            "{replaced}"
        );
    }
}

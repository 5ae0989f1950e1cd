//! Tests the readers on input that is split, damaged or malicious.

use corkspan_platform_wire::client::{self, CAUSE, MessageType, SetUp, encode};
use corkspan_platform_wire::{
    MAX_MESSAGE_BYTES, ProtocolError, discovery, node, parse_load_report,
};
use proptest::prelude::*;
use test_case::test_case;

fn set_up(requirements: &str, time_left: &str) -> client::Message {
    let parameters: [(u8, &[u8]); 6] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, time_left.as_bytes()),
        (client::TASK_NAME, b"7f3a9c21e0b4d655"),
        (client::REQUIREMENTS, requirements.as_bytes()),
        (client::TENANT, b"acme"),
        (client::DESCRIPTION, b"9d41\r\n"),
    ];
    let bytes = encode(MessageType::SetUp, 0x9b1f, &parameters).expect("short enough");
    let mut reader = client::Reader::default();
    reader.push(&bytes);
    reader.next_message().expect("valid").expect("complete")
}

#[test_case("cores:1;memory:2;service:0b", "1500", true; "valid")]
#[test_case("cores:1;memory:2;service:0b;rack:7", "1500", true; "with an unknown requirement")]
#[test_case("cores:nan;memory:2;service:0b", "1500", false; "no number")]
#[test_case("cores:-1;memory:2;service:0b", "1500", false; "negative")]
#[test_case("cores:1;service:0b", "1500", false; "no memory")]
#[test_case("cores:1;memory:2;service:0b", "soon", false; "no time")]
#[test_case("cores:1;memory:2;service:0b", "-5", false; "a negative time")]
#[test_case("cores:1;memory:2;service:0b", "99999999999999999999999", false; "too long a time")]
#[test_case("x", "1500", false; "no requirements at all")]
fn invalid_requirements_and_times_are_rejected(requirements: &str, time_left: &str, valid: bool) {
    assert_eq!(
        SetUp::try_from(&set_up(requirements, time_left)).is_ok(),
        valid
    );
}

#[test_case(&[0xff, 0xff], ProtocolError::TooLong(0xffff); "a length beyond any message")]
#[test_case(&[0, 2], ProtocolError::TooShort(2); "a length below any message")]
#[test_case(b"\x01\x00{", ProtocolError::UnknownType(123); "a type that does not exist, before the rest has arrived")]
#[test_case(&[0, 12, 1, 0, 0, 0, 0, 0, 0, 0, 1, 180, 9, 9], ProtocolError::TruncatedParameter(180); "a parameter past the end")]
fn a_wrong_length_or_type_is_reported_at_once(bytes: &[u8], error: ProtocolError) {
    let mut reader = client::Reader::default();
    reader.push(bytes);
    assert_eq!(reader.next_message(), Err(error));
}

#[test]
fn an_answer_under_an_unknown_id_does_not_affect_the_next_one() {
    let mut reader = node::Reader::default();
    reader.push(b"{\"msg\":\"ready\",\"sid\":\"not-ours\",\"attrs\":{},\"text\":\"x\"}\n");
    reader.push(
        b"{\"msg\":\"ready\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{\"left\":7},\"text\":\"y\"}\n",
    );
    assert_eq!(
        reader
            .next_message()
            .map(|message| message.map(|message| message.task_id)),
        Ok(Some(None))
    );
    let good = reader.next_message().expect("valid").expect("complete");
    assert_eq!(
        (good.task_id, good.text.as_deref()),
        (Some(0x9b1f_03aa_5c7e_2d41), Some("y"))
    );
}

#[test]
fn an_unterminated_line_is_reported_before_it_fills_the_memory() {
    let mut reader = node::Reader::default();
    let error = (0..1_000).find_map(|_| {
        reader.push(&[b'a'; 1024]);
        reader.next_message().err()
    });
    assert_eq!(
        error,
        Some(ProtocolError::TooLong(MAX_MESSAGE_BYTES + 1024))
    );
}

#[test]
fn an_event_that_is_cut_off_is_not_reported_and_a_complete_one_is() {
    let stream = b"id: 4\ndata: {\"n\":4}\n\n: alive\n";
    let mut reader = discovery::Reader::default();
    reader.push(&stream[..15]);
    assert_eq!(reader.next_item(), Ok(None));
    let mut reader = discovery::Reader::default();
    reader.push(stream);
    assert_eq!(
        reader.next_item(),
        Ok(Some(discovery::FeedItem::Event(discovery::Event {
            number: 4,
            list: None
        })))
    );
    assert_eq!(reader.next_item(), Ok(Some(discovery::FeedItem::KeepAlive)));
}

#[test]
fn an_unreadable_list_entry_does_not_affect_the_others() {
    let valid =
        r#"{"id":"a","host_port":"10.1.0.9:5080","locality":"e","flavor":"s","phase":"left"}"#;
    let mut reader = discovery::Reader::default();
    reader
        .push(format!("data: {{\"n\":2,\"members\":{{\"members\":[7,{valid}]}}}}\n\n").as_bytes());
    let Ok(Some(discovery::FeedItem::Event(discovery::Event {
        list: Some(list), ..
    }))) = reader.next_item()
    else {
        panic!("not read")
    };
    let readable = list
        .entries
        .iter()
        .map(|entry| matches!(entry, discovery::ListEntry::Node(_)));
    assert_eq!(readable.collect::<Vec<bool>>(), [false, true]);
}

#[test_case(MAX_MESSAGE_BYTES - 9 - 3, true; "of the maximum length")]
#[test_case(MAX_MESSAGE_BYTES - 9 - 2, false; "one byte longer")]
fn no_message_is_encoded_that_is_too_long_to_be_read(description: usize, accepted: bool) {
    let written = encode(
        MessageType::Answer,
        1,
        &[(client::DESCRIPTION, &vec![0; description])],
    );
    assert_eq!(written.is_some(), accepted);
    let mut reader = client::Reader::default();
    reader.push(&written.unwrap_or_default());
    assert_eq!(
        reader.next_message().map(|message| message.is_some()),
        Ok(accepted)
    );
}

#[test_case("x0:12;x1:-0.5", Some(2); "valid")]
#[test_case("x0:inf", None; "a value that is not finite")]
#[test_case("x0", None; "no value")]
fn load_reports_hold_finite_numbers_only(text: &str, pairs: Option<usize>) {
    assert_eq!(parse_load_report(text).ok().map(|pairs| pairs.len()), pairs);
}

/// Counts the messages in bytes that arrive in pieces; returns `None` if a reader reports an error.
fn count_messages<M>(
    bytes: &[u8],
    cuts: &[usize],
    mut push: impl FnMut(&[u8]) -> Vec<Result<M, ()>>,
) -> Option<usize> {
    let mut count = 0;
    let mut rest = bytes;
    for cut in cuts.iter().copied().chain([bytes.len()]) {
        let (piece, after) = rest.split_at(cut.min(rest.len()));
        rest = after;
        for message in push(piece) {
            message.ok()?;
            count += 1;
        }
    }
    Some(count)
}

fn client_messages(bytes: &[u8], cuts: &[usize]) -> Option<usize> {
    let mut reader = client::Reader::default();
    count_messages(bytes, cuts, |piece| {
        reader.push(piece);
        std::iter::from_fn(|| reader.next_message().map_err(|_| ()).transpose())
            .take(1_000)
            .collect()
    })
}

fn node_messages(bytes: &[u8], cuts: &[usize]) -> Option<usize> {
    let mut reader = node::Reader::default();
    count_messages(bytes, cuts, |piece| {
        reader.push(piece);
        std::iter::from_fn(|| reader.next_message().map_err(|_| ()).transpose())
            .take(1_000)
            .collect()
    })
}

proptest! {
    #[test]
    fn client_messages_survive_any_split(
        tasks in prop::collection::vec(any::<u64>(), 1..20),
        value in prop::collection::vec(any::<u8>(), 0..300),
        cuts in prop::collection::vec(0usize..200, 0..20),
    ) {
        let bytes: Vec<u8> = tasks
            .iter()
            .flat_map(|&task| encode(MessageType::Release, task, &[(CAUSE, &[34]), (client::TASK_NAME, &value)]).expect("short"))
            .collect();
        prop_assert_eq!(client_messages(&bytes, &cuts), Some(tasks.len()));
    }

    #[test]
    fn node_lines_survive_any_split(
        ids in prop::collection::vec(any::<u64>(), 1..20),
        text in ".{0,80}",
        cuts in prop::collection::vec(0usize..200, 0..20),
    ) {
        let line = |&id: &u64| {
            let message = node::Message::new(node::MessageType::Ready, id).with_cause(16);
            node::Message { text: Some(text.clone()), ..message }.to_line().expect("short")
        };
        let bytes: Vec<u8> = ids.iter().flat_map(line).collect();
        prop_assert_eq!(node_messages(&bytes, &cuts), Some(ids.len()));
    }

    #[test]
    fn no_damaged_input_makes_a_reader_panic(
        mut bytes in prop::collection::vec(any::<u8>(), 0..4_000),
        cuts in prop::collection::vec(0usize..500, 0..10),
        damaged in any::<u8>(),
        at in any::<prop::sample::Index>(),
    ) {
        let mut valid = encode(MessageType::SetUp, 1, &[(client::CLASS, b"batch")]).expect("short");
        let position = at.index(valid.len());
        valid[position] = damaged;
        bytes.splice(0..0, valid);
        client_messages(&bytes, &cuts);
        node_messages(&bytes, &cuts);
        let mut reader = discovery::Reader::default();
        reader.push(&bytes);
        while let Ok(Some(_)) = reader.next_item() {}
    }
}

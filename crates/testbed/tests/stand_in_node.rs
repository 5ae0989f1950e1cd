//! Replays recorded calls to a stand-in node and compares its replies byte for byte: its answers to
//! offers, and its state of rollouts, the minimum version, maintenance and configuration versions
//! across a restart. Requests are sent as recorded bytes, so that the test does not depend on the
//! names of message types.
//!
//! `tests/data/node-calls.txt` was recorded with the first release of the stand-in. A line is a call
//! with its reply, `unary METHOD REQUEST = REPLY` or `stream METHOD REQUEST = MESSAGE…`, or
//! `restart`. An error is written as `! CODE TEXT`. Values that depend on the clock are left out:
//! reports of resource use, load reports that accompany other events, and the time since the last
//! change of a cordon.

use corkspan_api::v1;
use corkspan_rpc::{Connection, ConnectionLimits, SharedExecutor};
use corkspan_scheduler::interface::Resources;
use corkspan_testbed::capture::{Capture, NodeState};
use corkspan_testbed::node::{Node, NodeConfig, SharedContext, SlowStart};
use futures_lite::{StreamExt, future};
use prost::Message;
use prost::bytes::{Buf, BufMut};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::{Request, Status, Streaming};

const RECORDED: &str = include_str!("data/node-calls.txt");

/// A codec that passes encoded messages through unchanged.
#[derive(Clone, Copy, Default)]
struct RawCodec;

impl Codec for RawCodec {
    type Encode = Vec<u8>;
    type Decode = Vec<u8>;
    type Encoder = RawCodec;
    type Decoder = RawCodec;

    fn encoder(&mut self) -> RawCodec {
        RawCodec
    }

    fn decoder(&mut self) -> RawCodec {
        RawCodec
    }
}

impl Encoder for RawCodec {
    type Item = Vec<u8>;
    type Error = Status;

    fn encode(&mut self, item: Vec<u8>, to: &mut EncodeBuf<'_>) -> Result<(), Status> {
        to.put_slice(&item);
        Ok(())
    }
}

impl Decoder for RawCodec {
    type Item = Vec<u8>;
    type Error = Status;

    fn decode(&mut self, from: &mut DecodeBuf<'_>) -> Result<Option<Vec<u8>>, Status> {
        let mut message = vec![0; from.remaining()];
        from.copy_to_slice(&mut message);
        Ok(Some(message))
    }
}

fn config() -> NodeConfig {
    NodeConfig {
        id: 3,
        machine_type: "small".into(),
        zone: "a".into(),
        cell: 1,
        capacity: Resources {
            cores: 40.0,
            memory: 80.0,
        },
        admission_limit: Resources {
            cores: 2.0,
            memory: 1.5,
        },
        review_time: Duration::from_millis(1),
        max_queued: 100,
        start_time: Duration::from_millis(4),
        uncached_start_factor: 2,
        max_concurrent_starts: 4,
        max_cached_programs: 4,
        preempts: true,
        slow_start: SlowStart {
            duration: Duration::from_secs(2),
            window: Duration::from_secs(1),
            max_offers: 12,
            initial_rate: 0.5,
        },
        seed: 1,
    }
}

fn format_hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
    }
    // An empty message is written as a dash, so that its field in the line is not empty.
    if text.is_empty() { "-".into() } else { text }
}

fn parse_hex(hex: &str) -> Vec<u8> {
    let digits = hex.trim_start_matches('-').as_bytes();
    let pairs = digits.chunks(2).map(|pair| std::str::from_utf8(pair));
    pairs
        .map(|pair| u8::from_str_radix(pair.expect("digits"), 16).expect("a hexadecimal byte"))
        .collect()
}

fn format_status(status: &Status) -> String {
    format!("! {} {}", status.code() as i32, status.message())
}

/// A stand-in node and a connection to it.
struct Conversation {
    tasks: SharedExecutor,
    node: Arc<Node>,
    connection: Connection,
}

impl Conversation {
    async fn start(tasks: &SharedExecutor) -> Conversation {
        let capture = Capture::new(None).expect("a capture without a file opens");
        let context = SharedContext::new(capture, tasks, Some("jobs".into()));
        let node = Node::new(config(), &context);
        let connection = Conversation::connect(tasks, &node).await;
        let tasks = Arc::clone(tasks);
        Conversation {
            tasks,
            node,
            connection,
        }
    }

    async fn connect(tasks: &SharedExecutor, node: &Arc<Node>) -> Connection {
        let address = node.start_process(false).await.expect("a free port");
        let connection = Connection::open(tasks, address, &ConnectionLimits::default()).await;
        connection.expect("the node listens")
    }

    async fn unary(&self, method: &str, request: Vec<u8>) -> String {
        let mut client = tonic::client::Grpc::new(self.connection.clone());
        client.ready().await.expect("an open connection");
        let path = format!("/corkspan.v1.Node/{method}");
        let path = path.parse().expect("a valid path");
        match client.unary(Request::new(request), path, RawCodec).await {
            Ok(reply) => format_hex(&without_elapsed_time(method, reply.into_inner())),
            Err(status) => format_status(&status),
        }
    }

    async fn stream(&self, method: &str, request: Vec<u8>) -> String {
        let mut client = tonic::client::Grpc::new(self.connection.clone());
        client.ready().await.expect("an open connection");
        let path = format!("/corkspan.v1.Node/{method}");
        let path = path.parse().expect("a valid path");
        let reply = client
            .server_streaming(Request::new(request), path, RawCodec)
            .await;
        match reply {
            Ok(reply) => read_messages(reply.into_inner()).await,
            Err(status) => format_status(&status),
        }
    }

    /// Replays the call of a recorded line and returns the line with the present reply.
    async fn replay(&mut self, line: &str) -> String {
        let call = line.split(" = ").next().expect("a call");
        let reply = match call.split(' ').collect::<Vec<_>>()[..] {
            ["restart"] => {
                self.node.kill(NodeState::Gone);
                self.connection = Conversation::connect(&self.tasks, &self.node).await;
                return line.to_owned();
            }
            ["unary", method, request] => self.unary(method, parse_hex(request)).await,
            ["stream", method, request] => self.stream(method, parse_hex(request)).await,
            _ => panic!("unknown call: {line}"),
        };
        format!("{call} = {reply}")
    }
}

/// Returns the reply of a call without the value that depends on the clock.
fn without_elapsed_time(method: &str, reply: Vec<u8>) -> Vec<u8> {
    if method != "Door" {
        return reply;
    }
    let mut response = v1::CordonResponse::decode(&reply[..]).expect("a valid reply");
    response.since_ms = 0;
    response.encode_to_vec()
}

/// Returns all messages of a stream in the recorded form, without the values that depend on the
/// clock.
async fn read_messages(mut stream: Streaming<Vec<u8>>) -> String {
    let mut all = Vec::new();
    while let Some(message) = stream.next().await {
        let message = match message {
            Ok(message) => message,
            Err(status) => {
                all.push(format_status(&status));
                break;
            }
        };
        let mut message = v1::AttemptEvent::decode(&message[..]).expect("a valid message");
        message.load_report = None;
        if !matches!(message.event, Some(v1::attempt_event::Event::Usage(_))) {
            all.push(format_hex(&message.encode_to_vec()));
        }
    }
    all.join(" ")
}

#[test]
fn the_stand_in_answers_a_recorded_conversation_byte_for_byte() {
    let tasks = SharedExecutor::default();
    let replay = async {
        let mut conversation = Conversation::start(&tasks).await;
        for (number, line) in RECORDED.lines().enumerate() {
            let actual = conversation.replay(line).await;
            assert_eq!(actual, line, "line {}", number + 1);
        }
    };
    future::block_on(tasks.run(replay));
}

#[test]
fn the_recorded_conversation_holds_every_method_and_a_restart() {
    let calls = [
        "unary Greet",
        "unary Keep",
        "unary Door",
        "unary Acts",
        "unary Stop",
        "unary Probe",
        "stream Offer",
        "stream Attend",
        "restart",
    ];
    for call in calls {
        assert!(
            RECORDED.lines().any(|line| line.starts_with(call)),
            "{call}"
        );
    }
    let errors = RECORDED.lines().filter(|line| line.contains(" = ! "));
    assert_eq!(errors.count(), 6);
}

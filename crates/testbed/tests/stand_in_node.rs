//! The stand-in of a node answers a recorded conversation byte for byte: what it keeps of rolling
//! updates, of the minimum version, of maintenance and of configuration versions, over its own
//! restart, and what it says to offers. Calls are sent as recorded bytes, so that no message's name
//! is needed.
//!
//! `tests/data/node-calls.txt` was recorded with the first release of the stand-in. A line is a call
//! and its answer: `unary METHOD REQUEST = ANSWER`, `stream METHOD REQUEST = MESSAGE…`, where an
//! error is `! CODE TEXT`; or `restart`. Left out are what depends on the clock: notes of use, load
//! reports beside other news, and how long a cordon has been as it is.

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

/// Sends and receives messages as the bytes that they are.
#[derive(Clone, Copy, Default)]
struct Raw;

impl Codec for Raw {
    type Encode = Vec<u8>;
    type Decode = Vec<u8>;
    type Encoder = Raw;
    type Decoder = Raw;

    fn encoder(&mut self) -> Raw {
        Raw
    }

    fn decoder(&mut self) -> Raw {
        Raw
    }
}

impl Encoder for Raw {
    type Item = Vec<u8>;
    type Error = Status;

    fn encode(&mut self, item: Vec<u8>, to: &mut EncodeBuf<'_>) -> Result<(), Status> {
        to.put_slice(&item);
        Ok(())
    }
}

impl Decoder for Raw {
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
        load_factor: 2,
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

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").expect("a string");
    }
    // An empty message is written too.
    if text.is_empty() { "-".into() } else { text }
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.trim_start_matches('-').as_bytes();
    let pairs = digits.chunks(2).map(|pair| std::str::from_utf8(pair));
    pairs
        .map(|pair| u8::from_str_radix(pair.expect("digits"), 16).expect("a byte"))
        .collect()
}

fn failed(status: &Status) -> String {
    format!("! {} {}", status.code() as i32, status.message())
}

/// One stand-in and a link to it.
struct Conversation {
    tasks: SharedExecutor,
    node: Arc<Node>,
    link: Connection,
}

impl Conversation {
    async fn begin(tasks: &SharedExecutor) -> Conversation {
        let capture = Capture::new(None).expect("no file, no failure");
        let context = SharedContext::new(capture, tasks, Some("jobs".into()));
        let node = Node::new(config(), &context);
        let link = Conversation::connect(tasks, &node).await;
        let tasks = Arc::clone(tasks);
        Conversation { tasks, node, link }
    }

    async fn connect(tasks: &SharedExecutor, node: &Arc<Node>) -> Connection {
        let address = node.start_process(false).await.expect("a port");
        let link = Connection::open(tasks, address, &ConnectionLimits::default()).await;
        link.expect("it listens")
    }

    async fn unary(&self, method: &str, request: Vec<u8>) -> String {
        let mut client = tonic::client::Grpc::new(self.link.clone());
        client.ready().await.expect("a link");
        let path = format!("/corkspan.v1.Node/{method}");
        let path = path.parse().expect("a path");
        match client.unary(Request::new(request), path, Raw).await {
            Ok(answer) => hex(&steady(method, answer.into_inner())),
            Err(status) => failed(&status),
        }
    }

    async fn stream(&self, method: &str, request: Vec<u8>) -> String {
        let mut client = tonic::client::Grpc::new(self.link.clone());
        client.ready().await.expect("a link");
        let path = format!("/corkspan.v1.Node/{method}");
        let path = path.parse().expect("a path");
        let answer = client
            .server_streaming(Request::new(request), path, Raw)
            .await;
        match answer {
            Ok(answer) => messages(answer.into_inner()).await,
            Err(status) => failed(&status),
        }
    }

    /// What this line comes to now.
    async fn replay(&mut self, line: &str) -> String {
        let call = line.split(" = ").next().expect("a call");
        let answer = match call.split(' ').collect::<Vec<_>>()[..] {
            ["restart"] => {
                self.node.kill(NodeState::Gone);
                self.link = Conversation::connect(&self.tasks, &self.node).await;
                return line.to_owned();
            }
            ["unary", method, request] => self.unary(method, bytes(request)).await,
            ["stream", method, request] => self.stream(method, bytes(request)).await,
            _ => panic!("no such call: {line}"),
        };
        format!("{call} = {answer}")
    }
}

/// Without what depends on the clock.
fn steady(method: &str, answer: Vec<u8>) -> Vec<u8> {
    if method != "Door" {
        return answer;
    }
    let mut response = v1::CordonResponse::decode(&answer[..]).expect("an answer");
    response.since_ms = 0;
    response.encode_to_vec()
}

async fn messages(mut stream: Streaming<Vec<u8>>) -> String {
    let mut all = Vec::new();
    while let Some(message) = stream.next().await {
        let message = match message {
            Ok(message) => message,
            Err(status) => {
                all.push(failed(&status));
                break;
            }
        };
        let mut message = v1::AttemptEvent::decode(&message[..]).expect("a message");
        message.load_report = None;
        if !matches!(message.event, Some(v1::attempt_event::Event::Usage(_))) {
            all.push(hex(&message.encode_to_vec()));
        }
    }
    all.join(" ")
}

#[test]
fn the_stand_in_answers_a_recorded_conversation_byte_for_byte() {
    let tasks = SharedExecutor::default();
    let whole = async {
        let mut conversation = Conversation::begin(&tasks).await;
        for (number, line) in RECORDED.lines().enumerate() {
            let now = conversation.replay(line).await;
            assert_eq!(now, line, "line {}", number + 1);
        }
    };
    future::block_on(tasks.run(whole));
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
    let refused = RECORDED.lines().filter(|line| line.contains(" = ! "));
    assert_eq!(refused.count(), 6);
}

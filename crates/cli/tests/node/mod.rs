//! A stand-in for nodes, on the platform's published protocol.

use crate::program::{Limits, Program};
use corkspan_platform_wire::MAX_MESSAGE_BYTES;
use corkspan_platform_wire::node::{Message, MessageType, Reader};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// The cause of a release before the answer: the node can't use the set-up.
const CAUSE_ERROR: u32 = 47;

/// What becomes of the set-ups whose description is not `good`.
#[derive(Clone, Copy)]
pub enum OtherSetUps {
    #[allow(dead_code, reason = "used by the test of memory only")]
    Ignored,
    #[allow(dead_code, reason = "used by the test of floods only")]
    Failed,
}

/// The number of nodes in the list, all at the address of the stand-in.
const LISTED_NODES: usize = 4;

/// Starts the program and a stand-in for its nodes. The control feed is down.
pub fn start_program(limits: Limits, others: OtherSetUps) -> Program {
    let listener = || TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let (nodes, discovery) = (listener(), listener());
    let feed = discovery.local_addr().expect("bound");
    let address = nodes.local_addr().expect("bound");
    std::thread::spawn(move || serve_set_ups(nodes, others));
    Program::start(limits, feed, LISTED_NODES, address, &[])
}

/// Answers each set-up whose description is `good`, on every connection.
fn serve_set_ups(listener: TcpListener, others: OtherSetUps) {
    for stream in listener.incoming().map_while(Result::ok) {
        std::thread::spawn(move || serve_connection(stream, others));
    }
}

fn serve_connection(mut stream: TcpStream, others: OtherSetUps) {
    let (mut reader, mut bytes) = (Reader::default(), vec![0; MAX_MESSAGE_BYTES]);
    while let Ok(count @ 1..) = stream.read(&mut bytes) {
        reader.push(&bytes[..count]);
        while let Ok(Some(message)) = reader.next_message() {
            let reply = reply(&message, others).and_then(|reply| reply.to_line());
            if reply.is_some_and(|line| stream.write_all(&line).is_err()) {
                return;
            }
        }
    }
}

fn reply(message: &Message, others: OtherSetUps) -> Option<Message> {
    let task = message.task_id?;
    match (message.message_type, message.text.as_deref(), others) {
        (MessageType::Open, Some("good"), _) => Some(Message {
            text: Some("made".into()),
            ..Message::new(MessageType::Ready, task)
        }),
        (MessageType::Open, _, OtherSetUps::Failed) => {
            Some(Message::new(MessageType::Close, task).with_cause(CAUSE_ERROR))
        }
        _ => None,
    }
}

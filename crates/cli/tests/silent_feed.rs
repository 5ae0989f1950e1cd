//! A control feed that falls silent, and whose next connection stays silent too.

mod program;

use program::{Limits, Program, TIMEOUT};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};
/// Time after which what a silent feed would have told counts as told.
const COUNTS_AS_TOLD_AFTER: Duration = Duration::from_secs(4);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: comment\n\n";

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice")
}

/// Accepts a connection, and reads its request.
fn accept(feed: &TcpListener) -> TcpStream {
    let (mut stream, _) = feed.accept().expect("a connection");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("a socket option");
    assert!(stream.read(&mut [0; 1_024]).expect("a request") > 0);
    stream
}

/// Guards against ends that are told late: what the list tells of them arrives after it counts as told.
#[test]
fn a_feed_whose_next_connection_is_silent_too_is_connected_to_again_in_time() {
    let (feed, node) = (listener(), listener());
    let address = |listener: &TcpListener| listener.local_addr().expect("bound");
    let _program = Program::start(LIMITS, address(&feed), 1, address(&node), &[]);
    let mut silent = accept(&feed);
    silent.write_all(RESPONSE).expect("written");
    let silent_since = Instant::now();
    let _silent_too = accept(&feed);
    let _next = accept(&feed);
    let after = silent_since.elapsed();
    assert!(after < COUNTS_AS_TOLD_AFTER, "{after:?}");
}

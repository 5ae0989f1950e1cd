//! Whose turn it is, told by counts and not by times.

use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream as Peer};
use std::sync::atomic::AtomicU32;

/// A connection on which these bytes have come already, and the peer's end of it.
fn told(bytes: &[u8]) -> (TcpStream, Peer) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let mut peer = Peer::connect(listener.local_addr().expect("bound")).expect("connected");
    peer.write_all(bytes).expect("written");
    let (stream, _) = listener.accept().expect("accepted");
    (TcpStream::try_from(stream).expect("a stream"), peer)
}

#[test]
fn a_burst_on_every_owners_connection_lets_a_nodes_word_through() {
    const OWNERS: usize = 20;
    let tasks = corkspan_runtime::Tasks::default();
    let (owners, node) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let mut kept = Vec::new();
    for _ in 0..OWNERS {
        let ((stream, peer), (out, inbox)) = (told(&[0; 500]), outbox());
        let (owners, mut left) = (Arc::clone(&owners), 0);
        kept.push((peer, out));
        let carried = async move {
            let heard = |bytes: &[u8]| {
                left += bytes.len();
                owners.fetch_add(u32::from(left > 0), Ordering::Relaxed);
                left = left.saturating_sub(1);
                if left > 0 { Heard::One } else { Heard::All }
            };
            carry(stream, inbox, || {}, heard).await;
        };
        tasks.spawn(carried).detach();
    }
    let ((stream, peer), (out, inbox)) = (told(b"over"), outbox());
    kept.push((peer, out));
    let word = Arc::clone(&node);
    let heard = move |_: &[u8]| {
        word.fetch_add(1, Ordering::Relaxed);
        Heard::All
    };
    tasks.spawn(async move { carry(stream, inbox, || {}, heard).await }).detach();
    while node.load(Ordering::Relaxed) == 0 {
        future::block_on(tasks.tick());
    }
    let before = owners.load(Ordering::Relaxed) as usize;
    assert!(before <= OWNERS, "{before} messages of owners went before it, of {}", OWNERS * 500);
    while owners.load(Ordering::Relaxed) < (OWNERS * 500) as u32 {
        future::block_on(tasks.tick());
    }
}

#[test]
fn a_set_up_that_was_given_up_before_it_was_written_never_is() {
    let tasks = corkspan_runtime::Tasks::default();
    let ((stream, mut peer), (out, inbox)) = (told(b""), outbox());
    assert!(out.send_set_up(1, b"one".to_vec()) && out.send_set_up(2, b"two".to_vec()));
    assert!(out.take_back(1), "nothing of it has been written");
    assert!(!out.take_back(1), "and that is so once");
    assert!(out.send(b"end".to_vec()));
    let carried = tasks.spawn(async move { carry(stream, inbox, || {}, |_| Heard::All).await });
    drop(out);
    future::block_on(tasks.run(carried));
    let mut written = String::new();
    std::io::Read::read_to_string(&mut peer, &mut written).expect("text");
    assert_eq!(written, "twoend");
}

//! Tests the faults of the relay by the bytes that arrive at both ends of a connection.

use async_net::{TcpListener, TcpStream};
use corkspan_rpc::{SharedExecutor, within};
use corkspan_testbed::relay::{Direction, Relay};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::time::{Duration, Instant};
use test_case::test_case;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Long enough for bytes that are not held to arrive.
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// An open connection through a relay, with the listener behind the relay.
struct RelayedConnection {
    tasks: SharedExecutor,
    relay: Relay,
    client: TcpStream,
    server: TcpStream,
    listener: TcpListener,
}

/// Runs a test on a new connection through a relay.
fn run_test<F: Future<Output = ()>>(test: impl FnOnce(RelayedConnection) -> F) {
    let tasks = SharedExecutor::default();
    let set_up_and_run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let relay = Relay::start(&tasks, listener.local_addr().expect("bound"))
            .await
            .expect("a free port");
        let client = TcpStream::connect(relay.address)
            .await
            .expect("the relay listens");
        let (server, _) = listener
            .accept()
            .await
            .expect("the relay opens a connection to the target");
        test(RelayedConnection {
            tasks: tasks.clone(),
            relay,
            client,
            server,
            listener,
        })
        .await;
    };
    future::block_on(tasks.run(within(TEST_TIMEOUT, set_up_and_run)))
        .expect("the test ends before its timeout");
}

/// Reads one byte. Returns none at the end of the stream or on an error.
async fn read_byte(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    match stream.read(&mut byte).await {
        Ok(1) => Some(byte[0]),
        _ => None,
    }
}

#[test_case(&[Direction::In]; "only received bytes")]
#[test_case(&[Direction::Out]; "only sent bytes")]
#[test_case(&[Direction::In, Direction::Out]; "both directions")]
fn a_held_direction_is_silent_and_passes_its_bytes_when_healed(directions: &[Direction]) {
    run_test(async |mut connection| {
        connection.relay.hold(directions);
        connection
            .client
            .write_all(b"o")
            .await
            .expect("the bytes are written");
        connection
            .server
            .write_all(b"i")
            .await
            .expect("the bytes are written");
        let out = within(SHORT_WAIT, read_byte(&mut connection.server)).await;
        let back = within(SHORT_WAIT, read_byte(&mut connection.client)).await;
        assert_eq!(
            (out.is_none(), back.is_none()),
            (
                directions.contains(&Direction::Out),
                directions.contains(&Direction::In)
            )
        );
        connection.relay.heal();
        let out = match out {
            Some(byte) => byte,
            None => read_byte(&mut connection.server).await,
        };
        let back = match back {
            Some(byte) => byte,
            None => read_byte(&mut connection.client).await,
        };
        assert_eq!((out, back), (Some(b'o'), Some(b'i')));
    });
}

#[test]
fn new_connections_are_held_while_an_open_one_continues() {
    run_test(async |mut connection| {
        connection.relay.hold_new_connections();
        let mut new_client = TcpStream::connect(connection.relay.address)
            .await
            .expect("the relay listens");
        new_client
            .write_all(b"n")
            .await
            .expect("the bytes are written");
        assert!(
            within(SHORT_WAIT, connection.listener.accept())
                .await
                .is_none()
        );
        connection
            .client
            .write_all(b"o")
            .await
            .expect("the bytes are written");
        assert_eq!(read_byte(&mut connection.server).await, Some(b'o'));
        connection.relay.heal();
        let (mut server, _) = connection
            .listener
            .accept()
            .await
            .expect("the relay opens a connection to the target");
        assert_eq!(read_byte(&mut server).await, Some(b'n'));
    });
}

#[test]
fn a_reset_closes_both_ends_of_all_connections_and_new_ones_open() {
    run_test(async |mut connection| {
        connection.relay.hold(&[Direction::In, Direction::Out]);
        connection.relay.reset();
        assert_eq!(
            (
                read_byte(&mut connection.client).await,
                read_byte(&mut connection.server).await
            ),
            (None, None)
        );
        connection.relay.heal();
        let mut new_client = TcpStream::connect(connection.relay.address)
            .await
            .expect("the relay listens");
        new_client
            .write_all(b"a")
            .await
            .expect("the bytes are written");
        let (mut server, _) = connection
            .listener
            .accept()
            .await
            .expect("the relay opens a connection to the target");
        assert_eq!(read_byte(&mut server).await, Some(b'a'));
        drop(connection.tasks);
    });
}

#[test]
fn delayed_bytes_arrive_after_the_delay() {
    run_test(async |mut connection| {
        connection.relay.delay(&[Direction::Out], SHORT_WAIT);
        let since = Instant::now();
        connection
            .client
            .write_all(b"d")
            .await
            .expect("the bytes are written");
        assert_eq!(read_byte(&mut connection.server).await, Some(b'd'));
        assert!(since.elapsed() >= SHORT_WAIT);
    });
}

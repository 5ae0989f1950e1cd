//! What the relay does to a link, told by the bytes at both ends.

use async_net::{TcpListener, TcpStream};
use corkspan_rpc::{SharedExecutor, within};
use corkspan_testbed::relay::{Direction, Relay};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::time::{Duration, Instant};
use test_case::test_case;

const PATIENCE: Duration = Duration::from_secs(20);
/// Long enough for anything that is not held to come.
const A_WHILE: Duration = Duration::from_millis(100);

struct Link {
    tasks: SharedExecutor,
    relay: Relay,
    opener: TcpStream,
    other: TcpStream,
    listener: TcpListener,
}

fn story<F: Future<Output = ()>>(story: impl FnOnce(Link) -> F) {
    let tasks = SharedExecutor::default();
    let whole = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relay = Relay::start(&tasks, listener.local_addr().expect("bound"))
            .await
            .expect("a port");
        let opener = TcpStream::connect(relay.address).await.expect("it listens");
        let (other, _) = listener.accept().await.expect("passed on");
        story(Link {
            tasks: tasks.clone(),
            relay,
            opener,
            other,
            listener,
        })
        .await;
    };
    future::block_on(tasks.run(within(PATIENCE, whole))).expect("the story comes to its end");
}

async fn hears(stream: &mut TcpStream) -> Option<u8> {
    let mut byte = [0];
    match stream.read(&mut byte).await {
        Ok(1) => Some(byte[0]),
        _ => None,
    }
}

#[test_case(&[Direction::In]; "only what comes back")]
#[test_case(&[Direction::Out]; "only what is sent")]
#[test_case(&[Direction::In, Direction::Out]; "both")]
fn a_way_that_is_held_is_silent_and_tells_all_when_it_is_healed(ways: &[Direction]) {
    story(async |mut link| {
        link.relay.hold(ways);
        link.opener.write_all(b"o").await.expect("taken");
        link.other.write_all(b"i").await.expect("taken");
        let out = within(A_WHILE, hears(&mut link.other)).await;
        let back = within(A_WHILE, hears(&mut link.opener)).await;
        assert_eq!(
            (out.is_none(), back.is_none()),
            (
                ways.contains(&Direction::Out),
                ways.contains(&Direction::In)
            )
        );
        link.relay.heal();
        let out = match out {
            Some(byte) => byte,
            None => hears(&mut link.other).await,
        };
        let back = match back {
            Some(byte) => byte,
            None => hears(&mut link.opener).await,
        };
        assert_eq!((out, back), (Some(b'o'), Some(b'i')));
    });
}

#[test]
fn new_links_alone_are_held_while_one_that_stands_goes_on() {
    story(async |mut link| {
        link.relay.hold_new_connections();
        let mut late = TcpStream::connect(link.relay.address)
            .await
            .expect("the relay itself is there");
        late.write_all(b"n").await.expect("taken");
        assert!(within(A_WHILE, link.listener.accept()).await.is_none());
        link.opener.write_all(b"o").await.expect("taken");
        assert_eq!(hears(&mut link.other).await, Some(b'o'));
        link.relay.heal();
        let (mut other, _) = link.listener.accept().await.expect("passed on");
        assert_eq!(hears(&mut other).await, Some(b'n'));
    });
}

#[test]
fn a_reset_ends_both_sides_of_all_links_and_new_ones_stand() {
    story(async |mut link| {
        link.relay.hold(&[Direction::In, Direction::Out]);
        link.relay.reset();
        assert_eq!(
            (hears(&mut link.opener).await, hears(&mut link.other).await),
            (None, None)
        );
        link.relay.heal();
        let mut again = TcpStream::connect(link.relay.address)
            .await
            .expect("it listens");
        again.write_all(b"a").await.expect("taken");
        let (mut other, _) = link.listener.accept().await.expect("passed on");
        assert_eq!(hears(&mut other).await, Some(b'a'));
        drop(link.tasks);
    });
}

#[test]
fn what_is_delayed_comes_late_and_whole() {
    story(async |mut link| {
        link.relay.delay(&[Direction::Out], A_WHILE);
        let since = Instant::now();
        link.opener.write_all(b"d").await.expect("taken");
        assert_eq!(hears(&mut link.other).await, Some(b'd'));
        assert!(since.elapsed() >= A_WHILE);
    });
}

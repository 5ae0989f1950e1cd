//! A loopback relay between two processes that injects network faults: it holds the bytes of one or
//! both directions while connections stay open, holds new connections only, delays bytes, and
//! resets connections. Held bytes are passed on when the relay is healed, as after a network
//! outage; bytes on a connection that is reset are lost.

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use corkspan_rpc::SharedExecutor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A direction of bytes, as seen by the process that opens connections through the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To that process.
    In,
    /// From that process.
    Out,
}

/// The fault that the relay injects into one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fault {
    #[default]
    None,
    /// No bytes pass, and neither end is notified.
    Hold,
    /// All bytes pass in order, delayed by this duration.
    Delay(Duration),
}

#[derive(Default)]
struct State {
    faults: [Fault; 2],
    /// Whether new connections are held: accepted, but not connected to the target.
    holds_new_connections: bool,
    /// The address to which new connections are relayed.
    target: Option<SocketAddr>,
    /// One sender for each open connection; dropping it resets the connection.
    connections: Vec<async_channel::Sender<()>>,
    /// Bytes to and from the process that opens connections, in the order of [`Direction`], counted
    /// at the connection to that process.
    bytes_passed: [u64; 2],
    /// Wakes the tasks that wait for a change of this state.
    changed: notification::ChangeNotification,
}

/// A relay to one address. Dropping it resets all its connections.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _accept_task: async_executor::Task<()>,
}

/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The maximum number of chunks read but not yet passed on. Beyond it the relay stops reading and
/// the sender's own buffers fill.
const MAX_QUEUED_CHUNKS: usize = 256;

impl Relay {
    pub async fn start(tasks: &SharedExecutor, target: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = State {
            target: Some(target),
            ..State::default()
        };
        let (address, state) = (listener.local_addr()?, Arc::new(Mutex::new(state)));
        let accept_task = {
            let (tasks, state) = (Arc::clone(tasks), Arc::clone(&state));
            Arc::clone(&tasks).spawn(async move {
                while let Ok((client, _)) = listener.accept().await {
                    let state = Arc::clone(&state);
                    tasks
                        .spawn(async move { relay_connection(state, client).await })
                        .detach();
                }
            })
        };
        Ok(Relay {
            address,
            state,
            _accept_task: accept_task,
        })
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        let mut state = lock(&self.state);
        change(&mut state);
        state.changed.notify();
    }

    /// Changes the target of new connections, for a listener that was restarted.
    pub fn set_target(&self, target: SocketAddr) {
        self.update(|state| state.target = Some(target));
    }

    /// Holds all bytes in these directions, on open and on new connections.
    pub fn hold(&self, directions: &[Direction]) {
        self.update(|state| {
            directions
                .iter()
                .for_each(|&direction| state.faults[direction as usize] = Fault::Hold)
        });
    }

    /// Delays all bytes in these directions, on open and on new connections.
    pub fn delay(&self, directions: &[Direction], delay: Duration) {
        self.update(|state| {
            directions
                .iter()
                .for_each(|&direction| state.faults[direction as usize] = Fault::Delay(delay))
        });
    }

    /// Holds new connections; open ones continue.
    pub fn hold_new_connections(&self) {
        self.update(|state| state.holds_new_connections = true);
    }

    /// Returns the bytes written to and read from the process that opens connections through the
    /// relay, in the order of [`Direction`].
    pub fn bytes_passed(&self) -> [u64; 2] {
        lock(&self.state).bytes_passed
    }

    /// Resets all open connections at both ends.
    pub fn reset(&self) {
        self.update(|state| state.connections.clear());
    }

    /// Removes all faults; held bytes and connections pass on.
    pub fn heal(&self) {
        self.update(|state| {
            (state.faults, state.holds_new_connections) = ([Fault::None; 2], false)
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.reset();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state
        .lock()
        .expect("no thread panics while holding the lock")
}

async fn relay_connection(state: Arc<Mutex<State>>, client: TcpStream) {
    let (reset_sender, reset) = async_channel::bounded::<()>(1);
    {
        let connections = &mut lock(&state).connections;
        connections.retain(|connection| !connection.is_closed());
        connections.push(reset_sender);
    }
    let relayed = async {
        // The kernel has accepted the connection, but the target has not seen it yet: a held
        // connection waits here, before its other half exists.
        wait_for(&state, |state| (!state.holds_new_connections).then_some(())).await;
        let Some(target) = lock(&state).target else {
            return;
        };
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let outbound = forward(&state, Direction::Out, client.clone(), server.clone());
        let inbound = forward(&state, Direction::In, server.clone(), client.clone());
        futures_lite::future::zip(outbound, inbound).await;
    };
    let wait_for_reset = async {
        let _ = reset.recv().await;
    };
    relayed.or(wait_for_reset).await;
    let _ = client.shutdown(Shutdown::Both);
}

/// Forwards bytes up to the end of the stream, and then the end itself. Reading and writing run
/// concurrently: if a delayed chunk held up the reading of the next one, the delays would add up
/// from chunk to chunk.
async fn forward(
    state: &Mutex<State>,
    direction: Direction,
    mut from: TcpStream,
    mut to: TcpStream,
) {
    let (chunk_sender, chunks) = async_channel::bounded::<(Instant, Vec<u8>)>(MAX_QUEUED_CHUNKS);
    let reading = async {
        let mut bytes = vec![0; READ_BUFFER_BYTES];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            if direction == Direction::Out {
                lock(state).bytes_passed[direction as usize] += count as u64;
            }
            if chunk_sender
                .send((Instant::now(), bytes[..count].to_vec()))
                .await
                .is_err()
            {
                break;
            }
        }
        // The end of the stream is delayed like all bytes before it.
        let _ = chunk_sender.send((Instant::now(), Vec::new())).await;
        chunk_sender.close();
    };
    let writing = async {
        while let Ok((read_at, bytes)) = chunks.recv().await {
            let delay = wait_for(state, |state| match state.faults[direction as usize] {
                Fault::Hold => None,
                Fault::None => Some(Duration::ZERO),
                Fault::Delay(delay) => Some(delay),
            });
            Timer::at(read_at + delay.await).await;
            if bytes.is_empty() || to.write_all(&bytes).await.is_err() {
                break;
            }
            if direction == Direction::In {
                lock(state).bytes_passed[direction as usize] += bytes.len() as u64;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        // No more chunks are taken, so the reader must not wait for space in the queue.
        chunks.close();
    };
    futures_lite::future::zip(reading, writing).await;
}

/// Waits until the condition returns a value for the state, and returns that value.
async fn wait_for<T>(state: &Mutex<State>, condition: impl Fn(&State) -> Option<T>) -> T {
    loop {
        let changed = {
            let state = lock(state);
            if let Some(value) = condition(&state) {
                return value;
            }
            state.changed.wait()
        };
        changed.await;
    }
}

/// A notification to all waiting tasks. None is missed, as a task starts to wait while it holds the
/// lock of the state.
mod notification {
    use std::future::Future;

    pub struct ChangeNotification(async_channel::Sender<()>, async_channel::Receiver<()>);

    impl Default for ChangeNotification {
        fn default() -> Self {
            let (sender, receiver) = async_channel::bounded(1);
            ChangeNotification(sender, receiver)
        }
    }

    impl ChangeNotification {
        pub fn notify(&mut self) {
            self.0.close();
            *self = ChangeNotification::default();
        }

        pub fn wait(&self) -> impl Future<Output = ()> + use<> {
            let receiver = self.1.clone();
            async move {
                let _ = receiver.recv().await;
            }
        }
    }
}

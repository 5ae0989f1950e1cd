//! A relay on loopback between two processes, which can be made to fail as a network does: hold
//! what goes one way or both while links stand open in silence, hold new links alone, delay, and
//! reset. What it holds it passes on when it is healed, as a network that comes back does; what it
//! is told to reset is gone.

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use corkspan_rpc::SharedExecutor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Which of the bytes, as the process sees it that opens links through the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To it.
    In,
    /// From it.
    Out,
}

/// What the relay does to bytes of one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fault {
    #[default]
    None,
    /// Nothing passes, and nobody is told.
    Hold,
    /// All pass, in their order, so much later.
    Delay(Duration),
}

#[derive(Default)]
struct State {
    faults: [Fault; 2],
    /// New links come to stand at neither end.
    holds_new_connections: bool,
    /// Where new links lead.
    target: Option<SocketAddr>,
    /// Links that stand: dropped, they are reset.
    connections: Vec<async_channel::Sender<()>>,
    /// Bytes to and from the process that opens links, in the order of [`Direction`], counted at its
    /// side.
    bytes_passed: [u64; 2],
    /// Wakes what is held.
    changed: notification::ChangeNotification,
}

/// A relay to one address. Dropped, it goes with all its links.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _accept_task: async_executor::Task<()>,
}

/// Bytes read at once.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Pieces read and not passed on yet; beyond, the sender's own buffers fill.
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

    /// New links lead here from now on: who listens there was started anew.
    pub fn set_target(&self, target: SocketAddr) {
        self.update(|state| state.target = Some(target));
    }

    /// From here on nothing passes these ways, on links that stand and on new ones.
    pub fn hold(&self, directions: &[Direction]) {
        self.update(|state| {
            directions
                .iter()
                .for_each(|&direction| state.faults[direction as usize] = Fault::Hold)
        });
    }

    pub fn delay(&self, directions: &[Direction], delay: Duration) {
        self.update(|state| {
            directions
                .iter()
                .for_each(|&direction| state.faults[direction as usize] = Fault::Delay(delay))
        });
    }

    /// Links that stand go on; no other comes to stand.
    pub fn hold_new_connections(&self) {
        self.update(|state| state.holds_new_connections = true);
    }

    /// Bytes that came to the process that opens links through it, and that it sent, as far as this
    /// end has taken them.
    pub fn bytes_passed(&self) -> [u64; 2] {
        lock(&self.state).bytes_passed
    }

    /// Breaks all links that stand, at both ends.
    pub fn reset(&self) {
        self.update(|state| state.connections.clear());
    }

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
    state.lock().expect("no one panics while it is held")
}

async fn relay_connection(state: Arc<Mutex<State>>, client: TcpStream) {
    let (reset_sender, reset) = async_channel::bounded::<()>(1);
    {
        let connections = &mut lock(&state).connections;
        connections.retain(|connection| !connection.is_closed());
        connections.push(reset_sender);
    }
    let relayed = async {
        // Accepted by the kernel, and so far as the other end can see by nobody: held before its
        // other half exists.
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

/// Passes bytes on until their end, and then the end. Read apart from where they are written: what
/// is late must not hold up what comes after it, or each piece would be later than the one before.
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
        // The end is as late as all before it.
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
        // Nobody takes any more: the reader is not to wait for room.
        chunks.close();
    };
    futures_lite::future::zip(reading, writing).await;
}

/// What the state comes to allow.
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

/// Word to all that wait, none of which can be missed: it is waited for from within the lock.
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

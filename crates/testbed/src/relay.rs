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
    Held,
    /// All pass, in their order, so much later.
    Late(Duration),
}

#[derive(Default)]
struct State {
    ways: [Fault; 2],
    /// New links come to stand at neither end.
    no_new: bool,
    /// Where new links lead.
    to: Option<SocketAddr>,
    /// Links that stand: dropped, they are reset.
    links: Vec<async_channel::Sender<()>>,
    /// Bytes to and from the process that opens links, in the order of [`Direction`], counted at its
    /// side.
    passed: [u64; 2],
    /// Wakes what is held.
    changed: event::Changed,
}

/// A relay to one address. Dropped, it goes with all its links.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _listens: async_executor::Task<()>,
}

/// Bytes read at once.
const AT_ONCE: usize = 64 * 1024;
/// Pieces read and not passed on yet; beyond, the sender's own buffers fill.
const PIECES: usize = 256;

impl Relay {
    pub async fn start(tasks: &SharedExecutor, to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = State {
            to: Some(to),
            ..State::default()
        };
        let (address, state) = (listener.local_addr()?, Arc::new(Mutex::new(state)));
        let listens = {
            let (tasks, state) = (Arc::clone(tasks), Arc::clone(&state));
            Arc::clone(&tasks).spawn(async move {
                while let Ok((from, _)) = listener.accept().await {
                    let state = Arc::clone(&state);
                    tasks.spawn(async move { link(state, from).await }).detach();
                }
            })
        };
        Ok(Relay {
            address,
            state,
            _listens: listens,
        })
    }

    fn set(&self, change: impl FnOnce(&mut State)) {
        let mut state = lock(&self.state);
        change(&mut state);
        state.changed.tell();
    }

    /// New links lead here from now on: who listens there was started anew.
    pub fn set_target(&self, to: SocketAddr) {
        self.set(|state| state.to = Some(to));
    }

    /// From here on nothing passes these ways, on links that stand and on new ones.
    pub fn hold(&self, ways: &[Direction]) {
        self.set(|state| {
            ways.iter()
                .for_each(|&way| state.ways[way as usize] = Fault::Held)
        });
    }

    pub fn delay(&self, ways: &[Direction], by: Duration) {
        self.set(|state| {
            ways.iter()
                .for_each(|&way| state.ways[way as usize] = Fault::Late(by))
        });
    }

    /// Links that stand go on; no other comes to stand.
    pub fn hold_new_connections(&self) {
        self.set(|state| state.no_new = true);
    }

    /// Bytes that came to the process that opens links through it, and that it sent, as far as this
    /// end has taken them.
    pub fn bytes_passed(&self) -> [u64; 2] {
        lock(&self.state).passed
    }

    /// Breaks all links that stand, at both ends.
    pub fn reset(&self) {
        self.set(|state| state.links.clear());
    }

    pub fn heal(&self) {
        self.set(|state| (state.ways, state.no_new) = ([Fault::None; 2], false));
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

async fn link(state: Arc<Mutex<State>>, from: TcpStream) {
    let (stands, reset) = async_channel::bounded::<()>(1);
    {
        let links = &mut lock(&state).links;
        links.retain(|link| !link.is_closed());
        links.push(stands);
    }
    let carried = async {
        // Accepted by the kernel, and so far as the other end can see by nobody: held before its
        // other half exists.
        until(&state, |state| (!state.no_new).then_some(())).await;
        let Some(to) = lock(&state).to else { return };
        let Ok(onward) = TcpStream::connect(to).await else {
            return;
        };
        let _ = (from.set_nodelay(true), onward.set_nodelay(true));
        let out = pass(&state, Direction::Out, from.clone(), onward.clone());
        let back = pass(&state, Direction::In, onward.clone(), from.clone());
        futures_lite::future::zip(out, back).await;
    };
    let broken = async {
        let _ = reset.recv().await;
    };
    carried.or(broken).await;
    let _ = from.shutdown(Shutdown::Both);
}

/// Passes bytes on until their end, and then the end. Read apart from where they are written: what
/// is late must not hold up what comes after it, or each piece would be later than the one before.
async fn pass(state: &Mutex<State>, way: Direction, mut from: TcpStream, mut to: TcpStream) {
    let (pieces, queued) = async_channel::bounded::<(Instant, Vec<u8>)>(PIECES);
    let read = async {
        let mut bytes = vec![0; AT_ONCE];
        while let Ok(count @ 1..) = from.read(&mut bytes).await {
            if way == Direction::Out {
                lock(state).passed[way as usize] += count as u64;
            }
            if pieces
                .send((Instant::now(), bytes[..count].to_vec()))
                .await
                .is_err()
            {
                break;
            }
        }
        // The end is as late as all before it.
        let _ = pieces.send((Instant::now(), Vec::new())).await;
        pieces.close();
    };
    let written = async {
        while let Ok((came, bytes)) = queued.recv().await {
            let late = until(state, |state| match state.ways[way as usize] {
                Fault::Held => None,
                Fault::None => Some(Duration::ZERO),
                Fault::Late(by) => Some(by),
            });
            Timer::at(came + late.await).await;
            if bytes.is_empty() || to.write_all(&bytes).await.is_err() {
                break;
            }
            if way == Direction::In {
                lock(state).passed[way as usize] += bytes.len() as u64;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        // Nobody takes any more: the reader is not to wait for room.
        queued.close();
    };
    futures_lite::future::zip(read, written).await;
}

/// What the state comes to allow.
async fn until<T>(state: &Mutex<State>, look: impl Fn(&State) -> Option<T>) -> T {
    loop {
        let changed = {
            let state = lock(state);
            if let Some(found) = look(&state) {
                return found;
            }
            state.changed.wait()
        };
        changed.await;
    }
}

/// Word to all that wait, none of which can be missed: it is waited for from within the lock.
mod event {
    use std::future::Future;

    pub struct Changed(async_channel::Sender<()>, async_channel::Receiver<()>);

    impl Default for Changed {
        fn default() -> Self {
            let (to, from) = async_channel::bounded(1);
            Changed(to, from)
        }
    }

    impl Changed {
        pub fn tell(&mut self) {
            self.0.close();
            *self = Changed::default();
        }

        pub fn wait(&self) -> impl Future<Output = ()> + use<> {
            let from = self.1.clone();
            async move {
                let _ = from.recv().await;
            }
        }
    }
}

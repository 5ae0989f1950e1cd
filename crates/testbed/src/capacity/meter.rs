//! Relays that count the bytes of connections, independently of the processes' own counts.

use async_net::{TcpListener, TcpStream};
use corkspan_rpc::SharedExecutor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The counts of all connections through one relay, or of several relays that share the meter.
#[derive(Default)]
pub struct Meter {
    to_target: AtomicU64,
    from_target: AtomicU64,
    connections_opened: AtomicU64,
}

impl Meter {
    /// Returns the bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.to_target.load(Relaxed) + self.from_target.load(Relaxed)
    }

    /// Returns the number of connections opened so far.
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened.load(Relaxed)
    }
}

/// Starts a relay to an address and returns the relay's own address and its meter.
pub async fn relay(
    tasks: &SharedExecutor,
    to: SocketAddr,
) -> std::io::Result<(SocketAddr, Arc<Meter>)> {
    let meter = Arc::new(Meter::default());
    Ok((
        relay_with_meter(tasks, to, Arc::clone(&meter)).await?,
        meter,
    ))
}

/// Starts a relay to an address, with a meter that other relays may share.
pub async fn relay_with_meter(
    tasks: &SharedExecutor,
    to: SocketAddr,
    meter: Arc<Meter>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let executor = Arc::clone(tasks);
    let accept_loop = async move {
        while let Ok((from, _)) = listener.accept().await {
            meter.connections_opened.fetch_add(1, Relaxed);
            let meter = Arc::clone(&meter);
            executor
                .spawn(async move {
                    let Ok(onward) = TcpStream::connect(to).await else {
                        return;
                    };
                    let _ = (from.set_nodelay(true), onward.set_nodelay(true));
                    let to_target = forward(from.clone(), onward.clone(), &meter.to_target);
                    let from_target = forward(onward, from, &meter.from_target);
                    future::zip(to_target, from_target).await;
                })
                .detach();
        }
    };
    tasks.spawn(accept_loop).detach();
    Ok(address)
}

async fn forward(mut from: TcpStream, mut to: TcpStream, total: &AtomicU64) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        total.fetch_add(count as u64, Relaxed);
        if to.write_all(&bytes[..count]).await.is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Read), to.shutdown(Shutdown::Write));
}

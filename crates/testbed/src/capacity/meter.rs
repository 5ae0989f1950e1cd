//! Links that are counted on their way: who measures takes no process's word for what it sent.

use async_net::{TcpListener, TcpStream};
use corkspan_rpc::SharedExecutor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Of all links through one relay.
#[derive(Default)]
pub struct Meter {
    there: AtomicU64,
    back: AtomicU64,
    opened: AtomicU64,
}

impl Meter {
    /// Bytes both ways.
    pub fn bytes(&self) -> u64 {
        self.there.load(Relaxed) + self.back.load(Relaxed)
    }

    /// Links that were ever opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Relaxed)
    }
}

/// Passes all on that comes here, and counts it.
pub async fn relay(
    tasks: &SharedExecutor,
    to: SocketAddr,
) -> std::io::Result<(SocketAddr, Arc<Meter>)> {
    let meter = Arc::new(Meter::default());
    Ok((relay_onto(tasks, to, Arc::clone(&meter)).await?, meter))
}

/// The same, counted on a meter that others may share.
pub async fn relay_onto(
    tasks: &SharedExecutor,
    to: SocketAddr,
    meter: Arc<Meter>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let own = Arc::clone(tasks);
    let listens = async move {
        while let Ok((from, _)) = listener.accept().await {
            meter.opened.fetch_add(1, Relaxed);
            let meter = Arc::clone(&meter);
            own.spawn(async move {
                let Ok(onward) = TcpStream::connect(to).await else {
                    return;
                };
                let _ = (from.set_nodelay(true), onward.set_nodelay(true));
                let there = pass(from.clone(), onward.clone(), &meter.there);
                let back = pass(onward, from, &meter.back);
                future::zip(there, back).await;
            })
            .detach();
        }
    };
    tasks.spawn(listens).detach();
    Ok(address)
}

async fn pass(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(many @ 1..) = from.read(&mut bytes).await {
        count.fetch_add(many as u64, Relaxed);
        if to.write_all(&bytes[..many]).await.is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Read), to.shutdown(Shutdown::Write));
}

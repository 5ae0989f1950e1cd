//! Counts the traffic of connections: bytes at the socket, as the kernel took and gave them, and
//! complete gRPC messages in the bodies of calls. Which connections are counted together is for the
//! caller to decide.

use async_net::TcpStream;
use bytes::{Buf, Bytes};
use futures_lite::io::{AsyncRead, AsyncWrite};
use http_body::{Body, Frame, SizeHint};
use prometheus_client::metrics::counter::Counter;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

/// Counters of connections that are counted together. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Bytes received.
    pub bytes_in: Counter,
    /// Bytes sent.
    pub bytes_out: Counter,
    /// Complete messages received.
    pub messages_in: Counter,
    /// Complete messages sent.
    pub messages_out: Counter,
}

#[derive(Clone, Copy)]
pub(crate) enum Direction {
    In,
    Out,
}

/// Chooses the meter of a served connection by the path of its first call.
pub type Sorts = Arc<dyn Fn(&str) -> Meter + Send + Sync>;

/// Connects one connection to its counters. A served connection has none until its first call: bytes
/// before it are held, and counted then or at the connection's end.
#[derive(Clone)]
pub(crate) struct Tap(Arc<Inner>);

struct Inner {
    meter: OnceLock<Meter>,
    early: [AtomicU64; 2],
    select_meter: Option<Sorts>,
}

impl Tap {
    pub fn with_meter(meter: &Meter) -> Tap {
        Tap(Arc::new(Inner {
            meter: OnceLock::from(meter.clone()),
            early: Default::default(),
            select_meter: None,
        }))
    }

    pub fn with_selector(select_meter: &Sorts) -> Tap {
        let (meter, early) = Default::default();
        Tap(Arc::new(Inner {
            meter,
            early,
            select_meter: Some(Arc::clone(select_meter)),
        }))
    }

    fn bytes(&self, way: Direction, count: usize) {
        match self.0.meter.get() {
            Some(meter) => drop(meter.bytes(way).inc_by(count as u64)),
            None => drop(self.0.early[way as usize].fetch_add(count as u64, Ordering::Relaxed)),
        }
    }

    /// The meter of the connection, chosen by the path of this call if it is the first.
    pub fn meter_for(&self, path: &str) -> &Meter {
        let selected = || {
            self.0
                .select_meter
                .as_ref()
                .map(|select_meter| select_meter(path))
                .unwrap_or_default()
        };
        let meter = self.0.meter.get_or_init(selected);
        self.0.settle(meter);
        meter
    }
}

impl Inner {
    fn settle(&self, meter: &Meter) {
        for way in [Direction::In, Direction::Out] {
            match self.early[way as usize].swap(0, Ordering::Relaxed) {
                0 => {}
                early => drop(meter.bytes(way).inc_by(early)),
            }
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let selected = || {
            self.select_meter
                .as_ref()
                .map(|select_meter| select_meter(""))
                .unwrap_or_default()
        };
        let meter = self.meter.get().cloned().unwrap_or_else(selected);
        self.settle(&meter);
    }
}

impl Meter {
    fn bytes(&self, way: Direction) -> &Counter {
        match way {
            Direction::In => &self.bytes_in,
            Direction::Out => &self.bytes_out,
        }
    }
}

/// A socket whose bytes are counted.
pub(crate) struct Socket {
    pub stream: TcpStream,
    pub tap: Option<Tap>,
}

impl Socket {
    fn count(&self, way: Direction, result: &Poll<Result<usize>>) {
        if let (Some(tap), Poll::Ready(Ok(count @ 1..))) = (&self.tap, result) {
            tap.bytes(way, *count);
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut [u8],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, to);
        self.count(Direction::In, &result);
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, from);
        self.count(Direction::Out, &result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, from);
        self.count(Direction::Out, &result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// A body whose messages are counted, each when its last byte has passed.
pub struct Counted<B> {
    body: B,
    count: Option<(Messages, Counter)>,
}

impl<B> Counted<B> {
    pub(crate) fn new(body: B, counter: Option<Counter>) -> Self {
        Counted {
            body,
            count: counter.map(|counter| (Messages::default(), counter)),
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Counted<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let (Some((messages, counter)), Poll::Ready(Some(Ok(frame)))) =
            (&mut self.count, &polled)
            && let Some(data) = frame.data_ref()
        {
            counter.inc_by(messages.passed(data.clone()));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Where in its messages a body stands: each is five bytes, the last four its length, and so count
/// more.
#[derive(Default)]
struct Messages {
    prefix: [u8; 5],
    filled: usize,
    left: usize,
}

impl Messages {
    /// How many messages end in these bytes.
    fn passed(&mut self, mut data: Bytes) -> u64 {
        let mut ended = 0;
        while data.has_remaining() {
            if self.filled < self.prefix.len() {
                let count = data.remaining().min(self.prefix.len() - self.filled);
                data.copy_to_slice(&mut self.prefix[self.filled..self.filled + count]);
                self.filled += count;
                if self.filled < self.prefix.len() {
                    break;
                }
                let [_, length @ ..] = self.prefix;
                self.left = u32::from_be_bytes(length) as usize;
            }
            let count = data.remaining().min(self.left);
            data.advance(count);
            self.left -= count;
            if self.left == 0 {
                (self.filled, ended) = (0, ended + 1);
            }
        }
        ended
    }
}

//! Counts the traffic of connections: bytes at the socket, as the kernel accepted and returned
//! them, and complete gRPC messages in the bodies of calls. The caller decides which connections
//! are counted together.

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

/// The direction of traffic, seen from this process.
#[derive(Clone, Copy)]
pub(crate) enum Direction {
    In,
    Out,
}

/// Chooses the meter of a served connection by the path of its first call.
pub type MeterSelector = Arc<dyn Fn(&str) -> Meter + Send + Sync>;

/// Links one connection to its counters. A served connection has none until its first call: the
/// bytes before it are counted separately, and added to the counters then or when the connection
/// ends.
#[derive(Clone)]
pub(crate) struct ConnectionMeter(Arc<MeterState>);

struct MeterState {
    meter: OnceLock<Meter>,
    early_bytes: [AtomicU64; 2],
    select_meter: Option<MeterSelector>,
}

impl ConnectionMeter {
    pub fn with_meter(meter: &Meter) -> ConnectionMeter {
        ConnectionMeter(Arc::new(MeterState {
            meter: OnceLock::from(meter.clone()),
            early_bytes: Default::default(),
            select_meter: None,
        }))
    }

    pub fn with_selector(select_meter: &MeterSelector) -> ConnectionMeter {
        let (meter, early_bytes) = Default::default();
        ConnectionMeter(Arc::new(MeterState {
            meter,
            early_bytes,
            select_meter: Some(Arc::clone(select_meter)),
        }))
    }

    fn bytes(&self, direction: Direction, count: usize) {
        match self.0.meter.get() {
            Some(meter) => drop(meter.bytes(direction).inc_by(count as u64)),
            None => drop(
                self.0.early_bytes[direction as usize].fetch_add(count as u64, Ordering::Relaxed),
            ),
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
        self.0.add_early_bytes(meter);
        meter
    }
}

impl MeterState {
    fn add_early_bytes(&self, meter: &Meter) {
        for direction in [Direction::In, Direction::Out] {
            match self.early_bytes[direction as usize].swap(0, Ordering::Relaxed) {
                0 => {}
                early_bytes => drop(meter.bytes(direction).inc_by(early_bytes)),
            }
        }
    }
}

impl Drop for MeterState {
    fn drop(&mut self) {
        let selected = || {
            self.select_meter
                .as_ref()
                .map(|select_meter| select_meter(""))
                .unwrap_or_default()
        };
        let meter = self.meter.get().cloned().unwrap_or_else(selected);
        self.add_early_bytes(&meter);
    }
}

impl Meter {
    fn bytes(&self, direction: Direction) -> &Counter {
        match direction {
            Direction::In => &self.bytes_in,
            Direction::Out => &self.bytes_out,
        }
    }
}

/// A socket whose bytes are counted.
pub(crate) struct CountedSocket {
    pub stream: TcpStream,
    pub connection_meter: Option<ConnectionMeter>,
}

impl CountedSocket {
    fn count(&self, direction: Direction, result: &Poll<Result<usize>>) {
        if let (Some(connection_meter), Poll::Ready(Ok(count @ 1..))) =
            (&self.connection_meter, result)
        {
            connection_meter.bytes(direction, *count);
        }
    }
}

impl AsyncRead for CountedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.count(Direction::In, &result);
        result
    }
}

impl AsyncWrite for CountedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.count(Direction::Out, &result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffer);
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
pub struct CountedBody<B> {
    body: B,
    count: Option<(MessageCounter, Counter)>,
}

impl<B> CountedBody<B> {
    pub(crate) fn new(body: B, counter: Option<Counter>) -> Self {
        CountedBody {
            body,
            count: counter.map(|counter| (MessageCounter::default(), counter)),
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for CountedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let (Some((message_counter, counter)), Poll::Ready(Some(Ok(frame)))) =
            (&mut self.count, &polled)
            && let Some(data) = frame.data_ref()
        {
            counter.inc_by(message_counter.count_ended(data.clone()));
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

/// The position of a body within its messages. Each message starts with five bytes, of which the
/// last four are the length of the data that follows.
#[derive(Default)]
struct MessageCounter {
    prefix: [u8; 5],
    prefix_length: usize,
    remaining_bytes: usize,
}

impl MessageCounter {
    /// Returns how many messages end in these bytes.
    fn count_ended(&mut self, mut data: Bytes) -> u64 {
        let mut ended = 0;
        while data.has_remaining() {
            if self.prefix_length < self.prefix.len() {
                let count = data.remaining().min(self.prefix.len() - self.prefix_length);
                data.copy_to_slice(
                    &mut self.prefix[self.prefix_length..self.prefix_length + count],
                );
                self.prefix_length += count;
                if self.prefix_length < self.prefix.len() {
                    break;
                }
                let [_, length @ ..] = self.prefix;
                self.remaining_bytes = u32::from_be_bytes(length) as usize;
            }
            let count = data.remaining().min(self.remaining_bytes);
            data.advance(count);
            self.remaining_bytes -= count;
            if self.remaining_bytes == 0 {
                (self.prefix_length, ended) = (0, ended + 1);
            }
        }
        ended
    }
}

//! What passes a link, counted: bytes at the socket, as the kernel took and gave them, and whole
//! gRPC messages in the bodies of calls. Which links are counted together is the caller's affair.

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

/// Counters of links that are counted together. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    pub bytes_in: Counter,
    pub bytes_out: Counter,
    pub messages_in: Counter,
    pub messages_out: Counter,
}

#[derive(Clone, Copy)]
pub(crate) enum Way {
    In,
    Out,
}

/// Tells by the path of its first call with which others a served link is counted.
pub type Sorts = Arc<dyn Fn(&str) -> Meter + Send + Sync>;

/// One link's way to its counters. A served one has none until its first call: what passes before
/// is kept, and counted with the rest then, or at the link's end.
#[derive(Clone)]
pub(crate) struct Tap(Arc<Inner>);

struct Inner {
    meter: OnceLock<Meter>,
    early: [AtomicU64; 2],
    sorts: Option<Sorts>,
}

impl Tap {
    pub fn of(meter: &Meter) -> Tap {
        Tap(Arc::new(Inner {
            meter: OnceLock::from(meter.clone()),
            early: Default::default(),
            sorts: None,
        }))
    }

    pub fn sorted(sorts: &Sorts) -> Tap {
        let (meter, early) = Default::default();
        Tap(Arc::new(Inner {
            meter,
            early,
            sorts: Some(Arc::clone(sorts)),
        }))
    }

    fn bytes(&self, way: Way, many: usize) {
        match self.0.meter.get() {
            Some(meter) => drop(meter.bytes(way).inc_by(many as u64)),
            None => drop(self.0.early[way as usize].fetch_add(many as u64, Ordering::Relaxed)),
        }
    }

    /// A call of this path is on the link.
    pub fn called(&self, path: &str) -> &Meter {
        let sorted = || {
            self.0
                .sorts
                .as_ref()
                .map(|sorts| sorts(path))
                .unwrap_or_default()
        };
        let meter = self.0.meter.get_or_init(sorted);
        self.0.settle(meter);
        meter
    }
}

impl Inner {
    fn settle(&self, meter: &Meter) {
        for way in [Way::In, Way::Out] {
            match self.early[way as usize].swap(0, Ordering::Relaxed) {
                0 => {}
                early => drop(meter.bytes(way).inc_by(early)),
            }
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let sorted = || {
            self.sorts
                .as_ref()
                .map(|sorts| sorts(""))
                .unwrap_or_default()
        };
        let meter = self.meter.get().cloned().unwrap_or_else(sorted);
        self.settle(&meter);
    }
}

impl Meter {
    fn bytes(&self, way: Way) -> &Counter {
        match way {
            Way::In => &self.bytes_in,
            Way::Out => &self.bytes_out,
        }
    }
}

/// A socket whose bytes are counted.
pub(crate) struct Socket {
    pub stream: TcpStream,
    pub tap: Option<Tap>,
}

impl Socket {
    fn saw(&self, way: Way, passed: &Poll<Result<usize>>) {
        if let (Some(tap), Poll::Ready(Ok(many @ 1..))) = (&self.tap, passed) {
            tap.bytes(way, *many);
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut [u8],
    ) -> Poll<Result<usize>> {
        let passed = Pin::new(&mut self.stream).poll_read(cx, to);
        self.saw(Way::In, &passed);
        passed
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<Result<usize>> {
        let passed = Pin::new(&mut self.stream).poll_write(cx, from);
        self.saw(Way::Out, &passed);
        passed
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let passed = Pin::new(&mut self.stream).poll_write_vectored(cx, from);
        self.saw(Way::Out, &passed);
        passed
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// A body whose messages are counted, each once its last byte has passed.
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

/// Where in its messages a body stands: each is five bytes, the last four its length, and so many
/// more.
#[derive(Default)]
struct Messages {
    prefix: [u8; 5],
    filled: usize,
    left: usize,
}

impl Messages {
    /// Messages that end in these bytes.
    fn passed(&mut self, mut data: Bytes) -> u64 {
        let mut ended = 0;
        while data.has_remaining() {
            if self.filled < self.prefix.len() {
                let many = data.remaining().min(self.prefix.len() - self.filled);
                data.copy_to_slice(&mut self.prefix[self.filled..self.filled + many]);
                self.filled += many;
                if self.filled < self.prefix.len() {
                    break;
                }
                let [_, length @ ..] = self.prefix;
                self.left = u32::from_be_bytes(length) as usize;
            }
            let many = data.remaining().min(self.left);
            data.advance(many);
            self.left -= many;
            if self.left == 0 {
                (self.filled, ended) = (0, ended + 1);
            }
        }
        ended
    }
}

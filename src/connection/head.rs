//! A time limit for receiving the head of a request, separate from the idle time-out of the connection.
//!
//! The HTTP library has one time limit for both. A caller that sends an incomplete head must not keep its
//! connection open for as long as one that is idle between requests.

use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// The bits of [`Progress`] that hold the state of the connection. The other bits count its heads.
const STATE_MASK: u64 = 0b11;
/// State: the connection is idle between requests.
const IDLE: u64 = 0;
/// State: a part of a head has arrived.
const READING_HEAD: u64 = 1;
/// State: a head is complete, and its request has no answer yet.
const SERVING: u64 = 2;
/// The value that counts one head in the bits above the state.
const HEAD_COUNT_UNIT: u64 = STATE_MASK + 1;

/// The place of a request among those of its connection, which a server adds to the request as an extension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// The caller has opened the connection for this request.
    First,
    /// The connection has served a request before.
    Later,
}

/// The progress of a connection with its current request. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicU64>);

impl Progress {
    /// Records that the head of a request is complete, and returns the request's place on the connection.
    pub fn start_request(&self) -> Place {
        self.set_state(SERVING);
        match self.0.load(Ordering::Acquire) / HEAD_COUNT_UNIT {
            0..=1 => Place::First,
            _ => Place::Later,
        }
    }

    /// Records that the request has its answer.
    pub fn finish_request(&self) {
        self.set_state(IDLE);
    }

    fn set_state(&self, state: u64) {
        let previous = self.0.load(Ordering::Acquire);
        self.0
            .store(previous & !STATE_MASK | state, Ordering::Release);
    }

    /// Records that bytes have arrived. On an idle connection, a new head starts with them.
    fn record_read(&self) {
        let previous = self.0.load(Ordering::Acquire);
        if previous & STATE_MASK == IDLE {
            self.0.store(
                (previous | READING_HEAD) + HEAD_COUNT_UNIT,
                Ordering::Release,
            );
        }
    }

    /// Returns a value that identifies the head that is being read, if there is one.
    fn current_head(&self) -> Option<u64> {
        let current = self.0.load(Ordering::Acquire);
        (current & STATE_MASK == READING_HEAD).then_some(current)
    }

    /// Runs a connection until it ends, or until receiving one of its heads takes longer than `limit`.
    pub async fn run_connection<F>(&self, connection: F, limit: Duration)
    where
        F: Future,
    {
        let mut connection = pin!(connection);
        let mut timer: Option<(u64, Pin<Box<Sleep>>)> = None;
        poll_fn(|cx| {
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            // Most heads arrive complete, and need no timer.
            let Some(head) = self.current_head() else {
                timer = None;
                return Poll::Pending;
            };
            timer.take_if(|(timed_head, _)| *timed_head != head);
            let (_, sleep) =
                timer.get_or_insert_with(|| (head, Box::pin(sleep_until(Instant::now() + limit))));
            sleep.as_mut().poll(cx)
        })
        .await;
    }
}

/// A TCP stream that records in [`Progress`] when bytes arrive.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    progress: Progress,
}

impl TrackedStream {
    /// Wraps a stream whose reads are recorded in `progress`.
    pub const fn open(stream: TcpStream, progress: Progress) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > filled_before {
            self.progress.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

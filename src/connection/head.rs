//! Bounds the time that the head of a request takes on a connection that may also rest between requests.
//!
//! The HTTP library knows one limit for both. A caller that sends half a head must not hold its connection
//! for as long as one that may come back.

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

/// The bits of [`Progress`] that tell what a connection does; the others count its heads.
const STATE_MASK: u64 = 0b11;
/// It rests between requests.
const IDLE: u64 = 0;
/// Some bytes of a head have come.
const READING_HEAD: u64 = 1;
/// A head is complete and has no answer yet.
const SERVING: u64 = 2;
/// One head, in the bits that count them.
const HEAD_COUNT_UNIT: u64 = STATE_MASK + 1;

/// How far a connection is with its present request.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicU64>);

impl Progress {
    /// Notes that the head is complete.
    pub fn start_request(&self) {
        self.set_state(SERVING);
    }

    /// Notes that the request has its answer.
    pub fn finish_request(&self) {
        self.set_state(IDLE);
    }

    fn set_state(&self, state: u64) {
        let previous = self.0.load(Ordering::Acquire);
        self.0
            .store(previous & !STATE_MASK | state, Ordering::Release);
    }

    /// Notes that bytes came.
    fn record_read(&self) {
        let previous = self.0.load(Ordering::Acquire);
        if previous & STATE_MASK == IDLE {
            self.0.store(
                (previous | READING_HEAD) + HEAD_COUNT_UNIT,
                Ordering::Release,
            );
        }
    }

    /// Returns the number of the head that is being read, if one is.
    fn current_head(&self) -> Option<u64> {
        let current = self.0.load(Ordering::Acquire);
        (current & STATE_MASK == READING_HEAD).then_some(current)
    }

    /// Runs a connection until it ends, or until one of its heads takes longer than `limit`.
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
            // Nearly all heads come whole and need no timer.
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

/// A connection that tells its progress when bytes come.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    progress: Progress,
}

impl TrackedStream {
    /// Wraps a connection.
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

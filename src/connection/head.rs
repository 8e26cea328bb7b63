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
const STATE: u64 = 0b11;
/// It rests between requests.
const RESTS: u64 = 0;
/// Some bytes of a head have come.
const READS: u64 = 1;
/// A head is complete and has no answer yet.
const SERVES: u64 = 2;
/// One head, in the bits that count them.
const HEAD: u64 = STATE + 1;

/// How far a connection is with its present request.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicU64>);

impl Progress {
    /// Notes that the head is complete.
    pub fn serve(&self) {
        self.set(SERVES);
    }

    /// Notes that the request has its answer.
    pub fn rest(&self) {
        self.set(RESTS);
    }

    fn set(&self, state: u64) {
        let before = self.0.load(Ordering::Acquire);
        self.0.store(before & !STATE | state, Ordering::Release);
    }

    /// Notes that bytes came.
    fn read(&self) {
        let before = self.0.load(Ordering::Acquire);
        if before & STATE == RESTS {
            self.0.store((before | READS) + HEAD, Ordering::Release);
        }
    }

    /// Returns the number of the head that is being read, if one is.
    fn head(&self) -> Option<u64> {
        let now = self.0.load(Ordering::Acquire);
        (now & STATE == READS).then_some(now)
    }

    /// Runs a connection until it ends, or until one of its heads takes longer than `limit`.
    pub async fn bound<F>(&self, connection: F, limit: Duration)
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
            let Some(head) = self.head() else {
                timer = None;
                return Poll::Pending;
            };
            timer.take_if(|(of, _)| *of != head);
            let (_, sleep) =
                timer.get_or_insert_with(|| (head, Box::pin(sleep_until(Instant::now() + limit))));
            sleep.as_mut().poll(cx)
        })
        .await;
    }
}

/// A connection that tells its progress when bytes come.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    progress: Progress,
}

impl Stream {
    /// Wraps a connection.
    pub const fn open(stream: TcpStream, progress: Progress) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.progress.read();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
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

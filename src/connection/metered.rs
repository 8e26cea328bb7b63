//! A TCP stream that limits how many bytes may be read from it.
//!
//! The HTTP library limits the head of an answer, but neither the interim responses before it nor the encoding
//! of a body in chunks, which a target could send without end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The number of bytes that may still be read from a stream. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Tells whether all bytes that were allowed have been read.
    pub fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Withdraws bytes that have been read; returns whether they were allowed.
    fn withdraw(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed).saturating_sub(bytes);
        self.0.store(left, Ordering::Relaxed);
        left > 0
    }
}

/// A TCP stream from which no more can be read than its [`Allowance`].
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    allowance: Allowance,
}

impl MeteredStream {
    /// Wraps a stream whose reads are withdrawn from `allowance`. Reading fails once it is used up.
    pub const fn open(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - filled_before;
        if read > 0 && !self.allowance.withdraw(read) {
            return Poll::Ready(Err(io::Error::other("the answer exceeds its size limit")));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
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

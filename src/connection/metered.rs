//! A TCP stream that limits how many bytes may be read from it, and counts those that the HTTP library may hold.
//!
//! The HTTP library limits the head of an answer, but neither the interim responses before it nor the encoding
//! of a body in chunks, which a target could send without end. It limits the buffer of one connection, but not those
//! of all connections together.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::memory::{Budget, Permit};

/// The part of a connection's buffer that its least cost contains, and the unit in which the rest is counted.
const BUFFER_STEP_BYTES: usize = 8 << 10;

/// The number of bytes that may be read from a stream for one exchange. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Allowance(Arc<Bytes>);

#[derive(Debug, Default)]
struct Bytes {
    left: AtomicUsize,
    read: AtomicUsize,
}

impl Allowance {
    /// Starts an exchange, for which this number of bytes may be read.
    pub fn set(&self, bytes: usize) {
        self.0.left.store(bytes, Ordering::Relaxed);
        self.0.read.store(0, Ordering::Relaxed);
    }

    /// Tells whether no more bytes may be read.
    pub fn is_used_up(&self) -> bool {
        self.0.left.load(Ordering::Relaxed) == 0
    }

    /// Returns the number of bytes that have been read for the exchange.
    fn read(&self) -> usize {
        self.0.read.load(Ordering::Relaxed)
    }

    /// Withdraws bytes that have been read; returns whether they were allowed.
    fn withdraw(&self, bytes: usize) -> bool {
        let left = self.0.left.load(Ordering::Relaxed).saturating_sub(bytes);
        self.0.left.store(left, Ordering::Relaxed);
        self.0.read.fetch_add(bytes, Ordering::Relaxed);
        left > 0
    }

    /// Withdraws all bytes that are left.
    fn withdraw_all(&self) {
        self.0.left.store(0, Ordering::Relaxed);
    }
}

/// A TCP stream from which no more can be read than its [`Allowance`].
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    allowance: Allowance,
    buffer: Buffer,
}

/// The buffer that the HTTP library fills from a stream, as it counts in a budget.
#[derive(Debug)]
pub struct Buffer {
    /// Held as long as the connection.
    _connection: Permit,
    buffers: Budget,
    /// Covers what the buffer has beyond its first step.
    permit: Permit,
    /// The size of the buffer, which never shrinks, as the library keeps it.
    covered: usize,
    max_bytes: usize,
}

impl Buffer {
    /// Returns the buffer of a new connection, which holds at most `max_bytes`. The permit for the connection covers the
    /// first 8 KiB; the rest is held in `buffers`.
    pub fn open(connection: Permit, buffers: &Budget, max_bytes: usize) -> Self {
        Self {
            _connection: connection,
            buffers: buffers.clone(),
            permit: buffers.hold_nothing(),
            covered: BUFFER_STEP_BYTES,
            max_bytes,
        }
    }

    /// Covers the buffer after `bytes` have been read for one exchange; returns whether there was memory for it.
    fn cover(&mut self, bytes: usize) -> bool {
        let held = bytes
            .min(self.max_bytes)
            .next_multiple_of(BUFFER_STEP_BYTES);
        let is_covered = held <= self.covered || self.permit.grow(held - self.covered).is_ok();
        if is_covered {
            self.covered = self.covered.max(held);
        } else {
            self.buffers.count_refused_answer();
        }
        is_covered
    }
}

impl MeteredStream {
    /// Wraps a stream whose reads are withdrawn from `allowance`. Reading fails once it is used up, or when there is no
    /// memory for the buffer.
    pub const fn open(stream: TcpStream, allowance: Allowance, buffer: Buffer) -> Self {
        Self {
            stream,
            allowance,
            buffer,
        }
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
        let read = self.allowance.read();
        if !self.buffer.cover(read) {
            self.allowance.withdraw_all();
            return Poll::Ready(Err(io::Error::other("no memory for the answer")));
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

//! A time limit for receiving the head of a request, separate from the idle time-out of the connection.
//!
//! The HTTP library has one time limit for both. A caller that sends an incomplete head must not keep its
//! connection open for as long as one that is idle between requests.

use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
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
pub struct Progress(Arc<AtomicU64>, Arc<WriteProgress>);

/// The progress of a connection with its answers.
#[derive(Debug, Default)]
struct WriteProgress {
    /// The number of writes that the system has accepted.
    written: AtomicU64,
    /// Whether the system accepts no more until the caller reads.
    blocked: AtomicBool,
}

/// How long a caller may read nothing of its answer while the memory is short.
const WRITE_TIMEOUT_SHORT: Duration = Duration::from_secs(1);

/// The time limits within which a connection must make progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Time limit from the first to the last byte of the head of a request.
    pub head: Duration,
    /// How long a caller may read nothing of an answer that fills the buffers of the system.
    pub write: Duration,
}

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

    /// Tells whether the connection has no request: it is idle, or a part of a head has arrived.
    pub fn has_no_request(&self) -> bool {
        self.0.load(Ordering::Acquire) & STATE_MASK != SERVING
            && !self.1.blocked.load(Ordering::Acquire)
    }

    /// Tells whether the head of a request has ever been complete.
    pub fn has_had_request(&self) -> bool {
        let current = self.0.load(Ordering::Acquire);
        let incomplete = u64::from(current & STATE_MASK == READING_HEAD);
        current / HEAD_COUNT_UNIT > incomplete
    }

    /// Returns the step that must end within a time limit; absent if there is none.
    fn pending_step(&self) -> Option<Step> {
        if let Some(head) = self.current_head() {
            return Some(Step::Head(head));
        }
        let blocked = self.1.blocked.load(Ordering::Acquire);
        blocked.then(|| Step::Write(self.1.written.load(Ordering::Acquire)))
    }

    /// Runs a connection until it ends, until a step of it takes longer than its time limit, or until it has no
    /// request when `displaced` completes. While `is_short` holds, an answer that its caller does not read ends it
    /// earlier.
    pub async fn run_connection<F, S>(
        &self,
        connection: F,
        timeouts: Timeouts,
        is_short: S,
        mut displaced: oneshot::Receiver<Infallible>,
    ) where
        F: Future,
        S: Fn() -> bool,
    {
        let mut connection = pin!(connection);
        let mut timer: Option<StepTimer> = None;
        let mut is_displaced = false;
        poll_fn(|cx| {
            is_displaced = is_displaced || Pin::new(&mut displaced).poll(cx).is_ready();
            // Only the poll of the connection can make a request of what has arrived.
            if is_displaced && self.has_no_request() {
                return Poll::Ready(());
            }
            if connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            // Most heads arrive complete, and need no timer.
            let Some(step) = self.pending_step() else {
                timer = None;
                return Poll::Pending;
            };
            timer.take_if(|timer| timer.step != step);
            let timer = timer.get_or_insert_with(|| StepTimer::start(step, timeouts));
            timer.poll_elapsed(&is_short, cx)
        })
        .await;
    }

    /// Records whether the system has accepted a write.
    fn record_write<T>(&self, write: &Poll<T>) {
        if write.is_ready() {
            self.1.written.fetch_add(1, Ordering::AcqRel);
        }
        self.1.blocked.store(write.is_pending(), Ordering::Release);
    }
}

/// A step of a connection that must end within a time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Receiving the rest of a head, which the value identifies.
    Head(u64),
    /// Writing more after the given number of writes.
    Write(u64),
}

/// The timer of a step.
#[derive(Debug)]
struct StepTimer {
    step: Step,
    end: Instant,
    sleep: Pin<Box<Sleep>>,
}

impl StepTimer {
    fn start(step: Step, timeouts: Timeouts) -> Self {
        let now = Instant::now();
        let (end, wake) = match step {
            Step::Head(_) => (now + timeouts.head, now + timeouts.head),
            Step::Write(_) => (now + timeouts.write, now + WRITE_TIMEOUT_SHORT),
        };
        Self {
            step,
            end,
            sleep: Box::pin(sleep_until(wake.min(end))),
        }
    }

    /// Completes when the step has taken too long.
    fn poll_elapsed<S>(&mut self, is_short: &S, cx: &mut Context<'_>) -> Poll<()>
    where
        S: Fn() -> bool,
    {
        loop {
            ready!(self.sleep.as_mut().poll(cx));
            let now = Instant::now();
            if now >= self.end || is_short() {
                return Poll::Ready(());
            }
            let wake = (now + WRITE_TIMEOUT_SHORT).min(self.end);
            self.sleep.as_mut().reset(wake);
        }
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
        let write = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.progress.record_write(&write);
        write
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
        let write = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.progress.record_write(&write);
        write
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

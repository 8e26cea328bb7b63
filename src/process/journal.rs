//! Structured log lines: one JSON object a line on standard output, for the decisions of a node.
//!
//! Lines are formatted by the thread that logs, and written by a thread of their own, several at a
//! time. The queue between them is bounded, and lines that do not fit are dropped and counted, so that
//! a slow reader never stops a request. The names of all fields are in [`field`]; `docs/OPERATIONS.md`
//! explains them.

pub mod field;
pub mod read;

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use logforth::filter::env_filter::EnvFilterBuilder;
use logforth::kv::{Key, Value, Visitor};
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};
use serde_json::Map;

use crate::time::Moment;

/// Bytes that wait to be written at most. At 300 bytes a line this is about a second of the worst case.
pub const QUEUE_MAX_BYTES: usize = 256 << 10;
/// How long the writing thread gathers lines; each wake-up costs processor time.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// How long the end of the process waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The lines that were dropped because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped because the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts to write the log of a node to standard output.
///
/// `RUST_LOG` selects the levels, `info` if it is not set.
pub fn open(node: &str) {
    let queue = Arc::new(Queue::default());
    let writer = Arc::clone(&queue);
    let thread = std::thread::Builder::new().name("journal".to_owned());
    let spawned = thread.spawn(move || writer.write());
    if let Err(e) = spawned {
        eprintln!("no log: cannot start its thread: {e}");
        return;
    }
    let appender = Appender {
        node: node.to_owned(),
        process_start: Instant::now(),
        queue,
    };
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(EnvFilterBuilder::from_default_env_or("info").build())
                .append(appender)
        })
        .apply();
}

/// Formats records and queues them.
#[derive(Debug)]
struct Appender {
    node: String,
    process_start: Instant,
    queue: Arc<Queue>,
}

/// The lines that wait to be written.
#[derive(Debug, Default)]
struct Queue {
    bytes: Mutex<Vec<u8>>,
    filled: Condvar,
    emptied: Condvar,
}

impl Append for Appender {
    fn append(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = Map::new();
        let since_epoch = record.time().duration_since(SystemTime::UNIX_EPOCH);
        let as_micros_u64 = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
        line.insert(
            field::AT_US.into(),
            as_micros_u64(self.process_start.elapsed()).into(),
        );
        line.insert(
            field::UNIX_US.into(),
            since_epoch.map_or(0, as_micros_u64).into(),
        );
        line.insert(field::NODE.into(), self.node.as_str().into());
        line.insert(field::LEVEL.into(), record.level().name().into());
        line.insert(field::EVENT.into(), record.payload().into());
        let mut writer = FieldWriter { line: &mut line };
        record.key_values().visit(&mut writer)?;
        let mut text = serde_json::to_vec(&line).expect("a map of values always encodes");
        text.push(b'\n');
        self.queue.push(&text);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.queue.flush();
        Ok(())
    }
}

/// Adds the fields of a record to its line.
struct FieldWriter<'a> {
    line: &'a mut Map<String, serde_json::Value>,
}

impl Visitor for FieldWriter<'_> {
    fn visit(&mut self, key: Key<'_>, value: Value<'_>) -> Result<(), Error> {
        let value =
            serde_json::to_value(&value).unwrap_or_else(|_unusual| value.to_string().into());
        self.line.insert(key.to_string(), value);
        Ok(())
    }
}

impl Queue {
    fn push(&self, line: &[u8]) {
        let mut bytes = self.bytes();
        if bytes.len() + line.len() > QUEUE_MAX_BYTES {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return;
        }
        bytes.extend_from_slice(line);
        drop(bytes);
        self.filled.notify_one();
    }

    /// Writes what is queued, for ever.
    fn write(&self) {
        let mut out = std::io::stdout();
        loop {
            let mut bytes = self.bytes();
            while bytes.is_empty() {
                bytes = self
                    .filled
                    .wait(bytes)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            drop(bytes);
            std::thread::sleep(BATCH_DELAY);
            let lines = std::mem::take(&mut *self.bytes());
            for chunk in atomic_chunks(&lines) {
                if out.write_all(chunk).and_then(|()| out.flush()).is_err() {
                    // Nobody reads the log any longer.
                    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                }
            }
            self.emptied.notify_all();
        }
    }

    fn flush(&self) {
        let bytes = self.bytes();
        let waited = self
            .emptied
            .wait_timeout_while(bytes, FLUSH_TIMEOUT, |bytes| !bytes.is_empty());
        drop(waited);
    }

    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Splits lines into writes of whole lines that a pipe takes at once, so that the lines of several
/// processes do not mix.
fn atomic_chunks(lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    /// What a write to a pipe may hold to be atomic (`PIPE_BUF`).
    const ATOMIC_WRITE_BYTES: usize = 4_096;
    let mut rest = lines;
    std::iter::from_fn(move || {
        let mut end = 0;
        while let Some(length) = rest[end..].iter().position(|byte| *byte == b'\n') {
            if end > 0 && end + length + 1 > ATOMIC_WRITE_BYTES {
                break;
            }
            end += length + 1;
        }
        let (chunk, remaining) = rest.split_at(if end == 0 { rest.len() } else { end });
        rest = remaining;
        (!chunk.is_empty()).then_some(chunk)
    })
}

/// Bounds the lines of one kind to a rate, and counts those above it.
#[derive(Debug, Clone, Copy)]
pub struct RateLimiter {
    per_second: u32,
    tokens: f64,
    refilled_at: Moment,
    rejected: u64,
}

impl RateLimiter {
    /// Allows this many lines a second, and as many at once.
    pub const fn open(per_second: u32) -> Self {
        Self {
            per_second,
            tokens: per_second as f64,
            refilled_at: Moment::ZERO,
            rejected: 0,
        }
    }

    /// Tells whether a line may be written now.
    pub fn admit(&mut self, now: Moment) -> bool {
        let rate = f64::from(self.per_second);
        self.tokens += now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = self.tokens.min(rate);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            self.rejected += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns how many lines were not admitted.
    pub const fn dropped(&self) -> u64 {
        self.rejected
    }
}

//! Journal: the structured log of an entry instance on standard output, one JSON object per line.
//!
//! The thread that logs formats the line, and a separate thread writes lines in batches. The queue between
//! them is bounded; lines that do not fit are dropped and counted, so that a slow reader never blocks a
//! request. The names of all fields are in [`field`]; `docs/OPERATIONS.md` explains them.

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

/// Maximum size of the queue of lines that wait to be written. At 300 bytes per line it holds about one
/// second of the highest log rate.
pub const QUEUE_MAX_BYTES: usize = 256 << 10;
/// How long the writing thread collects lines before it writes them; each wake-up costs processor time.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// How long [`Append::flush`] waits for the queue to become empty at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The lines that were dropped because the queue was full, plus one for each write to standard output that
/// failed.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped because the queue was full, plus one for each write that failed.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts to write the log of the named node to standard output.
///
/// `RUST_LOG` selects the levels; the default is `info`. If the writing thread cannot start, the process runs
/// without a log.
pub fn open(node: &str) {
    let queue = Arc::new(Queue::default());
    let writer = Arc::clone(&queue);
    let thread = std::thread::Builder::new().name("journal".to_owned());
    let spawned = thread.spawn(move || writer.write());
    if let Err(e) = spawned {
        eprintln!("cannot start the log-writing thread; this process writes no log: {e}");
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

/// Formats log records and puts them into the queue.
#[derive(Debug)]
struct Appender {
    node: String,
    process_start: Instant,
    queue: Arc<Queue>,
}

/// The formatted lines that wait to be written.
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
        let as_micros_u64 =
            |duration: Duration| u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
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

/// Inserts the key-value pairs of a record into its line.
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

    /// Writes the queued lines in batches; never returns.
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
                    // The reader has closed standard output.
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

/// Splits the lines into chunks of whole lines that fit in one atomic write to a pipe, so that the lines of
/// several processes do not interleave. A longer line is a chunk of its own.
fn atomic_chunks(lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    /// Maximum size of an atomic write to a pipe (`PIPE_BUF`).
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

/// Limits the rate of one kind of log lines with a token bucket, and counts the lines above the limit.
#[derive(Debug, Clone, Copy)]
pub struct RateLimiter {
    per_second: u32,
    tokens: f64,
    refilled_at: Moment,
    rejected: u64,
}

impl RateLimiter {
    /// Allows `per_second` lines per second, and a burst of as many.
    pub const fn open(per_second: u32) -> Self {
        Self {
            per_second,
            tokens: per_second as f64,
            refilled_at: Moment::ZERO,
            rejected: 0,
        }
    }

    /// Returns whether a line may be written now; a line that may not is counted.
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

    /// Returns how many lines exceeded the limit.
    pub const fn dropped(&self) -> u64 {
        self.rejected
    }
}

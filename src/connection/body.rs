//! Reads the bodies of requests into memory that counts in a budget.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};

use super::memory::{Budget, Exceeded, Reception};
use crate::time::Moment;

/// Why a body was not read. Nothing of it has been passed on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is longer than the limit.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// The complete body did not arrive within the time limit.
    #[error("the complete body did not arrive within {} ms", .0.as_millis())]
    Slow(Duration),
    /// The connection failed before the body was complete.
    #[error("the connection failed before the body was complete: {0}")]
    Broken(#[from] hyper::Error),
    /// There was no memory for the body, or others displaced it.
    #[error(transparent)]
    NoMemory(#[from] Exceeded),
}

/// The limits of one body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum length in bytes.
    pub max_bytes: usize,
    /// How long the complete body may take.
    pub timeout: Duration,
}

/// Reads a complete body into memory that counts in the budget until its last copy is dropped. `now` returns the present
/// time.
pub async fn read<N>(
    body: Incoming,
    limits: Limits,
    memory: &Budget,
    now: N,
) -> Result<Bytes, Error>
where
    N: Fn() -> Moment,
{
    let announced = body.size_hint();
    if announced.lower() > limits.max_bytes as u64 {
        return Err(Error::TooLarge(limits.max_bytes));
    }
    let exact = announced.exact();
    let max_bytes = exact.map_or(limits.max_bytes, |length| length as usize);
    let reception = memory.start_body(max_bytes, now());
    let received = receive(body, limits.max_bytes, reception, now);
    tokio::time::timeout(limits.timeout, received)
        .await
        .unwrap_or(Err(Error::Slow(limits.timeout)))
}

/// Receives a body until it is complete, too large, broken or displaced by others.
async fn receive<N>(
    mut body: Incoming,
    max_bytes: usize,
    mut reception: Reception,
    now: N,
) -> Result<Bytes, Error>
where
    N: Fn() -> Moment,
{
    let mut left = max_bytes;
    loop {
        let frame = poll_fn(|cx| {
            if reception.poll_displaced(cx).is_ready() {
                return Poll::Ready(Err(Exceeded));
            }
            Pin::new(&mut body).poll_frame(cx).map(Ok)
        });
        let Some(frame) = frame.await? else {
            return Ok(reception.finish()?);
        };
        let Ok(data) = frame?.into_data() else {
            // Trailers are not passed on.
            continue;
        };
        left = left
            .checked_sub(data.len())
            .ok_or(Error::TooLarge(max_bytes))?;
        reception.append(&data, now())?;
    }
}

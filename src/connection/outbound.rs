//! HTTP/1.1 connections to targets, reached directly by every node.
//!
//! A connection is driven by the call that uses it and needs no task of its own. It goes back to the
//! pool only after a whole and expected answer; everything else closes it, because what a target sends
//! late would otherwise be taken for the answer to the next request.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use slotmap::SecondaryMap;
use tokio::net::TcpStream;

use super::target::{ANSWER_MAX, HANDOVERS};
use crate::process::registry::TargetKey;
use crate::request::reply::{Cause, Outcome};
use crate::time::{Clock, Moment};

/// The longest wait for a new connection. Targets are a few milliseconds away, and one lost packet of
/// the handshake, which is sent again after a second, is not worth waiting for: nothing has been sent
/// yet, so another target can be tried at no cost.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long sent bytes may stay unacknowledged before the connection counts as dead.
pub const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
/// How long an idle connection is kept if the target does not say.
const KEEP_DEFAULT: Duration = Duration::from_secs(4);
/// How long a second idle connection to the same target is kept. Connections of a node that loses power
/// count at the target until it closes them, so a node keeps few.
const KEEP_FURTHER: Duration = Duration::from_millis(500);
/// How much sooner than the target says a connection is given up: a request that crosses the target's
/// close is lost.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// The longest head of an answer, in bytes; the buffer of a connection grows up to it only when needed.
const HEAD_MAX: usize = 64 << 10;

/// A request of a caller, as it goes to each target.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request id of the caller's attempt.
    pub id: HeaderValue,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: PathAndQuery,
    /// The caller's headers, without those of its connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The target of a subrequest.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The target.
    pub key: TargetKey,
    /// The name that it must have.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether the subrequest gets a connection of its own. A kept one may have ended without a sign, or may
    /// bring a late answer, and a request that cannot be repeated would then be lost.
    pub alone: bool,
}

/// What an answer means.
#[derive(Debug)]
pub struct Heard {
    /// How the subrequest ended.
    pub outcome: Outcome,
    /// How much longer the target says that it stays cold.
    pub cold: Option<Duration>,
    /// How long the target says that it keeps an idle connection.
    pub keep: Option<Duration>,
}

/// How requests and answers of targets are written.
pub trait Protocol: std::fmt::Debug + Send + Sync + 'static {
    /// Returns the request for a target that has `remaining` to answer.
    fn request(&self, call: &Call, peer: &Peer, remaining: Duration) -> Request<Full<Bytes>>;

    /// Returns what a whole answer means.
    fn read(&self, call: &Call, head: &response::Parts, body: Bytes) -> Heard;
}

/// The idle connections to all targets.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    idle: Mutex<SecondaryMap<TargetKey, Vec<Wire>>>,
}

/// One open connection.
#[derive(Debug)]
struct Wire {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>,
    ended: bool,
    /// When it must not be used any longer.
    until: Moment,
}

impl Pool {
    /// Opens a pool without connections.
    pub fn open(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
        }
    }

    /// Closes the idle connections to a target.
    pub fn forget(&self, key: TargetKey) {
        self.idle().remove(key);
    }

    /// Closes idle connections that are too old to be used.
    pub fn expire(&self, now: Moment) {
        for (_, wires) in self.idle().iter_mut() {
            wires.retain(|wire| wire.until > now);
        }
    }

    /// Opens a connection to a target to see whether it can be reached, and keeps it for the next subrequest.
    pub async fn probe(&self, key: TargetKey, address: SocketAddr) -> bool {
        match Wire::open(address).await {
            Ok(wire) => {
                self.put(key, wire, None);
                true
            }
            Err(_unreachable) => {
                // The target has lost the connections that it had.
                self.forget(key);
                false
            }
        }
    }

    /// Sends a request to a target and waits for its whole answer until `deadline`.
    pub async fn call<P>(&self, protocol: &P, call: &Call, peer: &Peer, deadline: Moment) -> Heard
    where
        P: Protocol,
    {
        let remaining = self.clock.now().until(deadline);
        let exchange = pin!(self.exchange(protocol, call, peer, deadline));
        match tokio::time::timeout(remaining, exchange).await {
            Ok(heard) => heard,
            Err(_elapsed) => Heard::without_answer(Outcome::Lost(Cause::Timeout)),
        }
    }

    async fn exchange<P>(&self, protocol: &P, call: &Call, peer: &Peer, deadline: Moment) -> Heard
    where
        P: Protocol,
    {
        loop {
            let kept = if peer.alone {
                None
            } else {
                self.take(peer.key)
            };
            let fresh = kept.is_none();
            let mut wire = match kept {
                Some(wire) => wire,
                None => match Wire::open(peer.address).await {
                    Ok(wire) => wire,
                    Err(_unreachable) => {
                        return Heard::without_answer(Outcome::NotRun(Cause::Unreachable));
                    }
                },
            };
            let remaining = self.clock.now().until(deadline);
            let request = protocol.request(call, peer, remaining);
            match wire.exchange(request).await {
                Ok((head, body)) => {
                    let answer = protocol.read(call, &head, body);
                    if !peer.alone && !matches!(answer.outcome, Outcome::Lost(_)) {
                        self.put(peer.key, wire, answer.keep);
                    }
                    return answer;
                }
                // The kept connection had ended before anything was written.
                Err(Broken::Unsent) if !fresh => {}
                Err(Broken::Unsent) => {
                    return Heard::without_answer(Outcome::NotRun(Cause::Unreachable));
                }
                Err(Broken::Sent) => {
                    let cause = if fresh { Cause::Cut } else { Cause::Broken };
                    return Heard::without_answer(Outcome::Lost(cause));
                }
            }
        }
    }

    fn take(&self, key: TargetKey) -> Option<Wire> {
        let now = self.clock.now();
        let mut idle = self.idle();
        let wires = idle.get_mut(key)?;
        // The connection that was used last is the least likely to have been closed.
        while let Some(wire) = wires.pop() {
            if wire.until > now {
                return Some(wire);
            }
        }
        None
    }

    fn put(&self, key: TargetKey, mut wire: Wire, keep: Option<Duration>) {
        if wire.ended {
            return;
        }
        let keep = keep.map_or(KEEP_DEFAULT, |keep| keep.saturating_sub(KEEP_MARGIN));
        let mut idle = self.idle();
        let Some(entry) = idle.entry(key) else {
            return;
        };
        let wires = entry.or_default();
        // The oldest connection stays at the bottom of the stack and serves when others are in use.
        let keep = if wires.is_empty() {
            keep
        } else {
            keep.min(KEEP_FURTHER)
        };
        wire.until = self.clock.now() + keep;
        wires.push(wire);
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, SecondaryMap<TargetKey, Vec<Wire>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Heard {
    const fn without_answer(outcome: Outcome) -> Self {
        Self {
            outcome,
            cold: None,
            keep: None,
        }
    }
}

/// How an exchange failed.
enum Broken {
    /// Nothing was written.
    Unsent,
    /// The request may have arrived.
    Sent,
}

impl Wire {
    async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await??;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(HEAD_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            ended: false,
            until: Moment::NEVER,
        })
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(response::Parts, Bytes), Broken> {
        // A kept connection that the target has closed, or on which it has sent something, shows it
        // here, before the request is written.
        let ready = drive(&mut self.driver, &mut self.ended, self.sender.ready()).await;
        if ready.is_err() || self.ended {
            return Err(Broken::Unsent);
        }
        let sending = self.sender.try_send_request(request);
        let response = drive(&mut self.driver, &mut self.ended, sending)
            .await
            .map_err(|mut failure| match failure.take_message() {
                Some(_unsent) => Broken::Unsent,
                None => Broken::Sent,
            })?;
        let (head, body) = response.into_parts();
        let whole = Limited::new(body, ANSWER_MAX).collect();
        let body = drive(&mut self.driver, &mut self.ended, whole)
            .await
            .map_err(|_broken| Broken::Sent)?;
        Ok((head, body.to_bytes()))
    }
}

/// Runs a future together with the connection that it depends on.
async fn drive<F>(
    driver: &mut Pin<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>,
    ended: &mut bool,
    future: F,
) -> F::Output
where
    F: Future,
{
    let mut future = pin!(future);
    poll_fn(|cx| {
        for _ in 0..HANDOVERS {
            if !*ended {
                // The call learns from its own result why the connection ended.
                *ended = driver.as_mut().poll(cx).is_ready();
            }
            if let Poll::Ready(done) = future.as_mut().poll(cx) {
                return Poll::Ready(done);
            }
        }
        Poll::Pending
    })
    .await
}

/// Opens a connection to another process, with the options that all of them have.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    // Without these options connections are slower, or their death is noticed later.
    let _ = stream.set_nodelay(true);
    let millis = u32::try_from(UNACKNOWLEDGED.as_millis()).unwrap_or(u32::MAX);
    let _ = sockopt::set_tcp_user_timeout(&stream, millis);
    Ok(stream)
}

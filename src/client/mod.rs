//! A caller's side of the callers' interface: addresses, request ids and safe retries.
//!
//! The rules are those of `docs/CALLERS.md`: a refusal that says "not run" may be sent again under a
//! new request id; a request whose answer was lost may only be sent again under the same id.

mod pool;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::request::answer::{Addresses, Answer, Refusal};
use crate::time::{Clock, Moment};
use crate::wire::Reason;
use pool::{Failure, Pool};

/// Attempts for one request, so that a lasting fault ends in an error.
const MAX_ATTEMPTS: u32 = 6;
/// The wait before the first retry; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// The least time for an attempt; a shorter one would only add load.
const LEAST_ATTEMPT: Duration = Duration::from_millis(100);
/// How much longer than the deadline the client waits, to receive a refusal that was sent in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// The time allowed for an addresses answer.
const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(2);

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The name of the index.
    pub index: String,
    /// The name of the query kind.
    pub kind: String,
    /// The time within which the answer is wanted.
    pub deadline: Duration,
    /// The key that selects one shard.
    pub routing_key: Option<String>,
    /// Whether the work may run more than once; the settings tree decides, and this must agree.
    pub idempotent: bool,
    /// The query text.
    pub body: Bytes,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The answer, or why there is none.
    pub result: Result<Answer, Error>,
    /// The request ids that were used, the last one first in question.
    pub request_ids: Vec<String>,
    /// How often the request was sent.
    pub attempts: u32,
    /// The time from the first attempt to the outcome.
    pub elapsed: Duration,
}

/// Why a caller has no answer.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Error {
    /// The system refused; `not_run` in the refusal tells whether anything ran.
    #[error("refused: {} ({})", .0.error, .0.reason)]
    Refused(Refusal),
    /// No address could be reached before anything was sent.
    #[error("no address could be reached; the request was not sent")]
    Unreachable,
    /// The connection broke after the request was sent, and retries gave no answer.
    #[error("the answer was lost; the request may have run")]
    Lost,
    /// The answer does not follow the interface.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
}

impl Error {
    /// Tells whether the request certainly did not run.
    pub fn not_run(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.not_run,
            Self::Unreachable => true,
            Self::Lost | Self::Malformed(_) => false,
        }
    }
}

/// A caller that keeps addresses and connections.
#[derive(Debug)]
pub struct Caller {
    clock: Clock,
    bootstrap: Vec<SocketAddr>,
    pool: Pool,
    listed: Mutex<Listed>,
    next: AtomicU64,
}

#[derive(Debug, Default, Clone)]
struct Listed {
    addresses: Vec<SocketAddr>,
    until: Moment,
    session: String,
    sequence: u64,
}

enum Attempt {
    Answer(Answer),
    Refused(Refusal),
    NotSent,
    Lost,
    Malformed(String),
}

impl Caller {
    /// Opens a caller that asks one of `bootstrap` for addresses first.
    pub fn open(bootstrap: Vec<SocketAddr>) -> Self {
        Self {
            clock: Clock::start(),
            bootstrap,
            pool: Pool::default(),
            listed: Mutex::default(),
            next: AtomicU64::new(0),
        }
    }

    /// Asks for addresses, or returns the ones that may still be kept.
    pub async fn addresses(&self) -> Result<Vec<SocketAddr>, Error> {
        self.refresh().await.map(|listed| listed.addresses)
    }

    /// Sends a query and retries as far as that is safe.
    pub async fn query(&self, query: &Query) -> Outcome {
        let start = self.clock.now();
        let mut requests = Vec::new();
        let mut attempts = 0;
        let result = self
            .attempts(query, start, &mut requests, &mut attempts)
            .await;
        Outcome {
            result,
            request_ids: requests,
            attempts,
            elapsed: self.clock.now().since(start),
        }
    }

    async fn attempts(
        &self,
        query: &Query,
        start: Moment,
        requests: &mut Vec<String>,
        attempts: &mut u32,
    ) -> Result<Answer, Error> {
        let give_up = start + query.deadline + ANSWER_MARGIN;
        let mut backoff = FIRST_BACKOFF;
        let mut last = Error::Unreachable;
        let mut fresh = true;
        // Set once a message was written and its answer did not come: from then on the id may have run,
        // and a later "not run" speaks for a later message only.
        let mut doubt = false;
        let mut tried = Vec::new();
        // Retries go to the following addresses, so that a dead node costs one attempt only.
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        while *attempts < MAX_ATTEMPTS {
            let now = self.clock.now();
            let left = now.until(start + query.deadline);
            if left.is_zero() {
                break;
            }
            let listed = self.refresh().await?;
            if fresh {
                requests.push(self.request_id());
                fresh = false;
            }
            let request = requests.last().expect("an id was pushed above").clone();
            let address = next_address(&listed.addresses, first as usize, &tried);
            tried.push(address);
            *attempts += 1;
            let timeout = attempt_limit(query, *attempts, left, self.clock.now().until(give_up));
            match self.attempt(address, query, &request, left, timeout).await {
                Attempt::Answer(answer) => return Ok(answer),
                Attempt::Refused(refusal) if !retryable(&refusal) => {
                    return Err(Error::Refused(refusal));
                }
                Attempt::Refused(refusal) => {
                    if matches!(refusal.reason, Reason::Stopping | Reason::OutOfService) {
                        self.forget();
                    }
                    if !doubt {
                        // Nothing ran, so a new id is safe, and a live node can start it.
                        fresh = true;
                        last = Error::Refused(refusal);
                    }
                }
                Attempt::NotSent => self.avoid(address),
                Attempt::Lost => {
                    self.avoid(address);
                    doubt = !query.idempotent;
                    last = Error::Lost;
                }
                Attempt::Malformed(text) => return Err(Error::Malformed(text)),
            }
            let wait = backoff.min(self.clock.now().until(start + query.deadline));
            tokio::time::sleep(wait).await;
            backoff *= 2;
        }
        Err(last)
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        query: &Query,
        request: &str,
        left: Duration,
        timeout: Duration,
    ) -> Attempt {
        let path = format!("/v1/query/{}/{}", query.index, query.kind);
        let millis = left.as_millis().max(1).to_string();
        let mut head = hyper::Request::post(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .header("deadline-ms", millis)
            .header("request-id", request);
        if let Some(key) = &query.routing_key {
            head = head.header("routing-key", key);
        }
        let Ok(message) = head.body(query.body.clone()) else {
            return Attempt::Malformed("the routing key cannot be sent in a header".to_owned());
        };
        match self.pool.send(address, message, timeout).await {
            Ok((status, body)) => parse(status, &body),
            Err(Failure::NotSent) => Attempt::NotSent,
            Err(Failure::Lost) => Attempt::Lost,
        }
    }

    async fn refresh(&self) -> Result<Listed, Error> {
        let known = self.listed().clone();
        if !known.addresses.is_empty() && self.clock.now() < known.until {
            return Ok(known);
        }
        for address in known.addresses.iter().chain(&self.bootstrap) {
            let asked = self.clock.now();
            if let Some(fresh) = self.ask(*address).await {
                let mut listed = self.listed();
                listed.addresses = fresh.addresses;
                listed.until = asked + fresh.keep;
                listed.session = fresh.session;
                listed.sequence = 0;
                return Ok(listed.clone());
            }
        }
        Err(Error::Unreachable)
    }

    async fn ask(&self, address: SocketAddr) -> Option<Addresses> {
        let message = hyper::Request::get("/v1/addresses")
            .header("host", address.to_string())
            .body(Bytes::new())
            .expect("a constant request is valid");
        let (status, body) = self
            .pool
            .send(address, message, ADDRESSES_TIMEOUT)
            .await
            .ok()?;
        let addresses: Addresses = serde_json::from_slice(&body).ok()?;
        (status == 200 && !addresses.addresses.is_empty()).then_some(addresses)
    }

    fn listed(&self) -> std::sync::MutexGuard<'_, Listed> {
        self.listed
            .lock()
            .expect("no code panics while it holds the list")
    }

    fn request_id(&self) -> String {
        let mut listed = self.listed();
        listed.sequence += 1;
        format!("{}-{}", listed.session, listed.sequence)
    }

    fn forget(&self) {
        self.listed().until = Moment::ZERO;
    }

    fn avoid(&self, address: SocketAddr) {
        let mut listed = self.listed();
        if listed.addresses.len() > 1 {
            listed.addresses.retain(|&known| known != address);
        }
    }
}

/// Returns the address for the next attempt: one that was not tried for this request, if there is any.
fn next_address(addresses: &[SocketAddr], first: usize, tried: &[SocketAddr]) -> SocketAddr {
    let start = first % addresses.len();
    let (before, after) = addresses.split_at(start);
    let mut turn = after.iter().chain(before);
    let fresh = turn.find(|address| !tried.contains(address));
    *fresh.unwrap_or(&addresses[(start + tried.len()) % addresses.len()])
}

/// Returns how long one attempt may take.
///
/// A node that is frozen accepts connections and answers nothing. A request that may run twice is
/// sent to another node while half of its time is left.
fn attempt_limit(query: &Query, attempt: u32, left: Duration, whole: Duration) -> Duration {
    // Only once for each request: under overload more of this would keep the overload up.
    if attempt == 1 && query.idempotent && left > LEAST_ATTEMPT * 2 {
        left / 2
    } else {
        whole
    }
}

fn retryable(refusal: &Refusal) -> bool {
    match refusal.reason {
        Reason::Stopping
        | Reason::NoPermit
        | Reason::NotOwner
        | Reason::NoTarget
        | Reason::OutOfService
        | Reason::NotSent
        | Reason::Shed
        | Reason::Draining => refusal.not_run,
        // Other reasons concern the request itself, or more load would make them worse.
        _ => false,
    }
}

fn parse(status: u16, body: &[u8]) -> Attempt {
    if status == 200 {
        return match serde_json::from_slice(body) {
            Ok(answer) => Attempt::Answer(answer),
            Err(e) => Attempt::Malformed(e.to_string()),
        };
    }
    match serde_json::from_slice(body) {
        Ok(refusal) => Attempt::Refused(refusal),
        Err(e) => Attempt::Malformed(format!("status {status}: {e}")),
    }
}

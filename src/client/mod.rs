//! Client of the callers' interface: keeps node addresses, assigns request ids and retries where it is safe.
//!
//! The rules are those of `docs/CALLERS.md`: a request that was refused as "not run" may be sent again
//! under a new request id; one whose answer was lost may only be sent again under the same id.

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

/// Maximum number of attempts per query; a persistent fault ends in an error after that many.
const MAX_ATTEMPTS: u32 = 6;
/// Wait before the first retry; it doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Lower limit of a shortened first attempt; a shorter one would only add load.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after the deadline for which the client still waits, to receive a refusal that was sent in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Time limit of a request for the address list.
const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(2);

/// A query to one index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The name of the index.
    pub index: String,
    /// The name of the query kind.
    pub kind: String,
    /// The time limit for the answer, counted from the first attempt.
    pub deadline: Duration,
    /// The key that selects the shard. Required for query kinds that ask one shard only.
    pub routing_key: Option<String>,
    /// Whether the query may run more than once. Must agree with the settings of the query kind.
    pub idempotent: bool,
    /// The query text, sent as the request body.
    pub body: Bytes,
}

/// The result of a query and what it took to get it.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The answer, or why there is none.
    pub result: Result<Answer, Error>,
    /// The request ids that were used, in order. If the query is not idempotent, only the last may have run.
    pub request_ids: Vec<String>,
    /// The number of attempts, including those that reached no node.
    pub attempts: u32,
    /// The time from the start of the query to its outcome, including waits between attempts.
    pub elapsed: Duration,
}

/// Why a query has no answer.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Error {
    /// A node refused the request; `not_run` in the refusal tells whether anything ran.
    #[error("refused: {} ({})", .0.error, .0.reason)]
    Refused(Refusal),
    /// No node could be reached, and nothing was sent.
    #[error("no address could be reached; the request was not sent")]
    Unreachable,
    /// The connection broke or timed out after the request was sent, and no retry was answered.
    #[error("the answer was lost; the request may have run")]
    Lost,
    /// The response does not follow the callers' interface, or the request cannot be encoded.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns whether the request certainly did not run.
    pub fn not_run(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.not_run,
            Self::Unreachable => true,
            Self::Lost | Self::Malformed(_) => false,
        }
    }
}

/// A client that keeps the address list and idle connections between queries.
#[derive(Debug)]
pub struct Caller {
    clock: Clock,
    bootstrap: Vec<SocketAddr>,
    pool: Pool,
    address_list: Mutex<AddressList>,
    /// Incremented per query, so that queries start at different addresses.
    rotation: AtomicU64,
}

/// The last list of addresses that a node returned.
#[derive(Debug, Default, Clone)]
struct AddressList {
    addresses: Vec<SocketAddr>,
    valid_until: Moment,
    /// The session that the node assigned; the first part of every request id.
    session: String,
    last_sequence: u64,
}

/// The result of one attempt.
enum Attempt {
    Answer(Answer),
    Refused(Refusal),
    NotSent,
    Lost,
    Malformed(String),
}

impl Caller {
    /// Creates a client that requests its first address list from one of the `bootstrap` addresses.
    pub fn open(bootstrap: Vec<SocketAddr>) -> Self {
        Self {
            clock: Clock::start(),
            bootstrap,
            pool: Pool::default(),
            address_list: Mutex::default(),
            rotation: AtomicU64::new(0),
        }
    }

    /// Returns the kept address list while it is valid, otherwise requests a new one.
    pub async fn addresses(&self) -> Result<Vec<SocketAddr>, Error> {
        self.current_address_list()
            .await
            .map(|address_list| address_list.addresses)
    }

    /// Sends a query and retries where that is safe, until it is answered or its deadline passes.
    pub async fn query(&self, query: &Query) -> Outcome {
        let start = self.clock.now();
        let mut request_ids = Vec::new();
        let mut attempts = 0;
        let result = self
            .query_with_retries(query, start, &mut request_ids, &mut attempts)
            .await;
        Outcome {
            result,
            request_ids,
            attempts,
            elapsed: self.clock.now().since(start),
        }
    }

    /// Sends the query until it is answered, a retry is not safe, or its deadline or attempts run out.
    async fn query_with_retries(
        &self,
        query: &Query,
        start: Moment,
        request_ids: &mut Vec<String>,
        attempts: &mut u32,
    ) -> Result<Answer, Error> {
        let answer_deadline = start + query.deadline + ANSWER_MARGIN;
        let mut backoff = INITIAL_BACKOFF;
        let mut last_error = Error::Unreachable;
        let mut needs_new_id = true;
        // Set when a non-idempotent request was sent and no answer came. Its id may have run, and a later
        // refusal as "not run" says so of the later attempt only.
        let mut may_have_run = false;
        let mut tried = Vec::new();
        // Retries go to the following addresses, so that an unreachable node costs one attempt only.
        let first = self.rotation.fetch_add(1, Ordering::Relaxed);
        while *attempts < MAX_ATTEMPTS {
            let now = self.clock.now();
            let remaining = now.until(start + query.deadline);
            if remaining.is_zero() {
                break;
            }
            let address_list = self.current_address_list().await?;
            if needs_new_id {
                request_ids.push(self.next_request_id());
                needs_new_id = false;
            }
            let request_id = request_ids.last().expect("an id was pushed above").clone();
            let address = next_address(&address_list.addresses, first as usize, &tried);
            tried.push(address);
            *attempts += 1;
            let timeout = attempt_timeout(
                query,
                *attempts,
                remaining,
                self.clock.now().until(answer_deadline),
            );
            match self
                .attempt(address, query, &request_id, remaining, timeout)
                .await
            {
                Attempt::Answer(answer) => return Ok(answer),
                Attempt::Refused(refusal) if !is_retryable(&refusal) => {
                    return Err(Error::Refused(refusal));
                }
                Attempt::Refused(refusal) => {
                    if matches!(refusal.reason, Reason::Stopping | Reason::OutOfService) {
                        self.expire_address_list();
                    }
                    if !may_have_run {
                        // Nothing ran, so that another node can safely start the query under a new id.
                        needs_new_id = true;
                        last_error = Error::Refused(refusal);
                    }
                }
                Attempt::NotSent => self.remove_address(address),
                Attempt::Lost => {
                    self.remove_address(address);
                    may_have_run = !query.idempotent;
                    last_error = Error::Lost;
                }
                Attempt::Malformed(text) => return Err(Error::Malformed(text)),
            }
            let wait = backoff.min(self.clock.now().until(start + query.deadline));
            tokio::time::sleep(wait).await;
            backoff *= 2;
        }
        Err(last_error)
    }

    /// Sends the request once to one address. `remaining` is the deadline that the node is told.
    async fn attempt(
        &self,
        address: SocketAddr,
        query: &Query,
        request_id: &str,
        remaining: Duration,
        timeout: Duration,
    ) -> Attempt {
        let path = format!("/v1/query/{}/{}", query.index, query.kind);
        let deadline_ms = remaining.as_millis().max(1).to_string();
        let mut builder = hyper::Request::post(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .header("deadline-ms", deadline_ms)
            .header("request-id", request_id);
        if let Some(key) = &query.routing_key {
            builder = builder.header("routing-key", key);
        }
        let Ok(request) = builder.body(query.body.clone()) else {
            return Attempt::Malformed(
                "the index, kind or routing key is not valid in a request".to_owned(),
            );
        };
        match self.pool.send(address, request, timeout).await {
            Ok((status, body)) => parse_response(status, &body),
            Err(Failure::NotSent) => Attempt::NotSent,
            Err(Failure::Lost) => Attempt::Lost,
        }
    }

    /// Returns the kept list while it is valid, otherwise a new one from the first node that answers.
    async fn current_address_list(&self) -> Result<AddressList, Error> {
        let known = self.lock_address_list().clone();
        if !known.addresses.is_empty() && self.clock.now() < known.valid_until {
            return Ok(known);
        }
        for address in known.addresses.iter().chain(&self.bootstrap) {
            let requested_at = self.clock.now();
            if let Some(answer) = self.fetch_addresses(*address).await {
                let mut address_list = self.lock_address_list();
                address_list.addresses = answer.addresses;
                address_list.valid_until = requested_at + answer.keep;
                address_list.session = answer.session;
                address_list.last_sequence = 0;
                return Ok(address_list.clone());
            }
        }
        Err(Error::Unreachable)
    }

    /// Requests the address list from one node; `None` if the node fails or returns no address.
    async fn fetch_addresses(&self, address: SocketAddr) -> Option<Addresses> {
        let request = hyper::Request::get("/v1/addresses")
            .header("host", address.to_string())
            .body(Bytes::new())
            .expect("a constant request is valid");
        let (status, body) = self
            .pool
            .send(address, request, ADDRESSES_TIMEOUT)
            .await
            .ok()?;
        let addresses: Addresses = serde_json::from_slice(&body).ok()?;
        (status == 200 && !addresses.addresses.is_empty()).then_some(addresses)
    }

    fn lock_address_list(&self) -> std::sync::MutexGuard<'_, AddressList> {
        self.address_list
            .lock()
            .expect("no code panics while it holds the list")
    }

    /// Returns a new request id: the session and the next sequence number.
    fn next_request_id(&self) -> String {
        let mut address_list = self.lock_address_list();
        address_list.last_sequence += 1;
        format!("{}-{}", address_list.session, address_list.last_sequence)
    }

    /// Makes the next attempt request a new address list.
    fn expire_address_list(&self) {
        self.lock_address_list().valid_until = Moment::ZERO;
    }

    /// Removes an unreachable address from the kept list, unless it is the only one remaining.
    fn remove_address(&self, address: SocketAddr) {
        let mut address_list = self.lock_address_list();
        if address_list.addresses.len() > 1 {
            address_list.addresses.retain(|&known| known != address);
        }
    }
}

/// Returns the address for the next attempt: one that was not tried for this query, if there is any.
fn next_address(addresses: &[SocketAddr], first: usize, tried: &[SocketAddr]) -> SocketAddr {
    let start = first % addresses.len();
    let (before, after) = addresses.split_at(start);
    let mut rotation = after.iter().chain(before);
    let untried = rotation.find(|address| !tried.contains(address));
    *untried.unwrap_or(&addresses[(start + tried.len()) % addresses.len()])
}

/// Returns the time limit of one attempt.
///
/// A frozen node accepts connections and answers nothing. The first attempt of an idempotent query
/// gets half of the remaining time, so that another node can still answer in the other half.
fn attempt_timeout(
    query: &Query,
    attempt: u32,
    remaining: Duration,
    full_timeout: Duration,
) -> Duration {
    // Only the first attempt: under overload, further early retries would sustain the overload.
    if attempt == 1 && query.idempotent && remaining > MIN_ATTEMPT_TIMEOUT * 2 {
        remaining / 2
    } else {
        full_timeout
    }
}

/// Returns whether another attempt after this refusal is safe and can help.
fn is_retryable(refusal: &Refusal) -> bool {
    match refusal.reason {
        Reason::Stopping
        | Reason::NoPermit
        | Reason::NotOwner
        | Reason::NoTarget
        | Reason::OutOfService
        | Reason::NotSent
        | Reason::Shed
        | Reason::Draining => refusal.not_run,
        // Other reasons lie in the request itself, or further load would make them worse.
        _ => false,
    }
}

/// Reads an answer from a response with status 200, and a refusal from any other.
fn parse_response(status: u16, body: &[u8]) -> Attempt {
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

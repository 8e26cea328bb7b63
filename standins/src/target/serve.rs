//! Listener, connections and requests of one target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::instance::{Admission, Completion, Instance};
use super::port::Port;
use super::request::{SearchRequest, SearchResponse, error_response, request_identity};
use super::state::{PendingSwap, Run};
use crate::http::{self, Disconnect, Reply};

/// Time for which a connection beyond the limit waits for another one to end before it is closed. The
/// end of a connection and the start of its replacement can arrive in either order.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(20);

/// Server of one target, with the means to stop its tasks.
#[derive(Debug, Clone)]
pub(super) struct Server {
    pub instance: Arc<Instance>,
    pub stop: CancellationToken,
    pub tracker: TaskTracker,
}

impl Server {
    /// Accepts connections while the target does; `listening` reports whether its port is open.
    pub(super) async fn accept(
        self,
        port: Port,
        listener: TcpListener,
        listening: watch::Sender<bool>,
    ) {
        let mut listener = Some(listener);
        let mut open = self.instance.accepting.subscribe();
        loop {
            let wanted = *open.borrow_and_update();
            if wanted && listener.is_none() {
                match port.listen() {
                    Ok(bound) => listener = Some(bound),
                    Err(error) => {
                        http::wait_after_accept_error(&error).await;
                        open.mark_changed();
                    }
                }
            } else if !wanted {
                listener = None;
            }
            listening.send_replace(listener.is_some());
            let accepted = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.stop.cancelled() => return,
                changed = open.changed() => if changed.is_err() { return },
                accepted = accepted => match accepted {
                    Ok((stream, _)) => { self.tracker.spawn(self.clone().connection(stream)); }
                    Err(error) => http::wait_after_accept_error(&error).await,
                },
            }
        }
    }

    /// Serves one connection until it ends, is closed by a fault or the process stops.
    async fn connection(self, stream: TcpStream) {
        let mut disconnects = self.instance.disconnects.subscribe();
        let Some(_guard) = ConnectionGuard::acquire(&self.instance, &disconnects).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let stop = self.stop.clone();
        let connect = Duration::from_millis(self.instance.spec.connect_ms);
        let serving = async move {
            if !connect.is_zero() {
                tokio::time::sleep(connect).await;
            }
            let service = service_fn(move |request| self.clone().call(request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // An error means that the peer or a fault ended the connection.
            drop(connection.await);
        };
        tokio::select! {
            () = serving => {}
            () = stop.cancelled() => {}
            _ = disconnects.changed() => {}
        }
    }

    async fn call(self, request: Request<Incoming>) -> Reply {
        let hung = self.instance.state().faults.hang;
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/search") => self.search(request).await,
            (&Method::POST | &Method::GET, "/cancel" | "/status") if hung => {
                std::future::pending().await
            }
            (&Method::POST, "/cancel") => Ok(match request_identity(request.headers()) {
                Ok((id, attempt)) => {
                    let cancelled = self.instance.cancel(&id, attempt);
                    http::json_response(StatusCode::OK, &json!({ "cancelled": cancelled }))
                }
                Err(error) => http::error_response(StatusCode::BAD_REQUEST, &error),
            }),
            (&Method::GET, "/status") => {
                Ok(http::json_response(StatusCode::OK, &self.instance.status()))
            }
            _ => Ok(http::not_found()),
        }
    }

    /// Handles `POST /search`.
    async fn search(self, request: Request<Incoming>) -> Reply {
        let instance = Arc::clone(&self.instance);
        let arrived = Instant::now();
        let search = match SearchRequest::parse(request.headers()) {
            Ok(search) => search,
            Err(error) => {
                instance.state().malformed += 1;
                return Ok(http::error_response(StatusCode::BAD_REQUEST, &error));
            }
        };
        let body = match http::read_body(request.into_body()).await {
            Ok(body) => body,
            Err(response) => {
                instance.state().malformed += 1;
                return Ok(response);
            }
        };
        match instance.admit(&search) {
            Admission::Hung => std::future::pending().await,
            Admission::JournalFull => Ok(http::error_response(
                StatusCode::INSUFFICIENT_STORAGE,
                "the stand-in's journal is full; restart it",
            )),
            Admission::Refused {
                entry,
                status,
                error,
            } => {
                let generation = instance.state().run.generation;
                record_answer(&instance, entry, status);
                Ok(instance.error_response(&search, generation, status, error, false))
            }
            Admission::Accepted { entry, run, cancel } => {
                let (report, reported) = oneshot::channel();
                let deadline = arrived + search.time_left;
                let work = Work {
                    instance: Arc::clone(&instance),
                    search: search.clone(),
                    entry,
                    run: Arc::clone(&run),
                    cancel,
                    deadline,
                    body,
                };
                let stop = self.stop.clone();
                // A separate task, because work goes on when the connection ends.
                self.tracker.spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        outcome = work.run() => drop(report.send(outcome)),
                    }
                });
                let generation = run.generation;
                match reported.await {
                    Ok(Outcome::Answer(answer)) => send_answer(&instance, answer, deadline).await,
                    Ok(Outcome::Refusal(status, error, started)) => {
                        record_answer(&instance, entry, status);
                        Ok(instance.error_response(&search, generation, status, error, started))
                    }
                    Ok(Outcome::Killed) | Err(_) => Err(Disconnect),
                }
            }
        }
    }
}

/// Counts as one of the open connections of a target until it is dropped.
#[derive(Debug)]
struct ConnectionGuard {
    instance: Arc<Instance>,
    disconnect_count: u64,
}

impl ConnectionGuard {
    /// Waits until the target has room for a connection; returns `None` if there is none in time or all
    /// connections were closed.
    async fn acquire(instance: &Arc<Instance>, disconnects: &watch::Receiver<u64>) -> Option<Self> {
        let disconnect_count = *disconnects.borrow();
        let deadline = Instant::now() + REPLACEMENT_TIMEOUT;
        loop {
            {
                let mut state = instance.state();
                if *instance.disconnects.borrow() != disconnect_count {
                    return None;
                }
                if state.connections < instance.spec.connections {
                    state.connections += 1;
                    let instance = Arc::clone(instance);
                    return Some(Self {
                        instance,
                        disconnect_count,
                    });
                }
                if Instant::now() >= deadline {
                    state.connection_overruns += 1;
                    return None;
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.instance.state();
        // Closing all connections has already set the count to zero.
        if *self.instance.disconnects.borrow() == self.disconnect_count {
            state.connections -= 1;
        }
    }
}

/// Result of accepted work.
#[derive(Debug)]
enum Outcome {
    Answer(SearchResponse),
    /// HTTP status, error text, and whether the work had started.
    Refusal(u16, &'static str, bool),
    Killed,
}

/// Work for an accepted request.
#[derive(Debug)]
struct Work {
    instance: Arc<Instance>,
    search: SearchRequest,
    entry: usize,
    run: Arc<Run>,
    cancel: CancellationToken,
    deadline: Instant,
    body: Bytes,
}

impl Work {
    /// Waits for a slot and works until the end, a cancellation, the deadline or a restart.
    async fn run(self) -> Outcome {
        let mut slot = None;
        let completion = {
            let work = async {
                slot = self.run.slots.acquire().await.ok();
                tokio::time::sleep(self.instance.record_start(self.entry)).await;
            };
            tokio::select! {
                biased;
                () = self.run.ended.cancelled() => Completion::Killed,
                () = self.cancel.cancelled() => Completion::Cancelled,
                () = tokio::time::sleep_until(self.deadline) => Completion::Expired,
                () = work => Completion::Finished,
            }
        };
        let started = slot.is_some();
        self.instance
            .record_end(&self.run, &self.search, self.entry, completion);
        // The slot is kept until the end is recorded, so that the journal never shows more running
        // requests than slots.
        drop(slot);
        match completion {
            Completion::Finished => Outcome::Answer(SearchResponse::new(
                self.entry,
                &self.search,
                self.run.generation,
                &self.body,
            )),
            Completion::Cancelled => Outcome::Refusal(499, "cancelled", started),
            Completion::Expired if started => {
                Outcome::Refusal(504, "deadline passed at work", true)
            }
            Completion::Expired => Outcome::Refusal(408, "deadline passed", false),
            Completion::Killed => Outcome::Killed,
        }
    }
}

/// Returns an answer, unless a fault loses it or swaps it with another one.
async fn send_answer(instance: &Instance, answer: SearchResponse, deadline: Instant) -> Reply {
    let entry = answer.entry;
    let (answer, crossed) = swap_answer(instance, answer, deadline).await;
    {
        let mut state = instance.state();
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Err(Disconnect);
        }
    }
    record_answer(instance, entry, 200);
    instance
        .journal
        .update(entry, |entry| entry.crossed = crossed);
    Ok(answer.into_response())
}

/// Swaps an answer with that of a concurrent request while the fault `cross_answers` is set; returns
/// whether it did.
///
/// The first answer of a pair waits for the second one, at most until its deadline.
async fn swap_answer(
    instance: &Instance,
    answer: SearchResponse,
    deadline: Instant,
) -> (SearchResponse, bool) {
    let (other, mut swapped) = oneshot::channel();
    {
        let mut state = instance.state();
        if state.faults.cross_answers == 0 {
            return (answer, false);
        }
        if let Some(pending_swap) = state.pending_swap.take()
            && pending_swap.other_response.send(answer.clone()).is_ok()
        {
            state.faults.cross_answers -= 1;
            return (pending_swap.response, true);
        }
        let answer = answer.clone();
        state.pending_swap = Some(PendingSwap {
            response: answer,
            other_response: other,
        });
    }
    if let Ok(Ok(theirs)) = tokio::time::timeout_at(deadline, &mut swapped).await {
        return (theirs, true);
    }
    // The other request may have taken this answer just before the time-out. It must not be sent twice.
    swapped.close();
    match swapped.try_recv() {
        Ok(theirs) => (theirs, true),
        Err(_) => (answer, false),
    }
}

/// Records in the journal that a response with this status is sent.
fn record_answer(instance: &Instance, entry: usize, status: u16) {
    instance.journal.update(entry, |entry| {
        entry.answered = true;
        entry.status = status;
    });
}

impl Instance {
    fn error_response(
        &self,
        search: &SearchRequest,
        generation: u64,
        status: u16,
        error: &str,
        started: bool,
    ) -> hyper::Response<http::Body> {
        let retry_after_ms = self.spec.retry_after_ms;
        error_response(search, generation, status, error, started, retry_after_ms)
    }
}

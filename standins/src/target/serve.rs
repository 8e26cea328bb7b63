//! The listener, the connections and the requests of one target.

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

use super::instance::{Admission, End, Instance};
use super::port::Port;
use super::request::{Answer, Search, identity, refusal};
use super::state::{Parked, Run};
use crate::http::{self, Disconnect, Reply};

/// How long a connection beyond the limit waits for another one to end before it is closed. The end
/// of a connection and the start of its replacement travel apart and can arrive in either order.
const REPLACEMENT: Duration = Duration::from_millis(20);

/// The tasks of a process that belong to one target.
#[derive(Debug, Clone)]
pub(super) struct Door {
    pub instance: Arc<Instance>,
    pub stop: CancellationToken,
    pub tracker: TaskTracker,
}

impl Door {
    /// Accepts connections while the target is open; `listening` tells whether its port is open.
    pub(super) async fn accept(
        self,
        port: Port,
        listener: TcpListener,
        listening: watch::Sender<bool>,
    ) {
        let mut listener = Some(listener);
        let mut open = self.instance.open.subscribe();
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

    async fn connection(self, stream: TcpStream) {
        let mut cut = self.instance.cut.subscribe();
        let Some(_place) = Place::take(&self.instance, &cut).await else {
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
            // An error here means that the peer or a fault ended the connection.
            drop(connection.await);
        };
        tokio::select! {
            () = serving => {}
            () = stop.cancelled() => {}
            _ = cut.changed() => {}
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
            (&Method::POST, "/cancel") => Ok(match identity(request.headers()) {
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

    async fn search(self, request: Request<Incoming>) -> Reply {
        let instance = Arc::clone(&self.instance);
        let arrived = Instant::now();
        let search = match Search::parse(request.headers()) {
            Ok(search) => search,
            Err(error) => {
                instance.state().malformed += 1;
                return Ok(http::error_response(StatusCode::BAD_REQUEST, &error));
            }
        };
        let body = match http::read(request.into_body()).await {
            Ok(body) => body,
            Err(refusal) => {
                instance.state().malformed += 1;
                return Ok(refusal);
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
                answered(&instance, entry, status);
                Ok(instance.refuse(&search, generation, status, error, false))
            }
            Admission::Accepted { entry, run, cancel } => {
                let (report, reported) = oneshot::channel();
                let deadline = arrived + search.deadline;
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
                // A task of its own, because work goes on when the connection ends.
                self.tracker.spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        outcome = work.run() => drop(report.send(outcome)),
                    }
                });
                let generation = run.generation;
                match reported.await {
                    Ok(Outcome::Answer(answer)) => give(&instance, answer, deadline).await,
                    Ok(Outcome::Refusal(status, error, started)) => {
                        answered(&instance, entry, status);
                        Ok(instance.refuse(&search, generation, status, error, started))
                    }
                    Ok(Outcome::Killed) | Err(_) => Err(Disconnect),
                }
            }
        }
    }
}

/// A place among the connections of a target.
#[derive(Debug)]
struct Place {
    instance: Arc<Instance>,
    cut: u64,
}

impl Place {
    async fn take(instance: &Arc<Instance>, cut: &watch::Receiver<u64>) -> Option<Self> {
        let cut = *cut.borrow();
        let deadline = Instant::now() + REPLACEMENT;
        loop {
            {
                let mut state = instance.state();
                if *instance.cut.borrow() != cut {
                    return None;
                }
                if state.connections < instance.spec.connections {
                    state.connections += 1;
                    let instance = Arc::clone(instance);
                    return Some(Self { instance, cut });
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

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.instance.state();
        // A cut has already set the count to zero.
        if *self.instance.cut.borrow() == self.cut {
            state.connections -= 1;
        }
    }
}

#[derive(Debug)]
enum Outcome {
    Answer(Answer),
    Refusal(u16, &'static str, bool),
    Killed,
}

/// One accepted request.
#[derive(Debug)]
struct Work {
    instance: Arc<Instance>,
    search: Search,
    entry: usize,
    run: Arc<Run>,
    cancel: CancellationToken,
    deadline: Instant,
    body: Bytes,
}

impl Work {
    async fn run(self) -> Outcome {
        let mut slot = None;
        let end = {
            let work = async {
                slot = self.run.slots.acquire().await.ok();
                tokio::time::sleep(self.instance.start(self.entry)).await;
            };
            tokio::select! {
                biased;
                () = self.run.ended.cancelled() => End::Killed,
                () = self.cancel.cancelled() => End::Cancelled,
                () = tokio::time::sleep_until(self.deadline) => End::Expired,
                () = work => End::Finished,
            }
        };
        let started = slot.is_some();
        self.instance.end(&self.run, &self.search, self.entry, end);
        // Kept until the end is recorded, so that never more requests run than there are slots.
        drop(slot);
        match end {
            End::Finished => Outcome::Answer(Answer::new(
                self.entry,
                &self.search,
                self.run.generation,
                &self.body,
            )),
            End::Cancelled => Outcome::Refusal(499, "cancelled", started),
            End::Expired if started => Outcome::Refusal(504, "deadline passed at work", true),
            End::Expired => Outcome::Refusal(408, "deadline passed", false),
            End::Killed => Outcome::Killed,
        }
    }
}

/// Sends an answer, or loses or swaps it if that is set.
async fn give(instance: &Instance, answer: Answer, deadline: Instant) -> Reply {
    let entry = answer.entry;
    let (answer, crossed) = cross(instance, answer, deadline).await;
    {
        let mut state = instance.state();
        if state.faults.lose_answers > 0 {
            state.faults.lose_answers -= 1;
            return Err(Disconnect);
        }
    }
    answered(instance, entry, 200);
    instance
        .journal
        .update(entry, |entry| entry.crossed = crossed);
    Ok(answer.into_response())
}

/// Swaps an answer with that of a concurrent request while crossings are set.
///
/// The first answer of a pair waits for the second one, at most until its deadline.
async fn cross(instance: &Instance, answer: Answer, deadline: Instant) -> (Answer, bool) {
    let (other, mut swapped) = oneshot::channel();
    {
        let mut state = instance.state();
        if state.faults.cross_answers == 0 {
            return (answer, false);
        }
        if let Some(parked) = state.parked.take()
            && parked.other.send(answer.clone()).is_ok()
        {
            state.faults.cross_answers -= 1;
            return (parked.answer, true);
        }
        let answer = answer.clone();
        state.parked = Some(Parked { answer, other });
    }
    if let Ok(Ok(theirs)) = tokio::time::timeout_at(deadline, &mut swapped).await {
        return (theirs, true);
    }
    // An answer that was handed over at the last moment must not be given twice.
    swapped.close();
    match swapped.try_recv() {
        Ok(theirs) => (theirs, true),
        Err(_) => (answer, false),
    }
}

fn answered(instance: &Instance, entry: usize, status: u16) {
    instance.journal.update(entry, |entry| {
        entry.answered = true;
        entry.status = status;
    });
}

impl Instance {
    fn refuse(
        &self,
        search: &Search,
        generation: u64,
        status: u16,
        error: &str,
        started: bool,
    ) -> hyper::Response<http::Body> {
        let retry_after_ms = self.spec.retry_after_ms;
        refusal(search, generation, status, error, started, retry_after_ms)
    }
}

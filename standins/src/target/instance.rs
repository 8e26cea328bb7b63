//! State and decisions of one target: which requests it accepts, and when their work starts and ends.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::journal::{Journal, JournalEntry};
use super::request::SearchRequest;
use super::spec::Target;
use super::state::{Run, State};

/// Decision about a request that has arrived.
#[derive(Debug)]
pub(super) enum Admission {
    /// The request runs, or waits for a slot.
    Accepted {
        entry: usize,
        run: Arc<Run>,
        cancel: CancellationToken,
    },
    /// The request is answered at once and does not run.
    Refused {
        entry: usize,
        status: u16,
        error: &'static str,
    },
    /// The request is never answered, because the target hangs.
    Hung,
    /// The request cannot be recorded, because the journal is full.
    JournalFull,
}

/// One target of the process.
#[derive(Debug)]
pub(super) struct Instance {
    pub spec: Target,
    name: Arc<str>,
    data_centre: Arc<str>,
    pub journal: Arc<Journal>,
    state: Mutex<State>,
    /// Whether the target accepts connections. Its listener opens and closes the port accordingly.
    pub accepting: watch::Sender<bool>,
    /// Number of times that all connections were closed; each change closes the open ones.
    pub disconnects: watch::Sender<u64>,
}

impl Instance {
    pub(super) fn new(spec: Target, seed: u64, generation: u64, journal: Arc<Journal>) -> Self {
        Self {
            name: Arc::from(spec.name.as_str()),
            data_centre: Arc::from(spec.data_centre.as_str()),
            journal,
            state: Mutex::new(State::new(&spec, seed, generation)),
            accepting: watch::Sender::new(true),
            disconnects: watch::Sender::new(0),
            spec,
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Decides about a request and records it in the journal.
    pub(super) fn admit(&self, search: &SearchRequest) -> Admission {
        let mut state = self.state();
        let now = Instant::now();
        let mut entry = JournalEntry {
            at_ms: self.journal.elapsed_ms(now),
            target: Arc::clone(&self.name),
            data_centre: Arc::clone(&self.data_centre),
            request: search.request_id.clone(),
            attempt: search.attempt,
            version: search.version,
            shard: search.shard,
            idempotent: search.idempotent,
            generation: state.run.generation,
            leaving_ms: state.leaving_ms,
            ..JournalEntry::default()
        };
        let rejection = state.rejection(&self.spec, search, &mut entry, now);
        let hung = state.faults.hang;
        let Some(entry) = self.journal.add(entry) else {
            return Admission::JournalFull;
        };
        if hung {
            return Admission::Hung;
        }
        if let Some((status, error)) = rejection {
            return Admission::Refused {
                entry,
                status,
                error,
            };
        }
        state.accepted += 1;
        let key = (search.request_id.clone(), search.attempt);
        Admission::Accepted {
            entry,
            run: Arc::clone(&state.run),
            cancel: state.cancellations.entry(key).or_default().clone(),
        }
    }

    /// Records the start of work and returns how long the work takes.
    pub(super) fn record_start(&self, entry: usize) -> Duration {
        let mut state = self.state();
        let now = Instant::now();
        state.running += 1;
        let ms = self.journal.elapsed_ms(now);
        self.journal.update(entry, |entry| {
            entry.started = true;
            entry.started_ms = Some(ms);
        });
        state.service_time(&self.spec, now)
    }

    /// Records the end of work. The caller frees the slot afterwards, and the response is sent only
    /// then.
    pub(super) fn record_end(
        &self,
        run: &Run,
        search: &SearchRequest,
        entry: usize,
        completion: Completion,
    ) {
        let mut state = self.state();
        let ms = self.journal.elapsed_ms(Instant::now());
        self.journal.update(entry, |entry| {
            entry.ended_ms = Some(ms);
            entry.finished = completion == Completion::Finished;
            entry.cancelled = completion == Completion::Cancelled;
        });
        if state.run.generation != run.generation {
            return;
        }
        let started = self.journal.entries()[entry].started;
        state.accepted -= 1;
        state.running -= u32::from(started);
        state
            .cancellations
            .remove(&(search.request_id.clone(), search.attempt));
        if completion == Completion::Finished {
            state.answers += 1;
        }
    }

    /// Cancels a request; returns whether it was waiting or running.
    pub(super) fn cancel(&self, request_id: &str, attempt: u32) -> bool {
        let state = self.state();
        let found = state.cancellations.get(&(request_id.to_owned(), attempt));
        found.inspect(|cancel| cancel.cancel()).is_some()
    }

    /// Returns the body of the response to `GET /status`.
    pub(super) fn status(&self) -> Value {
        let state = self.state();
        let faults = state.faults;
        let reported_state = if faults.misleading_status {
            "warm"
        } else if faults.drain || faults.leave {
            "draining"
        } else if state.is_cold(&self.spec) {
            "cold"
        } else {
            "warm"
        };
        let (running, queued) = if faults.misleading_status {
            (0, 0)
        } else {
            (state.running, state.accepted - state.running)
        };
        json!({
            "generation": state.run.generation,
            "state": reported_state,
            "versions": state.versions,
            "load": { "running": running, "queued": queued, "slots": self.spec.slots },
        })
    }

    /// Starts a new generation of the target, which is cold, and ends all work and connections of the
    /// old one.
    pub(super) fn restart(&self) {
        let mut state = self.state();
        let generation = state.run.generation + 1;
        state.run.ended.cancel();
        state.run = Arc::new(Run::new(&self.spec, generation));
        state.accepted = 0;
        state.running = 0;
        state.cancellations.clear();
        state.make_cold();
        state.silently_cold = false;
        self.close_connections(&mut state);
    }

    /// Closes all connections and starts to count new ones from zero.
    pub(super) fn close_connections(&self, state: &mut State) {
        state.connections = 0;
        state.pending_swap = None;
        self.disconnects
            .send_modify(|disconnects| *disconnects += 1);
    }
}

/// Reason for which work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Completion {
    /// The work ran to its end.
    Finished,
    /// The caller cancelled the request.
    Cancelled,
    /// The deadline passed.
    Expired,
    /// The target was restarted.
    Killed,
}

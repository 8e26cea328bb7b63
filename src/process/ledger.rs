//! The ledger: the record of the non-idempotent requests of one incarnation, which runs each at most once.
//!
//! Its actor owns the at-most-once table, and lets a repeated request wait for the result of the first one.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::task::JoinHandle;

use crate::request::id::{Error as IdError, Issuer, Request};
use crate::request::once::{Disposition, Limits, RunOutcome, Table};
use crate::time::Clock;
use crate::wire::run::Reply;
use crate::wire::{Incarnation, Reason};

/// Maximum number of repetitions that wait for one running request; further ones are refused with an unknown
/// outcome.
const WAITERS_PER_REQUEST_MAX: usize = 8;
/// Period of removing the entries that are past their retention.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// What the node must do with a request that it received.
#[derive(Debug)]
pub enum Decision {
    /// Run the request now.
    Start(Run),
    /// Send this answer, which the first run of the request gave.
    Answer(Reply),
    /// Refuse the request for this reason.
    Refuse(Reason),
}

/// The permission to run a request once. Dropping it settles the request, because the caller that waits for the
/// permission may leave before it arrives.
#[derive(Debug)]
#[must_use = "a run that is dropped has not run the request"]
pub struct Run {
    ledger: ActorRef<Message>,
    request: Request,
    outcome: RunOutcome,
}

impl Run {
    const fn open(ledger: ActorRef<Message>, request: Request) -> Self {
        Self {
            ledger,
            request,
            outcome: RunOutcome::NotRun(Reason::Cancelled),
        }
    }

    /// Records that the request may run from now on, so that its outcome is unknown until it is settled.
    pub fn begin(&mut self) {
        self.outcome = RunOutcome::Unknown;
    }

    /// Records how the request ended, and passes the result to the waiting repetitions.
    pub fn settle(mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let message = Message::Settle {
            request: self.request.clone(),
            outcome: std::mem::replace(&mut self.outcome, RunOutcome::Unknown),
        };
        // If the actor has ended, repetitions are refused with an unknown outcome anyway.
        let _gone = self.ledger.cast(message);
    }
}

/// A message to the ledger actor.
#[derive(Debug)]
pub enum Message {
    /// A request arrived.
    Begin {
        /// The id of the request, already verified.
        request: Request,
        /// The digest of the request's content, by which a reused id is recognised.
        digest: u128,
        /// The port for the decision; a repetition of a running request gets it when that one ends.
        reply: RpcReplyPort<Decision>,
    },
    /// A request that was started ended.
    Settle {
        /// The id of the request.
        request: Request,
        /// How the run ended.
        outcome: RunOutcome,
    },
    /// It is time to remove the entries that are past their retention.
    Expire,
}

/// The handle of the running ledger actor, and the issuer of its incarnation's sessions.
#[derive(Debug)]
pub struct Ledger {
    actor: ActorRef<Message>,
    task: JoinHandle<()>,
    issuer: Mutex<Issuer>,
    clock: Clock,
}

impl Ledger {
    /// Starts an empty ledger for an incarnation; `key` is the secret of the tags in its sessions.
    pub async fn spawn(
        node: &str,
        incarnation: Incarnation,
        key: u128,
        clock: Clock,
    ) -> Result<Self, ractor::SpawnErr> {
        let (actor, task) = Actor::spawn(None, Worker, clock).await?;
        actor.send_interval(EXPIRY_PERIOD, || Message::Expire);
        let issuer = Mutex::new(Issuer::open(node, incarnation, key));
        Ok(Self {
            actor,
            task,
            issuer,
            clock,
        })
    }

    /// Issues a new session, under which a caller numbers its requests.
    pub fn issue_session(&self) -> String {
        self.lock_issuer().issue(self.clock.now()).to_string()
    }

    /// Checks that this incarnation issued the session of the request id.
    pub fn verify(&self, request: &Request) -> Result<(), IdError> {
        self.lock_issuer().verify(request)
    }

    /// Decides what to do with a request; the decision on a repetition waits until the running request ends.
    pub async fn begin(&self, request: Request, digest: u128) -> Decision {
        let message = |reply| Message::Begin {
            request,
            digest,
            reply,
        };
        match self.actor.call(message, None).await {
            Ok(ractor::rpc::CallResult::Success(decision)) => decision,
            // The actor has ended, and the table of started requests is lost with it.
            _ => Decision::Refuse(Reason::OutcomeUnknown),
        }
    }

    fn lock_issuer(&self) -> std::sync::MutexGuard<'_, Issuer> {
        self.issuer
            .lock()
            .expect("no code panics while it holds the lock of the session issuer")
    }
}

impl Drop for Ledger {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Worker;

struct State {
    clock: Clock,
    table: Table,
    waiters: HashMap<Request, Vec<RpcReplyPort<Decision>>>,
}

impl Actor for Worker {
    type Msg = Message;
    type State = State;
    type Arguments = Clock;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        args: Clock,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            clock: args,
            table: Table::new(Limits::default()),
            waiters: HashMap::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.clock.now();
        match message {
            Message::Begin {
                request,
                digest,
                reply,
            } => match state.table.begin(&request, digest, now) {
                Disposition::Start => {
                    send_decision(reply, Decision::Start(Run::open(myself, request)));
                }
                Disposition::Answer(answer) => send_decision(reply, Decision::Answer(answer)),
                Disposition::Refuse(reason) => send_decision(reply, Decision::Refuse(reason)),
                Disposition::Running => state.add_waiter(request, reply),
            },
            Message::Settle { request, outcome } => state.settle(&request, outcome),
            Message::Expire => state.table.expire(now),
        }
        Ok(())
    }
}

impl State {
    fn add_waiter(&mut self, request: Request, reply: RpcReplyPort<Decision>) {
        let waiters = self.waiters.entry(request).or_default();
        if waiters.len() < WAITERS_PER_REQUEST_MAX {
            waiters.push(reply);
        } else {
            send_decision(reply, Decision::Refuse(Reason::OutcomeUnknown));
        }
    }

    fn settle(&mut self, request: &Request, outcome: RunOutcome) {
        for reply in self.waiters.remove(request).unwrap_or_default() {
            let decision = match &outcome {
                RunOutcome::Answered(reply) => Decision::Answer(reply.clone()),
                RunOutcome::NotRun(reason) => Decision::Refuse(*reason),
                RunOutcome::Unknown => Decision::Refuse(Reason::OutcomeUnknown),
            };
            send_decision(reply, decision);
        }
        self.table.settle(request, outcome, self.clock.now());
    }
}

fn send_decision(reply: RpcReplyPort<Decision>, decision: Decision) {
    // A requester that no longer waits needs no decision; it may send the request again.
    let _gone = reply.send(decision);
}

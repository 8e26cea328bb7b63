//! The actor that owns the at-most-once table and lets repeated requests wait for the first one.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::task::JoinHandle;

use crate::request::id::{Error as IdError, Mint, Request};
use crate::request::once::{Admission, Limits, Settlement, Table};
use crate::time::Clock;
use crate::wire::run::Reply;
use crate::wire::{Incarnation, Reason};

/// Repetitions that wait for one running request; more are told that the outcome is unknown.
const WAITERS_PER_REQUEST_MAX: usize = 8;
/// How often old entries are removed.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// What becomes of a request that was begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Run it now, and settle it afterwards.
    Start,
    /// The whole first answer.
    Answer(Reply),
    /// Refuse it.
    Refuse(Reason),
}

/// The messages of the actor.
#[derive(Debug)]
pub enum Message {
    /// A request arrives.
    Begin {
        /// Its id, verified.
        request: Request,
        /// The digest of its content.
        digest: u128,
        /// Where the decision goes.
        reply: RpcReplyPort<Decision>,
    },
    /// A request that was started has ended.
    Settle {
        /// Its id.
        request: Request,
        /// How it ended.
        settlement: Settlement,
    },
    /// Remove what is past its retention.
    Expire,
}

/// The handle of the running actor, with the mint of its incarnation.
#[derive(Debug)]
pub struct Ledger {
    actor: ActorRef<Message>,
    task: JoinHandle<()>,
    mint: Mutex<Mint>,
    clock: Clock,
}

impl Ledger {
    /// Starts the ledger of an incarnation.
    pub async fn spawn(
        node: &str,
        incarnation: Incarnation,
        key: u128,
        clock: Clock,
    ) -> Result<Self, ractor::SpawnErr> {
        let (actor, task) = Actor::spawn(None, Worker, clock).await?;
        actor.send_interval(EXPIRY_PERIOD, || Message::Expire);
        let mint = Mutex::new(Mint::open(node, incarnation, key));
        Ok(Self {
            actor,
            task,
            mint,
            clock,
        })
    }

    /// Issues a session.
    pub fn issue_session(&self) -> String {
        self.lock_mint().mint(self.clock.now()).to_string()
    }

    /// Checks that this incarnation issued the id.
    pub fn verify(&self, request: &Request) -> Result<(), IdError> {
        self.lock_mint().verify(request)
    }

    /// Decides on a request; a repetition of a running one waits for its end.
    pub async fn begin(&self, request: Request, digest: u128) -> Decision {
        let message = |reply| Message::Begin {
            request,
            digest,
            reply,
        };
        match self.actor.call(message, None).await {
            Ok(ractor::rpc::CallResult::Success(decision)) => decision,
            // The table is gone, and with it the knowledge of what ran.
            _ => Decision::Refuse(Reason::OutcomeUnknown),
        }
    }

    /// Records the end of a request.
    pub fn settle(&self, request: Request, settlement: Settlement) {
        // Without the table, repetitions are refused as unknown anyway.
        let _gone = self.actor.cast(Message::Settle {
            request,
            settlement,
        });
    }

    fn lock_mint(&self) -> std::sync::MutexGuard<'_, Mint> {
        self.mint
            .lock()
            .expect("no code panics while it holds the mint")
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
            table: Table::open(Limits::default()),
            waiters: HashMap::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
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
                Admission::Start => send_decision(reply, Decision::Start),
                Admission::Answer(answer) => send_decision(reply, Decision::Answer(answer)),
                Admission::Refuse(reason) => send_decision(reply, Decision::Refuse(reason)),
                Admission::Running => state.add_waiter(request, reply),
            },
            Message::Settle {
                request,
                settlement,
            } => state.settle(&request, settlement),
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

    fn settle(&mut self, request: &Request, settlement: Settlement) {
        let decision = match &settlement {
            Settlement::Answered(reply) => Decision::Answer(reply.clone()),
            Settlement::NotRun(reason) => Decision::Refuse(*reason),
            Settlement::Unknown => Decision::Refuse(Reason::OutcomeUnknown),
        };
        self.table.settle(request, settlement, self.clock.now());
        for reply in self.waiters.remove(request).unwrap_or_default() {
            send_decision(reply, decision.clone());
        }
    }
}

fn send_decision(reply: RpcReplyPort<Decision>, decision: Decision) {
    // A caller that has gone needs no answer; it may ask again.
    let _gone = reply.send(decision);
}

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
const MAX_WAITING: usize = 8;
/// How often old entries are removed.
const EXPIRE: Duration = Duration::from_secs(1);

/// What becomes of a request that was begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begun {
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
        reply: RpcReplyPort<Begun>,
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
        actor.send_interval(EXPIRE, || Message::Expire);
        let mint = Mutex::new(Mint::open(node, incarnation, key));
        Ok(Self {
            actor,
            task,
            mint,
            clock,
        })
    }

    /// Issues a session.
    pub fn session(&self) -> String {
        self.mint().mint(self.clock.now()).to_string()
    }

    /// Checks that this incarnation issued the id.
    pub fn verify(&self, request: &Request) -> Result<(), IdError> {
        self.mint().verify(request)
    }

    /// Decides on a request; a repetition of a running one waits for its end.
    pub async fn begin(&self, request: Request, digest: u128) -> Begun {
        let message = |reply| Message::Begin {
            request,
            digest,
            reply,
        };
        match self.actor.call(message, None).await {
            Ok(ractor::rpc::CallResult::Success(begun)) => begun,
            // The table is gone, and with it the knowledge of what ran.
            _ => Begun::Refuse(Reason::OutcomeUnknown),
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

    fn mint(&self) -> std::sync::MutexGuard<'_, Mint> {
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
    waiting: HashMap<Request, Vec<RpcReplyPort<Begun>>>,
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
            waiting: HashMap::new(),
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
                Admission::Start => send(reply, Begun::Start),
                Admission::Answer(answer) => send(reply, Begun::Answer(answer)),
                Admission::Refuse(reason) => send(reply, Begun::Refuse(reason)),
                Admission::Running => state.wait(request, reply),
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
    fn wait(&mut self, request: Request, reply: RpcReplyPort<Begun>) {
        let waiting = self.waiting.entry(request).or_default();
        if waiting.len() < MAX_WAITING {
            waiting.push(reply);
        } else {
            send(reply, Begun::Refuse(Reason::OutcomeUnknown));
        }
    }

    fn settle(&mut self, request: &Request, settlement: Settlement) {
        let begun = match &settlement {
            Settlement::Answered(reply) => Begun::Answer(reply.clone()),
            Settlement::NotRun(reason) => Begun::Refuse(*reason),
            Settlement::Unknown => Begun::Refuse(Reason::OutcomeUnknown),
        };
        self.table.settle(request, settlement, self.clock.now());
        for reply in self.waiting.remove(request).unwrap_or_default() {
            send(reply, begun.clone());
        }
    }
}

fn send(reply: RpcReplyPort<Begun>, begun: Begun) {
    // A caller that has gone needs no answer; it may ask again.
    let _gone = reply.send(begun);
}

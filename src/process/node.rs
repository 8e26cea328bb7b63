//! One node: what its callers, its peers and its operators reach.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use anyhow::Context;
use bytes::Bytes;
use derive_more::Deref;
use hyper::StatusCode;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::address::{self, Candidate, LIST_LIFETIME};
use super::config::Config;
use super::control::{self, Control, EXCHANGE_PATH, RECORDS_PATH, SETTINGS_PATH};
use super::coordinator::{CANCEL_PATH, Cancel, Coordinator};
use super::drain::{self, Drain, Event, Phase};
use super::gateway::{Gateway, Offered};
use super::ledger::{Decision, Ledger};
use super::metrics::Metrics;
use super::view::View;
use crate::connection::peer::{self, Peers};
use crate::connection::server::Server;
use crate::connection::{caller, operator};
use crate::request::answer::{Addresses, Refusal, conclude};
use crate::request::hedge::{self, HedgeController};
use crate::request::id;
use crate::request::once::{Settlement, digest};
use crate::request::query_request::QueryRequest;
use crate::request::replica_choice;
use crate::request::scatter::{Plan, Selection};
use crate::time::{Clock, Moment};
use crate::version::policy::{Query, Scatter};
use crate::version::tree;
use crate::wire::run::{Reply, RunRequest};
use crate::wire::{Batch, Frame, Incarnation, Member, Reason};

/// The path of a non-idempotent request on its way to the node that issued its session.
const RUN_PATH: &str = "/peer/run";
/// How often a planned stop looks whether it can go on.
const DRAIN_PERIOD: Duration = Duration::from_millis(20);
/// When a caller should try again after a refusal that another node may not share.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The running node.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    callers: Server,
    peers: peer::Server,
    admin: Server,
}

/// What all requests of a node share.
#[derive(Debug)]
struct Shared {
    config: Config,
    me: Member,
    clock: Clock,
    metrics: Metrics,
    control: Control,
    ledger: Ledger,
    coordinator: Coordinator,
    drain: Mutex<Drain>,
    /// Requests of callers that run now; work for other nodes ends with the gateway.
    running: AtomicUsize,
    /// Since when the settings have the node or its data centre out of service, in microseconds.
    out_since: AtomicU64,
    requests: AtomicU64,
}

/// The node is in service.
const IN_SERVICE: u64 = u64::MAX;

impl Node {
    /// Binds the node's addresses and joins its cell.
    pub async fn bind(mut config: Config) -> anyhow::Result<Self> {
        let callers = listen("caller", config.caller).await?;
        let peers = listen("peer", config.peer).await?;
        let admin = listen("admin", config.admin).await?;
        config.caller = callers.local_addr()?;
        config.peer = peers.local_addr()?;
        config.admin = admin.local_addr()?;
        let shared = Arc::new(Shared::open(config).await?);
        let entry = Arc::new(Entry(Arc::clone(&shared)));
        Ok(Self {
            callers: caller::spawn(callers, Arc::clone(&entry))?,
            peers: peer::serve(peers, Arc::clone(&entry))?,
            admin: operator::spawn(admin, entry)?,
            shared,
        })
    }

    /// Returns the address for callers.
    pub fn caller(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for other nodes.
    pub fn peer(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the address for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Stops as planned: leaves the address lists, serves for as long as callers keep them, refuses
    /// with other addresses, and finishes what it has.
    pub async fn stop(self) {
        self.shared.control.announce_stop();
        self.shared
            .drain()
            .step(Event::Stop, self.shared.clock.now());
        self.shared.drained().await;
        self.callers.close().await;
        self.shared.coordinator.gateway.close().await;
        self.shared.control.leave_cell();
        tokio::time::sleep(RELEASE).await;
        self.peers.close().await;
    }
}

/// How long the node still answers peers after it released its targets, so that they learn of it.
const RELEASE: Duration = Duration::from_millis(1_500);

async fn listen(name: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on the {name} address {address}"))
}

impl Shared {
    async fn open(config: Config) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let metrics = Metrics::open();
        let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        let me = Member {
            name: config.name.clone(),
            incarnation: Incarnation(u64::try_from(started.as_micros())?),
            peer: config.peer,
            caller: config.caller,
        };
        let key = rand::rng().random();
        let ledger = Ledger::spawn(&me.name, me.incarnation, key, clock).await?;
        let peers = Peers::new();
        let gateway = Gateway::open(clock, metrics.clone());
        let control = Control::spawn(control::Config {
            me: me.clone(),
            cell: config.cell.clone(),
            data_centre: config.data_centre.clone(),
            store_addresses: config.store.clone(),
            membership_address: config.members,
            clock,
            metrics: metrics.clone(),
            peers: peers.clone(),
            gateway: gateway.clone(),
        })
        .await?;
        let coordinator = Coordinator {
            name: me.name.clone(),
            clock,
            metrics: metrics.clone(),
            peers,
            gateway,
            hedge: Arc::new(Mutex::new(HedgeController::new(hedge::Policy::Adaptive))),
        };
        Ok(Self {
            config,
            me,
            clock,
            metrics,
            control,
            ledger,
            coordinator,
            drain: Mutex::new(Drain::open(clock.now())),
            running: AtomicUsize::new(0),
            out_since: AtomicU64::new(IN_SERVICE),
            requests: AtomicU64::new(0),
        })
    }

    /// Returns the addresses that callers may use, in an order that spreads load.
    fn listed(&self, view: &View) -> Vec<SocketAddr> {
        let listed = self.drain().listed();
        let candidates: Vec<Candidate> = view
            .nodes
            .values()
            .map(|node| Candidate {
                caller_address: node.member.caller,
                local: node.data_centre == self.config.data_centre,
                first_seen: node.first_seen,
                state: if node.member.name == self.me.name && !listed {
                    address::State::Stopping
                } else {
                    node.state
                },
            })
            .collect();
        address::select(&candidates, &mut rand::rng(), self.clock.now())
    }

    fn drain(&self) -> std::sync::MutexGuard<'_, Drain> {
        self.drain
            .lock()
            .expect("no code panics while it holds the state of the stop")
    }

    /// Follows a planned stop until it has come to its end.
    async fn drained(&self) {
        let mut phase = self.drain().phase();
        while phase != Phase::Done {
            tokio::time::sleep(DRAIN_PERIOD).await;
            let running = self.running.load(Ordering::Acquire);
            let next = self.drain().step(Event::Tick { running }, self.clock.now());
            if next != phase {
                log::info!(phase:? = next, running; "planned stop goes on");
                phase = next;
            }
        }
    }

    /// Refuses while the node may not take new work.
    fn admit(&self, view: &View, now: Moment) -> Result<(), Refusal> {
        if !self.drain().accepts() {
            return Err(self.elsewhere(Reason::Stopping, "this node is stopping", view));
        }
        if self.is_out(view, now) {
            let text = "this node's data centre is out of service";
            return Err(self.elsewhere(Reason::OutOfService, text, view));
        }
        if !self.control.has_permit(now) {
            let text = "this node cannot prove that its settings are current";
            return Err(self.elsewhere(Reason::NoPermit, text, view));
        }
        Ok(())
    }

    /// Tells whether callers have had time to learn that the node is out of service.
    fn is_out(&self, view: &View, now: Moment) -> bool {
        let centre = view.tree.data_centre_state(&self.config.data_centre);
        let instance = view.tree.instance_state(&self.me.name);
        if centre != Some(tree::State::Out) && instance != tree::State::Out {
            self.out_since.store(IN_SERVICE, Ordering::Release);
            return false;
        }
        let since = self.out_since.fetch_min(now.as_micros(), Ordering::AcqRel);
        // Other nodes may give out lists with this one until they have heard of the change too.
        now.since(Moment::from_micros(since.min(now.as_micros()))) >= LIST_LIFETIME + drain::MARGIN
    }

    fn elsewhere(&self, reason: Reason, text: &str, view: &View) -> Refusal {
        let mut refusal = Refusal::new(reason, text);
        refusal.retry_after = Some(RETRY_AFTER);
        refusal.addresses = self.listed(view);
        refusal
    }

    fn policy(&self, ask: &QueryRequest, view: &View) -> Result<Query, Refusal> {
        if let Some(query) = view
            .tree
            .query_policy(&ask.index, &ask.kind, &self.config.data_centre)
        {
            return Ok(query);
        }
        if view.tree.has_index(&ask.index) {
            let text = format!("the index {} has no query kind {}", ask.index, ask.kind);
            return Err(Refusal::new(Reason::UnknownKind, text));
        }
        let text = format!("there is no index {}", ask.index);
        Err(Refusal::new(Reason::UnknownIndex, text))
    }

    fn plan(
        &self,
        ask: &QueryRequest,
        policy: Query,
        request: String,
        now: Moment,
    ) -> Result<Plan, Refusal> {
        let selection = match (policy.scatter, &ask.routing_key) {
            (Scatter::All, _) => Selection::All,
            (Scatter::One, Some(key)) => Selection::One(xxh3_64(key.as_bytes())),
            (Scatter::One, None) => {
                let text = "this query kind needs a Routing-Key header";
                return Err(Refusal::new(Reason::BadRequest, text));
            }
        };
        Ok(Plan {
            request_id: request,
            index: ask.index.clone(),
            data_centre: self.config.data_centre.clone(),
            selection,
            policy,
            replica_policy: replica_choice::Policy::default(),
            deadline: now + ask.deadline.unwrap_or(policy.deadline),
        })
    }

    async fn answer(self: &Arc<Self>, ask: QueryRequest) -> Result<Reply, Refusal> {
        let view = Arc::clone(&self.control.view());
        let now = self.clock.now();
        let policy = self.policy(&ask, &view);
        if let Ok(policy) = &policy
            && !policy.idempotent
        {
            return self.answer_once(ask, *policy, &view).await;
        }
        self.admit(&view, now)?;
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let request = format!("{}.{}.q{number:x}", self.me.name, self.me.incarnation);
        let plan = self.plan(&ask, policy?, request, now)?;
        let verdict = self.coordinator.run(plan, ask.body, &view).await;
        conclude(verdict).map(|answer| answer.reply())
    }

    /// Runs a non-idempotent request here if this incarnation issued its id, else passes it on.
    async fn answer_once(
        self: &Arc<Self>,
        ask: QueryRequest,
        policy: Query,
        view: &View,
    ) -> Result<Reply, Refusal> {
        let request = parse(&ask)?;
        match self.ledger.verify(&request) {
            Ok(()) => {}
            Err(id::Error::Foreign(node, _)) => {
                let run = run(ask, &policy);
                return self.forward(&node, run, view).await;
            }
            Err(e) => return Err(Refusal::new(Reason::BadRequestId, e.to_string())),
        }
        let digest = digest(&ask.index, &ask.kind, ask.routing_key.as_deref(), &ask.body);
        match self.ledger.begin(request.clone(), digest).await {
            Decision::Answer(reply) => Ok(reply),
            Decision::Refuse(reason) => Err(Refusal::new(reason, "see the reason")),
            Decision::Start => {
                // The request must be settled even if its caller goes away meanwhile.
                let shared = Arc::clone(self);
                let task =
                    tokio::spawn(async move { shared.start_once(request, ask, policy).await });
                task.await.unwrap_or_else(|_| {
                    Err(Refusal::new(
                        Reason::OutcomeUnknown,
                        "the request was interrupted",
                    ))
                })
            }
        }
    }

    async fn start_once(
        self: Arc<Self>,
        request: id::Request,
        ask: QueryRequest,
        policy: Query,
    ) -> Result<Reply, Refusal> {
        let result = self.run_once(&request, ask, policy).await;
        let settlement = match &result {
            Ok(reply) => Settlement::Answered(reply.clone()),
            Err(refusal) if refusal.not_run => Settlement::NotRun(refusal.reason),
            Err(_) => Settlement::Unknown,
        };
        self.ledger.settle(request, settlement);
        result
    }

    async fn run_once(
        &self,
        request: &id::Request,
        ask: QueryRequest,
        policy: Query,
    ) -> Result<Reply, Refusal> {
        let view = Arc::clone(&self.control.view());
        let now = self.clock.now();
        self.admit(&view, now)?;
        let plan = self.plan(&ask, policy, request.to_string(), now)?;
        let verdict = self.coordinator.run(plan, ask.body, &view).await;
        conclude(verdict).map(|answer| answer.reply())
    }

    async fn forward(&self, node: &str, run: RunRequest, view: &View) -> Result<Reply, Refusal> {
        let unknown = |text| Err(Refusal::new(Reason::OutcomeUnknown, text));
        let Some(node) = view.nodes.get(node).filter(|_| node != self.me.name) else {
            return unknown(
                "the node that issued this request id is gone; the request may have run",
            );
        };
        let timeout = Duration::from_micros(run.remaining_us) + FORWARD_MARGIN;
        match self
            .coordinator
            .peers
            .call(node.member.peer, RUN_PATH, &run, timeout)
            .await
        {
            Ok(reply) => Ok(reply),
            Err(_) => unknown(
                "the node that issued this request id did not answer; the request may have run",
            ),
        }
    }

    /// Answers a request that a peer passed on because this process issued its session.
    async fn run(self: &Arc<Self>, run: RunRequest) -> Reply {
        let result = self.run_passed(run).await;
        result.unwrap_or_else(|refusal| self.count(&refusal))
    }

    async fn run_passed(self: &Arc<Self>, run: RunRequest) -> Result<Reply, Refusal> {
        let ask = QueryRequest {
            index: run.index,
            kind: run.kind,
            deadline: Some(Duration::from_micros(run.remaining_us)),
            request_id: Some(run.request),
            routing_key: run.routing_key,
            body: run.body,
        };
        let view = Arc::clone(&self.control.view());
        let policy = self.policy(&ask, &view)?;
        let request = parse(&ask)?;
        if let Err(id::Error::Foreign(..)) = self.ledger.verify(&request) {
            // An earlier run of this node issued the session, and its table is gone.
            let text =
                "the node that issued this request id has restarted; the request may have run";
            return Err(Refusal::new(Reason::OutcomeUnknown, text));
        }
        self.answer_once(ask, policy, &view).await
    }

    /// Answers one message of a peer.
    async fn serve(self: &Arc<Self>, path: &str, body: &[u8]) -> Result<Bytes, StatusCode> {
        match path {
            EXCHANGE_PATH => encode(self.control.answer_exchange(decode(body)?).await.as_ref()),
            RECORDS_PATH => encode(self.control.newer_records(decode(body)?).await.as_ref()),
            SETTINGS_PATH => encode(self.control.settings_deltas(decode(body)?).await.as_ref()),
            RUN_PATH => encode(Some(&self.run(decode(body)?).await)),
            CANCEL_PATH => {
                let cancel: Cancel = decode(body)?;
                let gateway = &self.coordinator.gateway;
                gateway.cancel(&cancel.target, &cancel.request, cancel.subrequest);
                encode(Some(&()))
            }
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    fn count(&self, refusal: &Refusal) -> Reply {
        self.metrics.refuse(refusal.reason);
        refusal.reply()
    }
}

/// How much longer than the deadline a node waits for the one that it passed a request to.
const FORWARD_MARGIN: Duration = Duration::from_millis(200);

fn parse(ask: &QueryRequest) -> Result<id::Request, Refusal> {
    let Some(text) = &ask.request_id else {
        let text = "this query kind is not idempotent and needs a Request-Id header";
        return Err(Refusal::new(Reason::BadRequestId, text));
    };
    text.parse()
        .map_err(|e: id::Error| Refusal::new(Reason::BadRequestId, e.to_string()))
}

fn run(ask: QueryRequest, policy: &Query) -> RunRequest {
    let deadline = ask.deadline.unwrap_or(policy.deadline);
    RunRequest {
        request: ask.request_id.unwrap_or_default(),
        index: ask.index,
        kind: ask.kind,
        routing_key: ask.routing_key,
        remaining_us: u64::try_from(deadline.as_micros()).unwrap_or(u64::MAX),
        body: ask.body,
    }
}

/// Counts a caller's request for as long as it lives.
#[derive(Debug)]
struct Running(Arc<Shared>);

impl Running {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.running.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(shared))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What the node's servers hand their requests to.
#[derive(Debug, Deref)]
struct Entry(Arc<Shared>);

impl caller::Handler for Entry {
    fn addresses(&self) -> Reply {
        let mut addresses = self.listed(&self.control.view());
        if addresses.is_empty() {
            // A node that knows no usable node, for example because every data centre is out, still
            // names itself, so that callers get a refusal with a reason.
            addresses.push(self.me.caller);
        }
        let session = self.ledger.issue_session();
        Addresses {
            addresses,
            keep: LIST_LIFETIME,
            session,
        }
        .reply()
    }

    async fn query(&self, ask: QueryRequest) -> Reply {
        let _running = Running::new(&self.0);
        self.metrics.requests.inc();
        let start = self.clock.now();
        match self.answer(ask).await {
            Ok(reply) => {
                self.metrics.answers.inc();
                let elapsed = self.clock.now().since(start);
                self.metrics.latency.observe(elapsed.as_secs_f64());
                reply
            }
            Err(refusal) => self.count(&refusal),
        }
    }

    fn refuse(&self, refusal: Refusal) -> Reply {
        self.metrics.requests.inc();
        self.count(&refusal)
    }

    fn closing(&self) -> bool {
        !self.drain().accepts()
    }
}

impl operator::Handler for Entry {
    fn metrics(&self) -> String {
        self.metrics.render()
    }

    async fn status(&self) -> String {
        let status = self.control.status().await;
        serde_json::to_string(&status).expect("a status always encodes")
    }
}

impl peer::Service for Entry {
    type BatchGuard = Offered;

    async fn call(&self, path: &str, body: Bytes) -> Result<Bytes, StatusCode> {
        let answer = self.serve(path, &body).await?;
        if path != RUN_PATH {
            self.metrics.control_calls.inc();
            let bytes = body.len() + answer.len();
            self.metrics.control_bytes.inc_by(bytes as u64);
        }
        Ok(answer)
    }

    fn scatter(&self, batch: Batch, reply: mpsc::UnboundedSender<Frame>) -> Offered {
        self.coordinator.gateway.offer(batch, &reply)
    }
}

fn decode<T>(body: &[u8]) -> Result<T, StatusCode>
where
    T: DeserializeOwned,
{
    rmp_serde::from_slice(body).map_err(|_invalid| StatusCode::BAD_REQUEST)
}

fn encode<T>(answer: Option<&T>) -> Result<Bytes, StatusCode>
where
    T: Serialize,
{
    let Some(answer) = answer else {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    };
    let bytes = rmp_serde::to_vec(answer).expect("messages hold only types that can be encoded");
    Ok(bytes.into())
}

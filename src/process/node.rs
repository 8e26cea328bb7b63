//! A node: accepts the requests of callers, of other nodes and of operators, and passes them to its parts.

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
use super::coordinator::{CANCEL_PATH, Cancellation, Coordinator};
use super::drain::{self, Drain, Event, Phase};
use super::gateway::{BatchGuard, Gateway};
use super::ledger::{Decision, Ledger, Run};
use super::metrics::Metrics;
use super::view::View;
use crate::connection::memory::Budget;
use crate::connection::peer::{self, Peers};
use crate::connection::server::Server;
use crate::connection::{caller, operator};
use crate::request::answer::{Addresses, Refusal, answer_or_refusal};
use crate::request::hedge::{self, HedgeController};
use crate::request::id;
use crate::request::once::{RunOutcome, digest};
use crate::request::query_request::QueryRequest;
use crate::request::replica_choice;
use crate::request::scatter::{Plan, Selection};
use crate::time::{Clock, Moment};
use crate::version::policy::{Query, Scatter};
use crate::version::tree;
use crate::wire::run::{Reply, RunRequest};
use crate::wire::{Batch, Frame, Incarnation, Member, Reason};

/// The path on which a non-idempotent request is forwarded to the node that issued its session.
const RUN_PATH: &str = "/peer/run";
/// Period in which a planned stop checks whether the next phase can begin.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Delay after which a caller should try again if another node may accept the refused request.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// A running node.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    callers: Server,
    peers: peer::Server,
    admin: Server,
}

/// The state that all requests of a node share.
#[derive(Debug)]
struct Shared {
    config: Config,
    member: Member,
    clock: Clock,
    metrics: Metrics,
    control: Control,
    ledger: Ledger,
    coordinator: Coordinator,
    drain: Mutex<Drain>,
    /// Number of callers' requests that are running. Searches for other nodes are not counted: closing the
    /// gateway waits for them.
    running_requests: AtomicUsize,
    /// The moment from which the settings have had the node or its data centre out of service, in
    /// microseconds of the clock, or [`NOT_OUT_OF_SERVICE`].
    out_since_us: AtomicU64,
    /// The number for the id of the next idempotent request.
    next_request_number: AtomicU64,
}

/// Value of `Shared::out_since_us` while the node is in service.
const NOT_OUT_OF_SERVICE: u64 = u64::MAX;

impl Node {
    /// Binds the addresses of the node and starts it, so that it joins its cell.
    pub async fn bind(mut config: Config) -> anyhow::Result<Self> {
        let callers = bind_listener("caller", config.caller).await?;
        let peers = bind_listener("peer", config.peer).await?;
        let admin = bind_listener("admin", config.admin).await?;
        config.caller = callers.local_addr()?;
        config.peer = peers.local_addr()?;
        config.admin = admin.local_addr()?;
        let memory = Budget::open(config.caller_memory_bytes());
        let shared = Arc::new(Shared::open(config).await?);
        let handler = Arc::new(Handler(Arc::clone(&shared)));
        Ok(Self {
            callers: caller::spawn(callers, memory, shared.clock, Arc::clone(&handler))?,
            peers: peer::serve(peers, Arc::clone(&handler))?,
            admin: operator::spawn(admin, handler)?,
            shared,
        })
    }

    /// Returns the address on which the node listens for callers.
    pub fn caller(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address on which the node listens for other nodes.
    pub fn peer(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the address on which the node listens for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Stops the node in phases: removes it from address lists, serves for as long as callers may use older
    /// lists, then refuses new requests with other addresses and waits for the running ones.
    pub async fn stop(self) {
        self.shared.control.announce_stop();
        self.shared
            .lock_drain()
            .step(Event::Stop, self.shared.clock.now());
        self.shared.wait_until_drained().await;
        self.callers.close().await;
        self.shared.coordinator.gateway.close().await;
        self.shared.control.leave_cell();
        tokio::time::sleep(RELEASE_NOTICE_TIME).await;
        self.peers.close().await;
    }
}

/// How long the node still answers other nodes after it released its targets, so that they learn of the
/// release.
const RELEASE_NOTICE_TIME: Duration = Duration::from_millis(1_500);

async fn bind_listener(name: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on the {name} address {address}"))
}

impl Shared {
    async fn open(config: Config) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let metrics = Metrics::open();
        let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
        let member = Member {
            name: config.name.clone(),
            incarnation: Incarnation(u64::try_from(started.as_micros())?),
            peer: config.peer,
            caller: config.caller,
        };
        let key = rand::rng().random();
        let ledger = Ledger::spawn(&member.name, member.incarnation, key, clock).await?;
        let peers = Peers::new();
        let gateway = Gateway::open(clock, metrics.clone());
        let control = Control::spawn(control::Config {
            me: member.clone(),
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
            name: member.name.clone(),
            clock,
            metrics: metrics.clone(),
            peers,
            gateway,
            hedge: Arc::new(Mutex::new(HedgeController::new(hedge::Policy::Adaptive))),
        };
        Ok(Self {
            config,
            member,
            clock,
            metrics,
            control,
            ledger,
            coordinator,
            drain: Mutex::new(Drain::open(clock.now())),
            running_requests: AtomicUsize::new(0),
            out_since_us: AtomicU64::new(NOT_OUT_OF_SERVICE),
            next_request_number: AtomicU64::new(0),
        })
    }

    /// Returns the addresses for callers, in an order that distributes load over the nodes.
    fn listed_addresses(&self, view: &View) -> Vec<SocketAddr> {
        let listed = self.lock_drain().is_listed();
        let candidates: Vec<Candidate> = view
            .nodes
            .values()
            .map(|node| Candidate {
                caller_address: node.member.caller,
                local: node.data_centre == self.config.data_centre,
                first_seen: node.first_seen,
                state: if node.member.name == self.member.name && !listed {
                    address::State::Stopping
                } else {
                    node.state
                },
            })
            .collect();
        address::select(&candidates, &mut rand::rng(), self.clock.now())
    }

    fn lock_drain(&self) -> std::sync::MutexGuard<'_, Drain> {
        self.drain
            .lock()
            .expect("no code panics while it holds the lock on the drain state")
    }

    /// Drives a planned stop through its phases and returns when the last one is reached.
    async fn wait_until_drained(&self) {
        let mut phase = self.lock_drain().phase();
        while phase != Phase::Done {
            tokio::time::sleep(DRAIN_POLL_PERIOD).await;
            let running = self.running_requests.load(Ordering::Acquire);
            let next = self
                .lock_drain()
                .step(Event::Tick { running }, self.clock.now());
            if next != phase {
                log::info!(phase:? = next, running; "planned stop entered its next phase");
                phase = next;
            }
        }
    }

    /// Returns a refusal if the node may not accept new requests: it is stopping, is out of service or has no
    /// permit.
    fn check_accepts_requests(&self, view: &View, now: Moment) -> Result<(), Refusal> {
        if !self.lock_drain().accepts_requests() {
            return Err(self.refuse_with_addresses(
                Reason::Stopping,
                "this node is stopping",
                view,
            ));
        }
        if self.is_out_of_service(view, now) {
            let text = "this node or its data centre is out of service";
            return Err(self.refuse_with_addresses(Reason::OutOfService, text, view));
        }
        if !self.control.has_permit(now) {
            let text = "this node cannot prove that its settings are current";
            return Err(self.refuse_with_addresses(Reason::NoPermit, text, view));
        }
        Ok(())
    }

    /// Returns whether the node has been out of service for so long that callers no longer use a list with
    /// its address.
    fn is_out_of_service(&self, view: &View, now: Moment) -> bool {
        let data_centre_state = view.tree.data_centre_state(&self.config.data_centre);
        let instance_state = view.tree.instance_state(&self.member.name);
        if data_centre_state != Some(tree::State::Out) && instance_state != tree::State::Out {
            self.out_since_us
                .store(NOT_OUT_OF_SERVICE, Ordering::Release);
            return false;
        }
        let since = self
            .out_since_us
            .fetch_min(now.as_micros(), Ordering::AcqRel);
        // Other nodes may list this node until they have received the change of the settings too.
        now.since(Moment::from_micros(since.min(now.as_micros())))
            >= LIST_LIFETIME + drain::UNLISTED_MARGIN
    }

    /// Returns a refusal with the current address list, so that the caller can try another node.
    fn refuse_with_addresses(&self, reason: Reason, text: &str, view: &View) -> Refusal {
        let mut refusal = Refusal::new(reason, text);
        refusal.retry_after = Some(RETRY_AFTER);
        refusal.addresses = self.listed_addresses(view);
        refusal
    }

    /// Returns the settings for the kind of query, or a refusal if the index or the kind is unknown.
    fn query_policy(&self, query: &QueryRequest, view: &View) -> Result<Query, Refusal> {
        if let Some(policy) =
            view.tree
                .query_policy(&query.index, &query.kind, &self.config.data_centre)
        {
            return Ok(policy);
        }
        if view.tree.has_index(&query.index) {
            let text = format!("the index {} has no query kind {}", query.index, query.kind);
            return Err(Refusal::new(Reason::UnknownKind, text));
        }
        let text = format!("there is no index {}", query.index);
        Err(Refusal::new(Reason::UnknownIndex, text))
    }

    fn plan_query(
        &self,
        query: &QueryRequest,
        policy: Query,
        request: String,
        now: Moment,
    ) -> Result<Plan, Refusal> {
        let selection = match (policy.scatter, &query.routing_key) {
            (Scatter::All, _) => Selection::All,
            (Scatter::One, Some(key)) => Selection::One(xxh3_64(key.as_bytes())),
            (Scatter::One, None) => {
                let text = "this query kind needs a Routing-Key header";
                return Err(Refusal::new(Reason::BadRequest, text));
            }
        };
        Ok(Plan {
            request_id: request,
            index: query.index.clone(),
            data_centre: self.config.data_centre.clone(),
            selection,
            policy,
            replica_policy: replica_choice::Policy::default(),
            deadline: now + query.deadline.unwrap_or(policy.deadline),
        })
    }

    async fn answer_query(self: &Arc<Self>, query: QueryRequest) -> Result<Reply, Refusal> {
        let view = Arc::clone(&self.control.view());
        let now = self.clock.now();
        let policy = self.query_policy(&query, &view);
        if let Ok(policy) = &policy
            && !policy.idempotent
        {
            return self.answer_at_most_once(query, *policy, &view).await;
        }
        self.check_accepts_requests(&view, now)?;
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let request = format!(
            "{}.{}.q{number:x}",
            self.member.name, self.member.incarnation
        );
        let plan = self.plan_query(&query, policy?, request, now)?;
        let verdict = self.coordinator.run(plan, query.body, &view).await;
        answer_or_refusal(verdict).map(|answer| answer.reply())
    }

    /// Runs a non-idempotent request here if this incarnation of the node issued its id, else forwards it to
    /// the node that did.
    async fn answer_at_most_once(
        self: &Arc<Self>,
        query: QueryRequest,
        policy: Query,
        view: &View,
    ) -> Result<Reply, Refusal> {
        let request = parse_request_id(&query)?;
        match self.ledger.verify(&request) {
            Ok(()) => {}
            Err(id::Error::Foreign(node, _)) => {
                let run = run_message(query, &policy);
                return self.forward(&node, run, view).await;
            }
            Err(e) => return Err(Refusal::new(Reason::BadRequestId, e.to_string())),
        }
        let digest = digest(
            &query.index,
            &query.kind,
            query.routing_key.as_deref(),
            &query.body,
        );
        match self.ledger.begin(request.clone(), digest).await {
            Decision::Answer(reply) => Ok(reply),
            Decision::Refuse(reason) => Err(Refusal::new(
                reason,
                "no answer is available for this request id; see the reason",
            )),
            Decision::Start(run) => {
                // A task of its own records the outcome even if the caller closes its connection meanwhile.
                let shared = Arc::clone(self);
                let task = tokio::spawn(async move {
                    shared.run_and_settle(run, request, query, policy).await
                });
                task.await.unwrap_or_else(|_| {
                    Err(Refusal::new(
                        Reason::OutcomeUnknown,
                        "the task that ran this request ended early; the request may have run",
                    ))
                })
            }
        }
    }

    /// Runs a non-idempotent request and records its outcome in the ledger.
    async fn run_and_settle(
        self: Arc<Self>,
        mut run: Run,
        request: id::Request,
        query: QueryRequest,
        policy: Query,
    ) -> Result<Reply, Refusal> {
        run.begin();
        let result = self.run_once(&request, query, policy).await;
        let outcome = match &result {
            Ok(reply) => RunOutcome::Answered(reply.clone()),
            Err(refusal) if refusal.not_run => RunOutcome::NotRun(refusal.reason),
            Err(_) => RunOutcome::Unknown,
        };
        run.settle(outcome);
        result
    }

    async fn run_once(
        &self,
        request: &id::Request,
        query: QueryRequest,
        policy: Query,
    ) -> Result<Reply, Refusal> {
        let view = Arc::clone(&self.control.view());
        let now = self.clock.now();
        self.check_accepts_requests(&view, now)?;
        let plan = self.plan_query(&query, policy, request.to_string(), now)?;
        let verdict = self.coordinator.run(plan, query.body, &view).await;
        answer_or_refusal(verdict).map(|answer| answer.reply())
    }

    /// Forwards a non-idempotent request to the node that issued its id.
    async fn forward(&self, node: &str, run: RunRequest, view: &View) -> Result<Reply, Refusal> {
        let outcome_unknown = |text| Err(Refusal::new(Reason::OutcomeUnknown, text));
        let Some(node) = view.nodes.get(node).filter(|_| node != self.member.name) else {
            return outcome_unknown(
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
            Err(_) => outcome_unknown(
                "the node that issued this request id did not answer; the request may have run",
            ),
        }
    }

    /// Answers a request that another node forwarded because this node issued its session.
    async fn run_for_peer(self: &Arc<Self>, run: RunRequest) -> Reply {
        let result = self.try_run_for_peer(run).await;
        result.unwrap_or_else(|refusal| self.count_refusal(&refusal))
    }

    async fn try_run_for_peer(self: &Arc<Self>, run: RunRequest) -> Result<Reply, Refusal> {
        let query = QueryRequest {
            index: run.index,
            kind: run.kind,
            deadline: Some(Duration::from_micros(run.remaining_us)),
            request_id: Some(run.request),
            routing_key: run.routing_key,
            body: run.body,
        };
        let view = Arc::clone(&self.control.view());
        let policy = self.query_policy(&query, &view)?;
        let request = parse_request_id(&query)?;
        if let Err(id::Error::Foreign(..)) = self.ledger.verify(&request) {
            // An earlier incarnation of this node issued the session, and its table of outcomes is lost.
            let text =
                "the node that issued this request id has restarted; the request may have run";
            return Err(Refusal::new(Reason::OutcomeUnknown, text));
        }
        self.answer_at_most_once(query, policy, &view).await
    }

    /// Answers a message of another node.
    async fn handle_peer_call(
        self: &Arc<Self>,
        path: &str,
        body: &[u8],
    ) -> Result<Bytes, StatusCode> {
        match path {
            EXCHANGE_PATH => encode(self.control.answer_exchange(decode(body)?).await.as_ref()),
            RECORDS_PATH => encode(self.control.newer_records(decode(body)?).await.as_ref()),
            SETTINGS_PATH => encode(self.control.settings_deltas(decode(body)?).await.as_ref()),
            RUN_PATH => encode(Some(&self.run_for_peer(decode(body)?).await)),
            CANCEL_PATH => {
                let cancellation: Cancellation = decode(body)?;
                let gateway = &self.coordinator.gateway;
                gateway.cancel(
                    &cancellation.target,
                    &cancellation.request,
                    cancellation.subrequest,
                );
                encode(Some(&()))
            }
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    /// Counts a refusal in the metrics and encodes it.
    fn count_refusal(&self, refusal: &Refusal) -> Reply {
        self.metrics.count_refusal(refusal.reason);
        refusal.reply()
    }
}

/// How long beyond the deadline a node waits for the answer to a request that it forwarded.
const FORWARD_MARGIN: Duration = Duration::from_millis(200);

fn parse_request_id(query: &QueryRequest) -> Result<id::Request, Refusal> {
    let Some(text) = &query.request_id else {
        let text = "this query kind is not idempotent and needs a Request-Id header";
        return Err(Refusal::new(Reason::BadRequestId, text));
    };
    text.parse()
        .map_err(|e: id::Error| Refusal::new(Reason::BadRequestId, e.to_string()))
}

fn run_message(query: QueryRequest, policy: &Query) -> RunRequest {
    let deadline = query.deadline.unwrap_or(policy.deadline);
    RunRequest {
        request: query.request_id.unwrap_or_default(),
        index: query.index,
        kind: query.kind,
        routing_key: query.routing_key,
        remaining_us: u64::try_from(deadline.as_micros()).unwrap_or(u64::MAX),
        body: query.body,
    }
}

/// Counts a request of a caller as running until it is dropped.
#[derive(Debug)]
struct RunningRequest(Arc<Shared>);

impl RunningRequest {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.running_requests.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(shared))
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Handles the requests that the servers of the node receive.
#[derive(Debug, Deref)]
struct Handler(Arc<Shared>);

impl caller::Handler for Handler {
    fn addresses(&self) -> Reply {
        let mut addresses = self.listed_addresses(&self.control.view());
        if addresses.is_empty() {
            // A node that knows of no usable node, for example because every data centre is out of service,
            // lists itself, so that callers get a refusal with a reason.
            addresses.push(self.member.caller);
        }
        let session = self.ledger.issue_session();
        Addresses {
            addresses,
            keep: LIST_LIFETIME,
            session,
        }
        .reply()
    }

    async fn query(&self, query: QueryRequest) -> Reply {
        let _running = RunningRequest::new(&self.0);
        self.metrics.requests.inc();
        let start = self.clock.now();
        match self.answer_query(query).await {
            Ok(reply) => {
                self.metrics.answers.inc();
                let elapsed = self.clock.now().since(start);
                self.metrics.latency.observe(elapsed.as_secs_f64());
                reply
            }
            Err(refusal) => self.count_refusal(&refusal),
        }
    }

    fn refuse(&self, refusal: Refusal) -> Reply {
        self.metrics.requests.inc();
        self.count_refusal(&refusal)
    }

    fn closing(&self) -> bool {
        !self.lock_drain().accepts_requests()
    }
}

impl operator::Handler for Handler {
    fn metrics(&self) -> String {
        self.metrics.render()
    }

    async fn status(&self) -> String {
        let status = self.control.status().await;
        serde_json::to_string(&status).expect("a status always encodes")
    }
}

impl peer::Service for Handler {
    type BatchGuard = BatchGuard;

    async fn call(&self, path: &str, body: Bytes) -> Result<Bytes, StatusCode> {
        let answer = self.handle_peer_call(path, &body).await?;
        if path != RUN_PATH {
            self.metrics.control_calls.inc();
            let bytes = body.len() + answer.len();
            self.metrics.control_bytes.inc_by(bytes as u64);
        }
        Ok(answer)
    }

    fn scatter(&self, batch: Batch, reply: mpsc::UnboundedSender<Frame>) -> BatchGuard {
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

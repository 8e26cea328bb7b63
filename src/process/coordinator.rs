//! Carries out the decisions of one query: sends subrequests to gateways and feeds results back.
//!
//! The decisions themselves are [`Scatter`]'s; `docs/design.md`, section 6.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::gateway::{Gateway, Offered};
use super::metrics::Metrics;
use super::view::View;
use crate::connection::peer::{self, Peers};
use crate::request::hedge::HedgeController;
use crate::request::scatter::{Action, Event, Plan, Scatter, Verdict};
use crate::time::{Clock, Moment};
use crate::version::directory::TargetKey;
use crate::wire::{Batch, Frame, Load, Member, Outcome, Reason, Subrequest};
use serde::{Deserialize, Serialize};

/// The path on which a node cancels one subrequest at a gateway.
pub const CANCEL_PATH: &str = "/peer/cancel";

/// How long a gateway's stream is read beyond the deadline, so that refusals sent in time arrive.
const STREAM_MARGIN: Duration = Duration::from_millis(50);
/// The time allowed for a cancellation; one that is late is of no use.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// Asks a gateway to cancel one subrequest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The request id.
    pub request: String,
    /// The name of the target.
    pub target: String,
    /// The number of the subrequest.
    #[serde(rename = "leg")]
    pub subrequest: u32,
}

/// What every query of a node needs.
#[derive(Debug, Clone)]
pub struct Coordinator {
    /// The name of this node.
    pub name: String,
    /// The clock of the process.
    pub clock: Clock,
    /// The counters of the process.
    pub metrics: Metrics,
    /// The connections to other nodes.
    pub peers: Peers,
    /// The gateway of this node.
    pub gateway: Gateway,
    /// Latencies and budgets, shared by all queries.
    pub hedge: Arc<Mutex<HedgeController>>,
}

impl Coordinator {
    /// Runs a query to its end; dropping the future cancels what is under way.
    pub async fn run(&self, plan: Plan, body: Bytes, view: &View) -> Verdict {
        let (reply, results) = mpsc::unbounded_channel();
        let now = self.clock.now();
        let mut query = Query {
            coordinator: self,
            view,
            request: plan.request_id.clone(),
            index: plan.index.clone(),
            priority: plan.policy.priority,
            idempotent: plan.policy.idempotent,
            deadline: plan.deadline,
            body,
            gateways: HashMap::new(),
            local: Vec::new(),
            streams: JoinSet::new(),
            reply,
        };
        query.drive(Scatter::new(plan, now), results).await
    }
}

/// One running query.
struct Query<'a> {
    coordinator: &'a Coordinator,
    view: &'a View,
    request: String,
    index: String,
    priority: u8,
    idempotent: bool,
    deadline: Moment,
    body: Bytes,
    /// The gateway to which each subrequest went.
    gateways: HashMap<u32, Member>,
    /// Batches at this node's own gateway; dropping them cancels.
    local: Vec<Offered>,
    /// Streams from other gateways; dropping them cancels.
    streams: JoinSet<()>,
    reply: mpsc::UnboundedSender<Frame>,
}

impl Query<'_> {
    async fn drive(
        &mut self,
        mut scatter: Scatter,
        mut results: mpsc::UnboundedReceiver<Frame>,
    ) -> Verdict {
        let mut event = Event::Start;
        loop {
            let actions = {
                let mut hedge = self.hedge();
                let now = self.coordinator.clock.now();
                scatter.step(event, now, &self.view.directory, &mut hedge)
            };
            if let Some(verdict) = self.act(actions) {
                return verdict;
            }
            let wake = scatter.next_wake().unwrap_or(Moment::NEVER);
            let wake = self.coordinator.clock.instant(wake);
            event = tokio::select! {
                biased;
                frame = results.recv() => match frame {
                    Some(frame) => result(frame),
                    // The query holds a sender, so that the channel stays open.
                    None => Event::Tick,
                },
                () = tokio::time::sleep_until(wake.into()) => Event::Tick,
            };
        }
    }

    fn hedge(&self) -> std::sync::MutexGuard<'_, HedgeController> {
        let hedge = &self.coordinator.hedge;
        hedge
            .lock()
            .expect("no code panics while it holds the budgets")
    }

    fn act(&mut self, actions: Vec<Action>) -> Option<Verdict> {
        let mut batches: Vec<(Member, Vec<Subrequest>)> = Vec::new();
        let mut verdict = None;
        for action in actions {
            match action {
                Action::Send { subrequest, target } => {
                    self.assign(subrequest, target, &mut batches);
                }
                Action::Cancel { subrequest, target } => self.cancel(subrequest, &target),
                Action::Finish(ended) => verdict = Some(ended),
            }
        }
        for (gateway, subrequests) in batches {
            self.send(gateway, subrequests);
        }
        verdict
    }

    fn assign(
        &mut self,
        subrequest: Subrequest,
        target: TargetKey,
        batches: &mut Vec<(Member, Vec<Subrequest>)>,
    ) {
        self.coordinator.metrics.subrequest(subrequest.cause);
        let Some(gateway) = &self.view.directory.target(target).gateway else {
            self.fail(subrequest.number, Reason::NoTarget);
            return;
        };
        self.gateways.insert(subrequest.number, gateway.clone());
        match batches.iter_mut().find(|(member, _)| member == gateway) {
            Some((_, subrequests)) => subrequests.push(subrequest),
            None => batches.push((gateway.clone(), vec![subrequest])),
        }
    }

    fn send(&mut self, gateway: Member, subrequests: Vec<Subrequest>) {
        let coordinator = self.coordinator;
        let now = coordinator.clock.now();
        let remaining = now.until(self.deadline);
        let batch = Batch {
            request: self.request.clone(),
            index: self.index.clone(),
            remaining_us: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
            priority: self.priority,
            idempotent: self.idempotent,
            subrequests,
            body: self.body.clone(),
        };
        if gateway.name == coordinator.name {
            self.local
                .push(coordinator.gateway.offer(batch, &self.reply));
            return;
        }
        let (peers, reply) = (coordinator.peers.clone(), self.reply.clone());
        let timeout = remaining + STREAM_MARGIN;
        let watch = Watch::open(coordinator, &gateway.name);
        self.streams.spawn(async move {
            stream(&peers, &gateway, &batch, timeout, &reply, &watch).await;
        });
    }

    fn cancel(&self, subrequest: u32, target: &str) {
        let Some(gateway) = self.gateways.get(&subrequest) else {
            return;
        };
        let coordinator = self.coordinator;
        if gateway.name == coordinator.name {
            coordinator
                .gateway
                .cancel(target, &self.request, subrequest);
            return;
        }
        let (peers, address) = (coordinator.peers.clone(), gateway.peer);
        let cancel = Cancel {
            request: self.request.clone(),
            target: target.to_owned(),
            subrequest,
        };
        tokio::spawn(async move {
            // A lost cancellation costs the target some work and nothing else.
            let _lost: Result<(), _> = peers
                .call(address, CANCEL_PATH, &cancel, CANCEL_TIMEOUT)
                .await;
        });
    }

    fn fail(&self, subrequest: u32, reason: Reason) {
        fail(&self.reply, subrequest, reason);
    }
}

fn result(frame: Frame) -> Event {
    Event::Result {
        subrequest: frame.subrequest,
        outcome: frame.outcome,
        load: frame.load,
    }
}

fn fail(reply: &mpsc::UnboundedSender<Frame>, subrequest: u32, reason: Reason) {
    // The query may have ended already.
    let _ended = reply.send(Frame {
        subrequest,
        outcome: Outcome::Failure(reason),
        load: Load::default(),
    });
}

/// Tells the other queries of the node how a gateway does for as long as a batch is under way.
#[derive(Debug)]
struct Watch {
    hedge: Arc<Mutex<HedgeController>>,
    gateway: String,
    clock: Clock,
}

impl Watch {
    fn open(coordinator: &Coordinator, gateway: &str) -> Self {
        let watch = Self {
            hedge: Arc::clone(&coordinator.hedge),
            gateway: gateway.to_owned(),
            clock: coordinator.clock,
        };
        watch.hedge().stalls.batch_sent(gateway, watch.clock.now());
        watch
    }

    fn heard(&self) {
        let now = self.clock.now();
        self.hedge().stalls.result_received(&self.gateway, now);
    }

    fn hedge(&self) -> std::sync::MutexGuard<'_, HedgeController> {
        self.hedge
            .lock()
            .expect("no code panics while it holds the budgets")
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.hedge().stalls.batch_ended(&self.gateway);
    }
}

/// Reads the results of a batch; each subrequest that the gateway gives no result for fails.
async fn stream(
    peers: &Peers,
    gateway: &Member,
    batch: &Batch,
    timeout: Duration,
    reply: &mpsc::UnboundedSender<Frame>,
    watch: &Watch,
) {
    let mut missing: Vec<u32> = batch
        .subrequests
        .iter()
        .map(|subrequest| subrequest.number)
        .collect();
    let reason = match peers.scatter(gateway.peer, batch, timeout).await {
        Ok(mut frames) => loop {
            match frames.next().await {
                Some(Ok(frame)) => {
                    watch.heard();
                    missing.retain(|subrequest| *subrequest != frame.subrequest);
                    if reply.send(frame).is_err() {
                        return;
                    }
                }
                Some(Err(e)) => break reason(&e),
                None => break Reason::ConnectionLost,
            }
        },
        Err(e) => reason(&e),
    };
    for subrequest in missing {
        fail(reply, subrequest, reason);
    }
}

const fn reason(error: &peer::Error) -> Reason {
    match error {
        peer::Error::NotSent(_) => Reason::NotSent,
        peer::Error::Lost(_) | peer::Error::Status(_) | peer::Error::Invalid(_) => {
            Reason::ConnectionLost
        }
        peer::Error::Timeout => Reason::Timeout,
    }
}

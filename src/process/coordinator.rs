//! The coordinator runs a query: it sends subrequests to the gateways of the targets and collects the
//! results.
//!
//! The state machine [`Scatter`] makes the decisions of a query, and this module carries them out. See
//! `docs/design.md`, section 6.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::gateway::{BatchGuard, Gateway};
use super::metrics::Metrics;
use super::view::View;
use crate::connection::peer::{self, Peers};
use crate::request::hedge::HedgeController;
use crate::request::scatter::{Action, Event, Plan, Scatter, Verdict};
use crate::time::{Clock, Moment};
use crate::version::directory::TargetKey;
use crate::wire::{Batch, Frame, Load, Member, Outcome, Reason, Subrequest};
use serde::{Deserialize, Serialize};

/// The path of a [`Cancellation`], sent from a coordinator to the gateway of another node.
pub const CANCEL_PATH: &str = "/peer/cancel";

/// How long the results of a remote gateway are read beyond the deadline of the query, so that refusals sent
/// in time still arrive.
const STREAM_MARGIN: Duration = Duration::from_millis(50);
/// Timeout of a cancellation. One that arrives later is of no use.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// A message that asks the gateway of another node to cancel one subrequest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancellation {
    /// The id of the request to which the subrequest belongs.
    pub request: String,
    /// The name of the target to which the subrequest was sent.
    pub target: String,
    /// The number of the subrequest within its request.
    #[serde(rename = "leg")]
    pub subrequest: u32,
}

/// Runs the queries of a node. Holds what they share.
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
    /// The gateway of this node, for the targets that this node owns.
    pub gateway: Gateway,
    /// The latencies of targets, the budgets for hedges and retries, and the silence of gateways, as seen by
    /// all queries of the node.
    pub hedge: Arc<Mutex<HedgeController>>,
}

impl Coordinator {
    /// Runs a query to its end. Dropping the future cancels the subrequests that have no result yet.
    pub async fn run(&self, plan: Plan, body: Bytes, view: &View) -> Verdict {
        let (result_sender, results) = mpsc::unbounded_channel();
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
            subrequest_gateways: HashMap::new(),
            local_batches: Vec::new(),
            remote_batches: JoinSet::new(),
            result_sender,
        };
        query.run(Scatter::new(plan, now), results).await
    }
}

/// A running query.
struct Query<'a> {
    coordinator: &'a Coordinator,
    view: &'a View,
    request: String,
    index: String,
    priority: u8,
    idempotent: bool,
    deadline: Moment,
    body: Bytes,
    /// The node whose gateway each subrequest was sent to, by the number of the subrequest.
    subrequest_gateways: HashMap<u32, Member>,
    /// Batches at the gateway of this node. Dropping them cancels their subrequests.
    local_batches: Vec<BatchGuard>,
    /// Tasks that read the results of batches at other gateways. Dropping them cancels the subrequests.
    remote_batches: JoinSet<()>,
    result_sender: mpsc::UnboundedSender<Frame>,
}

impl Query<'_> {
    /// Passes events to the state machine of the query until it returns a verdict.
    async fn run(
        &mut self,
        mut scatter: Scatter,
        mut results: mpsc::UnboundedReceiver<Frame>,
    ) -> Verdict {
        let mut event = Event::Start;
        loop {
            let actions = {
                let mut hedge = self.lock_hedge();
                let now = self.coordinator.clock.now();
                scatter.step(event, now, &self.view.directory, &mut hedge)
            };
            if let Some(verdict) = self.execute(actions) {
                return verdict;
            }
            let wake_at = scatter.next_wake().unwrap_or(Moment::NEVER);
            let wake_at = self.coordinator.clock.instant(wake_at);
            event = tokio::select! {
                biased;
                frame = results.recv() => match frame {
                    Some(frame) => result_event(frame),
                    // Does not happen: the query itself holds a sender, so the channel stays open.
                    None => Event::Tick,
                },
                () = tokio::time::sleep_until(wake_at.into()) => Event::Tick,
            };
        }
    }

    fn lock_hedge(&self) -> std::sync::MutexGuard<'_, HedgeController> {
        let hedge = &self.coordinator.hedge;
        hedge
            .lock()
            .expect("no code panics while it holds the lock on the hedge state")
    }

    /// Carries out the actions of one step and returns the verdict if the query has ended.
    fn execute(&mut self, actions: Vec<Action>) -> Option<Verdict> {
        let mut batches: Vec<(Member, Vec<Subrequest>)> = Vec::new();
        let mut verdict = None;
        for action in actions {
            match action {
                Action::Send { subrequest, target } => {
                    self.add_to_batch(subrequest, target, &mut batches);
                }
                Action::Cancel { subrequest, target } => self.cancel(subrequest, &target),
                Action::Finish(result) => verdict = Some(result),
            }
        }
        for (gateway, subrequests) in batches {
            self.send_batch(gateway, subrequests);
        }
        verdict
    }

    /// Adds a subrequest to the batch for the gateway of its target. The subrequest fails if no node owns the
    /// target.
    fn add_to_batch(
        &mut self,
        subrequest: Subrequest,
        target: TargetKey,
        batches: &mut Vec<(Member, Vec<Subrequest>)>,
    ) {
        self.coordinator.metrics.count_subrequest(subrequest.cause);
        let Some(gateway) = &self.view.directory.target(target).gateway else {
            self.fail_subrequest(subrequest.number, Reason::NoTarget);
            return;
        };
        self.subrequest_gateways
            .insert(subrequest.number, gateway.clone());
        match batches.iter_mut().find(|(member, _)| member == gateway) {
            Some((_, subrequests)) => subrequests.push(subrequest),
            None => batches.push((gateway.clone(), vec![subrequest])),
        }
    }

    fn send_batch(&mut self, gateway: Member, subrequests: Vec<Subrequest>) {
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
            self.local_batches
                .push(coordinator.gateway.offer(batch, &self.result_sender));
            return;
        }
        let (peers, result_sender) = (coordinator.peers.clone(), self.result_sender.clone());
        let timeout = remaining + STREAM_MARGIN;
        let monitor = GatewayMonitor::open(coordinator, &gateway.name);
        self.remote_batches.spawn(async move {
            relay_results(&peers, &gateway, &batch, timeout, &result_sender, &monitor).await;
        });
    }

    fn cancel(&self, subrequest: u32, target: &str) {
        let Some(gateway) = self.subrequest_gateways.get(&subrequest) else {
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
        let cancellation = Cancellation {
            request: self.request.clone(),
            target: target.to_owned(),
            subrequest,
        };
        tokio::spawn(async move {
            // If the cancellation is lost, the target does some needless work and nothing else happens.
            let _lost: Result<(), _> = peers
                .call(address, CANCEL_PATH, &cancellation, CANCEL_TIMEOUT)
                .await;
        });
    }

    fn fail_subrequest(&self, subrequest: u32, reason: Reason) {
        fail_subrequest(&self.result_sender, subrequest, reason);
    }
}

fn result_event(frame: Frame) -> Event {
    Event::Result {
        subrequest: frame.subrequest,
        outcome: frame.outcome,
        load: frame.load,
    }
}

fn fail_subrequest(result_sender: &mpsc::UnboundedSender<Frame>, subrequest: u32, reason: Reason) {
    // The send fails only if the query has ended.
    let _ended = result_sender.send(Frame {
        subrequest,
        outcome: Outcome::Failure(reason),
        load: Load::default(),
    });
}

/// Records in the shared hedge state when a gateway sent results for a batch, so that all queries of the node
/// can detect that the gateway is silent. Dropping the monitor records that the batch has ended.
#[derive(Debug)]
struct GatewayMonitor {
    hedge: Arc<Mutex<HedgeController>>,
    gateway: String,
    clock: Clock,
}

impl GatewayMonitor {
    fn open(coordinator: &Coordinator, gateway: &str) -> Self {
        let monitor = Self {
            hedge: Arc::clone(&coordinator.hedge),
            gateway: gateway.to_owned(),
            clock: coordinator.clock,
        };
        monitor
            .lock_hedge()
            .stalls
            .batch_sent(gateway, monitor.clock.now());
        monitor
    }

    fn record_frame(&self) {
        let now = self.clock.now();
        self.lock_hedge().stalls.result_received(&self.gateway, now);
    }

    fn lock_hedge(&self) -> std::sync::MutexGuard<'_, HedgeController> {
        self.hedge
            .lock()
            .expect("no code panics while it holds the lock on the hedge state")
    }
}

impl Drop for GatewayMonitor {
    fn drop(&mut self) {
        self.lock_hedge().stalls.batch_ended(&self.gateway);
    }
}

/// Sends a batch to the gateway of another node and passes its results to `result_sender`. Subrequests for
/// which no result arrives fail with the reason for which the stream of results ended.
async fn relay_results(
    peers: &Peers,
    gateway: &Member,
    batch: &Batch,
    timeout: Duration,
    result_sender: &mpsc::UnboundedSender<Frame>,
    monitor: &GatewayMonitor,
) {
    let mut unanswered: Vec<u32> = batch
        .subrequests
        .iter()
        .map(|subrequest| subrequest.number)
        .collect();
    let reason = match peers.scatter(gateway.peer, batch, timeout).await {
        Ok(mut frames) => loop {
            match frames.next().await {
                Some(Ok(frame)) => {
                    monitor.record_frame();
                    unanswered.retain(|subrequest| *subrequest != frame.subrequest);
                    if result_sender.send(frame).is_err() {
                        return;
                    }
                }
                Some(Err(e)) => break failure_reason(&e),
                None => break Reason::ConnectionLost,
            }
        },
        Err(e) => failure_reason(&e),
    };
    for subrequest in unanswered {
        fail_subrequest(result_sender, subrequest, reason);
    }
}

const fn failure_reason(error: &peer::Error) -> Reason {
    match error {
        peer::Error::NotSent(_) => Reason::NotSent,
        peer::Error::Lost(_) | peer::Error::Status(_) | peer::Error::Invalid(_) => {
            Reason::ConnectionLost
        }
        peer::Error::Timeout => Reason::Timeout,
    }
}

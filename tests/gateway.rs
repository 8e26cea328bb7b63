//! Tests of the gateway, its connections and the transport between nodes, with a scripted target.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gateway_support::{
    FakeTarget, Script, WAIT_MAX, make_batch, open_gateway, owned_target, run_batch, wait_until,
};
use hyper::StatusCode;
use redwinggrade::connection::peer::{self, Peers, Service};
use redwinggrade::process::gateway::{BatchGuard, Gateway};
use redwinggrade::time::Moment;
use redwinggrade::wire::{Batch, Frame, Outcome, Reason};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

mod gateway_support;

fn failure_reason(frame: &Frame) -> Option<Reason> {
    match frame.outcome {
        Outcome::Failure(reason) => Some(reason),
        Outcome::Answer { .. } => None,
    }
}

/// Guards against answers that are lost or assigned to another subrequest, and against too many connections:
/// a target with two slots needs two, and two spare ones.
#[tokio::test]
async fn each_subrequest_gets_its_own_answer() {
    let target = FakeTarget::open().await;
    let gateway = open_gateway(&target).await;
    for round in 0..20 {
        let frames = run_batch(&gateway, make_batch(&format!("r-{round}"), 4, WAIT_MAX)).await;
        assert_eq!(frames.len(), 4);
        for (number, frame) in frames.iter().enumerate() {
            let Outcome::Answer {
                request, attempt, ..
            } = &frame.outcome
            else {
                panic!("expected an answer, got {frame:?}");
            };
            assert_eq!(request, &format!("r-{round}"));
            assert_eq!((frame.subrequest, *attempt), (number as u32, number as u32));
        }
    }
    assert!(target.running_max.load(Ordering::SeqCst) <= 2);
    assert!(target.connections.load(Ordering::SeqCst) <= 4);
    gateway.close().await;
}

/// Guards against a reason that wrongly says "not run" or "may have run", for each kind of failure.
#[rstest]
#[case(Script::Status(429), Reason::Shed)]
#[case(Script::Status(503), Reason::Draining)]
#[case(Script::Status(410), Reason::VersionGone)]
#[case(Script::Status(408), Reason::Expired)]
#[case(Script::Status(500), Reason::TargetError)]
#[case(Script::CloseConnection, Reason::ConnectionLost)]
#[case(Script::Mismatch, Reason::MismatchedAnswer)]
#[tokio::test]
async fn each_failure_of_a_target_maps_to_its_reason(
    #[case] script: Script,
    #[case] reason: Reason,
) {
    let target = FakeTarget::open().await;
    let gateway = open_gateway(&target).await;
    target.set_script(script);
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(
        frames.iter().map(failure_reason).collect::<Vec<_>>(),
        [Some(reason)]
    );
    assert_eq!(target.searches.load(Ordering::SeqCst), 1);
}

/// The service of a node for its peers, reduced to scatter requests and a call that returns its body.
struct GatewayService(Gateway);

impl Service for GatewayService {
    type BatchGuard = BatchGuard;

    async fn call(&self, path: &str, body: Bytes) -> Result<Bytes, StatusCode> {
        match path {
            "/peer/echo" => Ok(body),
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    fn scatter(&self, batch: Batch, reply: mpsc::UnboundedSender<Frame>) -> BatchGuard {
        self.0.offer(batch, &reply)
    }
}

async fn start_peer_server(target: &FakeTarget) -> peer::Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    peer::serve(
        listener,
        Arc::new(GatewayService(open_gateway(target).await)),
    )
    .unwrap()
}

/// Guards against frames that are lost or damaged between nodes.
#[tokio::test]
async fn scatter_streams_one_frame_per_subrequest() {
    let target = FakeTarget::open().await;
    let server = start_peer_server(&target).await;
    let peers = Peers::new();
    let mut frames = peers
        .scatter(server.address(), &make_batch("r", 8, WAIT_MAX), WAIT_MAX)
        .await
        .unwrap();
    let mut subrequests = Vec::new();
    while let Some(frame) = frames.next().await {
        let frame = frame.unwrap();
        assert_eq!(failure_reason(&frame), None);
        subrequests.push(frame.subrequest);
    }
    subrequests.sort_unstable();
    assert_eq!(subrequests, (0..8).collect::<Vec<_>>());
    server.close().await;
}

/// Guards against searches that go on running after the coordinator has dropped the scatter request.
#[tokio::test]
async fn dropping_a_scatter_cancels_its_searches() {
    let target = FakeTarget::open().await;
    target.set_script(Script::Hold);
    let server = start_peer_server(&target).await;
    let peers = Peers::new();
    let frames = peers
        .scatter(server.address(), &make_batch("r", 2, WAIT_MAX), WAIT_MAX)
        .await
        .unwrap();
    wait_until("a search runs", || {
        target.running.load(Ordering::SeqCst) == 1
    })
    .await;
    drop(frames);
    wait_until("the search is cancelled", || {
        target.cancels.load(Ordering::SeqCst) >= 1
    })
    .await;
}

/// Guards against a call that is repeated although the peer may have handled it, and against one that is not
/// repeated although it was not sent.
#[tokio::test]
async fn peer_call_errors_distinguish_unsent_calls() {
    let target = FakeTarget::open().await;
    let server = start_peer_server(&target).await;
    let peers = Peers::new();
    let address = server.address();
    let echo = peers.call(address, "/peer/echo", &7_u32, WAIT_MAX).await;
    assert_eq!(echo.ok(), Some(7_u32));
    let missing = peers
        .call::<_, u32>(address, "/peer/none", &7_u32, WAIT_MAX)
        .await;
    assert!(matches!(
        missing,
        Err(peer::Error::Status(StatusCode::NOT_FOUND))
    ));
    server.close().await;
    let closed = peers
        .call::<_, u32>(address, "/peer/echo", &7_u32, WAIT_MAX)
        .await;
    assert!(closed.is_err_and(|error| error.not_sent()));
}

/// Guards against a dispatch based on an old ownership after the new one was reported to peers. It would come
/// about if a permit alone ended a suspension.
#[tokio::test]
async fn suspended_gateway_resumes_only_with_new_ownership() {
    let target = FakeTarget::open().await;
    let gateway = open_gateway(&target).await;
    gateway.suspend();
    gateway.set_permit(Moment::NEVER);
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), Some(Reason::NoPermit));
    assert_eq!(target.searches.load(Ordering::SeqCst), 0);
    gateway
        .set_owned_targets(vec![owned_target(&target)])
        .await
        .unwrap();
    let frames = run_batch(&gateway, make_batch("s", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), None);
    assert_eq!(target.searches.load(Ordering::SeqCst), 1);
}

/// Guards against a dispatch without a permit, before the ownership is valid, to a target that is out of
/// service, and to one that the node does not own.
#[tokio::test]
async fn nothing_is_dispatched_without_permit_ownership_or_service() {
    let target = FakeTarget::open().await;
    let gateway = open_gateway(&target).await;
    let mut owned = owned_target(&target);
    gateway.set_permit(Moment::ZERO);
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), Some(Reason::NoPermit));
    gateway.set_permit(Moment::NEVER);
    owned.valid_from = Moment::NEVER;
    gateway
        .set_owned_targets(vec![owned.clone()])
        .await
        .unwrap();
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), Some(Reason::NoPermit));
    owned.valid_from = Moment::ZERO;
    owned.in_service = false;
    gateway.set_owned_targets(vec![owned]).await.unwrap();
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), Some(Reason::OutOfService));
    gateway.set_owned_targets(Vec::new()).await.unwrap();
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), Some(Reason::NotOwner));
    assert_eq!(target.searches.load(Ordering::SeqCst), 0);
}

/// Guards against a running search that is interrupted by a loss of ownership, and against a second actor for
/// the same target, which would not know which slots that search occupies.
#[tokio::test]
async fn running_search_survives_a_loss_of_ownership() {
    let target = FakeTarget::open().await;
    target.set_script(Script::Hold);
    let gateway = open_gateway(&target).await;
    let (reply, mut frames) = mpsc::unbounded_channel();
    let _offered = gateway.offer(make_batch("r", 2, WAIT_MAX), &reply);
    wait_until("a search runs", || {
        target.running.load(Ordering::SeqCst) == 1
    })
    .await;
    gateway.set_owned_targets(Vec::new()).await.unwrap();
    let refused = frames.recv().await.unwrap();
    assert_eq!(failure_reason(&refused), Some(Reason::NotOwner));
    gateway
        .set_owned_targets(vec![owned_target(&target)])
        .await
        .unwrap();
    let _second = gateway.offer(make_batch("r2", 1, WAIT_MAX), &reply);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(target.running_max.load(Ordering::SeqCst), 1);
    target.set_script(Script::Answer);
    target.release_held_searches();
    for _ in 0..2 {
        assert_eq!(failure_reason(&frames.recv().await.unwrap()), None);
    }
}

fn reported_limit(gateway: &Gateway) -> u16 {
    gateway
        .summaries(0)
        .0
        .first()
        .map_or(0, |summary| summary.load.limit)
}

async fn warm_up(gateway: &Gateway) {
    let mut round = 0;
    while reported_limit(gateway) < 2 {
        round += 1;
        run_batch(gateway, make_batch(&format!("warm-{round}"), 1, WAIT_MAX)).await;
    }
}

/// Guards against a failed search, and against full load, after a target closed its idle connections. The
/// target may have been restarted.
#[tokio::test]
async fn closed_idle_connections_are_replaced_without_losing_a_search() {
    let target = FakeTarget::open().await;
    let gateway = open_gateway(&target).await;
    warm_up(&gateway).await;
    target.close_connections();
    wait_until("the target is suspected of being cold", || {
        reported_limit(&gateway) == 1
    })
    .await;
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), None);
    assert_eq!(frames[0].load.limit, 1);
}

/// Guards against full load on a target that was restarted without closing its connections.
#[tokio::test]
async fn target_with_a_new_generation_counts_as_cold() {
    let target = FakeTarget::open().await;
    let gateway = open_gateway(&target).await;
    warm_up(&gateway).await;
    target.generation.store(2, Ordering::SeqCst);
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(frames[0].load.limit, 1);
}

/// Guards against a reason that says "may have run" while the target is down, and against a target that stays
/// unusable after it has come back.
#[tokio::test]
async fn search_is_reported_not_sent_if_the_target_refuses_connections() {
    let (target, accept) = FakeTarget::bind("127.0.0.1:0".parse().unwrap()).await;
    let gateway = open_gateway(&target).await;
    warm_up(&gateway).await;
    let usable = || gateway.summaries(0).0[0].usable;
    assert!(usable());
    accept.abort();
    wait_until("the listener is closed", || accept.is_finished()).await;
    target.close_connections();
    wait_until("the target is reported as unusable", || !usable()).await;
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), Some(Reason::NotSent));
    let (target, _accept) = FakeTarget::bind(target.address).await;
    wait_until("the target is usable again", usable).await;
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), None);
    assert_eq!(target.searches.load(Ordering::SeqCst), 1);
}

/// Guards against a caller that waits beyond its deadline, and against a search that is not cancelled at the
/// target after it timed out.
#[tokio::test]
async fn hanging_search_times_out_and_is_cancelled() {
    let target = FakeTarget::open().await;
    target.set_script(Script::Hold);
    let gateway = open_gateway(&target).await;
    let frames = run_batch(&gateway, make_batch("r", 1, Duration::from_millis(100))).await;
    assert_eq!(failure_reason(&frames[0]), Some(Reason::Timeout));
    wait_until("the search is cancelled", || {
        target.cancels.load(Ordering::SeqCst) == 1
    })
    .await;
    target.set_script(Script::Answer);
    let frames = run_batch(&gateway, make_batch("r2", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), None);
}

/// Guards against nodes that do not learn which versions a target holds or that it is draining, and against
/// reports of unchanged summaries.
#[tokio::test]
async fn summaries_report_only_changes() {
    let target = FakeTarget::open().await;
    let gateway = open_gateway(&target).await;
    wait_until("the target is reported with its holdings", || {
        let summaries = gateway.summaries(0).0;
        let mut reported = summaries.iter();
        reported.any(|summary| summary.usable && !summary.holdings.is_empty())
    })
    .await;
    let (summaries, mark) = gateway.summaries(0);
    assert_eq!(summaries[0].holdings[0].shards, 20);
    assert_eq!(gateway.summaries(mark).0, []);
    target.serving.store(false, Ordering::SeqCst);
    wait_until("draining is reported", || {
        gateway
            .summaries(mark)
            .0
            .iter()
            .any(|summary| !summary.usable)
    })
    .await;
    let frames = run_batch(&gateway, make_batch("r", 1, WAIT_MAX)).await;
    assert_eq!(failure_reason(&frames[0]), Some(Reason::Draining));
    // A mark from before a restart of the node must not suppress any summary.
    assert_eq!(gateway.summaries(u64::MAX).0.len(), 1);
}

/// Guards against a connection between nodes that is closed because many batches on it were cancelled.
#[tokio::test]
async fn many_cancelled_batches_leave_the_peer_connection_open() {
    let target = FakeTarget::open().await;
    target.set_script(Script::Hold);
    let server = start_peer_server(&target).await;
    let (peers, address) = (Peers::new(), server.address());
    let kept = peers
        .scatter(address, &make_batch("kept", 1, WAIT_MAX), WAIT_MAX)
        .await;
    let mut kept = kept.unwrap();
    wait_until("a search runs", || {
        target.running.load(Ordering::SeqCst) == 1
    })
    .await;
    for round in 0..300 {
        let batch = make_batch(&format!("r-{round}"), 1, WAIT_MAX);
        drop(peers.scatter(address, &batch, WAIT_MAX).await.unwrap());
    }
    target.release_held_searches();
    assert_eq!(failure_reason(&kept.next().await.unwrap().unwrap()), None);
}

/// Guards against a call that waits forever for a peer that does not answer, and against an error that says
/// "not sent" for it.
#[tokio::test]
async fn calls_to_a_silent_peer_time_out() {
    let target = FakeTarget::open().await;
    target.set_script(Script::Hold);
    let server = start_peer_server(&target).await;
    let batch = make_batch("r", 1, WAIT_MAX);
    let timeout = Duration::from_millis(100);
    let mut frames = Peers::new()
        .scatter(server.address(), &batch, timeout)
        .await
        .unwrap();
    assert!(matches!(
        frames.next().await,
        Some(Err(peer::Error::Timeout))
    ));
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = silent.local_addr().unwrap();
    let call = Peers::new()
        .call::<_, u32>(address, "/peer/echo", &7_u32, timeout)
        .await;
    assert!(matches!(call, Err(peer::Error::Timeout)));
}

/// Guards against a peer that fills the memory of a node with an oversized body.
#[tokio::test]
async fn peer_body_above_the_limit_is_refused() {
    let target = FakeTarget::open().await;
    let server = start_peer_server(&target).await;
    let body = vec![0_u32; peer::BODY_MAX_BYTES];
    let call = Peers::new()
        .call::<_, u32>(server.address(), "/peer/echo", &body, WAIT_MAX)
        .await;
    assert!(matches!(
        call,
        Err(peer::Error::Status(StatusCode::PAYLOAD_TOO_LARGE))
    ));
}

//! Drives the gateway, its connections and the transport between nodes against a scripted target.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gateway_support::{Fake, PATIENCE, Script, batch, eventually, gateway, offer, owned};
use hyper::StatusCode;
use redwinggrade::connection::peer::{self, Peers, Service};
use redwinggrade::process::gateway::{Gateway, Offered};
use redwinggrade::time::Moment;
use redwinggrade::wire::{Batch, Frame, Outcome, Reason};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

mod gateway_support;

fn failure(frame: &Frame) -> Option<Reason> {
    match frame.outcome {
        Outcome::Failure(reason) => Some(reason),
        Outcome::Answer { .. } => None,
    }
}

/// Guards against answers that are lost or assigned to another subrequest, and against too many
/// connections: two slots and two spare ones suffice.
#[tokio::test]
async fn every_subrequest_gets_its_own_answer() {
    let fake = Fake::open().await;
    let gateway = gateway(&fake).await;
    for round in 0..20 {
        let frames = offer(&gateway, batch(&format!("r-{round}"), 4, PATIENCE)).await;
        assert_eq!(frames.len(), 4);
        for (number, frame) in frames.iter().enumerate() {
            let Outcome::Answer {
                request, attempt, ..
            } = &frame.outcome
            else {
                panic!("{frame:?}");
            };
            assert_eq!(request, &format!("r-{round}"));
            assert_eq!((frame.subrequest, *attempt), (number as u32, number as u32));
        }
    }
    assert!(fake.most_running.load(Ordering::SeqCst) <= 2);
    assert!(fake.connections.load(Ordering::SeqCst) <= 4);
    gateway.close().await;
}

/// Guards against a wrong claim of "not run", or of "may have run", for each kind of failure.
#[rstest]
#[case(Script::Status(429), Reason::Shed)]
#[case(Script::Status(503), Reason::Draining)]
#[case(Script::Status(410), Reason::VersionGone)]
#[case(Script::Status(408), Reason::Expired)]
#[case(Script::Status(500), Reason::TargetError)]
#[case(Script::Hangup, Reason::ConnectionLost)]
#[case(Script::Mismatch, Reason::MismatchedAnswer)]
#[tokio::test]
async fn failures_have_their_reason(#[case] script: Script, #[case] reason: Reason) {
    let fake = Fake::open().await;
    let gateway = gateway(&fake).await;
    fake.play(script);
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(
        frames.iter().map(failure).collect::<Vec<_>>(),
        [Some(reason)]
    );
    assert_eq!(fake.searches.load(Ordering::SeqCst), 1);
}

/// A node as its peers see it: only scatters and an echo.
struct Node(Gateway);

impl Service for Node {
    type BatchGuard = Offered;

    async fn call(&self, path: &str, body: Bytes) -> Result<Bytes, StatusCode> {
        match path {
            "/peer/echo" => Ok(body),
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    fn scatter(&self, batch: Batch, reply: mpsc::UnboundedSender<Frame>) -> Offered {
        self.0.offer(batch, &reply)
    }
}

async fn node(fake: &Fake) -> peer::Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    peer::serve(listener, Arc::new(Node(gateway(fake).await))).unwrap()
}

/// Guards against frames that are lost or damaged between nodes.
#[tokio::test]
async fn a_scatter_streams_all_frames() {
    let fake = Fake::open().await;
    let server = node(&fake).await;
    let peers = Peers::new();
    let mut frames = peers
        .scatter(server.address(), &batch("r", 8, PATIENCE), PATIENCE)
        .await
        .unwrap();
    let mut subrequests = Vec::new();
    while let Some(frame) = frames.next().await {
        let frame = frame.unwrap();
        assert_eq!(failure(&frame), None);
        subrequests.push(frame.subrequest);
    }
    subrequests.sort_unstable();
    assert_eq!(subrequests, (0..8).collect::<Vec<_>>());
    server.close().await;
}

/// Guards against work that goes on for a coordinator that has given up.
#[tokio::test]
async fn dropping_a_scatter_cancels_it() {
    let fake = Fake::open().await;
    fake.play(Script::Hold);
    let server = node(&fake).await;
    let peers = Peers::new();
    let frames = peers
        .scatter(server.address(), &batch("r", 2, PATIENCE), PATIENCE)
        .await
        .unwrap();
    eventually("a search runs", || fake.running.load(Ordering::SeqCst) == 1).await;
    drop(frames);
    eventually("it is cancelled", || {
        fake.cancels.load(Ordering::SeqCst) >= 1
    })
    .await;
}

/// Guards against a call that is repeated although the peer may have handled it, and the reverse.
#[tokio::test]
async fn errors_tell_what_was_not_sent() {
    let fake = Fake::open().await;
    let server = node(&fake).await;
    let peers = Peers::new();
    let address = server.address();
    let echo = peers.call(address, "/peer/echo", &7_u32, PATIENCE).await;
    assert_eq!(echo.ok(), Some(7_u32));
    let missing = peers
        .call::<_, u32>(address, "/peer/none", &7_u32, PATIENCE)
        .await;
    assert!(matches!(
        missing,
        Err(peer::Error::Status(StatusCode::NOT_FOUND))
    ));
    server.close().await;
    let closed = peers
        .call::<_, u32>(address, "/peer/echo", &7_u32, PATIENCE)
        .await;
    assert!(closed.is_err_and(|error| error.not_sent()));
}

/// Guards against a dispatch under an old ownership after the new one was reported to peers: a permit
/// alone must not end a suspension.
#[tokio::test]
async fn a_suspension_ends_only_with_the_new_ownership() {
    let fake = Fake::open().await;
    let gateway = gateway(&fake).await;
    gateway.suspend();
    gateway.permit(Moment::NEVER);
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), Some(Reason::NoPermit));
    assert_eq!(fake.searches.load(Ordering::SeqCst), 0);
    gateway.own(vec![owned(&fake)]).await.unwrap();
    let frames = offer(&gateway, batch("s", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), None);
    assert_eq!(fake.searches.load(Ordering::SeqCst), 1);
}

/// Guards against dispatching without a permit, before the moment of ownership, and out of service.
#[tokio::test]
async fn nothing_is_dispatched_without_a_right_to() {
    let fake = Fake::open().await;
    let gateway = gateway(&fake).await;
    let mut target = owned(&fake);
    gateway.permit(Moment::ZERO);
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), Some(Reason::NoPermit));
    gateway.permit(Moment::NEVER);
    target.valid_from = Moment::NEVER;
    gateway.own(vec![target.clone()]).await.unwrap();
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), Some(Reason::NoPermit));
    target.valid_from = Moment::ZERO;
    target.in_service = false;
    gateway.own(vec![target]).await.unwrap();
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), Some(Reason::OutOfService));
    gateway.own(Vec::new()).await.unwrap();
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), Some(Reason::NotOwner));
    assert_eq!(fake.searches.load(Ordering::SeqCst), 0);
}

/// Guards against a running search that a loss of ownership interrupts, and against a second actor
/// that does not know which slots it occupies.
#[tokio::test]
async fn running_work_survives_a_loss_of_ownership() {
    let fake = Fake::open().await;
    fake.play(Script::Hold);
    let gateway = gateway(&fake).await;
    let (reply, mut frames) = mpsc::unbounded_channel();
    let _offered = gateway.offer(batch("r", 2, PATIENCE), &reply);
    eventually("a search runs", || fake.running.load(Ordering::SeqCst) == 1).await;
    gateway.own(Vec::new()).await.unwrap();
    let refused = frames.recv().await.unwrap();
    assert_eq!(failure(&refused), Some(Reason::NotOwner));
    gateway.own(vec![owned(&fake)]).await.unwrap();
    let _second = gateway.offer(batch("r2", 1, PATIENCE), &reply);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(fake.most_running.load(Ordering::SeqCst), 1);
    fake.play(Script::Answer);
    fake.release();
    for _ in 0..2 {
        assert_eq!(failure(&frames.recv().await.unwrap()), None);
    }
}

fn limit(gateway: &Gateway) -> u16 {
    gateway
        .summaries(0)
        .0
        .first()
        .map_or(0, |summary| summary.load.limit)
}

async fn warm(gateway: &Gateway) {
    let mut round = 0;
    while limit(gateway) < 2 {
        round += 1;
        offer(gateway, batch(&format!("warm-{round}"), 1, PATIENCE)).await;
    }
}

/// Guards against a lost search, and against full load, after a target closed its idle connections.
#[tokio::test]
async fn closed_connections_are_replaced_without_loss() {
    let fake = Fake::open().await;
    let gateway = gateway(&fake).await;
    warm(&gateway).await;
    fake.cut();
    eventually("the target is suspect", || limit(&gateway) == 1).await;
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), None);
    assert_eq!(frames[0].load.limit, 1);
}

/// Guards against full load on a target that was restarted without a warning.
#[tokio::test]
async fn a_new_generation_is_cold() {
    let fake = Fake::open().await;
    let gateway = gateway(&fake).await;
    warm(&gateway).await;
    fake.generation.store(2, Ordering::SeqCst);
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(frames[0].load.limit, 1);
}

/// Guards against a wrong "may have run" while a target is down, and against a target that stays
/// unusable when it is back.
#[tokio::test]
async fn a_refused_connection_is_not_sent() {
    let (fake, accept) = Fake::bind("127.0.0.1:0".parse().unwrap()).await;
    let gateway = gateway(&fake).await;
    warm(&gateway).await;
    let usable = || gateway.summaries(0).0[0].usable;
    assert!(usable());
    accept.abort();
    eventually("the listener is closed", || accept.is_finished()).await;
    fake.cut();
    eventually("the target is reported as unusable", || !usable()).await;
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), Some(Reason::NotSent));
    let (fake, _accept) = Fake::bind(fake.address).await;
    eventually("the target is usable again", usable).await;
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), None);
    assert_eq!(fake.searches.load(Ordering::SeqCst), 1);
}

/// Guards against a caller that waits beyond its deadline, and against a search that nobody cancels.
#[tokio::test]
async fn a_search_that_hangs_times_out_and_is_cancelled() {
    let fake = Fake::open().await;
    fake.play(Script::Hold);
    let gateway = gateway(&fake).await;
    let frames = offer(&gateway, batch("r", 1, Duration::from_millis(100))).await;
    assert_eq!(failure(&frames[0]), Some(Reason::Timeout));
    eventually("it is cancelled", || {
        fake.cancels.load(Ordering::SeqCst) == 1
    })
    .await;
    fake.play(Script::Answer);
    let frames = offer(&gateway, batch("r2", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), None);
}

/// Guards against nodes that do not learn what a target holds or that it is draining, and against
/// reports of what has not changed.
#[tokio::test]
async fn summaries_report_changes() {
    let fake = Fake::open().await;
    let gateway = gateway(&fake).await;
    eventually("the target is reported with its holdings", || {
        let summaries = gateway.summaries(0).0;
        let mut reported = summaries.iter();
        reported.any(|summary| summary.usable && !summary.holdings.is_empty())
    })
    .await;
    let (summaries, mark) = gateway.summaries(0);
    assert_eq!(summaries[0].holdings[0].shards, 20);
    assert_eq!(gateway.summaries(mark).0, []);
    fake.serving.store(false, Ordering::SeqCst);
    eventually("draining is reported", || {
        gateway
            .summaries(mark)
            .0
            .iter()
            .any(|summary| !summary.usable)
    })
    .await;
    let frames = offer(&gateway, batch("r", 1, PATIENCE)).await;
    assert_eq!(failure(&frames[0]), Some(Reason::Draining));
    // A mark of an earlier run of the node must not hide anything.
    assert_eq!(gateway.summaries(u64::MAX).0.len(), 1);
}

/// Guards against a peer connection that ends because many batches were cancelled.
#[tokio::test]
async fn many_cancelled_batches_leave_the_connection_open() {
    let fake = Fake::open().await;
    fake.play(Script::Hold);
    let server = node(&fake).await;
    let (peers, address) = (Peers::new(), server.address());
    let kept = peers
        .scatter(address, &batch("kept", 1, PATIENCE), PATIENCE)
        .await;
    let mut kept = kept.unwrap();
    eventually("a search runs", || fake.running.load(Ordering::SeqCst) == 1).await;
    for round in 0..300 {
        let batch = batch(&format!("r-{round}"), 1, PATIENCE);
        drop(peers.scatter(address, &batch, PATIENCE).await.unwrap());
    }
    fake.release();
    assert_eq!(failure(&kept.next().await.unwrap().unwrap()), None);
}

/// Guards against a call that waits without end for a frozen peer, and against a wrong "not sent".
#[tokio::test]
async fn a_silent_peer_times_out() {
    let fake = Fake::open().await;
    fake.play(Script::Hold);
    let server = node(&fake).await;
    let batch = batch("r", 1, PATIENCE);
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

/// Guards against a node whose memory one peer can fill.
#[tokio::test]
async fn a_body_above_the_limit_is_refused() {
    let fake = Fake::open().await;
    let server = node(&fake).await;
    let body = vec![0_u32; peer::BODY_MAX_BYTES];
    let call = Peers::new()
        .call::<_, u32>(server.address(), "/peer/echo", &body, PATIENCE)
        .await;
    assert!(matches!(
        call,
        Err(peer::Error::Status(StatusCode::PAYLOAD_TOO_LARGE))
    ));
}

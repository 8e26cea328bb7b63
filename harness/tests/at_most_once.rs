//! P6 and P7: non-idempotent requests whose answer is lost between target, gateway, coordinator and caller.
//!
//! Whatever the caller is told, the targets' journal must show at most one start of the request. Each answer
//! must be the complete first answer, and "not run" must mean that the request did not start.

use std::net::SocketAddr;
use std::time::Duration;

use redwinggrade_demo::fixture::{Fixture, Layout, ORDERS_INDEX, Order, Reply};
use rstest::rstest;
use serde_json::json;
use standins::process::Signal;

/// Cold targets are as fast as warm ones, so that slowed requests end well before their deadline.
const LAYOUT: Layout = Layout {
    cold_factor: 1.0,
    ..Layout::ONE_CELL
};
/// Makes requests run for about a second, so that a fault occurs while they run.
const SLOWDOWN_FACTOR: f64 = 300.0;
/// The number of orders after which a test stops waiting for one to run at another gateway.
const MAX_ORDERS: usize = 60;
/// The time between two orders, so that each is routed with knowledge of those before it.
const ORDER_INTERVAL: Duration = Duration::from_millis(40);

/// The time that a caller waits for a reply; longer than the deadline of its request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(7);

/// An order and the task that waits for the reply to it.
type SentOrder = (Order, tokio::task::JoinHandle<Option<Reply>>);

/// Checks the replies to one request against each other and the targets' journal; returns the number of
/// starts.
async fn check_replies(
    fixture: &Fixture,
    order: &Order,
    replies: &[Option<Reply>],
) -> anyhow::Result<usize> {
    let starts = fixture.count_starts(&order.id).await?;
    anyhow::ensure!(starts <= 1, "request {} started {starts} times", order.id);
    let replies: Vec<&Reply> = replies.iter().flatten().collect();
    let answers: Vec<&&Reply> = replies.iter().filter(|reply| reply.is_answer()).collect();
    for answer in &answers {
        anyhow::ensure!(
            starts == 1,
            "answer to a request that did not start: {answer:?}"
        );
        anyhow::ensure!(
            answer == &answers[0],
            "two different answers to request {}",
            order.id
        );
        let expected_hits = standins::target::expected_hits(1, 0, order.body.as_bytes());
        let hits = answer.body["hits"].as_array().map_or(0, Vec::len);
        anyhow::ensure!(hits == expected_hits.len(), "incomplete answer: {answer:?}");
        for expected_hit in &expected_hits {
            let found = answer.body["hits"]
                .as_array()
                .is_some_and(|hits| hits.iter().any(|hit| hit["id"] == json!(expected_hit.id)));
            anyhow::ensure!(
                found,
                "answer lacks an expected hit, so it belongs to another request: {answer:?}"
            );
        }
    }
    for reply in replies {
        anyhow::ensure!(
            !(reply.not_run() && starts > 0),
            "reply says \"not run\" for a request that started: {reply:?}"
        );
    }
    Ok(starts)
}

/// Sends slowed orders to the first node until one runs at a target whose gateway is another node; returns
/// all orders sent, and the number of that node.
async fn occupy_other_gateway(fixture: &Fixture) -> anyhow::Result<(Vec<SentOrder>, usize)> {
    fixture
        .command_order_targets(&json!({"slow_factor": SLOWDOWN_FACTOR}))
        .await?;
    let address = fixture.fleet.nodes[0].caller;
    let mut orders = Vec::new();
    while orders.len() < MAX_ORDERS {
        let order = fixture
            .new_order(0, &format!("order {}", orders.len()))
            .await?;
        let sent = order.clone();
        let task = tokio::spawn(async move { sent.send(address).await });
        orders.push((order, task));
        tokio::time::sleep(ORDER_INTERVAL).await;
        let busy_targets = fixture.running_targets(ORDERS_INDEX.name).await?;
        let mut gateways = busy_targets
            .iter()
            .filter_map(|target| fixture.gateway_of(target));
        if let Some(gateway) = gateways.find(|gateway| *gateway != 0) {
            return Ok((orders, gateway));
        }
    }
    anyhow::bail!("none of {MAX_ORDERS} orders ran at a target whose gateway is another node")
}

/// The node that fails while requests run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailingNode {
    /// The node that issued the request ids and coordinates the requests.
    Issuer,
    /// The node that sends the request to the target.
    Gateway,
}

/// Guards against a second start of a request after the coordinator or the gateway is killed, or frozen past
/// the deadline, while the request runs, and then comes back.
///
/// A request that was answered with "not run" is not sent again, so that any start of it shows a false
/// "not run".
#[rstest]
#[case::gateway_killed(FailingNode::Gateway, Signal::Kill)]
#[case::issuer_killed(FailingNode::Issuer, Signal::Kill)]
#[case::gateway_frozen(FailingNode::Gateway, Signal::Stop)]
#[case::issuer_frozen(FailingNode::Issuer, Signal::Stop)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn node_failure_during_work_starts_order_at_most_once(
    #[case] failing_node: FailingNode,
    #[case] signal: Signal,
) -> anyhow::Result<()> {
    let mut fixture = Fixture::start(LAYOUT).await?;
    let (orders, gateway) = occupy_other_gateway(&fixture).await?;
    let failing_number = if failing_node == FailingNode::Issuer {
        0
    } else {
        gateway
    };
    match signal {
        Signal::Kill => fixture.fleet.kill_node(failing_number)?,
        _ => fixture.fleet.signal_node(failing_number, signal)?,
    }
    // Callers of a frozen node get no reply, so they stop waiting after `CALLER_TIMEOUT`.
    let caller_gives_up_at = tokio::time::Instant::now() + CALLER_TIMEOUT;
    let mut unanswered = 0;
    let mut orders_with_replies = Vec::new();
    for (order, task) in orders {
        let first = tokio::time::timeout_at(caller_gives_up_at, task).await;
        let first = first.ok().and_then(Result::ok).flatten();
        let answered = first.as_ref().is_some_and(Reply::is_answer);
        unanswered += usize::from(!answered && fixture.count_starts(&order.id).await? == 1);
        orders_with_replies.push((order, vec![first]));
    }
    assert!(
        unanswered > 0,
        "no request was running when the node failed"
    );
    let other = fixture.fleet.nodes[if gateway == 1 { 2 } else { 1 }].caller;
    resend(&mut orders_with_replies, other).await?;
    match signal {
        Signal::Kill => fixture.fleet.restart_node(failing_number)?,
        _ => fixture
            .fleet
            .signal_node(failing_number, Signal::Continue)?,
    }
    fixture
        .command_order_targets(&json!({"restore": true}))
        .await?;
    fixture.fleet.wait_for_members("dc1-0", 3).await?;
    fixture.fleet.wait_for_permits().await?;
    fixture.wait_until_complete().await?;
    let issuer = fixture.fleet.nodes[0].caller;
    resend(&mut orders_with_replies, issuer).await?;
    for (order, replies) in &orders_with_replies {
        check_replies(&fixture, order, replies).await?;
    }
    Ok(())
}

/// Sends all orders again concurrently, except those that were answered with "not run".
async fn resend(
    orders_with_replies: &mut [(Order, Vec<Option<Reply>>)],
    node: SocketAddr,
) -> anyhow::Result<()> {
    let mut tasks = Vec::new();
    for (order, replies) in orders_with_replies.iter_mut() {
        if replies.iter().flatten().any(Reply::not_run) {
            continue;
        }
        let order = order.clone();
        let task = tokio::spawn(async move { order.send(node).await });
        tasks.push((replies, task));
    }
    for (replies, task) in tasks {
        replies.push(task.await?);
    }
    Ok(())
}

/// Guards against a second start, or a made-up answer, after the answer is lost between target and gateway:
/// the outcome must stay unknown to callers at every node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_target_answer_leaves_outcome_unknown() -> anyhow::Result<()> {
    let fixture = Fixture::start(LAYOUT).await?;
    fixture
        .command_order_targets(&json!({"lose_answers": 1}))
        .await?;
    let order = fixture.new_order(0, "lost").await?;
    let mut replies = Vec::new();
    for node in [0, 1, 2, 0] {
        replies.push(order.send(fixture.fleet.nodes[node].caller).await);
    }
    assert_eq!(check_replies(&fixture, &order, &replies).await?, 1);
    for reply in replies.iter().flatten() {
        assert!(
            !reply.is_answer(),
            "the only answer was lost, but a node replied {reply:?}"
        );
    }
    Ok(())
}

/// Guards against a second start when a caller sends one request to all nodes concurrently, and again after
/// it was answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn same_id_sent_to_every_node_starts_once() -> anyhow::Result<()> {
    let fixture = Fixture::start(LAYOUT).await?;
    fixture
        .command_order_targets(&json!({"slow_factor": SLOWDOWN_FACTOR}))
        .await?;
    let order = fixture.new_order(0, "once").await?;
    let tasks: Vec<_> = [0, 1, 2, 1, 2, 0]
        .map(|node| (fixture.fleet.nodes[node].caller, order.clone()))
        .into_iter()
        .map(|(node, order)| tokio::spawn(async move { order.send(node).await }))
        .collect();
    let mut replies = Vec::new();
    for task in tasks {
        replies.push(task.await?);
    }
    let last = order.send(fixture.fleet.nodes[2].caller).await;
    assert!(
        last.as_ref().is_some_and(Reply::is_answer),
        "expected the answer, found {last:?}"
    );
    replies.push(last);
    assert_eq!(check_replies(&fixture, &order, &replies).await?, 1);
    Ok(())
}

/// Guards against running a request whose id was used with another body. The refusal must not say "not run",
/// because the first request with that id ran.
#[rstest]
#[case::at_the_issuer(0)]
#[case::at_another_node(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejects_reused_id_with_different_body(#[case] node: usize) -> anyhow::Result<()> {
    let fixture = Fixture::start(LAYOUT).await?;
    let order = fixture.new_order(0, "first").await?;
    let first = order.send(fixture.fleet.nodes[0].caller).await;
    let other = Order {
        body: "second".to_owned(),
        ..order.clone()
    };
    let second = other.send(fixture.fleet.nodes[node].caller).await;
    let second = second.expect("the node did not reply");
    assert_eq!(second.reason(), "reused_request_id");
    assert!(
        !second.not_run(),
        "the id was used, but the refusal says \"not run\": {second:?}"
    );
    assert_eq!(check_replies(&fixture, &order, &[first]).await?, 1);
    Ok(())
}

/// Guards against running a request whose id was not issued by any node.
#[rstest]
#[case::at_the_issuer(0)]
#[case::at_another_node(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejects_forged_request_id(#[case] node: usize) -> anyhow::Result<()> {
    let fixture = Fixture::start(LAYOUT).await?;
    let order = fixture.new_order(0, "forged").await?;
    let (session, sequence) = order
        .id
        .rsplit_once('-')
        .expect("request id has no sequence number");
    let last = if session.ends_with('0') { "1" } else { "0" };
    let forged = Order {
        id: format!("{}{last}-{sequence}", &session[..session.len() - 1]),
        ..order.clone()
    };
    let reply = forged.send(fixture.fleet.nodes[node].caller).await;
    let reply = reply.expect("the node did not reply");
    assert_eq!(reply.reason(), "bad_request_id", "{reply:?}");
    assert_eq!(check_replies(&fixture, &forged, &[Some(reply)]).await?, 0);
    Ok(())
}

//! P6 and P7 for requests that must run at most once, when an answer is lost on any part of its way.
//!
//! Whatever a caller is told, the journal shows at most one start; an answer is the whole first answer;
//! "not run" means no start.

use std::net::SocketAddr;
use std::time::Duration;

use redwinggrade_demo::fixture::{Fixture, Layout, ORDERS_INDEX, Order, Reply};
use rstest::rstest;
use serde_json::json;
use standins::process::Signal;

/// Cold targets are as fast as warm ones, so that slow work ends well before its deadline.
const LAYOUT: Layout = Layout {
    cold_factor: 1.0,
    ..Layout::ONE_CELL
};
/// Makes work last about a second, so that a fault meets it while it runs.
const SLOWDOWN_FACTOR: f64 = 300.0;
/// Orders after which a test gives up waiting for work at another gateway.
const MAX_ORDERS: usize = 60;
/// The time between two orders, so that each is placed with a view of those before it.
const ORDER_INTERVAL: Duration = Duration::from_millis(40);

/// How long a caller waits; longer than the deadline of its request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(7);

/// An order and the reply to it.
type SentOrder = (Order, tokio::task::JoinHandle<Option<Reply>>);

/// Fails unless the replies to one request are true and agree, and returns the number of starts.
async fn check_replies(
    fixture: &Fixture,
    order: &Order,
    replies: &[Option<Reply>],
) -> anyhow::Result<usize> {
    let starts = fixture.count_starts(&order.id).await?;
    anyhow::ensure!(starts <= 1, "{} started {starts} times", order.id);
    let replies: Vec<&Reply> = replies.iter().flatten().collect();
    let answers: Vec<&&Reply> = replies.iter().filter(|reply| reply.is_answer()).collect();
    for answer in &answers {
        anyhow::ensure!(starts == 1, "an answer without a start: {answer:?}");
        anyhow::ensure!(answer == &answers[0], "two answers to {}", order.id);
        let right = standins::target::expected(1, 0, order.body.as_bytes());
        let hits = answer.body["hits"].as_array().map_or(0, Vec::len);
        anyhow::ensure!(hits == right.len(), "not the whole answer: {answer:?}");
        for expected_hit in &right {
            let found = answer.body["hits"]
                .as_array()
                .is_some_and(|hits| hits.iter().any(|hit| hit["id"] == json!(expected_hit.id)));
            anyhow::ensure!(found, "another request's answer: {answer:?}");
        }
    }
    for reply in replies {
        anyhow::ensure!(
            !(reply.not_run() && starts > 0),
            "\"not run\" for a request that ran: {reply:?}"
        );
    }
    Ok(starts)
}

/// Sends orders to the first node until a target of another gateway runs one, and returns all that were
/// sent, with the number of that gateway.
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
        let busy = fixture.running_targets(ORDERS_INDEX.name).await?;
        let mut gateways = busy.iter().filter_map(|target| fixture.gateway_of(target));
        if let Some(gateway) = gateways.find(|gateway| *gateway != 0) {
            return Ok((orders, gateway));
        }
    }
    anyhow::bail!("{MAX_ORDERS} orders never ran at a target of another gateway")
}

/// What fails while work runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailingNode {
    /// The node that issued the ids and coordinates.
    Issuer,
    /// The node that sends to the target.
    Gateway,
}

/// A node is killed, or frozen past the deadline, while work runs, and comes back.
///
/// An id that was told "not run" is not sent again, so that any start of it is a false "not run".
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
    let failing = if failing_node == FailingNode::Issuer {
        0
    } else {
        gateway
    };
    match signal {
        Signal::Kill => fixture.fleet.kill_node(failing)?,
        _ => fixture.fleet.signal_node(failing, signal)?,
    }
    // A frozen node leaves its callers without an answer, so they give up.
    let give_up = tokio::time::Instant::now() + CALLER_TIMEOUT;
    let mut unanswered = 0;
    let mut seen = Vec::new();
    for (order, task) in orders {
        let first = tokio::time::timeout_at(give_up, task).await;
        let first = first.ok().and_then(Result::ok).flatten();
        let answered = first.as_ref().is_some_and(Reply::is_answer);
        unanswered += usize::from(!answered && fixture.count_starts(&order.id).await? == 1);
        seen.push((order, vec![first]));
    }
    assert!(unanswered > 0, "the fault met no work");
    let other = fixture.fleet.nodes[if gateway == 1 { 2 } else { 1 }].caller;
    resend(&mut seen, other).await?;
    match signal {
        Signal::Kill => fixture.fleet.restart_node(failing)?,
        _ => fixture.fleet.signal_node(failing, Signal::Continue)?,
    }
    fixture
        .command_order_targets(&json!({"restore": true}))
        .await?;
    fixture.fleet.wait_for_members("dc1-0", 3).await?;
    fixture.fleet.wait_for_permits().await?;
    fixture.wait_until_complete().await?;
    let issuer = fixture.fleet.nodes[0].caller;
    resend(&mut seen, issuer).await?;
    for (order, replies) in &seen {
        check_replies(&fixture, order, replies).await?;
    }
    Ok(())
}

/// Sends ids again, all at once, except those that were told "not run".
async fn resend(seen: &mut [(Order, Vec<Option<Reply>>)], node: SocketAddr) -> anyhow::Result<()> {
    let mut tasks = Vec::new();
    for (order, replies) in seen.iter_mut() {
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

/// The answer is lost between target and gateway: the outcome is unknown and stays so.
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
        assert!(!reply.is_answer(), "no answer exists, but {reply:?}");
    }
    Ok(())
}

/// A caller sends one id to all nodes at once and again later: one start, one answer.
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
    assert!(last.as_ref().is_some_and(Reply::is_answer), "{last:?}");
    replies.push(last);
    assert_eq!(check_replies(&fixture, &order, &replies).await?, 1);
    Ok(())
}

/// An id that another body used is refused, and "not run" is not claimed, because the first ran.
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
    let second = second.expect("the node answers");
    assert_eq!(second.reason(), "reused_request_id");
    assert!(!second.not_run(), "{second:?}");
    assert_eq!(check_replies(&fixture, &order, &[first]).await?, 1);
    Ok(())
}

/// An id that no node issued starts nothing.
#[rstest]
#[case::at_the_issuer(0)]
#[case::at_another_node(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejects_forged_request_id(#[case] node: usize) -> anyhow::Result<()> {
    let fixture = Fixture::start(LAYOUT).await?;
    let order = fixture.new_order(0, "forged").await?;
    let (session, sequence) = order.id.rsplit_once('-').expect("an id has a sequence");
    let last = if session.ends_with('0') { "1" } else { "0" };
    let forged = Order {
        id: format!("{}{last}-{sequence}", &session[..session.len() - 1]),
        ..order.clone()
    };
    let reply = forged.send(fixture.fleet.nodes[node].caller).await;
    let reply = reply.expect("the node answers");
    assert_eq!(reply.reason(), "bad_request_id", "{reply:?}");
    assert_eq!(check_replies(&fixture, &forged, &[Some(reply)]).await?, 0);
    Ok(())
}

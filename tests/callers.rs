//! Tests the server for callers with invalid requests: each refusal names its reason and states that
//! the request did not run, and no such request reaches the handler.

mod http;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use redwinggrade::connection::caller::{self, BODY_MAX_BYTES, Handler};
use redwinggrade::connection::memory::Budget;
use redwinggrade::connection::server::Server;
use redwinggrade::request::answer::{Answer, Coverage, Extra, Refusal};
use redwinggrade::request::query_request::QueryRequest;
use redwinggrade::time::Clock;
use redwinggrade::wire::Version;
use redwinggrade::wire::run::Reply;
use rstest::rstest;
use tokio::net::TcpListener;

/// A handler that counts the queries and answers each one with the length of its body.
#[derive(Debug, Default)]
struct CountingHandler {
    queries: AtomicU64,
    closing: bool,
}

impl Handler for CountingHandler {
    fn addresses(&self) -> Reply {
        Reply {
            status: 200,
            body: "{}".into(),
        }
    }

    async fn query(&self, query: QueryRequest) -> Reply {
        self.queries.fetch_add(1, Ordering::Relaxed);
        let coverage = Coverage {
            answered: 1,
            total: query.body.len() as u32,
        };
        let snapshot = Version(7);
        Answer {
            snapshot,
            coverage,
            complete: true,
            hits: vec![],
            attempts: 1,
            extra: Extra::default(),
        }
        .reply()
    }

    fn refuse(&self, refusal: Refusal) -> Reply {
        refusal.reply()
    }

    fn closing(&self) -> bool {
        self.closing
    }
}

async fn serve(handler: CountingHandler) -> (Server, Arc<CountingHandler>) {
    let handler = Arc::new(handler);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port exists");
    (
        caller::spawn(
            listener,
            Budget::unlimited(),
            Clock::start(),
            Arc::clone(&handler),
        )
        .expect("the listener is bound"),
        handler,
    )
}

#[rstest]
#[case::unknown_path("GET /v2/x HTTP/1.1\r\n\r\n", "400", "bad_request")]
#[case::get_query("GET /v1/query/a/b HTTP/1.1\r\n\r\n", "400", "bad_request")]
#[case::post_addresses(
    "POST /v1/addresses HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
    "400",
    "bad_request"
)]
#[case::missing_kind(
    "POST /v1/query/a HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
    "400",
    "bad_request"
)]
#[case::empty_index(
    "POST /v1/query//b HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
    "400",
    "bad_request"
)]
#[case::zero_deadline(
    "POST /v1/query/a/b HTTP/1.1\r\ndeadline-ms: 0\r\ncontent-length: 0\r\n\r\n",
    "400",
    "bad_deadline"
)]
#[case::deadline_above_maximum(
    "POST /v1/query/a/b HTTP/1.1\r\ndeadline-ms: 60001\r\ncontent-length: 0\r\n\r\n",
    "400",
    "bad_deadline"
)]
#[case::non_numeric_deadline(
    "POST /v1/query/a/b HTTP/1.1\r\ndeadline-ms: soon\r\ncontent-length: 0\r\n\r\n",
    "400",
    "bad_deadline"
)]
#[case::unsupported_content_type(
    "POST /v1/query/a/b HTTP/1.1\r\ncontent-type: text/html\r\ncontent-length: 0\r\n\r\n",
    "415",
    "bad_content_type"
)]
#[case::empty_request_id(
    "POST /v1/query/a/b HTTP/1.1\r\nrequest-id: \r\ncontent-length: 0\r\n\r\n",
    "400",
    "bad_request_id"
)]
#[tokio::test]
async fn refuses_invalid_request_as_not_run(
    #[case] request: &str,
    #[case] status: &str,
    #[case] reason: &str,
) {
    let (server, handler) = serve(CountingHandler::default()).await;
    let answer = http::send_raw(server.address(), request.as_bytes(), "}").await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(
        answer.contains(&format!("\"reason\":\"{reason}\"")),
        "{answer}"
    );
    assert!(answer.contains("\"not_run\":true"), "{answer}");
    assert_eq!(handler.queries.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn refuses_oversized_body() {
    let (server, handler) = serve(CountingHandler::default()).await;
    let length = BODY_MAX_BYTES + 1;
    let mut request =
        format!("POST /v1/query/a/b HTTP/1.1\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    request.resize(request.len() + length, b'x');
    let answer = http::send_raw(server.address(), &request, "}").await;
    assert!(answer.contains("\"reason\":\"body_too_large\""), "{answer}");
    assert_eq!(handler.queries.load(Ordering::Relaxed), 0);
}

/// Guards against an incomplete body that starts work or keeps its connection open without limit.
#[tokio::test]
async fn refuses_body_that_does_not_arrive_in_time() {
    let (server, handler) = serve(CountingHandler::default()).await;
    let request = b"POST /v1/query/a/b HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf";
    let answer = http::send_raw(server.address(), request, "}").await;
    assert!(answer.contains("\"reason\":\"slow_body\""), "{answer}");
    assert_eq!(handler.queries.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn answers_valid_query() {
    let (server, handler) = serve(CountingHandler::default()).await;
    let request = b"POST /v1/query/a/b HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc";
    let answer = http::send_raw(server.address(), request, "}}").await;
    assert!(answer.contains("\"snapshot\":7"), "{answer}");
    assert!(answer.contains("\"total\":3"), "{answer}");
    assert_eq!(handler.queries.load(Ordering::Relaxed), 1);
}

/// Guards against a stopping node that keeps connections open: a request that a caller sends on one
/// while the node closes it would be lost.
#[tokio::test]
async fn stopping_server_asks_callers_to_close_connections() {
    let (server, _handler) = serve(CountingHandler {
        closing: true,
        ..CountingHandler::default()
    })
    .await;
    let request = b"POST /v1/query/a/b HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc";
    let answer = http::send_raw(server.address(), request, "}}").await;
    assert!(answer.contains("connection: close"), "{answer}");
}

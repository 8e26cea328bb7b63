//! Guards the callers' interface against bad input: every refusal is clear, says "not run", and no
//! request reaches the handler.

mod http;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use redwinggrade::connection::caller::{self, BODY_MAX_BYTES, Handler};
use redwinggrade::connection::server::Server;
use redwinggrade::request::answer::{Answer, Coverage, Extra, Refusal};
use redwinggrade::request::ask::Ask;
use redwinggrade::wire::Version;
use redwinggrade::wire::run::Reply;
use rstest::rstest;
use tokio::net::TcpListener;

#[derive(Debug, Default)]
struct Echo {
    queries: AtomicU64,
    closing: bool,
}

impl Handler for Echo {
    fn addresses(&self) -> Reply {
        Reply {
            status: 200,
            body: "{}".into(),
        }
    }

    async fn query(&self, ask: Ask) -> Reply {
        self.queries.fetch_add(1, Ordering::Relaxed);
        let coverage = Coverage {
            answered: 1,
            total: ask.body.len() as u32,
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

async fn serve(handler: Echo) -> (Server, Arc<Echo>) {
    let handler = Arc::new(handler);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port exists");
    (
        caller::spawn(listener, Arc::clone(&handler)).expect("the listener is bound"),
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
#[case::no_kind(
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
#[case::absurd_deadline(
    "POST /v1/query/a/b HTTP/1.1\r\ndeadline-ms: 60001\r\ncontent-length: 0\r\n\r\n",
    "400",
    "bad_deadline"
)]
#[case::text_deadline(
    "POST /v1/query/a/b HTTP/1.1\r\ndeadline-ms: soon\r\ncontent-length: 0\r\n\r\n",
    "400",
    "bad_deadline"
)]
#[case::content_type(
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
async fn bad_input_is_refused_as_not_run(
    #[case] request: &str,
    #[case] status: &str,
    #[case] reason: &str,
) {
    let (server, handler) = serve(Echo::default()).await;
    let answer = http::raw(server.address(), request.as_bytes(), "}").await;
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
async fn an_oversized_body_is_refused_before_it_is_held() {
    let (server, handler) = serve(Echo::default()).await;
    let length = BODY_MAX_BYTES + 1;
    let mut request =
        format!("POST /v1/query/a/b HTTP/1.1\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    request.resize(request.len() + length, b'x');
    let answer = http::raw(server.address(), &request, "}").await;
    assert!(answer.contains("\"reason\":\"body_too_large\""), "{answer}");
    assert_eq!(handler.queries.load(Ordering::Relaxed), 0);
}

/// Guards against a half-sent body that starts work or holds its connection for ever.
#[tokio::test]
async fn a_body_that_never_ends_is_refused() {
    let (server, handler) = serve(Echo::default()).await;
    let request = b"POST /v1/query/a/b HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf";
    let answer = http::raw(server.address(), request, "}").await;
    assert!(answer.contains("\"reason\":\"slow_body\""), "{answer}");
    assert_eq!(handler.queries.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_good_request_is_answered_whole() {
    let (server, handler) = serve(Echo::default()).await;
    let request = b"POST /v1/query/a/b HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc";
    let answer = http::raw(server.address(), request, "}}").await;
    assert!(answer.contains("\"snapshot\":7"), "{answer}");
    assert!(answer.contains("\"total\":3"), "{answer}");
    assert_eq!(handler.queries.load(Ordering::Relaxed), 1);
}

/// Guards against a stop that cuts the request that a caller sends on a kept connection.
#[tokio::test]
async fn a_closing_server_asks_callers_to_reconnect() {
    let (server, _handler) = serve(Echo {
        closing: true,
        ..Echo::default()
    })
    .await;
    let request = b"POST /v1/query/a/b HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc";
    let answer = http::raw(server.address(), request, "}}").await;
    assert!(answer.contains("connection: close"), "{answer}");
}

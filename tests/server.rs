//! Tests the HTTP server that accepts the requests of callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use redwinggrade::connection::head::Place;
use redwinggrade::connection::memory::{Budget, hold};
use redwinggrade::connection::server::{HEAD_MAX_BYTES, Limits, Server};
use redwinggrade::time::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// The number of connections that the server serves at the same time.
const MAX_CONNECTIONS: usize = 4;

const LIMITS: Limits = Limits {
    idle_timeout: Duration::from_secs(30),
    head_timeout: Duration::from_secs(30),
    head_max_bytes: HEAD_MAX_BYTES,
    max_connections: MAX_CONNECTIONS,
    displaces_bodies: false,
};

/// The time limit of every wait, long enough that only waits that would never end reach it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A server that answers with the place of the request on its connection.
async fn spawn_server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let handler = async |request: Request<Incoming>| {
        let place = request.extensions().get::<Place>();
        Response::new(Full::new(Bytes::from(format!("{place:?}"))))
    };
    let listener = listener.expect("a port is free");
    Server::spawn(listener, || LIMITS, Budget::unlimited(), handler).expect("the server starts")
}

/// Sends a request and returns the end of the answer, which holds its body.
async fn exchange(stream: &mut TcpStream) -> String {
    let request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the server reads");
    let mut answer = [0; 1_024];
    let length = stream.read(&mut answer).await.expect("the server answers");
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    answer.lines().last().unwrap_or_default().to_owned()
}

/// Opens connections until the server answers a request on one, and returns that one.
async fn connect_until_answered(server: &Server) -> TcpStream {
    loop {
        let stream = TcpStream::connect(server.address()).await;
        let mut stream = stream.expect("the system accepts");
        let request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        let mut first = [0; 1];
        if stream.write_all(request.as_bytes()).await.is_ok()
            && stream.read(&mut first).await.is_ok_and(|length| length > 0)
        {
            return stream;
        }
    }
}

/// Guards against a reply margin for a handshake that the caller has not waited for, or the reverse.
#[tokio::test]
async fn tells_first_request_of_connection_from_later_ones() {
    let server = spawn_server().await;
    for _ in 0..2 {
        let mut stream = TcpStream::connect(server.address())
            .await
            .expect("the server accepts");
        assert_eq!(exchange(&mut stream).await, "Some(First)");
        assert_eq!(exchange(&mut stream).await, "Some(Later)");
        assert_eq!(exchange(&mut stream).await, "Some(Later)");
    }
}

/// Guards against callers that wait in the listen queue when the server stops and get no answer.
#[tokio::test]
async fn serves_connection_in_listen_queue_when_it_stops() {
    let server = spawn_server().await;
    let address = server.address();
    // The server does not run between these calls, so the connection stays in the queue.
    let stream = std::net::TcpStream::connect(address).expect("the system accepts");
    stream.set_nonblocking(true).expect("the socket is open");
    std::io::Write::write_all(
        &mut &stream,
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    )
    .expect("the system buffers the request");
    let mut stream = TcpStream::from_std(stream).expect("the socket is valid");
    let mut answer = String::new();
    let ((), read) = tokio::join!(server.close(), stream.read_to_string(&mut answer));
    read.expect("the connection ends after the answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// Guards against callers that take all connections and leave them idle, so that ordinary ones cannot connect.
#[tokio::test]
async fn new_connection_takes_place_of_oldest_without_request() {
    let server = spawn_server().await;
    let connect = || TcpStream::connect(server.address());
    let mut silent = Vec::new();
    for _ in 1..MAX_CONNECTIONS {
        silent.push(connect().await.expect("the server accepts"));
    }
    let mut used = connect().await.expect("the server accepts");
    assert_eq!(exchange(&mut used).await, "Some(First)");
    // A connection that has just been opened may still send its request.
    let _new = timeout(WAIT_TIMEOUT, connect_until_answered(&server))
        .await
        .expect("the new connection is served");
    let closed = timeout(WAIT_TIMEOUT, silent[0].read(&mut [0; 1])).await;
    assert_eq!(closed.expect("the oldest is closed").ok(), Some(0));
    assert_eq!(exchange(&mut used).await, "Some(Later)");
}

/// Guards against answers that are held without end for a caller that does not read them.
#[tokio::test]
async fn closes_connection_whose_answer_is_not_read() {
    /// More than the buffers of the system hold.
    const ANSWER_BYTES: usize = 64 << 20;
    let memory = Budget::open(usize::MAX);
    let answer_memory = memory.clone();
    let limits = Limits {
        idle_timeout: Duration::from_millis(200),
        ..LIMITS
    };
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let handler = move |_request: Request<Incoming>| {
        let answer = hold(Bytes::from(vec![b'a'; ANSWER_BYTES]), &answer_memory);
        std::future::ready(Response::new(Full::new(answer)))
    };
    let listener = listener.expect("a port is free");
    let server = Server::spawn(listener, move || limits, memory.clone(), handler);
    let server = server.expect("the server starts");
    let mut stream = TcpStream::connect(server.address())
        .await
        .expect("the server accepts");
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .expect("the server reads");
    stream.readable().await.expect("the answer begins");
    let released = async {
        while memory.usage().held > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(WAIT_TIMEOUT, released)
        .await
        .expect("the answer is given up");
}

/// Guards against callers that take all connections with bodies that never end.
#[tokio::test]
async fn new_connection_takes_place_of_stalled_body() {
    let memory = Budget::open(1 << 20);
    let limits = Limits {
        displaces_bodies: true,
        ..LIMITS
    };
    let clock = Clock::start();
    let body_memory = memory.clone();
    let handler = move |request: Request<Incoming>| {
        let memory = body_memory.clone();
        async move {
            if request.method() == hyper::Method::POST {
                let mut body = memory.start_body(10, clock.now());
                std::future::poll_fn(|cx| body.poll_displaced(cx)).await;
            }
            Response::new(Full::new(Bytes::from_static(b"done")))
        }
    };
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let server = Server::spawn(listener, move || limits, memory.clone(), handler);
    let server = server.expect("the server starts");
    let mut stalled = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(server.address())
            .await
            .expect("the server accepts");
        stream
            .write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
            .await
            .expect("the server reads");
        stalled.push(stream);
    }
    let _new = timeout(WAIT_TIMEOUT, connect_until_answered(&server))
        .await
        .expect("the new connection is served");
    assert_eq!(memory.usage().displaced_bodies, 1);
}

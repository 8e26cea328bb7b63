//! Tests of the proxy: blocked bytes arrive once the link is open again, and a reset ends both sides.

use std::time::Duration;

use rstest::rstest;
use standins::proxy::{Link, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time to wait for a byte: longer than the loopback interface needs, and short enough for tests that
/// expect none.
const READ_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns a proxy, the caller's and the server's side of a connection through it, and the server's
/// listener.
async fn connect_through_proxy() -> (Proxy, TcpStream, TcpStream, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("free port should be available");
    let address = listener.local_addr().expect("listener should be bound");
    let proxy = Proxy::spawn(address).await.expect("proxy should start");
    let caller = TcpStream::connect(proxy.address())
        .await
        .expect("proxy should listen");
    let (server, _) = listener
        .accept()
        .await
        .expect("proxy should connect to the server");
    (proxy, caller, server, listener)
}

/// Sends a byte and returns whether it arrives in time.
async fn byte_arrives(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"x").await.expect("proxy should read");
    let mut byte = [0];
    let read = tokio::time::timeout(READ_TIMEOUT, to.read_exact(&mut byte)).await;
    read.is_ok_and(|read| read.is_ok())
}

/// Fails if a blocked direction passes bytes, if the other one does not, or if blocked bytes are lost.
#[rstest]
#[case::requests_blocked(Link::BlockRequests, false, true)]
#[case::responses_blocked(Link::BlockResponses, true, false)]
#[case::both_blocked(Link::BlockAll, false, false)]
#[case::delayed(Link::Delayed(READ_TIMEOUT / 10), true, true)]
#[tokio::test]
async fn blocked_bytes_arrive_once_link_is_open(
    #[case] link: Link,
    #[case] requests_pass: bool,
    #[case] responses_pass: bool,
) {
    let (proxy, mut caller, mut server, _listener) = connect_through_proxy().await;
    proxy.set(link);
    assert_eq!(byte_arrives(&mut caller, &mut server).await, requests_pass);
    assert_eq!(byte_arrives(&mut server, &mut caller).await, responses_pass);
    proxy.set(Link::Open);
    let (mut arrived, mut buffer) = (0, [0; 8]);
    while let Ok(read) = tokio::time::timeout(READ_TIMEOUT, server.read(&mut buffer)).await {
        arrived += read.expect("connection should stay open");
    }
    assert_eq!(arrived, usize::from(!requests_pass));
    assert!(byte_arrives(&mut caller, &mut server).await);
}

/// Fails if blocking the open connections lets their bytes pass or blocks a later connection.
#[tokio::test]
async fn blocks_open_connections_but_not_new_ones() {
    let (proxy, mut caller, mut server, listener) = connect_through_proxy().await;
    proxy.block_open_connections();
    assert!(!byte_arrives(&mut caller, &mut server).await);
    let mut caller = TcpStream::connect(proxy.address())
        .await
        .expect("proxy should listen");
    let (mut server, _) = listener
        .accept()
        .await
        .expect("proxy should connect to the server");
    assert!(byte_arrives(&mut caller, &mut server).await);
}

/// Fails if a reset closes either side in good order, which a reader would take for the end of data.
#[tokio::test]
async fn reset_ends_both_sides() {
    let (proxy, mut caller, mut server, _listener) = connect_through_proxy().await;
    proxy.set(Link::Reset);
    for side in [&mut caller, &mut server] {
        let mut byte = [0];
        assert!(
            side.read(&mut byte).await.is_err(),
            "connection ended in good order instead of by a reset"
        );
    }
}

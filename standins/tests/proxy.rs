//! Guards the proxy: what it holds arrives once it is open again, and what it resets ends at both sides.

use std::time::Duration;

use rstest::rstest;
use standins::proxy::{Link, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than loopback takes, and short enough to wait for nothing.
const MOMENT: Duration = Duration::from_millis(150);

async fn pair() -> (Proxy, TcpStream, TcpStream, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let proxy = Proxy::spawn(address).await.expect("the proxy starts");
    let caller = TcpStream::connect(proxy.address())
        .await
        .expect("it listens");
    let (server, _) = listener.accept().await.expect("it connects onward");
    (proxy, caller, server, listener)
}

async fn passes(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"x").await.expect("the proxy reads");
    let mut byte = [0];
    let read = tokio::time::timeout(MOMENT, to.read_exact(&mut byte)).await;
    read.is_ok_and(|read| read.is_ok())
}

#[rstest]
#[case::forth(Link::BlockRequests, false, true)]
#[case::back(Link::BlockResponses, true, false)]
#[case::both(Link::BlockAll, false, false)]
#[case::delayed(Link::Delayed(MOMENT / 10), true, true)]
#[tokio::test]
async fn a_cut_holds_bytes_until_it_heals(
    #[case] link: Link,
    #[case] forth: bool,
    #[case] back: bool,
) {
    let (proxy, mut caller, mut server, _listener) = pair().await;
    proxy.set(link);
    assert_eq!(passes(&mut caller, &mut server).await, forth);
    assert_eq!(passes(&mut server, &mut caller).await, back);
    proxy.set(Link::Open);
    let (mut held, mut byte) = (0, [0; 8]);
    while let Ok(read) = tokio::time::timeout(MOMENT, server.read(&mut byte)).await {
        held += read.expect("the connection lives");
    }
    assert_eq!(held, usize::from(!forth));
    assert!(passes(&mut caller, &mut server).await);
}

#[tokio::test]
async fn a_silenced_connection_stays_silent_and_new_ones_work() {
    let (proxy, mut caller, mut server, listener) = pair().await;
    proxy.block_open_connections();
    assert!(!passes(&mut caller, &mut server).await);
    let mut caller = TcpStream::connect(proxy.address())
        .await
        .expect("it listens");
    let (mut server, _) = listener.accept().await.expect("it connects onward");
    assert!(passes(&mut caller, &mut server).await);
}

#[tokio::test]
async fn a_reset_ends_both_sides() {
    let (proxy, mut caller, mut server, _listener) = pair().await;
    proxy.set(Link::Reset);
    for side in [&mut caller, &mut server] {
        let mut byte = [0];
        assert!(
            side.read(&mut byte).await.is_err(),
            "a reset is no orderly end"
        );
    }
}

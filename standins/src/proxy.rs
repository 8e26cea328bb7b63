//! TCP proxy on the loopback interface that delays, blocks or resets the connections through it.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{Tasks, wait_after_accept_error};

/// Size of the buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// Fault that the proxy applies to the bytes of all its connections. The caller is the side that
/// connected to the proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Link {
    /// Forwards bytes in both directions.
    #[default]
    Open,
    /// Delays each chunk by this time, in both directions.
    Delayed(Duration),
    /// Holds back the bytes from callers to the server until the fault ends.
    BlockRequests,
    /// Holds back the bytes from the server to callers until the fault ends.
    BlockResponses,
    /// Holds back the bytes of both directions until the fault ends.
    BlockAll,
    /// Resets every connection, including new ones.
    Reset,
}

/// Current faults, which every connection watches.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    link: Link,
    /// Number of calls of [`Proxy::block_open_connections`]. A connection that was opened at a lower
    /// number forwards no more bytes.
    blocked_generation: u64,
}

/// Direction in which bytes flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToCaller,
}

/// Running proxy. Dropping it resets its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: watch::Sender<State>,
    _tasks: Tasks,
}

impl Proxy {
    /// Starts a proxy on a free port that forwards connections to the address `to`.
    pub async fn spawn(to: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(State::default());
        let tasks = Tasks::new();
        let (state_receiver, stop) = (state.subscribe(), tasks.stop.clone());
        let tracker = tasks.tracker.clone();
        tasks.tracker.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = stop.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                match accepted {
                    Ok((stream, _)) => {
                        let (state_receiver, stop) = (state_receiver.clone(), stop.clone());
                        tracker.spawn(async move {
                            tokio::select! {
                                () = stop.cancelled() => {}
                                () = proxy_connection(stream, to, state_receiver) => {}
                            }
                        });
                    }
                    Err(error) => wait_after_accept_error(&error).await,
                }
            }
        });
        Ok(Self {
            address,
            state,
            _tasks: tasks,
        })
    }

    /// Returns the address on which the proxy listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault that applies from now on, to open connections as well.
    pub fn set(&self, link: Link) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Blocks all bytes of the connections that are open now, for the rest of their lives. New
    /// connections are not affected.
    pub fn block_open_connections(&self) {
        self.state
            .send_modify(|state| state.blocked_generation += 1);
    }
}

/// Forwards the bytes of one connection until it ends, is reset or fails.
async fn proxy_connection(
    mut stream: TcpStream,
    to: SocketAddr,
    mut state_receiver: watch::Receiver<State>,
) {
    let generation = state_receiver.borrow().blocked_generation;
    // With this option dropping the socket resets the connection; without it the connection would be
    // closed in good order.
    let _ = set_socket_linger(&stream, Some(Duration::ZERO));
    // A fault may already apply, and then the server must not see the connection.
    if !wait_until_open(&mut state_receiver, generation, Direction::ToServer).await {
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(to).await else {
        return;
    };
    let _ = set_socket_linger(&upstream, Some(Duration::ZERO));
    for stream in [&stream, &upstream] {
        // An error is harmless: without this option responses are only slower.
        let _ = stream.set_nodelay(true);
    }
    let (caller_read, caller_write) = stream.split();
    let (server_read, server_write) = upstream.split();
    let reset = {
        let mut state_receiver = state_receiver.clone();
        async move {
            // This ends only at a reset, because the sender outlives this task.
            let _ = state_receiver
                .wait_for(|state| state.link == Link::Reset)
                .await;
        }
    };
    let copies = async {
        tokio::join!(
            copy_direction(
                caller_read,
                server_write,
                state_receiver.clone(),
                generation,
                Direction::ToServer
            ),
            copy_direction(
                server_read,
                caller_write,
                state_receiver.clone(),
                generation,
                Direction::ToCaller
            ),
        )
    };
    tokio::select! {
        () = reset => {}
        _ = copies => {}
    }
}

/// Forwards the bytes of one direction until it ends.
async fn copy_direction(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state_receiver: watch::Receiver<State>,
    generation: u64,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        if !wait_until_open(&mut state_receiver, generation, direction).await {
            return;
        }
        if length == 0 {
            // An error means that the other side has closed the connection already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes of this direction may pass; returns whether the connection still exists.
async fn wait_until_open(
    state_receiver: &mut watch::Receiver<State>,
    generation: u64,
    direction: Direction,
) -> bool {
    loop {
        let state = *state_receiver.borrow_and_update();
        let blocked = match state.link {
            Link::Reset => return false,
            Link::Open => false,
            Link::Delayed(time) => {
                tokio::time::sleep(time).await;
                false
            }
            Link::BlockRequests => direction == Direction::ToServer,
            Link::BlockResponses => direction == Direction::ToCaller,
            Link::BlockAll => true,
        };
        if !blocked && state.blocked_generation == generation {
            return true;
        }
        if state_receiver.changed().await.is_err() {
            return false;
        }
    }
}

//! A loopback proxy that fails the connections that go through it.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{Tasks, wait_after_accept_error};

/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// What the link does with the bytes of all connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Link {
    /// It passes them on.
    #[default]
    Open,
    /// It passes them on after this time.
    Delayed(Duration),
    /// It holds those of the callers until it is open again.
    BlockRequests,
    /// It holds those of the answers until it is open again.
    BlockResponses,
    /// It holds all.
    BlockAll,
    /// It resets every connection.
    Reset,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    link: Link,
    /// Connections that are older than this number are silent for good.
    silenced: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Forth,
    Back,
}

/// A running proxy; dropping it resets its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: watch::Sender<State>,
    _tasks: Tasks,
}

impl Proxy {
    /// Starts a proxy in front of an address.
    pub async fn spawn(to: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(State::default());
        let tasks = Tasks::new();
        let (seen, stop) = (state.subscribe(), tasks.stop.clone());
        let tracker = tasks.tracker.clone();
        tasks.tracker.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = stop.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                match accepted {
                    Ok((stream, _)) => {
                        let (seen, stop) = (seen.clone(), stop.clone());
                        tracker.spawn(async move {
                            tokio::select! {
                                () = stop.cancelled() => {}
                                () = connection(stream, to, seen) => {}
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

    /// Returns the address at which the proxy listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the link does from now on.
    pub fn set(&self, link: Link) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Silences the open connections for good; new ones work.
    pub fn block_open_connections(&self) {
        self.state.send_modify(|state| state.silenced += 1);
    }
}

async fn connection(mut stream: TcpStream, to: SocketAddr, mut seen: watch::Receiver<State>) {
    let born = seen.borrow().silenced;
    // A connection that is dropped without this option would end in good order.
    let _ = set_socket_linger(&stream, Some(Duration::ZERO));
    // The link may be cut already, and then nothing reaches the other side.
    if !open(&mut seen, born, Way::Forth).await {
        return;
    }
    let Ok(mut onward) = TcpStream::connect(to).await else {
        return;
    };
    let _ = set_socket_linger(&onward, Some(Duration::ZERO));
    for stream in [&stream, &onward] {
        // Without this option answers are only slower.
        let _ = stream.set_nodelay(true);
    }
    let (near_read, near_write) = stream.split();
    let (far_read, far_write) = onward.split();
    let reset = {
        let mut seen = seen.clone();
        async move {
            // The sender lives as long as this task.
            let _ = seen.wait_for(|state| state.link == Link::Reset).await;
        }
    };
    let pumps = async {
        tokio::join!(
            pump(near_read, far_write, seen.clone(), born, Way::Forth),
            pump(far_read, near_write, seen.clone(), born, Way::Back),
        )
    };
    tokio::select! {
        () = reset => {}
        _ = pumps => {}
    }
}

/// Passes the bytes of one direction on until it ends.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut seen: watch::Receiver<State>,
    born: u64,
    way: Way,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        if !open(&mut seen, born, way).await {
            return;
        }
        if length == 0 {
            // The other side may have gone.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may pass; tells whether the connection still exists.
async fn open(seen: &mut watch::Receiver<State>, born: u64, way: Way) -> bool {
    loop {
        let state = *seen.borrow_and_update();
        let held = match state.link {
            Link::Reset => return false,
            Link::Open => false,
            Link::Delayed(time) => {
                tokio::time::sleep(time).await;
                false
            }
            Link::BlockRequests => way == Way::Forth,
            Link::BlockResponses => way == Way::Back,
            Link::BlockAll => true,
        };
        if !held && state.silenced == born {
            return true;
        }
        if seen.changed().await.is_err() {
            return false;
        }
    }
}

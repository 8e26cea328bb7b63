//! Sends and receives the heartbeats between nodes, as UDP datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio_util::task::AbortOnDropHandle;

use super::roster::Heartbeat;

/// Maximum datagram that is read. A heartbeat takes about 200 bytes.
const DATAGRAM_MAX_BYTES: usize = 1_200;

/// A UDP socket for heartbeats. Dropping it ends the receiving task.
#[derive(Debug)]
pub struct Socket {
    socket: Arc<UdpSocket>,
    _task: AbortOnDropHandle<()>,
}

impl Socket {
    /// Binds the address and passes each received heartbeat to `on_heartbeat`. Other datagrams are ignored.
    pub async fn bind<F>(address: SocketAddr, on_heartbeat: F) -> std::io::Result<Self>
    where
        F: Fn(Heartbeat) + Send + 'static,
    {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let receiver = Arc::clone(&socket);
        let task = tokio::spawn(async move {
            let mut buffer = [0; DATAGRAM_MAX_BYTES];
            loop {
                // Errors of earlier sends may be returned here; the socket itself stays usable.
                let Ok((length, _)) = receiver.recv_from(&mut buffer).await else {
                    tokio::task::yield_now().await;
                    continue;
                };
                if let Ok(heartbeat) = rmp_serde::from_slice(&buffer[..length]) {
                    on_heartbeat(heartbeat);
                }
            }
        });
        Ok(Self {
            socket,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// Sends a heartbeat to each address. If the send buffer is full, it is dropped, because the next one
    /// contains the same state.
    pub fn send(&self, heartbeat: &Heartbeat, to: impl Iterator<Item = SocketAddr>) {
        let bytes =
            rmp_serde::to_vec(heartbeat).expect("a heartbeat holds only types that can be encoded");
        for address in to {
            let _ = self.socket.try_send_to(&bytes, address);
        }
    }
}

//! Datagrams by which nodes hear of each other.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio_util::task::AbortOnDropHandle;

use super::roster::Pulse;

/// The longest datagram that is read; a pulse takes about 200 bytes.
const DATAGRAM_MAX: usize = 1_200;

/// A socket for pulses; dropping it ends the receiving task.
#[derive(Debug)]
pub struct Socket {
    socket: Arc<UdpSocket>,
    _task: AbortOnDropHandle<()>,
}

impl Socket {
    /// Binds the address and hands each pulse to `hear`.
    pub async fn bind<F>(address: SocketAddr, hear: F) -> std::io::Result<Self>
    where
        F: Fn(Pulse) + Send + 'static,
    {
        let socket = Arc::new(UdpSocket::bind(address).await?);
        let receiver = Arc::clone(&socket);
        let task = tokio::spawn(async move {
            let mut buffer = [0; DATAGRAM_MAX];
            loop {
                // Errors of earlier sends show up here and say nothing about the socket.
                let Ok((length, _)) = receiver.recv_from(&mut buffer).await else {
                    tokio::task::yield_now().await;
                    continue;
                };
                if let Ok(pulse) = rmp_serde::from_slice(&buffer[..length]) {
                    hear(pulse);
                }
            }
        });
        Ok(Self {
            socket,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// Sends a pulse to each address; a full socket drops it, because the next one says the same.
    pub fn send(&self, pulse: &Pulse, to: impl Iterator<Item = SocketAddr>) {
        let bytes = rmp_serde::to_vec(pulse).expect("a pulse holds only types that can be encoded");
        for address in to {
            let _ = self.socket.try_send_to(&bytes, address);
        }
    }
}

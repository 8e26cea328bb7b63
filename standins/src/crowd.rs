//! A crowd of callers that send requests, whole or cut short, and stay.

use std::net::SocketAddr;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Open connections of callers. Dropping it closes them.
#[derive(Debug)]
pub struct Crowd {
    _connections: JoinSet<()>,
}

impl Crowd {
    /// Opens a connection for each request, writes the bytes of the request to it, and keeps it open.
    pub fn open<R>(address: SocketAddr, requests: R) -> Self
    where
        R: IntoIterator<Item = Vec<u8>>,
    {
        let mut connections = JoinSet::new();
        for request in requests {
            connections.spawn(async move {
                // The other side may refuse the connection or close it.
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    let _ = stream.write_all(&request).await;
                    std::future::pending::<()>().await;
                }
            });
        }
        Self {
            _connections: connections,
        }
    }
}

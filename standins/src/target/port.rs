//! Port of a target, which stays reserved while the target refuses connections.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Number of connections that the kernel queues for a target until they are accepted.
const BACKLOG: u32 = 1_024;

/// Reserved address of a target.
#[derive(Debug)]
pub(super) struct Port {
    pub address: SocketAddr,
    /// Bound but never listening. While the target is down, the kernel therefore refuses connections to
    /// the port and does not assign it to a socket that asks for a free port.
    _reservation: TcpSocket,
}

fn socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

impl Port {
    /// Reserves an address; port 0 selects a free port.
    pub(super) fn reserve(address: SocketAddr) -> io::Result<Self> {
        let reservation = socket(address)?;
        Ok(Self {
            address: reservation.local_addr()?,
            _reservation: reservation,
        })
    }

    /// Opens the port for connections.
    pub(super) fn listen(&self) -> io::Result<TcpListener> {
        socket(self.address)?.listen(BACKLOG)
    }
}

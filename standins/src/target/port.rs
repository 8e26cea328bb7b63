//! The port of a target, which can refuse connections and stay reserved.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// How many connections the kernel holds for a target until they are accepted.
const BACKLOG: u32 = 1_024;

/// The address of a target, which stays its own while it refuses connections.
#[derive(Debug)]
pub(super) struct Port {
    pub address: SocketAddr,
    /// Bound but never listening, so that the kernel refuses connections to the port while the target
    /// is down, and does not give it to a socket that asks for a free port.
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
    pub(super) fn reserve(address: SocketAddr) -> io::Result<Self> {
        let reservation = socket(address)?;
        Ok(Self {
            address: reservation.local_addr()?,
            _reservation: reservation,
        })
    }

    pub(super) fn listen(&self) -> io::Result<TcpListener> {
        socket(self.address)?.listen(BACKLOG)
    }
}

//! Sends and receives the heartbeats between nodes, as UDP datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio_util::task::AbortOnDropHandle;

use super::roster::Heartbeat;
use crate::balancing::Load;
use crate::quota::Demand;
use crate::rollout::report::Report;

/// Maximum size of a datagram. A heartbeat without reports takes about 200 bytes.
pub const DATAGRAM_MAX_BYTES: usize = 1_200;

/// What a node tells the others beside its own state, one list for each part of the program that shares something.
///
/// Reports follow the heartbeat in the same datagram, as a map with one entry for each list. A node of a version that
/// does not know reports reads the heartbeat alone, and a node that does not know a list ignores its entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Reports {
    /// The demand of tenants that have a quota.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub demands: Vec<Demand>,
    /// The targets that are much slower than usual, and those that no longer are.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
    /// The roll-outs that the node takes part in.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<Report>,
}

impl Reports {
    /// Tells whether there is nothing to report, in which case nothing follows the heartbeat.
    pub const fn is_empty(&self) -> bool {
        self.demands.is_empty() && self.loads.is_empty() && self.rollouts.is_empty()
    }
}

/// Encodes a heartbeat with the reports that follow it. Reports that do not fit are left out.
pub fn encode(heartbeat: &Heartbeat, reports: &Reports) -> Vec<u8> {
    let mut bytes =
        rmp_serde::to_vec(heartbeat).expect("a heartbeat holds only types that can be encoded");
    if !reports.is_empty() {
        let lists =
            rmp_serde::to_vec_named(reports).expect("reports hold only types that can be encoded");
        if bytes.len() + lists.len() <= DATAGRAM_MAX_BYTES {
            bytes.extend(lists);
        }
    }
    bytes
}

/// Decodes a heartbeat and the reports that follow it. Reports that cannot be read count as none.
pub fn decode(bytes: &[u8]) -> Option<(Heartbeat, Reports)> {
    let mut rest = bytes;
    let heartbeat = Heartbeat::deserialize(&mut rmp_serde::Deserializer::new(&mut rest)).ok()?;
    let reports = rmp_serde::from_slice(rest).unwrap_or_default();
    Some((heartbeat, reports))
}

/// A UDP socket for heartbeats. Dropping it ends the receiving task.
#[derive(Debug)]
pub struct Socket {
    socket: Arc<UdpSocket>,
    _task: AbortOnDropHandle<()>,
}

impl Socket {
    /// Binds the address and passes each received heartbeat with its reports to `on_heartbeat`. Other datagrams are
    /// ignored.
    pub async fn bind<F>(address: SocketAddr, on_heartbeat: F) -> std::io::Result<Self>
    where
        F: Fn(Heartbeat, Reports) + Send + 'static,
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
                if let Some((heartbeat, reports)) = decode(&buffer[..length]) {
                    on_heartbeat(heartbeat, reports);
                }
            }
        });
        Ok(Self {
            socket,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// Sends a heartbeat and its reports to each address. If the send buffer is full, the datagram is dropped,
    /// because the next one contains the same state.
    pub fn send(
        &self,
        heartbeat: &Heartbeat,
        reports: &Reports,
        to: impl Iterator<Item = SocketAddr>,
    ) {
        let bytes = encode(heartbeat, reports);
        for address in to {
            let _ = self.socket.try_send_to(&bytes, address);
        }
    }
}

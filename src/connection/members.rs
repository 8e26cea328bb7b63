//! Client of the platform's membership list, which names all instances (`docs/design.md`, section 10).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for reading the list once.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum answer that is read. A list of 58,000 targets takes about 12 MB, at 200 bytes each.
const ANSWER_MAX_BYTES: usize = 32 << 20;

/// The role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A node of this query tier.
    Node,
    /// A target, which answers searches.
    Target,
}

/// The state of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance is in service.
    Live,
    /// The instance takes no new work and will stop.
    Leaving,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the instance.
    pub name: String,
    /// Whether the instance is a node or a target.
    pub role: Role,
    /// The address that the instance listens at.
    pub address: SocketAddr,
    /// The data centre that the instance runs in.
    pub data_centre: String,
    /// The index that a target serves; empty for nodes.
    #[serde(default)]
    pub index: String,
    /// The service that a target is a replica of; empty for nodes.
    #[serde(default)]
    pub service: String,
    /// The number of a target among the replicas of its service.
    #[serde(default)]
    pub replica: u32,
    /// Whether the instance is in service or leaving.
    pub state: State,
}

/// The changes of the list since a revision.
#[derive(Debug, Deserialize)]
struct Changes {
    revision: u64,
    instances: Vec<Instance>,
    /// The names of instances that were removed since the requested revision.
    #[serde(default)]
    removed: Vec<String>,
}

/// Why the list could not be read. The list that was read last stays in use.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection could not be opened, or it failed.
    #[error("the membership list cannot be reached: {0}")]
    Unreachable(String),
    /// The answer is not a membership list.
    #[error("the membership list's answer cannot be decoded: {0}")]
    Malformed(String),
    /// No complete answer arrived in time.
    #[error("the membership list did not answer within {} ms", READ_TIMEOUT.as_millis())]
    Timeout,
}

/// The membership list as it was last read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct List {
    /// The revision of the list.
    pub revision: u64,
    /// The instances by name.
    pub instances: BTreeMap<String, Instance>,
}

impl List {
    /// Fetches the changes since this list and returns the new list, or `None` if nothing changed.
    pub async fn refresh(&self, address: SocketAddr) -> Result<Option<Self>, Error> {
        let changes = timeout(READ_TIMEOUT, fetch(address, self.revision))
            .await
            .map_err(|_elapsed| Error::Timeout)??;
        let unchanged = changes.instances.is_empty() && changes.removed.is_empty();
        if unchanged && changes.revision == self.revision {
            return Ok(None);
        }
        Ok(Some(self.apply(changes)))
    }

    /// Returns this list with the changes applied.
    fn apply(&self, changes: Changes) -> Self {
        // A lower revision means that the list's service restarted and sent its complete list.
        let restarted = changes.revision < self.revision;
        let mut instances = if restarted {
            BTreeMap::new()
        } else {
            self.instances.clone()
        };
        for name in &changes.removed {
            instances.remove(name);
        }
        for instance in changes.instances {
            instances.insert(instance.name.clone(), instance);
        }
        Self {
            revision: changes.revision,
            instances,
        }
    }
}

async fn fetch(address: SocketAddr, since: u64) -> Result<Changes, Error> {
    let unreachable = |e: &dyn std::error::Error| Error::Unreachable(e.to_string());
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| unreachable(&e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unreachable(&e))?;
    tokio::spawn(async move {
        // A failure of the connection is reported by the request.
        let _ = connection.await;
    });
    let request = Request::get(format!("/instances?since={since}"))
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())
        .expect("a constant request is valid");
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| unreachable(&e))?;
    let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES)
        .collect()
        .await
        .map_err(|e| Error::Unreachable(e.to_string()))?
        .to_bytes();
    serde_json::from_slice(&body).map_err(|e| Error::Malformed(e.to_string()))
}

//! Client for the status of a node, used by the operators' command-line tool.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::version::acceptance::Status;

/// Time limit from connecting to having received the complete status.
pub const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum status that is read. It is bounded, as a cell has at most 16 members.
const STATUS_MAX_BYTES: usize = 1 << 20;

/// Why the status of a node could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("cannot read the status of the node at {address}: {reason}")]
pub struct Error {
    /// The admin address of the node.
    pub address: SocketAddr,
    /// The cause of the failure.
    pub reason: String,
}

/// Reads the status of the node with the admin address `address`.
pub async fn status(address: SocketAddr) -> Result<Status, Error> {
    let to_error = |reason: String| Error { address, reason };
    timeout(STATUS_TIMEOUT, fetch(address))
        .await
        .unwrap_or_else(|_| Err("no complete answer in time".to_owned()))
        .map_err(to_error)
}

async fn fetch(address: SocketAddr) -> Result<Status, String> {
    let stream = TcpStream::connect(address).await.map_err(to_text)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(to_text)?;
    // The task ends when the sender is dropped.
    tokio::spawn(connection);
    let request = Request::get("/admin/status")
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .expect("the path is a constant");
    let response = sender.send_request(request).await.map_err(to_text)?;
    if !response.status().is_success() {
        return Err(format!("status {} instead of success", response.status()));
    }
    let body = Limited::new(response.into_body(), STATUS_MAX_BYTES)
        .collect()
        .await
        .map_err(to_text)?;
    serde_json::from_slice(&body.to_bytes()).map_err(to_text)
}

fn to_text<F>(error: F) -> String
where
    F: std::fmt::Display,
{
    error.to_string()
}

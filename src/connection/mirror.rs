//! Transfers the contents of a node's mirrors of the store to nodes that do not watch the store or
//! cannot reach it.
//!
//! The bodies are encoded as `MessagePack` and sent over HTTP/1.1, because they may be large.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio_util::task::AbortOnDropHandle;

use super::keyspace::Revision;
use super::outbound::connect;
use crate::process::mirror::Export;

/// The path of the request for an update.
pub const PATH: &str = "/peer/mirror";
/// Time limit for fetching an update. A copy of a few hundred kilobytes takes tens of milliseconds.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum update that is read.
const UPDATE_MAX_BYTES: usize = 16 << 20;

/// The answer of a node to another one that lacks changes.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Update {
    /// The changes that the other node lacks, one copy per mirror.
    pub copies: Vec<Export>,
    /// How much longer the store's last answer to the sending node proves that nothing newer exists.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "fresh")]
    pub fresh_for: Duration,
}

/// Fetches the changes of another node's mirrors since the revisions, one revision per mirror.
pub async fn fetch_update(from: SocketAddr, after: &[Revision]) -> anyhow::Result<Update> {
    tokio::time::timeout(FETCH_TIMEOUT, send_request(from, after))
        .await
        .context("no complete answer from the node in time")?
}

async fn send_request(from: SocketAddr, after: &[Revision]) -> anyhow::Result<Update> {
    let stream = connect(from).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDropHandle::new(tokio::spawn(connection));
    let after: Vec<String> = after.iter().map(|it| it.0.to_string()).collect();
    let request = Request::get(format!("{PATH}?after={}", after.join(",")))
        .header("host", from.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    ensure!(
        response.status() == StatusCode::OK,
        "the node answered with status {} instead of 200 OK",
        response.status()
    );
    let body = Limited::new(response.into_body(), UPDATE_MAX_BYTES)
        .collect()
        .await
        .map_err(|e| anyhow::anyhow!(e))?;
    Ok(rmp_serde::from_slice(&body.to_bytes())?)
}

/// Parses the revisions from the query string of a request. Without them, the copies are complete.
pub fn parse_after(query: Option<&str>) -> Vec<Revision> {
    let list = query.and_then(|query| query.strip_prefix("after="));
    let numbers = list.into_iter().flat_map(|list| list.split(','));
    numbers
        .map(|number| Revision(number.parse().unwrap_or_default()))
        .collect()
}

/// Encodes the update that answers another node's request.
pub fn encode_update(update: &Update) -> Bytes {
    let bytes = rmp_serde::to_vec(update).expect("copies hold only types that can be encoded");
    bytes.into()
}

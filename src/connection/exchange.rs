//! Copies of a node's mirrors, given to nodes that cannot reach the store.
//!
//! The bodies are `MessagePack` over HTTP/1.1, because a copy is rare and may be large.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use super::outbound::tune;
use crate::process::mirror::Copy;

/// The path of the copies.
pub const PATH: &str = "/peer/mirror";
/// The time for the whole exchange; a copy of a few hundred kilobytes takes tens of milliseconds.
const TIMEOUT: Duration = Duration::from_secs(1);
/// The longest copy that is read, in bytes.
const COPY_MAX: usize = 16 << 20;

/// Asks a node for copies of its mirrors.
pub async fn pull(from: SocketAddr) -> anyhow::Result<Vec<Copy>> {
    tokio::time::timeout(TIMEOUT, exchange(from))
        .await
        .context("the node did not answer in time")?
}

async fn exchange(from: SocketAddr) -> anyhow::Result<Vec<Copy>> {
    let stream = TcpStream::connect(from).await?;
    tune(&stream);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDropHandle::new(tokio::spawn(connection));
    let request = Request::get(PATH)
        .header("host", from.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    ensure!(
        response.status() == StatusCode::OK,
        "the node answered {}",
        response.status()
    );
    let body = Limited::new(response.into_body(), COPY_MAX)
        .collect()
        .await
        .map_err(|e| anyhow::anyhow!(e))?;
    Ok(rmp_serde::from_slice(&body.to_bytes())?)
}

/// Encodes copies for another node.
pub fn encode(copies: &[Copy]) -> Bytes {
    let bytes = rmp_serde::to_vec(copies).expect("copies hold only types that can be encoded");
    bytes.into()
}

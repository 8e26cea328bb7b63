//! Helpers that several test files share.

#![allow(dead_code, reason = "each test file uses only a part of the helpers")]

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends raw bytes to a server and returns everything it answers until it closes or `end` is seen.
pub async fn raw(address: SocketAddr, bytes: &[u8], end: &str) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the server listens");
    stream.write_all(bytes).await.expect("the server reads");
    let mut text = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let n = stream.read(&mut chunk).await.unwrap_or(0);
        text.extend_from_slice(&chunk[..n]);
        if n == 0 || String::from_utf8_lossy(&text).contains(end) {
            return String::from_utf8_lossy(&text).into_owned();
        }
    }
}

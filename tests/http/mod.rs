//! HTTP helpers shared by several test files.

#![allow(dead_code, reason = "each test file uses only a part of the helpers")]

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends raw bytes to a server and returns its answer up to the end of the connection or to the text
/// `end`, whichever comes first.
pub async fn send_raw(address: SocketAddr, bytes: &[u8], end: &str) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the server listens");
    stream.write_all(bytes).await.expect("the server reads");
    let mut text = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let length = stream.read(&mut chunk).await.unwrap_or(0);
        text.extend_from_slice(&chunk[..length]);
        if length == 0 || String::from_utf8_lossy(&text).contains(end) {
            return String::from_utf8_lossy(&text).into_owned();
        }
    }
}

//! Kept connections to the system's addresses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Idle connections kept per address.
const MAX_IDLE: usize = 64;
/// The time allowed for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a message has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// Nothing was written.
    NotSent,
    /// The message was written, and no answer came.
    Lost,
}

type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Sends a message and returns the status and the body of the answer.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        message: Request<Bytes>,
        limit: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let mut message = message.map(Full::new);
        while let Some(sender) = self.take(address) {
            // A kept connection may have been closed meanwhile; the message comes back unsent then.
            match self.exchange(address, sender, message, limit).await {
                Ok(answer) => return Ok(answer),
                Err((_, Some(unsent))) => message = unsent,
                Err((failure, None)) => return Err(failure),
            }
        }
        let sender = connect(address).await.ok_or(Failure::NotSent)?;
        self.exchange(address, sender, message, limit)
            .await
            .map_err(|(failure, _)| failure)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        message: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(u16, Bytes), (Failure, Option<Request<Full<Bytes>>>)> {
        if sender.ready().await.is_err() {
            return Err((Failure::NotSent, Some(message)));
        }
        let sent = async {
            let response = sender.try_send_request(message).await.map_err(|mut e| {
                let unsent = e.take_message();
                let failure = if unsent.is_some() {
                    Failure::NotSent
                } else {
                    Failure::Lost
                };
                (failure, unsent)
            })?;
            let status = response.status().as_u16();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|_broken| (Failure::Lost, None))?;
            Ok((status, body.to_bytes()))
        };
        let answer = timeout(limit, sent)
            .await
            .map_err(|_elapsed| (Failure::Lost, None))??;
        self.keep(address, sender);
        Ok(answer)
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self
            .idle
            .lock()
            .expect("no code panics while it holds the pool");
        let kept = idle.get_mut(&address)?;
        while let Some(sender) = kept.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self
            .idle
            .lock()
            .expect("no code panics while it holds the pool");
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE && !sender.is_closed() {
            kept.push(sender);
        }
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

//! Pool of idle HTTP connections to nodes.

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

/// Maximum number of idle connections per address; further ones are closed.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// The request was not written to any connection.
    NotSent,
    /// The request may have been written, and no complete response came.
    Lost,
}

/// The sending half of an HTTP connection.
type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Sends a request and returns the status and the body of the response.
    ///
    /// `response_timeout` applies to each exchange, without the time for opening a connection.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        response_timeout: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let mut request = request.map(Full::new);
        while let Some(sender) = self.take_idle(address) {
            // The peer may have closed an idle connection; the request is then returned unsent.
            match self
                .exchange(address, sender, request, response_timeout)
                .await
            {
                Ok(response) => return Ok(response),
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => return Err(failure),
            }
        }
        let sender = connect(address).await.ok_or(Failure::NotSent)?;
        self.exchange(address, sender, request, response_timeout)
            .await
            .map_err(|(failure, _)| failure)
    }

    /// Sends a request on one connection; a failure holds the request if it was not written.
    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
        response_timeout: Duration,
    ) -> Result<(u16, Bytes), (Failure, Option<Request<Full<Bytes>>>)> {
        if sender.ready().await.is_err() {
            return Err((Failure::NotSent, Some(request)));
        }
        let exchange = async {
            let response = sender.try_send_request(request).await.map_err(|mut e| {
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
        let response = timeout(response_timeout, exchange)
            .await
            .map_err(|_elapsed| (Failure::Lost, None))??;
        self.return_idle(address, sender);
        Ok(response)
    }

    /// Returns an idle connection that is not closed, and drops closed ones on the way.
    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self
            .idle
            .lock()
            .expect("no code panics while it holds the pool");
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    /// Makes a connection available for further requests, or closes it if there are enough idle ones.
    fn return_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self
            .idle
            .lock()
            .expect("no code panics while it holds the pool");
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE_PER_ADDRESS && !sender.is_closed() {
            senders.push(sender);
        }
    }
}

/// Opens a connection; `None` if that fails or takes longer than `CONNECT_TIMEOUT`.
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

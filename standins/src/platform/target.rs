//! A stand-in for the platform's targets that can answer late, twice, incompletely or not at all.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The maximum size of a request; a connection that sends more is closed.
const REQUEST_MAX_BYTES: usize = 1 << 20;

/// How often a repeated part stands in one block of a flood.
const FLOOD_BLOCK_REPEATS: usize = 256;

/// How a target handles the requests that it receives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// The target runs the request and answers with its signature.
    #[default]
    Answer,
    /// The target refuses the request with status 503 and `X-Not-Executed`, without running it.
    Refuse,
    /// The target runs the request and answers with status 500.
    Fail,
    /// The target runs the request and closes the connection without an answer.
    DropAnswer,
    /// The target runs the request and closes the connection before its answer is complete.
    TruncateAnswer,
    /// The target answers, and 30 ms later sends a second answer with the id of another request.
    ExtraAnswer,
    /// The target answers without `Content-Length` and marks the end of the body by closing the connection.
    OmitContentLength,
    /// The target runs the request and answers without its signature.
    OmitSignature,
    /// The target runs the request and answers with status 503, which means a refusal.
    FalseRefusal,
    /// The target runs the request and answers with this text in place of the status code and its reason.
    Status(&'static str),
    /// The target runs the request and never answers.
    NeverAnswer,
    /// Before the answer to a request, the target sends a second copy of its previous answer on the
    /// connection.
    RepeatPrevious(Repeat),
    /// The target sends bytes without end until the connection is closed.
    Flood(Flood),
}

/// The form of a second copy of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The copy has the request id of the first answer.
    Identical,
    /// The copy has no request id.
    WithoutId,
    /// The copy has no request id, and status 421, which refuses a request meant for another target.
    MisdirectedWithoutId,
}

/// Where the bytes without end stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flood {
    /// Header lines, one after the other.
    HeaderLines,
    /// One header line that does not end.
    HeaderLine,
    /// Interim responses with status 100.
    InterimResponses,
    /// Chunks of one byte.
    Chunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// The body of an answer without a length.
    Body,
    /// Bytes after a complete answer.
    AfterAnswer,
}

impl Flood {
    /// Returns the bytes before the repeated part, for an answer with these headers and this body.
    fn opening(self, headers: &str, body: &[u8]) -> Vec<u8> {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}");
        let text = match self {
            Self::HeaderLines => head,
            Self::HeaderLine => format!("{head}X-Long: "),
            Self::InterimResponses => String::new(),
            Self::Chunks => format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            Self::ChunkExtension => format!("{head}Transfer-Encoding: chunked\r\n\r\n1;x="),
            Self::Body => format!("{head}Connection: close\r\n\r\n"),
            Self::AfterAnswer => format!("{head}Content-Length: {}\r\n\r\n", body.len()),
        };
        match self {
            Self::AfterAnswer => [text.as_bytes(), body].concat(),
            _ => text.into_bytes(),
        }
    }

    /// Returns the part that is repeated without end.
    const fn repeated(self) -> &'static [u8] {
        match self {
            Self::HeaderLines => b"X-Line: a\r\n",
            Self::HeaderLine | Self::ChunkExtension | Self::Body => b"aaaaaaaa",
            Self::InterimResponses => b"HTTP/1.1 100 Continue\r\n\r\n",
            Self::Chunks => b"1\r\na\r\n",
            Self::AfterAnswer => b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
        }
    }
}

/// The properties of a target.
#[derive(Debug, Clone)]
pub struct Spec {
    /// The target's id in the store.
    pub id: String,
    /// The service that the target belongs to.
    pub service: String,
    /// The data centre of the target, which the platform calls a zone.
    pub zone: String,
    /// The time for which the target works on each request.
    pub service_time: Duration,
    /// The body of the target's answers.
    pub body: Vec<u8>,
}

/// A request that a target received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request id, or an empty string if the request had none.
    pub id: String,
    /// The request line without the protocol version.
    pub line: String,
    /// The headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body of the request.
    pub body: Vec<u8>,
    /// The time that the sender allowed for the request, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the target ran the request, that is, neither refused it nor found it addressed to another
    /// target.
    pub ran: bool,
    /// When the request had arrived completely.
    pub at: Instant,
}

/// A running target; dropping it closes all its connections.
#[derive(Debug)]
pub struct Target {
    spec: Spec,
    address: SocketAddr,
    /// The address that the target's entry in the store states.
    advertised: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

#[derive(Debug)]
struct Shared {
    spec: Spec,
    behaviour: Mutex<Behaviour>,
    service_time: Mutex<Duration>,
    /// The requests per second that the target's answers name as its limit, if any.
    rate_limit: Mutex<Option<f64>>,
    leaving: AtomicBool,
    /// The `Retry-After` of refusals, if any.
    retry_after: Mutex<Option<String>>,
    journal: Mutex<Vec<Arrival>>,
    open_connections: AtomicUsize,
    /// The number of requests whose connection the sender closed while they ran.
    abandoned_requests: AtomicUsize,
    /// The pause between two blocks of a flood.
    flood_pause: Mutex<Duration>,
    /// The bytes that floods have written.
    flooded_bytes: AtomicUsize,
}

/// A parsed request; header names are in lower case.
struct Request {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Target {
    /// Starts a target on a free port.
    pub async fn spawn(spec: Spec) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            spec: spec.clone(),
            behaviour: Mutex::default(),
            service_time: Mutex::new(spec.service_time),
            rate_limit: Mutex::default(),
            leaving: AtomicBool::new(false),
            retry_after: Mutex::default(),
            journal: Mutex::default(),
            open_connections: AtomicUsize::new(0),
            abandoned_requests: AtomicUsize::new(0),
            flood_pause: Mutex::default(),
            flooded_bytes: AtomicUsize::new(0),
        });
        let stop = CancellationToken::new();
        let (accept_shared, accept_stop) = (Arc::clone(&shared), stop.clone());
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = accept_stop.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { continue };
                let (shared, stop) = (Arc::clone(&accept_shared), accept_stop.clone());
                tokio::spawn(async move {
                    shared.open_connections.fetch_add(1, Ordering::SeqCst);
                    let serving = serve(stream, &shared);
                    tokio::select! {
                        () = stop.cancelled() => {}
                        // The sender notices a broken connection itself, so the error is ignored.
                        _ = serving => {}
                    }
                    shared.open_connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Self {
            spec,
            address,
            advertised: address,
            shared,
            stop,
        })
    }

    /// Returns the address on which the target listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address that the target's entry states, such as that of a proxy.
    pub fn advertise(&mut self, address: SocketAddr) {
        self.advertised = address;
    }

    /// Sets how the target handles further requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Sets how long further floods pause between two blocks of some kilobytes; they do not pause by default.
    pub fn set_flood_pause(&self, pause: Duration) {
        *lock(&self.shared.flood_pause) = pause;
    }

    /// Sets the time for which the target works on each further request.
    pub fn set_service_time(&self, time: Duration) {
        *lock(&self.shared.service_time) = time;
    }

    /// Sets the requests per second that further answers name as the limit of the target, or `None` for answers
    /// without a limit. The target itself runs any number of requests.
    pub fn set_rate_limit(&self, per_second: Option<f64>) {
        *lock(&self.shared.rate_limit) = per_second;
    }

    /// Sets whether further answers state that the target is leaving. The target itself runs any number of requests.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Sets the `Retry-After` of further refusals, which then repeat the request id, or `None` for refusals without
    /// both.
    pub fn set_retry_after(&self, value: Option<&str>) {
        *lock(&self.shared.retry_after) = value.map(str::to_owned);
    }

    /// Returns all requests that the target received, in order of arrival.
    pub fn journal(&self) -> Vec<Arrival> {
        lock(&self.shared.journal).clone()
    }

    /// Returns how often the target ran the request with this id.
    pub fn run_count(&self, id: &str) -> usize {
        let journal = lock(&self.shared.journal);
        journal.iter().filter(|it| it.ran && it.id == id).count()
    }

    /// Returns the number of requests whose connection the sender closed while they ran.
    pub fn abandoned_requests(&self) -> usize {
        self.shared.abandoned_requests.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that the target has written without end.
    pub fn flooded_bytes(&self) -> usize {
        self.shared.flooded_bytes.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::SeqCst)
    }

    /// Returns the key and the value of the target's entry in the store, with the given state.
    pub fn store_entry(&self, state: &str) -> (String, Vec<u8>) {
        let entry = json!({
            "service": self.spec.service,
            "address": self.advertised.to_string(),
            "zone": self.spec.zone,
            "version": "v1",
            "capacity": 2,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000_u64,
        });
        (
            format!("servers/{}", self.spec.id),
            entry.to_string().into_bytes(),
        )
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    let mut previous_id: Option<String> = None;
    while let Some(request) = read(&mut stream, &mut buffer).await? {
        let header = |name: &str| {
            let known = request.headers.iter().find(|(key, _)| key == name);
            known.map(|(_, value)| value.clone())
        };
        let id = header("x-request-id").unwrap_or_default();
        let foreign = header("x-target-instance").is_some_and(|it| it != shared.spec.id);
        let behaviour = *lock(&shared.behaviour);
        lock(&shared.journal).push(Arrival {
            id: id.clone(),
            line: request.line.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            deadline_ms: header("x-deadline-ms").and_then(|it| it.parse().ok()),
            ran: !foreign && behaviour != Behaviour::Refuse,
            at: Instant::now(),
        });
        if foreign {
            let instance = format!("X-Instance-Id: {}\r\n", shared.spec.id);
            respond(&mut stream, "421 Misdirected Request", &instance, b"").await?;
            continue;
        }
        if behaviour == Behaviour::Refuse {
            let retry_after = lock(&shared.retry_after).clone();
            let retry_after =
                retry_after.map(|it| format!("X-Request-Id: {id}\r\nRetry-After: {it}\r\n"));
            let headers = format!("X-Not-Executed: 1\r\n{}", retry_after.unwrap_or_default());
            respond(&mut stream, "503 Service Unavailable", &headers, b"").await?;
            continue;
        }
        let service_time = *lock(&shared.service_time);
        if !simulate_work(&mut stream, &mut buffer, service_time).await? {
            shared.abandoned_requests.fetch_add(1, Ordering::SeqCst);
            return Ok(());
        }
        let body = &shared.spec.body;
        let signature = format!("X-Response-Seal: {}.{id}\r\n", shared.spec.id);
        let echo = format!("X-Request-Id: {id}\r\n");
        let rate_limit = *lock(&shared.rate_limit);
        let limit = rate_limit.map(|limit| format!("Server-Limit: {limit}\r\n"));
        let leaving = shared.leaving.load(Ordering::SeqCst);
        let leaving = if leaving { "Server-Leaving: 1\r\n" } else { "" };
        let headers = format!("{signature}{echo}{}{leaving}", limit.unwrap_or_default());
        match behaviour {
            Behaviour::Answer | Behaviour::Refuse => {
                respond(&mut stream, "200 OK", &headers, body).await?;
            }
            Behaviour::Fail => {
                respond(
                    &mut stream,
                    "500 Internal Server Error",
                    &headers,
                    b"failed",
                )
                .await?;
            }
            Behaviour::FalseRefusal => {
                respond(&mut stream, "503 Service Unavailable", &headers, b"").await?;
            }
            Behaviour::Status(status) => respond(&mut stream, status, &headers, body).await?,
            Behaviour::OmitSignature => respond(&mut stream, "200 OK", &echo, body).await?,
            Behaviour::DropAnswer => return Ok(()),
            Behaviour::RepeatPrevious(repeat) => {
                if let Some(previous) = previous_id.replace(id.clone()) {
                    let seal = format!("X-Response-Seal: {}.{previous}\r\n", shared.spec.id);
                    let (status, headers) = match repeat {
                        Repeat::Identical => {
                            ("200 OK", format!("{seal}X-Request-Id: {previous}\r\n"))
                        }
                        Repeat::WithoutId => ("200 OK", seal),
                        Repeat::MisdirectedWithoutId => ("421 Misdirected Request", String::new()),
                    };
                    respond(&mut stream, status, &headers, b"the previous answer").await?;
                }
                respond(&mut stream, "200 OK", &headers, body).await?;
            }
            Behaviour::Flood(flood) => {
                stream.write_all(&flood.opening(&headers, body)).await?;
                let block = flood.repeated().repeat(FLOOD_BLOCK_REPEATS);
                let pause = *lock(&shared.flood_pause);
                loop {
                    stream.write_all(&block).await?;
                    shared
                        .flooded_bytes
                        .fetch_add(block.len(), Ordering::SeqCst);
                    if !pause.is_zero() && !simulate_work(&mut stream, &mut buffer, pause).await? {
                        return Ok(());
                    }
                }
            }
            Behaviour::NeverAnswer => while stream.read_buf(&mut buffer).await? > 0 {},
            Behaviour::TruncateAnswer => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{headers}\r\n",
                    body.len() + 16
                );
                stream.write_all(head.as_bytes()).await?;
                return stream.write_all(body).await;
            }
            Behaviour::OmitContentLength => {
                let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n{headers}\r\n");
                stream.write_all(head.as_bytes()).await?;
                return stream.write_all(body).await;
            }
            Behaviour::ExtraAnswer => {
                respond(&mut stream, "200 OK", &headers, body).await?;
                tokio::time::sleep(Duration::from_millis(30)).await;
                let other = format!("{signature}X-Request-Id: other\r\n");
                respond(&mut stream, "200 OK", &other, b"the answer to another one").await?;
            }
        }
    }
    Ok(())
}

/// Waits for the service time of a request. Returns false at once if the sender closes the connection.
async fn simulate_work(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    time: Duration,
) -> std::io::Result<bool> {
    let end = tokio::time::Instant::now() + time;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(end) => return Ok(true),
            read = stream.read_buf(buffer) => if read? == 0 { return Ok(false) },
        }
    }
}

async fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat()).await
}

/// Reads one request whose body is delimited by `Content-Length`. Returns `None` if the sender closed the
/// connection or the request is too long.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Request>> {
    loop {
        if let Some((request, length)) = parse(buffer)? {
            buffer.drain(..length);
            return Ok(Some(request));
        }
        if buffer.len() > REQUEST_MAX_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse(buffer: &[u8]) -> std::io::Result<Option<(Request, usize)>> {
    let mut slots = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut slots);
    let httparse::Status::Complete(start) = head.parse(buffer).map_err(std::io::Error::other)?
    else {
        return Ok(None);
    };
    let headers: Vec<(String, String)> = head
        .headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_ascii_lowercase(), value)
        })
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name == "content-length")
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let Some(body) = buffer.get(start..start + length) else {
        return Ok(None);
    };
    let line = format!(
        "{} {}",
        head.method.unwrap_or_default(),
        head.path.unwrap_or_default()
    );
    let request = Request {
        line,
        headers,
        body: body.to_vec(),
    };
    Ok(Some((request, start + length)))
}

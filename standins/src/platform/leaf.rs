//! A stand-in of the platform's targets, which can answer late, twice, in part or not at all.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The longest request that is read.
const REQUEST_MAX: usize = 1 << 20;

/// How a target treats the requests that reach it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Manner {
    /// It answers.
    #[default]
    Sound,
    /// It refuses without running the request.
    Shed,
    /// It runs the request and fails.
    Fail,
    /// It runs the request and closes the connection without an answer.
    LoseAnswer,
    /// It runs the request and breaks its answer off.
    BreakOff,
    /// It answers, and a little later sends a second answer with another id.
    Extra,
    /// It answers without a length and ends the connection.
    Unframed,
    /// It answers without its signature.
    Unsealed,
    /// It answers with the status of a refusal although it has run the request.
    FalseRefusal,
    /// It runs the request and never answers.
    Mute,
}

/// What a target is.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Its id in the store.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// How long a request takes.
    pub work: Duration,
    /// The body of its answers.
    pub body: Vec<u8>,
}

/// A request that reached a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// The request id.
    pub id: String,
    /// The request line without the protocol.
    pub line: String,
    /// The body.
    pub body: Vec<u8>,
    /// The time that the target was given, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the target ran it.
    pub ran: bool,
}

/// A running target; dropping it closes all its connections.
#[derive(Debug)]
pub struct Leaf {
    spec: Spec,
    address: SocketAddr,
    /// What its entry says.
    advertised: SocketAddr,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

#[derive(Debug)]
struct Shared {
    spec: Spec,
    manner: Mutex<Manner>,
    journal: Mutex<Vec<Arrival>>,
    connections: AtomicUsize,
    /// Requests whose connection was closed by the caller while they ran.
    abandoned: AtomicUsize,
}

/// A request as it was read.
struct Request {
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Leaf {
    /// Starts a target.
    pub async fn spawn(spec: Spec) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            spec: spec.clone(),
            manner: Mutex::default(),
            journal: Mutex::default(),
            connections: AtomicUsize::new(0),
            abandoned: AtomicUsize::new(0),
        });
        let stop = CancellationToken::new();
        let (serving, ending) = (Arc::clone(&shared), stop.clone());
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = ending.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { continue };
                let (shared, ending) = (Arc::clone(&serving), ending.clone());
                tokio::spawn(async move {
                    shared.connections.fetch_add(1, Ordering::SeqCst);
                    let serve = serve(stream, &shared);
                    tokio::select! {
                        () = ending.cancelled() => {}
                        // The caller notices a broken connection by itself.
                        _ = serve => {}
                    }
                    shared.connections.fetch_sub(1, Ordering::SeqCst);
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

    /// Returns the address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets the target's entry name another address, such as that of a proxy.
    pub fn advertise(&mut self, address: SocketAddr) {
        self.advertised = address;
    }

    /// Sets how requests are treated from now on.
    pub fn set(&self, manner: Manner) {
        *lock(&self.shared.manner) = manner;
    }

    /// Returns the requests that arrived.
    pub fn journal(&self) -> Vec<Arrival> {
        lock(&self.shared.journal).clone()
    }

    /// Returns how often the target ran a request.
    pub fn runs(&self, id: &str) -> usize {
        let journal = lock(&self.shared.journal);
        journal.iter().filter(|it| it.ran && it.id == id).count()
    }

    /// Returns how many requests lost their caller while they ran.
    pub fn abandoned(&self) -> usize {
        self.shared.abandoned.load(Ordering::SeqCst)
    }

    /// Returns the open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Returns the key and the value of the target's entry.
    pub fn entry(&self, state: &str) -> (String, Vec<u8>) {
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

impl Drop for Leaf {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(request) = read(&mut stream, &mut buffer).await? {
        let header = |name: &str| {
            let known = request.headers.iter().find(|(key, _)| key == name);
            known.map(|(_, value)| value.clone())
        };
        let id = header("x-request-id").unwrap_or_default();
        let foreign = header("x-target-instance").is_some_and(|it| it != shared.spec.id);
        let manner = *lock(&shared.manner);
        lock(&shared.journal).push(Arrival {
            id: id.clone(),
            line: request.line.clone(),
            body: request.body.clone(),
            deadline_ms: header("x-deadline-ms").and_then(|it| it.parse().ok()),
            ran: !foreign && manner != Manner::Shed,
        });
        if foreign {
            let instance = format!("X-Instance-Id: {}\r\n", shared.spec.id);
            respond(&mut stream, "421 Misdirected Request", &instance, b"").await?;
            continue;
        }
        if manner == Manner::Shed {
            respond(
                &mut stream,
                "503 Service Unavailable",
                "X-Not-Executed: 1\r\n",
                b"",
            )
            .await?;
            continue;
        }
        if !work(&mut stream, &mut buffer, shared.spec.work).await? {
            shared.abandoned.fetch_add(1, Ordering::SeqCst);
            return Ok(());
        }
        let body = &shared.spec.body;
        let seal = format!("X-Response-Seal: {}.{id}\r\n", shared.spec.id);
        let echo = format!("X-Request-Id: {id}\r\n");
        let headers = format!("{seal}{echo}");
        match manner {
            Manner::Sound | Manner::Shed => respond(&mut stream, "200 OK", &headers, body).await?,
            Manner::Fail => {
                respond(
                    &mut stream,
                    "500 Internal Server Error",
                    &headers,
                    b"failed",
                )
                .await?;
            }
            Manner::FalseRefusal => {
                respond(&mut stream, "503 Service Unavailable", &headers, b"").await?;
            }
            Manner::Unsealed => respond(&mut stream, "200 OK", &echo, body).await?,
            Manner::LoseAnswer => return Ok(()),
            Manner::Mute => while stream.read_buf(&mut buffer).await? > 0 {},
            Manner::BreakOff => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{headers}\r\n",
                    body.len() + 16
                );
                stream.write_all(head.as_bytes()).await?;
                return stream.write_all(body).await;
            }
            Manner::Unframed => {
                let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n{headers}\r\n");
                stream.write_all(head.as_bytes()).await?;
                return stream.write_all(body).await;
            }
            Manner::Extra => {
                respond(&mut stream, "200 OK", &headers, body).await?;
                tokio::time::sleep(Duration::from_millis(30)).await;
                let other = format!("{seal}X-Request-Id: other\r\n");
                respond(&mut stream, "200 OK", &other, b"the answer to another one").await?;
            }
        }
    }
    Ok(())
}

/// Works for a time; tells whether the caller is still there.
async fn work(
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

/// Reads one request whose body has a length; nothing if the caller has closed the connection.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Request>> {
    loop {
        if let Some((request, length)) = parse(buffer)? {
            buffer.drain(..length);
            return Ok(Some(request));
        }
        if buffer.len() > REQUEST_MAX || stream.read_buf(buffer).await? == 0 {
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

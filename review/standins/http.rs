//! A small HTTP/1.1 server and client: blocking, with one thread for each connection.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request or a response: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a response with a JSON body.
    pub fn json(status: u16, body: String) -> Self {
        Self {
            first_line: format!("HTTP/1.1 {status} -"),
            headers: vec![("content-type".into(), "application/json".into())],
            body: body.into_bytes(),
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path with the query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query of a request.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| decode_percent(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Reads a message; `None` if the connection has ended before it.
    pub fn read<R: BufRead>(from: &mut R) -> Result<Option<Self>> {
        let mut message = Self::default();
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.first_line = line.trim_end().to_owned();
        loop {
            line.clear();
            if from.read_line(&mut line)? == 0 {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
        let length = message
            .header("content-length")
            .and_then(|it| it.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        from.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    pub fn write<W: Write>(&self, to: &mut W) -> Result<()> {
        let mut bytes = format!("{}\r\n", self.first_line).into_bytes();
        for (name, value) in &self.headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", self.body.len()).as_bytes());
        bytes.extend_from_slice(&self.body);
        to.write_all(&bytes)
    }
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// What a server does with a request.
#[derive(Debug)]
pub enum Reply {
    /// Send the response.
    Answer(Message),
    /// Close the connection.
    Close,
}

/// Serves requests on a new loopback address until the process ends or the server is stopped.
pub fn serve<H>(handler: H) -> Result<Server>
where
    H: Fn(Message) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let stopped: Arc<AtomicBool> = Arc::default();
    let is_stopped = Arc::clone(&stopped);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let (handler, is_stopped) = (Arc::clone(&handler), Arc::clone(&is_stopped));
            std::thread::spawn(move || serve_connection(stream, &*handler, &is_stopped));
        }
    });
    Ok(Server { address, stopped })
}

/// A running server.
#[derive(Debug, Clone)]
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Server {
    /// Stops like a crashed process: nothing is answered any more, and the port is closed.
    pub fn crash(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, so that it closes the port.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
    }
}

fn serve_connection<H>(mut stream: TcpStream, handler: &H, is_stopped: &AtomicBool)
where
    H: Fn(Message) -> Reply,
{
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reading = BufReader::new(reading);
    while let Ok(Some(request)) = Message::read(&mut reading) {
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let is_written = match handler(request) {
            Reply::Answer(response) => response.write(&mut stream).is_ok(),
            Reply::Close => false,
        };
        if !is_written {
            return;
        }
    }
}

/// Sends a request on a new connection and returns the response; an error if the connection ends without one.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    time_limit: Duration,
) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time_limit))?;
    let request = Message {
        first_line: format!("{method} {target} HTTP/1.1"),
        headers: headers
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect(),
        body: Vec::new(),
    };
    request.write(&mut stream)?;
    Message::read(&mut BufReader::new(stream))?
        .ok_or_else(|| Error::new(ErrorKind::UnexpectedEof, "closed without an answer"))
}

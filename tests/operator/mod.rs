//! Test fixtures for the operators' client: an in-process store, a node's status endpoint, and a directory
//! in which commands run.
#![allow(dead_code, reason = "each test file uses only a part of the fixtures")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;
use std::sync::{Arc, Mutex};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value as Json, json};
use tokio::net::TcpListener;
use tokio::process::Command;

/// A fault that the store applies to one transaction that writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The store writes and closes the connection without an answer.
    LoseAnswer,
    /// The store closes the connection and writes nothing.
    LoseRequest,
    /// The store answers with status 429 and writes nothing.
    Refuse,
}

/// The content of the store and the faults to apply.
#[derive(Debug, Clone, Default)]
pub struct Data {
    pub revision: u64,
    /// For each key, its value and the revision of its last change.
    pub values: BTreeMap<String, (Vec<u8>, u64)>,
    /// Faults to apply to the next writes, the last one first.
    pub faults: Vec<Fault>,
    /// The number of transactions that wrote.
    pub writes: usize,
    /// Values that are written just before the next transaction that writes, as by another operator.
    pub concurrent_write: Option<BTreeMap<String, Vec<u8>>>,
}

impl Data {
    pub fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.values.insert(key.to_owned(), (value, self.revision));
    }

    fn range(&self, request: &Json) -> Json {
        let text = |name: &str| request[name].as_str().map(decode);
        let first = text("key").unwrap_or_default();
        let end = text("range_end").unwrap_or_else(|| format!("{first}\0"));
        let min_revision: u64 = request["min_mod_revision"]
            .as_str()
            .map_or(0, |min_revision| min_revision.parse().unwrap());
        let limit: usize = request["limit"]
            .as_str()
            .map_or(usize::MAX, |limit| limit.parse().unwrap());
        let kvs: Vec<Json> = self
            .values
            .range(first..end)
            .filter(|(_, (_, revision))| *revision >= min_revision)
            .take(limit)
            .map(|(key, (value, revision))| {
                json!({
                    "key": STANDARD.encode(key),
                    "value": STANDARD.encode(value),
                    "mod_revision": revision.to_string(),
                })
            })
            .collect();
        json!({"header": self.header(), "kvs": kvs, "count": kvs.len().to_string()})
    }

    fn header(&self) -> Json {
        json!({"revision": self.revision.to_string()})
    }

    fn txn(&mut self, request: &Json) -> Json {
        let array = |name: &str| request[name].as_array().cloned().unwrap_or_default();
        let all_match = array("compare").iter().all(|compare| {
            let key = decode(compare["key"].as_str().unwrap());
            let found = self.values.get(&key).map_or(0, |(_, revision)| *revision);
            compare["mod_revision"].as_str() == Some(&found.to_string())
        });
        if !all_match {
            return json!({"header": self.header()});
        }
        let operations = array("success");
        if operations
            .iter()
            .any(|operation| operation.get("requestPut").is_some())
        {
            self.revision += 1;
            self.writes += 1;
        }
        let mut responses = Vec::new();
        for operation in operations {
            if let Some(put) = operation.get("requestPut") {
                let value = STANDARD.decode(put["value"].as_str().unwrap()).unwrap();
                let key = decode(put["key"].as_str().unwrap());
                self.values.insert(key, (value, self.revision));
                responses.push(json!({"response_put": {"header": self.header()}}));
            } else {
                responses.push(json!({"response_range": self.range(&operation["requestRange"])}));
            }
        }
        json!({"header": self.header(), "succeeded": true, "responses": responses})
    }
}

fn decode(text: &str) -> String {
    String::from_utf8(STANDARD.decode(text).unwrap()).unwrap()
}

/// An in-process stand-in for the platform's store.
#[derive(Clone)]
pub struct StoreStandin {
    pub address: SocketAddr,
    pub data: Arc<Mutex<Data>>,
}

impl StoreStandin {
    pub async fn bind() -> Self {
        let data = Arc::new(Mutex::new(Data::default()));
        let shared = Arc::clone(&data);
        let address = serve(move |path, body| {
            let request: Json = serde_json::from_slice(&body).unwrap();
            let mut data = shared.lock().unwrap();
            if path == "/v3/kv/range" {
                return Some((200, data.range(&request).to_string()));
            }
            let writes = request["success"].to_string().contains("requestPut");
            if writes && let Some(concurrent_write) = data.concurrent_write.take() {
                for (key, value) in concurrent_write {
                    data.put(&key, value);
                }
            }
            let fault = if writes { data.faults.pop() } else { None };
            match fault {
                None => Some((200, data.txn(&request).to_string())),
                Some(Fault::LoseRequest) => None,
                Some(Fault::Refuse) => Some((429, "too many requests".to_owned())),
                Some(Fault::LoseAnswer) => {
                    data.txn(&request);
                    None
                }
            }
        })
        .await;
        Self { address, data }
    }

    /// Applies a fault to the next transaction that writes.
    pub fn inject_fault(&self, fault: Fault) {
        self.data.lock().unwrap().faults.push(fault);
    }

    pub fn writes(&self) -> usize {
        self.data.lock().unwrap().writes
    }

    /// Changes the stored bytes of a key, as a faulty manual edit would.
    pub fn damage(&self, key: &str, change: impl Fn(&mut Vec<u8>)) {
        let mut data = self.data.lock().unwrap();
        let mut value = data.values[key].0.clone();
        change(&mut value);
        data.put(key, value);
    }
}

/// Starts a server that answers every request with the node status, and returns its address.
pub async fn serve_status(status: Arc<Mutex<Json>>) -> SocketAddr {
    serve(move |_, _| Some((200, status.lock().unwrap().to_string()))).await
}

/// Starts a server that answers requests with the result of `handle`, and returns its address.
///
/// If `handle` returns `None`, the connection is closed without an answer.
async fn serve<H>(handle: H) -> SocketAddr
where
    H: Fn(&str, Bytes) -> Option<(u16, String)> + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handle = handle.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let handle = handle.clone();
                async move {
                    let path = request.uri().path().to_owned();
                    let body = request.into_body().collect().await.unwrap().to_bytes();
                    let (status, text) = handle(&path, body).ok_or("closed by a fault")?;
                    let response = Response::builder().status(status);
                    Ok::<_, &str>(response.body(Full::new(Bytes::from(text))).unwrap())
                }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// A directory for settings files, with a store and the addresses of nodes that commands use.
pub struct Workdir {
    directory: tempfile::TempDir,
    pub store: StoreStandin,
    pub node_addresses: Vec<SocketAddr>,
}

/// The output and the exit code of a command.
#[derive(Debug)]
pub struct CommandOutput {
    pub exit_code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl From<Output> for CommandOutput {
    fn from(output: Output) -> Self {
        Self {
            exit_code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

impl Workdir {
    pub async fn open() -> Self {
        Self {
            directory: tempfile::tempdir().unwrap(),
            store: StoreStandin::bind().await,
            node_addresses: Vec::new(),
        }
    }

    /// Opens a work directory whose store holds the settings as version 1.
    pub async fn with_settings(yaml: &str) -> Self {
        let workdir = Self::open().await;
        let file = workdir.write_file("first.yaml", yaml);
        let run = workdir.run(&["apply", &file]).await;
        assert_eq!(run.exit_code, 0, "{run:?}");
        workdir
    }

    /// Writes a file and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path: PathBuf = self.directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// Runs the operators' client with the store, the nodes and these arguments.
    pub async fn run(&self, arguments: &[&str]) -> CommandOutput {
        let mut command = Command::new(env!("CARGO_BIN_EXE_redwinggrade"));
        command.arg("--store").arg(self.store.address.to_string());
        for node in &self.node_addresses {
            command.arg("--node").arg(node.to_string());
        }
        command.args(arguments).env("USER", "tester");
        command.output().await.unwrap().into()
    }
}

/// Settings with three data centres and an override at every level of the tree.
pub const LAYERED_SETTINGS: &str = "\
defaults: { slots: 2, queue: 10, deadline_ms: 300 }
data_centres:
  dc1: { cells: [dc1-0], slots: 3 }
  dc2: { cells: [dc2-0], state: out }
  dc3: {}
indexes:
  viewing:
    slots: 4
    deadline_ms: 250
    data_centres:
      dc2: { slots: 5 }
    kinds:
      rush: { deadline_ms: 120, data_centres: { dc3: { deadline_ms: 90 } } }
      plain: {}
    services:
      s00: { slots: 6, data_centres: { dc2: { slots: 7 } } }
      s01: {}
      s02: { data_centres: { dc2: { queue: 11 } } }
";

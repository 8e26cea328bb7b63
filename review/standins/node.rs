//! Starts entry instances with the command and the settings template of the deploy file.

use std::fs::File;
use std::io::{Error, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Message, call};
use crate::record;

pub const HOST: &str = "pupu76.example";
/// How long a node may take until it is ready.
const START_TIME_MAX: Duration = Duration::from_secs(20);

/// The processes that run, by the numbers of their nodes.
static CHILDREN: Mutex<Vec<(u8, Child)>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn kill_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for (_, child) in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

/// A machine with one entry instance.
#[derive(Debug, Clone)]
pub struct Node {
    pub name: String,
    pub number: u8,
}

/// The addresses and ports that all machines of a run use.
#[derive(Debug, Clone)]
pub struct Fleet {
    network: [u8; 2],
    first_port: u16,
    directory: PathBuf,
}

impl Fleet {
    /// Chooses loopback addresses and ports that are free, for `count` machines.
    pub fn open(count: u8) -> Result<Self> {
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        for first_port in (8100..9000).step_by(20) {
            let fleet = Self {
                network: [high.max(1), low],
                first_port,
                directory: directory.clone(),
            };
            let is_free = (1..=count).all(|number| fleet.is_free(number));
            if is_free {
                return Ok(fleet);
            }
        }
        Err(Error::other("no free ports"))
    }

    fn is_free(&self, number: u8) -> bool {
        let host = self.host(number);
        (0..7).all(|offset| {
            let address = (host, self.first_port + offset);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        })
    }

    fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], number)
    }

    fn address(&self, number: u8, offset: u16) -> SocketAddr {
        SocketAddr::from((self.host(number), self.first_port + offset))
    }

    /// Starts the entry instance of machine `number` (from 1) in a zone. The seeds are the first three machines.
    pub fn start(&self, number: u8, zone: &str, store: SocketAddr, seeds: u8) -> Result<Node> {
        let name = format!("edge-{zone}-{number}");
        let json = |text: String| format!("\"{text}\"");
        let seeds: Vec<String> = (1..=seeds.min(3))
            .map(|seed| json(self.address(seed, 2).to_string()))
            .collect();
        let values = [
            ("node_name", json(name.clone())),
            ("zone", json(zone.to_owned())),
            (
                "bind_addrs.front",
                json(self.address(number, 0).to_string()),
            ),
            (
                "bind_addrs.ready",
                json(self.address(number, 1).to_string()),
            ),
            (
                "bind_addrs.control",
                json(self.address(number, 2).to_string()),
            ),
            (
                "bind_addrs.directory",
                json(self.address(number, 3).to_string()),
            ),
            (
                "port_range",
                format!("[{},{}]", self.first_port + 4, self.first_port + 5),
            ),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("platform.address", json(store.to_string())),
            ("bounds.grace_s", "6".to_owned()),
            ("heartbeat_ms", "1200".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("limits.cpu_cores", "1".to_owned()),
            ("limits.memory_mb", "256".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_slack", "58".to_owned()),
            ("bounds.quota_window_s", "5".to_owned()),
            ("bounds.quota_overshoot", "0.1".to_owned()),
            ("bounds.quota_slack", "20".to_owned()),
        ];
        let mut settings = std::fs::read_to_string("deploy/settings.yaml")?;
        for (field, value) in values {
            settings = settings.replace(&format!("{{{{{field}|json}}}}"), &value);
        }
        if settings.contains("{{") {
            return Err(Error::other("deploy/settings.yaml has an unknown field"));
        }
        let path = self.directory.join(format!("{name}.yaml"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.directory.join(format!("{name}.log")))?;
        let child = Command::new("target/release/redwinggrade-edge")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("REDWINGGRADE_NODE_FILE", &path)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        record::log(&format!("started {name} as process {}", child.id()));
        CHILDREN
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((number, child));
        Ok(Node { name, number })
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self, nodes: &[Node]) -> Result<()> {
        let start = Instant::now();
        while !nodes.iter().all(|node| self.is_ready(node)) {
            if start.elapsed() > START_TIME_MAX {
                return Err(Error::other("a node was not ready in time"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record::log("all nodes are ready");
        Ok(())
    }

    fn is_ready(&self, node: &Node) -> bool {
        let address = self.address(node.number, 1);
        let headers = [("host", "ready")];
        call(address, "GET", "/-/ready", &headers, Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Kills the process of a node.
    pub fn kill(&self, node: &Node) {
        let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, child) in children
            .iter_mut()
            .filter(|(number, _)| *number == node.number)
        {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.retain(|(number, _)| *number != node.number);
        record::log(&format!("killed {}", node.name));
    }

    /// Returns the lines that a node has written to standard output and standard error.
    pub fn output(&self, node: &Node) -> String {
        let path = self.directory.join(format!("{}.log", node.name));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a caller's request with its own id to a node on a new connection, and records the answer.
    pub fn send(&self, node: &Node, path: &str, id: &str) -> Result<Message> {
        let headers = [
            ("host", HOST),
            ("x-request-id", id),
            ("x-deadline-ms", "2000"),
        ];
        record::log(&format!("client sends {id} to {} ({path})", node.name));
        let answer = call(
            self.address(node.number, 0),
            "GET",
            path,
            &headers,
            Duration::from_secs(3),
        );
        match &answer {
            Ok(answer) => record::log(&format!(
                "client gets {} for {id}: {}",
                answer.status(),
                String::from_utf8_lossy(&answer.body[..answer.body.len().min(32)])
            )),
            Err(e) => record::log(&format!("client gets no answer for {id}: {e}")),
        }
        answer
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

//! The processes of one installation: stand-ins and nodes, with the operators' client.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use base64::Engine;
use base64::prelude::BASE64_STANDARD as BASE64;
use serde_json::{Value as Json, json};
use standins::http;
use standins::process::{Process, Signal};
use standins::target::spec::Spec;
use tempfile::TempDir;

/// Bounds every wait for a condition; it only ends waits that would never end otherwise.
pub const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);
/// How long a status may take before the node counts as one that does not answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What an installation consists of.
#[derive(Debug, Clone)]
pub struct Config {
    /// The targets.
    pub spec: Spec,
    /// The data centres; nodes are spread over them in turn.
    pub data_centres: Vec<String>,
    /// The number of nodes.
    pub nodes: usize,
    /// The settings that operators apply at the start.
    pub settings: PathBuf,
    /// Worker threads of each node.
    pub threads: u16,
}

/// One node of the installation.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    process: Option<Process>,
}

/// A running installation; dropping it ends all its processes.
#[derive(Debug)]
pub struct Fleet {
    directory: TempDir,
    binaries: PathBuf,
    config: Config,
    store_address: SocketAddr,
    membership_address: SocketAddr,
    targets_address: SocketAddr,
    /// The nodes in the order of their numbers.
    pub nodes: Vec<Node>,
    _stand_ins: Vec<Process>,
}

/// Returns the directory into which the workspace's binaries are built.
pub fn binary_directory() -> anyhow::Result<PathBuf> {
    let me = std::env::current_exe()?;
    let directory = me.parent().context("the program lies in no directory")?;
    // Test executables lie in the folder `deps` of that directory.
    let directory = if directory.ends_with("deps") {
        directory.parent().unwrap_or(directory)
    } else {
        directory
    };
    Ok(directory.to_owned())
}

impl Fleet {
    /// Starts everything, applies the settings and waits until every node holds a permit.
    pub async fn start(config: Config) -> anyhow::Result<Self> {
        let directory = tempfile::tempdir()?;
        let binaries = binary_directory()?;
        let path = |name: &str| binaries.join(name);
        let store = Process::start(&path("standin-store"), &[] as &[&str], "listening on ")?;
        let members = Process::start(&path("standin-members"), &[] as &[&str], "listening on ")?;
        let spec = directory.path().join("targets.yaml");
        // JSON is a part of YAML.
        std::fs::write(&spec, serde_json::to_vec(&config.spec)?)?;
        let addresses = directory.path().join("targets.json");
        let arguments = [
            "--spec",
            path_text(&spec)?,
            "--addresses",
            path_text(&addresses)?,
            "--members",
            members.announced(),
        ];
        let targets = Process::start(&path("standin-targets"), &arguments, "listening on ")?;
        let mut fleet = Self {
            store_address: store.announced().parse()?,
            membership_address: members.announced().parse()?,
            targets_address: targets.announced().parse()?,
            nodes: Vec::new(),
            _stand_ins: vec![store, members, targets],
            directory,
            binaries,
            config,
        };
        for number in 0..fleet.config.nodes {
            fleet.start_new_node(number)?;
        }
        let settings = fleet.config.settings.clone();
        fleet.apply_settings(&settings)?;
        fleet.wait_for_permits().await?;
        Ok(fleet)
    }

    fn start_new_node(&mut self, number: usize) -> anyhow::Result<()> {
        let data_centre = &self.config.data_centres[number % self.config.data_centres.len()];
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut node = Node {
            name: format!("node-{}", number + 1),
            data_centre: data_centre.clone(),
            caller: any,
            admin: any,
            process: None,
        };
        self.launch_node(&mut node, any)?;
        self.nodes.push(node);
        Ok(())
    }

    fn launch_node(&self, node: &mut Node, peer: SocketAddr) -> anyhow::Result<()> {
        let path = self.directory.path().join(format!("{}.yaml", node.name));
        let settings = json!({
            "name": node.name,
            "data_centre": node.data_centre,
            "cell": format!("{}-0", node.data_centre),
            "caller": node.caller,
            "peer": peer,
            "admin": node.admin,
            "store": [self.store_address],
            "members": self.membership_address,
        });
        std::fs::write(&path, serde_json::to_vec(&settings)?)?;
        let threads = self.config.threads.to_string();
        let arguments = ["--threads", &threads, path_text(&path)?];
        let program = self.binaries.join("redwinggrade-node");
        let process = Process::start_logged(&program, &arguments, "listening ")?;
        let announced = process.announced();
        node.caller = announced_address(announced, "caller=")?;
        node.admin = announced_address(announced, "admin=")?;
        let peer: SocketAddr = announced_address(announced, "peer=")?;
        // A node that restarts takes the addresses of its earlier run.
        let peers = self.directory.path().join(format!("{}.peer", node.name));
        std::fs::write(peers, peer.to_string())?;
        node.process = Some(process);
        Ok(())
    }

    /// Starts a node again that has ended.
    pub fn restart_node(&mut self, number: usize) -> anyhow::Result<()> {
        let name = &self.nodes[number].name;
        let peer = self.directory.path().join(format!("{name}.peer"));
        let peer = std::fs::read_to_string(peer)?.parse()?;
        let mut node = Node {
            name: name.clone(),
            data_centre: self.nodes[number].data_centre.clone(),
            caller: self.nodes[number].caller,
            admin: self.nodes[number].admin,
            process: None,
        };
        self.launch_node(&mut node, peer)?;
        self.nodes[number] = node;
        Ok(())
    }

    /// Returns the process id of a running node.
    pub fn process_id(&self, number: usize) -> Option<u32> {
        self.nodes[number].process.as_ref().map(Process::id)
    }

    /// Adds instances to the membership list, apart from those that the targets registered.
    pub async fn add_listed_instances(&self, instances: &Json) -> anyhow::Result<()> {
        http::call_json(
            self.membership_address,
            "POST",
            "/admin/instances",
            instances,
        )
        .await?;
        Ok(())
    }

    /// Returns the address of the store stand-in.
    pub fn store_address(&self) -> SocketAddr {
        self.store_address
    }

    /// Returns what a running node has logged.
    pub fn node_log(&self, number: usize) -> Vec<String> {
        let process = self.nodes[number].process.as_ref();
        process.map_or_else(Vec::new, Process::log)
    }

    /// Sends a signal to a node.
    pub fn signal_node(&mut self, number: usize, signal: Signal) -> anyhow::Result<()> {
        let node = &mut self.nodes[number];
        let process = node.process.as_mut().context("the node does not run")?;
        process.signal(signal)
    }

    /// Kills a node.
    pub fn kill_node(&mut self, number: usize) -> anyhow::Result<()> {
        let node = &mut self.nodes[number];
        node.process
            .take()
            .context("the node does not run")?
            .kill()?;
        Ok(())
    }

    /// Waits until a node that was asked to stop has ended; returns whether it ended well.
    pub async fn wait_for_exit(&mut self, number: usize) -> anyhow::Result<bool> {
        let node = &mut self.nodes[number];
        let mut process = node.process.take().context("the node does not run")?;
        let status = tokio::task::spawn_blocking(move || process.wait()).await??;
        Ok(status.success())
    }

    /// Returns the callers' addresses of all nodes.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.caller).collect()
    }

    /// Runs the operators' client.
    pub fn run_operator_client(&self, arguments: &[&str]) -> anyhow::Result<Output> {
        let admins: Vec<String> = self
            .nodes
            .iter()
            .filter(|node| node.process.is_some())
            .map(|node| node.admin.to_string())
            .collect();
        let output = Command::new(self.binaries.join("redwinggrade"))
            .args(["--store", &self.store_address.to_string()])
            .args(["--node", &admins.join(",")])
            .args(arguments)
            .output()?;
        Ok(output)
    }

    /// Runs the operators' client and fails unless the change is accepted.
    pub fn run_accepted_change(&self, arguments: &[&str]) -> anyhow::Result<()> {
        let output = self.run_operator_client(arguments)?;
        if output.status.success() {
            return Ok(());
        }
        let said = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        bail!(
            "redwinggrade {arguments:?} ended with {}: {said}",
            output.status
        )
    }

    /// Applies a settings file.
    pub fn apply_settings(&self, file: &Path) -> anyhow::Result<()> {
        self.run_accepted_change(&["apply", path_text(file)?])
    }

    /// Returns the status of a node; a frozen node gives an error.
    pub async fn node_status(&self, number: usize) -> anyhow::Result<Json> {
        let admin = self.nodes[number].admin;
        let call = http::call_json(admin, "GET", "/admin/status", &Json::Null);
        tokio::time::timeout(STATUS_TIMEOUT, call).await?
    }

    /// Waits until a node of a cell knows a record with so many members.
    pub async fn wait_for_members(&self, cell: &str, count: usize) -> anyhow::Result<()> {
        self.wait_until(&format!("{count} members in {cell}"), async || {
            for (number, node) in self.nodes.iter().enumerate() {
                if node.process.is_none() {
                    continue;
                }
                let status = self.node_status(number).await.unwrap_or_default();
                let members = status["record"]["members"].as_array();
                if status["cell"] == json!(cell) && members.is_some_and(|it| it.len() == count) {
                    return true;
                }
            }
            false
        })
        .await
    }

    /// Returns a counter of a node from its metrics, zero if it has not counted yet.
    pub async fn counter(&self, number: usize, name: &str) -> anyhow::Result<f64> {
        let admin = self.nodes[number].admin;
        let response = http::call(admin, "GET", "/metrics", &[], Vec::new()).await?;
        let text = String::from_utf8_lossy(response.body()).into_owned();
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        Ok(value.map_or(Ok(0.0), str::parse)?)
    }

    /// Returns the sum over the running nodes of each counter with its labels.
    pub async fn counters(&self) -> anyhow::Result<BTreeMap<String, f64>> {
        let mut sums = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.process.is_some()) {
            let response = http::call(node.admin, "GET", "/metrics", &[], Vec::new()).await?;
            let text = String::from_utf8_lossy(response.body()).into_owned();
            for line in text.lines().filter(|line| !line.starts_with('#')) {
                let Some((name, value)) = line.rsplit_once(' ') else {
                    continue;
                };
                let name = name.trim_start_matches("redwinggrade_").to_owned();
                *sums.entry(name).or_default() += value.parse::<f64>().unwrap_or(0.0);
            }
        }
        Ok(sums)
    }

    /// Waits until every running node holds a permit and its cell lists all of them.
    pub async fn wait_for_permits(&self) -> anyhow::Result<()> {
        for number in 0..self.nodes.len() {
            if self.nodes[number].process.is_none() {
                continue;
            }
            self.wait_for_permit(number).await?;
        }
        Ok(())
    }

    /// Waits until a node holds a permit.
    pub async fn wait_for_permit(&self, number: usize) -> anyhow::Result<()> {
        self.wait_until(&format!("a permit of node {}", number + 1), async || {
            let status = self.node_status(number).await.unwrap_or_default();
            status["permit"] == json!(true)
        })
        .await
    }

    /// Waits until a condition holds.
    pub async fn wait_until<F>(&self, what: &str, mut condition: F) -> anyhow::Result<()>
    where
        F: AsyncFnMut() -> bool,
    {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !condition().await {
            if Instant::now() >= deadline {
                bail!("waited in vain for {what}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Gives the target stand-ins a command.
    pub async fn command_targets(&self, command: &Json) -> anyhow::Result<()> {
        http::call_json(self.targets_address, "POST", "/admin/target", command).await?;
        Ok(())
    }

    /// Writes a value into the store, as an operator without the client would.
    pub async fn put_store_value(&self, key: &str, value: &[u8]) -> anyhow::Result<()> {
        let write = json!({"key": BASE64.encode(key), "value": BASE64.encode(value)});
        http::call_json(self.store_address, "POST", "/v3/kv/put", &write).await?;
        Ok(())
    }

    /// Returns the store stand-in's journal of successful writes.
    pub async fn store_journal(&self) -> anyhow::Result<Json> {
        http::call_json(self.store_address, "GET", "/admin/journal", &Json::Null).await
    }

    /// Sets the faults of the store stand-in.
    pub async fn set_store_faults(&self, faults: &Json) -> anyhow::Result<()> {
        http::call_json(self.store_address, "POST", "/admin/faults", faults).await?;
        Ok(())
    }

    /// Sets the faults of the membership stand-in.
    pub async fn set_membership_faults(&self, faults: &Json) -> anyhow::Result<()> {
        http::call_json(self.membership_address, "POST", "/admin/faults", faults).await?;
        Ok(())
    }

    /// Returns the store stand-in's count of calls.
    pub async fn store_call_counts(&self) -> anyhow::Result<Json> {
        http::call_json(self.store_address, "GET", "/admin/calls", &Json::Null).await
    }

    /// Returns the target stand-ins' verdict.
    pub async fn target_verdict(&self) -> anyhow::Result<standins::target::Verdict> {
        let json =
            http::call_json(self.targets_address, "GET", "/admin/verdict", &Json::Null).await?;
        Ok(serde_json::from_value(json)?)
    }

    /// Returns the target stand-ins' journal.
    pub async fn target_journal(&self) -> anyhow::Result<Vec<standins::target::Entry>> {
        let mut entries = Vec::new();
        let mut from = Some(0);
        while let Some(at) = from {
            let path = format!("/admin/journal?from={at}");
            let json = http::call_json(self.targets_address, "GET", &path, &Json::Null).await?;
            let page: standins::target::Page = serde_json::from_value(json)?;
            entries.extend(page.entries);
            from = page.next;
        }
        Ok(entries)
    }

    /// Returns the targets' spec.
    pub fn target_spec(&self) -> &Spec {
        &self.config.spec
    }
}

fn path_text(path: &Path) -> anyhow::Result<&str> {
    path.to_str().context("a path is not valid UTF-8")
}

fn announced_address(line: &str, name: &str) -> anyhow::Result<SocketAddr> {
    let value = line
        .split(' ')
        .find_map(|part| part.strip_prefix(name))
        .with_context(|| format!("no {name} in \"{line}\""))?;
    Ok(value.parse()?)
}

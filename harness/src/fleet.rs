//! The processes of one installation (stand-ins and nodes), and calls to their administrative interfaces.

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

/// The limit of every wait for a condition; long enough that only a condition that never holds exceeds it.
pub const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);
/// The time limit of a status request; a frozen node accepts the connection but never answers.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The composition of an installation.
#[derive(Debug, Clone)]
pub struct Config {
    /// The targets that the stand-in process runs.
    pub spec: Spec,
    /// The names of the data centres; nodes are assigned to them round-robin.
    pub data_centres: Vec<String>,
    /// The number of nodes.
    pub nodes: usize,
    /// The path of the settings file that is applied at the start.
    pub settings: PathBuf,
    /// The number of worker threads of each node.
    pub threads: u16,
    /// The memory that the settings file of each node states, in MiB; absent if it states none.
    pub memory_mb: Option<u64>,
}

/// One node of the installation.
#[derive(Debug)]
pub struct Node {
    /// The name, such as `node-1`.
    pub name: String,
    /// The name of the data centre.
    pub data_centre: String,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address of the administrative interface.
    pub admin: SocketAddr,
    process: Option<Process>,
}

/// A running installation; dropping it terminates all its processes.
#[derive(Debug)]
pub struct Fleet {
    directory: TempDir,
    binary_directory: PathBuf,
    config: Config,
    store_address: SocketAddr,
    membership_address: SocketAddr,
    targets_address: SocketAddr,
    /// The nodes; methods that take a node number take the position in this list.
    pub nodes: Vec<Node>,
    _stand_ins: Vec<Process>,
}

/// Returns the directory that holds the workspace's built programs.
pub fn binary_directory() -> anyhow::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let directory = executable
        .parent()
        .context("the path of the running program has no parent directory")?;
    // Cargo puts test executables into the folder `deps` of that directory.
    let directory = if directory.ends_with("deps") {
        directory.parent().unwrap_or(directory)
    } else {
        directory
    };
    Ok(directory.to_owned())
}

impl Fleet {
    /// Starts the stand-ins and nodes, applies the settings and waits until every node holds a permit.
    pub async fn start(config: Config) -> anyhow::Result<Self> {
        let directory = tempfile::tempdir()?;
        let binary_directory = binary_directory()?;
        let path = |name: &str| binary_directory.join(name);
        let store = Process::start(&path("standin-store"), &[] as &[&str], "listening on ")?;
        let members = Process::start(&path("standin-members"), &[] as &[&str], "listening on ")?;
        let spec = directory.path().join("targets.yaml");
        // Every JSON document is also valid YAML.
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
            binary_directory,
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
        let unassigned: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut node = Node {
            name: format!("node-{}", number + 1),
            data_centre: data_centre.clone(),
            caller: unassigned,
            admin: unassigned,
            process: None,
        };
        self.launch_node(&mut node, unassigned)?;
        self.nodes.push(node);
        Ok(())
    }

    fn launch_node(&self, node: &mut Node, peer: SocketAddr) -> anyhow::Result<()> {
        let path = self.directory.path().join(format!("{}.yaml", node.name));
        let mut settings = json!({
            "name": node.name,
            "data_centre": node.data_centre,
            "cell": format!("{}-0", node.data_centre),
            "caller": node.caller,
            "peer": peer,
            "admin": node.admin,
            "store": [self.store_address],
            "members": self.membership_address,
        });
        if let Some(memory_mb) = self.config.memory_mb {
            settings["memory_mb"] = memory_mb.into();
        }
        std::fs::write(&path, serde_json::to_vec(&settings)?)?;
        let threads = self.config.threads.to_string();
        let arguments = ["--threads", &threads, path_text(&path)?];
        let program = self.binary_directory.join("redwinggrade-node");
        let process = Process::start_capturing_stderr(&program, &arguments, "listening ")?;
        let announced = process.announced();
        node.caller = announced_address(announced, "caller=")?;
        node.admin = announced_address(announced, "admin=")?;
        let peer: SocketAddr = announced_address(announced, "peer=")?;
        // A node that is restarted listens at the same addresses as before.
        let peers = self.directory.path().join(format!("{}.peer", node.name));
        std::fs::write(peers, peer.to_string())?;
        node.process = Some(process);
        Ok(())
    }

    /// Starts a node that has exited again, with the same name and addresses.
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

    /// Returns the process id of a node, or `None` if it does not run.
    pub fn process_id(&self, number: usize) -> Option<u32> {
        self.nodes[number].process.as_ref().map(Process::id)
    }

    /// Adds instances to the membership list, in addition to those that the targets have registered.
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

    /// Returns the log lines of a running node.
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

    /// Kills a node with SIGKILL.
    pub fn kill_node(&mut self, number: usize) -> anyhow::Result<()> {
        let node = &mut self.nodes[number];
        node.process
            .take()
            .context("the node does not run")?
            .kill()?;
        Ok(())
    }

    /// Waits until a node that was told to stop has exited; returns whether it exited with status 0.
    pub async fn wait_for_exit(&mut self, number: usize) -> anyhow::Result<bool> {
        let node = &mut self.nodes[number];
        let mut process = node.process.take().context("the node does not run")?;
        let status = tokio::task::spawn_blocking(move || process.wait()).await??;
        Ok(status.success())
    }

    /// Returns the addresses of all nodes for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.caller).collect()
    }

    /// Runs the operators' client against the store and the running nodes; returns its output.
    pub fn run_operator_client(&self, arguments: &[&str]) -> anyhow::Result<Output> {
        let admins: Vec<String> = self
            .nodes
            .iter()
            .filter(|node| node.process.is_some())
            .map(|node| node.admin.to_string())
            .collect();
        let output = Command::new(self.binary_directory.join("redwinggrade"))
            .args(["--store", &self.store_address.to_string()])
            .args(["--node", &admins.join(",")])
            .args(arguments)
            .output()?;
        Ok(output)
    }

    /// Runs the operators' client and returns an error unless it exits with status 0, which means that the
    /// change is accepted.
    pub fn run_accepted_change(&self, arguments: &[&str]) -> anyhow::Result<()> {
        let output = self.run_operator_client(arguments)?;
        if output.status.success() {
            return Ok(());
        }
        let printed = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        bail!(
            "redwinggrade {arguments:?} ended with {}: {printed}",
            output.status
        )
    }

    /// Applies a settings file with the operators' client.
    pub fn apply_settings(&self, file: &Path) -> anyhow::Result<()> {
        self.run_accepted_change(&["apply", path_text(file)?])
    }

    /// Returns the status of a node, or an error if the node does not answer within [`STATUS_TIMEOUT`].
    pub async fn node_status(&self, number: usize) -> anyhow::Result<Json> {
        let admin = self.nodes[number].admin;
        let call = http::call_json(admin, "GET", "/admin/status", &Json::Null);
        tokio::time::timeout(STATUS_TIMEOUT, call).await?
    }

    /// Waits until at least one node of a cell has a cell record with `count` members.
    pub async fn wait_for_members(&self, cell: &str, count: usize) -> anyhow::Result<()> {
        self.wait_until(&format!("{count} members in {cell}"), async || {
            for (number, node) in self.nodes.iter().enumerate() {
                if node.process.is_none() {
                    continue;
                }
                let status = self.node_status(number).await.unwrap_or_default();
                let members = status["record"]["members"].as_array();
                if status["cell"] == json!(cell)
                    && members.is_some_and(|members| members.len() == count)
                {
                    return true;
                }
            }
            false
        })
        .await
    }

    /// Returns a counter from the metrics of a node; 0 if the metrics do not contain it yet.
    pub async fn counter(&self, number: usize, name: &str) -> anyhow::Result<f64> {
        let admin = self.nodes[number].admin;
        let response = http::call(admin, "GET", "/metrics", &[], Vec::new()).await?;
        let text = String::from_utf8_lossy(response.body()).into_owned();
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        Ok(value.map_or(Ok(0.0), str::parse)?)
    }

    /// Returns each metric, by name and labels without the prefix `redwinggrade_`, summed over all running
    /// nodes.
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

    /// Waits until each running node holds a permit.
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

    /// Checks a condition every [`POLL_INTERVAL`] until it holds; returns an error that names it after
    /// [`CONDITION_TIMEOUT`].
    pub async fn wait_until<F>(&self, condition_name: &str, mut condition: F) -> anyhow::Result<()>
    where
        F: AsyncFnMut() -> bool,
    {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !condition().await {
            if Instant::now() >= deadline {
                bail!("timed out waiting for {condition_name}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Sends a command to the target stand-ins.
    pub async fn command_targets(&self, command: &Json) -> anyhow::Result<()> {
        http::call_json(self.targets_address, "POST", "/admin/target", command).await?;
        Ok(())
    }

    /// Writes a value into the store directly, without the operators' client and its checks.
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

    /// Returns the store stand-in's counts of reads and writes, and the highest rate of each.
    pub async fn store_call_counts(&self) -> anyhow::Result<Json> {
        http::call_json(self.store_address, "GET", "/admin/calls", &Json::Null).await
    }

    /// Returns the target stand-ins' own verdict on the requests that they received.
    pub async fn target_verdict(&self) -> anyhow::Result<standins::target::Verdict> {
        let json =
            http::call_json(self.targets_address, "GET", "/admin/verdict", &Json::Null).await?;
        Ok(serde_json::from_value(json)?)
    }

    /// Returns all entries of the target stand-ins' journal, read page by page.
    pub async fn target_journal(&self) -> anyhow::Result<Vec<standins::target::JournalEntry>> {
        let mut entries = Vec::new();
        let mut from = Some(0);
        while let Some(at) = from {
            let path = format!("/admin/journal?from={at}");
            let json = http::call_json(self.targets_address, "GET", &path, &Json::Null).await?;
            let page: standins::target::JournalPage = serde_json::from_value(json)?;
            entries.extend(page.entries);
            from = page.next;
        }
        Ok(entries)
    }

    /// Returns the specification of the targets.
    pub fn target_spec(&self) -> &Spec {
        &self.config.spec
    }
}

fn path_text(path: &Path) -> anyhow::Result<&str> {
    path.to_str().context("a file path is not valid UTF-8")
}

fn announced_address(line: &str, name: &str) -> anyhow::Result<SocketAddr> {
    let value = line
        .split(' ')
        .find_map(|part| part.strip_prefix(name))
        .with_context(|| {
            format!("expected an address after \"{name}\" in the printed line \"{line}\"")
        })?;
    Ok(value.parse()?)
}

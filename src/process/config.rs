//! The settings file of one node: its name, its data centre and cell, and its addresses.
//!
//! The settings that operators change at run time are a tree in the store; see `docs/design.md`, section 7.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// The start-up configuration of a node, as its settings file gives it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The name of the node, unique among all nodes and tied to its peer address; 1 to 64 bytes.
    pub name: String,
    /// The name of the data centre that the node runs in; 1 to 64 bytes.
    pub data_centre: String,
    /// The name of the cell that the node belongs to; 1 to 64 bytes.
    pub cell: String,
    /// The address that the node listens on for callers, and that they connect to.
    pub caller: SocketAddr,
    /// The address that the node listens on for other nodes, and that they connect to.
    pub peer: SocketAddr,
    /// The address on which the node serves metrics and its status to operators.
    pub admin: SocketAddr,
    /// The addresses of the platform's store, at least one.
    pub store: Vec<SocketAddr>,
    /// The address of the platform's membership list.
    pub members: SocketAddr,
    /// The memory of the machine that the node may use, in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: usize,
}

/// The reason why a node's settings file cannot be used.
#[derive(Debug, Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The path of the settings file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not YAML, or a key of it is unknown, missing or of the wrong type.
    #[error("{path}: {message}")]
    Parse {
        /// The path of the settings file.
        path: PathBuf,
        /// What was expected and what was found, with the line and the key if they are known.
        message: String,
    },
    /// A value has the right type but is not allowed for its key.
    #[error("{path}: {key}: {requirement}")]
    Value {
        /// The path of the settings file.
        path: PathBuf,
        /// The key of the value.
        key: &'static str,
        /// What the value must be.
        requirement: &'static str,
    },
}

impl Config {
    /// Reads, parses and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text, path)
    }

    /// Parses and checks the text of a settings file; `path` appears in errors only.
    pub fn parse(text: &str, path: &Path) -> Result<Self, Error> {
        let config: Self = serde_saphyr::from_str(text).map_err(|e| Error::Parse {
            path: path.to_owned(),
            message: e.to_string(),
        })?;
        match config.first_invalid_value() {
            Some((key, requirement)) => Err(Error::Value {
                path: path.to_owned(),
                key,
                requirement,
            }),
            None => Ok(config),
        }
    }

    /// Returns the memory that callers may make the node hold, in bytes.
    pub const fn caller_memory_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(1 << 20) / 8 * CALLER_MEMORY_EIGHTHS
    }

    /// Returns the key of the first value that is not allowed, and what the value must be.
    fn first_invalid_value(&self) -> Option<(&'static str, &'static str)> {
        let is_valid_name = |text: &str| {
            !text.is_empty()
                && text.len() <= MAX_NAME_BYTES
                && text
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        };
        if !is_valid_name(&self.name) {
            return Some(("name", NAME_REQUIREMENT));
        }
        if !is_valid_name(&self.data_centre) {
            return Some(("data_centre", NAME_REQUIREMENT));
        }
        if !is_valid_name(&self.cell) {
            return Some(("cell", NAME_REQUIREMENT));
        }
        if self.store.is_empty() {
            return Some(("store", "needs at least one address"));
        }
        if self.memory_mb < MEMORY_MB_MIN {
            return Some(("memory_mb", "must be at least 64"));
        }
        let unspecified = [("caller", self.caller), ("peer", self.peer)]
            .into_iter()
            .find(|(_, address)| address.ip().is_unspecified());
        unspecified.map(|(key, _)| (key, "must be an address that others can connect to"))
    }
}

/// Maximum length of the name of a node, a data centre or a cell, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The error message for a name that is not allowed.
const NAME_REQUIREMENT: &str = "must be 1 to 64 letters, digits, hyphens or underscores";
/// The memory of a node whose settings file does not state it, in MiB. It suffices for the maximum number of connections
/// of callers, each with the largest head and body.
const MEMORY_MB_DEFAULT: usize = 6_144;
/// The least memory that a settings file may state, in MiB.
const MEMORY_MB_MIN: usize = 64;
/// The part of a node's memory, in eighths, that callers may make it hold. The rest is for the process itself, other nodes,
/// targets and the system's buffers.
const CALLER_MEMORY_EIGHTHS: usize = 3;

const fn default_memory_mb() -> usize {
    MEMORY_MB_DEFAULT
}

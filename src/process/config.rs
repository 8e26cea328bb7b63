//! The settings file of one node: its name, its place and its addresses.
//!
//! The settings tree of the operators is another matter; see `docs/design.md`, section 7.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

/// What a node must know before it can reach anything else.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The node's name, unique over all nodes and tied to its peer address.
    pub name: String,
    /// The data centre that the node stands in.
    pub data_centre: String,
    /// The cell that the node belongs to.
    pub cell: String,
    /// The address that callers connect to.
    pub caller: SocketAddr,
    /// The address that other nodes connect to.
    pub peer: SocketAddr,
    /// The address for metrics and status.
    pub admin: SocketAddr,
    /// The addresses of the platform's store.
    pub store: Vec<SocketAddr>,
    /// The address of the platform's membership list.
    pub members: SocketAddr,
}

/// Why a node's settings file cannot be used.
#[derive(Debug, Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not a valid settings file; the text names the line and the key.
    #[error("{path}: {message}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, with its location.
        message: String,
    },
    /// A value is syntactically right but cannot be used.
    #[error("{path}: {key}: {requirement}")]
    Value {
        /// The file.
        path: PathBuf,
        /// The key of the value.
        key: &'static str,
        /// What is wrong with it.
        requirement: &'static str,
    },
}

impl Config {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text, path)
    }

    /// Checks the text of a settings file; `path` is used for errors only.
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
        let unspecified = [("caller", self.caller), ("peer", self.peer)]
            .into_iter()
            .find(|(_, address)| address.ip().is_unspecified());
        unspecified.map(|(key, _)| (key, "must be an address that others can connect to"))
    }
}

/// The longest name of a node, a data centre or a cell, in bytes.
const MAX_NAME_BYTES: usize = 64;
const NAME_REQUIREMENT: &str = "must be 1 to 64 letters, digits, hyphens or underscores";

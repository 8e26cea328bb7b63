//! Versioned data: the settings, the route table, and the directory of targets and index versions.
//!
//! A value of these types describes one version and is replaced whole by the next one.

pub mod acceptance;
pub mod directory;
mod draft;
pub mod edit;
mod index;
pub mod item;
pub mod key;
pub mod log;
pub mod policy;
mod reader;
pub mod replica;
pub mod route;
pub mod section;
pub mod tree;

pub use tree::Tree;

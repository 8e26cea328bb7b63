//! What lives as long as one version of the settings or of an index.

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

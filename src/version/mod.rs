//! What lives as long as one version of the settings or of an index.

pub mod directory;
pub mod policy;

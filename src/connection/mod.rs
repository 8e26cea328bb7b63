//! What lives as long as one connection: to a target or to another node.

pub mod peer;
pub mod target;

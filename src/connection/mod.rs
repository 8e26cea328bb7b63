//! What lives as long as a connection: to callers, and to operators' tools.

pub mod admin;
pub mod caller;

//! Clients and servers for the connections to callers, operators, other nodes, targets, the
//! membership list and the store.

pub mod admin;
pub mod body;
pub mod caller;
pub mod head;
pub mod keyspace;
pub mod members;
pub mod memory;
mod metered;
pub mod mirror;
pub mod operator;
pub mod outbound;
pub mod peer;
pub mod server;
pub mod settings;
pub mod store;
pub mod target;

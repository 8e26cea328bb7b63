//! What lives as long as a connection, and the clients that hold connections.

pub mod settings;
pub mod store;

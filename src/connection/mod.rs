//! What lives as long as a connection, and the clients that hold connections.

pub mod admin;
pub mod settings;
pub mod store;

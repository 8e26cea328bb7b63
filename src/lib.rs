//! A query tier over many shards.
//!
//! The modules follow life spans, as described in `docs/design.md`: what lives for one request, one
//! connection, one version of the settings or the index, and one process. Decisions are pure state
//! machines that take the present time as an argument; sockets and clocks stay at the edges.

pub mod client;
pub mod command;
pub mod connection;
pub mod process;
pub mod request;
pub mod time;
pub mod version;
pub mod wire;

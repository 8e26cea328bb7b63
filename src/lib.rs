//! A query tier over many shards: nodes accept queries of callers, send subrequests to the targets that
//! hold the shards and merge their answers.
//!
//! State is divided into modules by its lifetime, as described in `docs/design.md`: that of one request,
//! one connection, one version of the settings or the index, or one process. Decisions are made by pure
//! state machines that take the current time as an argument and use neither sockets nor clocks.

pub mod balancing;
pub mod client;
pub mod command;
pub mod connection;
pub mod overload;
pub mod process;
pub mod quota;
pub mod request;
pub mod rollout;
pub mod tenancy;
pub mod time;
pub mod version;
pub mod wire;

//! What lives as long as the process: its configuration, its counters, and the state it owns.

pub mod config;
pub mod log;
pub mod metrics;

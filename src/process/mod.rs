//! What lives as long as the process: its configuration, its counters, and the state it owns.

pub mod address;
pub mod cell;
pub mod drain;
pub mod metrics;
pub mod owner;

//! What lives as long as the process: its configuration, its counters, and the state it owns.

pub mod cell;
pub mod metrics;
pub mod owner;

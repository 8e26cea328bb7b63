//! What lives as long as the process: its configuration, its counters, and the state it owns.

pub mod cell;
pub mod config;
pub mod gate;
pub mod gateway;
pub mod log;
pub mod metrics;
pub mod owner;
pub mod ramp;
pub mod record;

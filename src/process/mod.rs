//! What lives as long as the process: its configuration, its counters, and the state it owns.

pub mod gate;
pub mod gateway;
pub mod metrics;
pub mod ramp;

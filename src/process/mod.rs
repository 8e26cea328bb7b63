//! What lives as long as the process: its configuration, its counters, and the state it owns.

pub mod metrics;
pub mod record;

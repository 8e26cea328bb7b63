//! What lives as long as the process: its configuration, its counters, and the state it owns.

pub mod address;
pub mod budget;
pub mod cell;
pub mod config;
pub mod control;
pub mod coordinator;
pub mod drain;
pub mod entry;
pub mod follow;
pub mod gate;
pub mod gateway;
pub mod ledger;
pub mod log;
pub mod metrics;
pub mod mirror;
pub mod node;
pub mod owner;
pub mod placement;
pub mod pulse;
pub mod ramp;
pub mod record;
pub mod registry;
pub mod roster;
pub mod view;
pub mod warmup;

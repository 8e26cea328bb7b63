//! Starts the system and its stand-ins as separate processes, sends load, brings about faults, and
//! judges from the stand-ins' own journals.

pub mod fixture;
pub mod fleet;
pub mod judge;
pub mod load;

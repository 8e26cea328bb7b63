//! Starts the system and its stand-ins as separate processes, sends load, brings about faults, and
//! judges from the stand-ins' own journals.

pub mod checker;
pub mod fixture;
pub mod fleet;
pub mod load;

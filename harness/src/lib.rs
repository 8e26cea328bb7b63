//! Runs a redwinggrade installation as separate processes together with stand-ins for the platform and
//! the targets, sends load, injects faults, and checks the callers' results against the stand-ins'
//! journals.

pub mod checker;
pub mod fixture;
pub mod fleet;
pub mod load;

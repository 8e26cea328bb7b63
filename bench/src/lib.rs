//! A discrete-event simulation that runs the decision code of redwinggrade in virtual time against
//! model targets.
//!
//! Runs are deterministic: the same seed gives the same result, because the simulation uses one
//! thread, one event heap, seeded random generators and no real clock. `docs/design.md`, section 6,
//! lists the decisions; `docs/MEASUREMENTS.md` has the figures.

pub mod acceptance;
mod membership;
pub mod policy;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod size;
pub mod stats;
pub mod target;

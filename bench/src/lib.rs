//! The decision bench: runs the decision code of redwinggrade in virtual time against model targets.
//!
//! The same seed always gives the same result: one thread, one event heap, seeded generators, no
//! clock. `docs/design.md`, section 6, lists the decisions; `docs/MEASUREMENTS.md` has the figures.

pub mod acceptance;
mod membership;
pub mod policy;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod size;
pub mod stats;
pub mod target;

//! Stand-ins for the users' platform: its key-value store and its targets.
//!
//! They run in the process of the test that uses them, so the test sets their faults and reads the
//! requests that they received directly.

pub mod store;
pub mod target;

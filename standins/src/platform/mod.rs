//! Stand-ins of the users' platform: its store of keys, and its targets.
//!
//! They run inside the test that uses them, which sets their faults and reads their journals directly.

pub mod leaf;
pub mod store;

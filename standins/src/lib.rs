//! Stand-ins for external systems, used by tests and the demo: the key-value store, the membership list
//! and the targets.
//!
//! Each stand-in serves the protocol of the system that it replaces. The store and the targets record
//! the requests that took effect, so that tests can check them. The crate does not depend on the query
//! tier.

pub mod crowd;
pub mod http;
pub mod members;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod spec;
pub mod store;
pub mod target;

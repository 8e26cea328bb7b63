//! Stand-ins for the platform's store, its membership list and the targets.
//!
//! They speak the same protocols as the real systems and keep a journal of what reached them, from
//! which tests draw their verdicts. They depend on nothing of the product.

pub mod http;
pub mod members;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod spec;
pub mod store;
pub mod target;

//! The processing of one request, from its arrival to its answer.
//!
//! The modules are pure state machines: they use no clock, socket, sleep or global random number
//! generator. See `docs/design.md`, section 6.

pub mod answer;
pub mod fanout;
pub mod hedge;
pub mod id;
pub mod latency;
pub mod merge;
pub mod once;
pub mod query_request;
pub mod record;
pub mod replica_choice;
pub mod reply;
pub mod scatter;
pub mod stall;
pub mod version_choice;

//! The messages that nodes exchange, and the types in them that other modules use.
//!
//! Messages are encoded with `rmp-serde` and sent over HTTP/2. See `docs/design.md`, section 6.

pub mod exchange;
pub mod name;
pub mod reason;
pub mod run;
pub mod scatter;

pub use exchange::{Exchange, Report, Revision};
pub use name::{Incarnation, Member, Version};
pub use reason::{Cause, Reason};
pub use scatter::{Batch, Frame, Load, Outcome, Subrequest};

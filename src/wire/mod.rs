//! Messages between the nodes, and the small types that they share with the decisions.
//!
//! Every message is encoded by `rmp-serde` and travels over HTTP/2. See `docs/design.md`, section 6.

pub mod exchange;
pub mod name;
pub mod reason;
pub mod run;
pub mod scatter;

pub use exchange::{Exchange, Report, Revision};
pub use name::{Incarnation, Member, Version};
pub use reason::{Cause, Reason};
pub use scatter::{Batch, Frame, Load, Outcome, Subrequest};

//! The names of the fields of log lines, which `redwinggrade trace` reads again.
//!
//! The macros of `log` take names only as literals, so writers repeat them; `platform/tests/living.rs`
//! reads what the real program writes by these names.

/// Microseconds since the start of the process, by its monotonic clock.
pub const AT_US: &str = "at_us";
/// Microseconds of the wall clock, which may jump.
pub const UNIX_US: &str = "unix_us";
/// The node that wrote the line.
pub const NODE: &str = "node";
/// The level.
pub const LEVEL: &str = "level";
/// What happened.
pub const EVENT: &str = "event";
/// The id of the caller's attempt.
pub const REQUEST: &str = "request";

/// A request ended.
pub const REQUEST_ENDED: &str = "request ended";
/// A subrequest was sent; written for hedges, retries and sampled requests.
pub const SUBREQUEST_SENT: &str = "leg sent";
/// A subrequest ended; written unless it succeeded, and for sampled requests.
pub const SUBREQUEST_ENDED: &str = "leg ended";
/// A node started.
pub const STARTED: &str = "started";
/// A node stops as planned.
pub const STOPPING: &str = "stopping";
/// A node has stopped as planned.
pub const STOPPED: &str = "stopped";

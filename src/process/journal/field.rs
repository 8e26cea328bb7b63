//! The names of the fields of log lines, and the events that `redwinggrade trace` and operators look for.
//!
//! The macros of `log` accept names only as literals, so code that logs repeats them.
//! `platform/tests/lifecycle.rs` checks the lines of the real program against these names.

/// Microseconds since the start of the process, on its monotonic clock.
pub const AT_US: &str = "at_us";
/// Microseconds since the Unix epoch on the wall clock, which may jump.
pub const UNIX_US: &str = "unix_us";
/// The name of the node that wrote the line.
pub const NODE: &str = "node";
/// The log level.
pub const LEVEL: &str = "level";
/// The message, which names the event.
pub const EVENT: &str = "event";
/// The request id of the caller's attempt.
pub const REQUEST: &str = "request";

/// Event: a request ended.
pub const REQUEST_ENDED: &str = "request ended";
/// Event: a subrequest was sent; logged for hedges, retries and sampled requests.
pub const SUBREQUEST_SENT: &str = "leg sent";
/// Event: a subrequest ended; logged if it did not succeed, and for sampled requests.
pub const SUBREQUEST_ENDED: &str = "leg ended";
/// Event: the node has started.
pub const STARTED: &str = "started";
/// Event: a planned stop of the node has begun.
pub const STOPPING: &str = "stopping";
/// Event: a planned stop of the node is complete.
pub const STOPPED: &str = "stopped";

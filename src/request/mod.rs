//! What lives for one request: its text at the callers' interface and its outcome.

pub mod answer;
pub mod ask;

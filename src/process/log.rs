//! Structured log lines, one JSON object a line on standard error.
//!
//! Lines are written only for changes of state; everything that happens per request is a counter.

use logforth::append::Stderr;
use logforth::filter::env_filter::EnvFilterBuilder;
use logforth::layout::JsonLayout;

/// Sends the log to standard error; `RUST_LOG` selects the levels, `info` if it is not set.
pub fn open() {
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(EnvFilterBuilder::from_default_env_or("info").build())
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}

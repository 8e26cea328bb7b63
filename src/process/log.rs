//! Structured log on standard error: one JSON object per line.
//!
//! Only changes of state are logged; events that happen for each request are counted in the metrics instead.

use logforth::append::Stderr;
use logforth::filter::env_filter::EnvFilterBuilder;
use logforth::layout::JsonLayout;

/// Sends the log to standard error. `RUST_LOG` selects the levels; the default is `info`.
pub fn open() {
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(EnvFilterBuilder::from_default_env_or("info").build())
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}
